//! Why the daemon could not start or go on.

use crate::configuration::ConfigError;
use crate::lease::StoreError;
use crate::logging::LoggingError;
use crate::membership::StartError;
use crate::router::RouterError;
use heathroad_balancer::api::SettingsError;
use std::io;
use std::net::SocketAddr;
use tokio::task::JoinError;

/// Why the daemon ended other than by a planned stop.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum DaemonError {
    /// The environment's variables on logging are not valid.
    #[error(transparent)]
    Logging(#[from] LoggingError),
    /// The configuration is not valid.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// The runtime could not be created.
    #[error("runtime: {0}")]
    Runtime(#[source] io::Error),
    /// A signal could not be handled.
    #[error("{name}: {source}")]
    Signal {
        /// The signal.
        name: &'static str,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The address for clients could not be bound.
    #[error("listen: {address}: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The bound address for clients is not known.
    #[error("listen: {0}")]
    ListenAddress(#[source] io::Error),
    /// The admin address could not be bound.
    #[error("admin: {address}: {source}")]
    Admin {
        /// The address.
        address: SocketAddr,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The bound admin address is not known.
    #[error("admin: {0}")]
    AdminAddress(#[source] io::Error),
    /// The settings are not sound.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// The pools of routes could not be started.
    #[error(transparent)]
    Router(#[from] RouterError),
    /// The membership could not be started.
    #[error(transparent)]
    Membership(#[from] StartError),
    /// The store of leases could not be opened.
    #[error(transparent)]
    LeaseStore(#[from] StoreError),
    /// The frontend ended before the planned stop was over.
    #[error("front: {0}")]
    Frontend(#[source] JoinError),
}
