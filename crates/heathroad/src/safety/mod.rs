//! The safety rules: whether an attempt may be started, written or retried, a request rejected, or
//! a connection closed at this moment.
//!
//! Every part of the daemon asks here when it acts, and not when the act was decided. What was true
//! then may be over by now: the process may have stalled, a connect taken long, or two events come
//! in one turn. The rules hold whatever the decision module has decided; a decision that breaks one
//! is denied, logged and counted.
//!
//! - `rules` holds the rules, which are pure functions.
//! - `client` tells whether a client still waits.
//! - [`violations`] counts and logs what was denied, and rules that were seen broken.

mod client;
mod rules;
pub mod violations;

pub use client::{ClientConnection, ClientHandle};
pub use rules::{
    ConnectionState, DENIAL_KINDS, Denial, Location, PastAttempt, PendingWrite, WriteDeadline,
    check_retry, check_write, may_close, may_reject, retry_window,
};
pub use violations::Violation;
