//! Who gets digests, limits and target news, as the daemon decides it.

use std::time::Duration;

use jujubebeam_core::peer::PeerMessage;
use jujubebeam_core::scheduler::Digest;
use jujubebeam_core::spread::{GossipFanout, GossipFanoutConfig};
use jujubebeam_core::{RouteId, VmId};

/// Ticks of the dispatcher a second.
pub(crate) const TICKS_PER_S: f64 = 10.0;

/// Fan-out of a fleet.
pub(crate) struct Plan {
    others: Vec<VmId>,
}

impl Plan {
    pub(crate) fn new(vms: usize) -> Self {
        Self {
            others: (1..vms).map(|vm| VmId(vm as u32)).collect(),
        }
    }

    /// A digest as it is sent, and how often a second, to all receivers together.
    pub(crate) fn scheduler(&self, digest: Digest) -> (Digest, f64) {
        const SECONDS: u32 = 100;
        let mut spread = GossipFanout::new(GossipFanoutConfig::default());
        let route = RouteId(0);
        let mut sent = Vec::new();
        for tick in 0..SECONDS * TICKS_PER_S as u32 {
            let now = Duration::from_secs_f64(f64::from(tick) / TICKS_PER_S);
            let digest = digest.clone();
            let message = PeerMessage::Scheduler { route, digest };
            sent.extend(spread.envelopes(vec![message], &self.others, now));
        }
        let sends_s = sent.len() as f64 / f64::from(SECONDS);
        let last = sent.pop().and_then(|(_, mut messages)| messages.pop());
        match last {
            Some(PeerMessage::Scheduler { digest, .. }) => (digest, sends_s),
            _ => (digest, sends_s),
        }
    }

    /// Rounds a second that go to all without a digest.
    pub(crate) fn extra_rounds_s(&self) -> f64 {
        let config = GossipFanoutConfig::default();
        if self.others.len() <= config.broadcast_up_to {
            return 0.0;
        }
        1.0 / config.interval.as_secs_f64()
    }

    /// Messages a second that one vm sends, and receives, if each round goes to all.
    pub(crate) fn sends_s(&self, rounds_s: f64) -> f64 {
        rounds_s * self.others.len() as f64
    }
}
