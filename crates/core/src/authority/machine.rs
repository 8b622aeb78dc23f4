//! The authority machine: its events and commands, and the dispatch of events to scopes.

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
use super::slot::QueuedOrder;
use crate::store::{CallToken, StoreCall, StoreOp, StoreReply};
use crate::{Fence, Incarnation, Machine, VmId};

/// How a send ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SendResult {
    /// The receiver accepted the order.
    Accepted,
    /// The receiver refused the order permanently.
    Rejected,
    /// The receiver has seen a higher fence.
    StaleFence,
    /// The receiver is busy with another order.
    Busy,
    /// It is certain that nothing was sent.
    NotSent,
    /// No answer arrived.
    Unknown,
}

/// How an order ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The receiver accepted the order.
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

/// Input of the authority machine.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Event<O> {
    /// Time has passed.
    Tick,
    /// The vm list was read. A vm that is missing has certainly ended.
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
    /// An order to a target is requested.
    Request {
        /// Scope that the order needs.
        scope: Scope,
        /// Name of the target. The exclusive scopes have a single target.
        target: String,
        /// Current incarnation of the target; zero if not known.
        target_incarnation: Incarnation,
        /// The order.
        order: O,
    },
    /// A target runs with this incarnation.
    #[serde(rename = "TargetRuns")]
    TargetIncarnation {
        /// Scope of the target.
        scope: Scope,
        /// Name of the target.
        target: String,
        /// Its incarnation.
        incarnation: Incarnation,
    },
    /// A store call has ended.
    Store(CallToken, StoreReply),
    /// A send has ended. Every `Command::Send` is answered by one such event.
    Sent {
        /// Scope of the order.
        scope: Scope,
        /// Name of the target.
        target: String,
        /// Id of the order.
        order_id: u64,
        /// How it ended.
        result: SendResult,
    },
    /// The process shuts down and releases its leases.
    Shutdown,
}

/// Output of the authority machine, carried out by the caller.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Command<O> {
    /// Performs a store call.
    Store(StoreCall),
    /// Sends an order, unless `deadline` has passed, and aborts the call at `deadline`.
    Send {
        /// Scope of the order.
        scope: Scope,
        /// Name of the target.
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
    /// This vm has acquired the lease of a scope.
    Acquired(Scope, Fence),
    /// This vm no longer holds a scope.
    Lost(Scope),
    /// An order has ended.
    Finished {
        /// Scope of the order.
        scope: Scope,
        /// Name of the target.
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
        /// Name of the target.
        target: String,
        /// The order.
        order: O,
        /// Reason of the refusal.
        reason: Refusal,
    },
}

/// Purpose of a pending store call.
#[derive(Clone, Debug)]
pub(super) enum Purpose {
    /// Acquiring or releasing the lease.
    Lease,
    /// Renewing the lease.
    Renew,
    /// Reading or writing the intent of a target.
    Slot(String),
    /// Marking the intents of this process as released.
    Release,
}

/// State that all scopes share.
#[derive(Debug)]
pub(super) struct Common {
    pub(super) config: AuthorityConfig,
    pub(super) me: Holder,
    pub(super) vms: Vec<VmId>,
    vms_received_at: Duration,
    pub(super) incarnations: BTreeMap<VmId, Incarnation>,
    pub(super) stopping: bool,
    rng: SmallRng,
    last_id: u64,
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
        self.last_id += 1;
        let token = CallToken(self.last_id);
        self.calls.insert(token, (scope.clone(), purpose));
        out.push(Command::Store(StoreCall { token, op }));
        token
    }

    /// Id of a new order, unique across vms and restarts.
    pub(super) fn new_order_id(&mut self) -> u64 {
        self.last_id += 1;
        mix(mix(mix(u64::from(self.me.vm.0)) ^ self.me.incarnation.0) ^ self.last_id)
    }

    /// True if a holder has certainly ended. A list that arrived before `fresh_list_from` may be
    /// older than the vm, so it proves nothing.
    pub(super) fn has_ended(&self, holder: &Holder, fresh_list_from: Duration) -> bool {
        if holder.vm == self.me.vm {
            // Sends under earlier leases of this process have ended before it tries to acquire
            // the lease again. Earlier incarnations of this vm have ended, because this one could
            // not listen on the addresses of the vm before.
            return true;
        }
        let newer = self.incarnations.get(&holder.vm);
        let recent = !self.vms.is_empty() && self.vms_received_at >= fresh_list_from;
        (recent && !self.vms.contains(&holder.vm))
            || newer.is_some_and(|run| *run > holder.incarnation)
    }

    /// Time until the next probe of a scope that another vm may hold.
    pub(super) fn probe_delay(&mut self, scope: &Scope) -> Duration {
        let rank = scope.rank(self.me.vm, &self.vms).saturating_sub(1).min(20);
        let delay = (self.config.probe_interval * (1 << rank)).min(self.config.max_probe_interval);
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
    /// Creates a machine that does not try to acquire any scope yet.
    pub fn new(me: Holder, config: AuthorityConfig) -> Self {
        Self {
            common: Common {
                rng: SmallRng::seed_from_u64(config.seed),
                config,
                me,
                vms: Vec::new(),
                vms_received_at: Duration::ZERO,
                incarnations: BTreeMap::new(),
                stopping: false,
                last_id: 0,
                calls: BTreeMap::new(),
            },
            scopes: BTreeMap::new(),
        }
    }

    /// Fence of a scope if this vm holds it at `now`.
    pub fn fence(&self, scope: &Scope, now: Duration) -> Option<Fence> {
        self.scopes.get(scope)?.fence_at(now)
    }

    /// Time after `now` for which this vm certainly holds a scope.
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

    /// True if no lease is held or being acquired, which is the state after a completed shutdown.
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
                self.common.vms_received_at = now;
            }
            Event::VmIncarnation(holder) => {
                let run = self.common.incarnations.entry(holder.vm).or_default();
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
                    let queued = QueuedOrder {
                        order_id,
                        target_incarnation,
                        order,
                    };
                    state.request(target, queued, now, out);
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
                    state.set_target_incarnation(&target, incarnation);
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
                    state.send_ended(&self.common, &target, order_id, result, now);
                }
            }
            Event::Shutdown => self.common.stopping = true,
        }
        self.drive_all(now, out);
    }
}
