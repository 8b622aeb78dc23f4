//! Prefix cache in fixed pieces, and its events.

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use jujubebeam_core::targets::CacheEvent;
use jujubebeam_engine::CacheEvents;

/// Events that are kept for readers.
const KEPT_EVENTS: usize = 8192;

/// Cached pieces by chained hash, with the time of their last use.
#[derive(Debug)]
pub(crate) struct PrefixCache {
    capacity: usize,
    pieces: HashMap<u64, u64>,
    uses: u64,
    events: VecDeque<(Instant, CacheEvent)>,
    next_seq: u64,
}

impl PrefixCache {
    pub(crate) fn new(capacity: usize) -> Self {
        Self {
            capacity,
            pieces: HashMap::new(),
            uses: 0,
            events: VecDeque::new(),
            next_seq: 1,
        }
    }

    pub(crate) fn used(&self) -> usize {
        self.pieces.len()
    }

    /// Number of leading pieces that are cached. They count as used.
    pub(crate) fn hit(&mut self, hashes: &[u64]) -> usize {
        let cached = |h: &&u64| self.pieces.contains_key(h);
        let hits = hashes.iter().take_while(cached).count();
        for hash in &hashes[..hits] {
            self.uses += 1;
            self.pieces.insert(*hash, self.uses);
        }
        hits
    }

    /// Stores the pieces of a prompt. The pieces that were used longest ago make room.
    pub(crate) fn store(&mut self, hashes: &[u64]) {
        // A prompt longer than the cache keeps its beginning, which other prompts may share.
        for hash in hashes.iter().take(self.capacity) {
            self.uses += 1;
            if self.pieces.insert(*hash, self.uses).is_none() {
                self.emit(*hash, true);
            }
        }
        while self.pieces.len() > self.capacity {
            self.evict();
        }
    }

    fn evict(&mut self) {
        let oldest = self.pieces.iter().min_by_key(|(_, used)| **used);
        let Some(hash) = oldest.map(|(hash, _)| *hash) else {
            return;
        };
        self.pieces.remove(&hash);
        self.emit(hash, false);
    }

    fn emit(&mut self, prefix_hash: u64, stored: bool) {
        let event = CacheEvent {
            seq: self.next_seq,
            prefix_hash,
            stored,
        };
        self.next_seq += 1;
        self.events.push_back((Instant::now(), event));
        if self.events.len() > KEPT_EVENTS {
            self.events.pop_front();
        }
    }

    /// Events after a sequence number that are old enough to appear, without every `gap`-th.
    pub(crate) fn events_after(&self, after: u64, lag: Duration, gap: u64) -> CacheEvents {
        let visible = |(at, event): &&(Instant, CacheEvent)| {
            event.seq > after && at.elapsed() >= lag && (gap == 0 || event.seq % gap != 0)
        };
        let events = self.events.iter().filter(visible);
        CacheEvents {
            events: events.map(|(_, event)| *event).collect(),
        }
    }
}
