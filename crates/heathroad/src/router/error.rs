//! The errors of the router.

use crate::configuration::routes::{RoutesError, SelfLoop};
use crate::configuration::verification_gate::GateError;
use heathroad_balancer::api::SettingsError;
use heathroad_routing::config::error::ConfigErrors;
use std::io;
use std::net::SocketAddr;

/// Why pools can't be started or put in force.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum RouterError {
    /// The file of routes can't be used.
    #[error(transparent)]
    Routes(#[from] RoutesError),
    /// A pool would send requests back to the daemon.
    #[error(transparent)]
    SelfLoop(#[from] SelfLoop),
    /// Expectations can't be read or verified.
    #[error(transparent)]
    Gate(#[from] GateError),
    /// Expectations do not hold.
    #[error("{}", failures.join("\n"))]
    ExpectationsFail {
        /// One line for each of them.
        failures: Vec<String>,
    },
    /// The committed generation does not parse.
    #[error("state: generation {number}: {source}")]
    Committed {
        /// The number of the generation.
        number: u64,
        /// The errors of its text.
        source: ConfigErrors,
    },
    /// The journal can't be read.
    #[error("state: {folder}: {source}")]
    ReadState {
        /// The state folder.
        folder: String,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The journal can't be written.
    #[error("state: {0}")]
    WriteState(#[source] io::Error),
    /// A listener can't be opened.
    #[error("listener {name}: {address}: {source}")]
    Listen {
        /// The name of the listener.
        name: String,
        /// Its address.
        address: SocketAddr,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The settings of a pool are not valid.
    #[error("pool {pool}: {source}")]
    Pool {
        /// The name of the pool.
        pool: String,
        /// The error of its settings.
        source: SettingsError,
    },
}

impl From<RouterError> for String {
    /// Returns the text of the error, as the start of the daemon reports it.
    fn from(error: RouterError) -> Self {
        error.to_string()
    }
}

/// Why a proposed configuration is rejected before it is staged.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum ProposalError {
    /// The text has errors.
    #[error(transparent)]
    Config(#[from] ConfigErrors),
    /// The configuration can't be put in force here.
    #[error(transparent)]
    Router(#[from] RouterError),
    /// A change is required of the cluster, but this proxy is not a member of one.
    #[error("a change is required of a fleet, and this daemon's file names none")]
    NoCluster,
    /// A change is required of the cluster, but this proxy is fenced.
    #[error(
        "this proxy is fenced, or sees no more than half of the fleet: it can require nothing of others"
    )]
    Fenced,
    /// A change is required of the cluster too soon for all members to learn of it.
    #[error(
        "required within {within_ms} ms; expected {min_ms} at least, after which proxies know of it \
         or fence themselves"
    )]
    RequiredTooSoon {
        /// The time that the operator named.
        within_ms: u64,
        /// The shortest time that is possible.
        min_ms: u64,
    },
}
