//! Bad nights of a small fleet, drawn from a seed: whatever is lost, cut, stalled, killed or put
//! back, the audit says of every attempt that the backend saw on which version it was sent, and
//! past a bound nobody acts on an older one.
//!
//! `FLEET_NIGHTS` asks for more of them, from `FLEET_SEED` on.

mod common;

use common::{daemon, number, routes};
use fastrand::Rng;
use heathroad_harness::clock::Micros;
use heathroad_harness::cluster::{Cluster, Options};
use serde_json::Value;
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::sleep;

const PERIOD_MS: u64 = 200;
const WITHIN_MS: u64 = 4000;
/// Beyond a bound: the way of a message, and of an attempt to the backend.
const SLACK: Micros = 500_000;

/// What a proxy has kept: files and their bytes.
type State = Vec<(std::path::PathBuf, Vec<u8>)>;

/// What a night does to proxies 1 and 2; proxy 0, where changes are made, is spared, so that it is
/// known when they were made.
struct Night {
    cluster: Cluster,
    rng: Rng,
    killed: [bool; 3],
    /// Killed or put back at least once: what it did since it wrote last is on no record.
    torn: [bool; 3],
    stalled: [bool; 3],
    copies: [Option<State>; 3],
    changes: u64,
    /// From when on no older generation than this may be acted on.
    bounds: Vec<(u64, Micros)>,
}

impl Night {
    async fn strike(&mut self, who: u16) -> Result<(), String> {
        let at = usize::from(who);
        match self.rng.u32(0..9) {
            0 => {
                let (loss, twice, torn) = (
                    self.rng.f64() * 0.3,
                    self.rng.f64() * 0.2,
                    self.rng.f64() * 0.1,
                );
                let jitter = Duration::from_millis(self.rng.u64(0..80));
                self.cluster.network.configure_all(|w| {
                    (w.loss, w.duplication, w.truncation, w.jitter) = (loss, twice, torn, jitter);
                });
            }
            1 => self.cluster.network.partition(&[&[who]]),
            2 => self
                .cluster
                .network
                .configure_link(0, who, |w| w.blocked = true),
            3 => {
                let every = Duration::from_millis(self.rng.u64(100..800));
                self.cluster
                    .network
                    .configure_links_of(who, |w| w.flap_period = Some(every));
            }
            4 => self
                .cluster
                .network
                .configure_links_of(who, |w| w.rate = Some(2000.0)),
            5 => self.cluster.network.heal(),
            6 if !self.killed[at] => {
                let stalled = self.stalled[at];
                self.stalled[at] = !stalled;
                let daemon = self.cluster.daemon(who)?;
                let done = if stalled {
                    daemon.resume()
                } else {
                    daemon.suspend()
                };
                done.map_err(|e| e.to_string())?;
            }
            7 if !self.killed[at] => {
                self.copies[at] = self.copies[at].take().or(self.cluster.copy_state(who).ok());
                self.cluster.kill(who);
                (self.killed[at], self.torn[at], self.stalled[at]) = (true, true, false);
            }
            8 if self.killed[at] => {
                match (self.rng.u32(0..3), &self.copies[at]) {
                    (0, Some(copy)) => self
                        .cluster
                        .restore_state(who, copy)
                        .map_err(|e| e.to_string())?,
                    (1, _) => self.cluster.delete_state(who).map_err(|e| e.to_string())?,
                    _ => {}
                }
                self.cluster.network.heal();
                self.cluster.start(who).await?;
                self.killed[at] = false;
            }
            _ => {}
        }
        Ok(())
    }

    async fn change(&mut self) -> Result<(), String> {
        self.changes += 1;
        let text = routes(1 + self.changes);
        if self.rng.bool() {
            return self.cluster.apply(0, &text).await;
        }
        // A proxy that does not see most of the fleet is not asked to require anything of it.
        match self.cluster.apply_by(0, &text, WITHIN_MS).await {
            Err(why) if why.contains("more than half") => return Ok(()),
            done => done?,
        }
        let bound = self.cluster.clock.now() + WITHIN_MS * 1000;
        let status = self.cluster.query(0, "/config/status").await?;
        self.bounds
            .push((status["generation"].as_u64().unwrap_or(0), bound));
        Ok(())
    }

    fn calls(&mut self, calls: &mut JoinSet<Result<u16, String>>) -> Result<(), String> {
        for _ in 0..self.rng.u32(3..12) {
            let who = self.rng.u16(0..3);
            if !self.killed[usize::from(who)] {
                calls.spawn(self.cluster.start_call(who)?);
            }
        }
        Ok(())
    }

    /// All is well again, and is waited for.
    async fn dawn(&mut self) -> Result<(), String> {
        self.cluster.network.heal();
        for who in 1..3 {
            let at = usize::from(who);
            if std::mem::take(&mut self.stalled[at]) {
                self.cluster
                    .daemon(who)?
                    .resume()
                    .map_err(|e| e.to_string())?;
            }
            if std::mem::take(&mut self.killed[at]) {
                self.cluster.start(who).await?;
            }
        }
        self.cluster.wait_for_all_alive().await?;
        let last = self.cluster.query(0, "/config/status").await?["generation"].clone();
        for who in 0..3 {
            let there = |s: &Value| s["generation"] == last && s["open"].is_null();
            self.cluster
                .wait_until(who, "/config/status", there)
                .await?;
        }
        Ok(())
    }
}

async fn night(seed: u64) -> Result<(), String> {
    let options = Options {
        routes: Some(routes(1)),
        period_ms: PERIOD_MS,
        fence_unsure_after_ms: Some(5 * PERIOD_MS),
        ..Options::default()
    };
    let cluster = Cluster::start_all(&daemon(), 3, seed, options).await?;
    cluster.wait_for_all_alive().await?;
    let (rng, none) = (Rng::with_seed(seed), [false; 3]);
    let (copies, bounds) = ([const { None }; 3], Vec::new());
    let mut night = Night {
        cluster,
        rng,
        killed: none,
        torn: none,
        stalled: none,
        copies,
        changes: 0,
        bounds,
    };
    let mut calls = JoinSet::new();
    for _ in 0..night.rng.u32(6..12) {
        let who = night.rng.u16(1..3);
        night.strike(who).await?;
        night.calls(&mut calls)?;
        if night.rng.u32(0..3) == 0 {
            night.change().await?;
        }
        sleep(Duration::from_millis(night.rng.u64(100..1800))).await;
        night.calls(&mut calls)?;
    }
    night.dawn().await?;
    night.calls(&mut calls)?;
    while let Some(call) = calls.join_next().await {
        // One that was killed answers nobody.
        if let Ok(status) = call.map_err(|e| e.to_string())? {
            assert!(
                status == 200 || status == 503 || status == 504 && night.torn != none,
                "{status}"
            );
        }
    }
    let reached = |t: &Value| (0..3).all(|p| t["members"][p]["reached"] == true);
    let audit = night.cluster.wait_until(1, "/fleet/audit", reached).await?;
    check(&night, &audit);
    Ok(())
}

fn check(night: &Night, audit: &Value) {
    let noted = night.cluster.backend_requests();
    let mut generations: BTreeMap<String, u64> = BTreeMap::new();
    for proxy in 0..3_u16 {
        let (mut told, mut torn) = (BTreeMap::<String, u64>::new(), false);
        for page in audit["members"][usize::from(proxy)]["pages"]
            .as_array()
            .expect("reached")
        {
            let digest = page["digest"].as_str().expect("a digest").to_string();
            generations.insert(
                digest.clone(),
                page["version"]["generation"].as_u64().expect("a number"),
            );
            *told.entry(digest).or_default() += page["acts"]["sent"].as_u64().expect("a count");
            torn |= page["torn"] == true;
        }
        told.retain(|_, n| *n > 0);
        let mut seen = BTreeMap::<String, u64>::new();
        for n in noted.iter().filter(|n| n.proxy == proxy) {
            *seen
                .entry(n.version.clone().expect("every attempt tells its version"))
                .or_default() += 1;
        }
        if night.torn[usize::from(proxy)] {
            // What was not written down when it was killed is on nobody's record; nothing else is.
            assert!(
                told.iter()
                    .all(|(v, n)| seen.get(v).is_some_and(|s| n <= s)),
                "{proxy}: {told:?} {seen:?}"
            );
            let forgotten = audit["members"][usize::from(proxy)]["since"].as_u64()
                > audit["members"][0]["since"].as_u64();
            assert!(
                told == seen || torn || forgotten,
                "{proxy}: {told:?} {seen:?}"
            );
        } else {
            assert_eq!(told, seen, "proxy {proxy}");
        }
    }
    for n in &noted {
        let generation = n.version.as_ref().and_then(|v| generations.get(v));
        for (required, bound) in &night.bounds {
            // A version that no page tells of is one that a killed proxy had acted on before.
            if n.at > bound + SLACK {
                let past = generation.is_some_and(|g| g >= required);
                assert!(
                    past,
                    "{n:?} of generation {generation:?}, past {required} at {bound}: {audit}"
                );
            }
        }
    }
    println!(
        "{} attempts, {} changes, {} bounds, torn {:?}",
        noted.len(),
        night.changes,
        night.bounds.len(),
        night.torn
    );
}

#[tokio::test]
async fn the_audit_is_true_after_any_night() {
    let (from, count) = (number("FLEET_SEED", 1), number("FLEET_NIGHTS", 2));
    for seed in from..from + count {
        println!("night of seed {seed}");
        night(seed)
            .await
            .unwrap_or_else(|e| panic!("seed {seed}: {e}"));
    }
}
