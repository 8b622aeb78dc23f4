//! What identifies a request among others, so that crashes count against the requests that cause
//! them. See `docs/incidents/request-identity.md`.
//!
//! A count is cleared by a complete answer. If its key is too coarse, sound requests clear the count
//! of one that crashes targets, or are refused with it. If it is too fine, a request that changes with
//! each repetition is never refused. So crashes count against the request as a whole and, as far as
//! that does not explain them, against what it has in common with others.

use smallvec::SmallVec;

use crate::gateway::{PartFingerprints, PromptPart, shared_parts};
use crate::quarantine::Fingerprint;

/// The fields of a request that determine what a target runs. Others change when a caller repeats
/// the request: the id of its attempt, its deadline, and the event after which a stream resumes.
#[derive(Clone, Copy, Debug)]
pub struct IdentifyingFields<'a> {
    /// Method.
    pub method: &'a str,
    /// Path without the query.
    pub path: &'a str,
    /// Query, if there is one.
    pub query: Option<&'a str>,
    /// Tenant, on whose data the target works.
    pub tenant: Option<&'a str>,
    /// Model that runs the request.
    pub model: Option<&'a str>,
    /// Parts of the prompt.
    pub prompt_parts: &'a [PromptPart],
    /// Body.
    pub body: &'a [u8],
}

/// Identity of a request and of what other requests may have in common with it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestIdentity {
    request: Fingerprint,
    /// Shared parts of the prompt, and then the resource if the request is not the only one for it.
    common: PartFingerprints,
    /// Ids of the shared parts.
    part_ids: SmallVec<[u64; 4]>,
}

impl RequestIdentity {
    /// Identifies a request.
    pub fn new(fields: &IdentifyingFields<'_>) -> Self {
        let body = Fingerprint::of_fields(&[fields.body]);
        let path = fields.path.as_bytes();
        let tenant = fields.tenant.unwrap_or_default().as_bytes();
        let resource = Fingerprint::of_fields(&[path, tenant, &body.0]);
        let model = fields.model.unwrap_or_default();
        let ids = fields.prompt_parts.iter().map(|part| part.id.to_be_bytes());
        let ids: Vec<u8> = ids.flatten().collect();
        let has_query = [u8::from(fields.query.is_some())];
        let request = Fingerprint::of_fields(&[
            fields.method.as_bytes(),
            &resource.0,
            &has_query,
            fields.query.unwrap_or_default().as_bytes(),
            model.as_bytes(),
            &ids,
        ]);
        let shared = shared_parts(fields.prompt_parts).iter();
        let part_ids: SmallVec<_> = shared.map(|part| part.id).collect();
        let mut common: PartFingerprints = part_ids
            .iter()
            .map(|id| Fingerprint::of_prompt_part(model, *id))
            .collect();
        if fields.query.is_some() || !fields.prompt_parts.is_empty() {
            common.push(resource);
        }
        Self {
            request,
            common,
            part_ids,
        }
    }

    /// The request, which is the same when its caller repeats it.
    pub fn request(&self) -> Fingerprint {
        self.request
    }

    /// What other requests may have in common with it: parts of the prompt, and the resource, which is
    /// the path, the tenant and the body.
    pub fn common(&self) -> &[Fingerprint] {
        &self.common
    }

    /// What other requests may have in common with it, with names for the log: the ids of the prompt
    /// parts, or `resource`.
    pub fn named_common(&self) -> impl Iterator<Item = (String, Fingerprint)> {
        let ids = self.part_ids.iter().map(|id| format!("{id:x}"));
        let names = ids.chain(std::iter::once("resource".to_owned()));
        names.zip(self.common.iter().copied())
    }

    /// The common parts against which a crash counts. That of a request which has crashed targets
    /// before does not count against its resource, because it explains the crash itself.
    pub fn blamed(&self, has_crashed_before: bool) -> &[Fingerprint] {
        match has_crashed_before {
            true => &self.common[..self.part_ids.len()],
            false => &self.common,
        }
    }
}
