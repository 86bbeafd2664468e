//! One clock for all ledgers: microseconds of a monotonic clock since the rehearsal's start. Steps
//! of the wall clock move nothing here.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Microseconds since the rehearsal's start.
pub type Micros = u64;

/// A second.
pub const SECOND: Micros = 1_000_000;

/// The rehearsal's clock. Copies tell the same time, on every thread.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
    /// Unix time at the start, in milliseconds.
    unix_ms: f64,
}

impl Clock {
    /// A clock that starts at 0 so long from now; before that it tells 0.
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

    /// The time now.
    pub fn now(&self) -> Micros {
        self.start.elapsed().as_micros() as Micros
    }

    /// When a time comes.
    pub fn instant(&self, at: Micros) -> Instant {
        self.start + Duration::from_micros(at)
    }

    /// A time as Unix milliseconds, the registry's form.
    pub fn unix_ms(&self, at: Micros) -> f64 {
        self.unix_ms + at as f64 / 1000.0
    }

    /// Waits until a time has come.
    pub async fn sleep_until(&self, at: Micros) {
        tokio::time::sleep_until(self.instant(at).into()).await;
    }
}

/// Seconds as microseconds. What is no sensible number of seconds counts as none; a day is the
/// most.
pub fn micros_from_seconds(s: f64) -> Micros {
    if s.is_finite() {
        (s.clamp(0.0, 86_400.0) * SECOND as f64) as Micros
    } else {
        0
    }
}

/// Microseconds as text in seconds.
pub fn format_seconds(at: Micros) -> String {
    format!("{:.3} s", at as f64 / SECOND as f64)
}
