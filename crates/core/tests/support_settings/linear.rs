//! History of operator changes and its check for linearizability.

use std::collections::BTreeMap;
use std::time::Duration;

use jujubebeam_core::Revision;
use jujubebeam_core::settings::replica::{ChangeOutcome, ChangeRequest};
use jujubebeam_core::store::Expected;
use todc_utils::{Action, History, Specification, WGLChecker};

use super::store::Store;

/// An operator's operation.
#[derive(Clone, Debug)]
pub(crate) struct Operation {
    pub(crate) subtree: String,
    pub(crate) expected: Option<Revision>,
    pub(crate) text: String,
    pub(crate) outcome: Option<ChangeOutcome>,
}

/// Operation with its result, in the form that the specification checks.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Op {
    /// Wrote at `revision`, having expected `expected`.
    Wrote { expected: u64, revision: u64 },
    /// Got a conflict: the present revision differs from the expected one.
    Conflicted { expected: u64, present: u64 },
    /// Read a revision.
    Read(u64),
}

/// One subtree whose state is the revision of its last write.
pub(crate) struct Subtree;

impl Specification for Subtree {
    type State = u64;
    type Operation = Op;

    fn init() -> u64 {
        0
    }

    fn apply(operation: &Op, state: &u64) -> (bool, u64) {
        match operation {
            Op::Wrote { expected, revision } => (expected == state, *revision),
            Op::Conflicted { expected, present } => (expected != state && present == state, *state),
            Op::Read(revision) => (revision == state, *state),
        }
    }
}

/// Whether a history of one subtree can be explained by one order of its operations.
pub(crate) fn is_linearizable(actions: Vec<(usize, Action<Op>)>) -> bool {
    // The library keeps a table by process number, so the numbers must be small.
    let mut numbers = BTreeMap::new();
    let actions: Vec<_> = actions
        .into_iter()
        .map(|(process, action)| {
            let next = numbers.len();
            (*numbers.entry(process).or_insert(next), action)
        })
        .collect();
    actions.is_empty() || WGLChecker::<Subtree>::is_linearizable(History::from_actions(actions))
}

enum Mark {
    Call(u64),
    Return(u64),
}

#[derive(Default)]
pub(crate) struct Recorder {
    pub(crate) operations: BTreeMap<u64, Operation>,
    reads: BTreeMap<u64, (String, u64)>,
    marks: Vec<Mark>,
}

impl Recorder {
    pub(crate) fn call(&mut self, ticket: u64, request: &ChangeRequest, _now: Duration) {
        let operation = Operation {
            subtree: request.subtree.clone(),
            expected: match request.expected {
                Expected::Absent => None,
                Expected::At(revision) => Some(revision),
            },
            text: request.text.clone().unwrap_or_default(),
            outcome: None,
        };
        self.operations.insert(ticket, operation);
        self.marks.push(Mark::Call(ticket));
    }

    pub(crate) fn done(&mut self, ticket: u64, outcome: ChangeOutcome) -> Option<Operation> {
        let operation = self.operations.get_mut(&ticket)?;
        operation.outcome = Some(outcome);
        // An unknown operation may take effect later, so it ends with the history.
        if outcome != ChangeOutcome::Unknown {
            self.marks.push(Mark::Return(ticket));
        }
        Some(operation.clone())
    }

    pub(crate) fn read(&mut self, subtree: &str, revision: Revision) {
        let id = u64::MAX - self.reads.len() as u64;
        self.reads.insert(id, (subtree.into(), revision.0));
        self.marks.extend([Mark::Call(id), Mark::Return(id)]);
    }

    /// Checks the history of each subtree. The store's log is used only for operations whose outcome
    /// is unknown to the operator.
    pub(crate) fn check(&self, store: &Store) -> Vec<String> {
        let mut violations = Vec::new();
        for operation in self.operations.values() {
            let effect = effect_of(operation, store);
            if operation.outcome == Some(ChangeOutcome::NotReachable) && effect.is_some() {
                let text = &operation.text;
                violations.push(format!("{text:?} was reported as not written: {effect:?}"));
            }
        }
        for key in store.keys.keys() {
            if !is_linearizable(self.actions(key, store)) {
                violations.push(format!("the history of {key} is not linearizable"));
            }
        }
        violations
    }

    fn actions(&self, key: &str, store: &Store) -> Vec<(usize, Action<Op>)> {
        let first = store.log.iter().find(|w| w.key == key);
        let seed = Op::Wrote {
            expected: 0,
            revision: first.map_or(0, |w| w.revision.0),
        };
        let mut actions = vec![(0, Action::Call(seed.clone())), (0, Action::Response(seed))];
        let mut open = Vec::new();
        for mark in &self.marks {
            let (Mark::Call(id) | Mark::Return(id)) = mark;
            let Some(op) = self.op(*id, key, store) else {
                continue;
            };
            let process = *id as usize;
            match mark {
                Mark::Call(_) => {
                    actions.push((process, Action::Call(op)));
                    open.push(*id);
                }
                Mark::Return(_) => {
                    actions.push((process, Action::Response(op)));
                    open.retain(|o| o != id);
                }
            }
        }
        for id in open {
            if let Some(op) = self.op(id, key, store) {
                actions.push((id as usize, Action::Response(op)));
            }
        }
        actions
    }

    fn op(&self, id: u64, key: &str, store: &Store) -> Option<Op> {
        if let Some((subtree, revision)) = self.reads.get(&id) {
            return (subtree == key).then_some(Op::Read(*revision));
        }
        let operation = self.operations.get(&id).filter(|o| o.subtree == key)?;
        let expected = operation.expected.map_or(0, |r| r.0);
        match operation.outcome {
            Some(
                ChangeOutcome::Accepted { revision } | ChangeOutcome::Unconfirmed { revision },
            ) => Some(Op::Wrote {
                expected,
                revision: revision.0,
            }),
            Some(ChangeOutcome::Conflict { present }) => Some(Op::Conflicted {
                expected,
                present: present.map_or(0, |r| r.0),
            }),
            Some(ChangeOutcome::NotReachable) => None,
            Some(ChangeOutcome::Unknown) | None => Some(Op::Wrote {
                expected,
                revision: effect_of(operation, store)?.0,
            }),
        }
    }
}

fn effect_of(operation: &Operation, store: &Store) -> Option<Revision> {
    let write = store
        .log
        .iter()
        .find(|w| w.value == operation.text.as_bytes());
    write.map(|w| w.revision)
}
