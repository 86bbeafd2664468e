//! The file of the fleet: its name, its key, and what this proxy does in it. Addresses are the
//! platform's: `peer_listen` and `peers` of the daemon's own file.

use heathroad_membership::MemberId;
use heathroad_membership::protocol::Config;
use heathroad_membership::seal::{MAX_KEY, Seal};
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Most members.
const MAX_MEMBERS: usize = 10_000;

/// A period of the protocol, in milliseconds.
const PERIOD_MS: std::ops::RangeInclusive<u64> = 100..=60_000;

/// A proxy that is to fence itself when it can't know what is required waits for so many periods at
/// the least.
const SURE_PERIODS: u64 = 5;

/// What a start needs of it.
pub struct Settings {
    /// The fleet's name.
    pub name: String,
    /// Its name and key.
    pub seal: Seal,
    /// Where fellows are heard.
    pub listen: SocketAddr,
    /// Where each is reached, by its place.
    pub addresses: Vec<SocketAddr>,
    /// This proxy's place among them.
    pub own: MemberId,
    /// Times and bounds of the protocol.
    pub terms: Config,
    /// A proxy that has confirmed nothing with a fellow for so long, or sees no more than half of
    /// the fleet, fences itself.
    pub fence_unsure_after: Option<Duration>,
    /// Backends are told by which version each attempt was decided; for rehearsals.
    pub sends_version_header: bool,
    /// The duties, where there are voters.
    pub leases: Option<super::lease::Settings>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct File {
    name: String,
    key_file: PathBuf,
    #[serde(default)]
    tells_backends: bool,
    fence_unsure_after_ms: Option<u64>,
    #[serde(default = "usual_period")]
    period_ms: u64,
    duties: Option<super::lease::Duties>,
    #[serde(default)]
    duty: Vec<super::lease::Named>,
}

fn usual_period() -> u64 {
    Config::default().period
}

/// The platform's addresses, as the daemon's file has them.
pub struct Addresses<'a> {
    /// `peer_listen`.
    pub listen: Option<&'a str>,
    /// `peers`.
    pub peers: &'a [String],
    /// `settings.slotNo`.
    pub own: u32,
}

/// Reads and checks a file of the fleet.
pub fn read(path: &Path, addresses: &Addresses<'_>) -> Result<Settings, String> {
    let file = path.display();
    let wrong = |what: &dyn std::fmt::Display| format!("{file}: {what}");
    let text = std::fs::read_to_string(path).map_err(|e| wrong(&e))?;
    let read: File =
        toml::from_str(&text).map_err(|e| wrong(&e.to_string().trim_end().replace('\n', " ")))?;
    // A key's path is meant beside the file that names it.
    let beside = path.parent().unwrap_or(Path::new("")).join(&read.key_file);
    let key = std::fs::read(&beside)
        .map_err(|e| wrong(&format!("key_file: {}: {e}", beside.display())))?;
    let key = key.strip_suffix(b"\n").unwrap_or(&key);
    if key.len() > MAX_KEY {
        return Err(wrong(&format!(
            "key_file: {}: more than {MAX_KEY} bytes",
            beside.display()
        )));
    }
    if !PERIOD_MS.contains(&read.period_ms) {
        let [least, most] = [PERIOD_MS.start(), PERIOD_MS.end()];
        return Err(wrong(&format!(
            "period_ms: {}; expected {least} to {most}",
            read.period_ms
        )));
    }
    // A few questions may be lost.
    let least = SURE_PERIODS * read.period_ms;
    if let Some(short) = read.fence_unsure_after_ms.filter(|ms| *ms < least) {
        return Err(wrong(&format!(
            "fence_unsure_after_ms: {short}; expected {least} at least, {SURE_PERIODS} periods"
        )));
    }
    let seal = Seal::new(&read.name, key).map_err(|e| wrong(&e))?;
    let address = |name: &str, text: &str| {
        text.parse()
            .map_err(|e| format!("config: {name}: {text}: {e}"))
    };
    let listen = addresses
        .listen
        .ok_or("config: peer_listen: is missing; a fleet needs it")?;
    let peers = addresses
        .peers
        .iter()
        .map(|p| address("peers", p))
        .collect::<Result<Vec<SocketAddr>, _>>()?;
    if peers.len() > MAX_MEMBERS {
        return Err(format!(
            "config: peers: {}; expected {MAX_MEMBERS} at most",
            peers.len()
        ));
    }
    let own = MemberId::try_from(addresses.own)
        .ok()
        .filter(|own| usize::from(*own) < peers.len());
    let own =
        own.ok_or("config: peers: expected one address for each proxy, at its settings.slotNo")?;
    let members = u16::try_from(peers.len()).map_err(|_| "config: peers: too many")?;
    let duties = super::lease::check(read.duties, read.duty, members).map_err(|e| wrong(&e))?;
    Ok(Settings {
        leases: duties,
        name: read.name,
        seal,
        listen: address("peer_listen", listen)?,
        addresses: peers,
        own,
        fence_unsure_after: read.fence_unsure_after_ms.map(Duration::from_millis),
        terms: Config::with_period(read.period_ms),
        sends_version_header: read.tells_backends,
    })
}
