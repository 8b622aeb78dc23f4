//! A TCP relay between processes that can be cut and healed. A cut holds bytes back in both
//! directions without closing anything, as a network does that drops packets; when it is healed the
//! held bytes arrive late.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::str::FromStr;
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::thread;

use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

use crate::control::{self, Controlled, lock};

/// Bytes that are forwarded at once.
const CHUNK_BYTES: usize = 16 * 1024;
/// First bytes of an envelope: a map of three fields that begins with `from`. The number of the
/// sending vm follows, in one byte below 128.
const ENVELOPE_MARK: &[u8] = b"\x83\xa4from";

/// Connections that are cut.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct RelayFaults {
    /// Vms that are cut off from the platform.
    platform: Vec<u32>,
    /// Vms that are cut off from all other vms.
    isolated: Vec<u32>,
    /// Pairs of vms that are cut off from each other.
    pairs: Vec<[u32; 2]>,
}

impl RelayFaults {
    fn cuts(&self, link: &Link, source: Option<u32>) -> bool {
        let vm = link.vm;
        if link.kind == Kind::Platform {
            return self.platform.contains(&vm);
        }
        let Some(source) = source else {
            // A connection of an unknown vm could bridge a cut.
            return !self.isolated.is_empty() || self.pairs.iter().any(|p| p.contains(&vm));
        };
        let isolated = |vm| self.isolated.contains(&vm);
        let apart = |p: &[u32; 2]| *p == [vm, source] || *p == [source, vm];
        isolated(vm) || isolated(source) || self.pairs.iter().any(apart)
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Kind {
    /// From a vm to the platform.
    Platform,
    /// From other vms to a vm.
    Peer,
}

/// One listener, written as `KIND,VM,LISTEN,TARGET`.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Link {
    kind: Kind,
    vm: u32,
    listen: SocketAddr,
    target: SocketAddr,
}

impl FromStr for Link {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let wrong = || format!("{text:?} is not KIND,VM,LISTEN,TARGET");
        let parts: Vec<_> = text.split(',').collect();
        let [kind, vm, listen, target] = parts[..] else {
            return Err(wrong());
        };
        let kind = match kind {
            "platform" => Kind::Platform,
            "peer" => Kind::Peer,
            _ => return Err(wrong()),
        };
        Ok(Self {
            kind,
            vm: vm.parse().map_err(|_| wrong())?,
            listen: listen.parse().map_err(|_| wrong())?,
            target: target.parse().map_err(|_| wrong())?,
        })
    }
}

#[derive(Default)]
struct Relay {
    faults: Mutex<RelayFaults>,
    /// A copy of the faults that waiting connections look at.
    seen: Mutex<RelayFaults>,
    changed: Condvar,
}

impl Controlled for Relay {
    type Faults = RelayFaults;

    fn faults(&self) -> &Mutex<RelayFaults> {
        &self.faults
    }

    fn records(&self) -> Value {
        json!({})
    }

    fn faults_changed(&self) {
        *lock(&self.seen) = lock(&self.faults).clone();
        self.changed.notify_all();
    }
}

impl Relay {
    /// Waits while a connection is cut.
    fn pass(&self, link: &Link, source: Option<u32>) {
        let seen = lock(&self.seen);
        let cut = |seen: &mut RelayFaults| seen.cuts(link, source);
        let waited = self.changed.wait_while(seen, cut);
        drop(waited.unwrap_or_else(PoisonError::into_inner));
    }
}

/// Runs a relay until the process is stopped.
pub(crate) fn run(control: SocketAddr, links: Vec<Link>) -> Result<(), String> {
    let relay = Arc::new(Relay::default());
    for link in links {
        let bound = TcpListener::bind(link.listen);
        let listener = bound.map_err(|e| format!("listener {}: {e}", link.listen))?;
        let relay = Arc::clone(&relay);
        thread::spawn(move || accept(&relay, &listener, link));
    }
    crate::serve::run(control, relay, control::configure::<Relay>, |_| {
        std::future::ready(())
    })
}

fn accept(relay: &Arc<Relay>, listener: &TcpListener, link: Link) {
    for stream in listener.incoming().flatten() {
        let relay = Arc::clone(relay);
        thread::spawn(move || forward(&relay, stream, link));
    }
}

/// Forwards one connection. The vm of a peer connection is known from its first envelope, and a
/// connection is used by one vm only.
fn forward(relay: &Arc<Relay>, mut client: TcpStream, link: Link) -> Option<()> {
    let mut first = Vec::new();
    let mut source = None;
    if link.kind == Kind::Peer {
        source = read_source(&mut client, &mut first)?;
    }
    relay.pass(&link, source);
    let mut target = TcpStream::connect(link.target).ok()?;
    let _ = (client.set_nodelay(true), target.set_nodelay(true));
    let (back, back_to) = (target.try_clone().ok()?, client.try_clone().ok()?);
    let answers = Arc::clone(relay);
    thread::spawn(move || pump(&answers, back, back_to, link, source));
    target.write_all(&first).ok()?;
    pump(relay, client, target, link, source);
    Some(())
}

/// Reads until the sender is known, or cannot be known.
fn read_source(client: &mut TcpStream, first: &mut Vec<u8>) -> Option<Option<u32>> {
    let mut chunk = [0; CHUNK_BYTES];
    loop {
        let count = client.read(&mut chunk).ok().filter(|count| *count > 0)?;
        first.extend_from_slice(&chunk[..count]);
        let Some(end) = first.windows(4).position(|w| w == b"\r\n\r\n") else {
            continue;
        };
        if !first.starts_with(b"POST /peer/v1/messages") {
            return Some(None);
        }
        let body = &first[end + 4..];
        if let Some(vm) = body.get(ENVELOPE_MARK.len()) {
            let known = body.starts_with(ENVELOPE_MARK) && *vm < 128;
            return Some(known.then_some(u32::from(*vm)));
        }
    }
}

fn pump(relay: &Relay, mut from: TcpStream, mut to: TcpStream, link: Link, source: Option<u32>) {
    let mut chunk = [0; CHUNK_BYTES];
    loop {
        let count = from.read(&mut chunk).unwrap_or(0);
        relay.pass(&link, source);
        if count == 0 || to.write_all(&chunk[..count]).is_err() {
            break;
        }
    }
    let _ = (to.shutdown(Shutdown::Write), from.shutdown(Shutdown::Read));
}
