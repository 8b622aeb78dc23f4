//! One request with model engines that crash, refuse, answer late, crossed or without an end.

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

/// What the caller and the engines saw.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Seen {
    pub(crate) delivered: String,
    pub(crate) whole: bool,
    pub(crate) finals: u32,
    pub(crate) refused_as_not_run: bool,
    pub(crate) executions: u32,
    pub(crate) attempts: u32,
    pub(crate) moves: u32,
    pub(crate) caller_left: bool,
}

/// The text that a caller must get.
pub(crate) fn expected() -> String {
    (0..TOKENS).map(token).collect()
}

fn token(position: u64) -> String {
    format!("t{position} ")
}

impl Seen {
    /// All ways in which the record contradicts invariants 7 and 8.
    pub(crate) fn faults(&self) -> Vec<&'static str> {
        let mut faults = Vec::new();
        if self.whole && self.delivered != expected() {
            faults.push("a whole answer differs from the expected text");
        }
        if !expected().starts_with(&self.delivered) {
            faults.push("delivered text is not the start of the expected text");
        }
        if self.refused_as_not_run && self.executions > 0 {
            faults.push("refused as not run, but executed");
        }
        if self.finals != u32::from(!self.caller_left) {
            faults.push("the caller did not get exactly one final answer");
        }
        faults
    }
}

struct World {
    rng: SmallRng,
    queue: Queue<Event>,
    machine: RequestMachine,
    claim_not_run: bool,
    pub(crate) seen: Seen,
}

/// Runs one seed. `claim_not_run` is the fault of a refusal that always says "not run".
pub(crate) fn run(seed: u64, config: RequestConfig, claim_not_run: bool) -> Seen {
    let mut world = World {
        rng: SmallRng::seed_from_u64(seed),
        queue: Queue::new(),
        machine: RequestMachine::new(config),
        claim_not_run,
        seen: Seen::default(),
    };
    world
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
        if world.rng.random_bool(chance) {
            let at = world.rng.random_range(0..200);
            world.queue.push_ms(at, Event::ToRequest(event));
        }
    }
    while let Some(event) = world.queue.pop() {
        match event {
            Event::Execute => world.seen.executions += 1,
            Event::ToRequest(event) => world.step(event),
        }
    }
    world.seen
}

impl World {
    fn step(&mut self, event: RequestEvent) {
        let left = event == RequestEvent::CallerDisconnected && !self.machine.is_done();
        self.seen.caller_left |= left;
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
            RequestCommand::Deliver { text } => self.seen.delivered.push_str(&text),
            RequestCommand::Complete { .. } => {
                self.seen.whole = true;
                self.seen.finals += 1;
            }
            RequestCommand::Fail { not_run, .. } => {
                self.seen.refused_as_not_run = not_run || self.claim_not_run;
                self.seen.finals += 1;
            }
            RequestCommand::Export { attempt, .. } => {
                let handle = self.rng.random_bool(0.7).then(|| "kv".to_owned());
                self.after(RequestEvent::Exported { attempt, handle });
            }
            RequestCommand::Import { .. } => {
                self.seen.moves += 1;
                let done = self.rng.random_bool(0.7);
                self.after(RequestEvent::Imported { done });
            }
            RequestCommand::Cancel { .. }
            | RequestCommand::Crashed { .. }
            | RequestCommand::Release { .. } => {}
        }
    }

    /// Plans everything that one attempt's connection will carry. Events are not withdrawn when
    /// the attempt is cancelled or reported as cut, so they also arrive late.
    fn engine(&mut self, attempt: Attempt, resume: Option<Resume>) {
        self.seen.attempts += 1;
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
        let crossed = fate == 2;
        let echoed = (!crossed).then_some(attempt);
        let mut events = vec![RequestEvent::Head { attempt, echoed }];
        for position in resume.map_or(0, |r| r.tokens)..TOKENS {
            let text = if crossed {
                "other ".into()
            } else {
                token(position)
            };
            events.push(RequestEvent::Text { attempt, text });
        }
        let reason = "stop".to_owned();
        events.push(RequestEvent::Finish { attempt, reason });
        events.push(RequestEvent::DoneMark { attempt });
        self.damage(fate, attempt, &mut events);
        events.push(close(Close::StreamEnded));
        let mut at = 0;
        for event in events {
            at += self.rng.random_range(1..15);
            self.queue.push_ms(at, Event::ToRequest(event));
        }
    }

    fn damage(&mut self, fate: u32, attempt: Attempt, events: &mut Vec<RequestEvent>) {
        let position = self.rng.random_range(1..events.len());
        match fate {
            3 | 4 => events.truncate(position),
            // The cut is reported while the rest of the stream is still on its way.
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
