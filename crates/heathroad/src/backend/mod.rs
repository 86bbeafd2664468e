//! The backends' side of the proxy: attempts over kept connections, and what the end of each means.
//!
//! - `attempt` runs one attempt, times it out and cancels it.
//! - `pool` bounds and keeps the connections, `target` is the process that they lead to.
//! - [`http`] and [`jsonrpc`] carry a call over a connection.
//! - `outcome` says what a response means.

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

/// Longest body that is passed on in either direction.
pub const MAX_BODY: usize = 64 * 1024;

/// A request as every attempt of it is sent.
pub enum Call {
    /// Over HTTP.
    Http(http::Call),
    /// Over JSON-RPC.
    JsonRpc(jsonrpc::Call),
}

impl Call {
    /// Returns the label by which log lines name it: its `Req-Id`, or its method's name.
    pub fn label(&self) -> Cow<'_, str> {
        match self {
            Call::Http(call) => String::from_utf8_lossy(call.id.as_bytes()),
            Call::JsonRpc(call) => String::from_utf8_lossy(&call.method),
        }
    }

    /// Returns whether attempts of it carry retry budgets.
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
            // It is boxed so that calls over HTTP need no memory for it.
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
