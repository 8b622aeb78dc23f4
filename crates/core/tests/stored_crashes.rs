//! Crash counts that are stored, and read by vms that start when all others have ended.

use std::time::Duration;

use jujubebeam_core::gateway::{PartCrashes, StoredCrashes};
use jujubebeam_core::quarantine::*;
use jujubebeam_core::{Machine, RouteId, TargetId};
use proptest::prelude::*;

const SECOND: Duration = Duration::from_secs(1);
const EXPIRY: Duration = Duration::from_secs(600);
/// Wall clock at which the first vm started.
const WALL: Duration = Duration::from_secs(1_700_000_000);

struct Vm {
    requests: Quarantine,
    parts: PartCrashes,
}

impl Vm {
    fn start() -> Self {
        Self {
            requests: Quarantine::new(QuarantineConfig {
                refusal_threshold: 3,
                ..QuarantineConfig::default()
            }),
            parts: PartCrashes::default(),
        }
    }

    /// Starts a vm that reads what another one has stored.
    fn restart(stored: &StoredCrashes, now: Duration, wall: Duration) -> Self {
        let mut vm = Self::start();
        vm.restore(stored, now, wall);
        vm
    }

    fn restore(&mut self, stored: &StoredCrashes, now: Duration, wall: Duration) {
        stored.restore(&mut self.requests, &mut self.parts, now, wall);
    }

    fn store(&self, now: Duration, wall: Duration) -> StoredCrashes {
        let stored = StoredCrashes::of(&self.requests, &self.parts, now, wall);
        // As it is written and read.
        rmp_serde::from_slice(&rmp_serde::to_vec_named(&stored).unwrap()).unwrap()
    }

    fn crash(&mut self, request: u32, target: u64, now: Duration) {
        let event = QuarantineEvent::Crashed {
            fingerprint: fingerprint(request),
            target: TargetId(target),
            age: Duration::ZERO,
        };
        self.requests.step(event, now, &mut Vec::new());
    }

    fn complete(&mut self, request: u32, now: Duration) {
        let fingerprint = fingerprint(request);
        let event = QuarantineEvent::Completed { fingerprint };
        self.requests.step(event, now, &mut Vec::new());
    }

    fn refuses(&self, request: u32, now: Duration) -> bool {
        let verdict = self.requests.verdict(fingerprint(request), now);
        matches!(verdict, Verdict::Refuse { .. })
    }
}

fn fingerprint(request: u32) -> Fingerprint {
    Fingerprint::new(RouteId(0), &request.to_be_bytes())
}

/// A vm at which three targets have crashed under request 1 and a prompt part, one a second.
fn refusing_vm() -> (Vm, Fingerprint) {
    let mut vm = Vm::start();
    let part = Fingerprint::of_prompt_part("m", 7);
    for crash in 1..=3 {
        let now = SECOND * 100 * crash;
        vm.crash(1, crash.into(), now);
        vm.parts.crashed(&[part], TargetId(crash.into()), now);
    }
    (vm, part)
}

/// Guards against a request or a prompt part that crashes targets again because all vms were killed.
#[test]
fn a_refusal_outlives_all_vms() {
    let (vm, part) = refusing_vm();
    let stored = vm.store(SECOND * 301, WALL);
    let started = Vm::restart(&stored, SECOND, WALL + SECOND * 10);
    assert!(started.refuses(1, SECOND));
    assert!(started.parts.refused_part(&[part], SECOND).is_some());
}

/// Guards against counts that start anew with each restart, so that a request crashes one target less
/// than the threshold each time.
#[test]
fn a_count_below_the_threshold_goes_on_after_a_restart() {
    let mut vm = Vm::start();
    vm.crash(1, 1, SECOND);
    vm.crash(1, 2, SECOND);
    let mut started = Vm::restart(&vm.store(SECOND, WALL), SECOND, WALL);
    assert!(!started.refuses(1, SECOND));
    started.crash(1, 3, SECOND * 2);
    assert!(started.refuses(1, SECOND * 2));
}

/// Guards against writes for each request that a crashed target had: most of them are sound.
#[test]
fn a_count_of_one_crash_is_not_stored() {
    let mut vm = Vm::start();
    for request in 0..100 {
        vm.crash(request, 1, SECOND);
    }
    assert!(vm.store(SECOND, WALL).is_empty());
}

/// Guards against a sound request that is refused after a restart, although an answer cleared its count:
/// the store was restored from an older copy, or the vm reads it before it writes.
#[test]
fn a_cleared_count_is_neither_stored_nor_merged_again() {
    let (mut vm, _) = refusing_vm();
    let now = SECOND * 301;
    let stored = vm.store(now, WALL);
    vm.complete(1, now);
    assert!(!vm.store(now, WALL).has_same_counts(&stored));
    vm.restore(&stored, now, WALL);
    assert!(!vm.refuses(1, now));
    assert!(!Vm::restart(&vm.store(now, WALL), SECOND, WALL).refuses(1, SECOND));
}

/// Guards against values without a bound, and against counts of sound requests that displace refused
/// ones when a bad release crashes many targets.
#[test]
fn the_number_of_stored_counts_is_bounded_and_refused_requests_come_first() {
    let (mut vm, _) = refusing_vm();
    let now = SECOND * 301;
    for request in 2..1000 {
        vm.crash(request, 1, now);
        vm.crash(request, 2, now);
    }
    let stored = vm.store(now, WALL);
    assert!(stored.len() <= 128, "{}", stored.len());
    assert!(Vm::restart(&stored, SECOND, WALL).refuses(1, SECOND));
}

proptest! {
    /// Guards against a refusal that does not end: it may last no longer than one that was never
    /// stored, whatever restarts there are and wherever the clocks of the vms jump meanwhile.
    #[test]
    fn a_stored_count_expires(
        restarts in proptest::collection::vec((0_u64..200, -100_000_i64..100_000), 1..8),
    ) {
        let mut vm = Vm::start();
        for target in 1..=3 {
            vm.crash(1, target, SECOND);
        }
        let (mut now, mut true_time) = (SECOND, Duration::ZERO);
        for (seconds, jump_s) in restarts {
            now += SECOND * seconds as u32;
            true_time += SECOND * seconds as u32;
            let wall = Duration::from_secs(WALL.as_secs().saturating_add_signed(jump_s));
            let stored = vm.store(now, wall);
            now = SECOND;
            vm = Vm::restart(&stored, now, wall);
            prop_assert!(true_time < EXPIRY || !vm.refuses(1, now));
        }
        prop_assert!(!vm.refuses(1, now + EXPIRY));
    }

    /// Guards against a count that a clock which is behind makes younger, or keeps for longer than it
    /// was written with.
    #[test]
    fn a_clock_that_jumps_extends_no_count(jump_s in -100_000_i64..100_000, age_s in 0_u64..700) {
        let (vm, _) = refusing_vm();
        // The last crash was a second ago.
        let stored = vm.store(SECOND * 301, WALL);
        let jumped = WALL.as_secs().saturating_add_signed(jump_s) + age_s;
        let started = Vm::restart(&stored, SECOND, Duration::from_secs(jumped));
        prop_assert!(!started.refuses(1, SECOND + EXPIRY));
        if jump_s == 0 && age_s < 580 {
            prop_assert!(started.refuses(1, SECOND));
        }
    }
}
