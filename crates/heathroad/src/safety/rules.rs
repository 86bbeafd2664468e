//! The safety rules, as pure functions of what is known at a moment.

use crate::stall_detector;
use crate::time::millis;
use heathroad_balancer::api::{DeduplicationScope, Idempotency, Outcome};
use std::time::Duration;
use tokio::time::Instant;

/// Number of the kinds of [`Denial`].
pub const DENIAL_KINDS: usize = 8;

/// The rule that denies an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Denial {
    /// The request's response was sent.
    RequestAnswered,
    /// The client has closed its connection.
    ClientLeft,
    /// The backend drains or is gone.
    BackendWithdrawn,
    /// The request has had as many attempts as it may.
    AttemptLimit,
    /// The request's budget, or the version that it was bound to, permits no attempt.
    NotGranted,
    /// The request may have run, and is not idempotent.
    NotRetryable,
    /// The request may have run outside the group that recognizes its idempotency key.
    OutsideGroup,
    /// The time in which its idempotency key is recognized is over, or nearly.
    WindowExpired,
}

impl Denial {
    /// Values of the metric's label, by [`Denial::index`].
    pub const LABELS: [&str; DENIAL_KINDS] = [
        "request_over",
        "client_left",
        "backend_withdrawn",
        "attempt_limit",
        "not_granted",
        "not_repeatable",
        "outside_group",
        "window_over",
    ];

    /// Returns its index among the labels.
    pub fn index(self) -> usize {
        self as usize
    }
}

/// Where a backend stands, which decides the group that recognizes an idempotency key.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Location {
    /// Index of its zone in the settings.
    pub zone: u16,
    /// Its cell.
    pub cell: u16,
}

/// An attempt that a request has had.
#[derive(Debug, Clone, Copy)]
pub struct PastAttempt {
    /// Where its backend stands.
    pub location: Location,
    /// When it was started.
    pub started_at: Instant,
    /// How it ended; nothing while it is in flight.
    pub outcome: Option<Outcome>,
}

impl PastAttempt {
    /// Returns whether it may have had an effect, or may yet have one.
    fn may_have_run(&self) -> bool {
        !self.outcome.is_some_and(Outcome::never_executed)
    }
}

/// The moment before which an attempt is written, where a rule sets one.
pub type WriteDeadline = Option<Instant>;

/// Returns until when one more attempt may be written at a location, or the rule that denies it.
/// The effect is what the request's class declares.
pub fn check_retry<'a>(
    effect: Idempotency,
    past_attempts: impl Iterator<Item = &'a PastAttempt> + Clone,
    location: Location,
    may_duplicate: bool,
    now: Instant,
) -> Result<WriteDeadline, Denial> {
    let mut in_flight = past_attempts
        .clone()
        .filter(|attempt| attempt.outcome.is_none());
    if !may_duplicate && in_flight.next().is_some() {
        return Err(Denial::NotRetryable);
    }
    let mut may_have_run = past_attempts.filter(|attempt| attempt.may_have_run());
    let Some(first) = may_have_run.next() else {
        return Ok(None);
    };
    let (window, group) = match effect {
        Idempotency::Idempotent => return Ok(None),
        Idempotency::NonIdempotent => return Err(Denial::NotRetryable),
        Idempotency::Deduplicated {
            window,
            scope: group,
        } => (window, group),
    };
    if !is_in_group(group, first.location, location) {
        return Err(Denial::OutsideGroup);
    }
    let write_deadline = first.started_at + retry_window(window);
    if now < write_deadline {
        Ok(Some(write_deadline))
    } else {
        Err(Denial::WindowExpired)
    }
}

/// Returns whether a location recognizes the idempotency keys that were used at the first.
fn is_in_group(group: DeduplicationScope, first: Location, location: Location) -> bool {
    match group {
        DeduplicationScope::All => true,
        DeduplicationScope::Zone => location.zone == first.zone,
        DeduplicationScope::Cell => location.cell == first.cell,
    }
}

/// Returns how long after a first attempt a retry may be written, by the deduplication window in
/// milliseconds. It is shorter than that: the process may stall between its look at the clock and
/// the write.
pub fn retry_window(window_ms: f64) -> Duration {
    millis(window_ms).saturating_sub(stall_detector::MAX_TOLERATED_STALL)
}

/// Returns whether a request may be rejected, which promises that a retry is harmless.
pub fn may_reject<'a>(
    effect: Idempotency,
    mut past_attempts: impl Iterator<Item = &'a PastAttempt>,
) -> bool {
    let retries_anywhere = matches!(
        effect,
        Idempotency::Idempotent
            | Idempotency::Deduplicated {
                scope: DeduplicationScope::All,
                ..
            }
    );
    retries_anywhere || !past_attempts.any(PastAttempt::may_have_run)
}

/// What is known of an attempt that is about to be written.
#[derive(Debug, Clone, Copy)]
pub struct PendingWrite {
    /// Whether its client has left.
    pub client_left: bool,
    /// Whether its backend takes nothing new any more.
    pub backend_withdrawn: bool,
    /// The moment before which it is written.
    pub deadline: WriteDeadline,
}

/// Returns the rule that denies the write of an attempt, if any.
pub fn check_write(write: PendingWrite, now: Instant) -> Result<(), Denial> {
    if write.client_left {
        return Err(Denial::ClientLeft);
    }
    if write.backend_withdrawn {
        return Err(Denial::BackendWithdrawn);
    }
    if write.deadline.is_some_and(|deadline| now >= deadline) {
        return Err(Denial::WindowExpired);
    }
    Ok(())
}

/// What is known of a client's connection that is about to be closed, for whatever reason.
#[derive(Debug, Clone, Copy)]
pub struct ConnectionState {
    /// A request on it waits for its response.
    pub has_pending_request: bool,
    /// A response is not written to its end.
    pub has_unsent_response: bool,
    /// Bytes lie on it that were not read; false where they do not matter, since what the client
    /// sends is not understood.
    pub has_unread_bytes: bool,
}

/// Returns whether a client's connection may be closed without taking anything from the client.
pub fn may_close(connection: ConnectionState) -> bool {
    !connection.has_pending_request
        && !connection.has_unsent_response
        && !connection.has_unread_bytes
}

#[cfg(test)]
#[path = "../../tests/unit/safety_rules.rs"]
mod tests;
