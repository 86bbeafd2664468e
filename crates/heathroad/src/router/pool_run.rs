//! Running pools: a definition of a pool with an engine of its own.
//!
//! A pool that a change defines otherwise gets a new run, so that no request sees a mixture of
//! both. A pool that no change touches goes on with all that its engine has learned.

use super::RouterError;
use super::registry::is_selected;
use super::routed_pools::RoutedPools;
use crate::backend::jsonrpc::Transport;
use crate::engine::Engine;
use crate::metrics::{PoolMetrics, ResponseTotals};

use heathroad_balancer::api::{self, UpdateKind};
use heathroad_balancer::settings::InstanceSettings;
use heathroad_routing::config::{
    BackendSource, Class, DeduplicationScope, Idempotency, JsonRpcSettings, Pool,
};
use heathroad_routing::traffic_split::stable_hash;
use std::cell::Cell;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::watch;

/// A running pool.
pub struct PoolRun {
    /// The name of the pool and a hash of its definition.
    pub(super) key: String,
    pub(super) pool: Pool,
    pub(super) engine: Rc<Engine>,
    /// The counters of the engine when the last sample was taken.
    pub(super) sampled_totals: Cell<ResponseTotals>,
}

impl Drop for PoolRun {
    fn drop(&mut self) {
        self.engine.close();
    }
}

impl PoolRun {
    /// Returns the registry that the pool takes its backends from, if it does.
    pub(super) fn registry(&self, default_registry: SocketAddr) -> Option<SocketAddr> {
        match &self.pool.source {
            BackendSource::Registry { address, .. } => Some(address.unwrap_or(default_registry)),
            BackendSource::List(_) => None,
        }
    }
}

impl RoutedPools {
    /// Returns the run of a pool, and starts it if there is none.
    pub(super) fn ensure_run(self: &Rc<Self>, pool: &Pool) -> Result<Rc<PoolRun>, RouterError> {
        let key = run_key(pool);
        if let Some(run) = self.kept_runs.borrow().get(&key) {
            return Ok(run.clone());
        }
        let engine = self.start_engine(pool, &key)?;
        self.carry_limit_over(&engine, pool);
        let run = Rc::new(PoolRun {
            key: key.clone(),
            pool: pool.clone(),
            engine,
            sampled_totals: Cell::default(),
        });
        let weak = Rc::downgrade(&run);
        self.all_runs.borrow_mut().push((key.clone(), weak));
        self.kept_runs.borrow_mut().insert(key, run.clone());
        self.announce_backends(&run);
        Ok(run)
    }

    fn start_engine(&self, pool: &Pool, key: &str) -> Result<Rc<Engine>, RouterError> {
        let settings = pool_settings(&self.config.settings, pool);
        let counts = PoolMetrics::new(&self.meter, &pool.name, &settings.site);
        // The router itself decides which registries to watch.
        let (watching, _) = watch::channel(false);
        let engine = Engine::new(
            settings,
            self.config.seed ^ stable_hash(key.as_bytes()),
            self.config.connections.clone(),
            counts,
            self.config.activity_log.clone(),
            watching,
        );
        let engine = engine.map_err(|source| RouterError::Pool {
            pool: pool.name.clone(),
            source,
        })?;
        self.engines.borrow_mut().push(Rc::downgrade(&engine));
        Ok(engine)
    }

    /// Starts the engine of a pool that is defined otherwise at the concurrency limit of its
    /// predecessor, scaled by the part of the backends that it keeps: the limit belongs to the
    /// backends and not to the definition.
    fn carry_limit_over(&self, engine: &Rc<Engine>, pool: &Pool) {
        let active = self.active.borrow().clone();
        let predecessor = active.runs.iter().find(|run| run.pool.name == pool.name);
        let Some(predecessor) = predecessor else {
            return;
        };
        let targets = predecessor.engine.available_targets();
        let kept = match (&pool.source, &predecessor.pool.source) {
            (BackendSource::List(backends), _) => targets
                .iter()
                .filter(|target| backends.iter().any(|b| b.address == target.address))
                .count(),
            (now, before) if now == before => targets.len(),
            _ => 0,
        };
        let limit = predecessor.engine.snapshot().load.limit;
        engine.set_initial_limit(limit * kept as f64 / targets.len().max(1) as f64);
    }

    /// Tells the engine of a new run its backends, as far as they are known.
    fn announce_backends(self: &Rc<Self>, run: &PoolRun) {
        match &run.pool.source {
            BackendSource::List(backends) => {
                let addresses: BTreeSet<SocketAddr> = backends.iter().map(|b| b.address).collect();
                let mut states = self.backend_states.borrow_mut();
                states.set_pool_backends(&run.key, &addresses);
                drop(states);
                self.announce_listed_backends(run);
            }
            BackendSource::Registry { address, select } => {
                let registry = address.unwrap_or(self.default_registry.get());
                match self.known_endpoints(registry) {
                    Some(endpoints) => {
                        let selected = endpoints.into_iter().filter(|e| is_selected(e, select));
                        run.engine
                            .update_endpoints(UpdateKind::Snapshot, selected.collect());
                    }
                    None => self.watch_registry(registry),
                }
            }
        }
    }
}

/// Returns the key of a run: the name of the pool and a hash of its definition.
fn run_key(pool: &Pool) -> String {
    // A pool is plain data, so that it always has a JSON form.
    let definition = serde_json::to_string(pool).unwrap_or_default();
    format!("{}/{:016x}", pool.name, stable_hash(definition.as_bytes()))
}

/// Returns how the backends of a pool speak JSON-RPC.
pub(super) fn jsonrpc_transport(settings: &JsonRpcSettings) -> Transport {
    Transport {
        port: settings.port,
        framing: settings.framing,
        max_calls: settings.max_concurrent_calls as usize,
        declined_code: settings.rejection_code,
        carries_budget: settings.carries_budget,
    }
}

/// Returns the settings of a pool: those of the daemon, with the classes of the pool.
fn pool_settings(daemon: &InstanceSettings, pool: &Pool) -> InstanceSettings {
    let mut settings = daemon.clone();
    settings.balancer.classes = pool.classes.iter().map(class_settings).collect();
    settings.site.classes = pool.classes.iter().map(|c| c.name.clone()).collect();
    settings.balancer.polls_endpoints = false;
    if let Some(max_open_requests) = pool.max_open_requests {
        settings.site.max_open_requests = settings
            .site
            .max_open_requests
            .min(max_open_requests as usize);
    }
    settings
}

fn class_settings(class: &Class) -> api::Class {
    api::Class {
        latency_objective: class.latency_objective_ms,
        priority_weight: class.priority_weight,
        idempotency: class_idempotency(class.idempotency),
        ordered_by_key: false,
    }
}

fn class_idempotency(idempotency: Idempotency) -> api::Idempotency {
    match idempotency {
        Idempotency::Idempotent => api::Idempotency::Idempotent,
        Idempotency::NonIdempotent => api::Idempotency::NonIdempotent,
        Idempotency::Keyed { scope, window_ms } => api::Idempotency::Deduplicated {
            window: window_ms,
            scope: match scope {
                DeduplicationScope::All => api::DeduplicationScope::All,
                DeduplicationScope::Site => api::DeduplicationScope::Zone,
                DeduplicationScope::Block => api::DeduplicationScope::Cell,
            },
        },
    }
}
