//! The configuration of the daemon: the environment and the configuration file, read and validated.
//!
//! Configuration kept in separate files is read by the modules below; [`error`] defines the errors.

pub mod error;
pub mod lease;
pub mod membership;
pub mod routes;
pub mod state_folder;
pub mod verification_gate;

pub use error::ConfigError;

use crate::discovery::endpoint_list::EndpointList;
use crate::retry_budget;
use heathroad_balancer::settings::{self, InstanceSettings, SiteSettings};
use heathroad_membership::version::Digest;
use serde::Deserialize;
use std::env;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// The validated configuration.
pub struct Config {
    /// The address that accepts client connections.
    pub listen: SocketAddr,
    /// The address of the default registry, or of its agent.
    pub discovery: SocketAddr,
    /// The admin address, if configured.
    pub admin: Option<SocketAddr>,
    /// The file of routes and pools. Without it, all requests go to the settings' single pool.
    pub routes: Option<PathBuf>,
    /// The settings of retry budgets along a chain of proxies, if enabled.
    pub budget: Option<retry_budget::Settings>,
    /// The file of expectations; a change of routes that violates one is rejected.
    pub expectations: Option<PathBuf>,
    /// The state folder, if configured.
    pub state: Option<PathBuf>,
    /// The time for which a change of routes is observed before it is committed.
    pub probation: Duration,
    /// The seed of the decision module's random numbers.
    pub seed: u64,
    /// The limit on file descriptors.
    pub sockets: usize,
    /// The limit on memory, in bytes.
    pub memory: usize,
    /// The membership settings, if a cluster is configured.
    pub membership: Option<membership::Settings>,
    /// The digest of the settings that all replicas share.
    pub digest: Digest,
    /// The last known endpoint list, used until discovery answers.
    pub known: Option<EndpointList>,
    /// The settings of the decision module and of the site.
    pub settings: InstanceSettings,
}

/// The configuration file as it is written.
#[derive(Deserialize)]
struct ConfigFile {
    listen: Option<String>,
    discovery: Option<String>,
    admin: Option<String>,
    budget: Option<retry_budget::RawSettings>,
    routes: Option<PathBuf>,
    expectations: Option<PathBuf>,
    state: Option<PathBuf>,
    #[serde(rename = "fleet")]
    membership: Option<PathBuf>,
    peer_listen: Option<String>,
    #[serde(default)]
    peers: Vec<String>,
    #[serde(default = "default_probation_ms")]
    probation_ms: u64,
    seed: String,
    limits: Limits,
    known: Option<EndpointList>,
    settings: serde_json::Value,
}

#[derive(Deserialize)]
struct Limits {
    sockets: usize,
    memory_mb: usize,
}

fn default_probation_ms() -> u64 {
    30_000
}

/// The maximum probation of a change, in milliseconds.
const MAX_PROBATION_MS: u64 = 3_600_000;
/// The minimum limit on file descriptors that leaves capacity for requests.
const MIN_SOCKETS: usize = 64;
/// The minimum memory limit, in MB.
const MIN_MEMORY_MB: usize = 8;
/// Bytes per MB of the memory limit.
const MEGABYTE: usize = 1 << 20;

/// The addresses set in the environment, which take precedence over those in the file.
#[derive(Default)]
struct EnvironmentAddresses {
    listen: Option<String>,
    discovery: Option<String>,
    admin: Option<String>,
}

impl EnvironmentAddresses {
    fn read() -> Self {
        EnvironmentAddresses {
            listen: env::var("RELAY_LISTEN").ok(),
            discovery: env::var("RELAY_DISCOVERY").ok(),
            admin: env::var("RELAY_ADMIN").ok(),
        }
    }
}

/// Loads the configuration from the environment and the file at `RELAY_CONFIG`.
pub fn load() -> Result<Config, ConfigError> {
    parse(&read_named_file()?, EnvironmentAddresses::read())
}

/// Reloads the file for the values that may change at runtime: the discovery address and the
/// routes. The file's discovery address takes precedence here, since the environment cannot change
/// at runtime. The whole file is validated, so an invalid file changes nothing.
pub fn reload() -> Result<Config, ConfigError> {
    let environment = EnvironmentAddresses {
        discovery: None,
        ..EnvironmentAddresses::read()
    };
    parse(&read_named_file()?, environment)
}

/// Reads and validates a file as the daemon does at startup.
pub fn check(path: &Path) -> Result<Config, ConfigError> {
    let text = std::fs::read(path).map_err(|source| ConfigError::Read {
        path: path.to_path_buf(),
        source,
    })?;
    parse(&text, EnvironmentAddresses::read()).map_err(|source| ConfigError::InFile {
        path: path.to_path_buf(),
        source: Box::new(source),
    })
}

fn read_named_file() -> Result<Vec<u8>, ConfigError> {
    let path = env::var("RELAY_CONFIG").map_err(|_| ConfigError::NotNamed)?;
    std::fs::read(&path).map_err(|source| ConfigError::ReadNamed { path, source })
}

fn parse(text: &[u8], environment: EnvironmentAddresses) -> Result<Config, ConfigError> {
    let json = &mut serde_json::Deserializer::from_slice(text);
    let mut file: ConfigFile =
        serde_path_to_error::deserialize(json).map_err(ConfigError::InvalidValue)?;
    let settings = file.settings.take();
    let digest = common_digest(&settings);
    let mut settings = settings::read(settings)?;
    validate(&file, &settings.site)?;
    let budget = file
        .budget
        .map(retry_budget::RawSettings::check)
        .transpose()?;
    settings.balancer.priority_forwarded = budget.is_some();
    let addresses = membership::Addresses {
        listen: file.peer_listen.as_deref(),
        peers: &file.peers,
        own: settings.balancer.replica_index,
    };
    let membership = file.membership.as_deref();
    let membership = membership.map(|path| membership::read(path, &addresses));
    let admin = environment.admin.or(file.admin);
    Ok(Config {
        membership: membership.transpose()?,
        digest,
        budget,
        listen: parse_address("listen", environment.listen.or(file.listen))?,
        discovery: parse_address("discovery", environment.discovery.or(file.discovery))?,
        admin: admin
            .map(|text| parse_address("admin", Some(text)))
            .transpose()?,
        routes: file.routes,
        expectations: file.expectations,
        state: file.state,
        probation: Duration::from_millis(file.probation_ms),
        seed: u64::from_str_radix(&file.seed, 16).map_err(ConfigError::InvalidSeed)?,
        sockets: file.limits.sockets,
        memory: file.limits.memory_mb.saturating_mul(MEGABYTE),
        known: file.known,
        settings,
    })
}

/// Rejects values that are out of range, and keys that have no effect without others.
fn validate(file: &ConfigFile, site: &SiteSettings) -> Result<(), ConfigError> {
    let checks = [
        (
            file.limits.sockets < MIN_SOCKETS,
            "limits.sockets: too few to work with",
        ),
        (
            file.limits.memory_mb < MIN_MEMORY_MB,
            "limits.memory_mb: too little to work with",
        ),
        (
            file.probation_ms > MAX_PROBATION_MS,
            "probation_ms: is more than an hour",
        ),
        (
            file.state.is_some() && file.routes.is_none() && file.membership.is_none(),
            "state: is of use with `routes` or `fleet` only",
        ),
        (
            file.expectations.is_some() && file.routes.is_none(),
            "expectations: are of use with `routes` only",
        ),
    ];
    let failed = checks.iter().find(|(is_invalid, _)| *is_invalid);
    match failed {
        Some((_, reason)) => Err(ConfigError::Unusable(reason)),
        None => validate_site(site),
    }
}

fn validate_site(site: &SiteSettings) -> Result<(), ConfigError> {
    let checks = [
        (
            site.classes.iter().any(String::is_empty),
            "settings: classes: one has no name",
        ),
        (
            site.tenants.iter().any(String::is_empty),
            "settings: tenants: one has no name",
        ),
        (
            site.zones.is_empty(),
            "settings: localities: is missing or empty",
        ),
        (
            site.max_open_requests == 0,
            "settings: caps.openCap: is missing or 0",
        ),
        (
            site.idle_timeout <= 0.0,
            "settings: caps.connIdle: is missing or 0",
        ),
        (
            site.connect_timeout <= 0.0,
            "settings: caps.connectTimeout: is missing or 0",
        ),
        (
            site.drain_grace <= 0.0,
            "settings: guarantees.stopSendingWithin: is missing or 0",
        ),
    ];
    let failed = checks.iter().find(|(is_invalid, _)| *is_invalid);
    match failed {
        Some((_, reason)) => Err(ConfigError::Unusable(reason)),
        None => Ok(()),
    }
}

/// Returns the digest of the settings without the replica's index and zone, so that it is the same
/// on all replicas. The order of keys in the file does not matter.
fn common_digest(settings: &serde_json::Value) -> Digest {
    let mut common = settings.clone();
    if let Some(settings) = common.as_object_mut() {
        settings.retain(|name, _| name != "slotNo" && name != "locality");
    }
    Digest::of(common.to_string().as_bytes())
}

fn parse_address(name: &'static str, text: Option<String>) -> Result<SocketAddr, ConfigError> {
    let text = text.ok_or(ConfigError::MissingAddress { name })?;
    text.parse()
        .map_err(|source| ConfigError::InvalidAddress { name, text, source })
}
