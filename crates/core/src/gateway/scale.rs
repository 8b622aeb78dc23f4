//! Desired number of regular and reclaimable engines of a service in each zone.
//!
//! Reclaimable engines cost a fraction of regular ones, and all of those in a zone may be reclaimed
//! at once. Most engines are reclaimable, up to the limit of the zone: many of them cost as much as
//! a few regular engines, so that more engines remain after the reclaim of one zone than with
//! regular engines alone. The remaining regular engines keep each zone in service and run the long
//! answers. Regular engines are released only after the reclaimable ones have started, and ordered
//! again if reclaimable ones are unavailable. The figures are in `docs/platform.md`.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::catalog::Catalog;
use super::settings::{ScalingLimits, Service};

/// An order that sets the number of engines of one kind in a zone.
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

/// Settings of the orders.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ScalePolicy {
    /// Share of a zone's limit that is filled with regular engines. All others are reclaimable.
    pub regular_ratio: f64,
    /// Share of a zone's limit up to which regular engines replace unavailable reclaimable ones.
    /// The remainder of the limit is left for reclaimable engines, which could otherwise never be
    /// ordered again.
    pub fallback_ratio: f64,
    /// Time in addition to the start time of an engine after which a missing one is ordered again.
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

/// An order that was issued.
#[derive(Clone, Copy, Debug)]
struct IssuedOrder {
    count: u32,
    at: Duration,
}

/// Numbers of engines of a service in a zone.
#[derive(Clone, Copy, Debug, Default)]
struct PresentEngines {
    /// Number of existing regular engines, including leaving ones.
    regular: u32,
    /// Number of regular engines that accept work.
    regular_usable: u32,
    /// Number of reclaimable engines that accept work.
    reclaimable: u32,
}

/// Decides on orders and records those that were issued.
#[derive(Debug, Default)]
pub struct Scaler {
    /// Last order for each service, zone and kind.
    issued: BTreeMap<(String, String, bool), IssuedOrder>,
    /// Time since which reclaimable engines have been missing in a zone.
    missing_since: BTreeMap<(String, String), Duration>,
}

impl Scaler {
    /// Returns the next order for a service, if one is due.
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
        let present = present(catalog, &service.name, zone, now);
        let zone_key = (service.name.clone(), zone.to_owned());
        let regular = desired_regular(limits, policy);
        let was_ordered = self
            .issued
            .contains_key(&(zone_key.0.clone(), zone_key.1.clone(), true));
        // A service without engines in a zone does not run there.
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
        let count_order = |is_reclaimable, count| CountOrder {
            service: service.name.clone(),
            zone: zone.to_owned(),
            is_reclaimable,
            count,
        };
        if missing > 0 && self.is_due(&count_order(true, reclaimable), true, reorder_after, now) {
            return Some(count_order(true, reclaimable));
        }
        // Plain services run requests that may not be retried, so their regular targets are not
        // replaced.
        service.engine?;
        let missing_since = self.missing_since.get(&zone_key).copied();
        let are_unavailable = missing_since.is_some_and(|since| now >= since + reorder_after * 2);
        let count = match (missing, are_unavailable) {
            (0, _) => regular,
            (_, true) => regular.max(fallback_regular(limits, policy)),
            // The reclaimable engines are still starting.
            (_, false) => return None,
        };
        let order = count_order(false, count);
        // No order is needed for a number of engines that already exists.
        if present.regular_usable == count && !self.issued.contains_key(&key_of(&order)) {
            return None;
        }
        let is_short = present.regular_usable < count;
        self.is_due(&order, is_short, reorder_after, now)
            .then_some(order)
    }

    /// Whether an order is due, in which case it is recorded as issued. The same order is repeated
    /// after `reorder_after` if engines are missing.
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

/// Desired number of regular engines in a zone while reclaimable ones are available.
fn desired_regular(limits: &ScalingLimits, policy: ScalePolicy) -> u32 {
    let part = (f64::from(limits.max_per_zone) * policy.regular_ratio).ceil() as u32;
    part.max(limits.min_per_zone)
        .max(1)
        .min(limits.max_per_zone)
}

/// Desired number of regular engines in a zone while reclaimable ones are unavailable.
fn fallback_regular(limits: &ScalingLimits, policy: ScalePolicy) -> u32 {
    (f64::from(limits.max_per_zone) * policy.fallback_ratio).floor() as u32
}

fn present(catalog: &Catalog, service: &str, zone: &str, now: Duration) -> PresentEngines {
    let mut present = PresentEngines::default();
    for (key, target) in catalog.iter() {
        if target.service != service || target.zone != zone {
            continue;
        }
        let is_usable = catalog.is_usable(key, now);
        present.regular += u32::from(!target.is_reclaimable);
        present.regular_usable += u32::from(!target.is_reclaimable && is_usable);
        present.reclaimable += u32::from(target.is_reclaimable && is_usable);
    }
    present
}
