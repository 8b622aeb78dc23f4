//! Prompts that are computed by a separate prefill engine.

use std::rc::Rc;

use http_body_util::{BodyExt, Limited};
use jujubebeam_core::gateway::{AttemptEnd, HandOver, caller_idle_timeout, prompt_timeout};
use tokio::time::timeout;

use crate::adapters::{Adapters, Wire, Work};
use crate::attempt;
use crate::hand_over::ReportedHandOver;
use crate::in_flight::InFlight;
use crate::job::Job;
use crate::request_log::{record_computed_prompt, record_failed_attempt};
use crate::server::Context;

/// Longest answer that names a computed prompt.
const MAX_ANSWER_BYTES: usize = 64 * 1024;

/// State of a request's prompt.
#[derive(Debug)]
pub(crate) enum Prompt {
    /// No engine has computed it.
    NotComputed,
    /// An engine keeps it for a decode engine.
    Computed(ComputedPrompt),
    /// A decode engine received its handle. It is not computed again, because that and the answer
    /// would be two more requests to targets.
    Consumed,
}

/// A prompt that an engine keeps.
#[derive(Debug)]
pub(crate) struct ComputedPrompt {
    address: String,
    handle: String,
    hand_over: Rc<ReportedHandOver>,
}

impl Prompt {
    /// Whether a prefill engine may still compute it.
    pub(crate) fn may_be_computed(&self) -> bool {
        matches!(self, Self::NotComputed)
    }

    /// The part of the work for the next target.
    pub(crate) fn work(&self) -> Work<'_> {
        match self {
            Self::Computed(computed) => Work::Decode {
                address: &computed.address,
                handle: &computed.handle,
            },
            Self::NotComputed | Self::Consumed => Work::Full,
        }
    }

    /// The hand-over for the next target.
    pub(crate) fn hand_over(&self) -> Option<HandOver> {
        self.reported_hand_over().map(|h| h.hand_over())
    }

    pub(crate) fn reported_hand_over(&self) -> Option<Rc<ReportedHandOver>> {
        match self {
            Self::Computed(computed) => Some(computed.hand_over.clone()),
            Self::NotComputed | Self::Consumed => None,
        }
    }

    /// Records that a target received the prompt's handle, which can be used once.
    pub(crate) fn consume(&mut self) {
        if matches!(self, Self::Computed(_)) {
            *self = Self::Consumed;
        }
    }
}

/// Computes the prompt at an engine.
///
/// # Errors
///
/// Returns how the call ended if the prompt was not computed.
pub(crate) async fn compute<A: Adapters>(
    context: &Context<A>,
    job: &Job,
    in_flight: InFlight,
) -> Result<Prompt, AttemptEnd> {
    let key = in_flight.placement.key;
    let target = in_flight.placement.target.id.clone();
    let failed = |end, reason: &str| {
        record_failed_attempt(&context.shared, job, &target, end, reason);
        Err(end)
    };
    let placed_by = in_flight.placed_by();
    let copied_from = {
        let fleet = context.shared.fleet();
        let source = in_flight.placement.copied_from;
        source.and_then(|key| Some(fleet.catalog.get(key)?.address.clone()))
    };
    let work = Work::Prefill {
        copied_from: copied_from.as_deref(),
    };
    let exchange = async {
        let sent = attempt::send(context, job, &in_flight, work).await;
        let (response, connection) = sent?;
        let status = response.status();
        let body = Limited::new(response.into_body(), MAX_ANSWER_BYTES);
        match body.collect().await {
            Ok(body) => {
                in_flight.settle();
                Ok((status, body.to_bytes(), connection))
            }
            Err(error) => Err((AttemptEnd::Broken, error.to_string())),
        }
    };
    let limits = context.shared.config.pause_limits();
    let gap = caller_idle_timeout(job.route(), limits);
    let max_wait = prompt_timeout(in_flight.placement.predicted_ms, gap);
    let (status, body, connection) = match timeout(max_wait, exchange).await {
        Ok(Ok(answer)) => answer,
        Ok(Err((end, reason))) => return failed(end, &reason),
        Err(_) => {
            in_flight.failed();
            context.pool.close_idle(key);
            return failed(AttemptEnd::Broken, "prompt: no answer in the expected time");
        }
    };
    context.pool.release(key, connection);
    if !status.is_success() {
        return failed(AttemptEnd::Broken, &format!("prompt: status {status}"));
    }
    match A::Wire::prompt_handle(&body) {
        Some(handle) => {
            let shared = &context.shared;
            record_computed_prompt(shared, job, &in_flight.placement);
            let hand_over = ReportedHandOver::new(shared, job, &in_flight, placed_by);
            Ok(Prompt::Computed(ComputedPrompt {
                address: in_flight.placement.target.address.clone(),
                handle,
                hand_over: Rc::new(hand_over),
            }))
        }
        None => failed(AttemptEnd::Broken, "prompt: answer without a handle"),
    }
}
