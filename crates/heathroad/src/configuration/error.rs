//! Errors of the daemon's configuration.

use super::membership::MembershipConfigError;
use crate::retry_budget;
use heathroad_balancer::settings::SettingsReadError;
use std::io;
use std::net::AddrParseError;
use std::num::ParseIntError;
use std::path::PathBuf;

/// An error in the daemon's configuration.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum ConfigError {
    /// `RELAY_CONFIG`, the path of the configuration file, is not set.
    #[error("RELAY_CONFIG is not set: it names the configuration file (see heathroad --help)")]
    NotNamed,
    /// The file at `RELAY_CONFIG` cannot be read.
    #[error("RELAY_CONFIG: {path}: {source}")]
    ReadNamed {
        /// The path of the file.
        path: String,
        /// The error of the operating system.
        source: io::Error,
    },
    /// A file cannot be read.
    #[error("{}: {source}", path.display())]
    Read {
        /// The path of the file.
        path: PathBuf,
        /// The error of the operating system.
        source: io::Error,
    },
    /// A file given on the command line is invalid.
    #[error("{}: {source}", path.display())]
    InFile {
        /// The path of the file.
        path: PathBuf,
        /// The cause.
        source: Box<ConfigError>,
    },
    /// A key is missing or unknown, or its value has the wrong type.
    #[error("config: {0}")]
    InvalidValue(#[source] serde_path_to_error::Error<serde_json::Error>),
    /// The settings are invalid.
    #[error("config: {0}")]
    Settings(#[from] SettingsReadError),
    /// A value is out of range, or has no effect with the other values.
    #[error("config: {0}")]
    Unusable(&'static str),
    /// The settings of retry budgets are invalid.
    #[error("config: {0}")]
    RetryBudget(#[from] retry_budget::SettingsError),
    /// The settings of the cluster are invalid.
    #[error(transparent)]
    Membership(#[from] MembershipConfigError),
    /// An address is missing.
    #[error("config: {name}: is missing")]
    MissingAddress {
        /// The key of the address.
        name: &'static str,
    },
    /// An address is invalid.
    #[error("config: {name}: {text}: {source}")]
    InvalidAddress {
        /// The key of the address.
        name: &'static str,
        /// The configured text.
        text: String,
        /// The cause.
        source: AddrParseError,
    },
    /// The seed is not a hexadecimal number.
    #[error("config: seed: {0}")]
    InvalidSeed(#[source] ParseIntError),
}
