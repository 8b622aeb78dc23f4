//! The machine: events, commands and their distribution to scopes.

use std::collections::BTreeMap;
use std::fmt::Debug;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use super::config::AuthorityConfig;
use super::intent::Holder;
use super::lease::ScopeState;
use super::scope::{Scope, mix};
use super::slot::Wanted;
use crate::store::{CallToken, StoreCall, StoreOp, StoreReply};
use crate::{Fence, Incarnation, Machine, VmId};

/// How a send ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SendResult {
    /// The receiver took the order.
    Accepted,
    /// The receiver refused the order for good.
    Rejected,
    /// The receiver has seen a higher fence.
    StaleFence,
    /// The receiver is busy with another order.
    Busy,
    /// Certainly nothing was sent.
    NotSent,
    /// No answer arrived.
    Unknown,
}

/// How an order ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The receiver took the order.
    Accepted,
    /// The receiver refused the order.
    Rejected,
}

/// Why an order was not started.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Refusal {
    /// This vm does not hold the scope.
    NotHolder,
    /// An earlier order to the target is not settled.
    Unsettled,
}

/// What the machine reacts to.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Event<O> {
    /// Time has passed.
    Tick,
    /// The vm list was read. A vm that is missing has ended for certain.
    Vms(Vec<VmId>),
    /// A vm runs with this incarnation, so its earlier runs have ended.
    #[serde(rename = "VmRuns")]
    VmIncarnation(Holder),
    /// This vm should try to acquire the lease of a scope.
    #[serde(rename = "Want")]
    Acquire {
        /// The scope.
        scope: Scope,
        /// Whether the receivers refuse an old fence.
        checks_fencing: bool,
    },
    /// An order should be given.
    Request {
        /// Scope that the order needs.
        scope: Scope,
        /// Target by name. The exclusive scopes have a single target.
        target: String,
        /// Present run of the target; zero if not known.
        target_incarnation: Incarnation,
        /// The order.
        order: O,
    },
    /// A target runs with this incarnation.
    #[serde(rename = "TargetRuns")]
    TargetIncarnation {
        /// Scope of the target.
        scope: Scope,
        /// Target by name.
        target: String,
        /// Its run.
        incarnation: Incarnation,
    },
    /// A store call has ended.
    Store(CallToken, StoreReply),
    /// A send has ended. Every `Command::Send` is answered by one such event.
    Sent {
        /// Scope of the order.
        scope: Scope,
        /// Target by name.
        target: String,
        /// Id of the order.
        order_id: u64,
        /// How it ended.
        result: SendResult,
    },
    /// The process ends; leases are given back.
    Shutdown,
}

/// What the machine asks its surroundings to do.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Command<O> {
    /// Performs a store call.
    Store(StoreCall),
    /// Sends an order, unless `deadline` has passed, and ends the call at `deadline`.
    Send {
        /// Scope of the order.
        scope: Scope,
        /// Target by name.
        target: String,
        /// Id of the order.
        order_id: u64,
        /// Fence of the lease.
        fence: Fence,
        /// The order.
        order: O,
        /// Monotonic time at which the call must have ended.
        deadline: Duration,
    },
    /// This vm holds a scope.
    Acquired(Scope, Fence),
    /// This vm no longer holds a scope.
    Lost(Scope),
    /// An order has ended.
    Finished {
        /// Scope of the order.
        scope: Scope,
        /// Target by name.
        target: String,
        /// Id of the order.
        order_id: u64,
        /// The order.
        order: O,
        /// How it ended.
        outcome: Outcome,
    },
    /// An order was not started.
    Refused {
        /// Scope of the order.
        scope: Scope,
        /// Target by name.
        target: String,
        /// The order.
        order: O,
        /// Why.
        reason: Refusal,
    },
}

/// What a pending store call was made for.
#[derive(Clone, Debug)]
pub(super) enum Purpose {
    /// Acquiring or giving back the lease.
    Lease,
    /// Renewing the lease.
    Renew,
    /// Reading or writing the intent of a target.
    Slot(String),
    /// Marking own intents as released.
    Release,
}

/// What all scopes share.
#[derive(Debug)]
pub(super) struct Common {
    pub(super) config: AuthorityConfig,
    pub(super) me: Holder,
    pub(super) vms: Vec<VmId>,
    vms_at: Duration,
    pub(super) runs: BTreeMap<VmId, Incarnation>,
    pub(super) stopping: bool,
    rng: SmallRng,
    next: u64,
    calls: BTreeMap<CallToken, (Scope, Purpose)>,
}

impl Common {
    /// Requests a store call and returns its token.
    pub(super) fn call<O>(
        &mut self,
        scope: &Scope,
        purpose: Purpose,
        op: StoreOp,
        out: &mut Vec<Command<O>>,
    ) -> CallToken {
        self.next += 1;
        let token = CallToken(self.next);
        self.calls.insert(token, (scope.clone(), purpose));
        out.push(Command::Store(StoreCall { token, op }));
        token
    }

    /// Id of a new order, unique across vms and restarts.
    pub(super) fn new_order_id(&mut self) -> u64 {
        self.next += 1;
        mix(mix(mix(u64::from(self.me.vm.0)) ^ self.me.incarnation.0) ^ self.next)
    }

    /// True if a run of a vm has ended for certain. A list that arrived before `list_from` may be
    /// older than the vm, so it proves nothing.
    pub(super) fn has_ended(&self, holder: &Holder, list_from: Duration) -> bool {
        if holder.vm == self.me.vm {
            // Own sends of earlier leases are over before a lease is sought again, and earlier runs
            // of this vm ended before this one could listen on its addresses.
            return true;
        }
        let newer = self.runs.get(&holder.vm);
        let recent = !self.vms.is_empty() && self.vms_at >= list_from;
        (recent && !self.vms.contains(&holder.vm))
            || newer.is_some_and(|run| *run > holder.incarnation)
    }

    /// Time until the next look at a scope that another vm may hold.
    pub(super) fn probe_delay(&mut self, scope: &Scope) -> Duration {
        let rank = scope.rank(self.me.vm, &self.vms).saturating_sub(1).min(20);
        let delay = (self.config.probe_every * (1 << rank)).min(self.config.probe_limit);
        delay.mul_f64(self.rng.random_range(0.9..1.1))
    }
}

/// Leases and order intents of one vm.
#[derive(Debug)]
pub struct Authority<O> {
    common: Common,
    scopes: BTreeMap<Scope, ScopeState<O>>,
}

impl<O> Authority<O>
where
    O: Clone + Debug + PartialEq + Serialize + DeserializeOwned,
{
    /// Creates a machine that wants no scope yet.
    pub fn new(me: Holder, config: AuthorityConfig) -> Self {
        Self {
            common: Common {
                rng: SmallRng::seed_from_u64(config.seed),
                config,
                me,
                vms: Vec::new(),
                vms_at: Duration::ZERO,
                runs: BTreeMap::new(),
                stopping: false,
                next: 0,
                calls: BTreeMap::new(),
            },
            scopes: BTreeMap::new(),
        }
    }

    /// Fence of a scope if this vm holds it at `now`.
    pub fn fence(&self, scope: &Scope, now: Duration) -> Option<Fence> {
        self.scopes.get(scope)?.fence_at(now)
    }

    /// Time for which this vm surely holds a scope from `now` on.
    pub fn remaining_validity(&self, scope: &Scope, now: Duration) -> Option<Duration> {
        self.scopes.get(scope)?.remaining_validity(now)
    }

    /// Fence of a scope if this vm holds it at `now`, with its unsettled orders by target.
    pub fn held_with_unsettled(
        &self,
        scope: &Scope,
        now: Duration,
    ) -> Option<(Fence, Vec<(String, O)>)> {
        let state = self.scopes.get(scope)?;
        Some((state.fence_at(now)?, state.unsettled()))
    }

    /// True if no lease is held or sought, which is the state after a finished shutdown.
    pub fn is_idle(&self) -> bool {
        self.scopes.values().all(ScopeState::is_idle)
    }

    fn store_reply(
        &mut self,
        token: CallToken,
        reply: StoreReply,
        now: Duration,
        out: &mut Vec<Command<O>>,
    ) {
        let Some((scope, purpose)) = self.common.calls.remove(&token) else {
            return;
        };
        if let Some(state) = self.scopes.get_mut(&scope) {
            state.reply(&mut self.common, token, purpose, reply, now, out);
        }
    }

    fn drive_all(&mut self, now: Duration, out: &mut Vec<Command<O>>) {
        for state in self.scopes.values_mut() {
            state.drive(&mut self.common, now, out);
        }
    }
}

impl<O> Machine for Authority<O>
where
    O: Clone + Debug + PartialEq + Serialize + DeserializeOwned,
{
    type Event = Event<O>;
    type Command = Command<O>;

    fn step(&mut self, event: Event<O>, now: Duration, out: &mut Vec<Command<O>>) {
        match event {
            Event::Tick => {}
            Event::Vms(vms) => {
                self.common.vms = vms;
                self.common.vms_at = now;
            }
            Event::VmIncarnation(holder) => {
                let run = self.common.runs.entry(holder.vm).or_default();
                *run = (*run).max(holder.incarnation);
            }
            Event::Acquire {
                scope,
                checks_fencing,
            } => {
                let state = ScopeState::new(scope.clone());
                let state = self.scopes.entry(scope).or_insert(state);
                state.checks_fencing = checks_fencing;
            }
            Event::Request {
                scope,
                target,
                target_incarnation,
                order,
            } => match self.scopes.get_mut(&scope) {
                Some(state) => {
                    let order_id = self.common.new_order_id();
                    let wanted = Wanted {
                        order_id,
                        target_incarnation,
                        order,
                    };
                    state.request(target, wanted, now, out);
                }
                None => out.push(Command::Refused {
                    scope,
                    target,
                    order,
                    reason: Refusal::NotHolder,
                }),
            },
            Event::TargetIncarnation {
                scope,
                target,
                incarnation,
            } => {
                if let Some(state) = self.scopes.get_mut(&scope) {
                    state.target_runs(&target, incarnation);
                }
            }
            Event::Store(token, reply) => self.store_reply(token, reply, now, out),
            Event::Sent {
                scope,
                target,
                order_id,
                result,
            } => {
                if let Some(state) = self.scopes.get_mut(&scope) {
                    state.sent(&self.common, &target, order_id, result, now);
                }
            }
            Event::Shutdown => self.common.stopping = true,
        }
        self.drive_all(now, out);
    }
}
