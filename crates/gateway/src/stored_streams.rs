//! Keeps the software versions of the services, and the streams that callers may take up at other
//! vms, in the store. See [`jujubebeam_core::gateway::StreamOrigins`].

use std::time::Duration;

use jujubebeam_core::Revision;
use jujubebeam_core::gateway::{
    SOFTWARE_VERSIONS_KEY, STREAMS_PREFIX, StoredKnowledge, StoredStreams, StoredVersions,
    UsedVersions,
};
use jujubebeam_core::store::{Entry, Expected, LeaseId, StoreOp, StoreReply};
use ntex::time::sleep;
use serde::de::DeserializeOwned;
use tokio::time::timeout;

use crate::adapters::StoreApi;
use crate::decision_log::{DecisionKind, decision};
use crate::state::Shared;

/// Pause after a call that failed. It doubles with each failure up to [`RETRY_MAX`].
const RETRY_INITIAL: Duration = Duration::from_millis(100);

/// Longest pause after a call that failed.
const RETRY_MAX: Duration = Duration::from_secs(2);

/// Interval between reads of the versions, in case a store that was restored has lost them.
const VERSIONS_INTERVAL: Duration = Duration::from_secs(10);

/// Time by which each vm writes new versions later than the one before it, which mostly finds them
/// written.
const VERSIONS_DELAY_PER_VM: Duration = Duration::from_millis(25);

/// Longest such time. No stream begins at a new version before.
const MAX_VERSIONS_DELAY: Duration = Duration::from_millis(250);

/// Time by which each vm records the versions that it uses later than the one before it, so that a fleet
/// writes 400 times a second at most.
const RECORD_DELAY_PER_VM: Duration = Duration::from_micros(2500);

/// Shortest interval between two writes of one vm's streams.
const STREAMS_INTERVAL: Duration = Duration::from_millis(100);

/// Part of that interval for each vm, so that a fleet writes 100 times a second at most. The store
/// accepts several hundred writes.
const STREAMS_INTERVAL_PER_VM: Duration = Duration::from_millis(10);

/// Share of its time to live after which a lease is renewed.
const RENEWAL_SHARE: f64 = 0.3;

/// Reads the stored versions, and writes those that this vm sees, until the process ends.
pub(crate) async fn maintain_versions(shared: &Shared, store: &impl StoreApi) {
    let mut pause = RETRY_INITIAL;
    loop {
        let is_updated = update_versions(shared, store).await;
        shared.versions_queried();
        if !is_updated {
            sleep(pause).await;
            pause = (pause * 2).min(RETRY_MAX);
            continue;
        }
        pause = RETRY_INITIAL;
        let rank = rank_of_vm(shared);
        let interval = VERSIONS_INTERVAL + VERSIONS_DELAY_PER_VM.saturating_mul(rank);
        let changed = timeout(interval, shared.versions_changed.notified()).await;
        if changed.is_ok() {
            let delay = VERSIONS_DELAY_PER_VM.saturating_mul(rank);
            sleep(delay.min(MAX_VERSIONS_DELAY)).await;
        }
    }
}

/// Number of live vms before this one.
fn rank_of_vm(shared: &Shared) -> u32 {
    let live = shared.membership().live(shared.now());
    let before = live.iter().filter(|vm| **vm < shared.vm).count();
    u32::try_from(before).unwrap_or(u32::MAX)
}

/// Reads the stored versions and writes what they lack. Returns whether the store has them.
async fn update_versions(shared: &Shared, store: &impl StoreApi) -> bool {
    let Some((entry, stored)) = read_versions(store).await else {
        return false;
    };
    let wanted = merge_versions(shared, &stored);
    let Some(wanted) = wanted else {
        return true;
    };
    let Some(value) = encode(&wanted) else {
        return true;
    };
    let modified = entry.map(|entry| entry.modified);
    let op = StoreOp::Cas {
        key: SOFTWARE_VERSIONS_KEY.to_owned(),
        expected: modified.map_or(Expected::Absent, Expected::At),
        value,
        lease: None,
        guard: None,
    };
    let is_written = matches!(store.perform(op).await, StoreReply::Written { .. });
    if is_written {
        decision!(
            shared,
            DecisionKind::SoftwareVersions,
            versions:? = wanted.services(),
            routes = wanted.route_count()
        );
        if shared.streams().versions.set_named(wanted) {
            shared.versions_named.notify_one();
        }
    }
    is_written
}

/// Merges the stored versions into those of this vm. Returns what the store should have instead.
fn merge_versions(shared: &Shared, stored: &StoredVersions) -> Option<StoredVersions> {
    let mut streams = shared.streams();
    let before = streams.versions.to_record();
    let wanted = streams.versions.merge(stored, shared.now());
    if before != streams.versions.to_record() {
        shared.versions_named.notify_one();
    }
    wanted
}

/// Reads the versions, and the streams of all vms if they may have begun at different ones. Returns
/// `None` if the store does not reply.
pub(crate) async fn read_knowledge(
    shared: &Shared,
    store: &impl StoreApi,
) -> Option<StoredKnowledge> {
    let (_, mut versions) = read_versions(store).await?;
    // The store may not have the versions yet that this vm sees.
    if merge_versions(shared, &versions).is_some() {
        update_versions(shared, store).await;
        versions = read_versions(store).await?.1;
        merge_versions(shared, &versions);
    }
    let vms = match versions.is_any_mixed() {
        true => read_streams(store).await?,
        false => Vec::new(),
    };
    Some(StoredKnowledge {
        versions,
        vms,
        has_current_settings: false,
    })
}

/// The stored versions with their entry, or `None` if the store does not reply.
async fn read_versions(store: &impl StoreApi) -> Option<(Option<Entry>, StoredVersions)> {
    let key = SOFTWARE_VERSIONS_KEY.to_owned();
    let StoreReply::Value { entry, .. } = store.perform(StoreOp::Get { key }).await else {
        return None;
    };
    let stored = entry.as_ref().and_then(decode).unwrap_or_default();
    Some((entry, stored))
}

/// Reads the streams of all vms, with their keys. Returns `None` if the store does not reply.
async fn read_streams(store: &impl StoreApi) -> Option<Vec<(String, StoredStreams)>> {
    let prefix = STREAMS_PREFIX.to_owned();
    let StoreReply::Values { entries, .. } = store.perform(StoreOp::List { prefix }).await else {
        return None;
    };
    let vms = entries.into_iter().map(|entry| {
        // A vm whose streams are unreadable may have used any version.
        let streams = decode(&entry).unwrap_or_default();
        (entry.key, streams)
    });
    Some(vms.collect())
}

/// Key of this vm's streams.
pub(crate) fn streams_key(shared: &Shared) -> String {
    let (name, incarnation) = (&shared.config.vm_name, shared.incarnation);
    format!("{STREAMS_PREFIX}{name}-{incarnation}")
}

/// The key of this vm's streams.
#[derive(Debug, Default)]
struct StreamsKey {
    lease: Option<Lease>,
    modified: Option<Revision>,
    streams: StoredStreams,
}

#[derive(Clone, Copy, Debug)]
struct Lease {
    id: LeaseId,
    renewed_at: Duration,
}

/// Writes the streams that other vms have to know until the process ends. Their key outlives the vm
/// for as long as a stream may be taken up.
pub(crate) async fn maintain_streams(shared: &Shared, store: &impl StoreApi) {
    let mut key = StreamsKey::default();
    let mut pause = RETRY_INITIAL;
    loop {
        let vms = u32::try_from(shared.vms()).unwrap_or(u32::MAX);
        let interval = STREAMS_INTERVAL.max(STREAMS_INTERVAL_PER_VM.saturating_mul(vms));
        let named = timeout(interval, shared.versions_named.notified()).await;
        if named.is_ok() {
            sleep(RECORD_DELAY_PER_VM.saturating_mul(rank_of_vm(shared))).await;
        }
        match key.update(shared, store).await {
            true => pause = RETRY_INITIAL,
            false => {
                sleep(pause).await;
                pause = (pause * 2).min(RETRY_MAX);
            }
        }
    }
}

impl StreamsKey {
    /// Writes the streams if they have changed. Returns whether the store has them.
    async fn update(&mut self, shared: &Shared, store: &impl StoreApi) -> bool {
        let (streams, lifetime) = {
            let now = shared.now();
            let mut streams = shared.streams();
            streams.origins.evict_ended(now);
            let stored = streams.origins.to_store(&streams.versions, now);
            (stored, streams.versions.stream_lifetime())
        };
        if streams.is_empty() && self.streams.is_empty() {
            // The lease ends, and with it the key.
            return true;
        }
        if !self.keep_lease(shared, store, lifetime).await {
            if self.lease.is_none() {
                shared.streams().versions.set_recorded(UsedVersions::new());
            }
            return false;
        }
        if streams == self.streams {
            return true;
        }
        let (Some(lease), Some(value)) = (self.lease, encode(&streams)) else {
            return true;
        };
        let op = StoreOp::Cas {
            key: streams_key(shared),
            expected: self.modified.map_or(Expected::Absent, Expected::At),
            value,
            lease: Some(lease.id),
            guard: None,
        };
        match store.perform(op).await {
            StoreReply::Written { revision } => {
                self.modified = Some(revision);
                let recorded = streams.all_used();
                shared.streams().versions.set_recorded(recorded);
                self.streams = streams;
                true
            }
            // An earlier write without a reply took effect, or the store was restored.
            StoreReply::Conflict { current, .. } => {
                self.modified = current.map(|entry| entry.modified);
                self.streams = StoredStreams::default();
                shared.streams().versions.set_recorded(UsedVersions::new());
                false
            }
            StoreReply::Expired => {
                *self = Self::default();
                shared.streams().versions.set_recorded(UsedVersions::new());
                false
            }
            _ => false,
        }
    }

    /// Grants or renews the lease of the key. Returns whether it is held.
    async fn keep_lease(
        &mut self,
        shared: &Shared,
        store: &impl StoreApi,
        lifetime: Duration,
    ) -> bool {
        let now = shared.now();
        let Some(lease) = &mut self.lease else {
            let grant = StoreOp::GrantLease { ttl: lifetime };
            let StoreReply::Granted { lease, .. } = store.perform(grant).await else {
                return false;
            };
            self.lease = Some(Lease {
                id: lease,
                renewed_at: now,
            });
            return true;
        };
        if now.saturating_sub(lease.renewed_at) < lifetime.mul_f64(RENEWAL_SHARE) {
            return true;
        }
        match store.perform(StoreOp::KeepAlive { lease: lease.id }).await {
            StoreReply::Alive { .. } => {
                lease.renewed_at = now;
                true
            }
            StoreReply::Expired => {
                *self = Self::default();
                false
            }
            _ => false,
        }
    }
}

fn encode(value: &impl serde::Serialize) -> Option<Vec<u8>> {
    rmp_serde::to_vec_named(value)
        .inspect_err(|error| log::error!("streams: value cannot be encoded for the store: {error}"))
        .ok()
}

fn decode<T: DeserializeOwned>(entry: &Entry) -> Option<T> {
    rmp_serde::from_slice(&entry.value)
        .inspect_err(|error| log::warn!("streams: {} is unreadable: {error}", entry.key))
        .ok()
}
