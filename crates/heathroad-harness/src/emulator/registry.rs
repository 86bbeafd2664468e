//! A stand-in registry: the list of backends as each proxy is told it, through an address of its
//! own. It can be late, down, out of order, or wrong about the time.

use crate::clock::{Clock, Micros};
use crate::emulator::backend::{Backend, RunContext};
use crate::event_log::{BackendIndex, EventLog, Health, ProxyIndex, RegistryUpdate};
use crate::http::{Buffer, encode_response};
use serde_json::json;
use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::{JoinHandle, spawn_local};
use tokio::time::{sleep, timeout};

/// The zone of all hosts.
pub const ZONE: &str = "kano-dc";
/// Longest wait of a watch.
const MAX_WAIT: Duration = Duration::from_secs(60);
/// A registry address that was left closes its connections after this.
pub const LEAVE: Duration = Duration::from_millis(1500);

/// One state of one host.
#[derive(Debug, Clone)]
struct Entry {
    backend: BackendIndex,
    life: u16,
    version: u64,
    health: Health,
    born_ms: f64,
}

/// One tier's list: every change in order, its number the list's version.
#[derive(Default)]
struct List {
    changes: Vec<Entry>,
}

impl List {
    fn seq(&self) -> u64 {
        self.changes.len() as u64
    }
    /// The newest state of each host among the changes behind `after`.
    fn since(&self, after: u64) -> Vec<Entry> {
        let mut newest: Vec<Entry> = Vec::new();
        for e in self.changes.iter().skip(after as usize) {
            newest.retain(|n| n.backend != e.backend);
            newest.push(e.clone());
        }
        newest
    }
    /// The state before the last of the host that changed last.
    fn old(&self) -> Option<Entry> {
        let last = self.changes.last()?;
        self.changes
            .iter()
            .rev()
            .skip(1)
            .find(|e| e.backend == last.backend)
            .cloned()
    }
}

/// The registry of all tiers.
pub struct Registry {
    context: Rc<RunContext>,
    lists: RefCell<Vec<List>>,
    backends: RefCell<Vec<Rc<Backend>>>,
    changed: watch::Sender<u64>,
    down: watch::Sender<bool>,
    /// Changes are told so much later.
    pub delay: Cell<Micros>,
    /// Old states are told behind new ones.
    pub out_of_order: Cell<bool>,
    /// Its clock is off by so many milliseconds.
    pub clock_offset_ms: Cell<f64>,
    /// Hosts whose old state was told out of order, by proxy and list version, so that each is told
    /// once.
    repeated: RefCell<Vec<(ProxyIndex, u64)>>,
}

impl Registry {
    /// A registry of so many tiers that lists nothing.
    pub fn new(context: &Rc<RunContext>, tiers: usize) -> Rc<Self> {
        Rc::new(Registry {
            context: context.clone(),
            lists: RefCell::new((0..tiers).map(|_| List::default()).collect()),
            backends: RefCell::default(),
            changed: watch::Sender::new(0),
            down: watch::Sender::new(false),
            delay: Cell::new(0),
            out_of_order: Cell::new(false),
            clock_offset_ms: Cell::new(0.0),
            repeated: RefCell::default(),
        })
    }

    /// Takes a host in, so that its addresses are known; it is not listed by that.
    pub fn add_backend(&self, backend: &Rc<Backend>) {
        self.backends.borrow_mut().push(backend.clone());
    }

    /// Goes down, or comes back. Watches end with a reset when it goes.
    pub fn set_down(&self, down: bool) {
        self.down.send_replace(down);
    }

    /// A host's state changes; it is told once the registry has heard of it.
    pub fn publish(self: &Rc<Self>, backend: &Rc<Backend>, health: Health) {
        let started = backend.host.started.get();
        let clock: Clock = self.context.clock;
        let born_ms = if backend.host.warm.get() {
            0.0
        } else {
            clock.unix_ms(started) + self.clock_offset_ms.get()
        };
        let (no, life, tier) = (backend.index, backend.incarnation(), backend.tier);
        let (registry, delay) = (self.clone(), self.delay.get());
        let list = move || {
            let list = &mut registry.lists.borrow_mut()[tier];
            let version = list.seq() + 1;
            list.changes.push(Entry {
                backend: no,
                life,
                version,
                health,
                born_ms,
            });
            registry.changed.send_modify(|n| *n += 1);
        };
        if delay == 0 {
            list();
        } else {
            spawn_local(async move {
                sleep(Duration::from_micros(delay)).await;
                list();
            });
        }
    }

    /// Answers a proxy of a tier at a listener until the task is ended.
    pub fn serve(
        self: &Rc<Self>,
        tier: usize,
        proxy: ProxyIndex,
        listener: TcpListener,
    ) -> JoinHandle<()> {
        let registry = self.clone();
        spawn_local(async move {
            // Ended with the task: who has moved on must not be told here any more.
            let mut open = tokio::task::JoinSet::new();
            loop {
                tokio::select! {
                    accepted = listener.accept() => match accepted {
                        Ok((stream, _)) => drop(open.spawn_local(registry.clone().connection(tier, proxy, stream))),
                        Err(_) => sleep(Duration::from_millis(10)).await,
                    },
                    Some(_) = open.join_next() => {}
                }
            }
        })
    }

    async fn connection(self: Rc<Self>, tier: usize, proxy: ProxyIndex, mut stream: TcpStream) {
        let mut buffer = Buffer::default();
        let mut down = self.down.subscribe();
        while let Ok(request) = buffer.request(&mut stream).await {
            if *down.borrow() {
                let _ = stream
                    .write_all(&encode_response(503, "Connection: close\r\n", ""))
                    .await;
                return;
            }
            let page = tokio::select! {
                page = self.page(tier, &request.target) => page,
                _ = down.wait_for(|down| *down) => return,
            };
            if self.tell(tier, proxy, page, &mut stream).await.is_err() {
                return;
            }
        }
    }

    /// Waits for what is asked for: the list's version from which on it is wanted, and whether it
    /// is whole.
    async fn page(&self, tier: usize, target: &str) -> Option<u64> {
        let query = target.split_once('?').map(|(_, q)| q).unwrap_or_default();
        let value = |name: &str| {
            query
                .split('&')
                .find_map(|p| p.strip_prefix(name)?.strip_prefix('='))
                .and_then(|v| v.parse::<u64>().ok())
        };
        let after = value("after")?;
        let wait = Duration::from_millis(value("wait_ms").unwrap_or(0)).min(MAX_WAIT);
        let mut changed = self.changed.subscribe();
        let newer = changed.wait_for(|_| {
            let lists = self.lists.borrow();
            lists[tier].seq() > after || self.out_of_order.get() && !lists[tier].changes.is_empty()
        });
        // Without news the answer says so.
        let _ = timeout(wait, newer).await;
        Some(after)
    }

    async fn tell(
        &self,
        tier: usize,
        proxy: ProxyIndex,
        after: Option<u64>,
        stream: &mut TcpStream,
    ) -> io::Result<()> {
        let (seq, entries) = {
            let lists = self.lists.borrow();
            let list = &lists[tier];
            let seq = list.seq();
            let again = (proxy, seq);
            match (after, list.old()) {
                (Some(after), Some(old))
                    if self.out_of_order.get()
                        && after == seq
                        && !self.repeated.borrow().contains(&again) =>
                {
                    // An old state, in an answer that says itself that it is old.
                    self.repeated.borrow_mut().push(again);
                    (old.version, vec![old])
                }
                _ => (seq, list.since(after.unwrap_or(0))),
            }
        };
        if after == Some(seq) && entries.is_empty() && self.out_of_order.get() {
            // Disorder makes waits end early; news must not be asked for in a circle.
            sleep(Duration::from_millis(100)).await;
        }
        let whole = after.is_none();
        let backends = self.backends.borrow().clone();
        let mut lines = Vec::new();
        for e in &entries {
            let Some(backend) = backends.iter().find(|h| h.index == e.backend) else {
                continue;
            };
            if whole && e.health == Health::Deleted {
                continue;
            }
            let Some(dial) = backend.address_for(proxy) else {
                continue;
            };
            lines.push(json!({"host": backend.name, "dial": dial.to_string(), "site": ZONE, "class": *backend.kind.borrow(),
                "block": backend.cell, "health": e.health.as_str(), "share": 1.0, "born_ms": e.born_ms}));
        }
        let text = json!({"seq": seq, "whole": whole, "hosts": lines}).to_string();
        let told = stream.write_all(&encode_response(200, "", &text)).await;
        let at = self.context.clock.now();
        let told_entry = |e: &Entry| {
            let (backend, life, version, health) = (e.backend, e.life, e.version, e.health);
            RegistryUpdate {
                at,
                proxy,
                backend,
                incarnation: life,
                version,
                health,
            }
        };
        let event_log: &mut EventLog = &mut self.context.event_log.borrow_mut();
        event_log
            .registry_updates
            .extend(entries.iter().map(told_entry));
        told
    }

    /// A new address for a proxy.
    pub async fn bind(ip: std::net::IpAddr) -> io::Result<(TcpListener, SocketAddr)> {
        let listener = TcpListener::bind(SocketAddr::new(ip, 0)).await?;
        let addr = listener.local_addr()?;
        Ok((listener, addr))
    }
}
