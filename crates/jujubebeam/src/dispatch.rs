//! Admits a request to its route and chooses a target for it.

mod dispatcher;

use std::sync::Arc;
use std::time::Duration;

use jujubebeam_caller::{CallerError, ErrorKind};
use jujubebeam_core::limits::LimitRefusal;
use jujubebeam_core::scheduler::{Arrival, RefusalKind, SchedulerEvent};
use jujubebeam_core::settings::document::{Priority, RouteDocument, TargetKind};
use jujubebeam_core::settings::{RouteSpec, Snapshot, TargetSpec, WorkspaceSpec};
use jujubebeam_core::spread::{GossipFanout, GossipFanoutConfig};
use jujubebeam_core::{Clock, RequestId, TargetId, WorkspaceId};
use ntex::time::sleep;
use smallvec::SmallVec;

pub(crate) use dispatcher::{Dispatcher, hear_digest, hear_limits, hear_news};
use dispatcher::{RouteScheduler, Verdict};

use crate::context::Context;
use crate::control::fleet;
use crate::part::TICK_INTERVAL;
use crate::peers;
use crate::shared::Shared;

/// What is known about a request when it asks for a target.
#[derive(Clone, Debug)]
pub(crate) struct Ask<'a> {
    /// The request.
    pub(crate) request: RequestId,
    /// Route of the request.
    pub(crate) route: &'a RouteSpec,
    /// Workspace of the caller, or `None` on an open route without a key.
    pub(crate) workspace: Option<&'a WorkspaceSpec>,
    /// Estimated length of the prompt.
    pub(crate) prompt_tokens: u64,
    /// Limit of generated tokens that the caller set.
    pub(crate) max_tokens: Option<u32>,
    /// Tokens that earlier attempts delivered. They are part of `prompt_tokens`.
    pub(crate) delivered_tokens: u64,
    /// Chained hashes of the prompt's pieces, for finding cached prefixes.
    pub(crate) prefix_hashes: &'a [u64],
    /// Whether the request may be sent again after a failure.
    pub(crate) repeatable: bool,
    /// Time in which the first token must arrive.
    pub(crate) deadline: Duration,
    /// Targets that must not be chosen, because an earlier attempt failed there.
    pub(crate) excluded: SmallVec<[TargetId; 4]>,
    /// Whether the request must not share a target with another suspect, see `docs/design.md`,
    /// section 5.7.
    pub(crate) suspect: bool,
}

/// Permission to run one attempt at a target. Dropping it tells the scheduler that the attempt
/// ended.
#[derive(Debug)]
pub(crate) struct Permit {
    /// Target to use.
    pub(crate) target: TargetSpec,
    attempt: Attempt,
    started: bool,
    /// Tokens that were delivered and not yet reported.
    unreported_tokens: u64,
}

/// Tokens after which the scheduler hears of a growing context. Estimates need no finer figure, and
/// each report takes the lock of the route.
const REPORTED_TOKENS: u64 = 16;

/// One attempt in the books of the scheduler and the limiter, until it is dropped.
#[derive(Debug)]
struct Attempt {
    shared: Arc<Shared>,
    route: Arc<RouteScheduler>,
    prices: (u64, u64),
    workspace: Option<WorkspaceId>,
    /// Differs from the request's id, since a request may begin an attempt before the last one is
    /// dropped.
    id: RequestId,
    waits: bool,
    /// Targets where the attempt counts as in flight: its own and the one that it moves to.
    entered: SmallVec<[TargetId; 2]>,
    /// Prompt and output tokens of a whole answer.
    finished: Option<(u64, u64)>,
    /// Output tokens that the caller got before it left.
    left_with: u64,
}

/// Targets that are tried for one request while planned changes begin.
const PLACE_ATTEMPTS: u32 = 3;

impl Permit {
    fn new(target: TargetSpec, attempt: Attempt) -> Self {
        Self {
            target,
            attempt,
            started: false,
            unreported_tokens: 0,
        }
    }

    /// Counts the attempt at a target, unless a planned change keeps new work away.
    fn enter(&mut self, target: TargetId) -> bool {
        if self.attempt.entered.contains(&target) {
            return true;
        }
        let entered = self.attempt.shared.fleet.enter(target);
        if entered {
            self.attempt.entered.push(target);
        }
        entered
    }

    /// Ends the count at all targets but the present one.
    fn leave_others(&mut self) {
        let here = self.target.id;
        let shared = &self.attempt.shared;
        self.attempt.entered.retain(|target| {
            if *target != here {
                shared.fleet.leave(*target);
            }
            *target == here
        });
    }

    /// Counts the attempt at the target of its move. Returns false if the target takes no new work.
    pub(crate) fn reserve(&mut self, target: TargetId) -> bool {
        self.enter(target)
    }

    /// Reports the first token of the attempt, with which a split request leaves its prefill
    /// engine in the books. Later calls have no effect and return false.
    pub(crate) fn first_token(&mut self) -> bool {
        if self.started {
            return false;
        }
        self.started = true;
        let request = self.attempt.id;
        self.attempt.feed(SchedulerEvent::FirstToken { request });
        true
    }

    /// Counts generated tokens, and reports them from time to time.
    pub(crate) fn generated(&mut self, tokens: u64) {
        self.unreported_tokens += tokens;
        if self.unreported_tokens >= REPORTED_TOKENS {
            self.report_tokens();
        }
    }

    fn report_tokens(&mut self) {
        let request = self.attempt.id;
        let tokens = std::mem::take(&mut self.unreported_tokens);
        self.attempt
            .feed(SchedulerEvent::Generated { request, tokens });
    }

    /// Target to which the stream must move: the granted decode engine after the first token, or
    /// the engine that the scheduler chose because the present one is about to change.
    pub(crate) fn moves_to(&self) -> Option<TargetId> {
        let to = self.attempt.route.move_of(self.attempt.id)?;
        (self.started && to != self.target.id).then_some(to)
    }

    /// Continues at the target of a move.
    pub(crate) fn moved(&mut self, target: TargetSpec) {
        self.target = target;
        self.leave_others();
    }

    /// Reports that the stream cannot move and ends where it is.
    pub(crate) fn stayed(&mut self) {
        let (request, target) = (self.attempt.id, self.target.id);
        self.attempt.route.set_move(request, None);
        self.leave_others();
        self.attempt
            .feed(SchedulerEvent::MoveFailed { request, target });
    }

    /// Reports that the caller left after it got `output_tokens`, which count against limits.
    pub(crate) fn caller_left(&mut self, output_tokens: u64) {
        self.attempt.left_with = output_tokens;
    }

    /// Reports the end of the attempt with the real token counts.
    pub(crate) fn finish(mut self, prompt_tokens: u64, output_tokens: u64) {
        self.attempt.finished = Some((prompt_tokens, output_tokens));
    }
}

impl Attempt {
    fn feed(&self, event: SchedulerEvent) {
        // Only ticks make digests.
        self.route.feed(&self.shared, event);
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        if self.unreported_tokens > 0 {
            self.report_tokens();
        }
    }
}

impl Drop for Attempt {
    fn drop(&mut self) {
        let request = self.id;
        self.route.forget(request);
        for target in &self.entered {
            self.shared.fleet.leave(*target);
        }
        if self.waits {
            self.route.give_up(request);
        }
        let (prompt_tokens, output_tokens) = self.finished.unwrap_or((0, self.left_with));
        self.feed(match self.finished {
            Some(_) => SchedulerEvent::Finish {
                request,
                prompt_tokens,
                output_tokens,
            },
            None => SchedulerEvent::Cancel { request },
        });
        let Some(workspace) = self.workspace else {
            return;
        };
        let (prompt_price, output_price) = self.prices;
        let cost = prompt_tokens * prompt_price + output_tokens * output_price;
        let tokens = prompt_tokens + output_tokens;
        self.shared
            .dispatcher
            .limiter()
            .finish(workspace, tokens, cost);
    }
}

/// Passes time on to the schedulers and the limiter, and sends their digests to peers.
pub(crate) fn start(context: &Context) {
    let context = context.clone();
    ntex::rt::spawn(async move {
        let mut spread = GossipFanout::new(GossipFanoutConfig {
            seed: context.shared.incarnation.0,
            ..GossipFanoutConfig::default()
        });
        loop {
            let messages = context.shared.dispatcher.tick(&context.shared);
            context.shared.fleet.hear_own(&context.shared, &messages);
            let others = peers::others(&context);
            let now = context.shared.clock.now();
            for (to, messages) in spread.envelopes(messages, &others, now) {
                peers::send(&context, to, messages);
            }
            sleep(TICK_INTERVAL).await;
        }
    });
}

/// Schedulers that one request asks in turn while changed settings replace them.
const LONGEST_REPLACEMENTS: usize = 4;

/// Waits until the request may run and returns its target, or the final refusal.
pub(crate) async fn acquire(
    context: &Context,
    snapshot: &Snapshot,
    ask: &Ask<'_>,
) -> Result<Permit, CallerError> {
    if ask.route.settings.kind == TargetKind::Service {
        return place(context, snapshot, ask).await;
    }
    fleet::wait_for_marks(context, ask.deadline).await;
    let mut ask = ask.clone();
    for _ in 0..PLACE_ATTEMPTS {
        let mut permit = place(context, snapshot, &ask).await?;
        if permit.enter(permit.target.id) {
            return Ok(permit);
        }
        // The target was marked for a planned change after the scheduler had chosen it.
        ask.excluded.push(permit.target.id);
    }
    Err(no_target(1))
}

async fn place(
    context: &Context,
    snapshot: &Snapshot,
    ask: &Ask<'_>,
) -> Result<Permit, CallerError> {
    let shared = &context.shared;
    check_limits(shared, ask)?;
    for _ in 0..LONGEST_REPLACEMENTS {
        let Some(route) = shared.dispatcher.route(ask.route.id) else {
            break;
        };
        let (attempt, verdict) = wait(shared, route, ask).await;
        match verdict {
            Some(Verdict::Run { target }) => {
                let target = snapshot.targets.get(&target).cloned();
                let target = target.ok_or_else(|| no_target(1))?;
                return Ok(Permit::new(target, attempt));
            }
            Some(Verdict::Refuse { kind, retry_after }) => return Err(refusal(kind, retry_after)),
            // The dropped attempt gives back what the limiter counted.
            None => admit_again(shared, ask),
        }
    }
    if let Some(workspace) = ask.workspace {
        shared.dispatcher.limiter().finish(workspace.id, 0, 0);
    }
    Err(no_target(2))
}

/// Waits for the verdict of one scheduler; `None` means that the scheduler was replaced.
async fn wait(
    shared: &Arc<Shared>,
    route: Arc<RouteScheduler>,
    ask: &Ask<'_>,
) -> (Attempt, Option<Verdict>) {
    let id = shared.new_request_id();
    shared.dispatcher.remember(ask.request, id, ask.route.id);
    let verdict = route.wait(id);
    let mut attempt = Attempt {
        shared: Arc::clone(shared),
        route,
        prices: prices(&ask.route.settings),
        workspace: ask.workspace.map(|w| w.id),
        id,
        waits: true,
        entered: SmallVec::new(),
        finished: None,
        left_with: 0,
    };
    attempt.feed(SchedulerEvent::Arrival(arrival(id, ask)));
    let verdict = verdict.await.ok();
    attempt.waits = false;
    (attempt, verdict)
}

fn admit_again(shared: &Shared, ask: &Ask<'_>) {
    if let Some(workspace) = ask.workspace {
        shared.dispatcher.limiter().admit_retry(workspace.id);
    }
}

fn check_limits(shared: &Shared, ask: &Ask<'_>) -> Result<(), CallerError> {
    let Some(workspace) = ask.workspace else {
        return Ok(());
    };
    let mut limiter = shared.dispatcher.limiter();
    // A further attempt of an admitted request must not fail for a limit.
    if !ask.excluded.is_empty() {
        drop(limiter);
        admit_again(shared, ask);
        return Ok(());
    }
    let now = shared.clock.now();
    limiter
        .admit(workspace.id, &workspace.limits, now)
        .map_err(limit_reached)
}

fn arrival(id: RequestId, ask: &Ask<'_>) -> Arrival {
    Arrival {
        request: id,
        workspace: ask.workspace.map(|w| w.id).unwrap_or_default(),
        priority: ask.workspace.map_or(Priority::Normal, |w| w.priority),
        weight: ask.workspace.map_or(1, |w| w.weight),
        prompt_tokens: ask.prompt_tokens,
        max_tokens: ask.max_tokens,
        delivered_tokens: ask.delivered_tokens,
        known_output_tokens: None,
        prefix: ask.prefix_hashes.iter().copied().collect(),
        repeatable: ask.repeatable,
        allow_reclaimable: ask.workspace.is_some_and(|w| w.spending.allow_reclaimable),
        deadline: ask.deadline,
        excluded: ask.excluded.clone(),
        suspect: ask.suspect,
    }
}

fn prices(route: &RouteDocument) -> (u64, u64) {
    (route.prompt_price_microcents, route.output_price_microcents)
}

fn limit_reached(refusal: LimitRefusal) -> CallerError {
    CallerError::not_run(
        ErrorKind::LimitReached,
        format!("the workspace has reached its limit of {}", refusal.kind),
        "send the request again later, or ask the operator of the workspace for a higher limit",
    )
    .retry_after_s(seconds(refusal.retry_after))
}

fn refusal(kind: RefusalKind, retry_after: Duration) -> CallerError {
    let error = match kind {
        RefusalKind::NoTarget => return no_target(seconds(retry_after)),
        RefusalKind::QueueFull => CallerError::not_run(
            ErrorKind::Overloaded,
            "too many requests of the workspace wait",
            "send the request again later",
        ),
        RefusalKind::DeadlineUnreachable => CallerError::not_run(
            ErrorKind::DeadlineUnreachable,
            "the first token would be late",
            "send the request again later, or with a later deadline",
        ),
    };
    error.retry_after_s(seconds(retry_after))
}

fn no_target(retry_after_s: u32) -> CallerError {
    CallerError::not_run(
        ErrorKind::NoTarget,
        "no target can take the request",
        "send the request again later",
    )
    .retry_after_s(retry_after_s)
}

fn seconds(time: Duration) -> u32 {
    (time.as_secs_f64().ceil() as u32).max(1)
}
