//! Maximum wait of a request at a target, depending on what its caller has of the answer.
//!
//! During a burst, the targets cannot answer all requests in time. Answering new requests in time,
//! and retries only where there is spare capacity, serves more callers in time than answering all
//! in the order of their first attempt, which makes every answer late.
//!
//! A caller that has the first part of a stream is neither: its latency aim says nothing about the
//! remainder, and without it the first part was in vain. The remainder may wait for as long as its
//! caller does. See `docs/incidents/refused-continuations.md`.

use std::collections::HashMap;
use std::time::Duration;

use strum::{EnumString, IntoStaticStr};

/// Maximum wait of a new request, as a share of the route's latency aim. The remainder covers the
/// network delay to the caller and the error of the prediction.
const NEW_REQUEST_RATIO: f64 = 0.7;

/// Maximum wait of a retry, whose latency aim has passed, as a share of the latency aim.
const RETRY_RATIO: f64 = 0.3;

/// Wait of the remainder of a stream, as a share of the time after which its caller leaves. What is left
/// covers the work itself and the error of the prediction. It waits as long as a new request, if that
/// is longer.
const CONTINUATION_IDLE_RATIO: f64 = 0.25;

/// The same, as a share of the time that is left for all of it.
const CONTINUATION_TIME_RATIO: f64 = 0.5;

/// A deadline that is shorter than the longest on its route by this share indicates a retry.
/// Deadlines of first attempts differ by up to 0.15, and a refused caller retries after 0.2 or
/// more.
const RETRY_DETECTION_RATIO: f64 = 0.2;

/// Kind of a request for its admission.
#[derive(Clone, Copy, Debug, PartialEq, Eq, EnumString, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum AdmissionClass {
    /// First attempt of a caller.
    New,
    /// The caller was refused or failed before, so the route's latency aim has passed.
    Retry,
    /// The caller has the first part of a stream and waits for the remainder.
    Continuation {
        /// Time without an event after which the caller leaves.
        idle_timeout: Duration,
    },
}

impl AdmissionClass {
    /// Maximum wait at a target for a request on a route with this latency aim, whose caller waits for
    /// another `left`.
    pub fn longest_wait(self, aim: Duration, left: Duration) -> Duration {
        match self {
            Self::Continuation { idle_timeout } => {
                let longest = idle_timeout.mul_f64(CONTINUATION_IDLE_RATIO);
                let longest = longest.min(left.mul_f64(CONTINUATION_TIME_RATIO));
                let of_new = Self::New.longest_wait(aim, left);
                longest.max(of_new).min(idle_timeout)
            }
            Self::New | Self::Retry if aim.is_zero() => left,
            Self::New => aim.mul_f64(NEW_REQUEST_RATIO).min(left),
            Self::Retry => aim.mul_f64(RETRY_RATIO).min(left),
        }
    }
}

/// Deadlines of the callers of each route.
#[derive(Debug, Default)]
pub struct Admission {
    /// Longest deadline of a caller, by route.
    longest: HashMap<String, Duration>,
}

impl Admission {
    /// Class of a request whose caller waits for another `deadline`.
    pub fn classify(&mut self, route: &str, deadline: Option<Duration>) -> AdmissionClass {
        match deadline.is_some_and(|d| self.is_retry(route, d)) {
            true => AdmissionClass::Retry,
            false => AdmissionClass::New,
        }
    }

    /// Whether the request is a retry, which is inferred from its shorter deadline.
    fn is_retry(&mut self, route: &str, deadline: Duration) -> bool {
        let Some(longest) = self.longest.get_mut(route) else {
            self.longest.insert(route.to_owned(), deadline);
            return false;
        };
        *longest = deadline.max(*longest);
        deadline < longest.mul_f64(1.0 - RETRY_DETECTION_RATIO)
    }
}
