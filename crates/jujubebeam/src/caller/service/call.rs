//! One attempt at a plain service.

use jujubebeam_caller::CallerError;
use jujubebeam_caller::headers as names;
use jujubebeam_core::quarantine::Verdict;
use jujubebeam_core::{Clock, TargetId};
use jujubebeam_http::CallError;
use jujubebeam_service::{ServiceClient, ServiceClientConfig};
use ntex::client::Client;
use ntex::http::header;
use ntex::http::header::{HeaderName, HeaderValue};
use smallvec::SmallVec;

use super::{Answer, Job};
use crate::caller::refusals;
use crate::context::Context;
use crate::crashes;
use crate::dispatch::{self, Ask, Permit};
use crate::metrics::Counter;
use crate::trace;

/// Asks for a target.
pub(super) async fn acquire(
    context: &Context,
    job: &Job,
    excluded: SmallVec<[TargetId; 4]>,
) -> Result<Permit, CallerError> {
    let verdict = crashes::verdict(context, job.fingerprint());
    if let Some(error) = refusals::crashes_targets(verdict) {
        return Err(error);
    }
    let snapshot = refusals::settings(context)?;
    let route = job.route(&snapshot)?;
    let ask = Ask {
        request: job.request,
        route,
        workspace: job.workspace.and_then(|id| snapshot.workspaces.get(&id)),
        prompt_tokens: 0,
        max_tokens: None,
        delivered_tokens: 0,
        prefix_hashes: &[],
        repeatable: route.is_repeatable(job.method.as_str()),
        deadline: job.remaining(context),
        excluded,
        suspect: verdict == Verdict::Suspect,
    };
    dispatch::acquire(context, &snapshot, &ask).await
}

/// Sends the request and reads the whole answer. An answer that echoes another attempt counts as
/// no answer.
pub(super) async fn call(
    context: &Context,
    client: &Client,
    job: &Job,
    address: &str,
    attempt: u32,
) -> Result<Answer, CallError> {
    let attempt = format!("{}-{attempt}", refusals::id_text(job.request));
    let mut headers = job.headers.clone();
    if let Ok(value) = HeaderValue::from_str(&attempt) {
        headers.insert(HeaderName::from_static(names::ATTEMPT), value);
    }
    let metrics = &context.shared.metrics;
    metrics.count(Counter::Attempts);
    let span = tracing::info_span!(parent: &job.span, "attempt", %address);
    trace::insert_traceparent(&span, &mut headers);
    let service = ServiceClient::new(client.clone(), address, ServiceClientConfig::default());
    let response = service
        .forward(
            job.method.clone(),
            &job.path_and_query,
            &headers,
            job.body.clone(),
        )
        .await?;
    let passed = context.shared.clock.now().saturating_sub(job.arrived);
    metrics.add_time(Counter::FirstByteMicros, passed);
    // Plain services that do not know the header send none.
    let echoed = response.headers().get(names::ATTEMPT);
    if echoed.is_some_and(|e| e.as_bytes() != attempt.as_bytes()) {
        return Err(CallError::NoAnswer("answer of another attempt".into()));
    }
    let content_type = response.headers().get(header::CONTENT_TYPE);
    let content_type = content_type
        .and_then(|v| v.to_str().ok())
        .map(str::to_owned);
    let status = response.status();
    let body = response.body().await;
    Ok(Answer {
        status,
        content_type,
        body: body.map_err(|e| CallError::NoAnswer(e.to_string()))?,
    })
}
