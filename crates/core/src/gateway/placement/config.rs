//! Settings of placement, with the reason for each value.

use std::time::Duration;

use crate::gateway::catalog::Stage;

/// Settings of a [`Placer`](super::Placer).
#[derive(Clone, Debug, PartialEq)]
pub struct PlacementConfig {
    /// Seed of the random choice between equal targets. It differs by vm.
    pub seed: u64,
    /// Whether this placer places the requests of all vms, so that its own counts are the total
    /// load.
    pub places_all_requests: bool,
    /// Time to hand a computed prompt over to another engine, in milliseconds.
    pub hand_over_ms: f64,
    /// Overhead of copying cached parts, in addition to the transfer, in milliseconds.
    pub copy_fixed_ms: f64,
    /// Maximum time of a complete prompt at a decode engine, as a share of the fixed time of a
    /// prompt. Its chunks delay all streams that the engine generates.
    pub direct_cost_ratio: f64,
    /// Additional time of a plain service in another zone, in milliseconds.
    pub other_zone_service_ms: f64,
    /// Penalty for a prefill engine in another zone than the vm's, in milliseconds.
    pub other_zone_prompt_ms: f64,
    /// Penalty for a decode engine in another zone than the vm's, in milliseconds.
    pub other_zone_answer_ms: f64,
    /// Share of the last answer's wait that is expected for the next request at the same target.
    pub last_delay_weight: f64,
    /// Difference of predicted times below which targets are treated as equal, in milliseconds.
    pub tie_margin_ms: f64,
    /// Predicted delay caused by each request that waits at an engine, in milliseconds.
    pub engine_wait_per_request_ms: f64,
    /// Slowdown of an answer at an engine whose slots are all taken, in milliseconds. It affects
    /// only the choice between engines.
    pub full_slowdown_ms: f64,
    /// Predicted delay caused by each request that waits at a plain service, in milliseconds.
    pub service_wait_per_request_ms: f64,
    /// Time without any answer to outstanding requests after which a target is avoided.
    pub unresponsive_after: Duration,
    /// Initial time for which a failing target is avoided; doubled with each further failure.
    pub initial_ejection: Duration,
    /// Maximum time for which a failing target is avoided.
    pub max_ejection: Duration,
    /// Initial time for which a target that refused a request is avoided; doubled with each further
    /// refusal up to `max_ejection`.
    pub initial_refusal_pause: Duration,
    /// Maximum time for which an engine is assumed to be changing its stage. It first finishes the
    /// answers that it generates.
    pub max_stage_change: Duration,
    /// Share of recent attempts that must have failed for a target to be avoided.
    pub failure_threshold: f64,
    /// Minimum time after which a refused caller may retry.
    pub min_retry_after: Duration,
    /// Maximum time after which a refused caller may retry.
    pub max_retry_after: Duration,
    /// Time after which a refused caller may retry, as a share of its remaining time. Bursts last
    /// for seconds: a caller that retries early is refused again, while one that retries late still
    /// has the remainder of its time for the answer.
    pub retry_time_ratio: f64,
    /// Weight of the time that other engines or prompts need to compute parts again that a prompt
    /// evicts from its engine. With 0, evictions are not weighed.
    pub eviction_weight: f64,
    /// Delay of the prompts that follow, as a share of the work of a prompt, for each prompt that an
    /// engine has in the mean. With 0, it is not weighed.
    pub delay_weight_per_prompt: f64,
    /// Maximum of this share.
    pub max_delay_weight: f64,
}

impl PlacementConfig {
    /// Delay caused by each request that waits at a target of a stage, in milliseconds.
    pub(super) fn wait_per_request_ms(&self, stage: Option<Stage>) -> f64 {
        match stage {
            Some(_) => self.engine_wait_per_request_ms,
            None => self.service_wait_per_request_ms,
        }
    }

    /// Penalty for a target of a stage in another zone than the vm's, in milliseconds.
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
            // One more exchange (a round trip between zones) and 1.5 GB over the link.
            hand_over_ms: 4.0,
            // One exchange between engines, and the start of the transfer.
            copy_fixed_ms: 8.0,
            // The streams of the engine pause for this time, which is well within the gaps that
            // callers tolerate.
            direct_cost_ratio: 0.5,
            // One round trip between zones.
            other_zone_service_ms: 1.5,
            // The body crosses zones, and so does the computed prompt when it is handed over.
            // Waiting for one step of an engine costs less.
            other_zone_prompt_ms: 6.0,
            // Body, computed prompt and events cross zones, and the prompt takes twice as long. The
            // penalty equals that of an engine with half of its slots taken: beyond that, pauses
            // matter more than traffic.
            other_zone_answer_ms: 10.0,
            // Most of the queue that delayed the last answer has been processed since. At 1.0, one
            // slow answer diverted the next request from the home of its prompt; at 0.0, a slow
            // engine would not be detected.
            last_delay_weight: 0.25,
            // Less than the penalty of another zone, so that the random choice does not cross
            // zones.
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
            // Callers that retry sooner find the same queue.
            min_retry_after: Duration::from_millis(400),
            max_retry_after: Duration::from_millis(1500),
            retry_time_ratio: 0.6,
            // The cost as it is estimated. Half of it leaves more parts to be computed again, and
            // twice as much serves no more callers in time (`docs/design/retention.md`).
            eviction_weight: 1.0,
            // Prompts that arrive while an engine works wait for that work, about as many as it has
            // now. With 1 and a maximum of 3, more of them were late at full load.
            delay_weight_per_prompt: 0.5,
            max_delay_weight: 2.0,
        }
    }
}
