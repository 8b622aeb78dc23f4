//! Check whether the head of an answer belongs to the request that waits on its connection.
//!
//! A target may send a duplicate of an answer late, when its connection already carries the next
//! request. The echoed id distinguishes the two, because a connection carries each attempt once; see
//! [`CarriedAttempts`](super::CarriedAttempts). An answer without an id is accepted only on a
//! connection that carried no request before, where a duplicate of another answer cannot arrive.
//!
//! A target may also truncate the duplicate. If it ends within a line of its head, the next answer
//! continues that line, and the joined head may have the status or the statement of the one and the
//! id of the other. It contains the status line of the next answer, which no complete head does.

/// Properties of the head of an answer and of its connection.
#[derive(Clone, Copy, Debug)]
pub struct AnswerClaim<'a> {
    /// Id of the waiting request, which no earlier request of the connection had.
    pub request_id: &'a str,
    /// Id that the answer echoes.
    pub echoed_id: Option<&'a str>,
    /// Whether the head is joined from those of two answers.
    pub is_joined: bool,
    /// Whether the connection carried no request before this one.
    pub is_first_on_connection: bool,
    /// Whether the answer states that the target did not run the request.
    pub is_not_run: bool,
    /// Whether the request only computes a prompt. Answers to such requests may lack an id and a
    /// signature.
    pub is_prompt: bool,
    /// Whether the status of the answer is a success.
    pub is_success: bool,
    /// Whether the answer is signed by a target.
    pub is_signed: bool,
    /// Whether the body has a content encoding, which targets never use.
    pub is_encoded: bool,
}

/// Result of the check of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerVerdict {
    /// The target's answer to the request.
    Own,
    /// The target states that it did not run the request.
    NotRun,
    /// The answer belongs to another request, or to an unknown one.
    OfAnotherRequest,
    /// The answer was not sent by the target.
    Untrusted,
}

/// Checks the head of an answer.
pub fn check_answer(claim: &AnswerClaim<'_>) -> AnswerVerdict {
    let is_own = match claim.echoed_id {
        Some(id) => id == claim.request_id,
        None => claim.is_first_on_connection && (claim.is_not_run || claim.is_prompt),
    };
    if claim.is_joined || !is_own {
        return AnswerVerdict::OfAnotherRequest;
    }
    if claim.is_not_run {
        return AnswerVerdict::NotRun;
    }
    let is_unsigned_success = claim.is_success && !claim.is_signed && !claim.is_prompt;
    if claim.is_encoded || is_unsigned_success {
        return AnswerVerdict::Untrusted;
    }
    AnswerVerdict::Own
}

/// Whether the reason phrase or the value of a header contains the status line of another answer:
/// `HTTP/1.`, a digit, a space and three digits.
pub fn contains_status_line(text: &[u8]) -> bool {
    const VERSION: &[u8] = b"HTTP/1.";
    text.windows(VERSION.len() + 5).any(|window| {
        let (version, rest) = window.split_at(VERSION.len());
        version == VERSION
            && matches!(rest, [minor, b' ', status @ ..]
                if minor.is_ascii_digit() && status.iter().all(u8::is_ascii_digit))
    })
}
