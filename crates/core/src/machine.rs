//! The trait that every subsystem of this crate implements.

use std::time::Duration;

/// A deterministic state machine. The same events at the same times give the same commands.
pub trait Machine {
    /// Input of the machine.
    type Event;
    /// Output of the machine, carried out by its caller.
    type Command;

    /// Applies one event at monotonic time `now` and appends the resulting commands to `out`.
    fn step(&mut self, event: Self::Event, now: Duration, out: &mut Vec<Self::Command>);
}
