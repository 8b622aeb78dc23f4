//! The outer edges of the gateway: callers and targets on the wire, the store, and duties.

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

/// Everything that the gateway meets outside.
pub trait Adapters: Copy + 'static {
    /// Names and formats of requests and answers.
    type Wire: Wire;
    /// The store in which settings and targets are kept.
    type Store: StoreApi;
    /// Calls that one vm at a time makes.
    type Duties: DutiesApi;
}

/// Headers by lower-case name.
pub trait HeaderLookup {
    /// Value of the first header of this name, if it is text.
    fn find(&self, name: &str) -> Option<&str>;
}

/// What a caller says of its request.
#[derive(Clone, Debug, Default)]
pub struct Incoming {
    /// Id of this try of the caller; targets echo it.
    pub attempt_id: String,
    /// How long the caller waits.
    pub deadline: Option<Duration>,
    /// Key of the caller.
    pub key: Option<String>,
    /// Parts of the prompt.
    pub prompt_parts: Vec<PromptPart>,
    /// Most output tokens.
    pub output_tokens: Option<u64>,
}

/// What the system says of a request to its target.
#[derive(Clone, Debug)]
pub struct Outgoing<'a> {
    /// Time in which the target must answer.
    pub time_left: Duration,
    /// The target that is meant.
    pub target_id: &'a str,
    /// Tenant of the request.
    pub tenant: Option<&'a str>,
    /// Rank among requests at the target, if it differs from the usual one.
    pub priority: Option<u32>,
    /// What part of the request's work the target does.
    pub work: Work<'a>,
    /// Address of an engine that keeps a copy of the run, so that it can go on there.
    pub backup: Option<&'a str>,
}

/// What part of a request's work a target does.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Work<'a> {
    /// All of it.
    #[default]
    Full,
    /// It computes the prompt and keeps it for another engine.
    Prefill {
        /// Address of an engine from which it first copies what it does not keep of the prompt.
        copied_from: Option<&'a str>,
    },
    /// It generates the answer from a prompt that another engine keeps.
    Decode {
        /// Address of the engine that keeps the prompt.
        address: &'a str,
        /// The prompt.
        handle: &'a str,
    },
    /// It continues a stream after this event.
    Resume(u64),
    /// It continues a stream from the copy of the run that it keeps.
    Continue {
        /// Its address.
        address: &'a str,
        /// Id of the run.
        run: &'a str,
        /// Last event that was passed on.
        after: u64,
    },
}

impl Work<'_> {
    /// Whether the target computes the prompt only, which is no run of the request.
    pub fn is_prefill(&self) -> bool {
        matches!(self, Self::Prefill { .. })
    }
}

/// Headers that are added to a request.
pub type OutgoingHeaders = SmallVec<[(&'static str, String); 6]>;

/// Whether a target wants no work for a time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum BackoffRequest {
    /// It takes work.
    #[default]
    None,
    /// It wants nothing from this vm for so long.
    For(Duration),
    /// It named a time that cannot be read.
    Invalid,
}

/// What a target says of itself with an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TargetNotice {
    /// The target leaves.
    pub is_leaving: bool,
    /// Whether it wants no work for a time.
    pub backoff: BackoffRequest,
    /// The answer comes from another target than the one that was meant.
    pub is_from_other_target: bool,
}

/// How an order to a target ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OrderAnswer {
    /// How the send ended.
    pub result: SendResult,
    /// What the target said of itself.
    pub notice: TargetNotice,
}

/// What the head of a target's answer says.
#[derive(Clone, Debug, Default)]
pub struct AnswerHead {
    /// The target states that it did not run the request.
    pub not_run: bool,
    /// Id of the try that is answered.
    pub attempt_id: Option<String>,
    /// Whether the answer is signed by a target.
    pub is_signed: bool,
    /// Load of the target.
    pub load: Option<LoadReport>,
    /// What the target says of itself.
    pub notice: TargetNotice,
}

/// What a key of the settings prefix holds.
#[derive(Debug)]
pub enum StoredSettings {
    /// Settings for opaque requests.
    Settings(Box<GatewaySettings>),
    /// The value cannot be used.
    Invalid(String),
    /// Another key.
    Other,
}

/// Names and formats of requests and answers.
pub trait Wire: Copy + 'static {
    /// Path of the readiness question.
    const READINESS_PATH: &'static str;
    /// Path of the question for addresses.
    const ADDRESSES_PATH: &'static str;
    /// Prefix of the keys of settings in the store.
    const SETTINGS_PREFIX: &'static str;
    /// Prefix of the keys of targets in the store.
    const TARGETS_PREFIX: &'static str;

    /// Reads the headers of a request.
    fn incoming(headers: &impl HeaderLookup) -> Incoming;
    /// Whether a header is set by the system alone and never taken from a caller.
    fn is_reserved(name: &str) -> bool;
    /// Headers for a target.
    fn outgoing(outgoing: &Outgoing<'_>) -> OutgoingHeaders;
    /// Reads the head of an answer.
    fn answer(status: u16, headers: &impl HeaderLookup) -> AnswerHead;
    /// Handle of a computed prompt in the body of an engine's answer.
    fn prompt_handle(body: &[u8]) -> Option<String>;
    /// Body of an answer to a question for addresses.
    fn addresses(addresses: &[String], lifetime: Duration) -> Vec<u8>;
    /// Decodes a key of the settings prefix.
    fn settings(key: &str, value: &[u8]) -> StoredSettings;
    /// Decodes a key of the targets prefix; `None` if it names no usable target.
    fn target(key: &str, value: &[u8], revision: Revision) -> Option<CatalogTarget>;
}

/// Answer to a watch.
#[derive(Debug)]
pub enum WatchReply {
    /// Changes in order, possibly none.
    Changes {
        /// The changes.
        items: Vec<MirrorItem>,
        /// Revision up to which they are complete.
        at: Revision,
    },
    /// The store no longer has the history; list again.
    Compacted,
    /// No answer.
    Failed(String),
}

/// The store.
pub trait StoreApi: Sized + 'static {
    /// Creates a client on a thread.
    fn new(http: Client, address: &str) -> Self;
    /// Performs an operation.
    fn perform(&self, op: StoreOp) -> impl Future<Output = StoreReply>;
    /// Lists keys; the answer may be some seconds old.
    fn list_stale(&self, prefix: &str) -> impl Future<Output = StoreReply>;
    /// Waits for changes after a revision.
    fn watch(
        &self,
        prefix: &str,
        after: Revision,
        wait: Duration,
    ) -> impl Future<Output = WatchReply>;
}

/// Result of a duty.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DutyResult {
    /// The call was accepted.
    Accepted,
    /// The call was refused with this status.
    Refused(u16),
    /// No answer; the call may have taken effect.
    Failed(String),
}

/// In whose name a call is made.
#[derive(Clone, Copy, Debug)]
pub struct Authorised<'a> {
    /// Name of the vm that holds the lease.
    pub holder: &'a str,
    /// Fence of the lease.
    pub fence: Fence,
    /// Time for which the lease surely holds. The call ends within it: a connection that is only
    /// established later would carry an order beside those of the next holder.
    pub valid_for: Duration,
}

/// Calls that one vm at a time makes.
pub trait DutiesApi: Sized + 'static {
    /// Creates a client on a thread.
    fn new(http: Client, address: &str) -> Self;
    /// Reports the usage of a window.
    fn report_usage(
        &self,
        authority: Authorised<'_>,
        window: u64,
        counts: &WindowCounts,
    ) -> impl Future<Output = DutyResult>;
    /// Orders a number of targets. `Rejected` means that none can be had at the moment.
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
    /// Asks an engine which parts of prompts it keeps.
    fn cached_parts(
        &self,
        target: &CatalogTarget,
    ) -> impl Future<Output = Result<Vec<PromptPart>, String>>;
}
