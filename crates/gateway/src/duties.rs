//! Usage reports and orders to targets. Each is sent by the one vm that holds its lease.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

use futures_util::future::join_all;
use jujubebeam_core::authority::{Command, Event, Scope, SendResult};
use jujubebeam_core::gateway::{
    CollectStep, CountOrder, LostReports, PermitDemand, RolePolicy, ScalePolicy, Scaler, Stage,
    UsageCollection, WindowCounts, stage_changes,
};
use jujubebeam_core::store::{Expected, StoreOp, StoreReply};
use jujubebeam_core::{Fence, Incarnation, Machine};
use ntex::time::sleep;
use serde::{Deserialize, Serialize};

use crate::adapters::{Adapters, Authorised, DutiesApi, DutyResult, RateLimitNotice, StoreApi};
use crate::config::GatewayDuty;
use crate::decision_log::{DecisionKind, decision};
use crate::message::Message;
use crate::notice;
use crate::peers;
use crate::permit;
use crate::server::Context;
use crate::state::Shared;

/// Time for a broadcast message to reach the other vms in this zone and a second one.
const BROADCAST_DELAY: Duration = Duration::from_millis(30);

/// Longest time for one order. The lease must be valid for as long.
const ORDER_TIME_LIMIT: Duration = Duration::from_millis(750);

/// Time after which the order is repeated to an engine that has not changed its stage.
const ORDER_RETRY_INTERVAL: Duration = Duration::from_secs(8);

/// Time without added or removed engines after which their distribution over the stages is
/// evaluated.
const STAGE_SETTLE_TIME: Duration = Duration::from_millis(1000);

/// Interval between checks of the leases and the usage windows.
const DUTY_INTERVAL: Duration = Duration::from_millis(200);

/// Time after the end of a window before its counts are collected. The clocks of vms differ
/// slightly, and answers of requests that started in the window may still be in transit.
const WINDOW_SETTLE_TIME: Duration = Duration::from_millis(1200);

/// A report is no longer sent when less than this time is left until it is due.
const REPORT_DUE_MARGIN: Duration = Duration::from_millis(500);

/// Time before the report is due at which the counts are closed even if a vm has not answered. They
/// are then written to the store, and two calls may each have to be repeated.
const WINDOW_CLOSE_MARGIN: Duration = Duration::from_secs(4);

/// Target name of orders for a number of targets, which only the platform receives.
const PLATFORM: &str = "platform";

/// An order that only the holder of the lease sends.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Order {
    /// To an engine: change to this stage.
    Stage(Stage),
    /// To the platform: run this number of targets.
    Count(CountOrder),
}

/// Competes for the leases of this vm's duties and performs those that it holds, until the process
/// ends.
pub(crate) async fn run<A: Adapters>(context: &Context<A>) {
    let config = &context.shared.config;
    let address = config.duties_address.map(|a| a.to_string());
    let client = Rc::new(A::Duties::new(
        context.http.clone(),
        &address.clone().unwrap_or_default(),
    ));
    let reports_usage = address.is_some() && config.duties.contains(&GatewayDuty::Usage);
    if reports_usage {
        request_lease(context, &client, Scope::Usage);
    }
    let orders_targets = address.is_some() && config.duties.contains(&GatewayDuty::Ordering);
    if orders_targets {
        request_lease(context, &client, Scope::Ordering);
    }
    let mut scaler = Scaler::default();
    let mut reported = BTreeSet::new();
    let mut collection = UsageCollection::default();
    let mut lost_reports = LostReports::default();
    let mut ordered = BTreeMap::new();
    loop {
        let vms = context.shared.membership().listed();
        feed(context, &client, Event::Vms(vms));
        feed(context, &client, Event::Tick);
        order_stages(context, &client, &mut ordered);
        if orders_targets {
            order_counts(context, &client, &mut scaler);
        }
        if reports_usage {
            observe_era(&context.shared, &mut lost_reports);
            let reports = Reports {
                reported: &mut reported,
                lost: &mut lost_reports,
            };
            report_due(context, &client, reports, &mut collection).await;
        }
        sleep(DUTY_INTERVAL).await;
    }
}

fn request_lease<A: Adapters>(context: &Context<A>, client: &Rc<A::Duties>, scope: Scope) {
    let event = Event::Acquire {
        scope,
        checks_fencing: context.shared.config.targets_check_fences,
    };
    feed(context, client, event);
}

/// Orders engines of each service to change their stage until the desired distribution is reached.
fn order_stages<A: Adapters>(
    context: &Context<A>,
    client: &Rc<A::Duties>,
    ordered: &mut BTreeMap<String, (Stage, Duration)>,
) {
    let shared = &context.shared;
    let Some(settings) = shared.settings() else {
        return;
    };
    let now = shared.now();
    ordered.retain(|_, (_, at)| now < *at + ORDER_RETRY_INTERVAL);
    for service in settings.services.values().filter(|s| s.engine.is_some()) {
        let scope = Scope::Engines {
            group: service.name.clone(),
            zone: "all".into(),
        };
        request_lease(context, client, scope.clone());
        if shared.authority().fence(&scope, now).is_none() {
            continue;
        }
        let policy = RolePolicy {
            prefill_ratio: shared.config.prefill_part,
            ..RolePolicy::default()
        };
        let changes: Vec<_> = {
            let fleet = shared.fleet();
            let pending = ordered
                .iter()
                .filter_map(|(target, (stage, _))| Some((fleet.catalog.key_of(target)?, *stage)));
            let pending: Vec<_> = pending.collect();
            let changes = stage_changes(&fleet.catalog, &service.name, policy, &pending, now);
            // An engine that is backing off gets its order when its backoff has ended.
            let is_available = |key| fleet.placer.backoff_remaining(key, now).is_zero();
            let changes = changes.into_iter().filter(|(key, _)| is_available(*key));
            let named = changes.filter_map(|(key, stage)| {
                let target = fleet.catalog.get(key)?;
                Some((target.id.clone(), target.born_ms, stage))
            });
            named.collect()
        };
        // The distribution cannot be evaluated while engines are being added or removed.
        let is_settled = now >= shared.fleet().catalog.changed_at(now) + STAGE_SETTLE_TIME;
        if !is_settled {
            continue;
        }
        for (target, born_ms, stage) in changes {
            ordered.insert(target.clone(), (stage, now));
            let event = Event::Request {
                scope: scope.clone(),
                target,
                target_incarnation: Incarnation(born_ms),
                order: Order::Stage(stage),
            };
            feed(context, client, event);
        }
    }
}

/// Orders missing reclaimable engines, one zone at a time.
fn order_counts<A: Adapters>(context: &Context<A>, client: &Rc<A::Duties>, scaler: &mut Scaler) {
    let shared = &context.shared;
    let Some(settings) = shared.settings() else {
        return;
    };
    let now = shared.now();
    if shared.authority().fence(&Scope::Ordering, now).is_none() {
        return;
    }
    let policy = ScalePolicy {
        regular_ratio: shared.config.regular_part,
        ..ScalePolicy::default()
    };
    let order = {
        let fleet = shared.fleet();
        let mut services = settings.services.values();
        services.find_map(|service| scaler.next_order(&fleet.catalog, service, policy, now))
    };
    let Some(order) = order else {
        return;
    };
    let event = Event::Request {
        scope: Scope::Ordering,
        target: PLATFORM.into(),
        target_incarnation: Incarnation(0),
        order: Order::Count(order),
    };
    feed(context, client, event);
}

/// Sends an order and returns how the send ended.
async fn send_order<A: Adapters>(
    context: &Context<A>,
    client: &Rc<A::Duties>,
    target: &str,
    fence: Fence,
    order: Order,
    deadline: Duration,
) -> SendResult {
    let shared = &context.shared;
    if shared.now() + ORDER_TIME_LIMIT > deadline {
        return SendResult::NotSent;
    }
    let authorised = || Authorised {
        holder: &shared.config.vm_name,
        fence,
        valid_for: deadline.saturating_sub(shared.now()),
    };
    let result = match &order {
        Order::Stage(stage) => {
            let found = shared.fleet().catalog.by_id(target).cloned();
            let Some(found) = found else {
                return SendResult::Rejected;
            };
            if is_backing_off(shared, target) {
                return SendResult::NotSent;
            }
            let key = shared.fleet().catalog.key_of(target);
            let Some(key) = key else {
                return SendResult::Rejected;
            };
            let (service, demand) = (&found.service, PermitDemand::default());
            if !permit::acquire(context, service, key, demand, ORDER_TIME_LIMIT).await {
                return SendResult::NotSent;
            }
            // All vms stop sending new work before the engine starts to refuse it.
            let now = shared.now();
            shared.fleet().changes_stage(target, *stage, now);
            let message = Message::Changing {
                target: target.to_owned(),
                stage: *stage,
            };
            peers::broadcast(context, &message);
            sleep(BROADCAST_DELAY).await;
            let now = shared.now();
            if !shared.fleet().catalog.is_usable(key, now) {
                return SendResult::Rejected;
            }
            let answer = client.order_stage(authorised(), &found, *stage).await;
            notice::apply_notice(context, key, &found, answer.notice);
            // Answers to orders may lack a limit that other answers state.
            if answer.notice.rate_limit != RateLimitNotice::None {
                let sent_at = shared.now();
                notice::record_rate_limit(context, key, &found, answer.notice, sent_at);
            }
            answer.result
        }
        Order::Count(order) => client.order_count(authorised(), order).await,
    };
    shared.metrics.duty("order", result == SendResult::Accepted);
    decision!(
        shared,
        DecisionKind::Duty,
        duty = "order",
        target,
        order:? = order,
        fence:% = fence,
        outcome:? = result
    );
    result
}

/// Whether a target has requested backoff from this vm.
fn is_backing_off(shared: &Shared, target: &str) -> bool {
    let (fleet, now) = (shared.fleet(), shared.now());
    let key = fleet.catalog.key_of(target);
    key.is_some_and(|key| !fleet.placer.backoff_remaining(key, now).is_zero())
}

fn usage_fence<A: Adapters>(context: &Context<A>) -> Option<Fence> {
    let shared = &context.shared;
    shared.authority().fence(&Scope::Usage, shared.now())
}

fn observe_era(shared: &Shared, lost: &mut LostReports) {
    let revision = shared.replicas().settings.mirror.complete();
    let now = shared.usage().true_time.now(shared.now());
    if let Some(revision) = revision {
        lost.observe(revision, now);
    }
}

/// Usage reports that need not or must not be sent.
struct Reports<'a> {
    reported: &'a mut BTreeSet<u64>,
    lost: &'a mut LostReports,
}

async fn report_due<A: Adapters>(
    context: &Context<A>,
    client: &A::Duties,
    reports: Reports<'_>,
    collection: &mut UsageCollection,
) {
    let Reports { reported, lost } = reports;
    let shared = &context.shared;
    if usage_fence(context).is_none() {
        return;
    }
    let due = Duration::from_millis(shared.config.usage_due_ms);
    let window = {
        let usage = shared.usage();
        let now = usage.true_time.now(shared.now());
        let last = usage
            .windows
            .window_at(now.saturating_sub(WINDOW_SETTLE_TIME));
        let length = Duration::from_millis(shared.config.usage_window_ms);
        let behind = (due.as_nanos() / length.as_nanos().max(1)) as u64 + 1;
        let window = (last.saturating_sub(behind)..last).find(|window| {
            let end = usage.windows.end_of(*window);
            !reported.contains(window) && now + REPORT_DUE_MARGIN < end + due
        });
        window.map(|window| {
            let close = usage.windows.end_of(window) + due.saturating_sub(WINDOW_CLOSE_MARGIN);
            (window, close.saturating_sub(now))
        })
    };
    let Some((window, max_wait)) = window else {
        return;
    };
    if !collect_counts(context, collection, window, max_wait).await {
        return;
    }
    let counts = match freeze_counts(context, lost, window).await {
        Frozen::Counts(counts) => counts,
        Frozen::Unknown => return,
        Frozen::MayBeReported => {
            decision!(
                shared,
                DecisionKind::Duty,
                duty = "usage",
                window,
                outcome = "may_be_reported"
            );
            reported.insert(window);
            return;
        }
    };
    // The lease may have been lost while the counts were collected.
    let (fence, valid_for) = {
        let (authority, now) = (shared.authority(), shared.now());
        let held = authority.fence(&Scope::Usage, now);
        let Some(held) = held.zip(authority.remaining_validity(&Scope::Usage, now)) else {
            return;
        };
        held
    };
    let authorised = Authorised {
        holder: &shared.config.vm_name,
        fence,
        valid_for,
    };
    let result = client.report_usage(authorised, window, &counts).await;
    decision!(
        shared,
        DecisionKind::Duty,
        duty = "usage",
        window,
        fence:% = fence,
        requests = counts.0.values().sum::<u64>(),
        outcome:? = result
    );
    shared.metrics.duty("usage", result == DutyResult::Accepted);
    let is_final = match result {
        DutyResult::Accepted => true,
        DutyResult::Refused(status) => status != 429 && status < 500,
        DutyResult::Failed(_) => false,
    };
    if is_final {
        reported.insert(window);
        while reported.len() > 64 {
            reported.pop_first();
        }
    }
}

/// Counts of a window that a report must have.
enum Frozen {
    Counts(WindowCounts),
    /// The store did not reply, or another holder is writing them.
    Unknown,
    /// A store that was restored has lost them, and they may have been reported.
    MayBeReported,
}

/// Returns the counts of a window as frozen in the store. They are stored before the first report
/// is sent, so that every holder of the lease reports the same counts.
async fn freeze_counts<A: Adapters>(
    context: &Context<A>,
    lost: &mut LostReports,
    window: u64,
) -> Frozen {
    let key = format!("usage/{window}");
    let read = StoreOp::Get { key: key.clone() };
    let StoreReply::Value { entry, store } = context.store.perform(read).await else {
        return Frozen::Unknown;
    };
    let (end, now) = {
        let usage = context.shared.usage();
        let now = usage.true_time.now(context.shared.now());
        (usage.windows.end_of(window), now)
    };
    lost.observe(store, now);
    if let Some(entry) = entry {
        let counts = rmp_serde::from_slice(&entry.value);
        return counts.map_or(Frozen::Unknown, Frozen::Counts);
    }
    if lost.may_include(end) {
        return Frozen::MayBeReported;
    }
    let counts = context.shared.usage().windows.counts(window);
    let Ok(value) = rmp_serde::to_vec(&counts) else {
        return Frozen::Unknown;
    };
    let op = StoreOp::Cas {
        key,
        expected: Expected::Absent,
        value,
        lease: None,
        guard: None,
    };
    match context.store.perform(op).await {
        StoreReply::Written { .. } => Frozen::Counts(counts),
        // Another holder has written them, or the outcome is unknown. The next round reads the key.
        _ => Frozen::Unknown,
    }
}

/// Collects the counts of a window from the other vms. Returns whether the window can be closed.
async fn collect_counts<A: Adapters>(
    context: &Context<A>,
    collection: &mut UsageCollection,
    window: u64,
    max_wait: Duration,
) -> bool {
    let shared = &context.shared;
    let mut vms = peers::reachable_peers(context);
    // A vm that is unreachable for a while still has its counts.
    vms.extend(shared.membership().listed());
    vms.retain(|vm| *vm != shared.vm);
    vms.sort_unstable();
    vms.dedup();
    let queried = match collection.next(window, &vms, max_wait, shared.now()) {
        CollectStep::Query(vms) => vms,
        CollectStep::Wait => return false,
        CollectStep::Close { missing } => {
            if missing > 0 {
                decision!(
                    shared,
                    DecisionKind::Duty,
                    duty = "usage",
                    window,
                    vms_without_answer = missing
                );
            }
            return true;
        }
    };
    let queries = queried.iter().map(|vm| async move {
        let query = vec![Message::Collect { window }];
        (*vm, peers::exchange(context, *vm, query).await)
    });
    for (vm, answer) in join_all(queries).await {
        for message in answer.into_iter().flatten() {
            if let Message::Counts(counts) = message {
                peers::merge_counts(context, counts);
                collection.mark_received(window, vm);
            }
        }
    }
    // No more queries are needed if all vms answered.
    matches!(
        collection.next(window, &vms, max_wait, shared.now()),
        CollectStep::Close { missing: 0 }
    )
}

/// Feeds an event to the lease state machine and performs the commands that it returns.
fn feed<A: Adapters>(context: &Context<A>, client: &Rc<A::Duties>, event: Event<Order>) {
    let shared = &context.shared;
    let mut commands = Vec::new();
    shared.authority().step(event, shared.now(), &mut commands);
    for command in commands {
        match command {
            Command::Store(call) => {
                let (context, client) = (context.clone(), client.clone());
                ntex::rt::spawn(async move {
                    let reply = context.store.perform(call.op).await;
                    feed(&context, &client, Event::Store(call.token, reply));
                });
            }
            Command::Acquired(scope, fence) => {
                decision!(
                    shared,
                    DecisionKind::Duty,
                    duty = "lease",
                    scope:% = scope,
                    fence:% = fence,
                    state = "acquired"
                );
            }
            Command::Lost(scope) => {
                decision!(
                    shared,
                    DecisionKind::Duty,
                    duty = "lease",
                    scope:% = scope,
                    state = "lost"
                );
            }
            Command::Send {
                scope,
                target,
                order_id,
                fence,
                order,
                deadline,
            } => {
                let (context, client) = (context.clone(), client.clone());
                ntex::rt::spawn(async move {
                    let sent = send_order(&context, &client, &target, fence, order, deadline);
                    let result = sent.await;
                    let event = Event::Sent {
                        scope,
                        target,
                        order_id,
                        result,
                    };
                    feed(&context, &client, event);
                });
            }
            Command::Finished {
                target, outcome, ..
            } => {
                decision!(
                    shared,
                    DecisionKind::Duty,
                    duty = "stage",
                    target:% = target,
                    outcome:? = outcome
                );
            }
            Command::Refused { target, reason, .. } => {
                decision!(
                    shared,
                    DecisionKind::Duty,
                    duty = "stage",
                    target:% = target,
                    refused:? = reason
                );
            }
        }
    }
}
