//! Targets that fall silent and go on, several at once, while settings change and vms reload and
//! restart. Their processes are stopped and continued; the kernel still acknowledges what is sent to
//! them, so that connections that are cut off below HTTP are not part of it.

use std::collections::{BTreeMap, HashMap};
use std::io::Write;
use std::net::TcpStream;
use std::ops::RangeInclusive;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::seq::IteratorRandom;
use rand::{Rng, SeedableRng};

use super::callers::Kind;
use super::fleet::{Fleet, LIFETIME};
use super::gap_reader::{End, Received, read};
use super::planned_work::{self, GRACE, LOSS_SLACK, draw};
use super::support::{Call, Store, is_ready, wait_for};
use super::target_process::{Runs, TargetProcess, last_event};

const VMS: usize = 4;
const CALLERS: usize = 32;
/// Time within which changed settings are in force at all vms.
const SETTINGS_BOUND: Duration = Duration::from_secs(2);
/// Services with the number of their targets.
const SERVICES: [(&str, usize); 3] = [("plain", 2), ("spare", 2), ("engines,decode", 6)];
const MAX_SILENT: usize = 3;
const SILENCE_MS: RangeInclusive<u64> = 500..=2500;
/// Gap between events after which the caller of a stream disconnects.
const CALLER_GAP: Duration = Duration::from_secs(2);
/// Time by which the thread of a caller may notice an event late.
const CALLER_DELAY: Duration = Duration::from_millis(50);
const PLAIN_DEADLINE: Duration = Duration::from_secs(4);
const STREAM_DEADLINE: Duration = Duration::from_secs(9);
/// Pause of a caller after a refusal.
const REFUSED_PAUSE: Duration = Duration::from_millis(100);
/// Time before a deadline from which it counts as reached.
const DEADLINE_SLACK: Duration = Duration::from_millis(100);
/// Time after SIGTERM up to which a request may outlast the grace period.
const LATEST_LONG_REQUEST: Duration = Duration::from_secs(3);

struct Request {
    id: String,
    kind: Kind,
    vm: usize,
    sent_at: Instant,
    received: Received,
}

struct Play {
    fleet: Fleet,
    targets: Vec<TargetProcess>,
    runs: Runs,
    /// Vms that were told to stop.
    stops: Mutex<Vec<(usize, Instant)>>,
    finds: Mutex<Vec<String>>,
}

/// Plays a seed and returns what broke.
pub(crate) fn play(seed: u64, duration: Duration) -> Vec<String> {
    let play = Play::start();
    let (began, stop) = (Instant::now(), AtomicBool::new(false));
    let requests: Vec<Request> = std::thread::scope(|scope| {
        let callers: Vec<_> = (0..CALLERS)
            .map(|number| {
                let (play, stop) = (&play, &stop);
                scope.spawn(move || call(play, seed, number, stop))
            })
            .collect();
        let plan = scope.spawn(|| play.plan(seed, duration));
        let end = began + duration + CALLER_GAP;
        while !plan.is_finished() && Instant::now() < end {
            std::thread::sleep(Duration::from_millis(20));
        }
        stop.store(true, Ordering::SeqCst);
        let requests = callers
            .into_iter()
            .flat_map(|caller| caller.join().expect("a caller ends"));
        requests.collect()
    });
    // Targets that were silent until now read what was sent to them.
    std::thread::sleep(LOSS_SLACK);
    let mut finds = play.finds.lock().expect("no test panicked").split_off(0);
    finds.extend(play.check(&requests, began));
    let mut ends = BTreeMap::<_, usize>::new();
    for request in &requests {
        let end = format!("{} {:?}", request.received.status(), request.received.end);
        *ends.entry(end).or_default() += 1;
    }
    let continuations = {
        let runs = play.runs.lock().expect("no test panicked");
        let runs = runs.values().flatten();
        runs.filter(|run| run.is_continuation).count()
    };
    println!(
        "seed {seed}: {} requests, {ends:?}, {continuations} continuations, {} silences, {} \
         stops, {} versions, {} finds",
        requests.len(),
        play.targets
            .iter()
            .map(TargetProcess::silences)
            .sum::<usize>(),
        play.stops.lock().expect("no test panicked").len(),
        play.fleet.settings_version(),
        finds.len()
    );
    if !finds.is_empty() {
        play.fleet.keep_logs(&format!("silent-targets-seed-{seed}"));
    }
    finds
}

/// Settings under which an engine may keep a backup of a run, with time-outs beyond all deadlines.
fn settings(version: u64) -> String {
    let links = r#""kv-tokens":783000,"kv-token-bytes":35000,"link-mbps":370000"#;
    planned_work::settings(version)
        .replace(r#""kv-tokens":783000"#, links)
        .replace(r#""target-latency-ms":4000"#, r#""target-latency-ms":500"#)
        .replace(r#""timeout-ms":"#, r#""timeout-ms":1"#)
}

impl Request {
    fn is_stream(&self) -> bool {
        matches!(self.kind, Kind::Stream | Kind::Verdict)
    }

    /// Whether the body is that of the request, or a beginning of it if the answer is not whole.
    fn is_right(&self) -> bool {
        let Received { text, end, .. } = &self.received;
        let is_whole = *end == End::Whole;
        if !self.is_stream() {
            let body = format!("\r\n\r\nran {}", self.id);
            return !is_whole || text.ends_with(&body);
        }
        let got = super::events(text);
        let last = got.len() as u64;
        got.into_iter().eq(1..=last) && (!is_whole || last == last_event(&self.id))
    }
}

fn deadline(is_stream: bool) -> Duration {
    match is_stream {
        true => STREAM_DEADLINE,
        false => PLAIN_DEADLINE,
    }
}

impl Play {
    fn start() -> Self {
        let (store, runs) = (Store::start(), Runs::default());
        let services = SERVICES.iter();
        let services = services.flat_map(|(service, count)| std::iter::repeat_n(service, *count));
        let targets: Vec<_> = services
            .enumerate()
            .map(|(number, service)| TargetProcess::start(number, service, &runs))
            .collect();
        targets.iter().for_each(|target| target.register(&store));
        let play = Self {
            fleet: Fleet::start_with(store, Vec::new(), VMS, (LIFETIME, GRACE)),
            targets,
            runs,
            stops: Mutex::default(),
            finds: Mutex::default(),
        };
        play.change_settings();
        // The first settings of the vms have time-outs below the deadlines.
        std::thread::sleep(SETTINGS_BOUND);
        play
    }

    fn change_settings(&self) {
        let version = self.fleet.next_settings_version();
        self.fleet.store.put("op/config", &settings(version));
    }

    /// Starts silences and planned work for a time and waits for their end.
    fn plan(&self, seed: u64, duration: Duration) {
        let mut random = SmallRng::seed_from_u64(seed);
        // The number of silences depends on the time that each takes.
        let mut random_silences = SmallRng::seed_from_u64(!seed);
        let end = Instant::now() + duration;
        std::thread::scope(|scope| {
            while Instant::now() < end {
                std::thread::sleep(Duration::from_millis(random.random_range(50..300)));
                let vms = || 0..VMS;
                let first = random.random_range(vms());
                let count = random.random_range(1..=VMS);
                let pause = Duration::from_millis(random.random_range(10..300));
                let is_silent = |target: &&TargetProcess| target.is_silent.load(Ordering::SeqCst);
                let silent = self.targets.iter().filter(is_silent).count();
                for _ in silent..random_silences.random_range(0..=MAX_SILENT) {
                    let time = Duration::from_millis(random_silences.random_range(SILENCE_MS));
                    let others = self.targets.iter().filter(|target| !is_silent(target));
                    let target = others.choose(&mut random_silences);
                    let target = target.expect("most targets are not silent");
                    target.is_silent.store(true, Ordering::SeqCst);
                    scope.spawn(move || target.be_silent(time));
                }
                match random.random_range(0..10) {
                    0..3 => drop(scope.spawn(move || {
                        for _ in 0..count {
                            self.change_settings();
                            std::thread::sleep(pause);
                        }
                    })),
                    3..5 => {
                        if let Ok(vm) = self.fleet.vms[first].try_lock()
                            && vm.listens()
                        {
                            vm.signal("HUP");
                        }
                    }
                    5 => drop(scope.spawn(move || {
                        let in_turn = vms().cycle().skip(first).take(count);
                        let in_time = in_turn.take_while(|_| Instant::now() < end);
                        in_time.for_each(|vm| self.restart(vm));
                    })),
                    _ => {}
                }
            }
        });
    }

    /// Stops a vm and starts it again, unless that is being done.
    fn restart(&self, number: usize) {
        let Ok(mut vm) = self.fleet.vms[number].try_lock() else {
            return;
        };
        let stop = (number, Instant::now());
        self.stops.lock().expect("no test panicked").push(stop);
        if let Err(status) = vm.terminate() {
            let find = format!("vm {number} after SIGTERM: {status}");
            self.finds.lock().expect("no test panicked").push(find);
        }
        vm.start();
        wait_for("a vm is ready", || is_ready(self.fleet.listen(number)));
    }

    /// Whether a request outlasts the grace period of its vm.
    fn outlasts_grace(&self, request: &Request) -> bool {
        let stops = self.stops.lock().expect("no test panicked");
        stops.iter().any(|(vm, stop)| {
            *vm == request.vm
                && request.sent_at <= *stop + LATEST_LONG_REQUEST
                && (*stop + GRACE * 5 / 6..*stop + GRACE * 9 / 8)
                    .contains(&request.received.ended_at)
        })
    }

    fn check(&self, requests: &[Request], began: Instant) -> Vec<String> {
        let all_runs = self.runs.lock().expect("no test panicked");
        let mut finds = Vec::new();
        for request in requests {
            let runs = all_runs.get(&request.id).map_or(&[][..], Vec::as_slice);
            let received = &request.received;
            let (status, ended_at) = (received.status(), received.ended_at);
            let took = ended_at - request.sent_at;
            let gap = ended_at - received.last_at;
            // A target that is silent does not report a request that is withdrawn meanwhile.
            let may_be_unreported = runs.is_empty() || status == 0;
            let silence_since = |from| {
                let targets = self.targets.iter().enumerate().filter(|(number, _)| {
                    may_be_unreported || runs.iter().any(|run| run.target == *number)
                });
                let silences = targets.map(|(_, t)| t.longest_silence(from, ended_at));
                silences.max().unwrap_or_default()
            };
            let mut found = |what: &str| {
                finds.push(format!(
                    "{what}: {} ({:?}) at vm {}, status {status}, events {:?}, {:?} {:?} after the \
                     start, {took:?} after it was sent and {gap:?} after its last event, longest \
                     silence of its targets {:?}, {runs:?}",
                    request.id,
                    request.kind,
                    request.vm,
                    super::events(&received.text),
                    received.end,
                    ended_at - began,
                    silence_since(request.sent_at)
                ));
            };
            let own_runs = runs.iter().filter(|run| !run.is_continuation).count();
            let runs_once = matches!(request.kind, Kind::Charge | Kind::Verdict);
            if runs_once && own_runs > 1 {
                found("ran more than once");
            }
            if runs_once && own_runs > 0 && matches!(status, 408 | 421 | 429 | 503) {
                found("ran although the refusal denies it");
            }
            if status == 200 && !request.is_right() {
                found("wrong answer");
            }
            let is_over = took + DEADLINE_SLACK >= deadline(request.is_stream());
            let is_excused = is_over || self.outlasts_grace(request);
            match (received.end, status) {
                (End::Whole, 200 | 408 | 421 | 429 | 503) => {}
                (End::Whole, 500..)
                    if is_excused
                        || request.is_stream() && silence_since(request.sent_at) >= CALLER_GAP => {}
                (End::Whole, _) => found("failed"),
                (End::CallerLeft, _) => {
                    let since = match is_over {
                        true => request.sent_at,
                        false => received.last_at,
                    };
                    if silence_since(since).is_zero() {
                        found("late, though no target was silent");
                    }
                }
                (End::ConnectionEnded, _) if is_excused => {}
                (End::ConnectionEnded, 0) if runs.is_empty() && took <= LOSS_SLACK => {}
                (End::ConnectionEnded, _)
                    if request.is_stream() && gap + CALLER_DELAY >= CALLER_GAP => {}
                (End::ConnectionEnded, _) => found("LOST"),
            }
        }
        finds
    }
}

/// Sends requests to all vms and keeps the connections.
fn call(play: &Play, seed: u64, number: usize, stop: &AtomicBool) -> Vec<Request> {
    let mut random = SmallRng::seed_from_u64(seed ^ (number as u64 + 1) << 32);
    let mut kept: HashMap<usize, TcpStream> = HashMap::new();
    let mut requests = Vec::new();
    while !stop.load(Ordering::SeqCst) {
        std::thread::sleep(Duration::from_millis(random.random_range(0..10)));
        let vm = random.random_range(0..VMS);
        let open = || TcpStream::connect(play.fleet.listen(vm).callers).ok();
        let Some(mut stream) = kept.remove(&vm).or_else(open) else {
            continue;
        };
        let id = format!("{seed}-{number}-{}", requests.len());
        let (kind, path) = match random.random_range(0..10) {
            0 | 1 => (Kind::Read, "read"),
            2 | 3 => (Kind::Charge, "charge"),
            4..7 => (Kind::Stream, "stream"),
            _ => (Kind::Verdict, "verdict"),
        };
        let is_stream = matches!(kind, Kind::Stream | Kind::Verdict);
        let mut call = Call::post(&format!("/{path}/{id}"), &"body ".repeat(40)).id(&id);
        if is_stream {
            // A prompt that is worth a backup.
            let own_part = draw(&id) as u32;
            call = call
                .header("X-Model-Id: m")
                .header("X-Token-Usage: 1460,80")
                .header(&format!("X-Prompt-Prefix: 5c1e07a2:800,{own_part:x}:660"));
        }
        let deadline = deadline(is_stream);
        let text = String::from_utf8(call.bytes()).expect("a request is text");
        let deadline_line = format!("X-Deadline-Ms: {}\r\n", deadline.as_millis());
        let text = text.replace("X-Deadline-Ms: 4000\r\n", &deadline_line);
        if stream.write_all(text.as_bytes()).is_err() {
            continue;
        }
        let sent_at = Instant::now();
        let gap = if is_stream { CALLER_GAP } else { deadline };
        let received = read(&mut stream, gap, sent_at + deadline);
        if matches!(received.status(), 429 | 503) {
            std::thread::sleep(REFUSED_PAUSE);
        }
        let closes = received.text.to_lowercase().contains("connection: close");
        if received.end == End::Whole && !closes {
            kept.insert(vm, stream);
        }
        requests.push(Request {
            id,
            kind,
            vm,
            sent_at,
            received,
        });
    }
    requests
}
