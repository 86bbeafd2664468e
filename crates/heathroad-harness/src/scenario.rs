//! A scenario: what is rehearsed, as a TOML file that is checked whole before anything starts. What
//! a file leaves out of classes, tenants, tiers, clients, rules or run is taken from
//! `scenarios/common.toml`.

use serde::Deserialize;
use std::path::Path;

/// The scenarios that come with the kit, by name.
pub const BUILT_IN: &[(&str, &str)] = &[
    (
        "peak-load",
        include_str!("../../../scenarios/peak-load.toml"),
    ),
    (
        "silent-backends",
        include_str!("../../../scenarios/silent-backends.toml"),
    ),
    (
        "slow-backends",
        include_str!("../../../scenarios/slow-backends.toml"),
    ),
    (
        "late-idempotent-retry",
        include_str!("../../../scenarios/late-idempotent-retry.toml"),
    ),
    (
        "rolling-restart",
        include_str!("../../../scenarios/rolling-restart.toml"),
    ),
    (
        "malformed-responses",
        include_str!("../../../scenarios/malformed-responses.toml"),
    ),
    (
        "discovery-outage",
        include_str!("../../../scenarios/discovery-outage.toml"),
    ),
    (
        "pool-migration",
        include_str!("../../../scenarios/pool-migration.toml"),
    ),
    (
        "harmful-route-change",
        include_str!("../../../scenarios/harmful-route-change.toml"),
    ),
    (
        "jsonrpc-batches",
        include_str!("../../../scenarios/jsonrpc-batches.toml"),
    ),
    (
        "backend-lost-mid-response",
        include_str!("../../../scenarios/backend-lost-mid-response.toml"),
    ),
    (
        "rollback-during-drain",
        include_str!("../../../scenarios/rollback-during-drain.toml"),
    ),
    (
        "chain-outage",
        include_str!("../../../scenarios/chain-outage.toml"),
    ),
    (
        "slow-chain",
        include_str!("../../../scenarios/slow-chain.toml"),
    ),
    (
        "forwarding-loop",
        include_str!("../../../scenarios/forwarding-loop.toml"),
    ),
    (
        "stale-configuration",
        include_str!("../../../scenarios/stale-configuration.toml"),
    ),
    (
        "membership-partition",
        include_str!("../../../scenarios/membership-partition.toml"),
    ),
    (
        "proxy-stall",
        include_str!("../../../scenarios/proxy-stall.toml"),
    ),
    (
        "lease-handover",
        include_str!("../../../scenarios/lease-handover.toml"),
    ),
    (
        "lease-partition",
        include_str!("../../../scenarios/lease-partition.toml"),
    ),
    (
        "random-faults",
        include_str!("../../../scenarios/random-faults.toml"),
    ),
    (
        "overlapping-faults",
        include_str!("../../../scenarios/overlapping-faults.toml"),
    ),
    (
        "client-flood",
        include_str!("../../../scenarios/client-flood.toml"),
    ),
    ("smoke", include_str!("../../../scenarios/smoke.toml")),
];
/// A proxy that is held up for longer at a time is not held to what it owes.
pub const LONGEST_PAUSE_MS: f64 = 150.0;
const COMMON: &str = include_str!("../../../scenarios/common.toml");

/// What is rehearsed.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// One line.
    pub title: String,
    /// What it does, and what it shows.
    pub about: String,
    /// Its size.
    pub run: Run,
    /// Kinds of requests.
    pub class: Vec<Class>,
    /// Who sends them.
    pub tenant: Vec<Tenant>,
    /// The services, in the order of the calls.
    pub tier: Vec<Tier>,
    /// How clients behave.
    pub clients: Clients,
    /// Figures of the four rules.
    pub rules: Rules,
    /// Budgets carried down the chain, where they are kept; stand-ins copy their headers.
    #[serde(default)]
    pub budget: Option<Budget>,
    /// Routes and pools of the first tier's proxies, as the text of their file; else each has the
    /// one pool.
    #[serde(default)]
    pub routes: Option<String>,
    /// The first tier's proxies are a fleet, with the kit's network between them; else they know
    /// nothing of each other.
    #[serde(default)]
    pub fleet: Option<FleetRun>,
    /// Changes of these, proposed to every proxy of the first tier, or to one.
    #[serde(default)]
    pub change: Vec<Change>,
    /// What goes wrong.
    #[serde(default)]
    pub fault: Vec<Fault>,
    /// Faults drawn by the seed, beside those written down.
    #[serde(default)]
    pub drawn: Option<RandomFaults>,
    /// Keyed requests that are repeated whatever their answer was.
    #[serde(default)]
    pub repeat: Vec<Repeat>,
    /// What must come out.
    #[serde(default)]
    pub expect: Vec<Expect>,
}

/// A rehearsal's size.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Run {
    /// How long requests come, in seconds: 1 to 3600.
    pub seconds: f64,
    /// First tries a second, in the mean: 1 to 20,000.
    pub rate: f64,
    /// Proxies before the first tier: 1 to 64.
    pub proxies: u16,
    /// What a request beyond its tenant's share is worth, of its class's worth.
    pub over_share_worth: f64,
    /// Memory that a proxy is told it has.
    pub memory_mb: u32,
    /// Descriptors that a proxy is told it has.
    pub sockets: u32,
    /// Clients are told when to come back, and heed it up to so long; 0 is never.
    pub retry_after_ms: f64,
    /// Backends close connections idle for so long, at the latest.
    pub conn_idle_ms: f64,
    /// A connection not made by then has failed.
    pub connect_timeout_ms: f64,
    /// A change of routes is watched for so long.
    pub probation_s: f64,
}

/// A kind of requests.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Its name: letters, digits, `-`.
    pub name: String,
    /// Its part of the requests, beside the others'.
    pub share: f64,
    /// Whether it may run again.
    pub effect: Effect,
    /// Which backends drop each other's repeats, for a keyed one.
    #[serde(default)]
    pub group: Group,
    /// For how long they do.
    #[serde(default)]
    pub window_ms: f64,
    /// An answer within this time earns the whole worth.
    pub aim_ms: f64,
    /// A client gives up after this time, over all its tries.
    pub deadline_ms: f64,
    /// Worth of one.
    pub worth: f64,
    /// Part of the worth that a later answer earns.
    pub late_worth: f64,
    /// Mean work over all tiers, in milliseconds of a standard core.
    pub work_ms: f64,
}

/// Whether a request may run again.
#[derive(Debug, Clone, Copy, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum Effect {
    /// Safe to repeat.
    Safe,
    /// Repeats are dropped by its key.
    Keyed,
    /// Must never run twice.
    Unsafe,
}

/// Which backends drop each other's repeats.
#[derive(Debug, Clone, Copy, Default, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum Group {
    /// All of a tier.
    #[default]
    All,
    /// Those of one cell: a tier's backends by twos.
    Cell,
}

/// Who sends requests.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tenant {
    /// Its name.
    pub name: String,
    /// Its share, beside the others'.
    pub share: f64,
    /// It sends so many times its share.
    #[serde(default = "one")]
    pub usage: f64,
}

/// A service.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tier {
    /// Its name; its backends are NAME-1, NAME-2 and so on.
    pub name: String,
    /// How many backends: 1 to 200.
    pub backends: u16,
    /// Its part of a request's work.
    pub work: f64,
    /// Cores of a backend.
    pub cores: u16,
    /// Speed of a core, 1 being standard; backends differ by up to a fifth of it.
    #[serde(default = "one")]
    pub speed: f64,
    /// Requests that a backend has in work at once, waits for the next tier included.
    pub slots: u16,
    /// Requests that wait for a slot; further ones are declined.
    pub queue: u16,
    /// Connections that a backend takes.
    pub connections: u16,
    /// Work that a new connection costs.
    #[serde(default)]
    pub handshake_ms: f64,
    /// Share of its capacity at which a backend starts.
    pub cold_from: f64,
    /// Time after which it is warm.
    pub cold_s: f64,
    /// It warms with the requests that it has run, so many, and not with time.
    #[serde(default)]
    pub warm_requests: u32,
    /// Calls to the next tier for each request.
    #[serde(default)]
    pub calls: u16,
    /// Its kinds; those past them, and all where there are none, are `std`.
    #[serde(default)]
    pub kinds: Vec<Kind>,
}

/// Backends of one kind, a label that the registry tells.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Kind {
    /// Its name.
    pub name: String,
    /// How many of the tier's backends, after those of the kinds before.
    pub backends: u16,
}

/// What proxies keep to of budgets.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Budget {
    /// Most attempts beyond the first that a request is granted.
    pub attempts: u16,
    /// Attempts granted for each first try, in the long run.
    pub share: f64,
    /// Attempts that a calm saves up.
    pub depth: f64,
}

/// How proxies are a fleet.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetRun {
    /// A period of their protocol: 100 to 60,000.
    pub period_ms: u64,
    /// A proxy that can't know what is required fences itself after so long.
    #[serde(default)]
    pub fence_unsure_after_ms: Option<u64>,
    /// They have a duty, whose lease is so long: its holder acts on the kit's gate each 50 ms. The
    /// first three vote.
    #[serde(default)]
    pub lease_ms: Option<u64>,
}

/// A change of routes.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Change {
    /// The one proxy that it is proposed to, by name.
    #[serde(default)]
    pub on: Option<String>,
    /// It is required of the fleet so long after its commit.
    #[serde(default)]
    pub required_ms: Option<u64>,
    /// When it is proposed, in seconds.
    pub at_s: f64,
    /// The text that is proposed.
    pub routes: String,
}

/// How clients behave. Shares are of first tries.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Clients {
    /// Most retries.
    pub retries: u8,
    /// Pause before the first retry; doubles with each.
    pub backoff_ms: f64,
    /// Share that heeds `Retry-After`.
    pub heed: f64,
    /// A try is given up after a share of the deadline drawn from here.
    pub patience: [f64; 2],
    /// Share that hangs up early.
    pub hang_up: f64,
    /// Share that reads its answer slowly.
    pub slow: f64,
    /// Clients a second that send what can't be used.
    pub rude_per_s: f64,
    /// Share of first tries that come over JSON-RPC, to the listener `remote` of the routes. They
    /// say neither how long they wait nor that they leave.
    #[serde(default)]
    pub remote: f64,
    /// These come in batches of so many; 1 is one by one.
    #[serde(default = "one_of")]
    pub batch: u16,
}

/// Figures of the four rules.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rules {
    /// Nothing new to a backend later than this after its drain was told.
    pub drain_grace_ms: f64,
    /// A cold backend falls over when sent this multiple of what it can do ...
    pub fall_multiple: f64,
    /// ... for so long.
    pub fall_ms: f64,
    /// An answer may come so long after its client's time.
    pub answer_grace_ms: f64,
}

/// Something that goes wrong.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// What.
    pub what: FaultKind,
    /// When it begins, in seconds: a time, or two to draw one between.
    pub at_s: TimeOrRange,
    /// How long it lasts.
    #[serde(default)]
    pub for_s: f64,
    /// The tier struck.
    #[serde(default)]
    pub tier: Option<String>,
    /// The backends or proxies struck, by name; else `count` are drawn.
    #[serde(default)]
    pub on: Vec<String>,
    /// How many are drawn.
    #[serde(default = "one_of")]
    pub count: u16,
    /// Its size: times slower (crawl), share taken (starve), odds (reset, spoil, decline), seconds
    /// (registry-late, registry-clock).
    #[serde(default)]
    pub size: f64,
}

/// Faults that the seed draws: kind, time, length and victim.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RandomFaults {
    /// How many: 1 to 100.
    pub count: u16,
    /// Of which kinds.
    pub kinds: Vec<FaultKind>,
    /// How long they last, between these.
    pub for_s: [f64; 2],
}

/// What can go wrong.
#[derive(Debug, Clone, Copy, Deserialize, PartialEq, Eq, PartialOrd, Ord)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// The machine vanishes: connections stay open, nothing comes, and it returns cold.
    Silent,
    /// Takes requests and answers none.
    Hang,
    /// Works so many times slower.
    Crawl,
    /// The process dies and comes back cold.
    Restart,
    /// Another program takes a share of the processor, on and off.
    Starve,
    /// Drains, and is gone after that.
    Drain,
    /// Leaves the list without a drain.
    Delete,
    /// Dies, and another host comes up at its address, cold.
    Replace,
    /// Breaks off answers in the middle.
    Reset,
    /// Answers noise.
    Spoil,
    /// Turns requests away.
    Decline,
    /// Calls a proxy of the first tier in place of the next tier, as a wrong configuration would
    /// have it.
    Loop,
    /// A proxy of the first tier is killed and started again.
    KillProxy,
    /// A proxy of the first tier is stopped as planned and started again.
    StopProxy,
    /// A proxy of the first tier reads a configuration that names another registry address.
    ReloadProxy,
    /// A proxy of the first tier does nothing for a time, and goes on.
    StallProxy,
    /// A proxy of the first tier is held up again and again, by up to so many milliseconds each
    /// time; it owes what it owes.
    PauseProxy,
    /// Proxies of the first tier are cut off from their fellows, together, both ways.
    CutProxy,
    /// A proxy of the first tier hears none of its fellows, and is heard.
    DeafProxy,
    /// The registry tells changes so many seconds later.
    RegistryLate,
    /// The registry fails all calls.
    RegistryDown,
    /// The registry tells old states of its entries again, behind newer ones.
    RegistryDisorder,
    /// The registry's clock is off by so many seconds: starts are told wrongly.
    RegistryClock,
}

impl FaultKind {
    /// Whether it strikes backends; else proxies or the registry.
    pub fn affects_backends(self) -> bool {
        self <= FaultKind::Loop
    }
    /// Whether it strikes proxies.
    pub fn affects_proxies(self) -> bool {
        matches!(
            self,
            FaultKind::KillProxy
                | FaultKind::StopProxy
                | FaultKind::ReloadProxy
                | FaultKind::StallProxy
                | FaultKind::PauseProxy
                | FaultKind::CutProxy
                | FaultKind::DeafProxy
        )
    }
    /// Its name in scenarios.
    pub fn name(self) -> &'static str {
        match self {
            FaultKind::Silent => "silent",
            FaultKind::Hang => "hang",
            FaultKind::Crawl => "crawl",
            FaultKind::Restart => "restart",
            FaultKind::Starve => "starve",
            FaultKind::Drain => "drain",
            FaultKind::Delete => "delete",
            FaultKind::Replace => "replace",
            FaultKind::Reset => "reset",
            FaultKind::Spoil => "spoil",
            FaultKind::Decline => "decline",
            FaultKind::Loop => "loop",
            FaultKind::KillProxy => "kill-proxy",
            FaultKind::StopProxy => "stop-proxy",
            FaultKind::ReloadProxy => "reload-proxy",
            FaultKind::StallProxy => "stall-proxy",
            FaultKind::PauseProxy => "pause-proxy",
            FaultKind::CutProxy => "cut-proxy",
            FaultKind::DeafProxy => "deaf-proxy",
            FaultKind::RegistryLate => "registry-late",
            FaultKind::RegistryDown => "registry-down",
            FaultKind::RegistryDisorder => "registry-disorder",
            FaultKind::RegistryClock => "registry-clock",
        }
    }
    /// The size that a drawn fault of this kind has.
    pub fn default_size(self) -> f64 {
        match self {
            FaultKind::Crawl => 5.0,
            FaultKind::Starve => 0.6,
            FaultKind::Reset | FaultKind::Spoil => 0.1,
            FaultKind::Decline => 0.3,
            FaultKind::RegistryLate => 2.0,
            FaultKind::RegistryClock => 3600.0,
            FaultKind::PauseProxy => LONGEST_PAUSE_MS,
            _ => 0.0,
        }
    }
    fn size_bounds(self) -> Option<[f64; 2]> {
        match self {
            FaultKind::Crawl => Some([1.0, 1000.0]),
            FaultKind::Starve => Some([0.0, 0.99]),
            FaultKind::Reset | FaultKind::Spoil | FaultKind::Decline => Some([0.0, 1.0]),
            FaultKind::RegistryLate => Some([0.0, 60.0]),
            FaultKind::RegistryClock => Some([-86_400.0, 86_400.0]),
            FaultKind::PauseProxy => Some([1.0, LONGEST_PAUSE_MS]),
            _ => None,
        }
    }
}

/// A time, or two between which one is drawn.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(untagged)]
pub enum TimeOrRange {
    /// At this second.
    At(f64),
    /// Between these.
    Between([f64; 2]),
}

impl TimeOrRange {
    /// Its ends.
    pub fn ends(self) -> [f64; 2] {
        match self {
            TimeOrRange::At(at) => [at, at],
            TimeOrRange::Between(ends) => ends,
        }
    }
}

/// A keyed request whose client repeats it after a time, whatever it was answered.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Repeat {
    /// When it is first sent, in seconds.
    pub at_s: f64,
    /// Its class, a keyed one.
    pub class: String,
    /// Its tenant.
    pub tenant: String,
    /// The repeat comes so much later, with the same key and a new id.
    pub after_s: f64,
}

/// What must come out of a rehearsal.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Expect {
    /// The figure's name, as reports give it.
    pub figure: String,
    /// Its least value.
    #[serde(default)]
    pub at_least: Option<f64>,
    /// Its greatest.
    #[serde(default)]
    pub at_most: Option<f64>,
}

fn one() -> f64 {
    1.0
}

fn one_of() -> u16 {
    1
}

/// The figures that expectations may name.
pub const FIGURES: &[&str] = &[
    "worth",
    "whole",
    "worst_10s",
    "worst_class",
    "worst_tenant",
    "served",
    "refused_share",
    "failed_share",
    "run_twice_by_clients",
    "run_twice_by_proxies",
    "resends_seen",
    "rude_unanswered",
    "remote_served",
    "changes_committed",
    "changes_undone",
    "changes_given_up",
    "attempts_multiple",
    "loops_open",
    "loops_ended",
    "work_for_nobody",
    "fleet_unreached",
    "fleet_unaccounted",
    "fleet_behind",
    "fleet_past_bound",
    "fleet_fenced",
    "duty_acts",
    "duty_holds",
    "duty_refused",
    "duty_out_of_order",
    "duty_pause_s",
];

/// Reads a scenario by its shipped name or its file.
pub fn load(name: &str) -> Result<Scenario, String> {
    if let Some((name, text)) = BUILT_IN.iter().find(|(n, _)| *n == name) {
        return parse(&format!("scenarios/{name}.toml"), text);
    }
    let path = Path::new(name);
    if path.extension().is_none_or(|e| e != "toml") {
        return Err(format!(
            "{name}: no scenario of this name (see `list`), and no .toml file"
        ));
    }
    let text = std::fs::read_to_string(path).map_err(|e| format!("{name}: {e}"))?;
    parse(name, &text)
}

/// Reads a scenario's text; an error is one line with file, field and reason.
pub fn parse(file: &str, text: &str) -> Result<Scenario, String> {
    let wrong = |e: toml::de::Error| {
        let line = e.span().map_or(0, |s| {
            text[..s.start.min(text.len())].lines().count().max(1)
        });
        format!("{file}:{line}: {}", e.message().replace('\n', " "))
    };
    let mut table: toml::Table = toml::from_str(text).map_err(wrong)?;
    let common: toml::Table =
        toml::from_str(COMMON).map_err(|e| format!("scenarios/common.toml: {e}"))?;
    for (key, value) in common {
        match (table.get_mut(&key), value) {
            // A table is completed field by field; a list is taken whole or not at all.
            (Some(toml::Value::Table(own)), toml::Value::Table(common)) => {
                for (field, value) in common {
                    own.entry(field).or_insert(value);
                }
            }
            (Some(_), _) => {}
            (None, value) => drop(table.insert(key, value)),
        }
    }
    let scenario: Scenario = serde_path_to_error::deserialize(table).map_err(|e| {
        format!(
            "{file}: {}: {}",
            e.path(),
            e.inner().message().replace('\n', " ")
        )
    })?;
    scenario.check().map_err(|e| format!("{file}: {e}"))?;
    Ok(scenario)
}

impl Scenario {
    /// The kind of a tier's backend, by its place from 0.
    pub fn kind(&self, tier: usize, place: u16) -> &str {
        let mut before = 0;
        for k in &self.tier[tier].kinds {
            before += k.backends;
            if place < before {
                return &k.name;
            }
        }
        "std"
    }

    /// The tier of a name.
    pub fn tier_named(&self, name: &str) -> Option<usize> {
        self.tier.iter().position(|t| t.name == name)
    }

    /// Whether a backend's or proxy's name can be on the stage of this scenario.
    fn names_backend(&self, name: &str, tier: Option<usize>) -> bool {
        let number = |t: &Tier| {
            name.strip_prefix(&t.name)?
                .strip_prefix('-')?
                .parse::<u16>()
                .ok()
        };
        let of = |(i, t): (usize, &Tier)| {
            tier.is_none_or(|tier| tier == i)
                && number(t).is_some_and(|n| (1..=t.backends).contains(&n))
        };
        self.tier.iter().enumerate().any(of)
    }

    /// Checks what types alone can't say.
    pub fn check(&self) -> Result<(), String> {
        let mut ranges: Vec<(String, f64, [f64; 2])> = vec![
            ("run.seconds".into(), self.run.seconds, [1.0, 3600.0]),
            ("run.rate".into(), self.run.rate, [1.0, 20_000.0]),
            (
                "run.proxies".into(),
                f64::from(self.run.proxies),
                [1.0, 64.0],
            ),
            (
                "run.over_share_worth".into(),
                self.run.over_share_worth,
                [0.0, 1.0],
            ),
            (
                "run.memory_mb".into(),
                f64::from(self.run.memory_mb),
                [8.0, 65_536.0],
            ),
            (
                "run.sockets".into(),
                f64::from(self.run.sockets),
                [64.0, 65_536.0],
            ),
            (
                "run.retry_after_ms".into(),
                self.run.retry_after_ms,
                [0.0, 60_000.0],
            ),
            (
                "run.conn_idle_ms".into(),
                self.run.conn_idle_ms,
                [100.0, 3.6e6],
            ),
            (
                "run.connect_timeout_ms".into(),
                self.run.connect_timeout_ms,
                [10.0, 60_000.0],
            ),
            (
                "run.probation_s".into(),
                self.run.probation_s,
                [0.02, 3600.0],
            ),
            ("class".into(), self.class.len() as f64, [1.0, 64.0]),
            ("tenant".into(), self.tenant.len() as f64, [1.0, 1000.0]),
            ("tier".into(), self.tier.len() as f64, [1.0, 4.0]),
            (
                "clients.retries".into(),
                f64::from(self.clients.retries),
                [0.0, 10.0],
            ),
            (
                "clients.backoff_ms".into(),
                self.clients.backoff_ms,
                [0.0, 60_000.0],
            ),
            ("clients.heed".into(), self.clients.heed, [0.0, 1.0]),
            (
                "clients.patience[0]".into(),
                self.clients.patience[0],
                [0.05, self.clients.patience[1]],
            ),
            (
                "clients.patience[1]".into(),
                self.clients.patience[1],
                [0.05, 1.0],
            ),
            ("clients.hang_up".into(), self.clients.hang_up, [0.0, 1.0]),
            ("clients.slow".into(), self.clients.slow, [0.0, 1.0]),
            ("clients.remote".into(), self.clients.remote, [0.0, 1.0]),
            (
                "clients.batch".into(),
                f64::from(self.clients.batch),
                [1.0, 1000.0],
            ),
            (
                "clients.rude_per_s".into(),
                self.clients.rude_per_s,
                [0.0, 100.0],
            ),
            (
                "rules.drain_grace_ms".into(),
                self.rules.drain_grace_ms,
                [1.0, 60_000.0],
            ),
            (
                "rules.fall_multiple".into(),
                self.rules.fall_multiple,
                [1.0, 100.0],
            ),
            (
                "rules.fall_ms".into(),
                self.rules.fall_ms,
                [100.0, 60_000.0],
            ),
            (
                "rules.answer_grace_ms".into(),
                self.rules.answer_grace_ms,
                [0.0, 10_000.0],
            ),
        ];
        for (i, c) in self.class.iter().enumerate() {
            let keyed = if c.effect == Effect::Keyed { 1.0 } else { 0.0 };
            ranges.extend([
                (format!("class[{i}].share"), c.share, [0.0, 1e6]),
                (format!("class[{i}].aim_ms"), c.aim_ms, [1.0, c.deadline_ms]),
                (
                    format!("class[{i}].deadline_ms"),
                    c.deadline_ms,
                    [10.0, 600_000.0],
                ),
                (format!("class[{i}].worth"), c.worth, [0.0, 1e6]),
                (format!("class[{i}].late_worth"), c.late_worth, [0.0, 1.0]),
                (format!("class[{i}].work_ms"), c.work_ms, [0.01, 60_000.0]),
                (format!("class[{i}].window_ms"), c.window_ms, [keyed, 3.6e6]),
            ]);
        }
        for (i, t) in self.tenant.iter().enumerate() {
            ranges.push((format!("tenant[{i}].share"), t.share, [0.0, 1e6]));
            ranges.push((format!("tenant[{i}].usage"), t.usage, [0.0, 100.0]));
        }
        for (i, t) in self.tier.iter().enumerate() {
            ranges.extend([
                (
                    format!("tier[{i}].backends"),
                    f64::from(t.backends),
                    [1.0, 200.0],
                ),
                (format!("tier[{i}].work"), t.work, [0.0, 1.0]),
                (format!("tier[{i}].cores"), f64::from(t.cores), [1.0, 64.0]),
                (format!("tier[{i}].speed"), t.speed, [0.01, 100.0]),
                (
                    format!("tier[{i}].slots"),
                    f64::from(t.slots),
                    [1.0, 10_000.0],
                ),
                (
                    format!("tier[{i}].connections"),
                    f64::from(t.connections),
                    [1.0, 10_000.0],
                ),
                (
                    format!("tier[{i}].handshake_ms"),
                    t.handshake_ms,
                    [0.0, 1000.0],
                ),
                (format!("tier[{i}].cold_from"), t.cold_from, [0.01, 1.0]),
                (format!("tier[{i}].cold_s"), t.cold_s, [0.1, 600.0]),
                (format!("tier[{i}].calls"), f64::from(t.calls), [0.0, 8.0]),
            ]);
        }
        for (i, f) in self.fault.iter().enumerate() {
            let [from, to] = f.at_s.ends();
            ranges.push((format!("fault[{i}].at_s"), from, [0.0, self.run.seconds]));
            ranges.push((format!("fault[{i}].at_s"), to, [from, self.run.seconds]));
            ranges.push((format!("fault[{i}].for_s"), f.for_s, [0.0, 3600.0]));
            if let Some(bounds) = f.what.size_bounds() {
                ranges.push((format!("fault[{i}].size"), f.size, bounds));
            }
        }
        if let Some(d) = &self.drawn {
            ranges.push(("drawn.count".into(), f64::from(d.count), [1.0, 100.0]));
            ranges.push(("drawn.kinds".into(), d.kinds.len() as f64, [1.0, 100.0]));
            ranges.push(("drawn.for_s[0]".into(), d.for_s[0], [0.0, d.for_s[1]]));
            ranges.push(("drawn.for_s[1]".into(), d.for_s[1], [0.0, 3600.0]));
        }
        for (i, c) in self.change.iter().enumerate() {
            ranges.push((format!("change[{i}].at_s"), c.at_s, [0.0, self.run.seconds]));
        }
        for (i, r) in self.repeat.iter().enumerate() {
            ranges.push((format!("repeat[{i}].at_s"), r.at_s, [0.0, self.run.seconds]));
            ranges.push((
                format!("repeat[{i}].after_s"),
                r.after_s,
                [0.01, self.run.seconds],
            ));
        }
        for (field, x, [low, high]) in ranges {
            if !(x >= low && x <= high) {
                return Err(format!("{field}: {x} is not between {low} and {high}"));
            }
        }
        self.check_names()
    }

    fn check_names(&self) -> Result<(), String> {
        fn names<'a>(list: &str, names: impl Iterator<Item = &'a String>) -> Result<(), String> {
            let mut seen = std::collections::BTreeSet::new();
            for (i, name) in names.enumerate() {
                let plain = |c: char| c.is_ascii_alphanumeric() || c == '-';
                if name.is_empty() || !name.chars().all(plain) {
                    return Err(format!(
                        "{list}[{i}].name: {name:?} is not of letters, digits and -"
                    ));
                }
                if !seen.insert(name) {
                    return Err(format!("{list}[{i}].name: {name:?} comes twice"));
                }
            }
            Ok(())
        }
        names("class", self.class.iter().map(|c| &c.name))?;
        names("tenant", self.tenant.iter().map(|t| &t.name))?;
        names("tier", self.tier.iter().map(|t| &t.name))?;
        let weight = |what: &str, sum: f64| {
            if sum > 0.0 {
                Ok(())
            } else {
                Err(format!("{what}: all shares are 0, nothing would be sent"))
            }
        };
        weight("class", self.class.iter().map(|c| c.share).sum())?;
        weight(
            "tenant",
            self.tenant.iter().map(|t| t.share * t.usage).sum(),
        )?;
        for (i, f) in self.fault.iter().enumerate() {
            let tier = match &f.tier {
                None => None,
                Some(name) => Some(
                    self.tier_named(name)
                        .ok_or_else(|| format!("fault[{i}].tier: {name:?} is no tier"))?,
                ),
            };
            if f.what.affects_backends() && f.on.is_empty() && tier.is_none() {
                return Err(format!(
                    "fault[{i}]: {} needs `tier` or `on`",
                    f.what.name()
                ));
            }
            for name in &f.on {
                let proxy = name
                    .strip_prefix("proxy-")
                    .and_then(|n| n.parse::<u16>().ok());
                let known = if f.what.affects_proxies() {
                    proxy.is_some_and(|n| (1..=self.run.proxies).contains(&n))
                } else {
                    self.names_backend(name, tier)
                };
                if !known {
                    return Err(format!("fault[{i}].on: {name:?} is not on the stage"));
                }
            }
        }
        for (i, r) in self.repeat.iter().enumerate() {
            let class = self.class.iter().find(|c| c.name == r.class);
            if class.is_none_or(|c| c.effect != Effect::Keyed) {
                return Err(format!(
                    "repeat[{i}].class: {:?} is no keyed class",
                    r.class
                ));
            }
            if !self.tenant.iter().any(|t| t.name == r.tenant) {
                return Err(format!("repeat[{i}].tenant: {:?} is no tenant", r.tenant));
            }
        }
        if self.clients.remote > 0.0
            && !self
                .routes
                .as_deref()
                .unwrap_or_default()
                .contains("\"remote\"")
        {
            return Err("clients.remote: `routes` have no listener \"remote\"".into());
        }
        let ways = |f: &Fault| matches!(f.what, FaultKind::CutProxy | FaultKind::DeafProxy);
        if let Some(i) = self
            .fault
            .iter()
            .position(ways)
            .filter(|_| self.fleet.is_none())
        {
            return Err(format!("fault[{i}]: there is no `fleet` to be cut"));
        }
        for (i, c) in self.change.iter().enumerate() {
            let proxy = |name: &String| {
                name.strip_prefix("proxy-")
                    .and_then(|n| n.parse::<u16>().ok())
            };
            if c.on
                .as_ref()
                .is_some_and(|on| !proxy(on).is_some_and(|n| (1..=self.run.proxies).contains(&n)))
            {
                return Err(format!("change[{i}].on: {:?} is not on the stage", c.on));
            }
            if c.required_ms.is_some() && self.fleet.is_none() {
                return Err(format!(
                    "change[{i}].required_ms: there is no `fleet` to require it of"
                ));
            }
        }
        if self
            .fleet
            .as_ref()
            .is_some_and(|f| !(100..=60_000).contains(&f.period_ms))
        {
            return Err("fleet.period_ms: is not between 100 and 60000".into());
        }
        let duty = self.fleet.as_ref().and_then(|f| f.lease_ms);
        if duty.is_some_and(|ms| !(200..=60_000).contains(&ms)) {
            return Err("fleet.lease_ms: is not between 200 and 60000".into());
        }
        if duty.is_some() && self.run.proxies < 3 {
            return Err("fleet.lease_ms: needs three proxies, who vote".into());
        }
        if self.routes.is_none() && !self.change.is_empty() {
            return Err("change[0]: there are no `routes` to change".into());
        }
        for (i, e) in self.expect.iter().enumerate() {
            if !FIGURES.contains(&e.figure.as_str()) {
                return Err(format!(
                    "expect[{i}].figure: {:?} is none of {}",
                    e.figure,
                    FIGURES.join(", ")
                ));
            }
            if e.at_least.is_none() && e.at_most.is_none() {
                return Err(format!("expect[{i}]: neither at_least nor at_most"));
            }
        }
        Ok(())
    }
}
