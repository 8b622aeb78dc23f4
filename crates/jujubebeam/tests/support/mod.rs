//! Fakes of the platform, an engine and a plain service on port 0, and vms as processes.

use std::collections::BTreeMap;
use std::io::Error;
use std::net::{SocketAddr, TcpListener};
use std::process::{Child, Command};
use std::sync::{Arc, Mutex};

use futures_util::stream;
use jujubebeam_caller::headers;
use jujubebeam_core::VmId;
use jujubebeam_core::settings::KeyHash;
use jujubebeam_core::targets::{LoadReport, Role};
use jujubebeam_engine::{
    EngineAnswer, EngineRequest, KvExportRequest, KvHandle, KvImportRequest, ResumeFrom,
    paths as engine_paths,
};
use jujubebeam_operator::{FLEET_KEY, TEAMS_PREFIX};
use jujubebeam_store::wire::*;
use jujubebeam_vmlist::{ListedState, ListedVm, VM_LIST_PATH, VmList};
use ntex::util::Bytes;
use ntex::web::{self, App, HttpRequest, HttpResponse, test};

pub(crate) const KEY: &str = "test-key";
pub(crate) const WHOLE_TEXT: &str = "t0 t1 t2 t3 t4 t5 t6 t7 ";
const TOKENS: u64 = 8;

/// What the fakes saw and hold.
#[derive(Default)]
pub(crate) struct Seen {
    store: BTreeMap<Vec<u8>, KeyValue>,
    vms: VmList,
    pub(crate) executions: BTreeMap<String, u32>,
    pub(crate) cancelled: Vec<String>,
    pub(crate) caller_keys: u32,
    /// Attempts that engines ran, in their order.
    pub(crate) attempts: Vec<SeenAttempt>,
    /// Imports that were asked for.
    pub(crate) imports: Vec<KvImportRequest>,
}

/// An attempt as its engine saw it.
#[derive(Clone, Debug)]
#[allow(dead_code, reason = "each test file uses a part of the fakes")]
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
    #[allow(dead_code, reason = "each test file uses a part of the fakes")]
    pub(crate) async fn start() -> Self {
        Self::with_roles([Role::Mixed; 2]).await
    }

    /// Two vms with two engines of these roles.
    pub(crate) async fn with_roles(roles: [Role; 2]) -> Self {
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
            fleet.start_vm(vm, platform.addr());
        }
        fleet._servers.push(platform);
        fleet._servers.extend(targets);
        fleet
    }

    fn start_vm(&mut self, vm: u32, platform: SocketAddr) {
        let (caller, peer) = (free_address(), free_address());
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
             usage: {platform}\n  weights: {platform}\nlog:\n  level: warn\n"
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

fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    listener.local_addr().unwrap()
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
            .route(engine_paths::LOAD, web::get().to(load))
            .route(engine_paths::CHAT, web::post().to(chat))
            .route(engine_paths::CANCEL, web::post().to(cancel))
            .route(engine_paths::KV_EXPORT, web::post().to(export))
            .route(engine_paths::KV_IMPORT, web::post().to(import))
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
    HttpResponse::Ok().json(&read(&state.lock().unwrap(), &request))
}

/// Only creations occur: all compared keys must be absent.
async fn txn(state: State, request: web::types::Json<TxnRequest>) -> HttpResponse {
    let mut seen = state.lock().unwrap();
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

async fn grant(request: web::types::Json<LeaseGrantRequest>) -> HttpResponse {
    HttpResponse::Ok().json(&LeaseResponse {
        header: Header::default(),
        id: Int64(1),
        ttl: request.ttl,
    })
}

async fn vms(state: State) -> HttpResponse {
    HttpResponse::Ok().json(&state.lock().unwrap().vms)
}

async fn load(role: web::types::State<Role>) -> HttpResponse {
    HttpResponse::Ok().json(&LoadReport {
        role: *role,
        ..LoadReport::default()
    })
}

/// The exported cache is named after the prompt, so that the import knows how to fail.
async fn export(state: State, request: web::types::Json<KvExportRequest>) -> HttpResponse {
    let seen = state.lock().unwrap();
    let attempt = seen.attempts.iter().find(|a| a.id == request.attempt_id);
    let prompt = attempt.map_or("", |a| a.prompt.as_str());
    if prompt.contains("export fails") {
        return HttpResponse::NotFound().finish();
    }
    HttpResponse::Ok().json(&KvHandle {
        handle: prompt.to_owned(),
        size_bytes: 1,
        context_tokens: 1,
    })
}

async fn import(state: State, request: web::types::Json<KvImportRequest>) -> HttpResponse {
    let done = !request.handle.handle.contains("import fails");
    state.lock().unwrap().imports.push(request.into_inner());
    HttpResponse::Ok().json(&EngineAnswer { done })
}

async fn cancel(state: State, body: Bytes) -> HttpResponse {
    let text = String::from_utf8_lossy(&body).into_owned();
    state.lock().unwrap().cancelled.push(text);
    HttpResponse::Ok().json(&serde_json::json!({"done": true}))
}

/// The prompt says how the engine fails: `cut` and `crossed` on the first attempt, `decode dies` on
/// a decode engine, `poison` on every attempt, `endless` never ends.
async fn chat(
    state: State,
    role: web::types::State<Role>,
    request: web::types::Json<EngineRequest>,
) -> HttpResponse {
    let prompt = request.chat.messages[0].content.clone();
    state.lock().unwrap().attempts.push(SeenAttempt {
        role: *role,
        id: request.attempt_id.clone(),
        prompt: prompt.clone(),
        resume: request.resume.clone(),
    });
    let first = request.attempt_id.ends_with("-1");
    let crossed = prompt.contains("crossed") && first;
    let resumed = request.resume.as_ref();
    let start = resumed.map_or(0, |r| r.delivered_tokens);
    let known: String = (0..start).map(|i| format!("t{i} ")).collect();
    assert_eq!(known, resumed.map_or("", |r| &r.delivered_text));
    let dies = prompt.contains("decode dies") && *role == Role::Decode;
    let cut = dies || prompt.contains("poison") || (prompt.contains("cut") && first);
    let end = if cut { start + 3 } else { TOKENS };
    let mut events: Vec<Result<Bytes, Error>> = Vec::new();
    for i in start..end {
        let text = if crossed {
            "other ".into()
        } else {
            format!("t{i} ")
        };
        events.push(Ok(chunk(&serde_json::json!({"content": text}), None)));
    }
    if cut {
        events.push(Err(Error::other("the engine dies")));
    } else {
        events.push(Ok(chunk(&serde_json::json!({}), Some("stop"))));
        events.push(Ok(Bytes::from("data: [DONE]\n\n")));
    }
    let mut builder = HttpResponse::Ok();
    let echoed = if crossed {
        "another-1"
    } else {
        &request.attempt_id
    };
    builder.header(headers::ATTEMPT, echoed);
    if prompt.contains("endless") {
        let endless = stream::unfold((), async |()| {
            ntex::time::sleep(ntex::time::Millis(10)).await;
            let chunk = chunk(&serde_json::json!({"content": "more "}), None);
            Some((Ok::<_, Error>(chunk), ()))
        });
        return builder.streaming(Box::pin(endless));
    }
    builder.streaming(stream::iter(events))
}

fn chunk(delta: &serde_json::Value, finish: Option<&str>) -> Bytes {
    let chunk = serde_json::json!({
        "id": "x", "object": "chat.completion.chunk", "model": "m",
        "choices": [{"index": 0, "delta": delta, "finish_reason": finish}],
    });
    Bytes::from(format!("data: {chunk}\n\n"))
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
    if request.path().contains("lost") {
        let broken: [Result<Bytes, Error>; 1] = [Err(Error::other("the service dies"))];
        return HttpResponse::Ok().streaming(stream::iter(broken));
    }
    HttpResponse::Ok().body(answer)
}
