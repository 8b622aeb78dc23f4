//! Leases, fencing and order intents of the scopes that this vm holds or tries to acquire.
//!
//! See `docs/design.md`, section 5.1.

mod config;
mod intent;
mod lease;
mod machine;
mod scope;
mod slot;

pub use config::{AuthorityConfig, AuthorityFaults};
pub use intent::{Holder, Intent, IntentState};
pub use machine::{Authority, Command, Event, Outcome, Refusal, SendResult};
pub use scope::Scope;
pub(crate) use scope::mix;
