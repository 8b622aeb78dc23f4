//! The path of a request: check, place, send, and pass the answer on.

use std::cell::{Cell, RefCell};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::{Request, Response, header};
use http_body_util::{BodyExt, Full};
use jujubebeam_core::gateway::{
    AttemptEnd, EnginePath, FinalAnswer, GatewaySettings, HostRoute, NextStep, PlaceRequest,
    Placed, PromptPart, RefusedPlace, Repeatability, RequestKind, RequestProgress, Stage,
    TargetKey,
};
use jujubebeam_core::quarantine::{Fingerprint, QuarantineCommand, QuarantineEvent, Verdict};
use jujubebeam_core::{Machine, RouteId, TargetId};
use ntex::http::StatusCode;
use ntex::io::IoRef;
use ntex::util::Bytes as NtexBytes;
use ntex::web::types::{Payload, State};
use ntex::web::{HttpRequest, HttpResponse};
use smallvec::SmallVec;
use tokio::time::{Instant, timeout_at};

use crate::answer::{CallerHeaders, Reason, Refusal, TargetHeaders};
use crate::connection::{SendError, TargetConnection};
use crate::edges::{AnswerHead, Edges, Incoming, Outgoing, Wire, Work};
use crate::journal::LineKind;
use crate::message::Message;
use crate::peers;
use crate::prompt::{self, Prompt};
use crate::server::Context;
use crate::state::Shared;
use crate::stream::{self, EventStream};

/// Time for a request whose caller and route name none.
const DEFAULT_TIME: Duration = Duration::from_secs(30);

/// Longest answer of a plain service that is read as a whole before it is passed on.
const MAX_ANSWER_BYTES: usize = 8 * 1024 * 1024;

/// Time after a shutdown signal during which requests are still taken. Callers that kept the
/// address beyond its lifetime are told to go elsewhere, while what was taken is finished.
const TAKE_WHILE_LEAVING: Duration = Duration::from_millis(2500);

/// Time after which a caller may come back when a service has no target at all.
const NO_TARGET_RETRY: Duration = Duration::from_millis(500);

/// Connections to a target that are left to callers outside the system and to restarts of vms.
const CONNECTION_SHARE: f64 = 0.8;

/// Headers that concern one connection only, or that are set anew.
const HOP_HEADERS: [&str; 11] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length",
    "expect",
    "host",
];

/// A request that was accepted.
pub(crate) struct Job {
    pub(crate) settings: Arc<GatewaySettings>,
    route: usize,
    pub(crate) incoming: Incoming,
    tenant: Option<String>,
    pub(crate) service: String,
    method: http::Method,
    uri: http::Uri,
    host: String,
    headers: http::HeaderMap,
    body: Bytes,
    fingerprint: Fingerprint,
    /// The caller's connection.
    io: Option<IoRef>,
    pub(crate) arrived: Instant,
    /// Longest predicted wait at a target with which the request is sent.
    longest_wait: Duration,
    /// When the request's time is over.
    pub(crate) limit: Instant,
    counted: Cell<bool>,
    /// Id of the target that has the request, for the log.
    at_target: RefCell<String>,
}

/// An attempt that is counted at its target until it is dropped.
pub(crate) struct InFlight {
    shared: Arc<Shared>,
    pub(crate) placed: Placed,
}

impl Drop for InFlight {
    fn drop(&mut self) {
        let now = self.shared.now();
        self.shared.fleet().placer.finished(&self.placed, now);
    }
}

/// What came of an attempt.
enum Attempted {
    /// A whole answer.
    Whole(WholeAnswer),
    /// A stream with its first events.
    Events(Box<EventStream>),
    /// No answer.
    Ended(AttemptEnd, String),
}

/// A whole answer of a target.
struct WholeAnswer {
    parts: http::response::Parts,
    body: Bytes,
}

/// Handles a request of a caller.
pub(crate) async fn handle<E: Edges>(
    context: State<Context<E>>,
    request: HttpRequest,
    payload: Payload,
) -> HttpResponse {
    let context = (*context).clone();
    let _running = context.shared_running();
    let mut response = match accept(&context, &request, payload).await {
        Ok(job) => run(&context, Rc::new(job)).await,
        Err((attempt_id, refusal)) => {
            tell_end(&context.shared, &attempt_id, "-", &refusal, Duration::ZERO);
            refusal.response()
        }
    };
    if context.shared.leaving_for().is_some() {
        response
            .head_mut()
            .set_connection_type(ntex::http::ConnectionType::Close);
    }
    response
}

type Denied = (String, Refusal);

async fn accept<E: Edges>(
    context: &Context<E>,
    request: &HttpRequest,
    payload: Payload,
) -> Result<Job, Denied> {
    let arrived = Instant::now();
    let shared = &context.shared;
    let incoming = E::Wire::incoming(&CallerHeaders(request.headers()));
    let denied = |refusal| (incoming.attempt_id.clone(), refusal);
    let Some(settings) = shared.settings().filter(|_| shared.knows_targets()) else {
        return Err(denied(Refusal::starting()));
    };
    if shared
        .leaving_for()
        .is_some_and(|time| time > TAKE_WHILE_LEAVING)
    {
        return Err(denied(Refusal::leaving()));
    }
    let host = request.headers().get("host").and_then(|h| h.to_str().ok());
    let host = host.unwrap_or_default().to_owned();
    let Some(route) = settings.route(&host, request.uri().path()) else {
        let refusal = Refusal::status(Reason::UnknownRoute, StatusCode::NOT_FOUND);
        return Err(denied(refusal));
    };
    let tenant = match tenant(&settings, route, incoming.key.as_deref()) {
        Ok(tenant) => tenant,
        Err(refusal) => return Err(denied(refusal)),
    };
    let time = incoming.deadline.unwrap_or(DEFAULT_TIME);
    let time = match route.timeout {
        Duration::ZERO => time,
        timeout => time.min(timeout),
    };
    let limit = arrived + time;
    let body = match timeout_at(limit, read_body(payload, settings.max_body_bytes)).await {
        Ok(Ok(body)) => body,
        Ok(Err(refusal)) => return Err(denied(refusal)),
        Err(_) => {
            let refusal = Refusal::status(Reason::SlowBody, StatusCode::REQUEST_TIMEOUT);
            return Err(denied(refusal));
        }
    };
    let mut hasher = DefaultHasher::new();
    incoming.attempt_id.hash(&mut hasher);
    let Some(service) = route.service_for(hasher.finish()) else {
        let refusal = Refusal::not_run(Reason::NoTarget, Duration::from_secs(1));
        return Err(denied(refusal));
    };
    let service = service.to_owned();
    let longest_wait = shared.admission().longest_wait(
        &route.name,
        route.latency_aim,
        incoming.deadline,
        limit.saturating_duration_since(Instant::now()),
    );
    let route = settings
        .routes
        .iter()
        .position(|r| std::ptr::eq(r, route))
        .unwrap_or_default();
    shared.budget().request(&service, shared.now());
    let uri: http::Uri = request
        .uri()
        .path_and_query()
        .and_then(|p| p.as_str().parse().ok())
        .unwrap_or_default();
    Ok(Job {
        fingerprint: fingerprint(&uri, tenant.as_deref(), &body),
        headers: forwarded_headers::<E>(request),
        method: request
            .method()
            .as_str()
            .parse()
            .unwrap_or(http::Method::GET),
        settings,
        route,
        incoming,
        tenant,
        service,
        uri,
        host,
        body,
        io: request.io().cloned(),
        longest_wait,
        arrived,
        limit,
        counted: Cell::new(false),
        at_target: RefCell::default(),
    })
}

fn tenant(
    settings: &GatewaySettings,
    route: &HostRoute,
    key: Option<&str>,
) -> Result<Option<String>, Refusal> {
    if !settings.has_tenants() {
        return Ok(None);
    }
    let tenant = key.and_then(|key| settings.tenant_of(key));
    let name = tenant
        .and_then(|index| settings.tenant(index))
        .map(|tenant| tenant.name.clone());
    if name.is_none() && !route.is_public {
        return Err(Refusal::status(
            Reason::UnknownKey,
            StatusCode::UNAUTHORIZED,
        ));
    }
    Ok(name)
}

async fn read_body(mut payload: Payload, limit: usize) -> Result<Bytes, Refusal> {
    let mut body = BytesMut::new();
    while let Some(chunk) = payload.recv().await {
        let chunk =
            chunk.map_err(|_| Refusal::status(Reason::SlowBody, StatusCode::BAD_REQUEST))?;
        if body.len() + chunk.len() > limit {
            let status = StatusCode::PAYLOAD_TOO_LARGE;
            return Err(Refusal::status(Reason::BodyTooLarge, status));
        }
        body.extend_from_slice(&chunk);
    }
    Ok(body.freeze())
}

fn fingerprint(uri: &http::Uri, tenant: Option<&str>, body: &[u8]) -> Fingerprint {
    let mut text = Vec::with_capacity(body.len() + 64);
    text.extend_from_slice(uri.path().as_bytes());
    text.push(0);
    text.extend_from_slice(tenant.unwrap_or_default().as_bytes());
    text.push(0);
    text.extend_from_slice(body);
    Fingerprint::new(RouteId(0), &text)
}

fn forwarded_headers<E: Edges>(request: &HttpRequest) -> http::HeaderMap {
    let listed = request.headers().get("connection");
    let listed = listed.and_then(|v| v.to_str().ok()).unwrap_or_default();
    let listed: SmallVec<[String; 4]> = listed
        .split(',')
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    let mut headers = http::HeaderMap::with_capacity(16);
    for (name, value) in request.headers().iter() {
        let name = name.as_str();
        if HOP_HEADERS.contains(&name)
            || E::Wire::is_reserved(name)
            || listed.iter().any(|l| l == name)
        {
            continue;
        }
        let name = http::HeaderName::from_bytes(name.as_bytes());
        let value = http::HeaderValue::from_bytes(value.as_bytes());
        // Both were parsed by the server, so neither fails.
        if let (Ok(name), Ok(value)) = (name, value) {
            headers.append(name, value);
        }
    }
    headers
}

impl Job {
    pub(crate) fn route(&self) -> &HostRoute {
        &self.settings.routes[self.route]
    }

    pub(crate) fn repeatability(&self) -> Repeatability {
        let route = self.route();
        match route.kind {
            RequestKind::Idempotent => Repeatability::Idempotent,
            RequestKind::Stream if route.resumable => Repeatability::Resumable,
            RequestKind::Stream | RequestKind::Once => Repeatability::Once,
        }
    }

    fn place_request<'a>(
        &'a self,
        parts: &'a [PromptPart],
        excluded: &'a [TargetKey],
    ) -> PlaceRequest<'a> {
        PlaceRequest {
            service: &self.service,
            stage: self.stage(),
            parts,
            excluded,
            longest_wait: self.longest_wait,
        }
    }

    fn stage(&self) -> Option<Stage> {
        let service = self.settings.services.get(&self.service)?;
        service.engine.map(|_| Stage::Decode)
    }

    fn request<E: Edges>(&self, placed: &Placed, work: Work<'_>) -> Request<Full<Bytes>> {
        let outgoing = Outgoing {
            time_left: self.limit.saturating_duration_since(Instant::now()),
            target_id: &placed.target.id,
            tenant: self.tenant.as_deref(),
            priority: None,
            work,
        };
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        let headers = request.headers_mut();
        headers.extend(self.headers.clone());
        if let Ok(host) = http::HeaderValue::from_str(&self.host) {
            headers.insert(header::HOST, host);
        }
        for (name, value) in E::Wire::outgoing(&outgoing) {
            if let Ok(value) = http::HeaderValue::from_str(&value) {
                headers.insert(http::HeaderName::from_static(name), value);
            }
        }
        request
    }

    /// Closes the caller's connection, so that a stream that broke off does not look whole.
    pub(crate) fn close_connection(&self) {
        if let Some(io) = &self.io {
            io.close();
        }
    }

    /// Counts the request for usage, once.
    pub(crate) fn began(&self, shared: &Shared) {
        if self.counted.replace(true) {
            return;
        }
        if let Some(tenant) = &self.tenant {
            let now = shared.now();
            let mut usage = shared.usage();
            let true_time = usage.true_time.now(now);
            usage.windows.count(tenant, true_time);
        }
    }
}

async fn run<E: Edges>(context: &Context<E>, job: Rc<Job>) -> HttpResponse {
    let shared = &context.shared;
    let mut left = LeftGuard {
        shared: shared.clone(),
        job: job.clone(),
        is_done: false,
    };
    let response = match timeout_at(job.limit, answer(context, &job)).await {
        Ok(response) => response,
        Err(_) => {
            // An attempt may be at a target, so nothing can be promised.
            let target = job.at_target.take();
            tell_attempt(
                shared,
                &job,
                &target,
                AttemptEnd::Broken,
                "no answer in time",
            );
            let refusal = Refusal::from_final(FinalAnswer::TimedOut);
            tell_end(
                shared,
                &job.incoming.attempt_id,
                &job.route().name,
                &refusal,
                job.arrived.elapsed(),
            );
            refusal.response()
        }
    };
    left.is_done = true;
    response
}

/// Tells that a caller left before its answer, when it is dropped too early.
struct LeftGuard {
    shared: Arc<Shared>,
    job: Rc<Job>,
    is_done: bool,
}

impl Drop for LeftGuard {
    fn drop(&mut self) {
        if !self.is_done {
            let (id, age) = (&self.job.incoming.attempt_id, self.job.arrived.elapsed());
            let kind = self.job.route().kind.into();
            self.shared.metrics.ended(kind, "caller_left", age);
            self.shared.journal.write(
                LineKind::CallerLeft,
                self.shared.now(),
                format_args!("request={id} after_ms={}", age.as_millis()),
            );
        }
    }
}

async fn answer<E: Edges>(context: &Context<E>, job: &Rc<Job>) -> HttpResponse {
    let shared = &context.shared;
    let mut progress = RequestProgress::new(job.repeatability(), job.route().max_attempts);
    let mut excluded: SmallVec<[TargetKey; 4]> = SmallVec::new();
    let mut kept: Option<WholeAnswer> = None;
    let mut prompt = Prompt::NotComputed;
    let refuse = |refusal: Refusal| {
        let id = &job.incoming.attempt_id;
        let age = job.arrived.elapsed();
        tell_end(shared, id, &job.route().name, &refusal, age);
        refusal.response()
    };
    if let Verdict::Refuse { retry_after } =
        shared.quarantine().verdict(job.fingerprint, shared.now())
    {
        return refuse(Refusal::not_run(Reason::CrashesTargets, retry_after));
    }
    loop {
        let planned = match plan(context, job, &excluded, &prompt) {
            Ok(planned) => planned,
            Err(refused) => {
                if let Some(answer) = kept {
                    return pass_on(context, job, answer);
                }
                if !progress.has_not_run() {
                    return refuse(Refusal::from_final(FinalAnswer::Failed));
                }
                return refuse(refused);
            }
        };
        let (in_flight, work) = match planned {
            Planned::Compute(in_flight) => {
                let key = in_flight.placed.key;
                match prompt::compute(context, job, in_flight).await {
                    Ok(computed) => prompt = computed,
                    Err(end) => {
                        prompt = Prompt::Gone;
                        excluded.push(key);
                        let step = progress.prompt_failed(end);
                        if !may_try_again(shared, job, step) {
                            return refuse(Refusal::from_final(progress.give_up(end)));
                        }
                    }
                }
                continue;
            }
            Planned::Run(in_flight) => (in_flight, prompt.work()),
        };
        let key = in_flight.placed.key;
        let target = in_flight.placed.target.id.clone();
        let ended = attempt(context, job, in_flight, work).await;
        prompt.used();
        let (end, reason) = match ended {
            Attempted::Whole(answer) if !is_worth_repeating(&answer, job) => {
                return pass_on(context, job, answer);
            }
            Attempted::Whole(answer) => {
                kept = Some(answer);
                (AttemptEnd::Broken, "server error".to_owned())
            }
            Attempted::Events(events) => return stream::respond(context, job.clone(), *events),
            Attempted::Ended(end, reason) => (end, reason),
        };
        tell_attempt(shared, job, &target, end, &reason);
        excluded.push(key);
        let step = progress.ended(end);
        if may_try_again(shared, job, step) {
            continue;
        }
        if let Some(answer) = kept {
            return pass_on(context, job, answer);
        }
        let last = match step {
            NextStep::Answer(answer) => answer,
            NextStep::TryAgain { .. } => progress.give_up(end),
        };
        return refuse(Refusal::from_final(last));
    }
}

/// Whether another target may be tried, which takes from the budget if a target got the request.
pub(crate) fn may_try_again(shared: &Shared, job: &Job, step: NextStep) -> bool {
    match step {
        NextStep::TryAgain { spends: true } => {
            let vms = shared.vms();
            shared.budget().take(&job.service, vms, shared.now())
        }
        NextStep::TryAgain { spends: false } => true,
        NextStep::Answer(_) => false,
    }
}

/// A server error of an idempotent request may be a success elsewhere.
fn is_worth_repeating(answer: &WholeAnswer, job: &Job) -> bool {
    answer.parts.status.is_server_error() && job.repeatability() == Repeatability::Idempotent
}

/// What an attempt begins with.
enum Planned {
    /// The prompt is computed at an engine of its own.
    Compute(InFlight),
    /// The target runs the request, with the computed prompt if there is one.
    Run(InFlight),
}

fn plan<E: Edges>(
    context: &Context<E>,
    job: &Job,
    excluded: &[TargetKey],
    prompt: &Prompt,
) -> Result<Planned, Refusal> {
    let is_engine = job.stage().is_some();
    if !is_engine || !prompt.may_be_computed() {
        let parts = match prompt {
            Prompt::Computed(_) => &[],
            _ => &job.incoming.prompt_parts[..],
        };
        return place(context, job, parts, excluded).map(Planned::Run);
    }
    let shared = &context.shared;
    let request = job.place_request(&job.incoming.prompt_parts, excluded);
    let mut fleet = shared.fleet();
    let fleet = &mut *fleet;
    let path = fleet
        .placer
        .place_engine(&fleet.catalog, &request, shared.now())
        .map_err(refused_place)?;
    let in_flight = |placed| InFlight {
        shared: shared.clone(),
        placed,
    };
    Ok(match path {
        EnginePath::Direct(placed) => {
            shared.metrics.placed("direct");
            Planned::Run(in_flight(placed))
        }
        EnginePath::Split(placed) => {
            shared.metrics.placed("split");
            Planned::Compute(in_flight(placed))
        }
    })
}

/// Chooses a target for the next attempt.
pub(crate) fn place<E: Edges>(
    context: &Context<E>,
    job: &Job,
    parts: &[PromptPart],
    excluded: &[TargetKey],
) -> Result<InFlight, Refusal> {
    let shared = &context.shared;
    let request = job.place_request(parts, excluded);
    let mut fleet = shared.fleet();
    let fleet = &mut *fleet;
    let placed = fleet
        .placer
        .place(&fleet.catalog, &request, shared.now())
        .map_err(refused_place)?;
    Ok(InFlight {
        shared: shared.clone(),
        placed,
    })
}

fn refused_place(refused: RefusedPlace) -> Refusal {
    match refused {
        RefusedPlace::NoTarget => Refusal::not_run(Reason::NoTarget, NO_TARGET_RETRY),
        RefusedPlace::Overloaded { retry_after, wait } => Refusal {
            wait: Some(wait),
            ..Refusal::not_run(Reason::Overloaded, retry_after)
        },
    }
}

async fn attempt<E: Edges>(
    context: &Context<E>,
    job: &Rc<Job>,
    in_flight: InFlight,
    work: Work<'_>,
) -> Attempted {
    let (response, connection) = match send(context, job, &in_flight, work).await {
        Ok(sent) => sent,
        Err((end, reason)) => return Attempted::Ended(end, reason),
    };
    if stream::is_events(&response) {
        return match stream::open(context, job, in_flight, response, connection).await {
            Ok(events) => Attempted::Events(Box::new(events)),
            Err(reason) => Attempted::Ended(AttemptEnd::Broken, reason),
        };
    }
    whole(context, job, &in_flight, response, connection).await
}

/// Sends a request and checks the head of the answer.
pub(crate) async fn send<E: Edges>(
    context: &Context<E>,
    job: &Job,
    in_flight: &InFlight,
    work: Work<'_>,
) -> Result<(Response<hyper::body::Incoming>, TargetConnection), (AttemptEnd, String)> {
    let shared = &context.shared;
    let placed = &in_flight.placed;
    job.at_target.replace(placed.target.id.clone());
    // A prompt may be computed again.
    let runs_once = job.repeatability() != Repeatability::Idempotent && work != Work::Prompt;
    let limit = connection_limit(shared, job);
    let target = &placed.target;
    let connected = context
        .pool
        .connect(placed.key, &target.address, runs_once, limit)
        .await;
    let mut connection = match connected {
        Ok(connection) => connection,
        Err(error) => return Err(send_failed(context, placed, error)),
    };
    let response = match connection.send(job.request::<E>(placed, work)).await {
        Ok(response) => response,
        Err(error) => {
            let (end, reason) = send_failed(context, placed, error);
            if end == AttemptEnd::Broken {
                crashed(context, job, placed);
            }
            return Err((end, reason));
        }
    };
    let head = E::Wire::answer(
        response.status().as_u16(),
        &TargetHeaders(response.headers()),
    );
    check_head(context, job, placed, work, &head, response, connection).await
}

async fn check_head<E: Edges>(
    context: &Context<E>,
    job: &Job,
    placed: &Placed,
    work: Work<'_>,
    head: &AnswerHead,
    response: Response<hyper::body::Incoming>,
    connection: TargetConnection,
) -> Result<(Response<hyper::body::Incoming>, TargetConnection), (AttemptEnd, String)> {
    let shared = &context.shared;
    let now = shared.now();
    let echoed = head.attempt_id.as_deref();
    if head.not_run && echoed.is_none_or(|id| id == job.incoming.attempt_id) {
        shared.fleet().placer.refused(placed, head.load, now);
        let status = response.status();
        if response.into_body().collect().await.is_ok() {
            context.pool.release(placed.key, connection);
        }
        return Err((AttemptEnd::NotRun, format!("refused with {status}")));
    }
    // The answer to a computed prompt is not meant for the caller and may bear no id or signature.
    let is_prompt = work == Work::Prompt;
    let is_mine = echoed == Some(job.incoming.attempt_id.as_str());
    if !is_mine && !(is_prompt && echoed.is_none()) {
        // The answer belongs to another request; its connection cannot be trusted any more.
        shared.fleet().placer.failed(placed, now);
        return Err((AttemptEnd::Broken, "answer of another request".into()));
    }
    let encoded = response.headers().contains_key(header::CONTENT_ENCODING);
    let unsigned_success = response.status().is_success() && !head.is_signed && !is_prompt;
    if encoded || unsigned_success {
        shared.fleet().placer.failed(placed, now);
        return Err((AttemptEnd::Broken, "answer is not the target's own".into()));
    }
    shared.fleet().placer.first_byte(placed, head.load, now);
    Ok((response, connection))
}

fn send_failed<E: Edges>(
    context: &Context<E>,
    placed: &Placed,
    error: SendError,
) -> (AttemptEnd, String) {
    let shared = &context.shared;
    let now = shared.now();
    match error {
        SendError::NotSent(reason) => {
            shared.fleet().placer.unreachable(placed, now);
            (AttemptEnd::NotSent, reason)
        }
        SendError::NoAnswer(reason) => {
            context.pool.close_idle(placed.key);
            shared.fleet().placer.failed(placed, now);
            (AttemptEnd::Broken, reason)
        }
    }
}

/// Share of this vm in the connections that a target accepts.
fn connection_limit(shared: &Shared, job: &Job) -> usize {
    let service = job.settings.services.get(&job.service);
    let all = service.map_or(0, |s| s.max_connections);
    if all == 0 {
        return usize::MAX;
    }
    let vms = shared.vms() * shared.config.workers;
    let share = f64::from(all) * CONNECTION_SHARE / vms.max(1) as f64;
    (share as usize).max(2)
}

/// A connection broke under the request; if the target crashed, the request may be the cause.
pub(crate) fn crashed<E: Edges>(context: &Context<E>, job: &Job, placed: &Placed) {
    let mut hasher = DefaultHasher::new();
    (&placed.target.id, placed.target.born_ms).hash(&mut hasher);
    let event = QuarantineEvent::Crashed {
        fingerprint: job.fingerprint,
        target: TargetId(hasher.finish()),
    };
    feed_quarantine(context, event);
}

/// The request gave a whole answer.
pub(crate) fn is_sound<E: Edges>(context: &Context<E>, job: &Job) {
    let fingerprint = job.fingerprint;
    let known = {
        let quarantine = context.shared.quarantine();
        quarantine.verdict(fingerprint, context.shared.now()) != Verdict::Clear
    };
    if known {
        feed_quarantine(context, QuarantineEvent::Whole { fingerprint });
    }
}

fn feed_quarantine<E: Edges>(context: &Context<E>, event: QuarantineEvent) {
    let mut commands = Vec::new();
    let now = context.shared.now();
    context.shared.quarantine().step(event, now, &mut commands);
    for QuarantineCommand::Tell(message) in commands {
        peers::tell_all(context, &Message::Quarantine(message));
    }
}

async fn whole<E: Edges>(
    context: &Context<E>,
    job: &Rc<Job>,
    in_flight: &InFlight,
    response: Response<hyper::body::Incoming>,
    connection: TargetConnection,
) -> Attempted {
    let shared = &context.shared;
    job.began(shared);
    let placed = &in_flight.placed;
    let (parts, body) = response.into_parts();
    let body = match http_body_util::Limited::new(body, MAX_ANSWER_BYTES)
        .collect()
        .await
    {
        Ok(body) => body.to_bytes(),
        Err(error) => {
            shared.fleet().placer.failed(placed, shared.now());
            context.pool.close_idle(placed.key);
            return Attempted::Ended(AttemptEnd::Broken, format!("answer broke off: {error}"));
        }
    };
    context.pool.release(placed.key, connection);
    // These statuses promise that the request has not run, which only the target's own statement
    // can prove.
    if matches!(parts.status.as_u16(), 408 | 421 | 429 | 503) {
        let reason = format!("status {} without a statement", parts.status);
        return Attempted::Ended(AttemptEnd::Broken, reason);
    }
    is_sound(context, job);
    Attempted::Whole(WholeAnswer { parts, body })
}

fn pass_on<E: Edges>(context: &Context<E>, job: &Job, answer: WholeAnswer) -> HttpResponse {
    tell_answer(&context.shared, job, answer.parts.status.as_u16());
    let mut builder = head(&answer.parts);
    builder.body(NtexBytes::copy_from_slice(&answer.body))
}

/// Head of an answer with the target's status and headers.
pub(crate) fn head(parts: &http::response::Parts) -> ntex::web::HttpResponseBuilder {
    let status = StatusCode::from_u16(parts.status.as_u16()).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut builder = HttpResponse::build(status);
    for (name, value) in &parts.headers {
        if HOP_HEADERS.contains(&name.as_str()) {
            continue;
        }
        let name = ntex::http::header::HeaderName::from_bytes(name.as_str().as_bytes());
        let value = ntex::http::header::HeaderValue::from_bytes(value.as_bytes());
        if let (Ok(name), Ok(value)) = (name, value) {
            builder.header(name, value);
        }
    }
    builder
}

pub(crate) fn tell_answer(shared: &Shared, job: &Job, status: u16) {
    let kind = job.route().kind.into();
    let class = if status < 500 {
        "answered"
    } else {
        "server_error"
    };
    shared.metrics.ended(kind, class, job.arrived.elapsed());
    shared.journal.write(
        LineKind::Answered,
        shared.now(),
        format_args!(
            "request={} route={} version={} status={status} after_ms={}",
            job.incoming.attempt_id,
            job.route().name,
            job.settings.version,
            job.arrived.elapsed().as_millis()
        ),
    );
}

pub(crate) fn tell_end(shared: &Shared, id: &str, route: &str, refusal: &Refusal, age: Duration) {
    shared.metrics.ended("any", refusal.reason.into(), age);
    shared.journal.write(
        LineKind::Ended,
        shared.now(),
        format_args!(
            "request={id} route={route} reason={} status={} retry_after_ms={} wait_ms={} after_ms={}",
            refusal.reason,
            refusal.status.as_u16(),
            refusal.retry_after.map_or(0, |t| t.as_millis()),
            refusal.wait.map_or(0, |t| t.as_millis()),
            age.as_millis()
        ),
    );
}

pub(crate) fn tell_attempt(
    shared: &Shared,
    job: &Job,
    target: &str,
    end: AttemptEnd,
    reason: &str,
) {
    shared.metrics.attempt_failed(end.into());
    shared.journal.write(
        LineKind::Attempt,
        shared.now(),
        format_args!(
            "request={} target={target} end={end:?} cause={reason:?} after_ms={}",
            job.incoming.attempt_id,
            job.arrived.elapsed().as_millis()
        ),
    );
}
