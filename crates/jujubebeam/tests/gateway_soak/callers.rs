//! Callers that use any vm, keep connections, and write down what they got.

use std::collections::HashMap;
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::fleet::Fleet;
use super::support::{Answer, Call};

/// Kind of a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Kind {
    /// May be repeated.
    Read,
    /// Runs once.
    Charge,
    /// A stream that may be resumed.
    Stream,
    /// A stream that runs once.
    Verdict,
}

/// What a caller got for a request.
#[derive(Debug)]
pub(crate) struct Outcome {
    pub(crate) id: String,
    pub(crate) kind: Kind,
    pub(crate) answer: Answer,
    pub(crate) took: Duration,
}

/// Sends requests one after the other until it is told to stop.
pub(crate) fn run(fleet: &Fleet, seed: u64, number: usize, stop: &AtomicBool) -> Vec<Outcome> {
    let mut random = SmallRng::seed_from_u64(seed ^ (number as u64 + 1) << 32);
    let mut kept: HashMap<usize, TcpStream> = HashMap::new();
    let mut outcomes = Vec::new();
    while !stop.load(Ordering::SeqCst) {
        let vm = random.random_range(0..fleet.vms.len());
        let kept_connection = kept.remove(&vm).filter(|_| random.random_bool(0.8));
        let connect = || TcpStream::connect(fleet.listen(vm).callers).ok();
        let Some(mut stream) = kept_connection.or_else(connect) else {
            // The vm is down; another one is tried.
            std::thread::sleep(Duration::from_millis(5));
            continue;
        };
        let id = format!("{seed}-{number}-{}", outcomes.len());
        let (kind, call) = match random.random_range(0..10) {
            0..4 => (Kind::Read, Call::get(&format!("/read/{id}"))),
            4..7 => (Kind::Charge, Call::post(&format!("/charge/{id}"), &id)),
            7..9 => (Kind::Stream, Call::post(&format!("/stream/{id}"), &id)),
            _ => (Kind::Verdict, Call::post(&format!("/verdict/{id}"), &id)),
        };
        let began = Instant::now();
        let answer = call.id(&id).exchange(&mut stream);
        let took = began.elapsed();
        let closes = answer
            .head
            .to_ascii_lowercase()
            .contains("connection: close");
        if answer.is_complete && !closes {
            kept.insert(vm, stream);
        }
        outcomes.push(Outcome {
            id,
            kind,
            answer,
            took,
        });
    }
    outcomes
}
