//! Sends one request and checks that its answer is whole and its own.

use std::time::{Duration, Instant};

use futures_util::StreamExt;
use jujubebeam_caller::{ChatChunk, ChatMessage, ChatRequest, SSE_DONE, headers};
use jujubebeam_http::CallError;
use ntex::client::{Client, ClientResponse};
use ntex::time::Millis;
use rand::Rng;
use rand::rngs::SmallRng;
use serde_json::{Value, json};

use super::config::{LoadConfig, Mix};
use crate::text;

const WORDS: [&str; 12] = [
    "heel", "toe", "yarn", "needle", "darn", "weave", "rail", "glass", "stair", "post", "bolt",
    "fit",
];

/// A request with what its answer must be.
pub(crate) enum Request {
    /// A streamed chat request.
    Chat(ChatRequest),
    /// A checkout with its idempotency key.
    Checkout { key: String, body: Vec<u8> },
}

/// Times of a whole answer.
#[derive(Default)]
pub(crate) struct Timing {
    /// Time until the first token.
    pub(crate) first: Option<Duration>,
    /// Times between tokens.
    pub(crate) between: Vec<Duration>,
}

/// Why a request gave no whole answer.
pub(crate) enum Failure {
    /// The vm received nothing.
    Unsent,
    /// Anything else, by kind.
    Kind(String),
}

impl From<CallError> for Failure {
    fn from(error: CallError) -> Self {
        match error {
            CallError::Refused => Failure::Unsent,
            _ => Failure::Kind("no_answer".into()),
        }
    }
}

impl Request {
    /// Draws a request. `serial` makes it differ from all others of the run.
    pub(crate) fn draw(config: &LoadConfig, serial: u64, random: &mut SmallRng) -> Self {
        let checkout = match config.mix {
            Mix::Chat => false,
            Mix::Checkout => true,
            Mix::Mixed => random.random_ratio(1, 5),
        };
        if checkout {
            let nonce: u64 = random.random();
            let body = json!({"kit": format!("kit-{serial}"), "price_cents": 1900});
            return Request::Checkout {
                key: format!("load-{}-{serial}-{nonce:x}", std::process::id()),
                body: body.to_string().into_bytes(),
            };
        }
        let length = random.random_range(5..200);
        let word = |_| WORDS[random.random_range(0..WORDS.len())];
        let words: Vec<_> = (0..length).map(word).collect();
        Request::Chat(ChatRequest {
            model: config.model.clone(),
            messages: vec![ChatMessage {
                role: "user".into(),
                content: format!("{} question {serial}", words.join(" ")),
            }],
            stream: true,
            max_tokens: Some(random.random_range(4..32)),
            rest: serde_json::Map::new(),
        })
    }

    /// Sends the request to a vm.
    pub(crate) async fn send(
        &self,
        client: &Client,
        url: &str,
        config: &LoadConfig,
    ) -> Result<Timing, Failure> {
        match self {
            Request::Chat(chat) => send_chat(chat, client, url, config).await,
            Request::Checkout { key, body } => send_checkout(key, body, client, url, config).await,
        }
    }
}

async fn send_chat(
    chat: &ChatRequest,
    client: &Client,
    url: &str,
    config: &LoadConfig,
) -> Result<Timing, Failure> {
    let started = Instant::now();
    let response = client
        .post(format!("{url}/v1/chat/completions"))
        .timeout(Millis::ZERO)
        .header("authorization", format!("Bearer {}", config.key))
        .send_json(chat)
        .await
        .map_err(CallError::from)?;
    let mut response = successful(response).await?;
    let mut stream = StreamCheck::new(started);
    while let Some(bytes) = response.next().await {
        stream.push(&bytes.map_err(|_| failure("cut"))?)?;
    }
    stream.finish(chat)
}

async fn send_checkout(
    key: &str,
    body: &[u8],
    client: &Client,
    url: &str,
    config: &LoadConfig,
) -> Result<Timing, Failure> {
    let response = client
        .post(format!("{url}/checkout/orders"))
        .timeout(Millis::ZERO)
        .header("authorization", format!("Bearer {}", config.key))
        .header(headers::IDEMPOTENCY_KEY, key)
        .content_type("application/json")
        .send_body(body.to_vec())
        .await
        .map_err(CallError::from)?;
    let response = successful(response).await?;
    let bytes = response.body().await.map_err(|_| failure("cut"))?;
    let answer: Value = serde_json::from_slice(&bytes).map_err(|_| failure("malformed"))?;
    if answer["idempotency_key"] != key || answer["body_bytes"] != body.len() {
        return Err(failure("wrong_answer"));
    }
    if answer["executions_of_key"] != 1 {
        return Err(failure("executed_twice"));
    }
    Ok(Timing::default())
}

fn failure(kind: &str) -> Failure {
    Failure::Kind(kind.into())
}

async fn successful(response: ClientResponse) -> Result<ClientResponse, Failure> {
    let status = response.status();
    if status.is_success() {
        return Ok(response);
    }
    let bytes = response.body().await.unwrap_or_default();
    let body: Value = serde_json::from_slice(&bytes).unwrap_or_default();
    let kind = body["error"]["type"].as_str().map(str::to_owned);
    let kind = kind.unwrap_or_else(|| format!("status_{}", status.as_u16()));
    Err(Failure::Kind(kind))
}

/// Reads server-sent events.
struct StreamCheck {
    buffer: Vec<u8>,
    content: String,
    timing: Timing,
    started: Instant,
    last: Instant,
    finished: bool,
    done: bool,
}

impl StreamCheck {
    fn new(started: Instant) -> Self {
        Self {
            buffer: Vec::new(),
            content: String::new(),
            timing: Timing::default(),
            started,
            last: started,
            finished: false,
            done: false,
        }
    }

    fn push(&mut self, bytes: &[u8]) -> Result<(), Failure> {
        self.buffer.extend_from_slice(bytes);
        while let Some(end) = self.buffer.windows(2).position(|w| w == b"\n\n") {
            let event: Vec<u8> = self.buffer.drain(..end + 2).collect();
            let event = String::from_utf8_lossy(&event);
            let Some(data) = event.trim().strip_prefix("data: ") else {
                continue;
            };
            self.event(data)?;
        }
        Ok(())
    }

    fn event(&mut self, data: &str) -> Result<(), Failure> {
        if data == SSE_DONE {
            self.done = true;
            return Ok(());
        }
        let Ok(chunk) = serde_json::from_str::<ChatChunk>(data) else {
            return Err(error_event(data));
        };
        for choice in chunk.choices {
            self.finished |= choice.finish_reason.is_some();
            if let Some(text) = choice.delta.content {
                self.token(&text);
            }
        }
        Ok(())
    }

    fn token(&mut self, text: &str) {
        self.content.push_str(text);
        let now = Instant::now();
        match self.timing.first {
            None => self.timing.first = Some(now - self.started),
            Some(_) => self.timing.between.push(now - self.last),
        }
        self.last = now;
    }

    fn finish(self, chat: &ChatRequest) -> Result<Timing, Failure> {
        if !self.finished || !self.done {
            return Err(failure("cut"));
        }
        let tokens = u64::from(chat.max_tokens.unwrap_or_default());
        let expected = text::answer_text(text::prompt_hash(&chat.messages), tokens);
        if self.content != expected {
            return Err(failure("wrong_answer"));
        }
        Ok(self.timing)
    }
}

fn error_event(data: &str) -> Failure {
    let value: Value = serde_json::from_str(data).unwrap_or_default();
    let kind = value["error"]["type"].as_str();
    failure(kind.unwrap_or("malformed"))
}
