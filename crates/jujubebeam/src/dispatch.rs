//! Admits a request to its route and chooses a target for it.

use jujubebeam_caller::{CallerError, ErrorKind};
use jujubebeam_core::settings::{RouteSpec, Snapshot, TargetSpec, WorkspaceSpec};
use jujubebeam_core::targets::TargetState;
use jujubebeam_core::{RequestId, TargetId};
use smallvec::SmallVec;
use std::time::Duration;

use crate::context::Context;

/// What is known about a request when it asks for a target.
#[derive(Clone, Debug)]
pub(crate) struct Ask<'a> {
    /// The request.
    pub(crate) request: RequestId,
    /// Route of the request.
    pub(crate) route: &'a RouteSpec,
    /// Workspace of the caller, or `None` on an open route without a key.
    pub(crate) workspace: Option<&'a WorkspaceSpec>,
    /// Model of the request; empty for plain services.
    pub(crate) model: &'a str,
    /// Estimated length of the prompt.
    pub(crate) prompt_tokens: u64,
    /// Limit of generated tokens that the caller set.
    pub(crate) max_tokens: Option<u32>,
    /// Chained hashes of the prompt's pieces, for finding cached prefixes.
    pub(crate) prefix_hashes: &'a [u64],
    /// Whether the request may be sent again after a failure.
    pub(crate) repeatable: bool,
    /// Time in which the first token must arrive.
    pub(crate) deadline: Duration,
    /// Targets that must not be chosen, because an earlier attempt failed there.
    pub(crate) excluded: SmallVec<[TargetId; 4]>,
    /// Whether the request must not share a target with another suspect, see `docs/design.md`,
    /// section 5.7.
    pub(crate) suspect: bool,
}

/// Permission to run one attempt at a target. Dropping it tells the scheduler that the attempt
/// ended.
#[derive(Debug)]
pub(crate) struct Permit {
    /// Target to use.
    pub(crate) target: TargetSpec,
}

impl Permit {
    /// Reports the first token, so that the scheduler learns how long prefill took.
    pub(crate) fn first_token(&mut self) {}

    /// Reports generated tokens.
    pub(crate) fn generated(&mut self, _tokens: u64) {}

    /// Reports the end of the attempt with the real token counts.
    pub(crate) fn finish(self, _prompt_tokens: u64, _output_tokens: u64) {}
}

/// Waits until the request may run and returns its target, or the final refusal.
pub(crate) async fn acquire(
    context: &Context,
    snapshot: &Snapshot,
    ask: &Ask<'_>,
) -> Result<Permit, CallerError> {
    let group = &snapshot.groups[ask.route.group];
    let target = group
        .targets
        .iter()
        .filter(|id| !ask.excluded.contains(id))
        .filter_map(|id| snapshot.targets.get(id))
        .filter(|t| !t.leaving)
        .filter_map(|t| Some((t, context.shared.load(t.id)?)))
        .filter(|(_, load)| load.state == TargetState::Serving)
        .min_by_key(|(_, load)| load.running_requests + load.waiting_requests);
    let Some((target, _)) = target else {
        return Err(CallerError::not_run(
            ErrorKind::NoTarget,
            "no target can take the request",
            "send the request again later",
        )
        .retry_after_s(2));
    };
    Ok(Permit {
        target: target.clone(),
    })
}
