//! Configuration of a request's attempts.

/// Configuration of a [`super::RequestMachine`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestConfig {
    /// Maximum number of attempts. A planned move does not count as an attempt.
    pub max_attempts: u32,
    /// `Retry-After` value of a failed request.
    pub retry_after_s: u32,
    /// Whether responses that belong to another attempt are dropped. Disabled only in tests that
    /// check that the fault is found.
    pub drop_mismatched: bool,
    /// Whether an answer must end with a finish reason and `[DONE]`. Disabled only in tests that
    /// check that the fault is found.
    pub require_complete: bool,
    /// Whether a further attempt resumes after the delivered text. Disabled only in tests that check
    /// that the fault is found.
    pub resume: bool,
}

impl Default for RequestConfig {
    fn default() -> Self {
        Self {
            max_attempts: 3,
            retry_after_s: 1,
            drop_mismatched: true,
            require_complete: true,
            resume: true,
        }
    }
}
