//! The usage bill under failures of vms.

mod support;

use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use support::{Answer, Fleet, finish, until};

const TOKENS: u32 = 12;

#[derive(Debug, Default)]
struct Served {
    whole: u64,
    tokens: u64,
    /// Answers of which only the end was missing when their vm was killed.
    uncertain: u64,
}

impl Served {
    fn add(&mut self, answer: &Answer, tokens: u32) {
        if answer.is_whole() {
            self.whole += 1;
            self.tokens += answer.tokens().len() as u64;
        } else if answer.tokens().len() as u32 + 1 >= tokens {
            self.uncertain += 1;
        }
    }
}

/// Sums of requests and output tokens of all accepted reports.
fn billed(fleet: &Fleet) -> (u64, u64) {
    let mut sum = (0, 0);
    for (result, report) in fleet.usage_reports() {
        for used in report["workspaces"].as_array().into_iter().flatten() {
            if result == "accepted" {
                sum.0 += used["requests"].as_u64().expect("requests");
                sum.1 += used["output_tokens"].as_u64().expect("tokens");
            }
        }
    }
    sum
}

/// Guards against usage that is lost with a vm, billed twice after a repeat, or reported with two
/// figures.
#[test]
fn bill_is_what_callers_got_whole() {
    let fleet = Fleet::with(&["--usage-window-s", "2"]);
    until(|| fleet.holder("usage").is_some());
    // The fleet's start asked for answers of one token.
    let mut served = Served {
        whole: u64::from(support::VMS),
        ..Served::default()
    };
    served.tokens = served.whole;
    let stop = AtomicBool::new(false);
    thread::scope(|scope| {
        let callers: Vec<_> = (0..12)
            .map(|caller: u16| {
                let (fleet, stop) = (&fleet, &stop);
                scope.spawn(move || {
                    let mut served = Served::default();
                    while !stop.load(Ordering::Relaxed) {
                        let answer = finish(fleet.open_chat(caller % 6, "bill", TOKENS));
                        served.add(&answer, TOKENS);
                        if answer.status != 200 {
                            thread::sleep(Duration::from_millis(50));
                        }
                    }
                    served
                })
            })
            .collect();
        thread::sleep(Duration::from_secs(2));
        let holder = fleet.holder("usage").unwrap_or(0);
        fleet.signal(fleet.vm_process(holder), "KILL");
        thread::sleep(Duration::from_secs(1));
        fleet.signal(fleet.vm_process((holder + 1) % 6), "TERM");
        thread::sleep(Duration::from_secs(2));
        stop.store(true, Ordering::Relaxed);
        for caller in callers {
            let part = caller.join().expect("a caller");
            served.whole += part.whole;
            served.tokens += part.tokens;
            served.uncertain += part.uncertain;
        }
    });
    println!("{served:?}; billed at first {:?}", billed(&fleet));
    // Four windows from now cover all that was served.
    let reports = fleet.usage_reports().len();
    until(|| fleet.usage_reports().len() >= reports + 4);
    println!("billed {:?}", billed(&fleet));
    let enough = || billed(&fleet).0 >= served.whole;
    until(enough);
    // Two more windows would show what is billed twice.
    let reports = fleet.usage_reports().len();
    until(|| fleet.usage_reports().len() >= reports + 2);
    let (requests, tokens) = billed(&fleet);
    println!("{served:?}; billed {requests} requests and {tokens} tokens");
    assert!(
        requests <= served.whole + served.uncertain,
        "billed {requests}"
    );
    assert!(tokens >= served.tokens, "billed {tokens}");
    let most = served.tokens + served.uncertain * u64::from(TOKENS);
    assert!(tokens <= most, "billed {tokens}");
    fleet.check((0..6).filter(|vm| fleet.status(*vm).is_some()));
}
