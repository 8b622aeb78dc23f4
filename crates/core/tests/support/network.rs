//! Virtual clock and a queue of deliveries, with links that delay, drop and reorder messages.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::Duration;

use rand::Rng;
use rand::rngs::SmallRng;

/// Delay and loss of one kind of message.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Link {
    pub(crate) shortest: Duration,
    pub(crate) longest: Duration,
    /// Share of messages that never arrive.
    pub(crate) loss: f64,
}

impl Link {
    /// Delay of one message, or `None` if it is lost. Messages can be reordered.
    pub(crate) fn delay(&self, rng: &mut SmallRng) -> Option<Duration> {
        if rng.random_bool(self.loss) {
            return None;
        }
        // Most messages are fast, so that a message with a long delay is overtaken by many others.
        let share = rng.random::<f64>().powi(4);
        Some(self.shortest + (self.longest - self.shortest).mul_f64(share))
    }
}

/// Deliveries in the order of their virtual time.
pub(crate) struct Network<T> {
    now: Duration,
    next: u64,
    due: BinaryHeap<Reverse<(Duration, u64)>>,
    items: BTreeMap<u64, T>,
}

impl<T> Default for Network<T> {
    fn default() -> Self {
        Self {
            now: Duration::ZERO,
            next: 0,
            due: BinaryHeap::new(),
            items: BTreeMap::new(),
        }
    }
}

impl<T> Network<T> {
    pub(crate) fn now(&self) -> Duration {
        self.now
    }

    pub(crate) fn after(&mut self, delay: Duration, item: T) {
        self.next += 1;
        self.due.push(Reverse((self.now + delay, self.next)));
        self.items.insert(self.next, item);
    }

    /// Advances the clock to the next delivery, unless it is later than `end`.
    pub(crate) fn next_before(&mut self, end: Duration) -> Option<T> {
        let Reverse((at, id)) = *self.due.peek()?;
        if at > end {
            return None;
        }
        self.due.pop();
        self.now = at;
        self.items.remove(&id)
    }
}
