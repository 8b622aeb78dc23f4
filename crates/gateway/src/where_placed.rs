//! Answers where a request would go now, and why, without sending or counting it.
//!
//! It uses the decision code of requests with the state of this vm. A prompt whose owner is another
//! vm is explained from the state of this one, which sees only its own requests; the answer says so
//! and names the owner. Nothing depends on the key of a caller.

use std::sync::Arc;
use std::time::Duration;

use jujubebeam_core::gateway::{
    AdmissionClass, EnginePlan, OmittedTarget, PlacementExplanation, PlacementRefused,
    PlacementRequest, PromptPart, RequiredVersion, Stage, TargetEstimate, owner_of,
};
use ntex::web::types::{Query, State};
use ntex::web::{HttpRequest, HttpResponse};
use serde::{Deserialize, Serialize};

use crate::answer::Reason;
use crate::job::{DEFAULT_TIMEOUT, engine_limits};
use crate::state::Shared;

/// Path of the query on the listener of the metrics.
pub(crate) const PLACEMENT_PATH: &str = "/placement";

/// Most candidates and most omitted targets in an answer.
const MAX_LISTED: usize = 20;

/// Most prompt parts in a query. Requests of the deployments have three.
const MAX_PARTS: usize = 64;

/// Largest number of tokens of a part or an answer. Sums of larger ones could overflow.
const MAX_TOKENS: u64 = u32::MAX as u64;

/// A query for the placement of a request.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Asked {
    host: String,
    path: String,
    /// Service of the route, if it has several.
    service: Option<String>,
    /// Parts of the prompt as `ID:TOKENS` with hexadecimal ids, separated by commas.
    #[serde(default)]
    parts: String,
    #[serde(default)]
    output_tokens: u64,
}

/// How a request would be run.
#[derive(Debug, Serialize)]
#[serde(rename_all = "snake_case")]
enum Plan {
    /// A target of a plain service runs it.
    Plain,
    /// One engine computes the prompt and generates the answer.
    Direct,
    /// An engine computes the prompt, and another one generates the answer.
    Split,
}

#[derive(Debug, Default, Serialize)]
struct Answer {
    vm: u32,
    route: Option<String>,
    service: Option<String>,
    plan: Option<Plan>,
    prompt_tokens: u64,
    output_tokens: u64,
    longest_wait_ms: u64,
    /// The engine that computes the prompt.
    prompt: Option<Choice>,
    /// The target that generates the answer.
    answer: Option<Choice>,
    refused: Option<Refused>,
}

#[derive(Debug, Serialize)]
struct Choice {
    /// The vm that decides.
    decided_by: u32,
    /// Its address for other vms.
    decided_by_address: Option<String>,
    /// Whether the estimates are those of the vm that decides.
    is_from_decider: bool,
    tie_margin_ms: f64,
    candidates: Vec<TargetEstimate>,
    candidates_left_out: usize,
    omitted: Vec<OmittedTarget>,
    omitted_left_out: usize,
}

#[derive(Debug, Serialize)]
struct Refused {
    reason: &'static str,
    retry_after_ms: Option<u64>,
    wait_ms: Option<u64>,
}

impl Refused {
    fn because(reason: Reason) -> Self {
        Self {
            reason: reason.into(),
            retry_after_ms: None,
            wait_ms: None,
        }
    }

    fn new(refused: PlacementRefused) -> Self {
        let millis = |time: Duration| Some(time.as_millis() as u64);
        let (reason, retry_after, wait) = match refused {
            PlacementRefused::NoTarget => (Reason::NoTarget, crate::forward::NO_TARGET_RETRY, None),
            PlacementRefused::Resting { retry_after } => (Reason::TargetsRest, retry_after, None),
            PlacementRefused::Limited { retry_after } => {
                (Reason::TargetsLimited, retry_after, None)
            }
            PlacementRefused::Overloaded { retry_after, wait } => {
                (Reason::Overloaded, retry_after, Some(wait))
            }
        };
        Self {
            retry_after_ms: millis(retry_after),
            wait_ms: wait.and_then(millis),
            ..Self::because(reason)
        }
    }
}

impl Choice {
    fn new(explained: PlacementExplanation, decider: u32) -> Self {
        let PlacementExplanation {
            mut candidates,
            mut omitted,
            tie_margin_ms,
            ..
        } = explained;
        let left_out = |count: usize| count.saturating_sub(MAX_LISTED);
        let (candidates_left_out, omitted_left_out) =
            (left_out(candidates.len()), left_out(omitted.len()));
        candidates.truncate(MAX_LISTED);
        omitted.truncate(MAX_LISTED);
        Self {
            decided_by: decider,
            decided_by_address: None,
            is_from_decider: true,
            tie_margin_ms,
            candidates,
            candidates_left_out,
            omitted,
            omitted_left_out,
        }
    }
}

/// Answers a query.
pub(crate) async fn answer(shared: State<Arc<Shared>>, request: HttpRequest) -> HttpResponse {
    let asked = Query::<Asked>::from_query(request.query_string());
    let asked = match asked.map(Query::into_inner) {
        Ok(asked) => asked,
        Err(error) => return bad_query(&error.to_string()),
    };
    let parts = match parse_parts(&asked.parts) {
        Ok(parts) if asked.output_tokens <= MAX_TOKENS => parts,
        Ok(_) => return bad_query("output_tokens: the number is too large"),
        Err(fault) => return bad_query(fault),
    };
    HttpResponse::Ok().json(&explain(&shared, &asked, &parts))
}

fn bad_query(fault: &str) -> HttpResponse {
    HttpResponse::BadRequest().content_type("text/plain").body(format!(
        "{fault}; use {PLACEMENT_PATH}?host=HOST&path=PATH[&service=NAME][&parts=ID:TOKENS,...][&output_tokens=N]\n"
    ))
}

fn parse_parts(text: &str) -> Result<Vec<PromptPart>, &'static str> {
    let part = |entry: &str| {
        let (id, tokens) = entry.trim().split_once(':')?;
        Some(PromptPart {
            id: u64::from_str_radix(id, 16).ok()?,
            tokens: tokens.parse().ok().filter(|tokens| *tokens <= MAX_TOKENS)?,
        })
    };
    let entries = text.split(',').filter(|entry| !entry.is_empty());
    let parts: Option<Vec<_>> = entries.take(MAX_PARTS + 1).map(part).collect();
    match parts {
        None => Err("parts: a part is not a hexadecimal id, a colon and a number of tokens"),
        Some(parts) if parts.len() > MAX_PARTS => Err("parts: there are more than 64"),
        Some(parts) => Ok(parts),
    }
}

fn explain(shared: &Shared, asked: &Asked, parts: &[PromptPart]) -> Answer {
    let mut answer = Answer {
        vm: shared.vm.0,
        prompt_tokens: parts.iter().map(|part| part.tokens).sum(),
        output_tokens: asked.output_tokens,
        ..Answer::default()
    };
    let refused = |answer: Answer, reason| Answer {
        refused: Some(Refused::because(reason)),
        ..answer
    };
    let Some(settings) = shared.settings().filter(|_| shared.has_started()) else {
        return refused(answer, Reason::Starting);
    };
    if shared.has_stopped_accepting() {
        return refused(answer, Reason::Leaving);
    }
    let Some(route) = settings.route(&asked.host, &asked.path) else {
        return refused(answer, Reason::UnknownRoute);
    };
    answer.route = Some(route.name.clone());
    let service = match &asked.service {
        Some(name) => route.services.iter().find(|s| s.service == *name),
        None => route.services.iter().max_by_key(|share| share.weight),
    };
    let Some(service) = service.map(|share| &share.service) else {
        return refused(answer, Reason::NoTarget);
    };
    answer.service = Some(service.clone());
    let time_left = match route.timeout {
        Duration::ZERO => DEFAULT_TIMEOUT,
        timeout => timeout,
    };
    let longest_wait = AdmissionClass::New.longest_wait(route.latency_aim, time_left);
    answer.longest_wait_ms = longest_wait.as_millis() as u64;
    let is_engine = settings
        .services
        .get(service)
        .is_some_and(|s| s.engine.is_some());
    let request = PlacementRequest {
        service,
        stage: is_engine.then_some(Stage::Decode),
        parts,
        excluded: &[],
        longest_wait,
        time_left,
        zone: &shared.config.zone,
        engine: engine_limits(&settings, service),
        hand_over: None,
        version: RequiredVersion::Any,
    };
    choose(shared, &request, answer)
}

fn choose(shared: &Shared, request: &PlacementRequest<'_>, mut answer: Answer) -> Answer {
    let now = shared.now();
    let (decider, address) = decider(shared, request.service, now);
    let fleet = shared.fleet();
    let (catalog, placer) = (&fleet.catalog, &fleet.placer);
    let plan = match request.stage {
        Some(_) => placer.plan_engine_request(catalog, request, now).map(Some),
        None => Ok(None),
    };
    let mut refused = plan.as_ref().err().copied();
    let mut handed_over = request.clone();
    answer.plan = match plan {
        Ok(Some(EnginePlan::Split { longest_wait })) => {
            let backing_off: Vec<_> = placer.backing_off(now).collect();
            let prompt = PlacementRequest {
                stage: Some(Stage::Prefill),
                longest_wait,
                excluded: &backing_off,
                ..request.clone()
            };
            let explained = match decider == shared.vm.0 {
                true => fleet.owner.explain(catalog, &prompt, now),
                false => placer.explain(catalog, &prompt, now),
            };
            refused = explained.refused;
            answer.prompt = Some(Choice {
                decided_by_address: address,
                is_from_decider: decider == shared.vm.0,
                ..Choice::new(explained, decider)
            });
            handed_over.parts = &[];
            Some(Plan::Split)
        }
        Ok(Some(EnginePlan::Direct)) => Some(Plan::Direct),
        Ok(None) => Some(Plan::Plain),
        Err(_) => None,
    };
    let explained = placer.explain(catalog, &handed_over, now);
    answer.refused = refused.or(explained.refused).map(Refused::new);
    answer.answer = Some(Choice::new(explained, shared.vm.0));
    answer
}

/// The vm that chooses the engine of a prompt, and its address if it is another vm. This vm chooses
/// alone while the owner of the service does not reply.
fn decider(shared: &Shared, service: &str, now: Duration) -> (u32, Option<String>) {
    let membership = shared.membership();
    let owner = owner_of(service, &membership.coordinator_candidates(now));
    let owner = owner.filter(|owner| shared.unresponsive_owners().may_query(*owner, now));
    match owner.filter(|owner| *owner != shared.vm) {
        Some(owner) => {
            let record = membership.record(owner);
            (owner.0, record.map(|record| record.peer_address.clone()))
        }
        None => (shared.vm.0, None),
    }
}
