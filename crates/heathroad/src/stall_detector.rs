//! Detection of event loop stalls. On an overloaded machine or a paused virtual machine the process
//! may not run for some time. Data read afterwards may have arrived at any time during the stall.
//!
//! A periodic timer detects a stall by a late tick. Code that measures time from an arrival
//! (deadlines, drain grace periods, shutdown) uses the earliest possible arrival time. Code that
//! relies on earlier observations checks whether the process may have stalled since.
//!
//! The state is thread-local, since the daemon runs on one thread. Without a running timer, as in
//! unit tests, no stalls are detected.

use crate::runtime_accounting::sleep_until;
use std::cell::Cell;
use std::time::Duration;
use tokio::task::yield_now;
use tokio::time::Instant;

/// Interval between ticks.
const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// Maximum delay of a tick that does not count as a stall; covers timer resolution and a busy event
/// loop.
const TICK_TOLERANCE: Duration = Duration::from_millis(10);
/// Shorter stalls may remain undetected.
pub const DETECTION_THRESHOLD: Duration = TICK_INTERVAL.saturating_add(TICK_TOLERANCE);
/// The longest stall between reading the clock and a time-critical action that deadlines and
/// windows allow for.
pub const MAX_TOLERATED_STALL: Duration = Duration::from_millis(150);

/// Statistics of the detected stalls.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Stalls {
    /// Number of stalls.
    pub count: u64,
    /// Duration of the longest stall.
    pub longest: Duration,
}

impl Stalls {
    /// Returns the statistics with another stall added.
    fn with(self, stall: Duration) -> Stalls {
        Stalls {
            count: self.count + 1,
            longest: self.longest.max(stall),
        }
    }
}

/// The times of the last ticks.
#[derive(Debug, Clone, Copy)]
struct Ticks {
    last: Instant,
    /// The tick before the last one. Events reported by the system before the last tick may be
    /// handled after it.
    before_last: Instant,
    /// The earliest start of a stall that has just ended, while the events that arrived during the
    /// stall are handled.
    stalled_since: Option<Instant>,
}

impl Ticks {
    fn new(now: Instant) -> Ticks {
        Ticks {
            last: now,
            before_last: now,
            stalled_since: None,
        }
    }

    /// Records a tick, which was due one interval after the last; returns its delay if it shows a
    /// stall.
    fn tick(&mut self, now: Instant) -> Option<Duration> {
        let delay = now.saturating_duration_since(self.last + TICK_INTERVAL);
        let is_stall = delay > TICK_TOLERANCE;
        if is_stall {
            self.stalled_since = Some(self.before_last);
        }
        (self.before_last, self.last) = (self.last, now);
        is_stall.then_some(delay)
    }

    /// Returns the earliest time since which the process may have stalled, if it may have at `now`.
    fn uncertain_since(&self, now: Instant) -> Option<Instant> {
        if now.saturating_duration_since(self.last) > DETECTION_THRESHOLD {
            return Some(self.before_last);
        }
        self.stalled_since
    }
}

thread_local! {
    static TICKS: Cell<Option<Ticks>> = const { Cell::new(None) };
    static STALLS: Cell<Stalls> = const { Cell::new(Stalls { count: 0, longest: Duration::ZERO }) };
}

/// Runs the detector for the current thread's event loop; never returns.
pub async fn run() {
    let mut ticks = Ticks::new(Instant::now());
    TICKS.set(Some(ticks));
    loop {
        sleep_until(ticks.last + TICK_INTERVAL).await;
        let stall = ticks.tick(Instant::now());
        TICKS.set(Some(ticks));
        if let Some(stall) = stall {
            STALLS.set(STALLS.get().with(stall));
            tracing::debug!(late_ms = stall.as_secs_f64() * 1e3, "event loop stalled");
            // Lets other tasks handle the events reported before the stall and those reported after
            // it.
            yield_now().await;
            yield_now().await;
            ticks.stalled_since = None;
            TICKS.set(Some(ticks));
        }
    }
}

/// Returns the earliest time at which data that the process reads at `now` can have arrived: `now`
/// itself unless the process may have stalled.
pub fn earliest_arrival(now: Instant) -> Instant {
    let uncertain_since = TICKS.get().and_then(|ticks| ticks.uncertain_since(now));
    uncertain_since.map_or(now, |since| since.min(now))
}

/// Returns whether the process may have stalled just before `now`, so that its view of the
/// connections may be outdated.
pub fn may_have_stalled(now: Instant) -> bool {
    TICKS
        .get()
        .is_some_and(|ticks| ticks.uncertain_since(now).is_some())
}

/// Returns this thread's stall statistics.
pub fn stalls() -> Stalls {
    STALLS.get()
}

#[cfg(test)]
#[path = "../tests/unit/stall_detector.rs"]
mod tests;
