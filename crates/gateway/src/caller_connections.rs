//! Open connections of the callers of one worker thread.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;

use ntex::io::IoRef;

use crate::decision_log::{DecisionKind, decision, millis};
use crate::state::Shared;

/// Open connections, with the id of the last request on each.
#[derive(Clone, Debug, Default)]
pub(crate) struct CallerConnections(Rc<RefCell<HashMap<IoRef, String>>>);

impl CallerConnections {
    /// Counts a connection as open until the guard is dropped.
    pub(crate) fn open(&self, shared: &Arc<Shared>, io: IoRef) -> OpenConnection {
        self.0.borrow_mut().insert(io.clone(), String::new());
        OpenConnection {
            shared: shared.clone(),
            connections: self.clone(),
            io,
        }
    }

    /// Records which request a connection carries.
    pub(crate) fn record_request(&self, io: &IoRef, id: &str) {
        if let Some(last_id) = self.0.borrow_mut().get_mut(io) {
            id.clone_into(last_id);
        }
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.0.borrow().is_empty()
    }
}

/// An open connection.
#[derive(Debug)]
pub(crate) struct OpenConnection {
    shared: Arc<Shared>,
    connections: CallerConnections,
    io: IoRef,
}

impl Drop for OpenConnection {
    /// Logs an answer of which the HTTP server has discarded bytes. For the gateway it is complete once
    /// it is handed to that server, so no other line tells.
    fn drop(&mut self) {
        let last_id = self.connections.0.borrow_mut().remove(&self.io);
        // Bytes wait before and behind the layer that counts what is read.
        let unsent_bytes = self.io.with_buf(|buffers| {
            buffers.with_write_buffers(|source, destination| source.len() + destination.len())
        });
        let unsent_bytes = unsent_bytes.unwrap_or_default();
        if unsent_bytes == 0 {
            return;
        }
        decision!(
            self.shared,
            DecisionKind::Unsent,
            request = last_id,
            unsent_bytes,
            leaving_for_ms = self.shared.time_since_leaving().map(millis)
        );
    }
}
