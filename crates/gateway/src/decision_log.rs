//! Rate-limited log of decisions, one JSON object per line.

use std::io;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use jujubebeam_core::gateway::{LineClass, LogLimiter};
use log::kv::{self, Key, Value, VisitSource};
use serde::Serialize;
use serde::ser::{SerializeMap, Serializer};
use strum::{Display, IntoStaticStr};

/// Kind of a decision, which is written as the event of its line.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub(crate) enum DecisionKind {
    /// A request was answered by a target.
    Answered,
    /// A request was refused or failed.
    Ended,
    /// A stream was cut. It has a limit of its own, because a leaving or overloaded vm refuses more
    /// requests per second than it may log.
    #[strum(to_string = "ended")]
    CutOff,
    /// A caller's connection ended before all bytes of an answer were sent.
    Unsent,
    /// A target was chosen for a request.
    Placed,
    /// An engine computed a prompt for another one.
    Computed,
    /// An attempt at a target failed.
    Attempt,
    /// Another target was asked to continue the stream of a silent one.
    Hedged,
    /// A caller disconnected.
    CallerLeft,
    /// Settings were read and put in force or rejected.
    Settings,
    /// The list of targets was updated.
    Targets,
    /// A target stopped accepting work, or will soon.
    TargetChange,
    /// Entries were found that describe no usable target.
    InvalidEntries,
    /// A target sent a notice about itself.
    Notice,
    /// A target crashed while it had a request, or a count of such crashes was cleared.
    Crash,
    /// It was found what became of a target that left an attempt without an answer.
    Unanswered,
    /// A request was refused because of a prompt part that crashes targets, or tests that part.
    PartRefused,
    /// Crash counts were read from the store or written to it.
    StoredCrashes,
    /// This vm reaches no target of a service any more, or reaches them again.
    Reachability,
    /// A request was passed on to another vm.
    PassedOn,
    /// Another vm reported prompts that it could not send, or got no answer to.
    PromptsFailed,
    /// The software versions of the services were written to the store.
    SoftwareVersions,
    /// A caller takes a stream up.
    TakenUp,
    /// An engine was queried for the prompt parts that it caches.
    KeptParts,
    /// A replica was not confirmed for too long, and another vm or the store is queried.
    Refresh,
    /// A dependency became unavailable or available again.
    Dependency,
    /// A duty was performed or failed.
    Duty,
    /// The quota of a workspace is used up, or its home does not answer.
    Quota,
    /// A connection was closed, or not accepted, because of the memory or the descriptor it takes.
    CallerCut,
    /// A computed prompt was handed over, or will not be.
    HandedOver,
    /// The link of an engine is slower than usual, or sound again.
    Link,
}

impl DecisionKind {
    /// What limits lines of this kind that are logged without the importance of their request.
    fn class(self) -> LineClass<'static> {
        match self {
            Self::Ended
            | Self::CutOff
            | Self::Attempt
            | Self::Hedged
            | Self::CallerLeft
            | Self::TakenUp
            | Self::Unanswered
            | Self::Crash => LineClass::Important,
            _ => LineClass::Other,
        }
    }

    fn is_routine(self) -> bool {
        matches!(
            self,
            Self::Placed | Self::Computed | Self::HandedOver | Self::Answered
        )
    }
}

/// How much a request matters to readers of the log after a failure. Lines of different importance have
/// limits of their own, so that they do not hide each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Importance {
    /// The kind of a line decides.
    Usual,
    /// A target answered it with an error.
    Failed,
    /// Its caller takes a stream up.
    TakesStreamUp,
}

/// Rate limiter of the decision log.
#[derive(Debug, Default)]
pub(crate) struct DecisionLog(Mutex<LogLimiter<(DecisionKind, Importance)>>);

impl DecisionLog {
    /// Whether another line of this kind may be written in this second. If lines were left out since
    /// the last one, logs their number first.
    pub(crate) fn admit(&self, kind: DecisionKind, now: Duration) -> bool {
        self.admit_class(kind, Importance::Usual, kind.class(), now)
    }

    /// Whether another line of this kind may be written for a request in this second. Routine lines
    /// are kept or dropped with the others of their request. Logs left-out lines as
    /// [`DecisionLog::admit`] does.
    pub(crate) fn admit_request(
        &self,
        kind: DecisionKind,
        importance: Importance,
        request: &str,
        now: Duration,
    ) -> bool {
        let class = match importance {
            Importance::Failed | Importance::TakesStreamUp => LineClass::Important,
            Importance::Usual if kind.is_routine() => LineClass::Routine(request),
            Importance::Usual => kind.class(),
        };
        self.admit_class(kind, importance, class, now)
    }

    fn admit_class(
        &self,
        kind: DecisionKind,
        importance: Importance,
        class: LineClass<'_>,
        now: Duration,
    ) -> bool {
        let mut limiter = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let left_out = limiter.admit((kind, importance), class, now);
        drop(limiter);
        if let Some(lines @ 1..) = left_out {
            log::info!(event = "left_out", kind:% = kind, lines; "");
        }
        left_out.is_some()
    }
}

/// Converts a time to whole milliseconds for a log field.
pub(crate) fn millis(time: Duration) -> u64 {
    time.as_millis() as u64
}

/// Logs a decision of a [`DecisionKind`] with fields in the syntax of [`log::info`], unless the
/// rate limit of this kind is reached. The fields are evaluated only if the line is written.
///
/// Lines of routine kinds, and of requests that may be important, state the [`Importance`] before
/// their fields, of which `request` is the first one and is evaluated in any case.
macro_rules! decision {
    (
        $shared:expr, $kind:expr, importance: $importance:expr, request = $id:expr, $($fields:tt)+
    ) => {{
        let id: &str = $id;
        let (kind, importance) = ($kind, $importance);
        if $shared.decision_log.admit_request(kind, importance, id, $shared.now()) {
            log::info!(event:% = kind, request = id, $($fields)+; "");
        }
    }};
    ($shared:expr, $kind:expr, $($fields:tt)+) => {
        if $shared.decision_log.admit($kind, $shared.now()) {
            log::info!(event:% = $kind, $($fields)+; "");
        }
    };
}
pub(crate) use decision;

/// Writes a record as one JSON object: time, level, its fields, and its message unless it is empty.
///
/// # Errors
///
/// Returns the writer's error.
pub fn write_json(
    writer: &mut dyn io::Write,
    time: &str,
    record: &log::Record<'_>,
) -> io::Result<()> {
    Ok(serde_json::to_writer(writer, &JsonLine { time, record })?)
}

struct JsonLine<'a> {
    time: &'a str,
    record: &'a log::Record<'a>,
}

impl Serialize for JsonLine<'_> {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let mut map = serializer.serialize_map(None)?;
        map.serialize_entry("time", self.time)?;
        map.serialize_entry("level", self.record.level().as_str())?;
        let mut fields = Fields { map, failed: None };
        // The visitor stores the serializer's error, because the source can only return its own
        // type.
        let _ = self.record.key_values().visit(&mut fields);
        if let Some(error) = fields.failed {
            return Err(error);
        }
        let message = self.record.args().to_string();
        if !message.is_empty() {
            fields.map.serialize_entry("message", &message)?;
        }
        fields.map.end()
    }
}

struct Fields<M: SerializeMap> {
    map: M,
    failed: Option<M::Error>,
}

impl<'kvs, M: SerializeMap> VisitSource<'kvs> for Fields<M> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), kv::Error> {
        if let Err(error) = self.map.serialize_entry(key.as_str(), &value) {
            self.failed = Some(error);
            return Err(kv::Error::msg("the field cannot be written"));
        }
        Ok(())
    }
}
