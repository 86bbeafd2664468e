//! The records of the journal and their storage format.
//!
//! The file starts with the line `heathroad-routing 1`. Each record consists of the length and the
//! CRC-32 of its payload, both as little-endian 32-bit integers, and the payload, a JSON object.

use serde::{Deserialize, Serialize};

/// The format version that is written, and the highest version that can be read.
pub(super) const FORMAT_VERSION: u32 = 1;
/// The name at the start of the file.
pub(super) const FORMAT_NAME: &str = "heathroad-routing";
/// The maximum size of a payload.
const MAX_PAYLOAD_BYTES: usize = 64 << 20;
/// The size of the length and checksum that precede a payload.
const FRAME_HEADER_BYTES: usize = 8;

/// One step of a transaction. The names of variants and fields are part of the storage format.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "what", rename_all = "snake_case")]
pub enum Record {
    /// A generation was committed. Startup uses the last one.
    Committed {
        /// The number of the generation.
        number: u64,
        /// The text of the generation.
        text: String,
    },
    /// A transaction was opened.
    Opened {
        /// The number that the generation will have.
        number: u64,
        /// The text of the generation.
        text: String,
    },
    /// The generation of the transaction was applied and is on probation.
    Applied {
        /// The number of the generation.
        number: u64,
    },
    /// The transaction was aborted or rolled back.
    Closed {
        /// The number of the generation.
        number: u64,
        /// The human-readable reason.
        #[serde(rename = "why")]
        reason: String,
    },
}

/// Why a record cannot be decoded.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub(super) enum RecordError {
    /// The record is longer than the remaining bytes.
    #[error("truncated")]
    Truncated,
    /// The length or the checksum is wrong.
    #[error("corrupt")]
    Corrupt,
    /// The payload is not a known record.
    #[error("of an unknown type")]
    Unknown,
}

/// Returns the first line of the file.
pub(super) fn header() -> String {
    format!("{FORMAT_NAME} {FORMAT_VERSION}\n")
}

impl Record {
    /// Encodes the record with its frame header.
    pub(super) fn encode(&self) -> Vec<u8> {
        // A record consists of numbers and strings, so serialization cannot fail.
        let payload = serde_json::to_vec(self).unwrap_or_default();
        let mut bytes = Vec::with_capacity(FRAME_HEADER_BYTES + payload.len());
        bytes.extend((payload.len() as u32).to_le_bytes());
        bytes.extend(crc32fast::hash(&payload).to_le_bytes());
        bytes.extend(payload);
        bytes
    }

    /// Decodes the record at the start of `bytes`. Returns it with the length of its frame.
    pub(super) fn decode(bytes: &[u8]) -> Result<(Record, usize), RecordError> {
        let read_u32 = |offset: usize| -> Result<u32, RecordError> {
            let word = bytes
                .get(offset..offset + 4)
                .ok_or(RecordError::Truncated)?;
            let word = word.try_into().map_err(|_| RecordError::Truncated)?;
            Ok(u32::from_le_bytes(word))
        };
        let (length, checksum) = (read_u32(0)? as usize, read_u32(4)?);
        if length > MAX_PAYLOAD_BYTES {
            return Err(RecordError::Corrupt);
        }
        let frame_bytes = FRAME_HEADER_BYTES + length;
        let payload = bytes.get(FRAME_HEADER_BYTES..frame_bytes);
        let payload = payload.ok_or(RecordError::Truncated)?;
        if crc32fast::hash(payload) != checksum {
            return Err(RecordError::Corrupt);
        }
        let record = serde_json::from_slice(payload).map_err(|_| RecordError::Unknown)?;
        Ok((record, frame_bytes))
    }
}
