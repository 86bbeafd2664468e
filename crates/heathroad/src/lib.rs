//! heathroad, a balancing proxy for services that call services: the decisions of
//! `heathroad-balancer` on real sockets.
//!
//! A request goes one way through the modules:
//!
//! - `front` takes it from its caller, checks it, and writes its one answer: `http`, and `rpc` for
//!   calls over JSON-RPC, where routes name listeners for it (texts and framing:
//!   `heathroad-jsonrpc`). `room` is what callers hold of the proxy.
//! - `router` binds it to a pool: the one of the settings, or one of many by routes that change by
//!   transactions (decided in `heathroad-routing`).
//! - `engine`, one for each pool, alone owns the decision module: it turns what happens on the
//!   sockets into the module's events, in one order, and carries out its actions.
//! - `backend` carries out attempts over kept connections, and says what each ending means.
//!
//! `membership` is this proxy among its peers, `lease` the work that one of them does at a time.
//!
//! Beside that way: `configuration` is read at the start and kept on disk, `discovery` follows the
//! list of backends, `operation` is the command line and the address at which operators ask. Both
//! ends of the way use `stream`, which watches how far a request got on a connection, `budget`,
//! `counts`, and `effort`, which counts what requests ask of the system. Everything runs on one
//! thread. This file holds the start, the signals and the wiring.

#![cfg_attr(not(test), deny(clippy::disallowed_methods))]

mod admin;
mod backend;
mod cli;
mod configuration;
mod discovery;
mod engine;
mod frontend;
mod lease;
mod logging;
mod membership;
mod metrics;
mod retry_budget;
mod router;
mod runtime_accounting;
mod safety;
mod stall_detector;
mod stream;
mod time;

use crate::runtime_accounting::{sleep, spawn_local, timeout};
use backend::Pool;
use configuration::Config;
use discovery::DiscoveryEvent;
use engine::Engine;
use frontend::connections;
use frontend::http::HttpFrontend;
use frontend::jsonrpc::JsonRpcFrontend;
use heathroad_balancer::api::UpdateKind;
use heathroad_routing::transaction::Event;
use lease::LeaseService;
use membership::MembershipService;
use membership::activity_log::ActivityLog;
use metrics::{Counts, Meter};
use retry_budget::RetryBudgets;
use router::routed_pools::RoutedPools;
use router::{Router, stale_routes, startup};
use std::hash::{BuildHasher, Hasher, RandomState};
use std::io::Write;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;
use time::millis;
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;
use tokio::task::{JoinHandle, LocalSet};
use tokio::time::Instant;

/// After SIGTERM new connections go on coming for so long.
const LINGER: Duration = Duration::from_millis(500);
/// So long after SIGTERM all that was taken must be answered; a kill may follow soon after.
const LAST: Duration = Duration::from_millis(3300);
/// No kill comes sooner after SIGTERM than the longest deadline, but 3 s at most, and so long: what
/// is taken in this time is answered by its own deadline.
const KILL: Duration = Duration::from_millis(700);
const _: () =
    assert!(LINGER.as_millis() + connections::FIRST_REQUEST_GRACE.as_millis() < KILL.as_millis());
const _: () = assert!(LAST.as_millis() < 3000 + KILL.as_millis());
/// How often kept connections are looked through for old ones, and backends for those that are
/// gone.
const SWEEP: Duration = Duration::from_secs(1);
/// Descriptors that are neither callers' nor backends' connections: standard streams, the listener,
/// the reactor, signals, discovery, and connections that are taken only to be refused.
const RESERVED: usize = 16 + connections::SPARE_CONNECTIONS;
/// Descriptors of the duties: their file, and calls.
const DUTIES: usize = 4;
/// The bodies of open requests may fill this part of the memory; the rest is for buffers, answers
/// and the program.
const BODIES: usize = 4;

/// The program, by its command line: the daemon where that says nothing.
pub fn main() -> ExitCode {
    cli::commands::main(start)
}

fn start() -> Result<(), String> {
    logging::begin()?;
    let config = configuration::load()?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let runtime = runtime.map_err(|e| format!("runtime: {e}"))?;
    LocalSet::new().block_on(&runtime, run(config))
}

/// Where the lists of backends come from, and what a new configuration changes of that.
enum Lists {
    /// One pool, that of the settings, follows one address.
    One {
        engine: Rc<Engine>,
        must_ask: bool,
        wanted: watch::Receiver<bool>,
        following: JoinHandle<()>,
        address: SocketAddr,
        acts: Option<Rc<ActivityLog>>,
    },
    /// Pools by routes follow their own.
    Routes(Rc<RoutedPools>),
}

fn one_pool(
    config: &mut Config,
    pool: &Rc<Pool>,
    acts: Option<Rc<ActivityLog>>,
) -> Result<Lists, String> {
    let (watching, wanted) = watch::channel(false);
    let must_ask = config.facts.balancer.polls_endpoints;
    let counts = Counts::new(&Rc::new(Meter::new()), "", &config.facts.site);
    let engine = Engine::new(
        config.facts.clone(),
        config.seed,
        pool.clone(),
        counts,
        acts.clone(),
        watching,
    );
    let engine = engine.map_err(|e| e.to_string())?;
    let known = config
        .known
        .take()
        .map(discovery::endpoint_list::EndpointList::into_instances)
        .unwrap_or_default();
    engine.update_endpoints(UpdateKind::Cached, known);
    let following = follow(&engine, config.discovery, must_ask, &wanted, acts.clone());
    let address = config.discovery;
    Ok(Lists::One {
        engine,
        must_ask,
        wanted,
        following,
        address,
        acts,
    })
}

/// Differs between processes: loans are known by numbers that no two proxies should give.
fn seed() -> u64 {
    RandomState::new().build_hasher().finish()
}

fn follow(
    engine: &Rc<Engine>,
    address: SocketAddr,
    must_ask: bool,
    wanted: &watch::Receiver<bool>,
    acts: Option<Rc<ActivityLog>>,
) -> JoinHandle<()> {
    let (engine, grace) = (engine.clone(), millis(engine.settings().site.drain_grace));
    let hear = move |news| match news {
        DiscoveryEvent::Update(update) => {
            tracing::debug!("discovery: {update}");
            if let Some(acts) = &acts {
                acts.endpoint_list_received(address, update.version);
            }
            engine.update_endpoints(update.kind, update.instances);
        }
        DiscoveryEvent::PollFailed => engine.record_list_failure(),
    };
    spawn_local(discovery::follow(
        hear,
        address,
        must_ask,
        grace,
        wanted.clone(),
    ))
}

impl Lists {
    fn reload(&mut self, config: &Config) {
        let address = config.discovery;
        tracing::info!(discovery = %address, "configuration read again, discovery at {address}");
        match self {
            Lists::One {
                engine,
                must_ask,
                wanted,
                following,
                address: old,
                acts,
            } => {
                // The old watch ends at once, with its connection and its version: the new address
                // is asked for the whole list.
                following.abort();
                *following = follow(engine, address, *must_ask, wanted, acts.clone());
                let old = std::mem::replace(old, address);
                if let Some(acts) = acts.as_ref().filter(|_| old != address) {
                    acts.endpoint_source_removed(old);
                }
            }
            Lists::Routes(many) => {
                many.set_default_registry(address);
                if let Some(file) = &config.routes {
                    spawn_local(startup::reload(file.clone(), many.clone()));
                }
            }
        }
    }
}

async fn run(mut config: Config) -> Result<(), String> {
    spawn_local(stall_detector::run());
    let mut terminated = signal(SignalKind::terminate()).map_err(|e| format!("SIGTERM: {e}"))?;
    let mut reloaded = signal(SignalKind::hangup()).map_err(|e| format!("SIGHUP: {e}"))?;
    // Each request in work holds a connection on either side; kept ones fill what is left.
    let admin = if config.admin.is_some() {
        1 + admin::CONNECTIONS
    } else {
        0
    };
    // The peers' port; the file of the duties, and a call of one's work.
    let fleet = config
        .fleet
        .as_ref()
        .map_or(0, |f| if f.leases.is_some() { 1 + DUTIES } else { 1 });
    let usable = config.sockets - RESERVED - admin - fleet;
    let acts = config.fleet.as_ref().map(|fleet| {
        let before = config
            .state
            .as_deref()
            .map(membership::read_record)
            .transpose()
            .unwrap_or_else(|e| {
                tracing::warn!("fleet: record: {e}");
                None
            });
        ActivityLog::new(
            config.digest,
            before.flatten(),
            fleet.sends_version_header,
            fleet.fence_unsure_after,
        )
    });
    let site = &config.facts.site;
    let pool = Rc::new(Pool::new(backend::Limits {
        connections: usable / 2,
        connect_timeout: millis(site.connect_timeout),
        idle_timeout: millis(site.idle_timeout),
        drain_grace: millis(site.drain_grace),
        may_duplicate: site.hedging_allowed,
    }));
    let listener = TcpListener::bind(config.listen).await;
    let listener = listener.map_err(|e| format!("listen: {}: {e}", config.listen))?;
    let bound = listener.local_addr().map_err(|e| format!("listen: {e}"))?;
    let (settings, descriptors) = (config.facts.clone(), config.sockets);
    let mut source = match &config.routes {
        None => one_pool(&mut config, &pool, acts.clone())?,
        Some(file) => Lists::Routes(startup::start(file, &config, &pool, acts.clone())?),
    };
    let router = Rc::new(match &source {
        Lists::One { engine, .. } => Router::SinglePool(engine.clone()),
        Lists::Routes(many) => Router::Routed(many.clone()),
    });
    let (mut peers, mut duties) = (None, None);
    if let Some((mut fleet, acts)) = config.fleet.take().zip(acts) {
        let named = fleet.leases.take();
        let among = MembershipService::begin(fleet, config.seed, acts, config.state.clone())
            .await
            .map_err(|error| error.to_string())?;
        if let Some(named) = named {
            let folder = config.state.as_deref();
            let service = LeaseService::start(named, seed(), among.clone(), folder);
            duties = Some(service.map_err(|e| e.to_string())?);
        }
        peers = Some(among);
    }
    if let (Some(peers), Router::Routed(many)) = (&peers, &*router) {
        spawn_local(stale_routes::keep_up_to_date(
            Rc::downgrade(many),
            peers.clone(),
            config.seed,
        ));
    }
    tracing::info!(address = %bound, "listening on {bound}");
    if let Some(address) = config.admin {
        let listener = TcpListener::bind(address)
            .await
            .map_err(|e| format!("admin: {address}: {e}"))?;
        let bound = listener.local_addr().map_err(|e| format!("admin: {e}"))?;
        tracing::info!(address = %bound, "admin on {bound}");
        let asked = admin::Asked {
            router: router.clone(),
            peers: peers.clone(),
            duties: duties.clone(),
        };
        spawn_local(admin::serve(listener, asked, descriptors));
    }
    let kept = router.clone();
    spawn_local(async move {
        loop {
            sleep(SWEEP).await;
            pool.close_aged_connections();
            kept.engines()
                .iter()
                .for_each(|engine| engine.forget_unlisted_endpoints());
        }
    });
    let budgets = config.budget.as_ref().map(|b| RetryBudgets::new(b, seed()));
    if let Some(budgets) = &budgets {
        router.meter().keep_budgets(budgets);
    }
    let (stop, stopped) = watch::channel(false);
    let (max_connections, max_buffered_bytes, table) =
        (usable - usable / 2, config.memory / BODIES, Rc::default());
    let calling = match &*router {
        Router::SinglePool(_) => None,
        Router::Routed(many) => {
            let (many, settings, table) = (many.clone(), settings.clone(), Rc::clone(&table));
            let budgets = budgets.clone();
            let front = JsonRpcFrontend {
                many,
                settings,
                max_connections,
                max_buffered_bytes,
                table,
                budgets,
            };
            Some(spawn_local(Rc::new(front).serve(stopped.clone())))
        }
    };
    let front = HttpFrontend {
        router: router.clone(),
        settings,
        max_connections,
        max_buffered_bytes,
        table,
        budgets,
    };
    let serving = spawn_local(Rc::new(front).serve(listener, stopped));
    loop {
        tokio::select! {
            biased;
            _ = terminated.recv() => break,
            _ = reloaded.recv() => {}
        }
        match configuration::reload() {
            Ok(config) => source.reload(&config),
            Err(e) => tracing::warn!("configuration kept: {e}"),
        }
    }
    let engines = router.engines();
    tracing::info!(
        "stopping, {} requests open",
        engines
            .iter()
            .map(|engine| engine.pending_requests())
            .sum::<usize>()
    );
    if let Router::Routed(many) = &*router {
        many.handle(Event::Shutdown);
    }
    // The signal may have come while the process was held up.
    let asked = stall_detector::earliest_arrival(Instant::now());
    engines
        .iter()
        .for_each(|engine| engine.end_requests_at(asked + LAST));
    // Whatever duties have to write first takes nothing of the time in which callers are answered.
    let resign = async {
        if let Some(duties) = &duties {
            // A write that is cut off does no harm: the voters have granted the leases.
            let _ = timeout(LINGER, duties.shut_down()).await;
        }
    };
    tokio::join!(sleep(LINGER), resign);
    tracing::debug!("stop: no new connections");
    stop.send_replace(true);
    // All is answered by `LAST`; a caller that does not take its answer must not keep the program.
    let ended = timeout(LAST, async {
        if let Some(calling) = calling {
            // Its end is all that is asked of it.
            let _ = calling.await;
        }
        serving.await
    });
    let ended = ended.await;
    tracing::debug!(in_time = ended.is_ok(), "stop: connections ended");
    if let Some(peers) = peers {
        peers.leave();
    }
    // Whoever reads standard output may be gone; that is no reason to end otherwise.
    let _ = writeln!(std::io::stdout(), "{}", router.counts_json(descriptors));
    ended.map_or(Ok(()), |served| served.map_err(|e| format!("front: {e}")))
}
