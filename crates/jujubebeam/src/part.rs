//! Connects machines of the decision crate with the outside.

use std::fmt::Debug;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use jujubebeam_core::peer::PeerMessage;
use jujubebeam_core::store::{StoreCall, StoreReply};
use jujubebeam_core::{Clock, Machine};

use crate::context::Context;
use crate::shared::Shared;

/// A machine with the code that performs its commands.
pub(crate) trait Part: 'static {
    /// The machine.
    type Machine: Machine<Event: Debug, Command: Debug>;

    /// The machine's place in the shared state.
    fn machine(shared: &Shared) -> &Mutex<Self::Machine>;

    /// The event that tells the machine that time has passed.
    fn tick() -> <Self::Machine as Machine>::Event;

    /// Performs one command. Slow work is spawned and reports back through [`feed`].
    fn perform(context: &Context, command: <Self::Machine as Machine>::Command);

    /// Called after the commands of one event were performed.
    fn after(_context: &Context) {}
}

/// Hands one event to a machine and performs the commands that result.
pub(crate) fn feed<P: Part>(context: &Context, event: <P::Machine as Machine>::Event) {
    for command in step::<P>(context, event) {
        P::perform(context, command);
    }
    P::after(context);
}

/// Hands over one event that came with a peer's message. The first command that `reply` turns into
/// a message is returned, so that it travels back in the same exchange; the others are performed.
pub(crate) fn feed_peer<P: Part>(
    context: &Context,
    event: <P::Machine as Machine>::Event,
    reply: impl Fn(&<P::Machine as Machine>::Command) -> Option<PeerMessage>,
) -> Option<PeerMessage> {
    let mut answer = None;
    for command in step::<P>(context, event) {
        if answer.is_none() {
            answer = reply(&command);
            if answer.is_some() {
                continue;
            }
        }
        P::perform(context, command);
    }
    P::after(context);
    answer
}

fn step<P: Part>(
    context: &Context,
    event: <P::Machine as Machine>::Event,
) -> Vec<<P::Machine as Machine>::Command> {
    let mut commands = Vec::new();
    let mut machine = P::machine(&context.shared)
        .lock()
        .unwrap_or_else(PoisonError::into_inner);
    machine.step(event, context.shared.clock.now(), &mut commands);
    commands
}

/// Performs a store call and hands its reply to the machine that asked for it.
pub(crate) fn call_store<P: Part>(
    context: &Context,
    call: StoreCall,
    into_event: fn(jujubebeam_core::store::CallToken, StoreReply) -> <P::Machine as Machine>::Event,
) {
    let context = context.clone();
    ntex::rt::spawn(async move {
        let reply = context.store.perform(call.op).await;
        feed::<P>(&context, into_event(call.token, reply));
    });
}

/// Time between two ticks of a machine.
pub(crate) const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Ticks a machine until the process ends.
pub(crate) fn start_ticking<P: Part>(context: &Context) {
    let context = context.clone();
    ntex::rt::spawn(async move {
        loop {
            feed::<P>(&context, P::tick());
            ntex::time::sleep(TICK_INTERVAL).await;
        }
    });
}
