//! Moves of a stream to another target: before a planned change, or from prefill to decode.
//!
//! The scheduler grants the new target before the old one exports its KV cache, so that a refusal
//! leaves the stream running where it is.

use smallvec::smallvec;

use super::{Attempt, RequestCommand, RequestMachine, State};
use crate::TargetId;

/// State of a move.
#[derive(Clone, Debug)]
pub(super) enum MoveState {
    Acquiring,
    Exporting { to: TargetId },
    Importing { to: TargetId, handle: String },
}

impl RequestMachine {
    pub(super) fn start_move(&mut self, out: &mut Vec<RequestCommand>) {
        let State::Active(active) = &self.state else {
            return;
        };
        if self.move_state.is_some() {
            return;
        }
        self.move_state = Some(MoveState::Acquiring);
        out.push(RequestCommand::Acquire {
            excluded: smallvec![active.target],
        });
    }

    /// Starts a move to a target that was already granted. It is ignored before the first token,
    /// because there is no state to move, and after the finish reason.
    pub(super) fn start_move_to(&mut self, to: TargetId, out: &mut Vec<RequestCommand>) {
        let State::Active(active) = &self.state else {
            return;
        };
        let ready =
            active.head_accepted && active.finish_reason.is_none() && self.delivered_tokens > 0;
        if !ready || self.move_state.is_some() || active.target == to {
            return;
        }
        self.move_state = Some(MoveState::Exporting { to });
        out.push(RequestCommand::Export {
            attempt: active.attempt,
            target: active.target,
        });
    }

    pub(super) fn move_granted(&mut self, to: TargetId, out: &mut Vec<RequestCommand>) {
        let State::Active(active) = &self.state else {
            return;
        };
        if !matches!(self.move_state, Some(MoveState::Acquiring)) {
            return out.push(RequestCommand::Release { target: to });
        }
        self.move_state = Some(MoveState::Exporting { to });
        out.push(RequestCommand::Export {
            attempt: active.attempt,
            target: active.target,
        });
    }

    pub(super) fn is_transferring(&self) -> bool {
        matches!(
            self.move_state,
            Some(MoveState::Exporting { .. } | MoveState::Importing { .. })
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
        let Some(MoveState::Exporting { to }) = self.move_state else {
            return;
        };
        if active.attempt != attempt {
            return;
        }
        let Some(handle) = handle else {
            // A failed export may have stopped the stream, so it is resumed without the KV cache.
            out.push(RequestCommand::Cancel {
                attempt,
                target: active.target,
            });
            self.move_state = None;
            return self.send(to, None, out);
        };
        out.push(RequestCommand::Import {
            from: active.target,
            to,
            handle: handle.clone(),
        });
        self.move_state = Some(MoveState::Importing { to, handle });
    }

    pub(super) fn imported(&mut self, done: bool, out: &mut Vec<RequestCommand>) {
        let State::Active(active) = &self.state else {
            return;
        };
        let Some(MoveState::Importing { to, handle }) = self.move_state.take() else {
            return;
        };
        out.push(RequestCommand::Cancel {
            attempt: active.attempt,
            target: active.target,
        });
        self.send(to, done.then_some(handle), out);
    }

    /// Ends a move that is no longer needed, and releases its granted target.
    pub(super) fn abandon_move(&mut self, out: &mut Vec<RequestCommand>) {
        match self.move_state.take() {
            Some(MoveState::Exporting { to } | MoveState::Importing { to, .. }) => {
                out.push(RequestCommand::Release { target: to });
            }
            // The grant has not arrived yet. It is released on arrival.
            Some(MoveState::Acquiring) | None => {}
        }
    }
}
