//! Streams of events: passed on as they arrive, and resumed elsewhere where the route allows it.

use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::stream::unfold;
use http::{Response, header};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use jujubebeam_core::gateway::{
    AttemptEnd, NextStep, Repeatability, RequestProgress, TargetKey, stall_timeout,
};
use ntex::util::Bytes as NtexBytes;
use ntex::web::HttpResponse;
use smallvec::SmallVec;
use tokio::time::{Instant, timeout, timeout_at};

use crate::attempt;
use crate::backup::{self, Backup};
use crate::connection::TargetConnection;
use crate::edges::{Edges, Work};
use crate::events::{EventSplitter, EventTooLong, WholeEvents};
use crate::forward;
use crate::in_flight::InFlight;
use crate::job::Job;
use crate::journal::{LineKind, decision, millis};
use crate::server::{Context, Running};
use crate::tell::{tell_answer, tell_attempt};

const EVENT_STREAM: &str = "text/event-stream";

/// A stream of which the first events have arrived.
pub(crate) struct EventStream {
    parts: http::response::Parts,
    first: Bytes,
    source: Source,
}

/// The target's side of a stream.
struct Source {
    body: Incoming,
    connection: TargetConnection,
    in_flight: InFlight,
    splitter: EventSplitter,
}

/// Whether an answer is a stream of events.
pub(crate) fn is_events(response: &Response<Incoming>) -> bool {
    let content_type = response.headers().get(header::CONTENT_TYPE);
    response.status().is_success()
        && content_type.is_some_and(|v| v.as_bytes().starts_with(EVENT_STREAM.as_bytes()))
}

/// Waits for the first whole event.
pub(crate) async fn open<E: Edges>(
    context: &Context<E>,
    job: &Job,
    in_flight: InFlight,
    response: Response<Incoming>,
    connection: TargetConnection,
) -> Result<EventStream, String> {
    let (parts, body) = response.into_parts();
    let mut source = Source {
        body,
        connection,
        in_flight,
        splitter: EventSplitter::default(),
    };
    match source.next().await {
        Piece::Events(first) | Piece::Comment(first) => {
            job.began(&context.shared);
            Ok(EventStream {
                parts,
                first,
                source,
            })
        }
        Piece::Stalled => Err("no event came".into()),
        Piece::End => Err("stream ended without an event".into()),
        Piece::Broken(reason) => {
            source.failed(context, job);
            Err(reason)
        }
    }
}

enum Piece {
    /// Whole events.
    Events(Bytes),
    /// Text that keeps the connection alive and says nothing.
    Comment(Bytes),
    End,
    Broken(String),
    /// No event has come for the longest pause of the route.
    Stalled,
}

/// Time for events that wait in a socket to be read. After a vm was stopped for a while its timers
/// end before its sockets are read.
const READ_WAITING_EVENTS: Duration = Duration::from_millis(100);

impl Source {
    async fn next(&mut self) -> Piece {
        loop {
            match self.body.frame().await {
                Some(Ok(frame)) => {
                    let Ok(data) = frame.into_data() else {
                        continue;
                    };
                    match self.splitter.push(&data) {
                        Ok(Some(WholeEvents { bytes, has_content })) => {
                            return match has_content {
                                true => Piece::Events(bytes),
                                false => Piece::Comment(bytes),
                            };
                        }
                        Ok(None) => {}
                        Err(EventTooLong) => {
                            return Piece::Broken("an event does not end".into());
                        }
                    }
                }
                Some(Err(error)) => return Piece::Broken(error.to_string()),
                None if self.splitter.is_at_boundary() => return Piece::End,
                None => return Piece::Broken("ended within an event".into()),
            }
        }
    }

    /// The next piece, or a stall if none comes before `until`.
    async fn next_until(&mut self, until: Instant) -> Piece {
        if let Ok(piece) = timeout_at(until, self.next()).await {
            return piece;
        }
        let piece = timeout(READ_WAITING_EVENTS, self.next()).await;
        piece.unwrap_or(Piece::Stalled)
    }

    /// The stream broke off.
    fn failed<E: Edges>(&self, context: &Context<E>, job: &Job) {
        self.gave_nothing(context);
        attempt::crashed(context, job, &self.in_flight.placed);
    }

    /// The stream broke off or stalled. A target that stalls has not crashed.
    fn gave_nothing<E: Edges>(&self, context: &Context<E>) {
        self.in_flight.failed();
        context.pool.close_idle(self.in_flight.placed.key);
    }
}

/// A stream on its way to the caller.
struct Pump<E: Edges> {
    context: Context<E>,
    job: Rc<Job>,
    /// First events, until they are passed on.
    first: Option<Bytes>,
    source: Option<Source>,
    progress: RequestProgress,
    excluded: SmallVec<[TargetKey; 4]>,
    last_id: Option<u64>,
    /// When the last events came, and the longest time between two.
    last_at: Instant,
    longest_pause: Duration,
    /// Time without an event after which the stream counts as stalled, and when it does.
    pause_limit: Duration,
    stalled_at: Instant,
    /// When something was last passed on to the caller.
    passed_at: Instant,
    is_done: bool,
    /// A shutdown waits for the stream.
    _running: Running,
}

impl<E: Edges> Drop for Pump<E> {
    fn drop(&mut self) {
        if !self.is_done {
            let shared = &self.context.shared;
            decision!(
                shared,
                LineKind::CallerLeft,
                request = self.job.incoming.attempt_id.as_str(),
                midway = true,
                after_ms = millis(self.job.arrived.elapsed())
            );
        }
    }
}

/// Answers a caller with a stream.
pub(crate) fn respond<E: Edges>(
    context: &Context<E>,
    job: Rc<Job>,
    events: EventStream,
) -> HttpResponse {
    let mut builder = attempt::head(&events.parts);
    let progress = RequestProgress::new(job.repeatability(), job.route().max_attempts);
    let pause_limit = pause_limit(context, &job, &events.source.in_flight);
    let pump = Pump {
        context: context.clone(),
        first: Some(events.first),
        last_id: events.source.splitter.last_id(),
        source: Some(events.source),
        progress,
        excluded: SmallVec::new(),
        last_at: Instant::now(),
        longest_pause: Duration::ZERO,
        pause_limit,
        stalled_at: Instant::now() + pause_limit,
        passed_at: Instant::now(),
        is_done: false,
        _running: context.shared_running(),
        job,
    };
    builder.streaming(Box::pin(unfold(pump, |mut pump| async move {
        let item = pump.next().await?;
        Some((item, pump))
    })))
}

/// Time without an event after which a stream counts as stalled. It is shorter if the stream may go
/// on elsewhere, which includes a copy of the run.
fn pause_limit<E: Edges>(context: &Context<E>, job: &Job, in_flight: &InFlight) -> Duration {
    let goes_on = match in_flight.backup {
        Some(_) => Repeatability::Resumable,
        None => job.repeatability(),
    };
    let limits = context.shared.config.pause_limits();
    stall_timeout(job.route(), goes_on, limits)
}

impl<E: Edges> Pump<E> {
    async fn next(&mut self) -> Option<Result<NtexBytes, Infallible>> {
        if self.is_done {
            return None;
        }
        // The time in which the caller did not read is none of the target's.
        self.stalled_at += self.passed_at.elapsed();
        if let Some(first) = self.first.take() {
            return Some(Ok(NtexBytes::copy_from_slice(&first)));
        }
        loop {
            let limit = self.job.limit;
            let Some(source) = &mut self.source else {
                return self.cut("no target continues the stream").await;
            };
            match timeout_at(limit, source.next_until(self.stalled_at)).await {
                Err(_) => return self.cut("the request's time is over").await,
                Ok(Piece::Events(events)) => {
                    self.last_id = source.splitter.last_id().or(self.last_id);
                    self.longest_pause = self.longest_pause.max(self.last_at.elapsed());
                    self.last_at = Instant::now();
                    self.stalled_at = self.last_at + self.pause_limit;
                    self.passed_at = self.last_at;
                    return Some(Ok(NtexBytes::copy_from_slice(&events)));
                }
                Ok(Piece::Comment(text)) if Instant::now() < self.stalled_at => {
                    self.passed_at = Instant::now();
                    return Some(Ok(NtexBytes::copy_from_slice(&text)));
                }
                Ok(Piece::End) => {
                    self.finished();
                    return None;
                }
                Ok(Piece::Broken(reason)) => {
                    source.failed(&self.context, &self.job);
                    if let Err(reason) = self.resume(&reason).await {
                        return self.cut(&reason).await;
                    }
                }
                Ok(Piece::Comment(_) | Piece::Stalled) => {
                    source.gave_nothing(&self.context);
                    let reason = format!("no event for {} ms", self.pause_limit.as_millis());
                    if let Err(cause) = self.resume(&reason).await {
                        return self.cut(&format!("{reason}; {cause}")).await;
                    }
                }
            }
        }
    }

    fn finished(&mut self) {
        self.is_done = true;
        if let Some(source) = self.source.take() {
            let key = source.in_flight.placed.key;
            self.context.pool.release(key, source.connection);
        }
        attempt::is_sound(&self.context, &self.job);
        let pause = Some(self.longest_pause);
        tell_answer(&self.context.shared, &self.job, 200, pause);
    }

    /// Continues at another target after the last whole event.
    async fn resume(&mut self, reason: &str) -> Result<(), String> {
        let Some(mut source) = self.source.take() else {
            return Err("no target continues the stream".into());
        };
        let shared = self.context.shared.clone();
        let key = source.in_flight.placed.key;
        let target = source.in_flight.placed.target.id.clone();
        let end = AttemptEnd::BrokenMidway;
        tell_attempt(&shared, &self.job, &target, end, reason);
        // What came of an event that is not whole was not passed on.
        source.splitter.take_rest();
        let backup = source.in_flight.backup.take();
        drop(source);
        let mut end = end;
        self.excluded.push(key);
        if let Some(backup) = backup
            && self.continue_at(&backup).await
        {
            return Ok(());
        }
        loop {
            let Some(last_id) = self.last_id else {
                return Err("the events have no ids".into());
            };
            let step = self.progress.ended(end);
            if !forward::may_try_again(&shared, &self.job, step) {
                return Err("the stream may not be sent again".into());
            }
            let in_flight = forward::place(
                &self.context,
                &self.job,
                &self.job.incoming.prompt_parts,
                &self.excluded,
            )
            .map_err(|refusal| refusal.reason.to_string())?;
            let key = in_flight.placed.key;
            let target = in_flight.placed.target.id.clone();
            let sent = timeout_at(
                self.job.limit,
                attempt::send(&self.context, &self.job, &in_flight, Work::Resume(last_id)),
            );
            match sent.await {
                Err(_) => return Err("the request's time is over".into()),
                Ok(Ok((response, connection))) if is_events(&response) => {
                    self.goes_on(response, connection, in_flight);
                    return Ok(());
                }
                Ok(Ok((response, _))) => {
                    return Err(format!("resumed with status {}", response.status()));
                }
                Ok(Err((attempt_end, reason))) => {
                    tell_attempt(&shared, &self.job, &target, attempt_end, &reason);
                    self.excluded.push(key);
                    end = attempt_end;
                }
            }
        }
    }

    /// Continues at the engine that keeps a copy of the run. Whether another target may run the
    /// request is not asked, because it stays the same run.
    async fn continue_at(&mut self, backup: &Backup) -> bool {
        let shared = self.context.shared.clone();
        let Some(after) = self.last_id else {
            return false;
        };
        let spends = NextStep::Retry { uses_budget: true };
        if !forward::may_try_again(&shared, &self.job, spends) {
            return false;
        }
        let Some(in_flight) = backup::place(&shared, &self.job, backup) else {
            return false;
        };
        let target = in_flight.placed.target.id.clone();
        let work = Work::Continue {
            address: &backup.address,
            run: &self.job.incoming.attempt_id,
            after,
        };
        let sent = attempt::send(&self.context, &self.job, &in_flight, work);
        let (end, reason) = match timeout_at(self.job.limit, sent).await {
            Err(_) => return false,
            Ok(Ok((response, connection))) if is_events(&response) => {
                self.goes_on(response, connection, in_flight);
                return true;
            }
            Ok(Ok((response, _))) => {
                let reason = format!("continued with status {}", response.status());
                (AttemptEnd::BrokenMidway, reason)
            }
            Ok(Err(failed)) => failed,
        };
        tell_attempt(&shared, &self.job, &target, end, &reason);
        false
    }

    /// Takes the rest of the events from another target.
    fn goes_on(
        &mut self,
        response: Response<Incoming>,
        connection: TargetConnection,
        in_flight: InFlight,
    ) {
        self.pause_limit = pause_limit(&self.context, &self.job, &in_flight);
        self.stalled_at = Instant::now() + self.pause_limit;
        self.source = Some(Source {
            body: response.into_body(),
            connection,
            in_flight,
            splitter: EventSplitter::default(),
        });
    }

    async fn cut(&mut self, reason: &str) -> Option<Result<NtexBytes, Infallible>> {
        self.is_done = true;
        self.source = None;
        let shared = &self.context.shared;
        decision!(
            shared,
            LineKind::Ended,
            request = self.job.incoming.attempt_id.as_str(),
            route = self.job.route().name.as_str(),
            reason = "cut_off",
            cause = reason,
            last_event = self.last_id,
            after_ms = millis(self.job.arrived.elapsed())
        );
        // An error from here would make ntex write an error response into the middle of the body.
        self.job.close_connection();
        std::future::pending().await
    }
}
