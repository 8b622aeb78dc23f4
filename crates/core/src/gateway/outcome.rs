//! Decision after the end of an attempt: a retry at another target, or a final answer that states
//! correctly whether the request ran.

use std::time::Duration;

use strum::{Display, IntoStaticStr};

/// Whether a request may be retried after a target may have run it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeatability {
    /// Any number of times.
    Idempotent,
    /// Never.
    Once,
    /// From the last delivered event.
    Resumable,
}

/// How an attempt ended without an answer that is forwarded to the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum AttemptEnd {
    /// No byte of the request was sent.
    NotSent,
    /// The target stated that it did not run the request.
    NotRun,
    /// The target may have run the request, and nothing of its answer was delivered.
    Broken,
    /// Part of the answer was delivered before it broke off.
    BrokenMidway,
    /// The target was left for another one that had the request as well.
    Superseded,
}

/// The final answer of a request that no target answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FinalAnswer {
    /// The request did not run and never will. The caller may retry after this time.
    NotRun {
        /// Time after which the caller may retry.
        retry_after: Duration,
    },
    /// The request may have run (502).
    Failed,
    /// The request timed out and may have run (504).
    TimedOut,
    /// Part of the answer was delivered. The connection is closed without the remainder.
    CutOff,
}

/// Next step after the end of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextStep {
    /// Retry at another target.
    Retry {
        /// Whether the retry counts against the budget, which is the case unless it is the first
        /// arrival of the request at a target.
        uses_budget: bool,
    },
    /// Send the final answer.
    Answer(FinalAnswer),
}

/// Maximum number of attempts that end with a refused connection. Several targets may have stopped
/// at once.
const MAX_UNSENT_ATTEMPTS: u32 = 4;

/// Time after which a caller may retry if targets were full or had stopped.
const RETRY_AFTER_FULL: Duration = Duration::from_millis(300);

/// Time after which a caller may retry if one engine has failed, which is avoided from then on.
const RETRY_AFTER_ENGINE_FAILURE: Duration = Duration::from_millis(20);

/// Attempts of one request so far.
#[derive(Clone, Copy, Debug)]
pub struct RequestProgress {
    repeatability: Repeatability,
    max_attempts: u32,
    /// Attempts of which a byte may have been sent.
    arrivals: u32,
    unsent: u32,
    /// Whether a target may have run the request.
    may_have_run: bool,
}

impl RequestProgress {
    /// Starts without any attempt.
    pub fn new(repeatability: Repeatability, max_attempts: u32) -> Self {
        Self {
            repeatability,
            max_attempts: max_attempts.max(1),
            arrivals: 0,
            unsent: 0,
            may_have_run: false,
        }
    }

    /// True if no target can have run the request.
    pub fn has_not_run(&self) -> bool {
        !self.may_have_run
    }

    /// True if an earlier attempt may have reached a target, so that the next one is an extra
    /// arrival.
    pub fn next_is_extra(&self) -> bool {
        self.arrivals > 0
    }

    /// Records the end of an attempt and decides on the next step.
    pub fn ended(&mut self, end: AttemptEnd) -> NextStep {
        match end {
            AttemptEnd::NotSent => return self.after_unsent(),
            AttemptEnd::NotRun => self.arrivals += 1,
            AttemptEnd::Broken | AttemptEnd::BrokenMidway | AttemptEnd::Superseded => {
                self.arrivals += 1;
                self.may_have_run = true;
            }
        }
        if self.may_repeat(end) && self.arrivals < self.max_attempts {
            return NextStep::Retry { uses_budget: true };
        }
        NextStep::Answer(self.final_answer(end))
    }

    /// Whether the request may be sent again after an attempt ended with `end`, apart from the number
    /// of attempts.
    pub fn may_repeat(&self, end: AttemptEnd) -> bool {
        match end {
            AttemptEnd::NotSent | AttemptEnd::NotRun => true,
            AttemptEnd::Broken => self.repeatability != Repeatability::Once,
            AttemptEnd::BrokenMidway | AttemptEnd::Superseded => {
                self.repeatability == Repeatability::Resumable
            }
        }
    }

    /// Decides whether another target may be asked to continue an answer whose attempt is still
    /// running. `last` is the end of the previous attempt beside the running one.
    pub fn next_beside_running(&mut self, last: Option<AttemptEnd>) -> NextStep {
        let step = last.map(|end| self.ended(end));
        if let (Some(AttemptEnd::NotSent), Some(step)) = (last, step) {
            return step;
        }
        // The running attempt is counted at its end, but has reached a target.
        let has_attempts = self.arrivals + 1 < self.max_attempts;
        match has_attempts && self.may_repeat(AttemptEnd::BrokenMidway) {
            true => NextStep::Retry { uses_budget: true },
            false => NextStep::Answer(FinalAnswer::CutOff),
        }
    }

    /// Records that a prefill engine did not compute the prompt and decides on the next step. Such
    /// a call is not a run of the request, but if it was sent and not accepted, it counts as an
    /// arrival and as an attempt.
    pub fn prompt_failed(&mut self, end: AttemptEnd) -> NextStep {
        if end == AttemptEnd::NotSent {
            return self.after_unsent();
        }
        self.arrivals += 1;
        if self.arrivals < self.max_attempts {
            return NextStep::Retry { uses_budget: true };
        }
        NextStep::Answer(self.final_prompt_answer(end))
    }

    /// Final answer if no target, budget or time is left after the computation of a prompt ended
    /// with `end`.
    pub fn final_prompt_answer(&self, end: AttemptEnd) -> FinalAnswer {
        match (self.final_answer(AttemptEnd::NotRun), end) {
            (FinalAnswer::NotRun { .. }, AttemptEnd::Broken) => FinalAnswer::NotRun {
                retry_after: RETRY_AFTER_ENGINE_FAILURE,
            },
            (answer, _) => answer,
        }
    }

    /// Final answer if no target, budget or time is left after `end`.
    pub fn final_answer(&self, end: AttemptEnd) -> FinalAnswer {
        if matches!(end, AttemptEnd::BrokenMidway | AttemptEnd::Superseded) {
            return FinalAnswer::CutOff;
        }
        if self.may_have_run {
            return FinalAnswer::Failed;
        }
        FinalAnswer::NotRun {
            retry_after: RETRY_AFTER_FULL,
        }
    }

    /// Final answer after the timeout of the request. `is_running` states whether a target is
    /// running an attempt.
    pub fn timed_out(&self, is_running: bool, has_delivered: bool) -> FinalAnswer {
        if has_delivered {
            return FinalAnswer::CutOff;
        }
        if is_running || self.may_have_run {
            return FinalAnswer::TimedOut;
        }
        FinalAnswer::NotRun {
            retry_after: RETRY_AFTER_FULL,
        }
    }

    fn after_unsent(&mut self) -> NextStep {
        self.unsent += 1;
        if self.unsent < MAX_UNSENT_ATTEMPTS {
            return NextStep::Retry {
                uses_budget: self.arrivals > 0,
            };
        }
        NextStep::Answer(self.final_answer(AttemptEnd::NotSent))
    }
}
