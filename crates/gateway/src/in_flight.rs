//! A request that is counted at its target.

use std::cell::Cell;
use std::sync::Arc;
use std::time::Duration;

use jujubebeam_core::VmId;
use jujubebeam_core::gateway::{LoadReport, Placement, PromptEnd, PromptOutcome, PromptRequestId};

use crate::backup::Backup;
use crate::state::Shared;

/// A placing by the owner of the service, which is told how it ends.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Owned {
    owner: VmId,
    id: PromptRequestId,
    placed_at: Duration,
}

impl Owned {
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

    /// Tells the owner that the prompt is no longer at its engine.
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
    pub(crate) placed: Placement,
    /// Engine that keeps a copy of the run.
    pub(crate) backup: Option<Backup>,
    /// Set until the owner was told.
    owned: Cell<Option<Owned>>,
}

impl InFlight {
    /// A request that this vm placed alone.
    pub(crate) fn new(shared: &Arc<Shared>, placed: Placement) -> Self {
        Self {
            shared: shared.clone(),
            placed,
            backup: None,
            owned: Cell::new(None),
        }
    }

    /// A prompt that the owner of its service placed.
    pub(crate) fn owned(shared: &Arc<Shared>, placed: Placement, owned: Owned) -> Self {
        let in_flight = Self::new(shared, placed);
        in_flight.owned.set(Some(owned));
        in_flight
    }

    /// The first byte of the answer arrived.
    pub(crate) fn answered(&self, report: Option<LoadReport>) {
        let now = self.shared.now();
        self.shared
            .fleet()
            .placer
            .first_byte(&self.placed, report, now);
        self.tell_owner(PromptOutcome::Computed, report);
    }

    /// The target said that it did not run the request.
    pub(crate) fn refused(&self, report: Option<LoadReport>) {
        let now = self.shared.now();
        self.shared
            .fleet()
            .placer
            .refused(&self.placed, report, now);
        self.tell_owner(PromptOutcome::Refused, report);
    }

    /// The target broke off or gave an answer that is not its own.
    pub(crate) fn failed(&self) {
        let now = self.shared.now();
        self.shared.fleet().placer.failed(&self.placed, now);
        self.tell_owner(PromptOutcome::Failed, None);
    }

    /// The target refused the connection.
    pub(crate) fn unreachable(&self) {
        let now = self.shared.now();
        self.shared.fleet().placer.unreachable(&self.placed, now);
        self.tell_owner(PromptOutcome::Unreachable, None);
    }

    fn tell_owner(&self, outcome: PromptOutcome, report: Option<LoadReport>) {
        if let Some(owned) = self.owned.take() {
            owned.ended(&self.shared, outcome, report);
        }
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        let now = self.shared.now();
        self.shared.fleet().placer.finished(&self.placed, now);
        self.tell_owner(PromptOutcome::GivenUp, None);
    }
}
