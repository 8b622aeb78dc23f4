//! Membership of the fleet: a vm's view of the other vms, address answers and the vm's own drain.
//!
//! See `docs/design.md`, section 5.5. Gossip carries [`Heartbeat`]s without names; complete records
//! are sent only when a vm joins, restarts or leaves.

mod config;
mod drain;
mod gossip;
mod view;

use std::collections::BTreeMap;
use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::SmallRng;
use serde::{Deserialize, Serialize};

pub use config::MembershipConfig;
use drain::Drain;
pub use view::{first_of, is_among_first};

use crate::{Incarnation, Machine, VmId};

/// Whether a vm accepts new callers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmState {
    /// The vm accepts new callers.
    #[default]
    Live,
    /// The vm finishes its work and exits.
    Leaving,
}

/// Description of a vm that vms exchange.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Number of the vm.
    pub vm: VmId,
    /// Zone by name.
    pub zone: String,
    /// Address for callers.
    pub caller_address: String,
    /// Address for other vms.
    pub peer_address: String,
    /// Run of the vm. Zero if the vm is known from the platform's list only.
    pub incarnation: Incarnation,
    /// CPU capacity of the vm, or 0 if it is not known.
    #[serde(default)]
    pub capacity_millicores: u32,
    /// Whether the vm accepts new callers.
    pub state: VmState,
    /// Counter that the vm increases while it runs.
    pub heartbeat: u32,
}

impl Record {
    /// Order in which records of one vm replace each other. Within one run, `Leaving` never changes
    /// back to `Live`.
    fn version(&self) -> (Incarnation, VmState, u32) {
        (self.incarnation, self.state, self.heartbeat)
    }
}

/// A heartbeat: vm, run and counter.
pub type Heartbeat = (VmId, Incarnation, u32);

/// A message from one vm's membership to another's.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Updates that the sender passes on.
    Gossip {
        /// Heartbeats of vms whose complete record is not sent.
        beats: Vec<Heartbeat>,
        /// Complete records.
        records: Vec<Record>,
    },
    /// Requests the complete records of vms that the sender has no record of.
    Want(Vec<VmId>),
    /// The sender is leaving.
    Farewell(Record),
    /// Answers [`Message::Farewell`].
    Noted,
}

/// Input of a [`Membership`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// Number of requests that run on this vm.
    Running(usize),
    /// The platform's list was read.
    Listed(Vec<Record>),
    /// A message of another vm arrived.
    Peer {
        /// Sending vm.
        from: VmId,
        /// The message.
        message: Message,
    },
    /// An exchange with another vm ended.
    Exchanged {
        /// The other vm.
        with: VmId,
        /// Whether it answered.
        answered: bool,
    },
    /// This vm shall shut down.
    Leave {
        /// Whether to continue serving for the lifetime of address answers even if no request runs.
        linger: bool,
    },
    /// Leases and usage counters have been handed over.
    HandedOver,
}

/// An action that a [`Membership`] requests from its caller.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// Sends a message to another vm.
    Send {
        /// Receiving vm.
        to: VmId,
        /// The message.
        message: Message,
    },
    /// Hands over leases and usage counters, then reports [`Event::HandedOver`].
    HandOver,
    /// Stops the listeners and ends the process.
    Exit,
    /// The vms that [`Membership::live`] or [`Membership::listed`] return have changed.
    ViewChanged,
}

/// State of one other vm.
#[derive(Clone, Debug)]
struct PeerState {
    record: Record,
    /// Time of the last new heartbeat or successful exchange.
    last_heard: Duration,
    listed: bool,
    listed_leaving: bool,
    failures: u32,
    suspect_until: Option<Duration>,
}

/// One vm's view of the fleet.
#[derive(Debug)]
pub struct Membership {
    config: MembershipConfig,
    rng: SmallRng,
    own: Record,
    others: BTreeMap<VmId, PeerState>,
    /// Updates to pass on: remaining rounds, and whether the complete record is sent.
    updates: BTreeMap<VmId, (u8, bool)>,
    next_gossip: Duration,
    next_heartbeat: Duration,
    rounds: u32,
    drain: Option<Drain>,
    running: usize,
    list_read: bool,
    last_view: (Vec<VmId>, Vec<VmId>),
}

impl Membership {
    /// Creates the membership of a newly started process.
    pub fn new(config: MembershipConfig) -> Self {
        let mut updates = BTreeMap::new();
        updates.insert(config.own.vm, (config.repeats, true));
        Self {
            rng: SmallRng::seed_from_u64(config.seed),
            own: config.own.clone(),
            others: BTreeMap::new(),
            updates,
            next_gossip: Duration::ZERO,
            next_heartbeat: Duration::ZERO,
            rounds: 0,
            drain: None,
            running: 0,
            list_read: false,
            last_view: Default::default(),
            config,
        }
    }

    fn tick(&mut self, now: Duration, out: &mut Vec<Command>) {
        self.evict_unreachable(now);
        self.tick_gossip(now, out);
        self.tick_drain(now, out);
    }

    fn on_peer(&mut self, from: VmId, message: Message, now: Duration, out: &mut Vec<Command>) {
        match message {
            Message::Gossip { beats, records } => self.on_gossip(from, beats, records, now, out),
            Message::Want(vms) => self.send_requested_records(from, &vms, out),
            Message::Farewell(record) => {
                self.merge(record, now);
                let message = Message::Noted;
                out.push(Command::Send { to: from, message });
            }
            Message::Noted => self.on_farewell_confirmed(from),
        }
    }
}

impl Machine for Membership {
    type Event = Event;
    type Command = Command;

    fn step(&mut self, event: Event, now: Duration, out: &mut Vec<Command>) {
        let ticked = event == Event::Tick;
        match event {
            Event::Tick => self.tick(now, out),
            Event::Running(running) => self.running = running,
            Event::Listed(records) => self.on_listed(records, now),
            Event::Peer { from, message } => self.on_peer(from, message, now, out),
            Event::Exchanged { with, answered } => self.on_exchanged(with, answered, now),
            Event::Leave { linger } => self.leave(linger, now, out),
            Event::HandedOver => self.on_handed_over(out),
        }
        // Before the first list is read, the view would contain this vm only. Computing the view
        // takes a pass over all vms, so it is not done for every message.
        if !ticked || !self.list_read {
            return;
        }
        let view = (self.live(now), self.listed());
        if view != self.last_view {
            self.last_view = view;
            out.push(Command::ViewChanged);
        }
    }
}
