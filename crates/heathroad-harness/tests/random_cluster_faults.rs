//! Random faults in a small cluster: the audit must agree with the backend on the version of every
//! attempt, and no proxy may use an older version than the required one.
//!
//! `FLEET_NIGHTS` sets the number of runs, `FLEET_SEED` the first seed.

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
/// Tolerance after a bound for messages and attempts in transit, in microseconds.
const SLACK: Micros = 500_000;

/// Stored state of a proxy: files and their contents.
type State = Vec<(std::path::PathBuf, Vec<u8>)>;

/// A run with faults on proxies 1 and 2. Changes are made at proxy 0, which stays available, so that
/// their times are known.
struct FaultRun {
    cluster: Cluster,
    rng: Rng,
    killed: [bool; 3],
    /// Killed at least once, so that its last unwritten activity is lost.
    lossy: [bool; 3],
    stalled: [bool; 3],
    copies: [Option<State>; 3],
    changes: u64,
    /// Required generations, and from when on older ones may not be used.
    bounds: Vec<(u64, Micros)>,
}

impl FaultRun {
    async fn inject_fault(&mut self, proxy: u16) -> Result<(), String> {
        let at = usize::from(proxy);
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
            1 => self.cluster.network.partition(&[&[proxy]]),
            2 => self
                .cluster
                .network
                .configure_link(0, proxy, |w| w.blocked = true),
            3 => {
                let every = Duration::from_millis(self.rng.u64(100..800));
                self.cluster
                    .network
                    .configure_links_of(proxy, |w| w.flap_period = Some(every));
            }
            4 => self
                .cluster
                .network
                .configure_links_of(proxy, |w| w.rate = Some(2000.0)),
            5 => self.cluster.network.heal(),
            6 if !self.killed[at] => {
                let stalled = self.stalled[at];
                self.stalled[at] = !stalled;
                let daemon = self.cluster.daemon(proxy)?;
                let done = if stalled {
                    daemon.resume()
                } else {
                    daemon.suspend()
                };
                done.map_err(|e| e.to_string())?;
            }
            7 if !self.killed[at] => {
                self.copies[at] = self.copies[at]
                    .take()
                    .or(self.cluster.copy_state(proxy).ok());
                self.cluster.kill(proxy);
                (self.killed[at], self.lossy[at], self.stalled[at]) = (true, true, false);
            }
            8 if self.killed[at] => {
                match (self.rng.u32(0..3), &self.copies[at]) {
                    (0, Some(copy)) => self
                        .cluster
                        .restore_state(proxy, copy)
                        .map_err(|e| e.to_string())?,
                    (1, _) => self
                        .cluster
                        .delete_state(proxy)
                        .map_err(|e| e.to_string())?,
                    _ => {}
                }
                self.cluster.network.heal();
                self.cluster.start(proxy).await?;
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
        // Rejected if the proxy sees no majority of the fleet.
        match self.cluster.apply_by(0, &text, WITHIN_MS).await {
            Err(why) if why.contains("reaches no majority of the fleet") => return Ok(()),
            done => done?,
        }
        let bound = self.cluster.clock.now() + WITHIN_MS * 1000;
        let status = self.cluster.query(0, "/config/status").await?;
        self.bounds
            .push((status["generation"].as_u64().unwrap_or(0), bound));
        Ok(())
    }

    fn start_calls(&mut self, calls: &mut JoinSet<Result<u16, String>>) -> Result<(), String> {
        for _ in 0..self.rng.u32(3..12) {
            let proxy = self.rng.u16(0..3);
            if !self.killed[usize::from(proxy)] {
                calls.spawn(self.cluster.start_call(proxy)?);
            }
        }
        Ok(())
    }

    /// Removes all faults and waits for recovery.
    async fn recover(&mut self) -> Result<(), String> {
        self.cluster.network.heal();
        for proxy in 1..3 {
            let at = usize::from(proxy);
            if std::mem::take(&mut self.stalled[at]) {
                self.cluster
                    .daemon(proxy)?
                    .resume()
                    .map_err(|e| e.to_string())?;
            }
            if std::mem::take(&mut self.killed[at]) {
                self.cluster.start(proxy).await?;
            }
        }
        self.cluster.wait_for_all_alive().await?;
        let last = self.cluster.query(0, "/config/status").await?["generation"].clone();
        for proxy in 0..3 {
            let there = |s: &Value| s["generation"] == last && s["open"].is_null();
            self.cluster
                .wait_until(proxy, "/config/status", there)
                .await?;
        }
        Ok(())
    }
}

async fn run_faults(seed: u64) -> Result<(), String> {
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
    let mut run = FaultRun {
        cluster,
        rng,
        killed: none,
        lossy: none,
        stalled: none,
        copies,
        changes: 0,
        bounds,
    };
    let mut calls = JoinSet::new();
    for _ in 0..run.rng.u32(6..12) {
        let proxy = run.rng.u16(1..3);
        run.inject_fault(proxy).await?;
        run.start_calls(&mut calls)?;
        if run.rng.u32(0..3) == 0 {
            run.change().await?;
        }
        sleep(Duration::from_millis(run.rng.u64(100..1800))).await;
        run.start_calls(&mut calls)?;
    }
    run.recover().await?;
    run.start_calls(&mut calls)?;
    while let Some(call) = calls.join_next().await {
        // Calls to a killed proxy fail.
        if let Ok(status) = call.map_err(|e| e.to_string())? {
            assert!(
                status == 200 || status == 503 || status == 504 && run.lossy != none,
                "{status}"
            );
        }
    }
    let reached = |t: &Value| (0..3).all(|p| t["members"][p]["reached"] == true);
    let audit = run.cluster.wait_until(1, "/fleet/audit", reached).await?;
    check_audit(&run, &audit);
    Ok(())
}

fn check_audit(run: &FaultRun, audit: &Value) {
    let received = run.cluster.backend_requests();
    let mut generations: BTreeMap<String, u64> = BTreeMap::new();
    for proxy in 0..3_u16 {
        let (mut audited, mut torn) = (BTreeMap::<String, u64>::new(), false);
        for page in audit["members"][usize::from(proxy)]["pages"]
            .as_array()
            .expect("reached")
        {
            let digest = page["digest"].as_str().expect("a digest").to_string();
            generations.insert(
                digest.clone(),
                page["version"]["generation"].as_u64().expect("a number"),
            );
            *audited.entry(digest).or_default() += page["acts"]["sent"].as_u64().expect("a count");
            torn |= page["torn"] == true;
        }
        audited.retain(|_, n| *n > 0);
        let mut seen = BTreeMap::<String, u64>::new();
        for n in received.iter().filter(|n| n.proxy == proxy) {
            *seen
                .entry(
                    n.version
                        .clone()
                        .expect("every attempt carries its version"),
                )
                .or_default() += 1;
        }
        if run.lossy[usize::from(proxy)] {
            // Only activity that was not yet written when it was killed may be missing.
            assert!(
                audited
                    .iter()
                    .all(|(v, n)| seen.get(v).is_some_and(|s| n <= s)),
                "{proxy}: {audited:?} {seen:?}"
            );
            let forgotten = audit["members"][usize::from(proxy)]["since"].as_u64()
                > audit["members"][0]["since"].as_u64();
            assert!(
                audited == seen || torn || forgotten,
                "{proxy}: {audited:?} {seen:?}"
            );
        } else {
            assert_eq!(audited, seen, "proxy {proxy}");
        }
    }
    for n in &received {
        let generation = n.version.as_ref().and_then(|v| generations.get(v));
        for (required, bound) in &run.bounds {
            // A version without a page was used by a proxy before it was killed.
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
        "{} attempts, {} changes, {} bounds, lossy {:?}",
        received.len(),
        run.changes,
        run.bounds.len(),
        run.lossy
    );
}

#[tokio::test]
async fn the_audit_is_correct_after_random_faults() {
    let (from, count) = (number("FLEET_SEED", 1), number("FLEET_NIGHTS", 2));
    for seed in from..from + count {
        println!("seed {seed}");
        run_faults(seed)
            .await
            .unwrap_or_else(|e| panic!("seed {seed}: {e}"));
    }
}
