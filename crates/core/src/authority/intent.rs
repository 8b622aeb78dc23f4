//! Records of orders, written before the order is sent.

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::{Fence, Incarnation, VmId};

/// Run of a vm that may send an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Holder {
    /// The vm.
    pub vm: VmId,
    /// Run of its process.
    pub incarnation: Incarnation,
}

/// Progress of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum IntentState {
    /// The order may be on its way.
    Pending,
    /// The receiver has answered.
    Settled,
    /// The holder lost its lease and will not send the order any more.
    Released,
}

/// One order to one target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Intent<O> {
    /// Unique id. A successor sends the order with the same id.
    pub order_id: u64,
    /// Fence of the lease under which the record was written.
    pub fence: Fence,
    /// Writer of the record.
    pub holder: Holder,
    /// The order.
    pub order: O,
    /// Run of the target for which the order was decided; zero if not known.
    pub target_incarnation: Incarnation,
    /// Progress.
    pub state: IntentState,
    /// Earlier holders that may still send this order. One entry is not enough, because two
    /// holders in a row can be paused.
    pub earlier: Vec<Holder>,
}

impl<O: Serialize + DeserializeOwned> Intent<O> {
    /// Encodes the record as a value of the store.
    pub fn encode(&self) -> Vec<u8> {
        // Serialization of plain data into memory fails only on maps with non-string keys. An
        // empty value is never accepted as a record by `decode`.
        serde_json::to_vec(self).unwrap_or_default()
    }

    /// Decodes a value of the store.
    pub fn decode(value: &[u8]) -> Option<Self> {
        serde_json::from_slice(value).ok()
    }
}
