//! Weighted fair queueing of workspaces within priorities.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use super::types::Arrival;
use crate::settings::document::Priority;
use crate::{RequestId, VmId, WorkspaceId};

/// A request in the queue, with its estimates.
#[derive(Debug)]
pub(crate) struct QueuedRequest {
    pub(crate) arrival: Arrival,
    pub(crate) arrived_at: Duration,
    /// Expected output length.
    pub(crate) output_tokens: u64,
    /// Estimated engine time in seconds.
    pub(crate) work_s: f64,
}

impl QueuedRequest {
    pub(crate) fn deadline_at(&self) -> Duration {
        self.arrived_at + self.arrival.deadline
    }
}

#[derive(Debug, Default)]
struct WorkspaceQueue {
    weight: f64,
    /// Virtual time up to which the workspace has been served, by this vm and its peers.
    virtual_finish: f64,
    received_s: f64,
    /// Service by this vm and its peers, decayed exponentially.
    recent_s: f64,
    peer_service_s: BTreeMap<VmId, f64>,
    waiting: VecDeque<QueuedRequest>,
    backlog_s: f64,
}

#[derive(Debug, Default)]
struct PriorityClass {
    workspaces: BTreeMap<WorkspaceId, WorkspaceQueue>,
    virtual_now: f64,
    recent_s: f64,
}

/// Queue of one route.
#[derive(Debug, Default)]
pub(crate) struct FairQueue {
    classes: BTreeMap<Priority, PriorityClass>,
}

/// Factor by which recent service decays per tick.
const RECENT_DECAY: f64 = 0.99;

impl FairQueue {
    pub(crate) fn push(&mut self, waiting: QueuedRequest) {
        let class = self.classes.entry(waiting.arrival.priority).or_default();
        let queue = class
            .workspaces
            .entry(waiting.arrival.workspace)
            .or_default();
        queue.weight = f64::from(waiting.arrival.weight.max(1));
        if queue.waiting.is_empty() {
            // A workspace earns no credit while it is idle.
            queue.virtual_finish = queue.virtual_finish.max(class.virtual_now);
        }
        queue.backlog_s += waiting.work_s;
        queue.waiting.push_back(waiting);
    }

    pub(crate) fn len_of(&self, priority: Priority, workspace: WorkspaceId) -> usize {
        let queue = self
            .classes
            .get(&priority)
            .and_then(|c| c.workspaces.get(&workspace));
        queue.map_or(0, |q| q.waiting.len())
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.classes
            .values()
            .all(|c| c.workspaces.values().all(|q| q.waiting.is_empty()))
    }

    /// Returns the workspaces with queued requests, in the order in which to serve them.
    pub(crate) fn order(&self, low_priority_share: f64) -> Vec<(Priority, WorkspaceId)> {
        let total: f64 = self.classes.values().map(|c| c.recent_s).sum();
        let mut order: Vec<_> = self
            .classes
            .iter()
            .flat_map(|(priority, class)| {
                let starved = class.recent_s < low_priority_share * total;
                class
                    .workspaces
                    .iter()
                    .filter(|(_, queue)| !queue.waiting.is_empty())
                    .map(move |(id, queue)| (!starved, *priority, queue.virtual_finish, *id))
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

    /// Removes the first request of a workspace without charging it.
    pub(crate) fn take(
        &mut self,
        priority: Priority,
        workspace: WorkspaceId,
    ) -> Option<QueuedRequest> {
        let class = self.classes.get_mut(&priority)?;
        class.workspaces.get_mut(&workspace)?.waiting.pop_front()
    }

    /// Returns a request that could not be placed to the head of its queue.
    pub(crate) fn put_back(&mut self, waiting: QueuedRequest) {
        let class = self.classes.entry(waiting.arrival.priority).or_default();
        let queue = class
            .workspaces
            .entry(waiting.arrival.workspace)
            .or_default();
        queue.waiting.push_front(waiting);
    }

    /// Charges the workspace of a dispatched request for its estimated work.
    pub(crate) fn charge(&mut self, waiting: &QueuedRequest) {
        let class = self.classes.entry(waiting.arrival.priority).or_default();
        let queue = class
            .workspaces
            .entry(waiting.arrival.workspace)
            .or_default();
        class.virtual_now = class.virtual_now.max(queue.virtual_finish);
        class.recent_s += waiting.work_s;
        queue.charge(waiting.work_s);
        queue.backlog_s = (queue.backlog_s - waiting.work_s).max(0.0);
    }

    /// Adjusts the charge of a request whose actual work is known.
    pub(crate) fn adjust_charge(
        &mut self,
        priority: Priority,
        workspace: WorkspaceId,
        adjustment_s: f64,
    ) {
        let class = self.classes.get_mut(&priority);
        if let Some(queue) = class.and_then(|c| c.workspaces.get_mut(&workspace)) {
            queue.charge(adjustment_s);
        }
    }

    /// Adds the service that a peer reported. `total_s` is the peer's running total.
    pub(crate) fn add_peer_service(&mut self, from: VmId, workspace: WorkspaceId, total_s: f64) {
        for class in self.classes.values_mut() {
            let Some(queue) = class.workspaces.get_mut(&workspace) else {
                continue;
            };
            // The first total from a peer is the baseline; a smaller total means that it restarted.
            let last = queue
                .peer_service_s
                .insert(from, total_s)
                .unwrap_or(total_s);
            let received_s = (total_s - last).max(0.0);
            queue.virtual_finish += received_s / queue.weight;
            queue.recent_s += received_s;
        }
    }

    /// Total service in seconds that each workspace received at this vm.
    pub(crate) fn service(&self) -> Vec<(WorkspaceId, f64)> {
        let workspaces = self.classes.values().flat_map(|c| &c.workspaces);
        workspaces.map(|(id, q)| (*id, q.received_s)).collect()
    }

    /// Queued work in seconds that would be served before a new request of the workspace.
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
            let own = class
                .workspaces
                .get(&workspace)
                .map_or(0.0, |q| q.backlog_s);
            for (id, queue) in &class.workspaces {
                if *other > priority || *id == workspace {
                    ahead += queue.backlog_s;
                    continue;
                }
                ahead += queue.backlog_s.min(own * queue.weight / weight.max(1.0));
            }
        }
        ahead
    }

    /// Removes and returns the requests for which `is_late` returns true.
    pub(crate) fn remove_if(
        &mut self,
        mut is_late: impl FnMut(&QueuedRequest) -> bool,
    ) -> Vec<QueuedRequest> {
        let mut removed = Vec::new();
        for queue in self
            .classes
            .values_mut()
            .flat_map(|c| c.workspaces.values_mut())
        {
            let mut kept = VecDeque::with_capacity(queue.waiting.len());
            for waiting in queue.waiting.drain(..) {
                if is_late(&waiting) {
                    queue.backlog_s = (queue.backlog_s - waiting.work_s).max(0.0);
                    removed.push(waiting);
                } else {
                    kept.push_back(waiting);
                }
            }
            queue.waiting = kept;
        }
        removed
    }

    /// Recent service of a workspace, relative to its fair share by weight of the recent service of
    /// its priority.
    pub(crate) fn share_ratio(&self, priority: Priority, workspace: WorkspaceId) -> f64 {
        let Some(class) = self.classes.get(&priority) else {
            return 0.0;
        };
        let Some(own) = class.workspaces.get(&workspace) else {
            return 0.0;
        };
        let active = || class.workspaces.values().filter(|q| q.recent_s > 0.0);
        let (service, weights) = active().fold((0.0, 0.0), |(s, w), queue| {
            (s + queue.recent_s, w + queue.weight)
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
                .workspaces
                .values_mut()
                .for_each(|q| q.recent_s *= RECENT_DECAY);
        }
    }
}

impl WorkspaceQueue {
    fn charge(&mut self, work_s: f64) {
        self.virtual_finish += work_s / self.weight;
        self.received_s += work_s;
        self.recent_s = (self.recent_s + work_s).max(0.0);
    }
}
