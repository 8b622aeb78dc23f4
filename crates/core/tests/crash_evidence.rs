//! Attempts without an answer, and whether the crashes of their targets are found.

use std::cell::Cell;
use std::time::Duration;

use jujubebeam_core::gateway::{
    CrashEvidence, EvidenceOutcome, EvidenceStep, IdentifyingFields, RequestIdentity, RunState,
    TargetKey, TargetRun, UnansweredAttempt,
};

/// Interval between steps.
const STEP: Duration = Duration::from_millis(100);

/// Time after a crash in which it must be known.
const CONTACT: Duration = Duration::from_secs(3);

const SUSPECT: TargetKey = TargetKey(1);
const OTHER: TargetKey = TargetKey(2);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn attempt(path: &str, silent_since: Duration) -> UnansweredAttempt {
    UnansweredAttempt {
        attempt_id: path.to_owned(),
        identity: RequestIdentity::new(&IdentifyingFields {
            method: "GET",
            path,
            query: None,
            tenant: None,
            model: None,
            prompt_parts: &[],
            body: b"",
        }),
        run: TargetRun {
            id: "i-1".into(),
            address: "127.0.0.1:1".into(),
            born_ms: 1,
        },
        service: "plain".into(),
        silent_since,
    }
}

/// A vm with evidence, whose targets answer health checks or not.
struct Vm {
    evidence: CrashEvidence,
    now: Duration,
    /// Whether the suspect and the other target answer health checks.
    answers: Cell<(bool, bool)>,
    state: RunState,
    settled: Vec<(Duration, EvidenceOutcome)>,
    probes: usize,
}

impl Vm {
    fn new() -> Self {
        Self {
            evidence: CrashEvidence::default(),
            now: ms(10_000),
            answers: Cell::new((false, true)),
            state: RunState::Listed,
            settled: Vec::new(),
            probes: 0,
        }
    }

    /// An attempt was sent at `sent`, and ended now.
    fn ended(&mut self, sent: Duration) {
        self.evidence.ended(SUSPECT, attempt("/a", sent), self.now);
    }

    fn step(&mut self) {
        let state = self.state;
        for step in self.evidence.step(|_, _| state, self.now) {
            match step {
                EvidenceStep::Probe {
                    needs_comparison, ..
                } => {
                    self.probes += 1;
                    let (suspect, other) = self.answers.get();
                    if suspect {
                        self.evidence.answered(SUSPECT, self.now + ms(5));
                    }
                    if needs_comparison && other {
                        self.evidence.answered(OTHER, self.now + ms(5));
                    }
                }
                EvidenceStep::Settled { outcome, .. } => self.settled.push((self.now, outcome)),
            }
        }
    }

    fn run_for(&mut self, time: Duration) {
        let until = self.now + time;
        while self.now < until {
            self.now += STEP;
            self.step();
        }
    }

    fn outcomes(&self) -> Vec<EvidenceOutcome> {
        self.settled.iter().map(|(_, outcome)| *outcome).collect()
    }
}

/// Guards against a crash that becomes known too late to refuse the request in time.
#[test]
fn a_silent_target_has_crashed_within_the_time_to_refuse_its_request() {
    for ended_after in [ms(100), ms(800), ms(2000), ms(2400)] {
        let mut vm = Vm::new();
        vm.run_for(ms(500));
        let sent = vm.now;
        vm.run_for(ended_after);
        vm.ended(sent);
        vm.run_for(ms(4000));
        let settled: Vec<_> = vm.settled.clone();
        assert_eq!(vm.outcomes(), [EvidenceOutcome::Silent], "{ended_after:?}");
        assert!(settled[0].0 <= sent + CONTACT, "{settled:?}");
    }
}

/// Guards against a sound target that counts as crashed because it was silent for a second.
#[test]
fn a_target_that_pauses_has_not_crashed() {
    for silent in [ms(300), ms(1000), ms(1500)] {
        let mut vm = Vm::new();
        let sent = vm.now;
        vm.run_for(ms(200));
        vm.ended(sent);
        vm.run_for(silent);
        vm.answers.set((true, true));
        // It goes on with the health checks that it got meanwhile.
        if vm.probes > 0 {
            vm.evidence.answered(SUSPECT, vm.now);
        }
        vm.run_for(ms(4000));
        assert_eq!(vm.outcomes(), [EvidenceOutcome::Answered], "{silent:?}");
    }
}

/// Guards against the silence of all targets being taken for their crash by a vm that reaches none.
#[test]
fn a_vm_that_reaches_no_target_finds_no_crash() {
    let mut vm = Vm::new();
    vm.answers.set((false, false));
    let sent = vm.now;
    vm.run_for(ms(800));
    vm.ended(sent);
    vm.run_for(ms(20_000));
    assert!(vm.settled.is_empty(), "{:?}", vm.settled);
    vm.answers.set((true, true));
    // Later answers still show that the target is alive.
    vm.evidence.answered(SUSPECT, vm.now);
    vm.run_for(ms(200));
    assert_eq!(vm.outcomes(), [EvidenceOutcome::Answered]);
}

/// Guards against the pause of a vm being taken for the silence of its targets.
#[test]
fn a_vm_that_was_stopped_does_not_take_its_pause_for_silence() {
    let mut vm = Vm::new();
    vm.answers.set((false, true));
    vm.run_for(ms(200));
    let sent = vm.now;
    vm.run_for(ms(700));
    vm.ended(sent);
    vm.run_for(ms(300));
    vm.now += ms(5000);
    vm.step();
    assert!(vm.settled.is_empty(), "{:?}", vm.settled);
    vm.evidence.answered(SUSPECT, vm.now);
    vm.run_for(ms(3000));
    assert_eq!(vm.outcomes(), [EvidenceOutcome::Answered]);
}

/// Guards against a crash that is not seen because answers to other requests were read before it.
#[test]
fn answers_before_the_end_of_an_attempt_do_not_clear_it() {
    let mut vm = Vm::new();
    let sent = vm.now;
    vm.run_for(ms(300));
    vm.evidence.answered(SUSPECT, vm.now);
    vm.run_for(ms(500));
    vm.ended(sent);
    vm.run_for(ms(1400));
    assert!(vm.settled.is_empty(), "silent for 1.9 s: {:?}", vm.settled);
    vm.run_for(ms(500));
    assert_eq!(vm.outcomes(), [EvidenceOutcome::Silent]);
}

/// Guards against a crash that is not seen because the target is back before it counts as silent, and
/// against planned ends that count as crashes.
#[test]
fn the_entry_of_a_target_shows_what_became_of_it() {
    let cases = [
        (RunState::Replaced, EvidenceOutcome::Replaced),
        (RunState::Leaving, EvidenceOutcome::Leaving),
        (RunState::Gone, EvidenceOutcome::Silent),
    ];
    for (state, outcome) in cases {
        let mut vm = Vm::new();
        // An entry that is gone needs no other target for comparison.
        vm.answers.set((false, false));
        let sent = vm.now;
        vm.run_for(ms(300));
        vm.ended(sent);
        vm.state = state;
        vm.run_for(ms(1200));
        assert_eq!(vm.outcomes(), [outcome], "{state:?}");
    }
}

/// Guards against a count for a request that another target has answered, and against probes without
/// an end.
#[test]
fn a_completed_request_leaves_no_evidence() {
    let mut vm = Vm::new();
    let sent = vm.now;
    vm.run_for(ms(800));
    vm.ended(sent);
    let identity = attempt("/a", sent).identity;
    vm.evidence.completed(identity.request());
    vm.run_for(ms(5000));
    assert!(vm.settled.is_empty() && vm.evidence.is_empty());
    assert_eq!(vm.probes, 0);
}

/// Guards against health checks of a target that answers other requests.
#[test]
fn a_target_that_answers_is_not_probed() {
    let mut vm = Vm::new();
    for _ in 0..20 {
        let sent = vm.now;
        vm.run_for(ms(100));
        vm.ended(sent);
        vm.run_for(ms(200));
        vm.evidence.answered(SUSPECT, vm.now);
    }
    vm.run_for(ms(1000));
    assert_eq!(vm.probes, 0);
    assert!(vm.evidence.is_empty());
}
