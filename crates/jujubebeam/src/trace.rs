//! Trace spans: one for each hop, with W3C context in and out.
//!
//! Spans are off unless `trace.otlp_endpoint` is set; then a span costs no more than a check.

use ntex::http::HeaderMap;
use ntex::http::header::{HeaderName, HeaderValue};
use opentelemetry::propagation::{Extractor, Injector, TextMapPropagator};
use opentelemetry::trace::TracerProvider;
use opentelemetry_otlp::{SpanExporter, WithExportConfig};
use opentelemetry_sdk::propagation::TraceContextPropagator;
use opentelemetry_sdk::trace::SdkTracerProvider;
use tracing::Span;
use tracing_opentelemetry::OpenTelemetrySpanExt;
use tracing_subscriber::Layer;
use tracing_subscriber::filter::filter_fn;
use tracing_subscriber::layer::SubscriberExt;

use jujubebeam_caller::headers;
use jujubebeam_core::RequestId;

use crate::caller::id_text;
use crate::process_config::TraceConfig;

/// Keeps the exporter alive. Dropping it sends what is left.
#[derive(Debug)]
pub(crate) struct TraceGuard {
    provider: SdkTracerProvider,
}

impl Drop for TraceGuard {
    fn drop(&mut self) {
        if let Err(e) = self.provider.shutdown() {
            log::warn!("vm: trace spans were not sent: {e}");
        }
    }
}

/// Starts the export of spans if it is configured.
pub(crate) fn start(config: &TraceConfig) -> Result<Option<TraceGuard>, String> {
    let Some(endpoint) = &config.otlp_endpoint else {
        return Ok(None);
    };
    let exporter = SpanExporter::builder()
        .with_http()
        .with_endpoint(endpoint)
        .build()
        .map_err(|e| format!("trace.otlp_endpoint {endpoint:?}: {e}"))?;
    let provider = SdkTracerProvider::builder()
        .with_batch_exporter(exporter)
        .build();
    let tracer = provider.tracer("jujubebeam");
    // Spans of the libraries that send the spans would be sent too, without end.
    let own = filter_fn(|metadata| metadata.target().starts_with("jujubebeam"));
    let layer = tracing_opentelemetry::layer().with_tracer(tracer);
    let subscriber = tracing_subscriber::registry().with(layer.with_filter(own));
    tracing::subscriber::set_global_default(subscriber).map_err(|e| e.to_string())?;
    Ok(Some(TraceGuard { provider }))
}

/// Span of a request at this vm, below the span of whoever sent it.
pub(crate) fn request_span(request: RequestId, incoming: &HeaderMap) -> Span {
    let span = tracing::info_span!("request", request = tracing::field::Empty);
    if !span.is_disabled() {
        span.record("request", id_text(request));
    }
    set_parent(&span, incoming);
    span
}

/// Makes the caller's trace context the parent of a span.
fn set_parent(span: &Span, incoming: &HeaderMap) {
    if span.is_disabled() {
        return;
    }
    let parent = TraceContextPropagator::new().extract(&Incoming(incoming));
    let _ = span.set_parent(parent);
}

/// Value of the `traceparent` header for the next hop. Without spans the caller's own value is
/// passed on.
pub(crate) fn traceparent(span: &Span, incoming: &HeaderMap) -> Option<String> {
    if span.is_disabled() {
        return incoming
            .get(headers::TRACEPARENT)
            .and_then(|v| v.to_str().ok())
            .map(str::to_owned);
    }
    let mut outgoing = Outgoing(None);
    TraceContextPropagator::new().inject_context(&span.context(), &mut outgoing);
    outgoing.0
}

/// Puts the context of a span into the headers of the next hop.
pub(crate) fn insert_traceparent(span: &Span, outgoing: &mut HeaderMap) {
    if span.is_disabled() {
        return;
    }
    let value = traceparent(span, outgoing).and_then(|v| HeaderValue::from_str(&v).ok());
    if let Some(value) = value {
        outgoing.insert(HeaderName::from_static(headers::TRACEPARENT), value);
    }
}

struct Incoming<'a>(&'a HeaderMap);

impl Extractor for Incoming<'_> {
    fn get(&self, key: &str) -> Option<&str> {
        self.0.get(key)?.to_str().ok()
    }

    fn keys(&self) -> Vec<&str> {
        self.0.keys().map(|name| name.as_str()).collect()
    }
}

struct Outgoing(Option<String>);

impl Injector for Outgoing {
    fn set(&mut self, key: &str, value: String) {
        if key == headers::TRACEPARENT {
            self.0 = Some(value);
        }
    }
}
