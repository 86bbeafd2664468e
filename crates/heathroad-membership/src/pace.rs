//! How many datagrams may go: so many a second, and as many at once.

use crate::Millis;

/// Thousandths, so that whole numbers do.
const ONE: u64 = 1000;

/// What may still go.
#[derive(Debug, Clone)]
pub struct Pace {
    most: u64,
    left: u64,
    then: Millis,
}

impl Pace {
    /// So many a second.
    pub fn new(now: Millis, most: u32) -> Pace {
        let most = u64::from(most) * ONE;
        Pace {
            most,
            left: most,
            then: now,
        }
    }

    /// Whether one more may go now.
    pub fn take(&mut self, now: Millis) -> bool {
        // A millisecond earns a thousandth of a second's.
        let earned = now
            .saturating_sub(self.then)
            .saturating_mul(self.most / ONE);
        (self.left, self.then) = (self.left.saturating_add(earned).min(self.most), now);
        let may = self.left >= ONE;
        if may {
            self.left -= ONE;
        }
        may
    }
}
