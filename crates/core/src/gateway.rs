//! Decisions about opaque requests: routing by host and path, choice of a target, retries and the
//! final answer.
//!
//! Opaque requests are forwarded byte for byte; their bodies are never parsed. See
//! `docs/platform.md`.

mod admission;
mod answer_check;
mod budget;
mod caller_memory;
mod carried_attempts;
mod catalog;
mod crash_evidence;
mod freshness;
mod helpers;
mod identity;
mod leaving;
mod log_limits;
mod mirror;
mod outcome;
mod packed;
mod part_crashes;
mod pauses;
mod peer_selection;
mod permits;
mod placement;
mod prompt_owner;
mod quotas;
mod rate_limits;
mod reachability;
mod refresh;
mod roles;
mod scale;
mod settings;
mod software_versions;
mod start_gate;
mod stored_crashes;
mod stream_lookup;
mod stream_origins;
mod true_time;
mod usage_collection;
mod usage_window;

pub use admission::{Admission, AdmissionClass};
pub use answer_check::{AnswerClaim, AnswerVerdict, check_answer, contains_status_line};
pub use budget::{ArrivalBudget, ArrivalBudgetConfig};
pub use caller_memory::{
    CONNECTION_BYTES, CallerMemory, CallerMemoryConfig, ConnectionKey, CutConnections,
    SMALL_BODY_BYTES,
};
pub use carried_attempts::CarriedAttempts;
pub use catalog::{Catalog, CatalogTarget, Stage, TargetChange, TargetKey, TargetPhase};
pub use crash_evidence::{
    CrashEvidence, EvidenceOutcome, EvidenceStep, RunState, UnansweredAttempt,
};
pub use freshness::{Freshness, ReplicaAge};
pub use helpers::Helpers;
pub use identity::{IdentifyingFields, RequestIdentity};
pub use leaving::TargetRun;
pub use log_limits::{
    LineClass, LogLimiter, MAX_IMPORTANT_LINES_PER_KIND_PER_S, MAX_IMPORTANT_LINES_PER_S,
    MAX_LINES_PER_KIND_PER_S, MAX_ROUTINE_LINES_PER_S, ROUTINE_LINES_PER_S,
};
pub use mirror::{MAX_REVISION, Mirror, MirrorDelta, MirrorItem, PackedItem, SkippedRevisions};
pub use outcome::{AttemptEnd, FinalAnswer, NextStep, Repeatability, RequestProgress};
pub use packed::PackedValue;
pub use part_crashes::{PartCrashConfig, PartCrashes, PartFingerprints, RefusedPart};
pub use pauses::{MAX_OVERLAP, PauseLimits, abandon_timeout, caller_idle_timeout, resume_timeout};
pub use peer_selection::PeerSelector;
pub use permits::{PermitConfig, PermitDemand, PermitQuery, PermitReply, Permits};
pub use placement::{
    EndedHandOver, EnginePath, EnginePlan, HandOver, HandOverFinding, LinkChange, LoadReport,
    OmissionReason, OmittedTarget, OmittedTargets, Placement, PlacementConfig,
    PlacementExplanation, PlacementId, PlacementRefused, PlacementRequest, Placer, PrefillCost,
    PromptPart, RequiredVersion, SlowLink, SlowLinks, TargetEstimate, is_worth_backup,
    shared_parts,
};
pub use prompt_owner::{
    HandOverEnd, HandOverOutcome, PromptEnd, PromptOutcome, PromptOwner, PromptPlacement,
    PromptPlacementReply, PromptPlacementRequest, PromptRequestId, ReportedPrompt,
    UnresponsiveOwners, owner_of, prompt_timeout, reply_timeout,
};
pub use quotas::{
    QuotaCharge, QuotaConfig, QuotaDemand, QuotaQuery, QuotaRefusal, QuotaReply, QuotaResult,
    QuotaSource, QuotaStep, QuotaUnit, Quotas, ReturnedQuota, WorkspaceQuota,
};
pub use rate_limits::{RateLimitReport, RateLimits};
pub use reachability::{LinkState, Reachability};
pub use refresh::{RefreshPolicy, RefreshStep};
pub use roles::{RolePolicy, stage_changes};
pub use scale::{CountOrder, ScalePolicy, Scaler};
pub use settings::{
    EngineLimits, GatewaySettings, GatewayTenant, HostRoute, RequestKind, ScalingLimits, Service,
    ServiceShare, TenantIndex,
};
pub use software_versions::{
    MIN_STREAM_LIFETIME, SOFTWARE_VERSIONS_KEY, SoftwareVersions, StoredVersions, UsedVersions,
    route_key, stream_lifetime,
};
pub use start_gate::StartGate;
pub use stored_crashes::{STORED_CRASHES_KEY, StoredCrashes};
pub use stream_lookup::{
    OriginSource, OriginUnknown, StoredKnowledge, StreamQuery, StreamReplies, StreamReply,
};
pub use stream_origins::{STREAMS_PREFIX, StoredStreams, StreamEnd, StreamOrigin, StreamOrigins};
pub use true_time::TrueTime;
pub use usage_collection::{CollectStep, LostReports, UsageCollection};
pub use usage_window::{RunCounts, UsageWindows, WindowCounts};
