//! Distribution of settings with proof of freshness, see `docs/design.md`, section 5.3.
//!
//! A few vms watch the store, and the others exchange settings with their peers. Every vm tracks
//! the time up to which its set contains all accepted changes (its freshness proof). It stops
//! serving keyed routes once that proof is too old.

mod change;
mod config;
mod exchange;
mod freshness;
mod message;
mod reader;
mod set;
mod tree;

use std::collections::BTreeMap;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde::{Deserialize, Serialize};

pub use change::{ChangeOutcome, ChangeRequest};
pub use config::{Omit, ReplicaConfig};
pub use freshness::ServePermit;
pub use message::{Message, Page, Subtree};

use crate::store::{CallToken, Entry, Expected, StoreCall, StoreOp, StoreReply};
use crate::{Machine, Revision, VmId};
use change::Task;
use exchange::{PageRequest, PendingRequest};
use freshness::Freshness;
use reader::Reader;
use set::SettingsSet;
use tree::Tree;

/// Input of a [`Replica`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// The set of vms changed.
    Members {
        /// Vms that can be reached, this one included.
        live: Vec<VmId>,
        /// All vms of the platform's list. Majorities are computed from their number.
        listed: Vec<VmId>,
    },
    /// A store call ended.
    Reply {
        /// Token of the call.
        token: CallToken,
        /// Result of the call.
        reply: StoreReply,
    },
    /// The watch reported changes.
    Watched {
        /// Changed entries, with `true` for a deleted one.
        entries: Vec<(Entry, bool)>,
    },
    /// The watch ended.
    WatchEnded {
        /// Whether the store supports watches.
        supported: bool,
    },
    /// A message of another vm arrived.
    Peer {
        /// Sending vm.
        from: VmId,
        /// The message.
        message: Message,
    },
    /// An operator requests a change.
    Change {
        /// Echoed in [`Command::ChangeDone`].
        ticket: u64,
        /// The change.
        request: ChangeRequest,
    },
    /// An operator requests the revision of a subtree that is in force on each vm.
    Status {
        /// Echoed in [`Command::StatusDone`].
        ticket: u64,
        /// Key in the store.
        subtree: String,
    },
}

/// An action that a [`Replica`] requests from its caller.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// Calls the store.
    Store(StoreCall),
    /// Watches all settings from a revision on.
    StartWatch {
        /// First revision of interest.
        from: Revision,
    },
    /// Ends the watch.
    StopWatch,
    /// Sends a message to another vm.
    Send {
        /// Receiving vm.
        to: VmId,
        /// The message.
        message: Message,
    },
    /// Puts a subtree in force. `None` is a tombstone.
    Apply(Subtree),
    /// A change has ended.
    ChangeDone {
        /// Ticket of the change.
        ticket: u64,
        /// How it ended.
        outcome: ChangeOutcome,
    },
    /// The answer to [`Event::Status`].
    StatusDone {
        /// Ticket of the status request.
        ticket: u64,
        /// Revision in force on each live vm; `None` for a vm that did not answer or does not
        /// have the subtree.
        revisions: Vec<(VmId, Option<Revision>)>,
    },
}

/// The settings set of one vm and its freshness proof.
#[derive(Debug)]
pub struct Replica {
    config: ReplicaConfig,
    rng: SmallRng,
    set: SettingsSet,
    fresh: Freshness,
    live: Vec<VmId>,
    /// The live vms by rendezvous rank, highest first.
    ranked: Vec<VmId>,
    listed: Vec<VmId>,
    tree: Tree,
    reader: Reader,
    pending_requests: BTreeMap<u64, PendingRequest>,
    next_exchange: Duration,
    tasks: BTreeMap<u64, Task>,
    next_token: u64,
}

impl Replica {
    /// Creates the replica of a newly started process.
    pub fn new(config: ReplicaConfig) -> Self {
        Self {
            rng: SmallRng::seed_from_u64(config.seed),
            set: SettingsSet::default(),
            fresh: Freshness::default(),
            // Empty until the first `Members` event: a vm without peers would otherwise become a
            // watcher, and a restart of the whole fleet would read the store once for each vm.
            live: Vec::new(),
            ranked: Vec::new(),
            listed: vec![config.vm],
            tree: Tree::default(),
            reader: Reader::default(),
            pending_requests: BTreeMap::new(),
            next_exchange: Duration::ZERO,
            tasks: BTreeMap::new(),
            next_token: 0,
            config,
        }
    }

    /// Whether keyed routes may be served, and until when.
    pub fn permit(&self, now: Duration) -> ServePermit {
        let listed = self.listed.len();
        self.fresh.permit(self.set.full, listed, now, &self.config)
    }

    /// Age of the freshness proof.
    pub fn age(&self, now: Duration) -> Option<Duration> {
        self.fresh.age(now)
    }

    /// Revision in force of a subtree.
    pub fn revision(&self, subtree: &str) -> Option<Revision> {
        self.set.revision(subtree)
    }

    /// The subtree that is in force on this vm.
    pub fn subtree(&self, name: &str) -> Option<Subtree> {
        self.set.subtree(name)
    }

    /// Names of all subtrees that exist.
    pub fn names(&self) -> Vec<String> {
        self.set.names()
    }

    /// Vms that watch the store according to this vm's view: those with the highest rendezvous
    /// ranks.
    pub fn watchers(&self) -> Vec<VmId> {
        let watchers = self.ranked.iter().take(self.config.watchers);
        watchers.copied().collect()
    }

    fn apply(&mut self, subtree: Subtree, out: &mut Vec<Command>) {
        if self.set.apply(&subtree, self.config.omit.revision_order) {
            out.push(Command::Apply(subtree));
        }
    }

    fn call(&mut self, op: StoreOp, out: &mut Vec<Command>) -> CallToken {
        self.next_token += 1;
        let token = CallToken(self.next_token);
        out.push(Command::Store(StoreCall { token, op }));
        token
    }

    /// Returns a random nonce, so that a late answer to an earlier run of this vm is not matched.
    fn new_nonce(&mut self) -> u64 {
        self.rng.random()
    }

    fn on_peer(&mut self, from: VmId, message: Message, now: Duration, out: &mut Vec<Command>) {
        match message {
            Message::Ask {
                nonce,
                digest,
                cursor,
                wait,
            } => {
                let request = PageRequest {
                    nonce,
                    digest,
                    cursor,
                };
                self.answer_or_hold(from, request, wait, now, out);
            }
            Message::Page(page) => self.on_page(page, now, out),
            Message::Query { nonce, subtree } => self.answer_holds(from, nonce, &subtree, out),
            Message::Offer { nonce, subtree } => {
                let name = subtree.name.clone();
                self.apply(subtree, out);
                self.answer_holds(from, nonce, &name, out);
            }
            Message::Holds {
                nonce,
                revision,
                witness,
            } => self.on_holds(from, nonce, revision, witness, now, out),
        }
    }

    fn answer_holds(&self, to: VmId, nonce: u64, subtree: &str, out: &mut Vec<Command>) {
        let message = Message::Holds {
            nonce,
            revision: self.set.revision(subtree),
            witness: self.fresh.counts_towards_majority(&self.config),
        };
        out.push(Command::Send { to, message });
    }

    fn on_members(&mut self, mut live: Vec<VmId>, mut listed: Vec<VmId>) {
        for vms in [&mut live, &mut listed] {
            vms.push(self.config.vm);
            vms.sort_unstable();
            vms.dedup();
        }
        self.fresh.retain(&listed);
        self.ranked = Self::ranked(&live);
        self.live = live;
        self.listed = listed;
    }
}

impl Machine for Replica {
    type Event = Event;
    type Command = Command;

    fn step(&mut self, event: Event, now: Duration, out: &mut Vec<Command>) {
        self.fresh.start(now);
        match event {
            Event::Tick => {
                self.tick_reader(now, out);
                self.tick_exchange(now, out);
                self.tick_tasks(now, out);
            }
            Event::Members { live, listed } => self.on_members(live, listed),
            Event::Reply { token, reply } => self.on_reply(token, reply, now, out),
            Event::Watched { entries } => self.on_watched(entries, out),
            Event::WatchEnded { supported } => self.on_watch_ended(supported, now),
            Event::Peer { from, message } => self.on_peer(from, message, now, out),
            Event::Change { ticket, request } => self.start_change(ticket, request, now, out),
            Event::Status { ticket, subtree } => self.start_status(ticket, subtree, now, out),
        }
        self.answer_waiting_requests(now, out);
    }
}

fn text_of(value: &[u8]) -> Option<String> {
    // An empty value is a tombstone, as no document is empty.
    (!value.is_empty()).then(|| String::from_utf8_lossy(value).into_owned())
}

fn matches_expected(entry: Option<&Entry>, expected: Expected) -> bool {
    match expected {
        Expected::Absent => entry.is_none(),
        Expected::At(revision) => entry.is_some_and(|e| e.modified == revision),
    }
}

/// Rendezvous weight of a vm, the same on every vm.
fn rank(vm: VmId) -> u64 {
    // Finalizer of SplitMix64, which spreads consecutive numbers.
    let mut x = u64::from(vm.0).wrapping_add(0x9e37_79b9_7f4a_7c15);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}
