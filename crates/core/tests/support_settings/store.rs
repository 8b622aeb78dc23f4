//! Model of the platform's store.

use std::collections::BTreeMap;
use std::time::Duration;

use jujubebeam_core::Revision;
use jujubebeam_core::store::{Entry, Expected, StoreOp, StoreReply};

/// One write that took effect.
#[derive(Clone, Debug)]
pub(crate) struct Write {
    pub(crate) at: Duration,
    pub(crate) key: String,
    pub(crate) value: Vec<u8>,
    pub(crate) revision: Revision,
}

#[derive(Default)]
pub(crate) struct Store {
    pub(crate) revision: u64,
    pub(crate) keys: BTreeMap<String, Entry>,
    pub(crate) log: Vec<Write>,
    /// Calls per simulated second: reads of watchers, and all other calls.
    pub(crate) reads: BTreeMap<u64, u32>,
    pub(crate) other_calls: BTreeMap<u64, u32>,
}

impl Store {
    pub(crate) fn count(&mut self, op: Option<&StoreOp>, now: Duration) {
        let reads = matches!(op, Some(StoreOp::List { .. } | StoreOp::ListSince { .. }));
        let calls = if reads {
            &mut self.reads
        } else {
            &mut self.other_calls
        };
        *calls.entry(now.as_secs()).or_default() += 1;
    }

    pub(crate) fn perform(&mut self, op: StoreOp, now: Duration) -> StoreReply {
        let store = Revision(self.revision);
        match op {
            StoreOp::Get { key } => StoreReply::Value {
                entry: self.keys.get(&key).cloned(),
                store,
            },
            StoreOp::List { .. } => self.values(Revision(0)),
            StoreOp::ListSince { after, .. } => self.values(after),
            StoreOp::Cas {
                key,
                expected,
                value,
                ..
            } => {
                let current = self.keys.get(&key).cloned();
                let holds = match expected {
                    Expected::Absent => current.is_none(),
                    Expected::At(r) => current.as_ref().is_some_and(|e| e.modified == r),
                };
                if !holds {
                    return StoreReply::Conflict { current, store };
                }
                let revision = self.put(&key, value, now);
                StoreReply::Written { revision }
            }
            _ => StoreReply::Refused,
        }
    }

    pub(crate) fn put(&mut self, key: &str, value: Vec<u8>, now: Duration) -> Revision {
        self.revision += 1;
        let revision = Revision(self.revision);
        let created = self.keys.get(key).map_or(revision, |e| e.created);
        let entry = Entry {
            key: key.into(),
            value: value.clone(),
            created,
            modified: revision,
        };
        self.keys.insert(key.into(), entry);
        self.log.push(Write {
            at: now,
            key: key.into(),
            value,
            revision,
        });
        revision
    }

    fn values(&self, after: Revision) -> StoreReply {
        let entries = self.keys.values().filter(|e| e.modified > after);
        StoreReply::Values {
            entries: entries.cloned().collect(),
            store: Revision(self.revision),
        }
    }
}
