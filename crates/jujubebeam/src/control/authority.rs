//! Leases and orders: performs the commands of the `Authority` machine.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use jujubebeam_core::authority::{
    Authority, AuthorityConfig, Command, Event, Holder, Outcome, Scope, SendResult,
};
use jujubebeam_core::settings::Snapshot;
use jujubebeam_core::settings::document::TargetKind;
use jujubebeam_core::store::{StoreOp, StoreReply};
use jujubebeam_core::targets::{FencedOrder, Order, OrderAnswer, Role};
use jujubebeam_core::usage::{CloserEvent, FrozenWindow, frozen_window_key};
use jujubebeam_core::{Clock, Fence, Incarnation, settings::target_id};
use jujubebeam_engine::{EngineClient, EngineClientConfig};
use jujubebeam_http::CallError;
use jujubebeam_ordering::{
    OrderAction, OrderResult, OrderingClient, OrderingClientConfig, PlatformOrder,
};
use jujubebeam_usage::{UsageClient, UsageClientConfig, UsageReport, WorkspaceUsage};
use ntex::time::{Millis, sleep};
use serde::{Deserialize, Serialize};

use super::fleet;
use super::usage::{self, Closer};
use crate::context::Context;
use crate::part::{Part, TICK_INTERVAL, call_store, feed, start_ticking};
use crate::shared::Shared;

/// Name of the single target of the scopes `ordering` and `usage`.
pub(crate) const PLATFORM: &str = "platform";
/// Longest wait for leases to be given back when the process ends. A lease that is not given back
/// lapses after its time to live.
const SHUTDOWN_LIMIT: Duration = Duration::from_secs(3);

/// An order of this system to a target or to the platform.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum ControlOrder {
    /// Order to an engine.
    Engine(Order),
    /// Start or stop order to the platform.
    Platform(OrderAction),
    /// Report of a frozen window. Its figures are read from the store, where they never change.
    Report {
        /// The window.
        window: u64,
    },
}

/// Connects the machine.
pub(crate) struct Orders;

impl Part for Orders {
    type Machine = Authority<ControlOrder>;

    fn machine(shared: &Shared) -> &Mutex<Self::Machine> {
        &shared.authority
    }

    fn tick() -> Event<ControlOrder> {
        Event::Tick
    }

    fn perform(context: &Context, command: Command<ControlOrder>) {
        match command {
            Command::Store(call) => call_store::<Self>(context, call, Event::Store),
            Command::Send {
                scope,
                target,
                order_id,
                fence,
                order,
                deadline,
            } => {
                let send = Send {
                    target: target.clone(),
                    order_id,
                    fence,
                    deadline,
                };
                let context = context.clone();
                ntex::rt::spawn(async move {
                    let result = send.run(&context, order).await;
                    let event = Event::Sent {
                        scope,
                        target,
                        order_id,
                        result,
                    };
                    feed::<Self>(&context, event);
                });
            }
            Command::Acquired(scope, fence) => {
                log::info!("lease: {scope} acquired with fence {fence}");
                if scope == Scope::Usage {
                    feed::<Closer>(context, CloserEvent::Held(Some(fence)));
                }
            }
            Command::Lost(scope) => {
                log::info!("lease: {scope} given up or lapsed");
                if scope == Scope::Usage {
                    feed::<Closer>(context, CloserEvent::Held(None));
                }
            }
            Command::Finished {
                scope,
                target,
                order,
                outcome,
                ..
            } => {
                log::info!("lease: order to {target} in {scope} ended: {outcome:?}");
                fleet::order_ended(context, &target, &order, outcome);
                if let ControlOrder::Report { window } = order {
                    feed::<Closer>(context, ended(window, outcome));
                }
            }
            Command::Refused {
                scope,
                target,
                order,
                reason,
            } => {
                log::debug!("lease: order to {target} in {scope} not started: {reason:?}");
                fleet::order_refused(context, &target, &order, reason);
                if let ControlOrder::Report { window } = order {
                    feed::<Closer>(context, CloserEvent::NotReported(window));
                }
            }
        }
    }
}

fn ended(window: u64, outcome: Outcome) -> CloserEvent {
    match outcome {
        Outcome::Accepted => CloserEvent::Reported(window),
        Outcome::Rejected => CloserEvent::NotReported(window),
    }
}

/// Creates the machine of a fresh process.
pub(crate) fn machine(me: Holder) -> Authority<ControlOrder> {
    let config = AuthorityConfig {
        seed: me.incarnation.0 ^ u64::from(me.vm.0),
        ..AuthorityConfig::default()
    };
    Authority::new(me, config)
}

/// Starts the machine.
pub(crate) fn start(context: &Context) {
    start_ticking::<Orders>(context);
    let context = context.clone();
    ntex::rt::spawn(async move {
        let mut last = Arc::default();
        loop {
            // Only a list that was read since the last look is handed on. The machine takes the
            // absence of a vm as proof that the vm has ended, and an old list proves nothing.
            let vms = context.shared.vms();
            if !Arc::ptr_eq(&vms, &last) {
                let listed = vms.vms.iter().map(|vm| vm.vm).collect();
                feed::<Orders>(&context, Event::Vms(listed));
                last = vms;
            }
            if let Some(snapshot) = context.shared.snapshot() {
                want_scopes(&context, &snapshot);
            }
            sleep(Millis(TICK_INTERVAL.as_millis() as u32)).await;
        }
    });
}

fn want_scopes(context: &Context, snapshot: &Snapshot) {
    let platform = [
        (Scope::Ordering, snapshot.fleet.ordering.checks_fencing),
        (Scope::Usage, false),
    ];
    let groups = snapshot
        .groups
        .iter()
        .filter(|group| group.kind == TargetKind::Engine);
    let engines = groups.flat_map(|group| {
        snapshot.zones.iter().map(|zone| {
            let scope = Scope::Engines {
                group: group.name.clone(),
                zone: zone.clone(),
            };
            (scope, group.checks_fencing)
        })
    });
    for (scope, checks_fencing) in engines.chain(platform) {
        let want = Event::Acquire {
            scope,
            checks_fencing,
        };
        feed::<Orders>(context, want);
    }
}

/// Asks for an order. It is given only while this vm holds the scope and no earlier order to the
/// target is unsettled; otherwise it is dropped and logged.
pub(crate) fn request_order(context: &Context, scope: Scope, target: &str, order: ControlOrder) {
    let load = context.shared.load(target_id(target));
    let request = Event::Request {
        scope,
        target: target.to_owned(),
        target_incarnation: load.map_or(Incarnation(0), |load| load.incarnation),
        order,
    };
    feed::<Orders>(context, request);
}

/// Fence of a scope if this vm holds it.
pub(crate) fn fence(context: &Context, scope: &Scope) -> Option<Fence> {
    let machine = &context.shared.authority;
    let machine = machine.lock().unwrap_or_else(PoisonError::into_inner);
    machine.fence(scope, context.shared.clock.now())
}

/// Gives all leases back.
pub(crate) async fn shut_down(context: &Context) {
    let until = context.shared.clock.now() + SHUTDOWN_LIMIT;
    feed::<Orders>(context, Event::Shutdown);
    while context.shared.clock.now() < until {
        let idle = {
            let machine = &context.shared.authority;
            let machine = machine.lock().unwrap_or_else(PoisonError::into_inner);
            machine.is_idle()
        };
        if idle && usage::is_copied(context) {
            return;
        }
        sleep(Millis(50)).await;
    }
    log::warn!("lease: not all leases and counters were handed over; they are taken over later");
}

/// One send of one order.
struct Send {
    target: String,
    order_id: u64,
    fence: Fence,
    deadline: Duration,
}

impl Send {
    async fn run(&self, context: &Context, order: ControlOrder) -> SendResult {
        match order {
            ControlOrder::Engine(order) => self.to_engine(context, order).await,
            ControlOrder::Platform(action) => self.to_platform(context, action).await,
            ControlOrder::Report { window } => self.report(context, window).await,
        }
    }

    /// Time that is left for the call. It is read directly before the call starts.
    fn remaining(&self, context: &Context) -> Option<Duration> {
        let left = self.deadline.checked_sub(context.shared.clock.now())?;
        (!left.is_zero()).then_some(left)
    }

    async fn to_engine(&self, context: &Context, order: Order) -> SendResult {
        let snapshot = context.shared.snapshot();
        let target = snapshot.and_then(|s| s.targets.get(&target_id(&self.target)).cloned());
        let Some(target) = target else {
            return SendResult::NotSent;
        };
        let role = match order {
            Order::SetRole { role } => Some(role),
            _ => None,
        };
        if let Some(refused) = self.hold_back(context, role, &target.address).await {
            return refused;
        }
        let order = FencedOrder {
            order_id: self.order_id,
            fence: self.fence,
            order,
        };
        let Some(control_timeout) = self.remaining(context) else {
            return SendResult::NotSent;
        };
        let config = EngineClientConfig { control_timeout };
        let client = EngineClient::new(context.fresh.clone(), &target.address, config);
        match client.order(&order).await {
            Ok(OrderAnswer::Accepted) => match role {
                Some(role) => fleet::effect(context, &client, self.order_id, role).await,
                None => SendResult::Accepted,
            },
            Ok(OrderAnswer::StaleFence { .. }) => SendResult::StaleFence,
            Ok(OrderAnswer::Busy) => SendResult::Busy,
            Err(e) => failed(&self.target, &e),
        }
    }

    /// Answer for an order that must not be sent now, or not again.
    async fn hold_back(
        &self,
        context: &Context,
        role: Option<Role>,
        address: &str,
    ) -> Option<SendResult> {
        let role = role?;
        let control_timeout = self.remaining(context)?;
        let config = EngineClientConfig { control_timeout };
        let client = EngineClient::new(context.fresh.clone(), address, config);
        if fleet::was_taken(context, self.order_id) {
            // An engine that restarted after it took the order must not crash in it again.
            return Some(fleet::effect(context, &client, self.order_id, role).await);
        }
        // Directly before the send, as the wait for the record and earlier sends take time.
        let may_send = context.shared.fleet.may_send(target_id(&self.target));
        (!may_send).then_some(SendResult::NotSent)
    }

    async fn to_platform(&self, context: &Context, action: OrderAction) -> SendResult {
        let order = PlatformOrder {
            order_id: self.order_id,
            fence: self.fence,
            sender: sender(context),
            action,
        };
        let Some(timeout) = self.remaining(context) else {
            return SendResult::NotSent;
        };
        let address = context.shared.config.platform.ordering.to_string();
        let config = OrderingClientConfig { timeout };
        let client = OrderingClient::new(context.fresh.clone(), &address, config);
        match client.order(&order).await.map(|answer| answer.result) {
            Ok(OrderResult::Accepted) => SendResult::Accepted,
            Ok(OrderResult::NoCapacity | OrderResult::UnknownTarget) => SendResult::Rejected,
            Ok(OrderResult::StaleFence) => SendResult::StaleFence,
            Err(e) => failed(&self.target, &e),
        }
    }

    async fn report(&self, context: &Context, window: u64) -> SendResult {
        let key = frozen_window_key(window);
        let reply = context.store.perform(StoreOp::Get { key }).await;
        let StoreReply::Value {
            entry: Some(entry), ..
        } = reply
        else {
            return SendResult::NotSent;
        };
        let Some(frozen) = FrozenWindow::decode(&entry.value) else {
            log::error!("usage: the frozen window {window} cannot be decoded");
            return SendResult::NotSent;
        };
        let report = usage_report(context, frozen);
        let Some(timeout) = self.remaining(context) else {
            return SendResult::NotSent;
        };
        let address = context.shared.config.platform.usage.to_string();
        let config = UsageClientConfig { timeout };
        let client = UsageClient::new(context.fresh.clone(), &address, config);
        match client.report(&report).await {
            // Earlier reports of the window had the same frozen figures.
            Ok(_) => SendResult::Accepted,
            // A report is never given up: a refusal is answered by the same report later.
            Err(e) => match failed(&self.target, &e) {
                SendResult::Rejected => SendResult::Busy,
                other => other,
            },
        }
    }
}

fn usage_report(context: &Context, frozen: FrozenWindow) -> UsageReport {
    let used = frozen.workspaces.into_iter();
    UsageReport {
        window: frozen.window,
        length_s: context.shared.config.usage_window_s as u32,
        sender: sender(context),
        workspaces: used
            .map(|(workspace, counts)| WorkspaceUsage {
                workspace,
                requests: counts.requests,
                prompt_tokens: counts.prompt_tokens,
                output_tokens: counts.output_tokens,
            })
            .collect(),
    }
}

fn sender(context: &Context) -> String {
    let shared = &context.shared;
    format!("vm-{}-{}", shared.config.vm, shared.incarnation)
}

fn failed(target: &str, error: &CallError) -> SendResult {
    log::warn!("lease: order to {target} failed: {error}");
    match error {
        CallError::Refused => SendResult::NotSent,
        CallError::Status { code, .. } if (400..500).contains(code) && *code != 429 => {
            SendResult::Rejected
        }
        CallError::Status { code: 429, .. } => SendResult::Busy,
        _ => SendResult::Unknown,
    }
}
