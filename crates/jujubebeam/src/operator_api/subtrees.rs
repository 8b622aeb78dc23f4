//! Reads and changes subtrees.

use jujubebeam_core::Revision;
use jujubebeam_core::settings::replica::{self, ChangeOutcome};
use jujubebeam_core::store::Expected;
use jujubebeam_operator::Finding;
use jujubebeam_operator::api::{ChangeAccepted, ChangeRefused, ChangeRequest, Subtree};
use ntex::util::Bytes;
use ntex::web::{HttpRequest, HttpResponse};

use super::{authorize, check, refuse};
use crate::caller::ContextState;
use crate::context::Context;
use crate::control::settings;

/// Handles `GET /operator/v1/subtrees/{name}`.
pub(super) async fn read(context: ContextState, request: HttpRequest) -> HttpResponse {
    if let Err(response) = authorize(&context, request.headers()) {
        return response;
    }
    let name = request.match_info().get("name").unwrap_or_default();
    match check::store_key(name) {
        Some(key) => HttpResponse::Ok().json(&present(&context, name, &key)),
        None => unknown_name(),
    }
}

/// Handles `PUT /operator/v1/subtrees/{name}`.
pub(super) async fn change(
    context: ContextState,
    request: HttpRequest,
    body: Bytes,
) -> HttpResponse {
    if let Err(response) = authorize(&context, request.headers()) {
        return response;
    }
    let name = request.match_info().get("name").unwrap_or_default();
    let Some(key) = check::store_key(name) else {
        return unknown_name();
    };
    let change: ChangeRequest = match serde_json::from_slice(&body) {
        Ok(change) => change,
        Err(e) => {
            return refuse(
                HttpResponse::BadRequest(),
                &format!("the body is not a change: {e}"),
                "send `expected` and `text`",
            );
        }
    };
    let faults = faults(&context, &key, &change);
    if !faults.is_empty() {
        return HttpResponse::UnprocessableEntity()
            .json(&ChangeRefused::Invalid { findings: faults });
    }
    let request = replica::ChangeRequest {
        subtree: key.clone(),
        expected: match change.expected {
            Revision(0) => Expected::Absent,
            revision => Expected::At(revision),
        },
        text: change.text,
    };
    let outcome = settings::change(&context, request).await;
    answer(&context, name, &key, outcome)
}

fn faults(context: &Context, key: &str, change: &ChangeRequest) -> Vec<Finding> {
    let Some(text) = &change.text else {
        return Vec::new();
    };
    check::findings(&context.shared.settings.machine(), key, text)
}

fn answer(context: &Context, name: &str, key: &str, outcome: ChangeOutcome) -> HttpResponse {
    match outcome {
        ChangeOutcome::Accepted { revision } => accepted(name, revision, true),
        ChangeOutcome::Unconfirmed { revision } => accepted(name, revision, false),
        ChangeOutcome::Conflict { present: revision } => {
            let mut current = present(context, name, key);
            current.revision = revision.unwrap_or_default();
            HttpResponse::Conflict().json(&ChangeRefused::Conflict {
                current,
                remedy: "read the subtree again and repeat the change".into(),
            })
        }
        ChangeOutcome::NotReachable => refuse(
            HttpResponse::ServiceUnavailable(),
            "this vm reaches the store or a majority of the vms not at all",
            "try another vm, or wait until the store is back",
        ),
        ChangeOutcome::Unknown => HttpResponse::GatewayTimeout().json(&ChangeRefused::Unknown {
            remedy: "read the subtree before repeating the change".into(),
        }),
    }
}

fn accepted(name: &str, revision: Revision, confirmed: bool) -> HttpResponse {
    log::info!("settings: {name} changed to revision {revision}");
    HttpResponse::Ok().json(&ChangeAccepted {
        name: name.into(),
        revision,
        confirmed,
    })
}

fn present(context: &Context, name: &str, key: &str) -> Subtree {
    let subtree = context.shared.settings.machine().subtree(key);
    let (revision, text) = match subtree {
        Some(subtree) => (subtree.revision, subtree.text.unwrap_or_default()),
        None => Default::default(),
    };
    Subtree {
        name: name.into(),
        revision,
        text,
    }
}

fn unknown_name() -> HttpResponse {
    refuse(
        HttpResponse::NotFound(),
        "the subtree's name is not known",
        "use `fleet` or `teams/TEAM`",
    )
}
