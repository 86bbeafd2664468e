//! The durations of the lease protocol. All of them follow from the configured lease duration,
//! which is the same at every member.

use crate::Millis;
use std::ops::RangeInclusive;

/// Shortest and longest lease duration that can be configured, in milliseconds.
pub const LEASE_DURATION_MS: RangeInclusive<u64> = 200..=60_000;

/// A voter extends a grant by one part in so many, to allow for clocks that run at different rates.
const CLOCK_RATE_MARGIN: Millis = 50;

/// The durations of the lease protocol.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct LeaseTiming {
    /// How long a holder counts on a grant, from before it asked for it.
    pub lease_duration: Millis,
}

impl LeaseTiming {
    /// Returns how long a voter honours a grant of the given duration, from when it gave it.
    ///
    /// This is a fiftieth more than the holder counts on, so that clocks whose rates differ by less
    /// than that agree on who may act. A voter that has just started also stays silent for this
    /// long, because it may have forgotten grants of its former process.
    pub fn grant_duration_at_voter(self, lease: Millis) -> Millis {
        lease + lease / CLOCK_RATE_MARGIN + 1
    }

    /// Returns the duration of a first grant, before a quorum is known to have given it. It is
    /// short, so that what the loser of a campaign was granted is soon free again.
    pub fn first_grant_duration(self) -> Millis {
        self.lease_duration / 2
    }

    /// Returns how long a candidate waits for a quorum to answer.
    pub fn quorum_timeout(self) -> Millis {
        self.lease_duration / 4
    }

    /// Returns the delay after which an unanswered message is sent again. A lease holds several of
    /// these, so that lost messages alone do not end a lease.
    pub fn retransmit_interval(self) -> Millis {
        (self.lease_duration / 16).max(1)
    }

    /// Returns how often a holder renews its grants.
    pub fn renewal_interval(self) -> Millis {
        self.lease_duration / 4
    }

    /// Returns the hold time after which the end of a holder is no sign that the work kills its
    /// holders.
    pub fn stable_hold_duration(self) -> Millis {
        self.lease_duration * 5
    }

    /// Returns how long a member that has resigned a lease does not ask for it again.
    pub fn resign_backoff(self) -> Millis {
        self.lease_duration * 10
    }
}
