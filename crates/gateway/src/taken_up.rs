//! Streams that callers take up after they broke off: which targets may continue them.

use std::collections::BTreeSet;
use std::mem;
use std::pin::pin;
use std::sync::{Arc, MutexGuard, PoisonError};
use std::time::Duration;

use futures_util::future::{Either, join, select};
use jujubebeam_core::gateway::{
    HostRoute, OriginSource, OriginUnknown, RequestKind, StoredKnowledge, StreamEnd, StreamOrigin,
    StreamOrigins, StreamQuery, StreamReplies, StreamReply, route_key,
};
use tokio::sync::Mutex;
use tokio::time::{Instant, timeout, timeout_at};

use crate::adapters::{Incoming, StoreApi, TakenUpStream};
use crate::answer::{Reason, Refusal};
use crate::decision_log::{DecisionKind, decision, millis};
use crate::forward::NO_TARGET_RETRY;
use crate::job::Job;
use crate::state::Shared;
use crate::stored_streams::{read_knowledge, streams_key};

/// Timeout for reading from the store where a stream began. The store answers within milliseconds, or
/// some hundred if it is slow.
const LOOKUP_TIMEOUT: Duration = Duration::from_millis(500);

/// Largest share of the caller's remaining time that this takes.
const LOOKUP_SHARE: f64 = 0.25;

/// Time after which other vms are asked because the store has not replied.
const STORE_TIME_BEFORE_ASKING: Duration = Duration::from_millis(60);

/// Timeout for confirming the settings, beside the read of what the store has of streams. A slow store
/// replies within it, and the lookup has some time left.
const CONFIRMATION_TIMEOUT: Duration = Duration::from_millis(400);

/// Other vms, which may have forwarded parts of streams.
pub(crate) trait StreamPeers {
    /// Asks all other vms for streams by the ids of the attempts that began them.
    fn ask_streams(&self, attempts: Vec<String>) -> impl Future<Output = StreamReplies>;

    /// Reads the settings from the store, unless they were confirmed later than at `after`. Returns whether
    /// they are.
    fn confirm_settings(&self, after: Duration) -> impl Future<Output = bool>;

    /// The same for the list of targets.
    fn confirm_targets(&self, after: Duration) -> impl Future<Output = bool>;
}

/// What the store had, shared by the requests that arrived before it was read.
#[derive(Debug, Default)]
pub(crate) struct StreamLookups {
    stored: Mutex<Read>,
    asked: Mutex<Asked>,
    /// Streams that the next queries to other vms have to name.
    waiting: std::sync::Mutex<BTreeSet<String>>,
}

#[derive(Debug, Default)]
struct Read {
    /// When the last successful read began.
    began_at: Option<Duration>,
    knowledge: Arc<StoredKnowledge>,
}

#[derive(Debug, Default)]
struct Asked {
    /// When the last queries were sent.
    began_at: Option<Duration>,
    /// The streams that they named.
    attempts: BTreeSet<String>,
    replies: Arc<StreamReplies>,
}

/// Records in the job which version may continue the stream that its caller takes up.
///
/// # Errors
///
/// Returns a refusal if that is not known, or if the version has left. A stream that went on at
/// another version would be joined from parts that do not fit together.
pub(crate) async fn require_version(
    shared: &Shared,
    store: &impl StoreApi,
    peers: &impl StreamPeers,
    job: &Job,
) -> Result<(), Refusal> {
    let Some(stream) = job.taken_up() else {
        return Ok(());
    };
    let lookup = Lookup {
        shared,
        service: job.service(),
        job,
        route: route_key(job.route()),
        id: stream
            .origin
            .as_deref()
            .filter(|id| StreamOrigins::is_recordable(id)),
        arrived_at: shared.now(),
    };
    let time = job.time_left().mul_f64(LOOKUP_SHARE).min(LOOKUP_TIMEOUT);
    let until = Instant::now() + time;
    let found = lookup.find(store, peers, time).await;
    // The list of targets may be older than the version, for example after the vm stood still.
    let is_outdated = match &found {
        Ok((origin, _)) if !is_served(shared, origin) => {
            let confirmed = timeout_at(until, peers.confirm_targets(lookup.arrived_at)).await;
            !confirmed.unwrap_or(false) && !is_served(shared, origin)
        }
        _ => false,
    };
    let (outcome, refusal) = match &found {
        Ok((origin, _)) if !is_routed(shared, job, &origin.service) => {
            let refusal = Refusal::without_retry(Reason::StreamMoved);
            ("other_service", Some(refusal))
        }
        Ok(_) if is_outdated => {
            let refusal = Refusal::not_run(Reason::VersionGone, NO_TARGET_RETRY);
            ("targets_outdated", Some(refusal))
        }
        Ok((origin, _)) if !is_served(shared, origin) => {
            let refusal = Refusal::without_retry(Reason::VersionGone);
            ("gone", Some(refusal))
        }
        Ok(_) => ("known", None),
        Err(OriginUnknown::NotRecorded) => {
            let refusal = Refusal::without_retry(Reason::StreamUnknown);
            ("not_recorded", Some(refusal))
        }
        // Both may be over soon.
        Err(unknown @ (OriginUnknown::VmSilent | OriginUnknown::StoreUnreadable)) => {
            let refusal = Refusal::not_run(Reason::StreamUnknown, NO_TARGET_RETRY);
            (<&str>::from(*unknown), Some(refusal))
        }
    };
    shared.metrics.taken_up(outcome);
    let (origin, source) = match &found {
        Ok((origin, source)) => (Some(origin), Some(<&str>::from(*source))),
        Err(_) => (None, None),
    };
    decision!(
        shared,
        DecisionKind::TakenUp,
        request = job.incoming.attempt_id.as_str(),
        origin = stream.origin.as_deref(),
        service = origin.map(|origin| origin.service.as_str()),
        version = origin.and_then(|origin| origin.version.as_deref()),
        source,
        outcome,
        targets_age_ms = millis(shared.targets_age()),
        after_ms = millis(job.arrived_at.elapsed())
    );
    if let Some(refusal) = refusal {
        return Err(refusal);
    }
    if let Some(origin) = origin {
        if origin.service != job.service() {
            shared.budget().request(&origin.service, shared.now());
            job.continue_at_service(&origin.service);
        }
        job.record_stream_version(origin.version.as_deref());
    }
    Ok(())
}

/// Whether the route sends requests to a service, by the settings of the request or by those in force now,
/// which may have been read since.
fn is_routed(shared: &Shared, job: &Job, service: &str) -> bool {
    let settings = shared.settings();
    let current = settings.as_ref().and_then(|s| job.route_in(s));
    let routes = [Some(job.route()), current];
    routes.into_iter().flatten().any(|r| r.has_service(service))
}

/// Whether a target that can continue the stream exists, if only for the future.
fn is_served(shared: &Shared, origin: &StreamOrigin) -> bool {
    let (fleet, now) = (shared.fleet(), shared.now());
    let mut usable = fleet.catalog.usable(now);
    usable.any(|(_, target)| {
        target.service == origin.service
            && origin.version.is_some()
            && target.version == origin.version
    })
}

/// A stream whose origin is looked up.
struct Lookup<'a> {
    shared: &'a Shared,
    job: &'a Job,
    service: &'a str,
    route: String,
    /// The attempt that began it, if the caller names it and it is recorded.
    id: Option<&'a str>,
    /// What was read or said before the request arrived may lack the stream.
    arrived_at: Duration,
}

impl Lookup<'_> {
    /// Asks the store, and the other vms if the store does not know or does not reply.
    async fn find(
        &self,
        store: &impl StoreApi,
        peers: &impl StreamPeers,
        time: Duration,
    ) -> Result<(StreamOrigin, OriginSource), OriginUnknown> {
        if let Some(id) = self.id
            && let Some(origin) = self.shared.streams().origins.origin(id)
        {
            return Ok((origin.clone(), OriginSource::OwnStream));
        }
        let mut read = pin!(timeout(time, self.read(store, peers)));
        let Ok(stored) = timeout(STORE_TIME_BEFORE_ASKING, &mut read).await else {
            let asked = pin!(self.ask(peers));
            return match select(asked, read).await {
                Either::Left((replies, read)) => match self.origin_at_vm(&replies) {
                    Some(origin) => Ok((origin, OriginSource::Vm)),
                    None => self.decide(read.await.ok().flatten().as_deref(), &replies),
                },
                Either::Right((stored, asked)) => {
                    let stored = stored.ok().flatten();
                    match self.decide(stored.as_deref(), &StreamReplies::default()) {
                        Ok(found) => Ok(found),
                        Err(_) => self.decide(stored.as_deref(), &*asked.await),
                    }
                }
            };
        };
        let stored = stored.ok().flatten();
        match self.decide(stored.as_deref(), &StreamReplies::default()) {
            Ok(found) => Ok(found),
            Err(_) => self.decide(stored.as_deref(), &*self.ask(peers).await),
        }
    }

    fn origin_at_vm(&self, replies: &StreamReplies) -> Option<StreamOrigin> {
        replies.origin(self.id?).cloned()
    }

    fn decide(
        &self,
        stored: Option<&StoredKnowledge>,
        replies: &StreamReplies,
    ) -> Result<(StreamOrigin, OriginSource), OriginUnknown> {
        if let Some(stored) = stored {
            let own_key = complete_key(self.shared);
            let now = self.shared.now();
            let query = StreamQuery {
                service: self.service,
                route: &self.route,
                is_route_mixed: self.is_route_mixed(),
                id: self.id,
                own_key: own_key.as_deref(),
                all_vms_record: self.shared.streams().versions.all_vms_record(now),
            };
            return stored.origin(&query, replies);
        }
        if let Some(origin) = self.origin_at_vm(replies) {
            return Ok((origin, OriginSource::Vm));
        }
        if self.is_route_mixed() || replies.is_route_mixed(&self.route) {
            return Err(OriginUnknown::StoreUnreadable);
        }
        let (streams, now) = (self.shared.streams(), self.shared.now());
        let only = streams.versions.only_version(self.service, now);
        let origin = only.and_then(|only| replies.confirm_only_version(self.service, only));
        origin
            .map(|origin| (origin, OriginSource::OnlyVersion))
            .ok_or(OriginUnknown::StoreUnreadable)
    }

    fn is_route_mixed(&self) -> bool {
        // The service of a stream whose caller does not name it may be any of the route.
        if self.id.is_none() && self.job.route().services.len() > 1 {
            return true;
        }
        let now = self.shared.now();
        let settings = self.shared.settings();
        let current = settings.as_ref().and_then(|s| self.job.route_in(s));
        let streams = self.shared.streams();
        let keys = [Some(self.route.clone()), current.map(route_key)];
        let mut keys = keys.into_iter().flatten();
        keys.any(|key| streams.versions.is_route_mixed(&key, now))
    }

    /// Reads what the store has, unless it was read after the request arrived.
    async fn read(
        &self,
        store: &impl StoreApi,
        peers: &impl StreamPeers,
    ) -> Option<Arc<StoredKnowledge>> {
        let mut last = self.shared.stream_lookups.stored.lock().await;
        if last.began_at.is_none_or(|at| at < self.arrived_at) {
            let began_at = self.shared.now();
            let confirm = timeout(CONFIRMATION_TIMEOUT, peers.confirm_settings(began_at));
            let (knowledge, confirmed) = join(read_knowledge(self.shared, store), confirm).await;
            last.knowledge = Arc::new(StoredKnowledge {
                has_current_settings: confirmed.unwrap_or(false),
                ..knowledge?
            });
            last.began_at = Some(began_at);
        }
        Some(last.knowledge.clone())
    }

    /// Asks the other vms, unless they were asked for this stream after the request arrived.
    async fn ask(&self, peers: &impl StreamPeers) -> Arc<StreamReplies> {
        let lookups = &self.shared.stream_lookups;
        if let Some(id) = self.id {
            lookups.waiting().insert(id.to_owned());
        }
        let mut last = lookups.asked.lock().await;
        let names_stream = self.id.is_none_or(|id| last.attempts.contains(id));
        if !names_stream || last.began_at.is_none_or(|at| at < self.arrived_at) {
            let began_at = self.shared.now();
            let mut attempts = mem::take(&mut *lookups.waiting());
            attempts.extend(self.id.map(str::to_owned));
            let replies = peers.ask_streams(attempts.iter().cloned().collect()).await;
            *last = Asked {
                began_at: Some(began_at),
                attempts,
                replies: Arc::new(replies),
            };
        }
        last.replies.clone()
    }
}

impl StreamLookups {
    fn waiting(&self) -> MutexGuard<'_, BTreeSet<String>> {
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Key of this vm's streams, if it has forgotten none.
fn complete_key(shared: &Shared) -> Option<String> {
    let is_complete = shared.streams().origins.is_complete(shared.now());
    is_complete.then(|| streams_key(shared))
}

/// What this vm says of streams to another one.
pub(crate) fn reply(shared: &Shared, attempts: &[String]) -> StreamReply {
    let key = complete_key(shared);
    let streams = shared.streams();
    let known = attempts.iter().filter_map(|id| {
        let origin = streams.origins.origin(id)?;
        Some((id.clone(), origin.clone()))
    });
    StreamReply {
        key,
        origins: known.collect(),
        versions: streams.versions.known(shared.now()),
    }
}

/// An answer that carries a part of a stream, until it is dropped.
#[derive(Debug)]
pub(crate) struct RecordedStream {
    shared: Arc<Shared>,
    /// Attempt that began the stream, if it is recorded.
    id: Option<String>,
    end: StreamEnd,
}

impl RecordedStream {
    /// Records that the first events of an answer are forwarded.
    pub(crate) fn begin(shared: &Arc<Shared>, job: &Job, version: Option<&str>) -> Self {
        let origin = StreamOrigin {
            service: job.service().to_owned(),
            version: version.map(str::to_owned),
        };
        let id = job.taken_up().and_then(|stream| stream.origin.clone());
        let id = id.unwrap_or_else(|| job.incoming.attempt_id.clone());
        let is_recorded = shared.streams().origins.begin(&id, origin);
        Self {
            shared: shared.clone(),
            id: is_recorded.then_some(id),
            end: StreamEnd::Broken,
        }
    }

    /// Records that all events were forwarded.
    pub(crate) fn complete(&mut self) {
        self.end = StreamEnd::Complete;
    }
}

impl Drop for RecordedStream {
    fn drop(&mut self) {
        if let Some(id) = &self.id {
            let now = self.shared.now();
            self.shared.streams().origins.end(id, self.end, now);
        }
    }
}

/// Whether a caller takes a stream up. Other requests do not go on.
pub(crate) fn is_taken_up(route: &HostRoute, incoming: &Incoming) -> bool {
    route.kind == RequestKind::Stream && incoming.taken_up.is_some()
}

impl Job {
    /// The stream that the caller takes up.
    pub(crate) fn taken_up(&self) -> Option<&TakenUpStream> {
        let stream = self.incoming.taken_up.as_ref();
        stream.filter(|_| is_taken_up(self.route(), &self.incoming))
    }

    /// The attempt that began the stream that the caller takes up, if it names one.
    pub(crate) fn stream_origin(&self) -> Option<&str> {
        self.taken_up()?.origin.as_deref()
    }
}
