//! A plain service that records what it executes.

use std::collections::BTreeMap;
use std::fs::{File, OpenOptions};
use std::io::Write;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use jujubebeam_caller::headers;
use jujubebeam_core::Incarnation;
use jujubebeam_core::targets::{LoadReport, TargetState};
use jujubebeam_service::LOAD_PATH;
use ntex::http::Method;
use ntex::util::Bytes;
use ntex::web::{self, HttpRequest, HttpResponse, ServiceConfig};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

use crate::control::{self, Controlled, lock};
use crate::engine::{has_caller_key, new_incarnation};

/// Exit code after an injected crash.
const CRASH_EXIT_CODE: i32 = 101;
/// Executions without an idempotency key are recorded under this name.
const NO_KEY: &str = "-";

/// When the process crashes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
enum CrashPoint {
    #[default]
    Never,
    /// After the request was received.
    Before,
    /// While the request executes: it counts as executed.
    During,
    /// After the execution, before the answer.
    After,
}

/// Faults of a plain service.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct ServiceFaults {
    /// Ends the process at once.
    exit: bool,
    /// Crashes at the next call that is no `GET`.
    crash: CrashPoint,
    /// Time between execution and answer.
    delay_ms: u64,
    /// Delays only this many answers; 0 delays all.
    late_answers: u32,
    /// Number of answers that carry the attempt id and key of another call.
    crossed_answers: u32,
    /// Load reports are not answered.
    load_outage: bool,
    /// Reports that the platform will withdraw the service.
    leaving: bool,
}

#[derive(Default)]
struct Records {
    executions: BTreeMap<String, u32>,
    total: u64,
    saw_caller_key: u64,
    journal: Option<File>,
}

struct Service {
    name: String,
    incarnation: Incarnation,
    running: AtomicU32,
    faults: Mutex<ServiceFaults>,
    records: Mutex<Records>,
}

type ServiceState = web::types::State<Arc<Service>>;

impl Controlled for Service {
    type Faults = ServiceFaults;

    fn faults(&self) -> &Mutex<ServiceFaults> {
        &self.faults
    }

    fn records(&self) -> Value {
        let records = lock(&self.records);
        json!({
            "executions": records.executions,
            "total": records.total,
            "saw_caller_key": records.saw_caller_key,
        })
    }

    fn faults_changed(&self) {
        if lock(&self.faults).exit {
            std::process::exit(CRASH_EXIT_CODE);
        }
    }
}

/// Runs a service until the process is stopped. Executions are appended to `journal`, one key per
/// line, so that a record survives a crash.
pub(crate) fn run(address: SocketAddr, name: String, journal: Option<&str>) -> Result<(), String> {
    let open = |path| OpenOptions::new().create(true).append(true).open(path);
    let journal = journal.map(open).transpose().map_err(|e| e.to_string())?;
    let service = Service {
        name,
        incarnation: new_incarnation(),
        running: AtomicU32::new(0),
        faults: Mutex::default(),
        records: Mutex::new(Records {
            journal,
            ..Records::default()
        }),
    };
    crate::serve::run(address, Arc::new(service), configure, |_| {
        std::future::ready(())
    })
}

fn configure(config: &mut ServiceConfig) {
    control::configure::<Service>(config);
    config
        .route(LOAD_PATH, web::get().to(load))
        .service(web::resource("/{path}*").to(execute));
}

async fn load(service: ServiceState) -> HttpResponse {
    let faults = lock(&service.faults).clone();
    if faults.load_outage {
        return HttpResponse::ServiceUnavailable().finish();
    }
    let state = if faults.leaving {
        TargetState::Leaving
    } else {
        TargetState::Serving
    };
    HttpResponse::Ok().json(&LoadReport {
        incarnation: service.incarnation,
        state,
        running_requests: service.running.load(Ordering::Relaxed),
        ..LoadReport::default()
    })
}

impl Service {
    fn count(&self, key: &str, request: &HttpRequest) -> (u64, u32) {
        let mut records = lock(&self.records);
        records.total += 1;
        if has_caller_key(request.headers()) {
            records.saw_caller_key += 1;
        }
        if let Some(journal) = &mut records.journal {
            // A journal that cannot be written would make a doubled execution invisible.
            writeln!(journal, "{key}").expect("the journal can be written");
        }
        let executions = records.executions.entry(key.to_owned()).or_default();
        *executions += 1;
        let executions = *executions;
        (records.total, executions)
    }

    fn crash_at(&self, point: CrashPoint, request: &HttpRequest) {
        let crash = lock(&self.faults).crash;
        if crash == point && *request.method() != Method::GET {
            std::process::exit(CRASH_EXIT_CODE);
        }
    }

    /// Delay of this answer, and whether it carries the marks of another call.
    fn take_faults(&self) -> (Duration, bool) {
        let faults = &mut lock(&self.faults);
        let delay = Duration::from_millis(faults.delay_ms);
        if faults.late_answers == 1 {
            faults.delay_ms = 0;
        }
        faults.late_answers = faults.late_answers.saturating_sub(1);
        let crossed = faults.crossed_answers > 0;
        faults.crossed_answers = faults.crossed_answers.saturating_sub(1);
        (delay, crossed)
    }
}

async fn execute(service: ServiceState, request: HttpRequest, body: Bytes) -> HttpResponse {
    let _running = Running::new(&service);
    answer(&service, &request, &body).await
}

/// Counts a call as running. A caller that goes away drops it early.
struct Running<'a>(&'a Service);

impl<'a> Running<'a> {
    fn new(service: &'a Service) -> Self {
        service.running.fetch_add(1, Ordering::Relaxed);
        Self(service)
    }
}

impl Drop for Running<'_> {
    fn drop(&mut self) {
        self.0.running.fetch_sub(1, Ordering::Relaxed);
    }
}

async fn answer(service: &Service, request: &HttpRequest, body: &Bytes) -> HttpResponse {
    service.crash_at(CrashPoint::Before, request);
    let text = |name| request.headers().get(name).and_then(|v| v.to_str().ok());
    let key = text(headers::IDEMPOTENCY_KEY);
    let (total, executions) = service.count(key.unwrap_or(NO_KEY), request);
    service.crash_at(CrashPoint::During, request);
    let (delay, crossed) = service.take_faults();
    tokio::time::sleep(delay).await;
    service.crash_at(CrashPoint::After, request);
    let mark = |value: &str| {
        if crossed {
            format!("{value}-crossed")
        } else {
            value.into()
        }
    };
    let mut builder = HttpResponse::Ok();
    if let Some(attempt) = text(headers::ATTEMPT) {
        builder.header(headers::ATTEMPT, mark(attempt));
    }
    builder.json(&json!({
        "service": service.name,
        "execution": total,
        "executions_of_key": executions,
        "path": request.path(),
        "idempotency_key": key.map(mark),
        "body_bytes": body.len(),
    }))
}
