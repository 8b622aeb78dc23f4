//! At-most-once execution of requests: tickets, marks in the store and stored answers.
//!
//! See `docs/design.md`, section 5.2. Each request carries an idempotency key. If the key is a
//! ticket, the ledger of the process run that issued it prevents a second execution. If the caller
//! chose the key, a create-only mark in the store does so: it names the ledger that may execute the
//! request.

mod config;
mod entry;
mod marks;
mod peers;
mod ticket;
mod types;

use std::collections::HashMap;
use std::time::Duration;

use smallvec::{SmallVec, smallvec};

pub use config::OnceConfig;
use entry::{Entries, Entry, Phase};
use marks::Call;
pub use ticket::{TICKET_LIFETIME, Ticket, TicketIssuer, hmac_sha256};
pub use types::{
    BodyHash, ExecutionResult, KeyKind, Mark, OnceCommand, OnceEvent, OnceKey, OnceMessage,
    OnceOutcome, OnceRefusal, StoredAnswer,
};

use crate::invariant::{self, Invariant};
use crate::store::{CallToken, LeaseId};
use crate::{Incarnation, Machine, RequestId, VmId};

#[derive(Clone, Copy, Debug)]
struct OutcomeQuery {
    request: RequestId,
    key: OnceKey,
    deadline: Duration,
    /// Mark whose vm was queried, and when to query it again.
    queried_mark: Option<(Mark, Duration)>,
}

/// One shard of the ledger of one process run.
#[derive(Debug)]
pub struct OnceLedger {
    config: OnceConfig,
    vm: VmId,
    incarnation: Incarnation,
    /// Increment of serials. Shards start at different serials, so that a serial is unique within
    /// the process run.
    serial_step: u64,
    next_serial: u64,
    next_token: u64,
    entries: Entries,
    queries: Vec<OutcomeQuery>,
    /// Keys with pending store calls or queries, whose deadlines and retries are polled.
    pending: Vec<OnceKey>,
    queue: Vec<OnceKey>,
    flush_at: Option<Duration>,
    lease: Option<(LeaseId, Duration)>,
    lease_call: Option<CallToken>,
    calls: HashMap<CallToken, Call>,
}

impl OnceLedger {
    /// Creates shard number `shard` of `shards`.
    pub fn new(
        config: OnceConfig,
        vm: VmId,
        incarnation: Incarnation,
        shard: usize,
        shards: usize,
    ) -> Self {
        Self {
            config,
            vm,
            incarnation,
            serial_step: shards as u64,
            next_serial: shard as u64,
            next_token: 0,
            entries: Entries::default(),
            queries: Vec::new(),
            pending: Vec::new(),
            queue: Vec::new(),
            flush_at: None,
            lease: None,
            lease_call: None,
            calls: HashMap::new(),
        }
    }

    /// Returns the number of keys in the ledger.
    pub fn len(&self) -> usize {
        self.entries.map.len()
    }

    /// Whether the ledger is empty.
    pub fn is_empty(&self) -> bool {
        self.entries.map.is_empty()
    }

    /// Returns the memory used by stored answers.
    pub fn kept_bytes(&self) -> usize {
        self.entries.kept_bytes()
    }

    fn mark(&self, serial: u64) -> Mark {
        Mark {
            vm: self.vm,
            incarnation: self.incarnation,
            serial,
        }
    }

    fn begin(&mut self, begin: Begin, now: Duration, out: &mut Vec<OnceCommand>) {
        let Begin { request, key, .. } = begin;
        if self.entries.map.contains_key(&key) {
            return self.handle_duplicate(begin, now, out);
        }
        let refusal = match begin.kind {
            _ if self.entries.map.len() >= self.config.max_entries => Some(OnceRefusal::Full),
            KeyKind::Ticket { expires } if now >= expires => Some(OnceRefusal::TicketExpired),
            _ => None,
        };
        if let Some(refusal) = refusal {
            return out.push(OnceCommand::Refuse { request, refusal });
        }
        self.insert(key, begin.kind, Some(begin.body), begin.deadline);
        if let Some(entry) = self.entries.map.get_mut(&key) {
            entry.waiters.push(request);
        }
        match begin.kind {
            KeyKind::CallerChosen if self.config.marks => self.queue_mark(key, now, out),
            _ => self.run(key, out),
        }
    }

    fn insert(&mut self, key: OnceKey, kind: KeyKind, body: Option<BodyHash>, deadline: Duration) {
        let serial = self.next_serial;
        self.next_serial += self.serial_step;
        let retain_until = match kind {
            KeyKind::Ticket { expires } => expires,
            KeyKind::CallerChosen => Duration::ZERO,
        };
        let entry = Entry {
            phase: Phase::Queued,
            body,
            serial,
            deadline,
            retain_until,
            waiters: SmallVec::new(),
            create_unknown: false,
            runs: 0,
        };
        self.entries.map.insert(key, entry);
    }

    fn handle_duplicate(&mut self, begin: Begin, now: Duration, out: &mut Vec<OnceCommand>) {
        let Begin { request, key, .. } = begin;
        let waiters = self.config.max_waiters;
        let Some(entry) = self.entries.map.get_mut(&key) else {
            return;
        };
        if *entry.body.get_or_insert(begin.body) != begin.body {
            let refusal = OnceRefusal::BodyDiffers;
            return out.push(OnceCommand::Refuse { request, refusal });
        }
        match &entry.phase {
            Phase::Final(outcome) => out.push(OnceCommand::Outcome {
                request,
                outcome: outcome.clone(),
            }),
            Phase::GivenUp => out.push(OnceCommand::Refuse {
                request,
                refusal: OnceRefusal::GivenUp,
            }),
            Phase::Held => self.run_held(begin, now, out),
            _ if entry.waiters.len() < waiters => entry.waiters.push(request),
            _ => out.push(OnceCommand::Outcome {
                request,
                outcome: OnceOutcome::Running,
            }),
        }
    }

    fn run_held(&mut self, begin: Begin, now: Duration, out: &mut Vec<OnceCommand>) {
        let Begin { request, key, .. } = begin;
        if let KeyKind::Ticket { expires } = begin.kind
            && now >= expires
        {
            let refusal = OnceRefusal::TicketExpired;
            return out.push(OnceCommand::Refuse { request, refusal });
        }
        if let Some(entry) = self.entries.map.get_mut(&key) {
            entry.waiters = smallvec![request];
            entry.deadline = begin.deadline;
        }
        self.run(key, out);
    }

    /// Hands out the first waiting request for execution.
    fn run(&mut self, key: OnceKey, out: &mut Vec<OnceCommand>) {
        let Some(entry) = self.entries.map.get_mut(&key) else {
            return;
        };
        if entry.waiters.is_empty() {
            return;
        }
        invariant::check(Invariant::AtMostOnce, entry.runs == 0, || {
            format!("key {} is handed out a second time", key.store_key())
        });
        let given_up = matches!(entry.phase, Phase::GivenUp | Phase::Final(_));
        invariant::check(Invariant::NotRunIsTrue, !given_up, || {
            format!("key {} runs after it was given up", key.store_key())
        });
        entry.runs += 1;
        entry.phase = Phase::Running;
        let request = entry.waiters.remove(0);
        out.push(OnceCommand::Run { request, key });
    }

    fn ended(
        &mut self,
        key: OnceKey,
        end: ExecutionResult,
        now: Duration,
        out: &mut Vec<OnceCommand>,
    ) {
        let Some(entry) = self.entries.map.get_mut(&key) else {
            return;
        };
        if entry.phase != Phase::Running {
            return;
        }
        let retain_until = now + self.config.retention;
        match end {
            ExecutionResult::NotSent => {
                entry.runs -= 1;
                for request in entry.take_waiters() {
                    let refusal = OnceRefusal::NotSent;
                    out.push(OnceCommand::Refuse { request, refusal });
                }
                self.entries.settle(key, Phase::Held, retain_until);
            }
            ExecutionResult::Answer(mut stored) => {
                if stored.body.as_ref().map_or(0, Vec::len) > self.config.max_answer_bytes {
                    stored.body = None;
                }
                self.finish(key, OnceOutcome::Done(stored), now, out);
            }
            ExecutionResult::Lost => self.finish(key, OnceOutcome::Unknown, now, out),
        }
    }

    /// Makes an outcome final and sends it to all waiting requests.
    fn finish(
        &mut self,
        key: OnceKey,
        outcome: OnceOutcome,
        now: Duration,
        out: &mut Vec<OnceCommand>,
    ) {
        let Some(entry) = self.entries.map.get_mut(&key) else {
            return;
        };
        let not_run = outcome == OnceOutcome::NotRun;
        invariant::check(Invariant::NotRunIsTrue, !not_run || entry.runs == 0, || {
            format!("key {} is declared not run after it ran", key.store_key())
        });
        for request in entry.take_waiters() {
            out.push(OnceCommand::Outcome {
                request,
                outcome: outcome.clone(),
            });
        }
        let (end, limit) = (now + self.config.retention, self.config.max_kept_bytes);
        self.entries.finish(key, outcome, end, limit);
    }

    /// Answers the requests that wait for a key and removes its entry. Allowed only for keys whose
    /// mark belongs to another ledger, and for keys without a create call that may take effect.
    fn remove_entry(&mut self, key: OnceKey, out: &mut Vec<OnceCommand>, answer: Answer) {
        let Some(mut entry) = self.entries.map.remove(&key) else {
            return;
        };
        answer_waiters(&mut entry, answer, out);
    }

    fn tick(&mut self, now: Duration, out: &mut Vec<OnceCommand>) {
        self.entries.expire(now);
        if self.flush_at.is_some_and(|at| at <= now) {
            self.flush(now, out);
        }
        for key in std::mem::take(&mut self.pending) {
            if self.poll_pending_key(key, now, out) {
                self.pending.push(key);
            }
        }
        self.poll_queries(now, out);
    }

    /// Retries or gives up one pending key. Returns false once the key is no longer pending.
    fn poll_pending_key(
        &mut self,
        key: OnceKey,
        now: Duration,
        out: &mut Vec<OnceCommand>,
    ) -> bool {
        let Some(entry) = self.entries.map.get(&key) else {
            return false;
        };
        let late = entry.deadline <= now;
        match entry.phase.clone() {
            Phase::Queued if late => {
                self.queue.retain(|queued| *queued != key);
                // A key that was queued again may still have an earlier create call in flight.
                match entry.create_unknown {
                    true => self.give_up(key, now, out),
                    false => {
                        self.remove_entry(key, out, Answer::Refuse(OnceRefusal::StoreUnavailable))
                    }
                }
            }
            Phase::Marking | Phase::ReadBack { .. } if late => self.give_up(key, now, out),
            Phase::Querying { .. } if late => {
                self.remove_entry(key, out, Answer::Outcome(OnceOutcome::Unknown));
            }
            Phase::ReadBack { at } if at <= now => self.read_back(key, out),
            Phase::Querying { mark, at } if at <= now => self.query_holder(key, mark, now, out),
            Phase::Queued | Phase::Marking | Phase::ReadBack { .. } | Phase::Querying { .. } => {}
            Phase::Running | Phase::Held | Phase::GivenUp | Phase::Final(_) => return false,
        }
        true
    }

    fn give_up(&mut self, key: OnceKey, now: Duration, out: &mut Vec<OnceCommand>) {
        let Some(entry) = self.entries.map.get_mut(&key) else {
            return;
        };
        if !self.config.give_up_is_final {
            // Fault injected by tests: the refusal is sent, but the request may still run.
            let waiting = entry.waiters.clone();
            answer_waiters(entry, Answer::Refuse(OnceRefusal::GivenUp), out);
            entry.waiters = waiting;
            entry.deadline = Duration::MAX;
            return;
        }
        answer_waiters(entry, Answer::Refuse(OnceRefusal::GivenUp), out);
        let end = now + self.config.retention;
        self.entries.settle(key, Phase::GivenUp, end);
    }
}

struct Begin {
    request: RequestId,
    key: OnceKey,
    kind: KeyKind,
    body: BodyHash,
    deadline: Duration,
}

enum Answer {
    Refuse(OnceRefusal),
    Outcome(OnceOutcome),
}

fn answer_waiters(entry: &mut Entry, answer: Answer, out: &mut Vec<OnceCommand>) {
    for request in entry.take_waiters() {
        out.push(match &answer {
            Answer::Refuse(refusal) => OnceCommand::Refuse {
                request,
                refusal: *refusal,
            },
            Answer::Outcome(outcome) => OnceCommand::Outcome {
                request,
                outcome: outcome.clone(),
            },
        });
    }
}

impl Machine for OnceLedger {
    type Event = OnceEvent;
    type Command = OnceCommand;

    fn step(&mut self, event: OnceEvent, now: Duration, out: &mut Vec<OnceCommand>) {
        match event {
            OnceEvent::Tick => self.tick(now, out),
            OnceEvent::Begin {
                request,
                key,
                kind,
                body,
                deadline,
            } => {
                let begin = Begin {
                    request,
                    key,
                    kind,
                    body,
                    deadline,
                };
                self.begin(begin, now, out);
            }
            OnceEvent::Ended { key, end } => self.ended(key, end, now, out),
            OnceEvent::Lookup {
                request,
                key,
                kind,
                deadline,
            } => {
                let query = OutcomeQuery {
                    request,
                    key,
                    deadline,
                    queried_mark: None,
                };
                self.lookup(query, kind, now, out);
            }
            OnceEvent::Store { token, reply } => self.stored(token, reply, now, out),
            OnceEvent::Peer { from, message } => self.handle_peer_message(from, message, now, out),
        }
    }
}
