//! Denials and violations, counted and logged where they happen. Each thread counts its own; the
//! daemon has one.

use super::{Denied, KINDS, VIOLATIONS, Violation};
use std::cell::Cell;

thread_local! {
    static DENIED: [Cell<u64>; KINDS] = const { [const { Cell::new(0) }; KINDS] };
    static VIOLATED: [Cell<u64>; VIOLATIONS] = const { [const { Cell::new(0) }; VIOLATIONS] };
}

fn one(counter: &Cell<u64>) {
    counter.set(counter.get() + 1);
}

/// An act was denied: an attempt of the request that log lines name by `id`.
pub fn denied(why: Denied, id: &str) {
    DENIED.with(|d| one(&d[why.place()]));
    tracing::debug!(id, reason = ?why, "attempt denied");
}

/// A rule was seen broken, or would have been, on the request that log lines name by `id`.
pub fn violated(rule: Violation, id: &str) {
    VIOLATED.with(|v| one(&v[rule.place()]));
    tracing::warn!(id, ?rule, "violation: {rule:?}, request {id}");
}

/// Denials of this thread until now, in the order of [`Denied::NAMES`].
pub fn denials() -> [u64; KINDS] {
    DENIED.with(|d| d.each_ref().map(Cell::get))
}

/// Violations of this thread until now, in the order of [`Violation::NAMES`].
pub fn violations() -> [u64; VIOLATIONS] {
    VIOLATED.with(|v| v.each_ref().map(Cell::get))
}
