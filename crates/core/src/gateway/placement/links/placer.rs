//! Use of the links by the placement of requests.

use super::advice::advise;
use super::{
    EndedHandOver, HandOver, HandOverFinding, LinkChange, SLOW_FACTOR, SlowLinks, milliseconds,
};
use std::collections::HashMap;
use std::time::Duration;

use crate::gateway::catalog::{Catalog, CatalogTarget, Stage};
use crate::gateway::placement::Placer;
use crate::gateway::placement::candidate::Candidate;
use crate::gateway::placement::request::PlacementRequest;
use crate::gateway::settings::EngineLimits;

impl Placer {
    /// Time of a transfer over idle, sound links in milliseconds, or 0 if it is not known.
    pub(in crate::gateway) fn nominal_ms(
        engine: EngineLimits,
        tokens: u64,
        is_other_zone: bool,
    ) -> f64 {
        let time = engine.copy_time(tokens, is_other_zone);
        time.map_or(0.0, milliseconds)
    }

    /// Adds the additional time of the hand-over to a candidate.
    pub(in crate::gateway::placement) fn add_link_delay(
        &self,
        catalog: &Catalog,
        candidate: &mut Candidate<'_>,
        request: &PlacementRequest<'_>,
        now: Duration,
    ) {
        let key = candidate.key;
        if request.stage == Some(Stage::Prefill) {
            let tokens = request.parts.iter().map(|part| part.tokens).sum();
            let nominal_ms = Self::nominal_ms(request.engine, tokens, false);
            if nominal_ms > 0.0 {
                let ready_ms = candidate.predicted_ms;
                let delay_ms = self.links.delay_from_ms(key, nominal_ms, ready_ms, now);
                candidate.link_wait_ms = delay_ms;
                let others_ms = self.links.delay_of_others_ms(key, None, nominal_ms, now);
                candidate.drawback_ms += delay_ms + others_ms;
            }
        } else if let Some(hand_over) = request.hand_over {
            let nominal_ms = Self::hand_over_ms(catalog, candidate.target, hand_over, request);
            if nominal_ms > 0.0 {
                let source = Some(hand_over.source);
                let links = &self.links;
                let waiting = candidate.expected_in_flight;
                candidate.drawback_ms += links.delay_to_ms(key, source, nominal_ms, now)
                    + links.delay_of_others_ms(key, source, nominal_ms, now)
                    + links.queue_to_ms(key, waiting, nominal_ms, now);
            }
        }
    }

    /// Time of the transfer of a computed prompt to a target over idle, sound links.
    fn hand_over_ms(
        catalog: &Catalog,
        target: &CatalogTarget,
        hand_over: HandOver,
        request: &PlacementRequest<'_>,
    ) -> f64 {
        let source = catalog.get(hand_over.source);
        let is_other_zone = source.is_some_and(|source| source.zone != target.zone);
        Self::nominal_ms(request.engine, hand_over.tokens, is_other_zone)
    }

    /// Records the use of links by a request that was placed at a candidate.
    pub(in crate::gateway::placement) fn record_link_use(
        &mut self,
        catalog: &Catalog,
        candidate: &Candidate<'_>,
        request: &PlacementRequest<'_>,
        now: Duration,
    ) {
        if let Some(from) = candidate.copied_from {
            self.links
                .record_copy(from, candidate.key, candidate.copy_link_ms, now);
        }
        if let Some(hand_over) = request.hand_over {
            let nominal_ms = Self::hand_over_ms(catalog, candidate.target, hand_over, request);
            let vms = self.unseen_load_ratio + 1.0;
            self.links
                .record_received(candidate.key, nominal_ms, vms, now);
        }
    }

    /// Records that a hand-over has ended, and returns what it showed and which links are faster or
    /// slower since.
    pub fn hand_over_ended(
        &mut self,
        catalog: &Catalog,
        ended: &EndedHandOver,
        engine: EngineLimits,
    ) -> (HandOverFinding, Vec<LinkChange>) {
        let HandOver { source, tokens } = ended.hand_over;
        let (Some(from), Some(to)) = (catalog.get(source), catalog.get(ended.target)) else {
            return (HandOverFinding::Nothing, Vec::new());
        };
        let nominal_ms = Self::nominal_ms(engine, tokens, from.zone != to.zone);
        if nominal_ms <= 0.0 {
            return (HandOverFinding::Nothing, Vec::new());
        }
        let keys = [source, ended.target];
        let at = ended.ended_at;
        let before = keys.map(|key| self.links.is_slow(key, at));
        let finding = self.links.learn(&from.service, ended, nominal_ms);
        let changes = keys.into_iter().zip(before).filter_map(|(key, was_slow)| {
            let factor = self.links.factor(key, at);
            let is_slow = factor >= SLOW_FACTOR;
            (is_slow != was_slow).then_some(LinkChange { key, factor })
        });
        (finding, changes.collect())
    }

    /// Version of the slow links that this vm knows from the owner of a service.
    pub fn known_links(&self, service: &str) -> u64 {
        self.links.advice.version(service)
    }

    /// Adopts the slow links that the owner of a service sent, or confirms the known ones.
    pub fn adopt_slow_links(
        &mut self,
        catalog: &Catalog,
        service: &str,
        slow_links: Option<&SlowLinks>,
        now: Duration,
    ) {
        self.links.advice.adopt(catalog, service, slow_links, now);
    }

    /// Takes the slow links that another owner sent for evidence of this one. Without it, a new owner
    /// would place prompts on all slow links again before it knows them.
    pub(in crate::gateway) fn succeed_slow_links(
        &mut self,
        catalog: &Catalog,
        service: &str,
        slow_links: Option<&SlowLinks>,
        now: Duration,
    ) {
        let engines = catalog.iter().filter(|(_, t)| t.service == service);
        let Some(slow_links) = slow_links else {
            let keys = engines.map(|(key, _)| key);
            return self.links.confirm(keys, now);
        };
        let mut slow = HashMap::new();
        for link in slow_links.bounded() {
            slow.insert(link.target.as_str(), link.factor());
        }
        for (key, target) in engines {
            let factor = slow.get(target.id.as_str()).copied();
            self.links.succeed(key, factor, now);
        }
    }

    /// The slow links of a service, unless the vm knows this version. Now and then one link is omitted,
    /// so that the vm tests it if it chooses that engine. If the factor decayed instead, all vms would
    /// test the link at once.
    pub(in crate::gateway) fn slow_links(
        &mut self,
        catalog: &Catalog,
        service: &str,
        known: u64,
        now: Duration,
    ) -> Option<SlowLinks> {
        let mut slow = Vec::new();
        let mut omitted = None;
        for (key, target) in catalog.iter().filter(|(_, t)| t.service == service) {
            let factor = self.links.held_factor(key, now);
            if factor < SLOW_FACTOR {
                continue;
            }
            let is_decode = target.stage == Some(Stage::Decode);
            if is_decode && omitted.is_none() && self.links.is_test_due(key, now) {
                omitted = Some(key);
                continue;
            }
            slow.push((target, factor));
        }
        if let Some(key) = omitted {
            self.links.record_test(key, now);
        }
        let advised = advise(slow.into_iter());
        (advised.version != known).then_some(advised)
    }

    /// Number of links that are known to be slow.
    pub fn slow_link_count(&self, now: Duration) -> usize {
        let keys = self.links.engines.keys();
        let factors = keys.map(|key| self.links.held_factor(*key, now));
        factors.filter(|factor| *factor >= SLOW_FACTOR).count()
    }
}
