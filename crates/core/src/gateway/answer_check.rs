//! Whether the head of an answer belongs to the request that waits on its connection.
//!
//! A target may send a second copy of an answer late, when the connection carries the next request.
//! The echoed id tells them apart. An answer without an id is only believed on a connection that
//! carried no request before, where no copy of another answer can come.

/// What the head of an answer claims, and where it came.
#[derive(Clone, Copy, Debug)]
pub struct AnswerClaim<'a> {
    /// Id of the request that waits.
    pub request_id: &'a str,
    /// Id that the answer echoes.
    pub echoed_id: Option<&'a str>,
    /// Whether the connection carried no request before this one.
    pub is_first_on_connection: bool,
    /// Whether the answer states that the target did not run the request.
    pub is_not_run: bool,
    /// Whether the request only has its prompt computed. Such answers may bear neither an id nor a
    /// signature.
    pub is_prompt: bool,
    /// Whether the answer is a success.
    pub is_success: bool,
    /// Whether a target signed it.
    pub is_signed: bool,
    /// Whether its body is encoded, which no target does.
    pub is_encoded: bool,
}

/// What an answer is worth.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerVerdict {
    /// The target's answer to the request.
    Own,
    /// The target states that it did not run the request.
    NotRun,
    /// The answer belongs to another request, or nobody can say to which.
    OfAnotherRequest,
    /// The answer is not one of the target.
    Untrusted,
}

/// Judges the head of an answer.
pub fn check_answer(claim: &AnswerClaim<'_>) -> AnswerVerdict {
    let is_own = match claim.echoed_id {
        Some(id) => id == claim.request_id,
        None => claim.is_first_on_connection && (claim.is_not_run || claim.is_prompt),
    };
    if !is_own {
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
