//! What a voter must not forget over a restart. The caller writes it to disk before it sends the
//! answers that depend on it.

use crate::LeaseId;
use crate::checkpoint::Checkpoint;
use crate::token::Token;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The durable state of a voter for one lease.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct DurableGrant {
    /// The highest token that was granted.
    pub token: Token,
    /// The incarnation of the member that it was granted to.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// The last checkpoint.
    #[serde(rename = "mark")]
    pub checkpoint: Checkpoint,
}

/// The durable state of a voter.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct VoterState {
    /// The highest generation of a voter set that the voter has heard of.
    pub generation: u8,
    /// The state of each lease.
    #[serde(rename = "duties")]
    pub leases: BTreeMap<LeaseId, DurableGrant>,
}
