//! Settings of a request's attempts.

/// Settings of [`super::RequestMachine`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestConfig {
    /// Most attempts of one request. A planned move does not count as an attempt.
    pub max_attempts: u32,
    /// `Retry-After` of a request that is given up.
    pub retry_after_s: u32,
    /// Whether answers of another attempt are dropped. Only proof tests switch it off.
    pub drop_mismatched: bool,
    /// Whether an answer must end with a finish reason and `[DONE]`. Only proof tests switch it
    /// off.
    pub require_complete: bool,
    /// Whether an attempt after the first resumes after the delivered text. Only proof tests
    /// switch it off.
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
