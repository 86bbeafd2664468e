//! Counters and log lines of denials and violations. The counters are per thread; the daemon runs
//! on one thread.

use super::{DENIAL_KINDS, Denial};
use std::cell::Cell;

/// Number of variants of [`Violation`].
pub const VIOLATION_KINDS: usize = 4;

/// A violation of a safety rule that the daemon detected in its own behavior.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Violation {
    /// The decision module requested a retry that could execute a request twice.
    UnsafeRetry,
    /// The decision module rejected a request that may have been executed.
    UnsafeRejection,
    /// A response was sent after the client's deadline and grace period.
    LateResponse,
    /// A client connection was closed while a request waited for its response.
    DroppedRequest,
}

impl Violation {
    /// Label values of the violations metric, indexed by [`Violation::index`].
    pub const LABELS: [&str; VIOLATION_KINDS] = ["repeat", "refusal", "late_answer", "dropped"];

    /// Returns the index of the violation in [`Violation::LABELS`].
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

/// Counts and logs a denied attempt of the request with the log label `id`.
pub fn record_denial(denial: Denial, id: &str) {
    DENIALS.with(|denials| increment(&denials[denial.index()]));
    tracing::debug!(id, reason = ?denial, "attempt denied");
}

/// Counts and logs a violation on the request with the log label `id`.
pub fn record_violation(violation: Violation, id: &str) {
    VIOLATIONS.with(|violations| increment(&violations[violation.index()]));
    tracing::warn!(id, rule = ?violation, "violation: {violation:?}, request {id}");
}

/// Returns this thread's number of denials, in the order of [`Denial::LABELS`].
pub fn denials() -> [u64; DENIAL_KINDS] {
    DENIALS.with(|denials| denials.each_ref().map(Cell::get))
}

/// Returns this thread's number of violations, in the order of [`Violation::LABELS`].
pub fn violations() -> [u64; VIOLATION_KINDS] {
    VIOLATIONS.with(|violations| violations.each_ref().map(Cell::get))
}
