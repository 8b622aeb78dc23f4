//! Placement of prompts by the vm that owns their service. See
//! [`jujubebeam_core::gateway::PromptOwner`].

use std::collections::{BTreeMap, HashSet};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use jujubebeam_core::VmId;
use jujubebeam_core::gateway::{
    CatalogTarget, EngineLimits, HandOverEnd, PlacementRefused, PromptEnd, PromptOutcome,
    PromptPlacementReply, PromptPlacementRequest, Stage, TargetKey, owner_of, reply_timeout,
};
use ntex::time::{Millis, sleep, timeout};
use tokio::sync::Notify;

use crate::adapters::{Adapters, DutiesApi};
use crate::decision_log::{DecisionKind, decision};
use crate::in_flight::{InFlight, OwnerPlacement};
use crate::job::{Job, engine_limits};
use crate::message::Message;
use crate::peers;
use crate::server::Context;
use crate::state::{Fleet, Shared};

/// Time for which ended prompts are batched into one message. The delay is negligible: the queues
/// of engines are hundreds of milliseconds long when placement matters.
const ENDS_BATCH_DELAY: Duration = Duration::from_millis(5);

/// Version of slow links that no owner has, so that it replies with its own.
const UNKNOWN_LINKS: u64 = u64::MAX;

/// Ended prompts that have not been reported to their owners yet.
#[derive(Debug, Default)]
pub(crate) struct PromptEnds {
    ends: Mutex<Vec<(VmId, PromptEnd)>>,
    added: Notify,
    hand_overs: Mutex<HandOverReports>,
}

/// Ended hand-overs that have not been reported to their owners yet.
#[derive(Debug, Default)]
struct HandOverReports {
    /// The reports, and when their hand-overs ended.
    ends: Vec<(VmId, HandOverEnd, Duration)>,
    /// Owners that have sent their slow links, so that they can read the reports.
    readers: HashSet<VmId>,
}

impl PromptEnds {
    pub(crate) fn add(&self, owner: VmId, end: PromptEnd) {
        self.lock().push((owner, end));
        self.added.notify_one();
    }

    /// Adds the report of a hand-over that ended now, if the owner can read it.
    pub(crate) fn add_hand_over(&self, owner: VmId, end: HandOverEnd, now: Duration) {
        let mut hand_overs = self.lock_hand_overs();
        if hand_overs.readers.contains(&owner) {
            hand_overs.ends.push((owner, end, now));
            self.added.notify_one();
        }
    }

    /// Takes the reports of hand-overs, with their age.
    fn take_hand_overs(&self, now: Duration) -> impl Iterator<Item = (VmId, HandOverEnd)> + use<> {
        let ends = std::mem::take(&mut self.lock_hand_overs().ends);
        ends.into_iter().map(move |(owner, end, ended_at)| {
            let age = now.saturating_sub(ended_at).as_micros();
            let age_us = u32::try_from(age).unwrap_or(u32::MAX);
            (owner, HandOverEnd { age_us, ..end })
        })
    }

    /// Records whether an owner can read reports of hand-overs.
    fn set_reader(&self, owner: VmId, is_reader: bool) {
        let mut hand_overs = self.lock_hand_overs();
        match is_reader {
            true => hand_overs.readers.insert(owner),
            false => hand_overs.readers.remove(&owner),
        };
    }

    fn is_reader(&self, owner: VmId) -> bool {
        self.lock_hand_overs().readers.contains(&owner)
    }

    fn lock_hand_overs(&self) -> std::sync::MutexGuard<'_, HandOverReports> {
        let hand_overs = self.hand_overs.lock();
        hand_overs.unwrap_or_else(PoisonError::into_inner)
    }

    fn take(&self) -> Vec<(VmId, PromptEnd)> {
        std::mem::take(&mut *self.lock())
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Vec<(VmId, PromptEnd)>> {
        self.ends.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Reports ended prompts to their owners until the process ends.
pub(crate) async fn send_ends<A: Adapters>(context: &Context<A>) {
    let pending = &context.shared.prompt_ends;
    loop {
        pending.added.notified().await;
        sleep(ENDS_BATCH_DELAY).await;
        let mut by_owner = BTreeMap::<VmId, (Vec<PromptEnd>, Vec<HandOverEnd>)>::new();
        for (owner, end) in pending.take() {
            by_owner.entry(owner).or_default().0.push(end);
        }
        for (owner, end) in pending.take_hand_overs(context.shared.now()) {
            by_owner.entry(owner).or_default().1.push(end);
        }
        for (owner, (prompts, hand_overs)) in by_owner {
            let mut messages = Vec::with_capacity(2);
            if !prompts.is_empty() {
                messages.push(Message::PromptsEnded(prompts));
            }
            if !hand_overs.is_empty() {
                messages.push(Message::HandOversEnded(hand_overs));
            }
            peers::send(context, owner, messages);
        }
    }
}

/// Logs which prompts another vm could not send, or got no answer to.
pub(crate) fn record_failures(shared: &Shared, from: VmId, ends: &[PromptEnd]) {
    let count = |outcome| ends.iter().filter(|end| end.outcome == outcome).count();
    let unreachable = count(PromptOutcome::Unreachable);
    let failed = count(PromptOutcome::Failed);
    if unreachable + failed > 0 {
        decision!(
            shared,
            DecisionKind::PromptsFailed,
            from:% = from,
            unreachable = unreachable,
            failed = failed
        );
    }
}

/// Chooses an engine for a prompt, as the owner of its service.
pub(crate) fn place<A: Adapters>(
    context: &Context<A>,
    query: &PromptPlacementRequest,
) -> PromptPlacementReply {
    let shared = &context.shared;
    let settings = shared.settings();
    let engine = settings.map(|settings| engine_limits(&settings, &query.service));
    let engine = engine.unwrap_or_default();
    let now = shared.now();
    let mut fleet = shared.fleet();
    let Fleet {
        catalog,
        owner,
        rate_limits,
        permits,
        ..
    } = &mut *fleet;
    if owner.take_ownership(&query.service, now) {
        // The query would be one more request to an engine that limits them.
        let engines = catalog.usable(now).filter(|(key, target)| {
            target.service == query.service
                && target.stage == Some(Stage::Prefill)
                && rate_limits.limit_per_s(*key).is_none()
        });
        for (key, target) in engines {
            query_cached_parts(context, key, target.clone(), engine);
        }
    }
    owner.place_within_limits(catalog, rate_limits, permits, query, engine, now)
}

/// Queries an engine for the prompt parts that it caches. A new owner does not have the cache state
/// that the former owner had recorded.
fn query_cached_parts<A: Adapters>(
    context: &Context<A>,
    key: TargetKey,
    target: CatalogTarget,
    engine: EngineLimits,
) {
    let context = context.clone();
    ntex::rt::spawn(async move {
        let shared = &context.shared;
        let client = A::Duties::new(context.http.clone(), "");
        let cached = client.cached_parts(&target).await;
        decision!(
            shared,
            DecisionKind::KeptParts,
            target = target.id.as_str(),
            parts = cached.as_ref().map(Vec::len).ok(),
            fault = cached.as_ref().err().map(String::as_str)
        );
        if let Ok(parts) = cached {
            shared
                .fleet()
                .owner
                .record_cached_parts(key, &parts, engine);
        }
    });
}

/// Lets the owner of the service choose the engine that computes a prompt. `None` means that this
/// vm has to choose from its own state.
pub(crate) async fn choose<A: Adapters>(
    context: &Context<A>,
    job: &Job,
    excluded: &[TargetKey],
    longest_wait: Duration,
) -> Option<Result<InFlight, PlacementRefused>> {
    let shared = &context.shared;
    let owner = {
        let now = shared.now();
        let vms = shared.membership().coordinator_candidates(now);
        let owner = owner_of(job.service(), &vms)?;
        shared
            .unresponsive_owners()
            .may_query(owner, now)
            .then_some(owner)
    }?;
    let query = build_query(shared, job, owner, excluded, longest_wait);
    let owned = OwnerPlacement::new(owner, query.id, shared.now());
    let answer = if owner == shared.vm {
        place(context, &query)
    } else {
        let max_wait = Millis(reply_timeout(job.route().latency_aim).as_millis() as u32);
        let exchange = peers::exchange(context, owner, vec![Message::PlacePrompt(query)]);
        let answer = timeout(max_wait, exchange).await.ok().flatten();
        let placed = answer.into_iter().flatten().next();
        let placed = placed.and_then(|message| match message {
            Message::PromptPlaced(answer) if answer.is_plausible() => Some(answer),
            _ => None,
        });
        let Some(answer) = placed else {
            shared.metrics.placed("owner_silent");
            owned.ended(shared, PromptOutcome::GivenUp, None);
            shared.prompt_ends.set_reader(owner, false);
            shared
                .unresponsive_owners()
                .record_timeout(owner, shared.now());
            return None;
        };
        answer
    };
    accept(shared, job, owned, answer)
}

fn build_query(
    shared: &Shared,
    job: &Job,
    owner: VmId,
    excluded: &[TargetKey],
    longest_wait: Duration,
) -> PromptPlacementRequest {
    let now = shared.now();
    // An owner that has not sent its slow links is asked for them, whatever they are.
    let is_reader = owner == shared.vm || shared.prompt_ends.is_reader(owner);
    let fleet = shared.fleet();
    let known_links = match is_reader {
        true => fleet.placer.known_links(job.service()),
        false => UNKNOWN_LINKS,
    };
    let name = |key: TargetKey| fleet.catalog.get(key).map(|target| target.id.clone());
    let backing_off = fleet.placer.backing_off(now);
    let excluded = excluded.iter().copied().chain(backing_off);
    PromptPlacementRequest {
        id: shared.next_query_id(),
        service: job.service().to_owned(),
        parts: job.incoming.prompt_parts.iter().copied().collect(),
        excluded: excluded.filter_map(name).collect(),
        longest_wait,
        time_left: job.time_left(),
        zone: shared.config.zone.clone(),
        rank: job.rank(),
        is_continuation: job.is_continuation(),
        known_links: Some(known_links),
    }
}

/// Applies the owner's choice, unless the engine is unusable according to this vm.
fn accept(
    shared: &Arc<Shared>,
    job: &Job,
    owned: OwnerPlacement,
    answer: PromptPlacementReply,
) -> Option<Result<InFlight, PlacementRefused>> {
    let now = shared.now();
    let mut fleet = shared.fleet();
    let Fleet {
        catalog,
        placer,
        owner,
        ..
    } = &mut *fleet;
    if owned.owner() != shared.vm {
        placer.adopt_prefill_cost(job.service(), answer.prefill_cost, now);
        owner.adopt_prefill_cost(job.service(), answer.prefill_cost, now);
        owner.adopt_slow_links(catalog, job.service(), answer.slow_links.as_ref(), now);
    }
    if answer.slow_links.is_some() {
        shared.prompt_ends.set_reader(owned.owner(), true);
    }
    let slow_links = answer.slow_links.as_ref();
    placer.adopt_slow_links(catalog, job.service(), slow_links, now);
    let choice = match answer.place {
        Ok(choice) => choice,
        Err(refused) => return Some(Err(refused)),
    };
    let key = catalog.key_of(&choice.target);
    let target = key.and_then(|key| Some((key, catalog.get(key)?)));
    let usable = target.filter(|(key, target)| {
        catalog.is_usable(*key, now) && target.stage == Some(Stage::Prefill)
    });
    let Some((key, target)) = usable else {
        drop(fleet);
        owned.ended(shared, PromptOutcome::GivenUp, None);
        return None;
    };
    let zone = &shared.config.zone;
    let request = job.placement_request(zone, &job.incoming.prompt_parts, &[]);
    let source = choice
        .copied_from
        .as_ref()
        .and_then(|id| catalog.key_of(id));
    let placement = placer.record_owner_placement(target, key, source, &choice, &request, now);
    drop(fleet);
    Some(Ok(InFlight::owned(shared, placement, owned)))
}
