//! Rate limits that targets state in their answers. A limit applies to all vms together, so vms pass
//! statements on to each other; [`Permits`](super::Permits) divides the limit among them.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::catalog::{Catalog, TargetKey};
use super::leaving::TargetRun;

/// Maximum number of reports in one message to another vm.
const MAX_REPORTS_PER_MESSAGE: usize = 64;

/// Time for which the end of a limit is reported to other vms. Reports reach all vms of a fleet of
/// hundreds within a few seconds.
const END_REPORT_LIFETIME: Duration = Duration::from_secs(10);

/// Minimum time by which a reported limit must be newer than the known statement. A report seems newer
/// by its transmission time with each hop and must not revive a limit that has ended.
const REPORT_MARGIN: Duration = Duration::from_millis(250);

/// Largest relative difference at which a limit counts as unchanged, so that a target that adjusts its
/// limit with each answer does not cause a message to every vm each time.
const MAX_SILENT_CHANGE: f64 = 0.1;

/// Time for which the statement of a removed target is kept. Its entry may only have expired, and the
/// same run may reappear.
const REMOVED_LIFETIME: Duration = Duration::from_secs(60);

/// Last statement of a target about its rate limit.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Statement {
    /// Requests per second, or `None` if the target no longer states a limit.
    per_s: Option<f64>,
    /// When the statement was made, in this vm's time.
    at: Duration,
}

/// A target's last statement about its rate limit, in messages between vms.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RateLimitReport {
    /// The run of the target that made the statement.
    pub run: TargetRun,
    /// Requests per second for all vms together, or `None` if the limit has ended.
    pub limit_per_s: Option<f64>,
    /// Time since the statement.
    pub age: Duration,
}

/// Rate limits by target.
#[derive(Debug, Default)]
pub struct RateLimits {
    /// Targets that have stated a limit.
    statements: BTreeMap<TargetKey, Statement>,
}

impl RateLimits {
    /// Records whether an answer states a limit. `sent_at` is when its request was sent: an answer
    /// without a limit ends one only if the target got the request after it had stated the limit.
    /// Returns whether the limit has changed by so much that other vms are to be told at once.
    pub fn record(
        &mut self,
        key: TargetKey,
        limit_per_s: Option<f64>,
        sent_at: Duration,
        now: Duration,
    ) -> bool {
        let known = self.statements.get(&key).copied();
        let ends_limit = known.is_some_and(|s| s.per_s.is_some() && sent_at > s.at);
        if limit_per_s.is_none() && !ends_limit {
            return false;
        }
        self.insert(key, limit_per_s, now)
    }

    /// Merges reports of another vm. Returns the targets whose limits have changed.
    pub fn merge(
        &mut self,
        catalog: &Catalog,
        reports: &[RateLimitReport],
        now: Duration,
    ) -> Vec<TargetKey> {
        let mut changed = Vec::new();
        for report in reports {
            let Some(key) = catalog.key_of_run(&report.run) else {
                continue;
            };
            let at = now.saturating_sub(report.age);
            let known = self.statements.get(&key);
            // The end of a limit may follow the last statement closely.
            let margin = match report.limit_per_s {
                Some(_) => REPORT_MARGIN,
                None => Duration::ZERO,
            };
            if known.is_some_and(|known| at <= known.at + margin) {
                continue;
            }
            if self.insert(key, report.limit_per_s, at) {
                changed.push(key);
            }
        }
        changed
    }

    fn insert(&mut self, key: TargetKey, per_s: Option<f64>, at: Duration) -> bool {
        let known = self.statements.insert(key, Statement { per_s, at });
        match (known.and_then(|known| known.per_s), per_s) {
            (Some(old), Some(new)) => (new - old).abs() > old * MAX_SILENT_CHANGE,
            (old, new) => old != new,
        }
    }

    /// Requests per second that a target accepts from all vms together, or `None` if it states no
    /// limit.
    pub fn limit_per_s(&self, key: TargetKey) -> Option<f64> {
        self.statements.get(&key)?.per_s
    }

    /// Limited targets of a service, with their limits in requests per second.
    pub fn of_service<'a>(
        &'a self,
        catalog: &'a Catalog,
        service: &'a str,
    ) -> impl Iterator<Item = (TargetKey, f64)> + 'a {
        self.statements.iter().filter_map(move |(key, statement)| {
            let is_of_service = catalog.get(*key)?.service == service;
            is_of_service
                .then_some(statement.per_s)?
                .map(|per_s| (*key, per_s))
        })
    }

    /// The last statement of a target, to send to other vms.
    pub fn report(
        &self,
        catalog: &Catalog,
        key: TargetKey,
        now: Duration,
    ) -> Option<RateLimitReport> {
        let statement = self.statements.get(&key)?;
        Some(RateLimitReport {
            run: TargetRun::of(catalog.get(key)?),
            limit_per_s: statement.per_s,
            age: now.saturating_sub(statement.at),
        })
    }

    /// Statements to send to other vms: limits, and ends of limits while they are new.
    pub fn reports(&self, catalog: &Catalog, now: Duration) -> Vec<RateLimitReport> {
        let reported = self.statements.iter().filter(|(_, statement)| {
            statement.per_s.is_some() || now < statement.at + END_REPORT_LIFETIME
        });
        reported
            .filter_map(|(key, _)| self.report(catalog, *key, now))
            .take(MAX_REPORTS_PER_MESSAGE)
            .collect()
    }

    /// Targets that have stated a limit, including those whose limit has ended.
    pub fn known(&self) -> impl Iterator<Item = TargetKey> {
        self.statements.keys().copied()
    }

    /// Drops the statements of targets that were removed some time ago.
    pub fn evict_removed(&mut self, catalog: &Catalog, now: Duration) {
        self.statements.retain(|key, statement| {
            catalog.get(*key).is_some() || now < statement.at + REMOVED_LIFETIME
        });
    }
}
