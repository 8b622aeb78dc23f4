//! Simulation of one request with engines that crash, refuse, answer late, answer for another
//! request or omit the end of the answer.

use jujubebeam_core::request::*;
use jujubebeam_core::{Machine, TargetId};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::Queue;

const TOKENS: u64 = 12;
const TARGETS: u64 = 6;

enum Event {
    ToRequest(RequestEvent),
    Execute,
}

/// What the caller and the engines observed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Observed {
    pub(crate) delivered: String,
    pub(crate) complete: bool,
    pub(crate) final_answers: u32,
    pub(crate) refused_as_not_run: bool,
    pub(crate) executions: u32,
    pub(crate) attempts: u32,
    pub(crate) moves: u32,
    pub(crate) caller_disconnected: bool,
}

/// The complete answer.
pub(crate) fn expected() -> String {
    (0..TOKENS).map(token).collect()
}

fn token(position: u64) -> String {
    format!("t{position} ")
}

impl Observed {
    /// Returns all violations of invariants 7 and 8.
    pub(crate) fn faults(&self) -> Vec<&'static str> {
        let mut faults = Vec::new();
        if self.complete && self.delivered != expected() {
            faults.push("a complete answer differs from the expected text");
        }
        if !expected().starts_with(&self.delivered) {
            faults.push("delivered text is not the start of the expected text");
        }
        if self.refused_as_not_run && self.executions > 0 {
            faults.push("refused as not run, but executed");
        }
        if self.final_answers != u32::from(!self.caller_disconnected) {
            faults.push("the caller did not get exactly one final answer");
        }
        faults
    }
}

struct Simulation {
    rng: SmallRng,
    queue: Queue<Event>,
    machine: RequestMachine,
    claim_not_run: bool,
    pub(crate) observed: Observed,
}

/// Runs one seed. `claim_not_run` injects the fault that each refusal says "not run".
pub(crate) fn run(seed: u64, config: RequestConfig, claim_not_run: bool) -> Observed {
    let mut simulation = Simulation {
        rng: SmallRng::seed_from_u64(seed),
        queue: Queue::new(),
        machine: RequestMachine::new(config),
        claim_not_run,
        observed: Observed::default(),
    };
    simulation
        .queue
        .push_ms(0, Event::ToRequest(RequestEvent::Start));
    let target = TargetId(TARGETS - 1);
    let move_to = RequestEvent::MoveTo { target };
    for (chance, event) in [
        (0.4, RequestEvent::Move),
        (0.2, RequestEvent::Move),
        (0.4, move_to),
        (0.1, RequestEvent::Expired),
        (0.1, RequestEvent::CallerDisconnected),
    ] {
        if simulation.rng.random_bool(chance) {
            let at = simulation.rng.random_range(0..200);
            simulation.queue.push_ms(at, Event::ToRequest(event));
        }
    }
    while let Some(event) = simulation.queue.pop() {
        match event {
            Event::Execute => simulation.observed.executions += 1,
            Event::ToRequest(event) => simulation.step(event),
        }
    }
    simulation.observed
}

impl Simulation {
    fn step(&mut self, event: RequestEvent) {
        let disconnected = event == RequestEvent::CallerDisconnected && !self.machine.is_done();
        self.observed.caller_disconnected |= disconnected;
        let mut out = Vec::new();
        self.machine.step(event, self.queue.now, &mut out);
        for command in out {
            self.perform(command);
        }
    }

    fn after(&mut self, event: RequestEvent) {
        let delay = self.rng.random_range(1..20);
        self.queue.push_ms(delay, Event::ToRequest(event));
    }

    fn perform(&mut self, command: RequestCommand) {
        match command {
            RequestCommand::Acquire { excluded } => {
                let target = (0..TARGETS).map(TargetId).find(|t| !excluded.contains(t));
                let target = target.filter(|_| self.rng.random_bool(0.9));
                let refused = RequestEvent::Refused;
                self.after(target.map_or(refused, |target| RequestEvent::Granted { target }));
            }
            RequestCommand::AskBudget => {
                let granted = self.rng.random_bool(0.9);
                self.after(RequestEvent::Budget { granted });
            }
            RequestCommand::Send {
                attempt, resume, ..
            } => self.engine(attempt, resume),
            RequestCommand::Deliver { text } => self.observed.delivered.push_str(&text),
            RequestCommand::Complete { .. } => {
                self.observed.complete = true;
                self.observed.final_answers += 1;
            }
            RequestCommand::Fail { not_run, .. } => {
                self.observed.refused_as_not_run = not_run || self.claim_not_run;
                self.observed.final_answers += 1;
            }
            RequestCommand::Export { attempt, .. } => {
                let handle = self.rng.random_bool(0.7).then(|| "kv".to_owned());
                self.after(RequestEvent::Exported { attempt, handle });
            }
            RequestCommand::Import { .. } => {
                self.observed.moves += 1;
                let done = self.rng.random_bool(0.7);
                self.after(RequestEvent::Imported { done });
            }
            RequestCommand::Cancel { .. }
            | RequestCommand::Crashed { .. }
            | RequestCommand::Release { .. } => {}
        }
    }

    /// Schedules all events of one attempt's connection. They are not removed when the attempt is
    /// cancelled or its stream ends, so some arrive late.
    fn engine(&mut self, attempt: Attempt, resume: Option<Resume>) {
        self.observed.attempts += 1;
        let close = |close| RequestEvent::Closed { attempt, close };
        let fate = self.rng.random_range(0..12);
        if fate == 0 {
            return self.after(close(Close::NotSent));
        }
        let executes_after = self.rng.random_range(0..100);
        self.queue.push_ms(executes_after, Event::Execute);
        if fate == 1 {
            return self.after(close(Close::Status(503)));
        }
        let mismatched = fate == 2;
        let echoed = (!mismatched).then_some(attempt);
        let mut events = vec![RequestEvent::Head { attempt, echoed }];
        for position in resume.map_or(0, |r| r.tokens)..TOKENS {
            let text = if mismatched {
                "other ".into()
            } else {
                token(position)
            };
            events.push(RequestEvent::Text { attempt, text });
        }
        let reason = "stop".to_owned();
        events.push(RequestEvent::Finish { attempt, reason });
        events.push(RequestEvent::DoneMark { attempt });
        self.corrupt(fate, attempt, &mut events);
        events.push(close(Close::StreamEnded));
        let mut at = 0;
        for event in events {
            at += self.rng.random_range(1..15);
            self.queue.push_ms(at, Event::ToRequest(event));
        }
    }

    fn corrupt(&mut self, fate: u32, attempt: Attempt, events: &mut Vec<RequestEvent>) {
        let position = self.rng.random_range(1..events.len());
        match fate {
            3 | 4 => events.truncate(position),
            // The end of the stream is reported before its remaining events arrive.
            5 => {
                let close = Close::StreamEnded;
                events.insert(position, RequestEvent::Closed { attempt, close });
            }
            6 => events.truncate(events.len() - 1),
            7 => drop(events.remove(events.len() - 2)),
            _ => {}
        }
    }
}
