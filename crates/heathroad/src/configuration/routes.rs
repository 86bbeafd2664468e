//! Reads and validates the file of routes and pools.

use heathroad_routing::config::error::ConfigErrors;
use heathroad_routing::generation::Generation;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;

/// An error in the file of routes.
#[derive(Debug, thiserror::Error)]
pub enum RoutesError {
    /// The file cannot be read.
    #[error("{file}: {source}")]
    Read {
        /// The name of the file.
        file: String,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The text has errors.
    #[error(transparent)]
    Config(#[from] ConfigErrors),
}

/// A pool has the daemon itself as a backend, so requests would loop.
#[derive(Debug, thiserror::Error)]
#[error(
    "routes: pool {pool:?}: one of its backends is this daemon itself, at {listen_address}; expected servers"
)]
pub struct SelfLoop {
    /// The name of the pool.
    pub pool: String,
    /// The address that the daemon listens on.
    pub listen_address: SocketAddr,
}

/// Reads and validates a file as the generation `number`.
///
/// # Errors
///
/// Returns an error if the file cannot be read, or all errors found in its text.
pub fn read(path: &Path, number: u64) -> Result<Rc<Generation>, RoutesError> {
    let file = path.display().to_string();
    match std::fs::read_to_string(path) {
        Ok(text) => Ok(Generation::parse(number, &file, &text)?),
        Err(source) => Err(RoutesError::Read { file, source }),
    }
}

/// Checks that no pool sends requests back to the daemon.
///
/// # Errors
///
/// Returns the first pool that does.
pub fn check_self_loop(
    generation: &Generation,
    listen_address: SocketAddr,
) -> Result<(), SelfLoop> {
    match generation.config.pools_looping_to(listen_address).next() {
        None => Ok(()),
        Some(pool) => Err(SelfLoop {
            pool: pool.name.clone(),
            listen_address,
        }),
    }
}
