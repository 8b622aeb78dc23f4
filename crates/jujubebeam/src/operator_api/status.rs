//! Shows vms with their settings in force, and targets.

use std::collections::BTreeMap;

use jujubebeam_core::settings::Snapshot;
use jujubebeam_core::{Clock, Revision, VmId, invariant};
use jujubebeam_operator::SETTINGS_PREFIX;
use jujubebeam_operator::api::{InForce, StatusAnswer, TargetStatus, VmStatus};
use ntex::web::{HttpRequest, HttpResponse};

use super::authorize;
use crate::caller::ContextState;
use crate::context::Context;
use crate::control::{fleet, settings};

/// Handles `GET /operator/v1/status`. With `?subtree=NAME` only that subtree is asked for.
pub(super) async fn show(context: ContextState, request: HttpRequest) -> HttpResponse {
    if let Err(response) = authorize(&context, request.headers()) {
        return response;
    }
    let in_force = in_force(&context, request.query_string()).await;
    let shared = &context.shared;
    let now = shared.clock.now();
    let age = shared.settings.machine().age(now);
    let targets = shared.snapshot().map(|s| targets(&context, &s));
    HttpResponse::Ok().json(&StatusAnswer {
        vm: shared.config.vm,
        fresh: shared.settings.permit().may_start(now),
        settings_age_ms: age.map_or(u64::MAX, |a| a.as_millis() as u64),
        violations: invariant::total(),
        vms: vms(&context, in_force),
        targets: targets.unwrap_or_default(),
    })
}

type RevisionsByVm = BTreeMap<VmId, Vec<InForce>>;

async fn in_force(context: &Context, query: &str) -> RevisionsByVm {
    let wanted = query.strip_prefix("subtree=");
    let keys = match wanted {
        Some(name) => vec![format!("{SETTINGS_PREFIX}{name}")],
        None => context.shared.settings.machine().names(),
    };
    let mut by_vm = RevisionsByVm::new();
    for key in keys {
        let name = key.strip_prefix(SETTINGS_PREFIX).unwrap_or(&key).to_owned();
        for (vm, revision) in settings::status(context, key).await {
            by_vm.entry(vm).or_default().push(InForce {
                name: name.clone(),
                revision: revision.unwrap_or(Revision(0)),
            });
        }
    }
    by_vm
}

fn vms(context: &Context, mut in_force: RevisionsByVm) -> Vec<VmStatus> {
    let machine = context.shared.membership.machine();
    let live = machine.live(context.shared.clock.now());
    let mut all = machine.listed();
    all.extend(&live);
    all.sort_unstable();
    all.dedup();
    all.into_iter()
        .map(|vm| {
            let record = machine.record(vm);
            let state = match record {
                _ if !live.contains(&vm) => "unreachable".to_owned(),
                Some(record) => format!("{:?}", record.state).to_lowercase(),
                None => "unreachable".to_owned(),
            };
            VmStatus {
                vm,
                zone: record.map(|r| r.zone.clone()).unwrap_or_default(),
                state,
                in_force: in_force.remove(&vm).unwrap_or_default(),
            }
        })
        .collect()
}

fn targets(context: &Context, snapshot: &Snapshot) -> Vec<TargetStatus> {
    let mut targets: Vec<_> = snapshot
        .targets
        .values()
        .map(|target| {
            let load = context.shared.load(target.id);
            TargetStatus {
                target: target.name.clone(),
                zone: snapshot
                    .zones
                    .get(usize::from(target.zone.0))
                    .cloned()
                    .unwrap_or_default(),
                role: load.as_ref().map_or(String::new(), |l| l.role.to_string()),
                state: load
                    .as_ref()
                    .map_or("unreachable".into(), |l| l.state.to_string()),
                running_requests: load.map_or(0, |l| l.running_requests),
                change: fleet::describe(context, target.id),
            }
        })
        .collect();
    targets.sort_by(|a, b| a.target.cmp(&b.target));
    targets
}
