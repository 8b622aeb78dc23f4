//! State machine of one repeatable request: attempts, resumption and the final answer.
//!
//! See `docs/design.md`, section 5.6. The caller receives one complete answer even if several
//! targets generated parts of it. A refusal says "not run" only if no attempt was passed to a
//! connection that may have transmitted a byte.

mod budget;
mod config;
mod moving;
mod types;

use std::time::Duration;

use smallvec::SmallVec;

pub use budget::{RetryBudget, RetryBudgetConfig};
pub use config::RequestConfig;
use moving::MoveState;
pub use types::{Attempt, Close, FailCause, RequestCommand, RequestEvent, Resume};

use crate::invariant::{self, Invariant};
use crate::{Machine, TargetId};

#[derive(Clone, Debug)]
struct Active {
    attempt: Attempt,
    target: TargetId,
    head_accepted: bool,
    finish_reason: Option<String>,
}

#[derive(Clone, Debug)]
enum State {
    New,
    Acquiring,
    AskingBudget,
    Active(Active),
    Done,
}

/// State machine of one request.
#[derive(Clone, Debug)]
pub struct RequestMachine {
    config: RequestConfig,
    state: State,
    move_state: Option<MoveState>,
    next_attempt: u32,
    failed_attempts: u32,
    /// Number of attempts that may have reached a target.
    possibly_sent: u32,
    excluded: SmallVec<[TargetId; 4]>,
    delivered_tokens: u64,
    delivered_text: String,
    refused_as_not_run: bool,
}

impl RequestMachine {
    /// Creates a request that waits for [`RequestEvent::Start`].
    pub fn new(config: RequestConfig) -> Self {
        Self {
            config,
            state: State::New,
            move_state: None,
            next_attempt: 1,
            failed_attempts: 0,
            possibly_sent: 0,
            excluded: SmallVec::new(),
            delivered_tokens: 0,
            delivered_text: String::new(),
            refused_as_not_run: false,
        }
    }

    /// Whether the final answer was given.
    pub fn is_done(&self) -> bool {
        matches!(self.state, State::Done)
    }

    /// Returns the text delivered to the caller so far.
    pub fn delivered_text(&self) -> &str {
        &self.delivered_text
    }

    /// Returns the number of tokens delivered to the caller so far.
    pub fn delivered_tokens(&self) -> u64 {
        self.delivered_tokens
    }

    fn active(&mut self, attempt: Attempt) -> Option<&mut Active> {
        let drop_mismatched = self.config.drop_mismatched;
        match &mut self.state {
            State::Active(active) if active.attempt == attempt || !drop_mismatched => Some(active),
            _ => None,
        }
    }

    fn acquire(&mut self, out: &mut Vec<RequestCommand>) {
        self.state = State::Acquiring;
        out.push(RequestCommand::Acquire {
            excluded: self.excluded.clone(),
        });
    }

    fn send(&mut self, target: TargetId, kv: Option<String>, out: &mut Vec<RequestCommand>) {
        invariant::check(Invariant::NotRunIsTrue, !self.refused_as_not_run, || {
            format!("a request that was refused as not run is sent to target {target}")
        });
        let attempt = Attempt(self.next_attempt);
        self.next_attempt += 1;
        self.possibly_sent += 1;
        self.state = State::Active(Active {
            attempt,
            target,
            head_accepted: false,
            finish_reason: None,
        });
        let resume = (self.delivered_tokens > 0 && self.config.resume).then(|| Resume {
            tokens: self.delivered_tokens,
            text: self.delivered_text.clone(),
            kv_handle: kv,
        });
        out.push(RequestCommand::Send {
            attempt,
            target,
            resume,
        });
    }

    fn granted(&mut self, target: TargetId, out: &mut Vec<RequestCommand>) {
        match self.state {
            State::Acquiring => self.send(target, None, out),
            State::Active(_) => self.move_granted(target, out),
            _ => out.push(RequestCommand::Release { target }),
        }
    }

    fn refused(&mut self, out: &mut Vec<RequestCommand>) {
        match self.state {
            State::Acquiring => self.fail(FailCause::Refused, out),
            State::Active(_) => self.move_state = None,
            _ => {}
        }
    }

    fn head(&mut self, attempt: Attempt, echoed: Option<Attempt>, out: &mut Vec<RequestCommand>) {
        let mismatched = self.config.drop_mismatched && echoed != Some(attempt);
        let Some(active) = self.active(attempt) else {
            return;
        };
        if !mismatched {
            active.head_accepted = true;
            return;
        }
        let target = active.target;
        out.push(RequestCommand::Cancel { attempt, target });
        self.attempt_failed(target, out);
    }

    fn text(&mut self, attempt: Attempt, text: String, out: &mut Vec<RequestCommand>) {
        let Some(active) = self.active(attempt) else {
            return;
        };
        if !active.head_accepted || active.finish_reason.is_some() || text.is_empty() {
            return;
        }
        let current = active.attempt;
        invariant::check(
            Invariant::WholeAnswerToItsCaller,
            current == attempt,
            || format!("text of attempt {attempt:?} is delivered during attempt {current:?}"),
        );
        self.delivered_tokens += 1;
        self.delivered_text.push_str(&text);
        out.push(RequestCommand::Deliver { text });
    }

    fn finish(&mut self, attempt: Attempt, reason: String) {
        if let Some(active) = self.active(attempt)
            && active.head_accepted
        {
            active.finish_reason = Some(reason);
        }
    }

    fn done_mark(&mut self, attempt: Attempt, out: &mut Vec<RequestCommand>) {
        let Some(active) = self.active(attempt) else {
            return;
        };
        match active.finish_reason.take() {
            Some(reason) => self.complete(reason, true, out),
            None => self.closed(attempt, Close::StreamEnded, out),
        }
    }

    fn complete(&mut self, reason: String, done_mark: bool, out: &mut Vec<RequestCommand>) {
        invariant::check(
            Invariant::WholeAnswerToItsCaller,
            done_mark && !reason.is_empty(),
            || "an answer without finish reason or end mark is completed".into(),
        );
        self.abandon_move(out);
        self.state = State::Done;
        out.push(RequestCommand::Complete {
            reason,
            tokens: self.delivered_tokens,
        });
    }

    fn closed(&mut self, attempt: Attempt, close: Close, out: &mut Vec<RequestCommand>) {
        let require_complete = self.config.require_complete;
        let Some(active) = self.active(attempt) else {
            return;
        };
        let target = active.target;
        if !require_complete && close == Close::StreamEnded {
            let reason = active.finish_reason.take().unwrap_or_default();
            return self.complete(reason, false, out);
        }
        match close {
            Close::NotSent => {
                self.possibly_sent -= 1;
                self.retry(target, false, out);
            }
            // An engine ends the stream of an attempt that it exports; the result of the export
            // decides how to continue.
            Close::StreamEnded if self.is_transferring() => {}
            Close::StreamEnded => {
                out.push(RequestCommand::Crashed { target });
                self.attempt_failed(target, out);
            }
            Close::Status(code) if (400..500).contains(&code) && code != 429 => {
                self.fail(FailCause::Rejected(code), out);
            }
            Close::Status(_) => self.attempt_failed(target, out),
        }
    }

    fn attempt_failed(&mut self, target: TargetId, out: &mut Vec<RequestCommand>) {
        self.retry(target, true, out);
    }

    fn retry(&mut self, failed: TargetId, counts_as_attempt: bool, out: &mut Vec<RequestCommand>) {
        self.abandon_move(out);
        if !self.excluded.contains(&failed) {
            self.excluded.push(failed);
        }
        // An attempt that was not sent costs no target any work, so it is not counted. After the
        // loss of several targets at once, several attempts in a row may fail like this. Each failed
        // target is excluded, so the number of these attempts is bounded.
        if !counts_as_attempt {
            return self.acquire(out);
        }
        self.failed_attempts += 1;
        if self.failed_attempts >= self.config.max_attempts {
            return self.fail(FailCause::AttemptsUsed, out);
        }
        self.state = State::AskingBudget;
        out.push(RequestCommand::AskBudget);
    }

    fn budget(&mut self, granted: bool, out: &mut Vec<RequestCommand>) {
        if !matches!(self.state, State::AskingBudget) {
            return;
        }
        if granted {
            return self.acquire(out);
        }
        self.fail(FailCause::BudgetUsed, out);
    }

    fn fail(&mut self, cause: FailCause, out: &mut Vec<RequestCommand>) {
        self.abandon_move(out);
        self.state = State::Done;
        let not_run = self.possibly_sent == 0;
        self.refused_as_not_run = not_run;
        out.push(RequestCommand::Fail {
            cause,
            not_run,
            retry_after_s: self.config.retry_after_s,
        });
    }

    fn cancel_active(&mut self, out: &mut Vec<RequestCommand>) {
        if let State::Active(active) = &self.state {
            out.push(RequestCommand::Cancel {
                attempt: active.attempt,
                target: active.target,
            });
        }
    }

    fn caller_disconnected(&mut self, out: &mut Vec<RequestCommand>) {
        self.cancel_active(out);
        self.abandon_move(out);
        self.state = State::Done;
    }

    fn expired(&mut self, out: &mut Vec<RequestCommand>) {
        if self.is_done() {
            return;
        }
        self.cancel_active(out);
        self.fail(FailCause::Expired, out);
    }
}

impl Machine for RequestMachine {
    type Event = RequestEvent;
    type Command = RequestCommand;

    fn step(&mut self, event: RequestEvent, _now: Duration, out: &mut Vec<RequestCommand>) {
        match event {
            RequestEvent::Start if matches!(self.state, State::New) => self.acquire(out),
            RequestEvent::Start => {}
            RequestEvent::Granted { target } => self.granted(target, out),
            RequestEvent::Refused => self.refused(out),
            RequestEvent::Head { attempt, echoed } => self.head(attempt, echoed, out),
            RequestEvent::Text { attempt, text } => self.text(attempt, text, out),
            RequestEvent::Finish { attempt, reason } => self.finish(attempt, reason),
            RequestEvent::DoneMark { attempt } => self.done_mark(attempt, out),
            RequestEvent::Closed { attempt, close } => self.closed(attempt, close, out),
            RequestEvent::Budget { granted } => self.budget(granted, out),
            RequestEvent::Move => self.start_move(out),
            RequestEvent::MoveTo { target } => self.start_move_to(target, out),
            RequestEvent::Exported { attempt, handle } => self.exported(attempt, handle, out),
            RequestEvent::Imported { done } => self.imported(done, out),
            RequestEvent::CallerDisconnected => self.caller_disconnected(out),
            RequestEvent::Expired => self.expired(out),
        }
    }
}
