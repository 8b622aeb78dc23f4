//! How long a request may wait at a target, by what its caller has waited already.
//!
//! In a burst the targets cannot answer all requests in time. Answering the new ones in time and the
//! returning ones where there is room serves more callers in time than answering all in the order
//! of their first try, which makes every answer late.

use std::collections::HashMap;
use std::time::Duration;

/// Part of a route's aim that a new request may wait. The rest is the way to the caller and the
/// error of the prediction.
const NEW_PART: f64 = 0.7;

/// Part of a route's aim that a request may wait whose aim has passed.
const LATE_PART: f64 = 0.3;

/// A caller that waits at least this much less than the longest on its route has been here before.
const RETURNED_AFTER: Duration = Duration::from_millis(50);

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
        let waited = deadline.map_or(Duration::ZERO, |d| self.waited(route, d));
        let part = if waited < RETURNED_AFTER {
            NEW_PART
        } else {
            LATE_PART
        };
        aim.mul_f64(part).min(left)
    }

    /// Time since the first try, as the shrinking deadline of a returning caller shows.
    fn waited(&mut self, route: &str, deadline: Duration) -> Duration {
        let Some(longest) = self.longest.get_mut(route) else {
            self.longest.insert(route.to_owned(), deadline);
            return Duration::ZERO;
        };
        *longest = deadline.max(*longest);
        *longest - deadline
    }
}
