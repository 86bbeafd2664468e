//! Leader leases with fencing tokens, as a protocol library that does no I/O. A majority of voters
//! grants each lease to one member of the cluster at a time.
//!
//! A few members are voters ([`voter_set`]). A [`candidate`] requests a lease from all of them
//! under a new [`token`]. A [`voter`] that grants the lease grants it to no other candidate until
//! the grant expires, and never again under a lower token. A candidate that a quorum has granted
//! the lease holds it until the grants of that quorum expire. The holder stores [`checkpoint`]s of
//! its work with the voters, and the next holder resumes from the latest one. Servers that the
//! holder calls record the highest token they have seen ([`fencing`]) and reject lower ones. This
//! fencing keeps successive holders from acting out of order; expiry only allows a lease to change
//! hands after its holder has failed.
//!
//! [`lease_manager`] drives the candidates and the voter of one member, [`message`] defines the
//! protocol's messages, and [`grant_history`] records a voter's grants. The design is described in
//! `docs/design/leases.md`, the wire format in `docs/specs/lease-messages.md`.

pub mod candidate;
pub mod checkpoint;
pub mod fencing;
pub mod grant_history;
pub mod lease_manager;
pub mod message;
pub mod timing;
pub mod token;
pub mod voter;
pub mod voter_set;
pub mod voter_state;

pub use heathroad_membership::{MemberId, Millis};
pub use timing::LeaseTiming;

use heathroad_membership::version::Digest;
use serde::{Deserialize, Serialize};
use std::fmt;
use std::str::FromStr;
use thiserror::Error;

/// Identifies a lease: the first four bytes of the SHA-256 digest of its name.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct LeaseId(pub [u8; 4]);

impl LeaseId {
    /// Returns the identifier of the lease with this name.
    pub fn from_name(name: &str) -> LeaseId {
        let [a, b, c, d, ..] = Digest::of(name.as_bytes()).0;
        LeaseId([a, b, c, d])
    }
}

impl fmt::Display for LeaseId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

/// The text is not a valid lease id.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("expected a lease id of 8 hexadecimal digits")]
pub struct ParseLeaseIdError;

impl FromStr for LeaseId {
    type Err = ParseLeaseIdError;

    fn from_str(text: &str) -> Result<LeaseId, ParseLeaseIdError> {
        // `from_str_radix` alone would accept a sign.
        let is_id = text.len() == 8 && text.bytes().all(|b| b.is_ascii_hexdigit());
        if !is_id {
            return Err(ParseLeaseIdError);
        }
        let number = u32::from_str_radix(text, 16).map_err(|_| ParseLeaseIdError)?;
        Ok(LeaseId(number.to_be_bytes()))
    }
}

impl fmt::Debug for LeaseId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}
