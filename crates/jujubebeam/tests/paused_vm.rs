//! A vm that stands still while targets of a new software version join, as a process of its own.

#[path = "../../../platform/tests/support/mod.rs"]
mod support;

use std::fs::File;
use std::io::Read;
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use jujubebeam_testport::reserve_address;
use support::*;

const BINARY: &str = env!("CARGO_BIN_EXE_jujubebeam");

/// Time for which the vm stands still.
const PAUSE: Duration = Duration::from_secs(2);

/// Rounds in which a lookup is under way when the vm stops, each with a new version.
const ROUNDS: u64 = 4;

/// Streams that are taken up in each.
const STREAMS: usize = 4;

/// A gateway process.
struct Vm {
    child: Child,
    callers: SocketAddr,
    peers: SocketAddr,
}

impl Vm {
    fn start(store: SocketAddr, seeds: &[SocketAddr]) -> Self {
        let addresses: Vec<_> = (0..5).map(|_| reserve_address()).collect();
        let seeds: Vec<_> = seeds.iter().map(|seed| format!("\"{seed}\"")).collect();
        let name = format!("vm-{}", addresses[3].port());
        let text = format!(
            "vm_name: {name}\nzone: a\nlisten:\n  callers: \"{}\"\n  readiness: \"{}\"\n  \
             addresses: \"{}\"\n  peers: \"{}\"\n  metrics: \"{}\"\nseeds: [{}]\nstore: \"{store}\"\n\
             address_lifetime_ms: 2000\nshutdown_grace_ms: 8000\nrepeat_ratio: 0.2\n\
             repeat_allowance: 50\nrepeat_window_ms: 10000\nusage_window_ms: 5000\n\
             usage_due_ms: 10000\n",
            addresses[0],
            addresses[1],
            addresses[2],
            addresses[3],
            addresses[4],
            seeds.join(",")
        );
        let base = std::env::temp_dir().join(format!("jujubebeam-paused-{name}"));
        std::fs::write(base.with_extension("yaml"), text).unwrap();
        let log = File::create(base.with_extension("log")).unwrap();
        let child = Command::new(BINARY)
            .args(["gateway", "--config"])
            .arg(base.with_extension("yaml"))
            .stdout(Stdio::from(log))
            .spawn()
            .unwrap();
        let vm = Self {
            child,
            callers: addresses[0],
            peers: addresses[3],
        };
        wait_for("the gateway is ready", || {
            let answer = Call::get("/-/readiness").try_send(addresses[1]);
            answer.is_some_and(|answer| answer.status == 200)
        });
        vm
    }

    fn signal(&self, name: &str) {
        let mut kill = Command::new("kill");
        let status = kill.args([format!("-{name}"), self.child.id().to_string()]);
        assert!(status.status().unwrap().success());
    }
}

impl Drop for Vm {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// A server whose events name its version, and that sends two of four until a stream is continued.
fn server(version: &str) -> Server {
    let version = version.to_owned();
    Server::start(move |seen| {
        let last = seen.resumes_after();
        let mut steps = events(seen, 1..=1);
        steps.truncate(1);
        for id in last + 1..=last + 2 {
            let text = format!("id: {id}\ndata: {version}\n\n");
            steps.push(Step::Send(chunk(&text)));
        }
        steps.push(match last {
            0 => Step::AwaitClose,
            _ => end_of_events(),
        });
        steps
    })
}

fn put(store: &Store, id: &str, server: &Server, version: &str) {
    let entry = server.entry("engines,decode");
    let entry = entry.replace(r#""version":"v1""#, &format!(r#""version":"{version}""#));
    store.put_server(id, &entry);
}

/// Begins a stream and breaks it off after two events. Returns the version that they name.
fn begin(to: SocketAddr, id: &str) -> String {
    let mut stream = open(to, &Call::post("/stream/x", "talk").id(id));
    let limit = Some(Duration::from_secs(8));
    stream.set_read_timeout(limit).unwrap();
    let (mut text, mut buffer) = (String::new(), [0; 1024]);
    while !text.contains("id: 2\n") || !text.ends_with("\n\n\r\n") {
        let read = stream.read(&mut buffer).unwrap();
        assert!(read > 0, "the stream begins: {text}");
        text.push_str(&String::from_utf8_lossy(&buffer[..read]));
    }
    stream.shutdown(Shutdown::Both).unwrap();
    versions(&text).remove(0)
}

/// Begins streams until some have begun at a version.
fn begin_at(to: SocketAddr, version: &str, name: &str) -> Vec<String> {
    let until = Instant::now() + Duration::from_secs(10);
    let mut begun = Vec::new();
    for number in 0.. {
        assert!(Instant::now() < until, "streams begin at {version}");
        let id = format!("{name}-{number}");
        if begin(to, &id) == version {
            begun.push(id);
        }
        if begun.len() == STREAMS {
            break;
        }
    }
    begun
}

fn versions(text: &str) -> Vec<String> {
    let mut versions: Vec<_> = text
        .lines()
        .filter_map(|line| line.strip_prefix("data: "))
        .collect();
    versions.dedup();
    versions.into_iter().map(str::to_owned).collect()
}

/// Sends a request that takes a stream up.
fn take_up(to: SocketAddr, origin: &str) -> TcpStream {
    let request = Call::post("/stream/x", "talk")
        .id(&format!("{origin}-again"))
        .header("Last-Event-Id: 2")
        .header(&format!("Resumes: {origin}"));
    open(to, &request)
}

fn start_store() -> Store {
    let store = Store::start();
    store.put("op/config", &config(7));
    store
}

/// Guards against streams of a new version that are taken up at a vm which stood still while that
/// version joined, and that go on at the old one or are refused.
#[test]
fn a_stream_taken_up_at_a_vm_that_stood_still_goes_on_at_its_version() {
    let store = start_store();
    let (old, new) = (server("v1"), server("v2"));
    put(&store, "i-1", &old, "v1");
    let first = Vm::start(store.address(), &[]);
    let paused = Vm::start(store.address(), &[first.peers]);
    paused.signal("STOP");
    put(&store, "i-2", &new, "v2");
    let begun = begin_at(first.callers, "v2", "s");
    let taken: Vec<_> = begun.iter().map(|id| take_up(paused.callers, id)).collect();
    std::thread::sleep(PAUSE);
    paused.signal("CONT");
    for mut stream in taken {
        let got = Answer::read(&mut stream);
        assert_eq!(got.status, 200, "{}", got.body);
        assert_eq!(versions(&got.body), ["v2"], "{}", got.body);
    }
}

/// Guards against streams that are refused because the list of targets of a vm that stood still does not
/// have the version yet of which another vm tells it.
#[test]
fn a_stream_of_a_version_that_the_vm_has_not_seen_yet_goes_on() {
    let store = start_store();
    let (old, new) = (server("v1"), server("v2"));
    put(&store, "i-1", &old, "v1");
    let first = Vm::start(store.address(), &[]);
    let link = Proxy::start(store.address());
    let paused = Vm::start(link.address(), &[first.peers]);
    link.set(Fault::Delay(Duration::from_millis(150)));
    paused.signal("STOP");
    put(&store, "i-2", &new, "v2");
    let begun = begin_at(first.callers, "v2", "s");
    let taken: Vec<_> = begun.iter().map(|id| take_up(paused.callers, id)).collect();
    std::thread::sleep(PAUSE);
    paused.signal("CONT");
    for mut stream in taken {
        let got = Answer::read(&mut stream);
        assert_eq!(got.status, 200, "{}", got.body);
        assert_eq!(versions(&got.body), ["v2"], "{}", got.body);
    }
}

/// Guards against the end of a wait for the store, because the vm stood still meanwhile, being taken for
/// the store's silence.
#[test]
fn a_vm_that_stops_within_a_lookup_does_not_join_streams() {
    let store = start_store();
    let old = server("v1");
    put(&store, "i-1", &old, "v1");
    let first = Vm::start(store.address(), &[]);
    let link = Proxy::start(store.address());
    let paused = Vm::start(link.address(), &[first.peers]);
    link.set(Fault::Delay(Duration::from_millis(150)));
    let mut servers = Vec::new();
    for round in 2..2 + ROUNDS {
        let version = format!("v{round}");
        servers.push(server(&version));
        put(
            &store,
            &format!("i-{round}"),
            &servers[servers.len() - 1],
            &version,
        );
        let begun = begin_at(first.callers, &version, &version);
        let taken: Vec<_> = begun.iter().map(|id| take_up(paused.callers, id)).collect();
        std::thread::sleep(Duration::from_millis(40 * (round - 1)));
        paused.signal("STOP");
        std::thread::sleep(PAUSE);
        paused.signal("CONT");
        for mut stream in taken {
            let got = Answer::read(&mut stream);
            let joined = got.status == 200 && versions(&got.body) != [version.clone()];
            assert!(!joined, "{version} goes on as {}", got.body);
        }
    }
}
