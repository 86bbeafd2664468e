//! Errors that prevent the daemon from starting or end it early.

use crate::configuration::ConfigError;
use crate::lease::StoreError;
use crate::logging::LoggingError;
use crate::membership::StartError;
use crate::router::RouterError;
use heathroad_balancer::api::SettingsError;
use std::io;
use std::net::SocketAddr;
use tokio::task::JoinError;

/// An error that ended the daemon other than by a graceful shutdown.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum DaemonError {
    /// The environment variables for logging are invalid.
    #[error(transparent)]
    Logging(#[from] LoggingError),
    /// The configuration is invalid.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// The runtime could not be created.
    #[error("runtime: {0}")]
    Runtime(#[source] io::Error),
    /// A signal handler could not be installed.
    #[error("{name}: {source}")]
    Signal {
        /// The name of the signal.
        name: &'static str,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The client listener could not be bound.
    #[error("listen: {address}: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The local address of the client listener could not be read.
    #[error("listen: {0}")]
    ListenAddress(#[source] io::Error),
    /// The admin listener could not be bound.
    #[error("admin: {address}: {source}")]
    Admin {
        /// The address.
        address: SocketAddr,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The local address of the admin listener could not be read.
    #[error("admin: {0}")]
    AdminAddress(#[source] io::Error),
    /// The decision module rejected the settings.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// The router could not be started.
    #[error(transparent)]
    Router(#[from] RouterError),
    /// The membership service could not be started.
    #[error(transparent)]
    Membership(#[from] StartError),
    /// The lease store could not be opened.
    #[error(transparent)]
    LeaseStore(#[from] StoreError),
    /// The HTTP frontend's task panicked or was aborted.
    #[error("frontend: {0}")]
    Frontend(#[source] JoinError),
}
