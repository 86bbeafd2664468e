//! The event loop's heartbeat: a timer that shows since when the process has surely been running. A
//! process may be held up, by a busy machine or a stopped virtual one, for a time in which it reads
//! nothing, answers nothing and lets no timer fire. What it reads afterwards looks new and is not:
//! bytes may have waited for as long as the pause took. Whatever is counted from an arrival
//! (deadlines, the grace of a drain, the time left in a stop) asks here when that can have been at
//! the earliest, and whatever acts on something that was seen before asks whether there was a pause
//! since.
//!
//! The state belongs to the thread, as everything in the daemon runs on one. Without a heartbeat,
//! as in tests of single parts, no pause is ever seen.

use crate::runtime_accounting::sleep_until;
use std::cell::Cell;
use std::time::Duration;
use tokio::task::yield_now;
use tokio::time::Instant;

/// Between two beats. Fifty wakes a second are under a thousandth of a core.
const PERIOD: Duration = Duration::from_millis(20);
/// A beat that is late by less is on time: timers have a resolution of 1 ms, and a full turn takes
/// some.
const TOLERANCE: Duration = Duration::from_millis(10);
/// A pause that is shorter than this is not seen.
pub const UNSEEN: Duration = PERIOD.saturating_add(TOLERANCE);
/// The longest pause that all that is done in time allows for, between a look at the clock and the
/// act that rests on it.
pub const LONGEST: Duration = Duration::from_millis(150);

/// Pauses that were seen.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Pauses {
    /// How many.
    pub seen: u64,
    /// The longest.
    pub longest: Duration,
}

impl Pauses {
    /// These and one more.
    fn and(self, pause: Duration) -> Pauses {
        Pauses {
            seen: self.seen + 1,
            longest: self.longest.max(pause),
        }
    }
}

/// When the loop was last known to run, and when it was held up last.
#[derive(Debug, Clone, Copy)]
struct Beats {
    /// The last beat, and the one before: what was reported to the process before the last may be
    /// read after it.
    last: Instant,
    before: Instant,
    /// A pause has just ended, and what waited meanwhile is being dealt with: when it may have
    /// begun.
    pause: Option<Instant>,
}

impl Beats {
    fn new(now: Instant) -> Beats {
        Beats {
            last: now,
            before: now,
            pause: None,
        }
    }

    /// The next beat, which was due `PERIOD` after the last; how late it is, where that is a pause.
    fn beat(&mut self, now: Instant) -> Option<Duration> {
        let late = now.saturating_duration_since(self.last + PERIOD);
        if late > TOLERANCE {
            self.pause = Some(self.before);
        }
        (self.before, self.last) = (self.last, now);
        (late > TOLERANCE).then_some(late)
    }

    /// Since when it can't be told whether the process ran, if that is so at `now`.
    fn unsure_since(&self, now: Instant) -> Option<Instant> {
        if now.saturating_duration_since(self.last) > UNSEEN {
            return Some(self.before);
        }
        self.pause
    }
}

thread_local! {
    static BEATS: Cell<Option<Beats>> = const { Cell::new(None) };
    static PAUSES: Cell<Pauses> = const { Cell::new(Pauses { seen: 0, longest: Duration::ZERO }) };
}

/// Beats for ever, on the thread whose loop it watches.
pub async fn run() {
    let mut beats = Beats::new(Instant::now());
    BEATS.set(Some(beats));
    loop {
        sleep_until(beats.last + PERIOD).await;
        let late = beats.beat(Instant::now());
        BEATS.set(Some(beats));
        if let Some(late) = late {
            PAUSES.with(|p| p.set(p.get().and(late)));
            tracing::debug!(late_ms = late.as_secs_f64() * 1e3, "event loop late");
            // What the system had reported before the pause, and what it reports behind it, is read
            // before this goes on.
            yield_now().await;
            yield_now().await;
            beats.pause = None;
            BEATS.set(Some(beats));
        }
    }
}

/// The earliest moment at which something can have arrived that the process comes to see at `now`:
/// `now`, unless it was held up.
pub fn arrival(now: Instant) -> Instant {
    BEATS
        .get()
        .and_then(|b| b.unsure_since(now))
        .map_or(now, |since| since.min(now))
}

/// Whether the process may have been held up just before `now`, so that what it knows of its
/// connections is old.
pub fn held_up(now: Instant) -> bool {
    BEATS.get().is_some_and(|b| b.unsure_since(now).is_some())
}

/// The pauses of this thread until now.
pub fn pauses() -> Pauses {
    PAUSES.get()
}

#[cfg(test)]
#[path = "../tests/unit/stall_detector.rs"]
mod tests;
