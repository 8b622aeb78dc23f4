//! Passes requests on to another vm while this one reaches no target of their service.
//!
//! The other vm handles the request like one of its own callers, except that it does not pass it on
//! again. See `docs/incidents/partitioned-from-targets.md`.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use futures_util::future::OptionFuture;
use futures_util::stream::unfold;
use http::Response;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use jujubebeam_core::VmId;
use jujubebeam_core::gateway::{
    AdmissionClass, FinalAnswer, Repeatability, RequestKind, TargetKey,
};
use ntex::util::Bytes as NtexBytes;
use ntex::web::{HttpRequest, HttpResponse};
use smallvec::SmallVec;
use tokio::time::sleep;

use crate::adapters::{Adapters, HeaderLookup};
use crate::answer::{CallerHeaders, REFUSAL_HEADER, Reason, Refusal, TargetHeaders};
use crate::attempt;
use crate::collected;
use crate::connection::{PooledRequest, SendError, TargetConnection};
use crate::decision_log::{DecisionKind, decision, millis};
use crate::forward::NO_TARGET_RETRY;
use crate::job::Job;
use crate::request_log::{importance, record_refusal};
use crate::server::{Context, RunningGuard};
use crate::state::Shared;
use crate::stream::{CLOSE_CHECK_INTERVAL, is_event_stream};

/// Header of a request that another vm passes on, with the id of that vm.
pub(crate) const PASSED_ON_HEADER: &str = "jujubebeam-passed-on";

/// Header of a request that another vm passes on, with the class that this vm has given it. The time that
/// is left of its deadline would make it a retry.
pub(crate) const ADMISSION_HEADER: &str = "jujubebeam-admission";

/// Most vms that are asked to take a request.
const MAX_HELPERS: usize = 3;

/// Most requests of other vms that a vm handles at the same time, so that its own callers do not
/// suffer.
const MAX_TAKEN: usize = 256;

/// Most connections of one worker to another vm.
const MAX_CONNECTIONS: usize = 128;

/// `Retry-After` of a vm that has taken too many requests.
const FULL_RETRY: Duration = Duration::from_millis(100);

/// A request that another vm has passed on, which counts as taken until this is dropped.
#[derive(Debug)]
pub(crate) struct TakenGuard(Arc<Shared>);

impl Drop for TakenGuard {
    fn drop(&mut self) {
        self.0.taken.fetch_sub(1, Ordering::SeqCst);
    }
}

/// Counts a request if another vm has passed it on.
///
/// # Errors
///
/// Returns a refusal if this vm has taken too many.
pub(crate) fn take(
    shared: &Arc<Shared>,
    request: &HttpRequest,
) -> Result<Option<TakenGuard>, Refusal> {
    if !is_from_vm(shared, request) {
        return Ok(None);
    }
    let taken = shared.taken.fetch_add(1, Ordering::SeqCst);
    let guard = TakenGuard(shared.clone());
    match taken < MAX_TAKEN {
        true => Ok(Some(guard)),
        false => Err(Refusal::not_run(Reason::HelperFull, FULL_RETRY)),
    }
}

/// Class of a request that another vm passes on. Vms of earlier versions name none.
pub(crate) fn admission_class(request: &HttpRequest) -> Option<AdmissionClass> {
    CallerHeaders(request.headers())
        .find(ADMISSION_HEADER)
        .and_then(|class| class.parse().ok())
        .filter(|class| matches!(class, AdmissionClass::New | AdmissionClass::Retry))
}

/// Whether the vm that the header names has sent the request. A caller cannot use up the room for
/// requests of other vms with a header of its own.
fn is_from_vm(shared: &Shared, request: &HttpRequest) -> bool {
    let named = CallerHeaders(request.headers())
        .find(PASSED_ON_HEADER)
        .and_then(|name| name.parse().ok());
    let (Some(vm), Some(sender)) = (named, request.peer_addr()) else {
        return false;
    };
    let membership = shared.membership();
    let address = membership
        .record(VmId(vm))
        .and_then(|record| record.peer_address.parse::<SocketAddr>().ok());
    address.is_some_and(|address| address.ip() == sender.ip())
}

/// Answers a request through another vm, if this one is cut off from the targets of its service. A
/// request that may have run is only passed on if it may be repeated. `None` means that this vm has to
/// send it itself.
pub(crate) async fn answer<A: Adapters>(
    context: &Context<A>,
    job: &Rc<Job>,
    has_not_run: bool,
) -> Option<HttpResponse> {
    let shared = &context.shared;
    if !shared.reachability().is_cut_off(job.service()) {
        return None;
    }
    let unreachable = || {
        let refusal = Refusal::not_run(Reason::TargetsUnreachable, NO_TARGET_RETRY);
        record_refusal(shared, job, &refusal);
        refusal.response()
    };
    let may_send = has_not_run || job.repeatability() == Repeatability::Idempotent;
    if !may_send {
        return None;
    }
    if job.is_taken() {
        return has_not_run.then(unreachable);
    }
    // A body without a length could not be told from one that broke off.
    let is_plain = job.route().kind != RequestKind::Stream;
    if job.allows_chunks || is_plain {
        match pass_on(context, job).await {
            PassedOn::Answered(response) => return Some(response),
            PassedOn::Unknown => return Some(failed(shared, job)),
            PassedOn::NotTaken => {}
        }
    }
    let is_silent = shared.reachability().is_silent(job.service(), shared.now());
    (has_not_run && is_silent).then(unreachable)
}

fn failed(shared: &Shared, job: &Job) -> HttpResponse {
    let refusal = Refusal::from_final(FinalAnswer::Failed);
    record_refusal(shared, job, &refusal);
    refusal.response()
}

/// What became of a request that was passed on.
enum PassedOn {
    Answered(HttpResponse),
    /// A vm has the request and did not answer, so it may have run.
    Unknown,
    /// No vm has run the request, and none will.
    NotTaken,
}

/// Result of one attempt at another vm.
enum Attempt {
    Answered(Box<(Response<Incoming>, TargetConnection)>),
    /// The vm does not take the request, for this reason.
    NotTaken(String),
    /// The vm has the request and did not answer, for this reason.
    Unknown(String),
}

/// A request that counts as running at another vm until this is dropped.
struct HelperGuard {
    shared: Arc<Shared>,
    vm: VmId,
}

impl Drop for HelperGuard {
    fn drop(&mut self) {
        let now = self.shared.now();
        self.shared.helpers().ended(self.vm, now);
    }
}

async fn pass_on<A: Adapters>(context: &Context<A>, job: &Rc<Job>) -> PassedOn {
    let shared = &context.shared;
    let mut tried: SmallVec<[VmId; MAX_HELPERS]> = SmallVec::new();
    let mut may_have_run = false;
    while tried.len() < MAX_HELPERS {
        let Some((guard, address)) = choose(shared, &tried) else {
            break;
        };
        let vm = guard.vm;
        tried.push(vm);
        let attempt = send(context, job, vm, &address).await;
        let (outcome, status, cause) = match &attempt {
            Attempt::Answered(answer) => ("answered", Some(answer.0.status()), None),
            Attempt::NotTaken(cause) => ("not_taken", None, Some(cause.clone())),
            Attempt::Unknown(cause) => ("unknown", None, Some(cause.clone())),
        };
        shared.metrics.passed_on(outcome);
        decision!(
            shared,
            DecisionKind::PassedOn,
            request = job.incoming.attempt_id.as_str(),
            helper:% = vm,
            outcome,
            status = status.map(|status| status.as_u16()),
            cause,
            after_ms = millis(job.arrived_at.elapsed())
        );
        match attempt {
            Attempt::Answered(answer) => {
                let (response, connection) = *answer;
                return forward(context, job, guard, response, connection).await;
            }
            Attempt::NotTaken(_) => shared.helpers().rest(vm, shared.now()),
            Attempt::Unknown(_) => {
                shared.helpers().rest(vm, shared.now());
                may_have_run = true;
                if job.repeatability() != Repeatability::Idempotent {
                    break;
                }
            }
        }
    }
    match may_have_run {
        true => PassedOn::Unknown,
        false => PassedOn::NotTaken,
    }
}

/// Chooses a vm that callers may use, and counts the request there.
fn choose(shared: &Arc<Shared>, tried: &[VmId]) -> Option<(HelperGuard, String)> {
    let now = shared.now();
    let membership = shared.membership();
    let usable = membership.addresses(&shared.config.zone, 0, now);
    let usable = usable
        .into_iter()
        .filter(|record| record.vm != shared.vm && !record.caller_address.is_empty());
    let vms: Vec<_> = usable.map(|record| record.vm).collect();
    let vm = shared.helpers().choose(&vms, tried, now)?;
    let guard = HelperGuard {
        shared: shared.clone(),
        vm,
    };
    let address = membership.record(vm)?.caller_address.clone();
    drop(membership);
    Some((guard, address))
}

/// Key of the connections to a vm and of the memory of its answers.
fn key_of(vm: VmId) -> TargetKey {
    TargetKey(vm.0)
}

async fn send<A: Adapters>(context: &Context<A>, job: &Job, vm: VmId, address: &str) -> Attempt {
    let pooled = PooledRequest {
        attempt_id: &job.incoming.attempt_id,
        runs_once: job.repeatability() != Repeatability::Idempotent,
    };
    let pool = &context.vm_pool;
    let connected = pool
        .connect(key_of(vm), address, pooled, MAX_CONNECTIONS)
        .await;
    let mut connection = match connected {
        Ok(connection) => connection,
        Err(error) => return Attempt::NotTaken(format!("{error:?}")),
    };
    let request = match job.request_to_vm::<A>(context.shared.vm) {
        Ok(request) => request,
        Err(error) => return Attempt::NotTaken(error.to_string()),
    };
    let response = match connection.send(request).await {
        Ok(response) => response,
        Err(SendError::NoAnswer(reason)) => {
            pool.close_idle(key_of(vm));
            return Attempt::Unknown(reason);
        }
        Err(error) => return Attempt::NotTaken(format!("{error:?}")),
    };
    let headers = TargetHeaders(response.headers());
    let refusal = headers.find(REFUSAL_HEADER);
    match refusal.filter(|reason| Reason::is_of_helper(reason)) {
        Some(reason) => Attempt::NotTaken(reason.to_owned()),
        None => Attempt::Answered(Box::new((response, connection))),
    }
}

async fn forward<A: Adapters>(
    context: &Context<A>,
    job: &Rc<Job>,
    guard: HelperGuard,
    response: Response<Incoming>,
    connection: TargetConnection,
) -> PassedOn {
    let shared = &context.shared;
    if is_event_stream(&response) {
        return PassedOn::Answered(forward_stream(context, job, guard, response, connection));
    }
    let key = key_of(guard.vm);
    let (parts, body) = response.into_parts();
    match collected::collect(&shared.answer_budget, key, body).await {
        Ok(body) => {
            context.vm_pool.release(key, connection);
            let mut builder = attempt::head(&parts);
            PassedOn::Answered(builder.body(body.into_body(job.connection())))
        }
        Err(_) => PassedOn::Unknown,
    }
}

/// A stream that another vm sends.
struct PassedOnStream<A: Adapters> {
    context: Context<A>,
    job: Rc<Job>,
    guard: HelperGuard,
    body: Incoming,
    connection: TargetConnection,
    /// Makes a shutdown wait for the stream.
    _running: RunningGuard,
}

fn forward_stream<A: Adapters>(
    context: &Context<A>,
    job: &Rc<Job>,
    guard: HelperGuard,
    response: Response<Incoming>,
    connection: TargetConnection,
) -> HttpResponse {
    let (parts, body) = response.into_parts();
    let disconnected = OptionFuture::from(job.on_disconnect());
    let stream = PassedOnStream {
        context: context.clone(),
        job: job.clone(),
        guard,
        body,
        connection,
        _running: context.track_running(),
    };
    let state = (stream, disconnected);
    attempt::head(&parts).streaming(Box::pin(unfold(
        state,
        |(mut stream, mut disconnected)| async move {
            let item = tokio::select! {
                biased;
                item = stream.next() => item,
                // ntex drops the stream when its task is polled.
                Some(()) = &mut disconnected => std::future::pending().await,
            };
            let Some(item) = item else {
                stream.finish();
                return None;
            };
            Some((
                Ok::<_, std::convert::Infallible>(item),
                (stream, disconnected),
            ))
        },
    )))
}

impl<A: Adapters> PassedOnStream<A> {
    /// The next bytes, or `None` at the end of a complete body.
    async fn next(&mut self) -> Option<NtexBytes> {
        loop {
            match self.body.frame().await {
                Some(Ok(frame)) => {
                    if let Some(data) = frame.data_ref() {
                        return Some(NtexBytes::copy_from_slice(data));
                    }
                }
                Some(Err(error)) => self.abort(&error.to_string()).await,
                None => return None,
            }
        }
    }

    fn finish(self) {
        let key = key_of(self.guard.vm);
        self.context.vm_pool.release(key, self.connection);
    }

    /// Closes the caller's connection, so that the stream does not look complete.
    async fn abort(&self, reason: &str) {
        let shared = &self.context.shared;
        decision!(
            shared,
            DecisionKind::CutOff,
            importance: importance(&self.job),
            request = self.job.incoming.attempt_id.as_str(),
            route = self.job.route().name.as_str(),
            helper:% = self.guard.vm,
            reason = "cut_off",
            cause = reason,
            after_ms = millis(self.job.arrived_at.elapsed())
        );
        self.job.close_connection();
        // Buffered events are sent first, and ntex may not wake this task when that is done.
        loop {
            sleep(CLOSE_CHECK_INTERVAL).await;
        }
    }
}
