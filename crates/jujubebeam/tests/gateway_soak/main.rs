//! Random faults against gateways that run as processes of their own, injected from outside them.
//!
//! `JUJUBEBEAM_SOAK_SEEDS=1..50 JUJUBEBEAM_SOAK_SECONDS=10` plays other seeds for longer. Faults of
//! the clock are not part of it: a process reads the clock of the machine, which all share. Planned
//! work and stops under load are also played with more vms (`JUJUBEBEAM_SOAK_VMS=20`), with vms that run for 20 of each 100 ms
//! (`JUJUBEBEAM_SOAK_QUOTA_MS=20..80`) or that stop more slowly (`JUJUBEBEAM_SOAK_LIFETIME_MS=2000`). Logs of failed
//! seeds of planned work, stops under load and silent targets are kept in `JUJUBEBEAM_SOAK_LOGS`.

mod callers;
mod faults;
mod fleet;
mod gap_reader;
mod limits;
mod loaded_stop;
mod planned_stop;
mod planned_work;
mod silent_targets;
#[path = "../../../../platform/tests/support/mod.rs"]
mod support;
mod target_process;

use std::io::{Read, Write};
use std::net::TcpStream;
use std::ops::Range;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use callers::{Kind, Outcome};
use fleet::{EVENTS, Fleet, GRACE, LARGE_ANSWER_BYTES, LIFETIME};
use planned_stop::Habit;
use support::{Call, is_ready, wait_for};

/// Seeds of a test run. Seeds that failed once are added with a line on the cause.
const SEEDS: [u64; 2] = [1, 2];
const DURATION: Duration = Duration::from_secs(4);
/// Duration of a play with limits, which bind from 3 s on and are counted over 4 s.
const LIMITED_DURATION: Duration = Duration::from_secs(16);
/// Duration and vms of a play with planned work.
const PLANNED_DURATION: Duration = Duration::from_secs(2);
const PLANNED_VMS: usize = 4;
/// Duration of a play with silent targets, in which a vm takes several seconds to stop.
const SILENT_DURATION: Duration = Duration::from_secs(8);
const CALLERS: usize = 8;
/// Callers of the vm that is told to stop.
const STOP_CALLERS: usize = 12;

/// A caller waits for 4 s; a vm may be paused for up to 1.2 s and a reply may be under way.
const LONGEST_ANSWER: Duration = Duration::from_millis(6500);

/// Guards against broken promises under faults that come in series and overlap: a request that may
/// run once runs twice, a refusal that says "not run" although a server ran the request, an answer
/// of another request, a stream with a gap or a repeat, a caller without an end, and a fleet that
/// does not recover.
#[test]
fn promises_hold_under_random_faults() {
    let seconds = std::env::var("JUJUBEBEAM_SOAK_SECONDS").ok();
    let duration = seconds
        .and_then(|text| text.parse().ok())
        .map_or(DURATION, Duration::from_secs);
    let mut broken = Vec::new();
    for seed in seeds() {
        let found = play(seed, duration);
        broken.extend(found.into_iter().map(|text| format!("seed {seed}: {text}")));
    }
    assert!(broken.is_empty(), "{}", broken.join("\n"));
}

/// Guards against vms that together exceed the limit of a target while vms are killed, stopped, paused
/// and started, among them the one that grants the permits.
#[test]
fn limits_of_targets_hold_under_random_faults() {
    let seconds = std::env::var("JUJUBEBEAM_SOAK_SECONDS").ok();
    let duration = seconds
        .and_then(|text| text.parse().ok())
        .map_or(LIMITED_DURATION, Duration::from_secs);
    let broken: Vec<_> = seeds()
        .into_iter()
        .flat_map(|seed| {
            let found = limits::play(seed, duration);
            found
                .into_iter()
                .map(move |text| format!("seed {seed}: {text}"))
        })
        .collect();
    assert!(broken.is_empty(), "{}", broken.join("\n"));
}

/// Guards against a vm that is killed at the end of its grace period because a stream lasts longer:
/// on a slow vm, timers are 0.1 s late and the end of the process takes as long.
#[test]
fn a_long_stream_leaves_time_for_the_end_of_the_process() {
    let fleet = Fleet::start();
    let call = Call::post("/verdict/long/1", "long").id("long-1");
    let stream = support::open(fleet.listen(0).callers, &call);
    wait_for("the stream runs", || fleet.runs().contains_key("long-1"));
    let told = Instant::now();
    let ended = fleet.vms[0].lock().expect("no test panicked").terminate();
    let took = told.elapsed();
    drop(stream);
    assert_eq!(ended, Ok(()));
    assert!(took < GRACE - Duration::from_millis(300), "{took:?}");
}

/// Guards against requests that a vm has accepted and cuts when it is told to stop under load: on kept
/// connections, on new ones that wait to be accepted, and with a body that is half read.
#[test]
fn a_planned_stop_cuts_no_request() {
    let fleet = Fleet::start();
    let (told, told_at) = (AtomicBool::new(false), Mutex::new(None));
    let (seen, ended) = std::thread::scope(|scope| {
        let callers: Vec<_> = (0..STOP_CALLERS)
            .map(|number| {
                let habit = [Habit::Keeps, Habit::Opens, Habit::Pauses][number % 3];
                let (fleet, told, told_at) = (&fleet, &told, &told_at);
                scope.spawn(move || planned_stop::call(fleet, number, habit, told, told_at))
            })
            .collect();
        std::thread::sleep(Duration::from_millis(300));
        *told_at.lock().expect("no test panicked") = Some(Instant::now());
        told.store(true, Ordering::SeqCst);
        let ended = fleet.vms[0].lock().expect("no test panicked").terminate();
        let seen = callers
            .into_iter()
            .map(|c| c.join().expect("a caller ends"));
        (seen.collect::<Vec<_>>(), ended)
    });
    assert_eq!(ended, Ok(()));
    let answered: usize = seen.iter().map(|seen| seen.answered).sum();
    assert!(answered > 100, "{answered} answered");
    let all = seen.iter().flat_map(|seen| &seen.cut);
    let (in_queue, cut): (Vec<_>, Vec<_>) = all.partition(|cut| cut.was_in_queue());
    assert!(cut.is_empty(), "{} of {answered} cut: {cut:?}", cut.len());
    // Each caller meets the closing listener once, and goes elsewhere.
    assert!(in_queue.len() <= STOP_CALLERS, "{in_queue:?}");
}

/// Guards against requests that planned work ends without an answer: vms that stop and start one after
/// the other and several at once, changes of settings, and targets that leave and are replaced, at
/// times at the same address. Guards also against requests to a target that left long before.
#[test]
fn planned_work_in_series_loses_no_request() {
    let scale = planned_scale();
    let mut broken = Vec::new();
    for seed in seeds() {
        let found = planned_work::play(seed, scale);
        broken.extend(found.into_iter().map(|text| format!("seed {seed}: {text}")));
    }
    assert!(broken.is_empty(), "{}", broken.join("\n"));
}

/// Guards against answers that are cut when vms are told to stop under load: with bodies of up to 55 KB in
/// parts, prompts and answers at different engines, and engines that are silent within a stream.
#[test]
fn stops_under_load_cut_no_answer() {
    let scale = planned_scale();
    let mut broken = Vec::new();
    for seed in seeds() {
        let found = loaded_stop::play(seed, scale);
        broken.extend(found.into_iter().map(|text| format!("seed {seed}: {text}")));
    }
    assert!(broken.is_empty(), "{}", broken.join("\n"));
}

/// Guards against answers that are cut sooner than their callers would leave, because a target is
/// silent for a while, beside changes of settings, reloads and rolling restarts of vms.
#[test]
fn no_answer_is_cut_while_targets_are_silent() {
    let seconds = std::env::var("JUJUBEBEAM_SOAK_SECONDS").ok();
    let duration = seconds
        .and_then(|text| text.parse().ok())
        .map_or(SILENT_DURATION, Duration::from_secs);
    let mut broken = Vec::new();
    for seed in seeds() {
        let found = silent_targets::play(seed, duration);
        broken.extend(found.into_iter().map(|text| format!("seed {seed}: {text}")));
    }
    assert!(broken.is_empty(), "{}", broken.join("\n"));
}

/// Guards against a stream that is passed on and then cut, long before the end of the grace period,
/// because it arrives on a kept connection while the vm closes its listener.
#[test]
fn a_request_during_the_close_is_finished() {
    let fleet = Fleet::start();
    let address = fleet.listen(0).callers;
    let mut kept = TcpStream::connect(address).expect("the vm listens");
    let first = Call::get("/read/close-1").id("close-1").exchange(&mut kept);
    assert!(first.is_complete);
    std::thread::scope(|scope| {
        scope.spawn(|| fleet.vms[0].lock().expect("no test panicked").terminate());
        wait_for("the listener closes", || {
            TcpStream::connect(address).is_err()
        });
        let stream = Call::post("/verdict/close-2", "close-2").id("close-2");
        let answer = stream.exchange(&mut kept);
        let is_passed_on = fleet.runs().contains_key("close-2");
        assert!(answer.is_complete || !is_passed_on, "{:?}", answer.body);
    });
}

/// Guards against an answer that is cut because its caller reads slowly while the vm ends: the request
/// no longer runs, but not all of its answer is written.
#[test]
fn a_large_answer_is_written_before_the_process_ends() {
    let fleet = Fleet::start();
    let address = fleet.listen(0).callers;
    // The server of ntex counts its connections differently after all have been closed once.
    assert_eq!(
        support::call(address, &Call::get("/read/a").id("a")).status,
        200
    );
    let request = Call::get("/read/large/b").id("b").bytes();
    let mut slow = TcpStream::connect(address).expect("the vm listens");
    slow.write_all(&request).expect("the vm reads");
    std::thread::sleep(Duration::from_millis(500));
    let received = std::thread::scope(|scope| {
        scope.spawn(|| fleet.vms[0].lock().expect("no test panicked").terminate());
        std::thread::sleep(GRACE - Duration::from_millis(1100));
        let mut received = Vec::new();
        // A reset shows as fewer bytes.
        let _ = slow.read_to_end(&mut received);
        received.len()
    });
    assert!(received > LARGE_ANSWER_BYTES, "{received} bytes");
}

/// Size and length of plays with planned work.
fn planned_scale() -> planned_work::Scale {
    let number = |name: &str| -> Option<u64> {
        let text = std::env::var(format!("JUJUBEBEAM_SOAK_{name}"));
        text.ok().map(|text| text.parse().expect("a number"))
    };
    let quota_ms = std::env::var("JUJUBEBEAM_SOAK_QUOTA_MS").ok().map(|text| {
        let (on, off) = text.split_once("..").expect("ON..OFF");
        (on.parse().unwrap(), off.parse().unwrap())
    });
    planned_work::Scale {
        vms: number("VMS").map_or(PLANNED_VMS, |vms| vms as usize),
        duration: number("SECONDS").map_or(PLANNED_DURATION, Duration::from_secs),
        lifetime: number("LIFETIME_MS").map_or(LIFETIME, Duration::from_millis),
        quota_ms,
    }
}

fn seeds() -> Vec<u64> {
    let Ok(text) = std::env::var("JUJUBEBEAM_SOAK_SEEDS") else {
        return SEEDS.to_vec();
    };
    let (first, last) = text.split_once("..").expect("FIRST..LAST");
    let range: Range<u64> = first.parse().unwrap()..last.parse::<u64>().unwrap() + 1;
    range.collect()
}

/// Plays a seed and returns what broke.
fn play(seed: u64, duration: Duration) -> Vec<String> {
    let fleet = Fleet::start();
    let stop = AtomicBool::new(false);
    let (outcomes, injected) = std::thread::scope(|scope| {
        let callers: Vec<_> = (0..CALLERS)
            .map(|number| {
                let (fleet, stop) = (&fleet, &stop);
                scope.spawn(move || callers::run(fleet, seed, number, stop))
            })
            .collect();
        let injected = faults::inject(&fleet, seed, duration);
        stop.store(true, Ordering::SeqCst);
        let outcomes: Vec<Outcome> = callers
            .into_iter()
            .flat_map(|caller| caller.join().expect("a caller ends"))
            .collect();
        (outcomes, injected)
    });
    let mut broken = check(&fleet, &outcomes);
    broken.extend(injected.broken.into_inner().expect("no test panicked"));
    broken.extend(check_recovery(&fleet));
    let answered = outcomes.iter().filter(|o| o.answer.status == 200);
    println!(
        "seed {seed}: {} requests, {} answered, faults {:?}, {} broken promises",
        outcomes.len(),
        answered.count(),
        injected.counts,
        broken.len()
    );
    broken
}

fn check(fleet: &Fleet, outcomes: &[Outcome]) -> Vec<String> {
    let runs = fleet.runs();
    let mut broken = Vec::new();
    for outcome in outcomes {
        let answer = &outcome.answer;
        let ran = runs.get(&outcome.id).copied().unwrap_or(0);
        let mut breaks = |what: &str| {
            broken.push(format!(
                "{what}: {} ({:?}, status {}, ran {ran} times, whole {}, after {:?}): {:?}",
                outcome.id,
                outcome.kind,
                answer.status,
                answer.is_complete,
                outcome.took,
                answer.body
            ));
        };
        if matches!(outcome.kind, Kind::Charge | Kind::Verdict) && ran > 1 {
            breaks("ran more than once");
        }
        // These statuses say that the request has not run.
        let says_not_run = matches!(answer.status, 408 | 421 | 429 | 503);
        if outcome.kind == Kind::Charge && says_not_run && ran > 0 {
            breaks("ran although the refusal denies it");
        }
        if outcome.took > LONGEST_ANSWER {
            breaks("no end within the caller's time");
        }
        if answer.status != 200 {
            continue;
        }
        match outcome.kind {
            Kind::Read | Kind::Charge if answer.is_complete => {
                if answer.body != format!("ran {}", outcome.id) {
                    breaks("answer of another request");
                }
            }
            Kind::Read | Kind::Charge => {}
            Kind::Stream | Kind::Verdict => {
                let got = events(&answer.body);
                let expected: Vec<u64> = (1..=got.len() as u64).collect();
                if got != expected || (answer.is_complete && got.len() as u64 != EVENTS) {
                    breaks("stream with a gap, a repeat or a false end");
                }
            }
        }
    }
    broken
}

/// Ids of whole events.
fn events(body: &str) -> Vec<u64> {
    let whole = body.rsplit_once("\n\n").map_or("", |(whole, _)| whole);
    whole
        .lines()
        .filter_map(|line| line.strip_prefix("id: "))
        .filter_map(|id| id.parse().ok())
        .collect()
}

/// Once all faults are over, every vm serves, knows the newest settings, and ends when told to.
fn check_recovery(fleet: &Fleet) -> Vec<String> {
    let mut broken = Vec::new();
    let healed = Instant::now();
    for vm in 0..fleet.vms.len() {
        let listen = fleet.listen(vm);
        wait_for("a healed vm is ready", || is_ready(listen));
        let newest = format!("jujubebeam_settings_version {}", fleet.settings_version());
        wait_for("a healed vm knows the newest settings", || {
            let metrics = Call::get("/metrics").try_send(listen.metrics.expect("an address"));
            metrics.is_some_and(|answer| answer.body.contains(&newest))
        });
    }
    // Targets that were avoided for up to 4 s are tried again.
    wait_for("reads succeed again", || {
        (0..fleet.vms.len()).all(|vm| {
            let id = format!("healed-{vm}-{:?}", healed.elapsed());
            let call = Call::get(&format!("/read/{id}")).id(&id);
            let answer = call.try_send(fleet.listen(vm).callers);
            answer.is_some_and(|answer| answer.status == 200)
        })
    });
    for vm in 0..fleet.vms.len() {
        if let Err(status) = fleet.vms[vm].lock().expect("no test panicked").terminate() {
            broken.push(format!("vm {vm} did not end by itself: {status}"));
        }
    }
    broken
}
