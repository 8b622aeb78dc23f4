//! An inference engine that generates a fixed text for each prompt.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};

use futures_util::stream;
use jujubebeam_caller::{
    ChatAnswer, ChatChoice, ChatChunk, ChatDelta, ChatMessage, ChunkChoice, SSE_DONE, Usage,
    headers,
};
use jujubebeam_core::Incarnation;
use jujubebeam_core::targets::{LoadReport, LoadedModel};
use jujubebeam_engine::{EngineRequest, paths};
use ntex::time::{Millis, sleep};
use ntex::util::Bytes;
use ntex::web::{self, HttpResponse, ServiceConfig};
use smallvec::smallvec;

const TOKEN_INTERVAL: Millis = Millis(10);
const DEFAULT_OUTPUT_TOKENS: u32 = 12;

struct Engine {
    model: String,
    incarnation: Incarnation,
    running: AtomicU32,
}

type EngineState = web::types::State<Arc<Engine>>;

/// Runs an engine until the process is stopped.
pub(crate) fn run(address: SocketAddr, model: String) -> Result<(), String> {
    let engine = Engine {
        model,
        incarnation: Incarnation(u64::from(std::process::id())),
        running: AtomicU32::new(0),
    };
    crate::serve::run(address, Arc::new(engine), configure)
}

fn configure(config: &mut ServiceConfig) {
    config
        .route(paths::CHAT, web::post().to(chat))
        .route(paths::LOAD, web::get().to(load));
}

async fn load(engine: EngineState) -> HttpResponse {
    HttpResponse::Ok().json(&LoadReport {
        incarnation: engine.incarnation,
        models: smallvec![LoadedModel {
            model: engine.model.clone(),
            version: "1".into(),
            adapters: smallvec![],
        }],
        running_requests: engine.running.load(Ordering::Relaxed),
        ..LoadReport::default()
    })
}

async fn chat(engine: EngineState, request: web::types::Json<EngineRequest>) -> HttpResponse {
    let request = request.into_inner();
    let answer = Answer::new(&engine, &request);
    let mut builder = HttpResponse::Ok();
    builder.header(headers::ATTEMPT, request.attempt_id.as_str());
    if request.chat.stream {
        builder.content_type("text/event-stream");
        return builder.streaming(Box::pin(answer.into_stream()));
    }
    sleep(Millis(TOKEN_INTERVAL.0 * answer.total)).await;
    builder.json(&answer.into_whole())
}

struct Answer {
    engine: Arc<Engine>,
    id: String,
    prompt_tokens: u64,
    total: u32,
    sent: u32,
}

impl Drop for Answer {
    fn drop(&mut self) {
        self.engine.running.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Answer {
    fn new(engine: &EngineState, request: &EngineRequest) -> Self {
        engine.running.fetch_add(1, Ordering::Relaxed);
        let prompt_tokens = request
            .chat
            .messages
            .iter()
            .map(|m| m.content.split_whitespace().count() as u64)
            .sum();
        Self {
            engine: Arc::clone(engine),
            id: request.attempt_id.clone(),
            prompt_tokens,
            total: request.chat.max_tokens.unwrap_or(DEFAULT_OUTPUT_TOKENS),
            sent: request
                .resume
                .as_ref()
                .map_or(0, |r| r.delivered_tokens as u32),
        }
    }

    fn usage(&self) -> Usage {
        Usage {
            prompt_tokens: self.prompt_tokens,
            completion_tokens: u64::from(self.total),
            total_tokens: self.prompt_tokens + u64::from(self.total),
        }
    }

    fn into_stream(self) -> impl stream::Stream<Item = Result<Bytes, std::io::Error>> {
        stream::unfold(Some(self), async |state| {
            let mut answer = state?;
            sleep(TOKEN_INTERVAL).await;
            if answer.sent == answer.total {
                let mut text = event(&answer.chunk(None, true));
                text.push_str(&format!("data: {SSE_DONE}\n\n"));
                return Some((Ok(Bytes::from(text)), None));
            }
            let token = token(answer.sent);
            answer.sent += 1;
            let text = event(&answer.chunk(Some(token), false));
            Some((Ok(Bytes::from(text)), Some(answer)))
        })
    }

    fn chunk(&self, content: Option<String>, last: bool) -> ChatChunk {
        ChatChunk {
            id: self.id.clone(),
            object: "chat.completion.chunk".into(),
            model: self.engine.model.clone(),
            choices: vec![ChunkChoice {
                index: 0,
                delta: ChatDelta { content },
                finish_reason: last.then(|| "stop".into()),
            }],
            usage: last.then(|| self.usage()),
        }
    }

    fn into_whole(self) -> ChatAnswer {
        ChatAnswer {
            id: self.id.clone(),
            object: "chat.completion".into(),
            model: self.engine.model.clone(),
            choices: vec![ChatChoice {
                index: 0,
                message: ChatMessage {
                    role: "assistant".into(),
                    content: (self.sent..self.total).map(token).collect(),
                },
                finish_reason: "stop".into(),
            }],
            usage: self.usage(),
        }
    }
}

fn token(position: u32) -> String {
    format!("stitch{position} ")
}

fn event(chunk: &ChatChunk) -> String {
    let json = serde_json::to_string(chunk).unwrap_or_default();
    format!("data: {json}\n\n")
}
