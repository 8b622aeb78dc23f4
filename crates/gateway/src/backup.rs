//! Copies of runs at a second engine. See [`jujubebeam_core::gateway::is_worth_backup`].

use std::sync::Arc;

use jujubebeam_core::gateway::{
    Placement, PlacementRequest, Repeatability, RequestKind, is_worth_backup,
};

use crate::in_flight::InFlight;
use crate::job::Job;
use crate::state::{Fleet, Shared};
use crate::tell::tell_placed;

/// An engine that keeps a copy of a run.
#[derive(Clone, Debug)]
pub(crate) struct Backup {
    id: String,
    pub(crate) address: String,
}

/// Chooses an engine that keeps a copy of a run. A stream that may be sent again needs none.
pub(crate) fn choose(shared: &Shared, job: &Job, placed: &Placement) -> Option<Backup> {
    let is_stream = job.route().kind == RequestKind::Stream;
    if !is_stream || job.stage().is_none() || job.repeatability() != Repeatability::Once {
        return None;
    }
    let tokens = job.incoming.prompt_parts.iter().map(|part| part.tokens);
    if !is_worth_backup(job.engine(), tokens.sum(), job.route().latency_aim) {
        return None;
    }
    let fleet = shared.fleet();
    let request = handed_over(shared, job);
    let key = fleet
        .placer
        .backup(&fleet.catalog, &request, placed, shared.now())?;
    let target = fleet.catalog.get(key)?;
    Some(Backup {
        id: target.id.clone(),
        address: target.address.clone(),
    })
}

/// Counts the rest of a run at the engine that keeps its copy, if that still takes work.
pub(crate) fn place(shared: &Arc<Shared>, job: &Job, backup: &Backup) -> Option<InFlight> {
    let request = handed_over(shared, job);
    let placed = {
        let mut fleet = shared.fleet();
        let Fleet {
            catalog, placer, ..
        } = &mut *fleet;
        let key = catalog.key_of(&backup.id)?;
        placer.place_at(catalog, &request, key, shared.now())?
    };
    tell_placed(shared, job, "copy", &placed);
    Some(InFlight::new(shared, placed))
}

/// The engine has no prompt to compute.
fn handed_over<'a>(shared: &'a Shared, job: &'a Job) -> PlacementRequest<'a> {
    job.place_request(&shared.config.zone, &[], &[])
}
