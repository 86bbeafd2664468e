//! Which pool a request goes to. Without routes there is one pool, that of the settings. With them, each pool has an
//! engine of its own, and a request binds to the generation in force when it is taken: it keeps that, and the pool
//! that it was given, to its final answer.

use crate::backend::Pool as Connections;
use crate::backend::rpc::Way;
use crate::counts::{Counts, Meter, Moment};
use crate::discovery::{self, News};
use crate::disk::Folder;
use crate::effort::{sleep, spawn_local, timeout};
use crate::engine::Engine;
use crate::gate::{self, Expected, Gate};
use crate::roster::{Health, Host};
use heathroad_expect::{Here, Node, Report};
use heathroad_routing::file::{self, Group, Listener, Pool, Source};
use heathroad_routing::generation::Generation;
use heathroad_routing::harm::Sample;
use heathroad_routing::journal::{Journal, Record};
use heathroad_routing::nodes::{self, Nodes, Standing};
use heathroad_routing::split::hash;
use heathroad_routing::table::Request;
use heathroad_routing::transaction::{Changer, Event, Said, Step, Terms};
use hyper::StatusCode;
use hyper::header::HeaderMap;
use serde_json::{Value, json};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet, HashSet, VecDeque};
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::AbortHandle;
use tokio::time::Instant;
use turnshift::api::{self, Effect, ListKind};
use turnshift::settings::Facts;

/// How often a staged pool is looked at.
const LOOK: Duration = Duration::from_millis(50);
/// How often pools' figures are taken and time is told to the machine that changes the configuration: by parts of the
/// probation, within these.
const TICK: [Duration; 2] = [Duration::from_millis(5), Duration::from_secs(1)];
/// Parts of a probation.
const PARTS: u64 = 4;
/// What was told of changes, kept to be asked for.
const TOLD: usize = 50;

/// What a request is asked by.
pub struct Ask<'a> {
    /// The listener that took it.
    pub listener: &'a str,
    /// Its method's name, for a remote call.
    pub method: &'a str,
    /// Its host, as the caller gave it.
    pub host: &'a str,
    /// Its path, without a query.
    pub path: &'a str,
    /// The name of its class.
    pub class: &'a str,
    /// The name of its tenant.
    pub tenant: &'a str,
    /// Its headers.
    pub headers: &'a HeaderMap,
    /// What keeps together what belongs together.
    pub key: &'a [u8],
}

/// What a request is bound to, to its final answer.
pub struct Bound {
    /// Decides it.
    pub engine: Rc<Engine>,
    /// Place of its class there.
    pub class: u16,
    /// Whether it may run again.
    pub effect: Effect,
    /// Longest time that its class may take, where its pool says so.
    pub deadline: Option<Duration>,
    /// How the pool's backends are called remotely, where they can be.
    pub way: Option<Way>,
    /// Keeps the generation and the pool that it was taken under.
    _held: Option<(Rc<Generation>, Rc<PoolRun>)>,
}

/// Where requests go.
pub enum Router {
    /// To the one pool of the settings.
    One(Rc<Engine>),
    /// By routes.
    Many(Rc<Many>),
}

fn bound(engine: &Rc<Engine>, class: &str) -> Option<Bound> {
    let facts = engine.facts();
    let place = facts.site.classes.iter().position(|c| c == class)?;
    let effect = facts.settings.classes[place].effect;
    Some(Bound {
        engine: engine.clone(),
        class: place as u16,
        effect,
        deadline: None,
        way: None,
        _held: None,
    })
}

impl Router {
    /// Whether requests can be decided.
    pub fn ready(&self) -> bool {
        match self {
            Router::One(engine) => engine.ready(),
            Router::Many(many) => many.current.borrow().runs.iter().any(|r| r.engine.ready()),
        }
    }

    /// Whether any pool in force serves a class.
    pub fn serves(&self, class: &str) -> bool {
        match self {
            Router::One(engine) => engine.facts().site.classes.iter().any(|c| c == class),
            Router::Many(many) => many.current.borrow().classes.contains(class),
        }
    }

    /// Binds a request; the status that turns it down, where nothing serves its class or no route takes it.
    pub fn bind(&self, ask: &Ask<'_>) -> Result<Bound, StatusCode> {
        let found = match self {
            Router::One(engine) => bound(engine, ask.class),
            Router::Many(many) => many.bind(ask),
        };
        found.ok_or(StatusCode::NOT_FOUND)
    }

    /// Every engine that may have something to do.
    pub fn engines(&self) -> Vec<Rc<Engine>> {
        match self {
            Router::One(engine) => vec![engine.clone()],
            Router::Many(many) => many.engines(),
        }
    }

    fn counted<T>(&self, tell: impl FnOnce(&Meter, &[Moment<'_>]) -> T) -> T {
        let engines = self.engines();
        let moments: Vec<Moment<'_>> = engines.iter().map(|e| e.moment()).collect();
        tell(&self.meter(), &moments)
    }

    /// What is counted over all pools.
    pub fn meter(&self) -> Rc<Meter> {
        match self {
            Router::One(engine) => engine.counts().meter().clone(),
            Router::Many(many) => many.meter.clone(),
        }
    }

    /// All counts as Prometheus text.
    pub fn counts_text(&self, descriptors: usize) -> String {
        self.counted(|meter, pools| meter.text(pools, [descriptors_held(), descriptors]))
    }

    /// All counts as one line of JSON.
    pub fn counts_json(&self, descriptors: usize) -> String {
        self.counted(|meter, pools| meter.json(pools, [descriptors_held(), descriptors]))
    }
}

fn descriptors_held() -> usize {
    // The folder's own descriptor is one of them.
    std::fs::read_dir("/proc/self/fd").map_or(0, |d| d.count().saturating_sub(1))
}

/// A pool that runs: one definition of it, with an engine of its own. A pool that a change words otherwise is
/// another run, so that no request sees a mixture; one that no change touches goes on with all that it has learned.
pub struct PoolRun {
    key: String,
    pool: Pool,
    engine: Rc<Engine>,
    /// What it had counted when it was last looked at.
    seen: Cell<[u64; 5]>,
}

impl Drop for PoolRun {
    fn drop(&mut self) {
        self.engine.close();
    }
}

/// What new requests bind to.
struct Active {
    generation: Rc<Generation>,
    /// By the place of the pool.
    runs: Vec<Rc<PoolRun>>,
    /// Every class that one of them serves: each request is asked for its own.
    classes: HashSet<String>,
}

/// A registry that pools take their backends from.
struct Registry {
    hosts: BTreeMap<String, Host>,
    following: AbortHandle,
}

/// What every pool starts from.
pub struct Base {
    /// The settings; a pool has its own classes.
    pub facts: Facts,
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
}

/// Pools by routes, changed by transactions.
pub struct Many {
    base: Base,
    registry: Cell<SocketAddr>,
    meter: Rc<Meter>,
    current: RefCell<Rc<Active>>,
    /// Those that a generation in force, staged or to be gone back to names.
    runs: RefCell<BTreeMap<String, Rc<PoolRun>>>,
    /// All that requests may still be bound to, those above among them: they too must hear of drains.
    alive: RefCell<Vec<(String, Weak<PoolRun>)>>,
    /// Their engines, which may outlive them by what is still out.
    all: RefCell<Vec<Weak<Engine>>>,
    registries: RefCell<BTreeMap<SocketAddr, Registry>>,
    /// Listeners by name and address, as the configuration has it.
    doors: RefCell<BTreeMap<(String, SocketAddr), Rc<TcpListener>>>,
    doors_changed: watch::Sender<()>,
    nodes: RefCell<Nodes>,
    changer: RefCell<Changer>,
    journal: RefCell<Option<Journal<Folder>>>,
    /// What is expected of the change under way.
    expected: RefCell<Option<Expected>>,
    /// Grows with all that is heard of nodes.
    news: Cell<u64>,
    told: RefCell<VecDeque<String>>,
    started: Instant,
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
        let active = Rc::new(Active { generation: first.clone(), runs: Vec::new(), classes: HashSet::new() });
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
            news: Cell::default(),
            told: RefCell::default(),
            started: Instant::now(),
        });
        many.open_doors(&first)?;
        many.activate(&first)?;
        let ticking = Rc::downgrade(&many);
        let tick = Duration::from_millis(many.base.terms.probation / PARTS).clamp(TICK[0], TICK[1]);
        spawn_local(async move {
            loop {
                sleep(tick).await;
                let Some(many) = ticking.upgrade() else { return };
                many.tick();
            }
        });
        Ok(many)
    }

    /// Binds a request, where some route takes it to a pool that serves its class.
    pub fn bind(&self, ask: &Ask<'_>) -> Option<Bound> {
        let active = self.current.borrow().clone();
        let host = ask.host.rsplit_once(':').map_or(ask.host, |(name, _)| name).to_ascii_lowercase();
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
        let deadline = run.pool.classes.iter().find(|c| c.name == ask.class)?.deadline_ms;
        let held = Some((active.generation.clone(), run.clone()));
        let deadline = Some(crate::engine::millis(deadline));
        let way = run.pool.rpc.as_ref().map(way);
        bound(&run.engine, ask.class).map(|b| Bound { deadline, way, _held: held, ..b })
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
        let door = |l: &Listener| Some((l.clone(), doors.get(&(l.name.clone(), l.address))?.clone()));
        generation.config.listeners.iter().filter_map(door).collect()
    }

    /// Tells that they may have changed.
    pub fn doors_changed(&self) -> watch::Receiver<()> {
        self.doors_changed.subscribe()
    }

    /// Opens the listeners of a generation that are not open yet.
    fn open_doors(&self, generation: &Generation) -> Result<(), String> {
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
            let (socket, at) = open().map_err(|e| format!("listener {}: {}: {e}", l.name, l.address))?;
            eprintln!("heathroad: listener {} on {at}", l.name);
            self.doors.borrow_mut().insert(key, Rc::new(socket));
        }
        Ok(())
    }

    fn engines(&self) -> Vec<Rc<Engine>> {
        let mut all = self.all.borrow_mut();
        all.retain(|e| e.strong_count() > 0);
        all.iter().filter_map(Weak::upgrade).collect()
    }

    /// The run of a pool, begun if there is none.
    fn run(self: &Rc<Self>, pool: &Pool) -> Result<Rc<PoolRun>, String> {
        let key = key(pool);
        if let Some(run) = self.runs.borrow().get(&key) {
            return Ok(run.clone());
        }
        let facts = facts(&self.base.facts, pool);
        let counts = Counts::new(&self.meter, &pool.name, &facts.site);
        // What a registry is asked for is decided here, not by a pool's module.
        let (watching, _) = watch::channel(false);
        let seed = self.base.seed ^ hash(key.as_bytes());
        let engine = Engine::new(facts, seed, self.base.connections.clone(), counts, watching);
        let engine = engine.map_err(|e| format!("pool {}: {e}", pool.name))?;
        self.all.borrow_mut().push(Rc::downgrade(&engine));
        self.hand_over(&engine, pool);
        let run = Rc::new(PoolRun { key: key.clone(), pool: pool.clone(), engine, seen: Cell::default() });
        self.alive.borrow_mut().push((key.clone(), Rc::downgrade(&run)));
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
                        run.engine.list(ListKind::Full, chosen);
                    }
                    None => self.follow(from),
                }
            }
        }
        Ok(run)
    }

    /// What was learned belongs to nodes and not to the words of a pool: one that is worded otherwise begins with the
    /// part of its predecessor's limit that the nodes bear which it keeps.
    fn hand_over(&self, engine: &Rc<Engine>, pool: &Pool) {
        let current = self.current.borrow().clone();
        let Some(before) = current.runs.iter().find(|r| r.pool.name == pool.name) else { return };
        let nodes = before.engine.targets();
        let kept = match (&pool.source, &before.pool.source) {
            (Source::List(members), _) => {
                nodes.iter().filter(|t| members.iter().any(|m| m.address == t.dial)).count()
            }
            (now, then) if now == then => nodes.len(),
            _ => 0,
        };
        engine.begin_at(before.engine.moment().load.limit * kept as f64 / nodes.len().max(1) as f64);
    }

    /// Tells a listed pool's engine its backends, with what is known of them from elsewhere.
    fn list(&self, run: &PoolRun) {
        let Source::List(members) = &run.pool.source else { return };
        let zone = usize::from(self.base.facts.settings.zone);
        let own = self.base.facts.site.zones.get(zone).cloned().unwrap_or_default();
        let nodes = self.nodes.borrow();
        let host = |m: &file::Member| Host {
            host: m.address.to_string(),
            dial: Some(m.address),
            site: if m.site.is_empty() { own.clone() } else { m.site.clone() },
            class: String::new(),
            block: m.block,
            health: match nodes.standing(m.address) {
                Standing::Takes => Health::Serving,
                Standing::Withdrawn => Health::Draining,
            },
            share: m.weight,
            born_ms: 0.0,
        };
        run.engine.list(ListKind::Full, members.iter().map(host).collect());
    }

    fn follow(self: &Rc<Self>, address: SocketAddr) {
        let many = Rc::downgrade(self);
        let hear = move |news| {
            if let Some(many) = many.upgrade() {
                many.hear(address, news);
            }
        };
        // These are lists that are pushed: there is nothing to be wanted.
        let (_, wanted) = watch::channel(true);
        let following = spawn_local(discovery::follow(hear, address, false, wanted)).abort_handle();
        self.registries.borrow_mut().insert(address, Registry { hosts: BTreeMap::new(), following });
    }

    fn hear(self: &Rc<Self>, from: SocketAddr, news: News) {
        let News::List(kind, hosts) = news else { return };
        self.news.set(self.news.get() + 1);
        let mut changed = BTreeSet::new();
        // Hosts whose labels change, as they were told before and now.
        let mut moved: Vec<(Host, &Host)> = Vec::new();
        {
            let mut registries = self.registries.borrow_mut();
            let Some(registry) = registries.get_mut(&from) else { return };
            let mut nodes = self.nodes.borrow_mut();
            let mut tell = |host: &Host, takes: bool, dial: Option<SocketAddr>| {
                let Some(dial) = dial else { return };
                let born = host.born_ms.max(0.0) as u64;
                nodes.told(dial, born, takes);
                if takes {
                    nodes.restored(dial, born);
                }
                changed.insert(dial);
            };
            if kind != ListKind::Delta {
                let named: BTreeSet<&String> = hosts.iter().map(|h| &h.host).collect();
                registry.hosts.retain(|name, host| {
                    let stays = named.contains(name);
                    if !stays {
                        tell(host, false, host.dial);
                    }
                    stays
                });
            }
            for h in &hosts {
                let known = registry.hosts.get(&h.host);
                if let Some(before) = known.filter(|k| labels(k) != labels(h)) {
                    moved.push((before.clone(), h));
                }
                let dial =
                    if kind == ListKind::Delta { h.dial.or(known.and_then(|b| b.dial)) } else { h.dial };
                tell(h, h.health == Health::Serving, dial);
                match h.health {
                    Health::Deleted => drop(registry.hosts.remove(&h.host)),
                    _ => drop(registry.hosts.insert(h.host.clone(), h.clone())),
                }
            }
        }
        // A host whose labels changed leaves one pool for another: first it leaves, since a process that a pool
        // withdraws is withdrawn for all who send to it, and then the other pool begins with it anew.
        let runs = self.present();
        for run in &runs {
            let Source::Registry { address, select } = &run.pool.source else { continue };
            let leaves = |(old, new): &(Host, &Host)| {
                let gone = || Host { health: Health::Deleted, ..(*new).clone() };
                (chosen(old, select) && !chosen(new, select)).then(gone)
            };
            if address.unwrap_or(self.registry.get()) == from {
                let left: Vec<Host> = moved.iter().filter_map(leaves).collect();
                if !left.is_empty() {
                    run.engine.list(ListKind::Delta, left);
                }
            }
        }
        for run in &runs {
            match &run.pool.source {
                Source::Registry { address, select } if address.unwrap_or(self.registry.get()) == from => {
                    let known = |h: &Host| {
                        let health = if chosen(h, select) { h.health } else { Health::Deleted };
                        Host { health, ..h.clone() }
                    };
                    run.engine.list(kind, hosts.iter().map(known).collect());
                }
                // A node that is told of by a registry is the same node where a list names it.
                Source::List(members) if members.iter().any(|m| changed.contains(&m.address)) => {
                    self.list(run)
                }
                _ => {}
            }
        }
    }

    /// A node that several runs send to is one node: together they keep to its cold budget.
    fn share_cold(&self) {
        let runs = self.present();
        let dials: Vec<BTreeSet<SocketAddr>> =
            runs.iter().map(|r| r.engine.targets().iter().map(|t| t.dial).collect()).collect();
        for (run, sharers) in runs.iter().zip(nodes::sharers(&dials)) {
            run.engine.share_cold(sharers);
        }
    }

    /// Every run that is kept, or still has requests.
    fn present(&self) -> Vec<Rc<PoolRun>> {
        self.alive.borrow().iter().filter_map(|(_, run)| run.upgrade()).collect()
    }

    /// The default registry has moved: the whole list is asked for there.
    pub fn move_registry(self: &Rc<Self>, to: SocketAddr) {
        let from = self.registry.replace(to);
        if from == to || !self.registries.borrow().contains_key(&from) {
            return;
        }
        let known = self.registries.borrow().get(&to).map(|r| r.hosts.values().cloned().collect());
        match known {
            // Some pool follows it already.
            Some(hosts) => self.hear(to, News::List(ListKind::Full, hosts)),
            None => self.follow(to),
        }
        self.tidy();
    }

    /// From now on requests bind to a generation.
    fn activate(self: &Rc<Self>, generation: &Rc<Generation>) -> Result<(), String> {
        let runs = generation.config.pools.iter().map(|p| self.run(p)).collect::<Result<Vec<_>, _>>()?;
        let classes = runs.iter().flat_map(|r| &r.pool.classes).map(|c| c.name.clone()).collect();
        self.current.replace(Rc::new(Active { generation: generation.clone(), runs, classes }));
        self.share_cold();
        self.doors_changed.send_replace(());
        Ok(())
    }

    /// Lets go what no generation in force names, and the registries that nobody asks.
    fn tidy(&self) {
        if self.changer.borrow().open().is_none() {
            let keep: BTreeSet<String> = self.current.borrow().runs.iter().map(|r| r.key.clone()).collect();
            self.runs.borrow_mut().retain(|key, _| keep.contains(key));
            let generation = self.in_force();
            let named = |(name, address): &(String, SocketAddr)| {
                generation.config.listeners.iter().any(|l| l.name == *name && l.address == *address)
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
            }
            stays
        });
    }

    fn now(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    fn write(&self, record: Record) -> Result<(), String> {
        match &mut *self.journal.borrow_mut() {
            Some(journal) => journal.write(record).map_err(|e| format!("state: {e}")),
            None => Ok(()),
        }
    }

    /// Takes an event, carries out what is decided, and gives what is to be told.
    pub fn handle(self: &Rc<Self>, event: Event) -> Vec<Said> {
        let mut steps = Vec::new();
        self.changer.borrow_mut().handle(self.now(), event, &mut steps);
        let (mut steps, mut said) = (VecDeque::from(steps), Vec::new());
        while let Some(step) = steps.pop_front() {
            match step {
                Step::Write(record) => {
                    if let Err(e) = self.write(record.clone()) {
                        // What was to follow rests on this.
                        steps.clear();
                        let mut others = Vec::new();
                        self.changer.borrow_mut().failed(&record, &e, &mut others);
                        steps.extend(others);
                    }
                }
                Step::Stage(generation, pools) => match self.open_doors(&generation) {
                    Ok(()) => self.stage(&generation, &pools),
                    Err(e) => {
                        steps.clear();
                        let mut others = Vec::new();
                        let record = Record::Opened { number: generation.number, text: String::new() };
                        self.changer.borrow_mut().failed(&record, &e, &mut others);
                        steps.extend(others);
                    }
                },
                Step::Judge(generation) => self.judge(&generation),
                Step::Apply(generation) => {
                    if let Err(e) = self.activate(&generation) {
                        self.tell(format!("generation {}: {e}", generation.number));
                    }
                }
                Step::Retire(_) => {}
                Step::Say(told) => {
                    self.tell(words(&told));
                    said.push(told);
                }
            }
        }
        let current = self.changer.borrow().current().clone();
        if !Rc::ptr_eq(&self.current.borrow().generation, &current)
            && let Err(e) = self.activate(&current)
        {
            self.tell(format!("generation {}: {e}", current.number));
        }
        self.tidy();
        said
    }

    fn tell(&self, line: String) {
        eprintln!("heathroad: routes: {line}");
        let mut told = self.told.borrow_mut();
        if told.len() == TOLD {
            told.pop_front();
        }
        told.push_back(line);
    }

    /// Begins the new pools, and tells when each has backends and warm connections.
    fn stage(self: &Rc<Self>, generation: &Generation, pools: &[String]) {
        for pool in pools.iter().filter_map(|name| generation.pool(name)) {
            let run = match self.run(pool) {
                Ok(run) => run,
                // It is never ready, and the change is given up in time with its name.
                Err(e) => {
                    self.tell(e);
                    continue;
                }
            };
            let (many, limit) = (Rc::downgrade(self), Duration::from_millis(self.base.terms.stage));
            let (connections, name) = (self.base.connections.clone(), pool.name.clone());
            let number = generation.number;
            spawn_local(async move {
                let way = run.pool.rpc.as_ref().map(way);
                let ready = timeout(limit, warm(&connections, &run.engine, way)).await;
                drop(run);
                if let (Ok(()), Some(many)) = (ready, many.upgrade()) {
                    many.handle(Event::Ready { number, pool: name });
                }
            });
        }
    }

    fn tick(self: &Rc<Self>) {
        let runs = self.current.borrow().runs.clone();
        for run in runs {
            let now = run.engine.counts().so_far();
            let before = run.seen.replace(now);
            let [served, refused, failed, timed_out, late] =
                [0, 1, 2, 3, 4].map(|i| now[i].saturating_sub(before[i]) as f64);
            let failed = failed + timed_out;
            let requests = served + refused + failed;
            if requests > 0.0 {
                // How near its budget a cold backend is no proxy can see; the module keeps well below it.
                let sample = Sample { requests, failed, refused, late, cold: 0.0 };
                self.handle(Event::Saw(run.pool.name.clone(), sample));
            }
        }
        self.handle(Event::Tick);
        self.share_cold();
    }

    /// Proposes a text as a change; what is wrong with it, or what is said of it.
    pub async fn propose(self: &Rc<Self>, file: &str, text: &str) -> Result<Vec<Said>, String> {
        let generation = Generation::read(0, file, text).map_err(|e| e.to_string())?;
        crate::routes::rounds(&generation, self.base.listens)?;
        let expected = self.base.gate.as_ref().map(Gate::expected).transpose()?;
        if let Some(expected) = &expected {
            // Nodes that no registry has told yet, since no pool asks it, are waited for: the last word is at the end.
            let broken = expected.judge(text.to_string(), self.here()).await?.known();
            if !broken.is_empty() {
                return Err(broken.join("\n"));
            }
        }
        let opened = self.open_doors(&generation);
        if opened.is_err() {
            self.tidy();
        }
        opened?;
        // The change under way keeps its own, if this one is turned down for it.
        let open = self.changer.borrow().open().is_some();
        if !open {
            self.expected.replace(expected);
        }
        Ok(self.handle(Event::Propose(generation)))
    }

    /// Judges a change that is ready, as things stand when it is applied: what was judged while nodes changed is judged again.
    fn judge(self: &Rc<Self>, generation: &Generation) {
        let (many, number, text) = (Rc::downgrade(self), generation.number, generation.text.clone());
        spawn_local(async move {
            loop {
                let Some(strong) = many.upgrade() else { return };
                let (seen, expected) = (strong.news.get(), strong.expected.borrow().clone());
                let here = strong.here();
                drop(strong);
                let why = match expected {
                    Some(expected) => match expected.judge(text.clone(), here).await {
                        Ok(report) => Some(report.failures().join("; ")).filter(|f| !f.is_empty()),
                        Err(e) => Some(e),
                    },
                    None => None,
                };
                let Some(strong) = many.upgrade() else { return };
                if strong.changer.borrow().open() != Some((number, false)) {
                    return;
                }
                if strong.news.get() == seen {
                    strong.handle(Event::Judged { number, why });
                    return;
                }
                // Nodes have changed meanwhile; where they do all the time, the change is given up when its time is over.
            }
        });
    }

    /// Holds the configuration in force against what is expected now.
    pub async fn expect(&self) -> Result<Option<Report>, String> {
        let Some(gate) = &self.base.gate else { return Ok(None) };
        let text = self.in_force().text.clone();
        gate.expected()?.judge(text, self.here()).await.map(Some)
    }

    /// What is known of this place, for expectations.
    fn here(&self) -> Here {
        gate::here(&self.base.facts, self.registry.get(), self.known_nodes())
    }

    /// The nodes that registries tell, and those of lists that are known to be withdrawn.
    pub fn known_nodes(&self) -> Vec<Node> {
        let out: BTreeSet<SocketAddr> = self.nodes.borrow().withdrawn().collect();
        let mut known = Vec::new();
        for (registry, told) in &*self.registries.borrow() {
            let node = |h: &Host| {
                let address = h.dial?;
                let takes = h.health == Health::Serving && !out.contains(&address);
                let (registry, site, class) = (Some(*registry), h.site.clone(), h.class.clone());
                Some(Node { address, registry, site, class, block: h.block, takes })
            };
            known.extend(told.hosts.values().filter_map(node));
        }
        let told: BTreeSet<SocketAddr> = known.iter().map(|n| n.address).collect();
        let gone = out.difference(&told).map(|address| Node::withdrawn(*address));
        known.extend(gone);
        known
    }

    /// What is in force, and what was told of changes lately.
    pub fn status(&self) -> Value {
        let mut changer = self.changer.borrow_mut();
        let alive = changer.alive();
        let open = changer.open().map(|(number, applied)| {
            json!({"number": number, "phase": if applied { "probation" } else { "staging" }})
        });
        let current = self.current.borrow();
        json!({"generation": current.generation.number, "digest": current.generation.digest, "open": open,
            "expectations": self.base.gate.as_ref().map(|g| g.file().display().to_string()),
            "older_generations_in_use": alive, "told": *self.told.borrow()})
    }
}

/// Waits until a pool has backends, and a connection to one at the least.
async fn warm(connections: &Rc<Connections>, engine: &Rc<Engine>, way: Option<Way>) {
    loop {
        let targets = engine.targets();
        let mut warm = 0;
        for target in &targets {
            warm += usize::from(connections.warm(target, way).await);
        }
        if warm > 0 {
            return;
        }
        sleep(LOOK).await;
    }
}

/// In words, for people.
pub fn words(said: &Said) -> String {
    match said {
        Said::Same(n) => format!("nothing changes: the same as generation {n}, which is in force"),
        Said::Busy(n) => format!("turned down: generation {n} is under way, wait for it"),
        Said::Crowded(n) => format!("turned down: requests are still bound to {n} older generations"),
        Said::Stopping => "turned down: the daemon stops".into(),
        Said::Staging(n) => format!("generation {n} is staged"),
        Said::Applied(n) => format!("generation {n} is in force, on probation"),
        Said::Committed(n) => format!("generation {n} is committed"),
        Said::GivenUp(n, why) => format!("generation {n} is given up: {why}"),
        Said::Undone { number, by, why } => format!("generation {number} is undone by {by}: {why}"),
        Said::NothingToUndo => "there is nothing to undo".into(),
    }
}

/// How a pool's backends are called remotely.
fn way(rpc: &file::Rpc) -> Way {
    let file::Rpc { port, framing, calls, declined, budget } = *rpc;
    Way { port, framing, calls: calls as usize, declined, budget }
}

/// What pools can choose a registry's host by.
fn labels(host: &Host) -> (&str, &str, u16) {
    (&host.site, &host.class, host.block)
}

/// Whether a registry's host bears the labels that a pool asks for.
fn chosen(host: &Host, select: &BTreeMap<String, String>) -> bool {
    select.iter().all(|(label, want)| match label.as_str() {
        "site" => host.site == *want,
        "class" => host.class == *want,
        _ => host.block.to_string() == *want,
    })
}

/// The settings of a pool: the daemon's own, with the pool's classes.
fn facts(base: &Facts, pool: &Pool) -> Facts {
    let mut facts = base.clone();
    let effect = |e: file::Effect| match e {
        file::Effect::Safe => Effect::Retryable,
        file::Effect::Unsafe => Effect::Fragile,
        file::Effect::Keyed { group, window_ms } => Effect::Dedup {
            window: window_ms,
            group: match group {
                Group::All => api::Group::All,
                Group::Site => api::Group::Zone,
                Group::Block => api::Group::Cell,
            },
        },
    };
    let class = |c: &file::Class| api::Class {
        aim: c.aim_ms,
        points: c.worth,
        effect: effect(c.effect),
        in_order: false,
    };
    facts.settings.classes = pool.classes.iter().map(class).collect();
    facts.site.classes = pool.classes.iter().map(|c| c.name.clone()).collect();
    facts.settings.must_ask = false;
    if let Some(open) = pool.open {
        facts.site.open_cap = facts.site.open_cap.min(open as usize);
    }
    facts
}
