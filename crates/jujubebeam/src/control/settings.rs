//! Connects the settings replica: store, watch, peers and the snapshot in force.

mod documents;
mod watch;

use std::collections::HashMap;
use std::sync::atomic::AtomicU64;
use std::sync::{Mutex, MutexGuard, PoisonError, RwLock};

use documents::Documents;
use jujubebeam_core::peer::PeerMessage;
use jujubebeam_core::settings::replica::{
    ChangeOutcome, ChangeRequest, Command, Event, Message, Replica, ReplicaConfig, ServePermit,
};
use jujubebeam_core::{Clock, Incarnation, Revision, VmId};
use jujubebeam_operator::SETTINGS_PREFIX;
use tokio::sync::oneshot;

use crate::context::Context;
use crate::part::{self, Part};
use crate::peers;
use crate::process_config::ProcessConfig;
use crate::shared::Shared;

/// State of settings distribution in the process.
#[derive(Debug)]
pub(crate) struct SettingsState {
    machine: Mutex<Replica>,
    documents: Mutex<Documents>,
    permit: RwLock<ServePermit>,
    /// Number of the watch that is wanted; an older one ends itself.
    watch: AtomicU64,
    waiters: Mutex<HashMap<u64, Waiter>>,
}

#[derive(Debug)]
enum Waiter {
    Change(oneshot::Sender<ChangeOutcome>),
    Status(oneshot::Sender<Vec<(VmId, Option<Revision>)>>),
}

impl SettingsState {
    /// Creates the state of a fresh process.
    pub(crate) fn new(config: &ProcessConfig, incarnation: Incarnation) -> Self {
        let config = ReplicaConfig {
            vm: config.vm,
            seed: incarnation.0,
            prefix: SETTINGS_PREFIX.into(),
            ..ReplicaConfig::default()
        };
        Self {
            machine: Mutex::new(Replica::new(config)),
            documents: Mutex::default(),
            permit: RwLock::default(),
            watch: AtomicU64::new(0),
            waiters: Mutex::default(),
        }
    }

    /// Whether and until when keyed routes may be served.
    pub(crate) fn permit(&self) -> ServePermit {
        *self.permit.read().unwrap_or_else(PoisonError::into_inner)
    }

    /// The replica, for reading.
    pub(crate) fn machine(&self) -> MutexGuard<'_, Replica> {
        self.machine.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn add_waiter(&self, ticket: u64, waiter: Waiter) {
        let mut waiters = self.waiters.lock().unwrap_or_else(PoisonError::into_inner);
        waiters.insert(ticket, waiter);
    }

    fn take_waiter(&self, ticket: u64) -> Option<Waiter> {
        let mut waiters = self.waiters.lock().unwrap_or_else(PoisonError::into_inner);
        waiters.remove(&ticket)
    }
}

/// The replica as a part of the daemon.
pub(crate) struct SettingsPart;

impl Part for SettingsPart {
    type Machine = Replica;

    fn machine(shared: &Shared) -> &Mutex<Replica> {
        &shared.settings.machine
    }

    fn tick() -> Event {
        Event::Tick
    }

    fn perform(context: &Context, command: Command) {
        let settings = &context.shared.settings;
        match command {
            Command::Store(call) => part::call_store::<Self>(context, call, |token, reply| {
                Event::Reply { token, reply }
            }),
            Command::StartWatch { from } => watch::start(context, from),
            Command::StopWatch => watch::stop(context),
            Command::Send { to, message } => {
                peers::send(context, to, vec![PeerMessage::Settings(message)]);
            }
            Command::Apply(subtree) => {
                let mut documents = settings.documents.lock();
                let documents = documents.as_mut();
                documents.unwrap_or_else(|e| e.get_mut()).apply(subtree);
            }
            Command::ChangeDone { ticket, outcome } => {
                if let Some(Waiter::Change(sender)) = settings.take_waiter(ticket) {
                    let _ = sender.send(outcome);
                }
            }
            Command::StatusDone { ticket, revisions } => {
                if let Some(Waiter::Status(sender)) = settings.take_waiter(ticket) {
                    let _ = sender.send(revisions);
                }
            }
        }
    }

    /// Compiles what the event has changed, then publishes the permit, so that a permit never
    /// covers settings that are not in force yet.
    fn after(context: &Context) {
        let shared = &context.shared;
        let settings = &shared.settings;
        // Held until the snapshot is set, as two threads could otherwise swap their snapshots.
        let mut documents = settings
            .documents
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if let Some(snapshot) = documents.compile_if_changed() {
            shared.set_snapshot(snapshot);
        }
        let permit = settings.machine().permit(shared.clock.now());
        *settings
            .permit
            .write()
            .unwrap_or_else(PoisonError::into_inner) = permit;
    }
}

/// Starts ticking.
pub(crate) fn start(context: &Context) {
    part::start_ticking::<SettingsPart>(context);
}

/// Hands over the vms that membership knows.
pub(crate) fn members(context: &Context, live: Vec<VmId>, listed: Vec<VmId>) {
    part::feed::<SettingsPart>(context, Event::Members { live, listed });
}

/// Handles a message and returns the one that goes back in the same exchange.
pub(crate) fn deliver(context: &Context, from: VmId, message: Message) -> Option<PeerMessage> {
    let event = Event::Peer { from, message };
    part::feed_peer::<SettingsPart>(context, event, |command| match command {
        Command::Send { to, message } if *to == from => {
            Some(PeerMessage::Settings(message.clone()))
        }
        _ => None,
    })
}

/// Performs an operator's change and waits for its outcome.
pub(crate) async fn change(context: &Context, request: ChangeRequest) -> ChangeOutcome {
    let ticket = context.shared.next_serial();
    let (sender, receiver) = oneshot::channel();
    let waiter = Waiter::Change(sender);
    context.shared.settings.add_waiter(ticket, waiter);
    part::feed::<SettingsPart>(context, Event::Change { ticket, request });
    receiver.await.unwrap_or(ChangeOutcome::Unknown)
}

/// Asks every live vm which revision of a subtree it has in force.
pub(crate) async fn status(context: &Context, subtree: String) -> Vec<(VmId, Option<Revision>)> {
    let ticket = context.shared.next_serial();
    let (sender, receiver) = oneshot::channel();
    let waiter = Waiter::Status(sender);
    context.shared.settings.add_waiter(ticket, waiter);
    part::feed::<SettingsPart>(context, Event::Status { ticket, subtree });
    receiver.await.unwrap_or_default()
}
