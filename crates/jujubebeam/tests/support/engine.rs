//! A fake engine.

use std::io::Error;

use futures_util::{StreamExt, stream};
use jujubebeam_caller::headers;
use jujubebeam_core::targets::{LoadReport, Role, TargetState};
use jujubebeam_engine::{
    EngineAnswer, EngineRequest, KvExportRequest, KvHandle, KvImportRequest, paths,
};
use ntex::util::Bytes;
use ntex::web::{self, HttpRequest, HttpResponse, ServiceConfig};

use super::{SeenAttempt, State, record_traceparent};

const TOKENS: u64 = 8;

pub(super) fn configure(config: &mut ServiceConfig) {
    config
        .route(paths::LOAD, web::get().to(load))
        .route(paths::CHAT, web::post().to(chat))
        .route(paths::CANCEL, web::post().to(cancel))
        .route(paths::KV_EXPORT, web::post().to(export))
        .route(paths::KV_IMPORT, web::post().to(import));
}

/// Address under which the engine was called.
fn engine(request: &HttpRequest) -> String {
    let host = request.headers().get("host").unwrap();
    host.to_str().unwrap().to_owned()
}

async fn load(state: State, role: web::types::State<Role>, request: HttpRequest) -> HttpResponse {
    let mut report = LoadReport {
        role: *role,
        ..LoadReport::default()
    };
    if state.lock().unwrap().draining == Some(engine(&request)) {
        report.state = TargetState::Draining;
    }
    HttpResponse::Ok().json(&report)
}

async fn export(state: State, body: web::types::Json<KvExportRequest>) -> HttpResponse {
    let attempt = body.into_inner().attempt_id;
    let mut seen = state.lock().unwrap();
    if seen.prompt_of(&attempt).contains("export fails") {
        return HttpResponse::NotFound().finish();
    }
    let handle = KvHandle {
        handle: format!("kv-{attempt}"),
        size_bytes: 1,
        context_tokens: 1,
    };
    seen.exported.push(attempt);
    HttpResponse::Ok().json(&handle)
}

async fn import(state: State, body: web::types::Json<KvImportRequest>) -> HttpResponse {
    let body = body.into_inner();
    let mut seen = state.lock().unwrap();
    let attempt = body.handle.handle.trim_start_matches("kv-");
    let done = !seen.prompt_of(attempt).contains("import fails");
    let import = (body.handle.handle, body.source_address);
    seen.imported.push(import);
    HttpResponse::Ok().json(&EngineAnswer { done })
}

async fn cancel(state: State, body: Bytes) -> HttpResponse {
    let text = String::from_utf8_lossy(&body).into_owned();
    state.lock().unwrap().cancelled.push(text);
    HttpResponse::Ok().json(&serde_json::json!({"done": true}))
}

/// The prompt says how the engine fails: `cut` and `crossed` on the first attempt, `decode dies` on
/// a decode engine, `poison` on every attempt, `endless` never ends. `move` makes the engine drain
/// after three tokens.
async fn chat(
    state: State,
    role: web::types::State<Role>,
    http: HttpRequest,
    request: web::types::Json<EngineRequest>,
) -> HttpResponse {
    record_traceparent(&mut state.lock().unwrap(), http.headers());
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
    let handle = resumed.and_then(|r| r.kv_handle.clone());
    state.lock().unwrap().resumed.extend(handle);
    if prompt.contains("move") && first {
        state.lock().unwrap().draining = Some(engine(&http));
        let silence = stream::pending::<Result<Bytes, Error>>();
        return builder.streaming(Box::pin(stream::iter(events).take(3).chain(silence)));
    }
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
