//! A randomized soak of one proxy over both protocols: clients that stay, leave, come again, flood
//! and send what is not sound; signals in series; a planned stop with the earliest kill that the
//! protocol allows. `DEPARTURES_SEED` and `DEPARTURES_RUNS` set the first seed and the number of runs.

#[path = "soak/backend.rs"]
mod backend;
#[path = "soak/clients.rs"]
mod clients;
#[path = "soak/oracle.rs"]
mod oracle;
mod rig;

use clients::Target;
use oracle::{Ledger, Protocol};
use rig::scene::classes;
use rig::*;
use serde_json::Value;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::task::JoinHandle;
use tokio::time::{sleep, sleep_until, timeout};

/// Backends of a round.
const BACKENDS: u64 = 4;
/// SIGKILL comes so long after SIGTERM and the longest deadline, at the earliest.
const KILL_MARGIN: Duration = Duration::from_millis(700);
/// How late the test itself may run; beyond it, what it timed is no evidence.
const MAX_LATENESS: Duration = Duration::from_millis(50);
/// The longest time for which a proxy is held up.
const MAX_PAUSE_MS: u64 = 140;
/// The memory limit of the rig's configuration, in KiB.
const MEMORY_LIMIT: u64 = 192 * 1024;
/// Idle clients of a crowded round; with the others, more than the proxy has connections for.
const CROWD: usize = 150;

/// Returns a time limit with room for the lateness of both sides.
fn soon_after(time: Duration) -> Duration {
    time + MAX_LATENESS + Duration::from_millis(MAX_PAUSE_MS)
}

fn number(name: &str, default: u64) -> u64 {
    std::env::var(name).map_or(default, |text| text.parse().expect("a number"))
}

/// Measures how late the test's own timers are.
async fn watch_lateness() -> Duration {
    const TICK: Duration = Duration::from_millis(5);
    let mut longest = Duration::ZERO;
    let watch = async {
        loop {
            let begun = Instant::now();
            sleep(TICK).await;
            longest = longest.max(begun.elapsed().saturating_sub(TICK));
        }
    };
    tokio::select! {
        () = watch => {}
        () = ROUND_OVER.notified() => {}
    }
    longest
}

static ROUND_OVER: tokio::sync::Notify = tokio::sync::Notify::const_new();

fn soak_settings(deadline: Duration) -> Value {
    let mut settings = settings();
    for class in settings["classes"].as_array_mut().expect("classes") {
        class["aim"] = (deadline.as_millis() as f64).into();
        class["giveUp"] = (deadline.as_millis() as f64).into();
    }
    settings["caps"]["connectTimeout"] = 250.0.into();
    settings
}

struct Round {
    discovery: Discovery,
    hosts: Vec<SocketAddr>,
    attempts: backend::Attempts,
    proxy: Proxy,
    target: Target,
    random: fastrand::Rng,
    clients: Vec<JoinHandle<()>>,
}

impl Round {
    async fn start(seed: u64) -> Round {
        let mut random = fastrand::Rng::with_seed(seed);
        let deadline = Duration::from_millis([300, 545, 1000, 3000][random.usize(0..4)]);
        let attempts = backend::Attempts::default();
        let mut hosts = Vec::new();
        for _ in 0..BACKENDS {
            hosts.push(backend::start(&attempts, random.u64(..)).await);
        }
        let discovery = Discovery::start(lines(&hosts, "SERVING")).await;
        let (proxy, jsonrpc) = start_proxy(&discovery, deadline).await;
        discovery.settled().await;
        let target = Target {
            http: proxy.addr,
            jsonrpc,
            deadline,
            until: Instant::now() + Duration::from_millis(random.u64(1500..2500)),
            ledger: Arc::<Ledger>::default(),
        };
        Round {
            discovery,
            hosts,
            attempts,
            proxy,
            target,
            random,
            clients: Vec::new(),
        }
    }

    fn start_clients(&mut self) {
        for client in 0..6 {
            let (target, random) = (self.target.clone(), self.random.fork());
            let name = format!("usual{client}");
            let usual = clients::usual(target, Protocol::Http, name, random);
            self.clients.push(tokio::spawn(usual));
        }
        for client in 0..3 {
            let (target, random) = (self.target.clone(), self.random.fork());
            let name = format!("rpc{client}");
            let usual = clients::usual(target, Protocol::JsonRpc, name, random);
            self.clients.push(tokio::spawn(usual));
        }
        for client in 0..5 {
            let (target, random) = (self.target.clone(), self.random.fork());
            let leaver = clients::leaver(target, format!("left{client}"), random);
            self.clients.push(tokio::spawn(leaver));
        }
        for client in 0..2 {
            let (target, random) = (self.target.clone(), self.random.fork());
            let leaver = clients::jsonrpc_leaver(target, format!("rpcleft{client}"), random);
            self.clients.push(tokio::spawn(leaver));
            let (target, random) = (self.target.clone(), self.random.fork());
            let bad = clients::bad(target, format!("bad{client}"), random);
            self.clients.push(tokio::spawn(bad));
        }
        if self.random.u32(0..4) == 0 {
            for _ in 0..CROWD {
                self.clients
                    .push(tokio::spawn(clients::mute(self.target.clone())));
            }
        }
    }

    /// Holds the proxy up, reloads it, and takes its backends away, one after another, until the
    /// planned stop.
    async fn disturb(&mut self) {
        while Instant::now() < self.target.until {
            match self.random.u32(0..4) {
                0 => self.pause().await,
                1 => self.reload().await,
                2 => {
                    self.change_list(&[]).await;
                    sleep(Duration::from_millis(self.random.u64(100..500))).await;
                    let hosts = self.hosts.clone();
                    self.change_list(&hosts).await;
                }
                _ => sleep(Duration::from_millis(self.random.u64(20..200))).await,
            }
        }
    }

    async fn change_list(&self, hosts: &[SocketAddr]) {
        self.discovery.tell(lines(hosts, "SERVING")).await;
    }

    async fn pause(&mut self) {
        self.proxy.send_signal("-STOP").await;
        sleep(Duration::from_millis(self.random.u64(20..MAX_PAUSE_MS))).await;
        self.proxy.send_signal("-CONT").await;
        sleep(Duration::from_millis(MAX_PAUSE_MS)).await;
    }

    async fn reload(&mut self) {
        for _ in 0..self.random.u32(1..4) {
            self.proxy.send_signal("-HUP").await;
        }
    }

    /// Stops the proxy with signals in series, and kills it at the earliest moment.
    async fn stop(&mut self) {
        self.target.ledger.stop();
        self.proxy.send_signal("-TERM").await;
        let kill_at = Instant::now() + self.target.deadline + KILL_MARGIN;
        for _ in 0..self.random.u32(0..3) {
            sleep(Duration::from_millis(self.random.u64(0..200))).await;
            match self.random.u32(0..3) {
                0 => self.try_signal("-TERM").await,
                1 => self.try_signal("-HUP").await,
                _ => {
                    self.try_signal("-STOP").await;
                    sleep(Duration::from_millis(self.random.u64(20..MAX_PAUSE_MS))).await;
                    self.try_signal("-CONT").await;
                }
            }
        }
        let left = kill_at.saturating_duration_since(Instant::now());
        match timeout(left, self.proxy.ended()).await {
            Ok(status) if status.code() == Some(0) => self.check_last_words().await,
            Ok(status) => self
                .target
                .ledger
                .fault(format!("the proxy ended with {status}")),
            Err(_) => {
                let (_, peak) = self.proxy.used();
                self.check_peak(peak);
                self.proxy.kill().await;
            }
        }
    }

    /// Sends a signal to a process that may have ended.
    async fn try_signal(&mut self, signal: &str) {
        if !self.proxy.has_ended() {
            self.proxy.send_signal(signal).await;
        }
    }

    fn check_peak(&self, peak: u64) {
        if peak > MEMORY_LIMIT {
            self.target.ledger.fault(format!("{peak} KiB of memory"));
        }
    }

    /// Looks for violations that the proxy counted itself.
    async fn check_last_words(&mut self) {
        let text = self.proxy.last_words().await;
        let counts: Value = serde_json::from_str(&text).expect("JSON");
        let violations = counts["violations"].as_object().expect("violations");
        for (rule, count) in violations.iter().filter(|(_, count)| **count != 0) {
            self.target
                .ledger
                .fault(format!("the proxy counted {count} {rule}"));
        }
    }
}

fn lines(hosts: &[SocketAddr], health: &str) -> Vec<Value> {
    const NAMES: [&str; BACKENDS as usize] = ["a", "b", "c", "d"];
    let named = hosts.iter().zip(NAMES);
    named
        .map(|(host, name)| line(name, *host, health))
        .collect()
}

async fn start_proxy(discovery: &Discovery, deadline: Duration) -> (Proxy, SocketAddr) {
    let deadline_ms = deadline.as_millis() as u32;
    let method = |name: &str, key: &str| {
        format!("[[listener.method]]\nname = \"claims.{name}\"\nclass = \"{name}\"\n{key}\n")
    };
    let routes = format!(
        "[[pool]]\nname = \"p\"\nregistry = \"default\"\nrpc = {{ calls = 1, declined = -32050 }}\n{}\
         [[route]]\nname = \"all\"\npool = \"p\"\n\
         [[listener]]\nname = \"claims\"\nlisten = \"127.0.0.1:0\"\nprotocol = \"json-rpc\"\n\
         tenant = \"acme\"\n{}{}{}",
        classes(deadline_ms, deadline_ms),
        method("look", ""),
        method("keep", "key = \"/claim/id\""),
        method("once", ""),
    );
    let mut config = discovery.config(soak_settings(deadline));
    config["admin"] = "127.0.0.1:0".into();
    config["routes"] = write_file(".toml", &routes).to_str().expect("text").into();
    config["probation_ms"] = 20.into();
    let (proxy, listeners, _) = Proxy::start_with_listeners(&config, &["claims"]).await;
    (proxy, listeners[0])
}

/// Plays a round; returns what was broken, unless the test itself ran late.
async fn play(seed: u64) -> Option<Vec<String>> {
    let lateness = tokio::spawn(watch_lateness());
    let mut round = Round::start(seed).await;
    round.start_clients();
    round.disturb().await;
    let until = round.target.until;
    sleep_until(until.into()).await;
    round.stop().await;
    for client in std::mem::take(&mut round.clients) {
        soon(client).await.expect("no panic");
    }
    ROUND_OVER.notify_one();
    let lateness = lateness.await.expect("no panic");
    let faults = round.target.ledger.judge(&round.attempts);
    let (answered, served) = round.target.ledger.counts();
    let attempts = round.attempts.lock().expect("sound").len();
    println!(
        "seed {seed}: deadline {:?}, {answered} answered, {served} served, {attempts} attempts, \
         test late by {lateness:?}, {} faults",
        round.target.deadline,
        faults.len()
    );
    (lateness <= MAX_LATENESS).then_some(faults)
}

#[tokio::test]
async fn the_rules_hold_while_clients_leave_and_the_proxy_stops() {
    let (first, runs) = (number("DEPARTURES_SEED", 1), number("DEPARTURES_RUNS", 10));
    let (mut void, mut failed) = (Vec::new(), Vec::new());
    for seed in first..first + runs {
        match play(seed).await {
            None => void.push(seed),
            Some(faults) if faults.is_empty() => {}
            Some(faults) => {
                println!("{}", faults.join("\n"));
                failed.push(seed);
            }
        }
    }
    println!("void: {void:?}, failed: {failed:?}");
    assert!(failed.is_empty(), "seeds that broke a rule: {failed:?}");
    assert!(void.len() < runs as usize, "every run was late itself");
}
