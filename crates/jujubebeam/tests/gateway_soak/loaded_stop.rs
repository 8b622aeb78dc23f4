//! Vms that are stopped in turn under load, while callers send large bodies in parts over kept
//! connections, and some engines are silent for a while within a stream.

use std::collections::{BTreeMap, HashMap};
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::fleet::Fleet;
use super::planned_work::{GRACE, LOSS_SLACK, Scale, draw, settings, throttle};
use super::support::{
    Answer, Call, Seen, Server, Step, Store, answer, end_of_events, events, not_executed,
};

const CALLERS: usize = 48;
const PLAIN_SERVERS: usize = 4;
const PREFILL_ENGINES: usize = 4;
const DECODE_ENGINES: usize = 6;
/// Answers after this time may end with the deadline of their callers.
const LONGEST_ANSWER: Duration = Duration::from_millis(3900);
/// One stream in this many is silent after its first event.
const SILENT_OF: u64 = 40;
/// Longest silence. Callers tolerate 2 s.
const MAX_SILENCE_MS: u64 = 1600;
/// Pause of a caller that was refused.
const RETRY_PAUSE: Duration = Duration::from_millis(20);

/// How a caller sends and reads.
#[derive(Clone, Copy, Debug)]
struct Habit {
    is_chunked: bool,
    pauses: bool,
    reads_late: bool,
}

struct Request {
    id: String,
    is_stream: bool,
    habit: Habit,
    body_bytes: usize,
    vm: SocketAddr,
    /// When the last byte was sent, unless sending failed.
    sent_at: Option<Instant>,
    ended_at: Instant,
    answer: Answer,
}

struct Play {
    fleet: Fleet,
    servers: Vec<Server>,
    version: AtomicU64,
    /// Vms that were stopped, and when they got SIGTERM.
    stops: Mutex<Vec<(SocketAddr, Instant)>>,
    finds: Mutex<Vec<String>>,
}

/// Settings under which a stream may have a backup, and callers tolerate a silence of 2 s.
fn loaded_settings(version: u64) -> String {
    let links = r#""kv-tokens":783000,"kv-token-bytes":163840,"link-mbps":10000000"#;
    settings(version)
        .replace(r#""target-latency-ms":4000"#, r#""target-latency-ms":400"#)
        .replace(r#""kv-tokens":783000"#, links)
}

fn last_event(id: &str) -> u64 {
    match draw(id) % 40 {
        0 => 90,
        other => 1 + other % 4,
    }
}

fn pause_ms(ms: u64) -> Step {
    Step::Pause(Duration::from_millis(ms))
}

fn plain(seen: &Seen) -> Vec<Step> {
    let id = seen.id();
    let answer = answer(seen, 200, &format!("ran {id}"));
    [vec![pause_ms(5 + draw(id) % 20)], answer].concat()
}

fn prefill(seen: &Seen) -> Vec<Step> {
    let answer = answer(
        seen,
        200,
        r#"{"kv-handle":"3fa0","tokens":9000,"version":1}"#,
    );
    [vec![pause_ms(10 + draw(seen.id()) % 20)], answer].concat()
}

/// Streams events, and refuses to continue a stream.
fn decode(seen: &Seen) -> Vec<Step> {
    if seen.resumes_after() > 0 {
        return not_executed(seen);
    }
    let number = draw(seen.id());
    let mut steps = events(seen, 1..=last_event(seen.id()));
    let is_silent = (number / 7).is_multiple_of(SILENT_OF);
    steps = steps
        .into_iter()
        .flat_map(|step| [pause_ms(number / 64 % 12), step])
        .collect();
    if is_silent {
        // Behind the head and the first event, with their pauses.
        steps.insert(4, pause_ms(1000 + number / 999 % (MAX_SILENCE_MS - 1000)));
    }
    steps.push(end_of_events());
    steps
}

/// Plays a seed and returns what broke.
pub(crate) fn play(seed: u64, scale: Scale) -> Vec<String> {
    let play = Play::start(scale);
    let quotas = scale.quota_ms.map(|quota| throttle(&play.fleet, quota));
    let (began, stop) = (Instant::now(), AtomicBool::new(false));
    let requests: Vec<Request> = std::thread::scope(|scope| {
        let callers: Vec<_> = (0..CALLERS)
            .map(|number| {
                let (play, stop) = (&play, &stop);
                scope.spawn(move || call(&play.fleet, seed, number, stop))
            })
            .collect();
        play.plan(seed, scale.duration);
        stop.store(true, Ordering::SeqCst);
        let requests = callers
            .into_iter()
            .flat_map(|caller| caller.join().expect("a caller ends"));
        requests.collect()
    });
    for mut quota in quotas.into_iter().flatten() {
        quota.kill().expect("the process is a child");
        quota.wait().expect("the process is a child");
    }
    let mut finds = play.finds.lock().expect("no test panicked").split_off(0);
    finds.extend(play.check(&requests));
    let mut statuses = BTreeMap::<u16, usize>::new();
    for request in &requests {
        *statuses.entry(request.answer.status).or_default() += 1;
    }
    println!(
        "seed {seed}: {scale:?}, {} stops, {} requests in {:?}, statuses {statuses:?}, {} finds",
        play.stops.lock().expect("no test panicked").len(),
        requests.len(),
        began.elapsed(),
        finds.len()
    );
    if !finds.is_empty() {
        play.fleet.keep_logs(&format!("loaded-stop-seed-{seed}"));
    }
    finds
}

impl Play {
    fn start(scale: Scale) -> Self {
        let store = Store::start();
        let mut servers = Vec::new();
        for number in 0..PLAIN_SERVERS + PREFILL_ENGINES + DECODE_ENGINES {
            let (server, role) = match number {
                0..PLAIN_SERVERS => (Server::start(plain), "plain"),
                _ if number < PLAIN_SERVERS + PREFILL_ENGINES => {
                    (Server::start(prefill), "engines,prefill")
                }
                _ => (Server::start(decode), "engines,decode"),
            };
            store.put_server(&format!("i-{number}"), &server.entry(role));
            servers.push(server);
        }
        let fleet = Fleet::start_with(store, Vec::new(), scale.vms, (scale.lifetime, GRACE));
        let play = Self {
            fleet,
            servers,
            version: AtomicU64::new(100),
            stops: Mutex::default(),
            finds: Mutex::default(),
        };
        play.change_settings();
        play
    }

    fn change_settings(&self) {
        let version = self.version.fetch_add(1, Ordering::SeqCst);
        let settings = loaded_settings(version);
        self.fleet.store.put("op/config", &settings);
    }

    /// Stops vms, one after the other and at times several at once, beside SIGHUP and settings.
    fn plan(&self, seed: u64, duration: Duration) {
        let mut random = SmallRng::seed_from_u64(seed);
        let end = Instant::now() + duration;
        std::thread::scope(|scope| {
            let mut number = random.random_range(0..self.fleet.vms.len());
            while Instant::now() < end {
                std::thread::sleep(Duration::from_millis(random.random_range(200..1200)));
                number = (number + random.random_range(1..3)) % self.fleet.vms.len();
                match random.random_range(0..6) {
                    0 => self.change_settings(),
                    1 => {
                        if let Ok(vm) = self.fleet.vms[number].try_lock()
                            && vm.listens()
                        {
                            vm.signal("HUP");
                        }
                    }
                    _ => drop(scope.spawn(move || self.restart(number))),
                }
            }
        });
    }

    fn restart(&self, number: usize) {
        let mut vm = self.fleet.vms[number].lock().expect("no test panicked");
        let stop = (self.fleet.listen(number).callers, Instant::now());
        self.stops.lock().expect("no test panicked").push(stop);
        if let Err(status) = vm.terminate() {
            let find = format!("vm {number} after SIGTERM: {status}");
            self.finds.lock().expect("no test panicked").push(find);
        }
        vm.start();
    }

    fn check(&self, requests: &[Request]) -> Vec<String> {
        let mut runs = HashMap::<String, usize>::new();
        for seen in self.servers.iter().flat_map(Server::seen) {
            *runs.entry(seen.id().to_owned()).or_default() += 1;
        }
        let stops = self.stops.lock().expect("no test panicked");
        let mut finds = Vec::new();
        for request in requests {
            let arrivals = runs.get(&request.id).copied().unwrap_or(0);
            let took = request.sent_at.map(|at| request.ended_at - at);
            let is_over = took.is_some_and(|took| took >= LONGEST_ANSWER);
            let answer = &request.answer;
            let is_right = match request.is_stream {
                true => super::events(&answer.body)
                    .into_iter()
                    .eq(1..=last_event(&request.id)),
                false => answer.body == format!("ran {}", request.id),
            };
            let find = match answer.status {
                200 if answer.is_complete && !is_right => "wrong answer",
                502 | 504 if !is_over => "failed",
                400 | 401 | 404 | 408 => "denied",
                _ if answer.is_complete || is_over => continue,
                _ if arrivals > 0 => "LOST",
                _ if took.is_some_and(|took| took > LOSS_SLACK) => "LOST, not passed on",
                _ => continue,
            };
            let since_stop = stops
                .iter()
                .filter(|(vm, at)| *vm == request.vm && *at <= request.ended_at)
                .map(|(_, at)| request.ended_at - *at)
                .min();
            finds.push(format!(
                "{find}: {} ended {since_stop:?} after SIGTERM, {took:?} after it was sent, \
                 {arrivals} arrivals, {} bytes, {:?}, status {}, body {:?}",
                request.id, request.body_bytes, request.habit, answer.status, answer.body
            ));
        }
        finds
    }
}

/// Vms of which callers may use the addresses, or none if no vm answers.
fn addresses(fleet: &Fleet, random: &mut SmallRng) -> Vec<SocketAddr> {
    let vm = random.random_range(0..fleet.vms.len());
    let query = Call::get("/-/resolve?name=shop.example&region=r&zone=a");
    let answer = query.try_send(fleet.listen(vm).addresses);
    let body = answer.map(|answer| answer.body).unwrap_or_default();
    let value: serde_json::Value = serde_json::from_str(&body).unwrap_or_default();
    let list = value["addresses"].as_array().into_iter().flatten();
    list.filter_map(|address| address.as_str()?.parse().ok())
        .collect()
}

/// Sends requests to the vms whose addresses it gets, with the habit of the caller's number.
fn call(fleet: &Fleet, seed: u64, number: usize, stop: &AtomicBool) -> Vec<Request> {
    let mut random = SmallRng::seed_from_u64(seed ^ (number as u64 + 1) << 32);
    let habit = Habit {
        is_chunked: !number.is_multiple_of(3),
        pauses: number.is_multiple_of(2),
        reads_late: number % 7 == 3,
    };
    // Some callers keep addresses for three times as long.
    let lifetime = super::LIFETIME * if number.is_multiple_of(5) { 3 } else { 1 };
    let mut kept: HashMap<SocketAddr, TcpStream> = HashMap::new();
    let (mut list, mut listed_at) = (Vec::new(), Instant::now());
    let mut requests = Vec::new();
    while !stop.load(Ordering::SeqCst) {
        if list.is_empty() || listed_at.elapsed() > lifetime {
            (list, listed_at) = (addresses(fleet, &mut random), Instant::now());
            kept.retain(|vm, _| list.contains(vm));
        }
        if list.is_empty() {
            std::thread::sleep(RETRY_PAUSE);
            continue;
        }
        let reused = kept.keys().copied().next();
        let reused = reused.filter(|_| random.random_bool(0.8));
        let vm = reused.unwrap_or_else(|| list[random.random_range(0..list.len())]);
        let open = || TcpStream::connect(vm).ok();
        let Some(mut stream) = kept.remove(&vm).or_else(open) else {
            list.retain(|address| *address != vm);
            continue;
        };
        let id = format!("{seed}-{number}-{}", requests.len());
        let is_stream = random.random_bool(0.75);
        let body_bytes = match random.random_range(0..10) {
            0..2 => random.random_range(1..400),
            2..8 => random.random_range(2000..14_000),
            _ => random.random_range(14_000..55_000),
        };
        let body = "b".repeat(body_bytes);
        let request = match is_stream {
            true => {
                let subject = random.random_range(0..40);
                let parts = format!("X-Prompt-Prefix: a{subject:x}:6300,{:x}:2890", draw(&id));
                Call::post(&format!("/verdict/{id}"), &body).header(&parts)
            }
            false => Call::post(&format!("/charge/{id}"), &body),
        };
        let request = request.id(&id);
        let parts = match habit.is_chunked {
            true => request.chunked_bytes(random.random_range(700..9000)),
            false => vec![request.bytes()],
        };
        let longest_ms = match habit.pauses {
            true => [0, 0, 3, 20, 60][random.random_range(0..5)],
            false => 0,
        };
        let sent = parts.iter().try_for_each(|part| {
            let ms = random.random_range(0..=longest_ms);
            std::thread::sleep(Duration::from_millis(ms));
            stream.write_all(part)
        });
        let sent_at = sent.is_ok().then(Instant::now);
        if habit.reads_late {
            std::thread::sleep(Duration::from_millis(random.random_range(0..200)));
        }
        let answer = Answer::read(&mut stream);
        let closes = answer.head.to_lowercase().contains("connection: close");
        if answer.is_complete && !closes {
            kept.insert(vm, stream);
        }
        if matches!(answer.status, 0 | 503) {
            list.retain(|address| *address != vm);
            std::thread::sleep(RETRY_PAUSE);
        }
        requests.push(Request {
            id,
            is_stream,
            habit,
            body_bytes,
            vm,
            sent_at,
            ended_at: Instant::now(),
            answer,
        });
    }
    requests
}
