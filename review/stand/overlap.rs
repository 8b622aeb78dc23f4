//! Streams that may run once, on model servers that lose a part of their answers.
//!
//! Such a server works on the request to its end, but nothing more arrives of its answer: from the
//! start or after three events, in turn. A run is that of the same request if it goes on from a copy.

use std::collections::BTreeMap;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::gateway;
use crate::http::{Head, call_with_gap};
use crate::record::Record;
use crate::server::{Behaviour, Server, is_open};
use crate::store::Store;
use crate::{Outcome, Place};

/// Configuration of a service of model servers, with the figures of the site stoyanovi-quotes.
const CONFIG: &str = r#"{"version":7,"routes":[
 {"name":"customer-reply","host":"ficu95.example","path-prefix":"/lohu930/","kind":"streaming","timeout-ms":15000,"target-latency-ms":200,"target-gap-ms":150,"priority":1,"service":"quote-llm","max-attempts":1,"public":false,"sticky-sessions":true,"resumable":false}],
 "services":[{"name":"quote-llm","health-check-path":"/health","max-connections":360,"engine":{"slots":64,"kv-tokens":783000,"kv-token-bytes":163840,"link-mbps":7100000.0,"moves":true,"backups":true,"stride":67,"most":12,"handle-ttl-s":5.0,"switch-time-s":3.0,"pin-ms":4000.0,"hold-ms":2000.0,"models":[{"name":"m"}]}}],
 "limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000},
 "tenants":[{"name":"huka270","api-keys":["2b9wu3fexd9dnn2ctnfz"]}]}"#;

const KEY: &str = "2b9wu3fexd9dnn2ctnfz";

/// Time after which the server before must not work on a request any more that goes on elsewhere.
const MAX_OVERLAP: Duration = Duration::from_millis(400);

/// Time for which a machine has to be undisturbed to be in touch (`contact-ms`).
const CONTACT: Duration = Duration::from_millis(3000);

/// Gap after which clients abandon a stream: two seconds are longer than four times the objective and
/// eight times the pause.
const CLIENT_GAP: Duration = Duration::from_secs(2);

/// Number of servers of each stage. It is the distribution that the system keeps.
const PREFILL_SERVERS: usize = 6;
const DECODE_SERVERS: usize = 3;

/// Number of servers of each stage that lose answers, which is 0.6 of all, and of each ten of their
/// requests that lose it.
const LOSING_PREFILL_SERVERS: usize = 3;
const LOSING_DECODE_SERVERS: usize = 3;
const LOST_OF_TEN: u64 = 3;

/// How long the servers lose answers.
const TROUBLE_TIME: Duration = Duration::from_millis(6000);

/// Interval between two requests.
const INTERVAL: Duration = Duration::from_millis(36);

/// Time between two events of a stream, and their number.
const EVENT_INTERVAL: Duration = Duration::from_millis(36);
const EVENTS: u64 = 90;

/// Interval between checks whether the caller has closed the connection.
const CLOSE_CHECK: Duration = Duration::from_millis(4);

/// Kinds of requests whose lost answers are counted apart.
#[derive(Clone, Copy)]
enum Kind {
    Prompt,
    Whole,
    FromCopy,
}

/// A run of a request at a server.
#[derive(Clone)]
struct Run {
    server: String,
    start: Duration,
    end: Duration,
    is_from_copy: bool,
}

struct World {
    store: Store,
    record: Record,
    /// Servers that lose answers.
    losing: Mutex<Vec<String>>,
    is_trouble_time: AtomicBool,
    /// Requests that these servers got, by kind.
    requests: [AtomicU64; 3],
    runs: Mutex<BTreeMap<String, Vec<Run>>>,
}

fn start_server(world: &Arc<World>, id: &str, stage: &str) -> Arc<Server> {
    let at_server = world.clone();
    let behaviour: Arc<Behaviour> = Arc::new(
        move |server: &Arc<Server>, writer: &mut TcpStream, head: &Head, _: &[u8]| {
            run_request(&at_server, server, writer, head)
        },
    );
    let entry = format!(r#""service":"quote-llm","slots":64,"stage":"{stage}""#);
    Server::start(&world.store, id, &entry, behaviour)
}

fn run_request(
    world: &Arc<World>,
    server: &Arc<Server>,
    writer: &mut TcpStream,
    head: &Head,
) -> bool {
    if head.path().starts_with("/-/kv-list") {
        return server.answer(writer, head, r#"{"epoch":1,"next":1,"held":[]}"#);
    }
    let attempt = head.header("x-attempt-id").unwrap_or_default().to_owned();
    if head.header("x-serving-stage") == Some("prefill") {
        sleep(Duration::from_millis(2));
        if lost_after(world, server, Kind::Prompt).is_some() {
            world.record.add(format!(
                "server {} computes {attempt}; answer lost",
                server.id
            ));
            while is_open(writer) && !server.has_ended() {
                sleep(CLOSE_CHECK);
            }
            return false;
        }
        let body = format!(r#"{{"kv-handle":"h{attempt}","tokens":220,"version":1}}"#);
        return server.answer(writer, head, &body);
    }
    let is_from_copy = head.header("last-event-id").is_some();
    let last = head.header("last-event-id").and_then(|id| id.parse().ok());
    let first = last.unwrap_or(0_u64) + 1;
    let kind = match is_from_copy {
        true => Kind::FromCopy,
        false => Kind::Whole,
    };
    let silent_after = lost_after(world, server, kind);
    let start = world.record.now();
    let line = format!(
        "server {} runs {attempt} from event {first}; backup {}, copy {}{}",
        server.id,
        head.header("x-kv-backup").unwrap_or("-"),
        head.header("x-kv-source").unwrap_or("-"),
        silent_after.map_or(String::new(), |events| format!(
            "; answer lost after {events} events"
        ))
    );
    world.record.add(line);
    let sent = send_events(server, writer, head, first, silent_after);
    let end = world.record.now();
    let outcome = if sent.is_some() { "ends" } else { "is closed" };
    let line = format!("run of {attempt} at {} {outcome}", server.id);
    world.record.add(line);
    let run = Run {
        server: server.id.clone(),
        start,
        end,
        is_from_copy,
    };
    let mut runs = world.runs.lock().expect("not poisoned");
    runs.entry(attempt).or_default().push(run);
    sent.is_some() && silent_after.is_none()
}

/// Number of events after which the answer of this request is lost. Of ten requests of a kind at the
/// servers that lose answers, three do.
fn lost_after(world: &World, server: &Server, kind: Kind) -> Option<u64> {
    let is_losing = world
        .losing
        .lock()
        .expect("not poisoned")
        .contains(&server.id);
    if !is_losing || !world.is_trouble_time.load(Ordering::SeqCst) {
        return None;
    }
    let number = world.requests[kind as usize].fetch_add(1, Ordering::SeqCst);
    let is_lost = number * LOST_OF_TEN % 10 < LOST_OF_TEN;
    let is_odd = number * LOST_OF_TEN / 10 % 2 == 1;
    let is_from_start = match kind {
        Kind::Prompt => true,
        Kind::Whole => is_odd,
        Kind::FromCopy => !is_odd,
    };
    is_lost.then_some(if is_from_start { 0 } else { 3 })
}

/// Works on a stream. Returns `None` if the caller closes the connection before the end.
fn send_events(
    server: &Server,
    writer: &mut TcpStream,
    head: &Head,
    first: u64,
    silent_after: Option<u64>,
) -> Option<()> {
    let id = head.header("x-attempt-id").unwrap_or_default();
    let signature = &server.id;
    let text = format!(
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\
         X-Attempt-Id: {id}\r\nX-Response-Signature: {signature}\r\n\r\n"
    );
    if silent_after != Some(0) {
        writer.write_all(text.as_bytes()).ok()?;
    }
    for event in first..=EVENTS {
        let next_at = Instant::now() + EVENT_INTERVAL;
        let is_silent = silent_after.is_some_and(|events| event >= first + events);
        if !is_silent {
            let text = format!("id: {event}\ndata: e{event}\n\n");
            let chunk = format!("{:x}\r\n{text}\r\n", text.len());
            writer.write_all(chunk.as_bytes()).ok()?;
        }
        while Instant::now() < next_at {
            // A sound server drops a request when its connection closes.
            if !is_open(writer) {
                return None;
            }
            sleep(CLOSE_CHECK);
        }
    }
    if silent_after.is_none() {
        writer.write_all(b"0\r\n\r\n").ok()?;
    }
    Some(())
}

pub fn run(place: &Place) -> Outcome {
    let world = Arc::new(World {
        store: Store::start(),
        record: Record::new(),
        losing: Mutex::default(),
        is_trouble_time: AtomicBool::new(false),
        requests: Default::default(),
        runs: Mutex::default(),
    });
    world.store.put("op/config", CONFIG);
    for number in 0..PREFILL_SERVERS {
        let server = start_server(&world, &format!("i-prefill-{number}"), "prefill");
        if number < LOSING_PREFILL_SERVERS {
            world
                .losing
                .lock()
                .expect("not poisoned")
                .push(server.id.clone());
        }
    }
    for number in 0..DECODE_SERVERS {
        let server = start_server(&world, &format!("i-decode-{number}"), "decode");
        world
            .record
            .add(format!("server {} is at {}", server.id, server.address));
        if number < LOSING_DECODE_SERVERS {
            world
                .losing
                .lock()
                .expect("not poisoned")
                .push(server.id.clone());
        }
    }
    let mut gateways = gateway::prepare(3, &place.root, &place.folder, world.store.address);
    for gateway in &mut gateways {
        gateway.start();
    }
    if !gateways.iter().all(|gateway| gateway.wait_ready()) {
        return Outcome::Failed("a gateway is not ready".into());
    }
    // From here on no machine is disturbed.
    sleep(CONTACT);
    let callers: Vec<_> = gateways.iter().map(|gateway| gateway.callers).collect();
    world
        .is_trouble_time
        .store(place.has_trouble, Ordering::SeqCst);
    let until = Instant::now() + TROUBLE_TIME;
    let answers = Arc::new(Mutex::new(BTreeMap::<String, usize>::new()));
    let mut threads = Vec::new();
    for number in 0_usize.. {
        if Instant::now() >= until {
            break;
        }
        let (world, answers) = (world.clone(), answers.clone());
        let address = callers[number % callers.len()];
        threads.push(std::thread::spawn(move || {
            let outcome = send(address, &world.record, number);
            *answers
                .lock()
                .expect("not poisoned")
                .entry(outcome)
                .or_default() += 1;
        }));
        sleep(INTERVAL);
    }
    world.is_trouble_time.store(false, Ordering::SeqCst);
    for thread in threads {
        // A client thread does not panic.
        let _ = thread.join();
    }
    sleep(Duration::from_secs(1));
    for gateway in &mut gateways {
        gateway.kill();
    }
    sleep(Duration::from_millis(300));
    let (mut broken, mut doubled) = (Vec::new(), 0);
    for (attempt, runs) in world.runs.lock().expect("not poisoned").iter() {
        doubled += runs
            .iter()
            .filter(|run| !run.is_from_copy)
            .count()
            .saturating_sub(1);
        for next in runs.iter().filter(|run| run.is_from_copy) {
            let works_on = |before: &&Run| {
                before.server != next.server
                    && before.start < next.start
                    && before.end > next.start + MAX_OVERLAP
                    && next.end > next.start + MAX_OVERLAP
            };
            if let Some(before) = runs.iter().find(works_on) {
                let both_until = before.end.min(next.end);
                broken.push(format!(
                    "{attempt} goes on at {} at {:.3} s, {} still works on it until {:.3} s: \
                     {} ms at both",
                    next.server,
                    next.start.as_secs_f64(),
                    before.server,
                    before.end.as_secs_f64(),
                    (both_until - next.start).as_millis()
                ));
            }
        }
    }
    let mut summary = vec![
        format!("trouble: {}", place.has_trouble),
        format!(
            "requests at servers that lose answers, of which 3 in 10 lose it: {} prompts, {} runs, \
             {} from a copy",
            world.requests[Kind::Prompt as usize].load(Ordering::SeqCst),
            world.requests[Kind::Whole as usize].load(Ordering::SeqCst),
            world.requests[Kind::FromCopy as usize].load(Ordering::SeqCst)
        ),
        format!("requests that ran again from the start: {doubled}"),
        format!(
            "requests at two servers for more than {} ms: {}",
            MAX_OVERLAP.as_millis(),
            broken.len()
        ),
    ];
    summary.extend(broken.iter().cloned());
    for (outcome, count) in answers.lock().expect("not poisoned").iter() {
        summary.push(format!("streams, {outcome}: {count}"));
    }
    world.record.write(&place.record, &summary);
    println!("{}", summary.join("\n"));
    match broken.is_empty() && doubled == 0 {
        true => Outcome::Held,
        false => Outcome::Broken,
    }
}

fn send(address: SocketAddr, record: &Record, number: usize) -> String {
    let id = format!("r{number:04}");
    let headers = [
        ("Host", "ficu95.example".to_owned()),
        ("X-Attempt-Id", id.clone()),
        ("X-Deadline-Ms", "15000".to_owned()),
        ("Authorization", format!("Bearer {KEY}")),
        ("X-Model-Id", "m".to_owned()),
        ("X-Token-Usage", format!("220,{EVENTS}")),
        (
            "X-Prompt-Prefix",
            format!("5c1e07a2:48,91bd3f06:31,{:x}:141", number + 1000),
        ),
    ];
    record.add(format!("client sends {id} to {address}"));
    let body = format!("ask {id}");
    let answer = call_with_gap(
        address,
        "POST",
        "/lohu930/2f",
        &headers,
        body.as_bytes(),
        CLIENT_GAP,
    );
    let expected: String = (1..=EVENTS)
        .map(|n| format!("id: {n}\ndata: e{n}\n\n"))
        .collect();
    let outcome = match (answer.status, answer.is_complete) {
        (200, true) if answer.body == expected.as_bytes() => "200, whole".to_owned(),
        (200, true) => "200, wrong".to_owned(),
        (status, true) => format!("{status}"),
        (0, false) => "abandoned before the first event".to_owned(),
        (status, false) => format!("{status}, cut off or abandoned"),
    };
    record.add(format!("client gets for {id}: {outcome}"));
    outcome
}
