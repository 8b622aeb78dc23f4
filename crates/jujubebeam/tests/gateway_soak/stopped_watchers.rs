//! Processes that watch the store for the whole fleet and are stopped while a target leaves.

use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use jujubebeam_core::VmId;
use jujubebeam_core::membership::is_among_first;

use super::fleet::Fleet;
use super::support::Call;

/// `drain-timeout-ms` of the large site: no request may reach a target later than this after the store
/// has acknowledged that the target leaves.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(4);

/// Time after [`DRAIN_TIMEOUT`] for which late requests are counted.
const LATE_TIME: Duration = Duration::from_secs(2);

/// Number of vms that watch the store.
const WATCHERS: usize = 8;

/// Vms of a fleet in which some do not watch the store.
const VMS: usize = 14;

/// Time in which the vms learn of each other.
const MEMBERSHIP_TIME: Duration = Duration::from_secs(3);

const CALL_PAUSE: Duration = Duration::from_millis(30);

/// How a target leaves.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Notice {
    Draining,
    Removed,
}

/// Stops this number of watchers and lets a target leave. Returns how long after its leave the target got
/// requests that were late.
pub(crate) fn play(stopped: usize, notice: Notice) -> Vec<Duration> {
    let fleet = Fleet::with_vms(VMS);
    std::thread::sleep(MEMBERSHIP_TIME);
    // Ends the watches of vms that did not know enough others when they began.
    fleet.targets[1].register(&fleet.store, "ready");
    let ids: Vec<_> = (0..VMS)
        .map(|vm| VmId(u32::from(fleet.listen(vm).peers.port())))
        .collect();
    let is_watcher = |vm: &usize| is_among_first(ids[*vm], &ids, WATCHERS);
    let stopped: Vec<_> = (0..VMS).filter(is_watcher).take(stopped).collect();
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
        match notice {
            Notice::Draining => target.register(&fleet.store, "draining"),
            Notice::Removed => target.unregister(&fleet.store),
        }
        let left_at = Instant::now();
        println!("vms {stopped:?} stopped");
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
        "{} of {VMS} vms stopped, {notice:?}: {} requests after the leave, {} of them late, the last \
         one after {:?}",
        stopped.len(),
        after.len(),
        late.len(),
        after.iter().max()
    );
    late
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
