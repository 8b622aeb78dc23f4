//! Interfaces between the gateway and its platform: wire formats, the store, and duties.

use std::future::Future;
use std::time::Duration;

use jujubebeam_core::authority::SendResult;
use jujubebeam_core::gateway::{
    CatalogTarget, CountOrder, GatewaySettings, LoadReport, MirrorItem, PromptPart, Stage,
    WindowCounts,
};
use jujubebeam_core::store::{StoreOp, StoreReply};
use jujubebeam_core::{Fence, Revision};
use ntex::client::Client;
use smallvec::SmallVec;
use strum::IntoStaticStr;

/// Implementations of all external interfaces of the gateway.
pub trait Adapters: Copy + 'static {
    /// Names and formats of requests and answers.
    type Wire: Wire;
    /// The store that holds settings and targets.
    type Store: StoreApi;
    /// Calls that are made by one vm at a time.
    type Duties: DutiesApi;
}

/// Lookup of headers by lower-case name.
pub trait HeaderLookup {
    /// Value of the first header with this name, if it is text.
    fn find(&self, name: &str) -> Option<&str>;
}

/// Metadata of a caller's request.
#[derive(Clone, Debug, Default)]
pub struct Incoming {
    /// Id of this attempt of the caller; targets echo it.
    pub attempt_id: String,
    /// Time for which the caller waits for an answer.
    pub deadline: Option<Duration>,
    /// API key of the caller.
    pub key: Option<String>,
    /// Model that runs the request.
    pub model: Option<String>,
    /// Parts of the prompt.
    pub prompt_parts: Vec<PromptPart>,
    /// Largest number of output tokens.
    pub output_tokens: Option<u64>,
    /// Number of prompt tokens.
    pub prompt_tokens: Option<u64>,
    /// The broken stream that the request takes up.
    pub taken_up: Option<TakenUpStream>,
}

/// A stream that broke off and that its caller takes up.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TakenUpStream {
    /// Id of the caller's attempt that brought the first event, if the caller names it.
    pub origin: Option<String>,
}

/// Metadata that the gateway adds to a request to a target.
#[derive(Clone, Debug)]
pub struct Outgoing<'a> {
    /// Time in which the target must answer.
    pub time_left: Duration,
    /// Id of the target to which the request is addressed.
    pub target_id: &'a str,
    /// Tenant of the request.
    pub tenant: Option<&'a str>,
    /// Priority among requests at the target, if it differs from the default.
    pub priority: Option<u32>,
    /// The part of the work that the target performs.
    pub work: Work<'a>,
    /// Address of an engine that keeps a backup of the run, so that it can continue there.
    pub backup: Option<&'a str>,
}

/// The part of a request's work that a target performs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Work<'a> {
    /// All of it.
    #[default]
    Full,
    /// Compute the prompt and keep it for another engine.
    Prefill {
        /// Address of an engine from which the target first copies the parts of the prompt that it
        /// has not cached.
        copied_from: Option<&'a str>,
    },
    /// Generate the answer from a prompt that another engine keeps.
    Decode {
        /// Address of the engine that keeps the prompt.
        address: &'a str,
        /// Handle of the computed prompt.
        handle: &'a str,
    },
    /// Continue a stream after the event with this id.
    Resume(u64),
    /// Continue a stream from the backup of the run that the target keeps.
    Continue {
        /// Address of the target.
        address: &'a str,
        /// Id of the run.
        run: &'a str,
        /// Id of the last event that was forwarded.
        after: u64,
    },
}

impl Work<'_> {
    /// Whether the target only computes the prompt, which does not count as a run of the request.
    pub fn is_prefill(&self) -> bool {
        matches!(self, Self::Prefill { .. })
    }
}

/// Headers that are added to a request.
pub type OutgoingHeaders = SmallVec<[(&'static str, String); 6]>;

/// Whether a target requests backoff.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum BackoffRequest {
    /// The target accepts work.
    #[default]
    None,
    /// The target accepts no work from this vm for this time.
    For(Duration),
    /// The target named a time that cannot be parsed.
    Invalid,
}

/// Rate limit that a target states with an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum RateLimitNotice {
    /// The target states no limit.
    #[default]
    None,
    /// Requests per second that the target accepts from all vms together.
    PerSecond(f64),
    /// The target stated a limit that cannot be parsed.
    Invalid,
}

/// Notice that a target sends about itself with an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct TargetNotice {
    /// The target is leaving.
    pub is_leaving: bool,
    /// Whether the target requests backoff.
    pub backoff: BackoffRequest,
    /// Whether the target limits its requests per second.
    pub rate_limit: RateLimitNotice,
    /// The answer is from another target than the one to which the request was addressed.
    pub is_from_other_target: bool,
}

/// Result of an order to a target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OrderAnswer {
    /// How the send ended.
    pub result: SendResult,
    /// Notice of the target about itself.
    pub notice: TargetNotice,
}

/// Metadata in the head of a target's answer.
#[derive(Clone, Debug, Default)]
pub struct AnswerHead {
    /// The target states that it did not run the request.
    pub not_run: bool,
    /// Id of the attempt that is answered.
    pub attempt_id: Option<String>,
    /// Whether the answer is signed by a target.
    pub is_signed: bool,
    /// Load that the target reports.
    pub load: Option<LoadReport>,
    /// Notice of the target about itself.
    pub notice: TargetNotice,
}

/// Decoded value of a key with the settings prefix.
#[derive(Debug)]
pub enum StoredSettings {
    /// Settings of the gateway.
    Settings(Box<GatewaySettings>),
    /// The value cannot be used, for this reason.
    Invalid(String),
    /// The key holds no settings.
    Other,
}

/// Names and formats of requests and answers.
pub trait Wire: Copy + 'static {
    /// Path of the readiness query.
    const READINESS_PATH: &'static str;
    /// Path of the query for addresses.
    const ADDRESSES_PATH: &'static str;
    /// Path of a query that an engine answers without a slot.
    const ENGINE_QUERY_PATH: &'static str;
    /// Prefix of the keys of settings in the store.
    const SETTINGS_PREFIX: &'static str;
    /// Prefix of the keys of targets in the store.
    const TARGETS_PREFIX: &'static str;

    /// Parses the headers of a caller's request.
    fn incoming(headers: &impl HeaderLookup) -> Incoming;
    /// Whether a header is only set by the system and never accepted from a caller.
    fn is_reserved(name: &str) -> bool;
    /// Headers to add to a request to a target.
    fn outgoing(outgoing: &Outgoing<'_>) -> OutgoingHeaders;
    /// Headers of a health check of a target, which also name it in a query of an engine.
    fn health_check(target_id: &str) -> OutgoingHeaders;
    /// Headers to add to a request that is passed on to another vm, which reads them as those of a
    /// caller.
    fn to_vm(incoming: &Incoming, time_left: Duration) -> OutgoingHeaders;
    /// Parses the head of a target's answer.
    fn answer(status: u16, headers: &impl HeaderLookup) -> AnswerHead;
    /// Parses the handle of a computed prompt from the body of an engine's answer.
    fn prompt_handle(body: &[u8]) -> Option<String>;
    /// Body of the answer to a query for addresses.
    fn addresses(addresses: &[String], lifetime: Duration) -> Vec<u8>;
    /// Decodes a key with the settings prefix.
    fn settings(key: &str, value: &[u8]) -> StoredSettings;
    /// Decodes a key with the targets prefix; `None` if it describes no usable target.
    fn target(key: &str, value: &[u8], revision: Revision) -> Option<CatalogTarget>;
}

/// Reply to a watch.
#[derive(Debug)]
pub enum WatchReply {
    /// Changes in order, possibly none.
    Changes {
        /// The changes.
        items: Vec<MirrorItem>,
        /// Revision up to which they are complete.
        at: Revision,
    },
    /// The store has compacted the history after the given revision; the prefix must be listed
    /// again.
    Compacted,
    /// No reply, for this reason.
    Failed(String),
}

/// Client of the store.
pub trait StoreApi: Sized + 'static {
    /// Creates a client for use on one thread.
    fn new(http: Client, address: &str) -> Self;
    /// Newest era of the store that an answer has had, or 0 if none had one.
    fn newest_era(&self) -> u64;
    /// Sends an operation as it is. Others call [`StoreApi::perform`], because the store compares
    /// the numbers of revisions without their eras.
    fn send(&self, op: StoreOp) -> impl Future<Output = StoreReply>;
    /// Performs an operation. A write with a condition from an earlier era is not sent, because its
    /// condition could hold for another value; it is a conflict with the current entry.
    fn perform(&self, op: StoreOp) -> impl Future<Output = StoreReply> {
        async move {
            match op.outdated_key(self.newest_era()) {
                Some(key) => {
                    let read = StoreOp::Get {
                        key: key.to_owned(),
                    };
                    self.send(read).await.into_conflict()
                }
                None => self.send(op).await,
            }
        }
    }
    /// Lists the keys with a prefix. The reply may be some seconds old.
    fn list_stale(&self, prefix: &str) -> impl Future<Output = StoreReply>;
    /// Waits for changes after a revision, for `wait` at most. After a failure, the next call uses a
    /// new connection, because others that are open may be silent as well.
    fn watch(
        &self,
        prefix: &str,
        after: Revision,
        wait: Duration,
    ) -> impl Future<Output = WatchReply>;
    /// Reads the changes after a revision, on a connection of its own.
    fn changes_since(&self, prefix: &str, after: Revision) -> impl Future<Output = WatchReply>;
}

/// Result of a call for a duty.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DutyResult {
    /// The call was accepted.
    Accepted,
    /// The call was refused with this status.
    Refused(u16),
    /// There was no answer, for this reason. The call may have taken effect.
    Failed(String),
}

/// Proof of the lease under which a call is made.
#[derive(Clone, Copy, Debug)]
pub struct Authorised<'a> {
    /// Name of the vm that holds the lease.
    pub holder: &'a str,
    /// Fence of the lease.
    pub fence: Fence,
    /// Time for which the lease is guaranteed to be held. The call must end within it: a connection
    /// that is established later would carry an order next to those of the next holder.
    pub valid_for: Duration,
}

/// Calls that are made by one vm at a time.
pub trait DutiesApi: Sized + 'static {
    /// Creates a client for use on one thread.
    fn new(http: Client, address: &str) -> Self;
    /// Reports the usage of a window.
    fn report_usage(
        &self,
        authority: Authorised<'_>,
        window: u64,
        counts: &WindowCounts,
    ) -> impl Future<Output = DutyResult>;
    /// Orders a number of targets. `Rejected` means that none are available at the moment.
    fn order_count(
        &self,
        authority: Authorised<'_>,
        order: &CountOrder,
    ) -> impl Future<Output = SendResult>;
    /// Orders an engine to change its stage.
    fn order_stage(
        &self,
        authority: Authorised<'_>,
        target: &CatalogTarget,
        stage: Stage,
    ) -> impl Future<Output = OrderAnswer>;
    /// Queries an engine for the prompt parts that it caches.
    fn cached_parts(
        &self,
        target: &CatalogTarget,
    ) -> impl Future<Output = Result<Vec<PromptPart>, String>>;
}
