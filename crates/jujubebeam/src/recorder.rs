//! Records what callers used.

use jujubebeam_core::WorkspaceId;
use jujubebeam_core::usage::{Counts, MeterEvent};
use ntex::time::{Millis, timeout};

use crate::context::Context;
use crate::control::usage::Meter;
use crate::part::feed;

/// Longest delay of an answer's last chunk. A vm without reachable peers serves on.
const COPY_LIMIT: Millis = Millis(20);

/// What one answer used.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Used {
    /// Whole answers.
    pub(crate) requests: u64,
    /// Tokens of the prompt.
    pub(crate) prompt_tokens: u64,
    /// Generated tokens.
    pub(crate) output_tokens: u64,
}

/// Counts usage and waits until another vm has a copy, at most 20 ms. Call it before the last
/// chunk of an answer is sent. See `docs/design.md`, section 5.4.
pub(crate) async fn record(context: &Context, workspace: WorkspaceId, used: Used) {
    let ticket = context.shared.next_serial();
    let copied = context.shared.wait_for_usage_copy(ticket);
    let event = MeterEvent::Record {
        ticket,
        workspace,
        counts: Counts {
            requests: used.requests,
            prompt_tokens: used.prompt_tokens,
            output_tokens: used.output_tokens,
        },
    };
    feed::<Meter>(context, event);
    // A fleet of one vm has nobody who could keep a copy.
    if context.shared.vms().vms.len() < 2 {
        return context.shared.usage_copied(ticket);
    }
    if timeout(COPY_LIMIT, copied).await.is_err() {
        context.shared.usage_copied(ticket);
        log::debug!("usage: no copy within {} ms", COPY_LIMIT.0);
    }
}
