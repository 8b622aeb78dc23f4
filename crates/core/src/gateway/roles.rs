//! How many engines of a service compute prompts and how many generate answers.
//!
//! An order takes an engine out for seconds, while the mix of prompts and answers turns within
//! seconds, so the parts stay where the settings put them; placement follows the mix.

use smallvec::SmallVec;

use super::catalog::{Catalog, CatalogTarget, Stage, TargetKey};

/// Options of the distribution of stages.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RolePolicy {
    /// Part of a service's engines that should compute prompts.
    pub prefill_ratio: f64,
    /// Engines that should generate answers at least.
    pub min_decode: usize,
    /// Engines by which the distribution may be off. A change takes an engine out for seconds, longer
    /// if it generates answers, so one engine more or less is not worth it.
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

/// Stage changes that bring a service to its distribution. Engines that were ordered to change count
/// with the stage that they will have, and are not ordered again.
pub fn stage_changes(
    catalog: &Catalog,
    service: &str,
    policy: RolePolicy,
    under_way: &[(TargetKey, Stage)],
) -> SmallVec<[(TargetKey, Stage); 4]> {
    let engines: Vec<_> = catalog
        .usable()
        .filter(|(_, t)| t.service == service && t.stage.is_some())
        .collect();
    let count = engines.len();
    // The last engine of a stage is never taken away.
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
        // Reclaimable engines compute prompts, since a long answer would be lost with them. Among
        // equals, zones with the most engines of the stage give first, so that each keeps both.
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

fn of_stage<'a>(
    engines: &[(TargetKey, &'a CatalogTarget)],
    stage: Stage,
) -> Vec<(TargetKey, &'a CatalogTarget)> {
    let of_stage = engines.iter().filter(|(_, t)| t.stage == Some(stage));
    of_stage.copied().collect()
}
