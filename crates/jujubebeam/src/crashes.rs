//! Crash counts of requests, and retries of attempts that failed.

use std::sync::{Mutex, MutexGuard, PoisonError};

use jujubebeam_core::peer::PeerMessage;
use jujubebeam_core::quarantine::{
    Fingerprint, Quarantine, QuarantineCommand, QuarantineConfig, QuarantineEvent,
    QuarantineMessage, Verdict,
};
use jujubebeam_core::{Clock, Machine, RouteId};

use crate::context::Context;
use crate::peers;

const SHARDS: usize = 16;

/// Crash counts in shards.
#[derive(Debug)]
pub(crate) struct CrashShards {
    shards: [Mutex<Quarantine>; SHARDS],
}

impl CrashShards {
    /// Creates empty shards that together hold as many entries as the settings say.
    pub(crate) fn new() -> Self {
        let mut config = QuarantineConfig::default();
        config.entries /= SHARDS;
        Self {
            shards: std::array::from_fn(|_| Mutex::new(Quarantine::new(config))),
        }
    }

    fn shard(&self, fingerprint: Fingerprint) -> MutexGuard<'_, Quarantine> {
        let shard = &self.shards[fingerprint.shard(SHARDS)];
        shard.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// How a request must be treated.
pub(crate) fn verdict(context: &Context, fingerprint: Fingerprint) -> Verdict {
    let now = context.shared.clock.now();
    let shard = context.shared.crashes.shard(fingerprint);
    shard.verdict(fingerprint, now)
}

/// Counts a crash or a whole answer and tells the other vms.
pub(crate) fn feed(context: &Context, fingerprint: Fingerprint, event: QuarantineEvent) {
    let now = context.shared.clock.now();
    let mut out = Vec::new();
    {
        let mut shard = context.shared.crashes.shard(fingerprint);
        shard.step(QuarantineEvent::Tick, now, &mut out);
        shard.step(event, now, &mut out);
    }
    for QuarantineCommand::Tell(message) in out {
        let vms = context.shared.vms();
        for vm in vms.vms.iter().filter(|v| v.vm != context.shared.config.vm) {
            peers::send(
                context,
                vm.vm,
                vec![PeerMessage::Quarantine(message.clone())],
            );
        }
    }
}

/// Takes a message of another vm.
pub(crate) fn deliver(context: &Context, message: QuarantineMessage) -> Option<PeerMessage> {
    let fingerprint = message.fingerprint();
    feed(context, fingerprint, QuarantineEvent::Peer(message));
    None
}

/// Takes one retry from the budget of a route.
pub(crate) fn take_retry(context: &Context, route: RouteId) -> bool {
    let now = context.shared.clock.now();
    context.shared.dispatcher.take_retry(route, now)
}

/// Counts a success, which earns a part of a retry.
pub(crate) fn succeeded(context: &Context, route: RouteId) {
    context.shared.dispatcher.succeeded(route);
}
