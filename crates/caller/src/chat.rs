//! The part of the OpenAI-style chat interface that the system interprets.

use serde::{Deserialize, Serialize};

/// Last event of a stream.
pub const SSE_DONE: &str = "[DONE]";

/// One message of a conversation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChatMessage {
    /// Author of the message.
    pub role: String,
    /// Text of the message.
    pub content: String,
}

/// Body of `POST /v1/chat/completions`. Unknown fields are passed on unchanged.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ChatRequest {
    /// Model to use.
    pub model: String,
    /// The conversation so far.
    pub messages: Vec<ChatMessage>,
    /// Whether the answer is sent as server-sent events.
    #[serde(default)]
    pub stream: bool,
    /// Maximum number of tokens to generate.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_tokens: Option<u32>,
    /// All other fields, which are forwarded unchanged.
    #[serde(flatten)]
    pub rest: serde_json::Map<String, serde_json::Value>,
}

/// Token counts of one answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Generated tokens.
    pub completion_tokens: u64,
    /// Sum of both.
    pub total_tokens: u64,
}

/// New text in a chunk.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChatDelta {
    /// Text that was generated since the last chunk.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub content: Option<String>,
}

/// One choice of a chunk.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChunkChoice {
    /// Number of the choice.
    pub index: u32,
    /// New text.
    pub delta: ChatDelta,
    /// Why generation ended; present in the last chunk only.
    #[serde(default)]
    pub finish_reason: Option<String>,
}

/// One event of a streamed answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChatChunk {
    /// Identifies the answer.
    pub id: String,
    /// Always `chat.completion.chunk`.
    pub object: String,
    /// Model that generates.
    pub model: String,
    /// Choices with new text.
    pub choices: Vec<ChunkChoice>,
    /// Token counts; present in the last chunk only.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub usage: Option<Usage>,
}

/// One choice of an answer that is not streamed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChatChoice {
    /// Number of the choice.
    pub index: u32,
    /// The generated message.
    pub message: ChatMessage,
    /// Why generation ended.
    pub finish_reason: String,
}

/// An answer that is not streamed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChatAnswer {
    /// Identifies the answer.
    pub id: String,
    /// Always `chat.completion`.
    pub object: String,
    /// Model that generated.
    pub model: String,
    /// Choices.
    pub choices: Vec<ChatChoice>,
    /// Token counts.
    pub usage: Usage,
}

/// A model in the answer to `GET /v1/models`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ModelEntry {
    /// Name to use in requests.
    pub id: String,
    /// Always `model`.
    pub object: String,
}

/// Answer to `GET /v1/models`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ModelList {
    /// Always `list`.
    pub object: String,
    /// The models.
    pub data: Vec<ModelEntry>,
}
