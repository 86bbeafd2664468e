//! The local health multiplier of Lifeguard: a member that is slow or receives little probes more
//! slowly, and waits longer before it suspects others.

/// The highest score; intervals and timeouts are then nine times as long.
const MAX_SCORE: u8 = 8;

/// How unhealthy this member seems to itself, from 0 to [`MAX_SCORE`].
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct LocalHealth {
    score: u8,
}

impl LocalHealth {
    /// Counts this many signs of a fault of this member.
    pub(crate) fn worsen(&mut self, signs: u8) {
        self.score = self.score.saturating_add(signs).min(MAX_SCORE);
    }

    /// Counts a sign that this member works.
    pub(crate) fn improve(&mut self) {
        self.score = self.score.saturating_sub(1);
    }

    /// Returns the factor by which intervals and timeouts are extended.
    pub(crate) fn multiplier(self) -> u64 {
        u64::from(self.score) + 1
    }
}

#[cfg(test)]
#[path = "tests/local_health.rs"]
mod tests;
