//! The schedule of a run, generated from its seed: every request and every fault. The same scenario
//! and seed give the same schedule and the same digest.

use crate::clock::{Micros, SECOND, micros_from_seconds};
use crate::scenario::{Effect, FaultKind, Scenario};
use fastrand::Rng;
use sha2::{Digest, Sha256};
use std::fmt::Write;

/// All requests and faults of a run.
#[derive(Debug, Clone)]
pub struct Schedule {
    /// The scenario that it was generated from.
    pub scenario: Scenario,
    /// Seed of all random numbers.
    pub seed: u64,
    /// Time of the first possible request, on the run's clock.
    pub start: Micros,
    /// How long requests are sent.
    pub duration: Micros,
    /// Well-formed requests, by time; retries are not scheduled.
    pub requests: Vec<ScheduledRequest>,
    /// Malformed requests, by time.
    pub malformed_requests: Vec<MalformedRequest>,
    /// Faults, by time.
    pub faults: Vec<ScheduledFault>,
    /// Identifies the schedule.
    pub digest: String,
}

/// The first attempt of a request, and how its client behaves.
#[derive(Debug, Clone, PartialEq)]
pub struct ScheduledRequest {
    /// When it is sent.
    pub at: Micros,
    /// Index of its class.
    pub class: u16,
    /// Index of its tenant.
    pub tenant: u16,
    /// Idempotency key of a keyed class; otherwise only part of the URL.
    pub key: u64,
    /// Whether it exceeds its tenant's quota.
    pub over_share: bool,
    /// Share of the deadline after which an attempt times out.
    pub time_limit_share: f64,
    /// Share of the time limit after which the client disconnects.
    pub cancel_after: Option<f64>,
    /// Whether the client waits for `Retry-After` before a retry.
    pub honours_retry_after: bool,
    /// Whether the client delays reading the response.
    pub reads_slowly: bool,
    /// Whether it is sent over JSON-RPC.
    pub uses_jsonrpc: bool,
    /// Delay after which it is sent again, whatever the response was.
    pub repeat_after: Option<Micros>,
}

/// A request that the proxy must reject.
#[derive(Debug, Clone, PartialEq)]
pub struct MalformedRequest {
    /// When its client connects.
    pub at: Micros,
    /// Index into the load generator's kinds of malformed requests.
    pub kind: usize,
}

/// A fault with its times and targets.
#[derive(Debug, Clone, PartialEq)]
pub struct ScheduledFault {
    /// Kind of fault.
    pub kind: FaultKind,
    /// When it begins.
    pub at: Micros,
    /// When it ends.
    pub until: Micros,
    /// Magnitude; its unit depends on the kind.
    pub size: f64,
    /// Tier of the affected backends.
    pub tier: usize,
    /// Indexes, from 0, of the affected backends of the tier, or of the affected proxies.
    pub targets: Vec<u16>,
}

impl ScheduledFault {
    /// The kind and the targets, for the report.
    pub fn label(&self, scenario: &Scenario) -> String {
        let mut label = self.kind.name().to_string();
        for v in &self.targets {
            let n = v + 1;
            let _ = match self.kind.affects_proxies() {
                true => write!(label, " proxy-{n}"),
                false => write!(label, " {}-{n}", scenario.tier[self.tier].name),
            };
        }
        label
    }
}

/// Number of kinds of malformed requests that the load generator can send.
pub const MALFORMED_REQUEST_KINDS: usize = 8;

/// Generates the schedule of a scenario.
pub fn generate(scenario: Scenario, seed: u64) -> Schedule {
    let duration = micros_from_seconds(scenario.run.seconds);
    let root = Rng::with_seed(seed);
    // Separate random streams, so that adding faults doesn't move the requests.
    let [mut arrivals, mut faults, mut malformed, mut protocols] = [1u64, 2, 3, 4].map(|part| {
        Rng::with_seed(root.clone().u64(..) ^ part.wrapping_mul(0x9e37_79b9_7f4a_7c15))
    });
    let mut requests = generate_requests(&scenario, duration, &mut arrivals);
    mark_over_share(&scenario, &mut requests);
    requests
        .iter_mut()
        .for_each(|t| t.uses_jsonrpc = protocols.f64() < scenario.clients.remote);
    let malformed_requests = generate_malformed(&scenario, duration, &mut malformed);
    let faults = generate_faults(&scenario, &mut faults);
    let mut schedule = Schedule {
        scenario,
        seed,
        start: 0,
        duration,
        requests,
        malformed_requests,
        faults,
        digest: String::new(),
    };
    schedule.digest = digest(&schedule);
    schedule
}

fn weighted(rng: &mut Rng, weights: &[f64]) -> usize {
    let mut left = rng.f64() * weights.iter().sum::<f64>();
    for (i, w) in weights.iter().enumerate() {
        left -= w;
        if left < 0.0 {
            return i;
        }
    }
    weights.iter().rposition(|w| *w > 0.0).unwrap_or(0)
}

/// Returns the next arrival of a Poisson process.
fn next_arrival(rng: &mut Rng, at: f64, rate: f64) -> f64 {
    at - (1.0 - rng.f64()).ln() / rate
}

fn generate_requests(s: &Scenario, duration: Micros, rng: &mut Rng) -> Vec<ScheduledRequest> {
    let classes: Vec<f64> = s.class.iter().map(|c| c.share).collect();
    let tenants: Vec<f64> = s.tenant.iter().map(|t| t.share * t.usage).collect();
    let mut requests = Vec::new();
    let mut at = next_arrival(rng, 0.0, s.run.rate);
    while micros_from_seconds(at) < duration {
        let class = weighted(rng, &classes);
        let [low, high] = s.clients.patience;
        requests.push(ScheduledRequest {
            at: micros_from_seconds(at),
            class: class as u16,
            tenant: weighted(rng, &tenants) as u16,
            key: rng.u64(1..),
            over_share: false,
            time_limit_share: low + (high - low) * rng.f64(),
            cancel_after: (rng.f64() < s.clients.hang_up).then(|| rng.f64()),
            honours_retry_after: rng.f64() < s.clients.heed,
            reads_slowly: rng.f64() < s.clients.slow,
            uses_jsonrpc: false,
            repeat_after: None,
        });
        at = next_arrival(rng, at, s.run.rate);
    }
    let position =
        |names: Vec<&String>, name| names.iter().position(|n| *n == name).unwrap_or(0) as u16;
    for r in &s.repeat {
        requests.push(ScheduledRequest {
            at: micros_from_seconds(r.at_s),
            class: position(s.class.iter().map(|c| &c.name).collect(), &r.class),
            tenant: position(s.tenant.iter().map(|t| &t.name).collect(), &r.tenant),
            key: rng.u64(1..),
            over_share: false,
            time_limit_share: 1.0,
            cancel_after: None,
            honours_retry_after: true,
            reads_slowly: false,
            uses_jsonrpc: false,
            repeat_after: Some(micros_from_seconds(r.after_s)),
        });
    }
    requests.sort_by_key(|t| t.at);
    requests
}

/// Ratio of a tenant's quota to its share of the rate.
const HEADROOM: f64 = 1.1;

/// Returns the quota of each tenant, in requests a second.
pub fn tenant_quotas(s: &Scenario) -> Vec<f64> {
    let sent: f64 = s.tenant.iter().map(|t| t.share * t.usage).sum();
    s.tenant
        .iter()
        .map(|t| HEADROOM * t.share * s.run.rate / sent.max(1e-9))
        .collect()
}

/// Marks requests beyond their tenant's quota, by a token bucket that holds one second's quota.
fn mark_over_share(s: &Scenario, requests: &mut [ScheduledRequest]) {
    let quotas = tenant_quotas(s);
    let mut buckets: Vec<(f64, Micros)> = quotas.iter().map(|q| (q.max(2.0), 0)).collect();
    for t in requests {
        let tenant = usize::from(t.tenant);
        let (quota, bucket) = (quotas[tenant], &mut buckets[tenant]);
        let passed = (t.at - bucket.1) as f64 / SECOND as f64;
        let tokens = (bucket.0 + quota * passed).min(quota.max(2.0));
        t.over_share = tokens < 1.0;
        *bucket = (tokens - if t.over_share { 0.0 } else { 1.0 }, t.at);
    }
}

fn generate_malformed(s: &Scenario, duration: Micros, rng: &mut Rng) -> Vec<MalformedRequest> {
    let (mut malformed, rate) = (Vec::new(), s.clients.rude_per_s);
    if rate > 0.0 {
        let mut at = next_arrival(rng, 0.0, rate);
        while micros_from_seconds(at) < duration {
            malformed.push(MalformedRequest {
                at: micros_from_seconds(at),
                kind: rng.usize(..MALFORMED_REQUEST_KINDS),
            });
            at = next_arrival(rng, at, rate);
        }
    }
    malformed
}

/// Shares of the run between which random faults begin, so that they also end within it.
const RANDOM_FAULT_START: [f64; 2] = [0.1, 0.75];

fn generate_faults(s: &Scenario, rng: &mut Rng) -> Vec<ScheduledFault> {
    let (mut faults, mut previous) = (Vec::new(), Vec::new());
    for f in &s.fault {
        let [earliest, latest] = f.at_s.ends();
        let at = earliest + (latest - earliest) * rng.f64();
        let named = f.on.first().and_then(|n| {
            s.tier
                .iter()
                .position(|t| n.starts_with(&format!("{}-", t.name)))
        });
        let tier = f
            .tier
            .as_deref()
            .and_then(|t| s.tier_named(t))
            .or(named)
            .unwrap_or(0);
        let number = |name: &String| name.rsplit('-').next().and_then(|n| n.parse::<u16>().ok());
        let mut targets: Vec<u16> =
            f.on.iter()
                .filter_map(number)
                .map(|n| n.saturating_sub(1))
                .collect();
        if targets.is_empty() {
            targets = select_targets(s, f.what, tier, f.count, &mut previous, rng);
        }
        faults.push(ScheduledFault {
            kind: f.what,
            at: micros_from_seconds(at),
            until: micros_from_seconds(at + f.for_s),
            size: f.size,
            tier,
            targets,
        });
    }
    if let Some(d) = &s.drawn {
        for _ in 0..d.count {
            let what = d.kinds[rng.usize(..d.kinds.len())];
            let [earliest, latest] = RANDOM_FAULT_START;
            let at = s.run.seconds * (earliest + (latest - earliest) * rng.f64());
            let until = at + d.for_s[0] + (d.for_s[1] - d.for_s[0]) * rng.f64();
            let tier = rng.usize(..s.tier.len());
            let targets = select_targets(s, what, tier, 1, &mut previous, rng);
            faults.push(ScheduledFault {
                kind: what,
                at: micros_from_seconds(at),
                until: micros_from_seconds(until),
                size: what.default_size(),
                tier,
                targets,
            });
        }
    }
    faults.sort_by_key(|f| f.at);
    faults
}

/// Selects the targets of a fault, preferring those with the fewest faults so far.
fn select_targets(
    s: &Scenario,
    what: FaultKind,
    tier: usize,
    count: u16,
    previous: &mut Vec<(bool, usize, u16)>,
    rng: &mut Rng,
) -> Vec<u16> {
    let proxies = what.affects_proxies();
    let available = match what {
        w if w.affects_backends() => s.tier[tier].backends,
        _ if proxies => s.run.proxies,
        _ => 0,
    };
    let mut all: Vec<u16> = (0..available).collect();
    rng.shuffle(&mut all);
    all.sort_by_key(|v| {
        previous
            .iter()
            .filter(|x| **x == (proxies, tier, *v))
            .count()
    });
    let mut targets: Vec<u16> = all.into_iter().take(usize::from(count)).collect();
    previous.extend(targets.iter().map(|v| (proxies, tier, *v)));
    targets.sort_unstable();
    targets
}

/// Returns a digest that is the same on every machine.
fn digest(schedule: &Schedule) -> String {
    let mut hash = Sha256::new();
    for t in &schedule.requests {
        hash.update(t.at.to_le_bytes());
        hash.update([t.class.to_le_bytes(), t.tenant.to_le_bytes()].concat());
        hash.update(t.key.to_le_bytes());
        hash.update(t.time_limit_share.to_le_bytes());
        hash.update(t.cancel_after.unwrap_or(-1.0).to_le_bytes());
        let flags = [t.over_share, t.honours_retry_after, t.reads_slowly];
        hash.update(flags.map(u8::from));
        hash.update(t.repeat_after.unwrap_or(0).to_le_bytes());
    }
    for r in &schedule.malformed_requests {
        hash.update(r.at.to_le_bytes());
        hash.update((r.kind as u64).to_le_bytes());
    }
    for f in &schedule.faults {
        hash.update(f.kind.name());
        hash.update(f.at.to_le_bytes());
        hash.update(f.until.to_le_bytes());
        hash.update(f.size.to_le_bytes());
        hash.update((f.tier as u64).to_le_bytes());
        f.targets.iter().for_each(|v| hash.update(v.to_le_bytes()));
    }
    if schedule.scenario.clients.remote > 0.0 {
        for t in &schedule.requests {
            hash.update([u8::from(t.uses_jsonrpc)]);
        }
    }
    hash.update(schedule.scenario.routes.as_deref().unwrap_or_default());
    for c in &schedule.scenario.change {
        hash.update(c.at_s.to_le_bytes());
        hash.update(&c.routes);
        if schedule.scenario.fleet.is_some() {
            hash.update(c.on.as_deref().unwrap_or_default());
            hash.update(c.required_ms.unwrap_or(0).to_le_bytes());
        }
    }
    let mut text = String::new();
    for byte in hash.finalize().iter().take(8) {
        let _ = write!(text, "{byte:02x}");
    }
    text
}

impl Schedule {
    /// Returns the schedule shifted to begin at `start`.
    pub fn starting_at(&self, start: Micros) -> Schedule {
        let mut schedule = self.clone();
        let by = start.saturating_sub(self.start);
        schedule.start = start;
        schedule.requests.iter_mut().for_each(|t| t.at += by);
        for r in &mut schedule.malformed_requests {
            r.at += by;
        }
        schedule
            .faults
            .iter_mut()
            .for_each(|f| (f.at, f.until) = (f.at + by, f.until + by));
        schedule
    }

    /// Returns the class at an index.
    pub fn class(&self, class: u16) -> &crate::scenario::Class {
        &self.scenario.class[usize::from(class)]
    }

    /// Returns whether requests of a class carry an idempotency key.
    pub fn is_keyed(&self, class: u16) -> bool {
        self.class(class).effect == Effect::Keyed
    }

    /// Returns the scenario's title with the seed and the digest.
    pub fn title(&self) -> String {
        format!(
            "{} (seed {}, plan {})",
            self.scenario.title, self.seed, self.digest
        )
    }
}
