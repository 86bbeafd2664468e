//! Binds each request to a pool.
//!
//! Without routes there is a single pool, which the settings define. With routes, each pool has its
//! own engine, and a request uses the generation in force at its arrival, and its pool there, until
//! its final response.

mod error;
mod listeners;
mod proposal;
mod registry;
pub mod routed_pools;
mod running_pool;
pub mod stale_routes;
pub mod startup;
mod transactions;

pub use error::{ProposalError, RouterError};

use crate::backend::jsonrpc::Transport;
use crate::engine::Engine;
use crate::membership::activity_log;
use crate::metrics::{Descriptors, MetricsRegistry, PoolSnapshot};
use heathroad_balancer::api::Idempotency;
use heathroad_routing::generation::Generation;
use hyper::StatusCode;
use hyper::header::HeaderMap;
use routed_pools::RoutedPools;
use running_pool::RunningPool;
use std::rc::Rc;
use std::time::Duration;

/// The attributes of a request by which its pool is selected.
pub struct RoutingRequest<'a> {
    /// The name of the listener that accepted the request.
    pub listener: &'a str,
    /// The method name, for a JSON-RPC call.
    pub method: &'a str,
    /// The host as the client sent it, which may include a port.
    pub host: &'a str,
    /// The path without the query.
    pub path: &'a str,
    /// The name of the request class.
    pub class: &'a str,
    /// The name of the tenant.
    pub tenant: &'a str,
    /// The headers of the request.
    pub headers: &'a HeaderMap,
    /// The key for traffic splits: requests with the same key go to the same pool.
    pub key: &'a [u8],
}

/// What a request is bound to until its final response.
pub struct BoundRequest {
    /// The engine that handles the request.
    pub engine: Rc<Engine>,
    /// The index of the request class in the engine's settings.
    pub class: u16,
    /// Whether the request may run more than once.
    pub idempotency: Idempotency,
    /// The time limit that the pool sets for requests of the class.
    pub deadline: Option<Duration>,
    /// The transport to the pool's backends, if they speak JSON-RPC.
    pub transport: Option<Transport>,
    /// The activity record of the request, if this proxy keeps an activity log.
    pub activity: Option<activity_log::RequestActivity>,
    /// Keeps the generation and the running pool alive.
    _route: Option<(Rc<Generation>, Rc<RunningPool>)>,
}

/// The pools that requests go to.
pub enum Router {
    /// The single pool that the settings define.
    SinglePool(Rc<Engine>),
    /// The pools of a configuration with routes.
    Routed(Rc<RoutedPools>),
}

/// Binds a request to an engine. Returns `None` if the engine does not serve the class.
fn bind_to_engine(engine: &Rc<Engine>, class: &str) -> Option<BoundRequest> {
    let settings = engine.settings();
    let index = settings.site.classes.iter().position(|c| c == class)?;
    Some(BoundRequest {
        engine: engine.clone(),
        class: index as u16,
        idempotency: settings.balancer.classes[index].idempotency,
        deadline: None,
        transport: None,
        activity: engine.bind_activity(),
        _route: None,
    })
}

impl Router {
    /// Returns whether requests are accepted: a pool has backends, and this proxy is not fenced.
    pub fn ready(&self) -> bool {
        let is_fenced = match self {
            Router::SinglePool(engine) => engine.is_fenced(),
            Router::Routed(pools) => pools.is_fenced(),
        };
        let has_backends = match self {
            Router::SinglePool(engine) => engine.is_ready(),
            Router::Routed(pools) => pools.has_backends(),
        };
        has_backends && !is_fenced
    }

    /// Returns whether a pool in force serves a class.
    pub fn serves(&self, class: &str) -> bool {
        match self {
            Router::SinglePool(engine) => engine.settings().site.classes.iter().any(|c| c == class),
            Router::Routed(pools) => pools.serves(class),
        }
    }

    /// Binds a request to a pool.
    ///
    /// # Errors
    ///
    /// Returns the status of the rejection if no route matches or the pool does not serve the
    /// class.
    pub fn bind(&self, request: &RoutingRequest<'_>) -> Result<BoundRequest, StatusCode> {
        let bound = match self {
            Router::SinglePool(engine) => bind_to_engine(engine, request.class),
            Router::Routed(pools) => pools.bind(request),
        };
        bound.ok_or(StatusCode::NOT_FOUND)
    }

    /// Returns all engines that may have open requests.
    pub fn engines(&self) -> Vec<Rc<Engine>> {
        match self {
            Router::SinglePool(engine) => vec![engine.clone()],
            Router::Routed(pools) => pools.engines(),
        }
    }

    /// Returns the metrics of all pools.
    pub fn metrics(&self) -> Rc<MetricsRegistry> {
        match self {
            Router::SinglePool(engine) => engine.metrics().registry().clone(),
            Router::Routed(pools) => pools.metrics().clone(),
        }
    }

    /// Returns all metrics as Prometheus text. `max_descriptors` is the process's limit of file
    /// descriptors.
    pub fn metrics_text(&self, max_descriptors: usize) -> String {
        let descriptors = Descriptors {
            open: count_open_descriptors(),
            max: max_descriptors,
        };
        self.with_snapshots(|metrics, snapshots| metrics.to_text(snapshots, descriptors))
    }

    /// Returns all metrics as one line of JSON. `max_descriptors` is the process's limit of file
    /// descriptors.
    pub fn metrics_json(&self, max_descriptors: usize) -> String {
        let descriptors = Descriptors {
            open: count_open_descriptors(),
            max: max_descriptors,
        };
        self.with_snapshots(|metrics, snapshots| metrics.to_json(snapshots, descriptors))
    }

    fn with_snapshots<T>(
        &self,
        report: impl FnOnce(&MetricsRegistry, &[PoolSnapshot<'_>]) -> T,
    ) -> T {
        let engines = self.engines();
        let snapshots: Vec<PoolSnapshot<'_>> = engines.iter().map(|e| e.snapshot()).collect();
        report(&self.metrics(), &snapshots)
    }
}

fn count_open_descriptors() -> usize {
    // Reading the folder opens one descriptor more.
    std::fs::read_dir("/proc/self/fd").map_or(0, |entries| entries.count().saturating_sub(1))
}
