//! Decision which connections of callers may hold memory and descriptors of the vm.
//!
//! Callers may send many large bodies at once and stop before their end. Everything that their
//! connections hold shares one budget, a part of the vm's memory. If it is used up, unfinished requests
//! that make no progress are cut first, the largest before others; then unfinished requests that hold
//! more than twice as much as the one that asks. Requests whose body is complete may be running, so they
//! are never cut. See `docs/design/caller-memory.md`.

use std::collections::HashMap;
use std::time::Duration;

use smallvec::SmallVec;

/// Share of the vm's memory that connections may hold, in tenths. Of the 120 MB of the smallest vms,
/// collected answers may use 32 MB and an idle process uses up to 20 MB.
const BUDGET_TENTHS: usize = 3;

/// Largest holding of an ordinary connection. Ordinary bodies have up to 55 KB, and the buffer for what
/// is read next has 16 KB.
const ORDINARY_BYTES: usize = 96 * 1024;

/// Largest body for which memory is provided at once.
pub const SMALL_BODY_BYTES: usize = 64 * 1024;

/// Memory of a connection that holds no request: its tasks, timers and buffers for answers.
pub const CONNECTION_BYTES: usize = 8 * 1024;

/// Part of the budget that larger connections may hold, so that complete large bodies, which are never
/// cut, leave room for a few hundred ordinary requests.
const LARGE_PART: usize = 2;

/// Least memory of the budget for each connection, which bounds their number.
const BYTES_PER_CONNECTION: usize = 2 * CONNECTION_BYTES;

/// Share of the descriptors that connections may use, in eighths. The others are for targets, the store
/// and other vms.
const DESCRIPTOR_EIGHTHS: usize = 5;

/// Time after its last progress at which an unfinished request may be cut.
const STALL_TIME: Duration = Duration::from_secs(1);

/// Bytes that an unfinished request has to receive per second to count as making progress. Slower ones
/// are cut only if others need the memory.
const PROGRESS_BYTES_PER_S: f64 = 64.0 * 1024.0;

/// What a vm has for the connections of its callers.
#[derive(Clone, Copy, Debug)]
pub struct CallerMemoryConfig {
    /// Memory that all connections may hold.
    pub budget_bytes: usize,
    /// Number of connections that may be open.
    pub max_connections: usize,
}

impl CallerMemoryConfig {
    /// Shares of a vm with this memory, whose process may open this many descriptors.
    pub fn of_vm(memory_bytes: usize, descriptors: usize) -> Self {
        let budget_bytes = memory_bytes / 10 * BUDGET_TENTHS;
        let by_descriptors = descriptors / 8 * DESCRIPTOR_EIGHTHS;
        let by_memory = budget_bytes / BYTES_PER_CONNECTION;
        Self {
            budget_bytes,
            max_connections: by_descriptors.min(by_memory).max(1),
        }
    }
}

/// An open connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionKey(u64);

/// Connections that are to be closed, or whose request is to be refused.
pub type CutConnections = SmallVec<[ConnectionKey; 4]>;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// Waits for a request, or receives its head.
    Waiting,
    /// Receives a body.
    Receiving,
    /// The request is complete and may be running.
    Running,
    Cut,
}

#[derive(Debug)]
struct Connection {
    stage: Stage,
    /// Bytes that were read and not asked for yet: heads and pipelined requests.
    input_bytes: usize,
    body_bytes: usize,
    received_bytes: usize,
    /// Until when the unfinished request counts as making progress.
    progress_until: Duration,
    /// When it was opened, or its last request ended.
    waits_since: Duration,
    has_served: bool,
}

impl Connection {
    fn bytes(&self) -> usize {
        CONNECTION_BYTES + self.input_bytes + self.body_bytes
    }

    fn is_unfinished(&self) -> bool {
        match self.stage {
            Stage::Waiting => self.input_bytes > 0,
            Stage::Receiving => true,
            Stage::Running | Stage::Cut => false,
        }
    }

    fn progress(&mut self, bytes: usize, now: Duration) {
        let earned = Duration::from_secs_f64(bytes as f64 / PROGRESS_BYTES_PER_S);
        let until = self.progress_until.max(now) + earned;
        self.progress_until = until.min(now + STALL_TIME);
    }
}

/// Memory that the connections of callers hold.
#[derive(Debug)]
pub struct CallerMemory {
    config: CallerMemoryConfig,
    connections: HashMap<ConnectionKey, Connection>,
    next_key: u64,
    /// Held by connections that are not cut.
    held_bytes: usize,
    /// Part of `held_bytes` of connections that hold more than ordinary ones.
    large_bytes: usize,
    /// Connections that are cut and still open.
    cut: usize,
}

fn large_part(bytes: usize) -> usize {
    match bytes > ORDINARY_BYTES {
        true => bytes,
        false => 0,
    }
}

impl CallerMemory {
    /// Starts without connections.
    pub fn new(config: CallerMemoryConfig) -> Self {
        Self {
            config,
            connections: HashMap::new(),
            next_key: 0,
            held_bytes: 0,
            large_bytes: 0,
            cut: 0,
        }
    }

    /// Memory held by connections that are not cut.
    pub fn held_bytes(&self) -> usize {
        self.held_bytes
    }

    /// Number of open connections.
    pub fn connections(&self) -> usize {
        self.connections.len()
    }

    /// Adds an accepted connection, or returns `None` if it is to be closed. Connections that wait for a
    /// request give way to it: those that have never sent one before others, and the oldest first.
    pub fn open(&mut self, now: Duration) -> (Option<ConnectionKey>, CutConnections) {
        let mut cut = CutConnections::new();
        let max = self.config.max_connections;
        // Cut connections hold their descriptors until they are closed, so few may be open beyond it.
        if self.connections.len() > max + max / 8 {
            return (None, cut);
        }
        if self.connections.len() - self.cut >= max {
            let Some(longest) = self.longest_waiting(now) else {
                return (None, cut);
            };
            self.cut(longest, &mut cut);
        }
        let key = ConnectionKey(self.next_key);
        self.next_key += 1;
        let connection = Connection {
            stage: Stage::Waiting,
            input_bytes: 0,
            body_bytes: 0,
            received_bytes: 0,
            progress_until: now + STALL_TIME,
            waits_since: now,
            has_served: false,
        };
        self.held_bytes += connection.bytes();
        self.connections.insert(key, connection);
        (Some(key), cut)
    }

    /// Sets the size of the buffer for what is read. Returns whether there is room for it. A buffer that
    /// grows while a request is received or runs is bounded by the reader, so it always has room.
    pub fn set_input(
        &mut self,
        key: ConnectionKey,
        bytes: usize,
        now: Duration,
    ) -> (bool, CutConnections) {
        let Some(connection) = self.connections.get(&key) else {
            return (false, CutConnections::new());
        };
        let grown = bytes.saturating_sub(connection.input_bytes);
        let after = connection.bytes() - connection.input_bytes + bytes;
        let (has_room, cut) = match connection.stage {
            Stage::Waiting => self.make_room(key, after, now),
            Stage::Receiving | Stage::Running => (true, CutConnections::new()),
            Stage::Cut => (false, CutConnections::new()),
        };
        if has_room {
            self.change(key, |connection| {
                let is_new_head = connection.stage == Stage::Waiting && connection.input_bytes == 0;
                if is_new_head {
                    connection.progress_until = now + STALL_TIME;
                }
                connection.input_bytes = bytes;
                connection.progress(grown, now);
            });
        }
        (has_room, cut)
    }

    /// Records that a head is complete and its body is received from now on. Returns false if the
    /// connection was cut.
    pub fn start_body(&mut self, key: ConnectionKey, now: Duration) -> bool {
        self.change(key, |connection| {
            connection.stage = Stage::Receiving;
            connection.received_bytes = 0;
            connection.progress_until = now + STALL_TIME;
        })
    }

    /// Sets the size of the buffer for a body and how much of it was received. Returns whether there is
    /// room for it.
    pub fn set_body(
        &mut self,
        key: ConnectionKey,
        bytes: usize,
        received_bytes: usize,
        now: Duration,
    ) -> (bool, CutConnections) {
        let Some(connection) = self.connections.get(&key) else {
            return (false, CutConnections::new());
        };
        if connection.stage != Stage::Receiving {
            return (false, CutConnections::new());
        }
        let after = connection.bytes() - connection.body_bytes + bytes;
        let (has_room, cut) = self.make_room(key, after, now);
        if has_room {
            self.change(key, |connection| {
                connection.body_bytes = bytes;
                let received = received_bytes.saturating_sub(connection.received_bytes);
                connection.received_bytes = received_bytes;
                connection.progress(received, now);
            });
        }
        (has_room, cut)
    }

    /// Records that a body of this size is complete. From now on the request may run. Returns false if
    /// it was cut before.
    pub fn complete(&mut self, key: ConnectionKey, bytes: usize) -> bool {
        self.change(key, |connection| {
            connection.stage = Stage::Running;
            connection.body_bytes = bytes;
        })
    }

    /// Records that a request has ended and holds nothing any more.
    pub fn end(&mut self, key: ConnectionKey, now: Duration) {
        self.change(key, |connection| {
            connection.stage = Stage::Waiting;
            connection.input_bytes = 0;
            connection.body_bytes = 0;
            connection.waits_since = now;
            connection.has_served = true;
        });
    }

    /// Removes a closed connection.
    pub fn close(&mut self, key: ConnectionKey) {
        let Some(connection) = self.connections.remove(&key) else {
            return;
        };
        if connection.stage == Stage::Cut {
            self.cut -= 1;
            return;
        }
        self.held_bytes -= connection.bytes();
        self.large_bytes -= large_part(connection.bytes());
    }

    /// Changes a connection that is not cut. Returns whether there is one.
    fn change(&mut self, key: ConnectionKey, change: impl FnOnce(&mut Connection)) -> bool {
        let Some(connection) = self.connections.get_mut(&key) else {
            return false;
        };
        if connection.stage == Stage::Cut {
            return false;
        }
        let before = connection.bytes();
        change(connection);
        let after = connection.bytes();
        self.held_bytes = self.held_bytes - before + after;
        self.large_bytes = self.large_bytes - large_part(before) + large_part(after);
        true
    }

    /// Cuts others until a connection may hold `after` bytes, if that is possible.
    fn make_room(
        &mut self,
        key: ConnectionKey,
        after: usize,
        now: Duration,
    ) -> (bool, CutConnections) {
        let mut cut = CutConnections::new();
        let before = self.connections.get(&key).map_or(0, Connection::bytes);
        if after <= before {
            return (true, cut);
        }
        loop {
            let others = self.large_bytes - large_part(before);
            let large = self.config.budget_bytes / LARGE_PART;
            // A single large request may use the whole budget.
            let exceeds_large = others > 0 && others + large_part(after) > large;
            let exceeds_large = exceeds_large && large_part(after) > 0;
            let exceeds_all = self.held_bytes - before + after > self.config.budget_bytes;
            if !exceeds_large && !exceeds_all {
                return (true, cut);
            }
            let Some(next) = self.next_cut(key, after, exceeds_large, now) else {
                return (false, cut);
            };
            self.cut(next, &mut cut);
        }
    }

    /// The connection that is cut first for another one that is to hold `after` bytes.
    fn next_cut(
        &self,
        asking: ConnectionKey,
        after: usize,
        only_large: bool,
        now: Duration,
    ) -> Option<ConnectionKey> {
        let unfinished = self.connections.iter().filter(|(key, connection)| {
            let is_candidate = !only_large || large_part(connection.bytes()) > 0;
            **key != asking && connection.is_unfinished() && is_candidate
        });
        let largest = unfinished
            .map(|(key, connection)| {
                let is_stalled = connection.progress_until <= now;
                (is_stalled, connection.bytes(), *key)
            })
            .max()?;
        let (is_stalled, bytes, key) = largest;
        (is_stalled || bytes > 2 * after).then_some(key)
    }

    /// The connection that gives way to a new one.
    fn longest_waiting(&self, now: Duration) -> Option<ConnectionKey> {
        let candidates = self.connections.iter().filter(|(_, connection)| {
            let is_stalled = connection.progress_until <= now;
            match connection.stage {
                Stage::Waiting => true,
                Stage::Receiving => is_stalled,
                Stage::Running | Stage::Cut => false,
            }
        });
        let first = candidates.min_by_key(|(key, connection)| {
            let is_receiving = connection.stage == Stage::Receiving;
            (
                is_receiving,
                connection.has_served,
                connection.waits_since,
                **key,
            )
        });
        first.map(|(key, _)| *key)
    }

    fn cut(&mut self, key: ConnectionKey, cut: &mut CutConnections) {
        let mut bytes = 0;
        if self.change(key, |connection| {
            bytes = connection.bytes();
        }) {
            self.held_bytes -= bytes;
            self.large_bytes -= large_part(bytes);
            self.cut += 1;
            if let Some(connection) = self.connections.get_mut(&key) {
                connection.stage = Stage::Cut;
            }
            cut.push(key);
        }
    }
}
