//! The settings documents in the form that operators write.
//!
//! Every struct has a `Default`, so that a document contains only the values that differ, and
//! unknown fields are refused.

use serde::{Deserialize, Serialize};
use strum::{Display, EnumIter, EnumString, IntoStaticStr};

use crate::targets::Role;

/// Subtree `config/fleet`: zones, routes, target groups, ordering and policy.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct FleetDocument {
    /// Names of the zones. The position in the list is the zone's number.
    pub zones: Vec<String>,
    /// Routes by path prefix.
    pub routes: Vec<RouteDocument>,
    /// Groups of targets.
    pub groups: Vec<GroupDocument>,
    /// Ordering of targets.
    pub ordering: OrderingDocument,
    /// Policy of the whole fleet.
    pub policy: PolicyDocument,
}

/// Kind of the targets of a route or group.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    Hash,
    Serialize,
    Deserialize,
    Display,
    EnumIter,
    EnumString,
    IntoStaticStr,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum TargetKind {
    /// Inference engine.
    #[default]
    Engine,
    /// Plain service.
    Service,
}

/// Who may use a route.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    Hash,
    Serialize,
    Deserialize,
    Display,
    EnumString,
    IntoStaticStr,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum AccessRule {
    /// Only callers with a valid key.
    #[default]
    Keyed,
    /// Everyone.
    Open,
}

/// A route.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RouteDocument {
    /// Name, unique in the fleet.
    pub name: String,
    /// Kind of the route's targets.
    pub kind: TargetKind,
    /// Requests whose path starts with this prefix belong to the route.
    pub path_prefix: String,
    /// Models that the route serves; engines only.
    pub models: Vec<String>,
    /// Group whose targets serve the route.
    pub group: String,
    /// Who may use the route.
    pub access: AccessRule,
    /// Methods whose requests may be retried; services only.
    pub repeatable_methods: Vec<String>,
    /// Latency target for the first token, or for the complete answer of a service.
    pub first_token_target_ms: u64,
    /// Latency target between two tokens.
    pub token_interval_target_ms: u64,
    /// Timeout of a request without a deadline of its own.
    pub longest_wait_ms: u64,
    /// Largest request body.
    pub body_limit_bytes: usize,
    /// Price of prompt tokens, charged against a workspace's budget.
    pub prompt_price_microcents: u64,
    /// Price of generated tokens, charged against a workspace's budget.
    pub output_price_microcents: u64,
}

impl Default for RouteDocument {
    fn default() -> Self {
        Self {
            name: String::new(),
            kind: TargetKind::Engine,
            path_prefix: String::new(),
            models: Vec::new(),
            group: String::new(),
            access: AccessRule::Keyed,
            repeatable_methods: vec!["GET".into(), "HEAD".into(), "OPTIONS".into()],
            first_token_target_ms: 1200,
            token_interval_target_ms: 56,
            longest_wait_ms: 30_000,
            body_limit_bytes: 1024 * 1024,
            prompt_price_microcents: 100,
            output_price_microcents: 400,
        }
    }
}

/// A group of interchangeable targets.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct GroupDocument {
    /// Name, unique in the fleet.
    pub name: String,
    /// Kind of the targets.
    pub kind: TargetKind,
    /// Whether the targets refuse orders with an old fencing token.
    pub checks_fencing: bool,
    /// Permanent targets. Ordered targets are added at run time.
    pub targets: Vec<TargetDocument>,
    /// Smallest number of targets in the group.
    pub min_targets: u32,
    /// Largest number of targets in the group.
    pub max_targets: u32,
}

/// A target.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct TargetDocument {
    /// Name, unique in the fleet.
    pub name: String,
    /// `ip:port` of the target.
    pub address: String,
    /// Zone by name.
    pub zone: String,
    /// Price class; empty for a target that is not ordered.
    pub class: String,
    /// Whether the target is to be drained.
    pub leaving: bool,
    /// Role that the target is set to and kept in; engines only. If it is absent, the planner
    /// chooses the role.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub role: Option<Role>,
}

/// Ordering of targets from the platform.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct OrderingDocument {
    /// Whether the platform's ordering interface refuses orders with an old fencing token.
    pub checks_fencing: bool,
    /// Price classes.
    pub classes: Vec<ClassDocument>,
}

/// A price class of targets.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ClassDocument {
    /// Name, unique in the fleet.
    pub name: String,
    /// Price of one target.
    pub price_cents_per_hour: u64,
    /// Whether the platform may withdraw targets of this class at any time.
    pub reclaimable: bool,
    /// Time from an order until the target is serving.
    pub start_s: u64,
}

impl Default for ClassDocument {
    fn default() -> Self {
        Self {
            name: String::new(),
            price_cents_per_hour: 0,
            reclaimable: false,
            start_s: 90,
        }
    }
}

/// Policy of the whole fleet.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PolicyDocument {
    /// Period over which the gain of a role change must exceed its cost.
    pub role_gain_horizon_s: u64,
    /// Time for which an engine is unavailable during a role change, not including its drain.
    pub role_change_cost_s: u64,
    /// Minimum time between two role changes of one target.
    pub role_change_interval_s: u64,
    /// Largest number of concurrent role changes in one zone.
    pub role_changes_per_zone: u32,
    /// Time for which an ordered target must be unneeded before it is released.
    pub release_after_idle_s: u64,
    /// Largest share of capacity that may be lost with one zone.
    pub zone_loss_share_percent: u8,
    /// Share that is guaranteed to lower priorities.
    pub low_priority_share_percent: u8,
    /// Share of successful requests that may be spent on retries.
    pub retry_budget_percent: u8,
}

impl Default for PolicyDocument {
    fn default() -> Self {
        Self {
            role_gain_horizon_s: 120,
            role_change_cost_s: 5,
            role_change_interval_s: 60,
            role_changes_per_zone: 1,
            // Placement spreads work across all targets, so none is idle for long. With 600 s the
            // `spend` experiment cost 2.9 times the minimum.
            release_after_idle_s: 60,
            zone_loss_share_percent: 34,
            low_priority_share_percent: 5,
            retry_budget_percent: 10,
        }
    }
}

/// Subtree `config/teams/<team>`: the workspaces of one team.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct TeamDocument {
    /// Workspaces of the team.
    pub workspaces: Vec<WorkspaceDocument>,
}

/// Priority of requests. A higher priority is served before a lower one.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    Display,
    EnumIter,
    EnumString,
    IntoStaticStr,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Priority {
    /// Work that can wait.
    Batch,
    /// Ordinary work.
    #[default]
    Normal,
    /// Work whose result a person is waiting for.
    Interactive,
    /// Work that must not be delayed, such as a checkout.
    Critical,
}

/// A workspace.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct WorkspaceDocument {
    /// Name, unique in the team.
    pub name: String,
    /// Priority of the workspace's requests.
    pub priority: Priority,
    /// Share within the priority, relative to other workspaces.
    pub weight: u32,
    /// Keys that act for the workspace.
    pub keys: Vec<KeyDocument>,
    /// Routes that the workspace may use; empty means all.
    pub routes: Vec<String>,
    /// Models that the workspace may use; empty means all.
    pub models: Vec<String>,
    /// Limits on use.
    pub limits: LimitsDocument,
    /// Rules for ordering capacity.
    pub spending: SpendingDocument,
    /// How planned changes treat running requests.
    pub planned_change: PlannedChangeDocument,
}

impl Default for WorkspaceDocument {
    fn default() -> Self {
        Self {
            name: String::new(),
            priority: Priority::Normal,
            weight: 1,
            keys: Vec::new(),
            routes: Vec::new(),
            models: Vec::new(),
            limits: LimitsDocument::default(),
            spending: SpendingDocument::default(),
            planned_change: PlannedChangeDocument::default(),
        }
    }
}

/// State of a key.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    Hash,
    Serialize,
    Deserialize,
    Display,
    EnumString,
    IntoStaticStr,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum KeyState {
    /// The key is valid.
    #[default]
    Active,
    /// The key was withdrawn.
    Withdrawn,
}

/// A key, stored as its hash.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct KeyDocument {
    /// Name of the key, unique in the workspace.
    pub name: String,
    /// SHA-256 of the key in hexadecimal digits.
    pub sha256: String,
    /// State of the key.
    pub state: KeyState,
}

/// Limits on use; 0 means no limit.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LimitsDocument {
    /// Requests per second.
    pub requests_per_s: u64,
    /// Prompt and output tokens per minute.
    pub tokens_per_min: u64,
    /// Concurrent requests.
    pub concurrent_requests: u64,
    /// Cost of use per day.
    pub budget_cents_per_day: u64,
}

/// Rules for ordering capacity on behalf of a workspace.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct SpendingDocument {
    /// Whether targets may be ordered when this workspace's deadlines are missed.
    pub buy_capacity: bool,
    /// Largest cost per hour of targets ordered on behalf of the workspace.
    pub capacity_cents_per_hour: u64,
    /// Whether the workspace's repeatable work may run on reclaimable targets.
    pub allow_reclaimable: bool,
}

/// How a planned change treats running requests.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    Hash,
    Serialize,
    Deserialize,
    Display,
    EnumString,
    IntoStaticStr,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum ChangeMode {
    /// Move running requests to another target.
    #[default]
    Move,
    /// Wait until running requests end.
    Wait,
}

/// Rule for planned changes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PlannedChangeDocument {
    /// How running requests are treated.
    pub mode: ChangeMode,
    /// Time after which a change that is still waiting is postponed.
    pub longest_wait_s: u64,
}

impl Default for PlannedChangeDocument {
    fn default() -> Self {
        Self {
            mode: ChangeMode::Move,
            longest_wait_s: 120,
        }
    }
}
