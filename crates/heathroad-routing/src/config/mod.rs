//! The configuration file of routes and pools: its content, parser and checks.
//!
//! Parsing reports all errors of a file at once instead of stopping at the first one.

mod checks;
pub mod error;
mod listener;
pub mod parser;
mod pool;
mod route;

pub use listener::{Listener, Method, TenantSource};
pub use parser::MAX_BYTES;
pub use pool::{
    BackendSource, Class, DeduplicationScope, Idempotency, JsonRpcSettings, ListedBackend, Pool,
    parse_deduplication_scope,
};
pub use route::parse_condition;

use crate::route::Route;
use error::ConfigErrors;
use parser::Section;
use std::net::SocketAddr;

/// The maximum number of routes.
pub const MAX_ROUTES: usize = 100_000;
/// The maximum number of pools.
pub const MAX_POOLS: usize = 1_000;
/// The name of the daemon's HTTP listener.
pub const MAIN_LISTENER: &str = "main";
/// The maximum duration in a configuration file, in milliseconds: one day.
const MAX_DURATION_MS: f64 = 86_400_000.0;

/// The checked content of a configuration file.
#[derive(Debug, Clone, PartialEq)]
pub struct Config {
    /// The known tenants. Routes may refer to any tenant if this is empty.
    pub tenants: Vec<String>,
    /// The pools.
    pub pools: Vec<Pool>,
    /// The routes.
    pub routes: Vec<Route>,
    /// The JSON-RPC listeners, which do not include the daemon's HTTP listener.
    pub listeners: Vec<Listener>,
}

/// A pool and the byte offset of its definition.
struct LocatedPool {
    pool: Pool,
    offset: usize,
}

/// Parses and checks the text of a configuration file. `file` is its name in error messages.
///
/// # Errors
///
/// Returns all errors of the file, sorted by line.
pub fn parse(file: &str, text: &str) -> Result<Config, ConfigErrors> {
    parser::parse_document(file, text, parse_root)
}

fn parse_root(root: &Section<'_, '_>) -> Config {
    let tenants = root.string_list("tenants");
    let pools = pool::parse_pools(root);
    let routes = route::parse_routes(root, &pools, &tenants);
    let listeners = listener::parse_listeners(root, &pools, &tenants);
    checks::check_route_listeners(root.document, &routes, &listeners, &pools);
    checks::check_shared_backends(root.document, &pools);
    checks::check_listener_loops(root.document, &pools, &listeners);
    Config {
        tenants,
        pools: pools.into_iter().map(|located| located.pool).collect(),
        routes,
        listeners,
    }
}

impl Config {
    /// Iterates over the pools that would send HTTP requests back to the daemon, because one of
    /// their listed backends is the daemon's own listen address.
    pub fn pools_looping_to(&self, listen_address: SocketAddr) -> impl Iterator<Item = &Pool> {
        self.pools.iter().filter(move |pool| match &pool.source {
            BackendSource::List(backends) => {
                pool.jsonrpc.is_none()
                    && backends
                        .iter()
                        .any(|b| connects_to(b.address, listen_address))
            }
            BackendSource::Registry { .. } => false,
        })
    }
}

/// Returns whether a connection to `address` reaches a listener on `listen_address`, which may be
/// the unspecified address.
fn connects_to(address: SocketAddr, listen_address: SocketAddr) -> bool {
    let reaches_unspecified = listen_address.ip().is_unspecified() && address.ip().is_loopback();
    listen_address.port() != 0
        && address.port() == listen_address.port()
        && (address.ip() == listen_address.ip() || reaches_unspecified)
}
