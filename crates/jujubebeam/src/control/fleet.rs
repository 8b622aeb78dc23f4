//! Planned changes of targets, and the planner that wants them.
//!
//! See `docs/design.md`, section 5.6.

mod effect;
mod planning;
mod state;

use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use jujubebeam_core::authority::{Holder, Outcome, Refusal, Scope};
use jujubebeam_core::change::{ChangeCommand, ChangeEvent, ChangeMessage, PlannedChanges};
use jujubebeam_core::peer::PeerMessage;
use jujubebeam_core::scheduler::SchedulerEvent;
use jujubebeam_core::settings::document::TargetKind;
use jujubebeam_core::settings::{Snapshot, TargetSpec, target_id};
use jujubebeam_core::targets::{Order, Role, TargetState};
use jujubebeam_core::{Clock, TargetId, VmId};
use ntex::time::{Millis, sleep};

pub(crate) use effect::{effect, was_taken};
pub(crate) use state::FleetState;

use super::authority::{ControlOrder, request_order};
use crate::context::Context;
use crate::part::{Part, TICK_INTERVAL, feed, feed_peer};
use crate::peers;
use crate::shared::Shared;

/// Connects the machine of planned changes.
pub(crate) struct ChangesPart;

impl Part for ChangesPart {
    type Machine = PlannedChanges;

    fn machine(shared: &Shared) -> &Mutex<PlannedChanges> {
        &shared.fleet.changes
    }

    fn tick() -> ChangeEvent {
        ChangeEvent::Tick
    }

    fn perform(context: &Context, command: ChangeCommand) {
        let fleet = &context.shared.fleet;
        match command {
            ChangeCommand::Send { to, message } => {
                let message = PeerMessage::Change(message);
                match to {
                    Some(vm) => drop(peers::send(context, vm, vec![message])),
                    None => peers::send_to_all(context, &[message]),
                }
            }
            ChangeCommand::Ready { scope, target } => ready(context, scope, target),
            ChangeCommand::Postponed {
                target,
                in_flight,
                unacknowledged: silent,
            } => {
                let reason = format!("{in_flight} requests in flight, {silent} vms silent");
                log::info!(
                    "fleet: change of {} postponed: {reason}",
                    name(context, target)
                );
                fleet.postpone(target, reason);
            }
            ChangeCommand::Done(target) => {
                log::info!("fleet: change of {} is over", name(context, target));
                fleet.start_cooldown(target, context.shared.clock.now());
            }
        }
    }
}

fn name(context: &Context, target: TargetId) -> String {
    spec(context, target).map_or_else(|| target.to_string(), |t| t.name)
}

fn spec(context: &Context, target: TargetId) -> Option<TargetSpec> {
    context.shared.snapshot()?.targets.get(&target).cloned()
}

/// Starts planned changes and planning.
pub(crate) fn start(context: &Context) {
    let context = context.clone();
    ntex::rt::spawn(async move {
        let mut marked = Vec::new();
        loop {
            if let Some(snapshot) = context.shared.snapshot() {
                feed_state(&context, &snapshot);
                begin_wanted_roles(&context, &snapshot);
                planning::tick(&context, &snapshot);
            }
            feed::<ChangesPart>(&context, ChangeEvent::Tick);
            marked = tell_schedulers(&context, &marked);
            sleep(Millis(TICK_INTERVAL.as_millis() as u32)).await;
        }
    });
}

fn engine_scopes(snapshot: &Snapshot) -> Vec<Scope> {
    let groups = snapshot
        .groups
        .iter()
        .filter(|group| group.kind == TargetKind::Engine);
    let scope = |group: &str, zone: &String| Scope::Engines {
        group: group.to_owned(),
        zone: zone.clone(),
    };
    groups
        .flat_map(|g| snapshot.zones.iter().map(move |zone| scope(&g.name, zone)))
        .collect()
}

/// Tells the machine who may send work and which scopes this vm holds.
fn feed_state(context: &Context, snapshot: &Snapshot) {
    let shared = &context.shared;
    let now = shared.clock.now();
    let listed = shared.vms();
    if listed.vms.is_empty() {
        return;
    }
    // A vm that does not answer may still serve. Only the list proves that it has ended.
    let mut vms: Vec<VmId> = listed.vms.iter().map(|v| v.vm).collect();
    vms.extend(shared.membership.machine().live(now));
    vms.push(shared.config.vm);
    feed::<ChangesPart>(context, ChangeEvent::Vms(vms));
    let scopes = engine_scopes(snapshot);
    feed::<ChangesPart>(context, ChangeEvent::Scopes(scopes.clone()));
    for scope in scopes {
        let held = shared
            .authority
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .held_with_unsettled(&scope, now);
        let (fence, orders) = held.map_or((None, Vec::new()), |(f, o)| (Some(f), o));
        let away =
            |order: &ControlOrder| matches!(order, ControlOrder::Engine(Order::SetRole { .. }));
        let pending = orders.iter().filter(|(_, order)| away(order));
        let pending = pending.map(|(target, _)| target_id(target)).collect();
        let held = ChangeEvent::Held {
            scope,
            fence,
            pending,
        };
        feed::<ChangesPart>(context, held);
    }
}

/// Keeps the schedulers from choosing marked targets. Returns the targets that are marked now.
fn tell_schedulers(context: &Context, before: &[TargetId]) -> Vec<TargetId> {
    let shared = &context.shared;
    let marked = shared.fleet.marked();
    let tell = |target: TargetId, state| {
        let event = SchedulerEvent::TargetState { target, state };
        shared.dispatcher.feed_all(shared, &event);
    };
    for target in &marked {
        tell(*target, TargetState::Draining);
    }
    for target in before.iter().filter(|t| !marked.contains(t)) {
        let serves =
            |load: &jujubebeam_core::targets::LoadReport| load.state == TargetState::Serving;
        if shared.load(*target).as_ref().is_some_and(serves) {
            tell(*target, TargetState::Serving);
        }
    }
    marked
}

/// Begins the changes that operators want, one at a time per zone and never the last target.
fn begin_wanted_roles(context: &Context, snapshot: &Snapshot) {
    for target in snapshot.targets.values() {
        if let Some(role) = target.desired_role {
            want_role(context, target.id, role);
        }
    }
}

/// Begins a role change if this vm holds the scope and the target may change now.
pub(crate) fn want_role(context: &Context, target: TargetId, role: Role) {
    let shared = &context.shared;
    let Some(snapshot) = shared.snapshot() else {
        return;
    };
    let Some(target) = snapshot.targets.get(&target) else {
        return;
    };
    let Some(load) = shared.load(target.id) else {
        return;
    };
    let differs = load.role != role && load.state == TargetState::Serving;
    if !differs || target.kind != TargetKind::Engine || !may_begin(context, &snapshot, target) {
        return;
    }
    let Some(scope) = scope_of(&snapshot, target) else {
        return;
    };
    let longest_wait = longest_wait(&snapshot, target.group);
    if super::authority::fence(context, &scope).is_none() {
        return;
    }
    log::info!(
        "fleet: {} is to change from {} to {role}; running requests have {} s",
        target.name,
        load.role,
        longest_wait.as_secs()
    );
    shared.fleet.want(target.id, Order::SetRole { role });
    let begin = ChangeEvent::Begin {
        scope,
        target: target.id,
        longest_wait,
    };
    feed::<ChangesPart>(context, begin);
}

fn may_begin(context: &Context, snapshot: &Snapshot, target: &TargetSpec) -> bool {
    let shared = &context.shared;
    let policy = &snapshot.fleet.policy;
    let interval = Duration::from_secs(policy.role_change_interval_s);
    let zone_of = |id: &TargetId| snapshot.targets.get(id).map(|t| (t.group, t.zone));
    let changing = shared.fleet.changing();
    let in_zone = changing
        .iter()
        .filter(|id| zone_of(id) == Some((target.group, target.zone)));
    let serves = |t: &&TargetSpec| {
        let load = shared.load(t.id);
        t.id != target.id
            && t.group == target.group
            && load.is_some_and(|l| l.state == TargetState::Serving)
    };
    !changing.contains(&target.id)
        && in_zone.count() < policy.role_changes_per_zone as usize
        && !shared.fleet.is_marked(target.id)
        && shared
            .fleet
            .is_cooldown_over(target.id, interval, shared.clock.now())
        && snapshot.targets.values().any(|t| serves(&t))
}

fn scope_of(snapshot: &Snapshot, target: &TargetSpec) -> Option<Scope> {
    Some(Scope::Engines {
        group: snapshot.groups.get(target.group)?.name.clone(),
        zone: snapshot.zones.get(usize::from(target.zone.0))?.clone(),
    })
}

/// Shortest wait that the workspaces of the group's routes allow.
fn longest_wait(snapshot: &Snapshot, group: usize) -> Duration {
    let routes = snapshot.routes.iter().filter(|r| r.group == group);
    let routes: Vec<_> = routes.map(|r| r.id).collect();
    let uses = snapshot
        .workspaces
        .values()
        .filter(|w| routes.iter().any(|r| w.may_use_route(*r)));
    let waits = uses.map(|w| w.planned_change.longest_wait_s);
    Duration::from_secs(waits.min().unwrap_or(120))
}

fn ready(context: &Context, scope: Scope, target: TargetId) {
    let Some(order) = context.shared.fleet.take_wanted(target) else {
        return feed::<ChangesPart>(context, ChangeEvent::Ended(target));
    };
    let name = name(context, target);
    log::info!("fleet: no vm has work at {name}; ordering {order:?}");
    request_order(context, scope, &name, ControlOrder::Engine(order));
}

/// Ends the change of an order that was settled.
pub(crate) fn order_ended(context: &Context, target: &str, order: &ControlOrder, outcome: Outcome) {
    if let ControlOrder::Engine(order @ Order::SetRole { .. }) = order {
        log::info!("fleet: {order:?} at {target} ended: {outcome:?}");
        feed::<ChangesPart>(context, ChangeEvent::Ended(target_id(target)));
    }
}

/// Ends the change of an order that was not started.
pub(crate) fn order_refused(
    context: &Context,
    target: &str,
    order: &ControlOrder,
    reason: Refusal,
) {
    if let ControlOrder::Engine(Order::SetRole { .. }) = order {
        log::info!("fleet: change of {target} not started: {reason:?}");
        feed::<ChangesPart>(context, ChangeEvent::Ended(target_id(target)));
    }
}

/// Notes that a run of a vm was heard of.
pub(crate) fn hear_run(context: &Context, run: Holder) {
    feed::<ChangesPart>(context, ChangeEvent::VmIncarnation(run));
}

/// Handles a message and returns the one that goes back in the same exchange.
pub(crate) fn deliver(
    context: &Context,
    from: Holder,
    message: ChangeMessage,
) -> Option<PeerMessage> {
    let event = ChangeEvent::Message { from, message };
    feed_peer::<ChangesPart>(context, event, |command| match command {
        ChangeCommand::Send { to, message } if *to == Some(from.vm) => {
            Some(PeerMessage::Change(message.clone()))
        }
        _ => None,
    })
}

/// Waits until a new vm knows which targets are about to change.
pub(crate) async fn wait_for_marks(context: &Context, longest: Duration) {
    let until = context.shared.clock.now() + longest;
    while context.shared.fleet.is_syncing() && context.shared.clock.now() < until {
        sleep(Millis(50)).await;
    }
}

/// Planned change of a target for `status`; empty for none.
pub(crate) fn describe(context: &Context, target: TargetId) -> String {
    context.shared.fleet.describe(target)
}
