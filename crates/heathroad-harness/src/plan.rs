//! Everything that a rehearsal will do, drawn ahead from its seed: every arrival and every fault. A
//! plan is the same for the same scenario, seed and size, and its digest says so.

use crate::clock::{Micros, SECOND, seconds};
use crate::scenario::{Effect, Scenario, What};
use fastrand::Rng;
use sha2::{Digest, Sha256};
use std::fmt::Write;

/// What a rehearsal will do.
#[derive(Debug, Clone)]
pub struct Plan {
    /// What is rehearsed.
    pub scenario: Scenario,
    /// The seed of everything.
    pub seed: u64,
    /// When requests begin to come, by the ledgers' clock.
    pub start: Micros,
    /// For how long they come.
    pub length: Micros,
    /// First tries, by time.
    pub tries: Vec<FirstTry>,
    /// Clients that send what can't be used, by time.
    pub rude: Vec<RudeTry>,
    /// Faults, by time.
    pub faults: Vec<Planned>,
    /// Tells this plan from others.
    pub digest: String,
}

/// A first try, and how its client behaves.
#[derive(Debug, Clone, PartialEq)]
pub struct FirstTry {
    /// When it is sent.
    pub at: Micros,
    /// Place of its class.
    pub class: u16,
    /// Place of its tenant.
    pub tenant: u16,
    /// Its idempotency key, where its class has one; else what it is about.
    pub key: u64,
    /// It is past its tenant's share.
    pub over: bool,
    /// A try is given up after this part of the deadline.
    pub patience: f64,
    /// It hangs up after this part of its patience.
    pub hang_up: Option<f64>,
    /// It heeds `Retry-After`.
    pub heeds: bool,
    /// It reads slowly.
    pub slow: bool,
    /// It comes over JSON-RPC.
    pub remote: bool,
    /// It is repeated so much later, whatever comes.
    pub repeat: Option<Micros>,
}

/// A client that sends what can't be used.
#[derive(Debug, Clone, PartialEq)]
pub struct RudeTry {
    /// When it connects.
    pub at: Micros,
    /// What it sends; a place in the driver's list of kinds.
    pub kind: usize,
}

/// A fault with its time and victims.
#[derive(Debug, Clone, PartialEq)]
pub struct Planned {
    /// What.
    pub what: What,
    /// When it begins.
    pub at: Micros,
    /// When it ends.
    pub until: Micros,
    /// Its size.
    pub size: f64,
    /// The tier of the backends struck.
    pub tier: usize,
    /// Which are struck, counted from 0: backends of the tier, or proxies.
    pub victims: Vec<u16>,
}

impl Planned {
    /// What it is, in a few words.
    pub fn label(&self, scenario: &Scenario) -> String {
        let mut label = self.what.name().to_string();
        for v in &self.victims {
            let n = v + 1;
            // Writing to text does not fail.
            let _ = match self.what.strikes_proxies() {
                true => write!(label, " proxy-{n}"),
                false => write!(label, " {}-{n}", scenario.tier[self.tier].name),
            };
        }
        label
    }
}

/// Number of the kinds of rude clients; see the driver.
pub const RUDE_KINDS: usize = 8;

/// Draws a plan.
pub fn draw(scenario: Scenario, seed: u64) -> Plan {
    let length = seconds(scenario.run.seconds);
    let root = Rng::with_seed(seed);
    // Each part has a stream of its own: more faults must not move the arrivals.
    let [mut arrivals, mut faults, mut rude, mut ways] = [1u64, 2, 3, 4].map(|part| {
        Rng::with_seed(root.clone().u64(..) ^ part.wrapping_mul(0x9e37_79b9_7f4a_7c15))
    });
    let mut tries = draw_tries(&scenario, length, &mut arrivals);
    mark_over_share(&scenario, &mut tries);
    tries
        .iter_mut()
        .for_each(|t| t.remote = ways.f64() < scenario.clients.remote);
    let rude = draw_rude(&scenario, length, &mut rude);
    let faults = draw_faults(&scenario, &mut faults);
    let mut plan = Plan {
        scenario,
        seed,
        start: 0,
        length,
        tries,
        rude,
        faults,
        digest: String::new(),
    };
    plan.digest = digest(&plan);
    plan
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

/// Times between arrivals without memory: what a great many independent clients make.
fn next_arrival(rng: &mut Rng, at: f64, rate: f64) -> f64 {
    at - (1.0 - rng.f64()).ln() / rate
}

fn draw_tries(s: &Scenario, length: Micros, rng: &mut Rng) -> Vec<FirstTry> {
    let classes: Vec<f64> = s.class.iter().map(|c| c.share).collect();
    let tenants: Vec<f64> = s.tenant.iter().map(|t| t.share * t.usage).collect();
    let mut tries = Vec::new();
    let mut at = next_arrival(rng, 0.0, s.run.rate);
    while seconds(at) < length {
        let class = weighted(rng, &classes);
        let [low, high] = s.clients.patience;
        tries.push(FirstTry {
            at: seconds(at),
            class: class as u16,
            tenant: weighted(rng, &tenants) as u16,
            key: rng.u64(1..),
            over: false,
            patience: low + (high - low) * rng.f64(),
            hang_up: (rng.f64() < s.clients.hang_up).then(|| rng.f64()),
            heeds: rng.f64() < s.clients.heed,
            slow: rng.f64() < s.clients.slow,
            remote: false,
            repeat: None,
        });
        at = next_arrival(rng, at, s.run.rate);
    }
    let place =
        |names: Vec<&String>, name| names.iter().position(|n| *n == name).unwrap_or(0) as u16;
    for r in &s.repeat {
        tries.push(FirstTry {
            at: seconds(r.at_s),
            class: place(s.class.iter().map(|c| &c.name).collect(), &r.class),
            tenant: place(s.tenant.iter().map(|t| &t.name).collect(), &r.tenant),
            key: rng.u64(1..),
            over: false,
            patience: 1.0,
            hang_up: None,
            heeds: true,
            slow: false,
            remote: false,
            repeat: Some(seconds(r.after_s)),
        });
    }
    tries.sort_by_key(|t| t.at);
    tries
}

/// So much more than its share a tenant may send, in the long run, before it is past it.
const HEADROOM: f64 = 1.1;

/// Each tenant's share of the rate, in requests a second.
pub fn quotas(s: &Scenario) -> Vec<f64> {
    let sent: f64 = s.tenant.iter().map(|t| t.share * t.usage).sum();
    s.tenant
        .iter()
        .map(|t| HEADROOM * t.share * s.run.rate / sent.max(1e-9))
        .collect()
}

/// What is past its tenant's share counts for little, whoever serves it. A second's worth may come
/// at once.
fn mark_over_share(s: &Scenario, tries: &mut [FirstTry]) {
    let quotas = quotas(s);
    let mut buckets: Vec<(f64, Micros)> = quotas.iter().map(|q| (q.max(2.0), 0)).collect();
    for t in tries {
        let (quota, bucket) = (
            quotas[usize::from(t.tenant)],
            &mut buckets[usize::from(t.tenant)],
        );
        let passed = (t.at - bucket.1) as f64 / SECOND as f64;
        let tokens = (bucket.0 + quota * passed).min(quota.max(2.0));
        t.over = tokens < 1.0;
        *bucket = (tokens - if t.over { 0.0 } else { 1.0 }, t.at);
    }
}

fn draw_rude(s: &Scenario, length: Micros, rng: &mut Rng) -> Vec<RudeTry> {
    let (mut rude, rate) = (Vec::new(), s.clients.rude_per_s);
    if rate > 0.0 {
        let mut at = next_arrival(rng, 0.0, rate);
        while seconds(at) < length {
            rude.push(RudeTry {
                at: seconds(at),
                kind: rng.usize(..RUDE_KINDS),
            });
            at = next_arrival(rng, at, rate);
        }
    }
    rude
}

/// Drawn faults begin in this part of the rehearsal, so that they are felt and end in it.
const DRAWN: [f64; 2] = [0.1, 0.75];

fn draw_faults(s: &Scenario, rng: &mut Rng) -> Vec<Planned> {
    let (mut faults, mut struck) = (Vec::new(), Vec::new());
    for f in &s.fault {
        let [from, to] = f.at_s.ends();
        let at = from + (to - from) * rng.f64();
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
        let mut victims: Vec<u16> =
            f.on.iter()
                .filter_map(number)
                .map(|n| n.saturating_sub(1))
                .collect();
        if victims.is_empty() {
            victims = draw_victims(s, f.what, tier, f.count, &mut struck, rng);
        }
        let (what, size) = (f.what, f.size);
        faults.push(Planned {
            what,
            at: seconds(at),
            until: seconds(at + f.for_s),
            size,
            tier,
            victims,
        });
    }
    if let Some(d) = &s.drawn {
        for _ in 0..d.count {
            let what = d.kinds[rng.usize(..d.kinds.len())];
            let at = s.run.seconds * (DRAWN[0] + (DRAWN[1] - DRAWN[0]) * rng.f64());
            let until = at + d.for_s[0] + (d.for_s[1] - d.for_s[0]) * rng.f64();
            let tier = rng.usize(..s.tier.len());
            let victims = draw_victims(s, what, tier, 1, &mut struck, rng);
            let (at, until, size) = (seconds(at), seconds(until), what.usual_size());
            faults.push(Planned {
                what,
                at,
                until,
                size,
                tier,
                victims,
            });
        }
    }
    faults.sort_by_key(|f| f.at);
    faults
}

/// Draws whom a fault strikes; those not struck yet come first.
fn draw_victims(
    s: &Scenario,
    what: What,
    tier: usize,
    count: u16,
    struck: &mut Vec<(bool, usize, u16)>,
    rng: &mut Rng,
) -> Vec<u16> {
    let proxies = what.strikes_proxies();
    let there = match what {
        w if w.strikes_backends() => s.tier[tier].backends,
        _ if proxies => s.run.proxies,
        _ => 0,
    };
    let mut all: Vec<u16> = (0..there).collect();
    rng.shuffle(&mut all);
    all.sort_by_key(|v| struck.iter().filter(|x| **x == (proxies, tier, *v)).count());
    let mut victims: Vec<u16> = all.into_iter().take(usize::from(count)).collect();
    struck.extend(victims.iter().map(|v| (proxies, tier, *v)));
    victims.sort_unstable();
    victims
}

/// The same for the same plan on every machine.
fn digest(plan: &Plan) -> String {
    let mut hash = Sha256::new();
    for t in &plan.tries {
        hash.update(t.at.to_le_bytes());
        hash.update([t.class.to_le_bytes(), t.tenant.to_le_bytes()].concat());
        hash.update(t.key.to_le_bytes());
        hash.update(t.patience.to_le_bytes());
        hash.update(t.hang_up.unwrap_or(-1.0).to_le_bytes());
        hash.update([u8::from(t.over), u8::from(t.heeds), u8::from(t.slow)]);
        hash.update(t.repeat.unwrap_or(0).to_le_bytes());
    }
    for r in &plan.rude {
        hash.update(r.at.to_le_bytes());
        hash.update((r.kind as u64).to_le_bytes());
    }
    for f in &plan.faults {
        hash.update(f.what.name());
        hash.update(f.at.to_le_bytes());
        hash.update(f.until.to_le_bytes());
        hash.update(f.size.to_le_bytes());
        hash.update((f.tier as u64).to_le_bytes());
        f.victims.iter().for_each(|v| hash.update(v.to_le_bytes()));
    }
    if plan.scenario.clients.remote > 0.0 {
        plan.tries
            .iter()
            .for_each(|t| hash.update([u8::from(t.remote)]));
    }
    hash.update(plan.scenario.routes.as_deref().unwrap_or_default());
    for c in &plan.scenario.change {
        hash.update(c.at_s.to_le_bytes());
        hash.update(&c.routes);
        if plan.scenario.fleet.is_some() {
            hash.update(c.on.as_deref().unwrap_or_default());
            hash.update(c.required_ms.unwrap_or(0).to_le_bytes());
        }
    }
    let mut text = String::new();
    for byte in hash.finalize().iter().take(8) {
        // Writing to text does not fail.
        let _ = write!(text, "{byte:02x}");
    }
    text
}

impl Plan {
    /// The same plan on a clock on which it starts so much later.
    pub fn starting_at(&self, start: Micros) -> Plan {
        let mut plan = self.clone();
        let by = start.saturating_sub(self.start);
        plan.start = start;
        plan.tries.iter_mut().for_each(|t| t.at += by);
        plan.rude.iter_mut().for_each(|r| r.at += by);
        plan.faults
            .iter_mut()
            .for_each(|f| (f.at, f.until) = (f.at + by, f.until + by));
        plan
    }

    /// The class of a place.
    pub fn class(&self, class: u16) -> &crate::scenario::Class {
        &self.scenario.class[usize::from(class)]
    }

    /// Whether a class carries keys.
    pub fn keyed(&self, class: u16) -> bool {
        self.class(class).effect == Effect::Keyed
    }

    /// A digest of the plan and of how the rehearsal is told apart from others.
    pub fn title(&self) -> String {
        format!(
            "{} (seed {}, plan {})",
            self.scenario.title, self.seed, self.digest
        )
    }
}
