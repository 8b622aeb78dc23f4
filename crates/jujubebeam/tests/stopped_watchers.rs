//! Processes that watch the store for the whole fleet and are stopped while a target leaves.

#[path = "gateway_soak/fleet.rs"]
#[allow(dead_code, reason = "the soak uses more of the fleet")]
mod fleet;
#[path = "../../../platform/tests/support/mod.rs"]
mod support;

use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use jujubebeam_core::VmId;
use jujubebeam_core::membership::is_among_first;

use fleet::{Fleet, PLAIN_SERVERS};
use support::Call;

/// `drain-timeout-ms` of the large site: no request may reach a target later than this after the
/// store has acknowledged that the target leaves.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(4);

/// Time after [`DRAIN_TIMEOUT`] for which late requests are counted.
const LATE_TIME: Duration = Duration::from_millis(1500);

/// Number of vms that watch the store, all of which are stopped.
const WATCHERS: usize = 8;

/// Vms of the fleet. The larger it is, the later a stopped vm is detected.
const VMS: usize = 60;

/// Time in which the vms learn of each other.
const MEMBERSHIP_TIME: Duration = Duration::from_secs(3);

const CALL_PAUSE: Duration = Duration::from_millis(30);

/// Guards against vms that send requests to a removed target because the vms that watch the store
/// for them are stopped, and not detected as stopped in time.
#[test]
fn a_removed_target_gets_no_late_request_while_the_watchers_are_stopped() {
    let fleet = Fleet::with_vms(VMS);
    std::thread::sleep(MEMBERSHIP_TIME);
    // Ends the watches of vms that did not know enough others when they began.
    fleet.targets[PLAIN_SERVERS].register(&fleet.store, "ready");
    let ids: Vec<_> = (0..VMS)
        .map(|vm| VmId(u32::from(fleet.listen(vm).peers.port())))
        .collect();
    let is_watcher = |vm: &usize| is_among_first(ids[*vm], &ids, WATCHERS);
    let stopped: Vec<_> = (0..VMS).filter(is_watcher).collect();
    let stop = AtomicBool::new(false);
    let target = &fleet.targets[0];
    let left_at = std::thread::scope(|scope| {
        for vm in (0..VMS).filter(|vm| !stopped.contains(vm)) {
            let (fleet, stop) = (&fleet, &stop);
            scope.spawn(move || call_until(fleet, vm, stop));
        }
        std::thread::sleep(Duration::from_millis(1000));
        let signal = |name: &str| {
            for vm in &stopped {
                fleet.vms[*vm]
                    .lock()
                    .expect("no test panicked")
                    .signal(name);
            }
        };
        signal("STOP");
        target.unregister(&fleet.store);
        let left_at = Instant::now();
        std::thread::sleep(DRAIN_TIMEOUT + LATE_TIME);
        stop.store(true, Ordering::SeqCst);
        signal("CONT");
        left_at
    });
    let seen = target.server.seen();
    let arrivals = seen.iter().filter_map(|seen| seen.at);
    let after: Vec<_> = arrivals
        .filter_map(|at| at.checked_duration_since(left_at))
        .collect();
    let late = after.iter().copied().filter(|at| *at > DRAIN_TIMEOUT);
    let late: Vec<_> = late.collect();
    println!(
        "{} of {VMS} vms stopped: {} requests after the leave, {} of them late, the last one after \
         {:?}",
        stopped.len(),
        after.len(),
        late.len(),
        after.iter().max()
    );
    assert!(late.is_empty(), "{late:?}");
}

fn call_until(fleet: &Fleet, vm: usize, stop: &AtomicBool) {
    for round in 0.. {
        if stop.load(Ordering::SeqCst) {
            return;
        }
        let id = format!("leaving-{vm}-{round}");
        Call::get("/read/x")
            .id(&id)
            .try_send(fleet.listen(vm).callers);
        std::thread::sleep(CALL_PAUSE);
    }
}
