//! Planned work in series that overlap: vms stop and start, settings change and targets leave, while
//! callers use every vm until its process is gone.

use std::collections::HashMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::io::Write;
use std::net::{TcpListener, TcpStream};
use std::process::{Child, Command};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::callers::Kind;
use super::fleet::{Fleet, drain_timeout};
use super::support::{
    Answer, Call, Seen, Server, Step, Store, answer, answer_with, config, end_of_events, events,
};

pub(crate) const GRACE: Duration = Duration::from_secs(8);
const LONGEST_ANSWER: Duration = Duration::from_millis(3900);
/// Time after the last byte of a request after which its connection may not end unanswered.
pub(crate) const LOSS_SLACK: Duration = Duration::from_millis(200);
/// Time after a start or a stop for which a vm's late sends are excused.
const CONTACT: Duration = Duration::from_secs(3);
/// Time within which callers notice that a target has ended.
const NOTICE: Duration = Duration::from_millis(500);
const SERVICES: [&str; 3] = ["plain", "spare", "engines,decode"];
const TARGETS_PER_SERVICE: usize = 3;

/// Size and length of a play.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Scale {
    pub(crate) vms: usize,
    pub(crate) duration: Duration,
    /// How long callers may keep the addresses of vms, on which the time of a stop depends.
    pub(crate) lifetime: Duration,
    /// Milliseconds for which vms run and are stopped in turn, like those with a CPU quota.
    pub(crate) quota_ms: Option<(u64, u64)>,
}

struct Target {
    id: String,
    service: &'static str,
    server: Server,
    is_leaving: Arc<AtomicBool>,
    /// When the store accepted that the target leaves.
    left_at: Mutex<Option<Instant>>,
    ended_at: Mutex<Option<Instant>>,
}

struct Request {
    id: String,
    kind: Kind,
    vm: usize,
    /// Requests that the connection had carried before.
    carried: u32,
    /// When the last byte was sent, unless sending failed.
    sent_at: Option<Instant>,
    ended_at: Instant,
    answer: Answer,
}

struct Play {
    fleet: Fleet,
    targets: Mutex<Vec<Arc<Target>>>,
    next_target: AtomicUsize,
    /// Starts and stops of vms.
    restarts: Mutex<Vec<(usize, Instant)>>,
    drain: Duration,
    /// Longest time between the leaving of a target and the arrival of a request of a vm in touch.
    latest_arrival: Mutex<Duration>,
    finds: Mutex<Vec<String>>,
}

/// Plays a seed and returns what broke.
pub(crate) fn play(seed: u64, scale: Scale) -> Vec<String> {
    let play = Play::start(scale);
    let quotas = scale.quota_ms.map(|quota| throttle(&play.fleet, quota));
    let (began, stop) = (Instant::now(), AtomicBool::new(false));
    let requests: Vec<Request> = std::thread::scope(|scope| {
        let callers: Vec<_> = (0..(scale.vms * 4).max(24))
            .map(|number| {
                let (play, stop) = (&play, &stop);
                scope.spawn(move || call(play, seed, number, stop))
            })
            .collect();
        // Callers see the last targets leave. After that, vms without callers stop faster.
        let end = began + scale.duration + play.drain + Duration::from_secs(1);
        let plan = scope.spawn(|| play.plan(seed, scale.duration));
        while !plan.is_finished() && Instant::now() < end {
            std::thread::sleep(Duration::from_millis(20));
        }
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
    finds.extend(play.check(&requests, began));
    let mut statuses = std::collections::BTreeMap::<u16, usize>::new();
    for request in &requests {
        *statuses.entry(request.answer.status).or_default() += 1;
    }
    println!(
        "seed {seed}: {scale:?}, {} restarts, {} targets, statuses {statuses:?}, latest \
         arrival {:?} after a leave, {} finds",
        play.restarts.lock().expect("no test panicked").len() / 2,
        play.targets.lock().expect("no test panicked").len(),
        play.latest_arrival.lock().expect("no test panicked"),
        finds.len()
    );
    if !finds.is_empty() {
        play.fleet.keep_logs(&format!("seed-{seed}"));
    }
    finds
}

/// Stops and continues the vms in turn, in groups of different phase.
pub(crate) fn throttle(fleet: &Fleet, (on_ms, off_ms): (u64, u64)) -> Vec<Child> {
    let files: Vec<_> = fleet
        .vms
        .iter()
        .map(|vm| vm.lock().expect("no test panicked").process_file())
        .collect();
    let groups = files.chunks(files.len().div_ceil(4));
    let start = |(number, group): (usize, &[String])| {
        let script = format!(
            "sleep 0.0{}; while :; do p=; for f in {}; do read -r q < $f && p=\"$p $q\"; done; \
             kill -STOP $p; sleep {}; kill -CONT $p; sleep {}; done 2> /dev/null",
            number * 2,
            group.join(" "),
            off_ms as f64 / 1000.0,
            on_ms as f64 / 1000.0
        );
        let child = Command::new("sh").args(["-c", &script]).spawn();
        child.expect("`sh` runs")
    };
    groups.enumerate().map(start).collect()
}

impl Target {
    fn start(number: usize, service: &'static str, listener: TcpListener) -> Arc<Self> {
        let id = format!("i-{number}");
        let is_leaving = Arc::new(AtomicBool::new(false));
        let (own, leaving) = (id.clone(), is_leaving.clone());
        let server = Server::start_on(listener, move |seen| behave(&own, &leaving, seen));
        Arc::new(Self {
            id,
            service,
            server,
            is_leaving,
            left_at: Mutex::default(),
            ended_at: Mutex::default(),
        })
    }

    fn register(&self, store: &Store, state: &str) {
        let entry = self.server.entry(self.service);
        let entry = entry.replace("\"ready\"", &format!("\"{state}\""));
        store.put_server(&self.id, &entry);
    }
}

/// A number that depends on the id of a request alone.
pub(crate) fn draw(id: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    id.hash(&mut hasher);
    hasher.finish()
}

/// Last event of a stream. The longest streams are still running when their target ends.
fn last_event(id: &str) -> u64 {
    match draw(id) % 24 {
        0..4 => 60,
        4 | 5 => 130,
        _ => 15,
    }
}

fn behave(own: &str, leaving: &AtomicBool, seen: &Seen) -> Vec<Step> {
    if !is_for(own, seen) {
        return answer_with(seen, 421, "X-Not-Executed: 1", "");
    }
    let (id, path) = (seen.id(), seen.path());
    let is_stream = path.starts_with("/stream/") || path.starts_with("/verdict/");
    let mut steps = match is_stream {
        true => events(seen, seen.resumes_after() + 1..=last_event(id)),
        false => answer(seen, 200, &format!("ran {id}")),
    };
    let closes = leaving.load(Ordering::SeqCst);
    if let (true, Some(Step::Send(head))) = (closes, steps.first_mut()) {
        *head = head.replacen("\r\n", "\r\nConnection: close\r\n", 1);
    }
    let pause = match is_stream {
        true => 25,
        false => [5, 20, 40, 300][(draw(id) % 16 / 5) as usize],
    };
    let pause = Step::Pause(Duration::from_millis(pause));
    let mut steps: Vec<_> = steps.into_iter().flat_map(|s| [pause.clone(), s]).collect();
    steps.extend(is_stream.then(end_of_events));
    steps.extend(closes.then_some(Step::Close));
    steps
}

pub(crate) fn is_for(own: &str, seen: &Seen) -> bool {
    seen.header("x-target-instance").is_none_or(|id| id == own)
}

/// Settings that differ from the version before in services, time-outs and an additional key.
pub(crate) fn settings(version: u64) -> String {
    let plain = r#""service":"plain""#;
    let (from, to) = match version % 2 {
        0 => (plain, r#""service":"spare""#),
        _ => ("", ""),
    };
    let timeout_ms = 5000 - version % 3 * 200;
    config(version)
        .replacen(from, to, 1 + (version % 4 / 2) as usize)
        .replace(
            "\"timeout-ms\":5000",
            &format!("\"timeout-ms\":{timeout_ms}"),
        )
        .replace("\"max-connections\":100", "\"max-connections\":1000")
        .replace(
            "\"services\":[",
            r#""services":[{"name":"spare","health-check-path":"/health"},"#,
        )
        .replace("\"api-keys\":[", &format!("\"api-keys\":[\"k{version}\","))
}

impl Play {
    fn start(scale: Scale) -> Self {
        let (store, mut targets) = (Store::start(), Vec::new());
        for number in 0..SERVICES.len() * TARGETS_PER_SERVICE {
            let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
            let target = Target::start(number, SERVICES[number % SERVICES.len()], listener);
            target.register(&store, "ready");
            targets.push(target);
        }
        Self {
            fleet: Fleet::start_with(store, Vec::new(), scale.vms, (scale.lifetime, GRACE)),
            next_target: AtomicUsize::new(targets.len()),
            targets: Mutex::new(targets),
            restarts: Mutex::default(),
            drain: drain_timeout(scale.vms),
            latest_arrival: Mutex::default(),
            finds: Mutex::default(),
        }
    }

    /// Starts planned work for a time and waits for its end.
    fn plan(&self, seed: u64, duration: Duration) {
        let mut random = SmallRng::seed_from_u64(seed);
        let end = Instant::now() + duration;
        std::thread::scope(|scope| {
            while Instant::now() < end {
                std::thread::sleep(Duration::from_millis(random.random_range(50..400)));
                let first = random.random_range(0..self.fleet.vms.len());
                let several = random.random_range(2..=4).min(self.fleet.vms.len());
                let vms = (first..first + several).map(|vm| vm % self.fleet.vms.len());
                let reloads = random.random_bool(0.3);
                let extra = Duration::from_millis(random.random_range(0..1500));
                let (removes, reuses) = (random.random_bool(0.5), random.random_bool(0.4));
                let number = random.random_range(0..SERVICES.len());
                match random.random_range(0..10) {
                    0 => drop(scope.spawn(move || self.restart(first, reloads))),
                    1 => vms.for_each(|vm| drop(scope.spawn(move || self.restart(vm, reloads)))),
                    2 => drop(scope.spawn(move || vms.for_each(|vm| self.restart(vm, reloads)))),
                    3 => {
                        if let Ok(vm) = self.fleet.vms[first].try_lock()
                            && vm.listens()
                        {
                            vm.signal("HUP");
                        }
                    }
                    4 | 5 => {
                        let version = self.fleet.next_settings_version();
                        self.fleet.store.put("op/config", &settings(version));
                    }
                    6 | 7 => drop(scope.spawn(move || {
                        self.replace(SERVICES[number], removes, reuses, extra);
                    })),
                    _ => {
                        for _ in 0..TARGETS_PER_SERVICE {
                            std::thread::sleep(Duration::from_millis(100));
                            scope.spawn(move || {
                                self.replace(SERVICES[number], removes, false, extra);
                            });
                        }
                    }
                }
            }
        });
    }

    fn restart(&self, number: usize, reloads: bool) {
        let mut vm = self.fleet.vms[number].lock().expect("no test panicked");
        if reloads && vm.listens() {
            vm.signal("HUP");
        }
        self.record_restart(number);
        if let Err(status) = vm.terminate() {
            let find = format!("vm {number} after SIGTERM: {status}");
            self.finds.lock().expect("no test panicked").push(find);
        }
        vm.start();
        self.record_restart(number);
    }

    fn record_restart(&self, vm: usize) {
        let mut restarts = self.restarts.lock().expect("no test panicked");
        restarts.push((vm, Instant::now()));
    }

    /// Lets the oldest target of a service leave, and starts another one, at the same address if it
    /// is to be used again.
    fn replace(&self, service: &'static str, removes: bool, reuses: bool, extra: Duration) {
        let store = &self.fleet.store;
        if !reuses {
            self.add(service, TcpListener::bind("127.0.0.1:0").ok());
        }
        let target = {
            let targets = self.targets.lock().expect("no test panicked");
            let mut ready = targets
                .iter()
                .filter(|t| t.service == service && !t.is_leaving.load(Ordering::SeqCst));
            let Some(target) = ready.next().filter(|_| ready.next().is_some()) else {
                return;
            };
            target.is_leaving.store(true, Ordering::SeqCst);
            target.clone()
        };
        match removes {
            true => store.remove_server(&target.id),
            false => target.register(store, "draining"),
        }
        *target.left_at.lock().expect("no test panicked") = Some(Instant::now());
        std::thread::sleep(self.drain + extra);
        *target.ended_at.lock().expect("no test panicked") = Some(Instant::now());
        target.server.end();
        store.remove_server(&target.id);
        if reuses {
            let bind = || {
                std::thread::sleep(Duration::from_millis(20));
                TcpListener::bind(target.server.address()).ok()
            };
            self.add(service, (0..50).find_map(|_| bind()));
        }
    }

    fn add(&self, service: &'static str, listener: Option<TcpListener>) {
        let number = self.next_target.fetch_add(1, Ordering::SeqCst);
        let target = Target::start(number, service, listener.expect("the address is free"));
        target.register(&self.fleet.store, "ready");
        self.targets.lock().expect("no test panicked").push(target);
    }

    /// Whether a vm was neither stopped nor started shortly before.
    fn is_in_touch(&self, vm: usize, at: Instant) -> bool {
        let restarts = self.restarts.lock().expect("no test panicked");
        let mut own = restarts.iter().filter(|(number, _)| *number == vm);
        !own.any(|(_, restart)| *restart <= at && at < *restart + CONTACT)
    }

    fn check(&self, requests: &[Request], began: Instant) -> Vec<String> {
        let targets = self.targets.lock().expect("no test panicked");
        let mut arrivals: HashMap<String, Vec<(&Target, Instant)>> = HashMap::new();
        for target in &*targets {
            for seen in target.server.seen() {
                if let (true, Some(at)) = (is_for(&target.id, &seen), seen.at) {
                    let list = arrivals.entry(seen.id().to_owned()).or_default();
                    list.push((target, at));
                }
            }
        }
        let mut finds = Vec::new();
        let mut latest_arrival = self.latest_arrival.lock().expect("no test panicked");
        for request in requests {
            let arrivals = arrivals.get(&request.id).map_or(&[][..], Vec::as_slice);
            let took = request.sent_at.map(|at| request.ended_at - at);
            let mut found = |what: &str| {
                let at = arrivals.iter().map(|(target, at)| {
                    let left_at = *target.left_at.lock().expect("no test panicked");
                    let ended_at = *target.ended_at.lock().expect("no test panicked");
                    let since = |from: Option<Instant>| from.map(|from| *at - from.min(*at));
                    (&target.id, *at - began, since(left_at), since(ended_at))
                });
                finds.push(format!(
                    "{what}: {} ({:?}) at vm {}, in touch {}, ended {:?} after the start, sent \
                     {took:?} before, carried {}, status {}, body {:?}; target, arrival, time \
                     since it left and ended: {:?}",
                    request.id,
                    request.kind,
                    request.vm,
                    self.is_in_touch(request.vm, request.ended_at),
                    request.ended_at - began,
                    request.carried,
                    request.answer.status,
                    request.answer.body,
                    at.collect::<Vec<_>>()
                ));
            };
            for (target, at) in arrivals {
                let left_at = *target.left_at.lock().expect("no test panicked");
                let late = left_at.map_or(Duration::ZERO, |left| at.duration_since(left));
                if !self.is_in_touch(request.vm, *at) {
                    continue;
                }
                *latest_arrival = latest_arrival.max(late);
                if late > self.drain {
                    found("DRAIN");
                }
            }
            let runs_once = matches!(request.kind, Kind::Charge | Kind::Verdict);
            if runs_once && arrivals.len() > 1 {
                found("ran more than once");
            }
            let target_ended = arrivals.iter().any(|(target, at)| {
                let ended_at = *target.ended_at.lock().expect("no test panicked");
                ended_at.is_some_and(|end| *at <= end + NOTICE && end <= request.ended_at)
            });
            let is_over = took.is_some_and(|took| took >= LONGEST_ANSWER);
            let is_excused = is_over || (runs_once && target_ended);
            let answer = &request.answer;
            match answer.status {
                200 if answer.is_complete => match request.kind {
                    Kind::Read | Kind::Charge if answer.body == format!("ran {}", request.id) => {}
                    Kind::Stream | Kind::Verdict
                        if super::events(&answer.body)
                            .into_iter()
                            .eq(1..=last_event(&request.id)) => {}
                    _ => found("wrong answer"),
                },
                502 | 504 if !is_excused => found("failed"),
                _ if answer.is_complete || is_excused => {}
                _ if !arrivals.is_empty() => found("LOST"),
                _ if took.is_some_and(|took| took > LOSS_SLACK) => found("LOST, not passed on"),
                _ => {}
            }
        }
        finds
    }
}

/// Sends requests to all vms, with the habit of the caller's number.
fn call(play: &Play, seed: u64, number: usize, stop: &AtomicBool) -> Vec<Request> {
    let mut random = SmallRng::seed_from_u64(seed ^ (number as u64 + 1) << 32);
    let mut kept: HashMap<usize, (TcpStream, u32)> = HashMap::new();
    let mut requests = Vec::new();
    let (keeps, pauses) = (!number.is_multiple_of(4), number % 4 == 1);
    while !stop.load(Ordering::SeqCst) {
        std::thread::sleep(Duration::from_millis(random.random_range(0..10)));
        let vm = random.random_range(0..play.fleet.vms.len());
        let open = || Some((TcpStream::connect(play.fleet.listen(vm).callers).ok()?, 0));
        let Some((mut stream, carried)) = kept.remove(&vm).or_else(open) else {
            continue;
        };
        let id = format!("{seed}-{number}-{}", requests.len());
        let (kind, path) = match random.random_range(0..10) {
            0..4 => (Kind::Read, "read"),
            4..7 => (Kind::Charge, "charge"),
            7..9 => (Kind::Stream, "stream"),
            _ => (Kind::Verdict, "verdict"),
        };
        let call = Call::post(&format!("/{path}/{id}"), &"body ".repeat(40)).id(&id);
        let parts: Vec<_> = match number % 8 {
            0..4 => {
                let bytes = call.bytes();
                let (head, rest) = bytes.split_at(bytes.len() - if pauses { 90 } else { 0 });
                vec![head.to_vec(), rest.to_vec()]
            }
            _ => call.chunked_bytes(100),
        };
        let longest_pause_ms = 300 / parts.len() as u64 * u64::from(pauses);
        let sent = parts.iter().try_for_each(|part| {
            let pause_ms = random.random_range(0..=longest_pause_ms);
            std::thread::sleep(Duration::from_millis(pause_ms));
            stream.write_all(part)
        });
        let sent_at = sent.is_ok().then(Instant::now);
        let answer = match sent {
            Ok(()) => Answer::read(&mut stream),
            Err(_) => Answer::default(),
        };
        let closes = answer.head.to_lowercase().contains("connection: close");
        if answer.is_complete && !closes && keeps {
            kept.insert(vm, (stream, carried + 1));
        }
        requests.push(Request {
            id,
            kind,
            vm,
            carried,
            sent_at,
            ended_at: Instant::now(),
            answer,
        });
    }
    requests
}
