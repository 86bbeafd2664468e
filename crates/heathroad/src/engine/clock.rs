//! The decision module's clock.

use crate::time::millis;
use std::time::{SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

const MILLIS_PER_SECOND: f64 = 1000.0;

/// Converts between instants and the decision module's time in milliseconds.
///
/// The clock is monotonic and starts at the Unix time of its creation, so that it is comparable
/// with the Unix start times of backends in discovery.
pub(super) struct Clock {
    start: Instant,
    /// Unix time of `start`.
    start_ms: f64,
}

impl Clock {
    /// Returns a clock that starts at the current time.
    pub(super) fn new() -> Self {
        let unix = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Clock {
            start: Instant::now(),
            start_ms: unix.as_secs_f64() * MILLIS_PER_SECOND,
        }
    }

    /// Converts an instant to milliseconds.
    pub(super) fn to_ms(&self, instant: Instant) -> f64 {
        let elapsed = instant.saturating_duration_since(self.start);
        self.start_ms + elapsed.as_secs_f64() * MILLIS_PER_SECOND
    }

    /// Converts milliseconds to an instant.
    pub(super) fn to_instant(&self, ms: f64) -> Instant {
        self.start + millis(ms - self.start_ms)
    }
}
