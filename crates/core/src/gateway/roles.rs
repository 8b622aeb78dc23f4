//! Distribution of a service's engines between the prefill and the decode stage.
//!
//! A stage change takes an engine out of service for seconds, while the mix of prompts and answers
//! changes within seconds. The distribution therefore stays as configured, and placement adapts to
//! the mix.

use std::time::Duration;

use smallvec::SmallVec;

use super::catalog::{Catalog, CatalogTarget, Stage, TargetKey};

/// Settings of the distribution of stages.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RolePolicy {
    /// Desired share of a service's engines in the prefill stage.
    pub prefill_ratio: f64,
    /// Minimum number of engines in the decode stage.
    pub min_decode: usize,
    /// Tolerated deviation from the desired distribution, in engines. A change takes an engine out
    /// of service for seconds, longer if it is generating answers, so a difference of one engine is
    /// not corrected.
    pub tolerance: usize,
}

impl Default for RolePolicy {
    fn default() -> Self {
        Self {
            prefill_ratio: 0.62,
            min_decode: 2,
            tolerance: 1,
        }
    }
}

/// Stage changes that bring a service to the desired distribution. Engines with a pending change
/// count with their new stage and are not ordered again.
pub fn stage_changes(
    catalog: &Catalog,
    service: &str,
    policy: RolePolicy,
    under_way: &[(TargetKey, Stage)],
    now: Duration,
) -> SmallVec<[(TargetKey, Stage); 4]> {
    let engines: Vec<_> = catalog
        .usable(now)
        .filter(|(_, t)| t.service == service && t.stage.is_some())
        .collect();
    let count = engines.len();
    // The last engine of a stage is never changed.
    if count < policy.min_decode + 1 {
        return SmallVec::new();
    }
    let desired = (count as f64 * policy.prefill_ratio).round() as usize;
    let desired = desired.clamp(1, count - policy.min_decode.max(1));
    let ordered_to = |key| {
        let order = under_way.iter().find(|(ordered, _)| *ordered == key);
        order.map(|(_, stage)| *stage)
    };
    let present = engines
        .iter()
        .filter(|(key, t)| ordered_to(*key).or(t.stage) == Some(Stage::Prefill))
        .count();
    if desired.abs_diff(present) <= policy.tolerance && present > 0 {
        return SmallVec::new();
    }
    let (from, to, changes) = match desired > present {
        true => (Stage::Decode, Stage::Prefill, desired - present),
        false => (Stage::Prefill, Stage::Decode, present - desired),
    };
    let mut candidates = of_stage(&engines, from);
    candidates.retain(|(key, _)| ordered_to(*key).is_none());
    let mut chosen = SmallVec::new();
    for _ in 0..changes {
        if to == Stage::Prefill {
            keep_version(&mut candidates);
        }
        // Reclaimable engines are preferred for the prefill stage, because a reclaim would break
        // off long answers. Among equal engines, those of the zone with the most engines of the
        // stage are changed first, so that each zone keeps both stages.
        let per_zone = |zone: &str| candidates.iter().filter(|(_, t)| t.zone == zone).count();
        let suits = |t: &CatalogTarget| t.is_reclaimable == (to == Stage::Prefill);
        let best = candidates
            .iter()
            .enumerate()
            .max_by_key(|(_, (_, t))| (suits(t), per_zone(&t.zone), t.id.as_str()))
            .map(|(index, _)| index);
        let Some(index) = best else {
            break;
        };
        let (key, _) = candidates.remove(index);
        chosen.push((key, to));
    }
    chosen
}

/// Removes the candidates that are the last ones of their software version, if there are several
/// versions. The streams of a version could not continue without an engine of it.
fn keep_version(candidates: &mut Vec<(TargetKey, &CatalogTarget)>) {
    let versions: Vec<_> = candidates.iter().map(|(_, t)| t.version.clone()).collect();
    let count = |version| versions.iter().filter(|other| *other == version).count();
    if versions.iter().any(|version| *version != versions[0]) {
        candidates.retain(|(_, t)| count(&t.version) > 1);
    }
}

fn of_stage<'a>(
    engines: &[(TargetKey, &'a CatalogTarget)],
    stage: Stage,
) -> Vec<(TargetKey, &'a CatalogTarget)> {
    let of_stage = engines.iter().filter(|(_, t)| t.stage == Some(stage));
    of_stage.copied().collect()
}
