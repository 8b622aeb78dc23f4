//! Limits on the log lines of a vm, which may have little processor time.
//!
//! Lines of requests that go well are kept or dropped for whole requests, because a part of them does
//! not explain a request. Which requests are kept depends on a hash of their id alone, so that all vms
//! keep the same ones. Lines that explain a failure have limits that a flood of others does not use up.

use std::collections::{HashMap, HashSet};
use std::hash::Hash;
use std::time::Duration;

use super::placement::hash_of;
use crate::authority::mix;

/// Maximum number of lines of one kind per second. Important kinds have more, see
/// [`MAX_IMPORTANT_LINES_PER_KIND_PER_S`].
pub const MAX_LINES_PER_KIND_PER_S: u32 = 40;

/// Maximum number of lines of one important kind per second.
pub const MAX_IMPORTANT_LINES_PER_KIND_PER_S: u32 = 200;

/// Maximum number of important lines of all kinds per second. Beyond it, each kind still has
/// [`MAX_LINES_PER_KIND_PER_S`], so that no kind hides another one.
pub const MAX_IMPORTANT_LINES_PER_S: u32 = 800;

/// Routine lines of kept requests per second from which fewer requests are kept.
pub const ROUTINE_LINES_PER_S: u32 = 160;

/// Maximum number of routine lines per second, including those of requests that were kept before the
/// share of kept requests fell.
pub const MAX_ROUTINE_LINES_PER_S: u32 = 8 * ROUTINE_LINES_PER_S;

/// How often the share of kept requests is halved at most.
const MAX_HALVINGS: u32 = 6;

/// What the limit of a line depends on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LineClass<'a> {
    /// The line belongs to the request with this id and is only useful with its other lines.
    Routine(&'a str),
    /// The line explains a failure.
    Important,
    /// Any other line.
    Other,
}

#[derive(Debug, Default)]
struct KindLines {
    /// Lines admitted in this second.
    admitted: u32,
    left_out: u64,
}

/// Limiter of the lines of a vm. `K` is the kind of a line.
#[derive(Debug)]
pub struct LogLimiter<K> {
    second: u64,
    kinds: HashMap<K, KindLines>,
    important_lines: u32,
    kept: KeptRequests,
}

impl<K> Default for LogLimiter<K> {
    fn default() -> Self {
        Self {
            second: 0,
            kinds: HashMap::new(),
            important_lines: 0,
            kept: KeptRequests::default(),
        }
    }
}

impl<K: Eq + Hash> LogLimiter<K> {
    /// Whether a line may be written. If so, returns how many lines of this kind were left out since
    /// that was last reported, which is at most once per second and kind.
    pub fn admit(&mut self, kind: K, class: LineClass<'_>, now: Duration) -> Option<u64> {
        self.start_second(now.as_secs());
        let lines = self.kinds.entry(kind).or_default();
        let is_admitted = match class {
            LineClass::Routine(id) => self.kept.admit(id),
            LineClass::Important => {
                lines.admitted < MAX_LINES_PER_KIND_PER_S
                    || lines.admitted < MAX_IMPORTANT_LINES_PER_KIND_PER_S
                        && self.important_lines < MAX_IMPORTANT_LINES_PER_S
            }
            LineClass::Other => lines.admitted < MAX_LINES_PER_KIND_PER_S,
        };
        if !is_admitted {
            lines.left_out += 1;
            return None;
        }
        if class == LineClass::Important {
            self.important_lines += 1;
        }
        lines.admitted += 1;
        if lines.admitted > 1 {
            return Some(0);
        }
        Some(std::mem::take(&mut lines.left_out))
    }

    /// Threads read the clock before they get here, so a time of the last second may follow one of
    /// this second.
    fn start_second(&mut self, second: u64) {
        let elapsed_s = second.saturating_sub(self.second);
        if elapsed_s == 0 {
            return;
        }
        self.second = second;
        self.important_lines = 0;
        self.kept.start_second(elapsed_s);
        for lines in self.kinds.values_mut() {
            lines.admitted = 0;
        }
    }
}

/// Which requests have their routine lines kept. The shares are powers of two, so that a vm with a
/// smaller share keeps a subset of the requests that others keep.
#[derive(Debug, Default)]
struct KeptRequests {
    halvings: u32,
    /// Lines admitted in this second.
    lines: u32,
    /// Lines of this second whose requests are within the share. Estimated after a halving.
    lines_in_share: u32,
    /// Hashes of the requests of which a line was admitted in this second. They stay kept until its
    /// end, also if the share falls.
    hashes: HashSet<u64>,
}

impl KeptRequests {
    fn admit(&mut self, id: &str) -> bool {
        // The bits of an FNV-1a hash depend too little on the last bytes to be used alone.
        let hash = mix(hash_of(id));
        let is_in_share = hash.leading_zeros() >= self.halvings;
        if self.lines >= MAX_ROUTINE_LINES_PER_S || !is_in_share && !self.hashes.contains(&hash) {
            return false;
        }
        self.lines += 1;
        self.hashes.insert(hash);
        if is_in_share {
            self.lines_in_share += 1;
        }
        if self.lines_in_share > ROUTINE_LINES_PER_S && self.halvings < MAX_HALVINGS {
            self.halvings += 1;
            self.lines_in_share /= 2;
        }
        true
    }

    fn start_second(&mut self, elapsed_s: u64) {
        let is_quiet = self.lines_in_share < ROUTINE_LINES_PER_S / 4;
        let quiet_s = elapsed_s - u64::from(!is_quiet);
        let doublings = u32::try_from(quiet_s).unwrap_or(u32::MAX);
        self.halvings = self.halvings.saturating_sub(doublings);
        self.lines = 0;
        self.lines_in_share = 0;
        self.hashes.clear();
    }
}
