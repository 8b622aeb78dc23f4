//! Permits for requests to targets that limit their requests per second. See
//! [`jujubebeam_core::gateway::Permits`].

use std::time::Duration;

use jujubebeam_core::VmId;
use jujubebeam_core::gateway::{
    PermitDemand, PermitQuery, PermitReply, RateLimitReport, TargetKey, owner_of, reply_timeout,
};
use ntex::time::{Millis, timeout};

use crate::adapters::Adapters;
use crate::decision_log::{DecisionKind, decision, millis};
use crate::message::Message;
use crate::peers;
use crate::server::Context;
use crate::state::{Fleet, Shared};

/// Time for which a target is omitted after this vm's share of its limit is used up. The owner may
/// reply again by then.
const SHARE_RETRY: Duration = Duration::from_millis(200);

/// Obtains a permit to send a request to a target of a service. A target without a limit needs none.
/// If none is available, the target is omitted from placement until one is expected.
pub(crate) async fn acquire<A: Adapters>(
    context: &Context<A>,
    service: &str,
    key: TargetKey,
    demand: PermitDemand,
    latency_aim: Duration,
) -> bool {
    let shared = &context.shared;
    let report = {
        let (fleet, now) = (shared.fleet(), shared.now());
        if fleet.rate_limits.limit_per_s(key).is_none() {
            return true;
        }
        fleet.rate_limits.report(&fleet.catalog, key, now)
    };
    // A target that was removed meanwhile gets no requests.
    let Some(target) = report else {
        return false;
    };
    let query = PermitQuery { target, demand };
    match query_owner(context, service, query, latency_aim).await {
        Some(PermitReply::Granted) => {
            shared.metrics.permit("granted");
            true
        }
        Some(PermitReply::Refused(waits)) => {
            shared.metrics.permit("refused");
            let now = shared.now();
            let mut fleet = shared.fleet();
            for (id, wait) in waits {
                fleet.hold(&id, wait, now);
            }
            false
        }
        Some(PermitReply::UnknownTarget) | None => take_share(shared, key),
    }
}

/// Queries the owner of a service, which may be this vm. `None` means that it did not reply.
async fn query_owner<A: Adapters>(
    context: &Context<A>,
    service: &str,
    query: PermitQuery,
    latency_aim: Duration,
) -> Option<PermitReply> {
    let shared = &context.shared;
    let owner = {
        let now = shared.now();
        let owner = owner_of_service(shared, service)?;
        shared
            .unresponsive_owners()
            .may_query(owner, now)
            .then_some(owner)
    }?;
    if owner == shared.vm {
        return Some(answer(context, owner, &query));
    }
    let max_wait = Millis(reply_timeout(latency_aim).as_millis() as u32);
    let exchange = peers::exchange(context, owner, vec![Message::AskPermit(query)]);
    let reply = timeout(max_wait, exchange).await.ok().flatten();
    let mut messages = reply.into_iter().flatten();
    let Some(Message::Permit(reply)) = messages.next() else {
        shared
            .unresponsive_owners()
            .record_timeout(owner, shared.now());
        return None;
    };
    Some(reply)
}

/// Answers the query of a vm, as the owner of the service.
pub(crate) fn answer<A: Adapters>(
    context: &Context<A>,
    from: VmId,
    query: &PermitQuery,
) -> PermitReply {
    merge_reports(context, from, std::slice::from_ref(&query.target));
    let shared = &context.shared;
    let now = shared.now();
    let mut fleet = shared.fleet();
    let Fleet {
        catalog,
        rate_limits,
        permits,
        ..
    } = &mut *fleet;
    permits.answer(catalog, rate_limits, query, now)
}

/// Takes a permit from this vm's share, because the owner does not reply.
fn take_share(shared: &Shared, key: TargetKey) -> bool {
    let now = shared.now();
    let mut fleet = shared.fleet();
    let Some(limit_per_s) = fleet.rate_limits.limit_per_s(key) else {
        return true;
    };
    let is_granted = fleet.permits.take_share(key, limit_per_s, now);
    if !is_granted {
        let id = fleet.catalog.get(key).map(|target| target.id.clone());
        fleet.hold(&id.unwrap_or_default(), SHARE_RETRY, now);
    }
    shared.metrics.permit(match is_granted {
        true => "share",
        false => "share_used",
    });
    is_granted
}

fn owner_of_service(shared: &Shared, service: &str) -> Option<VmId> {
    let now = shared.now();
    let vms = shared.membership().coordinator_candidates(now);
    owner_of(service, &vms)
}

/// Merges what another vm has heard of the rate limits of targets.
pub(crate) fn merge_reports<A: Adapters>(
    context: &Context<A>,
    from: VmId,
    reports: &[RateLimitReport],
) {
    let shared = &context.shared;
    let changed = {
        let now = shared.now();
        let mut fleet = shared.fleet();
        let Fleet {
            catalog,
            rate_limits,
            ..
        } = &mut *fleet;
        rate_limits.merge(catalog, reports, now)
    };
    for key in changed {
        apply_change(context, key, Some(from));
    }
}

/// Applies a changed limit of a target, which this vm has heard of in an answer or from another vm,
/// and announces it: to the owner of the service, which announces it to all.
pub(crate) fn apply_change<A: Adapters>(context: &Context<A>, key: TargetKey, from: Option<VmId>) {
    let shared = &context.shared;
    let now = shared.now();
    let (service, report) = {
        let mut fleet = shared.fleet();
        fleet.apply_limits();
        let service = fleet.catalog.get(key).map(|target| target.service.clone());
        let report = fleet.rate_limits.report(&fleet.catalog, key, now);
        (service.unwrap_or_default(), report)
    };
    let Some(report) = report else {
        return;
    };
    shared.metrics.notice(match from {
        Some(_) => "limit_heard",
        None => "limit_changed",
    });
    decision!(
        shared,
        DecisionKind::Notice,
        target = report.run.id.as_str(),
        notice = "limit",
        from = if from.is_some() { "vm" } else { "target" },
        limit_per_s = report.limit_per_s,
        age_ms = millis(report.age),
        outcome = "in_force"
    );
    let message = Message::RateLimits(vec![report]);
    let Some(owner) = owner_of_service(shared, &service) else {
        return;
    };
    if owner != shared.vm {
        // What another vm has reported is announced by the owner.
        if from.is_none() {
            peers::send(context, owner, vec![message]);
        }
        return;
    }
    for vm in peers::reachable_peers(context) {
        if Some(vm) != from {
            peers::send(context, vm, vec![message.clone()]);
        }
    }
}
