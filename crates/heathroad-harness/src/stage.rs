//! One rehearsal, put on: daemons, backends and registry are started, the load is driven, faults
//! strike by the plan, and everything is ended again. What was seen is handed on as ledgers;
//! nothing is judged here.

use crate::clock::{Clock, Micros, SECOND};
use crate::daemon::{self, Daemon, Usage};
use crate::ledger::{Act, Did, Health, HostNo, Ledgers, ProxyNo};
use crate::load::{self, Driven, Front, Progress};
use crate::plan::{Plan, Planned, quotas};
use crate::scenario::{Effect, Group, What};
use crate::stand_in::backend::{Backend, Mode, World, doors, memories};
use crate::stand_in::gate::{self, Gate};
use crate::stand_in::machine::{Machine, Make};
use crate::stand_in::memory::Memory;
use crate::stand_in::network::Network;
use crate::stand_in::registry::{self, Registry, ZONE};
use fastrand::Rng;
use hdrhistogram::Histogram;
use serde_json::{Value, json};
use std::cell::{Cell, RefCell};
use std::net::{IpAddr, Ipv4Addr};
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;
use tokio::sync::watch;
use tokio::task::{JoinHandle, JoinSet, LocalSet, spawn_local};
use tokio::time::{Instant, sleep, sleep_until};

/// Pause between all being ready and the first arrival.
const WARM_UP: Duration = Duration::from_millis(300);
/// How often the proxies of the first tier are asked for their counts.
const SAMPLE: Duration = Duration::from_millis(250);
/// How often the stage looks whether it is on time itself.
const BEAT: Duration = Duration::from_millis(5);
/// How often processes are looked at that should be running.
const WATCH: Duration = Duration::from_millis(200);
/// The layer before the proxies notices a death after this.
const NOTICE: Duration = Duration::from_millis(1000);
/// A planned stop may take so long; longer is a kill.
const STOP: Duration = Duration::from_secs(6);
/// Work that nobody waits for any more gets so long to end by itself after the load.
const SETTLE: Duration = Duration::from_millis(500);
/// The gate looks at tokens, and one act in fifty comes late, by up to two seconds.
const GATE: gate::Options = gate::Options {
    checks: true,
    late: 0.02,
    by: Duration::from_secs(2),
    seed: 1,
};
/// A duty's holder acts so often.
const ACTS: Duration = Duration::from_millis(50);
/// The fleet's audit is asked for so long after the load.
const AUDIT: Duration = Duration::from_secs(10);
/// A process that is held up again and again runs for so long in between, in milliseconds.
const RUNS_BETWEEN_PAUSES_MS: [f64; 2] = [30.0, 600.0];
/// Daemons started side by side.
const STARTS: usize = 8;

/// What a rehearsal is put on with.
pub struct Setting {
    /// The daemon's program.
    pub program: PathBuf,
    /// What is rehearsed.
    pub plan: Arc<Plan>,
    /// How far the load is.
    pub progress: Arc<Progress>,
    /// Ends it early.
    pub stop: watch::Receiver<bool>,
}

/// What was seen.
pub struct Seen {
    /// What was planned, by the ledgers' clock.
    pub plan: Arc<Plan>,
    /// The ledgers.
    pub ledgers: Ledgers,
    /// Names of the proxies, by number.
    pub proxies: Vec<String>,
    /// The tier that each sends to.
    pub proxy_tier: Vec<u8>,
    /// Names of the hosts, by number.
    pub hosts: Vec<String>,
    /// Cells of the hosts.
    pub cells: Vec<u16>,
    /// Makes of the hosts' machines.
    pub makes: Vec<Make>,
    /// Every process' last counts, with its proxy.
    pub counts: Vec<Counted>,
    /// The limit, calls in flight and descriptors of the first tier's proxies, through time.
    pub samples: Vec<Sample>,
    /// What became of changes of routes, with the proxy.
    pub changes: Vec<(ProxyNo, String)>,
    /// The fleet's audit at the end, asked of its first proxy, where there is a fleet.
    pub audit: Option<Value>,
    /// What the duty's holders did, where there is one.
    pub duty: Option<Vec<gate::Act>>,
    /// Generations that were required, and from when on.
    pub bounds: Vec<(u64, Micros)>,
    /// How late the driver began first tries.
    pub driver_late: Histogram<u64>,
    /// How late the stage itself was.
    pub stage_late: Histogram<u64>,
    /// First tries that the driver could not begin.
    pub dropped: u64,
    /// Tries and connections that failed for want of descriptors at the driver and the stand-ins.
    pub starved: u64,
    /// It was ended early.
    pub interrupted: bool,
    /// What went wrong with the rehearsal itself.
    pub troubles: Vec<String>,
}

/// The last word of one daemon process.
#[derive(Debug, Clone)]
pub struct Counted {
    /// Whose.
    pub proxy: ProxyNo,
    /// Its counts; none if it was killed or has crashed.
    pub counts: Option<Value>,
    /// What it used.
    pub usage: Usage,
}

/// A look at a proxy.
#[derive(Debug, Clone)]
pub struct Sample {
    /// When.
    pub at: Micros,
    /// Which.
    pub proxy: ProxyNo,
    /// Its limit.
    pub limit: f64,
    /// Its calls in flight.
    pub in_flight: f64,
}

/// A proxy's place on the stage.
struct Slot {
    name: String,
    tier: usize,
    /// The backend that it belongs to; none in the first tier.
    owner: Option<HostNo>,
    copy: usize,
    copies: usize,
    file: PathBuf,
    daemon: RefCell<Option<Daemon>>,
    /// Its present registry address, and the task that answers there.
    registry: RefCell<Option<(std::net::SocketAddr, JoinHandle<()>)>>,
    /// It is not meant to run.
    away: Cell<bool>,
}

struct Stage {
    setting: Setting,
    world: Rc<World>,
    hosts: RefCell<Vec<Rc<Backend>>>,
    slots: Vec<Slot>,
    registry: Rc<Registry>,
    front: Arc<Front>,
    counts: RefCell<Vec<Counted>>,
    samples: RefCell<Vec<Sample>>,
    changes: RefCell<Vec<(ProxyNo, String)>>,
    network: Option<Network>,
    gate: Option<Gate>,
    audit: RefCell<Option<Value>>,
    bounds: RefCell<Vec<(u64, Micros)>>,
    stage_late: RefCell<Histogram<u64>>,
    troubles: RefCell<Vec<String>>,
    ip: Cell<[u8; 3]>,
}

/// A loopback network of this process's own, so that a port that a stand-in has left is taken by
/// nobody else.
pub fn network() -> [u8; 3] {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let id =
        std::process::id().wrapping_add(NEXT.fetch_add(1, Ordering::Relaxed).wrapping_mul(7919));
    [127, 16 + (id % 224) as u8, (id / 224 % 250) as u8]
}

/// Puts a rehearsal on. What can't be put on is an error in one line.
pub fn run(setting: Setting) -> Result<Seen, String> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let runtime = runtime.map_err(|e| format!("runtime: {e}"))?;
    LocalSet::new().block_on(&runtime, async {
        let folder = std::env::temp_dir().join(format!(
            "heathroad-harness-{}-{:x}",
            std::process::id(),
            Rng::new().u32(..)
        ));
        std::fs::create_dir(&folder).map_err(|e| format!("{}: {e}", folder.display()))?;
        let done = put_on(setting, folder.clone()).await;
        // Nothing stays behind; what can't be removed was not written.
        let _ = std::fs::remove_dir_all(&folder);
        done
    })
}

async fn put_on(setting: Setting, folder: PathBuf) -> Result<Seen, String> {
    let plan = setting.plan.clone();
    let clock = Clock::starting_in(Duration::ZERO);
    let world = World::new(clock, plan.clone());
    let gate = match plan.scenario.fleet.as_ref().and_then(|f| f.lease_ms) {
        Some(_) => Some(
            Gate::open(clock, GATE)
                .await
                .map_err(|e| format!("gate: {e}"))?,
        ),
        None => None,
    };
    let stage = Rc::new(Stage::build(setting, world, folder, gate)?);
    stage.start_backends().await?;
    stage.start_proxies().await?;
    let plan = Arc::new(plan.starting_at(clock.now() + WARM_UP.as_micros() as Micros));
    let driven = stage.play(&plan).await?;
    stage.end(plan, driven).await
}

impl Stage {
    fn build(
        setting: Setting,
        world: Rc<World>,
        folder: PathBuf,
        gate: Option<Gate>,
    ) -> Result<Stage, String> {
        let scenario = &setting.plan.scenario;
        let mut slots = Vec::new();
        let mut slot = |name: String, tier, owner, copy: usize, copies| {
            let file = folder.join(format!("{name}.json"));
            let (daemon, registry, away) =
                (RefCell::default(), RefCell::default(), Cell::new(true));
            slots.push(Slot {
                name,
                tier,
                owner,
                copy,
                copies,
                file,
                daemon,
                registry,
                away,
            });
        };
        let proxies = usize::from(scenario.run.proxies);
        (0..proxies).for_each(|i| slot(format!("proxy-{}", i + 1), 0, None, i, proxies));
        let mut no = 0;
        for (tier, t) in scenario.tier.iter().enumerate() {
            let calls = tier + 1 < scenario.tier.len() && t.calls > 0;
            for i in 0..usize::from(t.backends) {
                if calls {
                    let name = format!("{}-{}-proxy", t.name, i + 1);
                    slot(name, tier + 1, Some(no), i, usize::from(t.backends));
                }
                no += 1;
            }
        }
        let between = match &scenario.fleet {
            None => None,
            Some(fleet) => {
                let duty = gate
                    .as_ref()
                    .zip(fleet.lease_ms)
                    .map(|(gate, lease)| gate.duty(lease, ACTS));
                let duties = duty.unwrap_or_default();
                daemon::fleet_files(
                    &folder,
                    fleet.period_ms,
                    fleet.fence_unsure_after_ms,
                    &duties,
                )
                .map_err(|e| format!("{}: {e}", folder.display()))?;
                let network = Network::begin(
                    network(),
                    scenario.run.proxies,
                    setting.plan.seed,
                    world.clock,
                );
                Some(network.map_err(|e| format!("network: {e}"))?)
            }
        };
        let registry = Registry::new(&world, scenario.tier.len());
        let stage_late = Histogram::new_with_max(600_000_000, 3).map_err(|e| e.to_string())?;
        let stage = Stage {
            setting,
            world,
            hosts: RefCell::default(),
            slots,
            registry,
            front: Arc::default(),
            counts: RefCell::default(),
            samples: RefCell::default(),
            changes: RefCell::default(),
            network: between,
            gate,
            audit: RefCell::default(),
            bounds: RefCell::default(),
            stage_late: RefCell::new(stage_late),
            troubles: RefCell::default(),
            ip: Cell::new(network()),
        };
        stage.build_hosts()?;
        Ok(stage)
    }

    fn build_hosts(&self) -> Result<(), String> {
        let plan = self.world.plan.clone();
        for (tier, t) in plan.scenario.tier.iter().enumerate() {
            let memories = memories(&plan, t.backends.div_ceil(2));
            let senders: Vec<ProxyNo> = self.senders(tier);
            for i in 0..t.backends {
                let ip = self.ip();
                let doors = doors(ip, &senders).map_err(|e| format!("{ip}: {e}"))?;
                let name = format!("{}-{}", t.name, i + 1);
                let host = self.host(
                    tier,
                    name,
                    i / 2,
                    memories[usize::from(i / 2)].clone(),
                    doors,
                );
                host.kind.replace(plan.scenario.kind(tier, i).to_string());
            }
        }
        // Those that will come up at another's address, down until then.
        for (n, fault) in plan
            .faults
            .iter()
            .enumerate()
            .filter(|(_, f)| f.what == What::Replace)
        {
            for v in &fault.victims {
                let old = self.victim(fault.tier, *v);
                self.host(
                    old.tier,
                    format!("{}-new{}", old.name, n + 1),
                    old.cell,
                    old.memory(),
                    old.doors(),
                );
            }
        }
        Ok(())
    }

    fn host(
        &self,
        tier: usize,
        name: String,
        cell: u16,
        memory: Rc<RefCell<Memory>>,
        doors: Vec<(ProxyNo, std::net::SocketAddr)>,
    ) -> Rc<Backend> {
        let plan = &self.world.plan;
        let (t, rules) = (&plan.scenario.tier[tier], &plan.scenario.rules);
        let no = self.hosts.borrow().len() as HostNo;
        // Machines of one kind are not alike.
        let unlike = 0.9 + 0.2 * Rng::with_seed(plan.seed ^ u64::from(no)).f64();
        let micros = |ms: f64| (ms * 1000.0) as Micros;
        let make = Make {
            cores: t.cores,
            speed: t.speed * unlike,
            cold_from: t.cold_from,
            cold: micros(t.cold_s * 1000.0),
            warm_requests: t.warm_requests,
            fall_multiple: rules.fall_multiple,
            fall: micros(rules.fall_ms),
        };
        let machine = Machine::new(make, self.world.clock);
        let host = Backend::new(&self.world, (no, name, tier, cell), machine, memory, doors);
        self.registry.know(&host);
        self.hosts.borrow_mut().push(host.clone());
        host
    }

    fn ip(&self) -> IpAddr {
        let [a, b, c] = self.ip.get();
        let host = self.hosts.borrow().len() as u8 % 250 + 1;
        IpAddr::V4(Ipv4Addr::new(a, b, c, host))
    }

    /// The proxies that send to a tier.
    fn senders(&self, tier: usize) -> Vec<ProxyNo> {
        (0..self.slots.len())
            .filter(|i| self.slots[*i].tier == tier)
            .map(|i| i as ProxyNo)
            .collect()
    }

    fn victim(&self, tier: usize, number: u16) -> Rc<Backend> {
        let hosts = self.hosts.borrow();
        let of_tier = hosts
            .iter()
            .filter(|h| h.tier == tier)
            .nth(usize::from(number));
        of_tier.unwrap_or(&hosts[0]).clone()
    }

    async fn start_backends(&self) -> Result<(), String> {
        let hosts: Vec<_> = self
            .hosts
            .borrow()
            .iter()
            .filter(|h| !h.name.contains("-new"))
            .cloned()
            .collect();
        for host in hosts {
            host.start(true)
                .await
                .map_err(|e| format!("{}: {e}", host.name))?;
            self.registry.publish(&host, Health::Serving);
        }
        Ok(())
    }

    async fn start_proxies(self: &Rc<Self>) -> Result<(), String> {
        // The tier at the end first: who calls another must find it there.
        let mut order: Vec<usize> = (0..self.slots.len()).collect();
        order.sort_by_key(|i| std::cmp::Reverse(self.slots[*i].tier));
        for some in order.chunks(STARTS) {
            // Together: where each waits for more than half of its fellows, none is ready alone.
            let mut starting = JoinSet::new();
            for i in some {
                let (stage, no) = (self.clone(), *i as ProxyNo);
                starting.spawn_local(async move { stage.start_proxy(no).await });
            }
            while let Some(started) = starting.join_next().await {
                started.map_err(|e| e.to_string())??;
            }
        }
        Ok(())
    }

    async fn registry_address(&self, no: ProxyNo) -> Result<std::net::SocketAddr, String> {
        let slot = &self.slots[usize::from(no)];
        let [a, b, c] = self.ip.get();
        let ip = IpAddr::V4(Ipv4Addr::new(a, b, c, 254));
        let (listener, addr) = Registry::address(ip)
            .await
            .map_err(|e| format!("registry: {e}"))?;
        let task = self.registry.serve(slot.tier, no, listener);
        if let Some((_, old)) = slot.registry.replace(Some((addr, task))) {
            spawn_local(async move {
                sleep(registry::LEAVE).await;
                old.abort();
            });
        }
        Ok(addr)
    }

    async fn start_proxy(&self, no: ProxyNo) -> Result<(), String> {
        let slot = &self.slots[usize::from(no)];
        // Where faults overlap, another one's end has started it.
        if slot.daemon.borrow().is_some() {
            return Ok(());
        }
        let at = slot.registry.borrow().as_ref().map(|(addr, _)| *addr);
        let registry = match at {
            Some(addr) => addr,
            None => self.registry_address(no).await?,
        };
        let sockets = self.world.plan.scenario.run.sockets;
        let mut config = self.config(slot, registry);
        if let Some(text) = self
            .world
            .plan
            .scenario
            .routes
            .as_ref()
            .filter(|_| slot.tier == 0)
        {
            let file = slot.file.with_extension("toml");
            std::fs::write(&file, text).map_err(|e| format!("{}: {e}", file.display()))?;
            config["routes"] = file.display().to_string().into();
            config["probation_ms"] =
                ((self.world.plan.scenario.run.probation_s * 1000.0) as u64).into();
        }
        if let Some(network) = self.network.as_ref().filter(|_| slot.tier == 0) {
            let state = slot.file.with_extension("state");
            if !state.exists() {
                std::fs::create_dir(&state).map_err(|e| format!("{}: {e}", state.display()))?;
            }
            let peers: Vec<String> = network.peers(no).iter().map(ToString::to_string).collect();
            config["fleet"] = slot
                .file
                .with_file_name("fleet.toml")
                .display()
                .to_string()
                .into();
            config["peer_listen"] = network.listens(no).to_string().into();
            config["peers"] = peers.into();
            config["state"] = state.display().to_string().into();
        }
        let daemon = daemon::start(&self.setting.program, &slot.file, &config, sockets).await?;
        if slot.daemon.borrow().is_some() {
            // Started twice at once: this one has served nobody yet.
            return Ok(());
        }
        let (listens, remote) = (daemon.listens, daemon.remote);
        slot.daemon.replace(Some(daemon));
        slot.away.set(false);
        self.act(no, Did::Started);
        match slot.owner {
            None => self.front.put(no, listens, remote),
            Some(owner) => self.hosts.borrow()[usize::from(owner)]
                .side
                .set(Some((no, listens))),
        }
        Ok(())
    }

    fn act(&self, proxy: ProxyNo, what: Did) {
        self.acted(self.world.clock.now(), proxy, what);
    }

    /// An act that was begun at a time is done.
    fn acted(&self, at: Micros, proxy: ProxyNo, what: Did) {
        let until = self.world.clock.now();
        self.world.ledgers.borrow_mut().acts.push(Act {
            at,
            until,
            proxy,
            what,
        });
    }

    fn config(&self, slot: &Slot, registry: std::net::SocketAddr) -> Value {
        let (plan, s) = (&self.world.plan, &self.world.plan.scenario);
        let class = |c: &crate::scenario::Class| {
            let semantics = match c.effect {
                Effect::Safe => "retryable",
                Effect::Keyed => "dedup",
                Effect::Unsafe => "fragile",
            };
            let group = if c.group == Group::All { "all" } else { "cell" };
            json!({"name": c.name, "aim": c.aim_ms, "giveUp": c.deadline_ms, "points": c.worth,
                "lateWorth": c.late_worth, "semantics": semantics, "group": group, "window": c.window_ms})
        };
        let tenants: Vec<Value> = match slot.tier {
            0 => s
                .tenant
                .iter()
                .zip(quotas(s))
                .map(|(t, q)| json!({"name": t.name, "quotaPerS": q}))
                .collect(),
            _ => Vec::new(),
        };
        let tier = &s.tier[slot.tier];
        // Clients come from outside; whoever calls a proxy behind the first tier is a server of the
        // chain.
        let inner: &[&str] = if slot.tier == 0 { &[] } else { &["127.0.0.1"] };
        let budget = s.budget.as_ref().map(|b| {
            json!({"name": format!("to-{}", tier.name), "inner": inner, "lends": slot.tier + 1 < s.tier.len(),
                "attempts": b.attempts, "share": b.share, "depth": b.depth})
        });
        json!({
            "budget": budget,
            "name": slot.name, "listen": "127.0.0.1:0", "admin": "127.0.0.1:0",
            "discovery": registry.to_string(),
            "seed": format!("{:x}", crate::stand_in::backend::mix(plan.seed, slot.copy as u64 + 1)),
            "limits": {"cores": 1.0, "memory_mb": s.run.memory_mb, "sockets": s.run.sockets},
            "settings": {
                "slotNo": slot.copy, "peersTotal": slot.copies, "tier": slot.tier, "locality": 0,
                "localities": [ZONE], "tick": 5.0, "overShareWorth": s.run.over_share_worth,
                "discovery": "automatic", "tenants": tenants,
                "classes": s.class.iter().map(class).collect::<Vec<_>>(),
                "caps": {"cancelling": true, "mayDuplicate": true, "retryAfter": s.run.retry_after_ms > 0.0,
                    "maxRetryAfter": s.run.retry_after_ms, "tryLimit": 6, "openCap": 20_000,
                    "connIdle": s.run.conn_idle_ms, "connectTimeout": s.run.connect_timeout_ms},
                "guarantees": {"coldFrom": tier.cold_from, "cold": tier.cold_s * 1000.0,
                    "fallMultiple": s.rules.fall_multiple, "fall": s.rules.fall_ms,
                    "stopSendingWithin": s.rules.drain_grace_ms, "graceToAnswer": s.rules.answer_grace_ms},
                "goal": {"whole": 0.4, "worstWindow": 0.1, "worstClass": 0.1, "worstTenant": 0.4}
            }
        })
    }

    /// Drives the load while faults strike.
    async fn play(self: &Rc<Self>, plan: &Arc<Plan>) -> Result<Driven, String> {
        let mut beside = JoinSet::new();
        beside.spawn_local(self.clone().sample());
        beside.spawn_local(self.clone().beat());
        beside.spawn_local(self.clone().watch());
        let (front, progress, stop) = (
            self.front.clone(),
            self.setting.progress.clone(),
            self.setting.stop.clone(),
        );
        let driver = load::start(plan.clone(), self.world.clock, front, progress, stop);
        let mut faults = JoinSet::new();
        for fault in &plan.faults {
            let (stage, fault) = (self.clone(), fault.clone());
            faults.spawn_local(async move {
                stage.world.clock.until(fault.at).await;
                if let Err(e) = stage.strike(&fault).await {
                    stage.troubles.borrow_mut().push(e);
                }
            });
        }
        for (n, change) in plan.scenario.change.iter().enumerate() {
            let named = |no: &ProxyNo| {
                change
                    .on
                    .as_ref()
                    .is_none_or(|on| self.slots[usize::from(*no)].name == *on)
            };
            for no in self.senders(0).into_iter().filter(named) {
                let (stage, at) = (
                    self.clone(),
                    plan.start + (change.at_s * SECOND as f64) as Micros,
                );
                beside.spawn_local(async move {
                    stage.world.clock.until(at).await;
                    let became = stage.change(n, no).await.unwrap_or_else(|e| e);
                    stage.changes.borrow_mut().push((no, became));
                });
            }
        }
        while !driver.is_finished() {
            sleep(Duration::from_millis(20)).await;
        }
        let driven = driver
            .join()
            .map_err(|_| "the driver panicked".to_string())?;
        let mut stop = self.setting.stop.clone();
        let last = Instant::now() + STOP;
        // What has begun to strike is let end, so that no start is left half-way.
        while !*stop.borrow_and_update() {
            tokio::select! {
                ended = faults.join_next() => if ended.is_none() { break },
                _ = stop.changed() => {}
                () = sleep_until(last) => break,
            }
        }
        faults.shutdown().await;
        beside.shutdown().await;
        sleep(SETTLE).await;
        driven
    }

    async fn sample(self: Rc<Self>) {
        loop {
            for no in self.senders(0) {
                let slot = &self.slots[usize::from(no)];
                let admin = slot
                    .daemon
                    .borrow()
                    .as_ref()
                    .filter(|_| !slot.away.get())
                    .map(|d| d.admin);
                let Some(admin) = admin else { continue };
                let Ok((200, body)) = daemon::get(admin, "/counts").await else {
                    continue;
                };
                let Ok(counts) = serde_json::from_slice::<Value>(&body) else {
                    continue;
                };
                let figure = |name: &str| counts[name].as_f64().unwrap_or(0.0);
                let (at, limit, in_flight) =
                    (self.world.clock.now(), figure("limit"), figure("in_flight"));
                self.samples.borrow_mut().push(Sample {
                    at,
                    proxy: no,
                    limit,
                    in_flight,
                });
            }
            sleep(SAMPLE).await;
        }
    }

    /// Proposes a change to a proxy, and waits for what becomes of it.
    async fn change(&self, n: usize, no: ProxyNo) -> Result<String, String> {
        let admin = self.slots[usize::from(no)]
            .daemon
            .borrow()
            .as_ref()
            .map(|d| d.admin);
        let admin = admin.ok_or("given up: the proxy was away")?;
        let begun = self.world.clock.now();
        let change = &self.world.plan.scenario.change[n];
        let path = change
            .required_ms
            .map(|ms| format!("/config/apply?required_ms={ms}"));
        let path = path.as_deref().unwrap_or("/config/apply");
        let (status, said) = daemon::post(admin, path, &change.routes)
            .await
            .map_err(|e| e.to_string())?;
        if status != 200 {
            return Err(format!("turned down: {}", String::from_utf8_lossy(&said)));
        }
        loop {
            sleep(WATCH / 4).await;
            let Ok((200, body)) = daemon::get(admin, "/config/status").await else {
                continue;
            };
            let Ok(status) = serde_json::from_slice::<Value>(&body) else {
                continue;
            };
            if status["open"].is_null() {
                let last = status["told"]
                    .as_array()
                    .and_then(|t| t.last()?.as_str())
                    .unwrap_or_default();
                if let (Some(ms), Some(generation)) =
                    (change.required_ms, status["generation"].as_u64())
                {
                    self.bounds
                        .borrow_mut()
                        .push((generation, self.world.clock.now() + ms * 1000));
                }
                let after = self.world.clock.now().saturating_sub(begun) as f64 / SECOND as f64;
                return Ok(format!("{last}, {after:.1} s after it was proposed"));
            }
        }
    }

    /// Measures how late this thread is: what it stands in for would be as late.
    async fn beat(self: Rc<Self>) {
        loop {
            let due = Instant::now() + BEAT;
            sleep_until(due).await;
            self.stage_late
                .borrow_mut()
                .saturating_record(due.elapsed().as_micros() as u64);
        }
    }

    async fn watch(self: Rc<Self>) {
        loop {
            sleep(WATCH).await;
            for (no, slot) in self.slots.iter().enumerate() {
                if slot.away.get() {
                    continue;
                }
                let ended = slot.daemon.borrow_mut().as_mut().and_then(Daemon::ended);
                if let Some(status) = ended {
                    slot.away.set(true);
                    self.act(no as ProxyNo, Did::Crashed);
                    self.front.take(no as ProxyNo);
                    self.troubles
                        .borrow_mut()
                        .push(format!("{} ended by itself: {status}", slot.name));
                }
            }
        }
    }

    /// The proxy that belongs to a backend.
    fn side(&self, host: &Backend) -> Option<ProxyNo> {
        self.slots
            .iter()
            .position(|s| s.owner == Some(host.no))
            .map(|i| i as ProxyNo)
    }

    fn kill_proxy(&self, no: ProxyNo) {
        let slot = &self.slots[usize::from(no)];
        slot.away.set(true);
        let daemon = slot.daemon.take();
        if let Some(mut daemon) = daemon {
            let (usage, begun) = (daemon.usage(), self.world.clock.now());
            daemon.kill();
            self.acted(begun, no, Did::Killed);
            self.counts.borrow_mut().push(Counted {
                proxy: no,
                counts: None,
                usage,
            });
        }
    }

    async fn stop_proxy(&self, no: ProxyNo) {
        let slot = &self.slots[usize::from(no)];
        slot.away.set(true);
        let daemon = slot.daemon.take();
        if let Some(daemon) = daemon {
            self.act(no, Did::Stopped);
            // One that a pause holds up could not take the signal.
            if let Err(e) = daemon.wake().and_then(|()| daemon.terminate()) {
                self.troubles
                    .borrow_mut()
                    .push(format!("{}: {e}", slot.name));
            }
            let usage = daemon.usage();
            let (counts, well) = daemon.finish(STOP).await;
            if !well {
                self.act(no, Did::Crashed);
                self.troubles
                    .borrow_mut()
                    .push(format!("{} did not stop as planned", slot.name));
            }
            self.counts.borrow_mut().push(Counted {
                proxy: no,
                counts,
                usage,
            });
        }
    }

    async fn strike(self: &Rc<Self>, fault: &Planned) -> Result<(), String> {
        let until = fault.until;
        let clock = self.world.clock;
        match fault.what {
            What::StallProxy => {
                let begun = clock.now();
                self.still(&fault.victims, Daemon::stall)?;
                clock.until(until).await;
                self.still(&fault.victims, Daemon::wake)?;
                fault
                    .victims
                    .iter()
                    .for_each(|no| self.acted(begun, *no, Did::Stalled));
            }
            What::PauseProxy => {
                let mut pausing = JoinSet::new();
                for no in fault.victims.iter().copied() {
                    let (stage, longest) = (self.clone(), fault.size);
                    pausing.spawn_local(async move {
                        stage.pause_again_and_again(no, longest, until).await
                    });
                }
                while let Some(ended) = pausing.join_next().await {
                    ended.map_err(|e| e.to_string())??;
                }
            }
            What::CutProxy | What::DeafProxy => {
                let cut = |cut: bool| {
                    let Some(network) = &self.network else { return };
                    let others = self
                        .senders(0)
                        .into_iter()
                        .filter(|no| !fault.victims.contains(no));
                    for (other, victim) in
                        others.flat_map(|o| fault.victims.iter().map(move |v| (o, *v)))
                    {
                        network.way(other, victim, |w| w.cut = cut);
                        if fault.what == What::CutProxy {
                            network.way(victim, other, |w| w.cut = cut);
                        }
                    }
                };
                cut(true);
                clock.until(until).await;
                cut(false);
            }
            What::KillProxy | What::StopProxy | What::ReloadProxy => {
                for no in &fault.victims {
                    self.strike_proxy(fault.what, *no, until).await?;
                }
            }
            What::RegistryLate => {
                self.registry
                    .delay
                    .set((fault.size * SECOND as f64) as Micros);
                clock.until(until).await;
                self.registry.delay.set(0);
            }
            What::RegistryDown => {
                self.registry.set_down(true);
                clock.until(until).await;
                self.registry.set_down(false);
            }
            What::RegistryDisorder => {
                self.registry.disorder.set(true);
                clock.until(until).await;
                self.registry.disorder.set(false);
            }
            What::RegistryClock => {
                self.registry.off_ms.set(fault.size * 1000.0);
                clock.until(until).await;
                self.registry.off_ms.set(0.0);
            }
            _ => {
                let mut struck = JoinSet::new();
                for v in &fault.victims {
                    let (stage, fault) = (self.clone(), fault.clone());
                    let host = self.victim(fault.tier, *v);
                    struck.spawn_local(
                        async move { stage.strike_backend(&fault, &host, until).await },
                    );
                }
                while let Some(ended) = struck.join_next().await {
                    ended.map_err(|e| e.to_string())??;
                }
            }
        }
        Ok(())
    }

    /// Holds a process up, lets it run for a while, and so on until a time.
    async fn pause_again_and_again(
        &self,
        no: ProxyNo,
        longest_ms: f64,
        until: Micros,
    ) -> Result<(), String> {
        let clock = self.world.clock;
        let mut rng = Rng::with_seed(self.world.plan.seed ^ until ^ u64::from(no));
        let drawn = |rng: &mut Rng, [from, to]: [f64; 2]| {
            Duration::from_secs_f64((from + (to - from) * rng.f64()) / 1e3)
        };
        while clock.now() < until {
            self.still(&[no], Daemon::stall)?;
            sleep(drawn(&mut rng, [longest_ms / 15.0, longest_ms])).await;
            self.still(&[no], Daemon::wake)?;
            sleep(drawn(&mut rng, RUNS_BETWEEN_PAUSES_MS)).await;
        }
        Ok(())
    }

    /// Holds processes still, or lets them go on.
    fn still(
        &self,
        proxies: &[ProxyNo],
        how: fn(&Daemon) -> std::io::Result<()>,
    ) -> Result<(), String> {
        for no in proxies {
            let slot = &self.slots[usize::from(*no)];
            let done = slot.daemon.borrow().as_ref().map(how);
            done.unwrap_or(Ok(()))
                .map_err(|e| format!("{}: {e}", slot.name))?;
        }
        Ok(())
    }

    /// The fleet's audit once all are reached, or as it is in the end.
    async fn audit(&self) {
        let admin = self.slots[0].daemon.borrow().as_ref().map(|d| d.admin);
        let Some(admin) = admin.filter(|_| self.network.is_some()) else {
            return;
        };
        let last = Instant::now() + AUDIT;
        while Instant::now() < last {
            if let Ok((200, body)) = daemon::get_within(admin, "/fleet/audit", AUDIT).await {
                let audit: Option<Value> = serde_json::from_slice(&body).ok();
                let all = |a: &Value| {
                    a["members"]
                        .as_array()
                        .is_some_and(|m| m.iter().all(|m| m["reached"] == true))
                };
                let reached = audit.as_ref().is_some_and(all);
                self.audit.replace(audit);
                if reached {
                    return;
                }
            }
            sleep(WATCH).await;
        }
    }

    async fn strike_proxy(
        self: &Rc<Self>,
        what: What,
        no: ProxyNo,
        until: Micros,
    ) -> Result<(), String> {
        match what {
            What::ReloadProxy => {
                let addr = self.registry_address(no).await?;
                let slot = &self.slots[usize::from(no)];
                let config = self.config(slot, addr);
                self.act(no, Did::Reloaded);
                let told = slot.daemon.borrow().as_ref().map(|d| d.reload(&config));
                return told
                    .unwrap_or(Ok(()))
                    .map_err(|e| format!("{}: {e}", slot.name));
            }
            What::KillProxy => {
                self.kill_proxy(no);
                let (front, notice) = (self.front.clone(), sleep(NOTICE));
                spawn_local(async move {
                    notice.await;
                    front.take(no);
                });
                // It comes back once that is noticed; before, the old address would be taken out
                // late.
                self.world
                    .clock
                    .until(until.max(self.world.clock.now() + 2 * NOTICE.as_micros() as Micros))
                    .await;
            }
            _ => {
                // New connections go on coming for a moment.
                let front = self.front.clone();
                spawn_local(async move {
                    sleep(Duration::from_millis(300)).await;
                    front.take(no);
                });
                self.stop_proxy(no).await;
                self.world.clock.until(until).await;
            }
        }
        self.start_proxy(no).await
    }

    async fn strike_backend(
        self: &Rc<Self>,
        fault: &Planned,
        host: &Rc<Backend>,
        until: Micros,
    ) -> Result<(), String> {
        let clock = self.world.clock;
        let odd = |i: usize, size| {
            let mut odds = host.odds.get();
            odds[i] = size;
            host.odds.set(odds);
        };
        match fault.what {
            What::Crawl => {
                host.machine.crawl.set(fault.size);
                clock.until(until).await;
                host.machine.crawl.set(1.0);
            }
            What::Starve => {
                host.machine.neighbour.set(fault.size);
                clock.until(until).await;
                host.machine.neighbour.set(0.0);
            }
            What::Reset | What::Spoil | What::Decline => {
                let i = [What::Reset, What::Spoil, What::Decline]
                    .iter()
                    .position(|w| *w == fault.what);
                let i = i.unwrap_or(0);
                odd(i, fault.size);
                clock.until(until).await;
                odd(i, 0.0);
            }
            What::Loop => {
                // Each to one of them; where that is away, its calls find nobody.
                let no = host.no % self.world.plan.scenario.run.proxies;
                let at = self.slots[usize::from(no)]
                    .daemon
                    .borrow()
                    .as_ref()
                    .map(|d| d.listens);
                host.astray.set(at.map(|at| (no, at)));
                clock.until(until).await;
                host.astray.set(None);
            }
            What::Hang => {
                host.turn(Mode::Hang).await;
                clock.until(until).await;
                // What hung stays unanswered; the process is started anew.
                self.restart(host, 0).await?;
            }
            What::Silent => {
                host.turn(Mode::Silent).await;
                clock.until(until).await;
                self.restart(host, 0).await?;
            }
            What::Restart => self.restart(host, until).await?,
            What::Drain => {
                self.registry.publish(host, Health::Draining);
                clock.until(until).await;
                self.registry.publish(host, Health::Deleted);
                self.leave(host);
            }
            What::Delete => {
                self.registry.publish(host, Health::Deleted);
                self.leave(host);
            }
            _ => {
                self.registry.publish(host, Health::Deleted);
                self.leave(host);
                clock.until(until).await;
                let hosts = self.hosts.borrow().clone();
                let heir = format!("{}-new", host.name);
                let heir = hosts
                    .iter()
                    .find(|h| h.name.starts_with(&heir) && h.mode() == Mode::Down);
                if let Some(heir) = heir {
                    heir.start(false)
                        .await
                        .map_err(|e| format!("{}: {e}", heir.name))?;
                    self.hand_over(host, heir).await?;
                    self.registry.publish(heir, Health::Serving);
                }
            }
        }
        Ok(())
    }

    /// The proxy at a backend's side serves the one that comes up in its place.
    async fn hand_over(&self, host: &Backend, heir: &Backend) -> Result<(), String> {
        if let Some(side) = self.side(host) {
            self.start_proxy(side).await?;
            heir.side.set(host.side.take());
        }
        Ok(())
    }

    /// A backend's process ends, with the proxy at its side.
    fn leave(&self, host: &Backend) {
        host.kill();
        if let Some(side) = self.side(host) {
            self.kill_proxy(side);
        }
    }

    /// A backend's process dies and comes up again, cold.
    async fn restart(&self, host: &Rc<Backend>, until: Micros) -> Result<(), String> {
        self.leave(host);
        self.world.clock.until(until).await;
        if let Some(side) = self.side(host) {
            self.start_proxy(side).await?;
        }
        // Where faults overlap, another one's end has brought it up again.
        if host.mode() != Mode::Down {
            return Ok(());
        }
        host.start(false)
            .await
            .map_err(|e| format!("{}: {e}", host.name))?;
        self.registry.publish(host, Health::Serving);
        Ok(())
    }

    /// Ends everything and puts together what was seen.
    async fn end(self: &Rc<Self>, plan: Arc<Plan>, driven: Driven) -> Result<Seen, String> {
        self.audit().await;
        let mut stopping = JoinSet::new();
        for no in 0..self.slots.len() as ProxyNo {
            let stage = self.clone();
            stopping.spawn_local(async move { stage.stop_proxy(no).await });
        }
        while stopping.join_next().await.is_some() {}
        let hosts = self.hosts.borrow().clone();
        hosts.iter().for_each(|h| h.kill());
        let mut ledgers = self.world.ledgers.take();
        let extras: Vec<u64> = hosts.iter().flat_map(|h| h.extras()).collect();
        ledgers
            .tries
            .iter_mut()
            .for_each(|t| t.extra = extras.contains(&t.id));
        ledgers.tries.extend(driven.tries);
        ledgers.rude = driven.rude;
        Ok(Seen {
            plan,
            ledgers,
            proxies: self.slots.iter().map(|s| s.name.clone()).collect(),
            proxy_tier: self.slots.iter().map(|s| s.tier as u8).collect(),
            hosts: hosts.iter().map(|h| h.name.clone()).collect(),
            cells: hosts.iter().map(|h| h.cell).collect(),
            makes: hosts.iter().map(|h| h.machine.make.clone()).collect(),
            counts: self.counts.take(),
            samples: self.samples.take(),
            changes: self.changes.take(),
            audit: self.audit.take(),
            duty: self.gate.as_ref().map(Gate::acts),
            bounds: self.bounds.take(),
            driver_late: driven.lateness,
            stage_late: self.stage_late.borrow().clone(),
            dropped: driven.dropped,
            starved: driven.starved + self.world.starved.get(),
            interrupted: *self.setting.stop.borrow(),
            troubles: self.troubles.take(),
        })
    }
}
