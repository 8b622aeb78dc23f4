//! Virtual network that counts what machines send and how long they compute.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use jujubebeam_core::peer::PeerMessage;
use jujubebeam_core::{Incarnation, VmId};
use jujubebeam_peer::{Envelope, encode};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::exchange::Allowance;

/// Time between two steps of the virtual clock.
pub(crate) const STEP: Duration = Duration::from_millis(20);
/// Steps between two ticks of one machine, as in the daemon.
pub(crate) const STEPS_PER_TICK: u64 = 5;

/// What one vm sent, received and computed.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Traffic {
    pub(crate) sent_bytes: u64,
    pub(crate) received_bytes: u64,
    pub(crate) exchanges: u64,
    pub(crate) busy: Duration,
    pub(crate) store_calls: u64,
}

/// Vms with a queue of events between them.
pub(crate) struct World<E> {
    pub(crate) now: Duration,
    pub(crate) vms: Vec<Traffic>,
    pub(crate) rng: SmallRng,
    allowance: Allowance,
    queue: BTreeMap<(Duration, u64), (usize, E)>,
    serial: u64,
}

impl<E> World<E> {
    pub(crate) fn new(vms: usize, allowance: Allowance) -> Self {
        Self {
            now: Duration::ZERO,
            vms: vec![Traffic::default(); vms],
            rng: SmallRng::seed_from_u64(1),
            allowance,
            queue: BTreeMap::new(),
            serial: 0,
        }
    }

    /// Forgets what was counted, for example while the fleet started.
    pub(crate) fn reset(&mut self) {
        self.vms.fill(Traffic::default());
    }

    /// Counts a message that opens an exchange.
    pub(crate) fn count_exchange(&mut self, from: usize, to: usize, bytes: u64) {
        let request = bytes + self.allowance.request_bytes;
        let answer = self.allowance.answer_bytes;
        self.vms[from].exchanges += 1;
        self.vms[from].sent_bytes += request;
        self.vms[to].received_bytes += request;
        self.vms[to].sent_bytes += answer;
        self.vms[from].received_bytes += answer;
    }

    /// Counts a message that travels in the answer of an exchange.
    pub(crate) fn count_answer(&mut self, from: usize, to: usize, bytes: u64) {
        self.vms[from].sent_bytes += bytes;
        self.vms[to].received_bytes += bytes;
    }

    /// Delivers an event after a random delay.
    pub(crate) fn later(&mut self, longest_ms: u64, to: usize, event: E) {
        let delay = Duration::from_millis(self.rng.random_range(1..=longest_ms));
        self.serial += 1;
        self.queue
            .insert((self.now + delay, self.serial), (to, event));
    }

    /// Moves the clock on and returns the events that are due.
    pub(crate) fn advance(&mut self) -> Vec<(usize, E)> {
        self.now += STEP;
        let later = self
            .queue
            .split_off(&(self.now + Duration::from_nanos(1), 0));
        std::mem::replace(&mut self.queue, later)
            .into_values()
            .collect()
    }

    /// Whether a vm ticks in this step. Ticks are spread over the steps.
    pub(crate) fn ticks(&self, vm: usize) -> bool {
        let step = (self.now.as_millis() / STEP.as_millis()) as u64;
        step % STEPS_PER_TICK == vm as u64 % STEPS_PER_TICK
    }

    /// Measures the time of one step of a machine.
    pub(crate) fn busy<T>(&mut self, vm: usize, work: impl FnOnce() -> T) -> T {
        let start = Instant::now();
        let result = work();
        self.vms[vm].busy += start.elapsed();
        result
    }
}

/// Size of a message inside an envelope.
pub(crate) fn encoded_bytes(message: &PeerMessage) -> u64 {
    let envelope = |messages| Envelope {
        from: VmId(300),
        incarnation: Incarnation(1_790_000_000_000_000),
        messages,
    };
    let with = encode(&envelope(vec![message.clone()])).map_or(0, |b| b.len());
    let without = encode(&envelope(Vec::new())).map_or(0, |b| b.len());
    with.saturating_sub(without) as u64
}

/// Resident memory of this process.
pub(crate) fn resident_bytes() -> u64 {
    /// Page size of the platforms that the measurement runs on.
    const PAGE_BYTES: u64 = 4096;
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split(' ').nth(1).and_then(|p| p.parse::<u64>().ok());
    pages.unwrap_or_default() * PAGE_BYTES
}
