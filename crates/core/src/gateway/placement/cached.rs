//! Estimate of the prompt parts that each engine has cached.
//!
//! Engines evict the least recently used parts. A vm records the prompts that it has placed in the
//! same order and applies the same policy.

use std::collections::HashMap;
use std::num::NonZeroUsize;

use lru::LruCache;

use super::PromptPart;
use crate::gateway::catalog::TargetKey;

/// Maximum number of parts recorded per engine, regardless of its memory.
const MAX_PARTS: NonZeroUsize = NonZeroUsize::new(4096).expect("not zero");

/// Share of an engine's memory that holds cached parts. Running prompts use the remainder.
const CACHE_SHARE: f64 = 0.8;

/// Memory that is assumed if an engine's memory is not known, in tokens.
const UNKNOWN_MEMORY_TOKENS: u64 = 500_000;

/// Cached parts of one engine, from the least to the most recently used.
#[derive(Debug)]
struct EngineCache {
    parts: LruCache<u64, u64>,
    tokens: u64,
}

/// Cached parts of all engines.
#[derive(Debug, Default)]
pub(super) struct CachedParts {
    engines: HashMap<TargetKey, EngineCache>,
}

impl CachedParts {
    /// Records that an engine computes a prompt and caches its parts.
    pub(super) fn record_use(&mut self, key: TargetKey, parts: &[PromptPart], memory_tokens: u64) {
        let engine = self.engines.entry(key).or_insert_with(|| EngineCache {
            parts: LruCache::new(MAX_PARTS),
            tokens: 0,
        });
        for part in parts {
            let dropped = engine.parts.push(part.id, part.tokens);
            engine.tokens += part.tokens;
            engine.tokens -= dropped.map_or(0, |(_, tokens)| tokens);
        }
        let memory = match memory_tokens {
            0 => UNKNOWN_MEMORY_TOKENS,
            known => known,
        };
        let limit = (memory as f64 * CACHE_SHARE) as u64;
        while engine.tokens > limit {
            let Some((_, tokens)) = engine.parts.pop_lru() else {
                break;
            };
            engine.tokens -= tokens;
        }
    }

    /// Number of tokens at the beginning of a prompt that an engine is expected to have cached. A
    /// part is usable only if all parts before it are cached as well.
    pub(super) fn tokens(&self, key: TargetKey, parts: &[PromptPart]) -> u64 {
        let Some(engine) = self.engines.get(&key) else {
            return 0;
        };
        let cached = parts
            .iter()
            .take_while(|part| engine.parts.contains(&part.id));
        cached.map(|part| part.tokens).sum()
    }

    /// Drops the engines that no longer exist.
    pub(super) fn retain(&mut self, exists: impl Fn(TargetKey) -> bool) {
        self.engines.retain(|key, _| exists(*key));
    }
}
