//! The callers' side: requests over `http` and calls over `rpc`, who share the `room` that there
//! is. `pace` keeps a caller from taking all turns, `wire` sees a caller leave.

mod batch_concurrency;
pub mod connections;
#[cfg(test)]
mod crossings;
pub mod http;
pub mod jsonrpc;
mod read_ahead;
