//! How many calls of one connection's batches run at once: as many as their pools serve. A batch
//! that began all its calls at once would have most of them rejected where a slower one has them
//! served. (Calls by themselves are begun at once: a client that sends them one by one wants each
//! answer soon.)

/// Calls that a connection begins with.
const INITIAL_LIMIT: f64 = 4.0;
/// Calls by which the limit grows with each round that was not rejected, once some call was.
const ADDITIVE_INCREASE: f64 = 0.25;
/// The limit is divided by this when a call is rejected.
const DECREASE_DIVISOR: f64 = 2.0;

/// A limit by slow start and additive increase, multiplicative decrease: it doubles with each round
/// until a call is rejected, then halves, and grows slowly from there.
#[derive(Debug)]
pub struct BatchConcurrency {
    limit: f64,
    max: f64,
    /// A call was rejected before, which ends the slow start.
    was_rejected: bool,
    /// After so many more answers rejections count again: those of one round count once.
    answers_to_ignore: usize,
}

impl BatchConcurrency {
    /// Returns the limit of a connection on which so many calls may run.
    pub fn new(max_calls: usize) -> BatchConcurrency {
        let max = (max_calls as f64).max(1.0);
        BatchConcurrency {
            limit: INITIAL_LIMIT.min(max),
            max,
            was_rejected: false,
            answers_to_ignore: 0,
        }
    }

    /// Returns the most calls that run at once.
    pub fn limit(&self) -> usize {
        self.limit as usize
    }

    /// Records a call's answer.
    pub fn record_answer(&mut self, is_rejected: bool) {
        self.answers_to_ignore = self.answers_to_ignore.saturating_sub(1);
        if !is_rejected {
            self.limit += if self.was_rejected {
                ADDITIVE_INCREASE / self.limit
            } else {
                1.0
            };
        } else if self.answers_to_ignore == 0 {
            self.answers_to_ignore = self.limit();
            self.was_rejected = true;
            self.limit /= DECREASE_DIVISOR;
        }
        self.limit = self.limit.clamp(1.0, self.max);
    }
}

#[cfg(test)]
#[path = "../../tests/unit/frontend_batch_concurrency.rs"]
mod tests;
