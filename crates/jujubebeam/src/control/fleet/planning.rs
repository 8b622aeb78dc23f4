//! Runs the planner on the vm that holds `ordering`.

use jujubebeam_core::authority::Scope;
use jujubebeam_core::fleet::{FleetTarget, Planner, PlannerCommand, PlannerConfig, PlannerEvent};
use jujubebeam_core::peer::PeerMessage;
use jujubebeam_core::scheduler::Digest;
use jujubebeam_core::settings::document::TargetKind;
use jujubebeam_core::settings::{GroupSpec, Snapshot};
use jujubebeam_core::targets::{Order, TargetState};
use jujubebeam_core::{Clock, Machine, TargetId};

use super::state::lock;
use crate::context::Context;
use crate::control::authority;
use crate::peers;

/// Lets the planner of each group of engines decide. One vm plans for all zones, because planners
/// per zone would answer the same need once each. The holders of the zones' scopes give the orders.
pub(super) fn tick(context: &Context, snapshot: &Snapshot) {
    let mut planners = lock(&context.shared.fleet.planners);
    if authority::fence(context, &Scope::Ordering).is_none() {
        planners.clear();
        return;
    }
    let mut commands = Vec::new();
    for (position, group) in snapshot.groups.iter().enumerate() {
        if group.kind != TargetKind::Engine {
            continue;
        }
        let planner = planners
            .entry(group.name.clone())
            .or_insert_with(|| Planner::new(PlannerConfig::from_policy(&snapshot.fleet.policy)));
        for event in events(context, snapshot, position, group) {
            planner.step(event, context.shared.clock.now(), &mut commands);
        }
    }
    drop(planners);
    for command in commands {
        perform(context, command);
    }
}

fn events(
    context: &Context,
    snapshot: &Snapshot,
    position: usize,
    group: &GroupSpec,
) -> Vec<PlannerEvent> {
    let shared = &context.shared;
    let specs = group
        .targets
        .iter()
        .filter_map(|id| snapshot.targets.get(id));
    let targets: Vec<FleetTarget> = specs
        .map(|t| FleetTarget {
            id: t.id,
            zone: t.zone,
            class: t.class.clone(),
            // The planner leaves targets alone whose role operators set.
            leaving: t.leaving || t.desired_role.is_some(),
        })
        .collect();
    let ids: Vec<TargetId> = targets.iter().map(|t| t.id).collect();
    let own = shared.config.vm;
    let mut events = vec![
        PlannerEvent::Lead(true),
        PlannerEvent::Vms(vec![own]),
        PlannerEvent::Targets(targets),
    ];
    let reports = ids.iter().filter_map(|id| Some((*id, shared.load(*id)?)));
    events.extend(reports.map(|(target, report)| PlannerEvent::Report {
        target,
        report: Box::new(report),
    }));
    let routes = snapshot.routes.iter().filter(|r| r.group == position);
    let routes: Vec<_> = routes.map(|r| r.id).collect();
    // The drain is left to the handshake of planned changes, so the planner sees all targets as
    // drained and gives its orders at once.
    let digest = Digest {
        closed: ids.iter().map(|id| (*id, TargetState::Draining)).collect(),
        demand: shared.fleet.demand(&routes, shared.clock.now()),
        ..Digest::default()
    };
    events.push(PlannerEvent::Digest { from: own, digest });
    events.push(PlannerEvent::Tick);
    events
}

fn perform(context: &Context, command: PlannerCommand) {
    let PlannerCommand::Order {
        target,
        order: Order::SetRole { role },
    } = command
    else {
        return;
    };
    super::want_role(context, target, role);
    peers::send_to_all(context, &[PeerMessage::WantRole { target, role }]);
}
