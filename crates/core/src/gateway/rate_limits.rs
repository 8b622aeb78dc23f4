//! Rate limits that targets state in their answers. A limit applies to all vms together.

use std::collections::BTreeMap;
use std::time::Duration;

use super::catalog::{Catalog, TargetKey};

/// Last statement of a target about its rate limit.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Statement {
    /// Requests per second, or `None` if the target no longer states a limit.
    per_s: Option<f64>,
    /// When the statement was made, in this vm's time.
    at: Duration,
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
    /// Returns whether the limit has changed.
    pub fn record(
        &mut self,
        key: TargetKey,
        per_s: Option<f64>,
        sent_at: Duration,
        now: Duration,
    ) -> bool {
        let Some(last) = self.statements.get_mut(&key) else {
            if per_s.is_some() {
                self.statements.insert(key, Statement { per_s, at: now });
            }
            return per_s.is_some();
        };
        if per_s.is_none() && (last.per_s.is_none() || sent_at <= last.at) {
            return false;
        }
        let is_changed = last.per_s != per_s;
        *last = Statement { per_s, at: now };
        is_changed
    }

    /// Requests per second that a target accepts from all vms together, or `None` if it states no
    /// limit.
    pub fn limit_per_s(&self, key: TargetKey) -> Option<f64> {
        self.statements.get(&key)?.per_s
    }

    /// Drops the state of removed targets.
    pub fn evict_removed(&mut self, catalog: &Catalog) {
        self.statements.retain(|key, _| catalog.get(*key).is_some());
    }
}
