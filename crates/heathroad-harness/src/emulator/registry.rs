//! Emulated registry: serves each proxy the list of backends at an address of its own. It can be
//! delayed, down, out of order, or have a wrong clock.

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

/// Zone of all hosts.
pub const ZONE: &str = "kano-dc";
/// Longest wait of a long poll.
const MAX_WAIT: Duration = Duration::from_secs(60);
/// Delay after which an abandoned registry address closes its connections.
pub const LEAVE: Duration = Duration::from_millis(1500);

/// A state of a host.
#[derive(Debug, Clone)]
struct Entry {
    backend: BackendIndex,
    incarnation: u16,
    version: u64,
    health: Health,
    born_ms: f64,
}

/// All changes to a tier's hosts in order. Their number is the list's version.
#[derive(Default)]
struct List {
    changes: Vec<Entry>,
}

impl List {
    fn seq(&self) -> u64 {
        self.changes.len() as u64
    }
    /// Newest state of each host among the changes after version `after`.
    fn since(&self, after: u64) -> Vec<Entry> {
        let mut newest: Vec<Entry> = Vec::new();
        for e in self.changes.iter().skip(after as usize) {
            newest.retain(|n| n.backend != e.backend);
            newest.push(e.clone());
        }
        newest
    }
    /// State that the latest change replaced.
    fn superseded(&self) -> Option<Entry> {
        let last = self.changes.last()?;
        self.changes
            .iter()
            .rev()
            .skip(1)
            .find(|e| e.backend == last.backend)
            .cloned()
    }
}

/// Registry of all tiers.
pub struct Registry {
    context: Rc<RunContext>,
    lists: RefCell<Vec<List>>,
    backends: RefCell<Vec<Rc<Backend>>>,
    changed: watch::Sender<u64>,
    down: watch::Sender<bool>,
    /// Delay until a change is published.
    pub delay: Cell<Micros>,
    /// Whether superseded states are sent after newer ones.
    pub out_of_order: Cell<bool>,
    /// Offset of its clock in milliseconds.
    pub clock_offset_ms: Cell<f64>,
    /// Proxies and list versions for which a superseded state was sent, so that each is sent once.
    sent_superseded: RefCell<Vec<(ProxyIndex, u64)>>,
}

impl Registry {
    /// Creates a registry with an empty list for each tier.
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
            sent_superseded: RefCell::default(),
        })
    }

    /// Makes the addresses of a backend known without listing it.
    pub fn add_backend(&self, backend: &Rc<Backend>) {
        self.backends.borrow_mut().push(backend.clone());
    }

    /// Takes the registry down, which ends pending long polls, or brings it back.
    pub fn set_down(&self, down: bool) {
        self.down.send_replace(down);
    }

    /// Publishes a change of a backend's state after the configured delay.
    pub fn publish(self: &Rc<Self>, backend: &Rc<Backend>, health: Health) {
        let started = backend.host.started.get();
        let clock: Clock = self.context.clock;
        let born_ms = if backend.host.warm.get() {
            0.0
        } else {
            clock.unix_ms(started) + self.clock_offset_ms.get()
        };
        let (index, incarnation, tier) = (backend.index, backend.incarnation(), backend.tier);
        let (registry, delay) = (self.clone(), self.delay.get());
        let append = move || {
            let list = &mut registry.lists.borrow_mut()[tier];
            let version = list.seq() + 1;
            list.changes.push(Entry {
                backend: index,
                incarnation,
                version,
                health,
                born_ms,
            });
            registry.changed.send_modify(|n| *n += 1);
        };
        if delay == 0 {
            append();
        } else {
            spawn_local(async move {
                sleep(Duration::from_micros(delay)).await;
                append();
            });
        }
    }

    /// Serves a proxy of a tier on a listener until the task is aborted.
    pub fn serve(
        self: &Rc<Self>,
        tier: usize,
        proxy: ProxyIndex,
        listener: TcpListener,
    ) -> JoinHandle<()> {
        let registry = self.clone();
        spawn_local(async move {
            // Dropped with the task: a proxy that uses another address gets no more responses here.
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
            let after = tokio::select! {
                after = self.wait_for_changes(tier, &request.target) => after,
                _ = down.wait_for(|down| *down) => return,
            };
            if self.respond(tier, proxy, after, &mut stream).await.is_err() {
                return;
            }
        }
    }

    /// Waits for changes after the version in the query, and returns that version; `None` requests
    /// the whole list.
    async fn wait_for_changes(&self, tier: usize, target: &str) -> Option<u64> {
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
        // After a timeout, the response lists no hosts.
        let _ = timeout(wait, newer).await;
        Some(after)
    }

    async fn respond(
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
            let version = (proxy, seq);
            match (after, list.superseded()) {
                (Some(after), Some(old))
                    if self.out_of_order.get()
                        && after == seq
                        && !self.sent_superseded.borrow().contains(&version) =>
                {
                    // A superseded state, sent under its own version.
                    self.sent_superseded.borrow_mut().push(version);
                    (old.version, vec![old])
                }
                _ => (seq, list.since(after.unwrap_or(0))),
            }
        };
        if after == Some(seq) && entries.is_empty() && self.out_of_order.get() {
            // Out-of-order mode ends long polls early; the pause prevents a busy loop.
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
        let result = stream.write_all(&encode_response(200, "", &text)).await;
        let at = self.context.clock.now();
        let to_update = |e: &Entry| {
            let (backend, incarnation, version, health) =
                (e.backend, e.incarnation, e.version, e.health);
            RegistryUpdate {
                at,
                proxy,
                backend,
                incarnation,
                version,
                health,
            }
        };
        let event_log: &mut EventLog = &mut self.context.event_log.borrow_mut();
        event_log
            .registry_updates
            .extend(entries.iter().map(to_update));
        result
    }

    /// Binds a new address for a proxy.
    pub async fn bind(ip: std::net::IpAddr) -> io::Result<(TcpListener, SocketAddr)> {
        let listener = TcpListener::bind(SocketAddr::new(ip, 0)).await?;
        let addr = listener.local_addr()?;
        Ok((listener, addr))
    }
}
