//! Connects the ledger of requests that may run at most once with callers, the store and vms.

use std::collections::HashMap;
use std::fs::File;
use std::io::Read;
use std::sync::{Mutex, PoisonError};

use jujubebeam_core::once::{
    Mark, OnceCommand, OnceConfig, OnceEvent, OnceKey, OnceLedger, OnceMessage, OnceOutcome,
    OnceRefusal, TicketIssuer,
};
use jujubebeam_core::peer::PeerMessage;
use jujubebeam_core::{Clock, Incarnation, Machine, RequestId, VmId};
use jujubebeam_http::CallError;
use jujubebeam_peer::Envelope;
use ntex::time::{Millis, sleep};
use tokio::sync::oneshot;

use crate::context::Context;
use crate::peers;

const SHARDS: usize = 16;
/// Time between two ticks of a shard in which a request waits; the linger of the group commit.
const TICK: Millis = Millis(5);

/// Decision of the ledger about one request.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Decision {
    /// Execute it now, once.
    Run,
    /// The key has this outcome.
    Outcome(OnceOutcome),
    /// It is not executed here.
    Refuse(OnceRefusal),
}

#[derive(Debug)]
struct Shard {
    ledger: OnceLedger,
    waiting: HashMap<RequestId, oneshot::Sender<Decision>>,
}

/// The ledger in shards, and the mint of this run's tickets.
#[derive(Debug)]
pub(crate) struct OnceShards {
    shards: Vec<Mutex<Shard>>,
    /// Issues and checks tickets.
    pub(crate) mint: TicketIssuer,
}

impl OnceShards {
    /// Creates the ledger of a fresh process.
    pub(crate) fn new(vm: VmId, incarnation: Incarnation) -> Self {
        let shard = |number| {
            let config = OnceConfig::default();
            Mutex::new(Shard {
                ledger: OnceLedger::new(config, vm, incarnation, number, SHARDS),
                waiting: HashMap::new(),
            })
        };
        Self {
            shards: (0..SHARDS).map(shard).collect(),
            mint: TicketIssuer::new(vm, incarnation, random_secret()),
        }
    }
}

fn random_secret() -> [u8; 32] {
    let mut secret = [0; 32];
    File::open("/dev/urandom")
        .and_then(|mut source| source.read_exact(&mut secret))
        .expect("the operating system provides /dev/urandom");
    secret
}

/// Hands an event to the shard of its key and performs the commands that result.
pub(crate) fn feed(context: &Context, key: OnceKey, event: OnceEvent) {
    let now = context.shared.clock.now();
    let mut rest = Vec::new();
    {
        let shard = &context.shared.once.shards[key.shard(SHARDS)];
        let mut shard = shard.lock().unwrap_or_else(PoisonError::into_inner);
        let mut out = Vec::new();
        shard.ledger.step(event, now, &mut out);
        for command in out {
            let Some((request, decision)) = decision_of(&command) else {
                rest.push(command);
                continue;
            };
            // A missing receiver is a caller that left; `decide` reports a run that nobody takes.
            if let Some(sender) = shard.waiting.remove(&request) {
                let _ = sender.send(decision);
            }
        }
    }
    for command in rest {
        perform(context, key, command);
    }
}

fn decision_of(command: &OnceCommand) -> Option<(RequestId, Decision)> {
    match command {
        OnceCommand::Run { request, .. } => Some((*request, Decision::Run)),
        OnceCommand::Outcome { request, outcome } => {
            Some((*request, Decision::Outcome(outcome.clone())))
        }
        OnceCommand::Refuse { request, refusal } => Some((*request, Decision::Refuse(*refusal))),
        OnceCommand::Store(_) | OnceCommand::Send { .. } => None,
    }
}

fn perform(context: &Context, key: OnceKey, command: OnceCommand) {
    match command {
        OnceCommand::Store(call) => {
            let context = context.clone();
            ntex::rt::spawn(async move {
                let reply = context.store.perform(call.op).await;
                let token = call.token;
                feed(&context, key, OnceEvent::Store { token, reply });
            });
        }
        OnceCommand::Send {
            message: OnceMessage::Query { key, mark },
            ..
        } => {
            let context = context.clone();
            ntex::rt::spawn(async move { ask(&context, key, mark).await });
        }
        OnceCommand::Send { to, message } => {
            peers::send(context, to, vec![PeerMessage::Once(message)]);
        }
        OnceCommand::Run { .. } | OnceCommand::Outcome { .. } | OnceCommand::Refuse { .. } => {}
    }
}

/// Asks the holder of a mark. A holder that is gone leaves the outcome unknown at once.
async fn ask(context: &Context, key: OnceKey, mark: Mark) {
    let gone = match context.shared.peer_address(mark.vm) {
        None => true,
        Some(address) => {
            let envelope = Envelope {
                from: context.shared.config.vm,
                incarnation: context.shared.incarnation,
                messages: vec![PeerMessage::Once(OnceMessage::Query { key, mark })],
            };
            match context.peers.exchange(&address, &envelope).await {
                Ok(answer) => {
                    let replaced = answer.incarnation != mark.incarnation;
                    peers::deliver_all(context, answer);
                    replaced
                }
                Err(e) => matches!(e, CallError::Refused),
            }
        }
    };
    if gone {
        let outcome = OnceOutcome::Unknown;
        let message = OnceMessage::QueryReply { key, mark, outcome };
        let from = mark.vm;
        feed(context, key, OnceEvent::Peer { from, message });
    }
}

/// Takes a message of another vm.
pub(crate) fn deliver(context: &Context, from: VmId, message: OnceMessage) -> Option<PeerMessage> {
    let (OnceMessage::Query { key, .. } | OnceMessage::QueryReply { key, .. }) = message;
    feed(context, key, OnceEvent::Peer { from, message });
    None
}

/// Hands a request or question to the ledger and waits for the decision. The future must be run
/// to its end, because a decision to run that nobody takes would block the key.
pub(crate) async fn decide(
    context: &Context,
    request: RequestId,
    key: OnceKey,
    event: OnceEvent,
) -> Decision {
    let (sender, mut receiver) = oneshot::channel();
    {
        let shard = &context.shared.once.shards[key.shard(SHARDS)];
        let mut shard = shard.lock().unwrap_or_else(PoisonError::into_inner);
        shard.waiting.insert(request, sender);
    }
    feed(context, key, OnceEvent::Tick);
    feed(context, key, event);
    loop {
        tokio::select! {
            biased;
            decision = &mut receiver => {
                return decision.unwrap_or(Decision::Outcome(OnceOutcome::Unknown));
            }
            () = sleep(TICK) => feed(context, key, OnceEvent::Tick),
        }
    }
}
