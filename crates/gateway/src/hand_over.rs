//! Hand-overs of computed prompts. The vm of the request measures them and reports them to the owner
//! of the service, which learns from them which links between engines are slow.

use std::cell::Cell;
use std::sync::Arc;
use std::time::Duration;

use http::StatusCode;
use jujubebeam_core::VmId;
use jujubebeam_core::gateway::{
    EndedHandOver, HandOver, HandOverEnd, HandOverFinding, HandOverOutcome, LinkChange,
    PromptRequestId, ReportedPrompt, TargetKey, owner_of,
};

use crate::decision_log::{DecisionKind, Importance, decision, millis};
use crate::in_flight::InFlight;
use crate::job::{Job, engine_limits};
use crate::request_log::importance;
use crate::state::{Fleet, Shared};

/// The hand-over of a computed prompt. Its end is reported once, at the latest when it is dropped.
#[derive(Debug)]
pub(crate) struct ReportedHandOver {
    shared: Arc<Shared>,
    request: String,
    importance: Importance,
    service: String,
    hand_over: HandOver,
    source: String,
    /// The owner that placed the prompt, and its request.
    placed_by: Option<(VmId, PromptRequestId)>,
    /// Decode engine that got the handle, and when.
    sent: Cell<Option<(TargetKey, Duration)>>,
    is_ended: Cell<bool>,
}

impl ReportedHandOver {
    /// Creates the hand-over of a prompt that an engine has computed.
    pub(crate) fn new(
        shared: &Arc<Shared>,
        job: &Job,
        computed: &InFlight,
        placed_by: Option<(VmId, PromptRequestId)>,
    ) -> Self {
        let parts = &job.incoming.prompt_parts;
        Self {
            shared: shared.clone(),
            request: job.incoming.attempt_id.clone(),
            importance: importance(job),
            service: job.service().to_owned(),
            hand_over: HandOver {
                source: computed.placement.key,
                tokens: parts.iter().map(|part| part.tokens).sum(),
            },
            source: computed.placement.target.id.clone(),
            placed_by,
            sent: Cell::new(None),
            is_ended: Cell::new(false),
        }
    }

    pub(crate) fn hand_over(&self) -> HandOver {
        self.hand_over
    }

    /// Records that the handle is sent to an engine.
    pub(crate) fn record_send(&self, target: TargetKey) {
        self.sent.set(Some((target, self.shared.now())));
    }

    /// Records that the first event of the answer arrived.
    pub(crate) fn record_first_event(&self) {
        self.end(HandOverOutcome::Started);
    }

    /// Records that the decode engine refused the request. Only 503 may mean that a link is too
    /// busy.
    pub(crate) fn record_refusal(&self, status: StatusCode) {
        self.end(match status {
            StatusCode::SERVICE_UNAVAILABLE => HandOverOutcome::NotStarted,
            _ => HandOverOutcome::Unknown,
        });
    }

    fn end(&self, outcome: HandOverOutcome) {
        if self.is_ended.replace(true) {
            return;
        }
        let shared = &self.shared;
        let now = shared.now();
        let (target, sent_at) = match self.sent.get() {
            Some((target, sent_at)) => (Some(target), sent_at),
            None => (None, now),
        };
        let took = now.saturating_sub(sent_at);
        let name = {
            let mut fleet = shared.fleet();
            let Fleet {
                catalog, placer, ..
            } = &mut *fleet;
            let settings = shared.settings();
            let engine = settings.map(|settings| engine_limits(&settings, &self.service));
            if let Some(target) = target {
                let ended = EndedHandOver {
                    hand_over: self.hand_over,
                    target,
                    took,
                    ended_at: now,
                    outcome,
                };
                placer.hand_over_ended(catalog, &ended, engine.unwrap_or_default());
            }
            let target = target.and_then(|key| catalog.get(key));
            target.map_or(String::new(), |target| target.id.clone())
        };
        decision!(
            shared,
            DecisionKind::HandedOver,
            importance: self.importance,
            request = self.request.as_str(),
            source = self.source.as_str(),
            target = name.as_str(),
            tokens = self.hand_over.tokens,
            outcome:? = outcome,
            took_ms = millis(took)
        );
        self.report(HandOverEnd {
            id: PromptRequestId {
                vm: shared.vm,
                number: 0,
            },
            target: name,
            prompt: None,
            took_us: u32::try_from(took.as_micros()).unwrap_or(u32::MAX),
            age_us: 0,
            outcome,
        });
    }

    /// Reports the end to the vm that placed the prompt, or else to the owner of the service.
    fn report(&self, end: HandOverEnd) {
        let shared = &self.shared;
        let now = shared.now();
        let (owner, end) = match self.placed_by {
            Some((owner, id)) => (Some(owner), HandOverEnd { id, ..end }),
            None => {
                let vms = shared.membership().coordinator_candidates(now);
                let prompt = ReportedPrompt {
                    source: self.source.clone(),
                    tokens: self.hand_over.tokens,
                };
                let id = shared.next_query_id();
                let prompt = Some(prompt);
                (
                    owner_of(&self.service, &vms),
                    HandOverEnd { id, prompt, ..end },
                )
            }
        };
        match owner {
            Some(owner) if owner == shared.vm => receive(shared, &[end]),
            Some(owner) => shared.prompt_ends.add_hand_over(owner, end, now),
            None => {}
        }
    }
}

impl Drop for ReportedHandOver {
    fn drop(&mut self) {
        self.end(HandOverOutcome::Unknown);
    }
}

/// Records reports of ended hand-overs, as the owner of their services.
pub(crate) fn receive(shared: &Shared, ends: &[HandOverEnd]) {
    let settings = shared.settings();
    let now = shared.now();
    let limits = |service: &str| {
        let settings = settings.as_ref();
        settings.map_or_else(Default::default, |settings| {
            engine_limits(settings, service)
        })
    };
    for end in ends {
        let mut fleet = shared.fleet();
        let Fleet { catalog, owner, .. } = &mut *fleet;
        let (finding, changes) = owner.hand_over_ended(catalog, end, limits, now);
        let slow_links = owner.slow_link_count(now);
        let name = |change: &LinkChange| catalog.get(change.key).map(|target| target.id.clone());
        let changes: Vec<_> = changes
            .iter()
            .filter_map(|change| Some((name(change)?, change.factor)))
            .collect();
        drop(fleet);
        shared.metrics.hand_over(finding.into(), slow_links);
        for (target, factor) in changes {
            record_change(shared, &target, factor, finding);
        }
    }
}

fn record_change(shared: &Shared, target: &str, factor: f64, finding: HandOverFinding) {
    let finding: &'static str = finding.into();
    decision!(
        shared,
        DecisionKind::Link,
        target,
        transfer_percent = (factor * 100.0).round() as u64,
        finding
    );
}
