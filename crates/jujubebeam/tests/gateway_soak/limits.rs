//! Limits that servers state, while vms fail.

use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::fleet::{Fleet, PLAIN_SERVERS};
use super::support::{Answer, Call};

const LIMIT_PER_S: f64 = 8.0;
const CALLERS: usize = 8;

/// Time after the first statement from which a limit binds, and for which a fault excuses its vm.
const CONTACT: Duration = Duration::from_secs(3);
const WINDOW: Duration = Duration::from_secs(4);
/// Time after its first answer with the limit from which a vm's requests count.
const TOLD: Duration = Duration::from_millis(500);
/// Half as many again as the limit allows, and 5.
const MAX_PER_WINDOW: usize = (LIMIT_PER_S * 4.0 * 1.5) as usize + 5;

/// A fault of a vm.
struct Disturbance {
    vm: usize,
    from: Instant,
    until: Instant,
}

/// A request at a server.
#[derive(Clone, Copy)]
struct Arrival {
    vm: usize,
    at: Instant,
}

/// Plays a seed and returns what broke. With an odd seed one server has no limit.
pub(crate) fn play(seed: u64, duration: Duration) -> Vec<String> {
    let fleet = Fleet::start();
    let limited = &fleet.targets[..PLAIN_SERVERS - (seed % 2) as usize];
    for target in limited {
        target.set_limit(LIMIT_PER_S);
    }
    let stop = AtomicBool::new(false);
    let (refusals, disturbances) = std::thread::scope(|scope| {
        let callers: Vec<_> = (0..CALLERS)
            .map(|number| {
                let (fleet, stop) = (&fleet, &stop);
                scope.spawn(move || call(fleet, seed, number, stop))
            })
            .collect();
        let disturbances = disturb(&fleet, seed, duration);
        stop.store(true, Ordering::SeqCst);
        let refusals = callers
            .into_iter()
            .flat_map(|caller| caller.join().expect("a caller ends"));
        (refusals.collect::<Vec<_>>(), disturbances)
    });
    let runs = fleet.runs();
    let untrue = refusals.iter().filter(|id| runs.contains_key(*id));
    let mut broken: Vec<_> = untrue
        .map(|id| format!("ran although the refusal denies it: {id}"))
        .collect();
    for (number, target) in limited.iter().enumerate() {
        let arrivals: Vec<_> = target
            .server
            .seen()
            .iter()
            .filter_map(|seen| {
                let vm = seen.id().rsplit_once("-vm")?.1.parse().ok()?;
                Some(Arrival { vm, at: seen.at? })
            })
            .collect();
        let busiest = busiest_window(&arrivals, &disturbances);
        println!(
            "seed {seed}, server {number}: {} requests, {busiest} counted in the busiest 4 s, {} \
             faults, {} refused",
            arrivals.len(),
            disturbances.len(),
            refusals.len()
        );
        if busiest > MAX_PER_WINDOW {
            broken.push(format!("server {number} got {busiest} requests in 4 s"));
        }
        if arrivals.is_empty() {
            broken.push(format!("server {number} got no requests"));
        }
    }
    broken
}

/// Sends charges and returns the ids of those that were refused as not run.
fn call(fleet: &Fleet, seed: u64, number: usize, stop: &AtomicBool) -> Vec<String> {
    let mut random = SmallRng::seed_from_u64(seed ^ (number as u64 + 1) << 32);
    let mut refused = Vec::new();
    for round in 0.. {
        if stop.load(Ordering::SeqCst) {
            break;
        }
        std::thread::sleep(Duration::from_millis(random.random_range(5..25)));
        let vm = random.random_range(0..fleet.vms.len());
        let id = format!("{seed}-{number}-{round}-vm{vm}");
        let call = Call::post(&format!("/charge/{id}"), &id).id(&id);
        let answer: Option<Answer> = call.try_send(fleet.listen(vm).callers);
        if answer.is_some_and(|answer| matches!(answer.status, 429 | 503)) {
            refused.push(id);
        }
    }
    refused
}

/// Pauses, kills and stops vms, one after the other and overlapping.
fn disturb(fleet: &Fleet, seed: u64, duration: Duration) -> Vec<Disturbance> {
    let mut random = SmallRng::seed_from_u64(seed);
    let disturbances = Mutex::new(Vec::new());
    let end = Instant::now() + duration;
    std::thread::scope(|scope| {
        while Instant::now() < end {
            std::thread::sleep(Duration::from_millis(random.random_range(500..2500)));
            let vm = random.random_range(0..fleet.vms.len());
            let lasts = Duration::from_millis(random.random_range(300..1500));
            let kind = random.random_range(0..3);
            let disturbances = &disturbances;
            scope.spawn(move || {
                let mut process = fleet.vms[vm].lock().expect("no test panicked");
                let from = Instant::now();
                match kind {
                    0 => {
                        process.signal("STOP");
                        std::thread::sleep(lasts);
                        process.signal("CONT");
                    }
                    1 => {
                        process.kill();
                        std::thread::sleep(lasts);
                        process.start();
                    }
                    _ => {
                        // Checked by the other plays.
                        let _ = process.terminate();
                        process.start();
                    }
                }
                let until = Instant::now();
                let disturbance = Disturbance { vm, from, until };
                disturbances
                    .lock()
                    .expect("no test panicked")
                    .push(disturbance);
            });
        }
    });
    disturbances.into_inner().expect("no test panicked")
}

/// Most requests of undisturbed vms in a window.
fn busiest_window(arrivals: &[Arrival], disturbances: &[Disturbance]) -> usize {
    let Some(first) = arrivals.first() else {
        return 0;
    };
    let counted: Vec<_> = arrivals
        .iter()
        .filter(|arrival| counts(arrival, arrivals, disturbances))
        .map(|arrival| arrival.at)
        .filter(|at| *at >= first.at + CONTACT)
        .collect();
    let in_window = |start: &Instant| {
        let window = *start..*start + WINDOW;
        counted.iter().filter(|at| window.contains(at)).count()
    };
    counted.iter().map(in_window).max().unwrap_or(0)
}

/// Whether a request is from a vm that has heard of the limit and that no fault excuses.
fn counts(arrival: &Arrival, arrivals: &[Arrival], disturbances: &[Disturbance]) -> bool {
    let own = disturbances.iter().filter(|d| d.vm == arrival.vm);
    let earlier = own.filter(|d| d.from <= arrival.at);
    let excused_until = earlier.map(|d| d.until).max();
    if excused_until.is_some_and(|until| arrival.at < until + CONTACT) {
        return false;
    }
    let heard = arrivals.iter().filter(|heard| {
        heard.vm == arrival.vm && excused_until.is_none_or(|until| heard.at > until)
    });
    heard
        .map(|heard| heard.at)
        .min()
        .is_some_and(|at| at + TOLD <= arrival.at)
}
