//! The router, which binds each request to a pool.
//!
//! Without routes there is one pool, that of the settings. With routes each pool has an engine of
//! its own, and a request binds to the generation in force when it arrives: it keeps that
//! generation and its pool to its final response.

mod error;
mod listeners;
mod pool_run;
mod proposal;
mod registry;
pub mod routed_pools;
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
use pool_run::PoolRun;
use routed_pools::RoutedPools;
use std::rc::Rc;
use std::time::Duration;

/// The attributes of a request that decide its pool.
pub struct RoutingRequest<'a> {
    /// The name of the listener that accepted the request.
    pub listener: &'a str,
    /// The method name of a JSON-RPC call.
    pub method: &'a str,
    /// The host as the client sent it.
    pub host: &'a str,
    /// The path without a query.
    pub path: &'a str,
    /// The name of the request class.
    pub class: &'a str,
    /// The name of the tenant.
    pub tenant: &'a str,
    /// The headers.
    pub headers: &'a HeaderMap,
    /// The key of a traffic split: requests with the same key go to the same pool.
    pub key: &'a [u8],
}

/// What a request is bound to, to its final response.
pub struct BoundRequest {
    /// The engine that decides on the request.
    pub engine: Rc<Engine>,
    /// The index of the request class in the engine's settings.
    pub class: u16,
    /// Whether the request may run more than once.
    pub idempotency: Idempotency,
    /// The maximum duration of a request of the class, where the pool limits it.
    pub deadline: Option<Duration>,
    /// How the backends of the pool speak JSON-RPC, where they do.
    pub transport: Option<Transport>,
    /// The activity record of the request, where records are kept.
    pub activity: Option<activity_log::RequestActivity>,
    /// Keeps the generation and the pool that the request is bound to.
    _route: Option<(Rc<Generation>, Rc<PoolRun>)>,
}

/// The pools that requests go to.
pub enum Router {
    /// The one pool of the settings.
    SinglePool(Rc<Engine>),
    /// The pools of a configuration with routes.
    Routed(Rc<RoutedPools>),
}

/// Binds a request of a class to an engine that serves the class.
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
    /// Whether requests are accepted: some pool has backends, and this proxy is not fenced.
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

    /// Whether any pool in force serves a class.
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
    /// Returns the status of the rejection if no route matches or no pool serves the class.
    pub fn bind(&self, request: &RoutingRequest<'_>) -> Result<BoundRequest, StatusCode> {
        let bound = match self {
            Router::SinglePool(engine) => bind_to_engine(engine, request.class),
            Router::Routed(pools) => pools.bind(request),
        };
        bound.ok_or(StatusCode::NOT_FOUND)
    }

    /// Returns all engines that may have requests.
    pub fn engines(&self) -> Vec<Rc<Engine>> {
        match self {
            Router::SinglePool(engine) => vec![engine.clone()],
            Router::Routed(pools) => pools.engines(),
        }
    }

    /// Returns the counters over all pools.
    pub fn meter(&self) -> Rc<MetricsRegistry> {
        match self {
            Router::SinglePool(engine) => engine.metrics().registry().clone(),
            Router::Routed(pools) => pools.meter().clone(),
        }
    }

    /// Returns all counters as Prometheus text. `max_descriptors` is the limit of the process.
    pub fn counts_text(&self, max_descriptors: usize) -> String {
        let descriptors = Descriptors {
            open: count_open_descriptors(),
            max: max_descriptors,
        };
        self.with_moments(|meter, snapshots| meter.to_text(snapshots, descriptors))
    }

    /// Returns all counters as one line of JSON. `max_descriptors` is the limit of the process.
    pub fn counts_json(&self, max_descriptors: usize) -> String {
        let descriptors = Descriptors {
            open: count_open_descriptors(),
            max: max_descriptors,
        };
        self.with_moments(|meter, snapshots| meter.to_json(snapshots, descriptors))
    }

    fn with_moments<T>(
        &self,
        report: impl FnOnce(&MetricsRegistry, &[PoolSnapshot<'_>]) -> T,
    ) -> T {
        let engines = self.engines();
        let snapshots: Vec<PoolSnapshot<'_>> = engines.iter().map(|e| e.snapshot()).collect();
        report(&self.meter(), &snapshots)
    }
}

fn count_open_descriptors() -> usize {
    // One of them is that of the folder itself.
    std::fs::read_dir("/proc/self/fd").map_or(0, |entries| entries.count().saturating_sub(1))
}
