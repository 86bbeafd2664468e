//! Running pools, each of which has an engine of its own.
//!
//! When a change modifies the definition of a pool, a new running pool replaces the old one, and no
//! request is handled by a mixture of both definitions. A pool that a change does not modify keeps
//! its engine, with the engine's concurrency limit and statistics.

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

/// A pool that runs: a pool definition with its engine.
pub struct RunningPool {
    /// The pool's name and a hash of its definition.
    pub(super) key: String,
    pub(super) definition: Pool,
    pub(super) engine: Rc<Engine>,
    /// The engine's response counters at the last sample.
    pub(super) sampled_totals: Cell<ResponseTotals>,
}

impl Drop for RunningPool {
    fn drop(&mut self) {
        self.engine.close();
    }
}

impl RunningPool {
    /// Returns the registry that the pool takes its backends from, or `None` if they are listed.
    pub(super) fn registry(&self, default_registry: SocketAddr) -> Option<SocketAddr> {
        match &self.definition.source {
            BackendSource::Registry { address, .. } => Some(address.unwrap_or(default_registry)),
            BackendSource::List(_) => None,
        }
    }
}

impl RoutedPools {
    /// Returns the running pool of a definition, and starts it if there is none.
    pub(super) fn ensure_running(
        self: &Rc<Self>,
        definition: &Pool,
    ) -> Result<Rc<RunningPool>, RouterError> {
        let key = pool_key(definition);
        if let Some(pool) = self.retained_pools.borrow().get(&key) {
            return Ok(pool.clone());
        }
        let engine = self.start_engine(definition, &key)?;
        self.inherit_concurrency_limit(&engine, definition);
        let pool = Rc::new(RunningPool {
            key: key.clone(),
            definition: definition.clone(),
            engine,
            sampled_totals: Cell::default(),
        });
        let weak = Rc::downgrade(&pool);
        self.all_pools.borrow_mut().push((key.clone(), weak));
        self.retained_pools.borrow_mut().insert(key, pool.clone());
        self.set_initial_backends(&pool);
        Ok(pool)
    }

    fn start_engine(&self, definition: &Pool, key: &str) -> Result<Rc<Engine>, RouterError> {
        let settings = pool_settings(&self.config.settings, definition);
        let metrics = PoolMetrics::new(&self.metrics, &definition.name, &settings.site);
        // The router decides which registries are watched; nothing receives the engine's requests.
        let (watch_requested, _) = watch::channel(false);
        let engine = Engine::new(
            settings,
            self.config.seed ^ stable_hash(key.as_bytes()),
            self.config.connections.clone(),
            metrics,
            self.config.activity_log.clone(),
            watch_requested,
        );
        let engine = engine.map_err(|source| RouterError::Pool {
            pool: definition.name.clone(),
            source,
        })?;
        self.engines.borrow_mut().push(Rc::downgrade(&engine));
        Ok(engine)
    }

    /// Starts the engine of a modified pool at the concurrency limit of the pool that it replaces,
    /// scaled by the fraction of backends that both have: the limit depends on the backends, not on
    /// the definition.
    fn inherit_concurrency_limit(&self, engine: &Rc<Engine>, definition: &Pool) {
        let active = self.active.borrow().clone();
        let mut active_pools = active.pools.iter();
        let predecessor = active_pools.find(|pool| pool.definition.name == definition.name);
        let Some(predecessor) = predecessor else {
            return;
        };
        let targets = predecessor.engine.available_targets();
        let kept = match (&definition.source, &predecessor.definition.source) {
            (BackendSource::List(backends), _) => targets
                .iter()
                .filter(|target| backends.iter().any(|b| b.address == target.address))
                .count(),
            (new, old) if new == old => targets.len(),
            _ => 0,
        };
        let limit = predecessor.engine.snapshot().load.limit;
        engine.set_initial_limit(limit * kept as f64 / targets.len().max(1) as f64);
    }

    /// Passes the backends of a new pool to its engine, as far as they are known.
    fn set_initial_backends(self: &Rc<Self>, pool: &RunningPool) {
        match &pool.definition.source {
            BackendSource::List(backends) => {
                let addresses: BTreeSet<SocketAddr> = backends.iter().map(|b| b.address).collect();
                let mut states = self.backend_states.borrow_mut();
                states.set_pool_backends(&pool.key, &addresses);
                drop(states);
                self.update_listed_backends(pool);
            }
            BackendSource::Registry { address, select } => {
                let registry = address.unwrap_or(self.default_registry.get());
                match self.known_instances(registry) {
                    Some(instances) => {
                        let selected = instances.into_iter().filter(|i| is_selected(i, select));
                        pool.engine
                            .update_endpoints(UpdateKind::Snapshot, selected.collect());
                    }
                    None => self.watch_registry(registry),
                }
            }
        }
    }
}

/// Returns the key of a running pool: the pool's name and a hash of its definition.
fn pool_key(definition: &Pool) -> String {
    // Serialization can't fail: a pool definition is plain data with string keys.
    let json = serde_json::to_string(definition).unwrap_or_default();
    format!("{}/{:016x}", definition.name, stable_hash(json.as_bytes()))
}

/// Returns the transport to the backends of a JSON-RPC pool.
pub(super) fn jsonrpc_transport(settings: &JsonRpcSettings) -> Transport {
    Transport {
        port: settings.port,
        framing: settings.framing,
        max_calls: settings.max_concurrent_calls as usize,
        declined_code: settings.rejection_code,
        carries_budget: settings.carries_budget,
    }
}

/// Returns the settings of a pool's engine: those of the daemon, with the pool's classes and limit.
fn pool_settings(daemon: &InstanceSettings, definition: &Pool) -> InstanceSettings {
    let mut settings = daemon.clone();
    settings.balancer.classes = definition.classes.iter().map(class_settings).collect();
    settings.site.classes = definition.classes.iter().map(|c| c.name.clone()).collect();
    settings.balancer.polls_endpoints = false;
    if let Some(max_open_requests) = definition.max_open_requests {
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
