//! The identity of requests that crash targets: what distinguishes two requests, and what they have in
//! common.

use jujubebeam_core::gateway::{IdentifyingFields, PromptPart, RequestIdentity};
use proptest::prelude::*;

/// Fields of a request.
#[derive(Clone, Debug, PartialEq)]
struct Fields {
    method: String,
    path: String,
    query: Option<String>,
    tenant: Option<String>,
    model: Option<String>,
    parts: Vec<u64>,
    body: Vec<u8>,
}

impl Fields {
    fn identity(&self) -> RequestIdentity {
        let parts = self
            .parts
            .iter()
            .map(|id| PromptPart { id: *id, tokens: 1 });
        RequestIdentity::new(&IdentifyingFields {
            method: &self.method,
            path: &self.path,
            query: self.query.as_deref(),
            tenant: self.tenant.as_deref(),
            model: self.model.as_deref(),
            prompt_parts: &parts.collect::<Vec<_>>(),
            body: &self.body,
        })
    }

    /// Equal names with and without a tenant or a model are the same request.
    fn normalized(&self) -> Self {
        Self {
            tenant: Some(self.tenant.clone().unwrap_or_default()),
            model: Some(self.model.clone().unwrap_or_default()),
            ..self.clone()
        }
    }
}

prop_compose! {
    // Few values of each field, so that pairs often differ in one field only, or at a boundary.
    fn fields()(
        method in "GET|POST|GETP",
        path in "/a?|/a/b",
        query in proptest::option::of("b?|%62"),
        tenant in proptest::option::of("t?|tm"),
        model in proptest::option::of("m?"),
        parts in proptest::collection::vec(0_u64..3, 0..4),
        body in proptest::collection::vec(0_u8..2, 0..3),
    ) -> Fields {
        Fields { method, path, query, tenant, model, parts, body }
    }
}

proptest! {
    /// Guards against a sound request that clears the count of another one, or is refused with it.
    #[test]
    fn requests_are_the_same_only_if_all_fields_are(first in fields(), second in fields()) {
        let (one, other) = (first.identity(), second.identity());
        let is_same = first.normalized() == second.normalized();
        prop_assert_eq!(one.request() == other.request(), is_same);
    }

    /// Guards against a request that is never refused because its query or prompt changes with each
    /// repetition: its crashes count against what the repetitions have in common.
    #[test]
    fn repetitions_with_another_query_have_the_resource_in_common(
        first in fields(),
        second in fields(),
    ) {
        let repeated = Fields {
            query: second.query.clone(),
            parts: second.parts.clone(),
            ..first.clone()
        };
        let (one, other) = (first.identity(), repeated.identity());
        if let (Some(one), Some(other)) = (one.blamed(false).last(), other.blamed(false).last()) {
            prop_assert_eq!(one, other);
        }
    }
}

/// Guards against sound requests for a resource that are refused, because one request for it crashed
/// several targets.
#[test]
fn only_the_first_crash_of_a_request_counts_against_its_resource() {
    let request = Fields {
        method: "GET".into(),
        path: "/a".into(),
        query: Some("b".into()),
        tenant: None,
        model: None,
        parts: Vec::new(),
        body: Vec::new(),
    };
    let identity = request.identity();
    assert_eq!(identity.blamed(false).len(), 1);
    assert!(identity.blamed(true).is_empty());
}
