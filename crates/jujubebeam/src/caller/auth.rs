//! Checks the caller's key.

use jujubebeam_caller::{CallerError, ErrorKind, headers};
use jujubebeam_core::invariant::{self, Invariant};
use jujubebeam_core::settings::document::{AccessRule, KeyState};
use jujubebeam_core::settings::{KeyHash, RouteSpec, Snapshot, WorkspaceSpec};
use jujubebeam_core::{Clock, WorkspaceId};
use ntex::http::{HeaderMap, header};

use crate::shared::Shared;

/// A stale vm is usually fresh again after one round of anti-entropy.
const STALE_RETRY_S: u32 = 1;

/// Returns the workspace of the request, or `None` on an open route without a key.
///
/// Keyed requests are refused while the vm cannot prove that its settings are fresh, as a key may
/// have been withdrawn since.
pub(crate) fn authorize<'a>(
    shared: &Shared,
    snapshot: &'a Snapshot,
    route: &RouteSpec,
    headers: &HeaderMap,
) -> Result<Option<&'a WorkspaceSpec>, CallerError> {
    if presented_key(headers).is_none() && route.settings.access == AccessRule::Open {
        return Ok(None);
    }
    let workspace = workspace(shared, snapshot, headers)?;
    if !workspace.may_use_route(route.id) {
        return Err(CallerError::not_run(
            ErrorKind::NotAllowed,
            format!("the workspace may not use route {:?}", route.settings.name),
            "ask the operator of the workspace to add the route",
        ));
    }
    Ok(Some(workspace))
}

/// Returns the workspace whose key came with a request.
pub(crate) fn workspace<'a>(
    shared: &Shared,
    snapshot: &'a Snapshot,
    headers: &HeaderMap,
) -> Result<&'a WorkspaceSpec, CallerError> {
    let key = presented_key(headers).ok_or_else(|| {
        CallerError::not_run(
            ErrorKind::UnknownKey,
            "no key was sent",
            "send `Authorization: Bearer KEY`",
        )
    })?;
    if !shared.settings.permit().may_start(shared.clock.now()) {
        return Err(stale());
    }
    let hash = KeyHash::of_key(key);
    let workspace = workspace_for_key(snapshot, hash)?;
    let grant = snapshot.keys.get(&hash);
    let bound = grant.is_some_and(|g| g.workspace == workspace.id && g.state == KeyState::Active);
    if !invariant::check(Invariant::KeyBoundToWorkspace, bound, || {
        format!("{hash:?} admitted for {}", workspace.name)
    }) {
        return Err(unknown_key());
    }
    Ok(workspace)
}

/// A key under which a request runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct KeyInUse {
    hash: KeyHash,
    workspace: WorkspaceId,
}

/// The key of an admitted request, for [`still_valid`]. `None` on an open route without a key.
pub(crate) fn key_in_use(
    headers: &HeaderMap,
    workspace: Option<&WorkspaceSpec>,
) -> Option<KeyInUse> {
    Some(KeyInUse {
        hash: KeyHash::of_key(presented_key(headers)?),
        workspace: workspace?.id,
    })
}

/// Checks whether a running stream may go on. Call it every 500 ms; on an error, end
/// the stream with it.
pub(crate) fn still_valid(shared: &Shared, key: KeyInUse) -> Result<(), CallerError> {
    if !shared.settings.permit().may_continue(shared.clock.now()) {
        return Err(CallerError {
            not_run: false,
            ..stale()
        });
    }
    let snapshot = shared.snapshot();
    let grant = snapshot.as_ref().and_then(|s| s.keys.get(&key.hash));
    match grant {
        Some(grant) if grant.state == KeyState::Active && grant.workspace == key.workspace => {
            Ok(())
        }
        _ => Err(CallerError::may_have_run(
            ErrorKind::KeyWithdrawn,
            "the key was withdrawn while the answer was being sent",
            "use the key that replaces it",
        )),
    }
}

fn stale() -> CallerError {
    CallerError::not_run(
        ErrorKind::SettingsStale,
        "this vm cannot prove that its settings are fresh",
        "use another address",
    )
    .retry_after_s(STALE_RETRY_S)
}

fn unknown_key() -> CallerError {
    CallerError::not_run(
        ErrorKind::UnknownKey,
        "the key is not known",
        "check the key, or ask the operator of the workspace for one",
    )
}

fn presented_key(headers: &HeaderMap) -> Option<&str> {
    if let Some(value) = headers.get(header::AUTHORIZATION) {
        let text = value.to_str().ok()?;
        return text.strip_prefix("Bearer ").map(str::trim);
    }
    headers.get(headers::API_KEY)?.to_str().ok()
}

fn workspace_for_key(snapshot: &Snapshot, hash: KeyHash) -> Result<&WorkspaceSpec, CallerError> {
    let grant = snapshot.keys.get(&hash).ok_or_else(unknown_key)?;
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
        .ok_or_else(unknown_key)
}
