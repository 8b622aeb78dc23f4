//! Quotas of workspaces: tokens for requests, from the home of a workspace. See
//! [`jujubebeam_core::gateway::Quotas`].

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::future::Future;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use jujubebeam_core::VmId;
use jujubebeam_core::gateway::{
    QuotaCharge, QuotaDemand, QuotaQuery, QuotaReply, QuotaResult, QuotaSource, QuotaStep,
    ReturnedQuota,
};
use ntex::time::{Millis, sleep, timeout};
use tokio::sync::Notify;

use crate::answer::{Reason, Refusal};
use crate::decision_log::{DecisionKind, decision, millis};
use crate::job::Job;
use crate::state::Shared;

/// Timeout for the home's reply, as a share of the route's latency aim.
const REPLY_TIMEOUT_RATIO: f64 = 0.25;

/// Bounds of the timeout for the home's reply. An exchange takes 3 to 6 ms, and more at a busy vm.
/// After a timeout, a request depends on a small share, so the timeout is longer than that of
/// queries with a good substitute.
const REPLY_TIMEOUT_RANGE: (Duration, Duration) =
    (Duration::from_millis(25), Duration::from_millis(100));

/// Time for which returned tokens are batched into one message. It is short compared to the time in
/// which callers return.
const RETURN_BATCH_DELAY: Duration = Duration::from_millis(20);

/// Messages to the homes of workspaces.
pub(crate) trait QuotaPeers: Clone + 'static {
    /// Asks a home for tokens. `None` means that it did not reply with an answer.
    fn ask(
        &self,
        home: VmId,
        query: QuotaQuery,
    ) -> impl Future<Output = Option<QuotaReply>> + 'static;

    /// Gives tokens back to a home.
    fn give_back(&self, home: VmId, returned: Vec<ReturnedQuota>);
}

/// Tokens that have not been given back to their homes yet.
#[derive(Debug, Default)]
pub(crate) struct QuotaReturns {
    pending: Mutex<Vec<(VmId, ReturnedQuota)>>,
    added: Notify,
}

impl QuotaReturns {
    fn add(&self, home: VmId, returned: ReturnedQuota) {
        self.lock().push((home, returned));
        self.added.notify_one();
    }

    fn take(&self) -> Vec<(VmId, ReturnedQuota)> {
        std::mem::take(&mut *self.lock())
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Vec<(VmId, ReturnedQuota)>> {
        self.pending.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Gives tokens of requests that did not run back to their homes until the process ends.
pub(crate) async fn send_returns(shared: &Shared, peers: &impl QuotaPeers) {
    let returns = &shared.quota_returns;
    loop {
        returns.added.notified().await;
        sleep(RETURN_BATCH_DELAY).await;
        let mut by_home = BTreeMap::<VmId, Vec<ReturnedQuota>>::new();
        for (home, returned) in returns.take() {
            by_home.entry(home).or_default().push(returned);
        }
        for (home, returned) in by_home {
            peers.give_back(home, returned);
        }
    }
}

/// Tokens that a request has spent. They are given back when this is dropped, unless a target may
/// have run the request.
pub(crate) struct Charged {
    shared: Arc<Shared>,
    charge: RefCell<Option<QuotaCharge>>,
    may_have_run: Cell<bool>,
}

impl Charged {
    /// Records whether a target may have run the request, or may be about to.
    pub(crate) fn set_may_have_run(&self, may_have_run: bool) {
        self.may_have_run.set(may_have_run);
    }
}

impl Drop for Charged {
    fn drop(&mut self) {
        let charge = self.charge.take();
        let Some(charge) = charge.filter(|_| !self.may_have_run.get()) else {
            return;
        };
        let now = self.shared.now();
        let message = self.shared.quotas().refund(charge, now);
        self.shared.metrics.quota("returned");
        if let Some((home, returned)) = message {
            self.shared.quota_returns.add(home, returned);
        }
    }
}

/// Spends the tokens of a request from the quota of its workspace. Requests without a quota need
/// none.
///
/// # Errors
///
/// Returns the refusal if the quota is used up.
pub(crate) async fn charge(
    shared: &Arc<Shared>,
    peers: &impl QuotaPeers,
    job: &Job,
) -> Result<Charged, Refusal> {
    let charged = |charge| Charged {
        shared: shared.clone(),
        charge: RefCell::new(charge),
        may_have_run: Cell::new(false),
    };
    let Some((workspace, quota)) = job.quota() else {
        return Ok(charged(None));
    };
    let demand = QuotaDemand {
        workspace,
        quota,
        tokens: quota.cost(job.incoming.prompt_tokens, job.incoming.output_tokens),
    };
    if demand.tokens <= 0.0 {
        return Ok(charged(None));
    }
    let asked_at = shared.now();
    let (step, probe) = {
        let mut quotas = shared.quotas();
        let step = quotas.request(demand, asked_at);
        (step, quotas.take_probe(workspace, asked_at))
    };
    if let Some((home, query)) = probe {
        let (shared, probe) = (shared.clone(), peers.ask(home, query));
        ntex::rt::spawn(async move {
            let reply = probe.await;
            shared.quotas().probed(home, reply);
        });
    }
    let result = match step {
        QuotaStep::Done(result) => result,
        QuotaStep::Ask(home, query) => {
            let reply = ask(peers, home, query, job.route().latency_aim).await;
            if reply.is_none() {
                shared.metrics.quota("home_silent");
                decision!(
                    shared,
                    DecisionKind::Quota,
                    request = job.incoming.attempt_id.as_str(),
                    workspace,
                    home:% = home,
                    outcome = "home_silent"
                );
            }
            let now = shared.now();
            let mut quotas = shared.quotas();
            quotas.replied(demand, home, reply, asked_at, now)
        }
    };
    record(shared, job, &demand, &result);
    match result {
        Ok(charge) => Ok(charged(Some(charge))),
        Err(refusal) => Err(Refusal {
            retry_after: Some(refusal.retry_after),
            ..Refusal::status(
                Reason::QuotaUsedUp,
                ntex::http::StatusCode::TOO_MANY_REQUESTS,
            )
        }),
    }
}

async fn ask(
    peers: &impl QuotaPeers,
    home: VmId,
    query: QuotaQuery,
    latency_aim: Duration,
) -> Option<QuotaReply> {
    let (shortest, longest) = REPLY_TIMEOUT_RANGE;
    let max_wait = latency_aim
        .mul_f64(REPLY_TIMEOUT_RATIO)
        .clamp(shortest, longest);
    let returned = ReturnedQuota {
        workspace: query.workspace.clone(),
        tokens: query.tokens,
    };
    let (exchange, peers) = (peers.ask(home, query), peers.clone());
    let (send_reply, reply) = tokio::sync::oneshot::channel();
    // The exchange continues after the timeout, so that membership learns of a silent vm and tokens
    // that are granted late are given back.
    ntex::rt::spawn(async move {
        let unused = send_reply.send(exchange.await);
        if let Err(Some(QuotaReply::Granted { .. })) = unused {
            peers.give_back(home, vec![returned]);
        }
    });
    let answered = timeout(Millis(max_wait.as_millis() as u32), reply).await;
    answered.ok()?.ok().flatten()
}

fn record(shared: &Shared, job: &Job, demand: &QuotaDemand<'_>, result: &QuotaResult) {
    shared.metrics.quota(match result {
        Ok(charge) => match charge.source {
            QuotaSource::Home(_) => "granted",
            QuotaSource::Lease(_) => "lease",
            QuotaSource::Share => "share",
        },
        Err(refusal) if refusal.is_share => "share_used",
        Err(_) => "refused",
    });
    let Err(refusal) = result else {
        return;
    };
    decision!(
        shared,
        DecisionKind::Quota,
        request = job.incoming.attempt_id.as_str(),
        workspace = demand.workspace,
        tokens = demand.tokens as u64,
        rate_per_s = demand.quota.rate_per_s,
        outcome = if refusal.is_share {
            "share_used"
        } else {
            "refused"
        },
        retry_after_ms = millis(refusal.retry_after)
    );
}

/// Answers the query of another vm, as the home of the workspace.
pub(crate) fn answer(shared: &Shared, from: VmId, query: &QuotaQuery) -> QuotaReply {
    let settings = shared.settings();
    let quota = settings.and_then(|settings| settings.quota_of(&query.workspace));
    let now = shared.now();
    shared.quotas().answer(from, query, quota, now)
}

/// Takes back tokens that this vm has granted.
pub(crate) fn take_back(shared: &Shared, returned: &[ReturnedQuota]) {
    let mut quotas = shared.quotas();
    for returned in returned {
        quotas.give_back(returned);
    }
}

/// Updates the vms that may be homes.
pub(crate) fn tick(shared: &Shared, reachable_vms: usize, all_vms: usize, now: Duration) {
    let candidates = shared.membership().coordinator_candidates(now);
    shared
        .quotas()
        .tick(candidates, reachable_vms, all_vms, now);
}
