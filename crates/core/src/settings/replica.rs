//! Distribution of settings with proof of freshness, see `docs/design.md`, section 5.3.
//!
//! A few vms watch the store, the others learn from peers. Every vm knows a time before which all
//! accepted changes are contained in its set, and stops serving keyed routes when that time is too
//! long ago.

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
use exchange::{PendingAsk, Question};
use freshness::Freshness;
use reader::Reader;
use set::SettingsSet;
use tree::Tree;

/// What a [`Replica`] reacts to.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// The known vms changed.
    Members {
        /// Vms that can be reached, this one included.
        live: Vec<VmId>,
        /// All vms of the platform's list. Majorities refer to their number.
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
        /// Whether the store offers watches at all.
        supported: bool,
    },
    /// A message of another vm arrived.
    Peer {
        /// Sending vm.
        from: VmId,
        /// The message.
        message: Message,
    },
    /// An operator asks for a change.
    Change {
        /// Echoed in [`Command::ChangeDone`].
        ticket: u64,
        /// The change.
        request: ChangeRequest,
    },
    /// An operator asks which revision is in force where.
    Status {
        /// Echoed in [`Command::StatusDone`].
        ticket: u64,
        /// Key in the store.
        subtree: String,
    },
}

/// What a [`Replica`] asks its surroundings to do.
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
    /// The answer to a status question.
    StatusDone {
        /// Ticket of the question.
        ticket: u64,
        /// Revision in force on each live vm; `None` for a vm that did not answer or does not
        /// know the subtree.
        revisions: Vec<(VmId, Option<Revision>)>,
    },
}

/// The settings set of one vm with its freshness.
#[derive(Debug)]
pub struct Replica {
    config: ReplicaConfig,
    rng: SmallRng,
    set: SettingsSet,
    fresh: Freshness,
    live: Vec<VmId>,
    /// The live vms by rank.
    ranked: Vec<VmId>,
    listed: Vec<VmId>,
    tree: Tree,
    reader: Reader,
    asks: BTreeMap<u64, PendingAsk>,
    next_ask: Duration,
    tasks: BTreeMap<u64, Task>,
    next_token: u64,
}

impl Replica {
    /// Creates the replica of a fresh process.
    pub fn new(config: ReplicaConfig) -> Self {
        Self {
            rng: SmallRng::seed_from_u64(config.seed),
            set: SettingsSet::default(),
            fresh: Freshness::default(),
            // A vm that knows no others yet must not take itself for a watcher, or a restart of
            // the whole fleet would read the store once for each vm.
            live: Vec::new(),
            ranked: Vec::new(),
            listed: vec![config.vm],
            tree: Tree::default(),
            reader: Reader::default(),
            asks: BTreeMap::new(),
            next_ask: Duration::ZERO,
            tasks: BTreeMap::new(),
            next_token: 0,
            config,
        }
    }

    /// Whether and until when keyed routes may be served.
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

    /// A subtree as this vm has it in force.
    pub fn subtree(&self, name: &str) -> Option<Subtree> {
        self.set.subtree(name)
    }

    /// Names of all subtrees that exist.
    pub fn names(&self) -> Vec<String> {
        self.set.names()
    }

    /// Vms that watch the store, as this vm sees it: the highest rendezvous ranks.
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

    /// Random, so that a late answer to an earlier run of this vm matches nothing.
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
                let question = Question {
                    nonce,
                    digest,
                    cursor,
                };
                self.answer_or_wait(from, question, wait, now, out);
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
            witness: self.fresh.counts(&self.config),
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
                self.tick_asks(now, out);
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
        self.answer_waiting(now, out);
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
