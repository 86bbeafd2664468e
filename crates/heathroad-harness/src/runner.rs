//! Executes a schedule: starts daemons, backends and registry, generates the load, injects the
//! faults and stops everything. It records events and evaluates none of them.

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

/// Delay between readiness and the first possible request.
const WARM_UP: Duration = Duration::from_millis(300);
/// Interval at which the first tier's proxies are sampled.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(250);
/// Interval at which the runner measures its own lateness.
const LATENESS_INTERVAL: Duration = Duration::from_millis(5);
/// Interval at which running processes are checked.
const WATCH_INTERVAL: Duration = Duration::from_millis(200);
/// Delay after which the load balancer detects a killed proxy.
const DETECTION_DELAY: Duration = Duration::from_millis(1000);
/// Time limit for a graceful shutdown, after which the process is killed.
const STOP_TIMEOUT: Duration = Duration::from_secs(6);
/// Time after the load for abandoned work to complete.
const SETTLE_TIME: Duration = Duration::from_millis(500);
const FENCING_SERVER_OPTIONS: fencing_server::Options = fencing_server::Options {
    check_tokens: true,
    delayed_share: 0.02,
    max_delay: Duration::from_secs(2),
    seed: 1,
};
/// Interval at which a lease holder calls the fencing server.
const LEASE_CALL_INTERVAL: Duration = Duration::from_millis(50);
/// Time limit for a complete fleet audit after the load.
const AUDIT_TIMEOUT: Duration = Duration::from_secs(10);
/// Shortest and longest time that a process runs between pauses, in milliseconds.
const RUNS_BETWEEN_PAUSES_MS: [f64; 2] = [30.0, 600.0];
/// Number of daemons started concurrently.
const CONCURRENT_STARTS: usize = 8;

/// Inputs of a run.
pub struct RunOptions {
    /// The daemon's executable.
    pub program: PathBuf,
    /// The schedule to execute.
    pub schedule: Arc<Schedule>,
    /// Progress of the load, updated during the run.
    pub progress: Arc<Progress>,
    /// Interrupts the run when set.
    pub stop: watch::Receiver<bool>,
}

/// Everything recorded during a run.
pub struct RunRecord {
    /// The schedule, shifted to the run's clock.
    pub schedule: Arc<Schedule>,
    /// The event log.
    pub event_log: EventLog,
    /// Names of the proxies, by index.
    pub proxies: Vec<String>,
    /// The tier that each proxy sends to.
    pub proxy_tiers: Vec<u8>,
    /// Names of the backends, by index.
    pub backends: Vec<String>,
    /// Cells of the backends.
    pub cells: Vec<u16>,
    /// Hardware of the backends' hosts.
    pub host_specs: Vec<HostSpec>,
    /// Final counts of each daemon process.
    pub proxy_counts: Vec<ProxyCounts>,
    /// Samples of the first tier's proxies over time.
    pub samples: Vec<Sample>,
    /// Results of route changes, with the proxy.
    pub route_changes: Vec<(ProxyIndex, String)>,
    /// The fleet's audit after the load, from the first proxy.
    pub fleet_audit: Option<Value>,
    /// Calls of lease holders to the fencing server.
    pub lease_calls: Option<Vec<fencing_server::LeaseCall>>,
    /// Required generations, and from when on.
    pub required_generations: Vec<(u64, Micros)>,
    /// Lateness of first attempts.
    pub generator_lateness: Histogram<u64>,
    /// Lateness of the runner, and so of the emulators.
    pub runner_lateness: Histogram<u64>,
    /// Requests that the load generator dropped.
    pub dropped: u64,
    /// Failures because the load generator or an emulator had no free descriptor.
    pub descriptor_failures: u64,
    /// Whether the run was interrupted.
    pub interrupted: bool,
    /// Errors of the run itself.
    pub errors: Vec<String>,
}

/// Final counts of one daemon process.
#[derive(Debug, Clone)]
pub struct ProxyCounts {
    /// The proxy.
    pub proxy: ProxyIndex,
    /// The counts that it printed; none if it was killed or crashed.
    pub counts: Option<Value>,
    /// Resource usage.
    pub usage: Usage,
}

/// A sample of a proxy's state.
#[derive(Debug, Clone)]
pub struct Sample {
    /// When it was taken.
    pub at: Micros,
    /// The proxy.
    pub proxy: ProxyIndex,
    /// Its concurrency limit.
    pub limit: f64,
    /// Its attempts in flight.
    pub in_flight: f64,
}

/// A proxy of the run, whose process may be replaced.
struct Slot {
    name: String,
    tier: usize,
    /// The backend that it is a sidecar of; none in the first tier.
    owner: Option<BackendIndex>,
    copy: usize,
    copies: usize,
    file: PathBuf,
    daemon: RefCell<Option<Daemon>>,
    /// The registry address that it uses, and the task that serves it.
    registry: RefCell<Option<(std::net::SocketAddr, JoinHandle<()>)>>,
    expected_down: Cell<bool>,
}

struct Runner {
    options: RunOptions,
    context: Rc<RunContext>,
    backends: RefCell<Vec<Rc<Backend>>>,
    slots: Vec<Slot>,
    registry: Rc<Registry>,
    balancer: Arc<LoadBalancer>,
    counts: RefCell<Vec<ProxyCounts>>,
    samples: RefCell<Vec<Sample>>,
    changes: RefCell<Vec<(ProxyIndex, String)>>,
    network: Option<Network>,
    fencing_server: Option<FencingServer>,
    audit: RefCell<Option<Value>>,
    bounds: RefCell<Vec<(u64, Micros)>>,
    lateness: RefCell<Histogram<u64>>,
    errors: RefCell<Vec<String>>,
    ip: Cell<[u8; 3]>,
}

/// Returns a loopback network of this process, whose released ports no other process takes.
pub fn unique_loopback_network() -> [u8; 3] {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let id =
        std::process::id().wrapping_add(NEXT.fetch_add(1, Ordering::Relaxed).wrapping_mul(7919));
    [127, 16 + (id % 224) as u8, (id / 224 % 250) as u8]
}

/// Executes a run. Errors are one line long.
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
        let done = execute(options, folder.clone()).await;
        let _ = std::fs::remove_dir_all(&folder);
        done
    })
}

async fn execute(options: RunOptions, folder: PathBuf) -> Result<RunRecord, String> {
    let schedule = options.schedule.clone();
    let clock = Clock::starting_in(Duration::ZERO);
    let context = RunContext::new(clock, schedule.clone());
    let fencing_server = match schedule.scenario.fleet.as_ref().and_then(|f| f.lease_ms) {
        Some(_) => Some(
            FencingServer::start(clock, FENCING_SERVER_OPTIONS)
                .await
                .map_err(|e| format!("fencing server: {e}"))?,
        ),
        None => None,
    };
    let runner = Rc::new(Runner::build(options, context, folder, fencing_server)?);
    runner.start_backends().await?;
    runner.start_proxies().await?;
    let schedule = Arc::new(schedule.starting_at(clock.now() + WARM_UP.as_micros() as Micros));
    let load = runner.run_schedule(&schedule).await?;
    runner.finish(schedule, load).await
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
            let (daemon, registry, expected_down) =
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
                expected_down,
            });
        };
        let proxies = usize::from(scenario.run.proxies);
        (0..proxies).for_each(|i| slot(format!("proxy-{}", i + 1), 0, None, i, proxies));
        let mut index = 0;
        for (tier, t) in scenario.tier.iter().enumerate() {
            let calls = tier + 1 < scenario.tier.len() && t.calls > 0;
            for i in 0..usize::from(t.backends) {
                if calls {
                    let name = format!("{}-{}-proxy", t.name, i + 1);
                    slot(name, tier + 1, Some(index), i, usize::from(t.backends));
                }
                index += 1;
            }
        }
        let network = match &scenario.fleet {
            None => None,
            Some(fleet) => {
                let lease = fencing_server.as_ref().zip(fleet.lease_ms);
                let leases = lease.map(|(server, ms)| server.lease_config(ms, LEASE_CALL_INTERVAL));
                let leases = leases.unwrap_or_default();
                daemon::write_fleet_files(
                    &folder,
                    fleet.period_ms,
                    fleet.fence_unsure_after_ms,
                    &leases,
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
        let lateness = Histogram::new_with_max(600_000_000, 3).map_err(|e| e.to_string())?;
        let runner = Runner {
            options,
            context,
            backends: RefCell::default(),
            slots,
            registry,
            balancer: Arc::default(),
            counts: RefCell::default(),
            samples: RefCell::default(),
            changes: RefCell::default(),
            network,
            fencing_server,
            audit: RefCell::default(),
            bounds: RefCell::default(),
            lateness: RefCell::new(lateness),
            errors: RefCell::default(),
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
                let addresses =
                    allocate_addresses(ip, &senders).map_err(|e| format!("{ip}: {e}"))?;
                let name = format!("{}-{}", t.name, i + 1);
                let backend = self.backend(
                    tier,
                    name,
                    i / 2,
                    dedup_caches[usize::from(i / 2)].clone(),
                    addresses,
                );
                let kind = schedule.scenario.kind(tier, i).to_string();
                backend.kind.replace(kind);
            }
        }
        // Replacement backends, which stay down until they take over an address.
        for (n, fault) in schedule
            .faults
            .iter()
            .enumerate()
            .filter(|(_, f)| f.kind == FaultKind::Replace)
        {
            for v in &fault.targets {
                let old = self.target_backend(fault.tier, *v);
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
        addresses: Vec<(ProxyIndex, std::net::SocketAddr)>,
    ) -> Rc<Backend> {
        let schedule = &self.context.schedule;
        let (t, rules) = (&schedule.scenario.tier[tier], &schedule.scenario.rules);
        let index = self.backends.borrow().len() as BackendIndex;
        // Hosts of a tier differ in speed by up to a fifth.
        let speed_factor = 0.9 + 0.2 * Rng::with_seed(schedule.seed ^ u64::from(index)).f64();
        let micros = |ms: f64| (ms * 1000.0) as Micros;
        let spec = HostSpec {
            cores: t.cores,
            speed: t.speed * speed_factor,
            cold_capacity: t.cold_from,
            warm_up: micros(t.cold_s * 1000.0),
            warm_requests: t.warm_requests,
            overload_multiple: rules.fall_multiple,
            overload_window: micros(rules.fall_ms),
        };
        let host = Host::new(spec, self.context.clock);
        let identity = (index, name, tier, cell);
        let backend = Backend::new(&self.context, identity, host, dedup_cache, addresses);
        self.registry.add_backend(&backend);
        self.backends.borrow_mut().push(backend.clone());
        backend
    }

    fn ip(&self) -> IpAddr {
        let [a, b, c] = self.ip.get();
        let backend = self.backends.borrow().len() as u8 % 250 + 1;
        IpAddr::V4(Ipv4Addr::new(a, b, c, backend))
    }

    fn senders(&self, tier: usize) -> Vec<ProxyIndex> {
        (0..self.slots.len())
            .filter(|i| self.slots[*i].tier == tier)
            .map(|i| i as ProxyIndex)
            .collect()
    }

    fn target_backend(&self, tier: usize, number: u16) -> Rc<Backend> {
        let backends = self.backends.borrow();
        let tier_backends = backends
            .iter()
            .filter(|h| h.tier == tier)
            .nth(usize::from(number));
        tier_backends.unwrap_or(&backends[0]).clone()
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
        // The last tier first, since each tier calls the next one.
        let mut order: Vec<usize> = (0..self.slots.len()).collect();
        order.sort_by_key(|i| std::cmp::Reverse(self.slots[*i].tier));
        for chunk in order.chunks(CONCURRENT_STARTS) {
            // Concurrently, since a daemon may wait for a majority before it is ready.
            let mut starting = JoinSet::new();
            for i in chunk {
                let (runner, index) = (self.clone(), *i as ProxyIndex);
                starting.spawn_local(async move { runner.start_proxy(index).await });
            }
            while let Some(started) = starting.join_next().await {
                started.map_err(|e| e.to_string())??;
            }
        }
        Ok(())
    }

    async fn registry_address(&self, index: ProxyIndex) -> Result<std::net::SocketAddr, String> {
        let slot = &self.slots[usize::from(index)];
        let [a, b, c] = self.ip.get();
        let ip = IpAddr::V4(Ipv4Addr::new(a, b, c, 254));
        let (listener, addr) = Registry::bind(ip)
            .await
            .map_err(|e| format!("registry: {e}"))?;
        let task = self.registry.serve(slot.tier, index, listener);
        if let Some((_, old)) = slot.registry.replace(Some((addr, task))) {
            spawn_local(async move {
                sleep(registry::LEAVE).await;
                old.abort();
            });
        }
        Ok(addr)
    }

    async fn start_proxy(&self, index: ProxyIndex) -> Result<(), String> {
        let slot = &self.slots[usize::from(index)];
        // An overlapping fault may already have started it.
        if slot.daemon.borrow().is_some() {
            return Ok(());
        }
        let at = slot.registry.borrow().as_ref().map(|(addr, _)| *addr);
        let registry = match at {
            Some(addr) => addr,
            None => self.registry_address(index).await?,
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
            let peers = network.peers(index).iter();
            let peers: Vec<String> = peers.map(ToString::to_string).collect();
            config["fleet"] = slot
                .file
                .with_file_name("fleet.toml")
                .display()
                .to_string()
                .into();
            config["peer_listen"] = network.listen_address(index).to_string().into();
            config["peers"] = peers.into();
            config["state"] = state.display().to_string().into();
        }
        let daemon = daemon::start(&self.options.program, &slot.file, &config, sockets).await?;
        if slot.daemon.borrow().is_some() {
            // Started concurrently by two faults; this process is not yet in use.
            return Ok(());
        }
        let (listens, remote) = (daemon.listen_address, daemon.jsonrpc_address);
        slot.daemon.replace(Some(daemon));
        slot.expected_down.set(false);
        self.record_event(index, ProcessEventKind::Started);
        match slot.owner {
            None => self.balancer.add(index, listens, remote),
            Some(owner) => self.backends.borrow()[usize::from(owner)]
                .sidecar
                .set(Some((index, listens))),
        }
        Ok(())
    }

    fn record_event(&self, proxy: ProxyIndex, kind: ProcessEventKind) {
        self.record_event_since(self.context.clock.now(), proxy, kind);
    }

    fn record_event_since(&self, at: Micros, proxy: ProxyIndex, kind: ProcessEventKind) {
        let until = self.context.clock.now();
        let mut event_log = self.context.event_log.borrow_mut();
        event_log.process_events.push(ProcessEvent {
            at,
            until,
            proxy,
            kind,
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
        // Behind the first tier, only other backends are callers.
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

    /// Generates the load and injects the faults.
    async fn run_schedule(self: &Rc<Self>, schedule: &Arc<Schedule>) -> Result<LoadResult, String> {
        let mut tasks = JoinSet::new();
        tasks.spawn_local(self.clone().sample());
        tasks.spawn_local(self.clone().measure_lateness());
        tasks.spawn_local(self.clone().watch());
        let (balancer, progress, stop) = (
            self.balancer.clone(),
            self.options.progress.clone(),
            self.options.stop.clone(),
        );
        let clock = self.context.clock;
        let generator = load_generator::start(schedule.clone(), clock, balancer, progress, stop);
        let mut faults = JoinSet::new();
        for fault in &schedule.faults {
            let (runner, fault) = (self.clone(), fault.clone());
            faults.spawn_local(async move {
                runner.context.clock.sleep_until(fault.at).await;
                if let Err(e) = runner.inject(&fault).await {
                    runner.errors.borrow_mut().push(e);
                }
            });
        }
        for (n, change) in schedule.scenario.change.iter().enumerate() {
            let named = |index: &ProxyIndex| {
                change
                    .on
                    .as_ref()
                    .is_none_or(|on| self.slots[usize::from(*index)].name == *on)
            };
            for index in self.senders(0).into_iter().filter(named) {
                let (runner, at) = (
                    self.clone(),
                    schedule.start + (change.at_s * SECOND as f64) as Micros,
                );
                tasks.spawn_local(async move {
                    runner.context.clock.sleep_until(at).await;
                    let result = runner.change(n, index).await.unwrap_or_else(|e| e);
                    runner.changes.borrow_mut().push((index, result));
                });
            }
        }
        while !generator.is_finished() {
            sleep(Duration::from_millis(20)).await;
        }
        let load = generator
            .join()
            .map_err(|_| "the load generator panicked".to_string())?;
        let mut stop = self.options.stop.clone();
        let last = Instant::now() + STOP_TIMEOUT;
        // Let active faults end, so that no process is left half-started.
        while !*stop.borrow_and_update() {
            tokio::select! {
                ended = faults.join_next() => if ended.is_none() { break },
                _ = stop.changed() => {}
                () = sleep_until(last) => break,
            }
        }
        faults.shutdown().await;
        tasks.shutdown().await;
        sleep(SETTLE_TIME).await;
        load
    }

    async fn sample(self: Rc<Self>) {
        loop {
            for index in self.senders(0) {
                let slot = &self.slots[usize::from(index)];
                let admin = slot
                    .daemon
                    .borrow()
                    .as_ref()
                    .filter(|_| !slot.expected_down.get())
                    .map(|d| d.admin_address);
                let Some(admin) = admin else { continue };
                let Ok((200, body)) = daemon::get(admin, "/counts").await else {
                    continue;
                };
                let Ok(counts) = serde_json::from_slice::<Value>(&body) else {
                    continue;
                };
                let figure = |name: &str| counts[name].as_f64().unwrap_or(0.0);
                let at = self.context.clock.now();
                let (limit, in_flight) = (figure("limit"), figure("in_flight"));
                self.samples.borrow_mut().push(Sample {
                    at,
                    proxy: index,
                    limit,
                    in_flight,
                });
            }
            sleep(SAMPLE_INTERVAL).await;
        }
    }

    /// Applies a route change at a proxy and returns its result.
    async fn change(&self, n: usize, index: ProxyIndex) -> Result<String, String> {
        let admin = self.slots[usize::from(index)]
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
        let (status, body) = daemon::post(admin, path, &change.routes)
            .await
            .map_err(|e| e.to_string())?;
        if status != 200 {
            return Err(format!("turned down: {}", String::from_utf8_lossy(&body)));
        }
        loop {
            sleep(WATCH_INTERVAL / 4).await;
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

    /// Measures the lateness of this thread, which also runs the emulators.
    async fn measure_lateness(self: Rc<Self>) {
        loop {
            let due = Instant::now() + LATENESS_INTERVAL;
            sleep_until(due).await;
            self.lateness
                .borrow_mut()
                .saturating_record(due.elapsed().as_micros() as u64);
        }
    }

    async fn watch(self: Rc<Self>) {
        loop {
            sleep(WATCH_INTERVAL).await;
            for (index, slot) in self.slots.iter().enumerate() {
                if slot.expected_down.get() {
                    continue;
                }
                let ended = slot.daemon.borrow_mut().as_mut().and_then(Daemon::ended);
                if let Some(status) = ended {
                    slot.expected_down.set(true);
                    self.record_event(index as ProxyIndex, ProcessEventKind::Crashed);
                    self.balancer.remove(index as ProxyIndex);
                    self.errors
                        .borrow_mut()
                        .push(format!("{} exited unexpectedly: {status}", slot.name));
                }
            }
        }
    }

    fn sidecar(&self, backend: &Backend) -> Option<ProxyIndex> {
        self.slots
            .iter()
            .position(|s| s.owner == Some(backend.index))
            .map(|i| i as ProxyIndex)
    }

    fn kill_proxy(&self, index: ProxyIndex) {
        let slot = &self.slots[usize::from(index)];
        slot.expected_down.set(true);
        let daemon = slot.daemon.take();
        if let Some(mut daemon) = daemon {
            let (usage, begun) = (daemon.usage(), self.context.clock.now());
            daemon.kill();
            self.record_event_since(begun, index, ProcessEventKind::Killed);
            self.counts.borrow_mut().push(ProxyCounts {
                proxy: index,
                counts: None,
                usage,
            });
        }
    }

    async fn stop_proxy(&self, index: ProxyIndex) {
        let slot = &self.slots[usize::from(index)];
        slot.expected_down.set(true);
        let daemon = slot.daemon.take();
        if let Some(daemon) = daemon {
            self.record_event(index, ProcessEventKind::Stopped);
            // A paused process would not handle the signal.
            if let Err(e) = daemon.resume().and_then(|()| daemon.terminate()) {
                self.errors.borrow_mut().push(format!("{}: {e}", slot.name));
            }
            let usage = daemon.usage();
            let (counts, graceful) = daemon.wait(STOP_TIMEOUT).await;
            if !graceful {
                self.record_event(index, ProcessEventKind::Crashed);
                self.errors
                    .borrow_mut()
                    .push(format!("{} did not shut down gracefully", slot.name));
            }
            self.counts.borrow_mut().push(ProxyCounts {
                proxy: index,
                counts,
                usage,
            });
        }
    }

    async fn inject(self: &Rc<Self>, fault: &ScheduledFault) -> Result<(), String> {
        let until = fault.until;
        let clock = self.context.clock;
        match fault.kind {
            FaultKind::StallProxy => {
                let begun = clock.now();
                self.signal_all(&fault.targets, Daemon::suspend)?;
                clock.sleep_until(until).await;
                self.signal_all(&fault.targets, Daemon::resume)?;
                fault.targets.iter().for_each(|index| {
                    self.record_event_since(begun, *index, ProcessEventKind::Stalled);
                });
            }
            FaultKind::PauseProxy => {
                let mut pausing = JoinSet::new();
                for index in fault.targets.iter().copied() {
                    let (runner, longest) = (self.clone(), fault.size);
                    pausing.spawn_local(async move {
                        runner.pause_repeatedly(index, longest, until).await
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
                        .filter(|index| !fault.targets.contains(index));
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
                for index in &fault.targets {
                    self.inject_proxy_fault(fault.kind, *index, until).await?;
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
                let mut injections = JoinSet::new();
                for v in &fault.targets {
                    let (runner, fault) = (self.clone(), fault.clone());
                    let backend = self.target_backend(fault.tier, *v);
                    injections.spawn_local(async move {
                        runner.inject_backend_fault(&fault, &backend, until).await
                    });
                }
                while let Some(ended) = injections.join_next().await {
                    ended.map_err(|e| e.to_string())??;
                }
            }
        }
        Ok(())
    }

    /// Suspends and resumes a process repeatedly until a time.
    async fn pause_repeatedly(
        &self,
        index: ProxyIndex,
        longest_ms: f64,
        until: Micros,
    ) -> Result<(), String> {
        let clock = self.context.clock;
        let mut rng = Rng::with_seed(self.context.schedule.seed ^ until ^ u64::from(index));
        let drawn = |rng: &mut Rng, [from, to]: [f64; 2]| {
            Duration::from_secs_f64((from + (to - from) * rng.f64()) / 1e3)
        };
        while clock.now() < until {
            self.signal_all(&[index], Daemon::suspend)?;
            sleep(drawn(&mut rng, [longest_ms / 15.0, longest_ms])).await;
            self.signal_all(&[index], Daemon::resume)?;
            sleep(drawn(&mut rng, RUNS_BETWEEN_PAUSES_MS)).await;
        }
        Ok(())
    }

    fn signal_all(
        &self,
        proxies: &[ProxyIndex],
        how: fn(&Daemon) -> std::io::Result<()>,
    ) -> Result<(), String> {
        for index in proxies {
            let slot = &self.slots[usize::from(*index)];
            let done = slot.daemon.borrow().as_ref().map(how);
            done.unwrap_or(Ok(()))
                .map_err(|e| format!("{}: {e}", slot.name))?;
        }
        Ok(())
    }

    /// Fetches the fleet's audit until it covers all members or the time limit ends.
    async fn fetch_audit(&self) {
        let address = |d: &Daemon| d.admin_address;
        let admin = self.slots[0].daemon.borrow().as_ref().map(address);
        let Some(admin) = admin.filter(|_| self.network.is_some()) else {
            return;
        };
        let last = Instant::now() + AUDIT_TIMEOUT;
        while Instant::now() < last {
            if let Ok((200, body)) = daemon::get_within(admin, "/fleet/audit", AUDIT_TIMEOUT).await
            {
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
            sleep(WATCH_INTERVAL).await;
        }
    }

    async fn inject_proxy_fault(
        self: &Rc<Self>,
        what: FaultKind,
        index: ProxyIndex,
        until: Micros,
    ) -> Result<(), String> {
        match what {
            FaultKind::ReloadProxy => {
                let addr = self.registry_address(index).await?;
                let slot = &self.slots[usize::from(index)];
                let config = self.config(slot, addr);
                self.record_event(index, ProcessEventKind::Reloaded);
                let result = slot.daemon.borrow().as_ref().map(|d| d.reload(&config));
                return result
                    .unwrap_or(Ok(()))
                    .map_err(|e| format!("{}: {e}", slot.name));
            }
            FaultKind::KillProxy => {
                self.kill_proxy(index);
                let (balancer, notice) = (self.balancer.clone(), sleep(DETECTION_DELAY));
                spawn_local(async move {
                    notice.await;
                    balancer.remove(index);
                });
                // Restart after the detection, which would otherwise remove the new process.
                let clock = self.context.clock;
                let detected = clock.now() + 2 * DETECTION_DELAY.as_micros() as Micros;
                clock.sleep_until(until.max(detected)).await;
            }
            _ => {
                // The load balancer reacts shortly after the shutdown begins.
                let balancer = self.balancer.clone();
                spawn_local(async move {
                    sleep(Duration::from_millis(300)).await;
                    balancer.remove(index);
                });
                self.stop_proxy(index).await;
                self.context.clock.sleep_until(until).await;
            }
        }
        self.start_proxy(index).await
    }

    async fn inject_backend_fault(
        self: &Rc<Self>,
        fault: &ScheduledFault,
        backend: &Rc<Backend>,
        until: Micros,
    ) -> Result<(), String> {
        let clock = self.context.clock;
        let set_probability = |i: usize, size| {
            let mut probabilities = backend.fault_probabilities.get();
            probabilities[i] = size;
            backend.fault_probabilities.set(probabilities);
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
                set_probability(i, fault.size);
                clock.sleep_until(until).await;
                set_probability(i, 0.0);
            }
            FaultKind::Loop => {
                // If that proxy is down, the calls fail.
                let index = backend.index % self.context.schedule.scenario.run.proxies;
                let at = self.slots[usize::from(index)]
                    .daemon
                    .borrow()
                    .as_ref()
                    .map(|d| d.listen_address);
                backend.misrouted_to.set(at.map(|at| (index, at)));
                clock.sleep_until(until).await;
                backend.misrouted_to.set(None);
            }
            FaultKind::Hang => {
                backend.set_mode(Mode::Hang).await;
                clock.sleep_until(until).await;
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
                self.kill_backend(backend);
            }
            FaultKind::Delete => {
                self.registry.publish(backend, Health::Deleted);
                self.kill_backend(backend);
            }
            _ => {
                self.registry.publish(backend, Health::Deleted);
                self.kill_backend(backend);
                clock.sleep_until(until).await;
                let backends = self.backends.borrow().clone();
                let replacement = format!("{}-new", backend.name);
                let replacement = backends
                    .iter()
                    .find(|h| h.name.starts_with(&replacement) && h.mode() == Mode::Down);
                if let Some(replacement) = replacement {
                    replacement
                        .start(false)
                        .await
                        .map_err(|e| format!("{}: {e}", replacement.name))?;
                    self.move_sidecar(backend, replacement).await?;
                    self.registry.publish(replacement, Health::Serving);
                }
            }
        }
        Ok(())
    }

    /// Moves the sidecar of a backend to its replacement.
    async fn move_sidecar(&self, backend: &Backend, replacement: &Backend) -> Result<(), String> {
        if let Some(side) = self.sidecar(backend) {
            self.start_proxy(side).await?;
            replacement.sidecar.set(backend.sidecar.take());
        }
        Ok(())
    }

    /// Kills a backend and its sidecar.
    fn kill_backend(&self, backend: &Backend) {
        backend.kill();
        if let Some(side) = self.sidecar(backend) {
            self.kill_proxy(side);
        }
    }

    /// Kills a backend and starts it again, cold.
    async fn restart(&self, backend: &Rc<Backend>, until: Micros) -> Result<(), String> {
        self.kill_backend(backend);
        self.context.clock.sleep_until(until).await;
        if let Some(side) = self.sidecar(backend) {
            self.start_proxy(side).await?;
        }
        // An overlapping fault may already have started it.
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

    /// Stops everything and returns the record.
    async fn finish(
        self: &Rc<Self>,
        schedule: Arc<Schedule>,
        load: LoadResult,
    ) -> Result<RunRecord, String> {
        self.fetch_audit().await;
        let mut stopping = JoinSet::new();
        for index in 0..self.slots.len() as ProxyIndex {
            let runner = self.clone();
            stopping.spawn_local(async move { runner.stop_proxy(index).await });
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
        event_log.attempts.extend(load.attempts);
        event_log.malformed_clients = load.malformed_clients;
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
            generator_lateness: load.lateness,
            runner_lateness: self.lateness.borrow().clone(),
            dropped: load.dropped,
            descriptor_failures: load.descriptor_failures + self.context.descriptor_failures.get(),
            interrupted: *self.options.stop.borrow(),
            errors: self.errors.take(),
        })
    }
}
