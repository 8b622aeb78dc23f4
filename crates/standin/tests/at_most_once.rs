//! Requests that may run at most once, sent again through other vms while theirs fails.

mod support;

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;

use support::{Answer, Fleet};

/// How the vm of the first request fails.
#[derive(Clone, Copy, Debug)]
enum Failure {
    Kill,
    Pause,
    CutOff,
}

impl Failure {
    fn begin(self, fleet: &Fleet, vm: u16) {
        match self {
            Failure::Kill => fleet.signal(fleet.vm_process(vm), "KILL"),
            Failure::Pause => fleet.signal(fleet.vm_process(vm), "STOP"),
            Failure::CutOff => {
                let (vm, faults) = (vm + 1, r#""platform":[VM],"isolated":[VM]"#);
                let faults = faults.replace("VM", &vm.to_string());
                fleet.set_fault(fleet.relay(), &format!("{{{faults}}}"));
            }
        }
    }

    fn end(self, fleet: &Fleet, vm: u16) {
        match self {
            Failure::Kill => fleet.restart_vm(vm),
            Failure::Pause => fleet.signal(fleet.vm_process(vm), "CONT"),
            Failure::CutOff => fleet.clear_faults(fleet.relay()),
        }
    }
}

type Answers = BTreeMap<String, Vec<Answer>>;

fn start() -> Fleet {
    let fleet = Fleet::with(&["--relays"]);
    for port in fleet.services() {
        fleet.set_fault(port, r#"{"delay_ms":150}"#);
    }
    fleet
}

/// Sends 24 checkouts through a vm that fails meanwhile, and repeats them through others.
fn send_and_repeat(fleet: &Fleet, vm: u16, failure: Failure) -> Answers {
    let answers: Mutex<Answers> = Mutex::default();
    thread::scope(|scope| {
        for i in 0..24 {
            let answers = &answers;
            let key = format!("{failure:?}-{i}");
            scope.spawn(move || {
                thread::sleep(Duration::from_millis(20 * i));
                for through in [vm, 3 + (i as u16) % 3, 3] {
                    let answer = fleet.checkout_within(through, &key, 5000);
                    let not_run = answer.says_not_run();
                    let mut answers = answers.lock().expect("no thread panicked");
                    answers.entry(key.clone()).or_default().push(answer);
                    // A repeat after "not run" may run, which would hide a false answer.
                    if not_run {
                        return;
                    }
                }
            });
        }
        thread::sleep(Duration::from_millis(250));
        failure.begin(fleet, vm);
        thread::sleep(Duration::from_millis(1500));
        failure.end(fleet, vm);
    });
    println!(
        "{failure:?}: served again after {:?}",
        fleet.until_whole(vm)
    );
    answers.into_inner().expect("no thread panicked")
}

/// Guards against a request that is never answered because its vm was paused for a moment.
#[test]
fn paused_vm_answers_every_checkout() {
    let fleet = start();
    for (key, answers) in send_and_repeat(&fleet, 1, Failure::Pause) {
        for answer in answers {
            assert_ne!(answer.status, 0, "{key} got no answer");
        }
    }
    fleet.check_all();
}

/// Guards against a checkout that runs twice, and against "not run" about one that runs: also when
/// it runs only after that answer.
#[test]
fn repeats_through_other_vms_run_at_most_once() {
    let fleet = start();
    let mut answers = Answers::new();
    for (vm, failure) in [
        (0, Failure::Kill),
        (1, Failure::Pause),
        (2, Failure::CutOff),
    ] {
        answers.extend(send_and_repeat(&fleet, vm, failure));
    }
    let executions = fleet.executions();
    let mut statuses: BTreeMap<u16, u32> = BTreeMap::new();
    for (key, answers) in &answers {
        let ran = executions.get(key).copied().unwrap_or(0);
        for answer in answers {
            *statuses.entry(answer.status).or_default() += 1;
            assert!(!answer.says_not_run() || ran == 0, "{key} ran: {answer:?}");
            assert!(answer.status != 200 || ran == 1, "{key}: {answer:?}");
        }
    }
    println!(
        "{} keys, {} ran, answers by status {statuses:?}",
        answers.len(),
        executions.len()
    );
    fleet.check_all();
}
