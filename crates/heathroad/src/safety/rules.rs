//! The safety rules, as pure functions.

use super::ClientPresence;
use crate::stall_detector;
use crate::time::millis;
use heathroad_balancer::api::{DeduplicationScope, Idempotency, Outcome};
use std::time::Duration;
use tokio::time::Instant;

/// Number of variants of [`Denial`].
pub const DENIAL_KINDS: usize = 9;

/// The rule that denies an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Denial {
    /// The request's response was sent.
    RequestAnswered,
    /// The client has disconnected.
    ClientLeft,
    /// The backend is draining or was removed.
    BackendWithdrawn,
    /// The request has reached its limit of attempts.
    AttemptLimit,
    /// The request's retry budget, or the configuration version that it is bound to, permits no
    /// attempt.
    NotGranted,
    /// The request may have been executed and is not idempotent.
    NotRetryable,
    /// The request may have been executed by a backend that does not share deduplication with the
    /// selected one.
    OutsideGroup,
    /// The deduplication window of the idempotency key has ended or is about to end.
    WindowExpired,
    /// Whether the client is still connected cannot be seen.
    ClientUnknown,
}

impl Denial {
    /// Label values of the denials metric, indexed by [`Denial::index`].
    pub const LABELS: [&str; DENIAL_KINDS] = [
        "request_over",
        "client_left",
        "backend_withdrawn",
        "attempt_limit",
        "not_granted",
        "not_repeatable",
        "outside_group",
        "window_over",
        "client_unknown",
    ];

    /// Returns the index of the denial in [`Denial::LABELS`].
    pub fn index(self) -> usize {
        self as usize
    }
}

/// The location of a backend, which determines the backends that share deduplication with it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Location {
    /// Index of the zone in the settings.
    pub zone: u16,
    /// The cell.
    pub cell: u16,
}

/// An earlier attempt of a request, in flight or completed.
#[derive(Debug, Clone, Copy)]
pub struct PastAttempt {
    /// Location of the backend.
    pub location: Location,
    /// When the attempt was started.
    pub started_at: Instant,
    /// How the attempt ended; `None` while it is in flight.
    pub outcome: Option<Outcome>,
}

impl PastAttempt {
    /// Returns whether the attempt may have been executed or may still be executed.
    pub fn may_have_run(&self) -> bool {
        !self.outcome.is_some_and(Outcome::never_executed)
    }
}

/// The time before which an attempt must be written, if limited.
pub type WriteDeadline = Option<Instant>;

/// Checks whether another attempt may be sent to a location, given the idempotency of the request's
/// class. Returns its write deadline or the rule that denies it.
pub fn check_retry<'a>(
    idempotency: Idempotency,
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
    let (window, scope) = match idempotency {
        Idempotency::Idempotent => return Ok(None),
        Idempotency::NonIdempotent => return Err(Denial::NotRetryable),
        Idempotency::Deduplicated { window, scope } => (window, scope),
    };
    if !is_in_scope(scope, first.location, location) {
        return Err(Denial::OutsideGroup);
    }
    let write_deadline = first.started_at + retry_window(window);
    if now < write_deadline {
        Ok(Some(write_deadline))
    } else {
        Err(Denial::WindowExpired)
    }
}

/// Returns whether backends at `location` deduplicate requests that were sent to `first`.
fn is_in_scope(scope: DeduplicationScope, first: Location, location: Location) -> bool {
    match scope {
        DeduplicationScope::All => true,
        DeduplicationScope::Zone => location.zone == first.zone,
        DeduplicationScope::Cell => location.cell == first.cell,
    }
}

/// Returns how long after the first attempt a retry may be written, given the deduplication window
/// in milliseconds. It is shorter than the window, since the process may stall between reading the
/// clock and the write.
pub fn retry_window(window_ms: f64) -> Duration {
    millis(window_ms).saturating_sub(stall_detector::MAX_TOLERATED_STALL)
}

/// Returns whether a request may have been executed, or may still be.
pub fn may_have_run<'a>(mut past_attempts: impl Iterator<Item = &'a PastAttempt>) -> bool {
    past_attempts.any(PastAttempt::may_have_run)
}

/// Returns whether a request may be rejected, which tells the client that it can retry safely.
pub fn may_reject<'a>(
    idempotency: Idempotency,
    past_attempts: impl Iterator<Item = &'a PastAttempt>,
) -> bool {
    let can_retry_anywhere = matches!(
        idempotency,
        Idempotency::Idempotent
            | Idempotency::Deduplicated {
                scope: DeduplicationScope::All,
                ..
            }
    );
    can_retry_anywhere || !may_have_run(past_attempts)
}

/// The state of an attempt that is about to be written.
#[derive(Debug, Clone, Copy)]
pub struct PendingWrite {
    /// Whether the client is still connected.
    pub client: ClientPresence,
    /// Whether the backend no longer accepts new requests.
    pub backend_withdrawn: bool,
    /// The attempt's write deadline.
    pub deadline: WriteDeadline,
}

/// Checks whether work may begin for a client. An attempt for one that has left could be executed
/// again when the client sends its request anew, so none begins unless the client is surely there.
pub fn check_client(client: ClientPresence) -> Result<(), Denial> {
    match client {
        ClientPresence::Present => Ok(()),
        ClientPresence::Left => Err(Denial::ClientLeft),
        ClientPresence::Unknown => Err(Denial::ClientUnknown),
    }
}

/// Checks whether an attempt may be written now; returns the rule that denies it otherwise.
pub fn check_write(write: PendingWrite, now: Instant) -> Result<(), Denial> {
    check_client(write.client)?;
    if write.backend_withdrawn {
        return Err(Denial::BackendWithdrawn);
    }
    if write.deadline.is_some_and(|deadline| now >= deadline) {
        return Err(Denial::WindowExpired);
    }
    Ok(())
}

/// The state of a client connection that is about to be closed.
#[derive(Debug, Clone, Copy)]
pub struct ConnectionState {
    /// A request waits for its response.
    pub has_pending_request: bool,
    /// A response is not fully written.
    pub has_unsent_response: bool,
    /// Received bytes are unread. False if the client's data is malformed and will not be read.
    pub has_unread_bytes: bool,
}

/// Returns whether a client connection may be closed without losing a request or a response.
pub fn may_close(connection: ConnectionState) -> bool {
    !connection.has_pending_request
        && !connection.has_unsent_response
        && !connection.has_unread_bytes
}

#[cfg(test)]
#[path = "../../tests/unit/safety_rules.rs"]
mod tests;
