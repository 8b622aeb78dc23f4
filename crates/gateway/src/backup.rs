//! Backups of runs at a second engine. See [`jujubebeam_core::gateway::is_worth_backup`].

use jujubebeam_core::gateway::{
    Placement, PlacementRequest, Repeatability, RequestKind, is_worth_backup,
};

use crate::adapters::Adapters;
use crate::forward;
use crate::in_flight::InFlight;
use crate::job::Job;
use crate::request_log::record_placement;
use crate::server::Context;
use crate::state::{Fleet, Shared};

/// An engine that keeps a backup of a run.
#[derive(Clone, Debug)]
pub(crate) struct Backup {
    id: String,
    pub(crate) address: String,
}

/// Chooses an engine that keeps a backup of a run. A stream that may be sent again needs none.
pub(crate) fn choose(shared: &Shared, job: &Job, placement: &Placement) -> Option<Backup> {
    let is_stream = job.route().kind == RequestKind::Stream;
    if !is_stream || job.stage().is_none() || job.repeatability() != Repeatability::Once {
        return None;
    }
    let tokens = job.incoming.prompt_parts.iter().map(|part| part.tokens);
    if !is_worth_backup(job.engine(), tokens.sum(), job.route().latency_aim) {
        return None;
    }
    let fleet = shared.fleet();
    let request = decode_request(shared, job);
    let key = fleet
        .placer
        .backup(&fleet.catalog, &request, placement, shared.now())?;
    let target = fleet.catalog.get(key)?;
    Some(Backup {
        id: target.id.clone(),
        address: target.address.clone(),
    })
}

/// Places the remainder of a run at the engine that keeps its backup, if that engine still accepts
/// work.
pub(crate) async fn place<A: Adapters>(
    context: &Context<A>,
    job: &Job,
    backup: &Backup,
) -> Option<InFlight> {
    let shared = &context.shared;
    let key = shared.fleet().catalog.key_of(&backup.id)?;
    if !forward::acquire_permit(context, job, key, true).await {
        return None;
    }
    let request = decode_request(shared, job);
    let placement = {
        let mut fleet = shared.fleet();
        let Fleet {
            catalog, placer, ..
        } = &mut *fleet;
        placer.place_at(catalog, &request, key, shared.now())?
    };
    record_placement(shared, job, "copy", &placement, shared.vm);
    Some(InFlight::new(shared, placement))
}

/// Placement of a run whose prompt the engine does not need to compute.
fn decode_request<'a>(shared: &'a Shared, job: &'a Job) -> PlacementRequest<'a> {
    job.placement_request(&shared.config.zone, &[], &[])
}
