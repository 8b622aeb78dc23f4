//! One vm's view of one target: delayed load reports, the vm's own work there and that of its peers.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::cache::PrefixCache;
use super::{CacheEvent, EngineRates, LoadReport, Role, TargetState};
use crate::{RequestId, TargetId, VmId, ZoneId};

/// Properties of a target from the settings.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetInfo {
    /// Key of the target.
    pub id: TargetId,
    /// Zone of the target.
    pub zone: ZoneId,
    /// Whether the platform may withdraw the target at any time.
    pub reclaimable: bool,
    /// Whether the settings withdraw the target.
    pub leaving: bool,
}

/// Work of one vm, or of all vms, at a target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetLoad {
    /// Prompt tokens of requests that are waiting for their first token.
    pub prefill_tokens: u64,
    /// Requests without a first token, and reservations for decoding.
    pub waiting: u32,
    /// Requests that are generating tokens.
    pub streams: u32,
    /// Context tokens of waiting and generating requests that decode at this target.
    pub context_tokens: u64,
    /// Requests that are suspected of crashing targets.
    pub suspects: u32,
}

impl TargetLoad {
    /// Requests that a planned change would interrupt.
    pub fn in_flight(&self) -> u32 {
        self.waiting + self.streams
    }

    fn add(&mut self, other: &Self) {
        self.prefill_tokens += other.prefill_tokens;
        self.waiting += other.waiting;
        self.streams += other.streams;
        self.context_tokens += other.context_tokens;
        self.suspects += other.suspects;
    }
}

/// Work of one request of this vm at one target.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct OwnWork {
    pub(crate) prefill_tokens: u64,
    pub(crate) context_tokens: u64,
    pub(crate) streaming: bool,
    pub(crate) suspect: bool,
    pub(crate) sent_at: Duration,
}

/// Age above which digests of peers are ignored. A live vm sends one every 100 ms.
const PEER_EXPIRY: Duration = Duration::from_secs(2);
/// Time for which a notice that the target is not serving takes precedence over reports to the
/// contrary.
const CLOSED_STATE_HOLD: Duration = Duration::from_secs(3);
/// Time after which a target without a new report gets no new work.
const REPORT_EXPIRY: Duration = Duration::from_secs(5);
/// Time constant of the moving average of the share of time spent on prefill.
const PREFILL_SHARE_TIME_CONSTANT_S: f64 = 5.0;

/// One vm's view of one target.
#[derive(Debug)]
pub struct TargetView {
    pub(crate) info: TargetInfo,
    pub(crate) role: Role,
    pub(crate) cache: PrefixCache,
    pub(crate) prefill_share: f64,
    report: Option<(LoadReport, Duration)>,
    report_age: Duration,
    own: BTreeMap<RequestId, OwnWork>,
    peers: BTreeMap<VmId, (TargetLoad, Duration)>,
    closed: Option<(TargetState, Duration)>,
    leaving_since: Option<Duration>,
}

impl TargetView {
    pub(crate) fn new(info: TargetInfo, now: Duration) -> Self {
        Self {
            info,
            role: Role::Mixed,
            cache: PrefixCache::default(),
            prefill_share: 0.0,
            report: None,
            report_age: Duration::ZERO,
            own: BTreeMap::new(),
            peers: BTreeMap::new(),
            closed: None,
            leaving_since: info.leaving.then_some(now),
        }
    }

    /// Applies the properties from the settings. Settings may return a leaving target to service.
    pub(crate) fn set_info(&mut self, info: TargetInfo, now: Duration) {
        if self.info.leaving && !info.leaving {
            self.leaving_since = None;
        }
        self.info = info;
        if info.leaving {
            self.record_state(TargetState::Leaving, now);
        }
    }

    /// Records a load report that describes the state of the target `age` ago.
    pub(crate) fn record_report(&mut self, report: LoadReport, age: Duration, now: Duration) {
        let restarted = self
            .report
            .as_ref()
            .is_some_and(|(old, _)| old.incarnation != report.incarnation);
        if restarted {
            self.cache.clear();
            self.closed = None;
            self.leaving_since = self.info.leaving.then_some(now);
        }
        self.role = report.role;
        if report.state != TargetState::Serving {
            self.record_state(report.state, now);
        }
        self.report_age = age;
        self.report = Some((report, now));
    }

    /// Records a state that a peer, the planner or the target reported.
    pub(crate) fn record_state(&mut self, state: TargetState, now: Duration) {
        if state == TargetState::Serving {
            self.closed = None;
            return;
        }
        self.closed = Some((state, now));
        if state == TargetState::Leaving && self.leaving_since.is_none() {
            self.leaving_since = Some(now);
        }
    }

    /// Discards the load report of a target that does not answer.
    pub(crate) fn discard_report(&mut self) {
        self.report = None;
    }

    pub(crate) fn record_peer_load(&mut self, from: VmId, load: TargetLoad, now: Duration) {
        self.peers.insert(from, (load, now));
    }

    pub(crate) fn apply_cache_events(&mut self, events: &[CacheEvent]) {
        self.cache.apply(events);
    }

    /// Whether the target may get new work.
    pub(crate) fn is_open(&self, now: Duration) -> bool {
        let has_report = self
            .report
            .as_ref()
            .is_some_and(|(_, at)| now.saturating_sub(*at) < REPORT_EXPIRY);
        has_report && self.is_closed(now).is_none()
    }

    /// The state because of which the target gets no new work, if any.
    pub(crate) fn is_closed(&self, now: Duration) -> Option<TargetState> {
        if self.leaving_since.is_some() {
            return Some(TargetState::Leaving);
        }
        let (state, received_at) = self.closed?;
        let reported = self.report.as_ref().map(|(r, _)| r.state);
        let is_held = now.saturating_sub(received_at) < CLOSED_STATE_HOLD;
        (is_held || reported != Some(TargetState::Serving)).then_some(state)
    }

    /// Time at which this vm first received notice that the target is leaving.
    pub(crate) fn leaving_since(&self) -> Option<Duration> {
        self.leaving_since
    }

    pub(crate) fn begin(&mut self, request: RequestId, work: OwnWork) {
        self.own.insert(request, work);
    }

    pub(crate) fn work_mut(&mut self, request: RequestId) -> Option<&mut OwnWork> {
        self.own.get_mut(&request)
    }

    pub(crate) fn end(&mut self, request: RequestId) -> Option<OwnWork> {
        self.own.remove(&request)
    }

    pub(crate) fn requests(&self) -> impl Iterator<Item = RequestId> + '_ {
        self.own.keys().copied()
    }

    /// Work of this vm alone.
    pub(crate) fn own_load(&self) -> TargetLoad {
        self.own_since(Duration::ZERO)
    }

    fn own_since(&self, since: Duration) -> TargetLoad {
        let mut sum = TargetLoad::default();
        for work in self.own.values().filter(|w| w.sent_at >= since) {
            sum.prefill_tokens += if work.streaming {
                0
            } else {
                work.prefill_tokens
            };
            sum.waiting += u32::from(!work.streaming);
            sum.streams += u32::from(work.streaming);
            sum.context_tokens += work.context_tokens;
            sum.suspects += u32::from(work.suspect);
        }
        sum
    }

    /// Work of all vms. With a fresh digest from each of `peers` vms the sum is complete. Otherwise
    /// the load report is used for the missing work, with the own work added that it cannot contain.
    pub(crate) fn load(&self, peers: u32, rates: &EngineRates, now: Duration) -> TargetLoad {
        let mut tracked = self.own_load();
        let mut fresh = 0;
        for (load, received_at) in self.peers.values() {
            if now.saturating_sub(*received_at) < PEER_EXPIRY {
                tracked.add(load);
                fresh += 1;
            }
        }
        if fresh >= peers && peers > 0 {
            return tracked;
        }
        let Some((report, received_at)) = &self.report else {
            return tracked;
        };
        let taken_at = received_at.saturating_sub(self.report_age);
        let since_s = now.saturating_sub(taken_at).as_secs_f64();
        let done_tokens = (since_s * rates.prefill_tokens_per_s) as u64;
        let added = self.own_since(taken_at);
        TargetLoad {
            prefill_tokens: tracked.prefill_tokens.max(
                report.queued_prompt_tokens.saturating_sub(done_tokens) + added.prefill_tokens,
            ),
            waiting: tracked.waiting.max(report.waiting_requests + added.waiting),
            streams: tracked.streams.max(report.running_requests + added.streams),
            context_tokens: tracked
                .context_tokens
                .max(report.running_context_tokens + added.context_tokens),
            suspects: tracked.suspects,
        }
    }

    /// Updates the moving average of the share of time that the target spends on prefill.
    pub(crate) fn update_prefill_share(&mut self, busy: bool, elapsed: Duration) {
        let weight = (elapsed.as_secs_f64() / PREFILL_SHARE_TIME_CONSTANT_S).min(1.0);
        self.prefill_share += weight * (f64::from(u8::from(busy)) - self.prefill_share);
    }
}
