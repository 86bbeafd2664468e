//! Conversion between durations and the milliseconds of settings, events and log lines.

use std::time::Duration;

/// Maximum duration, in seconds: one day.
const DAY_SECONDS: f64 = 86_400.0;

/// Converts milliseconds to a duration of at most one day. Negative and non-finite values give
/// zero.
pub fn millis(ms: f64) -> Duration {
    Duration::from_secs_f64(if ms.is_finite() {
        (ms / 1000.0).clamp(0.0, DAY_SECONDS)
    } else {
        0.0
    })
}

/// Converts a duration to milliseconds.
pub fn as_millis(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1e3
}
