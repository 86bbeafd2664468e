//! Scenarios: TOML files that are validated completely before a run starts. Classes, tenants,
//! tiers, clients, rules and run settings that a file omits come from `scenarios/common.toml`.

use serde::Deserialize;
use std::path::Path;

/// The built-in scenarios, by name.
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
/// Longest pause of a process during which the four rules still apply.
pub const LONGEST_PAUSE_MS: f64 = 150.0;
const COMMON: &str = include_str!("../../../scenarios/common.toml");

/// A scenario.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Title, one line.
    pub title: String,
    /// What the scenario does and demonstrates.
    pub about: String,
    /// Load and limits.
    pub run: Run,
    /// Request classes.
    pub class: Vec<Class>,
    /// Tenants that send requests.
    pub tenant: Vec<Tenant>,
    /// Services, in calling order.
    pub tier: Vec<Tier>,
    /// Client behaviour.
    pub clients: Clients,
    /// Parameters of the four rules.
    pub rules: Rules,
    /// Retry budgets along the chain, if any; emulated backends forward their headers.
    #[serde(default)]
    pub budget: Option<Budget>,
    /// Text of the routes file of the first tier's proxies; a single pool if none.
    #[serde(default)]
    pub routes: Option<String>,
    /// Makes the first tier's proxies a fleet on an emulated network; independent if none.
    #[serde(default)]
    pub fleet: Option<FleetRun>,
    /// Route changes, applied at every proxy of the first tier or at one.
    #[serde(default)]
    pub change: Vec<Change>,
    /// Faults at given times.
    #[serde(default)]
    pub fault: Vec<Fault>,
    /// Additional random faults.
    #[serde(default)]
    pub drawn: Option<RandomFaults>,
    /// Keyed requests that are repeated whatever the response was.
    #[serde(default)]
    pub repeat: Vec<Repeat>,
    /// Expected results.
    #[serde(default)]
    pub expect: Vec<Expect>,
}

/// Load and limits of a run.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Run {
    /// How long requests are sent, in seconds: 1 to 3600.
    pub seconds: f64,
    /// Mean rate of requests, without retries, per second: 1 to 20,000.
    pub rate: f64,
    /// Proxies in front of the first tier: 1 to 64.
    pub proxies: u16,
    /// Worth of a request beyond its tenant's quota, as a share of its class's worth.
    pub over_share_worth: f64,
    /// Configured memory of a proxy.
    pub memory_mb: u32,
    /// Descriptor limit of a proxy.
    pub sockets: u32,
    /// Maximum `Retry-After`; 0 disables it.
    pub retry_after_ms: f64,
    /// Idle timeout of backend connections.
    pub conn_idle_ms: f64,
    /// Time limit for connecting to a backend.
    pub connect_timeout_ms: f64,
    /// Probation of a route change.
    pub probation_s: f64,
}

/// A request class.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Name: letters, digits, `-`.
    pub name: String,
    /// Relative share of the requests.
    pub share: f64,
    /// Whether it may be executed again.
    pub effect: Effect,
    /// Backends that share a deduplication cache, for a keyed class.
    #[serde(default)]
    pub group: Group,
    /// Deduplication window.
    #[serde(default)]
    pub window_ms: f64,
    /// Response time that earns the full worth.
    pub aim_ms: f64,
    /// Deadline of a client, over all its attempts.
    pub deadline_ms: f64,
    /// Worth of a request.
    pub worth: f64,
    /// Share of the worth that a later response earns.
    pub late_worth: f64,
    /// Mean work over all tiers, in milliseconds of a standard core.
    pub work_ms: f64,
}

/// Whether a request may be executed again.
#[derive(Debug, Clone, Copy, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum Effect {
    /// Safe to repeat.
    Safe,
    /// Duplicates are dropped by idempotency key.
    Keyed,
    /// Must not be executed twice.
    Unsafe,
}

/// Backends that share a deduplication cache.
#[derive(Debug, Clone, Copy, Default, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum Group {
    /// All backends of a tier.
    #[default]
    All,
    /// The two backends of a cell.
    Cell,
}

/// A tenant.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tenant {
    /// Name.
    pub name: String,
    /// Relative share of the quota.
    pub share: f64,
    /// Ratio of the load that it sends to its share.
    #[serde(default = "default_ratio")]
    pub usage: f64,
}

/// A tier of identical backends.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tier {
    /// Name; its backends are NAME-1, NAME-2 and so on.
    pub name: String,
    /// Number of backends: 1 to 200.
    pub backends: u16,
    /// Share of a request's work.
    pub work: f64,
    /// Cores of a backend.
    pub cores: u16,
    /// Speed of a core, 1 being standard; backends differ by up to a fifth of it.
    #[serde(default = "default_ratio")]
    pub speed: f64,
    /// Requests that a backend processes concurrently, including those that wait for the next tier.
    pub slots: u16,
    /// Queue length; further requests are declined.
    pub queue: u16,
    /// Maximum connections of a backend.
    pub connections: u16,
    /// Work of accepting a connection.
    #[serde(default)]
    pub handshake_ms: f64,
    /// Initial capacity of a cold backend, as a share of the full one.
    pub cold_from: f64,
    /// Warm-up time.
    pub cold_s: f64,
    /// Number of requests that warm a backend up; if 0, it warms up with time.
    #[serde(default)]
    pub warm_requests: u32,
    /// Calls to the next tier for each request.
    #[serde(default)]
    pub calls: u16,
    /// Kinds of its backends, in order; the remaining backends are of kind `std`.
    #[serde(default)]
    pub kinds: Vec<Kind>,
}

/// Backends with the same kind, a label in the registry.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Kind {
    /// Name.
    pub name: String,
    /// Number of backends of this kind.
    pub backends: u16,
}

/// Retry budget settings.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Budget {
    /// Maximum retries of a request.
    pub attempts: u16,
    /// Retries per request in the long run.
    pub share: f64,
    /// Maximum balance of unused retries.
    pub depth: f64,
}

/// Fleet settings of the first tier's proxies.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetRun {
    /// Period of the membership protocol: 100 to 60,000.
    pub period_ms: u64,
    /// Time after which a proxy fences itself if it can't learn the required version.
    #[serde(default)]
    pub fence_unsure_after_ms: Option<u64>,
    /// Duration of a lease whose holder calls the fencing server; the first three proxies vote.
    #[serde(default)]
    pub lease_ms: Option<u64>,
}

/// A route change.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Change {
    /// The only proxy that it is applied at.
    #[serde(default)]
    pub on: Option<String>,
    /// Time after the commit from which the fleet must use it.
    #[serde(default)]
    pub required_ms: Option<u64>,
    /// When it is applied, in seconds.
    pub at_s: f64,
    /// Text of the routes file.
    pub routes: String,
}

/// Client behaviour. Shares refer to first attempts.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Clients {
    /// Maximum retries.
    pub retries: u8,
    /// Delay before the first retry; doubles with each.
    pub backoff_ms: f64,
    /// Share that honours `Retry-After`.
    pub heed: f64,
    /// Range of an attempt's time limit, as a share of the deadline.
    pub patience: [f64; 2],
    /// Share that disconnects early.
    pub hang_up: f64,
    /// Share that reads the response slowly.
    pub slow: f64,
    /// Malformed requests per second.
    pub rude_per_s: f64,
    /// Share sent over JSON-RPC, to the listener `remote` of the routes, without a deadline.
    #[serde(default)]
    pub remote: f64,
    /// Size of JSON-RPC batches; 1 disables batching.
    #[serde(default = "default_count")]
    pub batch: u16,
}

/// Parameters of the four rules.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rules {
    /// Time after a drain notice within which a proxy may still send new requests.
    pub drain_grace_ms: f64,
    /// Multiple of its capacity at which a cold backend crashes ...
    pub fall_multiple: f64,
    /// ... when exceeded for this long.
    pub fall_ms: f64,
    /// Time after the deadline within which a response may still be sent.
    pub answer_grace_ms: f64,
}

/// A fault.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// Kind of fault.
    pub what: FaultKind,
    /// When it begins, in seconds: a time or a range.
    pub at_s: TimeOrRange,
    /// Duration.
    #[serde(default)]
    pub for_s: f64,
    /// Affected tier.
    #[serde(default)]
    pub tier: Option<String>,
    /// Affected backends or proxies, by name; if empty, `count` random ones.
    #[serde(default)]
    pub on: Vec<String>,
    /// Number of random targets.
    #[serde(default = "default_count")]
    pub count: u16,
    /// Slowdown (crawl), share of the CPU (starve), probability (reset, spoil, decline), seconds
    /// (registry-late, registry-clock) or milliseconds (pause-proxy).
    #[serde(default)]
    pub size: f64,
}

/// Faults with random kind, time, duration and target.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RandomFaults {
    /// Number of faults: 1 to 100.
    pub count: u16,
    /// Kinds to select from.
    pub kinds: Vec<FaultKind>,
    /// Range of the duration.
    pub for_s: [f64; 2],
}

/// Kinds of faults.
#[derive(Debug, Clone, Copy, Deserialize, PartialEq, Eq, PartialOrd, Ord)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// The host stops responding without closing connections, and returns cold.
    Silent,
    /// Accepts requests and never responds.
    Hang,
    /// Works more slowly.
    Crawl,
    /// The process is killed and starts again, cold.
    Restart,
    /// Another program periodically uses a share of the CPU.
    Starve,
    /// Drains and is then removed.
    Drain,
    /// Is removed from the registry without a drain.
    Delete,
    /// Is killed, and another cold backend starts at its address.
    Replace,
    /// Truncates responses.
    Reset,
    /// Sends malformed responses.
    Spoil,
    /// Declines requests.
    Decline,
    /// Calls a proxy of the first tier instead of the next tier, like a misconfigured backend.
    Loop,
    /// A proxy of the first tier is killed and started again.
    KillProxy,
    /// A proxy of the first tier is shut down gracefully and started again.
    StopProxy,
    /// A proxy of the first tier reloads a configuration with another registry address.
    ReloadProxy,
    /// A proxy of the first tier is suspended and resumed.
    StallProxy,
    /// A proxy of the first tier is paused repeatedly, briefly enough that the rules still apply.
    PauseProxy,
    /// Proxies of the first tier are partitioned together from the others.
    CutProxy,
    /// A proxy of the first tier receives nothing from the others, but they receive from it.
    DeafProxy,
    /// The registry publishes changes late.
    RegistryLate,
    /// The registry fails all requests.
    RegistryDown,
    /// The registry repeats old states of its entries after newer ones.
    RegistryDisorder,
    /// The registry's clock is wrong, and so are the start times that it reports.
    RegistryClock,
}

impl FaultKind {
    /// Returns whether it affects backends.
    pub fn affects_backends(self) -> bool {
        self <= FaultKind::Loop
    }
    /// Returns whether it affects proxies.
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
    /// Returns its name in scenario files.
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
    /// Returns the size of a random fault of this kind.
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

/// A time, or a range from which one is selected.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(untagged)]
pub enum TimeOrRange {
    /// A time, in seconds.
    At(f64),
    /// A range, in seconds.
    Between([f64; 2]),
}

impl TimeOrRange {
    /// Returns the bounds of the range.
    pub fn ends(self) -> [f64; 2] {
        match self {
            TimeOrRange::At(at) => [at, at],
            TimeOrRange::Between(ends) => ends,
        }
    }
}

/// A keyed request that is repeated, whatever the response was.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Repeat {
    /// When it is first sent, in seconds.
    pub at_s: f64,
    /// A keyed class.
    pub class: String,
    /// Tenant.
    pub tenant: String,
    /// Delay of the repeat, which has the same key and a new id.
    pub after_s: f64,
}

/// An expected result of a run.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Expect {
    /// Name of the figure, one of [`FIGURES`].
    pub figure: String,
    /// Minimum value.
    #[serde(default)]
    pub at_least: Option<f64>,
    /// Maximum value.
    #[serde(default)]
    pub at_most: Option<f64>,
}

fn default_ratio() -> f64 {
    1.0
}

fn default_count() -> u16 {
    1
}

/// Figures that expectations may name.
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

/// Loads a built-in scenario by name, or a scenario file.
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

/// Parses a scenario; an error is one line with file, field and reason.
pub fn parse(file: &str, text: &str) -> Result<Scenario, String> {
    let parse_error = |e: toml::de::Error| {
        let line = e.span().map_or(0, |s| {
            text[..s.start.min(text.len())].lines().count().max(1)
        });
        format!("{file}:{line}: {}", e.message().replace('\n', " "))
    };
    let mut table: toml::Table = toml::from_str(text).map_err(parse_error)?;
    let common: toml::Table =
        toml::from_str(COMMON).map_err(|e| format!("scenarios/common.toml: {e}"))?;
    for (key, value) in common {
        match (table.get_mut(&key), value) {
            // Tables are merged by field; lists are replaced as a whole.
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
    /// Returns the kind of a tier's backend, by its index in the tier.
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

    /// Returns the index of the tier with a name.
    pub fn tier_named(&self, name: &str) -> Option<usize> {
        self.tier.iter().position(|t| t.name == name)
    }

    /// Returns whether a backend of this name exists, in `tier` if given.
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

    /// Validates ranges and references between fields.
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
                let is_allowed = |c: char| c.is_ascii_alphanumeric() || c == '-';
                if name.is_empty() || !name.chars().all(is_allowed) {
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
        let is_partition = |f: &Fault| matches!(f.what, FaultKind::CutProxy | FaultKind::DeafProxy);
        if let Some(i) = self
            .fault
            .iter()
            .position(is_partition)
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
        let lease_ms = self.fleet.as_ref().and_then(|f| f.lease_ms);
        if lease_ms.is_some_and(|ms| !(200..=60_000).contains(&ms)) {
            return Err("fleet.lease_ms: is not between 200 and 60000".into());
        }
        if lease_ms.is_some() && self.run.proxies < 3 {
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
