//! Estimated contents of one engine's prefix cache.

use std::collections::BTreeMap;

use super::CacheEvent;

/// Cached pieces of one engine, tracked from events that arrive late and with gaps.
#[derive(Debug, Default)]
pub(crate) struct PrefixCache {
    pieces: BTreeMap<u64, u64>,
    last_seq: u64,
    missed_events: u64,
    seen_events: u64,
}

/// Largest number of pieces tracked per engine, which is more than 40 GB of KV cache holds.
const MAX_PIECES: usize = 4096;

impl PrefixCache {
    /// Position after which further events are requested.
    pub(crate) fn last_seq(&self) -> u64 {
        self.last_seq
    }

    /// Applies events. An event older than one already applied to the same piece has no effect.
    pub(crate) fn apply(&mut self, events: &[CacheEvent]) {
        for event in events {
            self.count(event.seq);
            if self
                .pieces
                .get(&event.prefix_hash)
                .is_some_and(|seq| *seq > event.seq)
            {
                continue;
            }
            if event.stored {
                self.pieces.insert(event.prefix_hash, event.seq);
            } else {
                self.pieces.remove(&event.prefix_hash);
            }
        }
        while self.pieces.len() > MAX_PIECES {
            let oldest = self.pieces.iter().min_by_key(|(_, seq)| **seq);
            let Some(hash) = oldest.map(|(hash, _)| *hash) else {
                return;
            };
            self.pieces.remove(&hash);
        }
    }

    /// Adds the pieces of a prompt that was just sent, before its cache events arrive.
    pub(crate) fn insert_expected(&mut self, prefix: &[u64]) {
        let seq = self.last_seq;
        for hash in prefix {
            self.pieces.entry(*hash).or_insert(seq);
        }
    }

    /// Number of leading pieces that are probably cached.
    pub(crate) fn leading_pieces(&self, prefix: &[u64]) -> usize {
        prefix
            .iter()
            .take_while(|hash| self.pieces.contains_key(hash))
            .count()
    }

    /// Estimated share of correct entries. Missed eviction events leave entries that are no longer
    /// cached.
    pub(crate) fn confidence(&self) -> f64 {
        1.0 - self.missed_events as f64 / (self.missed_events + self.seen_events).max(1) as f64
    }

    /// Drops all entries after a restart of the engine.
    pub(crate) fn clear(&mut self) {
        *self = Self::default();
    }

    fn count(&mut self, seq: u64) {
        if self.seen_events > 10_000 {
            self.seen_events /= 2;
            self.missed_events /= 2;
        }
        self.seen_events += 1;
        if seq > self.last_seq {
            if self.last_seq > 0 {
                self.missed_events += seq - self.last_seq - 1;
            }
            self.last_seq = seq;
        }
    }
}
