//! An inference engine that generates a fixed text for each prompt.

mod answer;
mod batch;
mod cache;
mod config;
mod kv;
mod load;
mod orders;
mod records;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use jujubebeam_caller::headers;
use jujubebeam_core::Incarnation;
use jujubebeam_core::targets::Order;
use jujubebeam_engine::{CancelRequest, EngineAnswer, EngineRequest, paths};
use ntex::web::{self, HttpRequest, HttpResponse, ServiceConfig};
use serde_json::{Value, json};
use tokio::sync::{Notify, mpsc};

use crate::control::{self, Controlled, lock};
use crate::text;
use answer::Answer;
use batch::{Batch, Sequence};
use cache::PrefixCache;
use config::{EngineConfig, EngineFaults};
use kv::KvCaches;
use load::Samples;
use orders::{CRASH_EXIT_CODE, Orders};
use records::Records;
pub(crate) use records::has_caller_key;

/// Length of an answer without `max_tokens`.
pub(crate) const DEFAULT_OUTPUT_TOKENS: u32 = 12;

struct Engine {
    config: EngineConfig,
    incarnation: Incarnation,
    faults: Mutex<EngineFaults>,
    orders: Mutex<Orders>,
    batch: Mutex<Batch>,
    cache: Mutex<PrefixCache>,
    kv: Mutex<KvCaches>,
    samples: Mutex<Samples>,
    records: Mutex<Records>,
    arrived: Notify,
}

type EngineState = web::types::State<Arc<Engine>>;

impl Controlled for Engine {
    type Faults = EngineFaults;

    fn faults(&self) -> &Mutex<EngineFaults> {
        &self.faults
    }

    fn records(&self) -> Value {
        json!(&*lock(&self.records))
    }

    fn faults_changed(&self) {
        if lock(&self.faults).exit {
            std::process::exit(CRASH_EXIT_CODE);
        }
        self.sample_load();
    }
}

/// Runs an engine until the process is stopped.
pub(crate) fn run(address: SocketAddr, model: String) -> Result<(), String> {
    let config = EngineConfig::default();
    let engine = Engine {
        config,
        incarnation: new_incarnation(),
        faults: Mutex::default(),
        orders: Mutex::new(Orders::new(model)),
        batch: Mutex::default(),
        cache: Mutex::new(PrefixCache::new(config.cache_pieces)),
        kv: Mutex::default(),
        samples: Mutex::default(),
        records: Mutex::default(),
        arrived: Notify::new(),
    };
    engine.sample_load();
    crate::serve::run(address, Arc::new(engine), configure, step_loop)
}

/// Later runs get higher numbers.
pub(crate) fn new_incarnation() -> Incarnation {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    Incarnation(since_epoch.unwrap_or_default().as_micros() as u64)
}

fn configure(config: &mut ServiceConfig) {
    control::configure::<Engine>(config);
    config
        .route(paths::CHAT, web::post().to(chat))
        .route(paths::LOAD, web::get().to(load::read))
        .route(paths::CACHE_EVENTS, web::get().to(cache_events))
        .route(paths::ORDERS, web::post().to(orders::take))
        .route(paths::CANCEL, web::post().to(cancel))
        .route(paths::KV_EXPORT, web::post().to(kv::export))
        .route(paths::KV_IMPORT, web::post().to(kv::import))
        .route(kv::EXPORTED_PATH, web::get().to(kv::exported));
}

impl Engine {
    /// Starts an order and returns how many requests it cut.
    fn begin_order(&self, order: &Order) -> usize {
        if !matches!(order, Order::SetRole { .. }) {
            return 0;
        }
        let cut = std::mem::take(&mut *lock(&self.batch));
        self.sample_load();
        cut.running.len() + cut.waiting.len()
    }

    fn serves(&self, model: &str) -> bool {
        let orders = lock(&self.orders);
        !orders.is_away() && orders.models.iter().any(|m| m.model == model)
    }

    /// Takes a request into the queue.
    fn enqueue(self: &Arc<Self>, request: EngineRequest) -> Answer {
        let (sender, output) = mpsc::unbounded_channel();
        let messages = &request.chat.messages;
        let prompt_tokens = text::prompt_tokens(messages);
        let resume = request.resume.unwrap_or_default();
        let handle = resume.kv_handle.as_deref();
        let imported = handle
            .and_then(|h| lock(&self.kv).take_imported(h))
            .is_some();
        let delivered = resume.delivered_tokens;
        let max_tokens = request.chat.max_tokens.unwrap_or(DEFAULT_OUTPUT_TOKENS);
        let total = u64::from(max_tokens);
        let answer = Answer {
            engine: Arc::clone(self),
            model: request.chat.model.clone(),
            attempt: request.attempt_id.clone(),
            prompt_hash: text::prompt_hash(messages),
            prompt_tokens,
            total,
            output,
            sent: 0,
        };
        lock(&self.batch).waiting.push(Sequence {
            attempt: request.attempt_id,
            priority: request.priority,
            prompt_tokens,
            pieces: text::piece_hashes(messages),
            to_prefill: if imported {
                0
            } else {
                prompt_tokens + delivered
            },
            imported,
            next: delivered,
            total,
            output: sender,
        });
        self.sample_load();
        self.arrived.notify_one();
        answer
    }

    fn record_attempt(&self, http: &HttpRequest, request: &EngineRequest) {
        let mut records = lock(&self.records);
        let record = records.attempt(&request.attempt_id);
        record.executions += 1;
        record.prompt_hash = text::prompt_hash(&request.chat.messages);
        record.resumed_at = request.resume.as_ref().map_or(0, |r| r.delivered_tokens);
        record.saw_caller_key |= has_caller_key(http.headers());
    }

    fn is_poisonous(&self, request: &EngineRequest) -> bool {
        let poison = lock(&self.faults).poison.clone();
        let found = |text: &str| text.contains(&poison);
        !poison.is_empty() && request.chat.messages.iter().any(|m| found(&m.content))
    }

    /// The attempt id to echo, which is a wrong one if such a fault is set.
    fn echo(&self, attempt: &str) -> String {
        let faults = &mut lock(&self.faults);
        if faults.crossed_answers == 0 {
            return attempt.to_owned();
        }
        faults.crossed_answers -= 1;
        format!("{attempt}-crossed")
    }
}

async fn step_loop(engine: Arc<Engine>) {
    loop {
        let time = {
            let mut batch = lock(&engine.batch);
            batch.admit(&engine.config, &mut lock(&engine.cache));
            (!batch.is_empty()).then(|| batch.step_time(&engine.config))
        };
        let Some(time) = time else {
            engine.arrived.notified().await;
            continue;
        };
        let slow_factor = lock(&engine.faults).slow_factor.max(1) as u32;
        tokio::time::sleep(time * slow_factor).await;
        lock(&engine.batch).step(time, &engine.config, &mut lock(&engine.cache));
        engine.sample_load();
    }
}

async fn chat(
    engine: EngineState,
    http: HttpRequest,
    request: web::types::Json<EngineRequest>,
) -> HttpResponse {
    let request = request.into_inner();
    engine.record_attempt(&http, &request);
    if !engine.serves(&request.chat.model) {
        lock(&engine.records).refused += 1;
        return HttpResponse::ServiceUnavailable().json(&json!({"error": "not serving"}));
    }
    if engine.is_poisonous(&request) {
        // The request reaches the device with the next step.
        tokio::time::sleep(Duration::from_micros(engine.config.step_us)).await;
        std::process::exit(CRASH_EXIT_CODE);
    }
    let streamed = request.chat.stream;
    let echo = engine.echo(&request.attempt_id);
    let answer = engine.enqueue(request);
    if streamed {
        return HttpResponse::Ok()
            .header(headers::ATTEMPT, echo)
            .content_type("text/event-stream")
            .streaming(Box::pin(answer.into_stream()));
    }
    match answer.whole().await {
        Ok(whole) => HttpResponse::Ok()
            .header(headers::ATTEMPT, echo)
            .json(&whole),
        Err(cut) => cut,
    }
}

async fn cache_events(engine: EngineState, http: HttpRequest) -> HttpResponse {
    let after = http.query_string().strip_prefix("after=");
    let after = after.and_then(|v| v.parse().ok()).unwrap_or(0);
    let faults = lock(&engine.faults).clone();
    let lag = Duration::from_millis(faults.cache_event_lag_ms);
    let events = lock(&engine.cache).events_after(after, lag, faults.cache_event_gap);
    HttpResponse::Ok().json(&events)
}

async fn cancel(engine: EngineState, request: web::types::Json<CancelRequest>) -> HttpResponse {
    let removed = lock(&engine.batch).remove(&request.attempt_id);
    let done = removed.is_some();
    if done {
        let cancelled = request.attempt_id.clone();
        lock(&engine.records).cancelled.push(cancelled);
        engine.sample_load();
    }
    HttpResponse::Ok().json(&EngineAnswer { done })
}
