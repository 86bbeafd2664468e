//! The clock of the event log: microseconds of a monotonic clock since the start of the run.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Microseconds since the start of the run.
pub type Micros = u64;

/// One second.
pub const SECOND: Micros = 1_000_000;

/// The clock of a run. Copies agree on every thread.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
    /// Unix time at the start, in milliseconds.
    unix_ms: f64,
}

impl Clock {
    /// Returns a clock that reads 0 until `wait` has passed and counts from then on.
    pub fn starting_in(wait: Duration) -> Self {
        let unix = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default()
            + wait;
        Clock {
            start: Instant::now() + wait,
            unix_ms: unix.as_secs_f64() * 1000.0,
        }
    }

    /// Returns the current time.
    pub fn now(&self) -> Micros {
        self.start.elapsed().as_micros() as Micros
    }

    /// Converts a time to an [`Instant`].
    pub fn instant(&self, at: Micros) -> Instant {
        self.start + Duration::from_micros(at)
    }

    /// Converts a time to Unix milliseconds, as the registry reports it.
    pub fn unix_ms(&self, at: Micros) -> f64 {
        self.unix_ms + at as f64 / 1000.0
    }

    /// Sleeps until a time.
    pub async fn sleep_until(&self, at: Micros) {
        tokio::time::sleep_until(self.instant(at).into()).await;
    }
}

/// Converts seconds to microseconds, clamped to between 0 and one day; 0 if not finite.
pub fn micros_from_seconds(s: f64) -> Micros {
    if s.is_finite() {
        (s.clamp(0.0, 86_400.0) * SECOND as f64) as Micros
    } else {
        0
    }
}

/// Formats microseconds as seconds.
pub fn format_seconds(at: Micros) -> String {
    format!("{:.3} s", at as f64 / SECOND as f64)
}
