//! An accepted request: its route, its tenant, and the request that is sent to a target.

use std::cell::{Cell, OnceCell, RefCell};
use std::fmt;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, header};
use http_body_util::Full;
use jujubebeam_core::VmId;
use jujubebeam_core::gateway::{
    AdmissionClass, EngineLimits, GatewaySettings, HostRoute, IdentifyingFields, Placement,
    PlacementRequest, PromptPart, Repeatability, RequestIdentity, RequestKind, RequiredVersion,
    Stage, TargetKey, WorkspaceQuota, caller_idle_timeout,
};
use ntex::http::StatusCode;
use ntex::io::{IoRef, OnDisconnect};
use ntex::web::HttpRequest;
use ntex::web::types::Payload;
use smallvec::SmallVec;
use tokio::time::{Instant, timeout_at};

use crate::adapters::{Adapters, Incoming, Outgoing, Wire, Work};
use crate::answer::{CallerHeaders, Reason, Refusal};
use crate::caller_memory::{HeldRequest, receive_body};
use crate::pass_on::{self, ADMISSION_HEADER, PASSED_ON_HEADER, TakenGuard};
use crate::server::Context;
use crate::state::Shared;
use crate::taken_up;

/// Timeout of a request for which neither the caller nor the route sets one.
pub(crate) const DEFAULT_TIMEOUT: Duration = Duration::from_secs(30);

/// Headers that apply to a single connection, or that the gateway sets itself.
pub(crate) const HOP_HEADERS: [&str; 11] = [
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

/// An accepted request.
pub(crate) struct Job {
    pub(crate) settings: Arc<GatewaySettings>,
    route: usize,
    pub(crate) incoming: Incoming,
    tenant: Option<String>,
    /// Service that the route chose for the request.
    chosen_service: String,
    /// Service at which the stream began that the caller takes up.
    origin_service: OnceCell<String>,
    method: http::Method,
    uri: http::Uri,
    host: String,
    headers: http::HeaderMap,
    body: Bytes,
    /// What crashes of targets count against.
    pub(crate) identity: RequestIdentity,
    /// Whether the request tests if a refused part still crashes targets.
    pub(crate) is_trial: Cell<bool>,
    /// Whether the caller knows bodies in chunks, which HTTP/1.0 does not have.
    pub(crate) allows_chunks: bool,
    /// The caller's connection.
    io: Option<IoRef>,
    pub(crate) arrived_at: Instant,
    pub(crate) admission_class: AdmissionClass,
    /// Longest predicted wait at a target at which the request is still sent.
    pub(crate) longest_wait: Duration,
    /// When the request times out.
    pub(crate) expires_at: Instant,
    /// When the answer of a target started to arrive.
    response_began_at: Cell<Option<Instant>>,
    /// Versions at which the stream may begin, if not at all that exist.
    first_versions: Option<Vec<String>>,
    /// Software version that began the stream, once it has begun. `None` if it is unknown.
    stream_version: OnceCell<Option<String>>,
    /// Id of the target to which the request was last sent, for the log.
    pub(crate) current_target: RefCell<String>,
    /// Set if another vm has passed the request on.
    taken: Option<TakenGuard>,
    /// Memory of the request.
    _held: HeldRequest,
}

/// A header of the gateway whose value cannot be sent. Without it, the request could be run by
/// another target or for another tenant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct UnsendableHeader(&'static str);

impl fmt::Display for UnsendableHeader {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let name = self.0;
        write!(
            f,
            "value of {name} cannot be sent; remove its control characters"
        )
    }
}

pub(crate) type AcceptError = (String, Refusal);

pub(crate) async fn accept<A: Adapters>(
    context: &Context<A>,
    request: &HttpRequest,
    payload: Payload,
) -> Result<Job, AcceptError> {
    let arrived_at = Instant::now();
    let shared = &context.shared;
    let incoming = A::Wire::incoming(&CallerHeaders(request.headers()));
    let rejected = |refusal| (incoming.attempt_id.clone(), refusal);
    let Some(settings) = shared.settings().filter(|_| shared.has_started()) else {
        return Err(rejected(Refusal::starting()));
    };
    if shared.has_stopped_accepting() {
        return Err(rejected(Refusal::leaving()));
    }
    let host = request.headers().get("host").and_then(|h| h.to_str().ok());
    let host = host.unwrap_or_default().to_owned();
    let Some(route) = settings.route(&host, request.uri().path()) else {
        let refusal = Refusal::status(Reason::UnknownRoute, StatusCode::NOT_FOUND);
        return Err(rejected(refusal));
    };
    let tenant = match tenant(&settings, route, incoming.key.as_deref()) {
        Ok(tenant) => tenant,
        Err(refusal) => return Err(rejected(refusal)),
    };
    let taken = pass_on::take(shared, request).map_err(rejected)?;
    let time = incoming.deadline.unwrap_or(DEFAULT_TIMEOUT);
    let time = match route.timeout {
        Duration::ZERO => time,
        timeout => time.min(timeout),
    };
    let expires_at = arrived_at + time;
    let receiving = receive_body(request, payload, settings.max_body_bytes);
    let (body, held) = match timeout_at(expires_at, receiving).await {
        Ok(Ok(received)) => received,
        Ok(Err(error)) => return Err(rejected(Refusal::of_body(error))),
        Err(_) => {
            let refusal = Refusal::status(Reason::SlowBody, StatusCode::REQUEST_TIMEOUT);
            return Err(rejected(refusal));
        }
    };
    // The body may have taken a while.
    if shared.is_leaving_before(expires_at) {
        return Err(rejected(Refusal::leaving()));
    }
    // A stream that is taken up goes on at the service at which it began.
    let origin = incoming.taken_up.as_ref().and_then(|s| s.origin.as_ref());
    let mut hasher = DefaultHasher::new();
    origin.unwrap_or(&incoming.attempt_id).hash(&mut hasher);
    let Some(service) = route.service_for(hasher.finish()) else {
        let refusal = Refusal::not_run(Reason::NoTarget, Duration::from_secs(1));
        return Err(rejected(refusal));
    };
    let service = service.to_owned();
    let first_versions = match route.kind {
        RequestKind::Stream => first_versions(shared, &service),
        RequestKind::Idempotent | RequestKind::Once => None,
    };
    let is_continuation = route.resumable && taken_up::is_taken_up(route, &incoming);
    let class_at_sender = taken
        .as_ref()
        .and_then(|_| pass_on::admission_class(request));
    let admission_class = match class_at_sender {
        _ if is_continuation => continuation_class(shared, route),
        Some(class) => class,
        None => shared.admission().classify(&route.name, incoming.deadline),
    };
    let time_left = expires_at.saturating_duration_since(Instant::now());
    let longest_wait = admission_class.longest_wait(route.latency_aim, time_left);
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
        identity: identity(request, &incoming, tenant.as_deref(), &body),
        is_trial: Cell::new(false),
        headers: forwarded_headers::<A>(request),
        method: request
            .method()
            .as_str()
            .parse()
            .unwrap_or(http::Method::GET),
        settings,
        route,
        incoming,
        tenant,
        chosen_service: service,
        origin_service: OnceCell::new(),
        uri,
        host,
        body,
        allows_chunks: request.version() >= ntex::http::Version::HTTP_11,
        io: request.io().cloned(),
        first_versions,
        admission_class,
        longest_wait,
        arrived_at,
        expires_at,
        response_began_at: Cell::default(),
        stream_version: OnceCell::new(),
        current_target: RefCell::default(),
        taken,
        _held: held,
    })
}

/// Versions at which a stream may begin, unless it may at all or no target has one of them: an answer
/// that cannot be taken up is better than none.
fn first_versions(shared: &Shared, service: &str) -> Option<Vec<String>> {
    let allowed = shared.streams().versions.restricted(service)?;
    let (fleet, now) = (shared.fleet(), shared.now());
    let mut usable = fleet.catalog.usable(now);
    let is_served = usable.any(|(_, target)| {
        target.service == service
            && target.stage != Some(Stage::Prefill)
            && RequiredVersion::OneOf(&allowed).allows(target.version.as_deref())
    });
    is_served.then_some(allowed)
}

/// Class of the remainder of a stream.
fn continuation_class(shared: &Shared, route: &HostRoute) -> AdmissionClass {
    AdmissionClass::Continuation {
        idle_timeout: caller_idle_timeout(route, shared.config.pause_limits()),
    }
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

fn identity(
    request: &HttpRequest,
    incoming: &Incoming,
    tenant: Option<&str>,
    body: &[u8],
) -> RequestIdentity {
    RequestIdentity::new(&IdentifyingFields {
        method: request.method().as_str(),
        path: request.uri().path(),
        query: request.uri().query(),
        tenant,
        model: incoming.model.as_deref(),
        prompt_parts: &incoming.prompt_parts,
        body,
    })
}

fn forwarded_headers<A: Adapters>(request: &HttpRequest) -> http::HeaderMap {
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
            || name == PASSED_ON_HEADER
            || name == ADMISSION_HEADER
            || A::Wire::is_reserved(name)
            || listed.iter().any(|l| l == name)
        {
            continue;
        }
        let name = http::HeaderName::from_bytes(name.as_bytes());
        let value = http::HeaderValue::from_bytes(value.as_bytes());
        // The server has parsed both already, so neither conversion fails.
        if let (Ok(name), Ok(value)) = (name, value) {
            headers.append(name, value);
        }
    }
    headers
}

/// Limits of a service's engines; all zero for a plain service.
pub(crate) fn engine_limits(settings: &GatewaySettings, service: &str) -> EngineLimits {
    let service = settings.services.get(service);
    service.and_then(|s| s.engine).unwrap_or_default()
}

impl Job {
    pub(crate) fn route(&self) -> &HostRoute {
        &self.settings.routes[self.route]
    }

    /// The route of the request by other settings.
    pub(crate) fn route_in<'a>(&self, settings: &'a GatewaySettings) -> Option<&'a HostRoute> {
        settings.route(&self.host, self.uri.path())
    }

    /// Service that runs the request.
    pub(crate) fn service(&self) -> &str {
        self.origin_service.get().unwrap_or(&self.chosen_service)
    }

    /// Lets the service at which a stream began run the remainder. Only the first call has an effect.
    pub(crate) fn continue_at_service(&self, service: &str) {
        self.origin_service.get_or_init(|| service.to_owned());
    }

    /// Rank of the request, 0 is the highest. That of the tenant overrides that of the route.
    pub(crate) fn rank(&self) -> u32 {
        let tenants = &self.settings.tenants;
        let tenant = tenants
            .iter()
            .find(|t| Some(&t.name) == self.tenant.as_ref());
        let rank = tenant.and_then(|tenant| tenant.priority);
        rank.unwrap_or(self.route().priority)
    }

    /// Name and quota of the workspace, if it has a quota.
    pub(crate) fn quota(&self) -> Option<(&str, WorkspaceQuota)> {
        let workspace = self.tenant.as_deref()?;
        Some((workspace, self.settings.quota_of(workspace)?))
    }

    pub(crate) fn repeatability(&self) -> Repeatability {
        let route = self.route();
        match route.kind {
            RequestKind::Idempotent => Repeatability::Idempotent,
            RequestKind::Stream if route.resumable => Repeatability::Resumable,
            RequestKind::Stream | RequestKind::Once => Repeatability::Once,
        }
    }

    pub(crate) fn placement_request<'a>(
        &'a self,
        zone: &'a str,
        parts: &'a [PromptPart],
        excluded: &'a [TargetKey],
    ) -> PlacementRequest<'a> {
        PlacementRequest {
            service: self.service(),
            stage: self.stage(),
            parts,
            excluded,
            longest_wait: self.longest_wait,
            time_left: self.time_left(),
            zone,
            engine: self.engine(),
            hand_over: None,
            version: self.required_version(),
        }
    }

    /// Whether the caller has the first part of a stream from an earlier attempt.
    pub(crate) fn is_continuation(&self) -> bool {
        matches!(self.admission_class, AdmissionClass::Continuation { .. })
    }

    /// Longest predicted wait at which the remainder of a stream is sent whose first part was forwarded.
    pub(crate) fn longest_continuation_wait(&self, shared: &Shared) -> Duration {
        let route = self.route();
        continuation_class(shared, route).longest_wait(route.latency_aim, self.time_left())
    }

    /// Records the software version that began the stream. Only the first call has an effect.
    pub(crate) fn record_stream_version(&self, version: Option<&str>) {
        self.stream_version
            .get_or_init(|| version.map(str::to_owned));
    }

    /// Software version of the targets that may run the request.
    pub(crate) fn required_version(&self) -> RequiredVersion<'_> {
        match self.stream_version.get() {
            Some(version) => RequiredVersion::Of(version.as_deref()),
            None => match &self.first_versions {
                Some(versions) => RequiredVersion::OneOf(versions),
                None => RequiredVersion::Any,
            },
        }
    }

    pub(crate) fn time_left(&self) -> Duration {
        self.expires_at.saturating_duration_since(Instant::now())
    }

    /// Limits of the service's engines; all zero for a plain service.
    pub(crate) fn engine(&self) -> EngineLimits {
        engine_limits(&self.settings, self.service())
    }

    pub(crate) fn stage(&self) -> Option<Stage> {
        let service = self.settings.services.get(self.service())?;
        service.engine.map(|_| Stage::Decode)
    }

    pub(crate) fn request<A: Adapters>(
        &self,
        placement: &Placement,
        work: Work<'_>,
        backup: Option<&str>,
    ) -> Result<Request<Full<Bytes>>, UnsendableHeader> {
        let outgoing = Outgoing {
            time_left: self.expires_at.saturating_duration_since(Instant::now()),
            target_id: &placement.target.id,
            tenant: self.tenant.as_deref(),
            priority: None,
            work,
            backup,
        };
        let mut request = self.end_to_end_request();
        let headers = request.headers_mut();
        for (name, value) in A::Wire::outgoing(&outgoing) {
            let value = http::HeaderValue::from_str(&value).map_err(|_| UnsendableHeader(name))?;
            headers.insert(http::HeaderName::from_static(name), value);
        }
        Ok(request)
    }

    /// Whether another vm has passed the request on.
    pub(crate) fn is_taken(&self) -> bool {
        self.taken.is_some()
    }

    /// The request as it is passed on to another vm.
    pub(crate) fn request_to_vm<A: Adapters>(
        &self,
        from: VmId,
    ) -> Result<Request<Full<Bytes>>, UnsendableHeader> {
        let mut request = self.end_to_end_request();
        let headers = request.headers_mut();
        headers.insert(PASSED_ON_HEADER, http::HeaderValue::from(from.0));
        let class = <&str>::from(self.admission_class);
        headers.insert(ADMISSION_HEADER, http::HeaderValue::from_static(class));
        for (name, value) in A::Wire::to_vm(&self.incoming, self.time_left()) {
            let value = http::HeaderValue::from_str(&value).map_err(|_| UnsendableHeader(name))?;
            headers.insert(http::HeaderName::from_static(name), value);
        }
        Ok(request)
    }

    /// What of the caller's request is sent to targets and to other vms alike.
    fn end_to_end_request(&self) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        let headers = request.headers_mut();
        headers.extend(self.headers.clone());
        if let Ok(host) = http::HeaderValue::from_str(&self.host) {
            headers.insert(header::HOST, host);
        }
        request
    }

    /// Closes the caller's connection, so that an interrupted stream does not look complete.
    pub(crate) fn close_connection(&self) {
        if let Some(io) = &self.io {
            io.close();
        }
    }

    /// The caller's connection.
    pub(crate) fn connection(&self) -> Option<IoRef> {
        self.io.clone()
    }

    /// Completes when the caller's connection has ended.
    pub(crate) fn on_disconnect(&self) -> Option<OnDisconnect> {
        self.io.as_ref().map(IoRef::on_disconnect)
    }

    /// Time from the arrival of the request to the start of the answer.
    pub(crate) fn time_to_response(&self) -> Option<Duration> {
        let response_began_at = self.response_began_at.get()?;
        Some(response_began_at.saturating_duration_since(self.arrived_at))
    }

    /// Records that the answer has started, and counts the request for usage. Only the first call
    /// has an effect.
    pub(crate) fn record_response_start(&self, shared: &Shared) {
        if self.response_began_at.get().is_some() {
            return;
        }
        self.response_began_at.set(Some(Instant::now()));
        if let Some(tenant) = &self.tenant {
            let now = shared.now();
            let mut usage = shared.usage();
            let true_time = usage.true_time.now(now);
            usage.windows.count(tenant, true_time);
        }
    }
}
