//! Event streams: forwards events as they arrive, and resumes a broken or silent stream at another
//! target where the route allows it.

mod hedge;

use std::convert::Infallible;
use std::future::pending;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::future::OptionFuture;
use futures_util::stream::unfold;
use http::{Response, StatusCode, header};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use jujubebeam_core::gateway::{
    AttemptEnd, NextStep, Repeatability, RequestProgress, TargetKey, abandon_timeout,
    resume_timeout,
};
use ntex::util::Bytes as NtexBytes;
use ntex::web::HttpResponse;
use smallvec::SmallVec;
use tokio::time::{Instant, sleep, timeout, timeout_at};

use crate::adapters::{Adapters, Work};
use crate::attempt;
use crate::backup::{self, Backup};
use crate::connection::TargetConnection;
use crate::crashes;
use crate::decision_log::{DecisionKind, decision, millis};
use crate::events::{CompleteEvents, EventError, EventSplitter, StreamPosition};
use crate::forward;
use crate::in_flight::InFlight;
use crate::job::Job;
use crate::request_log::{importance, record_answer, record_failed_attempt, record_taken_up_end};
use crate::server::{Context, RunningGuard};
use crate::taken_up::RecordedStream;
use hedge::Hedged;

const EVENT_STREAM: &str = "text/event-stream";

/// An event stream of which the first events have arrived.
pub(crate) struct EventStream {
    parts: http::response::Parts,
    first: Bytes,
    source: Source,
}

/// The target that sends a stream.
struct Source {
    /// Its connection, until it is closed.
    open: Option<OpenSource>,
    in_flight: InFlight,
    splitter: EventSplitter,
    /// Whether the end of the body is part of the message.
    has_announced_end: bool,
}

/// The connection on which a stream arrives.
struct OpenSource {
    body: Incoming,
    connection: TargetConnection,
}

/// Whether an answer is an event stream.
pub(crate) fn is_event_stream(response: &Response<Incoming>) -> bool {
    let content_type = response.headers().get(header::CONTENT_TYPE);
    response.status().is_success()
        && content_type.is_some_and(|v| v.as_bytes().starts_with(EVENT_STREAM.as_bytes()))
}

/// Whether an answer continues a stream. Other successes have no body or only a part of it.
fn continues_stream(response: &Response<Incoming>) -> bool {
    response.status() == StatusCode::OK && is_event_stream(response)
}

/// Waits for the first complete event.
pub(crate) async fn open<A: Adapters>(
    context: &Context<A>,
    job: &Job,
    in_flight: InFlight,
    response: Response<Incoming>,
    connection: TargetConnection,
) -> Result<EventStream, String> {
    let (parts, body) = response.into_parts();
    let mut source = Source {
        has_announced_end: crashes::has_announced_end(&parts.headers),
        open: Some(OpenSource { body, connection }),
        in_flight,
        splitter: EventSplitter::default(),
    };
    let item = source.next().await;
    if matches!(item, StreamItem::Events(_)) {
        source.in_flight.record_first_event();
    }
    match item {
        StreamItem::Events(first) | StreamItem::Comment(first) => {
            job.record_response_start(&context.shared);
            Ok(EventStream {
                parts,
                first,
                source,
            })
        }
        StreamItem::Stalled => Err("no event came".into()),
        StreamItem::End => {
            source.record_break(context, job);
            Err("stream ended without an event".into())
        }
        StreamItem::Broken(reason) => {
            source.record_break(context, job);
            Err(reason)
        }
        StreamItem::Invalid(error) => {
            source.record_invalid(context);
            Err(error.to_string())
        }
    }
}

/// What was read from a stream.
enum StreamItem {
    /// Complete events.
    Events(Bytes),
    /// Comments, which keep the connection alive and carry no content.
    Comment(Bytes),
    End,
    Broken(String),
    /// The target sent something that must not be forwarded.
    Invalid(EventError),
    /// No event has arrived within the longest pause of the route.
    Stalled,
}

/// Time to read events that are already in the socket buffer when a stream times out. After a vm
/// was suspended, its timers expire before its sockets are read.
const BUFFERED_READ_TIMEOUT: Duration = Duration::from_millis(100);

/// Interval between checks whether a target can continue a stream that has none.
const TARGET_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Interval between checks whether a caller's connection has been closed.
pub(crate) const CLOSE_CHECK_INTERVAL: Duration = Duration::from_millis(10);

impl Source {
    async fn next(&mut self) -> StreamItem {
        loop {
            match self.splitter.take_events() {
                Ok(Some(CompleteEvents { bytes, has_content })) => {
                    self.in_flight.record_contact();
                    return match has_content {
                        true => StreamItem::Events(bytes),
                        false => StreamItem::Comment(bytes),
                    };
                }
                Ok(None) => {}
                Err(error) => return StreamItem::Invalid(error),
            }
            let Some(open) = &mut self.open else {
                return StreamItem::Broken("the connection is closed".into());
            };
            match open.body.frame().await {
                Some(Ok(frame)) => {
                    if let Some(data) = frame.data_ref() {
                        self.splitter.push(data);
                    }
                }
                Some(Err(error)) => return StreamItem::Broken(error.to_string()),
                None => return self.end(),
            }
        }
    }

    /// Closes the connection, so that the target stops its work.
    fn close(&mut self) {
        self.open = None;
    }

    /// What the end of the body means.
    fn end(&self) -> StreamItem {
        match self.splitter.finish() {
            Ok(()) => StreamItem::End,
            Err(error @ EventError::Incomplete) => StreamItem::Broken(error.to_string()),
            Err(error) => StreamItem::Invalid(error),
        }
    }

    /// Returns the next item, or [`StreamItem::Stalled`] if none arrives before `until`.
    async fn next_until(&mut self, until: Instant) -> StreamItem {
        if let Ok(item) = timeout_at(until, self.next()).await {
            return item;
        }
        let item = timeout(BUFFERED_READ_TIMEOUT, self.next()).await;
        item.unwrap_or(StreamItem::Stalled)
    }

    /// Records that the stream broke off, which may mean that the target crashed.
    fn record_break<A: Adapters>(&self, context: &Context<A>, job: &Job) {
        self.record_failure(context);
        crashes::report_crash(context, job, &self.in_flight);
    }

    /// Records that the target sent something that must not be forwarded, so it has not crashed.
    fn record_invalid<A: Adapters>(&self, context: &Context<A>) {
        self.in_flight.settle();
        self.record_failure(context);
    }

    /// Records that the stream broke off, stalled or is invalid.
    fn record_failure<A: Adapters>(&self, context: &Context<A>) {
        self.in_flight.failed();
        context.pool.close_idle(self.in_flight.placement.key);
    }
}

/// Forwards a stream from targets to the caller.
struct StreamRelay<A: Adapters> {
    context: Context<A>,
    job: Rc<Job>,
    /// First events, until they are forwarded.
    first: Option<Bytes>,
    source: Option<Source>,
    progress: RequestProgress,
    /// Targets that refused the request before the stream. They have their part of the route's
    /// attempts already, so the stream may continue at them when these are used up.
    refused: SmallVec<[TargetKey; 4]>,
    excluded: SmallVec<[TargetKey; 4]>,
    position: StreamPosition,
    /// When the last events arrived, and the longest time between two arrivals.
    last_event_at: Instant,
    longest_pause: Duration,
    /// Since when the caller waits for an event of the current target.
    silent_since: Instant,
    /// Time without an event after which another target is asked, if one may continue the stream.
    hedge_after: Option<Duration>,
    /// Target that was asked to continue the stream and has not answered yet.
    asked: Option<String>,
    /// Whether the engine with the backup may have begun to continue the run.
    has_sent_to_backup: bool,
    /// When something was last forwarded to the caller.
    last_sent_at: Instant,
    is_done: bool,
    recorded: RecordedStream,
    /// Makes a shutdown wait for the stream.
    _running: RunningGuard,
}

impl<A: Adapters> Drop for StreamRelay<A> {
    fn drop(&mut self) {
        if !self.is_done {
            let shared = &self.context.shared;
            record_taken_up_end(shared, &self.job, "caller_left");
            decision!(
                shared,
                DecisionKind::CallerLeft,
                importance: importance(&self.job),
                request = self.job.incoming.attempt_id.as_str(),
                target:% = self.job.current_target.borrow(),
                midway = true,
                origin = self.job.stream_origin(),
                silent_ms = millis(self.last_event_at.elapsed()),
                after_ms = millis(self.job.arrived_at.elapsed())
            );
        }
    }
}

/// Attempts of a request before its stream began.
pub(crate) struct EarlierAttempts {
    pub(crate) progress: RequestProgress,
    /// Targets that stated that they did not run the request.
    pub(crate) refused: SmallVec<[TargetKey; 4]>,
}

/// Answers a caller with a stream.
pub(crate) fn respond<A: Adapters>(
    context: &Context<A>,
    job: Rc<Job>,
    events: EventStream,
    earlier: EarlierAttempts,
) -> HttpResponse {
    let mut builder = attempt::head(&events.parts);
    let hedge_after = hedge_after(context, &job, &events.source.in_flight);
    let disconnected = OptionFuture::from(job.on_disconnect());
    let version = &events.source.in_flight.placement.target.version;
    job.record_stream_version(version.as_deref());
    let recorded = RecordedStream::begin(&context.shared, &job, version.as_deref());
    let relay = StreamRelay {
        context: context.clone(),
        first: Some(events.first),
        position: events.source.splitter.position(),
        source: Some(events.source),
        progress: earlier.progress,
        refused: earlier.refused,
        excluded: SmallVec::new(),
        last_event_at: Instant::now(),
        longest_pause: Duration::ZERO,
        silent_since: Instant::now(),
        hedge_after,
        asked: None,
        has_sent_to_backup: false,
        last_sent_at: Instant::now(),
        is_done: false,
        recorded,
        _running: context.track_running(),
        job,
    };
    let state = (relay, disconnected);
    builder.streaming(Box::pin(unfold(
        state,
        |(mut relay, mut left)| async move {
            let item = tokio::select! {
                biased;
                item = relay.next() => item?,
                // ntex drops the stream when its task is polled. It may not wake the task itself,
                // because an event that filled the buffer of the connection has used up the waker.
                Some(()) = &mut left => pending().await,
            };
            Some((item, (relay, left)))
        },
    )))
}

/// Time without an event after which another target is asked to continue a stream, if one may, which
/// includes the engine that keeps a backup of the run.
fn hedge_after<A: Adapters>(
    context: &Context<A>,
    job: &Job,
    in_flight: &InFlight,
) -> Option<Duration> {
    let may_continue =
        in_flight.backup.is_some() || job.repeatability() == Repeatability::Resumable;
    let limits = context.shared.config.pause_limits();
    may_continue.then(|| resume_timeout(job.route(), limits))
}

impl<A: Adapters> StreamRelay<A> {
    async fn next(&mut self) -> Option<Result<NtexBytes, Infallible>> {
        if self.is_done {
            return None;
        }
        // Time during which the caller did not read does not count as a pause of the target.
        self.silent_since += self.last_sent_at.elapsed();
        if let Some(first) = self.first.take() {
            return self.forward(&first);
        }
        loop {
            let limit = self.job.expires_at;
            let abandoned_at = self.silent_since + self.abandon_after();
            let hedged_at = self.hedge_after.map(|after| self.silent_since + after);
            let silent_until = hedged_at.unwrap_or(abandoned_at);
            let Some(source) = &mut self.source else {
                return self.abort("no target continues the stream").await;
            };
            match timeout_at(limit, source.next_until(silent_until)).await {
                Err(_) => return self.abort("the request's time is over").await,
                Ok(StreamItem::Events(events)) => return self.forward_events(&events),
                Ok(StreamItem::Comment(text)) if Instant::now() < silent_until => {
                    return self.forward(&text);
                }
                Ok(StreamItem::End) => {
                    self.finished();
                    return None;
                }
                Ok(StreamItem::Broken(reason)) => {
                    source.record_break(&self.context, &self.job);
                    if let Err(reason) = self.resume(&reason).await {
                        return self.abort(&reason).await;
                    }
                }
                Ok(StreamItem::Invalid(error)) => {
                    source.record_invalid(&self.context);
                    if let Err(reason) = self.resume(&error.to_string()).await {
                        return self.abort(&reason).await;
                    }
                }
                Ok(StreamItem::Comment(_) | StreamItem::Stalled) if hedged_at.is_none() => {
                    source.record_failure(&self.context);
                    let silent = millis(self.last_event_at.elapsed());
                    return self.abort(&format!("no event for {silent} ms")).await;
                }
                Ok(item @ (StreamItem::Comment(_) | StreamItem::Stalled)) => {
                    let comments = match item {
                        StreamItem::Comment(text) => text,
                        _ => Bytes::new(),
                    };
                    match timeout_at(limit, self.hedge(comments, abandoned_at)).await {
                        Err(_) => return self.abort("the request's time is over").await,
                        Ok(Hedged::Events(events)) => return self.forward_events(&events),
                        Ok(Hedged::Ended(comments)) => {
                            self.finished();
                            return (!comments.is_empty())
                                .then(|| Ok(NtexBytes::copy_from_slice(&comments)));
                        }
                        Ok(Hedged::Silent(comments)) if comments.is_empty() => {}
                        Ok(Hedged::Silent(comments)) => return self.forward(&comments),
                        Ok(Hedged::Broken(reason)) => {
                            if let Err(reason) = self.resume(&reason).await {
                                return self.abort(&reason).await;
                            }
                        }
                    }
                }
            }
        }
    }

    /// Forwards events of the current source.
    fn forward_events(&mut self, events: &[u8]) -> Option<Result<NtexBytes, Infallible>> {
        if let Some(source) = &self.source {
            self.position = source.splitter.position();
            self.hedge_after = hedge_after(&self.context, &self.job, &source.in_flight);
        }
        self.longest_pause = self.longest_pause.max(self.last_event_at.elapsed());
        self.last_event_at = Instant::now();
        self.silent_since = self.last_event_at;
        self.forward(events)
    }

    fn forward(&mut self, bytes: &[u8]) -> Option<Result<NtexBytes, Infallible>> {
        self.last_sent_at = Instant::now();
        Some(Ok(NtexBytes::copy_from_slice(bytes)))
    }

    fn finished(&mut self) {
        self.is_done = true;
        self.recorded.complete();
        if let Some(source) = self.source.take() {
            let key = source.in_flight.placement.key;
            if let Some(open) = source.open {
                self.context.pool.release(key, open.connection);
            }
            source.in_flight.settle();
            let (status, has_announced_end) = (StatusCode::OK, source.has_announced_end);
            let placement = &source.in_flight.placement;
            crashes::report_success(
                &self.context,
                &self.job,
                placement,
                status,
                has_announced_end,
            );
        }
        let pause = Some(self.longest_pause);
        record_answer(&self.context.shared, &self.job, 200, pause);
    }

    /// Time without an event after which the stream is abandoned.
    fn abandon_after(&self) -> Duration {
        abandon_timeout(self.job.route(), self.context.shared.config.pause_limits())
    }

    /// Continues a broken stream at another target after the last complete event.
    async fn resume(&mut self, reason: &str) -> Result<(), String> {
        let Some(mut source) = self.source.take() else {
            return Err("no target continues the stream".into());
        };
        let shared = self.context.shared.clone();
        let target = source.in_flight.placement.target.id.clone();
        let mut end = AttemptEnd::BrokenMidway;
        record_failed_attempt(&shared, &self.job, &target, end, reason);
        self.excluded.push(source.in_flight.placement.key);
        let backup = source.in_flight.backup.take();
        drop(source);
        if let Some(backup) = backup
            && let Some(source) = self.continue_from_backup(&backup).await
        {
            self.switch_source(source);
            return Ok(());
        }
        let until = (self.silent_since + self.abandon_after()).min(self.job.expires_at);
        loop {
            let step = self.progress.ended(end);
            if Instant::now() >= self.job.expires_at {
                return Err("the request's time is over".into());
            }
            let next = self.choose_next(step, end, until, Duration::MAX).await;
            let (in_flight, last_id) = next?;
            match self.continue_at(in_flight, last_id).await {
                Ok(source) => {
                    self.switch_source(source);
                    return Ok(());
                }
                Err(attempt_end) => end = attempt_end,
            }
        }
    }

    /// Asks a target to continue the stream after `last_id`.
    async fn continue_at(
        &mut self,
        in_flight: InFlight,
        last_id: u64,
    ) -> Result<Source, AttemptEnd> {
        let key = in_flight.placement.key;
        let target = in_flight.placement.target.id.clone();
        let opened = self.open_continuation(in_flight, Work::Resume(last_id));
        let (end, reason) = match opened.await {
            Ok(source) => return Ok(source),
            Err(failed) => failed,
        };
        record_failed_attempt(&self.context.shared, &self.job, &target, end, &reason);
        self.excluded.push(key);
        if end == AttemptEnd::NotRun {
            self.refused.push(key);
        }
        Err(end)
    }

    /// Sends a request for the remainder of the stream, and checks the head of the answer.
    async fn open_continuation(
        &self,
        in_flight: InFlight,
        work: Work<'_>,
    ) -> Result<Source, (AttemptEnd, String)> {
        let sent = attempt::send(&self.context, &self.job, &in_flight, work);
        let Ok(sent) = timeout_at(self.job.expires_at, sent).await else {
            return Err((
                AttemptEnd::BrokenMidway,
                "the request's time is over".into(),
            ));
        };
        let (response, connection) = sent?;
        if !continues_stream(&response) {
            in_flight.settle();
            let reason = format!("continued with status {}", response.status());
            return Err((AttemptEnd::BrokenMidway, reason));
        }
        Ok(Source {
            has_announced_end: crashes::has_announced_end(response.headers()),
            open: Some(OpenSource {
                body: response.into_body(),
                connection,
            }),
            in_flight,
            splitter: EventSplitter::after(self.position),
        })
    }

    /// Chooses the next target, if `step` after an attempt that ended with `end` is a retry, and waits
    /// until `until` for one with a predicted wait of at most `longest_wait`. Returns it with the id of the last event.
    async fn choose_next(
        &mut self,
        step: NextStep,
        end: AttemptEnd,
        until: Instant,
        longest_wait: Duration,
    ) -> Result<(InFlight, u64), String> {
        let Some(last_id) = self.position.resume_id() else {
            return Err("the ids do not state where to continue".into());
        };
        if crashes::refusal(&self.context, &self.job).is_some() {
            return Err("the request crashes targets".into());
        }
        let refused: SmallVec<[TargetKey; 4]> = {
            let refused = self.refused.iter().copied();
            refused.filter(|key| !self.excluded.contains(key)).collect()
        };
        let is_used_up = matches!(step, NextStep::Answer(_));
        let returns = is_used_up && !refused.is_empty() && self.progress.may_repeat(end);
        let step = match returns {
            true => NextStep::Retry { uses_budget: true },
            false => step,
        };
        if !forward::may_retry(&self.context.shared, &self.job, step) {
            return Err("the stream may not be sent again".into());
        }
        loop {
            let excluded = match returns {
                true => forward::all_targets_except(&self.context.shared, &refused),
                false => self.excluded.clone(),
            };
            let (context, job) = (&self.context, &self.job);
            match forward::place_continuation(context, job, &excluded, longest_wait).await {
                Ok(in_flight) => return Ok((in_flight, last_id)),
                Err(refusal) if Instant::now() + TARGET_CHECK_INTERVAL >= until => {
                    return Err(refusal.reason.to_string());
                }
                // A target that starts, or has changed its stage, may continue the stream.
                Err(_) => sleep(TARGET_CHECK_INTERVAL).await,
            }
        }
    }

    /// Continues at the engine that keeps a backup of the run. This needs no permission to run the
    /// request at another target, because it remains the same run.
    async fn continue_from_backup(&mut self, backup: &Backup) -> Option<Source> {
        let shared = self.context.shared.clone();
        let after = self.position.resume_id()?;
        let retry = NextStep::Retry { uses_budget: true };
        if !forward::may_retry(&shared, &self.job, retry) {
            return None;
        }
        let in_flight = backup::place(&self.context, &self.job, backup).await?;
        let target = in_flight.placement.target.id.clone();
        self.asked = Some(target.clone());
        self.has_sent_to_backup = true;
        let work = Work::Continue {
            address: &backup.address,
            run: &self.job.incoming.attempt_id,
            after,
        };
        match self.open_continuation(in_flight, work).await {
            Ok(source) => Some(source),
            Err((end, reason)) => {
                self.asked = None;
                self.has_sent_to_backup = false;
                record_failed_attempt(&shared, &self.job, &target, end, &reason);
                None
            }
        }
    }

    /// Reads the remaining events from another target.
    fn switch_source(&mut self, source: Source) {
        self.hedge_after = hedge_after(&self.context, &self.job, &source.in_flight);
        self.silent_since = Instant::now();
        self.asked = None;
        self.source = Some(source);
    }

    /// Logs that the stream ends early and closes the caller's connection.
    async fn abort(&mut self, reason: &str) -> Option<Result<NtexBytes, Infallible>> {
        self.is_done = true;
        self.source = None;
        let shared = &self.context.shared;
        record_taken_up_end(shared, &self.job, "cut_off");
        decision!(
            shared,
            DecisionKind::CutOff,
            importance: importance(&self.job),
            request = self.job.incoming.attempt_id.as_str(),
            route = self.job.route().name.as_str(),
            target:% = self.job.current_target.borrow(),
            reason = "cut_off",
            cause = reason,
            last_event = self.position.last_id(),
            silent_ms = millis(self.last_event_at.elapsed()),
            settings_version = self.job.settings.version,
            newest_version = shared.settings().map(|settings| settings.version),
            after_ms = millis(self.job.arrived_at.elapsed())
        );
        // An error from here would make ntex write an error response into the middle of the body.
        self.job.close_connection();
        // Buffered events are sent first. ntex may not wake this task when that is done, because an
        // earlier event that filled its buffer has used up the waker.
        loop {
            sleep(CLOSE_CHECK_INTERVAL).await;
        }
    }
}
