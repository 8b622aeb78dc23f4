//! The gateways as processes, and the store and servers that they meet through proxies.

use std::collections::HashMap;
use std::fs::File;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::{SocketAddr, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use jujubebeam_gateway::ListenAddresses;
use jujubebeam_testport::reserve_address;

use super::support::{
    Proxy, Seen, Server, Step, Store, answer, end_of_events, events, is_ready, not_executed,
    stating_limit, wait_for,
};

const BINARY: &str = env!("CARGO_BIN_EXE_jujubebeam");
const VMS: usize = 4;
pub(crate) const PLAIN_SERVERS: usize = 3;
const ENGINES: usize = 2;
/// Events of a stream.
pub(crate) const EVENTS: u64 = 15;
/// Events of a stream that lasts longer than the grace period.
const LONG_EVENTS: u64 = 400;
/// Time between SIGTERM and the time at which a vm must have ended.
pub(crate) const GRACE: Duration = Duration::from_millis(3000);
/// How long callers may keep the addresses of vms.
pub(crate) const LIFETIME: Duration = Duration::from_millis(500);
/// Size of a large answer, most of which does not fit into the buffers of sockets.
pub(crate) const LARGE_ANSWER_BYTES: usize = 7 * 1024 * 1024;
/// Pause between two events.
const EVENT_PAUSE: Duration = Duration::from_millis(20);

/// Time after which no request may reach a target that left, which is longer in large fleets.
pub(crate) fn drain_timeout(vms: usize) -> Duration {
    Duration::from_secs(if vms > 12 { 4 } else { 2 })
}

/// A gateway process.
pub(crate) struct Vm {
    child: Option<Child>,
    callers: SocketAddr,
    file: String,
    log: String,
    /// Time between SIGTERM and the time at which the vm must have ended.
    grace: Duration,
    /// The vm's way to the store.
    pub(crate) store: Proxy,
}

/// A server behind a proxy.
pub(crate) struct Target {
    id: String,
    service: &'static str,
    pub(crate) server: Server,
    pub(crate) link: Proxy,
    /// Requests per second that the server states as its limit.
    limit_per_s: Arc<Mutex<Option<f64>>>,
}

/// All processes and stand-ins.
pub(crate) struct Fleet {
    pub(crate) store: Store,
    pub(crate) targets: Vec<Target>,
    pub(crate) vms: Vec<Mutex<Vm>>,
    listen: Vec<ListenAddresses>,
    version: AtomicU64,
}

impl Fleet {
    pub(crate) fn start() -> Self {
        Self::with_vms(VMS)
    }

    pub(crate) fn with_vms(vms: usize) -> Self {
        let targets = (0..PLAIN_SERVERS + ENGINES).map(Target::start).collect();
        Self::start_with(Store::start(), targets, vms, (LIFETIME, GRACE))
    }

    /// Starts vms, up to eight in a zone.
    pub(crate) fn start_with(
        store: Store,
        targets: Vec<Target>,
        vms: usize,
        (lifetime, grace): (Duration, Duration),
    ) -> Self {
        let bound = drain_timeout(vms);
        let listen: Vec<_> = (0..vms).map(|_| addresses()).collect();
        let vms = listen.iter().enumerate().map(|(number, own)| {
            let zone = ["a", "b", "c", "d", "e"][number / 8 % 5];
            let store = Proxy::start(store.address());
            Mutex::new(Vm::new(
                own,
                zone,
                store,
                listen[0].peers,
                (lifetime, grace),
                bound,
            ))
        });
        let fleet = Self {
            vms: vms.collect(),
            store,
            targets,
            listen,
            version: AtomicU64::new(1),
        };
        fleet.change_settings();
        for target in &fleet.targets {
            target.register(&fleet.store, "ready");
        }
        for (vm, listen) in fleet.vms.iter().zip(&fleet.listen) {
            vm.lock().expect("no test panicked").start();
            wait_for("a vm is ready", || is_ready(listen));
        }
        fleet
    }

    pub(crate) fn listen(&self, vm: usize) -> &ListenAddresses {
        &self.listen[vm]
    }

    pub(crate) fn settings_version(&self) -> u64 {
        self.version.load(Ordering::SeqCst)
    }

    /// Writes a newer version of the settings.
    pub(crate) fn change_settings(&self) {
        self.store.put_settings(self.next_settings_version());
    }

    pub(crate) fn next_settings_version(&self) -> u64 {
        self.version.fetch_add(1, Ordering::SeqCst) + 1
    }

    /// Copies the logs of the vms, under a name, to the folder `JUJUBEBEAM_SOAK_LOGS`, if it is set.
    pub(crate) fn keep_logs(&self, name: &str) {
        let Ok(folder) = std::env::var("JUJUBEBEAM_SOAK_LOGS") else {
            return;
        };
        for (number, vm) in self.vms.iter().enumerate() {
            let vm = vm.lock().expect("no test panicked");
            let copy = format!("{folder}/{name}-vm{number}.log");
            std::fs::copy(&vm.log, copy).expect("the log can be copied");
        }
    }

    /// How often servers ran each request.
    pub(crate) fn runs(&self) -> HashMap<String, u32> {
        let mut runs = HashMap::new();
        for target in &self.targets {
            for seen in target.server.seen() {
                if !is_refused(&target.id, seen.id()) {
                    *runs.entry(seen.id().to_owned()).or_insert(0) += 1;
                }
            }
        }
        runs
    }
}

impl Vm {
    fn new(
        listen: &ListenAddresses,
        zone: &str,
        store: Proxy,
        seed: SocketAddr,
        (lifetime, grace): (Duration, Duration),
        bound: Duration,
    ) -> Self {
        let bound_ms = bound.as_millis();
        let name = format!("vm-{}", listen.peers.port());
        let text = format!(
            "vm_name: {name}\nzone: {zone}\nlisten:\n  callers: \"{}\"\n  readiness: \"{}\"\n  \
             addresses: \"{}\"\n  peers: \"{}\"\n  metrics: \"{}\"\nseeds: [\"{seed}\"]\n\
             store: \"{}\"\naddress_lifetime_ms: {}\nshutdown_grace_ms: {}\nrepeat_ratio: 0.2\n\
             repeat_allowance: 50\nrepeat_window_ms: 10000\nusage_window_ms: 5000\n\
             usage_due_ms: 10000\nreplication:\n  settings_bound_ms: {bound_ms}\n  \
             targets_bound_ms: {bound_ms}\n",
            listen.callers,
            listen.readiness,
            listen.addresses,
            listen.peers,
            listen.metrics.expect("an address"),
            store.address(),
            lifetime.as_millis(),
            grace.as_millis(),
        );
        let base = std::env::temp_dir().join(format!("jujubebeam-soak-{name}"));
        let file = base.with_extension("yaml").to_string_lossy().into_owned();
        let log = base.with_extension("log").to_string_lossy().into_owned();
        std::fs::write(&file, text).expect("the settings can be written");
        // Logs of an earlier run with the same ports would mislead.
        let _ = std::fs::remove_file(&log);
        Self {
            child: None,
            callers: listen.callers,
            file,
            log,
            grace,
            store,
        }
    }

    /// File with the id of the running process.
    pub(crate) fn process_file(&self) -> String {
        format!("{}.pid", self.file)
    }

    fn write_process_id(&self) {
        let id = self.child.as_ref().map(|child| format!("{}\n", child.id()));
        std::fs::write(self.process_file(), id.unwrap_or_default()).expect("a file can be written");
    }

    pub(crate) fn listens(&self) -> bool {
        TcpStream::connect(self.callers).is_ok()
    }

    pub(crate) fn start(&mut self) {
        let log = File::options().create(true).append(true).open(&self.log);
        let child = Command::new(BINARY)
            .args(["gateway", "--config", &self.file])
            .stdout(Stdio::from(log.expect("the log can be written")))
            .spawn();
        self.child = Some(child.expect("the gateway starts"));
        self.write_process_id();
    }

    /// Sends a signal, such as `STOP` or `CONT`.
    pub(crate) fn signal(&self, name: &str) {
        if let Some(child) = &self.child {
            let status = Command::new("kill")
                .args([format!("-{name}"), child.id().to_string()])
                .status();
            assert!(status.expect("`kill` runs").success());
        }
    }

    pub(crate) fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            child.kill().expect("the process is a child");
            child.wait().expect("the process is a child");
        }
        self.write_process_id();
    }

    /// Ends the process by SIGTERM. Returns how it ended if not by itself within its time. A process
    /// that does not listen yet has nothing to finish and may end by the signal.
    pub(crate) fn terminate(&mut self) -> Result<(), String> {
        let listens = self.listens();
        self.signal("TERM");
        let Some(mut child) = self.child.take() else {
            return Ok(());
        };
        let told = Instant::now();
        while told.elapsed() < self.grace {
            if let Some(status) = child.try_wait().expect("the process is a child") {
                self.write_process_id();
                return match status.success() || !listens {
                    true => Ok(()),
                    false => Err(status.to_string()),
                };
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        child.kill().expect("the process is a child");
        child.wait().expect("the process is a child");
        self.write_process_id();
        Err("killed at the end of its time".into())
    }
}

impl Drop for Vm {
    fn drop(&mut self) {
        self.kill();
    }
}

impl Target {
    fn start(number: usize) -> Self {
        let id = format!("i-{number}");
        let own = id.clone();
        let limit_per_s = Arc::new(Mutex::new(None));
        let stated = limit_per_s.clone();
        let server = Server::start(move |seen| {
            let limit = *stated.lock().expect("no test panicked");
            match limit {
                Some(per_s) => stating_limit(behave(&own, seen), per_s),
                None => behave(&own, seen),
            }
        });
        let link = Proxy::start(server.address());
        Self {
            id,
            service: match number < PLAIN_SERVERS {
                true => "plain",
                false => "engines,decode",
            },
            server,
            link,
            limit_per_s,
        }
    }

    /// Lets the server state a limit in its answers.
    pub(crate) fn set_limit(&self, per_s: f64) {
        *self.limit_per_s.lock().expect("no test panicked") = Some(per_s);
    }

    /// Writes the server's entry, which names the proxy.
    pub(crate) fn register(&self, store: &Store, state: &str) {
        let entry = self.server.entry_at(self.service, self.link.address());
        let entry = entry.replace("\"ready\"", &format!("\"{state}\""));
        store.put_server(&self.id, &entry);
    }

    pub(crate) fn unregister(&self, store: &Store) {
        store.remove_server(&self.id);
    }
}

fn addresses() -> ListenAddresses {
    ListenAddresses {
        callers: reserve_address(),
        readiness: reserve_address(),
        addresses: reserve_address(),
        peers: reserve_address(),
        metrics: Some(reserve_address()),
    }
}

/// Whether a server refuses a request as not run: one in eight.
fn is_refused(server: &str, request: &str) -> bool {
    let mut hasher = DefaultHasher::new();
    (server, request).hash(&mut hasher);
    hasher.finish().is_multiple_of(8)
}

fn behave(server: &str, seen: &Seen) -> Vec<Step> {
    let (id, path) = (seen.id(), seen.path());
    if is_refused(server, id) {
        return not_executed(seen);
    }
    if path.starts_with("/read/large/") {
        return answer(seen, 200, &"x".repeat(LARGE_ANSWER_BYTES));
    }
    if path.starts_with("/read/") || path.starts_with("/charge/") {
        return answer(seen, 200, &format!("ran {id}"));
    }
    let last = match path.contains("/long/") {
        true => LONG_EVENTS,
        false => EVENTS,
    };
    let steps = events(seen, seen.resumes_after() + 1..=last);
    let with_pauses = steps
        .into_iter()
        .flat_map(|step| [step, Step::Pause(EVENT_PAUSE)]);
    with_pauses.chain([end_of_events()]).collect()
}
