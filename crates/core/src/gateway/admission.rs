//! How long a request may wait at a target, by what its caller has waited already.
//!
//! In a burst the targets cannot answer all requests in time. Answering the new ones in time and the
//! returning ones where there is room serves more callers in time than answering all in the order
//! of their first try, which makes every answer late.

use std::collections::HashMap;
use std::time::Duration;

/// Part of a route's aim that a new request may wait. The rest is the way to the caller and the
/// error of the prediction.
const NEW_REQUEST_RATIO: f64 = 0.7;

/// Part of a route's aim that a request may wait whose aim has passed.
const RETRY_RATIO: f64 = 0.3;

/// A caller whose time is shorter than the longest on its route by this part has been here before.
/// Callers differ by up to 0.15 from their first try on, and a refused one returns after 0.2 or more.
const RETRY_DETECTION_RATIO: f64 = 0.2;

/// What callers of each route usually wait.
#[derive(Debug, Default)]
pub struct Admission {
    /// Longest time that a caller of the route was ready to wait.
    longest: HashMap<String, Duration>,
}

impl Admission {
    /// Longest wait at a target for a request whose caller waits for `deadline` more.
    pub fn longest_wait(
        &mut self,
        route: &str,
        aim: Duration,
        deadline: Option<Duration>,
        left: Duration,
    ) -> Duration {
        if aim.is_zero() {
            return left;
        }
        let is_retry = deadline.is_some_and(|d| self.is_retry(route, d));
        let ratio = match is_retry {
            true => RETRY_RATIO,
            false => NEW_REQUEST_RATIO,
        };
        aim.mul_f64(ratio).min(left)
    }

    /// Whether this is not the first try, as the shrinking deadline of a returning caller shows.
    fn is_retry(&mut self, route: &str, deadline: Duration) -> bool {
        let Some(longest) = self.longest.get_mut(route) else {
            self.longest.insert(route.to_owned(), deadline);
            return false;
        };
        *longest = deadline.max(*longest);
        deadline < longest.mul_f64(1.0 - RETRY_DETECTION_RATIO)
    }
}
