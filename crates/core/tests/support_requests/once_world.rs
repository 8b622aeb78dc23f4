//! Simulation of several vms with a ledger each, a store, and a service that records executions.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use jujubebeam_core::once::*;
use jujubebeam_core::store::{Entry, LeaseId, StoreCall, StoreOp, StoreReply};
use jujubebeam_core::{Incarnation, Machine, RequestId, Revision, VmId, WorkspaceId};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use todc_utils::{Action, History, Specification, WGLChecker};

use super::Queue;

const VMS: usize = 3;
const WORKSPACE: WorkspaceId = WorkspaceId(7);

enum Event {
    Tick(usize),
    Caller(usize, Submission),
    StoreEffect(usize, Incarnation, StoreCall, bool),
    ToLedger(usize, Incarnation, OnceEvent),
    Peer(usize, OnceEvent),
    Execute(RequestId, OnceKey),
    Restart(usize),
}

#[derive(Clone)]
struct Submission {
    request: RequestId,
    key: OnceKey,
    kind: KeyKind,
    is_lookup: bool,
}

/// What callers and services observed.
#[derive(Default)]
pub(crate) struct Record {
    pub(crate) executions: Vec<(RequestId, OnceKey)>,
    pub(crate) not_run: BTreeSet<RequestId>,
    pub(crate) keys_not_run: BTreeSet<OnceKey>,
    pub(crate) done: usize,
    pub(crate) histories: BTreeMap<OnceKey, Vec<(usize, Action<KeyOp>)>>,
}

impl Record {
    /// Returns all violations of invariants 8 and 9.
    pub(crate) fn faults(&self) -> Vec<String> {
        let mut faults = Vec::new();
        let mut seen = BTreeSet::new();
        for (request, key) in &self.executions {
            if !seen.insert(key) {
                faults.push(format!("key of request {request} was executed twice"));
            }
            if self.not_run.contains(request) {
                faults.push(format!(
                    "request {request} was refused as not run and executed"
                ));
            }
            if self.keys_not_run.contains(key) {
                faults.push(format!(
                    "key of {request} was declared not run and executed"
                ));
            }
        }
        for (key, history) in &self.histories {
            if !is_linearizable(history.clone()) {
                faults.push(format!(
                    "history of {} is not linearizable",
                    key.store_key()
                ));
            }
        }
        faults
    }
}

/// Operations on one key, as observed by its callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum KeyOp {
    Run,
    ObservedDone,
    ObservedNotRun,
}

/// State of one key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum KeyState {
    Fresh,
    Ran,
    Closed,
}

/// Sequential specification: a key runs at most once, and a key declared not run never runs.
pub(crate) struct KeySpec;

impl Specification for KeySpec {
    type State = KeyState;
    type Operation = KeyOp;

    fn init() -> KeyState {
        KeyState::Fresh
    }

    fn apply(op: &KeyOp, state: &KeyState) -> (bool, KeyState) {
        match (op, state) {
            (KeyOp::Run, KeyState::Fresh) => (true, KeyState::Ran),
            (KeyOp::ObservedDone, KeyState::Ran) => (true, KeyState::Ran),
            (KeyOp::ObservedNotRun, KeyState::Fresh | KeyState::Closed) => (true, KeyState::Closed),
            _ => (false, *state),
        }
    }
}

/// Checks the history of one key. Calls without a response get one at the end.
pub(crate) fn is_linearizable(mut actions: Vec<(usize, Action<KeyOp>)>) -> bool {
    let answered: BTreeSet<usize> = actions
        .iter()
        .filter(|(_, a)| matches!(a, Action::Response(_)))
        .map(|(p, _)| *p)
        .collect();
    let open: Vec<_> = actions
        .iter()
        .filter_map(|(p, a)| match a {
            Action::Call(op) if !answered.contains(p) => Some((*p, Action::Response(*op))),
            _ => None,
        })
        .collect();
    actions.extend(open);
    WGLChecker::<KeySpec>::is_linearizable(History::from_actions(actions))
}

/// Simulation of one seed.
pub(crate) struct Simulation {
    config: OnceConfig,
    rng: SmallRng,
    queue: Queue<Event>,
    ledgers: Vec<(Incarnation, OnceLedger, TicketIssuer)>,
    store: BTreeMap<String, Vec<u8>>,
    outage: (Duration, Duration),
    submissions: BTreeMap<RequestId, (OnceKey, u64)>,
    ended: BTreeMap<RequestId, (u64, KeyOp)>,
    clock: u64,
    pub(crate) record: Record,
}

/// Runs the simulation of one seed to its end.
pub(crate) fn run(seed: u64, config: OnceConfig) -> Record {
    let mut simulation = Simulation::new(seed, config);
    simulation.schedule_events();
    while let Some(event) = simulation.queue.pop() {
        simulation.clock += 1;
        simulation.apply(event);
    }
    simulation.write_histories();
    simulation.record
}

impl Simulation {
    fn new(seed: u64, config: OnceConfig) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let from = Duration::from_millis(rng.random_range(0..3000));
        let outage = (
            from,
            from + Duration::from_millis(rng.random_range(0..1500)),
        );
        let ledgers = (0..VMS).map(|vm| ledger(config, vm, 1)).collect();
        Self {
            config,
            rng,
            queue: Queue::new(),
            ledgers,
            store: BTreeMap::new(),
            outage,
            submissions: BTreeMap::new(),
            ended: BTreeMap::new(),
            clock: 0,
            record: Record::default(),
        }
    }

    fn schedule_events(&mut self) {
        let mut request = 0;
        for number in 0..6 {
            let owner = self.rng.random_range(0..VMS);
            let ticket = self.ledgers[owner]
                .2
                .issue(number, WORKSPACE, Duration::ZERO);
            let is_ticket = number % 3 == 0;
            let (text, kind) = match Ticket::parse(&ticket).filter(|_| is_ticket) {
                Some(t) => (
                    ticket,
                    KeyKind::Ticket {
                        expires: t.expires(),
                    },
                ),
                None => (format!("order-{number}"), KeyKind::CallerChosen),
            };
            let key = OnceKey::new(WORKSPACE, &text);
            for _ in 0..6 {
                request += 1;
                let vm = if is_ticket {
                    owner
                } else {
                    self.rng.random_range(0..VMS)
                };
                let submission = Submission {
                    request: RequestId(request),
                    key,
                    kind,
                    is_lookup: self.rng.random_bool(0.2),
                };
                let at = self.rng.random_range(0..4000);
                self.queue.push_ms(at, Event::Caller(vm, submission));
            }
        }
        for vm in 0..VMS {
            for tick in 0..1200 {
                self.queue.push_ms(tick * 5 + vm as u64, Event::Tick(vm));
            }
            if self.rng.random_bool(0.4) {
                let at = self.rng.random_range(0..4000);
                self.queue.push_ms(at, Event::Restart(vm));
            }
        }
    }

    fn apply(&mut self, event: Event) {
        match event {
            Event::Tick(vm) => self.step(vm, OnceEvent::Tick),
            Event::Caller(vm, submission) => self.submit(vm, submission),
            Event::StoreEffect(vm, run, call, answered) => {
                self.store_effect(vm, run, call, answered)
            }
            Event::ToLedger(vm, run, event) if self.ledgers[vm].0 == run => self.step(vm, event),
            Event::ToLedger(..) => {}
            Event::Peer(vm, event) => self.step(vm, event),
            Event::Execute(request, key) => self.record.executions.push((request, key)),
            Event::Restart(vm) => {
                let next = self.ledgers[vm].0.0 + 1;
                self.ledgers[vm] = ledger(self.config, vm, next);
            }
        }
    }

    fn submit(&mut self, vm: usize, submission: Submission) {
        let Submission {
            request,
            key,
            kind,
            is_lookup,
        } = submission;
        // The MAC of a ticket of an earlier run does not match, so such a request is not begun.
        if matches!(kind, KeyKind::Ticket { .. }) && self.ledgers[vm].0 != Incarnation(1) {
            return;
        }
        self.submissions.insert(request, (key, self.clock));
        let wait = self.rng.random_range(50..1500);
        let deadline = self.queue.now + Duration::from_millis(wait);
        let event = match is_lookup {
            true => OnceEvent::Lookup {
                request,
                key,
                kind,
                deadline,
            },
            false => OnceEvent::Begin {
                request,
                key,
                kind,
                body: [1; 32],
                deadline,
            },
        };
        self.step(vm, event);
    }

    fn step(&mut self, vm: usize, event: OnceEvent) {
        let mut out = Vec::new();
        self.ledgers[vm].1.step(event, self.queue.now, &mut out);
        for command in out {
            self.perform(vm, command);
        }
    }

    fn perform(&mut self, vm: usize, command: OnceCommand) {
        match command {
            OnceCommand::Store(call) => self.call_store(vm, call),
            OnceCommand::Run { request, key } => self.execute(vm, request, key),
            OnceCommand::Refuse { request, refusal } => {
                if !matches!(
                    refusal,
                    OnceRefusal::TicketExpired | OnceRefusal::BodyDiffers
                ) {
                    self.record.not_run.insert(request);
                }
            }
            OnceCommand::Outcome { request, outcome } => self.outcome(request, outcome),
            OnceCommand::Send { to, message } => {
                let copies = [1, 1, 1, 0, 2][self.rng.random_range(0..5)];
                for _ in 0..copies {
                    let delay = self.rng.random_range(1..80);
                    let from = VmId(vm as u32);
                    let event = OnceEvent::Peer {
                        from,
                        message: message.clone(),
                    };
                    self.queue.push_ms(delay, Event::Peer(to.0 as usize, event));
                }
            }
        }
    }

    fn outcome(&mut self, request: RequestId, outcome: OnceOutcome) {
        let op = match outcome {
            OnceOutcome::Done(_) => KeyOp::ObservedDone,
            OnceOutcome::NotRun => KeyOp::ObservedNotRun,
            OnceOutcome::Running | OnceOutcome::Unknown => return,
        };
        self.record.done += usize::from(op == KeyOp::ObservedDone);
        if op == KeyOp::ObservedNotRun {
            self.record
                .keys_not_run
                .insert(self.submissions[&request].0);
        }
        self.ended.insert(request, (self.clock, op));
    }

    /// Simulates a store call. It may be refused, be slow, lose its reply, or take effect after it was
    /// reported as unknown.
    fn call_store(&mut self, vm: usize, call: StoreCall) {
        let run = self.ledgers[vm].0;
        let token = call.token;
        let (from, to) = self.outage;
        let down = (from..to).contains(&self.queue.now);
        let fate = self.rng.random_range(0..100);
        let reply = |reply| Event::ToLedger(vm, run, OnceEvent::Store { token, reply });
        if down && fate < 50 {
            return self.queue.push_ms(2, reply(StoreReply::Refused));
        }
        if fate < 75 && !down {
            let delay = self.rng.random_range(1..15);
            return self
                .queue
                .push_ms(delay, Event::StoreEffect(vm, run, call, true));
        }
        let unknown_after = self.rng.random_range(5..200);
        self.queue
            .push_ms(unknown_after, reply(StoreReply::Unknown));
        if self.rng.random_bool(0.7) {
            let effect_after = self.rng.random_range(1..900);
            self.queue
                .push_ms(effect_after, Event::StoreEffect(vm, run, call, false));
        }
    }

    fn store_effect(&mut self, vm: usize, run: Incarnation, call: StoreCall, answered: bool) {
        let reply = self.store_apply(call.op);
        if answered {
            let token = call.token;
            let delay = self.rng.random_range(1..15);
            let event = OnceEvent::Store { token, reply };
            self.queue.push_ms(delay, Event::ToLedger(vm, run, event));
        }
    }

    fn store_apply(&mut self, op: StoreOp) -> StoreReply {
        let store = Revision(1);
        let entry = |key: &str, value: &Vec<u8>| Entry {
            key: key.to_owned(),
            value: value.clone(),
            created: store,
            modified: store,
        };
        match op {
            StoreOp::GrantLease { ttl } => StoreReply::Granted {
                lease: LeaseId(1),
                ttl,
            },
            StoreOp::Get { key } => {
                let entry = self.store.get(&key).map(|v| entry(&key, v));
                StoreReply::Value { entry, store }
            }
            StoreOp::CreateAll { entries, .. } => {
                let existing = entries.iter().find_map(|(k, _)| {
                    let value = self.store.get(k)?;
                    Some(entry(k, value))
                });
                if existing.is_some() {
                    return StoreReply::Conflict {
                        current: existing,
                        store,
                    };
                }
                self.store.extend(entries);
                StoreReply::Written { revision: store }
            }
            other => panic!("the ledger does not use {other:?}"),
        }
    }

    /// Simulates a service, which refuses the connection, crashes before, during or after execution,
    /// or answers.
    fn execute(&mut self, vm: usize, request: RequestId, key: OnceKey) {
        let fate = self.rng.random_range(0..10);
        let executes_after = self.rng.random_range(1..300);
        let answer = StoredAnswer {
            status: 200,
            content_type: "text/plain".into(),
            body: Some(key.0.to_vec()),
        };
        let end = match fate {
            0 | 1 => ExecutionResult::NotSent,
            2 | 3 => ExecutionResult::Lost,
            _ => ExecutionResult::Answer(answer),
        };
        if fate > 2 {
            self.queue
                .push_ms(executes_after, Event::Execute(request, key));
        }
        let answered = matches!(end, ExecutionResult::Answer(_));
        let end_after = if answered { executes_after + 5 } else { 3 };
        if end == ExecutionResult::NotSent {
            self.record.not_run.insert(request);
        }
        let run = self.ledgers[vm].0;
        let event = OnceEvent::Ended { key, end };
        self.queue
            .push_ms(end_after, Event::ToLedger(vm, run, event));
    }

    fn write_histories(&mut self) {
        let mut actions = Vec::new();
        let executed = self.record.executions.clone();
        let run = executed.iter().map(|(r, _)| (*r, (u64::MAX, KeyOp::Run)));
        for (request, (end, op)) in self.ended.iter().map(|(r, e)| (*r, *e)).chain(run) {
            let (key, begin) = self.submissions[&request];
            let process = actions.len();
            actions.push((begin, key, process, Action::Call(op)));
            actions.push((end, key, process, Action::Response(op)));
        }
        actions.sort_by_key(|(at, ..)| *at);
        for (_, key, process, action) in actions {
            let history = self.record.histories.entry(key).or_default();
            history.push((process, action));
        }
    }
}

fn ledger(config: OnceConfig, vm: usize, run: u64) -> (Incarnation, OnceLedger, TicketIssuer) {
    let (id, run) = (VmId(vm as u32), Incarnation(run));
    let issuer = TicketIssuer::new(id, run, [vm as u8 + 1; 32]);
    (run, OnceLedger::new(config, id, run, 0, 1), issuer)
}
