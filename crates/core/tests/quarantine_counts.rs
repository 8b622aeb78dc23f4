//! Guards against requests that crash target after target, and against refusing innocent ones.

use std::time::Duration;

use jujubebeam_core::quarantine::*;
use jujubebeam_core::{Machine, RouteId, TargetId};

const NOW: Duration = Duration::from_secs(1);

fn crash(fingerprint: Fingerprint, target: u64) -> QuarantineEvent {
    QuarantineEvent::Crashed {
        fingerprint,
        target: TargetId(target),
    }
}

fn feed(
    quarantine: &mut Quarantine,
    event: QuarantineEvent,
    now: Duration,
) -> Vec<QuarantineMessage> {
    let mut out = Vec::new();
    quarantine.step(event, now, &mut out);
    out.into_iter()
        .map(|QuarantineCommand::Broadcast(message)| message)
        .collect()
}

fn pair() -> (Quarantine, Quarantine, Fingerprint) {
    let new = || Quarantine::new(QuarantineConfig::default());
    (new(), new(), Fingerprint::new(RouteId(1), b"body"))
}

/// Guards against a poisonous request that its caller sends again through another vm. Without the
/// messages, the second vm does not know it.
#[test]
fn two_dead_targets_refuse_the_request_at_every_vm() {
    let (mut a, mut b, print) = pair();
    for target in [1, 2] {
        for message in feed(&mut a, crash(print, target), NOW) {
            let repeated = message.clone();
            feed(&mut b, QuarantineEvent::Peer(message), NOW);
            feed(&mut b, QuarantineEvent::Peer(repeated), NOW);
        }
        let suspect = b.verdict(print, NOW) == Verdict::Suspect;
        assert_eq!(suspect, target == 1);
    }
    let retry_after = Duration::from_secs(600);
    assert_eq!(b.verdict(print, NOW), Verdict::Refuse { retry_after });
    let (unaware, _, _) = pair();
    assert_eq!(unaware.verdict(print, NOW), Verdict::Clear);
}

/// Guards against refusing the innocent neighbours of one crash, however often it is reported.
#[test]
fn one_target_that_dies_twice_counts_once() {
    let (mut a, _, print) = pair();
    feed(&mut a, crash(print, 1), NOW);
    feed(&mut a, crash(print, 1), NOW);
    assert_eq!(a.verdict(print, NOW), Verdict::Suspect);
}

/// Guards against a suspicion that outlives a whole answer or its time.
#[test]
fn a_whole_answer_and_time_clear_the_count() {
    let (mut a, mut b, print) = pair();
    for message in feed(&mut a, crash(print, 1), NOW) {
        feed(&mut b, QuarantineEvent::Peer(message), NOW);
    }
    for message in feed(
        &mut b,
        QuarantineEvent::Completed { fingerprint: print },
        NOW,
    ) {
        feed(&mut a, QuarantineEvent::Peer(message), NOW);
    }
    assert_eq!(a.verdict(print, NOW), Verdict::Clear);
    assert!(a.is_empty() && b.is_empty());
    feed(&mut a, crash(print, 1), NOW);
    feed(
        &mut a,
        QuarantineEvent::Tick,
        NOW + Duration::from_secs(601),
    );
    assert!(a.is_empty());
}

/// Guards against memory that grows with the number of crashing requests.
#[test]
fn the_number_of_counts_is_bounded() {
    let config = QuarantineConfig {
        max_entries: 10,
        ..QuarantineConfig::default()
    };
    let mut quarantine = Quarantine::new(config);
    for number in 0..100_u32 {
        let print = Fingerprint::new(RouteId(1), &number.to_be_bytes());
        feed(&mut quarantine, crash(print, 1), NOW);
    }
    assert_eq!(quarantine.len(), 10);
}
