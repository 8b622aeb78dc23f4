//! Usage: performs the commands of `UsageMeter` and `WindowCloser`.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use jujubebeam_core::VmId;
use jujubebeam_core::authority::{Holder, Scope};
use jujubebeam_core::peer::PeerMessage;
use jujubebeam_core::settings::Snapshot;
use jujubebeam_core::usage::{
    CloserCommand, CloserEvent, MeterCommand, MeterEvent, UsageConfig, UsageMessage, UsageMeter,
    UsagePeer, WindowCloser,
};
use ntex::time::{Millis, sleep};

use super::authority::{self, ControlOrder, PLATFORM};
use crate::context::Context;
use crate::part::{Part, call_store, feed, feed_peer, start_ticking};
use crate::peers;
use crate::process_config::ProcessConfig;
use crate::shared::Shared;

/// Time between two looks at the vm list and the settings.
const LOOK_INTERVAL: Millis = Millis(1000);

/// Connects the meter.
pub(crate) struct Meter;

impl Part for Meter {
    type Machine = UsageMeter;

    fn machine(shared: &Shared) -> &Mutex<UsageMeter> {
        &shared.usage_meter
    }

    fn tick() -> MeterEvent {
        let unix = unix_now();
        MeterEvent::Tick { unix }
    }

    fn perform(context: &Context, command: MeterCommand) {
        match command {
            MeterCommand::Send(to, message) => send(context, to, message),
            MeterCommand::Acknowledged(ticket) => context.shared.usage_copied(ticket),
            MeterCommand::WakeAfter(delay) => {
                let context = context.clone();
                ntex::rt::spawn(async move {
                    sleep(Millis(delay.as_millis() as u32)).await;
                    feed::<Self>(&context, Self::tick());
                });
            }
        }
    }
}

/// Connects the window closer.
pub(crate) struct Closer;

impl Part for Closer {
    type Machine = WindowCloser;

    fn machine(shared: &Shared) -> &Mutex<WindowCloser> {
        &shared.window_closer
    }

    fn tick() -> CloserEvent {
        let unix = unix_now();
        CloserEvent::Tick { unix }
    }

    fn perform(context: &Context, command: CloserCommand) {
        match command {
            CloserCommand::Send(to, message) => send(context, to, message),
            CloserCommand::Store(call) => call_store::<Self>(context, call, CloserEvent::Store),
            CloserCommand::Report(frozen) => {
                let window = frozen.window;
                let order = ControlOrder::Report { window };
                authority::request_order(context, Scope::Usage, PLATFORM, order);
            }
        }
    }
}

/// Creates the machines of a fresh process.
pub(crate) fn machines(me: Holder, process: &ProcessConfig) -> (UsageMeter, WindowCloser) {
    let config = UsageConfig {
        window: Duration::from_secs(process.usage_window_s),
        ..UsageConfig::default()
    };
    let meter = UsageMeter::new(me, process.zone.clone(), config);
    (meter, WindowCloser::new(me.vm, config))
}

/// Starts the machines.
pub(crate) fn start(context: &Context) {
    start_ticking::<Meter>(context);
    start_ticking::<Closer>(context);
    let context = context.clone();
    ntex::rt::spawn(async move {
        let mut last: Option<Arc<Snapshot>> = None;
        loop {
            look(&context, &mut last);
            sleep(LOOK_INTERVAL).await;
        }
    });
}

fn look(context: &Context, last: &mut Option<Arc<Snapshot>>) {
    // `Acquired` and `Lost` can be performed by two threads in either order, so the closer is also
    // told what holds now.
    let fence = authority::fence(context, &Scope::Usage);
    feed::<Closer>(context, CloserEvent::Held(fence));
    let vms = context.shared.vms();
    let peers = vms.vms.iter().map(|vm| UsagePeer {
        vm: vm.vm,
        zone: vm.zone.clone(),
    });
    feed::<Meter>(context, MeterEvent::Peers(peers.collect()));
    let listed = vms.vms.iter().map(|vm| vm.vm).collect();
    feed::<Closer>(context, CloserEvent::Vms(listed));
    let snapshot = context.shared.snapshot();
    let same = match (&snapshot, &*last) {
        (Some(new), Some(old)) => Arc::ptr_eq(new, old),
        (None, _) => true,
        _ => false,
    };
    if same {
        return;
    }
    if let Some(snapshot) = &snapshot {
        let workspaces = snapshot.workspaces.values();
        let names = workspaces.map(|w| (w.id, w.name.clone())).collect();
        feed::<Closer>(context, CloserEvent::Names(names));
    }
    *last = snapshot;
}

/// Hands a message to its machine and returns the one that goes back in the same exchange. An
/// acknowledged copy would otherwise cost two exchanges.
pub(crate) fn receive(context: &Context, from: VmId, message: UsageMessage) -> Option<PeerMessage> {
    if matches!(message, UsageMessage::Collected { .. }) {
        feed::<Closer>(context, CloserEvent::Message(from, message));
        return None;
    }
    let event = MeterEvent::Message(from, message);
    feed_peer::<Meter>(context, event, |command| match command {
        MeterCommand::Send(to, message) if *to == from => Some(PeerMessage::Usage(message.clone())),
        _ => None,
    })
}

/// True if what this vm served is safe on another vm or in a frozen window.
pub(crate) fn is_copied(context: &Context) -> bool {
    let meter = &context.shared.usage_meter;
    let meter = meter.lock().unwrap_or_else(PoisonError::into_inner);
    meter.is_copied()
}

fn send(context: &Context, to: VmId, message: UsageMessage) {
    if to == context.shared.config.vm {
        if let Some(PeerMessage::Usage(answer)) = receive(context, to, message) {
            send(context, to, answer);
        }
        return;
    }
    peers::send(context, to, vec![PeerMessage::Usage(message)]);
}

/// Windows are numbered by the wall clock. A wrong clock moves usage between windows, but the
/// positions in the logs keep every answer in exactly one of them.
fn unix_now() -> Duration {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
}
