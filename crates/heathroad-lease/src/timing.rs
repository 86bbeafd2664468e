//! The durations of the lease protocol. They are derived from the configured lease duration, which
//! is the same at every member.

use crate::Millis;
use std::ops::RangeInclusive;

/// Range of the configurable lease duration, in milliseconds.
pub const LEASE_DURATION_MS: RangeInclusive<u64> = 200..=60_000;

/// A voter extends a grant by this fraction (1/50) to tolerate clocks that run at different rates.
const CLOCK_RATE_MARGIN_DIVISOR: u64 = 50;

/// The durations of the lease protocol.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct LeaseTiming {
    /// How long a holder relies on a grant, counted from when it sent the request.
    pub lease_duration: Millis,
}

impl LeaseTiming {
    /// Returns how long a voter honours a grant of the given duration, counted from when it granted
    /// the request.
    ///
    /// This is 2% longer than the holder relies on, so that leases do not overlap as long as clock
    /// rates differ by less than that. A voter that has just started also grants nothing for this
    /// long, because it may have lost the record of earlier grants.
    pub fn grant_duration_at_voter(self, lease: Millis) -> Millis {
        lease + lease / CLOCK_RATE_MARGIN_DIVISOR + 1
    }

    /// Returns the duration of the grants requested by a campaign. It is short, so that grants to a
    /// losing candidate expire soon.
    pub fn first_grant_duration(self) -> Millis {
        self.lease_duration / 2
    }

    /// Returns how long a candidate waits for answers from a quorum.
    pub fn quorum_timeout(self) -> Millis {
        self.lease_duration / 4
    }

    /// Returns the delay after which an unanswered message is retransmitted. It is a small part of
    /// the lease duration, so that message loss alone does not end a lease.
    pub fn retransmit_interval(self) -> Millis {
        (self.lease_duration / 16).max(1)
    }

    /// Returns the interval at which a holder renews its grants.
    pub fn renewal_interval(self) -> Millis {
        self.lease_duration / 4
    }

    /// Returns the duration of a hold after which its end does not count as an early failure.
    pub fn stable_hold_duration(self) -> Millis {
        self.lease_duration * 5
    }

    /// Returns how long a member does not campaign for a lease after it has resigned it.
    pub fn resign_backoff(self) -> Millis {
        self.lease_duration * 10
    }
}
