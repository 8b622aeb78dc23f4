//! Reads the logs of gateways for what concerns one request. See `docs/OPERATIONS.md`.

use std::io::BufRead;

use serde_json::{Map, Value};

/// Lines of the log around a request that tell what the vm believed: what changed within this many
/// lines of a kind before it is shown.
const BELIEFS_BEFORE: usize = 2;

/// Kinds of lines about what a vm believes.
const BELIEFS: [&str; 5] = ["dependency", "settings", "targets", "leaving", "start"];

/// A line of a log.
struct Line {
    /// What stands before the object, such as a vm's name that a log collector adds.
    origin: String,
    fields: Map<String, Value>,
}

/// What logs say of a request.
#[derive(Debug, Default, PartialEq)]
pub(crate) struct Explanation {
    /// Lines of the request, and what its vm believed before, in the order of the log.
    pub(crate) lines: Vec<String>,
    /// What the last line means.
    pub(crate) cause: Option<String>,
}

/// Searches a log for a request. Lines that are not JSON objects are passed over.
///
/// # Errors
///
/// Returns the reader's error.
pub(crate) fn explain(log: impl BufRead, request: &str) -> std::io::Result<Explanation> {
    let mut explanation = Explanation::default();
    let mut beliefs: Vec<Line> = Vec::new();
    for text in log.lines() {
        let Some(line) = Line::parse(&text?) else {
            continue;
        };
        if BELIEFS.contains(&line.text("event")) {
            beliefs.push(line);
            continue;
        }
        if line.text("request") != request {
            continue;
        }
        if explanation.lines.is_empty() {
            explanation.lines = latest(&beliefs, &line.origin);
        }
        explanation.cause = cause(&line).map(str::to_owned).or(explanation.cause);
        explanation.lines.push(line.render());
    }
    Ok(explanation)
}

/// The latest beliefs of each kind of the vm that wrote a line with this origin.
fn latest(beliefs: &[Line], origin: &str) -> Vec<String> {
    let mut shown = Vec::new();
    for kind in BELIEFS {
        let of_kind = |line: &&Line| line.text("event") == kind && line.is_from(origin);
        let newest = beliefs.iter().rev().filter(of_kind).take(BELIEFS_BEFORE);
        shown.extend(newest);
    }
    shown.sort_by_key(|line| line.text("time").to_owned());
    shown.into_iter().map(Line::render).collect()
}

impl Line {
    fn parse(text: &str) -> Option<Self> {
        let begin = text.find('{')?;
        let Ok(Value::Object(fields)) = serde_json::from_str(&text[begin..]) else {
            return None;
        };
        Some(Self {
            origin: text[..begin].trim().to_owned(),
            fields,
        })
    }

    fn text(&self, field: &str) -> &str {
        self.fields
            .get(field)
            .and_then(Value::as_str)
            .unwrap_or_default()
    }

    /// Whether the same vm wrote a line: the last word before the object is its name, if there is one.
    fn is_from(&self, origin: &str) -> bool {
        let vm = |origin: &str| origin.rsplit(' ').next().map(str::to_owned);
        vm(&self.origin) == vm(origin)
    }

    fn render(&self) -> String {
        let shown = |name: &str| !matches!(name, "time" | "level" | "event" | "request");
        let fields = self.fields.iter().filter(|(name, _)| shown(name));
        let fields: Vec<_> = fields
            .filter(|(_, value)| !value.is_null())
            .map(|(name, value)| format!("{name}={value}"))
            .collect();
        let vm = self.origin.rsplit(' ').next().unwrap_or_default();
        let head = [self.text("time"), vm, self.text("event")];
        let head: Vec<_> = head.into_iter().filter(|part| !part.is_empty()).collect();
        format!("{}  {}", head.join(" "), fields.join(" "))
    }
}

/// What an ending means for an operator.
fn cause(line: &Line) -> Option<&'static str> {
    if line.text("event") == "caller_left" {
        return Some("the caller closed its connection before the answer was complete");
    }
    if line.text("event") != "ended" {
        return None;
    }
    Some(match line.text("reason") {
        "starting" => "the vm had no settings or targets yet; see its `dependency` lines",
        "leaving" => "the vm was told to stop; the caller kept its address for too long",
        "unknown_route" => "no route of the settings in force matches host and path",
        "unknown_key" => "the settings in force have no tenant with this key",
        "body_too_large" => "the body exceeds the limit of the settings",
        "slow_body" => "the body did not arrive in time or broke off",
        "no_target" => "no target of the service took new work; see the `targets` lines",
        "targets_rest" => "all targets had requested backoff; see the `notice` lines",
        "targets_limited" => "the rate limits of all targets were used up; see the `notice` lines",
        "overloaded" => "the predicted wait exceeded what the route's aim allows; nothing was sent",
        "crashes_targets" => "targets died under this request; the caller must change it",
        "targets_refused" => "the targets of the `attempt` lines refused it; it has not run",
        "target_failed" => "the target of the last `attempt` line failed; it may have run",
        "timed_out" => "the target of the last `placed` line did not answer in time",
        "stream_unknown" => {
            "it is not known which software version began the stream; see its `taken_up` line"
        }
        "version_gone" => "no target of the software version that began the stream is left",
        "stream_moved" => "the stream began at another service than the one of its route today",
        "targets_unreachable" => {
            "neither this vm nor those that it asked reach a target; see the `reachability` lines"
        }
        "helper_full" => "this vm already handled as many requests of other vms as it may",
        "quota_used_up" => "the workspace had used up its quota; see the `quota` lines",
        "cut_off" => "the target broke the stream, and the route allows no resume",
        "caller_memory" => {
            "the memory for what callers send was used up; see `caller_cut` lines and `memory_mb`"
        }
        _ => return None,
    })
}
