//! Where the streams of callers began.
//!
//! A caller whose stream broke off may take it up at any vm, and names the attempt that brought its
//! first event. Each vm knows the streams that it forwards. While a service has targets of several
//! versions, the store has them too, for the other vms and for those that start after all of them
//! were lost. See `docs/incidents/joined-versions.md`.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::software_versions::{SoftwareVersions, UsedVersions};

/// Prefix of the keys of streams in the store. Each vm has one key.
pub const STREAMS_PREFIX: &str = "streams/";

/// Most streams that a vm remembers after they have ended.
const MAX_ENDED: usize = 4096;

/// Longest id of an attempt that is kept. A stream with a longer one cannot be taken up while its
/// service has several versions.
const MAX_ID_BYTES: usize = 128;

/// Service and software version of the targets that may continue a stream.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct StreamOrigin {
    /// The service.
    pub service: String,
    /// Version of the target that sent the first event, or `None` if it is unknown.
    pub version: Option<String>,
}

/// Streams of one vm as stored.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredStreams {
    origins: Vec<StreamsOfOrigin>,
    /// Versions at which the vm may have begun further streams. Vms of earlier versions write none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    used: Option<UsedVersions>,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct StreamsOfOrigin {
    origin: StreamOrigin,
    /// Ids of the attempts that began the streams.
    attempts: Vec<String>,
}

impl StoredStreams {
    /// The streams, by the ids of the attempts that began them.
    pub fn into_origins(self) -> impl Iterator<Item = (String, StreamOrigin)> {
        self.origins.into_iter().flat_map(|streams| {
            let StreamsOfOrigin { origin, attempts } = streams;
            attempts.into_iter().map(move |id| (id, origin.clone()))
        })
    }

    /// Versions at which the vm may have begun streams of a service that are not listed, or `None` if
    /// it does not state them.
    pub fn used(&self, service: &str) -> Option<&[String]> {
        let used = self.used.as_ref()?;
        Some(used.get(service).map_or(&[], Vec::as_slice))
    }

    /// Versions at which the vm may have begun streams that are not listed.
    pub fn all_used(&self) -> UsedVersions {
        self.used.clone().unwrap_or_default()
    }

    /// Where a stream began.
    pub fn origin(&self, id: &str) -> Option<&StreamOrigin> {
        let mut origins = self.origins.iter();
        let streams = origins.find(|streams| streams.attempts.iter().any(|known| known == id));
        streams.map(|streams| &streams.origin)
    }

    /// Number of streams.
    pub fn len(&self) -> usize {
        self.origins
            .iter()
            .map(|streams| streams.attempts.len())
            .sum()
    }

    /// Whether there are no streams, and no versions with further ones.
    pub fn is_empty(&self) -> bool {
        self.origins.is_empty() && self.used.as_ref().is_none_or(UsedVersions::is_empty)
    }
}

/// How a vm's part of a stream ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamEnd {
    /// All of it was sent. The caller takes it up only if the last events were lost on their way.
    Complete,
    /// It broke off, and the caller may take it up.
    Broken,
}

#[derive(Debug)]
struct Stream {
    origin: StreamOrigin,
    /// Number of answers that carry it.
    open: usize,
    end: StreamEnd,
    ended_at: Duration,
}

/// Streams that a vm has forwarded, by the ids of the attempts that began them.
#[derive(Debug)]
pub struct StreamOrigins {
    /// Longest time for which a stream goes on, with all attempts of its caller.
    stream_lifetime: Duration,
    streams: HashMap<String, Stream>,
    /// Streams in the order in which they ended. One that goes on is still listed here.
    ended: VecDeque<String>,
    /// When a stream that its caller may still take up was last forgotten.
    forgot_at: Option<Duration>,
}

impl StreamOrigins {
    /// Creates a state without streams.
    pub fn new(stream_lifetime: Duration) -> Self {
        Self {
            stream_lifetime,
            streams: HashMap::new(),
            ended: VecDeque::new(),
            forgot_at: None,
        }
    }

    /// Sets the longest time for which a stream goes on, with all attempts of its caller.
    pub fn set_stream_lifetime(&mut self, lifetime: Duration) {
        self.stream_lifetime = lifetime;
    }

    /// Whether streams that an attempt with this id began are recorded.
    pub fn is_recordable(id: &str) -> bool {
        !id.is_empty() && id.len() <= MAX_ID_BYTES
    }

    /// Records that the first events of an answer are forwarded. `id` is the attempt that began the
    /// stream. Returns false if the stream is not recorded, which then has no end either.
    pub fn begin(&mut self, id: &str, origin: StreamOrigin) -> bool {
        if !Self::is_recordable(id) {
            return false;
        }
        let stream = self.streams.entry(id.to_owned()).or_insert(Stream {
            origin,
            open: 0,
            end: StreamEnd::Broken,
            ended_at: Duration::ZERO,
        });
        stream.open += 1;
        true
    }

    /// Records the end of an answer for which [`Self::begin`] returned true.
    pub fn end(&mut self, id: &str, end: StreamEnd, now: Duration) {
        let Some(stream) = self.streams.get_mut(id) else {
            return;
        };
        stream.open = stream.open.saturating_sub(1);
        (stream.end, stream.ended_at) = (end, now);
        self.ended.push_back(id.to_owned());
        self.evict_ended(now);
    }

    /// Whether a stream that this vm does not know has not begun at it, or cannot be taken up any more.
    pub fn is_complete(&self, now: Duration) -> bool {
        let lifetime = self.stream_lifetime;
        self.forgot_at
            .is_none_or(|at| now.saturating_sub(at) >= lifetime)
    }

    /// Where a stream began, if this vm has forwarded a part of it.
    pub fn origin(&self, id: &str) -> Option<&StreamOrigin> {
        self.streams.get(id).map(|stream| &stream.origin)
    }

    /// The streams that other vms have to know: those that are not complete, of services with several
    /// versions, or with a route whose assignment has changed recently.
    pub fn to_store(&self, versions: &SoftwareVersions, now: Duration) -> StoredStreams {
        let mut origins = BTreeMap::<&StreamOrigin, Vec<String>>::new();
        let services = versions.services_of_mixed_routes(now);
        for (id, stream) in &self.streams {
            let is_open = stream.open > 0 || stream.end == StreamEnd::Broken;
            let service = &stream.origin.service;
            let is_mixed = versions.is_mixed(service, now) || services.contains(service);
            if is_open && is_mixed {
                origins.entry(&stream.origin).or_default().push(id.clone());
            }
        }
        let origins = origins.into_iter().map(|(origin, mut attempts)| {
            attempts.sort_unstable();
            StreamsOfOrigin {
                origin: origin.clone(),
                attempts,
            }
        });
        StoredStreams {
            origins: origins.collect(),
            used: Some(versions.to_record()),
        }
    }

    /// Forgets streams that ended longer ago than their callers return, and the oldest ones of too
    /// many.
    pub fn evict_ended(&mut self, now: Duration) {
        while let Some(id) = self.ended.front() {
            let is_over = |stream: &Stream| {
                stream.open == 0 && now.saturating_sub(stream.ended_at) >= self.stream_lifetime
            };
            let stream = self.streams.get(id);
            let is_excess = self.ended.len() > MAX_ENDED;
            // A stream that was taken up is listed again once it ends.
            let is_open = stream.is_some_and(|stream| stream.open > 0);
            if !is_excess && !is_open && !stream.is_none_or(is_over) {
                return;
            }
            if !is_open && stream.is_some_and(|stream| !is_over(stream)) {
                self.forgot_at = Some(now);
            }
            if let Some(id) = self.ended.pop_front().filter(|_| !is_open) {
                self.streams.remove(&id);
            }
        }
    }
}
