//! What the proxy is told at its start: the environment and the configuration file, checked.

pub mod lease;
pub mod membership;
pub mod routes;
pub mod state_folder;
pub mod verification_gate;

use crate::discovery::endpoint_list::EndpointList;
use crate::retry_budget;
use heathroad_balancer::settings::{self, InstanceSettings};
use heathroad_membership::version::Digest;
use serde::Deserialize;
use std::env;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// All that a start needs.
pub struct Config {
    /// Where callers connect.
    pub listen: SocketAddr,
    /// Where discovery, or its agent, answers.
    pub discovery: SocketAddr,
    /// Where operators ask for the counts, if anywhere.
    pub admin: Option<SocketAddr>,
    /// The file of routes and pools, if there is one; else the settings' one pool serves.
    pub routes: Option<PathBuf>,
    /// What this proxy keeps to of budgets down a chain, if it does.
    pub budget: Option<retry_budget::Settings>,
    /// What is expected of them: a change that breaks it is turned down.
    pub expectations: Option<PathBuf>,
    /// The folder in which the committed configuration is kept, if there is one.
    pub state: Option<PathBuf>,
    /// How long a change of routes is watched before it is committed.
    pub probation: Duration,
    /// Seed of the module's random numbers.
    pub seed: u64,
    /// How many descriptors the process may hold.
    pub sockets: usize,
    /// How many bytes of memory it may use.
    pub memory: usize,
    /// This proxy's part in its fleet, if it has one.
    pub fleet: Option<membership::Settings>,
    /// Tells proxies with unlike settings apart, but for what is meant to differ between copies.
    pub digest: Digest,
    /// The list of backends as this proxy last had it.
    pub known: Option<EndpointList>,
    /// The settings.
    pub facts: InstanceSettings,
}

#[derive(Deserialize)]
struct File {
    listen: Option<String>,
    discovery: Option<String>,
    admin: Option<String>,
    budget: Option<retry_budget::File>,
    routes: Option<PathBuf>,
    expectations: Option<PathBuf>,
    state: Option<PathBuf>,
    fleet: Option<PathBuf>,
    peer_listen: Option<String>,
    #[serde(default)]
    peers: Vec<String>,
    #[serde(default = "usual_probation")]
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

fn usual_probation() -> u64 {
    30_000
}

/// A change is watched no longer than this, an hour.
const MAX_PROBATION_MS: u64 = 3_600_000;
/// Fewer descriptors than this leave no room for work.
const MIN_SOCKETS: usize = 64;
/// Less memory than this holds no work.
const MIN_MEMORY_MB: usize = 8;

/// The addresses that the environment names; they go before the file's.
#[derive(Default)]
struct Named {
    listen: Option<String>,
    discovery: Option<String>,
    admin: Option<String>,
}

impl Named {
    fn by_environment() -> Self {
        let name = |name| env::var(name).ok();
        Named {
            listen: name("RELAY_LISTEN"),
            discovery: name("RELAY_DISCOVERY"),
            admin: name("RELAY_ADMIN"),
        }
    }
}

/// Reads the environment and the file that it names.
pub fn load() -> Result<Config, String> {
    parse(&named_file()?, Named::by_environment())
}

/// Reads the file again for what may change while the program runs: where discovery is, and the
/// routes. Here the file goes before the environment, which still names the old address.
pub fn reload() -> Result<Config, String> {
    // It is checked as a whole: a file that no start would take is no reason to move.
    let named = Named {
        discovery: None,
        ..Named::by_environment()
    };
    parse(&named_file()?, named)
}

/// Reads any file as a start would.
pub fn check(path: &Path) -> Result<Config, String> {
    let text = std::fs::read(path).map_err(|e| format!("{}: {e}", path.display()))?;
    parse(&text, Named::by_environment()).map_err(|e| format!("{}: {e}", path.display()))
}

fn named_file() -> Result<Vec<u8>, String> {
    let path = env::var("RELAY_CONFIG").map_err(|_| {
        "RELAY_CONFIG is not set: it names the configuration file (see heathroad --help)"
            .to_string()
    })?;
    std::fs::read(&path).map_err(|e| format!("RELAY_CONFIG: {path}: {e}"))
}

fn parse(text: &[u8], named: Named) -> Result<Config, String> {
    let json = &mut serde_json::Deserializer::from_slice(text);
    let file: File = serde_path_to_error::deserialize(json).map_err(|e| format!("config: {e}"))?;
    let digest = digest(&file.settings);
    let mut facts = settings::read(file.settings).map_err(|e| format!("config: {e}"))?;
    let site = &facts.site;
    let wrong = [
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
            file.state.is_some() && file.routes.is_none() && file.fleet.is_none(),
            "state: is of use with `routes` or `fleet` only",
        ),
        (
            file.expectations.is_some() && file.routes.is_none(),
            "expectations: are of use with `routes` only",
        ),
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
    if let Some((_, what)) = wrong.iter().find(|(bad, _)| *bad) {
        return Err(format!("config: {what}"));
    }
    let budget = file
        .budget
        .map(retry_budget::File::check)
        .transpose()
        .map_err(|e| format!("config: {e}"))?;
    facts.balancer.priority_forwarded = budget.is_some();
    let own = facts.balancer.replica_index;
    let addresses = membership::Addresses {
        listen: file.peer_listen.as_deref(),
        peers: &file.peers,
        own,
    };
    let fleet = file
        .fleet
        .as_deref()
        .map(|path| membership::read(path, &addresses))
        .transpose()
        .map_err(|error| error.to_string())?;
    Ok(Config {
        fleet,
        digest,
        budget,
        listen: address("listen", named.listen.or(file.listen))?,
        discovery: address("discovery", named.discovery.or(file.discovery))?,
        admin: match named.admin.or(file.admin) {
            Some(text) => Some(address("admin", Some(text))?),
            None => None,
        },
        routes: file.routes,
        expectations: file.expectations,
        state: file.state,
        probation: Duration::from_millis(file.probation_ms),
        seed: u64::from_str_radix(&file.seed, 16).map_err(|e| format!("config: seed: {e}"))?,
        sockets: file.limits.sockets,
        memory: file.limits.memory_mb.saturating_mul(1 << 20),
        known: file.known,
        facts,
    })
}

/// Copies of one configuration differ in their number and zone, which are left out. (The order of
/// names is not kept by JSON.)
fn digest(settings: &serde_json::Value) -> Digest {
    let mut common = settings.clone();
    if let Some(settings) = common.as_object_mut() {
        settings.retain(|name, _| name != "slotNo" && name != "locality");
    }
    Digest::of(common.to_string().as_bytes())
}

fn address(name: &str, text: Option<String>) -> Result<SocketAddr, String> {
    let text = text.ok_or_else(|| format!("config: {name}: is missing"))?;
    text.parse()
        .map_err(|e| format!("config: {name}: {text}: {e}"))
}
