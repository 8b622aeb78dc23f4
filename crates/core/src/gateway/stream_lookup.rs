//! Which version began a stream that a caller takes up, from what the store and the other vms say.
//!
//! A belief of this vm alone decides nothing: it may have been cut off or stopped while other vms began
//! streams at a version that it has not seen. See `docs/incidents/out-of-step-vm.md`.

use serde::{Deserialize, Serialize};
use strum::IntoStaticStr;

use super::software_versions::StoredVersions;
use super::stream_origins::{StoredStreams, StreamOrigin};

/// What the store has of streams and versions, read after a request arrived.
#[derive(Clone, Debug, Default)]
pub struct StoredKnowledge {
    /// Versions of the services.
    pub versions: StoredVersions,
    /// Streams of the vms, with their keys, if a service has several versions or a route several
    /// assignments.
    pub vms: Vec<(String, StoredStreams)>,
    /// Whether the settings of this vm were confirmed since the request arrived. Otherwise other vms may have
    /// begun streams at services that it does not know.
    pub has_current_settings: bool,
}

/// A stream whose origin is looked up, and that this vm has not forwarded.
#[derive(Clone, Copy, Debug)]
pub struct StreamQuery<'a> {
    /// Its service, unless the assignment of its route has changed recently.
    pub service: &'a str,
    /// Name of its route in the store.
    pub route: &'a str,
    /// Whether the assignment of the route has changed recently, as far as this vm knows.
    pub is_route_mixed: bool,
    /// The attempt that began it, if the caller names it and it is recorded.
    pub id: Option<&'a str>,
    /// Key of the streams of the vm that looks it up, if that has forgotten none.
    pub own_key: Option<&'a str>,
    /// Whether all vms record the versions that they use. Otherwise nothing follows from the lack of a
    /// record.
    pub all_vms_record: bool,
}

/// What another vm says of streams. Their ids were sent after the requests had arrived.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamReply {
    /// Key of the streams of the vm's run in the store, or `None` if it may have forgotten some.
    pub key: Option<String>,
    /// The streams of which the vm has forwarded a part.
    pub origins: Vec<(String, StreamOrigin)>,
    /// Versions that may have begun a stream that still goes on.
    pub versions: StoredVersions,
}

/// Replies of the other vms.
#[derive(Clone, Debug, Default)]
pub struct StreamReplies {
    /// The replies.
    pub replies: Vec<StreamReply>,
    /// Number of vms that did not reply.
    pub missing: usize,
}

/// How the version that began a stream is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum OriginSource {
    /// This vm has forwarded a part of the stream.
    OwnStream,
    /// The store has the stream.
    Store,
    /// Another vm has forwarded a part of the stream.
    Vm,
    /// No vm can have begun a stream of the service at another version.
    OnlyVersion,
}

/// Why it is not known which version began a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum OriginUnknown {
    /// No vm that can be asked has recorded the stream.
    NotRecorded,
    /// A vm that does not reply may have begun it.
    VmSilent,
    /// The store does not reply, and the other vms do not know.
    StoreUnreadable,
}

impl StreamReplies {
    /// Where a stream began, if a vm knows.
    pub fn origin(&self, id: &str) -> Option<&StreamOrigin> {
        let mut origins = self.replies.iter().flat_map(|reply| &reply.origins);
        let origin = origins.find(|(known, _)| known == id);
        origin.map(|(_, origin)| origin)
    }

    /// Origin of all streams of a service if `version` is the only one that any vm knows, and all vms
    /// have replied. A vm that gets no reply may itself be the one that is out of step.
    pub fn confirm_only_version(&self, service: &str, version: &str) -> Option<StreamOrigin> {
        if !self.is_complete() {
            return None;
        }
        let replies = self.replies.iter();
        let mut known = replies.flat_map(|reply| reply.versions.of(service));
        known
            .all(|known| known == version)
            .then(|| origin(service, version))
    }

    /// Whether there are other vms, and all of them have replied.
    fn is_complete(&self) -> bool {
        self.missing == 0 && !self.replies.is_empty()
    }

    /// Whether another vm knows that the assignment of a route has changed recently.
    pub fn is_route_mixed(&self, route: &str) -> bool {
        let mut replies = self.replies.iter();
        replies.any(|reply| reply.versions.is_route_mixed(route))
    }

    fn has_replied(&self, key: &str) -> bool {
        self.replies
            .iter()
            .any(|reply| reply.key.as_deref() == Some(key))
    }
}

impl StoredKnowledge {
    /// Where a stream began. Without `replies`, all other vms may have begun streams that the store does
    /// not have.
    ///
    /// # Errors
    ///
    /// Returns why that is not known.
    pub fn origin(
        &self,
        query: &StreamQuery<'_>,
        replies: &StreamReplies,
    ) -> Result<(StreamOrigin, OriginSource), OriginUnknown> {
        let StreamQuery { service, id, .. } = *query;
        let recorded = id.and_then(|id| self.vms.iter().find_map(|(_, vm)| vm.origin(id)));
        if let Some(origin) = recorded {
            return Ok((origin.clone(), OriginSource::Store));
        }
        if let Some(origin) = id.and_then(|id| replies.origin(id)) {
            return Ok((origin.clone(), OriginSource::Vm));
        }
        let unknown = match replies.missing > 0 {
            true => OriginUnknown::VmSilent,
            false => OriginUnknown::NotRecorded,
        };
        if query.is_route_mixed || replies.is_route_mixed(query.route) {
            return Err(unknown);
        }
        if !self.has_current_settings && !replies.is_complete() {
            return Err(OriginUnknown::StoreUnreadable);
        }
        let versions = self.versions.of(service);
        if let [version] = versions {
            return Ok((origin(service, version), OriginSource::OnlyVersion));
        }
        // A vm without a record has used the base alone. One that does not know the stream has not
        // begun it, if the caller names the stream.
        let base = self.versions.base(service);
        let base = base.filter(|_| query.all_vms_record);
        let others = self.vms.iter().filter(|(key, _)| {
            let denies = query.own_key == Some(key) || replies.has_replied(key);
            id.is_none() || !denies
        });
        let used = others.flat_map(|(_, vm)| vm.used(service).unwrap_or(versions));
        let mut possible = used.map(String::as_str).chain(base);
        let first = possible.next().filter(|_| base.is_some()).ok_or(unknown)?;
        match possible.all(|other| other == first) {
            true => Ok((origin(service, first), OriginSource::OnlyVersion)),
            false => Err(unknown),
        }
    }
}

fn origin(service: &str, version: &str) -> StreamOrigin {
    StreamOrigin {
        service: service.to_owned(),
        // Targets without a version have an empty one in the store.
        version: (!version.is_empty()).then(|| version.to_owned()),
    }
}
