//! The lease configuration in the cluster's file.

use heathroad_lease::timing::LEASE_DURATION_MS;
use heathroad_lease::voter_set::{VoterSet, VoterSetError};
use heathroad_lease::{LeaseId, LeaseTiming, MemberId};
use serde::Deserialize;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::time::Duration;
use thiserror::Error;

/// Maximum number of leases.
const MAX_LEASES: usize = 16;
/// Maximum length of a lease's name.
const MAX_NAME_BYTES: usize = 32;
/// Permitted intervals between two runs of a lease's work, in milliseconds.
const INTERVAL_MS: RangeInclusive<u64> = 10..=3_600_000;
/// Default lease duration, in milliseconds.
const DEFAULT_LEASE_DURATION_MS: u64 = 5000;
/// Default interval of HTTP calls, in milliseconds.
const DEFAULT_CALL_INTERVAL_MS: u64 = 1000;
/// Default duration of an audit collection round, in milliseconds.
const DEFAULT_ROUND_DURATION_MS: u64 = 30_000;
/// Default path of HTTP calls.
const DEFAULT_PATH: &str = "/";

/// The HTTP calls that the holder of a lease makes.
#[derive(Debug, Clone)]
pub struct HttpCallSettings {
    /// The address of the server.
    pub address: SocketAddr,
    /// The path of the request.
    pub path: String,
    /// The interval between calls.
    pub interval: Duration,
}

/// The work that the holder of a lease does.
#[derive(Debug, Clone)]
pub enum WorkSettings {
    /// Periodic HTTP calls to a server.
    HttpCall(HttpCallSettings),
    /// Collection of the cluster's audit.
    CollectAudit {
        /// The duration of one round through all members.
        round_duration: Duration,
    },
}

/// The checked configuration of one lease.
#[derive(Debug, Clone)]
pub struct LeaseSettings {
    /// Its name.
    pub name: String,
    /// The work of its holder.
    pub work: WorkSettings,
}

/// The checked configuration of all leases.
#[derive(Debug, Clone)]
pub struct Settings {
    /// The members that grant the leases.
    pub voters: VoterSet,
    /// The timing of the lease protocol.
    pub timing: LeaseTiming,
    /// The leases.
    pub leases: Vec<LeaseSettings>,
}

/// The section `[duties]` of the cluster's file.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LeasesSection {
    voters: Vec<MemberId>,
    #[serde(default)]
    generation: u8,
    #[serde(default)]
    previous: Vec<MemberId>,
    #[serde(default = "default_lease_duration_ms")]
    lease_ms: u64,
}

fn default_lease_duration_ms() -> u64 {
    DEFAULT_LEASE_DURATION_MS
}

/// An entry `[[duty]]` of the cluster's file.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LeaseEntry {
    name: String,
    work: WorkKind,
    address: Option<SocketAddr>,
    path: Option<String>,
    every_ms: Option<u64>,
}

#[derive(Deserialize)]
#[serde(rename_all = "lowercase")]
enum WorkKind {
    Call,
    Collect,
}

/// An error in the lease configuration.
#[derive(Debug, Error)]
#[non_exhaustive]
pub enum LeaseConfigError {
    /// Leases are configured without voters.
    #[error("duty: needs `[duties]` with its voters")]
    MissingVoters,
    /// The voter set is invalid.
    #[error("duties: voters: {0}")]
    Voters(#[source] VoterSetError),
    /// The lease duration is out of range.
    #[error("duties: lease_ms: {0}; expected {least} to {most}",
        least = LEASE_DURATION_MS.start(), most = LEASE_DURATION_MS.end())]
    LeaseDuration(u64),
    /// There are too many leases.
    #[error("duty: {0}; expected {MAX_LEASES} at most")]
    TooManyLeases(usize),
    /// A lease is invalid.
    #[error("duty {name:?}: {source}")]
    Lease {
        /// Its name.
        name: String,
        /// The cause.
        #[source]
        source: LeaseEntryError,
    },
}

/// An error in the configuration of one lease.
#[derive(Debug, Error)]
#[non_exhaustive]
pub enum LeaseEntryError {
    /// The name has an invalid character or length.
    #[error("name: expected 1 to {MAX_NAME_BYTES} letters, digits, `-`, `_` or `.`")]
    InvalidName,
    /// Another lease has the same identifier, which is derived from the name.
    #[error("name: is taken by another, or told apart from one by nothing")]
    DuplicateName,
    /// The interval is out of range.
    #[error("every_ms: {0}; expected {least} to {most}",
        least = INTERVAL_MS.start(), most = INTERVAL_MS.end())]
    Interval(u64),
    /// The work is an HTTP call and the address is missing.
    #[error("address: is missing; its work calls one")]
    MissingAddress,
    /// The path is not a valid URL path.
    #[error("path: {0:?}: expected one that begins with `/`")]
    InvalidPath(String),
    /// An address or path is given for work that makes no HTTP calls.
    #[error("address, path: are of use where its work is to call")]
    UnusedTarget,
}

/// Validates the lease configuration for a cluster of `member_count` members. Returns `None` if no
/// leases are configured.
pub fn check(
    section: Option<LeasesSection>,
    entries: Vec<LeaseEntry>,
    member_count: u16,
) -> Result<Option<Settings>, LeaseConfigError> {
    let Some(section) = section else {
        return if entries.is_empty() {
            Ok(None)
        } else {
            Err(LeaseConfigError::MissingVoters)
        };
    };
    let LeasesSection {
        voters,
        generation,
        previous,
        lease_ms,
    } = section;
    let voters = VoterSet::new(generation, voters, previous, member_count)
        .map_err(LeaseConfigError::Voters)?;
    if !LEASE_DURATION_MS.contains(&lease_ms) {
        return Err(LeaseConfigError::LeaseDuration(lease_ms));
    }
    Ok(Some(Settings {
        voters,
        timing: LeaseTiming {
            lease_duration: lease_ms,
        },
        leases: check_entries(entries)?,
    }))
}

fn check_entries(entries: Vec<LeaseEntry>) -> Result<Vec<LeaseSettings>, LeaseConfigError> {
    if entries.len() > MAX_LEASES {
        return Err(LeaseConfigError::TooManyLeases(entries.len()));
    }
    let mut ids = BTreeSet::new();
    let mut leases = Vec::new();
    for entry in entries {
        let name = entry.name.clone();
        let lease = check_entry(entry, &mut ids);
        leases.push(lease.map_err(|source| LeaseConfigError::Lease { name, source })?);
    }
    Ok(leases)
}

fn check_entry(
    entry: LeaseEntry,
    ids: &mut BTreeSet<LeaseId>,
) -> Result<LeaseSettings, LeaseEntryError> {
    let LeaseEntry {
        name,
        work,
        address,
        path,
        every_ms,
    } = entry;
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b'.');
    if name.is_empty() || name.len() > MAX_NAME_BYTES || !name.bytes().all(is_allowed) {
        return Err(LeaseEntryError::InvalidName);
    }
    if !ids.insert(LeaseId::from_name(&name)) {
        return Err(LeaseEntryError::DuplicateName);
    }
    let work = match work {
        WorkKind::Call => WorkSettings::HttpCall(check_http_call(address, path, every_ms)?),
        WorkKind::Collect if address.is_some() || path.is_some() => {
            return Err(LeaseEntryError::UnusedTarget);
        }
        WorkKind::Collect => WorkSettings::CollectAudit {
            round_duration: check_interval(every_ms, DEFAULT_ROUND_DURATION_MS)?,
        },
    };
    Ok(LeaseSettings { name, work })
}

fn check_http_call(
    address: Option<SocketAddr>,
    path: Option<String>,
    every_ms: Option<u64>,
) -> Result<HttpCallSettings, LeaseEntryError> {
    let address = address.ok_or(LeaseEntryError::MissingAddress)?;
    let path = path.unwrap_or_else(|| DEFAULT_PATH.into());
    if !path.starts_with('/') || !path.bytes().all(|byte| byte.is_ascii_graphic()) {
        return Err(LeaseEntryError::InvalidPath(path));
    }
    Ok(HttpCallSettings {
        address,
        path,
        interval: check_interval(every_ms, DEFAULT_CALL_INTERVAL_MS)?,
    })
}

fn check_interval(every_ms: Option<u64>, default_ms: u64) -> Result<Duration, LeaseEntryError> {
    let interval_ms = every_ms.unwrap_or(default_ms);
    if INTERVAL_MS.contains(&interval_ms) {
        Ok(Duration::from_millis(interval_ms))
    } else {
        Err(LeaseEntryError::Interval(interval_ms))
    }
}

#[cfg(test)]
#[path = "../../tests/unit/lease_configuration.rs"]
mod tests;
