//! Request handling: accepts a request, chooses a target, sends it and forwards the answer.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use jujubebeam_core::gateway::{
    AttemptEnd, EnginePlan, FinalAnswer, HandOver, NextStep, PermitDemand, PlacementRefused,
    PlacementRequest, PromptPart, Repeatability, RequestProgress, RequiredVersion, Stage,
    TargetKey,
};
use ntex::web::types::{Payload, State};
use ntex::web::{HttpRequest, HttpResponse};
use smallvec::SmallVec;
use tokio::time::timeout_at;

use crate::adapters::Adapters;
use crate::answer::{Reason, Refusal};
use crate::attempt::{AttemptResult, CompleteAnswer, attempt, forward_answer};
use crate::backup;
use crate::crashes;
use crate::decision_log::{DecisionKind, decision, millis};
use crate::in_flight::InFlight;
use crate::job::{Job, accept};
use crate::owner;
use crate::pass_on;
use crate::permit;
use crate::prompt::{self, Prompt};
use crate::quota;
use crate::request_log::{
    importance, record_failed_attempt, record_placement, record_refusal, record_rejection,
    record_taken_up_end,
};
use crate::server::Context;
use crate::state::{Fleet, Shared};
use crate::stream::{self, EarlierAttempts};
use crate::taken_up;

/// `Retry-After` of refusals because the service has no target at all.
pub(crate) const NO_TARGET_RETRY: Duration = Duration::from_millis(500);

/// Shortest `Retry-After` of a refused remainder of a stream. Queues have moved on by then.
const MIN_CONTINUATION_RETRY: Duration = Duration::from_millis(100);

/// Handles a request from a caller.
pub(crate) async fn handle<A: Adapters>(
    context: State<Context<A>>,
    request: HttpRequest,
    payload: Payload,
) -> HttpResponse {
    let context = (*context).clone();
    let _running = context.track_running();
    // The timer of the head or of the idle connection would end the connection after the answer.
    if let Some(io) = request.io() {
        io.stop_timer();
    }
    let accepted = accept(&context, &request, payload).await;
    if let Some(io) = request.io() {
        let id = match &accepted {
            Ok(job) => &job.incoming.attempt_id,
            Err((id, _)) => id,
        };
        context.connections.record_request(io, id);
    }
    let mut response = match accepted {
        Ok(job) => run(&context, Rc::new(job)).await,
        Err((attempt_id, refusal)) => {
            record_rejection(&context.shared, &attempt_id, &refusal);
            refusal.response()
        }
    };
    if context.shared.time_since_leaving().is_some() {
        response
            .head_mut()
            .set_connection_type(ntex::http::ConnectionType::Close);
    }
    response
}

async fn run<A: Adapters>(context: &Context<A>, job: Rc<Job>) -> HttpResponse {
    let shared = &context.shared;
    let mut guard = DisconnectGuard {
        shared: shared.clone(),
        job: job.clone(),
        is_done: false,
    };
    let response = match timeout_at(job.expires_at, answer(context, &job)).await {
        Ok(response) => response,
        Err(_) => {
            // A target may be running the request, so the answer cannot state that it did not run.
            let target = job.current_target.take();
            record_failed_attempt(
                shared,
                &job,
                &target,
                AttemptEnd::Broken,
                "no answer in time",
            );
            let refusal = Refusal::from_final(FinalAnswer::TimedOut);
            record_refusal(shared, &job, &refusal);
            refusal.response()
        }
    };
    guard.is_done = true;
    response
}

/// Logs that the caller disconnected if it is dropped before the request has been answered.
struct DisconnectGuard {
    shared: Arc<Shared>,
    job: Rc<Job>,
    is_done: bool,
}

impl Drop for DisconnectGuard {
    fn drop(&mut self) {
        if !self.is_done {
            let (id, age) = (&self.job.incoming.attempt_id, self.job.arrived_at.elapsed());
            let kind = self.job.route().kind.into();
            self.shared.metrics.ended(kind, "caller_left", age);
            record_taken_up_end(&self.shared, &self.job, "caller_left");
            let target = self.job.current_target.borrow();
            decision!(
                self.shared,
                DecisionKind::CallerLeft,
                importance: importance(&self.job),
                request = id,
                target:% = target,
                midway = false,
                origin = self.job.stream_origin(),
                after_ms = millis(age)
            );
        }
    }
}

async fn answer<A: Adapters>(context: &Context<A>, job: &Rc<Job>) -> HttpResponse {
    let shared = &context.shared;
    let mut progress = RequestProgress::new(job.repeatability(), job.route().max_attempts);
    let mut excluded: SmallVec<[TargetKey; 4]> = SmallVec::new();
    let mut refused: SmallVec<[TargetKey; 4]> = SmallVec::new();
    let mut error_answer: Option<CompleteAnswer> = None;
    let mut prompt = Prompt::NotComputed;
    let mut reserved = None;
    let refuse = |refusal: Refusal| {
        record_refusal(shared, job, &refusal);
        refusal.response()
    };
    if let Some(response) = pass_on::answer(context, job, true).await {
        return response;
    }
    let required = taken_up::require_version(shared, &*context.store, context, job).await;
    if let Err(refusal) = required {
        return refuse(refusal);
    }
    let charged = match quota::charge(shared, context, job).await {
        Ok(charged) => charged,
        Err(refusal) => return refuse(refusal),
    };
    let mut engine_read_prompt = false;
    loop {
        if let Some(response) = pass_on::answer(context, job, progress.has_not_run()).await {
            return response;
        }
        let planned = match crashes::refusal(context, job) {
            Some(refusal) => Err(refusal),
            None => choose_step(context, job, &excluded, &prompt, &mut reserved).await,
        };
        let planned = match planned {
            Ok(planned) => planned,
            Err(refused) => {
                if let Some(answer) = error_answer {
                    return forward_answer(context, job, answer);
                }
                if !progress.has_not_run() {
                    return refuse(Refusal::from_final(FinalAnswer::Failed));
                }
                return refuse(refused);
            }
        };
        let (in_flight, work) = match planned {
            NextAttempt::Compute(in_flight) => {
                let key = in_flight.placement.key;
                // The quota counts tokens that an engine has read, although that is no run.
                charged.set_may_have_run(true);
                match prompt::compute(context, job, in_flight).await {
                    Ok(computed) => {
                        prompt = computed;
                        engine_read_prompt = true;
                    }
                    Err(end) => {
                        engine_read_prompt |= end == AttemptEnd::Broken;
                        charged.set_may_have_run(engine_read_prompt || !progress.has_not_run());
                        excluded.push(key);
                        let step = progress.prompt_failed(end);
                        if !may_retry(shared, job, step) {
                            return refuse(Refusal::from_final(progress.final_prompt_answer(end)));
                        }
                    }
                }
                continue;
            }
            NextAttempt::Run(mut in_flight) => {
                in_flight.backup = backup::choose(shared, job, &in_flight.placement);
                in_flight.hand_over = prompt.reported_hand_over();
                (in_flight, prompt.work())
            }
        };
        let key = in_flight.placement.key;
        let target = in_flight.placement.target.id.clone();
        charged.set_may_have_run(true);
        let ended = attempt(context, job, in_flight, work).await;
        if !matches!(ended, AttemptResult::Failed(AttemptEnd::NotSent, _)) {
            prompt.consume();
        }
        let (end, reason) = match ended {
            AttemptResult::Complete(answer) if !is_worth_retrying(&answer, job) => {
                return forward_answer(context, job, answer);
            }
            AttemptResult::Complete(answer) => {
                error_answer = Some(answer);
                (AttemptEnd::Broken, "server error".to_owned())
            }
            AttemptResult::Stream(events) => {
                let earlier = EarlierAttempts { progress, refused };
                return stream::respond(context, job.clone(), *events, earlier);
            }
            AttemptResult::Failed(end, reason) => (end, reason),
        };
        record_failed_attempt(shared, job, &target, end, &reason);
        excluded.push(key);
        if end == AttemptEnd::NotRun {
            refused.push(key);
        }
        let step = progress.ended(end);
        charged.set_may_have_run(engine_read_prompt || !progress.has_not_run());
        if may_retry(shared, job, step) {
            continue;
        }
        if let Some(answer) = error_answer {
            return forward_answer(context, job, answer);
        }
        let last = match step {
            NextStep::Answer(answer) => answer,
            NextStep::Retry { .. } => progress.final_answer(end),
        };
        return refuse(Refusal::from_final(last));
    }
}

/// Whether another target may be tried. This takes from the retry budget if a target received the
/// request.
pub(crate) fn may_retry(shared: &Shared, job: &Job, step: NextStep) -> bool {
    match step {
        NextStep::Retry { uses_budget: true } => {
            // Vms that this one does not reach spend their shares too.
            let (_, vms) = shared.count_vms();
            shared.budget().take(job.service(), vms, shared.now())
        }
        NextStep::Retry { uses_budget: false } => true,
        NextStep::Answer(_) => false,
    }
}

/// Whether another target may succeed: the answer is a server error and the request is idempotent.
fn is_worth_retrying(answer: &CompleteAnswer, job: &Job) -> bool {
    answer.parts.status.is_server_error() && job.repeatability() == Repeatability::Idempotent
}

/// The next step for a request, with the placement that it uses.
enum NextAttempt {
    /// A separate prefill engine computes the prompt.
    Compute(InFlight),
    /// The target runs the request, using the computed prompt if there is one.
    Run(InFlight),
}

/// Chooses the next step. `reserved` is a target for which the request has a permit already.
async fn choose_step<A: Adapters>(
    context: &Context<A>,
    job: &Job,
    excluded: &[TargetKey],
    prompt: &Prompt,
    reserved: &mut Option<TargetKey>,
) -> Result<NextAttempt, Refusal> {
    let parts = &job.incoming.prompt_parts[..];
    let is_engine = job.stage().is_some();
    if !is_engine || !prompt.may_be_computed() {
        let parts = match prompt {
            Prompt::Computed(_) => &[],
            _ => parts,
        };
        let hand_over = prompt.hand_over();
        let in_flight = place_reserved(context, job, parts, hand_over, excluded, reserved).await;
        return in_flight.map(NextAttempt::Run);
    }
    let shared = &context.shared;
    let plan = plan(context, job, excluded, reserved).await;
    let plan = plan.map_err(|refused| placement_refusal(shared, refused, job))?;
    let EnginePlan::Split { longest_wait } = plan else {
        shared.metrics.placed("direct");
        let in_flight = place_reserved(context, job, parts, None, excluded, reserved).await;
        return in_flight.map(NextAttempt::Run);
    };
    let chosen = owner::choose(context, job, excluded, longest_wait).await;
    let placement = match chosen {
        Some(placement) => placement,
        None => place_prompt(context, job, excluded, longest_wait).await,
    };
    let in_flight = placement.map_err(|refused| placement_refusal(shared, refused, job))?;
    shared.metrics.placed("split");
    let placed_by = in_flight.placed_by().map_or(shared.vm, |(owner, _)| owner);
    record_placement(shared, job, "prompt", &in_flight.placement, placed_by);
    Ok(NextAttempt::Compute(in_flight))
}

/// Plans how engines run a request. If all engines for its answer limit their requests per second,
/// reserves one of them, so that no prompt is computed in vain.
async fn plan<A: Adapters>(
    context: &Context<A>,
    job: &Job,
    excluded: &[TargetKey],
    reserved: &mut Option<TargetKey>,
) -> Result<EnginePlan, PlacementRefused> {
    let shared = &context.shared;
    let zone = &shared.config.zone;
    // The given targets, and those without a permit.
    let mut omitted: SmallVec<[TargetKey; 8]> = SmallVec::from_slice(excluded);
    loop {
        let (plan, limited) = {
            let request = job.placement_request(zone, &job.incoming.prompt_parts, excluded);
            let (fleet, now) = (shared.fleet(), shared.now());
            let Fleet {
                catalog, placer, ..
            } = &*fleet;
            if reserved.is_some() {
                return placer.plan_permitted_request(catalog, &request, now);
            }
            let plan = placer.plan_engine_request(catalog, &request, now)?;
            let answer = PlacementRequest {
                parts: &[],
                excluded: &omitted,
                ..request
            };
            (plan, placer.only_limited(catalog, &answer, now))
        };
        let is_refused = omitted.len() > excluded.len();
        let key = match (plan, limited) {
            (EnginePlan::Split { .. }, Some(key)) => key,
            (EnginePlan::Split { .. }, None) if is_refused => {
                return Err(no_permit(shared, job));
            }
            _ => return Ok(plan),
        };
        if acquire_permit(context, job, key, job.is_continuation()).await {
            *reserved = Some(key);
            return Ok(plan);
        }
        omitted.push(key);
    }
}

/// Chooses a prefill engine from the local state of this vm alone.
async fn place_prompt<A: Adapters>(
    context: &Context<A>,
    job: &Job,
    excluded: &[TargetKey],
    longest_wait: Duration,
) -> Result<InFlight, PlacementRefused> {
    let shared = &context.shared;
    let parts = &job.incoming.prompt_parts;
    let request = PlacementRequest {
        stage: Some(Stage::Prefill),
        version: RequiredVersion::Any,
        longest_wait,
        ..job.placement_request(&shared.config.zone, parts, excluded)
    };
    place_permitted(context, job, &request, job.is_continuation()).await
}

/// Chooses a target for the next attempt, and obtains a permit if the target limits its requests.
async fn place_permitted<A: Adapters>(
    context: &Context<A>,
    job: &Job,
    request: &PlacementRequest<'_>,
    is_continuation: bool,
) -> Result<InFlight, PlacementRefused> {
    let shared = &context.shared;
    // The targets that the request excludes, and those without a permit.
    let mut omitted: SmallVec<[TargetKey; 8]> = SmallVec::from_slice(request.excluded);
    loop {
        let placed = {
            let request = PlacementRequest {
                excluded: &omitted,
                ..request.clone()
            };
            let (mut fleet, now) = (shared.fleet(), shared.now());
            let Fleet {
                catalog, placer, ..
            } = &mut *fleet;
            match is_continuation {
                true => placer.place_continuation(catalog, &request, now),
                false => placer.place(catalog, &request, now),
            }
        };
        let is_refused = omitted.len() > request.excluded.len();
        let placement = match placed {
            Err(PlacementRefused::NoTarget) if is_refused => return Err(no_permit(shared, job)),
            placed => placed?,
        };
        let in_flight = InFlight::new(shared, placement);
        let key = in_flight.placement.key;
        if acquire_permit(context, job, key, is_continuation).await {
            return Ok(in_flight);
        }
        omitted.push(key);
    }
}

/// Obtains a permit for a request, which targets without a limit do not need.
pub(crate) async fn acquire_permit<A: Adapters>(
    context: &Context<A>,
    job: &Job,
    key: TargetKey,
    is_continuation: bool,
) -> bool {
    let demand = PermitDemand {
        rank: job.rank(),
        is_continuation,
    };
    permit::acquire(context, job.service(), key, demand, job.route().latency_aim).await
}

/// Refusal of a request because other requests took the permits that were expected for it.
fn no_permit(shared: &Shared, job: &Job) -> PlacementRefused {
    let request = job.placement_request(&shared.config.zone, &[], &[]);
    let retry_after = shared.fleet().placer.retry_after(&request, Duration::ZERO);
    PlacementRefused::Limited { retry_after }
}

/// Places a request at the target for which it has a permit, or else chooses a target.
async fn place_reserved<A: Adapters>(
    context: &Context<A>,
    job: &Job,
    parts: &[PromptPart],
    hand_over: Option<HandOver>,
    excluded: &[TargetKey],
    reserved: &mut Option<TargetKey>,
) -> Result<InFlight, Refusal> {
    let shared = &context.shared;
    let request = PlacementRequest {
        hand_over,
        ..job.placement_request(&shared.config.zone, parts, excluded)
    };
    let placed = reserved.take().and_then(|key| {
        let (mut fleet, now) = (shared.fleet(), shared.now());
        let Fleet {
            catalog, placer, ..
        } = &mut *fleet;
        placer.place_at(catalog, &request, key, now)
    });
    if let Some(placement) = placed {
        record_placement(shared, job, work_name(job, parts), &placement, shared.vm);
        return Ok(InFlight::new(shared, placement));
    }
    let work = work_name(job, parts);
    place(context, job, &request, work, job.is_continuation()).await
}

/// Chooses a target for the next attempt.
async fn place<A: Adapters>(
    context: &Context<A>,
    job: &Job,
    request: &PlacementRequest<'_>,
    work: &str,
    is_continuation: bool,
) -> Result<InFlight, Refusal> {
    let shared = &context.shared;
    let placed = place_permitted(context, job, request, is_continuation).await;
    let in_flight = placed.map_err(|refused| placement_refusal(shared, refused, job))?;
    record_placement(shared, job, work, &in_flight.placement, shared.vm);
    Ok(in_flight)
}

/// Keys of all targets except these.
pub(crate) fn all_targets_except(shared: &Shared, kept: &[TargetKey]) -> SmallVec<[TargetKey; 4]> {
    let fleet = shared.fleet();
    let keys = fleet.catalog.iter().map(|(key, _)| key);
    keys.filter(|key| !kept.contains(key)).collect()
}

/// Chooses a target for the remainder of a stream, if its predicted wait is at most `longest_wait`.
pub(crate) async fn place_continuation<A: Adapters>(
    context: &Context<A>,
    job: &Job,
    excluded: &[TargetKey],
    longest_wait: Duration,
) -> Result<InFlight, Refusal> {
    let zone = &context.shared.config.zone;
    let request = PlacementRequest {
        longest_wait: longest_wait.min(job.longest_continuation_wait(&context.shared)),
        ..job.placement_request(zone, &job.incoming.prompt_parts, excluded)
    };
    place(context, job, &request, "continuation", true).await
}

/// Name of the work of a placement, for the log.
fn work_name(job: &Job, parts: &[PromptPart]) -> &'static str {
    match job.stage().is_some() && parts.is_empty() {
        true => "answer",
        false => "whole",
    }
}

fn placement_refusal(shared: &Shared, refused: PlacementRefused, job: &Job) -> Refusal {
    let (omitted_targets, usable_targets) = {
        let (fleet, now) = (shared.fleet(), shared.now());
        let (catalog, placer) = (&fleet.catalog, &fleet.placer);
        let usable = catalog.usable(now).filter(|(_, target)| {
            let is_eligible = target.service == job.service() && target.stage == job.stage();
            is_eligible && job.required_version().allows(target.version.as_deref())
        });
        let omitted = placer.omitted_targets(catalog, job.service(), now);
        (omitted, usable.count())
    };
    let refusal = match refused {
        PlacementRefused::NoTarget => Refusal::not_run(Reason::NoTarget, NO_TARGET_RETRY),
        PlacementRefused::Resting { retry_after } => {
            Refusal::not_run(Reason::TargetsRest, retry_after)
        }
        PlacementRefused::Limited { retry_after } => {
            Refusal::not_run(Reason::TargetsLimited, retry_after)
        }
        PlacementRefused::Overloaded { retry_after, wait } => {
            // The caller of a stream does not wait for a turn beside those that have no part of it.
            let retry_after = match job.is_continuation() {
                true => retry_after.min(job.longest_wait.max(MIN_CONTINUATION_RETRY)),
                false => retry_after,
            };
            Refusal {
                wait: Some(wait),
                longest_wait: Some(job.longest_wait),
                ..Refusal::not_run(Reason::Overloaded, retry_after)
            }
        }
    };
    Refusal {
        omitted_targets,
        usable_targets: Some(usable_targets),
        ..refusal
    }
}
