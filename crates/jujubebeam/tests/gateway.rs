//! The gateway as a process: settings check, start without a store, and shutdown.

use std::net::TcpStream;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

use jujubebeam_testport::reserve_address;

const BINARY: &str = env!("CARGO_BIN_EXE_jujubebeam");

/// Time between SIGTERM and SIGKILL in these tests.
const GRACE: Duration = Duration::from_millis(3000);

struct Settings {
    text: String,
    callers: std::net::SocketAddr,
}

fn settings() -> Settings {
    let callers = reserve_address();
    let text = format!(
        "vm_name: vm-1\nzone: a\nlisten:\n  callers: \"{callers}\"\n  readiness: \"{}\"\n  \
         addresses: \"{}\"\n  peers: \"{}\"\nstore: \"{}\"\naddress_lifetime_ms: 200\n\
         shutdown_grace_ms: {}\nrepeat_ratio: 0.2\nrepeat_allowance: 50\nrepeat_window_ms: 10000\n\
         usage_window_ms: 5000\nusage_due_ms: 10000\n",
        reserve_address(),
        reserve_address(),
        reserve_address(),
        reserve_address(),
        GRACE.as_millis(),
    );
    Settings { text, callers }
}

fn write(name: &str, text: &str) -> String {
    let path = std::env::temp_dir().join(format!("jujubebeam-{}-{name}.yaml", std::process::id()));
    std::fs::write(&path, text).unwrap();
    path.to_string_lossy().into_owned()
}

fn gateway(path: &str) -> Command {
    let mut command = Command::new(BINARY);
    command.args(["gateway", "--config", path]);
    command
}

/// Time after which a process that listens surely handles signals.
const SETTLE: Duration = Duration::from_millis(500);

fn wait_for_exit(child: &mut Child, limit: Duration) -> Option<ExitStatus> {
    let start = Instant::now();
    while start.elapsed() < limit {
        if let Some(status) = child.try_wait().unwrap() {
            return Some(status);
        }
        std::thread::sleep(Duration::from_millis(10));
    }
    child.kill().unwrap();
    None
}

/// Guards against faults in the settings that are found only when a request meets them.
#[test]
fn faults_in_the_settings_are_named() {
    let sound = settings().text;
    let path = write("sound", &sound);
    assert!(gateway(&path).arg("--check").status().unwrap().success());
    for (fault, named) in [
        (sound.replace("zone: a", "zone: a\nzones: b"), "zones"),
        (
            sound.replace("usage_window_ms: 5000", "usage_window_ms: 0"),
            "usage_window_ms",
        ),
        (format!("{sound}workers: 0\n"), "workers"),
        (format!("{sound}prefill_part: 2\n"), "prefill_part"),
        (format!("{sound}regular_part: -1\n"), "regular_part"),
        (
            format!("{sound}stream_gaps:\n  resume_part: 0\n"),
            "resume_part",
        ),
    ] {
        let path = write("fault", &fault);
        let output = gateway(&path).arg("--check").output().unwrap();
        assert_eq!(output.status.code(), Some(2), "{named}");
        let text = String::from_utf8_lossy(&output.stderr).into_owned();
        assert!(text.contains(named), "{named}: {text}");
    }
}

/// Starts a gateway and connects a caller as soon as it listens.
fn start_and_connect(name: &str, poll: Duration) -> (Child, TcpStream) {
    let settings = settings();
    let path = write(name, &settings.text);
    let mut child = gateway(&path).stdout(Stdio::null()).spawn().unwrap();
    let started = Instant::now();
    while started.elapsed() < Duration::from_secs(10) {
        if let Ok(stream) = TcpStream::connect(settings.callers) {
            return (child, stream);
        }
        std::thread::sleep(poll);
    }
    child.kill().unwrap();
    child.wait().unwrap();
    panic!("the gateway does not listen");
}

fn terminate(child: &Child) {
    let signal = Command::new("kill")
        .args(["-TERM", &child.id().to_string()])
        .status();
    assert!(signal.unwrap().success());
}

/// Guards against listeners that open before the process handles SIGTERM, which then ends it without
/// draining. The window is short, so several processes are tried.
#[test]
fn sigterm_right_after_the_listeners_open_is_handled() {
    for attempt in 0..10 {
        let name = format!("early-{attempt}");
        let (mut child, _caller) = start_and_connect(&name, Duration::from_micros(50));
        terminate(&child);
        let status = wait_for_exit(&mut child, GRACE).expect("the process ends");
        assert!(status.success(), "attempt {attempt}: {status}");
    }
}

/// Guards against a shutdown that waits for idle connections of callers until it is killed.
#[test]
fn an_idle_caller_does_not_hold_a_shutdown() {
    let (mut child, idle) = start_and_connect("shutdown", Duration::from_millis(20));
    std::thread::sleep(SETTLE);
    terminate(&child);
    let status = wait_for_exit(&mut child, GRACE);
    drop(idle);
    let status = status.expect("the process ends within its grace period");
    assert!(
        status.success(),
        "{status}: the process ended by the signal alone"
    );
}
