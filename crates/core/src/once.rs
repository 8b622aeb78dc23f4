//! Requests that may run at most once: tickets, marks in the store and kept answers.
//!
//! See `docs/design.md`, section 5.2. A ticket is protected by the ledger of the process run that
//! issued it. A caller's own key is protected by a create-only mark in the store, which names the
//! ledger that may run it.

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
struct Question {
    request: RequestId,
    key: OnceKey,
    deadline: Duration,
    /// Vm that was asked, and when to ask it again.
    asked: Option<(Mark, Duration)>,
}

/// One shard of the ledger of one process run.
#[derive(Debug)]
pub struct OnceLedger {
    config: OnceConfig,
    vm: VmId,
    incarnation: Incarnation,
    /// Serials of shards differ by this step, so that a mark names one entry of the process run.
    serial_step: u64,
    next_serial: u64,
    next_token: u64,
    entries: Entries,
    questions: Vec<Question>,
    /// Keys whose deadline must be watched.
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
            questions: Vec::new(),
            pending: Vec::new(),
            queue: Vec::new(),
            flush_at: None,
            lease: None,
            lease_call: None,
            calls: HashMap::new(),
        }
    }

    /// Number of keys in the ledger.
    pub fn len(&self) -> usize {
        self.entries.map.len()
    }

    /// True if the ledger holds no key.
    pub fn is_empty(&self) -> bool {
        self.entries.map.is_empty()
    }

    /// Bytes of kept answers.
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
            return self.repeat(begin, now, out);
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
            KeyKind::CallerChosen if self.config.marks => self.enqueue(key, now, out),
            _ => self.run(key, out),
        }
    }

    fn insert(&mut self, key: OnceKey, kind: KeyKind, body: Option<BodyHash>, deadline: Duration) {
        let serial = self.next_serial;
        self.next_serial += self.serial_step;
        let keep_until = match kind {
            KeyKind::Ticket { expires } => expires,
            KeyKind::CallerChosen => Duration::ZERO,
        };
        let entry = Entry {
            phase: Phase::Queued,
            body,
            serial,
            deadline,
            keep_until,
            waiters: SmallVec::new(),
            create_unknown: false,
            runs: 0,
        };
        self.entries.map.insert(key, entry);
    }

    fn repeat(&mut self, begin: Begin, now: Duration, out: &mut Vec<OnceCommand>) {
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

    /// Hands the first waiting request out for execution.
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
        let keep_until = now + self.config.retention;
        match end {
            ExecutionResult::NotSent => {
                entry.runs -= 1;
                for request in entry.take_waiters() {
                    let refusal = OnceRefusal::NotSent;
                    out.push(OnceCommand::Refuse { request, refusal });
                }
                self.entries.rest(key, Phase::Held, keep_until);
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

    /// Makes an outcome final and tells everyone who waits for it.
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

    /// Answers the requests that wait for a key and forgets it. Only for keys that are protected
    /// elsewhere or for which no create call was sent.
    fn forget(&mut self, key: OnceKey, out: &mut Vec<OnceCommand>, answer: Answer) {
        let Some(mut entry) = self.entries.map.remove(&key) else {
            return;
        };
        answer_all(&mut entry, answer, out);
    }

    fn tick(&mut self, now: Duration, out: &mut Vec<OnceCommand>) {
        self.entries.expire(now);
        if self.flush_at.is_some_and(|at| at <= now) {
            self.flush(now, out);
        }
        for key in std::mem::take(&mut self.pending) {
            if self.watch(key, now, out) {
                self.pending.push(key);
            }
        }
        self.tick_questions(now, out);
    }

    /// Retries or gives up one unsettled key. Returns false once it is settled.
    fn watch(&mut self, key: OnceKey, now: Duration, out: &mut Vec<OnceCommand>) -> bool {
        let Some(entry) = self.entries.map.get(&key) else {
            return false;
        };
        let late = entry.deadline <= now;
        match entry.phase.clone() {
            Phase::Queued if late => {
                self.queue.retain(|queued| *queued != key);
                // A key that returned to the queue may still have an earlier create under way.
                match entry.create_unknown {
                    true => self.give_up(key, now, out),
                    false => self.forget(key, out, Answer::Refuse(OnceRefusal::StoreUnavailable)),
                }
            }
            Phase::Marking | Phase::ReadBack { .. } if late => self.give_up(key, now, out),
            Phase::Asking { .. } if late => {
                self.forget(key, out, Answer::Outcome(OnceOutcome::Unknown));
            }
            Phase::ReadBack { at } if at <= now => self.read_back(key, out),
            Phase::Asking { mark, at } if at <= now => self.ask(key, mark, now, out),
            Phase::Queued | Phase::Marking | Phase::ReadBack { .. } | Phase::Asking { .. } => {}
            Phase::Running | Phase::Held | Phase::GivenUp | Phase::Final(_) => return false,
        }
        true
    }

    fn give_up(&mut self, key: OnceKey, now: Duration, out: &mut Vec<OnceCommand>) {
        let Some(entry) = self.entries.map.get_mut(&key) else {
            return;
        };
        if !self.config.give_up_is_final {
            // The fault of the proof tests: the refusal is sent, but the request stays ready to run.
            let waiting = entry.waiters.clone();
            answer_all(entry, Answer::Refuse(OnceRefusal::GivenUp), out);
            entry.waiters = waiting;
            entry.deadline = Duration::MAX;
            return;
        }
        answer_all(entry, Answer::Refuse(OnceRefusal::GivenUp), out);
        let end = now + self.config.retention;
        self.entries.rest(key, Phase::GivenUp, end);
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

fn answer_all(entry: &mut Entry, answer: Answer, out: &mut Vec<OnceCommand>) {
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
                let question = Question {
                    request,
                    key,
                    deadline,
                    asked: None,
                };
                self.look(question, kind, now, out);
            }
            OnceEvent::Store { token, reply } => self.stored(token, reply, now, out),
            OnceEvent::Peer { from, message } => self.peer(from, message, now, out),
        }
    }
}
