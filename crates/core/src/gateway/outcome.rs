//! What follows when an attempt ends: another target, or a final answer that tells the truth about
//! whether the request ran.

use std::time::Duration;

use strum::{Display, IntoStaticStr};

/// Whether a request may run again after a target may have run it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeatability {
    /// Any number of times.
    Idempotent,
    /// Never.
    Once,
    /// From the last event that was delivered.
    Resumable,
}

/// How an attempt ended, if not with an answer that is passed on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum AttemptEnd {
    /// No byte of the request left this vm.
    NotSent,
    /// The target stated that it did not run the request.
    NotRun,
    /// The target may have run the request, and nothing of its answer was delivered.
    Broken,
    /// Part of the answer was delivered before it broke off.
    BrokenMidway,
}

/// The final answer of a request that no target answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FinalAnswer {
    /// The request did not run and never will; the caller may come back after this time.
    NotRun {
        /// When to come back.
        retry_after: Duration,
    },
    /// The request may have run (502).
    Failed,
    /// The time was used up and the request may have run (504).
    TimedOut,
    /// Part of the answer was delivered; the connection is closed without its end.
    CutOff,
}

/// What follows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextStep {
    /// Ask for another target. `uses_budget` tells whether the next arrival is beyond the first.
    Retry {
        /// Whether the next arrival counts against the budget.
        uses_budget: bool,
    },
    /// Give the final answer.
    Answer(FinalAnswer),
}

/// Tries to reach a target that refused the connection. Several targets may have gone at once.
const MAX_UNSENT_ATTEMPTS: u32 = 4;

/// Pause before a caller comes back after targets were full or gone.
const RETRY_AFTER_FULL: Duration = Duration::from_millis(300);

/// Pause before a caller comes back after one engine has failed, which is avoided from then on.
const RETRY_AFTER_ENGINE_FAILURE: Duration = Duration::from_millis(20);

/// Attempts of one request so far.
#[derive(Clone, Copy, Debug)]
pub struct RequestProgress {
    repeatability: Repeatability,
    max_attempts: u32,
    /// Attempts of which a byte may have left.
    arrivals: u32,
    unsent: u32,
    /// Whether a target may have run the request.
    may_have_run: bool,
}

impl RequestProgress {
    /// Starts with no attempt.
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

    /// True if an earlier attempt reached a target, so that the next one is an extra arrival.
    pub fn next_is_extra(&self) -> bool {
        self.arrivals > 0
    }

    /// Decides what follows an attempt that ended.
    pub fn ended(&mut self, end: AttemptEnd) -> NextStep {
        match end {
            AttemptEnd::NotSent => return self.after_unsent(),
            AttemptEnd::NotRun => self.arrivals += 1,
            AttemptEnd::Broken | AttemptEnd::BrokenMidway => {
                self.arrivals += 1;
                self.may_have_run = true;
            }
        }
        let may_repeat = match end {
            AttemptEnd::NotSent | AttemptEnd::NotRun => true,
            AttemptEnd::Broken => self.repeatability != Repeatability::Once,
            AttemptEnd::BrokenMidway => self.repeatability == Repeatability::Resumable,
        };
        if may_repeat && self.arrivals < self.max_attempts {
            return NextStep::Retry { uses_budget: true };
        }
        NextStep::Answer(self.final_answer(end))
    }

    /// Decides what follows a prompt that an engine of its own did not compute. Such a call is no run,
    /// but one that was not accepted counts as an arrival and as an attempt.
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

    /// Final answer when no target, budget or time is left for a prompt whose computation ended so.
    pub fn final_prompt_answer(&self, end: AttemptEnd) -> FinalAnswer {
        match (self.final_answer(AttemptEnd::NotRun), end) {
            (FinalAnswer::NotRun { .. }, AttemptEnd::Broken) => FinalAnswer::NotRun {
                retry_after: RETRY_AFTER_ENGINE_FAILURE,
            },
            (answer, _) => answer,
        }
    }

    /// Final answer when no target, budget or time is left after `end`.
    pub fn final_answer(&self, end: AttemptEnd) -> FinalAnswer {
        if end == AttemptEnd::BrokenMidway {
            return FinalAnswer::CutOff;
        }
        if self.may_have_run {
            return FinalAnswer::Failed;
        }
        FinalAnswer::NotRun {
            retry_after: RETRY_AFTER_FULL,
        }
    }

    /// Final answer when the time is up. `is_running` tells whether an attempt is at a target.
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
