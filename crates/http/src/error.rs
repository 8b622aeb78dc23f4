//! Errors of an outgoing call.

use std::{error, fmt, io};

use ntex::client::error::{ClientError, ConnectError};

/// Why an outgoing call gave no usable answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallError {
    /// The connection was refused, so the peer received nothing.
    Refused,
    /// The request may have reached the peer, but no complete answer was received.
    NoAnswer(String),
    /// The peer answered with an error status.
    Status {
        /// HTTP status code.
        code: u16,
        /// Value of `Retry-After`, if the peer sent one.
        retry_after_s: Option<u32>,
        /// First part of the body.
        body: String,
        /// Value of the header that the client reports.
        header: Option<String>,
    },
    /// The peer's answer could not be decoded.
    Malformed(String),
}

impl CallError {
    /// Returns true if the peer certainly received nothing.
    pub fn is_unsent(&self) -> bool {
        matches!(self, CallError::Refused)
    }

    /// Returns true if the call may have taken effect at the peer.
    pub fn is_ambiguous(&self) -> bool {
        matches!(self, CallError::NoAnswer(_) | CallError::Malformed(_))
    }
}

impl fmt::Display for CallError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CallError::Refused => write!(f, "connection refused; check that the peer is running"),
            CallError::NoAnswer(reason) => write!(f, "no answer ({reason}); read back or retry"),
            CallError::Status { code, body, .. } => write!(f, "status {code}: {body}"),
            CallError::Malformed(reason) => {
                write!(
                    f,
                    "answer not understood ({reason}); compare versions of both sides"
                )
            }
        }
    }
}

impl error::Error for CallError {}

impl From<ClientError> for CallError {
    fn from(err: ClientError) -> Self {
        // `Disconnected(None)` also occurs after the request was written, so only an explicit
        // refusal by the operating system proves that nothing was sent.
        if let ClientError::Connect(ConnectError::Disconnected(Some(e))) = &err
            && e.kind() == io::ErrorKind::ConnectionRefused
        {
            return CallError::Refused;
        }
        CallError::NoAnswer(err.to_string())
    }
}
