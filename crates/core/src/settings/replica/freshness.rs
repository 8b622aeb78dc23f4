//! How long a vm may continue to serve with its current settings.
//!
//! All limits are points in time computed from the last proof. If a vm was paused beyond such a
//! limit, it therefore finds the limit passed as soon as it resumes, before it has handled any event.

use std::collections::BTreeMap;
use std::time::Duration;

use super::config::ReplicaConfig;
use crate::VmId;

/// Whether keyed routes may be served, and until when.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ServePermit {
    /// Whether the vm has a full set.
    pub full: bool,
    /// Time until which new requests are accepted.
    pub requests_until: Option<Duration>,
    /// Time until which running streams may continue.
    pub streams_until: Option<Duration>,
}

impl ServePermit {
    /// True if a keyed request may start.
    pub fn may_start(&self, now: Duration) -> bool {
        self.full && self.requests_until.is_some_and(|until| now <= until)
    }

    /// True if a running keyed stream may continue.
    pub fn may_continue(&self, now: Duration) -> bool {
        self.full && self.streams_until.is_some_and(|until| now <= until)
    }
}

/// Monotonic time in microseconds. It is signed, as a proof received from a peer can be older than
/// this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Micros(i64);

impl Micros {
    fn of(time: Duration) -> Self {
        Self(time.as_micros() as i64)
    }

    fn after(self, by: Duration) -> Self {
        Self(self.0.saturating_add(Self::of(by).0))
    }

    fn before(self, by: Duration) -> Self {
        Self(self.0.saturating_sub(Self::of(by).0))
    }

    fn age(self, now: Duration) -> Duration {
        Duration::from_micros(u64::try_from(Self::of(now).0 - self.0).unwrap_or(0))
    }

    fn time(self) -> Option<Duration> {
        u64::try_from(self.0).ok().map(Duration::from_micros)
    }
}

/// Proofs of freshness of one vm.
#[derive(Clone, Debug, Default)]
pub(crate) struct Freshness {
    /// Every change that was accepted before this time is contained.
    proof: Option<Micros>,
    /// Time of the first event.
    started: Option<Micros>,
    /// Whether this vm has a proof that is later than its start. Until then it may lack a change
    /// that its earlier run confirmed, so it does not count towards a majority.
    pub(crate) witness: bool,
    /// Time as of which this vm's set contains the set of each peer.
    peer_times: BTreeMap<VmId, Micros>,
}

impl Freshness {
    /// Records the time of the first event.
    pub(crate) fn start(&mut self, now: Duration) {
        self.started.get_or_insert(Micros::of(now));
    }

    /// Records a proof that had the given age at time `at`.
    pub(crate) fn record_proof(&mut self, at: Duration, age: Duration) {
        let proof = Micros::of(at).before(age);
        self.proof = self.proof.max(Some(proof));
        self.witness |= self.started.is_some_and(|started| proof >= started);
    }

    /// Age of the proof.
    pub(crate) fn age(&self, now: Duration) -> Option<Duration> {
        self.proof.map(|proof| proof.age(now))
    }

    /// Records that this vm's set contains everything that `vm` had `age` before time `at`.
    pub(crate) fn record_peer(&mut self, vm: VmId, at: Duration, age: Duration) {
        let new_time = Micros::of(at).before(age);
        let time = self.peer_times.entry(vm).or_insert(new_time);
        *time = new_time.max(*time);
    }

    /// Drops vms that have left the list.
    pub(crate) fn retain(&mut self, listed: &[VmId]) {
        self.peer_times.retain(|vm, _| listed.contains(vm));
    }

    /// Vms with a known time within the stale limit and its age in milliseconds, including this vm
    /// if it counts towards a majority.
    pub(crate) fn recent_peers(&self, now: Duration, config: &ReplicaConfig) -> Vec<(VmId, u32)> {
        let own = self
            .counts_towards_majority(config)
            .then_some((config.vm, 0));
        let others = self.peer_times.iter().map(|(vm, at)| {
            // Rounded up, because an age that is too low would prolong outage mode.
            let age_ms = at.age(now).as_millis() + 1;
            (*vm, u32::try_from(age_ms).unwrap_or(u32::MAX))
        });
        let limit_ms = config.stale_limit.as_millis() as u32;
        own.into_iter()
            .chain(others)
            .filter(|(_, age_ms)| *age_ms <= limit_ms)
            .collect()
    }

    /// Whether this vm counts towards a majority.
    pub(crate) fn counts_towards_majority(&self, config: &ReplicaConfig) -> bool {
        self.witness || config.omit.witness
    }

    /// Computes the permit of this vm, with `listed` vms in the platform's list.
    pub(crate) fn permit(
        &self,
        full: bool,
        listed: usize,
        now: Duration,
        config: &ReplicaConfig,
    ) -> ServePermit {
        let until = self.until(listed, now, config);
        ServePermit {
            full,
            requests_until: until.and_then(Micros::time),
            streams_until: until.and_then(|u| u.after(config.stream_grace).time()),
        }
    }

    fn until(&self, listed: usize, now: Duration, config: &ReplicaConfig) -> Option<Micros> {
        if config.omit.stale_limit {
            return Some(Micros(i64::MAX / 2));
        }
        let fresh_until = self.proof?.after(config.stale_limit);
        Some(fresh_until.max(self.outage_until(listed, now, config)?))
    }

    /// End of outage mode: the time from which fewer than a majority of the vms have a known time
    /// within the stale limit, but at most the outage limit.
    fn outage_until(&self, listed: usize, now: Duration, config: &ReplicaConfig) -> Option<Micros> {
        let proof = self.proof?;
        let limit = proof.after(config.outage_limit);
        if config.omit.outage_majority {
            return Some(limit);
        }
        let own = self
            .counts_towards_majority(config)
            .then_some(Micros::of(now));
        let mut times: Vec<_> = self.peer_times.values().copied().chain(own).collect();
        times.sort_unstable_by(|a, b| b.cmp(a));
        let Some(deciding) = times.get(majority(listed) - 1) else {
            return Some(proof);
        };
        Some(limit.min(deciding.after(config.stale_limit)))
    }
}

/// Least number that is more than half of `listed`.
pub(crate) fn majority(listed: usize) -> usize {
    listed / 2 + 1
}
