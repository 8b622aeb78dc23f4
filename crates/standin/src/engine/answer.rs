//! Turns the output of a request into a stream or a whole answer.

use std::io;
use std::sync::Arc;

use futures_util::stream;
use jujubebeam_caller::{
    ChatAnswer, ChatChoice, ChatChunk, ChatDelta, ChatMessage, ChunkChoice, SSE_DONE, Usage,
};
use ntex::util::Bytes;
use ntex::web::HttpResponse;
use tokio::sync::mpsc::UnboundedReceiver;

use super::Engine;
use super::batch::Output;
use super::orders::CRASH_EXIT_CODE;
use crate::control::lock;
use crate::text;

/// An answer that is being generated.
pub(crate) struct Answer {
    /// The engine.
    pub(crate) engine: Arc<Engine>,
    /// Model that generates.
    pub(crate) model: String,
    /// Attempt that the answer belongs to.
    pub(crate) attempt: String,
    /// Hash of the prompt.
    pub(crate) prompt_hash: u64,
    /// Tokens of the prompt.
    pub(crate) prompt_tokens: u64,
    /// Number of tokens of the whole answer.
    pub(crate) total: u64,
    /// Output of the request.
    pub(crate) output: UnboundedReceiver<Output>,
    /// Tokens that were sent by this attempt.
    pub(crate) sent: u64,
}

/// The next part of an answer.
enum Part {
    Token(String),
    End,
    Cut,
}

impl Answer {
    async fn next(&mut self) -> Part {
        let output = self.output.recv().await;
        let mut records = lock(&self.engine.records);
        match output {
            Some(Output::Token(position)) => {
                records.attempt(&self.attempt).generated += 1;
                drop(records);
                self.sent += 1;
                if self.fails() {
                    return Part::Cut;
                }
                Part::Token(text::token(self.prompt_hash, position))
            }
            Some(Output::End) => {
                records.attempt(&self.attempt).finished = true;
                Part::End
            }
            None => Part::Cut,
        }
    }

    /// Applies the faults that end an answer early, after some of its tokens were sent.
    fn fails(&self) -> bool {
        let faults = &mut lock(&self.engine.faults);
        let after = |tokens: u64| tokens != 0 && self.sent > tokens;
        if after(faults.crash_after_tokens) {
            std::process::exit(CRASH_EXIT_CODE);
        }
        if faults.cuts == 0 || !after(faults.cut_after_tokens) {
            return false;
        }
        faults.cuts -= 1;
        true
    }

    /// The answer as server-sent events.
    pub(crate) fn into_stream(self) -> impl stream::Stream<Item = Result<Bytes, io::Error>> {
        stream::unfold(Some(self), async |state| {
            let mut answer = state?;
            match answer.next().await {
                Part::Token(token) => {
                    let text = event(&answer.chunk(Some(token), false));
                    Some((Ok(Bytes::from(text)), Some(answer)))
                }
                Part::End => {
                    let mut text = event(&answer.chunk(None, true));
                    text.push_str(&format!("data: {SSE_DONE}\n\n"));
                    Some((Ok(Bytes::from(text)), None))
                }
                Part::Cut => Some((Err(io::Error::other("answer cut")), None)),
            }
        })
    }

    /// Waits for all tokens. A cut answer has status 500.
    pub(crate) async fn whole(mut self) -> Result<ChatAnswer, HttpResponse> {
        let mut content = String::new();
        loop {
            match self.next().await {
                Part::Token(token) => content.push_str(&token),
                Part::Cut => return Err(HttpResponse::InternalServerError().finish()),
                Part::End => break,
            }
        }
        Ok(ChatAnswer {
            id: self.attempt.clone(),
            object: "chat.completion".into(),
            model: self.model.clone(),
            choices: vec![ChatChoice {
                index: 0,
                message: ChatMessage {
                    role: "assistant".into(),
                    content,
                },
                finish_reason: "stop".into(),
            }],
            usage: self.usage(),
        })
    }

    fn usage(&self) -> Usage {
        Usage {
            prompt_tokens: self.prompt_tokens,
            completion_tokens: self.total,
            total_tokens: self.prompt_tokens + self.total,
        }
    }

    fn chunk(&self, content: Option<String>, last: bool) -> ChatChunk {
        ChatChunk {
            id: self.attempt.clone(),
            object: "chat.completion.chunk".into(),
            model: self.model.clone(),
            choices: vec![ChunkChoice {
                index: 0,
                delta: ChatDelta { content },
                finish_reason: last.then(|| "stop".into()),
            }],
            usage: last.then(|| self.usage()),
        }
    }
}

fn event(chunk: &ChatChunk) -> String {
    let json = serde_json::to_string(chunk).unwrap_or_default();
    format!("data: {json}\n\n")
}
