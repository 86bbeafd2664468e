//! Detection of stalls of the event loop. A busy machine or a stopped virtual one may hold the
//! process up, for a time in which it reads nothing, answers nothing and lets no timer fire. What
//! it reads afterwards looks new and is not: bytes may have waited for as long as the stall took.
//!
//! A timer ticks, and a late tick shows a stall. Whatever counts from an arrival (deadlines, the
//! grace of a drain, the time left in a stop) asks here when that can have been at the earliest.
//! Whatever acts on something that was seen before asks whether the process stalled since.
//!
//! The state belongs to the thread, as everything in the daemon runs on one. Where no timer ticks,
//! as in tests of single parts, no stall is ever detected.

use crate::runtime_accounting::sleep_until;
use std::cell::Cell;
use std::time::Duration;
use tokio::task::yield_now;
use tokio::time::Instant;

/// Time between two ticks. Fifty wake-ups a second are under a thousandth of a core.
const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// A tick that is late by less is on time: timers have a resolution of 1 ms, and a full turn of the
/// loop takes some.
const TICK_TOLERANCE: Duration = Duration::from_millis(10);
/// A shorter stall is not detected.
pub const DETECTION_THRESHOLD: Duration = TICK_INTERVAL.saturating_add(TICK_TOLERANCE);
/// The longest stall between a look at the clock and the act that rests on it, for which everything
/// that is done in time allows.
pub const MAX_TOLERATED_STALL: Duration = Duration::from_millis(150);

/// The stalls that were detected.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Stalls {
    /// Their number.
    pub count: u64,
    /// The longest.
    pub longest: Duration,
}

impl Stalls {
    /// Returns these stalls and one more.
    fn and(self, stall: Duration) -> Stalls {
        Stalls {
            count: self.count + 1,
            longest: self.longest.max(stall),
        }
    }
}

/// When the loop was last known to run, and when it stalled last.
#[derive(Debug, Clone, Copy)]
struct Ticks {
    last: Instant,
    /// The tick before the last: what the system reported before the last tick may be read after
    /// it.
    before_last: Instant,
    /// A stall has just ended, and what waited meanwhile is being dealt with: when it may have
    /// begun.
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

    /// Records the next tick, which was due one interval after the last; returns how late it is,
    /// where that is a stall.
    fn tick(&mut self, now: Instant) -> Option<Duration> {
        let delay = now.saturating_duration_since(self.last + TICK_INTERVAL);
        let is_stall = delay > TICK_TOLERANCE;
        if is_stall {
            self.stalled_since = Some(self.before_last);
        }
        (self.before_last, self.last) = (self.last, now);
        is_stall.then_some(delay)
    }

    /// Returns since when the process may not have run, if that is so at `now`.
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

/// Ticks for ever, on the thread whose loop is watched.
pub async fn run() {
    let mut ticks = Ticks::new(Instant::now());
    TICKS.set(Some(ticks));
    loop {
        sleep_until(ticks.last + TICK_INTERVAL).await;
        let stall = ticks.tick(Instant::now());
        TICKS.set(Some(ticks));
        if let Some(stall) = stall {
            STALLS.set(STALLS.get().and(stall));
            tracing::debug!(late_ms = stall.as_secs_f64() * 1e3, "event loop stalled");
            // What the system had reported before the stall, and what it reports after it, is read
            // before this goes on.
            yield_now().await;
            yield_now().await;
            ticks.stalled_since = None;
            TICKS.set(Some(ticks));
        }
    }
}

/// Returns the earliest moment at which something can have arrived that the process sees at `now`:
/// `now` itself, unless the process stalled.
pub fn earliest_arrival(now: Instant) -> Instant {
    let uncertain_since = TICKS.get().and_then(|ticks| ticks.uncertain_since(now));
    uncertain_since.map_or(now, |since| since.min(now))
}

/// Returns whether the process may have stalled just before `now`, so that what it knows of its
/// connections is old.
pub fn may_have_stalled(now: Instant) -> bool {
    TICKS
        .get()
        .is_some_and(|ticks| ticks.uncertain_since(now).is_some())
}

/// Returns the stalls of this thread.
pub fn stalls() -> Stalls {
    STALLS.get()
}

#[cfg(test)]
#[path = "../tests/unit/stall_detector.rs"]
mod tests;
