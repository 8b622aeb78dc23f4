//! Requests in flight, which are counted at their targets.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use jujubebeam_core::VmId;
use jujubebeam_core::gateway::{
    LoadReport, Placement, PromptEnd, PromptOutcome, PromptRequestId, TargetRun, UnansweredAttempt,
};

use crate::backup::Backup;
use crate::hand_over::ReportedHandOver;
use crate::job::Job;
use crate::state::Shared;

/// A placement by the owner of the service, to which its end is reported.
#[derive(Clone, Copy, Debug)]
pub(crate) struct OwnerPlacement {
    owner: VmId,
    id: PromptRequestId,
    placed_at: Duration,
}

impl OwnerPlacement {
    pub(crate) fn new(owner: VmId, id: PromptRequestId, placed_at: Duration) -> Self {
        Self {
            owner,
            id,
            placed_at,
        }
    }

    pub(crate) fn owner(&self) -> VmId {
        self.owner
    }

    /// Reports to the owner that the prompt is no longer at its engine.
    pub(crate) fn ended(
        &self,
        shared: &Shared,
        outcome: PromptOutcome,
        report: Option<LoadReport>,
    ) {
        let now = shared.now();
        let end = PromptEnd {
            id: self.id,
            outcome,
            took: now.saturating_sub(self.placed_at),
            report,
        };
        match self.owner == shared.vm {
            true => shared.fleet().owner.ended(&end, now),
            false => shared.prompt_ends.add(self.owner, end),
        }
    }
}

/// A request that is counted at its target until it is dropped.
#[derive(Debug)]
pub(crate) struct InFlight {
    shared: Arc<Shared>,
    pub(crate) placement: Placement,
    /// Engine that keeps a backup of the run.
    pub(crate) backup: Option<Backup>,
    /// The computed prompt that the target fetches.
    pub(crate) hand_over: Option<Rc<ReportedHandOver>>,
    /// Set until the end has been reported to the owner.
    owned: Cell<Option<OwnerPlacement>>,
    /// Set while the target has the request. If the entry is dropped with it, nothing showed how the
    /// attempt ended at the target, which may have crashed.
    unanswered: RefCell<Option<UnansweredAttempt>>,
}

impl InFlight {
    /// Creates the entry of a request that this vm placed itself.
    pub(crate) fn new(shared: &Arc<Shared>, placement: Placement) -> Self {
        Self {
            shared: shared.clone(),
            placement,
            backup: None,
            hand_over: None,
            owned: Cell::new(None),
            unanswered: RefCell::default(),
        }
    }

    /// Creates the entry of a prompt that the owner of its service placed.
    pub(crate) fn owned(shared: &Arc<Shared>, placement: Placement, owned: OwnerPlacement) -> Self {
        let in_flight = Self::new(shared, placement);
        in_flight.owned.set(Some(owned));
        in_flight
    }

    /// The owner that placed the prompt, and its request, until the end is reported.
    pub(crate) fn placed_by(&self) -> Option<(VmId, PromptRequestId)> {
        self.owned.get().map(|owned| (owned.owner, owned.id))
    }

    /// Records that the request is sent to the target.
    pub(crate) fn record_send(&self, job: &Job) {
        let (target, now) = (&self.placement.target, self.shared.now());
        self.shared.reachability().sent(&target.service, now);
        self.unanswered.replace(Some(UnansweredAttempt {
            attempt_id: job.incoming.attempt_id.clone(),
            identity: job.identity.clone(),
            run: TargetRun::of(target),
            service: target.service.clone(),
            silent_since: now,
        }));
        if let Some(hand_over) = &self.hand_over {
            hand_over.record_send(self.placement.key);
        }
    }

    /// Records how the attempt ended at the target, so that it is no evidence of a crash.
    pub(crate) fn settle(&self) {
        self.unanswered.take();
    }

    /// Records that the target sent a part of the answer.
    pub(crate) fn record_contact(&self) {
        let now = self.shared.now();
        if let Some(unanswered) = &mut *self.unanswered.borrow_mut() {
            unanswered.silent_since = now;
        }
        let key = self.placement.key;
        self.shared.crash_evidence().answered(key, now);
    }

    /// Records that the first event of a stream arrived.
    pub(crate) fn record_first_event(&self) {
        if let Some(hand_over) = &self.hand_over {
            hand_over.record_first_event();
        }
    }

    /// Records that the first byte of the answer arrived.
    pub(crate) fn answered(&self, report: Option<LoadReport>) {
        let now = self.shared.now();
        self.record_answer(now);
        self.shared
            .fleet()
            .placer
            .first_byte(&self.placement, report, now);
        self.shared.metrics.reported_load(report);
        self.notify_owner(PromptOutcome::Computed, report);
    }

    /// Records that the target stated that it did not run the request.
    pub(crate) fn refused(&self, report: Option<LoadReport>) {
        let now = self.shared.now();
        self.record_answer(now);
        self.settle();
        self.shared
            .fleet()
            .placer
            .refused(&self.placement, report, now);
        self.shared.metrics.reported_load(report);
        self.notify_owner(PromptOutcome::Refused, report);
    }

    /// Records that the connection broke, or that the answer does not belong to the request or the
    /// target.
    pub(crate) fn failed(&self) {
        let now = self.shared.now();
        self.shared
            .reachability()
            .failed(&self.placement.target.service);
        self.shared.fleet().placer.failed(&self.placement, now);
        self.notify_owner(PromptOutcome::Failed, None);
    }

    /// Records that the request could not be sent to the target.
    pub(crate) fn unreachable(&self) {
        let now = self.shared.now();
        self.settle();
        self.shared
            .reachability()
            .failed(&self.placement.target.service);
        self.shared.fleet().placer.unreachable(&self.placement, now);
        self.notify_owner(PromptOutcome::Unreachable, None);
    }

    fn record_answer(&self, now: Duration) {
        self.record_contact();
        let service = &self.placement.target.service;
        self.shared.reachability().answered(service, now);
    }

    fn notify_owner(&self, outcome: PromptOutcome, report: Option<LoadReport>) {
        if let Some(owned) = self.owned.take() {
            owned.ended(&self.shared, outcome, report);
        }
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        let now = self.shared.now();
        self.shared.fleet().placer.finished(&self.placement, now);
        self.notify_owner(PromptOutcome::GivenUp, None);
        if let Some(unanswered) = self.unanswered.take() {
            let key = self.placement.key;
            self.shared.crash_evidence().ended(key, unanswered, now);
        }
    }
}
