//! Guards against requests that crash target after target, and against refusing requests that
//! merely ran on a target when it crashed.

use std::time::Duration;

use jujubebeam_core::quarantine::*;
use jujubebeam_core::{Machine, RouteId, TargetId};

const NOW: Duration = Duration::from_secs(1);

fn crash(fingerprint: Fingerprint, target: u64) -> QuarantineEvent {
    QuarantineEvent::Crashed {
        fingerprint,
        target: TargetId(target),
        age: Duration::ZERO,
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

/// Guards against a crashing request that its caller repeats at another vm. Without the messages,
/// the second vm has no count for it.
#[test]
fn two_crashed_targets_refuse_the_request_at_every_vm() {
    let (mut a, mut b, fingerprint) = pair();
    for target in [1, 2] {
        for message in feed(&mut a, crash(fingerprint, target), NOW) {
            let repeated = message.clone();
            feed(&mut b, QuarantineEvent::Peer(message), NOW);
            feed(&mut b, QuarantineEvent::Peer(repeated), NOW);
        }
        let suspect = b.verdict(fingerprint, NOW) == Verdict::Suspect;
        assert_eq!(suspect, target == 1);
    }
    let retry_after = Duration::from_secs(600);
    assert_eq!(b.verdict(fingerprint, NOW), Verdict::Refuse { retry_after });
    let (isolated, _, _) = pair();
    assert_eq!(isolated.verdict(fingerprint, NOW), Verdict::Clear);
}

/// Guards against refusing requests that ran on a single crashed target, if the crash is reported
/// more than once.
#[test]
fn one_target_that_crashes_twice_counts_once() {
    let (mut a, _, fingerprint) = pair();
    feed(&mut a, crash(fingerprint, 1), NOW);
    feed(&mut a, crash(fingerprint, 1), NOW);
    assert_eq!(a.verdict(fingerprint, NOW), Verdict::Suspect);
}

/// Guards against a count that remains after a complete answer or after its expiry.
#[test]
fn complete_answer_or_expiry_clears_the_count() {
    let (mut a, mut b, fingerprint) = pair();
    for message in feed(&mut a, crash(fingerprint, 1), NOW) {
        feed(&mut b, QuarantineEvent::Peer(message), NOW);
    }
    for message in feed(&mut b, QuarantineEvent::Completed { fingerprint }, NOW) {
        feed(&mut a, QuarantineEvent::Peer(message), NOW);
    }
    assert_eq!(a.verdict(fingerprint, NOW), Verdict::Clear);
    assert!(a.is_empty() && b.is_empty());
    feed(&mut a, crash(fingerprint, 1), NOW);
    feed(
        &mut a,
        QuarantineEvent::Tick,
        NOW + Duration::from_secs(601),
    );
    assert!(a.is_empty());
}

/// Guards against memory that grows with the number of crashing requests.
#[test]
fn number_of_counts_is_bounded() {
    let config = QuarantineConfig {
        max_entries: 10,
        ..QuarantineConfig::default()
    };
    let mut quarantine = Quarantine::new(config);
    for number in 0..100_u32 {
        let fingerprint = Fingerprint::new(RouteId(1), &number.to_be_bytes());
        feed(&mut quarantine, crash(fingerprint, 1), NOW);
    }
    assert_eq!(quarantine.len(), 10);
}
