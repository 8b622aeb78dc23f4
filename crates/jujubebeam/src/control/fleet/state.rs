//! State of planned changes and of planning in the process.

use std::collections::{BTreeMap, HashMap};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use jujubebeam_core::authority::Holder;
use jujubebeam_core::change::{ChangeConfig, PlannedChanges};
use jujubebeam_core::fleet::Planner;
use jujubebeam_core::peer::PeerMessage;
use jujubebeam_core::scheduler::Demand;
use jujubebeam_core::targets::Order;
use jujubebeam_core::{Clock, Incarnation, RouteId, TargetId, VmId};

use crate::shared::Shared;

/// Demand that was not renewed for this long is not counted.
const DEMAND_EXPIRY: Duration = Duration::from_secs(3);

/// State of planned changes and of planning in the process.
#[derive(Debug)]
pub(crate) struct FleetState {
    pub(super) changes: Mutex<PlannedChanges>,
    pub(super) planners: Mutex<BTreeMap<String, Planner>>,
    /// Runs of engines in which they took an order, by order id.
    pub(super) taken: Mutex<BTreeMap<u64, Incarnation>>,
    demand: Mutex<HashMap<(RouteId, VmId), (Demand, Duration)>>,
    wanted: Mutex<BTreeMap<TargetId, Order>>,
    postponed: Mutex<BTreeMap<TargetId, String>>,
    cooldown_from: Mutex<BTreeMap<TargetId, Duration>>,
}

impl FleetState {
    /// Creates the state of a fresh process.
    pub(crate) fn new(me: Holder) -> Self {
        Self {
            changes: Mutex::new(PlannedChanges::new(me, ChangeConfig::default())),
            planners: Mutex::default(),
            taken: Mutex::default(),
            demand: Mutex::default(),
            wanted: Mutex::default(),
            postponed: Mutex::default(),
            cooldown_from: Mutex::default(),
        }
    }

    /// Counts a request at a target, unless new work must not go there.
    pub(crate) fn enter(&self, target: TargetId) -> bool {
        lock(&self.changes).begin_request(target)
    }

    /// Ends a request that was counted.
    pub(crate) fn leave(&self, target: TargetId) {
        lock(&self.changes).end_request(target);
    }

    /// Whether a target is about to change.
    pub(crate) fn is_marked(&self, target: TargetId) -> bool {
        lock(&self.changes).is_marked(target)
    }

    /// Whether the order of a change may be sent now.
    pub(crate) fn may_send(&self, target: TargetId) -> bool {
        lock(&self.changes).may_send(target)
    }

    pub(super) fn is_syncing(&self) -> bool {
        lock(&self.changes).is_syncing()
    }

    pub(super) fn marked(&self) -> Vec<TargetId> {
        lock(&self.changes).marked_targets()
    }

    /// Targets whose changes this vm carries out.
    pub(super) fn changing(&self) -> Vec<TargetId> {
        let status = lock(&self.changes).status();
        status.into_iter().map(|s| s.target).collect()
    }

    pub(super) fn want(&self, target: TargetId, order: Order) {
        lock(&self.postponed).remove(&target);
        lock(&self.wanted).insert(target, order);
    }

    pub(super) fn take_wanted(&self, target: TargetId) -> Option<Order> {
        lock(&self.wanted).remove(&target)
    }

    pub(super) fn postpone(&self, target: TargetId, reason: String) {
        lock(&self.postponed).insert(target, reason);
    }

    pub(super) fn start_cooldown(&self, target: TargetId, now: Duration) {
        lock(&self.cooldown_from).insert(target, now);
    }

    pub(super) fn is_cooldown_over(
        &self,
        target: TargetId,
        interval: Duration,
        now: Duration,
    ) -> bool {
        let from = lock(&self.cooldown_from).get(&target).copied();
        from.is_none_or(|at| now.saturating_sub(at) >= interval)
    }

    pub(super) fn describe(&self, target: TargetId) -> String {
        let changes = lock(&self.changes).status();
        if let Some(change) = changes.iter().find(|c| c.target == target) {
            let (in_flight, silent) = (change.in_flight, change.unacknowledged);
            return match change.ordered {
                true => "ordered".into(),
                false => format!("draining: {in_flight} requests in flight, {silent} vms silent"),
            };
        }
        let postponed = lock(&self.postponed).get(&target).cloned();
        postponed.map_or(String::new(), |reason| format!("postponed: {reason}"))
    }

    /// Notes the demand at a vm.
    pub(crate) fn hear_demand(&self, from: VmId, route: RouteId, demand: Demand, now: Duration) {
        lock(&self.demand).insert((route, from), (demand, now));
    }

    /// Notes the demand at this vm.
    pub(crate) fn hear_own(&self, shared: &Shared, messages: &[PeerMessage]) {
        for message in messages {
            if let PeerMessage::Scheduler { route, digest } = message {
                let now = shared.clock.now();
                self.hear_demand(shared.config.vm, *route, digest.demand, now);
            }
        }
    }

    /// Demand at all vms on some routes.
    pub(super) fn demand(&self, routes: &[RouteId], now: Duration) -> Demand {
        let mut demand = lock(&self.demand);
        demand.retain(|_, (_, at)| now.saturating_sub(*at) < DEMAND_EXPIRY);
        let of_routes = demand.iter().filter(|((r, _), _)| routes.contains(r));
        let mut sum = Demand::default();
        for (_, (at_vm, _)) in of_routes {
            sum.prefill_tokens_per_s += at_vm.prefill_tokens_per_s;
            sum.output_tokens_per_s += at_vm.output_tokens_per_s;
            sum.missed_per_s += at_vm.missed_per_s;
        }
        sum
    }
}

pub(super) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
