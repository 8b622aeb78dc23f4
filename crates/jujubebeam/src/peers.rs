//! Messages to and from other vms.

use jujubebeam_core::VmId;
use jujubebeam_core::authority::{Event, Holder};
use jujubebeam_core::peer::PeerMessage;
use jujubebeam_peer::{Envelope, MESSAGES_PATH, RUN_PATH, decode, encode};
use ntex::rt::JoinHandle;
use ntex::util::Bytes;
use ntex::web::{self, HttpResponse, ServiceConfig};

use crate::context::Context;
use crate::control::authority::Orders;
use crate::control::usage;
use crate::control::{fleet, membership, settings};
use crate::dispatch;
use crate::part::feed;
use crate::{caller, crashes, ledger};

/// Largest body of an envelope.
const ENVELOPE_LIMIT_BYTES: usize = 16 * 1024 * 1024;

/// Adds the routes of the peer listener.
pub(crate) fn configure(config: &mut ServiceConfig) {
    config
        .state(web::types::PayloadConfig::new(ENVELOPE_LIMIT_BYTES))
        .route(RUN_PATH, web::post().to(caller::run_for_peer))
        .route(MESSAGES_PATH, web::post().to(receive));
}

/// Sends messages to a vm and hands the messages of its answer to the machines. The task ends when
/// the vm has answered or failed to; `None` if the vm has no address.
pub(crate) fn send(
    context: &Context,
    to: VmId,
    messages: Vec<PeerMessage>,
) -> Option<JoinHandle<()>> {
    let address = context.shared.peer_address(to)?;
    let envelope = Envelope {
        from: context.shared.config.vm,
        incarnation: context.shared.incarnation,
        messages,
    };
    let context = context.clone();
    Some(ntex::rt::spawn(async move {
        match context.peers.exchange(&address, &envelope).await {
            Ok(answer) => {
                membership::exchanged(&context, to, true);
                let further = deliver_all(&context, answer);
                if !further.is_empty() {
                    send(&context, to, further);
                }
            }
            Err(e) => {
                log::debug!("vm: {to} did not answer: {e}");
                membership::exchanged(&context, to, false);
            }
        }
    }))
}

/// Sends messages to all other vms of the list.
pub(crate) fn send_to_all(context: &Context, messages: &[PeerMessage]) {
    for vm in others(context) {
        send(context, vm, messages.to_vec());
    }
}

/// All other vms of the list.
pub(crate) fn others(context: &Context) -> Vec<VmId> {
    let own = context.shared.config.vm;
    let list = context.shared.vms();
    let others = list.vms.iter().map(|v| v.vm).filter(|vm| *vm != own);
    others.collect()
}

async fn receive(context: web::types::State<Context>, body: Bytes) -> HttpResponse {
    let envelope: Envelope<PeerMessage> = match decode(&body) {
        Ok(envelope) => envelope,
        Err(e) => {
            log::warn!("vm: message not understood: {e}");
            return HttpResponse::BadRequest().finish();
        }
    };
    let answer = Envelope {
        from: context.shared.config.vm,
        incarnation: context.shared.incarnation,
        messages: deliver_all(&context, envelope),
    };
    match encode(&answer) {
        Ok(bytes) => HttpResponse::Ok()
            .content_type("application/msgpack")
            .body(bytes),
        Err(e) => {
            log::error!("vm: answer not encoded: {e}");
            HttpResponse::InternalServerError().finish()
        }
    }
}

pub(crate) fn deliver_all(context: &Context, envelope: Envelope<PeerMessage>) -> Vec<PeerMessage> {
    let runs = Holder {
        vm: envelope.from,
        incarnation: envelope.incarnation,
    };
    feed::<Orders>(context, Event::VmIncarnation(runs));
    fleet::hear_run(context, runs);
    envelope
        .messages
        .into_iter()
        .filter_map(|message| deliver(context, runs, message))
        .collect()
}

/// Hands a message to its machine. The returned message is sent back in the same exchange.
fn deliver(context: &Context, sender: Holder, message: PeerMessage) -> Option<PeerMessage> {
    let from = sender.vm;
    match message {
        PeerMessage::Scheduler { route, digest } => {
            dispatch::hear_digest(&context.shared, from, route, digest);
            None
        }
        PeerMessage::Limits(digest) => {
            dispatch::hear_limits(&context.shared, from, digest);
            None
        }
        PeerMessage::Targets(news) => {
            for news in news {
                dispatch::hear_news(&context.shared, news);
            }
            None
        }
        PeerMessage::Change(message) => fleet::deliver(context, sender, message),
        PeerMessage::WantRole { target, role } => {
            fleet::want_role(context, target, role);
            None
        }
        PeerMessage::Settings(message) => settings::deliver(context, from, message),
        PeerMessage::Membership(message) => membership::deliver(context, from, message),
        PeerMessage::Once(message) => ledger::deliver(context, from, message),
        PeerMessage::Quarantine(message) => crashes::deliver(context, message),
        PeerMessage::Usage(message) => usage::receive(context, from, message),
    }
}
