//! Adaptive limit on the concurrent batch calls of one connection. Without it, a large batch would
//! exceed the capacity of its pools and have most of its calls rejected. Calls outside batches are
//! not limited here.

/// Limit of a new connection, in calls.
const INITIAL_LIMIT: f64 = 4.0;
/// Growth of the limit per round without a rejection after slow start, in calls.
const ADDITIVE_INCREASE: f64 = 0.25;
/// Divides the limit when a call is rejected.
const DECREASE_DIVISOR: f64 = 2.0;

/// A concurrency limit with slow start, additive increase and multiplicative decrease (AIMD): it
/// doubles each round until the first rejection, which halves it, and then grows linearly.
#[derive(Debug)]
pub struct BatchConcurrency {
    limit: f64,
    max: f64,
    /// Whether a call was rejected, which ends slow start.
    was_rejected: bool,
    /// Number of answers during which further rejections are ignored, so that the rejections of
    /// one round reduce the limit once.
    answers_to_ignore: usize,
}

impl BatchConcurrency {
    /// Returns the limit of a new connection that may run at most `max_calls` calls.
    pub fn new(max_calls: usize) -> BatchConcurrency {
        let max = (max_calls as f64).max(1.0);
        BatchConcurrency {
            limit: INITIAL_LIMIT.min(max),
            max,
            was_rejected: false,
            answers_to_ignore: 0,
        }
    }

    /// Returns the maximum number of concurrent batch calls.
    pub fn limit(&self) -> usize {
        self.limit as usize
    }

    /// Adjusts the limit to the answer of a call.
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
