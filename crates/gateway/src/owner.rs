//! Prompts are placed by the vm that owns their service. See [`jujubebeam_core::gateway::PromptOwner`].

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use jujubebeam_core::VmId;
use jujubebeam_core::gateway::{
    CatalogTarget, EngineLimits, PlacementRefused, PromptEnd, PromptOutcome, PromptPlacementReply,
    PromptPlacementRequest, Stage, TargetKey, owner_of, reply_timeout,
};
use ntex::time::{Millis, sleep, timeout};
use tokio::sync::Notify;

use crate::edges::{DutiesApi, Edges};
use crate::in_flight::{InFlight, Owned};
use crate::job::{Job, engine_limits};
use crate::journal::{LineKind, decision};
use crate::message::Message;
use crate::peers;
use crate::server::Context;
use crate::state::{Fleet, Shared};

/// Time in which ended prompts are collected for one message. Queues are hundreds of milliseconds
/// long when they matter.
const COLLECT_ENDS: Duration = Duration::from_millis(5);

/// News for the owners of prompts that has not been sent yet.
#[derive(Debug, Default)]
pub(crate) struct PromptEnds {
    ends: Mutex<Vec<(VmId, PromptEnd)>>,
    added: Notify,
}

impl PromptEnds {
    pub(crate) fn add(&self, owner: VmId, end: PromptEnd) {
        self.lock().push((owner, end));
        self.added.notify_one();
    }

    fn take(&self) -> Vec<(VmId, PromptEnd)> {
        std::mem::take(&mut *self.lock())
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Vec<(VmId, PromptEnd)>> {
        self.ends.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Tells the owners of prompts that ended, until the process ends.
pub(crate) async fn tell_ends<E: Edges>(context: &Context<E>) {
    let news = &context.shared.prompt_ends;
    loop {
        news.added.notified().await;
        sleep(COLLECT_ENDS).await;
        let mut by_owner = BTreeMap::<VmId, Vec<PromptEnd>>::new();
        for (owner, end) in news.take() {
            by_owner.entry(owner).or_default().push(end);
        }
        for (owner, ends) in by_owner {
            peers::send(context, owner, vec![Message::PromptsEnded(ends)]);
        }
    }
}

/// Places a prompt as the owner of its service.
pub(crate) fn place<E: Edges>(
    context: &Context<E>,
    question: &PromptPlacementRequest,
) -> PromptPlacementReply {
    let shared = &context.shared;
    let settings = shared.settings();
    let engine = settings.map(|settings| engine_limits(&settings, &question.service));
    let engine = engine.unwrap_or_default();
    let now = shared.now();
    let mut fleet = shared.fleet();
    let Fleet { catalog, owner, .. } = &mut *fleet;
    if owner.take_ownership(&question.service, now) {
        let engines = catalog.usable().filter(|(_, target)| {
            target.service == question.service && target.stage == Some(Stage::Prefill)
        });
        for (key, target) in engines {
            ask_kept_parts(context, key, target.clone(), engine);
        }
    }
    owner.place(catalog, question, engine, now)
}

/// Asks an engine which parts it keeps. The former owner knew, and its knowledge is gone.
fn ask_kept_parts<E: Edges>(
    context: &Context<E>,
    key: TargetKey,
    target: CatalogTarget,
    engine: EngineLimits,
) {
    let context = context.clone();
    ntex::rt::spawn(async move {
        let shared = &context.shared;
        let client = E::Duties::new(context.http.clone(), "");
        let kept = client.kept_parts(&target).await;
        decision!(
            shared,
            LineKind::KeptParts,
            target = target.id.as_str(),
            parts = kept.as_ref().map(Vec::len).ok(),
            fault = kept.as_ref().err().map(String::as_str)
        );
        if let Ok(parts) = kept {
            shared
                .fleet()
                .owner
                .record_cached_parts(key, &parts, engine);
        }
    });
}

/// Chooses the engine that computes a prompt. `None` means that this vm has to choose alone.
pub(crate) async fn choose<E: Edges>(
    context: &Context<E>,
    job: &Job,
    excluded: &[TargetKey],
    longest_wait: Duration,
) -> Option<Result<InFlight, PlacementRefused>> {
    let shared = &context.shared;
    let owner = {
        let now = shared.now();
        let vms = shared.membership().deciders(now);
        let owner = owner_of(&job.service, &vms)?;
        shared
            .silent_owners()
            .may_query(owner, now)
            .then_some(owner)
    }?;
    let question = question(shared, job, excluded, longest_wait);
    let owned = Owned::new(owner, question.id, shared.now());
    let answer = if owner == shared.vm {
        place(context, &question)
    } else {
        let time = Millis(reply_timeout(job.route().latency_aim).as_millis() as u32);
        let asked = peers::exchange(context, owner, vec![Message::PlacePrompt(question)]);
        let answer = timeout(time, asked).await.ok().flatten();
        let mut messages = answer.into_iter().flatten();
        let Some(Message::PromptPlaced(answer)) = messages.next() else {
            shared.metrics.placed("owner_silent");
            owned.ended(shared, PromptOutcome::GivenUp, None);
            shared.silent_owners().record_timeout(owner, shared.now());
            return None;
        };
        answer
    };
    accept(shared, job, owned, answer)
}

fn question(
    shared: &Shared,
    job: &Job,
    excluded: &[TargetKey],
    longest_wait: Duration,
) -> PromptPlacementRequest {
    let now = shared.now();
    let fleet = shared.fleet();
    let name = |key: TargetKey| fleet.catalog.get(key).map(|target| target.id.clone());
    let resting = fleet.placer.backing_off(now);
    let excluded = excluded.iter().copied().chain(resting);
    PromptPlacementRequest {
        id: shared.next_question(),
        service: job.service.clone(),
        parts: job.incoming.prompt_parts.iter().copied().collect(),
        excluded: excluded.filter_map(name).collect(),
        longest_wait,
        time_left: job.time_left(),
        zone: shared.config.zone.clone(),
    }
}

/// Takes over the owner's choice, unless this vm knows better of the engine.
fn accept(
    shared: &Arc<Shared>,
    job: &Job,
    owned: Owned,
    answer: PromptPlacementReply,
) -> Option<Result<InFlight, PlacementRefused>> {
    let now = shared.now();
    let mut fleet = shared.fleet();
    let Fleet {
        catalog,
        placer,
        owner,
    } = &mut *fleet;
    if owned.owner() != shared.vm {
        placer.adopt_prefill_cost(&job.service, answer.prefill_cost, now);
        owner.adopt_prefill_cost(&job.service, answer.prefill_cost, now);
    }
    let place = match answer.place {
        Ok(place) => place,
        Err(refused) => return Some(Err(refused)),
    };
    let key = catalog.key_of(&place.target);
    let target = key.and_then(|key| Some((key, catalog.get(key)?)));
    let usable = target
        .filter(|(key, target)| catalog.is_usable(*key) && target.stage == Some(Stage::Prefill));
    let Some((key, target)) = usable else {
        drop(fleet);
        owned.ended(shared, PromptOutcome::GivenUp, None);
        return None;
    };
    let zone = &shared.config.zone;
    let request = job.place_request(zone, &job.incoming.prompt_parts, &[]);
    let source = place.copied_from.as_ref().and_then(|id| catalog.key_of(id));
    let placed = placer.record_owner_placement(target, key, source, &place, &request, now);
    drop(fleet);
    Some(Ok(InFlight::owned(shared, placed, owned)))
}
