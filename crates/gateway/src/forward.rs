//! The path of a request: accept, place, send, and pass the answer on.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use jujubebeam_core::gateway::{
    AttemptEnd, EnginePlan, FinalAnswer, NextStep, PlacementRefused, PlacementRequest, PromptPart,
    Repeatability, RequestProgress, Stage, TargetKey,
};
use jujubebeam_core::quarantine::Verdict;
use ntex::web::types::{Payload, State};
use ntex::web::{HttpRequest, HttpResponse};
use smallvec::SmallVec;
use tokio::time::timeout_at;

use crate::answer::{Reason, Refusal};
use crate::attempt::{Attempted, WholeAnswer, attempt, pass_on};
use crate::backup;
use crate::edges::Edges;
use crate::in_flight::InFlight;
use crate::job::{Job, accept};
use crate::journal::{LineKind, decision, millis};
use crate::owner;
use crate::prompt::{self, Prompt};
use crate::server::Context;
use crate::state::{Fleet, Shared};
use crate::stream;
use crate::tell::{tell_attempt, tell_end, tell_placed};

/// Time after which a caller may come back when a service has no target at all.
const NO_TARGET_RETRY: Duration = Duration::from_millis(500);

/// Handles a request of a caller.
pub(crate) async fn handle<E: Edges>(
    context: State<Context<E>>,
    request: HttpRequest,
    payload: Payload,
) -> HttpResponse {
    let context = (*context).clone();
    let _running = context.shared_running();
    let mut response = match accept(&context, &request, payload).await {
        Ok(job) => run(&context, Rc::new(job)).await,
        Err((attempt_id, refusal)) => {
            tell_end(&context.shared, &attempt_id, "-", &refusal, Duration::ZERO);
            refusal.response()
        }
    };
    if context.shared.leaving_for().is_some() {
        response
            .head_mut()
            .set_connection_type(ntex::http::ConnectionType::Close);
    }
    response
}

async fn run<E: Edges>(context: &Context<E>, job: Rc<Job>) -> HttpResponse {
    let shared = &context.shared;
    let mut left = LeftGuard {
        shared: shared.clone(),
        job: job.clone(),
        is_done: false,
    };
    let response = match timeout_at(job.limit, answer(context, &job)).await {
        Ok(response) => response,
        Err(_) => {
            // An attempt may be at a target, so nothing can be promised.
            let target = job.at_target.take();
            tell_attempt(
                shared,
                &job,
                &target,
                AttemptEnd::Broken,
                "no answer in time",
            );
            let refusal = Refusal::from_final(FinalAnswer::TimedOut);
            tell_end(
                shared,
                &job.incoming.attempt_id,
                &job.route().name,
                &refusal,
                job.arrived.elapsed(),
            );
            refusal.response()
        }
    };
    left.is_done = true;
    response
}

/// Tells that a caller left before its answer, when it is dropped too early.
struct LeftGuard {
    shared: Arc<Shared>,
    job: Rc<Job>,
    is_done: bool,
}

impl Drop for LeftGuard {
    fn drop(&mut self) {
        if !self.is_done {
            let (id, age) = (&self.job.incoming.attempt_id, self.job.arrived.elapsed());
            let kind = self.job.route().kind.into();
            self.shared.metrics.ended(kind, "caller_left", age);
            let target = self.job.at_target.borrow();
            decision!(
                self.shared,
                LineKind::CallerLeft,
                request = id,
                target:% = target,
                midway = false,
                after_ms = millis(age)
            );
        }
    }
}

async fn answer<E: Edges>(context: &Context<E>, job: &Rc<Job>) -> HttpResponse {
    let shared = &context.shared;
    let mut progress = RequestProgress::new(job.repeatability(), job.route().max_attempts);
    let mut excluded: SmallVec<[TargetKey; 4]> = SmallVec::new();
    let mut kept: Option<WholeAnswer> = None;
    let mut prompt = Prompt::NotComputed;
    let refuse = |refusal: Refusal| {
        let id = &job.incoming.attempt_id;
        let age = job.arrived.elapsed();
        tell_end(shared, id, &job.route().name, &refusal, age);
        refusal.response()
    };
    if let Verdict::Refuse { retry_after } =
        shared.quarantine().verdict(job.fingerprint, shared.now())
    {
        return refuse(Refusal::not_run(Reason::CrashesTargets, retry_after));
    }
    loop {
        let planned = match plan(context, job, &excluded, &prompt).await {
            Ok(planned) => planned,
            Err(refused) => {
                if let Some(answer) = kept {
                    return pass_on(context, job, answer);
                }
                if !progress.has_not_run() {
                    return refuse(Refusal::from_final(FinalAnswer::Failed));
                }
                return refuse(refused);
            }
        };
        let (in_flight, work) = match planned {
            Planned::Compute(in_flight) => {
                let key = in_flight.placed.key;
                match prompt::compute(context, job, in_flight).await {
                    Ok(computed) => prompt = computed,
                    Err(end) => {
                        excluded.push(key);
                        let step = progress.prompt_failed(end);
                        if !may_try_again(shared, job, step) {
                            return refuse(Refusal::from_final(progress.final_prompt_answer(end)));
                        }
                    }
                }
                continue;
            }
            Planned::Run(mut in_flight) => {
                in_flight.backup = backup::choose(shared, job, &in_flight.placed);
                (in_flight, prompt.work())
            }
        };
        let key = in_flight.placed.key;
        let target = in_flight.placed.target.id.clone();
        let ended = attempt(context, job, in_flight, work).await;
        prompt.used();
        let (end, reason) = match ended {
            Attempted::Whole(answer) if !is_worth_repeating(&answer, job) => {
                return pass_on(context, job, answer);
            }
            Attempted::Whole(answer) => {
                kept = Some(answer);
                (AttemptEnd::Broken, "server error".to_owned())
            }
            Attempted::Events(events) => return stream::respond(context, job.clone(), *events),
            Attempted::Ended(end, reason) => (end, reason),
        };
        tell_attempt(shared, job, &target, end, &reason);
        excluded.push(key);
        let step = progress.ended(end);
        if may_try_again(shared, job, step) {
            continue;
        }
        if let Some(answer) = kept {
            return pass_on(context, job, answer);
        }
        let last = match step {
            NextStep::Answer(answer) => answer,
            NextStep::Retry { .. } => progress.final_answer(end),
        };
        return refuse(Refusal::from_final(last));
    }
}

/// Whether another target may be tried, which takes from the budget if a target got the request.
pub(crate) fn may_try_again(shared: &Shared, job: &Job, step: NextStep) -> bool {
    match step {
        NextStep::Retry { uses_budget: true } => {
            let vms = shared.vms();
            shared.budget().take(&job.service, vms, shared.now())
        }
        NextStep::Retry { uses_budget: false } => true,
        NextStep::Answer(_) => false,
    }
}

/// A server error of an idempotent request may be a success elsewhere.
fn is_worth_repeating(answer: &WholeAnswer, job: &Job) -> bool {
    answer.parts.status.is_server_error() && job.repeatability() == Repeatability::Idempotent
}

/// What an attempt begins with.
enum Planned {
    /// The prompt is computed at an engine of its own.
    Compute(InFlight),
    /// The target runs the request, with the computed prompt if there is one.
    Run(InFlight),
}

async fn plan<E: Edges>(
    context: &Context<E>,
    job: &Job,
    excluded: &[TargetKey],
    prompt: &Prompt,
) -> Result<Planned, Refusal> {
    let parts = &job.incoming.prompt_parts[..];
    let is_engine = job.stage().is_some();
    if !is_engine || !prompt.may_be_computed() {
        let parts = match prompt {
            Prompt::Computed(_) => &[],
            _ => parts,
        };
        return place(context, job, parts, excluded).map(Planned::Run);
    }
    let shared = &context.shared;
    let plan = {
        let fleet = shared.fleet();
        let request = job.place_request(&shared.config.zone, parts, excluded);
        fleet
            .placer
            .plan_engine_request(&fleet.catalog, &request, shared.now())
    };
    let plan = plan.map_err(|refused| refused_place(shared, refused, job))?;
    let EnginePlan::Split { longest_wait } = plan else {
        shared.metrics.placed("direct");
        return place(context, job, parts, excluded).map(Planned::Run);
    };
    let chosen = owner::choose(context, job, excluded, longest_wait).await;
    let placed = match chosen {
        Some(placed) => placed,
        None => place_prompt(shared, job, excluded, longest_wait),
    };
    let in_flight = placed.map_err(|refused| refused_place(shared, refused, job))?;
    shared.metrics.placed("split");
    tell_placed(shared, job, "prompt", &in_flight.placed);
    Ok(Planned::Compute(in_flight))
}

/// Chooses an engine for a prompt by what this vm knows.
fn place_prompt(
    shared: &Arc<Shared>,
    job: &Job,
    excluded: &[TargetKey],
    longest_wait: Duration,
) -> Result<InFlight, PlacementRefused> {
    let parts = &job.incoming.prompt_parts;
    let request = PlacementRequest {
        stage: Some(Stage::Prefill),
        longest_wait,
        ..job.place_request(&shared.config.zone, parts, excluded)
    };
    let mut fleet = shared.fleet();
    let Fleet {
        catalog, placer, ..
    } = &mut *fleet;
    let placed = placer.place(catalog, &request, shared.now())?;
    Ok(InFlight::new(shared, placed))
}

/// Chooses a target for the next attempt.
pub(crate) fn place<E: Edges>(
    context: &Context<E>,
    job: &Job,
    parts: &[PromptPart],
    excluded: &[TargetKey],
) -> Result<InFlight, Refusal> {
    let shared = &context.shared;
    let request = job.place_request(&shared.config.zone, parts, excluded);
    let placed = {
        let mut fleet = shared.fleet();
        let Fleet {
            catalog, placer, ..
        } = &mut *fleet;
        placer.place(catalog, &request, shared.now())
    };
    let placed = placed.map_err(|refused| refused_place(shared, refused, job))?;
    let is_handed_over = job.stage().is_some() && parts.is_empty();
    let work = if is_handed_over { "answer" } else { "whole" };
    tell_placed(shared, job, work, &placed);
    Ok(InFlight::new(shared, placed))
}

fn refused_place(shared: &Shared, refused: PlacementRefused, job: &Job) -> Refusal {
    let left_out = {
        let (fleet, now) = (shared.fleet(), shared.now());
        fleet
            .placer
            .omitted_targets(&fleet.catalog, &job.service, now)
    };
    let refusal = match refused {
        PlacementRefused::NoTarget => Refusal::not_run(Reason::NoTarget, NO_TARGET_RETRY),
        PlacementRefused::Resting { retry_after } => {
            Refusal::not_run(Reason::TargetsRest, retry_after)
        }
        PlacementRefused::Overloaded { retry_after, wait } => Refusal {
            wait: Some(wait),
            longest_wait: Some(job.longest_wait),
            ..Refusal::not_run(Reason::Overloaded, retry_after)
        },
    };
    Refusal {
        left_out,
        ..refusal
    }
}
