//! Guards against wrong accounting of a request that is split between a prefill and a decode
//! engine.

use std::time::Duration;

use jujubebeam_core::scheduler::{
    Arrival, Digest, Scheduler, SchedulerCommand, SchedulerConfig, SchedulerEvent,
};
use jujubebeam_core::targets::{LoadReport, Role, TargetInfo, TargetLoad, TargetState};
use jujubebeam_core::{Machine, RequestId, RouteId, TargetId, WorkspaceId, ZoneId};

const PREFILL: TargetId = TargetId(0);
const DECODE: TargetId = TargetId(1);
const OTHER: TargetId = TargetId(2);
const REQUEST: RequestId = RequestId(1);
const WORKSPACE: WorkspaceId = WorkspaceId(7);
/// Charge in seconds for a prompt of 1000 tokens and an answer of 200.
const ESTIMATE_S: f64 = 0.1 + 0.2;

struct Vm {
    scheduler: Scheduler,
    now: Duration,
}

impl Vm {
    fn new(roles: &[Role]) -> Self {
        let mut vm = Self {
            scheduler: Scheduler::new(SchedulerConfig::default()),
            now: Duration::ZERO,
        };
        let ids = || (0..roles.len() as u64).map(TargetId);
        let info = |id| TargetInfo {
            id,
            zone: ZoneId(0),
            reclaimable: false,
            leaving: false,
        };
        let targets = ids().map(info).collect();
        vm.step(SchedulerEvent::Targets { targets, peers: 0 });
        for (target, role) in ids().zip(roles) {
            let report = LoadReport {
                role: *role,
                ..LoadReport::default()
            };
            let age = Duration::ZERO;
            vm.step(SchedulerEvent::Report {
                target,
                report,
                age,
            });
        }
        vm
    }

    /// A vm with one request that is split between its two engines.
    fn split() -> Self {
        let mut vm = Self::new(&[Role::Prefill, Role::Decode]);
        let out = vm.step(SchedulerEvent::Arrival(arrival()));
        assert_eq!(dispatch(&out), Some((PREFILL, Some(DECODE))));
        vm
    }

    fn step(&mut self, event: SchedulerEvent) -> Vec<SchedulerCommand> {
        let mut out = Vec::new();
        self.scheduler.step(event, self.now, &mut out);
        out
    }

    fn tick(&mut self) -> (Digest, Vec<SchedulerCommand>) {
        self.now += Duration::from_millis(100);
        let mut out = self.step(SchedulerEvent::Tick);
        match out.pop() {
            Some(SchedulerCommand::Digest(digest)) => (digest, out),
            other => panic!("a tick ends with a digest, not {other:?}"),
        }
    }

    fn load(&mut self, target: TargetId) -> TargetLoad {
        let loads = self.tick().0.loads;
        let load = loads.into_iter().find(|(id, _)| *id == target);
        load.map(|(_, load)| load).unwrap_or_default()
    }

    fn charged_s(&mut self) -> f64 {
        let service = self.tick().0.service;
        service.iter().map(|(_, seconds)| seconds).sum()
    }

    fn start(&mut self, tokens: u64) {
        let request = REQUEST;
        self.step(SchedulerEvent::FirstToken { request });
        self.step(SchedulerEvent::Generated { request, tokens });
    }

    fn finish(&mut self, output_tokens: u64) {
        self.step(SchedulerEvent::Finish {
            request: REQUEST,
            prompt_tokens: 1000,
            output_tokens,
        });
    }
}

fn arrival() -> Arrival {
    Arrival {
        request: REQUEST,
        workspace: WORKSPACE,
        weight: 1,
        prompt_tokens: 1000,
        known_output_tokens: Some(200),
        repeatable: true,
        deadline: Duration::from_secs(30),
        ..Arrival::default()
    }
}

fn dispatch(commands: &[SchedulerCommand]) -> Option<(TargetId, Option<TargetId>)> {
    commands.iter().find_map(|c| match c {
        SchedulerCommand::Dispatch { target, decode, .. } => Some((*target, *decode)),
        _ => None,
    })
}

fn assert_close(actual: f64, expected: f64) {
    assert!(
        (actual - expected).abs() < 1e-9,
        "{actual} instead of {expected}"
    );
}

/// Guards against work that stays accounted to the prefill engine after the first token, or is
/// not accounted to the decode engine before and after it.
#[test]
fn work_of_a_split_request_moves_with_the_first_token() {
    let mut vm = Vm::split();
    let (prompt, reservation) = (vm.load(PREFILL), vm.load(DECODE));
    assert_eq!(
        (prompt.prefill_tokens, prompt.waiting, prompt.context_tokens),
        (1000, 1, 0)
    );
    assert_eq!(
        (
            reservation.prefill_tokens,
            reservation.waiting,
            reservation.streams
        ),
        (0, 1, 0)
    );
    vm.start(1);
    assert_eq!(vm.load(PREFILL), TargetLoad::default());
    let stream = vm.load(DECODE);
    assert_eq!((stream.waiting, stream.streams), (0, 1));
    assert_eq!(stream.context_tokens, 1100);
    vm.finish(200);
    assert_eq!(vm.load(DECODE), TargetLoad::default());
    assert_close(vm.charged_s(), ESTIMATE_S);
}

/// Guards against a context size that does not grow because the token counts of an answer are not
/// added up.
#[test]
fn generated_tokens_are_added_up() {
    let mut vm = Vm::split();
    vm.start(100);
    for tokens in [150, 250] {
        let request = REQUEST;
        vm.step(SchedulerEvent::Generated { request, tokens });
    }
    assert_eq!(vm.load(DECODE).context_tokens, 1500);
}

/// Guards against a stream that is accounted to the decode engine although its move failed, and
/// against repeated attempts to move it.
#[test]
fn stream_is_accounted_where_it_runs_after_a_failed_move() {
    let mut vm = Vm::split();
    vm.start(10);
    vm.step(SchedulerEvent::MoveFailed {
        request: REQUEST,
        target: PREFILL,
    });
    assert_eq!(vm.load(DECODE), TargetLoad::default());
    assert_eq!(vm.load(PREFILL).streams, 1);
    vm.finish(200);
    assert_eq!(vm.load(PREFILL), TargetLoad::default());

    let mut vm = Vm::new(&[Role::Mixed, Role::Mixed]);
    let out = vm.step(SchedulerEvent::Arrival(arrival()));
    let (target, _) = dispatch(&out).expect("an engine is free");
    vm.start(10);
    let (request, state) = (REQUEST, TargetState::Draining);
    vm.step(SchedulerEvent::MoveFailed { request, target });
    vm.step(SchedulerEvent::TargetState { target, state });
    for _ in 0..5 {
        assert_eq!(vm.tick().1, []);
    }
    assert_eq!(vm.load(target).streams, 1);
}

/// Guards against work of a split request that stays accounted after the request failed, before
/// or after the first token, and against charges for tokens that were not generated.
#[test]
fn failed_split_request_leaves_no_work_accounted() {
    for started in [false, true] {
        let mut vm = Vm::split();
        if started {
            vm.start(50);
        }
        vm.step(SchedulerEvent::Cancel { request: REQUEST });
        for target in [PREFILL, DECODE] {
            assert_eq!(vm.load(target), TargetLoad::default());
        }
        let charged_s = if started { 0.1 + 0.05 } else { ESTIMATE_S };
        assert_close(vm.charged_s(), charged_s);
    }
}

/// Guards against a reservation that stays at a decode engine which drains before the first token.
#[test]
fn reservation_follows_a_move() {
    let mut vm = Vm::new(&[Role::Prefill, Role::Decode, Role::Decode]);
    let out = vm.step(SchedulerEvent::Arrival(arrival()));
    let (_, decode) = dispatch(&out).expect("engines are free");
    let from = decode.expect("the request is split");
    let to = if from == DECODE { OTHER } else { DECODE };
    let state = TargetState::Draining;
    let target = from;
    vm.step(SchedulerEvent::TargetState { target, state });
    let request = REQUEST;
    assert_eq!(vm.tick().1, [SchedulerCommand::Move { request, from, to }]);
    vm.start(1);
    assert_eq!(vm.load(from), TargetLoad::default());
    assert_eq!(vm.load(to).streams, 1);
}

/// Guards against a resumed request that waits for a role of which no engine is eligible.
#[test]
fn other_role_does_both_without_engines_of_one_role() {
    for (roles, excluded) in [
        ([Role::Prefill, Role::Decode], DECODE),
        ([Role::Prefill, Role::Decode], PREFILL),
    ] {
        let mut vm = Vm::new(&roles);
        let resumed = Arrival {
            excluded: [excluded].into_iter().collect(),
            ..arrival()
        };
        let out = vm.step(SchedulerEvent::Arrival(resumed));
        let left = if excluded == DECODE { PREFILL } else { DECODE };
        assert_eq!(dispatch(&out), Some((left, None)));
    }
}

/// Guards against charging a workspace again for tokens that earlier attempts generated, and
/// against a length model that learns the remainder of a resumed answer as its length.
#[test]
fn resumed_request_is_charged_for_its_own_part_only() {
    let mut vm = Vm::new(&[Role::Prefill, Role::Decode]);
    vm.step(SchedulerEvent::Arrival(Arrival {
        prompt_tokens: 1150,
        delivered_tokens: 150,
        known_output_tokens: Some(50),
        ..arrival()
    }));
    vm.start(50);
    vm.finish(200);
    assert_close(vm.charged_s(), 0.115 + 0.05);
    let mut unresumed_vm = Vm::split();
    unresumed_vm.start(200);
    unresumed_vm.finish(200);
    let mean = |vm: &Vm| vm.scheduler.lengths().mean(WORKSPACE, RouteId(0));
    assert_close(mean(&vm), mean(&unresumed_vm));
}
