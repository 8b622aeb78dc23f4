//! Memory of answers that are collected before they are forwarded.
//!
//! Each answer has a limit, but a vm collects many at once. They share a budget, so that a faulty
//! target cannot use up the memory of the vm. See `docs/incidents/endless-answers.md`.

use std::collections::HashMap;
use std::error::Error;
use std::rc::Rc;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};

use bytes::{Buf, Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use jujubebeam_core::gateway::TargetKey;
use ntex::http::body::{Body, BodySize, MessageBody};
use ntex::util::Bytes as NtexBytes;
use strum::Display;
use tokio::sync::Notify;

/// Longest answer that is collected.
const MAX_ANSWER_BYTES: usize = 8 * 1024 * 1024;

/// Memory for the large answers of all targets together. The smallest vms have 120 MB.
const BUDGET_BYTES: usize = 32 * 1024 * 1024;

/// Longest answer that does not count, so that most answers do not depend on the budget.
const SMALL_ANSWER_BYTES: usize = 64 * 1024;

/// Part of a large answer that is copied at once to the connection of the caller.
const FORWARDED_CHUNK_BYTES: usize = 64 * 1024;

/// Why an answer was not collected.
#[derive(Debug, Display)]
pub(crate) enum CollectError {
    #[strum(to_string = "{0}")]
    Broken(hyper::Error),
    #[strum(to_string = "answer is too long")]
    TooLong,
    #[strum(to_string = "large answers of this target use up the memory for answers")]
    OverBudget,
}

/// Memory of the large answers of a vm.
#[derive(Debug, Default)]
pub(crate) struct AnswerBudget(Mutex<Held>);

#[derive(Debug, Default)]
struct Held {
    bytes: usize,
    /// Part of `bytes` that dropped answers will free.
    dropped_bytes: usize,
    next_id: u64,
    answers: HashMap<u64, HeldAnswer>,
}

#[derive(Debug)]
struct HeldAnswer {
    target: TargetKey,
    bytes: usize,
    state: AnswerState,
    dropped: Arc<Notify>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AnswerState {
    Collecting,
    /// Complete, and not forwarded yet.
    Complete,
    Dropped,
}

impl AnswerBudget {
    fn held(&self) -> MutexGuard<'_, Held> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn hold(self: &Arc<Self>, target: TargetKey) -> HeldBytes {
        let dropped = Arc::new(Notify::new());
        let mut held = self.held();
        held.next_id += 1;
        let id = held.next_id;
        let answer = HeldAnswer {
            target,
            bytes: 0,
            state: AnswerState::Collecting,
            dropped: dropped.clone(),
        };
        held.answers.insert(id, answer);
        HeldBytes {
            budget: self.clone(),
            id,
            dropped,
        }
    }
}

impl Held {
    /// Drops large answers until the others are within the budget: of the target that has most, the
    /// largest one.
    fn drop_surplus(&mut self) {
        while self.bytes - self.dropped_bytes > BUDGET_BYTES {
            let collecting = |answer: &&HeldAnswer| answer.state == AnswerState::Collecting;
            let mut by_target = HashMap::<TargetKey, usize>::new();
            for answer in self.answers.values().filter(collecting) {
                *by_target.entry(answer.target).or_default() += answer.bytes;
            }
            let largest = self
                .answers
                .values_mut()
                .filter(|answer| answer.state == AnswerState::Collecting && answer.bytes > 0)
                .max_by_key(|answer| (by_target.get(&answer.target).copied(), answer.bytes));
            // The remainder waits for slow callers.
            let Some(largest) = largest else {
                return;
            };
            largest.state = AnswerState::Dropped;
            self.dropped_bytes += largest.bytes;
            largest.dropped.notify_one();
        }
    }
}

/// Bytes of one answer that count against the budget until they are dropped.
#[derive(Debug)]
struct HeldBytes {
    budget: Arc<AnswerBudget>,
    id: u64,
    dropped: Arc<Notify>,
}

impl HeldBytes {
    /// Sets the size of the answer.
    fn set(&self, bytes: usize) {
        let bytes = bytes.saturating_sub(SMALL_ANSWER_BYTES);
        let mut held = self.budget.held();
        let held = &mut *held;
        let Some(answer) = held.answers.get_mut(&self.id) else {
            return;
        };
        held.bytes = held.bytes - answer.bytes + bytes;
        if answer.state == AnswerState::Dropped {
            held.dropped_bytes = held.dropped_bytes - answer.bytes + bytes;
        }
        answer.bytes = bytes;
        held.drop_surplus();
    }

    /// Records that the answer is complete. Returns false if it was dropped before.
    fn complete(&self) -> bool {
        let mut held = self.budget.held();
        match held.answers.get_mut(&self.id) {
            Some(answer) if answer.state == AnswerState::Collecting => {
                answer.state = AnswerState::Complete;
                true
            }
            _ => false,
        }
    }
}

impl Drop for HeldBytes {
    fn drop(&mut self) {
        let mut held = self.budget.held();
        if let Some(answer) = held.answers.remove(&self.id) {
            held.bytes -= answer.bytes;
            if answer.state == AnswerState::Dropped {
                held.dropped_bytes -= answer.bytes;
            }
        }
    }
}

/// The body of a complete answer.
pub(crate) struct CollectedAnswer {
    bytes: Bytes,
    held: HeldBytes,
}

/// Collects the body of an answer.
///
/// # Errors
///
/// Returns why the body was not collected.
pub(crate) async fn collect(
    budget: &Arc<AnswerBudget>,
    target: TargetKey,
    mut body: Incoming,
) -> Result<CollectedAnswer, CollectError> {
    let held = budget.hold(target);
    let mut bytes = BytesMut::new();
    loop {
        let frame = tokio::select! {
            biased;
            () = held.dropped.notified() => return Err(CollectError::OverBudget),
            frame = body.frame() => frame,
        };
        let Some(frame) = frame else {
            break;
        };
        let frame = frame.map_err(CollectError::Broken)?;
        let Some(data) = frame.data_ref() else {
            continue;
        };
        if bytes.len() + data.len() > MAX_ANSWER_BYTES {
            return Err(CollectError::TooLong);
        }
        bytes.extend_from_slice(data);
        held.set(bytes.capacity());
    }
    if !held.complete() {
        return Err(CollectError::OverBudget);
    }
    let bytes = bytes.freeze();
    Ok(CollectedAnswer { bytes, held })
}

impl CollectedAnswer {
    /// Body of the response to the caller. A large one is copied to its connection in parts.
    pub(crate) fn into_body(self) -> Body {
        match self.bytes.len() <= FORWARDED_CHUNK_BYTES {
            true => Body::Bytes(NtexBytes::copy_from_slice(&self.bytes)),
            false => Body::from_message(LargeBody {
                size: self.bytes.len() as u64,
                remaining: self.bytes,
                _held: self.held,
            }),
        }
    }
}

/// A large body that is being forwarded.
struct LargeBody {
    size: u64,
    remaining: Bytes,
    _held: HeldBytes,
}

impl MessageBody for LargeBody {
    fn size(&self) -> BodySize {
        BodySize::Sized(self.size)
    }

    fn poll_next_chunk(
        &mut self,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<NtexBytes, Rc<dyn Error>>>> {
        if !self.remaining.has_remaining() {
            return Poll::Ready(None);
        }
        let length = self.remaining.len().min(FORWARDED_CHUNK_BYTES);
        let chunk = self.remaining.split_to(length);
        Poll::Ready(Some(Ok(NtexBytes::copy_from_slice(&chunk))))
    }
}
