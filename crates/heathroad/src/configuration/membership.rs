//! The file of the fleet: its name, its key, and what this proxy does in it. The addresses are the
//! platform's: `peer_listen` and `peers` of the daemon's own file.

use heathroad_membership::MemberId;
use heathroad_membership::authentication::{Authenticator, CredentialsError, MAX_KEY_BYTES};
use heathroad_membership::protocol::Config;
use serde::Deserialize;
use std::net::{AddrParseError, SocketAddr};
use std::path::{Path, PathBuf};
use std::time::Duration;
use std::{io, ops::RangeInclusive};
use thiserror::Error;

/// The most members of a fleet.
const MAX_MEMBERS: usize = 10_000;
/// The permitted probe periods, in milliseconds.
const PROBE_PERIOD_MS: RangeInclusive<u64> = 100..=60_000;
/// A proxy that fences itself when it is unsure waits for so many probe periods at the least, since
/// a few probes may be lost.
const MIN_UNSURE_PERIODS: u64 = 5;

/// What the daemon needs of the file.
pub struct Settings {
    /// The name of the fleet.
    pub fleet_name: String,
    /// The name and the key of the fleet.
    pub authenticator: Authenticator,
    /// Where other members are heard.
    pub listen: SocketAddr,
    /// The addresses of all members, by their ids.
    pub addresses: Vec<SocketAddr>,
    /// This proxy.
    pub id: MemberId,
    /// Intervals, timeouts and limits of the protocol.
    pub protocol: Config,
    /// After how long without contact, or without a majority of the fleet, this proxy fences
    /// itself, if it does.
    pub fence_unsure_after: Option<Duration>,
    /// Whether backends are told under which version each attempt was decided; for the harness.
    pub sends_version_header: bool,
    /// The leases, where there are voters.
    pub leases: Option<super::lease::Settings>,
}

/// The form of the file.
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
    duties: Option<super::lease::Duties>,
    #[serde(default)]
    duty: Vec<super::lease::Named>,
}

fn default_probe_period_ms() -> u64 {
    Config::default().probe_period
}

/// The platform's addresses, as the daemon's file has them.
pub struct Addresses<'a> {
    /// `peer_listen`.
    pub listen: Option<&'a str>,
    /// `peers`.
    pub peers: &'a [String],
    /// `settings.slotNo`, the index of this proxy in `peers`.
    pub own: u32,
}

/// Why the configuration of the fleet is rejected.
#[derive(Debug, Error)]
#[non_exhaustive]
pub enum MembershipConfigError {
    /// The file of the fleet is rejected.
    #[error("{path}: {error}", path = .path.display())]
    File {
        /// The path of the file.
        path: PathBuf,
        /// What is wrong with it.
        #[source]
        error: FileError,
    },
    /// The platform's addresses are rejected.
    #[error("config: {0}")]
    Addresses(#[from] AddressesError),
}

/// What is wrong with the file of the fleet.
#[derive(Debug, Error)]
#[non_exhaustive]
pub enum FileError {
    /// The file cannot be read.
    #[error("{0}")]
    Unreadable(#[source] io::Error),
    /// The file does not have the expected form.
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
    /// The probe period is out of bounds.
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
        /// The shortest time that is permitted.
        min_ms: u64,
    },
    /// The name or the key is rejected.
    #[error(transparent)]
    Credentials(#[from] CredentialsError),
    /// The leases are rejected.
    #[error("{0}")]
    Leases(String),
}

/// What is wrong with the platform's addresses.
#[derive(Debug, Error)]
#[non_exhaustive]
pub enum AddressesError {
    /// The address to listen at is missing.
    #[error("peer_listen: is missing; a fleet needs it")]
    MissingListen,
    /// An address cannot be parsed.
    #[error("{name}: {text}: {source}")]
    Malformed {
        /// The key of the address.
        name: &'static str,
        /// The text.
        text: String,
        /// The cause.
        source: AddrParseError,
    },
    /// There are too many members.
    #[error("peers: {count}; expected {MAX_MEMBERS} at most")]
    TooManyMembers {
        /// Their number.
        count: usize,
    },
    /// The list has no address for this proxy.
    #[error("peers: expected one address for each proxy, at its settings.slotNo")]
    MissingOwn,
}

/// The error of the TOML parser spans several lines; a log line is one.
fn one_line(error: &toml::de::Error) -> String {
    error.to_string().trim_end().replace('\n', " ")
}

/// Reads and checks the file of a fleet.
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

/// Checks the file's times, and reads the key.
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

/// Reads the key, whose path is relative to the file that names it. One line feed at its end is not
/// part of it.
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

/// Returns the text of the address to listen at, and the addresses of all members.
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
