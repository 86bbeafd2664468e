//! One rehearsal, put on: daemons, backends and registry are started, the load is driven, faults
//! strike by the plan, and everything is ended again. What was seen is handed on as ledgers;
//! nothing is judged here.

use crate::clock::{Clock, Micros, SECOND};
use crate::daemon::{self, Daemon, Usage};
use crate::emulator::backend::{Backend, Mode, RunContext, allocate_addresses, dedup_caches};
use crate::emulator::dedup_cache::DedupCache;
use crate::emulator::fencing_server::{self, FencingServer};
use crate::emulator::host::{Host, HostSpec};
use crate::emulator::network::Network;
use crate::emulator::registry::{self, Registry, ZONE};
use crate::event_log::{
    BackendIndex, EventLog, Health, ProcessEvent, ProcessEventKind, ProxyIndex,
};
use crate::load_generator::{self, LoadBalancer, LoadResult, Progress};
use crate::scenario::{Effect, FaultKind, Group};
use crate::schedule::{Schedule, ScheduledFault, tenant_quotas};
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
const FENCING_SERVER_OPTIONS: fencing_server::Options = fencing_server::Options {
    check_tokens: true,
    delayed_share: 0.02,
    max_delay: Duration::from_secs(2),
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
pub struct RunOptions {
    /// The daemon's program.
    pub program: PathBuf,
    /// What is rehearsed.
    pub schedule: Arc<Schedule>,
    /// How far the load is.
    pub progress: Arc<Progress>,
    /// Ends it early.
    pub stop: watch::Receiver<bool>,
}

/// What was seen.
pub struct RunRecord {
    /// What was planned, by the ledgers' clock.
    pub schedule: Arc<Schedule>,
    /// The ledgers.
    pub event_log: EventLog,
    /// Names of the proxies, by number.
    pub proxies: Vec<String>,
    /// The tier that each sends to.
    pub proxy_tiers: Vec<u8>,
    /// Names of the hosts, by number.
    pub backends: Vec<String>,
    /// Cells of the hosts.
    pub cells: Vec<u16>,
    /// Makes of the hosts' machines.
    pub host_specs: Vec<HostSpec>,
    /// Every process' last counts, with its proxy.
    pub proxy_counts: Vec<ProxyCounts>,
    /// The limit, calls in flight and descriptors of the first tier's proxies, through time.
    pub samples: Vec<Sample>,
    /// What became of changes of routes, with the proxy.
    pub route_changes: Vec<(ProxyIndex, String)>,
    /// The fleet's audit at the end, asked of its first proxy, where there is a fleet.
    pub fleet_audit: Option<Value>,
    /// What the duty's holders did, where there is one.
    pub lease_calls: Option<Vec<fencing_server::LeaseCall>>,
    /// Generations that were required, and from when on.
    pub required_generations: Vec<(u64, Micros)>,
    /// How late the driver began first tries.
    pub generator_lateness: Histogram<u64>,
    /// How late the stage itself was.
    pub runner_lateness: Histogram<u64>,
    /// First tries that the driver could not begin.
    pub dropped: u64,
    /// Tries and connections that failed for want of descriptors at the driver and the stand-ins.
    pub descriptor_failures: u64,
    /// It was ended early.
    pub interrupted: bool,
    /// What went wrong with the rehearsal itself.
    pub errors: Vec<String>,
}

/// The last word of one daemon process.
#[derive(Debug, Clone)]
pub struct ProxyCounts {
    /// Whose.
    pub proxy: ProxyIndex,
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
    pub proxy: ProxyIndex,
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
    owner: Option<BackendIndex>,
    copy: usize,
    copies: usize,
    file: PathBuf,
    daemon: RefCell<Option<Daemon>>,
    /// Its present registry address, and the task that answers there.
    registry: RefCell<Option<(std::net::SocketAddr, JoinHandle<()>)>>,
    /// It is not meant to run.
    away: Cell<bool>,
}

struct Runner {
    options: RunOptions,
    context: Rc<RunContext>,
    backends: RefCell<Vec<Rc<Backend>>>,
    slots: Vec<Slot>,
    registry: Rc<Registry>,
    front: Arc<LoadBalancer>,
    counts: RefCell<Vec<ProxyCounts>>,
    samples: RefCell<Vec<Sample>>,
    changes: RefCell<Vec<(ProxyIndex, String)>>,
    network: Option<Network>,
    fencing_server: Option<FencingServer>,
    audit: RefCell<Option<Value>>,
    bounds: RefCell<Vec<(u64, Micros)>>,
    stage_late: RefCell<Histogram<u64>>,
    troubles: RefCell<Vec<String>>,
    ip: Cell<[u8; 3]>,
}

/// A loopback network of this process's own, so that a port that a stand-in has left is taken by
/// nobody else.
pub fn unique_loopback_network() -> [u8; 3] {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let id =
        std::process::id().wrapping_add(NEXT.fetch_add(1, Ordering::Relaxed).wrapping_mul(7919));
    [127, 16 + (id % 224) as u8, (id / 224 % 250) as u8]
}

/// Puts a rehearsal on. What can't be put on is an error in one line.
pub fn run(options: RunOptions) -> Result<RunRecord, String> {
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
        let done = put_on(options, folder.clone()).await;
        // Nothing stays behind; what can't be removed was not written.
        let _ = std::fs::remove_dir_all(&folder);
        done
    })
}

async fn put_on(options: RunOptions, folder: PathBuf) -> Result<RunRecord, String> {
    let schedule = options.schedule.clone();
    let clock = Clock::starting_in(Duration::ZERO);
    let context = RunContext::new(clock, schedule.clone());
    let fencing_server = match schedule.scenario.fleet.as_ref().and_then(|f| f.lease_ms) {
        Some(_) => Some(
            FencingServer::start(clock, FENCING_SERVER_OPTIONS)
                .await
                .map_err(|e| format!("gate: {e}"))?,
        ),
        None => None,
    };
    let runner = Rc::new(Runner::build(options, context, folder, fencing_server)?);
    runner.start_backends().await?;
    runner.start_proxies().await?;
    let schedule = Arc::new(schedule.starting_at(clock.now() + WARM_UP.as_micros() as Micros));
    let driven = runner.play(&schedule).await?;
    runner.end(schedule, driven).await
}

impl Runner {
    fn build(
        options: RunOptions,
        context: Rc<RunContext>,
        folder: PathBuf,
        fencing_server: Option<FencingServer>,
    ) -> Result<Runner, String> {
        let scenario = &options.schedule.scenario;
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
                let duty = fencing_server
                    .as_ref()
                    .zip(fleet.lease_ms)
                    .map(|(fencing_server, lease)| fencing_server.lease_config(lease, ACTS));
                let duties = duty.unwrap_or_default();
                daemon::write_fleet_files(
                    &folder,
                    fleet.period_ms,
                    fleet.fence_unsure_after_ms,
                    &duties,
                )
                .map_err(|e| format!("{}: {e}", folder.display()))?;
                let network = Network::start(
                    unique_loopback_network(),
                    scenario.run.proxies,
                    options.schedule.seed,
                    context.clock,
                );
                Some(network.map_err(|e| format!("network: {e}"))?)
            }
        };
        let registry = Registry::new(&context, scenario.tier.len());
        let stage_late = Histogram::new_with_max(600_000_000, 3).map_err(|e| e.to_string())?;
        let runner = Runner {
            options,
            context,
            backends: RefCell::default(),
            slots,
            registry,
            front: Arc::default(),
            counts: RefCell::default(),
            samples: RefCell::default(),
            changes: RefCell::default(),
            network: between,
            fencing_server,
            audit: RefCell::default(),
            bounds: RefCell::default(),
            stage_late: RefCell::new(stage_late),
            troubles: RefCell::default(),
            ip: Cell::new(unique_loopback_network()),
        };
        runner.build_hosts()?;
        Ok(runner)
    }

    fn build_hosts(&self) -> Result<(), String> {
        let schedule = self.context.schedule.clone();
        for (tier, t) in schedule.scenario.tier.iter().enumerate() {
            let dedup_caches = dedup_caches(&schedule, t.backends.div_ceil(2));
            let senders: Vec<ProxyIndex> = self.senders(tier);
            for i in 0..t.backends {
                let ip = self.ip();
                let doors = allocate_addresses(ip, &senders).map_err(|e| format!("{ip}: {e}"))?;
                let name = format!("{}-{}", t.name, i + 1);
                let backend = self.backend(
                    tier,
                    name,
                    i / 2,
                    dedup_caches[usize::from(i / 2)].clone(),
                    doors,
                );
                backend
                    .kind
                    .replace(schedule.scenario.kind(tier, i).to_string());
            }
        }
        // Those that will come up at another's address, down until then.
        for (n, fault) in schedule
            .faults
            .iter()
            .enumerate()
            .filter(|(_, f)| f.kind == FaultKind::Replace)
        {
            for v in &fault.targets {
                let old = self.victim(fault.tier, *v);
                self.backend(
                    old.tier,
                    format!("{}-new{}", old.name, n + 1),
                    old.cell,
                    old.dedup_cache(),
                    old.addresses(),
                );
            }
        }
        Ok(())
    }

    fn backend(
        &self,
        tier: usize,
        name: String,
        cell: u16,
        dedup_cache: Rc<RefCell<DedupCache>>,
        doors: Vec<(ProxyIndex, std::net::SocketAddr)>,
    ) -> Rc<Backend> {
        let schedule = &self.context.schedule;
        let (t, rules) = (&schedule.scenario.tier[tier], &schedule.scenario.rules);
        let no = self.backends.borrow().len() as BackendIndex;
        // Machines of one kind are not alike.
        let unlike = 0.9 + 0.2 * Rng::with_seed(schedule.seed ^ u64::from(no)).f64();
        let micros = |ms: f64| (ms * 1000.0) as Micros;
        let spec = HostSpec {
            cores: t.cores,
            speed: t.speed * unlike,
            cold_capacity: t.cold_from,
            warm_up: micros(t.cold_s * 1000.0),
            warm_requests: t.warm_requests,
            overload_multiple: rules.fall_multiple,
            overload_window: micros(rules.fall_ms),
        };
        let host = Host::new(spec, self.context.clock);
        let backend = Backend::new(
            &self.context,
            (no, name, tier, cell),
            host,
            dedup_cache,
            doors,
        );
        self.registry.add_backend(&backend);
        self.backends.borrow_mut().push(backend.clone());
        backend
    }

    fn ip(&self) -> IpAddr {
        let [a, b, c] = self.ip.get();
        let backend = self.backends.borrow().len() as u8 % 250 + 1;
        IpAddr::V4(Ipv4Addr::new(a, b, c, backend))
    }

    /// The proxies that send to a tier.
    fn senders(&self, tier: usize) -> Vec<ProxyIndex> {
        (0..self.slots.len())
            .filter(|i| self.slots[*i].tier == tier)
            .map(|i| i as ProxyIndex)
            .collect()
    }

    fn victim(&self, tier: usize, number: u16) -> Rc<Backend> {
        let backends = self.backends.borrow();
        let of_tier = backends
            .iter()
            .filter(|h| h.tier == tier)
            .nth(usize::from(number));
        of_tier.unwrap_or(&backends[0]).clone()
    }

    async fn start_backends(&self) -> Result<(), String> {
        let backends: Vec<_> = self
            .backends
            .borrow()
            .iter()
            .filter(|h| !h.name.contains("-new"))
            .cloned()
            .collect();
        for backend in backends {
            backend
                .start(true)
                .await
                .map_err(|e| format!("{}: {e}", backend.name))?;
            self.registry.publish(&backend, Health::Serving);
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
                let (runner, no) = (self.clone(), *i as ProxyIndex);
                starting.spawn_local(async move { runner.start_proxy(no).await });
            }
            while let Some(started) = starting.join_next().await {
                started.map_err(|e| e.to_string())??;
            }
        }
        Ok(())
    }

    async fn registry_address(&self, no: ProxyIndex) -> Result<std::net::SocketAddr, String> {
        let slot = &self.slots[usize::from(no)];
        let [a, b, c] = self.ip.get();
        let ip = IpAddr::V4(Ipv4Addr::new(a, b, c, 254));
        let (listener, addr) = Registry::bind(ip)
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

    async fn start_proxy(&self, no: ProxyIndex) -> Result<(), String> {
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
        let sockets = self.context.schedule.scenario.run.sockets;
        let mut config = self.config(slot, registry);
        if let Some(text) = self
            .context
            .schedule
            .scenario
            .routes
            .as_ref()
            .filter(|_| slot.tier == 0)
        {
            let file = slot.file.with_extension("toml");
            std::fs::write(&file, text).map_err(|e| format!("{}: {e}", file.display()))?;
            config["routes"] = file.display().to_string().into();
            config["probation_ms"] =
                ((self.context.schedule.scenario.run.probation_s * 1000.0) as u64).into();
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
            config["peer_listen"] = network.listen_address(no).to_string().into();
            config["peers"] = peers.into();
            config["state"] = state.display().to_string().into();
        }
        let daemon = daemon::start(&self.options.program, &slot.file, &config, sockets).await?;
        if slot.daemon.borrow().is_some() {
            // Started twice at once: this one has served nobody yet.
            return Ok(());
        }
        let (listens, remote) = (daemon.listen_address, daemon.jsonrpc_address);
        slot.daemon.replace(Some(daemon));
        slot.away.set(false);
        self.act(no, ProcessEventKind::Started);
        match slot.owner {
            None => self.front.add(no, listens, remote),
            Some(owner) => self.backends.borrow()[usize::from(owner)]
                .sidecar
                .set(Some((no, listens))),
        }
        Ok(())
    }

    fn act(&self, proxy: ProxyIndex, what: ProcessEventKind) {
        self.acted(self.context.clock.now(), proxy, what);
    }

    /// An act that was begun at a time is done.
    fn acted(&self, at: Micros, proxy: ProxyIndex, what: ProcessEventKind) {
        let until = self.context.clock.now();
        self.context
            .event_log
            .borrow_mut()
            .process_events
            .push(ProcessEvent {
                at,
                until,
                proxy,
                kind: what,
            });
    }

    fn config(&self, slot: &Slot, registry: std::net::SocketAddr) -> Value {
        let (schedule, s) = (&self.context.schedule, &self.context.schedule.scenario);
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
                .zip(tenant_quotas(s))
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
            "seed": format!("{:x}", crate::emulator::backend::mix(schedule.seed, slot.copy as u64 + 1)),
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
    async fn play(self: &Rc<Self>, schedule: &Arc<Schedule>) -> Result<LoadResult, String> {
        let mut beside = JoinSet::new();
        beside.spawn_local(self.clone().sample());
        beside.spawn_local(self.clone().beat());
        beside.spawn_local(self.clone().watch());
        let (front, progress, stop) = (
            self.front.clone(),
            self.options.progress.clone(),
            self.options.stop.clone(),
        );
        let driver =
            load_generator::start(schedule.clone(), self.context.clock, front, progress, stop);
        let mut faults = JoinSet::new();
        for fault in &schedule.faults {
            let (runner, fault) = (self.clone(), fault.clone());
            faults.spawn_local(async move {
                runner.context.clock.sleep_until(fault.at).await;
                if let Err(e) = runner.strike(&fault).await {
                    runner.troubles.borrow_mut().push(e);
                }
            });
        }
        for (n, change) in schedule.scenario.change.iter().enumerate() {
            let named = |no: &ProxyIndex| {
                change
                    .on
                    .as_ref()
                    .is_none_or(|on| self.slots[usize::from(*no)].name == *on)
            };
            for no in self.senders(0).into_iter().filter(named) {
                let (runner, at) = (
                    self.clone(),
                    schedule.start + (change.at_s * SECOND as f64) as Micros,
                );
                beside.spawn_local(async move {
                    runner.context.clock.sleep_until(at).await;
                    let became = runner.change(n, no).await.unwrap_or_else(|e| e);
                    runner.changes.borrow_mut().push((no, became));
                });
            }
        }
        while !driver.is_finished() {
            sleep(Duration::from_millis(20)).await;
        }
        let driven = driver
            .join()
            .map_err(|_| "the driver panicked".to_string())?;
        let mut stop = self.options.stop.clone();
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
                    .map(|d| d.admin_address);
                let Some(admin) = admin else { continue };
                let Ok((200, body)) = daemon::get(admin, "/counts").await else {
                    continue;
                };
                let Ok(counts) = serde_json::from_slice::<Value>(&body) else {
                    continue;
                };
                let figure = |name: &str| counts[name].as_f64().unwrap_or(0.0);
                let (at, limit, in_flight) = (
                    self.context.clock.now(),
                    figure("limit"),
                    figure("in_flight"),
                );
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
    async fn change(&self, n: usize, no: ProxyIndex) -> Result<String, String> {
        let admin = self.slots[usize::from(no)]
            .daemon
            .borrow()
            .as_ref()
            .map(|d| d.admin_address);
        let admin = admin.ok_or("given up: the proxy was away")?;
        let begun = self.context.clock.now();
        let change = &self.context.schedule.scenario.change[n];
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
                        .push((generation, self.context.clock.now() + ms * 1000));
                }
                let after = self.context.clock.now().saturating_sub(begun) as f64 / SECOND as f64;
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
                    self.act(no as ProxyIndex, ProcessEventKind::Crashed);
                    self.front.remove(no as ProxyIndex);
                    self.troubles
                        .borrow_mut()
                        .push(format!("{} ended by itself: {status}", slot.name));
                }
            }
        }
    }

    /// The proxy that belongs to a backend.
    fn side(&self, backend: &Backend) -> Option<ProxyIndex> {
        self.slots
            .iter()
            .position(|s| s.owner == Some(backend.index))
            .map(|i| i as ProxyIndex)
    }

    fn kill_proxy(&self, no: ProxyIndex) {
        let slot = &self.slots[usize::from(no)];
        slot.away.set(true);
        let daemon = slot.daemon.take();
        if let Some(mut daemon) = daemon {
            let (usage, begun) = (daemon.usage(), self.context.clock.now());
            daemon.kill();
            self.acted(begun, no, ProcessEventKind::Killed);
            self.counts.borrow_mut().push(ProxyCounts {
                proxy: no,
                counts: None,
                usage,
            });
        }
    }

    async fn stop_proxy(&self, no: ProxyIndex) {
        let slot = &self.slots[usize::from(no)];
        slot.away.set(true);
        let daemon = slot.daemon.take();
        if let Some(daemon) = daemon {
            self.act(no, ProcessEventKind::Stopped);
            // One that a pause holds up could not take the signal.
            if let Err(e) = daemon.resume().and_then(|()| daemon.terminate()) {
                self.troubles
                    .borrow_mut()
                    .push(format!("{}: {e}", slot.name));
            }
            let usage = daemon.usage();
            let (counts, well) = daemon.wait(STOP).await;
            if !well {
                self.act(no, ProcessEventKind::Crashed);
                self.troubles
                    .borrow_mut()
                    .push(format!("{} did not stop as planned", slot.name));
            }
            self.counts.borrow_mut().push(ProxyCounts {
                proxy: no,
                counts,
                usage,
            });
        }
    }

    async fn strike(self: &Rc<Self>, fault: &ScheduledFault) -> Result<(), String> {
        let until = fault.until;
        let clock = self.context.clock;
        match fault.kind {
            FaultKind::StallProxy => {
                let begun = clock.now();
                self.still(&fault.targets, Daemon::suspend)?;
                clock.sleep_until(until).await;
                self.still(&fault.targets, Daemon::resume)?;
                fault
                    .targets
                    .iter()
                    .for_each(|no| self.acted(begun, *no, ProcessEventKind::Stalled));
            }
            FaultKind::PauseProxy => {
                let mut pausing = JoinSet::new();
                for no in fault.targets.iter().copied() {
                    let (runner, longest) = (self.clone(), fault.size);
                    pausing.spawn_local(async move {
                        runner.pause_again_and_again(no, longest, until).await
                    });
                }
                while let Some(ended) = pausing.join_next().await {
                    ended.map_err(|e| e.to_string())??;
                }
            }
            FaultKind::CutProxy | FaultKind::DeafProxy => {
                let cut = |cut: bool| {
                    let Some(network) = &self.network else { return };
                    let others = self
                        .senders(0)
                        .into_iter()
                        .filter(|no| !fault.targets.contains(no));
                    for (other, victim) in
                        others.flat_map(|o| fault.targets.iter().map(move |v| (o, *v)))
                    {
                        network.configure_link(other, victim, |w| w.blocked = cut);
                        if fault.kind == FaultKind::CutProxy {
                            network.configure_link(victim, other, |w| w.blocked = cut);
                        }
                    }
                };
                cut(true);
                clock.sleep_until(until).await;
                cut(false);
            }
            FaultKind::KillProxy | FaultKind::StopProxy | FaultKind::ReloadProxy => {
                for no in &fault.targets {
                    self.strike_proxy(fault.kind, *no, until).await?;
                }
            }
            FaultKind::RegistryLate => {
                self.registry
                    .delay
                    .set((fault.size * SECOND as f64) as Micros);
                clock.sleep_until(until).await;
                self.registry.delay.set(0);
            }
            FaultKind::RegistryDown => {
                self.registry.set_down(true);
                clock.sleep_until(until).await;
                self.registry.set_down(false);
            }
            FaultKind::RegistryDisorder => {
                self.registry.out_of_order.set(true);
                clock.sleep_until(until).await;
                self.registry.out_of_order.set(false);
            }
            FaultKind::RegistryClock => {
                self.registry.clock_offset_ms.set(fault.size * 1000.0);
                clock.sleep_until(until).await;
                self.registry.clock_offset_ms.set(0.0);
            }
            _ => {
                let mut struck = JoinSet::new();
                for v in &fault.targets {
                    let (runner, fault) = (self.clone(), fault.clone());
                    let backend = self.victim(fault.tier, *v);
                    struck.spawn_local(async move {
                        runner.strike_backend(&fault, &backend, until).await
                    });
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
        no: ProxyIndex,
        longest_ms: f64,
        until: Micros,
    ) -> Result<(), String> {
        let clock = self.context.clock;
        let mut rng = Rng::with_seed(self.context.schedule.seed ^ until ^ u64::from(no));
        let drawn = |rng: &mut Rng, [from, to]: [f64; 2]| {
            Duration::from_secs_f64((from + (to - from) * rng.f64()) / 1e3)
        };
        while clock.now() < until {
            self.still(&[no], Daemon::suspend)?;
            sleep(drawn(&mut rng, [longest_ms / 15.0, longest_ms])).await;
            self.still(&[no], Daemon::resume)?;
            sleep(drawn(&mut rng, RUNS_BETWEEN_PAUSES_MS)).await;
        }
        Ok(())
    }

    /// Holds processes still, or lets them go on.
    fn still(
        &self,
        proxies: &[ProxyIndex],
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
        let admin = self.slots[0]
            .daemon
            .borrow()
            .as_ref()
            .map(|d| d.admin_address);
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
        what: FaultKind,
        no: ProxyIndex,
        until: Micros,
    ) -> Result<(), String> {
        match what {
            FaultKind::ReloadProxy => {
                let addr = self.registry_address(no).await?;
                let slot = &self.slots[usize::from(no)];
                let config = self.config(slot, addr);
                self.act(no, ProcessEventKind::Reloaded);
                let told = slot.daemon.borrow().as_ref().map(|d| d.reload(&config));
                return told
                    .unwrap_or(Ok(()))
                    .map_err(|e| format!("{}: {e}", slot.name));
            }
            FaultKind::KillProxy => {
                self.kill_proxy(no);
                let (front, notice) = (self.front.clone(), sleep(NOTICE));
                spawn_local(async move {
                    notice.await;
                    front.remove(no);
                });
                // It comes back once that is noticed; before, the old address would be taken out
                // late.
                self.context
                    .clock
                    .sleep_until(
                        until.max(self.context.clock.now() + 2 * NOTICE.as_micros() as Micros),
                    )
                    .await;
            }
            _ => {
                // New connections go on coming for a moment.
                let front = self.front.clone();
                spawn_local(async move {
                    sleep(Duration::from_millis(300)).await;
                    front.remove(no);
                });
                self.stop_proxy(no).await;
                self.context.clock.sleep_until(until).await;
            }
        }
        self.start_proxy(no).await
    }

    async fn strike_backend(
        self: &Rc<Self>,
        fault: &ScheduledFault,
        backend: &Rc<Backend>,
        until: Micros,
    ) -> Result<(), String> {
        let clock = self.context.clock;
        let odd = |i: usize, size| {
            let mut odds = backend.fault_probabilities.get();
            odds[i] = size;
            backend.fault_probabilities.set(odds);
        };
        match fault.kind {
            FaultKind::Crawl => {
                backend.host.slowdown.set(fault.size);
                clock.sleep_until(until).await;
                backend.host.slowdown.set(1.0);
            }
            FaultKind::Starve => {
                backend.host.stolen_share.set(fault.size);
                clock.sleep_until(until).await;
                backend.host.stolen_share.set(0.0);
            }
            FaultKind::Reset | FaultKind::Spoil | FaultKind::Decline => {
                let i = [FaultKind::Reset, FaultKind::Spoil, FaultKind::Decline]
                    .iter()
                    .position(|w| *w == fault.kind);
                let i = i.unwrap_or(0);
                odd(i, fault.size);
                clock.sleep_until(until).await;
                odd(i, 0.0);
            }
            FaultKind::Loop => {
                // Each to one of them; where that is away, its calls find nobody.
                let no = backend.index % self.context.schedule.scenario.run.proxies;
                let at = self.slots[usize::from(no)]
                    .daemon
                    .borrow()
                    .as_ref()
                    .map(|d| d.listen_address);
                backend.misrouted_to.set(at.map(|at| (no, at)));
                clock.sleep_until(until).await;
                backend.misrouted_to.set(None);
            }
            FaultKind::Hang => {
                backend.set_mode(Mode::Hang).await;
                clock.sleep_until(until).await;
                // What hung stays unanswered; the process is started anew.
                self.restart(backend, 0).await?;
            }
            FaultKind::Silent => {
                backend.set_mode(Mode::Silent).await;
                clock.sleep_until(until).await;
                self.restart(backend, 0).await?;
            }
            FaultKind::Restart => self.restart(backend, until).await?,
            FaultKind::Drain => {
                self.registry.publish(backend, Health::Draining);
                clock.sleep_until(until).await;
                self.registry.publish(backend, Health::Deleted);
                self.leave(backend);
            }
            FaultKind::Delete => {
                self.registry.publish(backend, Health::Deleted);
                self.leave(backend);
            }
            _ => {
                self.registry.publish(backend, Health::Deleted);
                self.leave(backend);
                clock.sleep_until(until).await;
                let backends = self.backends.borrow().clone();
                let heir = format!("{}-new", backend.name);
                let heir = backends
                    .iter()
                    .find(|h| h.name.starts_with(&heir) && h.mode() == Mode::Down);
                if let Some(heir) = heir {
                    heir.start(false)
                        .await
                        .map_err(|e| format!("{}: {e}", heir.name))?;
                    self.hand_over(backend, heir).await?;
                    self.registry.publish(heir, Health::Serving);
                }
            }
        }
        Ok(())
    }

    /// The proxy at a backend's side serves the one that comes up in its place.
    async fn hand_over(&self, backend: &Backend, heir: &Backend) -> Result<(), String> {
        if let Some(side) = self.side(backend) {
            self.start_proxy(side).await?;
            heir.sidecar.set(backend.sidecar.take());
        }
        Ok(())
    }

    /// A backend's process ends, with the proxy at its side.
    fn leave(&self, backend: &Backend) {
        backend.kill();
        if let Some(side) = self.side(backend) {
            self.kill_proxy(side);
        }
    }

    /// A backend's process dies and comes up again, cold.
    async fn restart(&self, backend: &Rc<Backend>, until: Micros) -> Result<(), String> {
        self.leave(backend);
        self.context.clock.sleep_until(until).await;
        if let Some(side) = self.side(backend) {
            self.start_proxy(side).await?;
        }
        // Where faults overlap, another one's end has brought it up again.
        if backend.mode() != Mode::Down {
            return Ok(());
        }
        backend
            .start(false)
            .await
            .map_err(|e| format!("{}: {e}", backend.name))?;
        self.registry.publish(backend, Health::Serving);
        Ok(())
    }

    /// Ends everything and puts together what was seen.
    async fn end(
        self: &Rc<Self>,
        schedule: Arc<Schedule>,
        driven: LoadResult,
    ) -> Result<RunRecord, String> {
        self.audit().await;
        let mut stopping = JoinSet::new();
        for no in 0..self.slots.len() as ProxyIndex {
            let runner = self.clone();
            stopping.spawn_local(async move { runner.stop_proxy(no).await });
        }
        while stopping.join_next().await.is_some() {}
        let backends = self.backends.borrow().clone();
        backends.iter().for_each(|h| h.kill());
        let mut event_log = self.context.event_log.take();
        let extras: Vec<u64> = backends.iter().flat_map(|h| h.take_unexpected()).collect();
        event_log
            .attempts
            .iter_mut()
            .for_each(|t| t.unexpected_data = extras.contains(&t.id));
        event_log.attempts.extend(driven.attempts);
        event_log.malformed_clients = driven.malformed_clients;
        Ok(RunRecord {
            schedule,
            event_log,
            proxies: self.slots.iter().map(|s| s.name.clone()).collect(),
            proxy_tiers: self.slots.iter().map(|s| s.tier as u8).collect(),
            backends: backends.iter().map(|h| h.name.clone()).collect(),
            cells: backends.iter().map(|h| h.cell).collect(),
            host_specs: backends.iter().map(|h| h.host.spec.clone()).collect(),
            proxy_counts: self.counts.take(),
            samples: self.samples.take(),
            route_changes: self.changes.take(),
            fleet_audit: self.audit.take(),
            lease_calls: self.fencing_server.as_ref().map(FencingServer::calls),
            required_generations: self.bounds.take(),
            generator_lateness: driven.lateness,
            runner_lateness: self.stage_late.borrow().clone(),
            dropped: driven.dropped,
            descriptor_failures: driven.descriptor_failures
                + self.context.descriptor_failures.get(),
            interrupted: *self.options.stop.borrow(),
            errors: self.troubles.take(),
        })
    }
}
