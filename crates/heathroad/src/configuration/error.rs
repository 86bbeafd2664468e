//! Why the daemon's configuration can't be used.

use super::membership::MembershipConfigError;
use crate::retry_budget;
use heathroad_balancer::settings::SettingsReadError;
use std::io;
use std::net::AddrParseError;
use std::num::ParseIntError;
use std::path::PathBuf;

/// Why the daemon's configuration can't be used.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum ConfigError {
    /// The environment names no configuration file.
    #[error("RELAY_CONFIG is not set: it names the configuration file (see heathroad --help)")]
    NotNamed,
    /// The file that the environment names can't be read.
    #[error("RELAY_CONFIG: {path}: {source}")]
    ReadNamed {
        /// The file.
        path: String,
        /// The error of the operating system.
        source: io::Error,
    },
    /// A file can't be read.
    #[error("{}: {source}", path.display())]
    Read {
        /// The file.
        path: PathBuf,
        /// The error of the operating system.
        source: io::Error,
    },
    /// A file that was named on the command line is not valid.
    #[error("{}: {source}", path.display())]
    InFile {
        /// The file.
        path: PathBuf,
        /// What is wrong with it.
        source: Box<ConfigError>,
    },
    /// A key is missing, unknown to its type or has a wrong one.
    #[error("config: {0}")]
    InvalidValue(#[source] serde_path_to_error::Error<serde_json::Error>),
    /// The settings are not valid.
    #[error("config: {0}")]
    Settings(#[from] SettingsReadError),
    /// A value is out of range, or of no use with the others.
    #[error("config: {0}")]
    Unusable(&'static str),
    /// The settings of retry budgets are not valid.
    #[error("config: {0}")]
    RetryBudget(#[from] retry_budget::SettingsError),
    /// The settings of the cluster are not valid.
    #[error(transparent)]
    Membership(#[from] MembershipConfigError),
    /// An address is missing.
    #[error("config: {name}: is missing")]
    MissingAddress {
        /// The key of the address.
        name: &'static str,
    },
    /// An address is not valid.
    #[error("config: {name}: {text}: {source}")]
    InvalidAddress {
        /// The key of the address.
        name: &'static str,
        /// The address as it was given.
        text: String,
        /// What is wrong with it.
        source: AddrParseError,
    },
    /// The seed is no hexadecimal number.
    #[error("config: seed: {0}")]
    InvalidSeed(#[source] ParseIntError),
}
