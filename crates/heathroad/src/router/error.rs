//! Errors of the router.

use crate::configuration::routes::{RoutesError, SelfLoop};
use crate::configuration::verification_gate::GateError;
use heathroad_balancer::api::SettingsError;
use heathroad_routing::config::error::ConfigErrors;
use std::io;
use std::net::SocketAddr;

/// Why pools can't be started or a generation can't be put in force.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum RouterError {
    /// The routes file can't be used.
    #[error(transparent)]
    Routes(#[from] RoutesError),
    /// A pool would send requests back to the daemon.
    #[error(transparent)]
    SelfLoop(#[from] SelfLoop),
    /// Expectations can't be read or verified.
    #[error(transparent)]
    Gate(#[from] GateError),
    /// Expectations are not met.
    #[error("{}", failures.join("\n"))]
    ExpectationsFail {
        /// One line for each expectation that is not met.
        failures: Vec<String>,
    },
    /// The committed generation does not parse.
    #[error("state: generation {number}: {source}")]
    Committed {
        /// The generation's number.
        number: u64,
        /// The errors in its text.
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
        /// The listener's name.
        name: String,
        /// The listener's address.
        address: SocketAddr,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The settings of a pool are not valid.
    #[error("pool {pool}: {source}")]
    Pool {
        /// The pool's name.
        pool: String,
        /// What is wrong with its settings.
        source: SettingsError,
    },
}

impl From<RouterError> for String {
    /// Returns the error's message, as the daemon reports it at startup.
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
    /// The configuration can't be put in force on this proxy.
    #[error(transparent)]
    Router(#[from] RouterError),
    /// The change is to be required of the cluster, but this proxy is not a member of one.
    #[error("a change can't be required of the fleet: the daemon's file configures none")]
    NoCluster,
    /// The change is to be required of the cluster, but this proxy is fenced.
    #[error(
        "a change can't be required of the fleet: this proxy is fenced, or reaches no majority of \
         the fleet"
    )]
    Fenced,
    /// The change is to be required of the cluster before every member can know of it.
    #[error(
        "required within {within_ms} ms; expected {min_ms} at least, the time after which every \
         proxy knows of the change or is fenced"
    )]
    RequiredTooSoon {
        /// The time within which the change is required.
        within_ms: u64,
        /// The shortest time that is accepted.
        min_ms: u64,
    },
}
