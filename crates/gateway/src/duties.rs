//! Usage reports, sent by the one vm that holds the lease.

use std::collections::BTreeSet;
use std::time::Duration;

use futures_util::future::join_all;
use jujubebeam_core::authority::{Command, Event, Scope};
use jujubebeam_core::gateway::WindowCounts;
use jujubebeam_core::store::{Expected, StoreOp, StoreReply};
use jujubebeam_core::{Fence, Machine};
use ntex::time::sleep;

use crate::config::GatewayDuty;
use crate::edges::{DutiesApi, DutyResult, Edges, StoreApi};
use crate::journal::LineKind;
use crate::message::Message;
use crate::peers;
use crate::server::Context;

/// Time between two looks at the lease and the windows.
const INTERVAL: Duration = Duration::from_millis(200);

/// Time after the end of a window before it is collected. Clocks of vms differ a little, and the
/// answers of requests that began in the window may be on their way.
const SETTLE: Duration = Duration::from_millis(1200);

/// Time before the report is due after which it is no longer sent.
const DUE_MARGIN: Duration = Duration::from_millis(500);

/// Rounds in which vms that did not answer are asked again.
const COLLECT_ROUNDS: usize = 3;

/// Performs the duties of this vm until the process ends.
pub(crate) async fn run<E: Edges>(context: &Context<E>) {
    let config = &context.shared.config;
    let Some(address) = config.duties_address else {
        return;
    };
    if !config.duties.contains(&GatewayDuty::Usage) {
        return;
    }
    let client = E::Duties::new(context.http.clone(), &address.to_string());
    feed(
        context,
        Event::Want {
            scope: Scope::Usage,
            checks_fencing: false,
        },
    );
    let mut reported = BTreeSet::new();
    loop {
        let vms = context.shared.membership().listed();
        feed(context, Event::Vms(vms));
        feed(context, Event::Tick);
        report_due(context, &client, &mut reported).await;
        sleep(INTERVAL).await;
    }
}

fn fence<E: Edges>(context: &Context<E>) -> Option<Fence> {
    let shared = &context.shared;
    shared.authority().fence(&Scope::Usage, shared.now())
}

async fn report_due<E: Edges>(
    context: &Context<E>,
    client: &E::Duties,
    reported: &mut BTreeSet<u64>,
) {
    let shared = &context.shared;
    if fence(context).is_none() {
        return;
    }
    let due = Duration::from_millis(shared.config.usage_due_ms);
    let window = {
        let usage = shared.usage();
        let now = usage.true_time.now(shared.now());
        let last = usage.windows.window_at(now.saturating_sub(SETTLE));
        let length = Duration::from_millis(shared.config.usage_window_ms);
        let behind = (due.as_nanos() / length.as_nanos().max(1)) as u64 + 1;
        (last.saturating_sub(behind)..last).find(|window| {
            let end = usage.windows.end_of(*window);
            !reported.contains(window) && now + DUE_MARGIN < end + due
        })
    };
    let Some(window) = window else {
        return;
    };
    let Some(counts) = frozen(context, window).await else {
        return;
    };
    // The lease may have been lost while the counts were collected.
    let Some(fence) = fence(context) else {
        return;
    };
    let holder = &shared.config.vm_name;
    let result = client.report_usage(holder, fence, window, &counts).await;
    shared.journal.write(
        LineKind::Duty,
        shared.now(),
        format_args!(
            "duty=usage window={window} fence={fence} requests={} outcome={result:?}",
            counts.0.values().sum::<u64>()
        ),
    );
    let is_final = match result {
        DutyResult::Accepted => true,
        DutyResult::Refused(status) => status != 429 && status < 500,
        DutyResult::Failed(_) => false,
    };
    if is_final {
        reported.insert(window);
        while reported.len() > 64 {
            reported.pop_first();
        }
    }
}

/// Figures of a window. They are in the store before anything is sent, so that every holder sends
/// the same.
async fn frozen<E: Edges>(context: &Context<E>, window: u64) -> Option<WindowCounts> {
    let key = format!("usage/{window}");
    let read = StoreOp::Get { key: key.clone() };
    if let StoreReply::Value {
        entry: Some(entry), ..
    } = context.store.perform(read.clone()).await
    {
        return rmp_serde::from_slice(&entry.value).ok();
    }
    let counts = collect(context, window).await;
    let op = StoreOp::Cas {
        key,
        expected: Expected::Absent,
        value: rmp_serde::to_vec(&counts).ok()?,
        lease: None,
        guard: None,
    };
    match context.store.perform(op).await {
        StoreReply::Written { .. } => Some(counts),
        // Another holder was first, or the outcome is unknown: the next round reads it.
        _ => None,
    }
}

async fn collect<E: Edges>(context: &Context<E>, window: u64) -> WindowCounts {
    let shared = &context.shared;
    let mut sum = shared.usage().windows.counts(window);
    let mut missing = peers::others(context);
    for _ in 0..COLLECT_ROUNDS {
        let questions = missing.iter().map(|vm| async move {
            let question = vec![Message::Collect { window }];
            (*vm, peers::exchange(context, *vm, question).await)
        });
        let answers = join_all(questions).await;
        for (vm, answer) in answers {
            let counts = answer
                .into_iter()
                .flatten()
                .find_map(|message| match message {
                    Message::Counts { window: w, counts } if w == window => Some(counts),
                    _ => None,
                });
            if let Some(counts) = counts {
                sum.add(&counts);
                missing.retain(|other| *other != vm);
            }
        }
        if missing.is_empty() {
            break;
        }
    }
    if !missing.is_empty() {
        shared.journal.write(
            LineKind::Duty,
            shared.now(),
            format_args!(
                "duty=usage window={window} vms_without_answer={}",
                missing.len()
            ),
        );
    }
    sum
}

/// Feeds the lease machine and performs its commands.
fn feed<E: Edges>(context: &Context<E>, event: Event<()>) {
    let shared = &context.shared;
    let mut commands = Vec::new();
    shared.authority().step(event, shared.now(), &mut commands);
    for command in commands {
        match command {
            Command::Store(call) => {
                let context = context.clone();
                ntex::rt::spawn(async move {
                    let reply = context.store.perform(call.op).await;
                    feed(&context, Event::Store(call.token, reply));
                });
            }
            Command::Acquired(scope, fence) => shared.journal.write(
                LineKind::Duty,
                shared.now(),
                format_args!("scope={scope} fence={fence} state=acquired"),
            ),
            Command::Lost(scope) => shared.journal.write(
                LineKind::Duty,
                shared.now(),
                format_args!("scope={scope} state=lost"),
            ),
            // No orders are given through the machine.
            Command::Send { .. } | Command::Finished { .. } | Command::Refused { .. } => {}
        }
    }
}
