//! Checks the caller's key.

use jujubebeam_caller::{CallerError, ErrorKind, headers};
use jujubebeam_core::settings::document::{AccessRule, KeyState};
use jujubebeam_core::settings::{KeyHash, RouteSpec, Snapshot, WorkspaceSpec};
use ntex::http::{HeaderMap, header};

/// Returns the workspace of the request, or `None` on an open route without a key.
pub(crate) fn authorize<'a>(
    snapshot: &'a Snapshot,
    route: &RouteSpec,
    headers: &HeaderMap,
) -> Result<Option<&'a WorkspaceSpec>, CallerError> {
    let Some(key) = presented_key(headers) else {
        if route.settings.access == AccessRule::Open {
            return Ok(None);
        }
        return Err(CallerError::not_run(
            ErrorKind::UnknownKey,
            "no key was sent",
            "send `Authorization: Bearer KEY`",
        ));
    };
    let workspace = workspace_for_key(snapshot, KeyHash::of_key(key))?;
    if !workspace.may_use_route(route.id) {
        return Err(CallerError::not_run(
            ErrorKind::NotAllowed,
            format!("the workspace may not use route {:?}", route.settings.name),
            "ask the operator of the workspace to add the route",
        ));
    }
    Ok(Some(workspace))
}

pub(crate) fn presented_key(headers: &HeaderMap) -> Option<&str> {
    if let Some(value) = headers.get(header::AUTHORIZATION) {
        let text = value.to_str().ok()?;
        return text.strip_prefix("Bearer ").map(str::trim);
    }
    headers.get(headers::API_KEY)?.to_str().ok()
}

pub(crate) fn workspace_for_key(
    snapshot: &Snapshot,
    hash: KeyHash,
) -> Result<&WorkspaceSpec, CallerError> {
    let unknown = || {
        CallerError::not_run(
            ErrorKind::UnknownKey,
            "the key is not known",
            "check the key, or ask the operator of the workspace for one",
        )
    };
    let grant = snapshot.keys.get(&hash).ok_or_else(unknown)?;
    if grant.state == KeyState::Withdrawn {
        return Err(CallerError::not_run(
            ErrorKind::KeyWithdrawn,
            "the key was withdrawn",
            "use the key that replaces it",
        ));
    }
    snapshot
        .workspaces
        .get(&grant.workspace)
        .ok_or_else(unknown)
}
