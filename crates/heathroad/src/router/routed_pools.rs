//! The pools of a configuration with routes: which of them run, and which new requests bind to.

use super::pool_run::{PoolRun, jsonrpc_transport};
use super::registry::RegistryWatch;
use super::{BoundRequest, RouterError, RoutingRequest, bind_to_engine};
use crate::backend::Pool as Connections;
use crate::configuration::state_folder::StateFolder;
use crate::configuration::verification_gate::{LoadedExpectations, VerificationGate};
use crate::engine::Engine;
use crate::membership::activity_log::ActivityLog;
use crate::metrics::MetricsRegistry;
use crate::runtime_accounting::{sleep, spawn_local};
use crate::time::millis;
use heathroad_balancer::settings::InstanceSettings;
use heathroad_routing::backend_state::BackendStates;
use heathroad_routing::condition::RequestAttributes;
use heathroad_routing::generation::Generation;
use heathroad_routing::journal::Journal;
use heathroad_routing::traffic_split::stable_hash;
use heathroad_routing::transaction::{TransactionConfig, TransactionManager};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet, HashSet, VecDeque};
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::time::Instant;

/// A probation is divided into so many samples of each pool, as far as the interval allows.
const SAMPLES_PER_PROBATION: u64 = 4;
/// The shortest interval between two samples.
const MIN_SAMPLE_INTERVAL: Duration = Duration::from_millis(5);
/// The longest interval between two samples.
const MAX_SAMPLE_INTERVAL: Duration = Duration::from_secs(1);

/// What all pools have in common.
pub struct RoutedPoolsConfig {
    /// The settings of the daemon. Each pool has its own classes.
    pub settings: InstanceSettings,
    /// The seed of the engines' random numbers.
    pub seed: u64,
    /// The connections to all backends.
    pub connections: Rc<Connections>,
    /// The registry of pools that name none.
    pub default_registry: SocketAddr,
    /// The limits of transactions.
    pub transactions: TransactionConfig,
    /// The expectations that a change must meet, if there are any.
    pub gate: Option<VerificationGate>,
    /// The address that the daemon listens on for HTTP.
    pub listen_address: SocketAddr,
    /// The activity log of this proxy, where one is kept.
    pub activity_log: Option<Rc<ActivityLog>>,
}

/// The generation and the pools that new requests bind to.
pub(super) struct ActivePools {
    pub(super) generation: Rc<Generation>,
    /// The run of each pool, by its index in the configuration.
    pub(super) runs: Vec<Rc<PoolRun>>,
    /// All classes that some pool serves.
    pub(super) classes: HashSet<String>,
}

/// A change that an operator requires of the whole cluster once it is committed.
pub(super) struct RequiredChange {
    pub(super) digest: String,
    pub(super) within_ms: u64,
}

/// The pools of a configuration with routes, which transactions change.
pub struct RoutedPools {
    pub(super) config: RoutedPoolsConfig,
    pub(super) default_registry: Cell<SocketAddr>,
    pub(super) metrics: Rc<MetricsRegistry>,
    pub(super) active: RefCell<Rc<ActivePools>>,
    /// The runs that a generation names which is in force, staged, or kept for a rollback.
    pub(super) kept_runs: RefCell<BTreeMap<String, Rc<PoolRun>>>,
    /// All runs that requests may be bound to. They too must learn of drains.
    pub(super) all_runs: RefCell<Vec<(String, Weak<PoolRun>)>>,
    /// The engines of all runs. Attempts in flight may keep an engine longer than its run.
    pub(super) engines: RefCell<Vec<Weak<Engine>>>,
    pub(super) registries: RefCell<BTreeMap<SocketAddr, RegistryWatch>>,
    /// The sockets of JSON-RPC listeners, by the name and address in the configuration.
    pub(super) sockets: RefCell<BTreeMap<(String, SocketAddr), Rc<TcpListener>>>,
    pub(super) listeners_changed: watch::Sender<()>,
    pub(super) backend_states: RefCell<BackendStates>,
    pub(super) transactions: RefCell<TransactionManager>,
    pub(super) journal: RefCell<Option<Journal<StateFolder>>>,
    /// The expectations that the change under way must meet.
    pub(super) expectations: RefCell<Option<LoadedExpectations>>,
    pub(super) required_change: RefCell<Option<RequiredChange>>,
    /// The number of endpoint list updates. A verdict on older ones is stale.
    pub(super) endpoint_updates: Cell<u64>,
    /// The latest messages about changes, for operators.
    pub(super) messages: RefCell<VecDeque<String>>,
    pub(super) started: Instant,
}

impl RoutedPools {
    /// Starts the pools of a committed generation. `highest_number` is the highest number of a
    /// generation that was ever assigned.
    ///
    /// # Errors
    ///
    /// Fails if a listener can't be opened or the settings of a pool are not valid.
    pub fn start(
        config: RoutedPoolsConfig,
        first: &Rc<Generation>,
        highest_number: u64,
        journal: Option<Journal<StateFolder>>,
    ) -> Result<Rc<RoutedPools>, RouterError> {
        let limits = config.transactions.clone();
        let transactions = TransactionManager::new(limits, first.clone(), highest_number);
        let active = Rc::new(ActivePools {
            generation: first.clone(),
            runs: Vec::new(),
            classes: HashSet::new(),
        });
        let pools = Rc::new(RoutedPools {
            default_registry: Cell::new(config.default_registry),
            config,
            metrics: Rc::new(MetricsRegistry::new()),
            active: RefCell::new(active),
            kept_runs: RefCell::default(),
            all_runs: RefCell::default(),
            engines: RefCell::default(),
            registries: RefCell::default(),
            sockets: RefCell::default(),
            listeners_changed: watch::Sender::new(()),
            backend_states: RefCell::default(),
            transactions: RefCell::new(transactions),
            journal: RefCell::new(journal),
            expectations: RefCell::default(),
            required_change: RefCell::default(),
            endpoint_updates: Cell::default(),
            messages: RefCell::default(),
            started: Instant::now(),
        });
        pools.open_listeners(first)?;
        pools.activate(first)?;
        if let Some(activity_log) = &pools.config.activity_log {
            activity_log.announce_commit(first.number, &first.text, None);
        }
        pools.spawn_sampling();
        Ok(pools)
    }

    /// Samples all pools and advances the transaction at regular intervals.
    fn spawn_sampling(self: &Rc<Self>) {
        let probation = self.config.transactions.probation;
        let interval = Duration::from_millis(probation / SAMPLES_PER_PROBATION);
        let interval = interval.clamp(MIN_SAMPLE_INTERVAL, MAX_SAMPLE_INTERVAL);
        let pools = Rc::downgrade(self);
        spawn_local(async move {
            loop {
                sleep(interval).await;
                let Some(pools) = pools.upgrade() else { return };
                pools.sample();
            }
        });
    }

    /// Binds a request, if some route takes it to a pool that serves its class.
    pub fn bind(&self, request: &RoutingRequest<'_>) -> Option<BoundRequest> {
        let active = self.active.borrow().clone();
        let host_name = request
            .host
            .rsplit_once(':')
            .map_or(request.host, |(name, _)| name);
        let host = host_name.to_ascii_lowercase();
        let header = |name: &str| request.headers.get(name).and_then(|v| v.to_str().ok());
        let table = &active.generation.table;
        let route = table.find_route(&RequestAttributes {
            listener: request.listener,
            host: &host,
            path: request.path,
            method: request.method,
            class: request.class,
            tenant: request.tenant,
            header: &header,
        })?;
        let run = &active.runs[table.select_pool(route, stable_hash(request.key))?];
        let class = run.pool.classes.iter().find(|c| c.name == request.class)?;
        let bound = bind_to_engine(&run.engine, request.class)?;
        Some(BoundRequest {
            deadline: Some(millis(class.deadline_ms)),
            transport: run.pool.jsonrpc.as_ref().map(jsonrpc_transport),
            _route: Some((active.generation.clone(), run.clone())),
            ..bound
        })
    }

    /// Returns the counters over all pools.
    pub fn metrics(&self) -> &Rc<MetricsRegistry> {
        &self.metrics
    }

    /// Returns the generation that new requests bind to.
    pub fn current_generation(&self) -> Rc<Generation> {
        self.active.borrow().generation.clone()
    }

    /// Whether this proxy is fenced: it activity_log on an older generation than the cluster requires.
    pub(super) fn is_fenced(&self) -> bool {
        self.config
            .activity_log
            .as_ref()
            .is_some_and(|activity_log| activity_log.is_fenced())
    }

    pub(super) fn has_backends(&self) -> bool {
        self.active
            .borrow()
            .runs
            .iter()
            .any(|run| run.engine.is_ready())
    }

    pub(super) fn serves(&self, class: &str) -> bool {
        self.active.borrow().classes.contains(class)
    }

    pub(super) fn engines(&self) -> Vec<Rc<Engine>> {
        let mut engines = self.engines.borrow_mut();
        engines.retain(|engine| engine.strong_count() > 0);
        engines.iter().filter_map(Weak::upgrade).collect()
    }

    /// Returns all runs that are kept or still have requests.
    pub(super) fn present_runs(&self) -> Vec<Rc<PoolRun>> {
        let runs = self.all_runs.borrow();
        runs.iter().filter_map(|(_, run)| run.upgrade()).collect()
    }

    /// Binds new requests to a generation from now on.
    pub(super) fn activate(
        self: &Rc<Self>,
        generation: &Rc<Generation>,
    ) -> Result<(), RouterError> {
        let pools = generation.config.pools.iter();
        let runs = pools
            .map(|pool| self.ensure_run(pool))
            .collect::<Result<Vec<_>, _>>()?;
        let classes = runs.iter().flat_map(|run| &run.pool.classes);
        let classes = classes.map(|class| class.name.clone()).collect();
        self.active.replace(Rc::new(ActivePools {
            generation: generation.clone(),
            runs,
            classes,
        }));
        if let Some(activity_log) = &self.config.activity_log {
            activity_log.set_routes(generation.number, &generation.text);
        }
        self.share_warmup_budgets();
        self.listeners_changed.send_replace(());
        Ok(())
    }

    /// Releases the runs, listeners and registries that no generation in force needs.
    pub(super) fn release_unused(&self) {
        if self.transactions.borrow().open_transaction().is_none() {
            let active = self.active.borrow().clone();
            let keys: BTreeSet<&str> = active.runs.iter().map(|run| run.key.as_str()).collect();
            let mut kept_runs = self.kept_runs.borrow_mut();
            kept_runs.retain(|key, _| keys.contains(key.as_str()));
            drop(kept_runs);
            self.close_unnamed_listeners();
        }
        self.all_runs.borrow_mut().retain(|(key, run)| {
            let is_present = run.strong_count() > 0;
            if !is_present {
                let mut states = self.backend_states.borrow_mut();
                states.set_pool_backends(key, &BTreeSet::new());
            }
            is_present
        });
        self.release_unused_registries();
    }
}
