//! Attempts that a connection to a target has carried.
//!
//! Targets echo the id of the attempt that they answer. The echoed id tells an answer from the
//! duplicate of an earlier one only if no earlier request of the connection had the same id. One
//! attempt may be sent to a target more than once: the start of a stream and its continuation, a
//! prompt and the answer, or an id that a caller uses again. If the target refused the first of
//! these requests and runs the second, a duplicate of the refusal would count as the statement that
//! it did not run. Therefore a connection carries each attempt at most once.

use std::hash::{DefaultHasher, Hash, Hasher};

use smallvec::SmallVec;

/// Attempts that a connection carries before it is closed, which bounds the memory for their ids. A
/// new connection for one request in 512 costs little.
const MAX_CARRIED: usize = 512;

/// Attempts that a connection has carried.
#[derive(Clone, Debug, Default)]
pub struct CarriedAttempts {
    /// Hashes of the ids. If those of two ids are equal, one of them needs another connection.
    id_hashes: SmallVec<[u64; 4]>,
}

impl CarriedAttempts {
    /// Whether the connection may carry the attempt: it did not carry it before.
    pub fn may_carry(&self, attempt_id: &str) -> bool {
        !self.is_full() && !self.id_hashes.contains(&hash(attempt_id))
    }

    /// Records an attempt that the connection is going to carry.
    pub fn record(&mut self, attempt_id: &str) {
        self.id_hashes.push(hash(attempt_id));
    }

    /// Whether the connection has carried one attempt at most.
    pub fn is_first(&self) -> bool {
        self.id_hashes.len() <= 1
    }

    /// Whether the connection has carried so many attempts that it is not used again.
    pub fn is_full(&self) -> bool {
        self.id_hashes.len() >= MAX_CARRIED
    }
}

fn hash(attempt_id: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    attempt_id.hash(&mut hasher);
    hasher.finish()
}
