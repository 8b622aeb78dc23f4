//! Planner of the roles, the weights and the number of the targets of one group.
//!
//! Only one vm plans at a time. See `docs/design.md`, sections 5.6 and 5.8.

mod capacity;
mod config;
mod demand;
mod types;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

pub use config::PlannerConfig;
pub use types::{ClassSpec, FleetTarget, PlannerCommand, PlannerEvent};

use crate::invariant::{self, Invariant};
use crate::scheduler::Digest;
use crate::targets::{LoadReport, Order, Role, TargetState};
use crate::{Incarnation, Machine, TargetId, VmId, ZoneId};
use demand::{EngineDemand, History, Roles};

/// Interval between announcements of a target's state. Announcements expire at the vms after 3 s.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(500);
/// Time after which the planner stops waiting for an order to take effect.
const ORDER_TIMEOUT: Duration = Duration::from_secs(60);

#[derive(Debug)]
struct TargetRecord {
    spec: FleetTarget,
    role: Role,
    state: TargetState,
    incarnation: Option<Incarnation>,
    changed_at: Option<Duration>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ChangeKind {
    Role(Role),
    Release,
}

#[derive(Debug)]
struct Change {
    kind: ChangeKind,
    started_at: Duration,
    ordered_at: Option<Duration>,
    announced_at: Option<Duration>,
}

impl Change {
    fn new(kind: ChangeKind, now: Duration) -> Self {
        Self {
            kind,
            started_at: now,
            ordered_at: None,
            announced_at: None,
        }
    }
}

#[derive(Debug)]
struct LoadJob {
    order: Order,
    size_bytes: u64,
    targets: VecDeque<TargetId>,
}

/// Time after a partial digest during which the planner starts no changes.
const PARTIAL_DIGEST_HOLD: Duration = Duration::from_secs(10);

/// Planner of one group of engines.
#[derive(Debug)]
pub struct Planner {
    config: PlannerConfig,
    is_leader: bool,
    vms: BTreeSet<VmId>,
    targets: BTreeMap<TargetId, TargetRecord>,
    digests: BTreeMap<VmId, (Digest, Duration)>,
    /// When the last partial digest arrived. Vms send these in large fleets.
    partial_digest_at: Option<Duration>,
    changes: BTreeMap<TargetId, Change>,
    history: History,
    sampled_at: Option<Duration>,
    classes: Vec<ClassSpec>,
    zones: Vec<ZoneId>,
    pending_purchases: Vec<String>,
    cents_per_hour: u64,
    reclaimable_share: f64,
    shortage_since: Option<Duration>,
    surplus_since: Option<Duration>,
    loads: VecDeque<LoadJob>,
    next_load_at: Duration,
}

impl Planner {
    /// Creates a planner that does not hold the authority to plan.
    pub fn new(config: PlannerConfig) -> Self {
        Self {
            config,
            is_leader: false,
            vms: BTreeSet::new(),
            targets: BTreeMap::new(),
            digests: BTreeMap::new(),
            partial_digest_at: None,
            changes: BTreeMap::new(),
            history: History::default(),
            sampled_at: None,
            classes: Vec::new(),
            zones: Vec::new(),
            pending_purchases: Vec::new(),
            cents_per_hour: 0,
            reclaimable_share: 0.0,
            shortage_since: None,
            surplus_since: None,
            loads: VecDeque::new(),
            next_load_at: Duration::ZERO,
        }
    }

    fn tick(&mut self, now: Duration, out: &mut Vec<PlannerCommand>) {
        if !self.is_leader {
            return;
        }
        self.advance_changes(now, out);
        self.advance_loads(now, out);
        // Partial digests understate demand, which would look like spare capacity.
        let partial = self.partial_digest_at;
        if partial.is_some_and(|at| now.saturating_sub(at) < PARTIAL_DIGEST_HOLD) {
            return;
        }
        let due = self
            .sampled_at
            .is_none_or(|at| now.saturating_sub(at) >= self.config.sample_interval);
        if !due {
            return;
        }
        self.sampled_at = Some(now);
        let demand = self.estimate_demand(now);
        self.history.push(demand, &self.config);
        while self.consider_role_change(now) {}
        self.consider_buying(now, out);
        self.consider_release(now);
    }

    /// Sums the demand in recent digests and converts it to a number of engines.
    fn estimate_demand(&self, now: Duration) -> EngineDemand {
        let expiry = self.config.digest_expiry;
        let fresh = self
            .digests
            .values()
            .filter(|(_, at)| now.saturating_sub(*at) <= expiry);
        let (mut prefill, mut output) = (0.0, 0.0);
        for (digest, _) in fresh {
            prefill += digest.demand.prefill_tokens_per_s;
            output += digest.demand.output_tokens_per_s;
        }
        let rates = &self.config.rates;
        let interval_ms = self.config.token_interval.as_secs_f64() * 1000.0;
        let decode = rates.decode_rate(interval_ms, self.config.context_tokens);
        EngineDemand {
            prefill: prefill / (rates.prefill_tokens_per_s * self.config.usable_share),
            decode: output / (decode * self.config.usable_share),
        }
    }

    /// Number of targets per role once all running changes are complete.
    fn roles(&self) -> Roles {
        let mut roles = Roles::default();
        for (id, record) in &self.targets {
            match self.changes.get(id).map(|c| c.kind) {
                Some(ChangeKind::Release) => continue,
                Some(ChangeKind::Role(role)) => *role_count_mut(&mut roles, role) += 1,
                None => *role_count_mut(&mut roles, record.role) += 1,
            }
        }
        roles
    }

    /// Starts the role change with the largest gain, if its gain exceeds its cost.
    fn consider_role_change(&mut self, now: Duration) -> bool {
        let present = self.roles();
        let served = self.history.served(present, &self.config);
        let mut best: Option<(f64, TargetId, Role)> = None;
        for (id, record) in &self.targets {
            if !self.can_change(*id, record, now) {
                continue;
            }
            for role in [Role::Prefill, Role::Decode, Role::Mixed] {
                if role == record.role {
                    continue;
                }
                let mut roles = present;
                *role_count_mut(&mut roles, record.role) -= 1;
                *role_count_mut(&mut roles, role) += 1;
                let gain = self.history.served(roles, &self.config) - served;
                if best.is_none_or(|(largest, _, _)| gain > largest) {
                    best = Some((gain, *id, role));
                }
            }
        }
        let Some((gain, target, role)) = best else {
            return false;
        };
        let gain_s = gain * self.config.gain_horizon.as_secs_f64();
        if gain_s <= self.config.change_cost.as_secs_f64() * self.config.gain_factor {
            return false;
        }
        self.changes
            .insert(target, Change::new(ChangeKind::Role(role), now));
        true
    }

    fn can_change(&self, id: TargetId, record: &TargetRecord, now: Duration) -> bool {
        let zone = record.spec.zone;
        let in_zone = self
            .changes
            .keys()
            .filter(|other| self.targets.get(other).is_some_and(|t| t.spec.zone == zone));
        let cooldown_over = record
            .changed_at
            .is_none_or(|at| now.saturating_sub(at) >= self.config.change_interval);
        record.state == TargetState::Serving
            && !record.spec.leaving
            && cooldown_over
            && !self.changes.contains_key(&id)
            && in_zone.count() < self.config.changes_per_zone as usize
            && self.can_leave_role(id)
    }

    /// Whether another serving target that is not being changed has the same role.
    fn can_leave_role(&self, id: TargetId) -> bool {
        let Some(record) = self.targets.get(&id) else {
            return false;
        };
        self.targets.iter().any(|(other, t)| {
            *other != id
                && t.role == record.role
                && t.state == TargetState::Serving
                && !self.changes.contains_key(other)
        })
    }

    /// Whether the other targets can still serve all requests without this one. Prefill and decode
    /// engines together replace a mixed one.
    fn can_be_released(&self, id: TargetId) -> bool {
        let mixed = self.targets.get(&id).is_some_and(|t| t.role == Role::Mixed);
        let left = |role| {
            let others = self.targets.iter().filter(|(other, _)| **other != id);
            others
                .filter(|(other, _)| !self.changes.contains_key(other))
                .any(|(_, t)| t.role == role && t.state == TargetState::Serving)
        };
        (mixed && left(Role::Prefill) && left(Role::Decode)) || self.can_leave_role(id)
    }

    fn advance_changes(&mut self, now: Duration, out: &mut Vec<PlannerCommand>) {
        let ids: Vec<TargetId> = self.changes.keys().copied().collect();
        for id in ids {
            self.announce(id, now, out);
            if self.is_done(id, now) {
                self.end_change(id, now, out);
                continue;
            }
            self.try_order(id, now, out);
        }
    }

    fn announce(&mut self, id: TargetId, now: Duration, out: &mut Vec<PlannerCommand>) {
        let Some(change) = self.changes.get_mut(&id) else {
            return;
        };
        let due = change
            .announced_at
            .is_none_or(|at| now.saturating_sub(at) >= ANNOUNCE_INTERVAL);
        if !due {
            return;
        }
        change.announced_at = Some(now);
        let state = match (change.kind, change.ordered_at) {
            (ChangeKind::Release, _) => TargetState::Leaving,
            (ChangeKind::Role(_), None) => TargetState::Draining,
            (ChangeKind::Role(_), Some(_)) => TargetState::Changing,
        };
        out.push(PlannerCommand::Announce { target: id, state });
    }

    fn is_done(&self, id: TargetId, now: Duration) -> bool {
        let (Some(change), Some(record)) = (self.changes.get(&id), self.targets.get(&id)) else {
            return true;
        };
        let Some(ordered_at) = change.ordered_at else {
            let waited = now.saturating_sub(change.started_at);
            return change.kind != ChangeKind::Release && waited > self.config.longest_drain;
        };
        let in_force = match change.kind {
            ChangeKind::Role(role) => record.role == role && record.state == TargetState::Serving,
            ChangeKind::Release => false,
        };
        in_force || now.saturating_sub(ordered_at) > ORDER_TIMEOUT
    }

    fn end_change(&mut self, id: TargetId, now: Duration, out: &mut Vec<PlannerCommand>) {
        self.changes.remove(&id);
        if let Some(record) = self.targets.get_mut(&id) {
            record.changed_at = Some(now);
        }
        out.push(PlannerCommand::Announce {
            target: id,
            state: TargetState::Serving,
        });
    }

    fn try_order(&mut self, id: TargetId, now: Duration, out: &mut Vec<PlannerCommand>) {
        let Some(change) = self.changes.get(&id) else {
            return;
        };
        if change.ordered_at.is_some() || !self.is_empty_everywhere(id, now) {
            return;
        }
        let in_flight: u32 = self.digests.values().map(|(d, _)| in_flight(d, id)).sum();
        invariant::check(Invariant::PlannedChangeCutsNothing, in_flight == 0, || {
            format!("target {id} is changed with {in_flight} requests in flight")
        });
        let command = match change.kind {
            ChangeKind::Role(role) => PlannerCommand::Order {
                target: id,
                order: Order::SetRole { role },
            },
            ChangeKind::Release => PlannerCommand::Release { target: id },
        };
        out.push(command);
        if let Some(change) = self.changes.get_mut(&id) {
            change.ordered_at = Some(now);
        }
    }

    /// Whether a recent digest of each live vm shows that the vm sends no new work to the target and
    /// has none in flight there.
    fn is_empty_everywhere(&self, id: TargetId, now: Duration) -> bool {
        !self.vms.is_empty()
            && self.vms.iter().all(|vm| {
                self.digests.get(vm).is_some_and(|(digest, at)| {
                    now.saturating_sub(*at) <= self.config.digest_expiry
                        && digest.closed.iter().any(|(closed, _)| *closed == id)
                        && in_flight(digest, id) == 0
                })
            })
    }

    /// Orders loads one at a time, so that together they stay within the weight store's bandwidth.
    fn advance_loads(&mut self, now: Duration, out: &mut Vec<PlannerCommand>) {
        while now >= self.next_load_at {
            let Some(load) = self.loads.front_mut() else {
                return;
            };
            let Some(target) = load.targets.pop_front() else {
                self.loads.pop_front();
                continue;
            };
            let seconds = load.size_bytes as f64 / self.config.weight_bytes_per_s;
            self.next_load_at = now + Duration::from_secs_f64(seconds);
            out.push(PlannerCommand::Order {
                target,
                order: load.order.clone(),
            });
        }
    }

    fn queue_load(
        &mut self,
        order: Order,
        size_bytes: u64,
        work: Vec<(TargetId, f64)>,
        copies: u32,
    ) {
        let mut work: Vec<_> = work
            .into_iter()
            .filter(|(id, _)| self.targets.get(id).is_some_and(|t| !t.spec.leaving))
            .collect();
        work.sort_by(|a, b| b.1.total_cmp(&a.1).then(a.0.cmp(&b.0)));
        let targets = work
            .into_iter()
            .take(copies as usize)
            .map(|(id, _)| id)
            .collect();
        self.loads.push_back(LoadJob {
            order,
            size_bytes,
            targets,
        });
    }

    fn set_targets(&mut self, targets: Vec<FleetTarget>) {
        self.targets
            .retain(|id, _| targets.iter().any(|t| t.id == *id));
        self.changes.retain(|id, _| self.targets.contains_key(id));
        for spec in targets {
            let record = self.targets.entry(spec.id).or_insert_with(|| TargetRecord {
                spec: spec.clone(),
                role: Role::Mixed,
                state: TargetState::Serving,
                incarnation: None,
                changed_at: None,
            });
            record.spec = spec;
        }
    }

    fn apply_report(&mut self, target: TargetId, report: &LoadReport) {
        let Some(record) = self.targets.get_mut(&target) else {
            return;
        };
        record.role = report.role;
        record.state = report.state;
        record.incarnation = Some(report.incarnation);
    }

    fn set_leader(&mut self, is_leader: bool) {
        if self.is_leader == is_leader {
            return;
        }
        self.is_leader = is_leader;
        // A new leader starts from the targets' reports. The announcements of unfinished drains
        // expire at the vms.
        self.changes.clear();
        self.pending_purchases.clear();
        self.shortage_since = None;
        self.surplus_since = None;
    }
}

impl Machine for Planner {
    type Event = PlannerEvent;
    type Command = PlannerCommand;

    fn step(&mut self, event: PlannerEvent, now: Duration, out: &mut Vec<PlannerCommand>) {
        match event {
            PlannerEvent::Lead(is_leader) => self.set_leader(is_leader),
            PlannerEvent::Vms(vms) => self.vms = vms.into_iter().collect(),
            PlannerEvent::Targets(targets) => self.set_targets(targets),
            PlannerEvent::Market { classes, zones } => {
                self.classes = classes;
                self.zones = zones;
            }
            PlannerEvent::Rules {
                cents_per_hour,
                reclaimable_share,
            } => {
                self.cents_per_hour = cents_per_hour;
                self.reclaimable_share = reclaimable_share;
            }
            PlannerEvent::Report { target, report } => self.apply_report(target, &report),
            PlannerEvent::Digest { digest, .. } if digest.partial => {
                self.partial_digest_at = Some(now);
            }
            PlannerEvent::Digest { from, digest } => {
                self.digests.insert(from, (digest, now));
            }
            PlannerEvent::Load {
                order,
                size_bytes,
                work,
                copies,
            } => self.queue_load(order, size_bytes, work, copies),
            PlannerEvent::OrderSettled { class } => {
                if let Some(position) = self.pending_purchases.iter().position(|c| *c == class) {
                    self.pending_purchases.remove(position);
                }
            }
            PlannerEvent::Tick => self.tick(now, out),
        }
    }
}

fn role_count_mut(roles: &mut Roles, role: Role) -> &mut u32 {
    match role {
        Role::Prefill => &mut roles.prefill,
        Role::Decode => &mut roles.decode,
        Role::Mixed => &mut roles.mixed,
    }
}

fn in_flight(digest: &Digest, target: TargetId) -> u32 {
    let load = digest.loads.iter().find(|(id, _)| *id == target);
    load.map_or(0, |(_, l)| l.in_flight())
}
