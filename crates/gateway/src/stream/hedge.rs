//! Hedged continuation of silent streams.
//!
//! A target that is silent for a while may be sound. It is therefore only left once another target
//! has sent the next events, as with the hedged requests of Dean and Barroso ("The Tail at Scale",
//! CACM 56, 2013). See `docs/incidents/silent-targets.md`. Both may work on the request meanwhile,
//! so the other one is left if it sends none in time. See `docs/incidents/overlapping-runs.md`.

use std::cell::Cell;
use std::pin::pin;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use jujubebeam_core::gateway::{AttemptEnd, MAX_OVERLAP};
use tokio::time::{Instant, sleep_until, timeout};

use super::{Source, StreamItem, StreamRelay};
use crate::adapters::Adapters;
use crate::backup::Backup;
use crate::decision_log::{DecisionKind, decision, millis};
use crate::request_log::record_failed_attempt;

/// Size of collected comments at which the silent target is not read further until the other one is
/// decided. Targets send one small comment at a time to keep a connection alive.
const MAX_COMMENT_BYTES: usize = 64 * 1024;

/// How a stream goes on after its target was silent. The relay has the source that is kept.
pub(super) enum Hedged {
    /// The silent target or another one has sent events.
    Events(Bytes),
    /// The silent target has sent these comments and the end of the stream.
    Ended(Bytes),
    /// No other target continues the stream. The silent one has sent at most these comments.
    Silent(Bytes),
    /// The silent target broke the stream off, and no other one continues it.
    Broken(String),
}

/// What ended the wait for the silent target and the other one.
enum Winner {
    Silent(Bytes),
    SilentEnd,
    Other(Box<Source>, Bytes),
    Neither { cause: String },
}

impl<A: Adapters> StreamRelay<A> {
    /// Asks other targets to continue the stream while the silent one may still go on, and keeps the
    /// one that sends the next events first. `comments` are those that are to be forwarded before.
    pub(super) async fn hedge(&mut self, comments: Bytes, until: Instant) -> Hedged {
        let Some(mut silent) = self.source.take() else {
            return Hedged::Broken("no target continues the stream".into());
        };
        // After a suspension of the vm, the gap may be over before another target can be asked.
        if Instant::now() >= until {
            self.hedge_after = None;
            self.source = Some(silent);
            return Hedged::Silent(comments);
        }
        let (context, job) = (self.context.clone(), self.job.clone());
        let excluded_before = self.excluded.len();
        let silent_for = self.last_event_at.elapsed();
        let backup = silent.in_flight.backup.clone();
        self.has_sent_to_backup = false;
        let (key, target) = {
            let placement = &silent.in_flight.placement;
            (placement.key, placement.target.id.clone())
        };
        self.excluded.push(key);
        let mut comments = BytesMut::from(comments);
        let mut broken = None;
        let is_connected = Cell::new(true);
        let winner = {
            let mut other = pin!(self.ask_others(backup, &is_connected, until));
            let mut failed = None;
            loop {
                if let (Some(cause), Some(_)) = (&failed, &broken) {
                    break Winner::Neither {
                        cause: String::clone(cause),
                    };
                }
                tokio::select! {
                    biased;
                    item = silent.next(), if broken.is_none() && comments.len() < MAX_COMMENT_BYTES => match item {
                        StreamItem::Events(events) => break Winner::Silent(events),
                        StreamItem::End => break Winner::SilentEnd,
                        StreamItem::Comment(text) => comments.extend_from_slice(&text),
                        StreamItem::Stalled => {}
                        StreamItem::Broken(reason) => {
                            silent.record_break(&context, &job);
                            silent.close();
                            is_connected.set(false);
                            broken = Some(reason);
                        }
                        StreamItem::Invalid(error) => {
                            silent.record_invalid(&context);
                            silent.close();
                            is_connected.set(false);
                            broken = Some(error.to_string());
                        }
                    },
                    found = &mut other, if failed.is_none() => match found {
                        Ok((source, events)) => break Winner::Other(Box::new(source), events),
                        Err(cause) if broken.is_none() => break Winner::Neither { cause },
                        Err(cause) => failed = Some(cause),
                    },
                    () = sleep_until(until) => {
                        break Winner::Neither { cause: "the caller's gap is over".into() };
                    }
                }
            }
        };
        if matches!(winner, Winner::Other(..)) {
            self.asked = None;
        }
        if self.asked.is_some() {
            self.progress.ended(AttemptEnd::Superseded);
            self.leave_asked("the silent target went on first, or no event came in time");
        }
        let (outcome, cause) = match &winner {
            Winner::Silent(_) | Winner::SilentEnd => ("went_on", None),
            Winner::Other(..) => ("continued", None),
            Winner::Neither { cause } => ("none", Some(cause.as_str())),
        };
        decision!(
            context.shared,
            DecisionKind::Hedged,
            request = job.incoming.attempt_id.as_str(),
            target = target.as_str(),
            outcome = outcome,
            cause = cause,
            fault = broken.as_deref(),
            silent_ms = millis(silent_for),
            after_ms = millis(job.arrived_at.elapsed())
        );
        if let Winner::Other(source, events) = winner {
            if broken.is_none() {
                silent.record_failure(&context);
            }
            let end = match broken {
                Some(_) => AttemptEnd::BrokenMidway,
                None => AttemptEnd::Superseded,
            };
            let reason =
                broken.unwrap_or_else(|| format!("no event for {} ms", millis(silent_for)));
            self.progress.ended(end);
            record_failed_attempt(&context.shared, &job, &target, end, &reason);
            self.source = Some(*source);
            comments.extend_from_slice(&events);
            return Hedged::Events(comments.freeze());
        }
        // If the silent target breaks the stream off later, the others may be asked again. The copy
        // that a backup keeps can be used once.
        match broken {
            Some(_) => self.excluded.retain(|excluded| *excluded != key),
            None => self.excluded.truncate(excluded_before),
        }
        if self.has_sent_to_backup {
            silent.in_flight.backup = None;
        }
        job.current_target.replace(target);
        // No other target is asked until the silent one has sent events.
        self.hedge_after = None;
        self.source = Some(silent);
        match (winner, broken) {
            (Winner::Silent(events), _) => {
                comments.extend_from_slice(&events);
                Hedged::Events(comments.freeze())
            }
            (Winner::SilentEnd, _) => Hedged::Ended(comments.freeze()),
            (_, Some(reason)) => Hedged::Broken(reason),
            (_, None) => Hedged::Silent(comments.freeze()),
        }
    }

    /// Asks the engine that keeps the backup, or else other targets one after the other, until one
    /// has sent the next events. `is_connected` states whether the silent target may still go on.
    async fn ask_others(
        &mut self,
        backup: Option<Backup>,
        is_connected: &Cell<bool>,
        until: Instant,
    ) -> Result<(Source, Bytes), String> {
        if let Some(backup) = backup {
            let attempt = async {
                let source = self.continue_from_backup(&backup).await?;
                self.first_events(source).await.ok()
            };
            match within_overlap(attempt, is_connected).await {
                Some(Some(found)) => return Ok(found),
                Some(None) => {}
                None => {
                    self.progress.ended(AttemptEnd::Superseded);
                    self.leave_asked("no event came in time while the silent target was connected");
                }
            }
        }
        let mut last = None;
        loop {
            let step = self.progress.next_beside_running(last);
            let end = last.unwrap_or(AttemptEnd::BrokenMidway);
            // Beside the silent target, the other one is left after that time.
            let longest_wait = match is_connected.get() {
                true => MAX_OVERLAP,
                false => Duration::MAX,
            };
            let next = self.choose_next(step, end, until, longest_wait).await;
            let (in_flight, last_id) = next?;
            let key = in_flight.placement.key;
            self.asked = Some(in_flight.placement.target.id.clone());
            let attempt = async {
                let source = self.continue_at(in_flight, last_id).await?;
                self.first_events(source).await
            };
            let end = match within_overlap(attempt, is_connected).await {
                Some(Ok(found)) => return Ok(found),
                Some(Err(end)) => end,
                None => {
                    self.excluded.push(key);
                    self.leave_asked("no event came in time while the silent target was connected");
                    AttemptEnd::Superseded
                }
            };
            self.asked = None;
            last = Some(end);
        }
    }

    /// Records that the target that was asked to continue the stream is left for the silent one.
    fn leave_asked(&mut self, reason: &str) {
        let Some(asked) = self.asked.take() else {
            return;
        };
        let (shared, end) = (&self.context.shared, AttemptEnd::Superseded);
        record_failed_attempt(shared, &self.job, &asked, end, reason);
    }

    /// Waits for the first events of a continuation.
    async fn first_events(&mut self, mut source: Source) -> Result<(Source, Bytes), AttemptEnd> {
        let (context, job) = (self.context.clone(), self.job.clone());
        let reason = loop {
            match source.next().await {
                StreamItem::Events(events) => return Ok((source, events)),
                // The caller gets the comments of the silent target.
                StreamItem::Comment(_) | StreamItem::Stalled => {}
                StreamItem::End => {
                    source.in_flight.settle();
                    break "continued without a new event".to_owned();
                }
                StreamItem::Broken(reason) => {
                    source.record_break(&context, &job);
                    break reason;
                }
                StreamItem::Invalid(error) => {
                    source.record_invalid(&context);
                    break error.to_string();
                }
            }
        };
        let placement = &source.in_flight.placement;
        let end = AttemptEnd::BrokenMidway;
        record_failed_attempt(&context.shared, &job, &placement.target.id, end, &reason);
        self.excluded.push(placement.key);
        self.asked = None;
        Err(end)
    }
}

/// Waits for an attempt beside a silent target for [`MAX_OVERLAP`], or as long as it takes once that
/// target has ended its stream. Returns `None` if the attempt was left.
async fn within_overlap<T>(
    attempt: impl Future<Output = T>,
    is_connected: &Cell<bool>,
) -> Option<T> {
    let mut attempt = pin!(attempt);
    match timeout(MAX_OVERLAP, attempt.as_mut()).await {
        Ok(found) => Some(found),
        Err(_) if is_connected.get() => None,
        Err(_) => Some(attempt.await),
    }
}
