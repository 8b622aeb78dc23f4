//! How many reclaimable engines a service should have in each zone.
//!
//! Reclaimable engines cost a fraction of others and may vanish a whole zone at once. They are added
//! to the engines that exist and compute prompts, which takes milliseconds, so that a reclaim costs
//! capacity and no answer.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::catalog::Catalog;
use super::settings::Service;

/// An order for a number of engines.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct CountOrder {
    /// Service by name.
    pub service: String,
    /// Zone by name.
    pub zone: String,
    /// Whether the engines may be reclaimed.
    pub is_reclaimable: bool,
    /// Number of engines.
    pub count: u32,
}

/// Options of ordering.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ScalePolicy {
    /// Reclaimable engines in each zone.
    pub reclaimable_per_zone: u32,
    /// Time beyond the start of an engine after which a missing one is ordered again.
    pub slack: Duration,
}

impl Default for ScalePolicy {
    fn default() -> Self {
        Self {
            reclaimable_per_zone: 3,
            slack: Duration::from_secs(1),
        }
    }
}

/// Remembers what was ordered.
#[derive(Debug, Default)]
pub struct Scaler {
    /// Last order for each service and zone, with its time.
    ordered: BTreeMap<(String, String), (u32, Duration)>,
}

impl Scaler {
    /// The next order for a service, if one is due.
    pub fn next_order(
        &mut self,
        catalog: &Catalog,
        service: &Service,
        policy: ScalePolicy,
        now: Duration,
    ) -> Option<CountOrder> {
        let limits = service.scaling.as_ref()?;
        if !limits.has_reclaimable {
            return None;
        }
        limits.zones.iter().find_map(|zone| {
            let of_zone = || {
                catalog
                    .iter()
                    .map(|(_, t)| t)
                    .filter(|t| t.service == service.name && t.zone == *zone)
            };
            // A service that has no engine in a zone does not run there.
            let regular = of_zone().filter(|t| !t.is_reclaimable).count() as u32;
            if regular == 0 {
                return None;
            }
            let room = limits.max_per_zone.saturating_sub(regular);
            let count = policy.reclaimable_per_zone.min(room);
            let present = catalog
                .usable()
                .filter(|(_, t)| t.service == service.name && t.zone == *zone && t.is_reclaimable)
                .count() as u32;
            let key = (service.name.clone(), zone.clone());
            let last = self.ordered.get(&key);
            let again = limits.start_time + policy.slack;
            let is_due = last.is_none_or(|(ordered, at)| {
                *ordered != count || (present < count && now >= *at + again)
            });
            if present >= count || !is_due {
                return None;
            }
            self.ordered.insert(key, (count, now));
            Some(CountOrder {
                service: service.name.clone(),
                zone: zone.clone(),
                is_reclaimable: true,
                count,
            })
        })
    }
}
