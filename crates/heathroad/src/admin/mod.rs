//! The optional admin server: metrics, route configuration, and reports on the cluster and its
//! leases.
//!
//! - [`server`] accepts connections and dispatches requests to the handlers.
//! - [`configuration`], [`cluster`] and [`leases`] are the handlers.
//! - [`reply`] builds HTTP responses.

mod cluster;
mod configuration;
mod leases;
mod reply;
mod server;

pub use server::{AdminState, MAX_CONNECTIONS, serve};
