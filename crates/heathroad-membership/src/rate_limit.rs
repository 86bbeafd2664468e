//! A token bucket that limits the rate of outgoing datagrams.

use crate::Millis;

/// Tokens are counted in thousandths, so that a refill after a millisecond is a whole number.
const UNITS_PER_TOKEN: u64 = 1000;
const MILLIS_PER_SECOND: u64 = 1000;

/// A token bucket with a capacity of one second's tokens.
#[derive(Debug, Clone)]
pub(crate) struct RateLimiter {
    /// In units of [`UNITS_PER_TOKEN`], as is `available`.
    capacity: u64,
    available: u64,
    refilled_at: Millis,
}

impl RateLimiter {
    /// Creates a full bucket that permits `per_second` datagrams per second and in a burst.
    pub(crate) fn new(now: Millis, per_second: u32) -> RateLimiter {
        let capacity = u64::from(per_second) * UNITS_PER_TOKEN;
        RateLimiter {
            capacity,
            available: capacity,
            refilled_at: now,
        }
    }

    /// Takes a token, and returns whether one was available.
    pub(crate) fn try_acquire(&mut self, now: Millis) -> bool {
        let elapsed = now.saturating_sub(self.refilled_at);
        let refill = elapsed.saturating_mul(self.capacity / MILLIS_PER_SECOND);
        self.available = self.available.saturating_add(refill).min(self.capacity);
        self.refilled_at = now;
        if self.available < UNITS_PER_TOKEN {
            return false;
        }
        self.available -= UNITS_PER_TOKEN;
        true
    }
}

#[cfg(test)]
#[path = "tests/rate_limit.rs"]
mod tests;
