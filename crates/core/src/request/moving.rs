//! Moves a stream to another target: before a planned change, or from prefill to decode.
//!
//! The new target is granted before the old one exports, so that a refusal leaves the stream where
//! it is and nothing is cut.

use smallvec::smallvec;

use super::{Attempt, RequestCommand, RequestMachine, State};
use crate::TargetId;

/// Step of a move.
#[derive(Clone, Debug)]
pub(super) enum Moving {
    Acquiring,
    Exporting { to: TargetId },
    Importing { to: TargetId, handle: String },
}

impl RequestMachine {
    pub(super) fn start_move(&mut self, out: &mut Vec<RequestCommand>) {
        let State::Active(active) = &self.state else {
            return;
        };
        if self.moving.is_some() {
            return;
        }
        self.moving = Some(Moving::Acquiring);
        out.push(RequestCommand::Acquire {
            excluded: smallvec![active.target],
        });
    }

    /// Starts a move to a target that is granted already. A stream without a first token has
    /// nothing to move, and one with a finish reason needs no other target.
    pub(super) fn start_move_to(&mut self, to: TargetId, out: &mut Vec<RequestCommand>) {
        let State::Active(active) = &self.state else {
            return;
        };
        let ready = active.head_accepted && active.finish.is_none() && self.delivered_tokens > 0;
        if !ready || self.moving.is_some() || active.target == to {
            return;
        }
        self.moving = Some(Moving::Exporting { to });
        out.push(RequestCommand::Export {
            attempt: active.attempt,
            target: active.target,
        });
    }

    pub(super) fn move_granted(&mut self, to: TargetId, out: &mut Vec<RequestCommand>) {
        let State::Active(active) = &self.state else {
            return;
        };
        if !matches!(self.moving, Some(Moving::Acquiring)) {
            return out.push(RequestCommand::Release { target: to });
        }
        self.moving = Some(Moving::Exporting { to });
        out.push(RequestCommand::Export {
            attempt: active.attempt,
            target: active.target,
        });
    }

    pub(super) fn is_exporting(&self) -> bool {
        matches!(
            self.moving,
            Some(Moving::Exporting { .. } | Moving::Importing { .. })
        )
    }

    pub(super) fn exported(
        &mut self,
        attempt: Attempt,
        handle: Option<String>,
        out: &mut Vec<RequestCommand>,
    ) {
        let State::Active(active) = &self.state else {
            return;
        };
        let Some(Moving::Exporting { to }) = self.moving else {
            return;
        };
        if active.attempt != attempt {
            return;
        }
        let Some(handle) = handle else {
            // A failed export may have stopped the stream, so it is resumed without the cache.
            out.push(RequestCommand::Cancel {
                attempt,
                target: active.target,
            });
            self.moving = None;
            return self.send(to, None, out);
        };
        out.push(RequestCommand::Import {
            from: active.target,
            to,
            handle: handle.clone(),
        });
        self.moving = Some(Moving::Importing { to, handle });
    }

    pub(super) fn imported(&mut self, done: bool, out: &mut Vec<RequestCommand>) {
        let State::Active(active) = &self.state else {
            return;
        };
        let Some(Moving::Importing { to, handle }) = self.moving.take() else {
            return;
        };
        out.push(RequestCommand::Cancel {
            attempt: active.attempt,
            target: active.target,
        });
        self.send(to, done.then_some(handle), out);
    }

    /// Returns the granted target of a move that is not needed any more.
    pub(super) fn end_move(&mut self, out: &mut Vec<RequestCommand>) {
        match self.moving.take() {
            Some(Moving::Exporting { to } | Moving::Importing { to, .. }) => {
                out.push(RequestCommand::Release { target: to });
            }
            // The grant is still to come and is returned when it arrives.
            Some(Moving::Acquiring) | None => {}
        }
    }
}
