//! Usage log of one run of a vm: the answers that it served, in order.

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};

use crate::WorkspaceId;

/// Amounts that were used.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Complete answers.
    pub requests: u64,
    /// Tokens of prompts.
    pub prompt_tokens: u64,
    /// Generated tokens.
    pub output_tokens: u64,
}

impl Counts {
    /// Adds other counts.
    pub fn add(&mut self, other: Counts) {
        self.requests += other.requests;
        self.prompt_tokens += other.prompt_tokens;
        self.output_tokens += other.output_tokens;
    }
}

/// One served answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageRecord {
    /// Window in which the answer was served.
    pub window: u64,
    /// Workspace that the answer is billed to.
    pub workspace: WorkspaceId,
    /// Amounts that were used.
    pub counts: Counts,
}

/// Records at the positions `base..end`. Earlier records are in frozen windows.
#[derive(Clone, Debug, Default)]
pub(super) struct Log {
    pub(super) base: u64,
    records: VecDeque<UsageRecord>,
}

impl Log {
    pub(super) fn end(&self) -> u64 {
        self.base + self.records.len() as u64
    }

    /// Appends a record. Window numbers never decrease, so that a window ends at one position.
    pub(super) fn push(&mut self, mut record: UsageRecord) {
        let last = self.records.back().map_or(0, |r| r.window);
        record.window = record.window.max(last);
        self.records.push_back(record);
    }

    /// Appends replicated records that start at position `from` of a log whose first remaining
    /// position is `base`. Records after a gap are ignored; the sender detects the gap from `end`.
    pub(super) fn extend(&mut self, base: u64, from: u64, records: &[UsageRecord]) {
        if from > self.end() {
            if from != base {
                return;
            }
            // All positions before `base` are in frozen windows.
            self.records.clear();
            self.base = from;
        }
        let known = (self.end() - from) as usize;
        self.records.extend(records.iter().skip(known));
    }

    /// Drops records before position `included`, which frozen windows contain.
    pub(super) fn trim(&mut self, included: u64) {
        while self.base < included && self.records.pop_front().is_some() {
            self.base += 1;
        }
    }

    pub(super) fn after(&self, from: u64) -> Vec<UsageRecord> {
        let skip = from.saturating_sub(self.base) as usize;
        self.records.iter().skip(skip).copied().collect()
    }

    /// Sums per workspace of the positions from `from` up to the end of a window, and that end.
    pub(super) fn sums(&self, from: u64, window: u64) -> (u64, BTreeMap<WorkspaceId, Counts>) {
        let skip = from.saturating_sub(self.base) as usize;
        let mut sums: BTreeMap<WorkspaceId, Counts> = BTreeMap::new();
        let mut to = from;
        let due = self.records.iter().skip(skip);
        for record in due.take_while(|r| r.window <= window) {
            sums.entry(record.workspace).or_default().add(record.counts);
            to += 1;
        }
        (to, sums)
    }
}
