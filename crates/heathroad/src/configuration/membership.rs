//! The cluster's file: its name, key, timing and leases. The addresses come from `peer_listen` and
//! `peers` in the daemon's own file.

use heathroad_membership::MemberId;
use heathroad_membership::authentication::{Authenticator, CredentialsError, MAX_KEY_BYTES};
use heathroad_membership::protocol::Config;
use serde::Deserialize;
use std::net::{AddrParseError, SocketAddr};
use std::path::{Path, PathBuf};
use std::time::Duration;
use std::{io, ops::RangeInclusive};
use thiserror::Error;

/// Maximum number of members of a cluster.
const MAX_MEMBERS: usize = 10_000;
/// The permitted probe periods, in milliseconds.
const PROBE_PERIOD_MS: RangeInclusive<u64> = 100..=60_000;
/// Minimum of `fence_unsure_after_ms` in probe periods, so that a few lost probes do not fence a
/// proxy.
const MIN_UNSURE_PERIODS: u64 = 5;

/// The validated settings of the cluster.
pub struct Settings {
    /// The name of the cluster.
    pub fleet_name: String,
    /// Authenticates messages with the name and key of the cluster.
    pub authenticator: Authenticator,
    /// The address that receives messages of other members.
    pub listen: SocketAddr,
    /// The addresses of all members, indexed by member id.
    pub addresses: Vec<SocketAddr>,
    /// The member id of this proxy.
    pub id: MemberId,
    /// Intervals, timeouts and limits of the protocol.
    pub protocol: Config,
    /// The time without contact, or without a majority of the cluster, after which this proxy
    /// fences itself; `None` if it never does.
    pub fence_unsure_after: Option<Duration>,
    /// Whether attempts carry a header with the version they were decided under; used by the
    /// harness.
    pub sends_version_header: bool,
    /// The leases, if voters are configured.
    pub leases: Option<super::lease::Settings>,
}

/// The file as it is written.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct File {
    name: String,
    key_file: PathBuf,
    #[serde(default)]
    tells_backends: bool,
    fence_unsure_after_ms: Option<u64>,
    #[serde(rename = "period_ms", default = "default_probe_period_ms")]
    probe_period_ms: u64,
    duties: Option<super::lease::LeasesSection>,
    #[serde(default)]
    duty: Vec<super::lease::LeaseEntry>,
}

fn default_probe_period_ms() -> u64 {
    Config::default().probe_period
}

/// The addresses of the members in the daemon's file.
pub struct Addresses<'a> {
    /// `peer_listen`.
    pub listen: Option<&'a str>,
    /// `peers`.
    pub peers: &'a [String],
    /// `settings.slotNo`, the index of this proxy in `peers`.
    pub own: u32,
}

/// An error in the configuration of the cluster.
#[derive(Debug, Error)]
#[non_exhaustive]
pub enum MembershipConfigError {
    /// The cluster's file is invalid.
    #[error("{path}: {error}", path = .path.display())]
    File {
        /// The path of the file.
        path: PathBuf,
        /// The cause.
        #[source]
        error: FileError,
    },
    /// The addresses of the members are invalid.
    #[error("config: {0}")]
    Addresses(#[from] AddressesError),
}

/// An error in the cluster's file.
#[derive(Debug, Error)]
#[non_exhaustive]
pub enum FileError {
    /// The file cannot be read.
    #[error("{0}")]
    Unreadable(#[source] io::Error),
    /// The file is not valid TOML, or a key is unknown, missing or of the wrong type.
    #[error("{}", one_line(.0))]
    Malformed(#[from] toml::de::Error),
    /// The key cannot be read.
    #[error("key_file: {path}: {source}", path = .path.display())]
    KeyUnreadable {
        /// The path of the key.
        path: PathBuf,
        /// The cause.
        source: io::Error,
    },
    /// The key is too long.
    #[error("key_file: {path}: more than {MAX_KEY_BYTES} bytes", path = .path.display())]
    KeyTooLong {
        /// The path of the key.
        path: PathBuf,
    },
    /// The probe period is out of range.
    #[error(
        "period_ms: {period_ms}; expected {} to {}",
        PROBE_PERIOD_MS.start(),
        PROBE_PERIOD_MS.end()
    )]
    ProbePeriod {
        /// The period.
        period_ms: u64,
    },
    /// The time until this proxy fences itself is too short.
    #[error(
        "fence_unsure_after_ms: {time_ms}; expected {min_ms} at least, {MIN_UNSURE_PERIODS} periods"
    )]
    FenceTooSoon {
        /// The time.
        time_ms: u64,
        /// The minimum time.
        min_ms: u64,
    },
    /// The name or the key is invalid.
    #[error(transparent)]
    Credentials(#[from] CredentialsError),
    /// The lease configuration is invalid.
    #[error("{0}")]
    Leases(#[source] super::lease::LeaseConfigError),
}

/// An error in the addresses of the members.
#[derive(Debug, Error)]
#[non_exhaustive]
pub enum AddressesError {
    /// The listen address is missing.
    #[error("peer_listen: is missing; a fleet needs it")]
    MissingListen,
    /// An address cannot be parsed.
    #[error("{name}: {text}: {source}")]
    Malformed {
        /// The key of the address.
        name: &'static str,
        /// The configured text.
        text: String,
        /// The cause.
        source: AddrParseError,
    },
    /// There are too many members.
    #[error("peers: {count}; expected {MAX_MEMBERS} at most")]
    TooManyMembers {
        /// The number of members.
        count: usize,
    },
    /// The list has no address for this proxy.
    #[error("peers: expected one address for each proxy, at its settings.slotNo")]
    MissingOwn,
}

/// Joins the lines of a TOML parser error for the log.
fn one_line(error: &toml::de::Error) -> String {
    error.to_string().trim_end().replace('\n', " ")
}

/// Reads and validates the cluster's file.
pub fn read(path: &Path, addresses: &Addresses<'_>) -> Result<Settings, MembershipConfigError> {
    let in_file = |error: FileError| MembershipConfigError::File {
        path: path.to_path_buf(),
        error,
    };
    let file = parse(path).map_err(in_file)?;
    let authenticator = check(path, &file).map_err(in_file)?;
    let (listen, peers) = parse_addresses(addresses)?;
    let id = own_id(addresses.own, peers.len())?;
    let fleet_size = peers.len() as u16;
    let leases = super::lease::check(file.duties, file.duty, fleet_size)
        .map_err(|error| in_file(FileError::Leases(error)))?;
    Ok(Settings {
        fleet_name: file.name,
        authenticator,
        listen: parse_address("peer_listen", listen)?,
        addresses: peers,
        id,
        protocol: Config::with_probe_period(file.probe_period_ms),
        fence_unsure_after: file.fence_unsure_after_ms.map(Duration::from_millis),
        sends_version_header: file.tells_backends,
        leases,
    })
}

fn parse(path: &Path) -> Result<File, FileError> {
    let text = std::fs::read_to_string(path).map_err(FileError::Unreadable)?;
    Ok(toml::from_str(&text)?)
}

/// Validates the file's times and reads the key.
fn check(path: &Path, file: &File) -> Result<Authenticator, FileError> {
    let key = read_key(path, file)?;
    let period_ms = file.probe_period_ms;
    if !PROBE_PERIOD_MS.contains(&period_ms) {
        return Err(FileError::ProbePeriod { period_ms });
    }
    let min_ms = MIN_UNSURE_PERIODS * period_ms;
    if let Some(time_ms) = file.fence_unsure_after_ms.filter(|time| *time < min_ms) {
        return Err(FileError::FenceTooSoon { time_ms, min_ms });
    }
    Ok(Authenticator::new(&file.name, &key)?)
}

/// Reads the key, whose path is relative to the cluster's file. One trailing line feed is removed.
fn read_key(file_path: &Path, file: &File) -> Result<Vec<u8>, FileError> {
    let folder = file_path.parent().unwrap_or(Path::new(""));
    let path = folder.join(&file.key_file);
    let mut key = match std::fs::read(&path) {
        Ok(key) => key,
        Err(source) => return Err(FileError::KeyUnreadable { path, source }),
    };
    if key.last() == Some(&b'\n') {
        key.pop();
    }
    if key.len() > MAX_KEY_BYTES {
        return Err(FileError::KeyTooLong { path });
    }
    Ok(key)
}

/// Returns the unparsed listen address and the addresses of all members.
fn parse_addresses<'a>(
    addresses: &Addresses<'a>,
) -> Result<(&'a str, Vec<SocketAddr>), AddressesError> {
    let listen = addresses.listen.ok_or(AddressesError::MissingListen)?;
    let peers = addresses.peers.iter();
    let peers: Vec<SocketAddr> = peers
        .map(|text| parse_address("peers", text))
        .collect::<Result<_, _>>()?;
    if peers.len() > MAX_MEMBERS {
        return Err(AddressesError::TooManyMembers { count: peers.len() });
    }
    Ok((listen, peers))
}

fn parse_address(name: &'static str, text: &str) -> Result<SocketAddr, AddressesError> {
    text.parse().map_err(|source| AddressesError::Malformed {
        name,
        text: text.to_string(),
        source,
    })
}

fn own_id(own: u32, members: usize) -> Result<MemberId, AddressesError> {
    let id = MemberId::try_from(own).ok();
    let id = id.filter(|id| usize::from(*id) < members);
    id.ok_or(AddressesError::MissingOwn)
}
