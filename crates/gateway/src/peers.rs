//! Exchange of messages with other vms.

use std::collections::BTreeSet;
use std::time::Duration;

use futures_util::future::join_all;
use jujubebeam_core::gateway::{QuotaQuery, QuotaReply, ReturnedQuota, RunCounts, StreamReplies};
use jujubebeam_core::membership::{Command, Event};
use jujubebeam_core::quarantine::QuarantineEvent;
use jujubebeam_core::{Machine, VmId};
use jujubebeam_http::CallError;
use jujubebeam_peer::{Envelope, decode, encode};
use ntex::rt::JoinHandle;
use ntex::web::types::{Payload, State};
use ntex::web::{HttpRequest, HttpResponse};
use tokio::time::timeout;

use crate::adapters::Adapters;
use crate::answer::Refusal;
use crate::caller_memory::receive_body;
use crate::control;
use crate::hand_over;
use crate::message::Message;
use crate::notice;
use crate::owner;
use crate::permit;
use crate::quota::{self, QuotaPeers};
use crate::replication::{self, ReplicaKind};
use crate::server::Context;
use crate::state::wall_clock;
use crate::taken_up::{self, StreamPeers};

/// Number of usage windows by which the clock of another vm may be ahead of this one.
const MAX_WINDOWS_AHEAD: u64 = 2;

/// Largest body of a message exchange between vms.
const ENVELOPE_LIMIT_BYTES: usize = 16 * 1024 * 1024;

/// Most vms that are queried for a stream. The others count as vms that do not reply.
const MAX_ASKED_VMS: usize = 128;

/// Timeout of a query for a stream, whose caller waits. Zones are at most a few milliseconds apart.
const STREAMS_TIMEOUT: Duration = Duration::from_millis(250);

/// Sends messages to a vm and handles the messages in its reply. This happens whether or not the
/// returned task is awaited.
pub(crate) fn send<A: Adapters>(
    context: &Context<A>,
    to: VmId,
    messages: Vec<Message>,
) -> JoinHandle<()> {
    let context = context.clone();
    ntex::rt::spawn(async move {
        let sent_at = context.shared.now();
        for message in exchange(&context, to, messages).await.unwrap_or_default() {
            deliver(&context, to, message, sent_at);
        }
    })
}

/// Sends messages to a vm and returns the messages in its reply, or `None` if it did not reply.
pub(crate) async fn exchange<A: Adapters>(
    context: &Context<A>,
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
        log::debug!("vm: no reply from {to}: {error}");
    }
    feed_membership(
        context,
        Event::Exchanged {
            with: to,
            // A vm of an earlier version answers messages that it cannot read with an error status.
            answered: matches!(answer, Ok(_) | Err(CallError::Status { .. })),
        },
    );
    answer.ok().map(|envelope| envelope.messages)
}

/// Sends a message to all other reachable vms.
pub(crate) fn broadcast<A: Adapters>(context: &Context<A>, message: &Message) {
    for vm in reachable_peers(context) {
        send(context, vm, vec![message.clone()]);
    }
}

/// All reachable vms except this one.
pub(crate) fn reachable_peers<A: Adapters>(context: &Context<A>) -> Vec<VmId> {
    let shared = &context.shared;
    let mut vms = shared.membership().live(shared.now());
    vms.retain(|vm| *vm != shared.vm);
    vms
}

/// The vms among `vms` that are in the zone of this vm.
pub(crate) fn in_own_zone<A: Adapters>(context: &Context<A>, vms: &[VmId]) -> Vec<VmId> {
    let shared = &context.shared;
    let membership = shared.membership();
    let is_in_zone = |vm: &&VmId| {
        let record = membership.record(**vm);
        record.is_some_and(|record| record.zone == shared.config.zone)
    };
    vms.iter().filter(is_in_zone).copied().collect()
}

/// Handles the messages of another vm and replies to them.
pub(crate) async fn receive<A: Adapters>(
    context: State<Context<A>>,
    request: HttpRequest,
    payload: Payload,
) -> HttpResponse {
    let received = receive_body(&request, payload, ENVELOPE_LIMIT_BYTES).await;
    let (body, _held) = match received {
        Ok(received) => received,
        Err(error) => return Refusal::of_body(error).response(),
    };
    let envelope: Envelope<Message> = match decode(&body) {
        Ok(envelope) => envelope,
        Err(error) => {
            log::warn!("vm: message could not be decoded: {error}");
            return HttpResponse::BadRequest().finish();
        }
    };
    let received_at = context.shared.now();
    let messages = envelope
        .messages
        .into_iter()
        .filter_map(|message| deliver(&context, envelope.from, message, received_at))
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
            log::error!("vm: reply could not be encoded: {error}");
            HttpResponse::InternalServerError().finish()
        }
    }
}

/// Handles a message of an exchange that began at `began_at`. A returned message is sent back in the
/// same exchange.
fn deliver<A: Adapters>(
    context: &Context<A>,
    from: VmId,
    message: Message,
    began_at: Duration,
) -> Option<Message> {
    let shared = &context.shared;
    match message {
        Message::Membership(message) => feed_membership(context, Event::Peer { from, message }),
        Message::Ask {
            settings,
            targets,
            settings_version,
            crash_digest,
            crash_reports,
            part_crash_digest,
            part_crash_reports,
        } => {
            let now = shared.now();
            let part_crash_reports = {
                let mut part_crashes = shared.part_crashes();
                part_crashes.merge(&part_crash_reports, now);
                part_crashes.reports_for(part_crash_digest, now)
            };
            let crash_reports = {
                let mut quarantine = shared.quarantine();
                quarantine.merge(&crash_reports, now);
                quarantine.reports_for(crash_digest, now)
            };
            let replicas = shared.replicas();
            let settings = replicas.settings.mirror.delta(settings);
            let newer_settings = settings_version.and_then(|version| {
                replication::settings_newer_than(shared, &replicas.settings, version)
            });
            return Some(Message::News {
                wall_us: wall_clock().as_micros() as u64,
                settings,
                newer_settings,
                targets: replicas.targets.mirror.delta(targets),
                settings_age: replicas.settings.freshness.report(now),
                targets_age: replicas.targets.freshness.report(now),
                crash_reports,
                part_crash_reports,
            });
        }
        Message::News {
            wall_us,
            settings,
            targets,
            settings_age,
            targets_age,
            newer_settings,
            crash_reports,
            part_crash_reports,
        } => {
            let wall = Duration::from_micros(wall_us);
            let now = shared.now();
            shared.usage().true_time.record_peer_clock(from, wall, now);
            replication::merge(
                context,
                ReplicaKind::Settings,
                settings,
                settings_age,
                began_at,
            );
            replication::merge(
                context,
                ReplicaKind::Targets,
                targets,
                targets_age,
                began_at,
            );
            if let Some(item) = newer_settings {
                replication::merge_newer_settings(context, item);
            }
            shared.quarantine().merge(&crash_reports, now);
            shared.part_crashes().merge(&part_crash_reports, now);
            shared.compared_with(from);
        }
        Message::Collect { window } => {
            return Some(Message::Counts(shared.usage().windows.runs(window)));
        }
        Message::Counts(counts) => merge_counts(context, counts),
        Message::Changing { target, stage } => {
            let now = shared.now();
            shared.fleet().changes_stage(&target, stage, now);
        }
        Message::Leaving(runs) => return notice::merge_leaving(context, runs),
        Message::RateLimits(reports) => {
            permit::merge_reports(context, from, &reports);
            let (fleet, now) = (shared.fleet(), shared.now());
            let own = fleet.rate_limits.reports(&fleet.catalog, now);
            return (!own.is_empty()).then_some(Message::RateLimits(own));
        }
        Message::AskPermit(query) => {
            return Some(Message::Permit(permit::answer(context, from, &query)));
        }
        // The query timed out at this vm.
        Message::Permit(_) => {}
        Message::PlacePrompt(query) => {
            return Some(Message::PromptPlaced(owner::place(context, &query)));
        }
        // The query timed out at this vm, which has chosen an engine from its own state.
        Message::PromptPlaced(_) => {}
        Message::PromptsEnded(ends) => {
            let now = shared.now();
            owner::record_failures(shared, from, &ends);
            let mut fleet = shared.fleet();
            for end in &ends {
                fleet.owner.ended(end, now);
            }
        }
        Message::HandOversEnded(ends) => hand_over::receive(shared, &ends),
        Message::Quarantine(message) => {
            let (mut quarantine, now) = (shared.quarantine(), shared.now());
            let missed = quarantine.missed_clear(&message);
            quarantine.step(QuarantineEvent::Peer(message), now, &mut Vec::new());
            return missed.map(Message::Quarantine);
        }
        Message::PartCrashes(messages) => {
            let (mut part_crashes, now) = (shared.part_crashes(), shared.now());
            let messages = messages.into_iter();
            let missed: Vec<_> = messages
                .filter_map(|message| part_crashes.receive(message, now))
                .collect();
            return (!missed.is_empty()).then_some(Message::PartCrashes(missed));
        }
        Message::AskStreams(attempts) => {
            return Some(Message::Streams(taken_up::reply(shared, &attempts)));
        }
        // The query timed out at this vm.
        Message::Streams(_) => {}
        Message::AskQuota(query) => {
            return Some(Message::Quota(quota::answer(shared, from, &query)));
        }
        // The query timed out at this vm.
        Message::Quota(_) => {}
        Message::ReturnQuota(returned) => quota::take_back(shared, &returned),
    }
    None
}

impl<A: Adapters> StreamPeers for Context<A> {
    async fn ask_streams(&self, attempts: Vec<String>) -> StreamReplies {
        let shared = &self.shared;
        let mut asked: BTreeSet<VmId> = {
            let membership = shared.membership();
            let live = membership.live(shared.now());
            live.into_iter().chain(membership.listed()).collect()
        };
        asked.remove(&shared.vm);
        let unasked = asked.len().saturating_sub(MAX_ASKED_VMS);
        let replies = asked.into_iter().take(MAX_ASKED_VMS).map(|vm| {
            let query = vec![Message::AskStreams(attempts.clone())];
            async move {
                let exchanged = timeout(STREAMS_TIMEOUT, exchange(self, vm, query)).await;
                let messages = exchanged.ok().flatten()?;
                messages.into_iter().find_map(|message| match message {
                    Message::Streams(reply) => Some(reply),
                    _ => None,
                })
            }
        });
        let replies = join_all(replies).await;
        let missing = unasked + replies.iter().filter(|reply| reply.is_none()).count();
        let replies = replies.into_iter().flatten().collect();
        StreamReplies { replies, missing }
    }

    async fn confirm_settings(&self, after: Duration) -> bool {
        replication::confirm(self, ReplicaKind::Settings, after).await
    }

    async fn confirm_targets(&self, after: Duration) -> bool {
        replication::confirm(self, ReplicaKind::Targets, after).await
    }
}

impl<A: Adapters> QuotaPeers for Context<A> {
    fn ask(
        &self,
        home: VmId,
        query: QuotaQuery,
    ) -> impl Future<Output = Option<QuotaReply>> + 'static {
        let context = self.clone();
        async move {
            let answer = exchange(&context, home, vec![Message::AskQuota(query)]).await;
            answer
                .into_iter()
                .flatten()
                .find_map(|message| match message {
                    Message::Quota(reply) => Some(reply),
                    _ => None,
                })
        }
    }

    fn give_back(&self, home: VmId, returned: Vec<ReturnedQuota>) {
        send(self, home, vec![Message::ReturnQuota(returned)]);
    }
}

/// Merges replicated usage counts. Those of a window that no vm can have reached are ignored, because
/// counts are dropped by their age relative to the newest window.
pub(crate) fn merge_counts<A: Adapters>(context: &Context<A>, counts: Vec<RunCounts>) {
    let now = context.shared.now();
    let mut usage = context.shared.usage();
    let current = usage.windows.window_at(usage.true_time.now(now));
    let newest = current.saturating_add(MAX_WINDOWS_AHEAD);
    for run in counts.into_iter().filter(|run| run.window <= newest) {
        usage.windows.merge(run);
    }
}

/// Feeds an event to the membership state machine and performs the commands that it returns.
pub(crate) fn feed_membership<A: Adapters>(context: &Context<A>, event: Event) {
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
