//! An emulated backend process with a separate address for each proxy, which identifies the sender
//! of a request. It works, calls the next tier, responds, and fails as the schedule says.

use crate::client::{Client, ClientRequest, response_body};
use crate::clock::{Clock, Micros};
use crate::emulator::dedup_cache::DedupCache;
use crate::emulator::host::Host;
use crate::event_log::{
    Arrival, Attempt, AttemptEnd, BackendIndex, Disposition, EventLog, Incarnation, ProxyIndex,
    ResponseKind,
};
use crate::http::{Buffer, ReadError, Request, encode_reply, encode_response};
use crate::scenario::{Effect, Group};
use crate::schedule::Schedule;
use fastrand::Rng;
use socket2::SockRef;
use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::{Semaphore, watch};
use tokio::task::{JoinHandle, spawn_local};
use tokio::time::{sleep, timeout};

/// Waiting connections that the system holds for a backend that runs.
const BACKLOG: u32 = 1024;
/// How often load reports are made anew.
const REPORT: Micros = 300_000;
/// What is left of a deadline for the tier behind is less by this: the answer has yet to come back.
const HOP: Micros = 5_000;
/// A port that has just been closed may take a moment to be free.
const REBIND: Duration = Duration::from_millis(20);
const REBINDS: usize = 100;

/// What all stand-ins of a rehearsal share.
pub struct RunContext {
    /// The clock of all ledgers.
    pub clock: Clock,
    /// What is rehearsed.
    pub schedule: Arc<Schedule>,
    /// What is written down.
    pub event_log: RefCell<EventLog>,
    /// Connections that could not be taken for want of descriptors here.
    pub descriptor_failures: Cell<u64>,
    marks: Cell<u64>,
}

impl RunContext {
    /// A world in which nothing has happened.
    pub fn new(clock: Clock, schedule: Arc<Schedule>) -> Rc<Self> {
        Rc::new(RunContext {
            clock,
            schedule,
            event_log: RefCell::default(),
            descriptor_failures: Cell::new(0),
            marks: Cell::new(0),
        })
    }

    fn mark(&self) -> u64 {
        self.marks.set(self.marks.get() + 1);
        self.marks.get()
    }
}

/// What a process does at the moment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mode {
    /// It runs.
    Up,
    /// Its machine has vanished: connections stay open, nothing moves.
    Silent,
    /// It takes requests and answers none.
    Hang,
    /// There is none: connections were reset, new ones are refused.
    Down,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct State {
    life: u16,
    mode: Mode,
}

/// A stand-in backend.
pub struct Backend {
    /// Its place in the list of hosts.
    pub index: BackendIndex,
    /// Its name.
    pub name: String,
    /// Its tier.
    pub tier: usize,
    /// Its cell: by twos.
    pub cell: u16,
    /// Its kind, as the registry tells it.
    pub kind: RefCell<String>,
    /// Its machine.
    pub host: Host,
    context: Rc<RunContext>,
    dedup_cache: Rc<RefCell<DedupCache>>,
    /// Where each proxy of its tier reaches it.
    addresses: Vec<(ProxyIndex, SocketAddr)>,
    state: watch::Sender<State>,
    accepting: RefCell<Vec<JoinHandle<()>>>,
    /// Sockets that fill the queues of a machine that has vanished.
    stuffing: RefCell<Vec<TcpStream>>,
    slots: Semaphore,
    waiting: Cell<usize>,
    in_work: Cell<usize>,
    connections: Cell<usize>,
    report: Cell<(Micros, usize, usize)>,
    rng: RefCell<Rng>,
    /// Nothing new is taken.
    pub draining: Cell<bool>,
    /// Odds that an answer breaks off, is noise, or is a decline.
    pub fault_probabilities: Cell<[f64; 3]>,
    /// Gone astray, it calls this proxy of the first tier in place of the next tier.
    pub misrouted_to: Cell<Option<(ProxyIndex, SocketAddr)>>,
    /// The proxy through which it calls the next tier, and where that listens.
    pub sidecar: Cell<Option<(ProxyIndex, SocketAddr)>>,
    client: Rc<Client>,
}

struct CountGuard<'a>(&'a Cell<usize>);

impl<'a> CountGuard<'a> {
    fn one(count: &'a Cell<usize>) -> Self {
        count.set(count.get() + 1);
        CountGuard(count)
    }
}

impl Drop for CountGuard<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

fn listen(addr: SocketAddr) -> io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(addr)?;
    socket.listen(BACKLOG)
}

/// Binds an address of one's own for each proxy, and tells the ports.
pub fn allocate_addresses(
    ip: std::net::IpAddr,
    proxies: &[ProxyIndex],
) -> io::Result<Vec<(ProxyIndex, SocketAddr)>> {
    let held: Vec<_> = proxies
        .iter()
        .map(|p| Ok((*p, listen(SocketAddr::new(ip, 0))?)))
        .collect::<io::Result<_>>()?;
    held.iter()
        .map(|(p, l)| Ok((*p, l.local_addr()?)))
        .collect()
}

impl Backend {
    /// A backend that is down yet.
    pub fn new(
        context: &Rc<RunContext>,
        (no, name, tier, cell): (BackendIndex, String, usize, u16),
        host: Host,
        dedup_cache: Rc<RefCell<DedupCache>>,
        doors: Vec<(ProxyIndex, SocketAddr)>,
    ) -> Rc<Self> {
        let slots = usize::from(context.schedule.scenario.tier[tier].slots);
        let seed = context.schedule.seed ^ (u64::from(no) << 32);
        Rc::new(Backend {
            index: no,
            name,
            tier,
            cell,
            kind: RefCell::new("std".into()),
            host,
            context: context.clone(),
            dedup_cache,
            addresses: doors,
            state: watch::Sender::new(State {
                life: 0,
                mode: Mode::Down,
            }),
            accepting: RefCell::default(),
            stuffing: RefCell::default(),
            slots: Semaphore::new(slots),
            waiting: Cell::default(),
            in_work: Cell::default(),
            connections: Cell::default(),
            report: Cell::default(),
            rng: RefCell::new(Rng::with_seed(seed)),
            draining: Cell::new(false),
            fault_probabilities: Cell::new([0.0; 3]),
            misrouted_to: Cell::new(None),
            sidecar: Cell::new(None),
            client: Rc::default(),
        })
    }

    /// Where a proxy reaches it.
    pub fn address_for(&self, proxy: ProxyIndex) -> Option<SocketAddr> {
        self.addresses
            .iter()
            .find(|(p, _)| *p == proxy)
            .map(|(_, addr)| *addr)
    }

    /// What it remembers of keyed requests, with those of its group.
    pub fn dedup_cache(&self) -> Rc<RefCell<DedupCache>> {
        self.dedup_cache.clone()
    }

    /// All its addresses.
    pub fn addresses(&self) -> Vec<(ProxyIndex, SocketAddr)> {
        self.addresses.clone()
    }

    /// Which of its processes is the present one.
    pub fn incarnation(&self) -> u16 {
        self.state.borrow().life
    }

    /// What its process does.
    pub fn mode(&self) -> Mode {
        self.state.borrow().mode
    }

    /// Starts a process: one that has long been warm, or a cold one.
    pub async fn start(self: &Rc<Self>, warm: bool) -> io::Result<()> {
        let life = if warm { 0 } else { self.incarnation() + 1 };
        if !warm {
            self.host.restart();
        }
        let started = self.host.started.get();
        let incarnation = Incarnation {
            backend: self.index,
            number: life,
            started_at: started,
            warm,
            overloaded_at: None,
        };
        self.context
            .event_log
            .borrow_mut()
            .incarnations
            .push(incarnation);
        self.draining.set(false);
        self.state.send_replace(State {
            life,
            mode: Mode::Up,
        });
        for (proxy, addr) in self.addresses.clone() {
            let mut tries = 0;
            let listener = loop {
                match listen(addr) {
                    Ok(listener) => break listener,
                    Err(e) if tries == REBINDS => return Err(e),
                    Err(_) => tries += 1,
                }
                sleep(REBIND).await;
            };
            self.accepting
                .borrow_mut()
                .push(spawn_local(self.clone().accept(proxy, listener, life)));
        }
        Ok(())
    }

    /// Its process dies: connections are reset, new ones are refused.
    pub fn kill(&self) {
        self.accepting
            .borrow_mut()
            .drain(..)
            .for_each(|task| task.abort());
        self.stuffing.borrow_mut().clear();
        self.state.send_modify(|s| s.mode = Mode::Down);
    }

    /// Its process goes on as told; a machine that vanishes takes no new connection either.
    pub async fn set_mode(&self, mode: Mode) {
        self.state.send_modify(|s| s.mode = mode);
        if mode == Mode::Silent {
            for (_, addr) in &self.addresses {
                // The queue was cut to one place: with that taken, further connects hang.
                if let Ok(Ok(stream)) = timeout(REBIND, TcpStream::connect(addr)).await {
                    self.stuffing.borrow_mut().push(stream);
                }
            }
        }
    }

    async fn accept(self: Rc<Self>, proxy: ProxyIndex, listener: TcpListener, life: u16) {
        let mut state = self.state.subscribe();
        loop {
            let accepted = tokio::select! {
                biased;
                silent = state.wait_for(|s| s.mode == Mode::Silent) => {
                    drop(silent);
                    // Nobody accepts, and the system soon has no room for those who wait.
                    let _ = SockRef::from(&listener).listen(0);
                    std::future::pending().await
                }
                accepted = listener.accept() => accepted,
            };
            match accepted {
                Ok((stream, _)) => drop(spawn_local(self.clone().connection(proxy, stream, life))),
                Err(_) => {
                    let failures = &self.context.descriptor_failures;
                    failures.set(failures.get() + 1);
                    sleep(REBIND).await;
                }
            }
        }
    }

    async fn connection(self: Rc<Self>, proxy: ProxyIndex, mut stream: TcpStream, life: u16) {
        let _open = CountGuard::one(&self.connections);
        let mut state = self.state.subscribe();
        let reset = tokio::select! {
            biased;
            _ = state.wait_for(|s| s.life != life || s.mode == Mode::Down) => true,
            reset = self.serve(proxy, &mut stream, life) => reset,
        };
        if reset {
            // What a process leaves open when it dies is reset by the system.
            let _ = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
        }
    }

    /// While its machine has vanished nothing goes on: the wait ends with the process.
    async fn present(&self) {
        if self.mode() == Mode::Silent {
            std::future::pending::<()>().await;
        }
    }

    /// Serves a connection until it ends; whether it is to be reset.
    async fn serve(&self, proxy: ProxyIndex, stream: &mut TcpStream, life: u16) -> bool {
        if stream.set_nodelay(true).is_err() {
            return true;
        }
        let (mut buffer, mut fresh) = (Buffer::default(), true);
        let idle =
            Duration::from_secs_f64(self.context.schedule.scenario.run.conn_idle_ms / 1000.0);
        loop {
            if !matches!(timeout(idle, buffer.wait_for_data(stream)).await, Ok(true)) {
                self.present().await;
                return false;
            }
            self.present().await;
            let first_byte = self.context.clock.now();
            let read = match buffer.is_jsonrpc() {
                true => buffer.jsonrpc_call(stream).await,
                false => buffer.request(stream).await,
            };
            let request = match read {
                Ok(request) => request,
                Err(ReadError::Malformed) => {
                    let _ = stream
                        .write_all(&encode_response(400, "Connection: close\r\n", ""))
                        .await;
                    return false;
                }
                Err(ReadError::Closed(_)) => return false,
            };
            self.present().await;
            let Some(id) = request.id else {
                if stream.write_all(&self.plain(&request)).await.is_err() {
                    return false;
                }
                continue;
            };
            let Some(class) = self.class(&request) else {
                let _ = stream.write_all(&encode_reply(&request, 404, "", "")).await;
                continue;
            };
            let handshake = if std::mem::take(&mut fresh) {
                self.handshake()
            } else {
                0
            };
            let arrival = self.arrival(proxy, life, id, class, &request, first_byte, handshake);
            let (mark, at) = (arrival.marker, self.note(arrival));
            let work = self.context.event_log.borrow().arrivals[at].work;
            if self.host.check_overload(work) {
                self.fall_over(life);
                return true;
            }
            let (bytes, kind) = self.process(at, id, mark, class, &request, work).await;
            self.present().await;
            let cut = kind == ResponseKind::Truncated;
            let whole = stream
                .write_all(if cut {
                    &bytes[..bytes.len() / 2]
                } else {
                    &bytes
                })
                .await
                .is_ok();
            {
                let arrival = &mut self.context.event_log.borrow_mut().arrivals[at];
                arrival.response = kind;
                arrival.responded_at = (whole && !cut).then(|| self.context.clock.now());
            }
            if cut {
                // The half that was written must not be taken back by the reset behind it.
                sleep(REBIND).await;
                return true;
            }
            if kind == ResponseKind::Malformed {
                while stream.read(&mut [0; 1024]).await.is_ok_and(|n| n > 0) {}
                return false;
            }
            if !whole {
                return false;
            }
        }
    }

    /// The answer to what is no request of a class: probes, and what has no id.
    fn plain(&self, request: &Request) -> Vec<u8> {
        match request.target.as_str() {
            "/health/live" => encode_response(200, "", ""),
            "/stats" => encode_response(200, "", &self.load()),
            _ => encode_response(404, "", ""),
        }
    }

    fn class(&self, request: &Request) -> Option<u16> {
        let name = request
            .target
            .trim_start_matches('/')
            .split(['/', '?'])
            .next()?;
        let classes = &self.context.schedule.scenario.class;
        classes
            .iter()
            .position(|c| c.name == name)
            .map(|c| c as u16)
    }

    fn handshake(&self) -> u64 {
        (self.context.schedule.scenario.tier[self.tier].handshake_ms * 1000.0) as u64
    }

    /// What a request brings. Its work follows from its id: one seed, one day.
    #[allow(clippy::too_many_arguments, reason = "each is a column of the ledger")]
    fn arrival(
        &self,
        proxy: ProxyIndex,
        life: u16,
        id: u64,
        class: u16,
        request: &Request,
        first_byte: Micros,
        handshake: u64,
    ) -> Arrival {
        let (schedule, clock) = (&self.context.schedule, &self.context.clock);
        let mean = schedule.class(class).work_ms * 1000.0 * schedule.scenario.tier[self.tier].work;
        let drawn = -(1.0 - Rng::with_seed(id ^ schedule.seed).f64()).ln();
        let work = (mean * (0.5 + 0.5 * drawn.min(6.0))) as u64 + handshake;
        Arrival {
            backend: self.index,
            incarnation: life,
            tier: self.tier as u8,
            proxy,
            id,
            class,
            key: request.key,
            version: request.version.clone(),
            first_byte_at: first_byte,
            announced_limit: request.deadline_ms.map(|ms| ms.saturating_mul(1000)),
            received_at: clock.now(),
            work,
            disposition: Disposition::Executed,
            marker: self.context.mark(),
            response: ResponseKind::None,
            responded_at: None,
        }
    }

    fn note(&self, arrival: Arrival) -> usize {
        let arrivals = &mut self.context.event_log.borrow_mut().arrivals;
        arrivals.push(arrival);
        arrivals.len() - 1
    }

    fn fall_over(&self, life: u16) {
        let now = self.context.clock.now();
        let lives = &mut self.context.event_log.borrow_mut().incarnations;
        let own = (self.index, life);
        if let Some(life) = lives.iter_mut().find(|l| (l.backend, l.number) == own) {
            life.overloaded_at.get_or_insert(now);
        }
        self.kill();
    }

    fn load(&self) -> String {
        let (at, now) = (self.report.get().0, self.context.clock.now());
        if now >= at + REPORT || at == 0 {
            self.report
                .set((now.max(1), self.in_work.get(), self.waiting.get()));
        }
        let (_, inflight, queue) = self.report.get();
        format!("TEXT inflight={inflight}, queue={queue}")
    }

    async fn process(
        &self,
        at: usize,
        id: u64,
        mark: u64,
        class: u16,
        request: &Request,
        work: u64,
    ) -> (Vec<u8>, ResponseKind) {
        let fate = |fate| self.context.event_log.borrow_mut().arrivals[at].disposition = fate;
        let [cut, spoil, decline] = self.fault_probabilities.get();
        let drawn = self.rng.borrow_mut().f64();
        let tier = &self.context.schedule.scenario.tier[self.tier];
        let full = self.waiting.get() >= usize::from(tier.queue)
            && self.slots.available_permits() == 0
            || self.connections.get() > usize::from(tier.connections);
        if self.draining.get() || full || drawn < decline {
            fate(Disposition::Declined);
            return (
                encode_reply(request, 503, "Srv-Declined: 1\r\n", ""),
                ResponseKind::Declined,
            );
        }
        let (schedule, now) = (&self.context.schedule, self.context.clock.now());
        let head = || format!("Srv-Load: {}\r\n", self.load());
        if let Some(key) = request.key.filter(|_| schedule.is_keyed(class)) {
            let window = (schedule.class(class).window_ms * 1000.0) as Micros;
            if self.dedup_cache.borrow_mut().is_duplicate(now, key, window) {
                fate(Disposition::Duplicate);
                return (
                    encode_reply(request, 200, &head(), &response_body(id, mark)),
                    ResponseKind::Served,
                );
            }
        }
        if self.mode() == Mode::Hang {
            // The request counts as received, and its repeats are dropped.
            std::future::pending::<()>().await;
        }
        let _slot = {
            let _waits = CountGuard::one(&self.waiting);
            self.slots.acquire().await
        };
        let _works = CountGuard::one(&self.in_work);
        self.host.work(work as f64 / 2.0).await;
        let mut spent = None;
        // One of the last tier, which calls nobody else, goes astray as well.
        let calls = if self.misrouted_to.get().is_some() {
            tier.calls.max(1)
        } else {
            tier.calls
        };
        for call in 0..calls {
            let (served, told) = self.call(id, mark, call, class, request, now).await;
            spent = told.or(spent);
            if !served {
                return (
                    encode_reply(request, 500, &with(head(), &spent), ""),
                    ResponseKind::Error,
                );
            }
        }
        let head = || with(head(), &spent);
        self.host.work(work as f64 / 2.0).await;
        let noise = || b"\x07\x00 noise 200 \r\n\r\n".to_vec();
        let served = || encode_reply(request, 200, &head(), &response_body(id, mark));
        match drawn {
            d if d < decline + cut => (served(), ResponseKind::Truncated),
            d if d < decline + cut + spoil => (noise(), ResponseKind::Malformed),
            _ => (served(), ResponseKind::Served),
        }
    }

    /// Calls the next tier, or the first when misrouted; returns success and the budget report.
    async fn call(
        &self,
        parent: u64,
        mark: u64,
        number: u16,
        class: u16,
        of: &Request,
        since: Micros,
    ) -> (bool, Option<String>) {
        let astray = self.misrouted_to.get();
        let Some((proxy, addr)) = astray.or(self.sidecar.get()) else {
            return (false, None);
        };
        let (schedule, clock) = (&self.context.schedule, self.context.clock);
        let passed = clock.now().saturating_sub(since) + HOP;
        let patience = (of.deadline_ms.unwrap_or(0) * 1000).saturating_sub(passed);
        let id = mix(mix(parent, mark), u64::from(number) + 1);
        // One claim has one key at each tier, however often this tier runs it.
        let key = of.key.map(|key| mix(key, u64::from(number) + 1));
        let of_class = schedule.class(class);
        let ask = ClientRequest {
            id,
            path: format!("/{}?k={parent:x}", of_class.name),
            // The first tier serves tenants; whose request it was, no backend is told.
            tenant: astray.map(|_| schedule.scenario.tenant[0].name.clone()),
            key: key.filter(|_| of_class.effect == Effect::Keyed),
            safe: of_class.effect == Effect::Safe,
            time_limit: patience,
            retry: false,
            cancel_after: None,
            read_delay: 0,
            budget_headers: of.budget_headers.clone(),
        };
        let due = clock.now();
        let told = self.client.call(clock, addr, &ask).await;
        let served = matches!(told.end, AttemptEnd::Served(_));
        self.context.event_log.borrow_mut().attempts.push(Attempt {
            id,
            tier: if astray.is_some() {
                0
            } else {
                self.tier as u8 + 1
            },
            parent: Some(parent),
            request_index: 0,
            retry: 0,
            class,
            tenant: 0,
            key: ask.key,
            proxy,
            scheduled_at: due,
            sent_at: told.sent_at,
            resent_at: told.resent_at,
            time_limit: patience,
            read_delay: 0,
            end: told.end,
            ended_at: told.ended_at,
            unexpected_data: false,
        });
        (served, told.budget_spent)
    }

    /// The requests behind whose answer something came on its connections to the next tier's proxy.
    pub fn take_unexpected(&self) -> Vec<u64> {
        self.client.take_unexpected()
    }
}

fn with(head: String, spent: &Option<String>) -> String {
    spent
        .as_ref()
        .map_or(head.clone(), |s| format!("{head}Req-Spent: {s}\r\n"))
}

/// A number made of two; never 0.
pub fn mix(a: u64, b: u64) -> u64 {
    let mut x = a ^ b.wrapping_mul(0x9e37_79b9_7f4a_7c15).rotate_left(31);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    (x ^ (x >> 31)).max(1)
}

/// The memories of a tier: one for all its backends, or one for each cell.
pub fn dedup_caches(schedule: &Schedule, cells: u16) -> Vec<Rc<RefCell<DedupCache>>> {
    let apart = schedule
        .scenario
        .class
        .iter()
        .any(|c| c.effect == Effect::Keyed && c.group == Group::Cell);
    let one = Rc::<RefCell<DedupCache>>::default();
    (0..cells.max(1))
        .map(|_| if apart { Rc::default() } else { one.clone() })
        .collect()
}
