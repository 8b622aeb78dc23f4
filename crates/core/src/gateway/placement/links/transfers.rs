//! Transfers on the link of one prefill engine, as placed by the owner of the service.

use std::collections::VecDeque;
use std::time::Duration;

use smallvec::SmallVec;

use super::{duration, milliseconds};
use crate::gateway::prompt_owner::PromptRequestId;

/// Time after its predicted end at which a transfer counts as overdue. The end is reported after
/// the first event of the answer, with the next batch of reports.
const REPORT_DELAY: Duration = Duration::from_millis(30);

/// Time without any report after which transfers are not taken for overdue, because the reports
/// are lost or delayed.
const REPORT_GAP: Duration = Duration::from_millis(50);

/// Time by which a transfer may be overdue before its report counts as lost. The vm that has the
/// prompt may have been killed. An engine gets no prompts for this time at most.
const LOST_AFTER: Duration = Duration::from_millis(500);

/// A prompt that is to be handed over.
#[derive(Clone, Copy, Debug)]
pub(super) struct Transfer {
    pub(super) id: PromptRequestId,
    /// Time over an idle, sound link.
    pub(super) nominal_ms: f64,
    /// When the prompt is computed.
    pub(super) ready_at: Duration,
}

/// Transfers of a link in the order of their placement.
#[derive(Debug, Default)]
pub(super) struct Transfers {
    queue: VecDeque<Transfer>,
}

impl Transfers {
    pub(super) fn is_empty(&self) -> bool {
        self.queue.is_empty()
    }

    pub(super) fn push(&mut self, transfer: Transfer) {
        self.queue.push_back(transfer);
    }

    pub(super) fn computed(&mut self, id: PromptRequestId, at: Duration) {
        if let Some(transfer) = self.queue.iter_mut().find(|t| t.id == id) {
            transfer.ready_at = at;
        }
    }

    pub(super) fn remove(&mut self, id: PromptRequestId) {
        self.queue.retain(|transfer| transfer.id != id);
    }

    /// Removes a transfer that has ended, and those before it: they have ended as well, and their
    /// reports are late or lost.
    pub(super) fn ended(&mut self, id: PromptRequestId) -> SmallVec<[PromptRequestId; 4]> {
        let Some(index) = self.queue.iter().position(|t| t.id == id) else {
            return SmallVec::new();
        };
        self.queue.drain(..=index).map(|t| t.id).collect()
    }

    /// Removes transfers whose reports are lost.
    pub(super) fn evict_lost(&mut self, now: Duration) -> SmallVec<[PromptRequestId; 4]> {
        let mut lost = SmallVec::new();
        while let Some(first) = self.queue.front() {
            let end = first.ready_at + duration(first.nominal_ms) + REPORT_DELAY;
            if now < end + LOST_AFTER {
                break;
            }
            lost.push(first.id);
            self.queue.pop_front();
        }
        lost
    }

    /// Time until the transfers have ended whose prompts are computed before `ready_by`, in
    /// milliseconds. `last_report` is when a transfer on any link was last reported.
    pub(super) fn wait_ms(
        &self,
        factor: f64,
        last_report: Duration,
        ready_by: Duration,
        now: Duration,
    ) -> f64 {
        let now_ms = milliseconds(now);
        let mut free_at_ms = 0.0f64;
        let queue = self.queue.iter().take_while(|t| t.ready_at <= ready_by);
        for (index, transfer) in queue.enumerate() {
            let ready_ms = milliseconds(transfer.ready_at);
            free_at_ms = free_at_ms.max(ready_ms) + transfer.nominal_ms * factor;
            let known_ms = milliseconds(now.min(last_report + REPORT_GAP));
            let overdue_ms = known_ms - free_at_ms - milliseconds(REPORT_DELAY);
            let is_lost = overdue_ms >= milliseconds(LOST_AFTER);
            if index == 0 && overdue_ms > 0.0 && !is_lost {
                // The remaining time of what is overdue is about as long again.
                free_at_ms = now_ms + overdue_ms;
            }
        }
        (free_at_ms - now_ms).max(0.0)
    }
}
