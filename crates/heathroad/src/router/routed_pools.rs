//! Pools by routes: what runs, and what new requests bind to.

use super::registry::chosen;
use super::{Ask, Bound, bound};
use crate::backend::Pool as Connections;
use crate::backend::jsonrpc::Transport;
use crate::configuration::state_folder::Folder;
use crate::configuration::verification_gate::{Expected, Gate};
use crate::discovery::endpoint_list::Host;
use crate::engine::Engine;
use crate::membership::activity_log::ActivityLog;
use crate::metrics::{Counts, Meter};
use crate::runtime_accounting::{sleep, spawn_local};
use heathroad_balancer::api::{self, Idempotency, UpdateKind};
use heathroad_balancer::settings::InstanceSettings;
use heathroad_routing::condition::Request;
use heathroad_routing::file::{self, Group, Listener, Pool, Source};
use heathroad_routing::generation::Generation;
use heathroad_routing::journal::Journal;
use heathroad_routing::nodes::Nodes;
use heathroad_routing::split::hash;
use heathroad_routing::transaction::{Changer, Terms};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet, HashSet, VecDeque};
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::AbortHandle;
use tokio::time::Instant;

/// How often pools' figures are taken and time is told to the machine that changes the
/// configuration: by parts of the probation, within these.
const TICK: [Duration; 2] = [Duration::from_millis(5), Duration::from_secs(1)];
/// Parts of a probation.
const PARTS: u64 = 4;

/// A pool that runs: one definition of it, with an engine of its own. A pool that a change words
/// otherwise is another run, so that no request sees a mixture; one that no change touches goes on
/// with all that it has learned.
pub struct PoolRun {
    pub(super) key: String,
    pub(super) pool: Pool,
    pub(super) engine: Rc<Engine>,
    /// What it had counted when it was last looked at.
    pub(super) seen: Cell<[u64; 5]>,
}

impl Drop for PoolRun {
    fn drop(&mut self) {
        self.engine.close();
    }
}

/// What new requests bind to.
pub(super) struct Active {
    pub(super) generation: Rc<Generation>,
    /// By the place of the pool.
    pub(super) runs: Vec<Rc<PoolRun>>,
    /// Every class that one of them serves: each request is asked for its own.
    pub(super) classes: HashSet<String>,
}

/// A registry that pools take their backends from.
pub(super) struct Registry {
    pub(super) hosts: BTreeMap<String, Host>,
    pub(super) following: AbortHandle,
}

/// What every pool starts from.
pub struct Base {
    /// The settings; a pool has its own classes.
    pub facts: InstanceSettings,
    /// Seed of the modules' random numbers.
    pub seed: u64,
    /// Connections to all backends.
    pub connections: Rc<Connections>,
    /// The registry of pools that name none.
    pub registry: SocketAddr,
    /// Bounds of changes.
    pub terms: Terms,
    /// What is expected of the configuration, if anything.
    pub gate: Option<Gate>,
    /// Where the daemon listens for HTTP, as it was told.
    pub listens: SocketAddr,
    /// What this proxy acts on, where a record is kept.
    pub acts: Option<Rc<ActivityLog>>,
}

/// Pools by routes, changed by transactions.
pub struct Many {
    pub(super) base: Base,
    pub(super) registry: Cell<SocketAddr>,
    pub(super) meter: Rc<Meter>,
    pub(super) current: RefCell<Rc<Active>>,
    /// Those that a generation in force, staged or to be gone back to names.
    pub(super) runs: RefCell<BTreeMap<String, Rc<PoolRun>>>,
    /// All that requests may still be bound to, those above among them: they too must hear of
    /// drains.
    pub(super) alive: RefCell<Vec<(String, Weak<PoolRun>)>>,
    /// Their engines, which may outlive them by what is still out.
    pub(super) all: RefCell<Vec<Weak<Engine>>>,
    pub(super) registries: RefCell<BTreeMap<SocketAddr, Registry>>,
    /// Listeners by name and address, as the configuration has it.
    pub(super) doors: RefCell<BTreeMap<(String, SocketAddr), Rc<TcpListener>>>,
    pub(super) doors_changed: watch::Sender<()>,
    pub(super) nodes: RefCell<Nodes>,
    pub(super) changer: RefCell<Changer>,
    pub(super) journal: RefCell<Option<Journal<Folder>>>,
    /// What is expected of the change under way.
    pub(super) expected: RefCell<Option<Expected>>,
    /// The digest of a change that is required once it is committed, and within how many
    /// milliseconds.
    pub(super) within: RefCell<Option<(String, u64)>>,
    /// Grows with all that is heard of nodes.
    pub(super) news: Cell<u64>,
    pub(super) told: RefCell<VecDeque<String>>,
    pub(super) started: Instant,
}

/// A run's name: the pool's, and its definition.
fn key(pool: &Pool) -> String {
    // A pool is plain data: it always makes JSON.
    let words = serde_json::to_string(pool).unwrap_or_default();
    format!("{}/{:016x}", pool.name, hash(words.as_bytes()))
}

impl Many {
    /// Begins with a committed generation.
    pub fn new(
        base: Base,
        first: Rc<Generation>,
        highest: u64,
        journal: Option<Journal<Folder>>,
    ) -> Result<Rc<Many>, String> {
        let changer = Changer::new(base.terms.clone(), first.clone(), highest);
        let active = Rc::new(Active {
            generation: first.clone(),
            runs: Vec::new(),
            classes: HashSet::new(),
        });
        let many = Rc::new(Many {
            registry: Cell::new(base.registry),
            base,
            meter: Rc::new(Meter::new()),
            current: RefCell::new(active),
            runs: RefCell::default(),
            alive: RefCell::default(),
            all: RefCell::default(),
            registries: RefCell::default(),
            doors: RefCell::default(),
            doors_changed: watch::Sender::new(()),
            nodes: RefCell::default(),
            changer: RefCell::new(changer),
            journal: RefCell::new(journal),
            expected: RefCell::default(),
            within: RefCell::default(),
            news: Cell::default(),
            told: RefCell::default(),
            started: Instant::now(),
        });
        many.open_doors(&first)?;
        many.activate(&first)?;
        if let Some(acts) = &many.base.acts {
            acts.announce_commit(first.number, &first.text, None);
        }
        let ticking = Rc::downgrade(&many);
        let tick = Duration::from_millis(many.base.terms.probation / PARTS).clamp(TICK[0], TICK[1]);
        spawn_local(async move {
            loop {
                sleep(tick).await;
                let Some(many) = ticking.upgrade() else {
                    return;
                };
                many.tick();
            }
        });
        Ok(many)
    }

    /// Binds a request, where some route takes it to a pool that serves its class.
    pub fn bind(&self, ask: &Ask<'_>) -> Option<Bound> {
        let active = self.current.borrow().clone();
        let host = ask
            .host
            .rsplit_once(':')
            .map_or(ask.host, |(name, _)| name)
            .to_ascii_lowercase();
        let header = |name: &str| ask.headers.get(name).and_then(|v| v.to_str().ok());
        let request = Request {
            listener: ask.listener,
            host: &host,
            path: ask.path,
            method: ask.method,
            class: ask.class,
            tenant: ask.tenant,
            header: &header,
        };
        let table = &active.generation.table;
        let run = &active.runs[table.share(table.route(&request)?, hash(ask.key))?];
        let deadline = run
            .pool
            .classes
            .iter()
            .find(|c| c.name == ask.class)?
            .deadline_ms;
        let held = Some((active.generation.clone(), run.clone()));
        let deadline = Some(crate::time::millis(deadline));
        let way = run.pool.rpc.as_ref().map(way);
        bound(&run.engine, ask.class).map(|b| Bound {
            deadline,
            way,
            _held: held,
            ..b
        })
    }

    /// What is counted over all pools.
    pub fn meter(&self) -> &Rc<Meter> {
        &self.meter
    }

    /// The generation that requests bind to.
    pub fn in_force(&self) -> Rc<Generation> {
        self.current.borrow().generation.clone()
    }

    /// Where remote calls come in, by the generation in force.
    pub fn doors(&self) -> Vec<(Listener, Rc<TcpListener>)> {
        let (generation, doors) = (self.in_force(), self.doors.borrow());
        let door =
            |l: &Listener| Some((l.clone(), doors.get(&(l.name.clone(), l.address))?.clone()));
        generation
            .config
            .listeners
            .iter()
            .filter_map(door)
            .collect()
    }

    /// Tells that they may have changed.
    pub fn doors_changed(&self) -> watch::Receiver<()> {
        self.doors_changed.subscribe()
    }

    /// Opens the listeners of a generation that are not open yet.
    pub(super) fn open_doors(&self, generation: &Generation) -> Result<(), String> {
        for l in &generation.config.listeners {
            let key = (l.name.clone(), l.address);
            if self.doors.borrow().contains_key(&key) {
                continue;
            }
            let open = || {
                let socket = std::net::TcpListener::bind(l.address)?;
                socket.set_nonblocking(true)?;
                let at = socket.local_addr()?;
                Ok::<_, std::io::Error>((TcpListener::from_std(socket)?, at))
            };
            let (socket, at) =
                open().map_err(|e| format!("listener {}: {}: {e}", l.name, l.address))?;
            tracing::info!(listener = l.name, address = %at, "listener {} on {at}", l.name);
            self.doors.borrow_mut().insert(key, Rc::new(socket));
        }
        Ok(())
    }

    pub(super) fn engines(&self) -> Vec<Rc<Engine>> {
        let mut all = self.all.borrow_mut();
        all.retain(|e| e.strong_count() > 0);
        all.iter().filter_map(Weak::upgrade).collect()
    }

    /// The run of a pool, begun if there is none.
    pub(super) fn run(self: &Rc<Self>, pool: &Pool) -> Result<Rc<PoolRun>, String> {
        let key = key(pool);
        if let Some(run) = self.runs.borrow().get(&key) {
            return Ok(run.clone());
        }
        let facts = facts(&self.base.facts, pool);
        let counts = Counts::new(&self.meter, &pool.name, &facts.site);
        // What a registry is asked for is decided here, not by a pool's module.
        let (watching, _) = watch::channel(false);
        let seed = self.base.seed ^ hash(key.as_bytes());
        let engine = Engine::new(
            facts,
            seed,
            self.base.connections.clone(),
            counts,
            self.base.acts.clone(),
            watching,
        );
        let engine = engine.map_err(|e| format!("pool {}: {e}", pool.name))?;
        self.all.borrow_mut().push(Rc::downgrade(&engine));
        self.hand_over(&engine, pool);
        let run = Rc::new(PoolRun {
            key: key.clone(),
            pool: pool.clone(),
            engine,
            seen: Cell::default(),
        });
        self.alive
            .borrow_mut()
            .push((key.clone(), Rc::downgrade(&run)));
        self.runs.borrow_mut().insert(key, run.clone());
        match &run.pool.source {
            Source::List(members) => {
                let addresses: BTreeSet<SocketAddr> = members.iter().map(|m| m.address).collect();
                self.nodes.borrow_mut().named(&run.key, &addresses);
                self.list(&run);
            }
            Source::Registry { address, select } => {
                let from = address.unwrap_or(self.registry.get());
                let known = self.registries.borrow().get(&from).map(|r| r.hosts.clone());
                match known {
                    Some(hosts) => {
                        let chosen = hosts.into_values().filter(|h| chosen(h, select)).collect();
                        run.engine.update_endpoints(UpdateKind::Snapshot, chosen);
                    }
                    None => self.follow(from),
                }
            }
        }
        Ok(run)
    }

    /// What was learned belongs to nodes and not to the words of a pool: one that is worded
    /// otherwise begins with the part of its predecessor's limit that the nodes bear which it
    /// keeps.
    pub(super) fn hand_over(&self, engine: &Rc<Engine>, pool: &Pool) {
        let current = self.current.borrow().clone();
        let Some(before) = current.runs.iter().find(|r| r.pool.name == pool.name) else {
            return;
        };
        let nodes = before.engine.available_targets();
        let kept = match (&pool.source, &before.pool.source) {
            (Source::List(members), _) => nodes
                .iter()
                .filter(|t| members.iter().any(|m| m.address == t.address))
                .count(),
            (now, then) if now == then => nodes.len(),
            _ => 0,
        };
        engine.set_initial_limit(
            before.engine.moment().load.limit * kept as f64 / nodes.len().max(1) as f64,
        );
    }

    /// From now on requests bind to a generation.
    pub(super) fn activate(self: &Rc<Self>, generation: &Rc<Generation>) -> Result<(), String> {
        let runs = generation
            .config
            .pools
            .iter()
            .map(|p| self.run(p))
            .collect::<Result<Vec<_>, _>>()?;
        let classes = runs
            .iter()
            .flat_map(|r| &r.pool.classes)
            .map(|c| c.name.clone())
            .collect();
        self.current.replace(Rc::new(Active {
            generation: generation.clone(),
            runs,
            classes,
        }));
        if let Some(acts) = &self.base.acts {
            acts.set_routes(generation.number, &generation.text);
        }
        self.share_cold();
        self.doors_changed.send_replace(());
        Ok(())
    }

    /// Lets go what no generation in force names, and the registries that nobody asks.
    pub(super) fn tidy(&self) {
        if self.changer.borrow().open().is_none() {
            let keep: BTreeSet<String> = self
                .current
                .borrow()
                .runs
                .iter()
                .map(|r| r.key.clone())
                .collect();
            self.runs.borrow_mut().retain(|key, _| keep.contains(key));
            let generation = self.in_force();
            let named = |(name, address): &(String, SocketAddr)| {
                generation
                    .config
                    .listeners
                    .iter()
                    .any(|l| l.name == *name && l.address == *address)
            };
            self.doors.borrow_mut().retain(|key, _| named(key));
        }
        self.alive.borrow_mut().retain(|(key, run)| {
            let stays = run.strong_count() > 0;
            if !stays {
                self.nodes.borrow_mut().named(key, &BTreeSet::new());
            }
            stays
        });
        let asked: BTreeSet<SocketAddr> = self
            .present()
            .iter()
            .filter_map(|r| match &r.pool.source {
                Source::Registry { address, .. } => Some(address.unwrap_or(self.registry.get())),
                Source::List(_) => None,
            })
            .collect();
        self.registries.borrow_mut().retain(|address, registry| {
            let stays = asked.contains(address);
            if !stays {
                registry.following.abort();
                if let Some(acts) = &self.base.acts {
                    acts.endpoint_source_removed(*address);
                }
            }
            stays
        });
    }
}

/// How a pool's backends are called remotely.
pub(super) fn way(rpc: &file::Rpc) -> Transport {
    let file::Rpc {
        port,
        framing,
        calls,
        declined,
        budget,
    } = *rpc;
    Transport {
        port,
        framing,
        max_calls: calls as usize,
        declined_code: declined,
        carries_budget: budget,
    }
}

/// The settings of a pool: the daemon's own, with the pool's classes.
fn facts(base: &InstanceSettings, pool: &Pool) -> InstanceSettings {
    let mut facts = base.clone();
    let effect = |e: file::Effect| match e {
        file::Effect::Safe => Idempotency::Idempotent,
        file::Effect::Unsafe => Idempotency::NonIdempotent,
        file::Effect::Keyed { group, window_ms } => Idempotency::Deduplicated {
            window: window_ms,
            scope: match group {
                Group::All => api::DeduplicationScope::All,
                Group::Site => api::DeduplicationScope::Zone,
                Group::Block => api::DeduplicationScope::Cell,
            },
        },
    };
    let class = |c: &file::Class| api::Class {
        latency_objective: c.aim_ms,
        priority_weight: c.worth,
        idempotency: effect(c.effect),
        ordered_by_key: false,
    };
    facts.balancer.classes = pool.classes.iter().map(class).collect();
    facts.site.classes = pool.classes.iter().map(|c| c.name.clone()).collect();
    facts.balancer.polls_endpoints = false;
    if let Some(open) = pool.open {
        facts.site.max_open_requests = facts.site.max_open_requests.min(open as usize);
    }
    facts
}
