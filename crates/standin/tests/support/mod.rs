//! Starts a fleet of real processes on free ports and handles its faults.

#![allow(dead_code)] // Each test file uses a part.

pub(crate) mod checks;
pub(crate) mod system;

use std::collections::BTreeSet;
use std::io::{Read, Write};
use std::net::{Ipv4Addr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Condvar, Mutex, PoisonError};
use std::time::{Duration, Instant};
use std::{fs, thread};

pub(crate) const KEY: &str = "jbk-example-kits-north";
pub(crate) const BINARY: &str = env!("CARGO_BIN_EXE_jujubebeam-standin");
const PORTS: u16 = 48;
/// Guards against hanging; no verdict depends on it.
const GUARD: Duration = Duration::from_secs(60);
pub(crate) const VMS: u16 = 6;
/// Fleets that run at the same time; more would slow each other down.
const FLEETS: usize = 3;
static RUNNING: Mutex<usize> = Mutex::new(0);
static ENDED: Condvar = Condvar::new();
const ENGINES: u16 = 10;
const SERVICES: u16 = 3;

/// A fleet started by `up`. Dropping it stops all of its processes.
pub(crate) struct Fleet {
    up: Child,
    base: u16,
    /// Processes that were started again after they had ended.
    restarted: Mutex<Vec<Child>>,
}

/// An answer with its status, 0 if the connection failed, and its body as it was sent.
#[derive(Clone, Debug)]
pub(crate) struct Answer {
    pub(crate) status: u16,
    pub(crate) text: String,
}

impl Fleet {
    pub(crate) fn start() -> Self {
        Self::with(&[])
    }

    /// Starts a fleet with options of `up`.
    pub(crate) fn with(options: &[&str]) -> Self {
        let running = RUNNING.lock().unwrap_or_else(PoisonError::into_inner);
        let waited = ENDED.wait_while(running, |running| *running >= FLEETS);
        *waited.unwrap_or_else(PoisonError::into_inner) += 1;
        let base = free_port();
        let mut up = Command::new(BINARY);
        up.args(["up", "--base-port", &base.to_string()])
            .args(options)
            .stdout(Stdio::null());
        let up = spawn(&mut up).expect("the stand-in binary starts");
        let fleet = Self {
            up,
            base,
            restarted: Mutex::default(),
        };
        for vm in 0..VMS {
            // A vm may be ready before it has heard from all targets.
            let mut last = None;
            until(|| {
                let answer = fleet.chat(vm, "ready", 1);
                let whole = answer.is_whole();
                if !whole && last.replace(answer.status) != Some(answer.status) {
                    eprintln!("vm {vm}: {answer:?}");
                }
                whole
            });
        }
        fleet
    }

    pub(crate) fn vm(&self, i: u16) -> u16 {
        self.base + 1 + 2 * i
    }

    pub(crate) fn engines(&self) -> Vec<u16> {
        let first = self.base + 1 + 2 * VMS;
        (first..first + ENGINES).collect()
    }

    pub(crate) fn services(&self) -> Vec<u16> {
        let first = self.base + 1 + 2 * VMS + ENGINES;
        (first..first + SERVICES).collect()
    }

    pub(crate) fn relay(&self) -> u16 {
        // Three spare engines come before the relay.
        self.base + 1 + 2 * VMS + ENGINES + SERVICES + 3
    }

    pub(crate) fn directory(&self) -> PathBuf {
        std::env::temp_dir().join(format!("jujubebeam-up-{}", self.up.id()))
    }

    pub(crate) fn platform(&self) -> u16 {
        self.base
    }

    /// Sends a chat request and reads the answer to its end.
    pub(crate) fn chat(&self, vm: u16, prompt: &str, tokens: u32) -> Answer {
        finish(self.open_chat(vm, prompt, tokens))
    }

    /// Sends a chat request and leaves the answer to be read.
    pub(crate) fn open_chat(&self, vm: u16, prompt: &str, tokens: u32) -> Option<TcpStream> {
        let body = format!(
            r#"{{"model":"darn-7b","stream":true,"max_tokens":{tokens},"messages":[{{"role":"user","content":"{prompt}"}}]}}"#
        );
        let head = format!("Authorization: Bearer {KEY}\r\n");
        send(self.vm(vm), "POST", "/v1/chat/completions", &head, &body)
    }

    pub(crate) fn checkout(&self, vm: u16, key: &str) -> Answer {
        self.checkout_within(vm, key, 30_000)
    }

    /// Sends a checkout with a deadline of its own.
    pub(crate) fn checkout_within(&self, vm: u16, key: &str, deadline_ms: u32) -> Answer {
        let head = format!(
            "Authorization: Bearer {KEY}\r\nIdempotency-Key: {key}\r\n\
             x-jujubebeam-deadline-ms: {deadline_ms}\r\n"
        );
        let body = r#"{"kit":"heel","price_cents":1900}"#;
        finish(send(self.vm(vm), "POST", "/checkout/orders", &head, body))
    }

    pub(crate) fn set_fault(&self, port: u16, change: &str) {
        let answer = finish(send(port, "POST", "/standin/faults", "", change));
        assert_eq!(answer.status, 200, "{answer:?}");
    }

    pub(crate) fn records(&self, port: u16) -> serde_json::Value {
        let answer = finish(send(port, "GET", "/standin/records", "", ""));
        let body = answer.text.split_once("\r\n\r\n").expect("a body").1;
        serde_json::from_str(body).expect("records are JSON")
    }

    /// Id of the process with this text in its arguments. Only children of this fleet are searched.
    pub(crate) fn process(&self, argument: &str) -> u32 {
        let found = |id: &u32| arguments(*id).contains(argument);
        self.processes()
            .into_iter()
            .find(found)
            .unwrap_or_else(|| panic!("no child has {argument:?} in its arguments"))
    }

    pub(crate) fn vm_process(&self, i: u16) -> u32 {
        self.process(&format!("vm-{}.yaml", i + 1))
    }

    /// Sends a signal, such as `KILL`, `STOP` or `CONT`, to a child of this fleet.
    pub(crate) fn signal(&self, process: u32, name: &str) {
        assert!(self.processes().contains(&process));
        signal(process, name);
    }

    fn processes(&self) -> Vec<u32> {
        let mut ids = children(self.up.id());
        let restarted = self.restarted.lock().expect("no test panicked");
        ids.extend(restarted.iter().map(Child::id));
        ids
    }

    /// Starts a process of this fleet again after it has ended.
    pub(crate) fn restart(&self, arguments: &[&str]) {
        let child = spawn(Command::new(BINARY).args(arguments));
        let child = child.expect("the stand-in binary starts");
        let mut restarted = self.restarted.lock().expect("no test panicked");
        restarted.push(child);
    }

    pub(crate) fn restart_vm(&self, i: u16) {
        let file = self.directory().join(format!("vm-{}.yaml", i + 1));
        self.restart(&["vm", "run", "--config", &file.to_string_lossy()]);
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for child in self
            .restarted
            .get_mut()
            .unwrap_or_else(PoisonError::into_inner)
        {
            let _ = child.kill();
            let _ = child.wait();
        }
        signal(self.up.id(), "TERM");
        let _ = self.up.wait();
        *RUNNING.lock().unwrap_or_else(PoisonError::into_inner) -= 1;
        ENDED.notify_one();
    }
}

impl Answer {
    pub(crate) fn is_whole(&self) -> bool {
        self.status == 200 && self.text.contains("data: [DONE]")
    }

    /// Number of tokens from position 0 on that follow each other without a gap or repeat.
    pub(crate) fn tokens(&self) -> Vec<u32> {
        let parts = self.text.split("\"content\":\"stitch").skip(1);
        let number = |p: &str| p.split('-').next().and_then(|n| n.parse().ok());
        parts.filter_map(number).collect()
    }
}

/// Waits until a condition holds.
#[track_caller]
pub(crate) fn until(mut condition: impl FnMut() -> bool) {
    let started = Instant::now();
    while !condition() {
        assert!(started.elapsed() < GUARD, "the condition never held");
        thread::sleep(Duration::from_millis(50));
    }
}

pub(crate) fn children(process: u32) -> Vec<u32> {
    let mut ids = Vec::new();
    for task in fs::read_dir(format!("/proc/{process}/task")).expect("the process runs") {
        let path = task.expect("an entry").path().join("children");
        let text = fs::read_to_string(path).unwrap_or_default();
        ids.extend(
            text.split_whitespace()
                .filter_map(|id| id.parse::<u32>().ok()),
        );
    }
    ids
}

fn arguments(process: u32) -> String {
    let bytes = fs::read(format!("/proc/{process}/cmdline")).unwrap_or_default();
    String::from_utf8_lossy(&bytes).replace('\0', " ")
}

fn signal(process: u32, name: &str) {
    let status = Command::new("kill")
        .args([format!("-{name}"), process.to_string()])
        .status();
    assert!(status.expect("`kill` runs").success());
}

/// Sends a request on a connection of its own. `None` means that the connection was refused.
pub(crate) fn send(
    port: u16,
    method: &str,
    path: &str,
    head: &str,
    body: &str,
) -> Option<TcpStream> {
    let mut stream = TcpStream::connect((Ipv4Addr::LOCALHOST, port)).ok()?;
    stream.set_read_timeout(Some(GUARD)).ok()?;
    let length = body.len();
    let request = format!(
        "{method} {path} HTTP/1.1\r\nHost: localhost\r\nConnection: close\r\n{head}\
         Content-Type: application/json\r\nContent-Length: {length}\r\n\r\n{body}"
    );
    stream.write_all(request.as_bytes()).ok()?;
    Some(stream)
}

/// Reads an answer to its end or to the failure of its connection.
pub(crate) fn finish(stream: Option<TcpStream>) -> Answer {
    let mut bytes = Vec::new();
    if let Some(mut stream) = stream {
        let _ = stream.read_to_end(&mut bytes);
    }
    let text = String::from_utf8_lossy(&bytes).into_owned();
    let status = text.split(' ').nth(1).and_then(|s| s.parse().ok());
    Answer {
        status: status.unwrap_or(0),
        text,
    }
}

/// First ports of the blocks that were given out. The lock is also held while a process starts: a
/// child that is forked while ports are probed holds their sockets until its `exec`, and the process
/// that then wants the port cannot bind it.
static GIVEN: Mutex<BTreeSet<u16>> = Mutex::new(BTreeSet::new());

/// Starts a process.
pub(crate) fn spawn(command: &mut Command) -> std::io::Result<Child> {
    let _given = GIVEN.lock().unwrap_or_else(PoisonError::into_inner);
    command.spawn()
}

/// First port of a block that can be bound now. Test processes start at different places, and no
/// block is given out twice.
pub(crate) fn free_port() -> u16 {
    let mut given = GIVEN.lock().unwrap_or_else(PoisonError::into_inner);
    let start = 24_000 + (std::process::id() % 50) as u16 * 128;
    for base in (start..32_000).chain(24_000..start).step_by(PORTS.into()) {
        if given.contains(&base) {
            continue;
        }
        let bind = |port| TcpListener::bind((Ipv4Addr::LOCALHOST, port));
        let block: Result<Vec<_>, _> = (base..base + PORTS).map(bind).collect();
        if block.is_ok() {
            given.insert(base);
            return base;
        }
    }
    panic!("no free block of ports");
}
