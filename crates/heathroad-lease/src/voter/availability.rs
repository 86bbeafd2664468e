//! Whether a lease is available at a voter. After repeated early failures of its holders the lease
//! is not granted for a while, so that work that crashes its holder does not take down the cluster.

use super::Voter;
use crate::message::RejectReason;
use crate::{LeaseId, Millis};

/// Maximum backoff after early failures, in lease durations.
const MAX_FAILURE_BACKOFF_LEASES: u64 = 63;
/// Number of consecutive early failures that cause no backoff, because they may be unrelated.
const TOLERATED_EARLY_FAILURES: u8 = 2;

/// Why a lease is unavailable at a voter, and for how long.
pub(super) struct Unavailability {
    pub(super) remaining: Millis,
    pub(super) reason: RejectReason,
}

impl Voter {
    /// Returns why the lease cannot be granted to a new candidate, or `None` if it is available.
    pub(super) fn unavailability(&self, now: Millis, lease: LeaseId) -> Option<Unavailability> {
        if now < self.startup_ends_at {
            return Some(Unavailability {
                remaining: self.startup_ends_at - now,
                reason: RejectReason::VoterStarting,
            });
        }
        let grant = self.grants.get(&lease)?;
        if grant.is_active(now) {
            return Some(Unavailability {
                remaining: grant.expires_at - now,
                reason: RejectReason::Held,
            });
        }
        if grant.is_resigned {
            return None;
        }
        let backoff = self.failure_backoff(self.count_early_failures(now, lease));
        let remaining = (grant.expires_at + backoff).saturating_sub(now);
        (remaining > 0).then_some(Unavailability {
            remaining,
            reason: RejectReason::FailureBackoff,
        })
    }

    /// Returns the number of consecutive holders that failed early, including the last one.
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
