//! TWICE: a stream goes on at another server while the server before still works on it.

use std::io;
use std::time::Duration;

use super::Verdict;
use crate::gateway::{Gateway, connect};
use crate::record::Record;
use crate::server::{Behaviour, Run, Runs, start_engine};
use crate::store::Store;

/// Sizes and times of `darn-advice` on the sheet of the Brittany deployment.
const TOKENS: u64 = 91;
pub(super) const CONFIG: &str = r#"{"version":1,
"routes":[{"name":"darn-advice","host":"h.example","path-prefix":"/darn/","kind":"streaming","timeout-ms":15000,"target-latency-ms":100,"target-gap-ms":150,"max-attempts":2,"priority":1,"sticky-sessions":true,"service":"llm"}],
"services":[{"name":"llm","health-check-path":"/health","max-connections":160,"engine":{"slots":16,"kv-tokens":783000,"kv-token-bytes":163840,"link-mbps":10000000}}],
"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000},
"tenants":[{"name":"t1","api-keys":["k1"]}]}"#;

/// Time for which the rule allows both servers to work.
const ALLOWED: Duration = Duration::from_millis(400);

/// Time for which the run is preempted. Callers wait for 2 s.
const PREEMPTED: Duration = Duration::from_millis(1500);

/// Streams that are sent at once, so that each engine for answers runs one or more.
const STREAMS: u32 = 12;

pub fn play(record: &Record, has_trouble: bool) -> io::Result<Verdict> {
    let store = Store::start()?;
    store.put("op/config", CONFIG);
    let runs = Runs::default();
    let ordinary = Behaviour::default();
    let preempting = Behaviour {
        preempted: has_trouble.then_some((20, PREEMPTED)),
        finishes_runs: true,
    };
    // Nine engines as on the sheet. One of them is short of memory and is not one of the servers that
    // drop a request when its connection closes; the others are.
    for number in 1..=9 {
        let behaviour = if number == 1 {
            preempting.clone()
        } else {
            ordinary.clone()
        };
        let stage = if number <= 4 { "decode" } else { "prefill" };
        start_engine(
            &store,
            &format!("i-{number}"),
            stage,
            TOKENS,
            behaviour,
            record,
            &runs,
        )?;
    }
    let gateway = Gateway::start("vm-1", store.port)?;
    gateway.wait_ready()?;
    // A machine is in touch after `contact-ms` without trouble.
    std::thread::sleep(Duration::from_millis(3500));
    let mut verdict = Verdict::Held;
    let attempts: Vec<String> = (1..=STREAMS)
        .map(|number| format!("{:08x}{number:08x}", std::process::id()))
        .collect();
    std::thread::scope(|scope| {
        let (record, gateway) = (&record, &gateway);
        let read = |attempt: &String| {
            let attempt = attempt.clone();
            scope.spawn(move || read_stream(record, gateway, &attempt))
        };
        let threads: Vec<_> = attempts.iter().map(read).collect();
        let ended = |thread: std::thread::ScopedJoinHandle<'_, io::Result<()>>| {
            thread
                .join()
                .unwrap_or_else(|_| Err(io::Error::other("a client failed")))
        };
        threads.into_iter().try_for_each(ended)
    })?;
    // The server before may still be at work.
    std::thread::sleep(Duration::from_secs(4));
    for attempt in &attempts {
        if is_broken(record, &runs.of(attempt)) {
            verdict = Verdict::Broken;
        }
    }
    for line in gateway.log_lines("\"hedged\"") {
        record.line(format!("log of the vm: {line}"));
    }
    Ok(verdict)
}

fn read_stream(record: &Record, gateway: &Gateway, attempt: &str) -> io::Result<()> {
    let mut connection = connect(&gateway.callers)?;
    record.line(format!("client sends {attempt} to the vm"));
    connection.send(format!(
        "POST /darn/{attempt} HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: {attempt}\r\nX-Deadline-Ms: 15000\r\n\
         X-Model-Id: m\r\nX-Token-Usage: 220,{TOKENS}\r\nX-Prompt-Prefix: {attempt}:79,e{attempt}:141\r\n\
         Authorization: Bearer k1\r\nContent-Length: 4\r\n\r\nhelp"
    ))?;
    let answer = connection.read()?;
    let text = String::from_utf8_lossy(&answer.body).into_owned();
    let events = text
        .lines()
        .filter(|line| line.starts_with("data:"))
        .count();
    let is_complete = answer.is_complete;
    record.line(format!(
        "client got status {} for {attempt}, {events} events of {TOKENS}, complete: {is_complete}",
        answer.status()
    ));
    Ok(())
}

/// Whether two servers still worked on the request 400 ms after it had gone on at the second one.
fn is_broken(record: &Record, runs: &[Run]) -> bool {
    let mut is_broken = false;
    for pair in runs.windows(2) {
        let [before, other] = pair else { continue };
        let limit = other.started + ALLOWED;
        let works = |run: &Run| run.ended.is_none_or(|ended| ended > limit);
        if before.server != other.server && works(before) && works(other) {
            is_broken = true;
            record.line(format!(
                "TWICE: {} went on at {} at {:.3} s after event {:?}; {} worked on it until {:?}, {} until {:?}",
                other.attempt,
                other.server,
                other.started.as_secs_f64(),
                other.after,
                before.server,
                before.ended,
                other.server,
                other.ended
            ));
        }
    }
    is_broken
}
