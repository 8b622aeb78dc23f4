//! What targets say of themselves: remembered, logged, and told to other vms.

use jujubebeam_core::gateway::{CatalogTarget, TargetKey, TargetRun};

use crate::edges::{Edges, RestWish, TargetNotice};
use crate::journal::{LineKind, decision, millis};
use crate::message::Message;
use crate::server::Context;

/// Takes over what a target said with an answer.
pub(crate) fn learn<E: Edges>(
    context: &Context<E>,
    key: TargetKey,
    target: &CatalogTarget,
    notice: TargetNotice,
) {
    // The target that was meant is not at its address any more and has said nothing.
    if notice.is_of_another || notice == TargetNotice::default() {
        return;
    }
    let shared = &context.shared;
    if notice.is_leaving && shared.fleet().catalog.mark_leaving(key) {
        shared.metrics.notice("leaving");
        decision!(
            shared,
            LineKind::Notice,
            target = target.id.as_str(),
            notice = "leaving",
            from = "target",
            outcome = "no_new_work"
        );
    }
    if notice.is_leaving {
        context.pool.close_idle(key);
    }
    match notice.rest {
        RestWish::None => {}
        RestWish::For(time) => {
            let now = shared.now();
            shared.fleet().placer.back_off(key, target.stage, time, now);
            shared.metrics.notice("rest");
            decision!(
                shared,
                LineKind::Notice,
                target = target.id.as_str(),
                notice = "rest",
                for_ms = millis(time),
                outcome = "no_work_until_then"
            );
        }
        RestWish::Unreadable => {
            shared.metrics.notice("unreadable_rest");
            decision!(
                shared,
                LineKind::Notice,
                target = target.id.as_str(),
                notice = "unreadable_rest",
                outcome = "ignored"
            );
        }
    }
}

/// Takes over what another vm heard. Returns what that vm may not know.
pub(crate) fn hear<E: Edges>(context: &Context<E>, runs: Vec<TargetRun>) -> Option<Message> {
    let shared = &context.shared;
    let (news, unknown) = {
        let mut fleet = shared.fleet();
        let mut own = fleet.catalog.leaving_runs();
        own.retain(|run| !runs.contains(run));
        let news = fleet.catalog.merge_leaving(runs);
        let name = |key| Some((key, fleet.catalog.get(key)?.id.clone()));
        let news: Vec<_> = news.into_iter().filter_map(name).collect();
        (news, own)
    };
    for (key, target) in news {
        context.pool.close_idle(key);
        shared.metrics.notice("leaving_heard");
        decision!(
            shared,
            LineKind::Notice,
            target = target,
            notice = "leaving",
            from = "vm",
            outcome = "no_new_work"
        );
    }
    (!unknown.is_empty()).then_some(Message::Leaving(unknown))
}
