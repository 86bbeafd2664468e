//! The daemon: starts and connects its components, and runs until a graceful shutdown.
//!
//! - [`capacity`] divides the file descriptor limit.
//! - [`endpoint_source`] supplies pools with endpoint lists.
//! - [`cluster`] starts membership and leases.
//! - [`frontends`] serves clients; [`shutdown`] performs the graceful shutdown.

mod capacity;
mod cluster;
mod endpoint_source;
mod error;
mod frontends;
mod shutdown;

pub use error::DaemonError;

use crate::admin::{self, AdminState};
use crate::backend::{Limits, Pool};
use crate::configuration::{self, Config};
use crate::logging;
use crate::router::Router;
use crate::runtime_accounting::{sleep, spawn_local};
use crate::stall_detector;
use crate::time::millis;
use capacity::Capacity;
use cluster::Cluster;
use endpoint_source::EndpointSource;
use frontends::Frontends;
use std::hash::{BuildHasher, Hasher, RandomState};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::task::LocalSet;

/// The interval at which idle connections that are too old are closed and unused endpoints removed.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// Runs the daemon until a graceful shutdown.
///
/// # Errors
///
/// Returns an error if the daemon cannot start or its HTTP frontend fails.
pub fn run() -> Result<(), DaemonError> {
    logging::begin()?;
    let config = configuration::load()?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(DaemonError::Runtime)?;
    LocalSet::new().block_on(&runtime, run_until_stopped(config))
}

async fn run_until_stopped(mut config: Config) -> Result<(), DaemonError> {
    spawn_local(stall_detector::run());
    let mut signals = Signals::new()?;
    let capacity = Capacity::new(&config);
    let activity_log = cluster::create_activity_log(&config);
    let pool = create_pool(&config, capacity);
    let listener = bind(config.listen).await?;
    let address = listener.local_addr().map_err(DaemonError::ListenAddress)?;
    let mut source = EndpointSource::start(&mut config, &pool, activity_log.clone())?;
    let router = Rc::new(source.router());
    let cluster = Cluster::start(&mut config, activity_log).await?;
    cluster.keep_routes_up_to_date(&router, config.seed);
    tracing::info!(%address, "listening on {address}");
    start_admin(&config, &router, &cluster).await?;
    spawn_local(sweep(pool, router.clone()));
    let frontends = Frontends::start(&config, capacity, listener, &router);
    signals.reload_until_stopped(&mut source).await;
    shutdown::shut_down(&router, cluster, frontends, config.sockets).await
}

/// The signals that the daemon handles.
struct Signals {
    terminate: Signal,
    hangup: Signal,
}

impl Signals {
    fn new() -> Result<Self, DaemonError> {
        let handle =
            |kind, name| signal(kind).map_err(|source| DaemonError::Signal { name, source });
        Ok(Signals {
            terminate: handle(SignalKind::terminate(), "SIGTERM")?,
            hangup: handle(SignalKind::hangup(), "SIGHUP")?,
        })
    }

    /// Reloads the configuration on each SIGHUP, and returns on SIGTERM.
    async fn reload_until_stopped(&mut self, source: &mut EndpointSource) {
        loop {
            tokio::select! {
                biased;
                _ = self.terminate.recv() => return,
                _ = self.hangup.recv() => {}
            }
            match configuration::reload() {
                Ok(config) => source.reload(&config),
                Err(error) => tracing::warn!("configuration kept: {error}"),
            }
        }
    }
}

fn create_pool(config: &Config, capacity: Capacity) -> Rc<Pool> {
    let site = &config.settings.site;
    Rc::new(Pool::new(Limits {
        connections: capacity.backend_connections,
        connect_timeout: millis(site.connect_timeout),
        idle_timeout: millis(site.idle_timeout),
        drain_grace: millis(site.drain_grace),
        may_duplicate: site.hedging_allowed,
    }))
}

async fn bind(address: SocketAddr) -> Result<TcpListener, DaemonError> {
    let listener = TcpListener::bind(address).await;
    listener.map_err(|source| DaemonError::Listen { address, source })
}

/// Starts the admin server if an address is configured for it.
async fn start_admin(
    config: &Config,
    router: &Rc<Router>,
    cluster: &Cluster,
) -> Result<(), DaemonError> {
    let Some(address) = config.admin else {
        return Ok(());
    };
    let listener = TcpListener::bind(address).await;
    let listener = listener.map_err(|source| DaemonError::Admin { address, source })?;
    let address = listener.local_addr().map_err(DaemonError::AdminAddress)?;
    tracing::info!(%address, "admin on {address}");
    let state = AdminState {
        router: router.clone(),
        membership: cluster.membership.clone(),
        leases: cluster.leases.clone(),
        max_descriptors: config.sockets,
    };
    spawn_local(admin::serve(listener, state));
    Ok(())
}

/// Periodically closes idle connections that are too old and removes unused endpoints.
async fn sweep(pool: Rc<Pool>, router: Rc<Router>) {
    loop {
        sleep(SWEEP_INTERVAL).await;
        pool.close_aged_connections();
        for engine in router.engines() {
            engine.remove_unused_endpoints();
        }
    }
}

/// Returns a random seed for the identifiers of retry budgets and leases, so that proxies do not
/// generate the same ones.
fn process_seed() -> u64 {
    RandomState::new().build_hasher().finish()
}
