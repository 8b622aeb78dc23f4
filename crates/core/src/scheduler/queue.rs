//! Weighted fair queueing of workspaces within priorities.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use super::types::Arrival;
use crate::settings::document::Priority;
use crate::{RequestId, VmId, WorkspaceId};

/// A request in the queue.
#[derive(Debug)]
pub(crate) struct Waiting {
    pub(crate) arrival: Arrival,
    pub(crate) arrived_at: Duration,
    /// Expected output length.
    pub(crate) output_tokens: u64,
    /// Estimated engine time in seconds.
    pub(crate) work_s: f64,
}

impl Waiting {
    pub(crate) fn deadline_at(&self) -> Duration {
        self.arrived_at + self.arrival.deadline
    }
}

#[derive(Debug, Default)]
struct Space {
    weight: f64,
    /// Virtual time up to which the workspace has been served, here and elsewhere.
    served_until: f64,
    received_s: f64,
    /// Service here and elsewhere, with older service counting less.
    recent_s: f64,
    elsewhere: BTreeMap<VmId, f64>,
    waiting: VecDeque<Waiting>,
    backlog_s: f64,
}

#[derive(Debug, Default)]
struct Class {
    spaces: BTreeMap<WorkspaceId, Space>,
    virtual_now: f64,
    recent_s: f64,
}

/// Queue of one route.
#[derive(Debug, Default)]
pub(crate) struct FairQueue {
    classes: BTreeMap<Priority, Class>,
}

/// Factor by which the memory of service per priority shrinks with each tick.
const RECENT_DECAY: f64 = 0.99;

impl FairQueue {
    pub(crate) fn push(&mut self, waiting: Waiting) {
        let class = self.classes.entry(waiting.arrival.priority).or_default();
        let space = class.spaces.entry(waiting.arrival.workspace).or_default();
        space.weight = f64::from(waiting.arrival.weight.max(1));
        if space.waiting.is_empty() {
            // An idle workspace does not save up service.
            space.served_until = space.served_until.max(class.virtual_now);
        }
        space.backlog_s += waiting.work_s;
        space.waiting.push_back(waiting);
    }

    pub(crate) fn len_of(&self, priority: Priority, workspace: WorkspaceId) -> usize {
        let space = self
            .classes
            .get(&priority)
            .and_then(|c| c.spaces.get(&workspace));
        space.map_or(0, |s| s.waiting.len())
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.classes
            .values()
            .all(|c| c.spaces.values().all(|s| s.waiting.is_empty()))
    }

    /// Workspaces with work in the order in which they are to be served.
    pub(crate) fn order(&self, low_priority_share: f64) -> Vec<(Priority, WorkspaceId)> {
        let total: f64 = self.classes.values().map(|c| c.recent_s).sum();
        let mut order: Vec<_> = self
            .classes
            .iter()
            .flat_map(|(priority, class)| {
                let starved = class.recent_s < low_priority_share * total;
                class
                    .spaces
                    .iter()
                    .filter(|(_, space)| !space.waiting.is_empty())
                    .map(move |(id, space)| (!starved, *priority, space.served_until, *id))
            })
            .collect();
        order.sort_by(|a, b| {
            a.0.cmp(&b.0)
                .then(b.1.cmp(&a.1))
                .then(a.2.total_cmp(&b.2))
                .then(a.3.cmp(&b.3))
        });
        order
            .into_iter()
            .map(|(_, priority, _, id)| (priority, id))
            .collect()
    }

    /// Takes the head of a workspace without charging it.
    pub(crate) fn take(&mut self, priority: Priority, workspace: WorkspaceId) -> Option<Waiting> {
        let class = self.classes.get_mut(&priority)?;
        class.spaces.get_mut(&workspace)?.waiting.pop_front()
    }

    /// Puts a head back that found no room.
    pub(crate) fn put_back(&mut self, waiting: Waiting) {
        let class = self.classes.entry(waiting.arrival.priority).or_default();
        let space = class.spaces.entry(waiting.arrival.workspace).or_default();
        space.waiting.push_front(waiting);
    }

    /// Charges a request that was taken for its estimated work.
    pub(crate) fn charge(&mut self, waiting: &Waiting) {
        let class = self.classes.entry(waiting.arrival.priority).or_default();
        let space = class.spaces.entry(waiting.arrival.workspace).or_default();
        class.virtual_now = class.virtual_now.max(space.served_until);
        class.recent_s += waiting.work_s;
        space.charge(waiting.work_s);
        space.backlog_s = (space.backlog_s - waiting.work_s).max(0.0);
    }

    /// Corrects the charge of a request whose real work is known.
    pub(crate) fn correct(&mut self, priority: Priority, workspace: WorkspaceId, by_s: f64) {
        let class = self.classes.get_mut(&priority);
        if let Some(space) = class.and_then(|c| c.spaces.get_mut(&workspace)) {
            space.charge(by_s);
        }
    }

    /// Adds service that a peer gave.
    pub(crate) fn hear_service(&mut self, from: VmId, workspace: WorkspaceId, total_s: f64) {
        for class in self.classes.values_mut() {
            let Some(space) = class.spaces.get_mut(&workspace) else {
                continue;
            };
            // The first figure of a peer is where counting starts; a smaller one shows a restart.
            let last = space.elsewhere.insert(from, total_s).unwrap_or(total_s);
            let received_s = (total_s - last).max(0.0);
            space.served_until += received_s / space.weight;
            space.recent_s += received_s;
        }
    }

    /// Service that workspaces received here, in total.
    pub(crate) fn service(&self) -> Vec<(WorkspaceId, f64)> {
        let spaces = self.classes.values().flat_map(|c| &c.spaces);
        spaces.map(|(id, s)| (*id, s.received_s)).collect()
    }

    /// Work in seconds that would be served before a new request of the workspace.
    pub(crate) fn work_ahead(
        &self,
        priority: Priority,
        workspace: WorkspaceId,
        weight: f64,
    ) -> f64 {
        let mut ahead = 0.0;
        for (other, class) in &self.classes {
            if *other < priority {
                continue;
            }
            let own = class.spaces.get(&workspace).map_or(0.0, |s| s.backlog_s);
            for (id, space) in &class.spaces {
                if *other > priority || *id == workspace {
                    ahead += space.backlog_s;
                    continue;
                }
                ahead += space.backlog_s.min(own * space.weight / weight.max(1.0));
            }
        }
        ahead
    }

    /// Removes requests for which `is_late` holds.
    pub(crate) fn remove_if(&mut self, mut is_late: impl FnMut(&Waiting) -> bool) -> Vec<Waiting> {
        let mut removed = Vec::new();
        for space in self
            .classes
            .values_mut()
            .flat_map(|c| c.spaces.values_mut())
        {
            let mut kept = VecDeque::with_capacity(space.waiting.len());
            for waiting in space.waiting.drain(..) {
                if is_late(&waiting) {
                    space.backlog_s = (space.backlog_s - waiting.work_s).max(0.0);
                    removed.push(waiting);
                } else {
                    kept.push_back(waiting);
                }
            }
            space.waiting = kept;
        }
        removed
    }

    /// Service that a workspace has lately received, relative to an equal share by weight of its
    /// priority's service.
    pub(crate) fn share_ratio(&self, priority: Priority, workspace: WorkspaceId) -> f64 {
        let Some(class) = self.classes.get(&priority) else {
            return 0.0;
        };
        let Some(own) = class.spaces.get(&workspace) else {
            return 0.0;
        };
        let active = || class.spaces.values().filter(|s| s.recent_s > 0.0);
        let (service, weights) = active().fold((0.0, 0.0), |(s, w), space| {
            (s + space.recent_s, w + space.weight)
        });
        own.recent_s * weights / f64::max(service * own.weight, f64::MIN_POSITIVE)
    }

    pub(crate) fn remove(&mut self, request: RequestId) -> bool {
        !self.remove_if(|w| w.arrival.request == request).is_empty()
    }

    pub(crate) fn tick(&mut self) {
        for class in self.classes.values_mut() {
            class.recent_s *= RECENT_DECAY;
            class
                .spaces
                .values_mut()
                .for_each(|s| s.recent_s *= RECENT_DECAY);
        }
    }
}

impl Space {
    fn charge(&mut self, work_s: f64) {
        self.served_until += work_s / self.weight;
        self.received_s += work_s;
        self.recent_s = (self.recent_s + work_s).max(0.0);
    }
}
