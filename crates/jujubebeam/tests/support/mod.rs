//! Fakes of the platform, an engine and a plain service on port 0, and vms as processes.

#![allow(dead_code, reason = "each test file uses a part of the fakes")]

pub(crate) mod caller;
mod engine;

use std::collections::BTreeMap;
use std::io::Error;
use std::net::SocketAddr;
use std::process::{Child, Command};
use std::sync::{Arc, Mutex};

use futures_util::stream;
use jujubebeam_caller::headers;
use jujubebeam_core::VmId;
use jujubebeam_core::settings::KeyHash;
use jujubebeam_core::targets::Role;
use jujubebeam_engine::ResumeFrom;
use jujubebeam_operator::{FLEET_KEY, TEAMS_PREFIX};
use jujubebeam_store::wire::*;
use jujubebeam_testport::reserve_address;
use jujubebeam_vmlist::{ListedState, ListedVm, VM_LIST_PATH, VmList};
use ntex::http::HeaderMap;
use ntex::util::Bytes;
use ntex::web::{self, App, HttpRequest, HttpResponse, test};

/// Path of the collector of spans.
pub(crate) const TRACES_PATH: &str = "/v1/traces";
pub(crate) const KEY: &str = "test-key";
pub(crate) const WHOLE_TEXT: &str = "t0 t1 t2 t3 t4 t5 t6 t7 ";

/// What the fakes saw and hold.
#[derive(Default)]
pub(crate) struct Seen {
    store: BTreeMap<Vec<u8>, KeyValue>,
    vms: VmList,
    pub(crate) executions: BTreeMap<String, u32>,
    pub(crate) cancelled: Vec<String>,
    pub(crate) caller_keys: u32,
    /// Trace contexts that targets received.
    pub(crate) traceparents: Vec<String>,
    /// Bodies that the collector of spans received.
    pub(crate) spans: Vec<Vec<u8>>,
    /// Every call of the store fails.
    pub(crate) store_down: bool,
    /// Engine that is to be drained.
    pub(crate) draining: Option<String>,
    /// Attempts that engines ran, in their order.
    pub(crate) attempts: Vec<SeenAttempt>,
    /// Attempts whose KV cache was exported.
    pub(crate) exported: Vec<String>,
    /// Handles whose import was asked for, with the engine that exported them.
    pub(crate) imported: Vec<(String, String)>,
    /// Handles that answers were resumed from.
    pub(crate) resumed: Vec<String>,
}

impl Seen {
    /// Prompt of an attempt.
    pub(crate) fn prompt_of(&self, attempt: &str) -> String {
        let found = self.attempts.iter().find(|a| a.id == attempt);
        found.map(|a| a.prompt.clone()).unwrap_or_default()
    }
}

/// An attempt as its engine saw it.
#[derive(Clone, Debug)]
pub(crate) struct SeenAttempt {
    pub(crate) role: Role,
    pub(crate) id: String,
    pub(crate) prompt: String,
    pub(crate) resume: Option<ResumeFrom>,
}

pub(crate) type Shared = Arc<Mutex<Seen>>;
type State = web::types::State<Shared>;

/// Two vms with their fakes.
pub(crate) struct Fleet {
    pub(crate) seen: Shared,
    pub(crate) vms: Vec<SocketAddr>,
    children: Vec<Child>,
    _servers: Vec<test::TestServer>,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for child in &mut self.children {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Fleet {
    pub(crate) async fn start(settings: &str) -> Self {
        Self::with_roles(settings, [Role::Mixed; 2]).await
    }

    /// Two vms with two engines of these roles.
    pub(crate) async fn with_roles(settings: &str, roles: [Role; 2]) -> Self {
        let seen = Shared::default();
        let platform = serve(&seen, Role::Mixed).await;
        let targets = [serve(&seen, roles[0]).await, serve(&seen, roles[1]).await];
        put_settings(&seen, targets[0].addr(), targets[1].addr());
        let mut fleet = Self {
            seen,
            vms: Vec::new(),
            children: Vec::new(),
            _servers: Vec::new(),
        };
        for vm in 1..=2 {
            fleet.start_vm(vm, platform.addr(), settings);
        }
        fleet._servers.push(platform);
        fleet._servers.extend(targets);
        fleet
    }

    fn start_vm(&mut self, vm: u32, platform: SocketAddr, settings: &str) {
        let (caller, peer) = (reserve_address(), reserve_address());
        let listed = ListedVm {
            vm: VmId(vm),
            zone: "a".into(),
            caller_address: caller.to_string(),
            peer_address: peer.to_string(),
            state: ListedState::Live,
        };
        self.seen.lock().unwrap().vms.vms.push(listed);
        let text = format!(
            "vm: {vm}\nzone: a\ncaller_address: {caller}\npeer_address: {peer}\nplatform:\n  \
             store: {platform}\n  vm_list: {platform}\n  ordering: {platform}\n  \
             usage: {platform}\n  weights: {platform}\nlog:\n  level: warn\n{settings}"
        );
        let path = std::env::temp_dir().join(format!("jujubebeam-{}.yaml", caller.port()));
        std::fs::write(&path, text).unwrap();
        let child = Command::new(env!("CARGO_BIN_EXE_jujubebeam"))
            .args(["run", "--config"])
            .arg(&path)
            .spawn()
            .unwrap();
        self.children.push(child);
        self.vms.push(caller);
    }
}

/// A collector of spans that runs before the vms, whose settings name it.
pub(crate) struct Collector {
    pub(crate) seen: Shared,
    pub(crate) server: test::TestServer,
}

pub(crate) async fn start_collector() -> Collector {
    let seen = Shared::default();
    let server = serve(&seen, Role::Mixed).await;
    Collector { seen, server }
}

async fn serve(seen: &Shared, role: Role) -> test::TestServer {
    let seen = seen.clone();
    test::server(async move || {
        App::new()
            .state(seen.clone())
            .state(role)
            .route(paths::RANGE, web::post().to(range))
            .route(paths::TXN, web::post().to(txn))
            .route(paths::LEASE_GRANT, web::post().to(grant))
            .route(VM_LIST_PATH, web::get().to(vms))
            .route(TRACES_PATH, web::post().to(spans))
            .configure(engine::configure)
            .service(web::resource("/{path}*").to(execute))
    })
    .await
}

fn put_settings(seen: &Shared, a: SocketAddr, b: SocketAddr) {
    let group = |name: &str, kind: &str| {
        format!(
            "  - name: {name}\n    kind: {kind}\n    targets:\n      \
             - {{name: {name}-a, address: \"{a}\", zone: a}}\n      \
             - {{name: {name}-b, address: \"{b}\", zone: a}}\n"
        )
    };
    let fleet = format!(
        "zones: [a]\nroutes:\n  - name: chat\n    kind: engine\n    \
         path_prefix: /v1/chat/completions\n    models: [m]\n    group: engines\n  \
         - name: shop\n    kind: service\n    path_prefix: /shop\n    group: shops\n    \
         repeatable_methods: [GET]\n    body_limit_bytes: 1000\ngroups:\n{}{}",
        group("engines", "engine"),
        group("shops", "service")
    );
    let hash = KeyHash::of_key(KEY).to_hex();
    let team = format!(
        "workspaces:\n  - name: w\n    priority: interactive\n    keys:\n      \
         - {{name: k, sha256: {hash}}}\n"
    );
    let mut seen = seen.lock().unwrap();
    for (key, value) in [
        (FLEET_KEY.to_owned(), fleet),
        (format!("{TEAMS_PREFIX}t"), team),
    ] {
        put(
            &mut seen,
            Base64(key.into_bytes()),
            Base64(value.into_bytes()),
        );
    }
}

fn put(seen: &mut Seen, key: Base64, value: Base64) {
    let value = KeyValue {
        key: key.clone(),
        value,
        create_revision: Int64(1),
        mod_revision: Int64(1),
        ..KeyValue::default()
    };
    seen.store.insert(key.0, value);
}

fn read(seen: &Seen, request: &RangeRequest) -> RangeResponse {
    let end = &request.range_end.0;
    let kvs = seen.store.iter().filter(|(key, _)| match end.is_empty() {
        true => **key == request.key.0,
        false => **key >= request.key.0 && *key < end,
    });
    RangeResponse {
        kvs: kvs.map(|(_, kv)| kv.clone()).collect(),
        ..RangeResponse::default()
    }
}

async fn range(state: State, request: web::types::Json<RangeRequest>) -> HttpResponse {
    let seen = state.lock().unwrap();
    if seen.store_down {
        return HttpResponse::ServiceUnavailable().finish();
    }
    HttpResponse::Ok().json(&read(&seen, &request))
}

/// Only creations occur: all compared keys must be absent.
async fn txn(state: State, request: web::types::Json<TxnRequest>) -> HttpResponse {
    let mut seen = state.lock().unwrap();
    if seen.store_down {
        return HttpResponse::ServiceUnavailable().finish();
    }
    let succeeded = !request
        .compare
        .iter()
        .any(|c| seen.store.contains_key(&c.key.0));
    let operations = if succeeded {
        &request.success
    } else {
        &request.failure
    };
    let mut responses = Vec::new();
    for operation in operations {
        if let Some(request) = &operation.request_put {
            put(&mut seen, request.key.clone(), request.value.clone());
        }
        responses.push(ResponseOp {
            response_range: operation.request_range.as_ref().map(|r| read(&seen, r)),
        });
    }
    HttpResponse::Ok().json(&TxnResponse {
        header: Header::default(),
        succeeded,
        responses,
    })
}

async fn grant(state: State, request: web::types::Json<LeaseGrantRequest>) -> HttpResponse {
    if state.lock().unwrap().store_down {
        return HttpResponse::ServiceUnavailable().finish();
    }
    HttpResponse::Ok().json(&LeaseResponse {
        header: Header::default(),
        id: Int64(1),
        ttl: request.ttl,
    })
}

async fn vms(state: State) -> HttpResponse {
    HttpResponse::Ok().json(&state.lock().unwrap().vms)
}

async fn spans(state: State, body: Bytes) -> HttpResponse {
    state.lock().unwrap().spans.push(body.to_vec());
    HttpResponse::Ok().finish()
}

fn record_traceparent(seen: &mut Seen, incoming: &HeaderMap) {
    let value = incoming.get(headers::TRACEPARENT);
    let value = value.and_then(|v| v.to_str().ok());
    seen.traceparents.extend(value.map(str::to_owned));
}

/// Counts the execution; a path with `lost` breaks off the answer afterwards.
async fn execute(state: State, request: HttpRequest, body: Bytes) -> HttpResponse {
    let mut seen = state.lock().unwrap();
    let text = String::from_utf8_lossy(&body).into_owned();
    let count = seen.executions.entry(text).or_default();
    *count += 1;
    let answer = format!("execution {count}");
    let headers = request.headers();
    seen.caller_keys += u32::from(headers.contains_key("authorization"));
    record_traceparent(&mut seen, headers);
    if request.path().contains("lost") {
        let broken: [Result<Bytes, Error>; 1] = [Err(Error::other("the service dies"))];
        return HttpResponse::Ok().streaming(stream::iter(broken));
    }
    HttpResponse::Ok().body(answer)
}
