//! Attempts at engines: choosing, sending, cancelling and moving.

use std::pin::pin;
use std::time::Duration;

use jujubebeam_caller::CallerError;
use jujubebeam_core::quarantine::Verdict;
use jujubebeam_core::request::{Attempt, Close, RequestEvent, Resume};
use jujubebeam_core::settings::TargetSpec;
use jujubebeam_core::{Clock, TargetId};
use jujubebeam_engine::{
    EngineClient, EngineClientConfig, EngineRequest, KvHandle, KvImportRequest, ResumeFrom,
};
use jujubebeam_http::CallError;
use ntex::time::{Millis, sleep};
use smallvec::SmallVec;

use super::connection::{Connection, SILENCE, attempt_text};
use super::driver::{CHECK_INTERVAL, Driver};
use crate::caller::refusals;
use crate::crashes;
use crate::dispatch::{self, Ask, Permit};
use crate::metrics::Counter;
use crate::trace;

/// Time in which a stream that already delivered text must find its next target. The caller sees
/// a pause of this length at most.
const RESUME_WAIT: Duration = Duration::from_secs(2);

impl Driver {
    fn engine(&self, address: &str) -> EngineClient {
        let client = self.context.targets.clone();
        EngineClient::new(client, address, EngineClientConfig::default())
    }

    pub(super) async fn acquire(&mut self, excluded: SmallVec<[TargetId; 4]>) {
        let moving = self.connection.is_some();
        if !moving {
            self.permit = None;
        }
        let result = tokio::select! {
            biased;
            () = self.output.closed() => None,
            result = self.ask(excluded) => Some(result),
        };
        match result {
            None => self.caller_gone().await,
            Some(Ok(permit)) => {
                let target = permit.target.id;
                match moving {
                    true => self.next_permit = Some(permit),
                    false => self.permit = Some(permit),
                }
                self.feed(RequestEvent::Granted { target });
            }
            Some(Err(error)) => {
                if !moving {
                    self.refusal = Some(error);
                }
                self.feed(RequestEvent::Refused);
            }
        }
    }

    async fn ask(&self, excluded: SmallVec<[TargetId; 4]>) -> Result<Permit, CallerError> {
        let verdict = crashes::verdict(&self.context, self.job.fingerprint);
        if let Some(error) = refusals::crashes_targets(verdict) {
            return Err(error);
        }
        let snapshot = refusals::settings(&self.context)?;
        let route = self.job.route(&snapshot)?;
        let workspace = match self.job.workspace {
            None => None,
            Some(id) => Some(
                snapshot
                    .workspaces
                    .get(&id)
                    .ok_or_else(Self::workspace_gone)?,
            ),
        };
        let now = self.context.shared.clock.now();
        let deadline = match self.machine.delivered_tokens() {
            0 => self.job.deadline.saturating_sub(now),
            _ => RESUME_WAIT,
        };
        let ask = Ask {
            request: self.job.request,
            route,
            workspace,
            prompt_tokens: self.job.prompt_tokens + self.machine.delivered_tokens(),
            max_tokens: self.job.chat.max_tokens,
            delivered_tokens: self.machine.delivered_tokens(),
            prefix_hashes: &self.job.prefix_hashes,
            repeatable: true,
            deadline,
            excluded,
            suspect: verdict == Verdict::Suspect,
        };
        dispatch::acquire(&self.context, &snapshot, &ask).await
    }

    /// Starts the move that the scheduler has planned, from prefill to decode or off an engine that
    /// is about to change. Returns whether there is one.
    pub(super) fn follow_plan(&mut self) -> bool {
        let Some(target) = self.permit.as_ref().and_then(Permit::moves_to) else {
            return false;
        };
        let movable = !self.delivered_other && self.target(target).is_some();
        if let Some(permit) = &mut self.permit
            && !(movable && permit.reserve(target))
        {
            permit.stayed();
            return true;
        }
        self.feed(RequestEvent::MoveTo { target });
        true
    }

    fn target(&self, target: TargetId) -> Option<TargetSpec> {
        let snapshot = self.context.shared.snapshot()?;
        snapshot.targets.get(&target).cloned()
    }

    /// Makes the target of the next attempt the present one.
    fn switch_to(&mut self, target: TargetId) {
        if let Some(permit) = self.next_permit.take() {
            self.permit = Some(permit);
            return;
        }
        let known = self.permit.as_ref().map(|p| p.target.id);
        if known == Some(target) {
            return;
        }
        let spec = self.target(target);
        if let (Some(permit), Some(spec)) = (&mut self.permit, spec) {
            permit.moved(spec);
        }
    }

    pub(super) async fn send(
        &mut self,
        attempt: Attempt,
        target: TargetId,
        resume: Option<Resume>,
    ) {
        self.connection = None;
        self.switch_to(target);
        let Some(address) = self.permit.as_ref().map(|p| p.target.address.clone()) else {
            return;
        };
        let metrics = &self.context.shared.metrics;
        metrics.count(Counter::Attempts);
        if resume.is_some() {
            metrics.count(Counter::Resumes);
        }
        // The span of the last attempt ends here.
        self.attempt_span = tracing::info_span!(parent: &self.job.span, "attempt", %address);
        let request = self.engine_request(attempt, resume);
        let engine = self.engine(&address);
        let traceparent = trace::traceparent(&self.attempt_span, &self.job.headers);
        let result = {
            let mut chat = pin!(engine.chat(&request, traceparent.as_deref()));
            let mut waited = Millis::ZERO;
            loop {
                tokio::select! {
                    biased;
                    () = self.output.closed() => return self.caller_gone().await,
                    result = &mut chat => break Some(result),
                    () = sleep(CHECK_INTERVAL) => {}
                }
                self.check();
                if self.machine.is_done() {
                    return;
                }
                waited = waited + CHECK_INTERVAL;
                if waited >= SILENCE {
                    break None;
                }
            }
        };
        match result {
            None => {
                let close = Close::StreamEnded;
                self.feed(RequestEvent::Closed { attempt, close });
            }
            Some(Ok(response)) if response.status().is_success() => {
                let connection = Connection::new(attempt, response);
                let echoed = connection.echoed(self.job.request);
                self.connection = Some(connection);
                self.feed(RequestEvent::Head { attempt, echoed });
            }
            Some(Ok(response)) => {
                let close = Close::Status(response.status().as_u16());
                self.feed(RequestEvent::Closed { attempt, close });
            }
            Some(Err(error)) => {
                let close = match error {
                    CallError::Refused => Close::NotSent,
                    _ => Close::StreamEnded,
                };
                log::debug!("route: attempt {attempt:?} failed: {error}");
                self.feed(RequestEvent::Closed { attempt, close });
            }
        }
    }

    /// Engines are always asked for a stream, so that a whole answer can be resumed too.
    fn engine_request(&self, attempt: Attempt, resume: Option<Resume>) -> EngineRequest {
        let snapshot = self.context.shared.snapshot();
        let workspace = snapshot
            .as_ref()
            .zip(self.job.workspace)
            .and_then(|(s, id)| s.workspaces.get(&id));
        let mut chat = self.job.chat.clone();
        chat.stream = true;
        EngineRequest {
            chat,
            attempt_id: attempt_text(self.job.request, attempt),
            priority: workspace.map_or(0, |w| w.priority as u8),
            resume: resume.map(|r| ResumeFrom {
                delivered_tokens: r.tokens,
                delivered_text: r.text,
                kv_handle: r.kv_handle.and_then(|h| handle_name(&h)),
            }),
        }
    }

    /// Closes the connection and tells the engine, which may not notice a closed connection while
    /// it computes the prompt.
    pub(super) fn cancel(&mut self, attempt: Attempt) {
        if self
            .connection
            .as_ref()
            .is_some_and(|c| c.attempt == attempt)
        {
            self.connection = None;
        }
        let Some(permit) = &self.permit else {
            return;
        };
        let engine = self.engine(&permit.target.address);
        let attempt = attempt_text(self.job.request, attempt);
        ntex::rt::spawn(async move {
            if let Err(error) = engine.cancel(&attempt).await {
                log::debug!("route: attempt {attempt} was not cancelled: {error}");
            }
        });
    }

    pub(super) async fn export(&mut self, attempt: Attempt) {
        let Some(address) = self.permit.as_ref().map(|p| p.target.address.clone()) else {
            return;
        };
        let engine = self.engine(&address);
        let exported = engine
            .export_kv(&attempt_text(self.job.request, attempt))
            .await;
        let handle = exported.ok().and_then(|h| serde_json::to_string(&h).ok());
        self.feed(RequestEvent::Exported { attempt, handle });
    }

    pub(super) async fn import(&mut self, to: TargetId, handle: String) {
        let source = self.permit.as_ref().map(|p| p.target.address.clone());
        let target = match &self.next_permit {
            Some(permit) => Some(permit.target.address.clone()),
            None => self.target(to).map(|t| t.address),
        };
        let handle = serde_json::from_str::<KvHandle>(&handle).ok();
        let (Some(source_address), Some(target), Some(handle)) = (source, target, handle) else {
            return self.feed(RequestEvent::Imported { done: false });
        };
        let engine = self.engine(&target);
        let request = KvImportRequest {
            source_address,
            handle,
        };
        let answer = engine.import_kv(&request).await;
        let done = answer.is_ok_and(|a| a.done);
        self.feed(RequestEvent::Imported { done });
    }
}

/// Name under which the importing engine keeps a cache. The machine carries the whole handle.
fn handle_name(handle: &str) -> Option<String> {
    let handle = serde_json::from_str::<KvHandle>(handle).ok()?;
    Some(handle.handle)
}
