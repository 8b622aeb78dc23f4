//! The interface that every subsystem of the decision crate implements.

use std::time::Duration;

/// A deterministic state machine. The same events at the same times give the same commands.
pub trait Machine {
    /// What the machine reacts to.
    type Event;
    /// What the machine asks its surroundings to do.
    type Command;

    /// Applies one event at monotonic time `now` and appends the resulting commands to `out`.
    fn step(&mut self, event: Self::Event, now: Duration, out: &mut Vec<Self::Command>);
}
