//! The clients' side of the proxy: requests over [`http`] and calls over [`jsonrpc`].
//!
//! - [`connections`] are the clients' connections, `reservations` what clients hold beside them.
//! - `read_ahead` sees a client leave while its request is pending.
//! - `batch_concurrency` keeps the batches of one client from taking all capacity.

mod batch_concurrency;
pub mod connections;
pub mod http;
pub mod jsonrpc;
mod read_ahead;
mod reservations;

#[cfg(test)]
#[path = "../../tests/unit/frontend_races.rs"]
mod races;
