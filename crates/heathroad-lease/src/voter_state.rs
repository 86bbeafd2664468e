//! The durable state of a voter. The caller writes it to disk before it sends the answers that
//! depend on it.

use crate::LeaseId;
use crate::checkpoint::Checkpoint;
use crate::token::Token;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The durable state of a voter for one lease.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct DurableGrant {
    /// The highest granted token.
    pub token: Token,
    /// The incarnation of the member that the token was granted to.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// The latest checkpoint.
    #[serde(rename = "mark")]
    pub checkpoint: Checkpoint,
}

/// The durable state of a voter.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct VoterState {
    /// The highest voter set generation that the voter has seen.
    pub generation: u8,
    /// The durable state of each lease.
    #[serde(rename = "duties", with = "lease_id_keys")]
    pub leases: BTreeMap<LeaseId, DurableGrant>,
}

/// Serializes the map of leases with string keys, as JSON requires.
mod lease_id_keys {
    use super::{DurableGrant, LeaseId};
    use serde::{Deserialize, Deserializer, Serializer, de::Error};
    use std::collections::BTreeMap;

    pub(super) fn serialize<S: Serializer>(
        leases: &BTreeMap<LeaseId, DurableGrant>,
        serializer: S,
    ) -> Result<S::Ok, S::Error> {
        serializer.collect_map(leases.iter().map(|(id, grant)| (id.to_string(), grant)))
    }

    pub(super) fn deserialize<'de, D: Deserializer<'de>>(
        deserializer: D,
    ) -> Result<BTreeMap<LeaseId, DurableGrant>, D::Error> {
        let leases = BTreeMap::<String, DurableGrant>::deserialize(deserializer)?;
        let parse = |(id, grant): (String, DurableGrant)| Ok((id.parse()?, grant));
        let leases: Result<_, crate::ParseLeaseIdError> = leases.into_iter().map(parse).collect();
        leases.map_err(D::Error::custom)
    }
}
