//! Prompts that an engine of their own computes.

use http_body_util::{BodyExt, Limited};
use jujubebeam_core::gateway::{AttemptEnd, caller_idle_timeout, prompt_timeout};
use tokio::time::timeout;

use crate::attempt;
use crate::edges::{Edges, Wire, Work};
use crate::in_flight::InFlight;
use crate::job::Job;
use crate::server::Context;
use crate::tell::{tell_attempt, tell_computed};

/// Longest answer that names a computed prompt.
const MAX_ANSWER_BYTES: usize = 64 * 1024;

/// State of a request's prompt.
#[derive(Debug)]
pub(crate) enum Prompt {
    /// No engine has computed it.
    NotComputed,
    /// An engine keeps it for another one.
    Computed(ComputedPrompt),
    /// It was taken. It is not computed again, as that and the answer would be two more arrivals.
    Gone,
}

/// A prompt that an engine keeps.
#[derive(Debug)]
pub(crate) struct ComputedPrompt {
    address: String,
    handle: String,
}

impl Prompt {
    /// Whether an engine of its own may still compute it.
    pub(crate) fn may_be_computed(&self) -> bool {
        matches!(self, Self::NotComputed)
    }

    /// What the next target does.
    pub(crate) fn work(&self) -> Work<'_> {
        match self {
            Self::Computed(computed) => Work::Answer {
                address: &computed.address,
                handle: &computed.handle,
            },
            Self::NotComputed | Self::Gone => Work::Whole,
        }
    }

    /// A target got the prompt; it can be taken once.
    pub(crate) fn used(&mut self) {
        if matches!(self, Self::Computed(_)) {
            *self = Self::Gone;
        }
    }
}

/// Lets an engine compute the prompt.
///
/// # Errors
///
/// Returns how the call ended if the prompt was not computed.
pub(crate) async fn compute<E: Edges>(
    context: &Context<E>,
    job: &Job,
    in_flight: InFlight,
) -> Result<Prompt, AttemptEnd> {
    let key = in_flight.placed.key;
    let target = in_flight.placed.target.id.clone();
    let failed = |end, reason: &str| {
        tell_attempt(&context.shared, job, &target, end, reason);
        Err(end)
    };
    let copied_from = {
        let fleet = context.shared.fleet();
        let source = in_flight.placed.copied_from;
        source.and_then(|key| Some(fleet.catalog.get(key)?.address.clone()))
    };
    let work = Work::Prompt {
        copied_from: copied_from.as_deref(),
    };
    let exchange = async {
        let sent = attempt::send(context, job, &in_flight, work).await;
        let (response, connection) = sent?;
        let status = response.status();
        let body = Limited::new(response.into_body(), MAX_ANSWER_BYTES);
        match body.collect().await {
            Ok(body) => Ok((status, body.to_bytes(), connection)),
            Err(error) => Err((AttemptEnd::Broken, error.to_string())),
        }
    };
    let limits = context.shared.config.pause_limits();
    let gap = caller_idle_timeout(job.route(), limits);
    let patience = prompt_timeout(in_flight.placed.predicted_ms, gap);
    let (status, body, connection) = match timeout(patience, exchange).await {
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
    match E::Wire::prompt_handle(&body) {
        Some(handle) => {
            tell_computed(&context.shared, job, &in_flight.placed);
            Ok(Prompt::Computed(ComputedPrompt {
                address: in_flight.placed.target.address.clone(),
                handle,
            }))
        }
        None => failed(AttemptEnd::Broken, "prompt: answer without a handle"),
    }
}
