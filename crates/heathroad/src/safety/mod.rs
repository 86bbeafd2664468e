//! The safety rules: whether an attempt may be sent, written or retried, a request rejected, or a
//! connection closed.
//!
//! Rules are checked when an action is executed, not when it is decided, since the state may have
//! changed in between: the process may have stalled, a connect may have taken long, or two events
//! may have been handled together. Decisions that violate a rule are denied, logged and counted.
//!
//! - `rules` implements the rules as pure functions.
//! - `client` tells what is known of clients and of the execution of their requests.
//! - [`violations`] counts and logs denials and violations.

mod client;
mod rules;
pub mod violations;

pub use client::{ClientConnection, ClientHandle, ClientPresence};
pub use rules::{
    ConnectionState, DENIAL_KINDS, Denial, Location, PastAttempt, PendingWrite, WriteDeadline,
    check_client, check_retry, check_write, may_close, may_have_run, may_reject, retry_window,
};
pub use violations::Violation;
