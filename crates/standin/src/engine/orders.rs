//! Orders: role changes, and loading and unloading of models and adapters.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use jujubebeam_core::Fence;
use jujubebeam_core::targets::{FencedOrder, LoadedModel, Order, OrderAnswer, Role};
use ntex::web::{self, HttpResponse};
use serde_json::json;
use smallvec::{SmallVec, smallvec};

use super::config::EngineFaults;
use super::records::OrderRecord;
use super::{Engine, EngineState};
use crate::control::lock;

/// Longer than any client waits.
const LOST_ANSWER: Duration = Duration::from_secs(30);
/// Exit code after an injected crash.
pub(crate) const CRASH_EXIT_CODE: i32 = 101;

/// Role, models and orders of an engine.
#[derive(Debug, Default)]
pub(crate) struct Orders {
    /// Role in force.
    pub(crate) role: Role,
    /// Models that can be served.
    pub(crate) models: SmallVec<[LoadedModel; 2]>,
    known: BTreeMap<u64, Order>,
    highest: Fence,
    executing: Option<FencedOrder>,
}

impl Orders {
    pub(crate) fn new(model: String) -> Self {
        Self {
            models: smallvec![LoadedModel {
                model,
                version: "1".into(),
                adapters: smallvec![],
            }],
            ..Self::default()
        }
    }

    /// True while a role change keeps the engine away.
    pub(crate) fn is_away(&self) -> bool {
        let executing = self.executing.as_ref();
        executing.is_some_and(|o| matches!(o.order, Order::SetRole { .. }))
    }

    /// Decides on an order without executing it.
    fn decide(&mut self, order: &FencedOrder, checks_fencing: bool) -> Result<Decision, String> {
        if let Some(reason) = refusal(&order.order) {
            return Err(reason.to_owned());
        }
        if checks_fencing && order.fence < self.highest {
            let highest = self.highest;
            return Ok(Decision::Answer(OrderAnswer::StaleFence { highest }));
        }
        self.highest = self.highest.max(order.fence);
        if let Some(known) = self.known.get(&order.order_id) {
            if *known != order.order {
                return Err("the order id belongs to a different order".into());
            }
            return Ok(Decision::Answer(OrderAnswer::Accepted));
        }
        if self.executing.is_some() {
            return Ok(Decision::Answer(OrderAnswer::Busy));
        }
        self.known.insert(order.order_id, order.order.clone());
        self.executing = Some(order.clone());
        Ok(Decision::Execute)
    }

    fn complete(&mut self) {
        let Some(order) = self.executing.take() else {
            return;
        };
        match order.order {
            Order::SetRole { role } => self.role = role,
            Order::LoadModel { model, version, .. } => {
                let loaded = |m: &LoadedModel| m.model == model && m.version == version;
                if !self.models.iter().any(loaded) {
                    self.models.push(LoadedModel {
                        model,
                        version,
                        adapters: smallvec![],
                    });
                }
            }
            Order::LoadAdapter { model, adapter, .. } => {
                for loaded in self.models.iter_mut().filter(|m| m.model == model) {
                    if !loaded.adapters.contains(&adapter) {
                        loaded.adapters.push(adapter.clone());
                    }
                }
            }
            Order::UnloadModel { model, version } => {
                self.models
                    .retain(|m| m.model != model || m.version != version);
            }
        }
    }
}

enum Decision {
    Answer(OrderAnswer),
    Execute,
}

fn refusal(order: &Order) -> Option<&'static str> {
    match order {
        Order::LoadModel { grant, .. } | Order::LoadAdapter { grant, .. } if grant.is_empty() => {
            Some("the order carries no grant of the weight store")
        }
        _ => None,
    }
}

fn duration(order: &Order, faults: &EngineFaults) -> Duration {
    Duration::from_millis(match order {
        Order::SetRole { .. } => faults.role_change_ms,
        Order::LoadModel { .. } | Order::LoadAdapter { .. } => faults.load_model_ms,
        Order::UnloadModel { .. } => 0,
    })
}

/// Handles an order.
pub(crate) async fn take(
    engine: EngineState,
    order: web::types::Json<FencedOrder>,
) -> HttpResponse {
    let order = order.into_inner();
    let faults = lock(&engine.faults).clone();
    let (decision, conflicting) = {
        let mut orders = lock(&engine.orders);
        let executing = orders.executing.as_ref();
        let conflicting = executing.is_some_and(|e| e.order_id != order.order_id);
        (orders.decide(&order, faults.checks_fencing), conflicting)
    };
    let mut cut_requests = 0;
    if matches!(decision, Ok(Decision::Execute)) {
        cut_requests = engine.begin_order(&order.order);
        let engine = Arc::clone(&engine);
        let order = order.order.clone();
        ntex::rt::spawn(execute(engine, order, faults.clone()));
    }
    let answer = match &decision {
        Ok(Decision::Answer(answer)) => Some(*answer),
        Ok(Decision::Execute) => Some(OrderAnswer::Accepted),
        Err(_) => None,
    };
    lock(&engine.records).orders.push(OrderRecord {
        order,
        answer,
        cut_requests,
        conflicting,
    });
    if faults.lose_order_answers > 0 && answer.is_some() {
        lock(&engine.faults).lose_order_answers -= 1;
        tokio::time::sleep(LOST_ANSWER).await;
        return HttpResponse::ServiceUnavailable().finish();
    }
    match decision {
        Err(reason) => HttpResponse::BadRequest().json(&json!({ "error": reason })),
        Ok(_) => HttpResponse::Ok().json(&answer),
    }
}

async fn execute(engine: Arc<Engine>, order: Order, faults: EngineFaults) {
    let time = duration(&order, &faults);
    tokio::time::sleep(time / 2).await;
    if faults.crash_in_order {
        std::process::exit(CRASH_EXIT_CODE);
    }
    tokio::time::sleep(time / 2).await;
    lock(&engine.orders).complete();
    engine.sample_load();
}
