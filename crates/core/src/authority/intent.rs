//! Order intents: records that are written to the store before an order is sent.

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::{Fence, Incarnation, VmId};

/// Run of a vm that holds or held a lease and may send orders.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Holder {
    /// The vm.
    pub vm: VmId,
    /// Incarnation of its process.
    pub incarnation: Incarnation,
}

/// Progress of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum IntentState {
    /// The order may have been sent, and its result is not known.
    Pending,
    /// The receiver has answered.
    Settled,
    /// The holder lost its lease and no longer sends the order.
    Released,
}

/// Record of one order to one target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Intent<O> {
    /// Unique id. A later holder sends the order again with the same id.
    pub order_id: u64,
    /// Fence of the lease under which the record was written.
    pub fence: Fence,
    /// Writer of the record.
    pub holder: Holder,
    /// The order.
    pub order: O,
    /// Incarnation of the target for which the order was decided; zero if not known.
    pub target_incarnation: Incarnation,
    /// Progress.
    pub state: IntentState,
    /// Earlier holders that may still send this order. A list, because two consecutive holders can
    /// both be paused.
    #[serde(rename = "earlier")]
    pub earlier_holders: Vec<Holder>,
}

impl<O: Serialize + DeserializeOwned> Intent<O> {
    /// Encodes the record as a store value.
    pub fn encode(&self) -> Vec<u8> {
        // Serialization into memory fails only on maps with non-string keys. `decode` refuses an
        // empty value.
        serde_json::to_vec(self).unwrap_or_default()
    }

    /// Decodes a store value, or returns `None` if it is not a record.
    pub fn decode(value: &[u8]) -> Option<Self> {
        serde_json::from_slice(value).ok()
    }
}
