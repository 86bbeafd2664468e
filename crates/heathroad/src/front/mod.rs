//! The callers' side: requests over `http` and calls over `rpc`, who share the `room` that there
//! is. `pace` keeps a caller from taking all turns, `wire` sees a caller leave.

#[cfg(test)]
mod crossings;
pub mod http;
mod pace;
pub mod room;
pub mod rpc;
mod wire;
