//! The pools of a configuration with routes: those that run, and those that new requests bind to.

use super::registry::RegistryWatch;
use super::running_pool::{RunningPool, jsonrpc_transport};
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

/// The number of samples of each pool in a probation, if the bounds of the interval allow it.
const SAMPLES_PER_PROBATION: u64 = 4;
/// The shortest interval between two samples.
const MIN_SAMPLE_INTERVAL: Duration = Duration::from_millis(5);
/// The longest interval between two samples.
const MAX_SAMPLE_INTERVAL: Duration = Duration::from_secs(1);

/// The configuration that all routed pools share.
pub struct RoutedPoolsConfig {
    /// The settings of the daemon. Their classes are replaced by those of each pool.
    pub settings: InstanceSettings,
    /// The seed of the engines' random number generators.
    pub seed: u64,
    /// The connections to all backends.
    pub connections: Rc<Connections>,
    /// The registry of pools that don't set one.
    pub default_registry: SocketAddr,
    /// The limits of transactions.
    pub transactions: TransactionConfig,
    /// Verifies that changes meet the expectations, if there are any.
    pub gate: Option<VerificationGate>,
    /// The daemon's HTTP listen address.
    pub listen_address: SocketAddr,
    /// The activity log of this proxy, if it keeps one.
    pub activity_log: Option<Rc<ActivityLog>>,
}

/// The generation and the pools that new requests bind to.
pub(super) struct ActivePools {
    pub(super) generation: Rc<Generation>,
    /// The running pools, in the order of the configuration.
    pub(super) pools: Vec<Rc<RunningPool>>,
    /// The classes that at least one pool serves.
    pub(super) classes: HashSet<String>,
}

/// A change that the whole cluster is required to apply once it is committed.
pub(super) struct RequiredChange {
    /// The digest of the change's text.
    pub(super) digest: String,
    pub(super) within_ms: u64,
}

/// The pools of a configuration with routes, which transactions modify.
pub struct RoutedPools {
    pub(super) config: RoutedPoolsConfig,
    pub(super) default_registry: Cell<SocketAddr>,
    pub(super) metrics: Rc<MetricsRegistry>,
    pub(super) active: RefCell<Rc<ActivePools>>,
    /// The pools of the generations that are in force, staged, or kept for a rollback, by key.
    pub(super) retained_pools: RefCell<BTreeMap<String, Rc<RunningPool>>>,
    /// All pools that requests may be bound to, with their keys. Endpoint updates apply to pools
    /// that are no longer retained too, while they have requests.
    pub(super) all_pools: RefCell<Vec<(String, Weak<RunningPool>)>>,
    /// The engines of all pools. Attempts in flight may keep an engine alive after its pool.
    pub(super) engines: RefCell<Vec<Weak<Engine>>>,
    pub(super) registries: RefCell<BTreeMap<SocketAddr, RegistryWatch>>,
    /// The sockets of JSON-RPC listeners, by configured name and address.
    pub(super) sockets: RefCell<BTreeMap<(String, SocketAddr), Rc<TcpListener>>>,
    pub(super) listeners_changed: watch::Sender<()>,
    pub(super) backend_states: RefCell<BackendStates>,
    pub(super) transactions: RefCell<TransactionManager>,
    pub(super) journal: RefCell<Option<Journal<StateFolder>>>,
    /// The expectations that the open transaction must meet.
    pub(super) expectations: RefCell<Option<LoadedExpectations>>,
    pub(super) required_change: RefCell<Option<RequiredChange>>,
    /// The number of endpoint list updates. A verification that started before the last is stale.
    pub(super) endpoint_updates: Cell<u64>,
    /// The latest messages about changes, oldest first.
    pub(super) messages: RefCell<VecDeque<String>>,
    pub(super) started: Instant,
}

impl RoutedPools {
    /// Starts the pools of a committed generation. `highest_number` is the highest generation
    /// number ever assigned.
    ///
    /// # Errors
    ///
    /// Fails if a listener can't be opened or the settings of a pool are not valid.
    pub fn start(
        config: RoutedPoolsConfig,
        initial: &Rc<Generation>,
        highest_number: u64,
        journal: Option<Journal<StateFolder>>,
    ) -> Result<Rc<RoutedPools>, RouterError> {
        let limits = config.transactions.clone();
        let transactions = TransactionManager::new(limits, initial.clone(), highest_number);
        let active = Rc::new(ActivePools {
            generation: initial.clone(),
            pools: Vec::new(),
            classes: HashSet::new(),
        });
        let pools = Rc::new(RoutedPools {
            default_registry: Cell::new(config.default_registry),
            config,
            metrics: Rc::new(MetricsRegistry::new()),
            active: RefCell::new(active),
            retained_pools: RefCell::default(),
            all_pools: RefCell::default(),
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
        pools.open_listeners(initial)?;
        pools.activate(initial)?;
        if let Some(activity_log) = &pools.config.activity_log {
            activity_log.announce_commit(initial.number, &initial.text, None);
        }
        pools.spawn_sampling();
        Ok(pools)
    }

    /// Samples the active pools and advances the open transaction at regular intervals.
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

    /// Binds a request to the pool that its route selects. Returns `None` if no route matches or
    /// the pool does not serve the class.
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
        let pool = &active.pools[table.select_pool(route, stable_hash(request.key))?];
        let mut classes = pool.definition.classes.iter();
        let class = classes.find(|c| c.name == request.class)?;
        let bound = bind_to_engine(&pool.engine, request.class)?;
        Some(BoundRequest {
            deadline: Some(millis(class.deadline_ms)),
            transport: pool.definition.jsonrpc.as_ref().map(jsonrpc_transport),
            _route: Some((active.generation.clone(), pool.clone())),
            ..bound
        })
    }

    /// Returns the metrics of all pools.
    pub fn metrics(&self) -> &Rc<MetricsRegistry> {
        &self.metrics
    }

    /// Returns the generation that new requests bind to.
    pub fn current_generation(&self) -> Rc<Generation> {
        self.active.borrow().generation.clone()
    }

    /// Returns whether this proxy is fenced: it must not bind requests, since its generation is not
    /// the one that the cluster requires, or it can't know the requirement.
    pub(super) fn is_fenced(&self) -> bool {
        self.config
            .activity_log
            .as_ref()
            .is_some_and(|activity_log| activity_log.is_fenced())
    }

    pub(super) fn has_backends(&self) -> bool {
        self.active
            .borrow()
            .pools
            .iter()
            .any(|pool| pool.engine.is_ready())
    }

    pub(super) fn serves(&self, class: &str) -> bool {
        self.active.borrow().classes.contains(class)
    }

    pub(super) fn engines(&self) -> Vec<Rc<Engine>> {
        let mut engines = self.engines.borrow_mut();
        engines.retain(|engine| engine.strong_count() > 0);
        engines.iter().filter_map(Weak::upgrade).collect()
    }

    /// Returns the pools that are retained or still have requests.
    pub(super) fn live_pools(&self) -> Vec<Rc<RunningPool>> {
        let pools = self.all_pools.borrow();
        pools
            .iter()
            .filter_map(|(_, pool)| pool.upgrade())
            .collect()
    }

    /// Puts a generation in force: new requests bind to it.
    pub(super) fn activate(
        self: &Rc<Self>,
        generation: &Rc<Generation>,
    ) -> Result<(), RouterError> {
        let definitions = generation.config.pools.iter();
        let pools = definitions
            .map(|definition| self.ensure_running(definition))
            .collect::<Result<Vec<_>, _>>()?;
        let classes = pools.iter().flat_map(|pool| &pool.definition.classes);
        let classes = classes.map(|class| class.name.clone()).collect();
        self.active.replace(Rc::new(ActivePools {
            generation: generation.clone(),
            pools,
            classes,
        }));
        if let Some(activity_log) = &self.config.activity_log {
            activity_log.set_routes(generation.number, &generation.text);
        }
        self.share_slow_start_budgets();
        self.listeners_changed.send_replace(());
        Ok(())
    }

    /// Releases the pools, listeners and registries that are no longer used. During a transaction,
    /// pools and listeners are kept for a commit or a rollback.
    pub(super) fn release_unused(&self) {
        if self.transactions.borrow().open_transaction().is_none() {
            let active = self.active.borrow().clone();
            let pools = active.pools.iter();
            let keys: BTreeSet<&str> = pools.map(|pool| pool.key.as_str()).collect();
            let mut retained_pools = self.retained_pools.borrow_mut();
            retained_pools.retain(|key, _| keys.contains(key.as_str()));
            drop(retained_pools);
            self.close_unused_listeners();
        }
        self.all_pools.borrow_mut().retain(|(key, pool)| {
            let is_live = pool.strong_count() > 0;
            if !is_live {
                let mut states = self.backend_states.borrow_mut();
                states.set_pool_backends(key, &BTreeSet::new());
            }
            is_live
        });
        self.release_unused_registries();
    }
}
