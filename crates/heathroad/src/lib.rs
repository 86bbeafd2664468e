//! heathroad, a balancing proxy for services that call services: the decisions of `turnshift` on real sockets.
//!
//! A request goes one way through the modules:
//!
//! - `front` takes it from its caller, checks it, and writes its one answer; `rpc` does so for calls over JSON-RPC, where
//!   routes name listeners for it (texts and framing: `heathroad-jsonrpc`).
//! - `router` binds it to a pool: the one of the settings, or one of many by routes that change by transactions
//!   (decided in `heathroad-routing`; `disk` keeps them, `routes` reads their files).
//! - `engine`, one for each pool, alone owns the decision module: it turns what happens on the sockets into the module's events, in one
//!   order, and carries out its actions.
//! - `backend` carries out attempts over kept connections, and says what each ending means; `stream` watches how far
//!   a request got on a connection.
//!
//! Beside that way: `config` is read at the start, `discovery` follows the list of backends (`roster` is its form),
//! `counts` and `admin` tell operators what was done, `cli` is the command line, `remote` its calls to a daemon. Everything runs on one thread.
//! `effort` counts what requests ask of the system. This file holds the start, the signals and the wiring.

#![cfg_attr(not(test), deny(clippy::disallowed_methods))]

mod admin;
mod backend;
mod budget;
mod cli;
mod config;
mod counts;
mod discovery;
mod disk;
mod effort;
mod engine;
mod expect;
mod front;
mod gate;
mod pace;
mod remote;
mod roster;
mod router;
mod routes;
mod rpc;
mod stream;
mod wait;

use crate::effort::{sleep, spawn_local, timeout};
use backend::Pool;
use budget::Books;
use clap::Parser;
use cli::{Cli, Command};
use config::Config;
use counts::{Counts, Meter};
use discovery::News;
use engine::{Engine, millis};
use front::Front;
use heathroad_routing::transaction::Event;
use hyper::Method;
use router::{Many, Router};
use std::hash::{BuildHasher, Hasher, RandomState};
use std::io::Write;
use std::net::SocketAddr;
use std::path::Path;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;
use tokio::task::{JoinHandle, LocalSet};
use tokio::time::Instant;
use turnshift::api::ListKind;

/// After SIGTERM new connections go on coming for so long.
const LINGER: Duration = Duration::from_millis(500);
/// So long after SIGTERM all that was taken must be answered; a kill may follow soon after.
const LAST: Duration = Duration::from_millis(3300);
/// How often kept connections are looked through for old ones, and backends for those that are gone.
const SWEEP: Duration = Duration::from_secs(1);
/// Descriptors that are neither callers' nor backends' connections: standard streams, the listener, the
/// reactor, signals, discovery, and connections that are taken only to be refused.
const RESERVED: usize = 16 + front::SPARE;
/// The bodies of open requests may fill this part of the memory; the rest is for buffers, answers and the program.
const BODIES: usize = 4;

/// The exit code for a file that `check`, `diff`, `expect` or `drains` turns down; a failed start ends with 1.
const BAD_INPUT: u8 = 2;

/// The program, by its command line: the daemon where that says nothing, else a look at files or a call to a daemon.
pub fn main() -> ExitCode {
    let (done, code) = match Cli::parse().command {
        None => (start(), ExitCode::FAILURE),
        Some(Command::Check { file }) => (check(&file), ExitCode::from(BAD_INPUT)),
        Some(Command::Expect { with }) => (told(expect::expect(&with)), ExitCode::from(BAD_INPUT)),
        Some(Command::Drains { with, node, site, at_once }) => {
            (told(expect::plan(&with, &node, &site, at_once)), ExitCode::from(BAD_INPUT))
        }
        Some(Command::Diff { from, to }) => (diff(&from, &to), ExitCode::from(BAD_INPUT)),
        Some(Command::Apply { file, at }) => (apply(&file, at.admin), ExitCode::FAILURE),
        Some(Command::Status { at }) => (ask(at.admin, Method::GET, "/config/status"), ExitCode::FAILURE),
        Some(Command::Undo { at }) => (ask(at.admin, Method::POST, "/config/undo"), ExitCode::FAILURE),
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("heathroad: {e}");
            code
        }
    }
}

fn check(file: &Path) -> Result<(), String> {
    if file.extension().is_some_and(|e| e == "toml") {
        let routes = routes::read(file)?;
        let (pools, count) = (routes.config.pools.len(), routes.config.routes.len());
        return say(&format!(
            "{}: good: {pools} pools, {count} routes, digest {}",
            file.display(),
            routes.digest
        ));
    }
    let config = config::check(file)?;
    if let Some(file) = &config.routes {
        routes::rounds(&*routes::read(file)?, config.listen)?;
    }
    let site = &config.facts.site;
    say(&format!(
        "{}: good: {} classes, {} tenants, listens on {}, discovery at {}",
        file.display(),
        site.classes.len(),
        site.tenants.len(),
        config.listen,
        config.discovery
    ))
}

fn diff(from: &Path, to: &Path) -> Result<(), String> {
    let (from, to) = (routes::read(from)?, routes::read(to)?);
    let words = heathroad_routing::diff::words(&from, &to);
    say(if words.is_empty() { "no request moves, no pool changes".to_string() } else { words.join("\n") }
        .as_str())
}

/// What is found broken is an answer like any other, with an exit code of its own.
fn told(found: Result<String, expect::Trouble>) -> Result<(), String> {
    match found {
        Ok(text) => say(&text),
        Err(expect::Trouble::Other(e)) => Err(e),
        Err(expect::Trouble::Broken(text)) => {
            say(&text)?;
            Err("what is expected does not hold".to_string())
        }
    }
}

fn apply(file: &Path, admin: Option<SocketAddr>) -> Result<(), String> {
    let text = std::fs::read_to_string(file).map_err(|e| format!("{}: {e}", file.display()))?;
    say(&remote::call(admin, Method::POST, "/config/apply", text)?)
}

fn ask(admin: Option<SocketAddr>, method: Method, path: &str) -> Result<(), String> {
    say(&remote::call(admin, method, path, String::new())?)
}

fn say(text: &str) -> Result<(), String> {
    writeln!(std::io::stdout(), "{text}").map_err(|e| format!("standard output: {e}"))
}

fn start() -> Result<(), String> {
    let config = config::load()?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| format!("runtime: {e}"))?;
    LocalSet::new().block_on(&runtime, run(config))
}

/// Where the lists of backends come from, and what a new configuration changes of that.
enum Lists {
    /// One pool, that of the settings, follows one address.
    One { engine: Rc<Engine>, must_ask: bool, wanted: watch::Receiver<bool>, following: JoinHandle<()> },
    /// Pools by routes follow their own.
    Routes(Rc<Many>),
}

fn one_pool(config: &mut Config, pool: &Rc<Pool>) -> Result<Lists, String> {
    let (watching, wanted) = watch::channel(false);
    let must_ask = config.facts.settings.must_ask;
    let counts = Counts::new(&Rc::new(Meter::new()), "", &config.facts.site);
    let engine = Engine::new(config.facts.clone(), config.seed, pool.clone(), counts, watching);
    let engine = engine.map_err(|e| e.to_string())?;
    let known = config.known.take().map(|page| page.entries()).unwrap_or_default();
    engine.list(ListKind::Cached, known);
    let following = follow(&engine, config.discovery, must_ask, &wanted);
    Ok(Lists::One { engine, must_ask, wanted, following })
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
) -> JoinHandle<()> {
    let engine = engine.clone();
    let hear = move |news| match news {
        News::List(kind, hosts) => engine.list(kind, hosts),
        News::Failed => engine.list_failed(),
    };
    spawn_local(discovery::follow(hear, address, must_ask, wanted.clone()))
}

impl Lists {
    fn reload(&mut self, config: &Config) {
        let address = config.discovery;
        eprintln!("heathroad: configuration read again, discovery at {address}");
        match self {
            Lists::One { engine, must_ask, wanted, following } => {
                // The old watch ends at once, with its connection and its version: the new address is asked for the
                // whole list.
                following.abort();
                *following = follow(engine, address, *must_ask, wanted);
            }
            Lists::Routes(many) => {
                many.move_registry(address);
                if let Some(file) = &config.routes {
                    spawn_local(routes::reload(file.clone(), many.clone()));
                }
            }
        }
    }
}

async fn run(mut config: Config) -> Result<(), String> {
    let mut terminated = signal(SignalKind::terminate()).map_err(|e| format!("SIGTERM: {e}"))?;
    let mut reloaded = signal(SignalKind::hangup()).map_err(|e| format!("SIGHUP: {e}"))?;
    // Each request in work holds a connection on either side; kept ones fill what is left.
    let admin = if config.admin.is_some() { 1 + admin::CONNECTIONS } else { 0 };
    let usable = config.sockets - RESERVED - admin;
    let site = &config.facts.site;
    let pool = Rc::new(Pool::new(backend::Limits {
        connections: usable / 2,
        connect: millis(site.connect_timeout),
        idle: millis(site.conn_idle),
        drain_grace: millis(site.drain_grace),
        may_duplicate: site.may_duplicate,
    }));
    let listener = TcpListener::bind(config.listen).await;
    let listener = listener.map_err(|e| format!("listen: {}: {e}", config.listen))?;
    let bound = listener.local_addr().map_err(|e| format!("listen: {e}"))?;
    let (facts, descriptors) = (config.facts.clone(), config.sockets);
    let mut source = match &config.routes {
        None => one_pool(&mut config, &pool)?,
        Some(file) => Lists::Routes(routes::start(file, &config, &pool)?),
    };
    let router = Rc::new(match &source {
        Lists::One { engine, .. } => Router::One(engine.clone()),
        Lists::Routes(many) => Router::Many(many.clone()),
    });
    eprintln!("heathroad: listening on {bound}");
    if let Some(address) = config.admin {
        let listener = TcpListener::bind(address).await.map_err(|e| format!("admin: {address}: {e}"))?;
        let bound = listener.local_addr().map_err(|e| format!("admin: {e}"))?;
        eprintln!("heathroad: admin on {bound}");
        spawn_local(admin::serve(listener, router.clone(), descriptors));
    }
    let kept = router.clone();
    spawn_local(async move {
        loop {
            sleep(SWEEP).await;
            pool.sweep();
            kept.engines().iter().for_each(|e| e.forget_gone());
        }
    });
    let books = config.budget.as_ref().map(|b| Books::new(b, seed()));
    if let Some(books) = &books {
        router.meter().keep(books);
    }
    let (stop, stopped) = watch::channel(false);
    let (connections, bodies, room) = (usable - usable / 2, config.memory / BODIES, Rc::default());
    let calling = match &*router {
        Router::One(_) => None,
        Router::Many(many) => {
            let (many, facts, room) = (many.clone(), facts.clone(), Rc::clone(&room));
            let books = books.clone();
            let front = rpc::Front { many, facts, connections, bodies, room, books };
            Some(spawn_local(Rc::new(front).serve(stopped.clone())))
        }
    };
    let front = Front { router: router.clone(), facts, connections, bodies, room, books };
    let serving = spawn_local(Rc::new(front).serve(listener, stopped));
    loop {
        tokio::select! {
            biased;
            _ = terminated.recv() => break,
            _ = reloaded.recv() => {}
        }
        match config::reload() {
            Ok(config) => source.reload(&config),
            Err(e) => eprintln!("heathroad: configuration kept: {e}"),
        }
    }
    let engines = router.engines();
    eprintln!("heathroad: stopping, {} requests open", engines.iter().map(|e| e.owed()).sum::<usize>());
    if let Router::Many(many) = &*router {
        many.handle(Event::Stop);
    }
    engines.iter().for_each(|e| e.end_by(Instant::now() + LAST));
    sleep(LINGER).await;
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
    // Whoever reads standard output may be gone; that is no reason to end otherwise.
    let _ = writeln!(std::io::stdout(), "{}", router.counts_json(descriptors));
    ended.map_or(Ok(()), |served| served.map_err(|e| format!("front: {e}")))
}
