//! Settings of placing, with the source of each figure.

use std::time::Duration;

use crate::gateway::catalog::Stage;

/// Settings of a [`Placer`](super::Placer).
#[derive(Clone, Debug, PartialEq)]
pub struct PlacementConfig {
    /// Start of the random numbers that choose between equal targets. It differs by vm.
    pub seed: u64,
    /// Whether this placer places the requests of all vms, so that its own counts are the whole load.
    pub places_all_requests: bool,
    /// Time that it takes to hand a computed prompt over to another engine, in milliseconds.
    pub hand_over_ms: f64,
    /// Time that a copy of kept parts takes beside the transfer, in milliseconds.
    pub copy_fixed_ms: f64,
    /// Part of the fixed time of a prompt that a whole prompt may take at an engine of the decode
    /// stage. Its chunks delay every stream that the engine generates.
    pub direct_cost_ratio: f64,
    /// Extra time of a plain service in another zone, in milliseconds.
    pub other_zone_service_ms: f64,
    /// What it counts against an engine that its zone is not the vm's, in milliseconds, for the choice
    /// of the engine that computes a prompt.
    pub other_zone_prompt_ms: f64,
    /// The same for the engine that generates the answer.
    pub other_zone_answer_ms: f64,
    /// Part of the last answer's wait that the next one is expected to meet at the same target.
    pub last_delay_weight: f64,
    /// Difference of predicted times, in milliseconds, below which targets count as equal.
    pub tie_margin_ms: f64,
    /// Predicted time that a request waiting at an engine takes, in milliseconds.
    pub engine_wait_per_request_ms: f64,
    /// Time that an answer loses at an engine whose slots are all taken, in milliseconds. It counts for
    /// the choice between engines only.
    pub full_slowdown_ms: f64,
    /// Predicted time that a request waiting at a plain service takes, in milliseconds.
    pub service_wait_per_request_ms: f64,
    /// Time without any answer while requests are outstanding after which a target is avoided.
    pub unresponsive_after: Duration,
    /// First time for which a failing target is avoided; doubled with each further failure.
    pub initial_ejection: Duration,
    /// Longest time for which a failing target is avoided.
    pub max_ejection: Duration,
    /// First time for which a target that refused a request is avoided; doubled with each further
    /// refusal up to `max_ejection`.
    pub initial_refusal_pause: Duration,
    /// Longest time for which an engine is believed to change its stage. It finishes the answers
    /// that it generates before.
    pub max_stage_change: Duration,
    /// Part of recent attempts that must have failed for a target to be avoided.
    pub failure_threshold: f64,
    /// Shortest time after which a refused caller may come back.
    pub min_retry_after: Duration,
    /// Longest time after which a refused caller may come back.
    pub max_retry_after: Duration,
    /// Part of the time that a refused caller waits in all after which it may come back. Bursts last
    /// for seconds: a caller that returns early is refused again, while one that returns late still
    /// has the rest of its time for the answer.
    pub retry_time_ratio: f64,
}

impl PlacementConfig {
    /// Time that a request which waits at a target takes, in milliseconds.
    pub(super) fn wait_per_request_ms(&self, stage: Option<Stage>) -> f64 {
        match stage {
            Some(_) => self.engine_wait_per_request_ms,
            None => self.service_wait_per_request_ms,
        }
    }

    /// What another zone than the vm's counts against a target of a stage.
    pub(super) fn other_zone_ms(&self, stage: Option<Stage>) -> f64 {
        match stage {
            Some(Stage::Prefill) => self.other_zone_prompt_ms,
            Some(Stage::Decode) => self.other_zone_answer_ms,
            None => self.other_zone_service_ms,
        }
    }
}

impl Default for PlacementConfig {
    fn default() -> Self {
        Self {
            seed: 0,
            places_all_requests: false,
            // One more exchange (two ways between zones) and 1.5 GB over the link.
            hand_over_ms: 4.0,
            // One exchange between engines, and the start of the transfer.
            copy_fixed_ms: 8.0,
            // The streams of the engine pause for as long, well within the pauses that callers bear.
            direct_cost_ratio: 0.5,
            // The way there and back.
            other_zone_service_ms: 1.5,
            // The body crosses, and so does the computed prompt on its way to the answer. A queue of one
            // step of an engine is worth less.
            other_zone_prompt_ms: 6.0,
            // Body, computed prompt and events cross, and the prompt takes twice as long. It equals an
            // engine with half of its slots taken: beyond that, pauses matter more than traffic.
            other_zone_answer_ms: 10.0,
            // The queue that the last answer met has mostly gone. At 1.0, one slow answer drove the next
            // request from the home of its prompt; at 0.0, a slow engine would not be noticed.
            last_delay_weight: 0.25,
            // Less than the way to another zone, so that it does not lead there.
            tie_margin_ms: 1.0,
            engine_wait_per_request_ms: 8.0,
            // Pauses between events grow from 66 to 250 ms as 64 slots fill up.
            full_slowdown_ms: 20.0,
            service_wait_per_request_ms: 15.0,
            // Four times the tightest latency aim of the deployments, 100 ms.
            unresponsive_after: Duration::from_millis(400),
            initial_ejection: Duration::from_millis(400),
            max_ejection: Duration::from_secs(4),
            initial_refusal_pause: Duration::from_millis(200),
            max_stage_change: Duration::from_secs(20),
            failure_threshold: 0.25,
            // Callers that return sooner meet the same queue.
            min_retry_after: Duration::from_millis(400),
            max_retry_after: Duration::from_millis(1500),
            retry_time_ratio: 0.6,
        }
    }
}
