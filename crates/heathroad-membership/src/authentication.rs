//! Datagram authentication: only datagrams that carry the fleet's name and are signed with its key
//! are accepted. All others are counted and dropped.
//!
//! Replay protection needs no synchronized clocks: every datagram names the incarnation of its
//! recipient, so a recording is rejected once the recipient has restarted, and within an
//! incarnation each sequence number is accepted only once.

use crate::codec::{Reader, Writer};
use crate::wire::{
    Header, MAX_DATAGRAM_BYTES, MAX_FLEET_NAME_BYTES, SUPPORTED_PROTOCOLS, TAG_BYTES,
};
use hmac::{Hmac, Mac};
use serde::Serialize;
use sha2::Sha256;
use thiserror::Error;

/// The minimum length of a key in bytes.
pub const MIN_KEY_BYTES: usize = 16;
/// The maximum length of a key in bytes.
pub const MAX_KEY_BYTES: usize = 1024;

/// The number of dropped datagrams, by reason.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct DropCounters {
    /// Datagrams that were too long, too short or could not be decoded.
    #[serde(rename = "torn")]
    pub malformed: u64,
    /// Datagrams of another fleet.
    #[serde(rename = "foreign")]
    pub other_fleet: u64,
    /// Datagrams with a protocol version that this member does not support.
    #[serde(rename = "protocol")]
    pub unsupported_protocol: u64,
    /// Datagrams without a valid authentication tag.
    #[serde(rename = "forged")]
    pub unauthenticated: u64,
    /// Datagrams for another member, or whose sender is unknown or this member itself.
    #[serde(rename = "astray")]
    pub misaddressed: u64,
    /// Datagrams from or for an incarnation other than the current one.
    pub stale: u64,
    /// Datagrams that were received before, or whose sequence number is behind the replay window.
    pub replayed: u64,
}

impl DropCounters {
    /// Returns the total number of dropped datagrams.
    pub fn total(&self) -> u64 {
        self.malformed
            + self.other_fleet
            + self.unsupported_protocol
            + self.unauthenticated
            + self.misaddressed
            + self.stale
            + self.replayed
    }
}

/// An error in the name or the key of a fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[non_exhaustive]
pub enum CredentialsError {
    /// The name is empty or longer than [`MAX_FLEET_NAME_BYTES`].
    #[error("name: expected 1 to {MAX_FLEET_NAME_BYTES} bytes")]
    InvalidName,
    /// The key is shorter than [`MIN_KEY_BYTES`] or longer than [`MAX_KEY_BYTES`].
    #[error("key: expected {MIN_KEY_BYTES} to {MAX_KEY_BYTES} bytes")]
    InvalidKey,
}

/// Signs and verifies datagrams with the fleet's name and key.
#[derive(Clone)]
pub struct Authenticator {
    fleet_name: Vec<u8>,
    mac: Hmac<Sha256>,
}

impl Authenticator {
    /// Creates an authenticator after checking the lengths of the name and the key.
    pub fn new(fleet_name: &str, key: &[u8]) -> Result<Authenticator, CredentialsError> {
        if fleet_name.is_empty() || fleet_name.len() > MAX_FLEET_NAME_BYTES {
            return Err(CredentialsError::InvalidName);
        }
        if key.len() < MIN_KEY_BYTES || key.len() > MAX_KEY_BYTES {
            return Err(CredentialsError::InvalidKey);
        }
        let mac = Hmac::new_from_slice(key).map_err(|_| CredentialsError::InvalidKey)?;
        Ok(Authenticator {
            fleet_name: fleet_name.as_bytes().to_vec(),
            mac,
        })
    }

    /// Returns the name of the fleet.
    pub fn fleet_name(&self) -> &[u8] {
        &self.fleet_name
    }

    /// Appends the authentication tag to a datagram: a truncated HMAC-SHA-256 of all preceding
    /// bytes.
    pub fn sign(&self, mut datagram: Writer) -> Vec<u8> {
        let mac = self.mac.clone().chain_update(datagram.as_slice());
        let tag = mac.finalize().into_bytes();
        datagram.write_bytes(&tag[..TAG_BYTES]);
        datagram.into_vec()
    }

    /// Verifies a datagram, and returns its header and a reader for the content between the header
    /// and the tag. If the datagram is rejected, increments the counter for the reason.
    pub fn verify<'a>(
        &self,
        datagram: &'a [u8],
        dropped: &mut DropCounters,
    ) -> Option<(Header, Reader<'a>)> {
        if datagram.len() > MAX_DATAGRAM_BYTES || datagram.len() < TAG_BYTES {
            dropped.malformed += 1;
            return None;
        }
        let (signed, tag) = datagram.split_at(datagram.len() - TAG_BYTES);
        let mut reader = Reader::new(signed);
        let Ok(header) = Header::decode(&mut reader) else {
            dropped.malformed += 1;
            return None;
        };
        // Compares the name first so that datagrams of other fleets don't cost an HMAC.
        if header.fleet_name != self.fleet_name {
            dropped.other_fleet += 1;
            return None;
        }
        let mac = self.mac.clone().chain_update(signed);
        if mac.verify_truncated_left(tag).is_err() {
            dropped.unauthenticated += 1;
            return None;
        }
        let [lowest, highest] = SUPPORTED_PROTOCOLS;
        if !(lowest..=highest).contains(&header.protocol) {
            dropped.unsupported_protocol += 1;
            return None;
        }
        Some((header, reader))
    }
}
