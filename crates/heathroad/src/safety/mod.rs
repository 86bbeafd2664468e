//! Whether something may be started, written, repeated, refused or closed now. Every part of the
//! daemon that is about to do so asks here, in the moment in which it acts: what was true when the
//! act was decided may be over by then, by a pause of the process, a connect that took long, or two
//! events that came in one turn. The rules stand here alone and hold whatever the decision module
//! has decided; a decision that breaks one is denied, logged and counted.
//!
//! The rules are pure functions of what they are given; `tally` counts what was denied, and
//! violations.

pub mod violations;

use crate::stall_detector;
use crate::time::millis;
use heathroad_balancer::api::{DeduplicationScope, Idempotency, Outcome};
use std::rc::{Rc, Weak};
use std::time::Duration;
use tokio::time::Instant;

/// Why an act is denied.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Denied {
    /// The request has had its final answer.
    RequestOver,
    /// The client has closed its connection.
    ClientLeft,
    /// The backend drains or is gone.
    BackendWithdrawn,
    /// The request has had as many attempts as it may.
    AttemptLimit,
    /// Its budget, or the version that it was bound to, allows no attempt.
    NotGranted,
    /// The request may have run, and must not run again.
    NotRepeatable,
    /// The request may have run where its repeats are not known.
    OutsideGroup,
    /// The time in which repeats are known is over, or nearly.
    WindowOver,
}

/// How many kinds of denials there are.
pub const KINDS: usize = 8;

impl Denied {
    /// Names, in the order of [`Denied::place`].
    pub const NAMES: [&str; KINDS] = [
        "request_over",
        "client_left",
        "backend_withdrawn",
        "attempt_limit",
        "not_granted",
        "not_repeatable",
        "outside_group",
        "window_over",
    ];

    /// Its place among the names.
    pub fn place(self) -> usize {
        self as usize
    }
}

/// A rule that was seen broken, by this daemon's own look at what it does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Violation {
    /// The decision module asked for an attempt that could have an effect twice.
    Repeat,
    /// The decision module promised no effect for a request that may have had one.
    Refusal,
    /// A final answer was given after the client's time and its grace.
    LateAnswer,
    /// A connection was closed with a request on it that was owed an answer.
    Dropped,
}

/// How many kinds of violations there are.
pub const VIOLATIONS: usize = 4;

impl Violation {
    /// Names, in the order of [`Violation::place`].
    pub const NAMES: [&str; VIOLATIONS] = ["repeat", "refusal", "late_answer", "dropped"];

    /// Its place among the names.
    pub fn place(self) -> usize {
        self as usize
    }
}

/// Tells whether who sent a request still waits for its answer.
pub trait Client {
    /// Whether it has closed its connection by now.
    fn left(&self) -> bool;
}

/// A client, as those know it who act for it and must not keep its connection.
#[derive(Clone)]
pub struct Waiting(Weak<dyn Client>);

impl Waiting {
    /// Who waits on a connection.
    pub fn new<C: Client + 'static>(client: &Rc<C>) -> Waiting {
        let client: Rc<dyn Client> = client.clone();
        Waiting(Rc::downgrade(&client))
    }

    /// Whether it has left: closed its connection, or had it closed.
    pub fn left(&self) -> bool {
        self.0.upgrade().is_none_or(|client| client.left())
    }
}

/// Where a backend stands: what the groups of repeats are made of.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Place {
    /// Its zone, by its place in the settings.
    pub zone: u16,
    /// Its cell.
    pub cell: u16,
}

/// An attempt that a request has had.
#[derive(Debug, Clone, Copy)]
pub struct Attempted {
    /// Where it went.
    pub place: Place,
    /// When it was begun.
    pub begun: Instant,
    /// How it ended; nothing while it is out.
    pub ended: Option<Outcome>,
}

impl Attempted {
    /// Whether it may have had an effect, or may yet.
    fn may_have_run(&self) -> bool {
        !self.ended.is_some_and(Outcome::never_executed)
    }
}

/// Until when an attempt may be written; nothing where no rule sets an end beside the request's
/// own.
pub type WriteBy = Option<Instant>;

/// Whether one more attempt may be begun at `now` at a place, by what the class of the request says
/// of its effect.
pub fn repeat<'a>(
    effect: Idempotency,
    before: impl Iterator<Item = &'a Attempted> + Clone,
    to: Place,
    may_duplicate: bool,
    now: Instant,
) -> Result<WriteBy, Denied> {
    if !may_duplicate && before.clone().any(|a| a.ended.is_none()) {
        return Err(Denied::NotRepeatable);
    }
    let mut may_have_run = before.filter(|a| a.may_have_run());
    let Some(first) = may_have_run.next() else {
        return Ok(None);
    };
    let (window, group) = match effect {
        Idempotency::Idempotent => return Ok(None),
        Idempotency::NonIdempotent => return Err(Denied::NotRepeatable),
        Idempotency::Deduplicated {
            window,
            scope: group,
        } => (window, group),
    };
    let same = match group {
        DeduplicationScope::All => true,
        DeduplicationScope::Zone => to.zone == first.place.zone,
        DeduplicationScope::Cell => to.cell == first.place.cell,
    };
    if !same {
        return Err(Denied::OutsideGroup);
    }
    let write_by = first.begun + repeats_known_for(window);
    if now < write_by {
        Ok(Some(write_by))
    } else {
        Err(Denied::WindowOver)
    }
}

/// How long after a first attempt a repeat may still be written, of a window in milliseconds: a
/// process that is held up between its look at the clock and the write must not miss the window's
/// end.
pub fn repeats_known_for(window: f64) -> Duration {
    millis(window).saturating_sub(stall_detector::LONGEST)
}

/// Whether a request may be refused, which promises that trying again is harmless.
pub fn refusal<'a>(effect: Idempotency, mut before: impl Iterator<Item = &'a Attempted>) -> bool {
    let anywhere = matches!(
        effect,
        Idempotency::Idempotent
            | Idempotency::Deduplicated {
                scope: DeduplicationScope::All,
                ..
            }
    );
    anywhere || !before.any(Attempted::may_have_run)
}

/// What is known of an attempt that is about to be written.
#[derive(Debug, Clone, Copy)]
pub struct Write {
    /// Whether its client has left.
    pub client_left: bool,
    /// Whether its backend takes nothing new any more.
    pub withdrawn: bool,
    /// Until when it may be written.
    pub write_by: WriteBy,
}

/// Whether an attempt may be written at `now`.
pub fn write(attempt: Write, now: Instant) -> Result<(), Denied> {
    if attempt.client_left {
        return Err(Denied::ClientLeft);
    }
    if attempt.withdrawn {
        return Err(Denied::BackendWithdrawn);
    }
    if attempt.write_by.is_some_and(|by| now >= by) {
        return Err(Denied::WindowOver);
    }
    Ok(())
}

/// What is known of a client's connection that is about to be closed, for whatever reason.
#[derive(Debug, Clone, Copy)]
pub struct Connection {
    /// A request on it is owed an answer.
    pub owed: bool,
    /// An answer is not written to its end.
    pub unsent: bool,
    /// Bytes lie on it that were not read; nothing where that does not matter, since what it sends
    /// is of no use.
    pub unread: bool,
}

/// Whether a client's connection may be closed without taking anything from the client.
pub fn close(connection: Connection) -> bool {
    !connection.owed && !connection.unsent && !connection.unread
}

#[cfg(test)]
#[path = "../../tests/unit/safety.rs"]
mod tests;
