//! Operator settings: documents, the compiled snapshot and its distribution.
//!
//! See `docs/design.md`, sections 5.3 and 7, and `docs/SETTINGS.md`.

pub mod document;
pub mod replica;
mod snapshot;

pub use snapshot::{
    Access, GroupSpec, KeyGrant, KeyHash, RouteSpec, Snapshot, SnapshotError, TargetSpec,
    WorkspaceSpec, target_id, workspace_id,
};
