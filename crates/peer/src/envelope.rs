//! Encoding of messages between vms.

use jujubebeam_core::{Incarnation, VmId};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

/// Path to which envelopes are posted.
pub const MESSAGES_PATH: &str = "/peer/v1/messages";
/// Path for forwarded requests that may not be repeated.
pub const RUN_PATH: &str = "/peer/v1/run";

/// Messages with their sender.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Envelope<M> {
    /// Sending vm.
    pub from: VmId,
    /// Incarnation of the sending process.
    pub incarnation: Incarnation,
    /// Messages in order.
    pub messages: Vec<M>,
}

/// Encodes an envelope with named fields, so that a newer vm may add fields.
pub fn encode<M: Serialize>(envelope: &Envelope<M>) -> Result<Vec<u8>, rmp_serde::encode::Error> {
    rmp_serde::to_vec_named(envelope)
}

/// Decodes an envelope.
pub fn decode<M: DeserializeOwned>(bytes: &[u8]) -> Result<Envelope<M>, rmp_serde::decode::Error> {
    rmp_serde::from_slice(bytes)
}
