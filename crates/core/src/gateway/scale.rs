//! How many engines of each kind a service should have in each zone.
//!
//! Reclaimable engines cost a fraction of regular ones and may vanish a whole zone at once. Most
//! engines are reclaimable, up to the limit of the zone: for the price of a few regular engines there
//! are many, so that a reclaim of one zone leaves more than regular engines alone would. The regular
//! ones that stay keep each zone in service and take the long answers. They are given back only once
//! the reclaimable ones run, and ordered again when those cannot be had. The figures are in
//! `docs/platform.md`.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::catalog::Catalog;
use super::settings::{ScalingLimits, Service};

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
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ScalePolicy {
    /// Part of a zone's limit that are regular engines. All others are reclaimable.
    pub regular_ratio: f64,
    /// Part of a zone's limit up to which regular engines stand in for reclaimable ones that cannot be
    /// had. The rest of the limit is left for those, or they could never be ordered again.
    pub fallback_ratio: f64,
    /// Time beyond the start of an engine after which a missing one is ordered again.
    pub slack: Duration,
}

impl Default for ScalePolicy {
    fn default() -> Self {
        Self {
            regular_ratio: 0.2,
            fallback_ratio: 0.5,
            slack: Duration::from_secs(1),
        }
    }
}

/// An order that was given.
#[derive(Clone, Copy, Debug)]
struct IssuedOrder {
    count: u32,
    at: Duration,
}

/// Engines of a service in a zone.
#[derive(Clone, Copy, Debug, Default)]
struct PresentEngines {
    /// Regular engines that exist, leaving ones included.
    regular: u32,
    /// Regular engines that take work.
    regular_usable: u32,
    /// Reclaimable engines that take work.
    reclaimable: u32,
}

/// Remembers what was ordered.
#[derive(Debug, Default)]
pub struct Scaler {
    /// Last order for each service, zone and kind.
    issued: BTreeMap<(String, String, bool), IssuedOrder>,
    /// Since when a zone has lacked reclaimable engines.
    missing_since: BTreeMap<(String, String), Duration>,
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
        limits
            .zones
            .iter()
            .find_map(|zone| self.order_for(catalog, service, limits, zone, policy, now))
    }

    fn order_for(
        &mut self,
        catalog: &Catalog,
        service: &Service,
        limits: &ScalingLimits,
        zone: &str,
        policy: ScalePolicy,
        now: Duration,
    ) -> Option<CountOrder> {
        let present = present(catalog, &service.name, zone);
        let zone_key = (service.name.clone(), zone.to_owned());
        let regular = regular_desired(limits, policy);
        let was_ordered = self
            .issued
            .contains_key(&(zone_key.0.clone(), zone_key.1.clone(), true));
        // A service that has no engine in a zone does not run there.
        if present.regular == 0 && !was_ordered {
            return None;
        }
        let reorder_after = limits.start_time + policy.slack;
        let headroom = limits.max_per_zone.saturating_sub(present.regular);
        let reclaimable = limits.max_per_zone.saturating_sub(regular).min(headroom);
        let missing = reclaimable.saturating_sub(present.reclaimable);
        if missing == 0 {
            self.missing_since.remove(&zone_key);
        } else {
            self.missing_since.entry(zone_key.clone()).or_insert(now);
        }
        let order_for_count = |is_reclaimable, count| CountOrder {
            service: service.name.clone(),
            zone: zone.to_owned(),
            is_reclaimable,
            count,
        };
        if missing > 0
            && self.is_due(
                &order_for_count(true, reclaimable),
                true,
                reorder_after,
                now,
            )
        {
            return Some(order_for_count(true, reclaimable));
        }
        // Plain services run requests that may not be repeated, so theirs are not replaced.
        service.engine?;
        let missing_since = self.missing_since.get(&zone_key).copied();
        let are_unavailable = missing_since.is_some_and(|since| now >= since + reorder_after * 2);
        let count = match (missing, are_unavailable) {
            (0, _) => regular,
            (_, true) => regular.max(regular_fallback(limits, policy)),
            // The reclaimable engines are on their way.
            (_, false) => return None,
        };
        let order = order_for_count(false, count);
        // What exists already needs no order.
        if present.regular_usable == count && !self.issued.contains_key(&key_of(&order)) {
            return None;
        }
        let is_short = present.regular_usable < count;
        self.is_due(&order, is_short, reorder_after, now)
            .then_some(order)
    }

    /// Whether an order is to be given now, which is remembered. One that was given is repeated after
    /// `reorder_after` if engines are missing.
    fn is_due(
        &mut self,
        order: &CountOrder,
        is_short: bool,
        reorder_after: Duration,
        now: Duration,
    ) -> bool {
        let key = key_of(order);
        let is_due = self.issued.get(&key).is_none_or(|issued| {
            issued.count != order.count || (is_short && now >= issued.at + reorder_after)
        });
        if is_due {
            let count = order.count;
            self.issued.insert(key, IssuedOrder { count, at: now });
        }
        is_due
    }
}

fn key_of(order: &CountOrder) -> (String, String, bool) {
    let CountOrder {
        service,
        zone,
        is_reclaimable,
        ..
    } = order;
    (service.clone(), zone.clone(), *is_reclaimable)
}

/// Regular engines in a zone while reclaimable ones can be had.
fn regular_desired(limits: &ScalingLimits, policy: ScalePolicy) -> u32 {
    let part = (f64::from(limits.max_per_zone) * policy.regular_ratio).ceil() as u32;
    part.max(limits.min_per_zone)
        .max(1)
        .min(limits.max_per_zone)
}

/// Regular engines in a zone while reclaimable ones cannot be had.
fn regular_fallback(limits: &ScalingLimits, policy: ScalePolicy) -> u32 {
    (f64::from(limits.max_per_zone) * policy.fallback_ratio).floor() as u32
}

fn present(catalog: &Catalog, service: &str, zone: &str) -> PresentEngines {
    let mut present = PresentEngines::default();
    for (key, target) in catalog.iter() {
        if target.service != service || target.zone != zone {
            continue;
        }
        let is_usable = catalog.is_usable(key);
        present.regular += u32::from(!target.is_reclaimable);
        present.regular_usable += u32::from(!target.is_reclaimable && is_usable);
        present.reclaimable += u32::from(target.is_reclaimable && is_usable);
    }
    present
}
