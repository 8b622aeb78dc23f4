//! Shows why a request went where it went.

use jujubebeam_core::scheduler::{Candidate, Explanation, Reason};
use jujubebeam_core::settings::Snapshot;
use jujubebeam_core::{RequestId, TargetId};
use jujubebeam_operator::api::ExplainAnswer;
use ntex::web::{HttpRequest, HttpResponse};

use super::{authorize, refuse};
use crate::caller::ContextState;

/// Handles `GET /operator/v1/explain/{request}`.
pub(super) async fn show(context: ContextState, request: HttpRequest) -> HttpResponse {
    if let Err(response) = authorize(&context, request.headers()) {
        return response;
    }
    let text = request.match_info().get("request").unwrap_or_default();
    let Ok(id) = u128::from_str_radix(text, 16) else {
        return refuse(
            HttpResponse::BadRequest(),
            "this is not a request id",
            "use the value of the `x-request-id` header of the answer",
        );
    };
    let explanations = context.shared.dispatcher.explain(RequestId(id));
    if explanations.is_empty() {
        return refuse(
            HttpResponse::NotFound(),
            "this vm has no decision on the request in memory",
            "ask the vm that served the request, soon after it",
        );
    }
    let snapshot = context.shared.snapshot();
    let name = |target: TargetId| name(snapshot.as_deref(), target);
    HttpResponse::Ok().json(&ExplainAnswer {
        request_id: text.to_owned(),
        decisions: explanations.iter().map(|e| decision(e, &name)).collect(),
    })
}

fn decision(explanation: &Explanation, name: &impl Fn(TargetId) -> String) -> String {
    let waited_ms = explanation.waited.as_millis();
    let reason = match explanation.reason {
        Reason::Refused(kind) => format!("refused: {kind}"),
        reason => reason.to_string(),
    };
    let mut text = format!("waited_ms={waited_ms} reason={reason}");
    if let Some(target) = explanation.target {
        text.push_str(&format!(" target={}", name(target)));
    }
    if let Some(decode) = explanation.decode {
        text.push_str(&format!(" decode={}", name(decode)));
    }
    for candidate in &explanation.candidates {
        text.push_str(&considered(candidate, &name(candidate.target)));
    }
    text
}

fn considered(candidate: &Candidate, name: &str) -> String {
    format!(
        "; candidate {name}: cost={:.3} first_token_ms={} token_interval_ms={:.1} cached_tokens={}",
        candidate.cost,
        candidate.first_token.as_millis(),
        candidate.token_interval_ms,
        candidate.cached_tokens
    )
}

/// Name in the present settings, which may no longer contain the target.
fn name(snapshot: Option<&Snapshot>, target: TargetId) -> String {
    let spec = snapshot.and_then(|s| s.targets.get(&target));
    spec.map_or_else(|| format!("{target:?}"), |t| t.name.clone())
}
