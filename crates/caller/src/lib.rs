//! Wire types of the caller interface: chat requests and chunks, errors, tickets and address lists.
//!
//! The paths, headers and error kinds are listed in `docs/design.md`, section 4.2.

mod addresses;
mod chat;
mod error;
pub mod headers;
mod tickets;

pub use addresses::{Address, AddressList};
pub use chat::{
    ChatAnswer, ChatChoice, ChatChunk, ChatDelta, ChatMessage, ChatRequest, ChunkChoice,
    ModelEntry, ModelList, SSE_DONE, Usage,
};
pub use error::{CallerError, ErrorBody, ErrorKind};
pub use tickets::{Outcome, OutcomeAnswer, TicketAnswer};
