//! Durations to and from the milliseconds of settings, events and log lines.

use std::time::Duration;

/// Longest duration that a setting gives.
const DAY_SECONDS: f64 = 86_400.0;

/// A duration; what is not a sensible number of milliseconds counts as none, and a day is the most.
pub fn millis(ms: f64) -> Duration {
    Duration::from_secs_f64(if ms.is_finite() {
        (ms / 1000.0).clamp(0.0, DAY_SECONDS)
    } else {
        0.0
    })
}

/// A duration in milliseconds.
pub fn as_millis(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1e3
}
