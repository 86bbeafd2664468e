//! Connects pools to the registries that supply their endpoint lists, and applies configuration
//! reloads to them.

use super::error::DaemonError;
use crate::backend::Pool;
use crate::configuration::Config;
use crate::discovery::endpoint_list::EndpointList;
use crate::discovery::{self, DiscoveryEvent};
use crate::engine::Engine;
use crate::membership::activity_log::ActivityLog;
use crate::metrics::{MetricsRegistry, PoolMetrics};
use crate::router::routed_pools::RoutedPools;
use crate::router::{Router, startup};
use crate::runtime_accounting::spawn_local;
use crate::time::millis;
use heathroad_balancer::api::UpdateKind;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// The source of the endpoint lists.
pub(super) enum EndpointSource {
    /// Without routes, a single pool follows a single registry.
    SinglePool(FollowedRegistry),
    /// With routes, each pool follows the registry of its route, or the default registry.
    Routed(Rc<RoutedPools>),
}

/// The registry that supplies the single pool, and the task that follows it.
pub(super) struct FollowedRegistry {
    engine: Rc<Engine>,
    address: SocketAddr,
    /// Whether the decision module has requested a watch of the registry.
    watch_requested: watch::Receiver<bool>,
    task: JoinHandle<()>,
    activity_log: Option<Rc<ActivityLog>>,
}

impl EndpointSource {
    /// Starts the configured pools.
    pub fn start(
        config: &mut Config,
        pool: &Rc<Pool>,
        activity_log: Option<Rc<ActivityLog>>,
    ) -> Result<Self, DaemonError> {
        let Some(routes) = &config.routes else {
            let registry = FollowedRegistry::start(config, pool, activity_log)?;
            return Ok(EndpointSource::SinglePool(registry));
        };
        let pools = startup::start(routes, config, pool, activity_log)?;
        Ok(EndpointSource::Routed(pools))
    }

    pub fn router(&self) -> Router {
        match self {
            EndpointSource::SinglePool(registry) => Router::SinglePool(registry.engine.clone()),
            EndpointSource::Routed(pools) => Router::Routed(pools.clone()),
        }
    }

    /// Switches to the registry of a reloaded configuration and proposes its routes.
    pub fn reload(&mut self, config: &Config) {
        let address = config.discovery;
        tracing::info!(discovery = %address, "configuration read again, discovery at {address}");
        match self {
            EndpointSource::SinglePool(registry) => registry.change_address(address),
            EndpointSource::Routed(pools) => {
                pools.set_default_registry(address);
                if let Some(file) = &config.routes {
                    spawn_local(startup::reload(file.clone(), pools.clone()));
                }
            }
        }
    }
}

impl FollowedRegistry {
    fn start(
        config: &mut Config,
        pool: &Rc<Pool>,
        activity_log: Option<Rc<ActivityLog>>,
    ) -> Result<Self, DaemonError> {
        let (watch_sender, watch_requested) = watch::channel(false);
        let registry = Rc::new(MetricsRegistry::new());
        let engine = Engine::new(
            config.settings.clone(),
            config.seed,
            pool.clone(),
            PoolMetrics::new(&registry, "", &config.settings.site),
            activity_log.clone(),
            watch_sender,
        )?;
        let cached = config.known.take().map(EndpointList::into_instances);
        engine.update_endpoints(UpdateKind::Cached, cached.unwrap_or_default());
        let address = config.discovery;
        let task = follow(&engine, address, &watch_requested, activity_log.clone());
        Ok(FollowedRegistry {
            engine,
            address,
            watch_requested,
            task,
            activity_log,
        })
    }

    /// Follows the registry at another address. The old watch is aborted and its list version is
    /// dropped, so the new address is asked for the complete list.
    fn change_address(&mut self, address: SocketAddr) {
        self.task.abort();
        let activity_log = self.activity_log.clone();
        self.task = follow(&self.engine, address, &self.watch_requested, activity_log);
        let old = std::mem::replace(&mut self.address, address);
        let moved = self.activity_log.as_ref().filter(|_| old != address);
        if let Some(activity_log) = moved {
            activity_log.endpoint_source_removed(old);
        }
    }
}

/// Spawns a task that passes the endpoint lists of a registry to an engine.
fn follow(
    engine: &Rc<Engine>,
    address: SocketAddr,
    watch_requested: &watch::Receiver<bool>,
    activity_log: Option<Rc<ActivityLog>>,
) -> JoinHandle<()> {
    let settings = engine.settings();
    let polls = settings.balancer.polls_endpoints;
    let drain_grace = millis(settings.site.drain_grace);
    let engine = engine.clone();
    let handle = move |event| match event {
        DiscoveryEvent::Update(update) => {
            tracing::debug!("discovery: {update}");
            if let Some(activity_log) = &activity_log {
                activity_log.endpoint_list_received(address, update.version);
            }
            engine.update_endpoints(update.kind, update.instances);
        }
        DiscoveryEvent::PollFailed => engine.record_discovery_failure(),
    };
    let watch_requested = watch_requested.clone();
    spawn_local(discovery::follow(
        handle,
        address,
        polls,
        drain_grace,
        watch_requested,
    ))
}
