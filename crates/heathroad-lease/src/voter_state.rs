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
    #[serde(rename = "duties", with = "leases_by_text")]
    pub leases: BTreeMap<LeaseId, DurableGrant>,
}

/// The map of leases with its keys as text, since JSON has no other keys.
mod leases_by_text {
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
