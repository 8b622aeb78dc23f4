//! Keeps this vm's usage log, replicates it to other vms and stores replicas of their logs.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::config::UsageConfig;
use super::log::{Counts, Log, UsageRecord};
use super::message::{CollectedLog, IncludedPosition, UsageMessage};
use crate::authority::Holder;
use crate::{Machine, VmId, WorkspaceId};

/// A vm of the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsagePeer {
    /// The vm.
    pub vm: VmId,
    /// Its zone by name.
    pub zone: String,
}

/// Input of the usage meter.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum MeterEvent {
    /// Time has passed.
    Tick {
        /// Time since the Unix epoch, which numbers the windows.
        unix: Duration,
    },
    /// An answer was served.
    Record {
        /// Echoed once another vm has a replica.
        ticket: u64,
        /// Workspace that the answer is billed to.
        workspace: WorkspaceId,
        /// Amounts that were used.
        counts: Counts,
    },
    /// The vm list was read.
    Peers(Vec<UsagePeer>),
    /// Another vm has sent a message.
    Message(VmId, UsageMessage),
}

/// An action that the usage meter requests from its caller.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum MeterCommand {
    /// Sends a message to another vm.
    Send(VmId, UsageMessage),
    /// Another vm has a replica of the record with this ticket.
    Acknowledged(u64),
    /// Sends a `Tick` after this time.
    WakeAfter(Duration),
}

#[derive(Clone, Copy, Debug, Default)]
struct CopyProgress {
    end: u64,
    sent: u64,
    sent_at: Duration,
}

/// Usage log of one vm, and replicas of the logs of other vms.
#[derive(Debug)]
pub struct UsageMeter {
    me: UsagePeer,
    holder: Holder,
    config: UsageConfig,
    unix: Duration,
    logs: BTreeMap<Holder, Log>,
    peers: Vec<UsagePeer>,
    /// Vms that receive replicas.
    replicas: Vec<VmId>,
    next_scan: Duration,
    copy_progress: BTreeMap<(VmId, Holder), CopyProgress>,
    /// Log end and ticket of each record that no other vm has confirmed.
    unacknowledged: VecDeque<(u64, u64)>,
    flush_at: Option<Duration>,
}

impl UsageMeter {
    /// Creates the meter of a newly started process.
    pub fn new(holder: Holder, zone: String, config: UsageConfig) -> Self {
        let vm = holder.vm;
        Self {
            me: UsagePeer { vm, zone },
            holder,
            config,
            unix: Duration::ZERO,
            logs: BTreeMap::new(),
            peers: Vec::new(),
            replicas: Vec::new(),
            next_scan: Duration::ZERO,
            copy_progress: BTreeMap::new(),
            unacknowledged: VecDeque::new(),
            flush_at: None,
        }
    }

    /// True if everything that this vm served is in a frozen window or on another vm.
    pub fn is_copied(&self) -> bool {
        let end = self.logs.get(&self.holder).map_or(0, Log::end);
        let base = self.logs.get(&self.holder).map_or(0, |l| l.base);
        let mut copies = self
            .copy_progress
            .iter()
            .filter(|((_, h), _)| *h == self.holder);
        end == base || copies.any(|(_, progress)| progress.end >= end)
    }

    fn record(
        &mut self,
        ticket: u64,
        workspace: WorkspaceId,
        counts: Counts,
        now: Duration,
        out: &mut Vec<MeterCommand>,
    ) {
        let length = self.config.window.as_secs().max(1);
        let log = self.logs.entry(self.holder).or_default();
        log.push(UsageRecord {
            window: self.unix.as_secs() / length,
            workspace,
            counts,
        });
        self.unacknowledged.push_back((log.end(), ticket));
        if self.config.faults.skip_copies {
            self.acknowledge(u64::MAX, out);
        }
        if self.flush_at.is_none() {
            self.flush_at = Some(now + self.config.flush_delay);
            out.push(MeterCommand::WakeAfter(self.config.flush_delay));
        }
    }

    fn acknowledge(&mut self, end: u64, out: &mut Vec<MeterCommand>) {
        while let Some((_, ticket)) = self.unacknowledged.pop_front_if(|(at, _)| *at <= end) {
            out.push(MeterCommand::Acknowledged(ticket));
        }
    }

    /// Chooses the vms that receive replicas, preferring other zones.
    fn choose_replicas(&self) -> Vec<VmId> {
        let others = self.peers.iter().filter(|p| p.vm != self.me.vm);
        let mut ranked: Vec<_> = others
            .map(|p| (p.zone == self.me.zone, self.weight(p.vm), p.vm))
            .collect();
        ranked.sort();
        let chosen = ranked.into_iter().take(self.config.copies);
        chosen.map(|(_, _, vm)| vm).collect()
    }

    fn weight(&self, vm: VmId) -> u64 {
        crate::authority::mix(u64::from(self.me.vm.0) << 32 | u64::from(vm.0))
    }

    /// Sends the records that the replicas lack: those of this vm's log, and those of logs of removed
    /// vms, of which this vm may have the only replica.
    fn copy(&mut self, now: Duration, out: &mut Vec<MeterCommand>) {
        let due = self.flush_at.is_some_and(|at| at <= now);
        if due {
            self.flush_at = None;
        }
        if self.config.faults.skip_copies || !(due || now >= self.next_scan) {
            return;
        }
        self.next_scan = now + self.config.resend_interval / 4;
        for to in self.replicas.clone() {
            for (holder, log) in &self.logs {
                let ended = self.peers.iter().all(|p| p.vm != holder.vm);
                if *holder != self.holder && !ended {
                    continue;
                }
                let progress = self.copy_progress.entry((to, *holder)).or_default();
                let again = now >= progress.sent_at + self.config.resend_interval;
                let fresh = due && progress.sent < log.end();
                if !again && !fresh {
                    continue;
                }
                let start = if again { progress.end } else { progress.sent };
                let from = start.max(log.base);
                progress.sent = log.end();
                progress.sent_at = now;
                let message = UsageMessage::Copy {
                    holder: *holder,
                    base: log.base,
                    from,
                    records: log.after(from),
                };
                out.push(MeterCommand::Send(to, message));
            }
        }
    }

    fn message(&mut self, from: VmId, message: UsageMessage, out: &mut Vec<MeterCommand>) {
        match message {
            UsageMessage::Copy {
                holder,
                base,
                from: position,
                records,
            } => {
                // A restarted vm does not continue the log of its earlier run.
                if holder == self.holder {
                    return;
                }
                let log = self.logs.entry(holder).or_default();
                log.extend(base, position, &records);
                let end = log.end();
                out.push(MeterCommand::Send(from, UsageMessage::Kept { holder, end }));
            }
            UsageMessage::Kept { holder, end } => {
                let progress = self.copy_progress.entry((from, holder)).or_default();
                progress.end = end;
                if holder == self.holder {
                    self.acknowledge(end, out);
                }
            }
            UsageMessage::Collect { window, included } => {
                let logs = self.collect(window, &included);
                let answer = UsageMessage::Collected { window, logs };
                out.push(MeterCommand::Send(from, answer));
            }
            UsageMessage::Collected { .. } => {}
        }
    }

    fn collect(&mut self, window: u64, included: &[IncludedPosition]) -> Vec<CollectedLog> {
        let positions: BTreeMap<Holder, u64> =
            included.iter().map(|i| (i.holder, i.position)).collect();
        for (holder, position) in &positions {
            if let Some(log) = self.logs.get_mut(holder) {
                log.trim(*position);
            }
        }
        let mut collected = Vec::new();
        for (holder, log) in &self.logs {
            let from = positions.get(holder).copied().unwrap_or(0);
            if log.base > from || log.end() <= from {
                continue;
            }
            let (to, sums) = log.sums(from, window);
            if to > from {
                collected.push(CollectedLog {
                    holder: *holder,
                    from,
                    to,
                    sums: sums.into_iter().collect(),
                });
            }
        }
        if self.config.faults.skip_carry_over {
            self.drop_window(window);
        }
        collected
    }

    fn drop_window(&mut self, window: u64) {
        for log in self.logs.values_mut() {
            let (to, _) = log.sums(log.base, window);
            log.trim(to);
        }
    }

    /// Drops empty logs of other vms, and the replication progress of removed vms.
    fn evict_stale_state(&mut self) {
        let own = self.holder;
        self.logs
            .retain(|holder, log| *holder == own || log.end() > log.base);
        let peers = &self.peers;
        let logs = &self.logs;
        self.copy_progress.retain(|(vm, holder), _| {
            logs.contains_key(holder) && peers.iter().any(|p| p.vm == *vm)
        });
    }
}

impl Machine for UsageMeter {
    type Event = MeterEvent;
    type Command = MeterCommand;

    fn step(&mut self, event: MeterEvent, now: Duration, out: &mut Vec<MeterCommand>) {
        match event {
            MeterEvent::Tick { unix } => self.unix = self.unix.max(unix),
            MeterEvent::Record {
                ticket,
                workspace,
                counts,
            } => self.record(ticket, workspace, counts, now, out),
            MeterEvent::Peers(peers) => {
                self.peers = peers;
                self.replicas = self.choose_replicas();
                self.evict_stale_state();
            }
            MeterEvent::Message(from, message) => self.message(from, message, out),
        }
        self.copy(now, out);
    }
}
