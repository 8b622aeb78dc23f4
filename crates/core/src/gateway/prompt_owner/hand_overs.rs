//! Hand-overs of computed prompts as reported to the owner of their service.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::{PromptOwner, PromptPlacementRequest, PromptRequestId};
use crate::gateway::catalog::Catalog;
use crate::gateway::placement::{
    EndedHandOver, HandOver, HandOverFinding, LinkChange, Placement, Placer, SlowLinks,
};
use crate::gateway::settings::EngineLimits;

/// Longest time in a report. Callers wait for seconds.
const MAX_TIME: Duration = Duration::from_secs(60);

/// How a hand-over ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum HandOverOutcome {
    /// The first event of the answer arrived.
    Started,
    /// The decode engine stated that it did not start, because it or a link is too busy.
    NotStarted,
    /// The prompt is not handed over any more, and the time says nothing about links.
    Unknown,
}

/// A computed prompt as named in a report. The owner that placed the prompt knows it already.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportedPrompt {
    /// Id of the engine that computed it.
    pub source: String,
    /// Length of the prompt.
    pub tokens: u64,
}

/// Report to the owner of a service that a hand-over has ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HandOverEnd {
    /// The placement request of the prompt.
    pub id: PromptRequestId,
    /// Id of the decode engine; empty if none got the handle.
    pub target: String,
    /// The prompt, if another vm than the receiver has placed it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub prompt: Option<ReportedPrompt>,
    /// Time from sending the request with the handle until its first event, in microseconds.
    pub took_us: u32,
    /// Time from the end until this report was sent, in microseconds.
    pub age_us: u32,
    /// How it ended.
    pub outcome: HandOverOutcome,
}

impl PromptOwner {
    /// Records that a hand-over has ended, and returns what it showed and which links are faster or
    /// slower since. A prompt that is unknown here was placed before this vm became the owner.
    pub fn hand_over_ended(
        &mut self,
        catalog: &Catalog,
        end: &HandOverEnd,
        limits: impl Fn(&str) -> EngineLimits,
        now: Duration,
    ) -> (HandOverFinding, Vec<LinkChange>) {
        let nothing = (HandOverFinding::Nothing, Vec::new());
        let known = self.placer.links.transferred(end.id);
        let reported = end.prompt.as_ref().and_then(|prompt| {
            Some(HandOver {
                source: catalog.key_of(&prompt.source)?,
                tokens: prompt.tokens,
            })
        });
        let (Some(hand_over), Some(target)) = (known.or(reported), catalog.key_of(&end.target))
        else {
            return nothing;
        };
        let Some(source) = catalog.get(hand_over.source) else {
            return nothing;
        };
        let time = |us: u32| Duration::from_micros(u64::from(us)).min(MAX_TIME);
        let ended = EndedHandOver {
            hand_over,
            target,
            took: time(end.took_us),
            ended_at: now.saturating_sub(time(end.age_us)),
            outcome: end.outcome,
        };
        let engine = limits(&source.service);
        self.placer.hand_over_ended(catalog, &ended, engine)
    }

    /// Puts the transfer of a placed prompt into the queue of its engine's link, unless the link speed
    /// is not known or the vm does not report the end.
    pub(super) fn queue_transfer(
        &mut self,
        prompt_request: &PromptPlacementRequest,
        placed: &Placement,
        engine: EngineLimits,
        now: Duration,
    ) {
        let tokens = prompt_request.parts.iter().map(|part| part.tokens).sum();
        let nominal_ms = Placer::nominal_ms(engine, tokens, false);
        if prompt_request.known_links.is_none() || nominal_ms <= 0.0 {
            return;
        }
        let hand_over = HandOver {
            source: placed.key,
            tokens,
        };
        let predicted_ms = placed
            .predicted_ms
            .clamp(0.0, MAX_TIME.as_secs_f64() * 1000.0);
        let ready_at = now + Duration::from_secs_f64(predicted_ms / 1000.0);
        self.placer
            .links
            .push(prompt_request.id, hand_over, nominal_ms, ready_at);
    }

    /// Adopts the slow links that another owner of a service sent, which this vm may succeed.
    pub fn adopt_slow_links(
        &mut self,
        catalog: &Catalog,
        service: &str,
        slow_links: Option<&SlowLinks>,
        now: Duration,
    ) {
        self.placer
            .succeed_slow_links(catalog, service, slow_links, now);
    }

    /// Number of links that are known to be slow.
    pub fn slow_link_count(&self, now: Duration) -> usize {
        self.placer.slow_link_count(now)
    }
}
