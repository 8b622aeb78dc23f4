//! Encoding of store values in messages between vms.
//!
//! The settings of a thousand routes are hundreds of kilobytes of text, which each vm forwards to
//! others. On links of 10 Mbit/s, sending one change uncompressed took seconds and delayed the
//! request bodies of callers.

use std::io::{Read, Write};

use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use serde::{Deserialize, Serialize};

/// Minimum length of compressed values, in bytes. Shorter values fit into a few packets.
const MIN_COMPRESSED_BYTES: usize = 4096;

/// Maximum length of an unpacked value, far beyond the values in the store.
const MAX_VALUE_BYTES: u64 = 16 * 1024 * 1024;

/// A value in a message between vms, which may be compressed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PackedValue {
    #[serde(with = "serde_bytes")]
    bytes: Vec<u8>,
    is_compressed: bool,
}

impl PackedValue {
    /// Packs a value, compressed if that makes it shorter.
    pub fn pack(value: &[u8]) -> Self {
        let compressed = (value.len() >= MIN_COMPRESSED_BYTES)
            .then(|| compress(value).ok())
            .flatten()
            .filter(|compressed| compressed.len() < value.len());
        match compressed {
            Some(bytes) => Self {
                bytes,
                is_compressed: true,
            },
            None => Self {
                bytes: value.to_vec(),
                is_compressed: false,
            },
        }
    }

    /// Unpacks the value. Returns `None` if it is damaged or too long.
    pub fn unpack(&self) -> Option<Vec<u8>> {
        if !self.is_compressed {
            return Some(self.bytes.clone());
        }
        let mut value = Vec::new();
        let decoder = DeflateDecoder::new(self.bytes.as_slice());
        let read = decoder.take(MAX_VALUE_BYTES + 1).read_to_end(&mut value);
        let is_whole = read.is_ok_and(|length| length as u64 <= MAX_VALUE_BYTES);
        is_whole.then_some(value)
    }
}

/// Compresses for speed rather than size, because vms with an eighth of a core compress each
/// change.
fn compress(value: &[u8]) -> std::io::Result<Vec<u8>> {
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    encoder.write_all(value)?;
    encoder.finish()
}
