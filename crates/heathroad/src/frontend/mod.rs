//! The client-facing side of the proxy: HTTP requests ([`http`]) and JSON-RPC calls ([`jsonrpc`]).
//!
//! - [`connections`] tracks client connections; `reservations` tracks the other resources that
//!   clients hold.
//! - `request_ids` tells under which IDs a request may be sent.
//! - `read_ahead` detects a client's disconnect while its request is pending.
//! - `batch_concurrency` limits the concurrent calls of a connection's batches.

mod batch_concurrency;
pub mod connections;
pub mod http;
pub mod jsonrpc;
mod read_ahead;
mod request_ids;
mod reservations;

#[cfg(test)]
#[path = "../../tests/unit/frontend_races.rs"]
mod races;
