//! Slow links as known by the owner of a service, which it sends to the other vms.

use std::collections::HashMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::SLOW_FACTOR;
use crate::authority::mix;
use crate::gateway::catalog::{Catalog, CatalogTarget, TargetKey};
use crate::gateway::placement::hash_of;

/// Maximum number of links in a reply, which are about 2 KB.
const MAX_SLOW_LINKS: usize = 64;

/// Time for which the advice of an owner is used without a reply that confirms it.
const ADVICE_LIFETIME: Duration = Duration::from_secs(1);

/// Largest factor that is accepted from another vm, in percent.
const MAX_PERCENT: u32 = 10_000;

/// A link that is slower than usual.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlowLink {
    /// Id of the engine.
    pub target: String,
    /// Time of a transfer in percent of the usual time.
    pub percent: u32,
}

/// The slow links of a service.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlowLinks {
    /// Hash of the links, which is equal for all owners that know the same ones; 0 if there are
    /// none.
    pub version: u64,
    /// The links with the largest factors.
    pub links: Vec<SlowLink>,
}

impl SlowLink {
    pub(super) fn factor(&self) -> f64 {
        f64::from(self.percent.min(MAX_PERCENT)) / 100.0
    }
}

impl SlowLinks {
    /// The links that are used, however many there are.
    pub(super) fn bounded(&self) -> impl Iterator<Item = &SlowLink> {
        let links = self.links.iter().take(MAX_SLOW_LINKS);
        links.filter(|link| link.factor() >= SLOW_FACTOR)
    }
}

/// Lists links for a reply. Factors are rounded to powers of two, so that the list changes rarely.
pub(super) fn advise<'a>(slow: impl Iterator<Item = (&'a CatalogTarget, f64)>) -> SlowLinks {
    let mut links: Vec<_> = slow
        .map(|(target, factor)| SlowLink {
            target: target.id.clone(),
            percent: (factor.log2().round().exp2() * 100.0) as u32,
        })
        .collect();
    links.sort_by(|a, b| b.percent.cmp(&a.percent).then(a.target.cmp(&b.target)));
    links.truncate(MAX_SLOW_LINKS);
    let version = links.iter().fold(0, |version, link| {
        mix(version ^ hash_of(&link.target) ^ mix(u64::from(link.percent)))
    });
    SlowLinks { version, links }
}

#[derive(Debug)]
struct ServiceAdvice {
    version: u64,
    confirmed_at: Duration,
    factors: HashMap<TargetKey, f64>,
}

/// Slow links according to the owners of services.
#[derive(Debug, Default)]
pub(super) struct Advice {
    services: HashMap<String, ServiceAdvice>,
}

impl Advice {
    pub(super) fn version(&self, service: &str) -> u64 {
        self.services.get(service).map_or(0, |s| s.version)
    }

    pub(super) fn factor(&self, key: TargetKey, now: Duration) -> f64 {
        let fresh = self.services.values().filter(|advice| {
            !advice.factors.is_empty() && now < advice.confirmed_at + ADVICE_LIFETIME
        });
        let factors = fresh.filter_map(|advice| advice.factors.get(&key));
        factors.copied().fold(1.0, f64::max)
    }

    pub(super) fn adopt(
        &mut self,
        catalog: &Catalog,
        service: &str,
        slow_links: Option<&SlowLinks>,
        now: Duration,
    ) {
        let Some(slow_links) = slow_links else {
            if let Some(advice) = self.services.get_mut(service) {
                advice.confirmed_at = now;
            }
            return;
        };
        let factors = slow_links.bounded().filter_map(|link| {
            let key = catalog.key_of(&link.target)?;
            Some((key, link.factor()))
        });
        let advice = ServiceAdvice {
            version: slow_links.version,
            confirmed_at: now,
            factors: factors.collect(),
        };
        self.services.insert(service.to_owned(), advice);
    }
}
