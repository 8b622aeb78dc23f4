//! Counts of the targets that crashed while running a request, so that a request that crashes
//! target after target is refused.
//!
//! See `docs/design.md`, section 5.7. Vms exchange counts as sets of targets, so that duplicate
//! messages have no effect.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use smallvec::SmallVec;

use crate::{Machine, RouteId, TargetId};

/// Configuration of a [`Quarantine`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuarantineConfig {
    /// Number of crashed targets at which a request is refused.
    pub refusal_threshold: usize,
    /// Time after which counts expire. The remaining time is sent as `Retry-After`.
    pub expiry: Duration,
    /// Maximum number of fingerprints. The oldest is evicted first.
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
    /// Hashes the route and the body that a target would execute.
    pub fn new(route: RouteId, body: &[u8]) -> Self {
        let digest = Sha256::new()
            .chain_update(route.0.to_be_bytes())
            .chain_update(body)
            .finalize();
        let mut short = [0; 16];
        short.copy_from_slice(&digest[..16]);
        Self(short)
    }

    /// Returns the number of the shard that holds the fingerprint.
    pub fn shard(&self, shards: usize) -> usize {
        usize::from(self.0[0]) % shards
    }
}

/// How a request must be treated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Verdict {
    /// No target is known to have crashed while running it.
    Clear,
    /// It must not share a target with another suspect.
    Suspect,
    /// It must be refused. It has run before, so the refusal must not say "not run".
    Refuse {
        /// Time until the count expires.
        retry_after: Duration,
    },
}

/// A message between vms.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum QuarantineMessage {
    /// Targets crashed while running a request.
    Crashed {
        /// The request.
        fingerprint: Fingerprint,
        /// The crashed targets.
        targets: SmallVec<[TargetId; 2]>,
    },
    /// The request was answered completely, so these crashes no longer count against it.
    Cleared {
        /// The request.
        fingerprint: Fingerprint,
        /// Targets to remove from the count.
        targets: SmallVec<[TargetId; 2]>,
    },
}

impl QuarantineMessage {
    /// Returns the fingerprint of the request.
    pub fn fingerprint(&self) -> Fingerprint {
        match self {
            Self::Crashed { fingerprint, .. } | Self::Cleared { fingerprint, .. } => *fingerprint,
        }
    }
}

/// Inputs of the quarantine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum QuarantineEvent {
    /// A target crashed while running a request of this vm.
    Crashed {
        /// The request.
        fingerprint: Fingerprint,
        /// The target.
        target: TargetId,
    },
    /// A request of this vm was answered completely.
    #[serde(rename = "Whole")]
    Completed {
        /// The request.
        fingerprint: Fingerprint,
    },
    /// Another vm sent a message.
    Peer(QuarantineMessage),
    /// Periodic timer.
    Tick,
}

/// Outputs of the quarantine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum QuarantineCommand {
    /// Send the message to all other vms.
    #[serde(rename = "Tell")]
    Broadcast(QuarantineMessage),
}

#[derive(Debug)]
struct CrashCount {
    targets: SmallVec<[TargetId; 2]>,
    expires: Duration,
}

/// One shard of the counts.
#[derive(Debug)]
pub struct Quarantine {
    config: QuarantineConfig,
    counts: HashMap<Fingerprint, CrashCount>,
    /// Times at which counts may expire, in order. A count that was extended has several entries.
    expirations: VecDeque<(Duration, Fingerprint)>,
}

impl Quarantine {
    /// Creates an empty shard.
    pub fn new(config: QuarantineConfig) -> Self {
        Self {
            config,
            counts: HashMap::new(),
            expirations: VecDeque::new(),
        }
    }

    /// Returns how a request must be treated.
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

    /// Returns the number of fingerprints.
    pub fn len(&self) -> usize {
        self.counts.len()
    }

    /// Whether no fingerprint has a count.
    pub fn is_empty(&self) -> bool {
        self.counts.is_empty()
    }

    /// Adds crashed targets to a count. Returns whether one of them is new.
    fn add(&mut self, fingerprint: Fingerprint, targets: &[TargetId], now: Duration) -> bool {
        let expires = now + self.config.expiry;
        let limit = self.config.refusal_threshold;
        let count = self
            .counts
            .entry(fingerprint)
            .or_insert_with(|| CrashCount {
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
        self.expirations.push_back((expires, fingerprint));
        self.evict_oldest();
        true
    }

    fn evict_oldest(&mut self) {
        while self.counts.len() > self.config.max_entries {
            let Some((expires, oldest)) = self.expirations.pop_front() else {
                return;
            };
            self.remove_if_expired(oldest, expires);
        }
    }

    fn expire(&mut self, now: Duration) {
        while let Some(&(expires, fingerprint)) = self.expirations.front() {
            if expires > now {
                return;
            }
            self.expirations.pop_front();
            self.remove_if_expired(fingerprint, expires);
        }
    }

    fn remove_if_expired(&mut self, fingerprint: Fingerprint, expires: Duration) {
        let expired = |c: &CrashCount| c.expires <= expires;
        if self.counts.get(&fingerprint).is_some_and(expired) {
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
