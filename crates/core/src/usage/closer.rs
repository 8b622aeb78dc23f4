//! Collects, freezes and reports usage windows, one after the other.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::config::UsageConfig;
use super::log::Counts;
use super::message::{
    CollectedLog, FrozenWindow, IncludedPosition, UsageMessage, frozen_window_key,
};
use crate::authority::{Holder, Scope};
use crate::invariant::{Invariant, check};
use crate::store::{CallToken, Entry, Expected, Guard, StoreCall, StoreOp, StoreReply};
use crate::{Fence, Machine, Revision, VmId, WorkspaceId};

/// Key of the record with the last frozen and the last reported window.
const HEAD_KEY: &str = "usage/head";

/// Input of the window closer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum CloserEvent {
    /// Time has passed.
    Tick {
        /// Time since the Unix epoch, which numbers the windows.
        unix: Duration,
    },
    /// Fence with which this vm holds the `usage` scope, or `None` if it does not hold it.
    Held(Option<Fence>),
    /// The vm list was read.
    Vms(Vec<VmId>),
    /// Names of the workspaces.
    Names(BTreeMap<WorkspaceId, String>),
    /// A message from another vm or from this one.
    Message(VmId, UsageMessage),
    /// A store call has ended.
    Store(CallToken, StoreReply),
    /// The platform has received the report of this window.
    Reported(u64),
    /// The report was not started and must be requested again.
    NotReported(u64),
}

/// An action that the window closer requests from its caller.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum CloserCommand {
    /// Sends a message to a vm, which may be this one.
    Send(VmId, UsageMessage),
    /// Performs a store call.
    Store(StoreCall),
    /// Reports a frozen window through an order intent.
    Report(FrozenWindow),
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct Head {
    frozen: u64,
    reported: u64,
}

#[derive(Debug)]
enum Phase {
    /// This vm does not hold the scope.
    Inactive,
    ReadingHead,
    /// Reads the last frozen window, whose log positions the next one continues.
    ReadingPrevious,
    Waiting,
    Collecting {
        until: Duration,
    },
    Freezing,
    ReadingFrozen,
    Reporting {
        requested: bool,
    },
    WritingHead,
    /// Reads the window that is past its retention, if it exists.
    FindingExpired,
    /// Deletes that window.
    Deleting,
}

/// Closes windows while this vm holds the `usage` scope.
#[derive(Debug)]
pub struct WindowCloser {
    config: UsageConfig,
    me: VmId,
    unix: Duration,
    fence: Option<Fence>,
    vms: Vec<VmId>,
    names: BTreeMap<WorkspaceId, String>,
    phase: Phase,
    head: Head,
    head_revision: Expected,
    previous: FrozenWindow,
    /// Window that is being frozen or reported.
    current: FrozenWindow,
    collected: BTreeMap<Holder, CollectedLog>,
    awaited: BTreeSet<VmId>,
    call: Option<CallToken>,
    next_token: u64,
    retry_at: Duration,
    last_reported: Option<FrozenWindow>,
    /// Window to delete, with its revision.
    expired: Option<(String, Revision)>,
}

impl WindowCloser {
    /// Creates a closer that does not hold the scope.
    pub fn new(me: VmId, config: UsageConfig) -> Self {
        Self {
            config,
            me,
            unix: Duration::ZERO,
            fence: None,
            vms: Vec::new(),
            names: BTreeMap::new(),
            phase: Phase::Inactive,
            head: Head::default(),
            head_revision: Expected::Absent,
            previous: FrozenWindow::default(),
            current: FrozenWindow::default(),
            collected: BTreeMap::new(),
            awaited: BTreeSet::new(),
            call: None,
            next_token: 0,
            retry_at: Duration::ZERO,
            last_reported: None,
            expired: None,
        }
    }

    fn on_lease_changed(&mut self, fence: Option<Fence>) {
        if fence == self.fence {
            return;
        }
        self.fence = fence;
        self.restart();
    }

    /// Starts again from the state in the store.
    fn restart(&mut self) {
        self.call = None;
        self.phase = match self.fence {
            Some(_) => Phase::ReadingHead,
            None => Phase::Inactive,
        };
    }

    fn store(&mut self, op: StoreOp, out: &mut Vec<CloserCommand>) {
        self.next_token += 1;
        let token = CallToken(self.next_token);
        self.call = Some(token);
        out.push(CloserCommand::Store(StoreCall { token, op }));
    }

    fn get(&mut self, key: String, out: &mut Vec<CloserCommand>) {
        self.store(StoreOp::Get { key }, out);
    }

    fn cas(
        &mut self,
        key: String,
        expected: Expected,
        value: Vec<u8>,
        out: &mut Vec<CloserCommand>,
    ) {
        let guard = self.fence.map(|fence| Guard {
            key: Scope::Usage.lease_key(),
            created: Revision(fence.0),
        });
        let op = StoreOp::Cas {
            key,
            expected,
            value,
            lease: None,
            guard,
        };
        self.store(op, out);
    }

    fn current_window(&self) -> u64 {
        self.unix.as_secs() / self.config.window.as_secs().max(1)
    }

    fn is_due(&self, window: u64) -> bool {
        let end = self.config.window.as_secs().max(1) * (window + 1);
        self.unix >= Duration::from_secs(end) + self.config.settle_delay
    }

    fn drive(&mut self, now: Duration, out: &mut Vec<CloserCommand>) {
        if self.call.is_some() || now < self.retry_at {
            return;
        }
        match self.phase {
            Phase::Inactive => {}
            Phase::ReadingHead => self.get(HEAD_KEY.to_owned(), out),
            Phase::ReadingPrevious => self.get(frozen_window_key(self.head.frozen), out),
            Phase::Waiting => self.start_due_window(now, out),
            Phase::Collecting { until } => {
                if now >= until || self.awaited.is_empty() {
                    self.freeze(out);
                }
            }
            Phase::Freezing => self.write_frozen(out),
            Phase::ReadingFrozen => self.get(frozen_window_key(self.current.window), out),
            Phase::Reporting { requested: false } => self.report(out),
            Phase::Reporting { requested: true } => {}
            Phase::WritingHead => self.write_head(out),
            Phase::FindingExpired => self.get(frozen_window_key(self.expired_window()), out),
            Phase::Deleting => self.delete(out),
        }
    }

    fn start_due_window(&mut self, now: Duration, out: &mut Vec<CloserCommand>) {
        let window = self.head.frozen + 1;
        if !self.is_due(window) || self.vms.is_empty() {
            return;
        }
        self.current = FrozenWindow {
            window,
            ..FrozenWindow::default()
        };
        self.collected.clear();
        self.awaited = self.vms.iter().copied().chain([self.me]).collect();
        for vm in &self.awaited {
            let included = self.previous.included.clone();
            let message = UsageMessage::Collect { window, included };
            out.push(CloserCommand::Send(*vm, message));
        }
        let until = now + self.config.collect_timeout;
        self.phase = Phase::Collecting { until };
    }

    fn collect(&mut self, from: VmId, window: u64, logs: Vec<CollectedLog>) {
        let collecting = matches!(self.phase, Phase::Collecting { .. });
        if !collecting || window != self.current.window || !self.awaited.remove(&from) {
            return;
        }
        for log in logs {
            self.merge(log);
        }
    }

    /// Keeps the longest replica of each log. All replicas are prefixes of the same log.
    fn merge(&mut self, mut log: CollectedLog) {
        let included = &self.previous.included;
        let known = included.iter().find(|i| i.holder == log.holder);
        if log.from != known.map_or(0, |i| i.position) {
            return;
        }
        let Some(current) = self.collected.get_mut(&log.holder) else {
            self.collected.insert(log.holder, log);
            return;
        };
        if self.config.faults.add_copies {
            current.sums.append(&mut log.sums);
            return;
        }
        if log.to > current.to {
            *current = log;
        }
    }

    fn freeze(&mut self, out: &mut Vec<CloserCommand>) {
        let window = self.current.window;
        let mut sums: BTreeMap<String, Counts> = BTreeMap::new();
        let mut included: BTreeMap<Holder, IncludedPosition> = BTreeMap::new();
        for known in &self.previous.included {
            if known.window + self.config.remember_windows >= window {
                included.insert(known.holder, *known);
            }
        }
        for log in self.collected.values() {
            let position = IncludedPosition {
                holder: log.holder,
                position: log.to,
                window,
            };
            included.insert(log.holder, position);
            for (workspace, counts) in &log.sums {
                let name = self.names.get(workspace).cloned();
                let name = name.unwrap_or_else(|| format!("id/{:016x}", workspace.0));
                sums.entry(name).or_default().add(*counts);
            }
        }
        self.current.workspaces = sums.into_iter().collect();
        self.current.included = included.into_values().collect();
        if self.config.faults.skip_freeze {
            self.phase = Phase::Reporting { requested: false };
            return;
        }
        self.phase = Phase::Freezing;
        self.write_frozen(out);
    }

    fn write_frozen(&mut self, out: &mut Vec<CloserCommand>) {
        let value = self.current.encode();
        let key = frozen_window_key(self.current.window);
        self.cas(key, Expected::Absent, value, out);
    }

    fn write_head(&mut self, out: &mut Vec<CloserCommand>) {
        let value = serde_json::to_vec(&self.head).unwrap_or_default();
        self.cas(HEAD_KEY.to_owned(), self.head_revision, value, out);
    }

    fn expired_window(&self) -> u64 {
        self.head.reported.saturating_sub(self.config.keep_windows)
    }

    fn delete(&mut self, out: &mut Vec<CloserCommand>) {
        match self.expired.take() {
            Some((key, expected)) => self.store(StoreOp::Delete { key, expected }, out),
            None => self.phase = Phase::Waiting,
        }
    }

    fn report(&mut self, out: &mut Vec<CloserCommand>) {
        let same = self
            .last_reported
            .as_ref()
            .is_none_or(|last| last.window != self.current.window || *last == self.current);
        let unchanged = check(Invariant::OneUsageFigure, same, || {
            format!(
                "usage window {} was reported before with different figures",
                self.current.window
            )
        });
        if !unchanged && !self.config.faults.skip_freeze {
            return;
        }
        self.phase = Phase::Reporting { requested: true };
        self.last_reported = Some(self.current.clone());
        out.push(CloserCommand::Report(self.current.clone()));
    }

    fn reported(&mut self, window: u64) {
        if !matches!(self.phase, Phase::Reporting { .. }) || window != self.current.window {
            return;
        }
        self.head = Head {
            frozen: window,
            reported: window,
        };
        self.phase = Phase::WritingHead;
    }

    fn reply(&mut self, token: CallToken, reply: StoreReply, now: Duration) {
        if self.call != Some(token) {
            return;
        }
        self.call = None;
        match (&self.phase, reply) {
            (Phase::ReadingHead, StoreReply::Value { entry, .. }) => self.head_read(entry),
            (Phase::ReadingPrevious, StoreReply::Value { entry, .. }) => {
                let stored = entry.and_then(|e| FrozenWindow::decode(&e.value));
                self.previous = stored.unwrap_or_default();
                self.phase = Phase::Waiting;
            }
            (Phase::Freezing, StoreReply::Written { .. }) => {
                self.phase = Phase::Reporting { requested: false };
            }
            (Phase::Freezing, StoreReply::Conflict { .. } | StoreReply::Unknown) => {
                self.phase = Phase::ReadingFrozen;
            }
            (Phase::ReadingFrozen, StoreReply::Value { entry, .. }) => self.frozen_read(entry),
            (Phase::WritingHead, StoreReply::Written { revision }) => {
                self.head_revision = Expected::At(revision);
                self.previous = std::mem::take(&mut self.current);
                self.phase = match self.previous.window == self.head.frozen {
                    true => Phase::FindingExpired,
                    false => Phase::ReadingPrevious,
                };
            }
            (Phase::FindingExpired, StoreReply::Value { entry, .. }) => {
                self.expired = entry.map(|e| (e.key, e.modified));
                self.phase = match self.expired.is_some() {
                    true => Phase::Deleting,
                    false => Phase::Waiting,
                };
            }
            // A window that could not be deleted remains in the store; billing does not depend on
            // it.
            (Phase::FindingExpired | Phase::Deleting, _) => self.phase = Phase::Waiting,
            (Phase::WritingHead, StoreReply::Conflict { .. } | StoreReply::Unknown) => {
                self.restart();
                self.retry_at = now + self.config.retry_after;
            }
            _ => self.retry_at = now + self.config.retry_after,
        }
    }

    fn head_read(&mut self, entry: Option<Entry>) {
        let Some(entry) = entry else {
            // The first window is the current one; nothing was served before it.
            let before = self.current_window().saturating_sub(1);
            self.head = Head {
                frozen: before,
                reported: before,
            };
            self.head_revision = Expected::Absent;
            self.current = FrozenWindow::default();
            self.phase = Phase::WritingHead;
            return;
        };
        self.head = serde_json::from_slice(&entry.value).unwrap_or_default();
        self.head_revision = Expected::At(entry.modified);
        self.phase = Phase::ReadingPrevious;
    }

    /// Adopts the frozen window in the store, regardless of which vm wrote it.
    fn frozen_read(&mut self, entry: Option<Entry>) {
        let stored = entry.and_then(|e| FrozenWindow::decode(&e.value));
        let Some(stored) = stored else {
            self.phase = Phase::Freezing;
            return;
        };
        self.current = stored;
        self.phase = Phase::Reporting { requested: false };
    }
}

impl Machine for WindowCloser {
    type Event = CloserEvent;
    type Command = CloserCommand;

    fn step(&mut self, event: CloserEvent, now: Duration, out: &mut Vec<CloserCommand>) {
        match event {
            CloserEvent::Tick { unix } => self.unix = self.unix.max(unix),
            CloserEvent::Held(fence) => self.on_lease_changed(fence),
            CloserEvent::Vms(vms) => self.vms = vms,
            CloserEvent::Names(names) => self.names = names,
            CloserEvent::Message(from, UsageMessage::Collected { window, logs }) => {
                self.collect(from, window, logs);
            }
            CloserEvent::Message(..) => {}
            CloserEvent::Store(token, reply) => self.reply(token, reply, now),
            CloserEvent::Reported(window) => self.reported(window),
            CloserEvent::NotReported(window) if window == self.current.window => {
                if matches!(self.phase, Phase::Reporting { .. }) {
                    self.phase = Phase::Reporting { requested: false };
                    self.retry_at = now + self.config.retry_after;
                }
            }
            CloserEvent::NotReported(_) => {}
        }
        self.drive(now, out);
    }
}
