//! Usage reports and orders to engines, sent by the one vm that holds the lease of each.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

use futures_util::future::join_all;
use jujubebeam_core::authority::{Command, Event, Scope, SendResult};
use jujubebeam_core::gateway::{
    CollectStep, CountOrder, RolePolicy, ScalePolicy, Scaler, Stage, UsageCollection, WindowCounts,
    stage_changes,
};
use jujubebeam_core::store::{Expected, StoreOp, StoreReply};
use jujubebeam_core::{Fence, Incarnation, Machine};
use ntex::time::sleep;
use serde::{Deserialize, Serialize};

use crate::config::GatewayDuty;
use crate::edges::{Authorised, DutiesApi, DutyResult, Edges, StoreApi};
use crate::journal::{LineKind, decision};
use crate::message::Message;
use crate::notice;
use crate::peers;
use crate::server::Context;
use crate::state::Shared;

/// Time in which a message reaches the other vms of a zone or two.
const TELL_TIME: Duration = Duration::from_millis(30);

/// Time for one order; the lease must hold for as long.
const ORDER_TIME: Duration = Duration::from_millis(750);

/// Time after which an engine that has not changed its stage is ordered again.
const ORDER_AGAIN: Duration = Duration::from_secs(8);

/// Time without coming or going engines after which their stages are judged.
const SETTLE_STAGES: Duration = Duration::from_millis(1000);

/// Time between two looks at the lease and the windows.
const INTERVAL: Duration = Duration::from_millis(200);

/// Time after the end of a window before it is collected. Clocks of vms differ a little, and the
/// answers of requests that began in the window may be on their way.
const SETTLE: Duration = Duration::from_millis(1200);

/// Time before the report is due after which it is no longer sent.
const DUE_MARGIN: Duration = Duration::from_millis(500);

/// Time before the report is due at which figures are closed, though a vm is silent. They are written
/// to the store, and two calls may each have to be repeated.
const CLOSE_MARGIN: Duration = Duration::from_secs(4);

/// Name under which orders for targets are recorded; the platform is the only receiver.
const PLATFORM: &str = "platform";

/// An order that one vm at a time gives.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Order {
    /// To an engine: change the stage.
    Stage(Stage),
    /// To the platform: keep this number of targets.
    Count(CountOrder),
}

/// Performs the duties of this vm until the process ends.
pub(crate) async fn run<E: Edges>(context: &Context<E>) {
    let config = &context.shared.config;
    let address = config.duties_address.map(|a| a.to_string());
    let client = Rc::new(E::Duties::new(
        context.http.clone(),
        &address.clone().unwrap_or_default(),
    ));
    let reports_usage = address.is_some() && config.duties.contains(&GatewayDuty::Usage);
    if reports_usage {
        want(context, &client, Scope::Usage);
    }
    let orders_targets = address.is_some() && config.duties.contains(&GatewayDuty::Ordering);
    if orders_targets {
        want(context, &client, Scope::Ordering);
    }
    let mut scaler = Scaler::default();
    let mut reported = BTreeSet::new();
    let mut collection = UsageCollection::default();
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
            report_due(context, &client, &mut reported, &mut collection).await;
        }
        sleep(INTERVAL).await;
    }
}

fn want<E: Edges>(context: &Context<E>, client: &Rc<E::Duties>, scope: Scope) {
    let event = Event::Want {
        scope,
        checks_fencing: context.shared.config.targets_check_fences,
    };
    feed(context, client, event);
}

/// Brings the stages of the engines of each service to their distribution.
fn order_stages<E: Edges>(
    context: &Context<E>,
    client: &Rc<E::Duties>,
    ordered: &mut BTreeMap<String, (Stage, Duration)>,
) {
    let shared = &context.shared;
    let Some(settings) = shared.settings() else {
        return;
    };
    let now = shared.now();
    ordered.retain(|_, (_, at)| now < *at + ORDER_AGAIN);
    for service in settings.services.values().filter(|s| s.engine.is_some()) {
        let scope = Scope::Engines {
            group: service.name.clone(),
            zone: "all".into(),
        };
        want(context, client, scope.clone());
        if shared.authority().fence(&scope, now).is_none() {
            continue;
        }
        let policy = RolePolicy {
            prefill_ratio: shared.config.prefill_part,
            ..RolePolicy::default()
        };
        let changes: Vec<_> = {
            let fleet = shared.fleet();
            let under_way = ordered
                .iter()
                .filter_map(|(target, (stage, _))| Some((fleet.catalog.key_of(target)?, *stage)));
            let under_way: Vec<_> = under_way.collect();
            let changes = stage_changes(&fleet.catalog, &service.name, policy, &under_way);
            // An engine that wants no work gets its order when it is back.
            let awake = |key| fleet.placer.backoff_remaining(key, now).is_zero();
            let changes = changes.into_iter().filter(|(key, _)| awake(*key));
            let named = changes.filter_map(|(key, stage)| {
                let target = fleet.catalog.get(key)?;
                Some((target.id.clone(), target.born_ms, stage))
            });
            named.collect()
        };
        // While engines come and go the distribution cannot be judged.
        let is_settled = now >= shared.fleet().catalog.changed_at() + SETTLE_STAGES;
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

/// Orders the reclaimable engines that are missing, one zone at a time.
fn order_counts<E: Edges>(context: &Context<E>, client: &Rc<E::Duties>, scaler: &mut Scaler) {
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

/// Sends an order of the lease machine and tells it how the send ended.
async fn send_order<E: Edges>(
    context: &Context<E>,
    client: &Rc<E::Duties>,
    target: &str,
    fence: Fence,
    order: Order,
    deadline: Duration,
) -> SendResult {
    let shared = &context.shared;
    if shared.now() + ORDER_TIME > deadline {
        return SendResult::NotSent;
    }
    let authorised = || Authorised {
        holder: &shared.config.vm_name,
        fence,
        within: deadline.saturating_sub(shared.now()),
    };
    let result = match &order {
        Order::Stage(stage) => {
            let found = shared.fleet().catalog.by_id(target).cloned();
            let Some(found) = found else {
                return SendResult::Rejected;
            };
            if rests(shared, target) {
                return SendResult::NotSent;
            }
            // All vms keep new work away before the engine begins to refuse it.
            let now = shared.now();
            shared.fleet().changes_stage(target, *stage, now);
            let message = Message::Changing {
                target: target.to_owned(),
                stage: *stage,
            };
            peers::tell_all(context, &message);
            sleep(TELL_TIME).await;
            let answer = client.order_stage(authorised(), &found, *stage).await;
            let key = shared.fleet().catalog.key_of(target);
            if let Some(key) = key {
                notice::learn(context, key, &found, answer.notice);
            }
            answer.result
        }
        Order::Count(order) => client.order_count(authorised(), order).await,
    };
    shared.metrics.duty("order", result == SendResult::Accepted);
    decision!(
        shared,
        LineKind::Duty,
        duty = "order",
        target,
        order:? = order,
        fence:% = fence,
        outcome:? = result
    );
    result
}

/// Whether a target wants nothing from this vm now.
fn rests(shared: &Shared, target: &str) -> bool {
    let (fleet, now) = (shared.fleet(), shared.now());
    let key = fleet.catalog.key_of(target);
    key.is_some_and(|key| !fleet.placer.backoff_remaining(key, now).is_zero())
}

fn fence<E: Edges>(context: &Context<E>) -> Option<Fence> {
    let shared = &context.shared;
    shared.authority().fence(&Scope::Usage, shared.now())
}

async fn report_due<E: Edges>(
    context: &Context<E>,
    client: &E::Duties,
    reported: &mut BTreeSet<u64>,
    collection: &mut UsageCollection,
) {
    let shared = &context.shared;
    if fence(context).is_none() {
        return;
    }
    let due = Duration::from_millis(shared.config.usage_due_ms);
    let window = {
        let usage = shared.usage();
        let now = usage.true_time.now(shared.now());
        let last = usage.windows.window_at(now.saturating_sub(SETTLE));
        let length = Duration::from_millis(shared.config.usage_window_ms);
        let behind = (due.as_nanos() / length.as_nanos().max(1)) as u64 + 1;
        let window = (last.saturating_sub(behind)..last).find(|window| {
            let end = usage.windows.end_of(*window);
            !reported.contains(window) && now + DUE_MARGIN < end + due
        });
        window.map(|window| {
            let close = usage.windows.end_of(window) + due.saturating_sub(CLOSE_MARGIN);
            (window, close.saturating_sub(now))
        })
    };
    let Some((window, patience)) = window else {
        return;
    };
    if !collect(context, collection, window, patience).await {
        return;
    }
    let Some(counts) = frozen(context, window).await else {
        return;
    };
    // The lease may have been lost while the counts were collected.
    let (fence, within) = {
        let (authority, now) = (shared.authority(), shared.now());
        let held = authority.fence(&Scope::Usage, now);
        let Some(held) = held.zip(authority.holds_for(&Scope::Usage, now)) else {
            return;
        };
        held
    };
    let authorised = Authorised {
        holder: &shared.config.vm_name,
        fence,
        within,
    };
    let result = client.report_usage(authorised, window, &counts).await;
    decision!(
        shared,
        LineKind::Duty,
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

/// Figures of a window. They are in the store before anything is sent, so that every holder sends
/// the same.
async fn frozen<E: Edges>(context: &Context<E>, window: u64) -> Option<WindowCounts> {
    let key = format!("usage/{window}");
    let read = StoreOp::Get { key: key.clone() };
    if let StoreReply::Value {
        entry: Some(entry), ..
    } = context.store.perform(read.clone()).await
    {
        return rmp_serde::from_slice(&entry.value).ok();
    }
    let counts = context.shared.usage().windows.counts(window);
    let op = StoreOp::Cas {
        key,
        expected: Expected::Absent,
        value: rmp_serde::to_vec(&counts).ok()?,
        lease: None,
        guard: None,
    };
    match context.store.perform(op).await {
        StoreReply::Written { .. } => Some(counts),
        // Another holder was first, or the outcome is unknown: the next round reads it.
        _ => None,
    }
}

/// Asks the other vms for their counts of a window. Returns whether the figures can be closed.
async fn collect<E: Edges>(
    context: &Context<E>,
    collection: &mut UsageCollection,
    window: u64,
    patience: Duration,
) -> bool {
    let shared = &context.shared;
    let mut vms = peers::others(context);
    // A vm that cannot be reached for a while still has its counts.
    vms.extend(shared.membership().listed());
    vms.retain(|vm| *vm != shared.vm);
    vms.sort_unstable();
    vms.dedup();
    let asked = match collection.next(window, &vms, patience, shared.now()) {
        CollectStep::Query(vms) => vms,
        CollectStep::Wait => return false,
        CollectStep::Close { missing } => {
            if missing > 0 {
                decision!(
                    shared,
                    LineKind::Duty,
                    duty = "usage",
                    window,
                    vms_without_answer = missing
                );
            }
            return true;
        }
    };
    let questions = asked.iter().map(|vm| async move {
        let question = vec![Message::Collect { window }];
        (*vm, peers::exchange(context, *vm, question).await)
    });
    for (vm, answer) in join_all(questions).await {
        for message in answer.into_iter().flatten() {
            if let Message::Counts(copies) = message {
                peers::merge_counts(context, copies);
                collection.mark_received(window, vm);
            }
        }
    }
    // Nothing more has to be asked if all answered.
    matches!(
        collection.next(window, &vms, patience, shared.now()),
        CollectStep::Close { missing: 0 }
    )
}

/// Feeds the lease machine and performs its commands.
fn feed<E: Edges>(context: &Context<E>, client: &Rc<E::Duties>, event: Event<Order>) {
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
                    LineKind::Duty,
                    duty = "lease",
                    scope:% = scope,
                    fence:% = fence,
                    state = "acquired"
                );
            }
            Command::Lost(scope) => {
                decision!(
                    shared,
                    LineKind::Duty,
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
                    LineKind::Duty,
                    duty = "stage",
                    target:% = target,
                    outcome:? = outcome
                );
            }
            Command::Refused { target, reason, .. } => {
                decision!(
                    shared,
                    LineKind::Duty,
                    duty = "stage",
                    target:% = target,
                    refused:? = reason
                );
            }
        }
    }
}
