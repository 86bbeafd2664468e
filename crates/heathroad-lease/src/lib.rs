//! Leader leases without I/O: a majority of voters grants each lease to one member of the cluster
//! at a time, under a fencing token.
//!
//! A few members are voters ([`voter_set`]). A [`candidate`] asks all of them for a lease under a
//! [`token`] of its own. A [`voter`] grants the lease for a limited time, to nobody else during
//! that time, and never again under a lower token. A candidate that a quorum has granted the lease
//! holds it until the grants of that quorum expire. The holder has the voters store a
//! [`checkpoint`] of its work, and the next holder resumes from it. A server that the holder calls
//! keeps the highest token it has seen ([`fencing`]) and rejects lower ones; this is what prevents
//! two holders from acting out of order. The time limit only serves to hand a lease over.
//!
//! [`lease_manager`] drives all candidates and the voter of one member, [`message`] defines the
//! protocol's messages, and [`grant_history`] records who was granted what. `docs/design/leases.md`
//! gives the design, `docs/specs/lease-messages.md` the wire format.

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

/// The text is not a lease id.
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
