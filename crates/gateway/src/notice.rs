//! Notices that targets send about themselves: recorded, logged and gossiped to other vms.

use std::time::Duration;

use jujubebeam_core::gateway::{CatalogTarget, TargetKey, TargetRun};

use crate::adapters::{Adapters, BackoffRequest, RateLimitNotice, TargetNotice};
use crate::decision_log::{DecisionKind, decision, millis};
use crate::message::Message;
use crate::permit;
use crate::server::Context;

/// Applies the notice in an answer of a target.
pub(crate) fn apply_notice<A: Adapters>(
    context: &Context<A>,
    key: TargetKey,
    target: &CatalogTarget,
    notice: TargetNotice,
) {
    // The answer is from another target at the same address, so its notice does not apply here.
    if notice.is_from_other_target || notice == TargetNotice::default() {
        return;
    }
    let shared = &context.shared;
    if notice.is_leaving && shared.fleet().catalog.mark_leaving(key) {
        shared.metrics.notice("leaving");
        decision!(
            shared,
            DecisionKind::Notice,
            target = target.id.as_str(),
            notice = "leaving",
            from = "target",
            outcome = "no_new_work"
        );
    }
    if notice.is_leaving {
        context.pool.close_idle(key);
    }
    match notice.backoff {
        BackoffRequest::None => {}
        BackoffRequest::For(time) => {
            let now = shared.now();
            shared.fleet().placer.back_off(key, target.stage, time, now);
            shared.metrics.notice("rest");
            decision!(
                shared,
                DecisionKind::Notice,
                target = target.id.as_str(),
                notice = "rest",
                for_ms = millis(time),
                outcome = "no_work_until_then"
            );
        }
        BackoffRequest::Invalid => {
            shared.metrics.notice("unreadable_rest");
            decision!(
                shared,
                DecisionKind::Notice,
                target = target.id.as_str(),
                notice = "unreadable_rest",
                outcome = "ignored"
            );
        }
    }
}

/// Records whether an answer of a target to a request that was sent at `sent_at` states a rate
/// limit.
pub(crate) fn record_rate_limit<A: Adapters>(
    context: &Context<A>,
    key: TargetKey,
    target: &CatalogTarget,
    notice: TargetNotice,
    sent_at: Duration,
) {
    if notice.is_from_other_target {
        return;
    }
    let shared = &context.shared;
    let limit_per_s = match notice.rate_limit {
        RateLimitNotice::None => None,
        RateLimitNotice::PerSecond(per_s) => {
            shared.metrics.notice("limit");
            Some(per_s)
        }
        RateLimitNotice::Invalid => {
            shared.metrics.notice("unreadable_limit");
            decision!(
                shared,
                DecisionKind::Notice,
                target = target.id.as_str(),
                notice = "unreadable_limit",
                outcome = "ignored"
            );
            return;
        }
    };
    let now = shared.now();
    let is_changed = shared
        .fleet()
        .rate_limits
        .record(key, limit_per_s, sent_at, now);
    if is_changed {
        permit::apply_change(context, key, None);
    }
}

/// Merges the leaving targets that another vm has recorded. Returns those that it may not have.
pub(crate) fn merge_leaving<A: Adapters>(
    context: &Context<A>,
    runs: Vec<TargetRun>,
) -> Option<Message> {
    let shared = &context.shared;
    let (added, unknown) = {
        let mut fleet = shared.fleet();
        let mut own = fleet.catalog.leaving_runs();
        own.retain(|run| !runs.contains(run));
        let added = fleet.catalog.merge_leaving(runs);
        let name = |key| Some((key, fleet.catalog.get(key)?.id.clone()));
        let added: Vec<_> = added.into_iter().filter_map(name).collect();
        (added, own)
    };
    for (key, target) in added {
        context.pool.close_idle(key);
        shared.metrics.notice("leaving_heard");
        decision!(
            shared,
            DecisionKind::Notice,
            target = target,
            notice = "leaving",
            from = "vm",
            outcome = "no_new_work"
        );
    }
    (!unknown.is_empty()).then_some(Message::Leaving(unknown))
}
