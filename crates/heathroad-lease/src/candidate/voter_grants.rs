//! The grants that a candidate or holder has received.

use crate::voter_set::VoterSet;
use crate::{MemberId, Millis};
use std::collections::BTreeMap;

/// The expiry of each voter's grant, by this member's clock.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub(super) struct VoterGrants {
    expiries: BTreeMap<MemberId, Millis>,
}

impl VoterGrants {
    /// Records a grant. An answer that arrives out of order does not shorten a later grant.
    pub(super) fn record(&mut self, voter: MemberId, expires_at: Millis) {
        let expiry = self.expiries.entry(voter).or_insert(expires_at);
        *expiry = expires_at.max(*expiry);
    }

    /// Removes the grant of a voter that has rejected a later request.
    pub(super) fn remove(&mut self, voter: MemberId) {
        self.expiries.remove(&voter);
    }

    /// Returns whether no voter has granted the lease.
    pub(super) fn is_empty(&self) -> bool {
        self.expiries.is_empty()
    }

    /// Returns whether a voter has granted the lease.
    pub(super) fn contains(&self, voter: MemberId) -> bool {
        self.expiries.contains_key(&voter)
    }

    /// Returns whether the grant of a voter is missing, or has less than `min_remaining` left.
    pub(super) fn needs_renewal(
        &self,
        voter: MemberId,
        now: Millis,
        min_remaining: Millis,
    ) -> bool {
        let expiry = self.expiries.get(&voter);
        expiry.is_none_or(|expires_at| expires_at.saturating_sub(now) < min_remaining)
    }

    /// Returns when the grants of a quorum expire, or `None` if no quorum has granted the lease.
    pub(super) fn quorum_expiry(&self, voters: &VoterSet) -> Option<Millis> {
        voters.value_reached_by_quorum(|voter| self.expiries.get(&voter).copied())
    }
}
