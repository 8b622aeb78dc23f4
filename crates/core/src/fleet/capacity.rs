//! Purchase and release of targets.

use std::time::Duration;

use super::types::{ClassSpec, PlannerCommand};
use super::{Change, ChangeKind, Planner};
use crate::{TargetId, ZoneId};

impl Planner {
    /// Buys one target if demand has exceeded capacity for long enough and the spending rules allow
    /// it.
    pub(crate) fn consider_buying(&mut self, now: Duration, out: &mut Vec<PlannerCommand>) {
        let needed = self.history.average_total() * (1.0 + self.config.bought_headroom);
        let present = self.targets.len() + self.pending_purchases.len();
        if needed <= present as f64 {
            self.shortage_since = None;
            return;
        }
        let since = *self.shortage_since.get_or_insert(now);
        if now.saturating_sub(since) < self.config.buy_after {
            return;
        }
        let Some((zone, class)) = self.cheapest_allowed() else {
            return;
        };
        self.pending_purchases.push(class.clone());
        out.push(PlannerCommand::Buy { zone, class });
    }

    /// Returns the cheapest class that the spending rules allow, and the zone with the fewest targets.
    fn cheapest_allowed(&self) -> Option<(ZoneId, String)> {
        let spent: u64 = self.classes_in_use().map(|c| c.price_cents_per_hour).sum();
        let zone = self.zones.iter().copied().min_by_key(|zone| {
            self.targets
                .values()
                .filter(|t| t.spec.zone == *zone)
                .count()
        })?;
        let mut classes: Vec<&ClassSpec> = self.classes.iter().collect();
        classes.sort_by_key(|c| c.price_cents_per_hour);
        let class = classes.into_iter().find(|class| {
            spent + class.price_cents_per_hour <= self.cents_per_hour
                && (!class.reclaimable || self.can_add_reclaimable(zone))
        })?;
        Some((zone, class.name.clone()))
    }

    /// Whether a purchase in the zone keeps reclaimable targets within two limits: their share in one
    /// zone, because all of a zone may be lost at once, and their share in the whole fleet.
    fn can_add_reclaimable(&self, zone: ZoneId) -> bool {
        let reclaimable = |name: &str| self.class(name).is_some_and(|c| c.reclaimable);
        let cheap = |t: &&super::TargetRecord| reclaimable(&t.spec.class);
        let here = self
            .targets
            .values()
            .filter(cheap)
            .filter(|t| t.spec.zone == zone)
            .count();
        let all = self.targets.values().filter(cheap).count();
        let pending = self
            .pending_purchases
            .iter()
            .filter(|name| reclaimable(name))
            .count();
        let total = (self.targets.len() + self.pending_purchases.len() + 1) as f64;
        (here + pending + 1) as f64 <= self.config.zone_loss_share * total
            && (all + pending + 1) as f64 <= self.reclaimable_share * total
    }

    fn classes_in_use(&self) -> impl Iterator<Item = &ClassSpec> {
        let names = self
            .targets
            .values()
            .map(|t| &t.spec.class)
            .chain(&self.pending_purchases);
        names.filter_map(|name| self.class(name))
    }

    pub(crate) fn class(&self, name: &str) -> Option<&ClassSpec> {
        self.classes.iter().find(|c| c.name == name)
    }

    /// Starts the release of the most expensive purchased target, after demand could be served
    /// without it for long enough.
    pub(crate) fn consider_release(&mut self, now: Duration) {
        let needed = self.history.average_total() * (1.0 + self.config.bought_headroom);
        let left = self.targets.len().saturating_sub(1);
        if needed > left as f64 || !self.pending_purchases.is_empty() {
            self.surplus_since = None;
            return;
        }
        let since = *self.surplus_since.get_or_insert(now);
        if now.saturating_sub(since) < self.config.release_after {
            return;
        }
        let Some(target) = self.most_expensive_releasable() else {
            return;
        };
        let change = Change::new(ChangeKind::Release, now);
        self.changes.insert(target, change);
        self.surplus_since = None;
    }

    fn most_expensive_releasable(&self) -> Option<TargetId> {
        let price = |name: &str| self.class(name).map(|c| c.price_cents_per_hour);
        self.targets
            .iter()
            .filter(|(id, _)| !self.changes.contains_key(id) && self.can_be_released(**id))
            .filter_map(|(id, t)| Some((price(&t.spec.class)?, *id)))
            .max()
            .map(|(_, id)| id)
    }
}
