//! Which engines probably keep which parts of prompts.
//!
//! Engines drop the parts that were used least recently. A vm knows what it has placed, so it keeps
//! the same order for each engine.

use std::collections::HashMap;
use std::num::NonZeroUsize;

use lru::LruCache;

use super::PromptPart;
use crate::gateway::catalog::TargetKey;

/// Parts that are remembered for an engine, whatever its memory.
const MAX_PARTS: NonZeroUsize = NonZeroUsize::new(4096).expect("not zero");

/// Part of an engine's memory that is expected to keep parts; running prompts use the rest.
const CACHE_SHARE: f64 = 0.8;

/// Memory of an engine of which none is known, in tokens.
const UNKNOWN_MEMORY_TOKENS: u64 = 500_000;

/// Parts at one engine, from the least to the most recently used.
#[derive(Debug)]
struct EngineCache {
    parts: LruCache<u64, u64>,
    tokens: u64,
}

/// Parts at all engines.
#[derive(Debug, Default)]
pub(super) struct CachedParts {
    engines: HashMap<TargetKey, EngineCache>,
}

impl CachedParts {
    /// An engine computes a prompt, and keeps its parts.
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

    /// Tokens at the beginning of a prompt that an engine probably keeps. A part is of use only if
    /// all parts before it are kept too.
    pub(super) fn tokens(&self, key: TargetKey, parts: &[PromptPart]) -> u64 {
        let Some(engine) = self.engines.get(&key) else {
            return 0;
        };
        let kept = parts
            .iter()
            .take_while(|part| engine.parts.contains(&part.id));
        kept.map(|part| part.tokens).sum()
    }

    /// Forgets engines that are gone.
    pub(super) fn retain(&mut self, exists: impl Fn(TargetKey) -> bool) {
        self.engines.retain(|key, _| exists(*key));
    }
}
