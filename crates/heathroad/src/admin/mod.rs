//! The admin address, off unless it is configured: metrics, changes of routes, and reports on the
//! cluster and its leases.
//!
//! - [`server`] accepts connections and hands each request to its handler.
//! - [`configuration`], [`cluster`] and [`leases`] are the handlers.
//! - [`reply`] makes HTTP responses.

mod cluster;
mod configuration;
mod leases;
mod reply;
mod server;

pub use server::{AdminState, MAX_CONNECTIONS, serve};
