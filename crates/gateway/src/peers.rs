//! Messages to and from other vms.

use jujubebeam_core::gateway::RunCounts;
use jujubebeam_core::membership::{Command, Event};
use jujubebeam_core::quarantine::QuarantineEvent;
use jujubebeam_core::{Machine, VmId};
use jujubebeam_peer::{Envelope, decode, encode};
use ntex::rt::JoinHandle;
use ntex::util::Bytes;
use ntex::web::HttpResponse;
use ntex::web::types::State;

use crate::control;
use crate::edges::Edges;
use crate::message::Message;
use crate::notice;
use crate::owner;
use crate::server::Context;
use crate::state::wall_clock;

/// Sends messages to a vm and handles the messages of its answer, whether or not the returned task is
/// waited for.
pub(crate) fn send<E: Edges>(
    context: &Context<E>,
    to: VmId,
    messages: Vec<Message>,
) -> JoinHandle<()> {
    let context = context.clone();
    ntex::rt::spawn(async move {
        for message in exchange(&context, to, messages).await.unwrap_or_default() {
            deliver(&context, to, message);
        }
    })
}

/// Sends messages to a vm and returns the messages of its answer, or `None` if it did not answer.
pub(crate) async fn exchange<E: Edges>(
    context: &Context<E>,
    to: VmId,
    messages: Vec<Message>,
) -> Option<Vec<Message>> {
    let shared = &context.shared;
    let address = shared
        .membership()
        .record(to)
        .map(|r| r.peer_address.clone())?;
    let envelope = Envelope {
        from: shared.vm,
        incarnation: shared.incarnation,
        messages,
    };
    let answer = context.peers.exchange(&address, &envelope).await;
    if let Err(error) = &answer {
        log::debug!("vm: {to} did not answer: {error}");
    }
    feed_membership(
        context,
        Event::Exchanged {
            with: to,
            answered: answer.is_ok(),
        },
    );
    answer.ok().map(|envelope| envelope.messages)
}

/// Sends a message to all other vms that can be reached.
pub(crate) fn tell_all<E: Edges>(context: &Context<E>, message: &Message) {
    for vm in others(context) {
        send(context, vm, vec![message.clone()]);
    }
}

/// Other vms that can be reached.
pub(crate) fn others<E: Edges>(context: &Context<E>) -> Vec<VmId> {
    let shared = &context.shared;
    let mut vms = shared.membership().live(shared.now());
    vms.retain(|vm| *vm != shared.vm);
    vms
}

/// Those of some vms that are in the zone of this one.
pub(crate) fn in_own_zone<E: Edges>(context: &Context<E>, vms: &[VmId]) -> Vec<VmId> {
    let shared = &context.shared;
    let membership = shared.membership();
    let is_near = |vm: &&VmId| {
        let record = membership.record(**vm);
        record.is_some_and(|record| record.zone == shared.config.zone)
    };
    vms.iter().filter(is_near).copied().collect()
}

/// Receives the messages of another vm.
pub(crate) async fn receive<E: Edges>(context: State<Context<E>>, body: Bytes) -> HttpResponse {
    let envelope: Envelope<Message> = match decode(&body) {
        Ok(envelope) => envelope,
        Err(error) => {
            log::warn!("vm: message not understood: {error}");
            return HttpResponse::BadRequest().finish();
        }
    };
    let messages = envelope
        .messages
        .into_iter()
        .filter_map(|message| deliver(&context, envelope.from, message))
        .collect();
    let answer = Envelope {
        from: context.shared.vm,
        incarnation: context.shared.incarnation,
        messages,
    };
    match encode(&answer) {
        Ok(bytes) => HttpResponse::Ok()
            .content_type("application/msgpack")
            .body(bytes),
        Err(error) => {
            log::error!("vm: answer not encoded: {error}");
            HttpResponse::InternalServerError().finish()
        }
    }
}

/// Handles a message. The returned message is sent back in the same exchange.
fn deliver<E: Edges>(context: &Context<E>, from: VmId, message: Message) -> Option<Message> {
    let shared = &context.shared;
    match message {
        Message::Membership(message) => feed_membership(context, Event::Peer { from, message }),
        Message::Ask { settings, targets } => {
            let mirrors = shared.mirrors();
            return Some(Message::News {
                wall_us: wall_clock().as_micros() as u64,
                settings: mirrors.settings.delta(settings),
                targets: mirrors.targets.delta(targets),
            });
        }
        Message::News {
            wall_us,
            settings,
            targets,
        } => {
            let wall = std::time::Duration::from_micros(wall_us);
            let now = shared.now();
            shared.usage().true_time.record_peer_clock(from, wall, now);
            control::merge(context, settings, targets);
            shared.compared_with(from);
        }
        Message::Collect { window } => {
            return Some(Message::Counts(shared.usage().windows.runs(window)));
        }
        Message::Counts(copies) => merge_counts(context, copies),
        Message::Changing { target, stage } => {
            let now = shared.now();
            shared.fleet().changes_stage(&target, stage, now);
        }
        Message::Leaving(runs) => return notice::hear(context, runs),
        Message::PlacePrompt(question) => {
            return Some(Message::PromptPlaced(owner::place(context, &question)));
        }
        // The vm that asked has given up waiting and decided alone.
        Message::PromptPlaced(_) => {}
        Message::PromptsEnded(ends) => {
            let now = shared.now();
            let mut fleet = shared.fleet();
            for end in &ends {
                fleet.owner.ended(end, now);
            }
        }
        Message::Quarantine(message) => {
            let mut commands = Vec::new();
            shared
                .quarantine()
                .step(QuarantineEvent::Peer(message), shared.now(), &mut commands);
        }
    }
    None
}

/// Takes over copies of usage counts.
pub(crate) fn merge_counts<E: Edges>(context: &Context<E>, copies: Vec<RunCounts>) {
    let mut usage = context.shared.usage();
    for copy in copies {
        usage.windows.merge(copy);
    }
}

/// Feeds the membership machine and performs its commands. A message to the sender of the event is
/// returned so that it travels back in the same exchange.
pub(crate) fn feed_membership<E: Edges>(context: &Context<E>, event: Event) {
    let shared = &context.shared;
    let mut commands = Vec::new();
    shared.membership().step(event, shared.now(), &mut commands);
    for command in commands {
        match command {
            Command::Send { to, message } => {
                send(context, to, vec![Message::Membership(message)]);
            }
            Command::HandOver => control::hand_over(context),
            Command::Exit => shared.drained.notify_one(),
            Command::ViewChanged => {}
        }
    }
}
