//! Memory of answers that are collected before they are forwarded.
//!
//! Each answer has a limit, but a vm collects many at once. They share a budget, so that a faulty
//! target cannot use up the memory of the vm. See `docs/incidents/endless-answers.md`.

use std::collections::HashMap;
use std::error::Error;
use std::rc::Rc;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::{Buf, Bytes};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use jujubebeam_core::gateway::TargetKey;
use ntex::http::body::{Body, BodySize, MessageBody};
use ntex::io::IoRef;
use ntex::util::Bytes as NtexBytes;
use strum::Display;
use tokio::sync::{Notify, oneshot};
use tokio::time::{Instant, sleep_until};

/// Longest answer that is collected.
const MAX_ANSWER_BYTES: usize = 8 * 1024 * 1024;

/// Memory for the large answers of all targets together. The smallest vms have 120 MB.
const BUDGET_BYTES: usize = 32 * 1024 * 1024;

/// Part of the budget that answers may use while their callers read them. If more is used and others
/// need it, the answers of the slowest callers are cut.
const FORWARDING_BYTES: usize = BUDGET_BYTES / 2;

/// Time that each caller has before its answer may be cut, besides the time for what it has read.
const READ_TIME: Duration = Duration::from_secs(1);

/// Bytes that a caller has to read per second, so that its answer is not cut.
const READ_BYTES_PER_S: f64 = 2.0 * 1024.0 * 1024.0;

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
pub(crate) struct AnswerBudget {
    held: Mutex<Held>,
    /// Notified when answers need less memory than before.
    freed: Notify,
}

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
    Forwarding {
        /// When the answer may be cut. It is earliest for the caller that is most behind.
        cut_at: Instant,
    },
    Dropped,
}

/// Reply to an answer that needs memory.
#[derive(Clone, Copy, Debug)]
enum Reservation {
    Granted,
    /// There may be room at this time, or earlier if answers need less memory.
    Later(Instant),
    Dropped,
}

impl AnswerBudget {
    fn held(&self) -> MutexGuard<'_, Held> {
        self.held.lock().unwrap_or_else(PoisonError::into_inner)
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

impl HeldAnswer {
    fn cut_at(&self) -> Option<Instant> {
        match self.state {
            AnswerState::Forwarding { cut_at } => Some(cut_at),
            _ => None,
        }
    }
}

impl Held {
    /// Bytes of the answers that are not dropped.
    fn kept_bytes(&self) -> usize {
        self.bytes - self.dropped_bytes
    }

    /// Sets the size of an answer that is being collected, if there is room.
    fn reserve(&mut self, id: u64, bytes: usize, now: Instant) -> Reservation {
        let bytes = bytes.saturating_sub(SMALL_ANSWER_BYTES);
        let added = match self.answers.get(&id) {
            Some(answer) if answer.state == AnswerState::Collecting => {
                bytes.saturating_sub(answer.bytes)
            }
            _ => return Reservation::Dropped,
        };
        while added > 0
            && self.kept_bytes() + added > BUDGET_BYTES
            && let Some((slowest, cut_at)) = self.next_cut()
        {
            if cut_at > now {
                return Reservation::Later(cut_at);
            }
            self.cut(slowest);
        }
        self.set(id, bytes);
        self.drop_surplus();
        match self.answers.get(&id).map(|answer| answer.state) {
            Some(AnswerState::Collecting) => Reservation::Granted,
            _ => Reservation::Dropped,
        }
    }

    /// The answer that is cut next and when, if answers that are being forwarded use more than their
    /// part.
    fn next_cut(&self) -> Option<(u64, Instant)> {
        let forwarding = self
            .answers
            .iter()
            .filter_map(|(id, answer)| Some((*id, answer.cut_at()?, answer.bytes)))
            .filter(|(_, _, bytes)| *bytes > 0);
        let bytes: usize = forwarding.clone().map(|(_, _, bytes)| bytes).sum();
        if bytes <= FORWARDING_BYTES {
            return None;
        }
        let slowest = forwarding.min_by_key(|(_, cut_at, _)| *cut_at);
        slowest.map(|(id, cut_at, _)| (id, cut_at))
    }

    fn cut(&mut self, id: u64) {
        if let Some(answer) = self.answers.get_mut(&id) {
            answer.state = AnswerState::Dropped;
            self.dropped_bytes += answer.bytes;
            answer.dropped.notify_one();
        }
    }

    /// Sets the size of an answer that was not dropped.
    fn set(&mut self, id: u64, bytes: usize) {
        if let Some(answer) = self.answers.get_mut(&id) {
            self.bytes = self.bytes - answer.bytes + bytes;
            answer.bytes = bytes;
        }
    }

    /// Drops large answers until the others are within the budget: of the target that has most, the
    /// largest one.
    fn drop_surplus(&mut self) {
        while self.kept_bytes() > BUDGET_BYTES {
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
            // The remainder is complete.
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
    /// Sets the size of the answer as soon as there is room for it, which slow callers may delay.
    /// Returns false if the answer was dropped.
    async fn reserve(&self, bytes: usize) -> bool {
        loop {
            let freed = self.budget.freed.notified();
            let reservation = self.budget.held().reserve(self.id, bytes, Instant::now());
            let later = match reservation {
                Reservation::Granted => return true,
                Reservation::Dropped => return false,
                Reservation::Later(later) => later,
            };
            tokio::select! {
                () = self.dropped.notified() => return false,
                () = freed => {}
                () = sleep_until(later) => {}
            }
        }
    }

    /// Records that the answer is complete with this size. Returns false if it was dropped before.
    fn complete(&self, bytes: usize) -> bool {
        let mut held = self.budget.held();
        match held.answers.get_mut(&self.id) {
            Some(answer) if answer.state == AnswerState::Collecting => {
                answer.state = AnswerState::Complete;
            }
            _ => return false,
        }
        held.set(self.id, bytes.saturating_sub(SMALL_ANSWER_BYTES));
        drop(held);
        self.budget.freed.notify_waiters();
        true
    }

    /// Records that the caller can read the answer from now on.
    fn start_forwarding(&self) {
        if let Some(answer) = self.budget.held().answers.get_mut(&self.id) {
            answer.state = AnswerState::Forwarding {
                cut_at: Instant::now() + READ_TIME,
            };
        }
    }

    /// Records that a part of the answer was copied to the connection of the caller.
    fn forwarded(&self, bytes: usize) {
        if let Some(answer) = self.budget.held().answers.get_mut(&self.id)
            && let AnswerState::Forwarding { cut_at } = &mut answer.state
        {
            *cut_at += Duration::from_secs_f64(bytes as f64 / READ_BYTES_PER_S);
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
        drop(held);
        self.budget.freed.notify_waiters();
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
    let mut bytes = Vec::new();
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
        let length = bytes.len() + data.len();
        if length > MAX_ANSWER_BYTES {
            return Err(CollectError::TooLong);
        }
        if length > bytes.capacity() {
            let capacity = length.max(2 * bytes.capacity()).min(MAX_ANSWER_BYTES);
            if !held.reserve(capacity).await {
                return Err(CollectError::OverBudget);
            }
            bytes.reserve_exact(capacity - bytes.len());
        }
        bytes.extend_from_slice(data);
    }
    bytes.shrink_to_fit();
    if !held.complete(bytes.len()) {
        return Err(CollectError::OverBudget);
    }
    let bytes = Bytes::from(bytes);
    Ok(CollectedAnswer { bytes, held })
}

impl CollectedAnswer {
    /// Body of the response to the caller. A large one is copied to its connection in parts. If it is
    /// dropped, the connection is closed, because HTTP has no other sign that an answer is cut.
    pub(crate) fn into_body(self, connection: Option<IoRef>) -> Body {
        if self.bytes.len() <= FORWARDED_CHUNK_BYTES {
            return Body::Bytes(NtexBytes::copy_from_slice(&self.bytes));
        }
        let (end_sender, end) = oneshot::channel();
        if let Some(connection) = connection {
            let dropped = self.held.dropped.clone();
            ntex::rt::spawn(async move {
                tokio::select! {
                    biased;
                    _ = end => {}
                    () = dropped.notified() => connection.terminate(),
                }
            });
            self.held.start_forwarding();
        }
        Body::from_message(LargeBody {
            size: self.bytes.len() as u64,
            remaining: self.bytes,
            held: self.held,
            _end: end_sender,
        })
    }
}

/// A large body that is being forwarded.
struct LargeBody {
    size: u64,
    remaining: Bytes,
    held: HeldBytes,
    /// Ends the task that waits for the answer to be dropped.
    _end: oneshot::Sender<()>,
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
        self.held.forwarded(length);
        Poll::Ready(Some(Ok(NtexBytes::copy_from_slice(&chunk))))
    }
}
