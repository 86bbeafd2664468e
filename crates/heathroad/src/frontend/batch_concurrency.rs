//! How many calls of one connection's batches are in work at once: as many as their pools bear. A
//! batch that began all its calls at once would have most of them refused where a slower one has
//! them served. (Calls by themselves are begun at once: who sends them one by one wants each answer
//! soon.)

/// Calls that a connection begins with.
const FIRST: f64 = 4.0;
/// Calls that it grows by with each round that was not refused, once some call was.
const GROWTH: f64 = 0.25;

/// A window that doubles with each round until a call is refused, then halves, and grows slowly
/// from there.
#[derive(Debug)]
pub struct Pace {
    window: f64,
    most: f64,
    /// A call was refused before.
    met: bool,
    /// So many answers more, and refusals count again: those of one round are one.
    deaf: usize,
}

impl Pace {
    /// For a connection that may have so many calls in work.
    pub fn new(most: usize) -> Pace {
        let most = (most as f64).max(1.0);
        Pace {
            window: FIRST.min(most),
            most,
            met: false,
            deaf: 0,
        }
    }

    /// Most calls in work at once.
    pub fn window(&self) -> usize {
        self.window as usize
    }

    /// A call has had its answer.
    pub fn answered(&mut self, refused: bool) {
        self.deaf = self.deaf.saturating_sub(1);
        if !refused {
            self.window += if self.met { GROWTH / self.window } else { 1.0 };
        } else if self.deaf == 0 {
            self.deaf = self.window();
            self.met = true;
            self.window /= 2.0;
        }
        self.window = self.window.clamp(1.0, self.most);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Rounds of calls against something that serves so many at once and refuses the others.
    fn refused_share(serves: usize, most: usize, calls: usize) -> f64 {
        let (mut pace, mut left, mut refused) = (Pace::new(most), calls, 0);
        while left > 0 {
            let round = pace.window().min(left);
            left -= round;
            for n in 0..round {
                pace.answered(n >= serves);
                refused += usize::from(n >= serves);
            }
        }
        refused as f64 / calls as f64
    }

    #[test]
    fn a_batch_is_served_at_the_pace_that_is_borne() {
        for serves in [2, 8, 30] {
            let share = refused_share(serves, 64, 10_000);
            assert!(
                share < 0.08,
                "{share} refused where {serves} are served at once"
            );
        }
        assert_eq!(refused_share(64, 64, 10_000), 0.0);
    }

    #[test]
    fn the_window_stays_within_its_bounds() {
        let mut pace = Pace::new(3);
        (0..100).for_each(|_| pace.answered(false));
        assert_eq!(pace.window(), 3);
        (0..100).for_each(|_| pace.answered(true));
        assert_eq!(pace.window(), 1);
    }
}
