//! Ordering of targets by zone and price class.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use jujubebeam_core::Fence;
use jujubebeam_http::{HttpClientConfig, JsonClient, build_client};
use jujubebeam_ordering::{
    OrderAction, OrderResult, OrderedTarget, OrderedTargets, PlatformOrder, PlatformOrderAnswer,
    PlatformTargetState, paths,
};
use ntex::web::{self, HttpResponse, ServiceConfig};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

use super::{Platform, PlatformState};
use crate::control::{FAULTS_PATH, lock};

/// Withdraws the targets of a class in a zone.
const RECLAIM_PATH: &str = "/standin/reclaim";
const EXIT_TIMEOUT: Duration = Duration::from_secs(1);
/// Longer than any client waits.
const LOST_ANSWER: Duration = Duration::from_secs(30);

/// A process that can become an ordered target.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Spare {
    /// Address of the process.
    pub(crate) address: String,
    /// Zone by name.
    pub(crate) zone: String,
    /// Price class.
    pub(crate) class: String,
}

/// Targets at the start.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub(crate) struct TargetFile {
    /// Targets that run.
    pub(crate) targets: Vec<OrderedTarget>,
    /// Processes that can be ordered.
    pub(crate) spares: Vec<Spare>,
}

/// Faults of the ordering interface.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub(crate) struct OrderingFaults {
    /// Answers with status 503 before any effect.
    pub(crate) outage: bool,
    /// Delays each answer to an order. The order takes effect at once.
    pub(crate) delay_ms: u64,
    /// Number of orders whose answers get lost after they took effect.
    pub(crate) lose_answers: u32,
    /// Whether orders with an old fencing token are refused.
    pub(crate) checks_fencing: bool,
    /// Time from an order until the target runs.
    pub(crate) start_ms: u64,
}

impl Default for OrderingFaults {
    fn default() -> Self {
        Self {
            outage: false,
            delay_ms: 0,
            lose_answers: 0,
            checks_fencing: true,
            start_ms: 3000,
        }
    }
}

struct Running {
    target: OrderedTarget,
    /// When the next state is due: running, or gone.
    due: Option<Instant>,
}

#[derive(Default)]
struct Orders {
    targets: Vec<Running>,
    spares: Vec<Spare>,
    answers: BTreeMap<u64, PlatformOrderAnswer>,
    highest: Fence,
    received: Vec<(OrderResult, PlatformOrder)>,
    serial: u32,
}

/// Ordered targets and all orders in the order of arrival.
pub(crate) struct Ordering {
    orders: Mutex<Orders>,
}

impl Ordering {
    pub(crate) fn new(file: TargetFile) -> Self {
        let targets = file.targets.into_iter();
        Self {
            orders: Mutex::new(Orders {
                targets: targets
                    .map(|target| Running { target, due: None })
                    .collect(),
                spares: file.spares,
                ..Orders::default()
            }),
        }
    }

    pub(crate) fn records(&self) -> Value {
        let orders = lock(&self.orders);
        let record = |(result, order): &(OrderResult, PlatformOrder)| json!({"result": result, "order": order});
        orders.received.iter().map(record).collect()
    }
}

/// Adds the routes of the interface.
pub(crate) fn configure(config: &mut ServiceConfig) {
    config
        .route(paths::ORDERS, web::post().to(order))
        .route(paths::TARGETS, web::get().to(targets))
        .route(RECLAIM_PATH, web::post().to(reclaim));
}

impl Orders {
    fn take(&mut self, order: PlatformOrder, faults: &OrderingFaults) -> PlatformOrderAnswer {
        let answer = self.decide(&order, faults);
        self.received.push((answer.result, order));
        answer
    }

    fn decide(&mut self, order: &PlatformOrder, faults: &OrderingFaults) -> PlatformOrderAnswer {
        let refused = |result| PlatformOrderAnswer {
            result,
            target: None,
        };
        if faults.checks_fencing && order.fence < self.highest {
            return refused(OrderResult::StaleFence);
        }
        self.highest = self.highest.max(order.fence);
        if let Some(answer) = self.answers.get(&order.order_id) {
            return answer.clone();
        }
        let target = match &order.action {
            OrderAction::Start { group, zone, class } => self
                .start(group, zone, class, Duration::from_millis(faults.start_ms))
                .ok_or(OrderResult::NoCapacity),
            OrderAction::Stop { target } => self.stop(target).ok_or(OrderResult::UnknownTarget),
        };
        let target = match target {
            Ok(target) => target,
            Err(result) => return refused(result),
        };
        let answer = PlatformOrderAnswer {
            result: OrderResult::Accepted,
            target: Some(target),
        };
        self.answers.insert(order.order_id, answer.clone());
        answer
    }

    fn start(&mut self, group: &str, zone: &str, class: &str, time: Duration) -> Option<String> {
        let fits = |s: &Spare| s.zone == zone && s.class == class;
        let position = self.spares.iter().position(fits)?;
        let spare = self.spares.remove(position);
        self.serial += 1;
        let name = format!("{group}-ordered-{}", self.serial);
        self.targets.push(Running {
            target: OrderedTarget {
                target: name.clone(),
                group: group.into(),
                zone: spare.zone,
                class: spare.class,
                address: spare.address,
                state: PlatformTargetState::Starting,
            },
            due: Some(Instant::now() + time),
        });
        Some(name)
    }

    fn stop(&mut self, name: &str) -> Option<String> {
        let position = self.targets.iter().position(|t| t.target.target == name)?;
        let stopped = self.targets.remove(position).target;
        // The process lives on and can be ordered again.
        self.spares.push(Spare {
            address: stopped.address,
            zone: stopped.zone,
            class: stopped.class,
        });
        Some(stopped.target)
    }

    /// Performs what is due and returns the addresses of withdrawn targets.
    fn advance(&mut self) -> Vec<String> {
        let now = Instant::now();
        let mut withdrawn = Vec::new();
        self.targets.retain_mut(|running| {
            if running.due.is_none_or(|due| due > now) {
                return true;
            }
            running.due = None;
            if running.target.state == PlatformTargetState::Reclaiming {
                withdrawn.push(running.target.address.clone());
                return false;
            }
            running.target.state = PlatformTargetState::Running;
            true
        });
        withdrawn
    }
}

/// Lets time pass for the targets. Withdrawn targets are told to exit.
pub(crate) async fn advance(platform: &Arc<Platform>) {
    let withdrawn = lock(&platform.ordering.orders).advance();
    if withdrawn.is_empty() {
        return;
    }
    let client = build_client(HttpClientConfig::default()).await;
    for address in withdrawn {
        let json = JsonClient::new(client.clone(), &address, EXIT_TIMEOUT);
        // The process ends without an answer.
        let _ = json
            .post::<_, Value>(FAULTS_PATH, &json!({"exit": true}))
            .await;
    }
}

async fn order(platform: PlatformState, order: web::types::Json<PlatformOrder>) -> HttpResponse {
    let faults = lock(&platform.faults).ordering.clone();
    if faults.outage {
        return HttpResponse::ServiceUnavailable().finish();
    }
    let answer = lock(&platform.ordering.orders).take(order.into_inner(), &faults);
    if faults.lose_answers > 0 {
        lock(&platform.faults).ordering.lose_answers -= 1;
        tokio::time::sleep(LOST_ANSWER).await;
        return HttpResponse::ServiceUnavailable().finish();
    }
    tokio::time::sleep(Duration::from_millis(faults.delay_ms)).await;
    HttpResponse::Ok().json(&answer)
}

async fn targets(platform: PlatformState) -> HttpResponse {
    if lock(&platform.faults).ordering.outage {
        return HttpResponse::ServiceUnavailable().finish();
    }
    let orders = lock(&platform.ordering.orders);
    let targets = orders.targets.iter().map(|t| t.target.clone()).collect();
    HttpResponse::Ok().json(&OrderedTargets { targets })
}

#[derive(Deserialize)]
struct Reclaim {
    zone: String,
    class: String,
    /// Time between the notice and the withdrawal.
    notice_ms: u64,
}

async fn reclaim(platform: PlatformState, reclaim: web::types::Json<Reclaim>) -> HttpResponse {
    let mut orders = lock(&platform.ordering.orders);
    let due = Instant::now() + Duration::from_millis(reclaim.notice_ms);
    let mut count = 0;
    for running in &mut orders.targets {
        if running.target.zone != reclaim.zone || running.target.class != reclaim.class {
            continue;
        }
        running.target.state = PlatformTargetState::Reclaiming;
        running.due = Some(due);
        count += 1;
    }
    HttpResponse::Ok().json(&json!({ "reclaimed": count }))
}
