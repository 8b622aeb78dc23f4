//! Model of the platform's store with leases, outages, slow calls and lost answers.

use std::collections::BTreeMap;
use std::time::Duration;

use jujubebeam_core::Revision;
use jujubebeam_core::store::{Entry, Expected, Guard, LeaseId, StoreOp, StoreReply};
use rand::Rng;
use rand::rngs::SmallRng;

/// State of the store. It answers immediately; `StoreLink` adds delays and losses.
#[derive(Default)]
pub(crate) struct StoreModel {
    entries: BTreeMap<String, (Entry, Option<LeaseId>)>,
    leases: BTreeMap<i64, (Duration, Duration)>,
    revision: u64,
    next_lease: i64,
    pub(crate) calls: u64,
}

impl StoreModel {
    pub(crate) fn perform(&mut self, op: StoreOp, now: Duration) -> StoreReply {
        self.calls += 1;
        self.expire(now);
        let store = Revision(self.revision);
        match op {
            StoreOp::Get { key } => StoreReply::Value {
                entry: self.entry(&key),
                store,
            },
            StoreOp::List { prefix } => StoreReply::Values {
                entries: self.list(&prefix),
                store,
            },
            StoreOp::ListSince { prefix, after } => StoreReply::Values {
                entries: self.list_since(&prefix, after),
                store,
            },
            StoreOp::Cas {
                key,
                expected,
                value,
                lease,
                guard,
            } => self.cas(key, expected, value, lease, guard),
            StoreOp::CreateAll { entries, lease } => self.create_all(entries, lease),
            StoreOp::Delete { key, expected } => {
                if self.entry(&key).map(|e| e.modified) != Some(expected) {
                    return self.conflict(&key);
                }
                self.entries.remove(&key);
                self.written()
            }
            StoreOp::GrantLease { ttl } => {
                self.next_lease += 1;
                self.leases.insert(self.next_lease, (now + ttl, ttl));
                let lease = LeaseId(self.next_lease);
                StoreReply::Granted { lease, ttl }
            }
            StoreOp::KeepAlive { lease } => match self.leases.get_mut(&lease.0) {
                Some((expiry, ttl)) => {
                    *expiry = now + *ttl;
                    StoreReply::Alive { ttl: *ttl }
                }
                None => StoreReply::Expired,
            },
            StoreOp::Revoke { lease } => {
                self.end_lease(lease.0);
                StoreReply::Revoked
            }
        }
    }

    pub(crate) fn entry(&self, key: &str) -> Option<Entry> {
        self.entries.get(key).map(|(e, _)| e.clone())
    }

    pub(crate) fn list(&self, prefix: &str) -> Vec<Entry> {
        let all = self.entries.values().map(|(e, _)| e);
        all.filter(|e| e.key.starts_with(prefix)).cloned().collect()
    }

    fn list_since(&self, prefix: &str, after: Revision) -> Vec<Entry> {
        let mut entries = self.list(prefix);
        entries.retain(|e| e.modified > after);
        entries
    }

    fn cas(
        &mut self,
        key: String,
        expected: Expected,
        value: Vec<u8>,
        lease: Option<LeaseId>,
        guard: Option<Guard>,
    ) -> StoreReply {
        let present = self.entry(&key).map(|e| e.modified);
        let matches = match expected {
            Expected::Absent => present.is_none(),
            Expected::At(revision) => present == Some(revision),
        };
        let guarded =
            guard.is_none_or(|g| self.entry(&g.key).map(|e| e.created) == Some(g.created));
        let alive = lease.is_none_or(|l| self.leases.contains_key(&l.0));
        if !matches || !guarded || !alive {
            return self.conflict(&key);
        }
        self.put(key, value, lease)
    }

    fn create_all(
        &mut self,
        entries: Vec<(String, Vec<u8>)>,
        lease: Option<LeaseId>,
    ) -> StoreReply {
        let existing = entries.iter().find(|(k, _)| self.entries.contains_key(k));
        if let Some((key, _)) = existing {
            return self.conflict(key);
        }
        for (key, value) in entries {
            self.put(key, value, lease);
        }
        let revision = Revision(self.revision);
        StoreReply::Written { revision }
    }

    fn put(&mut self, key: String, value: Vec<u8>, lease: Option<LeaseId>) -> StoreReply {
        let reply = self.written();
        let modified = Revision(self.revision);
        let created = self.entry(&key).map_or(modified, |e| e.created);
        let entry = Entry {
            key: key.clone(),
            value,
            created,
            modified,
        };
        self.entries.insert(key, (entry, lease));
        reply
    }

    fn written(&mut self) -> StoreReply {
        self.revision += 1;
        let revision = Revision(self.revision);
        StoreReply::Written { revision }
    }

    fn conflict(&self, key: &str) -> StoreReply {
        StoreReply::Conflict {
            current: self.entry(key),
            store: Revision(self.revision),
        }
    }

    fn expire(&mut self, now: Duration) {
        let over = self.leases.iter().filter(|(_, (expiry, _))| *expiry <= now);
        let ids: Vec<i64> = over.map(|(id, _)| *id).collect();
        ids.into_iter().for_each(|id| self.end_lease(id));
    }

    fn end_lease(&mut self, id: i64) {
        self.leases.remove(&id);
        let before = self.entries.len();
        self.entries.retain(|_, (_, l)| *l != Some(LeaseId(id)));
        if self.entries.len() != before {
            self.revision += 1;
        }
    }
}

/// Delays and faults of calls from a vm to the store.
#[derive(Clone, Debug)]
pub(crate) struct StoreLink {
    /// Longest delay in one direction.
    pub(crate) longest: Duration,
    /// Timeout of the caller.
    pub(crate) timeout: Duration,
    /// Share of calls that never reach the store.
    pub(crate) lost_before: f64,
    /// Share of calls whose answer is lost after they took effect.
    pub(crate) lost_after: f64,
    /// Share of calls that take effect up to three seconds after the timeout of the caller.
    pub(crate) late_effect: f64,
    /// Intervals in which no call reaches the store.
    pub(crate) outages: Vec<(Duration, Duration)>,
}

/// Delays of one call and its answer.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CallDelays {
    /// Delay until the call takes effect, if it does.
    pub(crate) effect: Option<Duration>,
    /// Delay from the effect to the answer; `None` if the caller gets `Unknown` at its timeout.
    pub(crate) answer: Option<Duration>,
}

impl StoreLink {
    pub(crate) fn delays(&self, now: Duration, rng: &mut SmallRng) -> CallDelays {
        let lost = CallDelays {
            effect: None,
            answer: None,
        };
        let down = self.outages.iter().any(|(a, b)| (*a..*b).contains(&now));
        if down || rng.random_bool(self.lost_before) {
            return lost;
        }
        if rng.random_bool(self.late_effect) {
            let extra_delay = Duration::from_millis(rng.random_range(0..3000));
            return CallDelays {
                effect: Some(self.timeout + extra_delay),
                answer: None,
            };
        }
        let request_delay = self.longest.mul_f64(rng.random::<f64>().powi(3));
        let answer_delay = self.longest.mul_f64(rng.random::<f64>().powi(3));
        let answer_arrives =
            !rng.random_bool(self.lost_after) && request_delay + answer_delay < self.timeout;
        CallDelays {
            effect: Some(request_delay),
            answer: answer_arrives.then_some(answer_delay),
        }
    }
}
