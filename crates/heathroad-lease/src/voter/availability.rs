//! Whether a lease is free at a voter. A lease whose holders keep failing early is withheld for a
//! while, so that the work does not kill one member after another.

use super::Voter;
use crate::message::RejectReason;
use crate::{LeaseId, Millis};

/// A lease whose holders keep failing is withheld for at most this many lease durations.
const MAX_FAILURE_BACKOFF_LEASES: u64 = 63;
/// This many early failures in a row cause no backoff, because they may be chance.
const TOLERATED_EARLY_FAILURES: u8 = 2;

/// Why a lease is not free at a voter, and for how long.
pub(super) struct Withheld {
    pub(super) remaining: Millis,
    pub(super) reason: RejectReason,
}

impl Voter {
    /// Returns why the lease is granted to nobody but its holder, if it is not free.
    pub(super) fn withheld(&self, now: Millis, lease: LeaseId) -> Option<Withheld> {
        if now < self.silent_until {
            return Some(Withheld {
                remaining: self.silent_until - now,
                reason: RejectReason::VoterStarting,
            });
        }
        let grant = self.grants.get(&lease)?;
        if grant.is_active(now) {
            return Some(Withheld {
                remaining: grant.expires_at - now,
                reason: RejectReason::Held,
            });
        }
        if grant.is_resigned {
            return None;
        }
        let backoff = self.failure_backoff(self.count_early_failures(now, lease));
        let remaining = (grant.expires_at + backoff).saturating_sub(now);
        (remaining > 0).then_some(Withheld {
            remaining,
            reason: RejectReason::FailureBackoff,
        })
    }

    /// Returns how many holders in a row have failed early, the last one included.
    pub(super) fn count_early_failures(&self, now: Millis, lease: LeaseId) -> u8 {
        let before = self.early_failures.get(&lease).copied().unwrap_or(0);
        let Some(grant) = self.grants.get(&lease) else {
            return before;
        };
        if !grant.is_renewed {
            return before;
        }
        if grant.is_resigned {
            return 0;
        }
        if grant.is_active(now) {
            return before;
        }
        let held_for = grant.expires_at.saturating_sub(grant.granted_at);
        if held_for < self.timing.stable_hold_duration() {
            before.saturating_add(1)
        } else {
            0
        }
    }

    fn failure_backoff(&self, early_failures: u8) -> Millis {
        let exponent = u32::from(early_failures.saturating_sub(TOLERATED_EARLY_FAILURES));
        let doubled = 1_u64.checked_shl(exponent).unwrap_or(u64::MAX);
        (doubled - 1).min(MAX_FAILURE_BACKOFF_LEASES) * self.timing.lease_duration
    }
}
