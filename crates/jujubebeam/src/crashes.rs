//! Crash counts of requests, and retries of attempts that failed.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use jujubebeam_core::peer::PeerMessage;
use jujubebeam_core::quarantine::{
    Fingerprint, Quarantine, QuarantineCommand, QuarantineConfig, QuarantineEvent,
    QuarantineMessage, Verdict,
};
use jujubebeam_core::{Clock, Machine, RouteId, TargetId};
use ntex::rt::JoinHandle;
use ntex::time::timeout;

use crate::context::Context;
use crate::peers;

const SHARDS: usize = 16;

/// Longest wait for the other vms to hear that a request is refused from now on. It exceeds a round
/// trip between regions; a vm that is silent for longer is left to the failure detector.
const NEWS_LIMIT: Duration = Duration::from_secs(1);

/// Crash counts in shards.
#[derive(Debug)]
pub(crate) struct CrashShards {
    shards: [Mutex<Quarantine>; SHARDS],
}

impl CrashShards {
    /// Creates empty shards that together hold as many entries as the settings say.
    pub(crate) fn new() -> Self {
        let mut config = QuarantineConfig::default();
        config.max_entries /= SHARDS;
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
    // The tasks go on without their handles.
    drop(step(context, fingerprint, event));
}

/// Counts a crash. If the request is refused from now on, waits until the other vms know it: the
/// caller may send it to the next vm as soon as it has its answer.
pub(crate) async fn crashed(context: &Context, fingerprint: Fingerprint, target: TargetId) {
    let event = QuarantineEvent::Crashed {
        fingerprint,
        target,
        age: Duration::ZERO,
    };
    let told = step(context, fingerprint, event);
    if !matches!(verdict(context, fingerprint), Verdict::Refuse { .. }) {
        return;
    }
    let all = async {
        for task in told {
            if let Err(e) = task.await {
                log::warn!("vm: a task that tells of a crash ended early: {e}");
            }
        }
    };
    if timeout(NEWS_LIMIT, all).await.is_err() {
        log::warn!("vm: not all vms have heard of a request that crashes targets");
    }
}

/// Steps the machine and sends its messages. Each task ends with the answer of its vm.
fn step(
    context: &Context,
    fingerprint: Fingerprint,
    event: QuarantineEvent,
) -> Vec<JoinHandle<()>> {
    let now = context.shared.clock.now();
    let mut out = Vec::new();
    {
        let mut shard = context.shared.crashes.shard(fingerprint);
        shard.step(QuarantineEvent::Tick, now, &mut out);
        shard.step(event, now, &mut out);
    }
    let mut tasks = Vec::new();
    for QuarantineCommand::Broadcast(message) in out {
        let message = PeerMessage::Quarantine(message);
        let vms = peers::others(context).into_iter();
        tasks.extend(vms.filter_map(|vm| peers::send(context, vm, vec![message.clone()])));
    }
    tasks
}

/// Takes a message of another vm. The returned message is sent back in the same exchange.
pub(crate) fn deliver(context: &Context, message: QuarantineMessage) -> Option<PeerMessage> {
    let fingerprint = message.fingerprint();
    let shard = context.shared.crashes.shard(fingerprint);
    let missed = shard.missed_clear(&message);
    drop(shard);
    feed(context, fingerprint, QuarantineEvent::Peer(message));
    missed.map(PeerMessage::Quarantine)
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
