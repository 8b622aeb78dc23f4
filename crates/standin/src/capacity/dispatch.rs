//! Scheduler digests, limits and target news, as one vm of a symmetric fleet sends and receives
//! them.
//!
//! One sender and one receiver are real machines. All vms do the same, so the receiver's cost is
//! that of one digest times the number of vms that send to it.

use std::time::{Duration, Instant};

use jujubebeam_core::limits::{LimitCommand, LimitConfig, LimitDigest, LimitEvent, Limiter};
use jujubebeam_core::peer::PeerMessage;
use jujubebeam_core::scheduler::{
    Arrival, Digest, Scheduler, SchedulerCommand, SchedulerConfig, SchedulerEvent,
};
use jujubebeam_core::settings::document::{LimitsDocument, Priority};
use jujubebeam_core::targets::{CacheEvent, LoadReport, LoadedModel, TargetInfo, TargetUpdate};
use jujubebeam_core::{
    Incarnation, Machine, RequestId, RouteId, TargetId, VmId, WorkspaceId, ZoneId,
};

use super::Size;
use super::exchange::Allowance;
use super::plan::{Plan, TICKS_PER_S};
use super::row::Row;
use super::world::{encoded_bytes, resident_bytes};

/// Mean time of a request: 236 tokens at 40 ms.
const REQUEST_S: f64 = 9.4;
const PROMPT_TOKENS: u64 = 1500;
const OUTPUT_TOKENS: u64 = 236;
const READS_PER_S: f64 = 2.0;
const READERS: f64 = 2.0;
/// Bytes of the two answers of an engine beside the fields that a vm passes on, and of the heads.
const POLL_BYTES: f64 = 900.0;

/// Scheduler digests.
pub(crate) fn scheduler(size: Size, allowance: Allowance) -> Row {
    let before = resident_bytes();
    let mut sender = busy_scheduler(size);
    let state_bytes = resident_bytes().saturating_sub(before);
    let mut receiver = busy_scheduler(size);
    let now = Duration::from_secs(30);
    let (digest, tick) = next_digest(&mut sender, now);
    let plan = Plan::new(size.vms);
    let (digest, sends_s) = plan.scheduler(digest);
    let hear = hear_time(&mut receiver, &digest, now);
    let route = RouteId(0);
    let message = encoded_bytes(&PeerMessage::Scheduler { route, digest });
    let mut row = row(
        "scheduler digests",
        size,
        allowance,
        sends_s,
        message as f64,
    );
    row.cpu_us_s = sends_s * hear.as_secs_f64() * 1e6 + TICKS_PER_S * tick.as_secs_f64() * 1e6;
    row.state_bytes = state_bytes;
    row.scale = format!("{} targets, {message} B each", size.targets);
    row
}

fn row(role: &str, size: Size, allowance: Allowance, sends_s: f64, message: f64) -> Row {
    let head = (allowance.request_bytes + allowance.answer_bytes) as f64;
    let bytes_s = 2.0 * sends_s * (message + head);
    Row {
        role: role.into(),
        vms: size.vms,
        bytes_s,
        most_bytes_s: bytes_s,
        exchanges_s: sends_s,
        ..Row::default()
    }
}

fn next_digest(scheduler: &mut Scheduler, now: Duration) -> (Digest, Duration) {
    let mut out = Vec::new();
    let start = Instant::now();
    scheduler.step(SchedulerEvent::Tick, now, &mut out);
    let took = start.elapsed();
    let digest = out.into_iter().find_map(|command| match command {
        SchedulerCommand::Digest(digest) => Some(digest),
        _ => None,
    });
    (digest.unwrap_or_default(), took)
}

fn hear_time(receiver: &mut Scheduler, digest: &Digest, now: Duration) -> Duration {
    const ROUNDS: u32 = 200;
    let events: Vec<_> = (0..ROUNDS)
        .map(|round| SchedulerEvent::Peer {
            from: VmId(1 + round % 10),
            digest: digest.clone(),
        })
        .collect();
    let start = Instant::now();
    for event in events {
        receiver.step(event, now, &mut Vec::new());
    }
    start.elapsed() / ROUNDS
}

/// A scheduler with this vm's part of the requests in flight.
fn busy_scheduler(size: Size) -> Scheduler {
    let mut scheduler = Scheduler::new(SchedulerConfig {
        vm: VmId(0),
        ..SchedulerConfig::default()
    });
    let mut out = Vec::new();
    let targets = (0..size.targets).map(|number| TargetInfo {
        id: target(number),
        zone: ZoneId((number % 10) as u16),
        ..TargetInfo::default()
    });
    let targets = SchedulerEvent::Targets {
        targets: targets.collect(),
        peers: size.vms as u32 - 1,
    };
    let seconds = 20.0;
    let rate = size.requests_s as f64 / size.vms as f64;
    let total = (rate * seconds) as usize;
    scheduler.step(targets, Duration::ZERO, &mut out);
    let mut ended = 0;
    for number in 0..total {
        let now = Duration::from_secs_f64(10.0 + number as f64 / rate);
        if number % 20 == 0 {
            report_all(&mut scheduler, size, now);
        }
        scheduler.step(
            SchedulerEvent::Arrival(arrival(number, size)),
            now,
            &mut out,
        );
        let request = RequestId(number as u128);
        scheduler.step(SchedulerEvent::FirstToken { request }, now, &mut out);
        while (ended as f64) < number as f64 - rate * REQUEST_S {
            let finish = SchedulerEvent::Finish {
                request: RequestId(ended as u128),
                prompt_tokens: PROMPT_TOKENS,
                output_tokens: OUTPUT_TOKENS,
            };
            scheduler.step(finish, now, &mut out);
            ended += 1;
        }
    }
    scheduler
}

fn report_all(scheduler: &mut Scheduler, size: Size, now: Duration) {
    for number in 0..size.targets {
        let report = SchedulerEvent::Report {
            target: target(number),
            report: report(),
            age: Duration::ZERO,
        };
        scheduler.step(report, now, &mut Vec::new());
    }
}

fn target(number: usize) -> TargetId {
    TargetId((number as u64 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15))
}

fn workspace(number: usize) -> WorkspaceId {
    WorkspaceId((number as u64 + 1).wrapping_mul(0xd134_2543_de82_ef95))
}

/// Spreads requests over workspaces without repeating a short cycle.
fn workspace_of(request: usize, size: Size) -> WorkspaceId {
    workspace(request.wrapping_mul(7919) % size.workspaces)
}

fn report() -> LoadReport {
    LoadReport {
        incarnation: Incarnation(1_790_000_000_000_000),
        models: [LoadedModel {
            model: "standard-chat-70b".into(),
            version: "2026-10-01".into(),
            adapters: Default::default(),
        }]
        .into_iter()
        .collect(),
        running_requests: 17,
        running_context_tokens: 31_000,
        cache_used_pieces: 900,
        cache_total_pieces: 1200,
        ..LoadReport::default()
    }
}

fn arrival(number: usize, size: Size) -> Arrival {
    Arrival {
        request: RequestId(number as u128),
        workspace: workspace_of(number, size),
        priority: Priority::Normal,
        weight: 1,
        prompt_tokens: PROMPT_TOKENS,
        max_tokens: None,
        delivered_tokens: 0,
        known_output_tokens: Some(OUTPUT_TOKENS),
        prefix: Default::default(),
        repeatable: true,
        allow_reclaimable: true,
        deadline: Duration::from_millis(1200),
        excluded: Default::default(),
        suspect: false,
    }
}

/// Digests of the limiter. They travel with target news.
pub(crate) fn limits(size: Size) -> Row {
    let before = resident_bytes();
    let mut limiter = Limiter::new(LimitConfig::default());
    let mut out = Vec::new();
    limiter.step(LimitEvent::Vms(size.vms as u32), Duration::ZERO, &mut out);
    let document = LimitsDocument {
        requests_per_s: 1000,
        ..LimitsDocument::default()
    };
    // Ten minutes of requests, with digests of ten other vms, which saw other workspaces.
    let rate = size.requests_s as f64 / size.vms as f64;
    let end = 600.0;
    let mut ticked = Duration::ZERO;
    let mut busy = Duration::ZERO;
    let mut digest = LimitDigest::default();
    for number in 0..(rate * end) as usize {
        let now = Duration::from_secs_f64(number as f64 / rate);
        while ticked < now {
            ticked += Duration::from_secs_f64(1.0 / TICKS_PER_S);
            let start = Instant::now();
            limiter.step(LimitEvent::Tick, ticked, &mut out);
            busy += start.elapsed();
            for LimitCommand::Gossip(next) in out.drain(..) {
                digest = next;
            }
        }
        let id = workspace_of(number, size);
        if limiter.admit(id, &document, now).is_ok() {
            limiter.finish(id, PROMPT_TOKENS + OUTPUT_TOKENS, 100);
        }
    }
    let now = Duration::from_secs_f64(end);
    let tick_us_s = busy.as_secs_f64() * 1e6 / end;
    let plan = Plan::new(size.vms);
    let message = encoded_bytes(&PeerMessage::Limits(digest.clone()));
    const ROUNDS: u32 = 50;
    let start = Instant::now();
    for round in 0..ROUNDS {
        let event = LimitEvent::Peer {
            from: VmId(1 + round % 10),
            digest: digest.clone(),
        };
        limiter.step(event, now, &mut Vec::new());
    }
    let hear = start.elapsed() / ROUNDS;
    let rounds_s = 1.0
        / LimitConfig::default()
            .interval(size.vms as u32)
            .as_secs_f64();
    let sends_s = plan.sends_s(rounds_s);
    let mut row = row(
        "limits",
        size,
        Allowance::default(),
        sends_s,
        message as f64,
    );
    row.exchanges_s = 0.0;
    row.cpu_us_s = sends_s * hear.as_secs_f64() * 1e6 + tick_us_s;
    row.state_bytes = resident_bytes().saturating_sub(before);
    row.scale = format!("{} workspaces, {message} B each", size.workspaces);
    row
}

/// Reading of targets, and passing on what was read.
pub(crate) fn targets(size: Size, allowance: Allowance) -> [Row; 2] {
    let reads_s = size.targets as f64 * READERS * READS_PER_S / size.vms as f64;
    let mut polls = row("target polling", size, allowance, 0.0, 0.0);
    polls.bytes_s = reads_s * POLL_BYTES;
    polls.most_bytes_s = polls.bytes_s;
    polls.exchanges_s = reads_s;
    // Two requests and two answers of the HTTP client, at the cost of one peer exchange.
    polls.cpu_us_s = 2.0 * reads_s * allowance.cpu_us / 2.0;
    polls.scale = format!("{} targets, bytes by calculation", size.targets);
    let event = CacheEvent {
        seq: 100_000,
        prefix_hash: u64::MAX,
        stored: true,
    };
    let per_target_s = size.requests_s as f64 / size.targets as f64;
    // Four new pieces and four evictions for each prompt.
    let events = (8.0 * per_target_s / READS_PER_S).ceil() as usize;
    let news = TargetUpdate {
        target: target(1),
        report: report(),
        events: vec![event; events],
    };
    let plan = Plan::new(size.vms);
    // News, limits and digests of a tick share an envelope. Where digests do not go to all, the
    // exchange is counted here.
    let message = encoded_bytes(&PeerMessage::Targets(vec![news.clone()]));
    let sends_s = plan.sends_s(reads_s);
    let mut spread = row(
        "target news",
        size,
        Allowance::default(),
        sends_s,
        message as f64,
    );
    let rounds_s = plan.extra_rounds_s();
    let head = row("", size, allowance, plan.sends_s(rounds_s), 0.0);
    spread.bytes_s += head.bytes_s;
    spread.most_bytes_s += head.bytes_s;
    spread.exchanges_s = head.exchanges_s;
    let mut receiver = busy_scheduler(size);
    const ROUNDS: u32 = 1000;
    let start = Instant::now();
    for round in 0..ROUNDS {
        let target = target(round as usize % size.targets);
        let report = SchedulerEvent::Report {
            target,
            report: news.report.clone(),
            age: Duration::ZERO,
        };
        let now = Duration::from_secs(40);
        receiver.step(report, now, &mut Vec::new());
        let events = news.events.clone();
        let cache = SchedulerEvent::Cache { target, events };
        receiver.step(cache, now, &mut Vec::new());
    }
    let hear = start.elapsed() / ROUNDS;
    spread.cpu_us_s = sends_s * hear.as_secs_f64() * 1e6;
    spread.scale = format!("{} targets, {message} B each", size.targets);
    [polls, spread]
}
