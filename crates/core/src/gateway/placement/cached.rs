//! Estimate of the prompt parts that each engine has cached.
//!
//! Engines evict the least recently used parts. A vm records the prompts that it has placed in the
//! same order and applies the same policy.

use std::collections::HashMap;

use lru::LruCache;
use smallvec::SmallVec;

use super::PromptPart;
use super::retention::{CachedTokens, INITIAL_MEMORY_SHARE};
use crate::gateway::catalog::TargetKey;

/// Maximum number of parts recorded per engine, regardless of its memory.
const MAX_PARTS: usize = 4096;

/// Share of the cached tokens of an engine that it evicts next.
const COLD_SHARE: f64 = 0.2;

/// Memory that is assumed if an engine's memory is not known, in tokens.
const UNKNOWN_MEMORY_TOKENS: u64 = 500_000;

/// Number of tokens that an engine is expected to have cached, as long as nothing is known about it
/// but its memory.
pub(super) fn default_limit(memory_tokens: u64) -> u64 {
    let memory = match memory_tokens {
        0 => UNKNOWN_MEMORY_TOKENS,
        known => known,
    };
    (memory as f64 * INITIAL_MEMORY_SHARE) as u64
}

/// Parts by use, with the sum of their tokens.
#[derive(Debug)]
struct PartList {
    parts: LruCache<u64, u64>,
    tokens: u64,
}

impl Default for PartList {
    fn default() -> Self {
        Self {
            parts: LruCache::unbounded(),
            tokens: 0,
        }
    }
}

impl PartList {
    fn push(&mut self, part: PromptPart) {
        let dropped = self.parts.push(part.id, part.tokens);
        self.tokens += part.tokens;
        self.tokens -= dropped.map_or(0, |(_, tokens)| tokens);
    }

    fn remove(&mut self, id: u64) -> Option<u64> {
        let tokens = self.parts.pop(&id)?;
        self.tokens -= tokens;
        Some(tokens)
    }

    fn pop_oldest(&mut self) -> Option<PromptPart> {
        let (id, tokens) = self.parts.pop_lru()?;
        self.tokens -= tokens;
        Some(PromptPart { id, tokens })
    }
}

/// Cached parts of one engine. The cold ones are those that were used least recently.
#[derive(Debug, Default)]
struct EngineCache {
    warm: PartList,
    cold: PartList,
    /// Whether parts have been evicted.
    is_full: bool,
}

/// Parts that a prompt adds to the cache of its engine, and those that are evicted for it.
#[derive(Debug, Default)]
pub(super) struct CacheChange {
    pub(super) computed: SmallVec<[PromptPart; 4]>,
    pub(super) evicted: SmallVec<[PromptPart; 8]>,
}

/// Cached parts of all engines.
#[derive(Debug, Default)]
pub(super) struct CachedParts {
    engines: HashMap<TargetKey, EngineCache>,
}

impl CachedParts {
    /// Records that an engine computes a prompt and caches its parts, of which it keeps
    /// `limit_tokens` tokens.
    pub(super) fn record_use(
        &mut self,
        key: TargetKey,
        parts: &[PromptPart],
        limit_tokens: u64,
    ) -> CacheChange {
        let engine = self.engines.entry(key).or_default();
        let mut change = CacheChange::default();
        let mut is_cached = true;
        for part in parts {
            let was_cold = engine.cold.remove(part.id).is_some();
            is_cached &= was_cold || engine.warm.parts.contains(&part.id);
            if !is_cached {
                change.computed.push(*part);
            }
            engine.warm.push(*part);
        }
        let warm_limit = (limit_tokens as f64 * (1.0 - COLD_SHARE)) as u64;
        while engine.warm.tokens > warm_limit || engine.warm.parts.len() > MAX_PARTS {
            let Some(part) = engine.warm.pop_oldest() else {
                break;
            };
            engine.cold.push(part);
        }
        while engine.warm.tokens + engine.cold.tokens > limit_tokens
            || engine.warm.parts.len() + engine.cold.parts.len() > MAX_PARTS
        {
            engine.is_full |= engine.warm.tokens + engine.cold.tokens > limit_tokens;
            let Some(part) = engine.cold.pop_oldest() else {
                break;
            };
            change.evicted.push(part);
        }
        change
    }

    /// Number of tokens at the beginning of a prompt that an engine is expected to have cached. A
    /// part is usable only if all parts before it are cached as well.
    pub(super) fn tokens(&self, key: TargetKey, parts: &[PromptPart]) -> CachedTokens {
        let mut cached = CachedTokens::default();
        let Some(engine) = self.engines.get(&key) else {
            return cached;
        };
        for part in parts {
            let is_warm = engine.warm.parts.contains(&part.id);
            if !is_warm && !engine.cold.parts.contains(&part.id) {
                break;
            }
            cached.all += part.tokens;
            cached.cold += if is_warm { 0 } else { part.tokens };
        }
        cached
    }

    /// Whether an engine has to evict parts for the next ones.
    pub(super) fn is_full(&self, key: TargetKey) -> bool {
        self.engines.get(&key).is_some_and(|engine| engine.is_full)
    }

    /// Drops the engines that no longer exist.
    pub(super) fn retain(&mut self, exists: impl Fn(TargetKey) -> bool) {
        self.engines.retain(|key, _| exists(*key));
    }
}
