//! A token bucket that limits the rate of outgoing datagrams.

use crate::Millis;

/// One token in the bucket's unit of a thousandth, which avoids fractions when refilling.
const TOKEN: u64 = 1000;

/// A token bucket with a capacity of one second's tokens.
#[derive(Debug, Clone)]
pub(crate) struct RateLimiter {
    capacity: u64,
    available: u64,
    refilled_at: Millis,
}

impl RateLimiter {
    /// Creates a full bucket that permits `per_second` datagrams per second and in a burst.
    pub(crate) fn new(now: Millis, per_second: u32) -> RateLimiter {
        let capacity = u64::from(per_second) * TOKEN;
        RateLimiter {
            capacity,
            available: capacity,
            refilled_at: now,
        }
    }

    /// Takes a token, and returns whether one was available.
    pub(crate) fn try_acquire(&mut self, now: Millis) -> bool {
        // Each millisecond refills a thousandth of the capacity.
        let elapsed = now.saturating_sub(self.refilled_at);
        let refill = elapsed.saturating_mul(self.capacity / TOKEN);
        self.available = self.available.saturating_add(refill).min(self.capacity);
        self.refilled_at = now;
        if self.available < TOKEN {
            return false;
        }
        self.available -= TOKEN;
        true
    }
}

#[cfg(test)]
#[path = "tests/rate_limit.rs"]
mod tests;
