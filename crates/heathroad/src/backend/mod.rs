//! Sending of attempts to backends over pooled connections.
//!
//! - `attempt` runs one attempt, with timeout and cancellation.
//! - `pool` is the connection pool, `target` a backend process.
//! - [`http`] and [`jsonrpc`] send calls over a connection.
//! - `outcome` classifies results.

mod attempt;
pub mod http;
pub mod jsonrpc;
mod outcome;
mod pool;
mod target;

pub use attempt::{Attempt, AttemptControl, store_waker};
pub use outcome::AttemptEnd;
pub use pool::{Limits, Pool};
pub use target::Target;

use crate::retry_budget::AttemptBudget;
use std::borrow::Cow;
use std::rc::Rc;
use tokio::time::Instant;

/// Maximum size of request and response bodies, in bytes.
pub const MAX_BODY: usize = 64 * 1024;

/// The content of a request, which is the same for all its attempts.
pub enum Call {
    /// An HTTP request.
    Http(http::Call),
    /// A JSON-RPC call.
    JsonRpc(jsonrpc::Call),
}

impl Call {
    /// Returns the label in log lines: the `Req-Id` or the method name.
    pub fn label(&self) -> Cow<'_, str> {
        match self {
            Call::Http(call) => String::from_utf8_lossy(call.id.as_bytes()),
            Call::JsonRpc(call) => String::from_utf8_lossy(&call.method),
        }
    }

    /// Returns whether a rejection tells the client that nothing was executed, and not only that a
    /// retry is safe.
    pub fn rejects_as_never_executed(&self) -> bool {
        matches!(self, Call::JsonRpc(_))
    }

    /// Returns whether attempts carry retry budgets.
    pub fn carries_budget(&self) -> bool {
        match self {
            Call::Http(_) => true,
            Call::JsonRpc(call) => call.transport.carries_budget,
        }
    }
}

async fn exchange(
    pool: &Rc<Pool>,
    call: &Call,
    target: &Rc<Target>,
    expires_at: Instant,
    control: &Rc<AttemptControl>,
    budget: Option<&AttemptBudget>,
) -> AttemptEnd {
    match call {
        Call::Http(call) => http::exchange(pool, call, target, expires_at, control, budget).await,
        Call::JsonRpc(call) => {
            // Boxed to keep the future of HTTP calls small.
            Box::pin(jsonrpc::exchange(
                pool, call, target, expires_at, control, budget,
            ))
            .await
        }
    }
}

#[cfg(test)]
#[path = "../../tests/unit/backend_races.rs"]
mod races;

#[cfg(test)]
#[path = "../../tests/unit/backend_jsonrpc.rs"]
mod jsonrpc_tests;
