//! The local health multiplier of Lifeguard: a member that may itself be faulty probes less often
//! and waits longer before it suspects others.

/// The worst score, at which intervals and timeouts are nine times as long.
const MAX_SCORE: u8 = 8;

/// The local health score, from 0 (healthy) to [`MAX_SCORE`].
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct LocalHealth {
    score: u8,
}

impl LocalHealth {
    /// Adds `penalty` to the score, after signs that this member is faulty.
    pub(crate) fn worsen(&mut self, penalty: u8) {
        self.score = self.score.saturating_add(penalty).min(MAX_SCORE);
    }

    /// Reduces the score by one, after a sign that this member works.
    pub(crate) fn improve(&mut self) {
        self.score = self.score.saturating_sub(1);
    }

    /// Returns the factor by which intervals and timeouts are multiplied.
    pub(crate) fn multiplier(self) -> u64 {
        u64::from(self.score) + 1
    }
}

#[cfg(test)]
#[path = "tests/local_health.rs"]
mod tests;
