//! Bodies of the operator API below `/operator/v1`.

use jujubebeam_core::{Revision, VmId};
use serde::{Deserialize, Serialize};

use crate::Finding;

/// Paths of the operator API.
pub mod paths {
    /// One subtree: `GET` reads it, `PUT` changes it.
    pub const SUBTREES: &str = "/operator/v1/subtrees";
    /// Settings revisions in force at every vm.
    pub const STATUS: &str = "/operator/v1/status";
    /// Routing decisions for a request.
    pub const EXPLAIN: &str = "/operator/v1/explain";
}

/// Path of one subtree. `name` is `fleet` or `teams/<team>`.
pub fn subtree_path(name: &str) -> String {
    format!("{}/{name}", paths::SUBTREES)
}

/// A subtree with its revision.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Subtree {
    /// `fleet` or `teams/<team>`.
    pub name: String,
    /// Revision of the store at the last change; 0 if the subtree does not exist.
    pub revision: Revision,
    /// YAML text; empty if the subtree does not exist.
    pub text: String,
}

/// Changes a subtree if it still has the expected revision.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeRequest {
    /// Revision that the change is based on; 0 to create the subtree.
    pub expected: Revision,
    /// New YAML text; `None` deletes the subtree.
    pub text: Option<String>,
}

/// Answer to an accepted change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeAccepted {
    /// Name of the subtree.
    pub name: String,
    /// Revision of the change.
    pub revision: Revision,
    /// Whether a majority of the vms has confirmed that they hold it.
    pub confirmed: bool,
}

/// Answer to a change that was not accepted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "reason")]
pub enum ChangeRefused {
    /// The subtree was changed after the expected revision.
    Conflict {
        /// Current subtree.
        current: Subtree,
        /// What to do.
        remedy: String,
    },
    /// The text has faults.
    Invalid {
        /// All faults that were found.
        findings: Vec<Finding>,
    },
    /// This vm cannot accept changes now. Nothing was written.
    NotAccepted {
        /// Why.
        message: String,
        /// What to do.
        remedy: String,
    },
    /// It is unknown whether the change took effect in the store.
    Unknown {
        /// What to do.
        remedy: String,
    },
}

/// One subtree as a vm has it in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InForce {
    /// Name of the subtree.
    pub name: String,
    /// Revision in force.
    pub revision: Revision,
}

/// State of one vm.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmStatus {
    /// The vm.
    pub vm: VmId,
    /// Zone by name.
    pub zone: String,
    /// `live`, `leaving` or `unreachable`.
    pub state: String,
    /// Subtrees in force; empty if unknown.
    pub in_force: Vec<InForce>,
}

/// Answer to `GET /operator/v1/status`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatusAnswer {
    /// Vm that answers.
    pub vm: VmId,
    /// Whether its settings are fresh.
    pub fresh: bool,
    /// Age of its freshness proof.
    pub settings_age_ms: u64,
    /// Violations of invariants since it started.
    pub violations: u64,
    /// All vms known to the answering vm.
    pub vms: Vec<VmStatus>,
    /// State of the targets.
    #[serde(default)]
    pub targets: Vec<TargetStatus>,
}

/// State of one target from the view of the answering vm.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetStatus {
    /// Name of the target.
    pub target: String,
    /// Zone by name.
    pub zone: String,
    /// Role in force.
    pub role: String,
    /// State that it reports, or `unreachable`.
    pub state: String,
    /// Number of running requests that it reports.
    pub running_requests: u32,
    /// Planned change in progress or postponed, as far as this vm carries it out; empty for none.
    #[serde(default)]
    pub change: String,
}

/// Answer to `GET /operator/v1/explain/{request}`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExplainAnswer {
    /// The request.
    pub request_id: String,
    /// Decisions in chronological order.
    pub decisions: Vec<String>,
}
