//! Connects the membership machine: vm list, gossip and the vm's own drain.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};

use jujubebeam_core::membership::{
    Command, Event, Membership, MembershipConfig, Message, Record, VmState,
};
use jujubebeam_core::peer::PeerMessage;
use jujubebeam_core::{Clock, Incarnation, VmId};
use jujubebeam_vmlist::{ListedState, ListedVm};
use ntex::time::{Millis, sleep};
use tokio::sync::Notify;

use super::settings;
use crate::context::Context;
use crate::part::{self, Part, TICK_INTERVAL};
use crate::peers;
use crate::process_config::ProcessConfig;
use crate::shared::Shared;

const READ_INTERVAL: Millis = Millis(1000);

/// State of membership in the process.
#[derive(Debug)]
pub(crate) struct MembershipState {
    machine: Mutex<Membership>,
    leaving: AtomicBool,
    /// Signalled when the process may end.
    pub(crate) drained: Notify,
}

impl MembershipState {
    /// Creates the state of a fresh process.
    pub(crate) fn new(config: &ProcessConfig, incarnation: Incarnation) -> Self {
        let own = Record {
            vm: config.vm,
            zone: config.zone.clone(),
            caller_address: config.caller_address.to_string(),
            peer_address: config.peer_address.to_string(),
            incarnation,
            state: VmState::Live,
            ..Record::default()
        };
        let config = MembershipConfig {
            seed: incarnation.0,
            ..MembershipConfig::new(own)
        };
        Self {
            machine: Mutex::new(Membership::new(config)),
            leaving: AtomicBool::new(false),
            drained: Notify::new(),
        }
    }

    /// The machine, for reading.
    pub(crate) fn machine(&self) -> MutexGuard<'_, Membership> {
        self.machine.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether this vm is shutting down.
    pub(crate) fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::SeqCst)
    }

    /// Address of a vm for messages.
    pub(crate) fn peer_address(&self, vm: VmId) -> Option<String> {
        let machine = self.machine();
        machine.record(vm).map(|r| r.peer_address.clone())
    }
}

/// The membership machine as a part of the daemon.
pub(crate) struct MembershipPart;

impl Part for MembershipPart {
    type Machine = Membership;

    fn machine(shared: &Shared) -> &Mutex<Membership> {
        &shared.membership.machine
    }

    fn tick() -> Event {
        Event::Tick
    }

    fn perform(context: &Context, command: Command) {
        match command {
            Command::Send { to, message } => {
                peers::send(context, to, vec![PeerMessage::Membership(message)]);
            }
            Command::HandOver => hand_over(context),
            Command::Exit => context.shared.membership.drained.notify_one(),
            Command::ViewChanged => view_changed(context),
        }
    }
}

/// Starts reading the list and ticking.
pub(crate) fn start(context: &Context) {
    start_reading(context);
    let context = context.clone();
    ntex::rt::spawn(async move {
        loop {
            feed_running(&context);
            part::feed::<MembershipPart>(&context, MembershipPart::tick());
            sleep(TICK_INTERVAL).await;
        }
    });
}

fn start_reading(context: &Context) {
    let context = context.clone();
    ntex::rt::spawn(async move {
        loop {
            match context.vm_list.list().await {
                Ok(list) => {
                    let records = list.vms.iter().map(to_record).collect();
                    context.shared.set_vms(list);
                    part::feed::<MembershipPart>(&context, Event::Listed(records));
                }
                Err(e) => log::warn!("vm: the vm list was not read: {e}"),
            }
            sleep(READ_INTERVAL).await;
        }
    });
}

fn to_record(listed: &ListedVm) -> Record {
    Record {
        vm: listed.vm,
        zone: listed.zone.clone(),
        caller_address: listed.caller_address.clone(),
        peer_address: listed.peer_address.clone(),
        state: match listed.state {
            ListedState::Live => VmState::Live,
            ListedState::Leaving => VmState::Leaving,
        },
        ..Record::default()
    }
}

/// Starts the shutdown of this vm.
pub(crate) fn leave(context: &Context, linger: bool) {
    context
        .shared
        .membership
        .leaving
        .store(true, Ordering::SeqCst);
    feed_running(context);
    part::feed::<MembershipPart>(context, Event::Leave { linger });
}

/// Reports the end of an exchange with another vm.
pub(crate) fn exchanged(context: &Context, with: VmId, answered: bool) {
    part::feed::<MembershipPart>(context, Event::Exchanged { with, answered });
}

/// Handles a message and returns the one that goes back in the same exchange.
pub(crate) fn deliver(context: &Context, from: VmId, message: Message) -> Option<PeerMessage> {
    let event = Event::Peer { from, message };
    part::feed_peer::<MembershipPart>(context, event, |command| match command {
        Command::Send { to, message } if *to == from => {
            Some(PeerMessage::Membership(message.clone()))
        }
        _ => None,
    })
}

fn feed_running(context: &Context) {
    let running = context.shared.running_requests();
    part::feed::<MembershipPart>(context, Event::Running(running));
}

/// Leases and usage counters have no owner in this process yet, so there is nothing to hand over.
fn hand_over(context: &Context) {
    feed_running(context);
    part::feed::<MembershipPart>(context, Event::HandedOver);
}

fn view_changed(context: &Context) {
    let (live, listed) = {
        let machine = context.shared.membership.machine();
        (machine.live(context.shared.clock.now()), machine.listed())
    };
    settings::members(context, live, listed);
}
