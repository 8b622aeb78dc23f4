//! Decision logic of jujubebeam, without I/O, threads or clock reads.
//!
//! Every subsystem is a [`Machine`], a state machine that takes typed events and the current time
//! and emits typed commands. The daemon is a thin layer around these state machines, and a test can
//! run many vms in one process. See `docs/design.md`, section 4.1.

pub mod authority;
pub mod change;
mod clock;
pub mod fleet;
pub mod gateway;
mod ids;
pub mod invariant;
pub mod lengths;
pub mod limits;
mod machine;
pub mod membership;
pub mod once;
pub mod peer;
pub mod quarantine;
pub mod request;
pub mod scheduler;
pub mod settings;
pub mod spread;
pub mod store;
pub mod targets;
pub mod usage;

pub use clock::{Clock, ManualClock, SystemClock};
pub use ids::{
    Fence, Incarnation, RequestId, Revision, RouteId, TargetId, VmId, WorkspaceId, ZoneId,
};
pub use machine::Machine;
