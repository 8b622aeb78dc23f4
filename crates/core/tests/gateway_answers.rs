//! Checks of answers from targets that write earlier answers once more.

use jujubebeam_core::gateway::*;
use proptest::prelude::*;

/// An answer that a target writes to a request.
#[derive(Clone, Debug)]
struct Written {
    request: usize,
    id: String,
    is_not_run: bool,
}

/// One request of an attempt on some connection, and what the target writes on it.
#[derive(Clone, Debug)]
struct Exchange {
    attempt: u8,
    /// Whether the target refuses the request.
    is_refused: bool,
    /// Which earlier answer of the connection the target writes first, if any.
    repeated: Option<prop::sample::Index>,
}

fn exchange() -> impl Strategy<Value = Exchange> {
    let repeated = proptest::option::of(any::<prop::sample::Index>());
    (0..6u8, any::<bool>(), repeated).prop_map(|(attempt, is_refused, repeated)| Exchange {
        attempt,
        is_refused,
        repeated,
    })
}

fn claim<'a>(
    request_id: &'a str,
    answer: &'a Written,
    carried: &CarriedAttempts,
) -> AnswerClaim<'a> {
    AnswerClaim {
        request_id,
        echoed_id: Some(&answer.id),
        is_joined: false,
        is_first_on_connection: carried.is_first(),
        is_not_run: answer.is_not_run,
        is_prompt: false,
        is_success: !answer.is_not_run,
        is_signed: !answer.is_not_run,
        is_encoded: false,
    }
}

proptest! {
    /// Guards against taking the answer to an earlier request for the answer to this one, whichever
    /// answer of the connection is repeated and whichever attempt is sent again. Answers that are
    /// not repeated stay usable.
    #[test]
    fn only_the_answer_to_the_request_itself_is_accepted(
        exchanges in prop::collection::vec(exchange(), 1..40)
    ) {
        let mut carried = CarriedAttempts::default();
        let mut written: Vec<Written> = Vec::new();
        for (request, exchange) in exchanges.into_iter().enumerate() {
            let id = format!("attempt-{}", exchange.attempt);
            if !carried.may_carry(&id) {
                // A new connection.
                carried = CarriedAttempts::default();
                written.clear();
            }
            carried.record(&id);
            let own = Written { request, id: id.clone(), is_not_run: exchange.is_refused };
            let repeated = exchange.repeated.filter(|_| !written.is_empty());
            let received = repeated.map_or(&own, |index| index.get(&written)).clone();
            let verdict = check_answer(&claim(&id, &received, &carried));
            if received.request == request {
                let expected = match exchange.is_refused {
                    true => AnswerVerdict::NotRun,
                    false => AnswerVerdict::Own,
                };
                prop_assert_eq!(verdict, expected);
                written.push(own);
            } else {
                prop_assert_eq!(verdict, AnswerVerdict::OfAnotherRequest);
                // The connection is closed.
                carried = CarriedAttempts::default();
                written.clear();
            }
        }
    }
}

/// Guards against a connection whose list of attempts grows without a bound, and against losing an
/// attempt of that list.
#[test]
fn a_connection_carries_a_limited_number_of_attempts() {
    let mut carried = CarriedAttempts::default();
    assert!(carried.is_first());
    let mut count = 0;
    while carried.may_carry(&format!("attempt-{count}")) {
        carried.record(&format!("attempt-{count}"));
        count += 1;
        assert!(!carried.may_carry("attempt-0"));
        assert_eq!(carried.is_first(), count == 1);
    }
    assert_eq!(count, 512);
    assert!(carried.is_full());
    assert!((0..count).all(|number| !carried.may_carry(&format!("attempt-{number}"))));
}

/// Guards against accepting a head that continues a truncated one, and against rejecting a complete
/// head that names a protocol.
#[test]
fn only_a_joined_head_contains_a_status_line() {
    for joined in ["1HTTP/1.1 200 OK", "MisdirHTTP/1.0 503", "HTTP/1.1 200 "] {
        assert!(contains_status_line(joined.as_bytes()), "{joined}");
    }
    for complete in [
        "",
        "1",
        "HTTP/1.1",
        "HTTP/1.1 proxy",
        "HTTP/2 200",
        "HTTP/1.1 20",
    ] {
        assert!(!contains_status_line(complete.as_bytes()), "{complete}");
    }
    let joined = Written {
        request: 0,
        id: "attempt".into(),
        is_not_run: true,
    };
    let mut carried = CarriedAttempts::default();
    carried.record("attempt");
    let claim = AnswerClaim {
        is_joined: true,
        ..claim("attempt", &joined, &carried)
    };
    assert_eq!(check_answer(&claim), AnswerVerdict::OfAnotherRequest);
}
