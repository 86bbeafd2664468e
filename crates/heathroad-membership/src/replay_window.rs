//! Replay protection by sequence numbers.

use crate::Incarnation;

/// A sliding window over the sequence numbers received from one incarnation of a sender: the
/// highest number, and which of the 63 numbers below it were received.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct ReplayWindow {
    incarnation: Incarnation,
    highest: u32,
    /// Bit `n` is set if the sequence number `highest - n` was received.
    received: u64,
}

impl ReplayWindow {
    /// Returns whether a sequence number is new. Numbers below the window are rejected, since they
    /// may have been received before.
    pub(crate) fn accept(&mut self, incarnation: Incarnation, sequence: u32) -> bool {
        if incarnation != self.incarnation {
            // The caller has already rejected datagrams of earlier incarnations.
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
