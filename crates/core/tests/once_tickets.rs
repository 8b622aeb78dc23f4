//! Guards against forged tickets and against unbounded memory use of the ledger.

use std::time::Duration;

use jujubebeam_core::once::*;
use jujubebeam_core::{Incarnation, Machine, RequestId, VmId, WorkspaceId};

fn issuer() -> TicketIssuer {
    TicketIssuer::new(VmId(3), Incarnation(9), [7; 32])
}

/// Guards against a wrong HMAC construction; the vector is test case 2 of RFC 4231.
#[test]
fn hmac_matches_the_published_vector() {
    let mac = hmac_sha256(b"Jefe", b"what do ya want for nothing?");
    let hex: String = mac.iter().map(|b| format!("{b:02x}")).collect();
    let expected = "5bdcc146bf60754e6a042426089575c75a003f089d2739839dec58b964ec3843";
    assert_eq!(hex, expected);
}

/// Guards against accepting tickets that were modified, or issued to another workspace or by
/// another process run.
#[test]
fn only_own_unmodified_tickets_are_accepted() {
    let text = issuer().issue(17, WorkspaceId(1), Duration::from_secs(5));
    let ticket = Ticket::parse(&text).expect("an issued ticket parses");
    assert!(issuer().verify(&ticket, WorkspaceId(1)));
    assert!(!issuer().verify(&ticket, WorkspaceId(2)));
    let later = TicketIssuer::new(VmId(3), Incarnation(10), [8; 32]);
    assert!(!later.verify(&ticket, WorkspaceId(1)));
    let changed = Ticket::parse(&text.replace("-11-", "-12-")).expect("the format is unchanged");
    assert!(!issuer().verify(&changed, WorkspaceId(1)));
    assert_eq!(Ticket::parse("order-1"), None);
}

fn begin(key: OnceKey, request: u128, body: u8) -> OnceEvent {
    OnceEvent::Begin {
        request: RequestId(request),
        key,
        kind: KeyKind::Ticket {
            expires: TICKET_LIFETIME,
        },
        body: [body; 32],
        deadline: Duration::from_secs(1),
    }
}

/// Guards against stored answers that exhaust memory, and against a second execution after an
/// answer was dropped.
#[test]
fn stored_answers_are_bounded_and_entries_stay() {
    let config = OnceConfig {
        max_kept_bytes: 1000,
        max_entries: 20,
        ..OnceConfig::default()
    };
    let mut ledger = OnceLedger::new(config, VmId(3), Incarnation(9), 0, 1);
    let key = |n: u128| OnceKey::new(WorkspaceId(1), &n.to_string());
    let mut out = Vec::new();
    for n in 0..20 {
        ledger.step(begin(key(n), n, 1), Duration::ZERO, &mut out);
        let stored = StoredAnswer {
            status: 200,
            content_type: String::new(),
            body: Some(vec![0; 300]),
        };
        let end = ExecutionResult::Answer(stored);
        ledger.step(
            OnceEvent::Ended { key: key(n), end },
            Duration::ZERO,
            &mut out,
        );
    }
    assert!(ledger.kept_bytes() <= 1000);
    out.clear();
    ledger.step(begin(key(0), 100, 1), Duration::ZERO, &mut out);
    assert!(matches!(
        out[..],
        [OnceCommand::Outcome {
            outcome: OnceOutcome::Done(StoredAnswer { body: None, .. }),
            ..
        }]
    ));
    out.clear();
    ledger.step(begin(key(50), 101, 1), Duration::ZERO, &mut out);
    let refusal = OnceRefusal::Full;
    let request = RequestId(101);
    assert_eq!(out, [OnceCommand::Refuse { request, refusal }]);
}

/// Guards against returning an answer to a different request with the same key.
#[test]
fn same_key_with_another_body_is_refused() {
    let mut ledger = OnceLedger::new(OnceConfig::default(), VmId(3), Incarnation(9), 0, 1);
    let key = OnceKey::new(WorkspaceId(1), "k");
    let mut out = Vec::new();
    ledger.step(begin(key, 1, 1), Duration::ZERO, &mut out);
    out.clear();
    ledger.step(begin(key, 2, 2), Duration::ZERO, &mut out);
    let refusal = OnceRefusal::BodyDiffers;
    let request = RequestId(2);
    assert_eq!(out, [OnceCommand::Refuse { request, refusal }]);
}
