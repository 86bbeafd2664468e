//! Rejects datagrams that were received before, by their sequence numbers.

use crate::Incarnation;

/// The sequence numbers that were received of one incarnation of a sender: the highest one, and
/// which of the 63 before it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct ReplayWindow {
    incarnation: Incarnation,
    highest: u32,
    /// Bit `n` stands for the sequence number that lies `n` below the highest.
    received: u64,
}

impl ReplayWindow {
    /// Accepts a sequence number at most once. Numbers too far behind the highest are rejected.
    pub(crate) fn accept(&mut self, incarnation: Incarnation, sequence: u32) -> bool {
        if incarnation != self.incarnation {
            // Incarnations only grow; datagrams of an earlier one were rejected before.
            *self = ReplayWindow {
                incarnation,
                highest: sequence,
                received: 1,
            };
            return true;
        }
        if sequence > self.highest {
            let advance = sequence - self.highest;
            self.received = if advance < u64::BITS {
                self.received << advance | 1
            } else {
                1
            };
            self.highest = sequence;
            return true;
        }
        let behind = self.highest - sequence;
        if behind >= u64::BITS || self.received >> behind & 1 == 1 {
            return false;
        }
        self.received |= 1 << behind;
        true
    }
}

#[cfg(test)]
#[path = "tests/replay_window.rs"]
mod tests;
