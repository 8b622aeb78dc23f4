//! Finds out whether targets that left attempts without an answer have crashed. See
//! [`jujubebeam_core::gateway::CrashEvidence`].

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderName, HeaderValue, Request, header};
use http_body_util::Full;
use jujubebeam_core::gateway::{
    Catalog, EvidenceStep, RunState, TargetKey, TargetPhase, TargetRun,
};
use ntex::time::sleep;
use tokio::time::timeout;

use crate::adapters::{Adapters, Wire};
use crate::answer::TargetHeaders;
use crate::connection::send_once;
use crate::crashes;
use crate::decision_log::{DecisionKind, decision, millis};
use crate::server::Context;
use crate::state::Shared;

/// Interval between checks of the attempts.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Timeout of a health check. A target that answers later than it has to is still alive.
const HEALTH_CHECK_TIMEOUT: Duration = Duration::from_millis(1500);

/// Observes the targets of unanswered attempts until the process ends.
pub(crate) async fn run<A: Adapters>(context: &Context<A>) {
    let shared = &context.shared;
    loop {
        sleep(CHECK_INTERVAL).await;
        let steps = {
            let (fleet, now) = (shared.fleet(), shared.now());
            let state_of = |key, run: &TargetRun| state_of(&fleet.catalog, key, run);
            shared.crash_evidence().step(state_of, now)
        };
        for step in steps {
            match step {
                EvidenceStep::Probe {
                    key,
                    run,
                    service,
                    needs_comparison,
                } => {
                    let probed = Probed { key, run, service };
                    let other = needs_comparison.then(|| another_target(shared, key));
                    for probed in std::iter::once(probed).chain(other.flatten()) {
                        let context = context.clone();
                        ntex::rt::spawn(async move { probe(&context, &probed).await });
                    }
                }
                EvidenceStep::Settled {
                    attempt,
                    outcome,
                    silent_for,
                } => {
                    decision!(
                        shared,
                        DecisionKind::Unanswered,
                        request = attempt.attempt_id.as_str(),
                        target = attempt.run.id.as_str(),
                        outcome:% = outcome,
                        silent_ms = millis(silent_for)
                    );
                    if outcome.is_crash() {
                        crashes::report_unanswered(context, &attempt, silent_for);
                    }
                }
            }
        }
    }
}

fn state_of(catalog: &Catalog, key: TargetKey, run: &TargetRun) -> RunState {
    match (catalog.get(key), catalog.by_id(&run.id)) {
        (Some(target), _) if target.phase == TargetPhase::Draining || catalog.is_leaving(key) => {
            RunState::Leaving
        }
        (Some(_), _) => RunState::Listed,
        (None, Some(_)) => RunState::Replaced,
        (None, None) => RunState::Gone,
    }
}

/// A target whose health is checked.
struct Probed {
    key: TargetKey,
    run: TargetRun,
    service: String,
}

/// Another target, which shows whether this vm reaches any. It changes with the time, as it may be down
/// as well.
fn another_target(shared: &Shared, key: TargetKey) -> Option<Probed> {
    let (fleet, now) = (shared.fleet(), shared.now());
    let usable = fleet.catalog.usable(now);
    let others: Vec<_> = usable.filter(|(other, _)| *other != key).collect();
    let index = now.as_millis() as usize % others.len().max(1);
    let (key, target) = others.get(index)?;
    Some(Probed {
        key: *key,
        run: TargetRun::of(target),
        service: target.service.clone(),
    })
}

/// Checks the health of a target. Any answer shows that it is alive, whatever it says.
async fn probe<A: Adapters>(context: &Context<A>, probed: &Probed) {
    let shared = &context.shared;
    let Some(request) = health_check::<A>(shared, probed) else {
        return;
    };
    let answer = timeout(
        HEALTH_CHECK_TIMEOUT,
        send_once(&probed.run.address, request),
    )
    .await;
    let Ok(Ok(response)) = answer else {
        return;
    };
    let status = response.status().as_u16();
    let head = A::Wire::answer(status, &TargetHeaders(response.headers()));
    let mut evidence = shared.crash_evidence();
    match head.notice.is_from_other_target {
        true => evidence.found_replaced(probed.key),
        false => evidence.answered(probed.key, shared.now()),
    }
}

fn health_check<A: Adapters>(shared: &Shared, probed: &Probed) -> Option<Request<Full<Bytes>>> {
    let settings = shared.settings()?;
    let service = settings.services.get(&probed.service)?;
    // A health check of an engine may wait for a slot.
    let path = match service.engine {
        Some(_) => A::Wire::ENGINE_QUERY_PATH,
        None => &service.health_path,
    };
    let mut request = Request::new(Full::default());
    *request.uri_mut() = path.parse().ok()?;
    let headers = request.headers_mut();
    let host = HeaderValue::from_str(&probed.run.address).ok()?;
    headers.insert(header::HOST, host);
    for (name, value) in A::Wire::health_check(&probed.run.id) {
        let value = HeaderValue::from_str(&value).ok()?;
        headers.insert(HeaderName::from_static(name), value);
    }
    Some(request)
}
