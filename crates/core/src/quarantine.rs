//! Counts of targets that died under a request, so that a request which crashes every target is
//! refused.
//!
//! See `docs/design.md`, section 5.7. Counts travel between vms as sets of targets, so a message
//! that arrives twice counts once.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use smallvec::SmallVec;

use crate::{Machine, RouteId, TargetId};

/// Settings of [`Quarantine`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuarantineConfig {
    /// Number of dead targets at which a request is refused.
    pub refusal_threshold: usize,
    /// Counts are forgotten after this time; also sent as `Retry-After`.
    pub expiry: Duration,
    /// Most fingerprints that are kept. The oldest is dropped first.
    pub max_entries: usize,
}

impl Default for QuarantineConfig {
    fn default() -> Self {
        Self {
            refusal_threshold: 2,
            expiry: Duration::from_secs(600),
            max_entries: 4096,
        }
    }
}

/// Hash of a route and a body.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Fingerprint(pub [u8; 16]);

impl Fingerprint {
    /// Hashes what a target would execute.
    pub fn new(route: RouteId, body: &[u8]) -> Self {
        let digest = Sha256::new()
            .chain_update(route.0.to_be_bytes())
            .chain_update(body)
            .finalize();
        let mut short = [0; 16];
        short.copy_from_slice(&digest[..16]);
        Self(short)
    }

    /// Number of the shard that holds the fingerprint.
    pub fn shard(&self, shards: usize) -> usize {
        usize::from(self.0[0]) % shards
    }
}

/// How a request must be treated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Verdict {
    /// No target died under it.
    Clear,
    /// It must not share a target with another suspect.
    Suspect,
    /// It is refused. It has run, so the refusal never says "not run".
    Refuse {
        /// When to come back.
        retry_after: Duration,
    },
}

/// Message between vms.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum QuarantineMessage {
    /// Targets that died under a request.
    Crashed {
        /// The request.
        fingerprint: Fingerprint,
        /// The dead targets.
        targets: SmallVec<[TargetId; 2]>,
    },
    /// The request gave a whole answer; these crashes no longer count against it.
    Cleared {
        /// The request.
        fingerprint: Fingerprint,
        /// Targets that are taken back.
        targets: SmallVec<[TargetId; 2]>,
    },
}

impl QuarantineMessage {
    /// The request that the message is about.
    pub fn fingerprint(&self) -> Fingerprint {
        match self {
            Self::Crashed { fingerprint, .. } | Self::Cleared { fingerprint, .. } => *fingerprint,
        }
    }
}

/// What happened.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum QuarantineEvent {
    /// A target died under a request of this vm.
    Crashed {
        /// The request.
        fingerprint: Fingerprint,
        /// The target.
        target: TargetId,
    },
    /// A request of this vm gave a whole answer.
    #[serde(rename = "Whole")]
    Completed {
        /// The request.
        fingerprint: Fingerprint,
    },
    /// Another vm sent a message.
    Peer(QuarantineMessage),
    /// Time passed.
    Tick,
}

/// What the surroundings must do.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum QuarantineCommand {
    /// Send this to all vms.
    #[serde(rename = "Tell")]
    Broadcast(QuarantineMessage),
}

#[derive(Debug)]
struct Count {
    targets: SmallVec<[TargetId; 2]>,
    expires: Duration,
}

/// One shard of the counts.
#[derive(Debug)]
pub struct Quarantine {
    config: QuarantineConfig,
    counts: HashMap<Fingerprint, Count>,
    /// Times at which counts may end, in order.
    ends: VecDeque<(Duration, Fingerprint)>,
}

impl Quarantine {
    /// Creates an empty shard.
    pub fn new(config: QuarantineConfig) -> Self {
        Self {
            config,
            counts: HashMap::new(),
            ends: VecDeque::new(),
        }
    }

    /// How a request must be treated.
    pub fn verdict(&self, fingerprint: Fingerprint, now: Duration) -> Verdict {
        let count = self.counts.get(&fingerprint).filter(|c| c.expires > now);
        match count {
            Some(count) if count.targets.len() >= self.config.refusal_threshold => {
                Verdict::Refuse {
                    retry_after: count.expires - now,
                }
            }
            Some(_) => Verdict::Suspect,
            None => Verdict::Clear,
        }
    }

    /// Number of fingerprints.
    pub fn len(&self) -> usize {
        self.counts.len()
    }

    /// True if no fingerprint has a count.
    pub fn is_empty(&self) -> bool {
        self.counts.is_empty()
    }

    /// Adds crashes. Returns whether one of them is new.
    fn add(&mut self, fingerprint: Fingerprint, targets: &[TargetId], now: Duration) -> bool {
        let expires = now + self.config.expiry;
        let limit = self.config.refusal_threshold;
        let count = self.counts.entry(fingerprint).or_insert_with(|| Count {
            targets: SmallVec::new(),
            expires,
        });
        let before = count.targets.len();
        for target in targets {
            if count.targets.len() < limit && !count.targets.contains(target) {
                count.targets.push(*target);
            }
        }
        if count.targets.len() == before {
            return false;
        }
        count.expires = expires;
        self.ends.push_back((expires, fingerprint));
        self.shrink();
        true
    }

    fn shrink(&mut self) {
        while self.counts.len() > self.config.max_entries {
            let Some((end, oldest)) = self.ends.pop_front() else {
                return;
            };
            self.remove_if_ended(oldest, end);
        }
    }

    fn expire(&mut self, now: Duration) {
        while let Some(&(end, fingerprint)) = self.ends.front() {
            if end > now {
                return;
            }
            self.ends.pop_front();
            self.remove_if_ended(fingerprint, end);
        }
    }

    fn remove_if_ended(&mut self, fingerprint: Fingerprint, end: Duration) {
        let ended = |c: &Count| c.expires <= end;
        if self.counts.get(&fingerprint).is_some_and(ended) {
            self.counts.remove(&fingerprint);
        }
    }

    fn clear(&mut self, fingerprint: Fingerprint, targets: &[TargetId]) {
        let Some(count) = self.counts.get_mut(&fingerprint) else {
            return;
        };
        count.targets.retain(|t| !targets.contains(t));
        if count.targets.is_empty() {
            self.counts.remove(&fingerprint);
        }
    }
}

impl Machine for Quarantine {
    type Event = QuarantineEvent;
    type Command = QuarantineCommand;

    fn step(&mut self, event: QuarantineEvent, now: Duration, out: &mut Vec<QuarantineCommand>) {
        match event {
            QuarantineEvent::Crashed {
                fingerprint,
                target,
            } => {
                self.add(fingerprint, &[target], now);
                if let Some(count) = self.counts.get(&fingerprint) {
                    out.push(QuarantineCommand::Broadcast(QuarantineMessage::Crashed {
                        fingerprint,
                        targets: count.targets.clone(),
                    }));
                }
            }
            QuarantineEvent::Completed { fingerprint } => {
                if let Some(count) = self.counts.remove(&fingerprint) {
                    out.push(QuarantineCommand::Broadcast(QuarantineMessage::Cleared {
                        fingerprint,
                        targets: count.targets,
                    }));
                }
            }
            QuarantineEvent::Peer(QuarantineMessage::Crashed {
                fingerprint,
                targets,
            }) => {
                self.add(fingerprint, &targets, now);
            }
            QuarantineEvent::Peer(QuarantineMessage::Cleared {
                fingerprint,
                targets,
            }) => self.clear(fingerprint, &targets),
            QuarantineEvent::Tick => self.expire(now),
        }
    }
}
