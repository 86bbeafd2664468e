//! Counters and log lines of denials and violations. Each thread counts its own; the daemon has
//! one.

use super::{DENIAL_KINDS, Denial};
use std::cell::Cell;

/// Number of the kinds of [`Violation`].
pub const VIOLATION_KINDS: usize = 4;

/// A rule that the daemon saw broken by itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Violation {
    /// The decision module asked for an attempt that could have an effect twice.
    UnsafeRetry,
    /// The decision module rejected a request that may have had an effect.
    UnsafeRejection,
    /// A response was sent after the client's deadline and its grace.
    LateResponse,
    /// A connection was closed with a request on it that waited for its response.
    DroppedRequest,
}

impl Violation {
    /// Values of the metric's label, by [`Violation::index`].
    pub const LABELS: [&str; VIOLATION_KINDS] = ["repeat", "refusal", "late_answer", "dropped"];

    /// Returns its index among the labels.
    pub fn index(self) -> usize {
        self as usize
    }
}

thread_local! {
    static DENIALS: [Cell<u64>; DENIAL_KINDS] = const { [const { Cell::new(0) }; DENIAL_KINDS] };
    static VIOLATIONS: [Cell<u64>; VIOLATION_KINDS] =
        const { [const { Cell::new(0) }; VIOLATION_KINDS] };
}

fn increment(counter: &Cell<u64>) {
    counter.set(counter.get() + 1);
}

/// Records that an attempt was denied, of the request that log lines name by `id`.
pub fn record_denial(denial: Denial, id: &str) {
    DENIALS.with(|denials| increment(&denials[denial.index()]));
    tracing::debug!(id, reason = ?denial, "attempt denied");
}

/// Records that a rule was broken, or would have been, on the request that log lines name by `id`.
pub fn record_violation(violation: Violation, id: &str) {
    VIOLATIONS.with(|violations| increment(&violations[violation.index()]));
    tracing::warn!(id, rule = ?violation, "violation: {violation:?}, request {id}");
}

/// Returns the denials of this thread, in the order of [`Denial::LABELS`].
pub fn denials() -> [u64; DENIAL_KINDS] {
    DENIALS.with(|denials| denials.each_ref().map(Cell::get))
}

/// Returns the violations of this thread, in the order of [`Violation::LABELS`].
pub fn violations() -> [u64; VIOLATION_KINDS] {
    VIOLATIONS.with(|violations| violations.each_ref().map(Cell::get))
}
