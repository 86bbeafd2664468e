//! A stand-in backend: a process on a machine, behind one address for each proxy that may send to
//! it, so that every request's sender is known. It works, waits for the next tier, answers, and
//! fails where it is told to.

use crate::caller::{Ask, Caller, body};
use crate::clock::{Clock, Micros};
use crate::http::{Broken, Buffer, Request, answer, reply};
use crate::ledger::{Answer, Arrival, End, Fate, HostNo, Ledgers, Life, ProxyNo, Try};
use crate::plan::Plan;
use crate::scenario::{Effect, Group};
use crate::stand_in::machine::Machine;
use crate::stand_in::memory::Memory;
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
pub struct World {
    /// The clock of all ledgers.
    pub clock: Clock,
    /// What is rehearsed.
    pub plan: Arc<Plan>,
    /// What is written down.
    pub ledgers: RefCell<Ledgers>,
    /// Connections that could not be taken for want of descriptors here.
    pub starved: Cell<u64>,
    marks: Cell<u64>,
}

impl World {
    /// A world in which nothing has happened.
    pub fn new(clock: Clock, plan: Arc<Plan>) -> Rc<Self> {
        Rc::new(World {
            clock,
            plan,
            ledgers: RefCell::default(),
            starved: Cell::new(0),
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
    pub no: HostNo,
    /// Its name.
    pub name: String,
    /// Its tier.
    pub tier: usize,
    /// Its cell: by twos.
    pub cell: u16,
    /// Its kind, as the registry tells it.
    pub kind: RefCell<String>,
    /// Its machine.
    pub machine: Machine,
    world: Rc<World>,
    memory: Rc<RefCell<Memory>>,
    /// Where each proxy of its tier reaches it.
    doors: Vec<(ProxyNo, SocketAddr)>,
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
    pub odds: Cell<[f64; 3]>,
    /// Gone astray, it calls this proxy of the first tier in place of the next tier.
    pub astray: Cell<Option<(ProxyNo, SocketAddr)>>,
    /// The proxy through which it calls the next tier, and where that listens.
    pub side: Cell<Option<(ProxyNo, SocketAddr)>>,
    caller: Rc<Caller>,
}

/// A count that goes back when dropped.
struct Counted<'a>(&'a Cell<usize>);

impl<'a> Counted<'a> {
    fn one(count: &'a Cell<usize>) -> Self {
        count.set(count.get() + 1);
        Counted(count)
    }
}

impl Drop for Counted<'_> {
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
pub fn doors(ip: std::net::IpAddr, proxies: &[ProxyNo]) -> io::Result<Vec<(ProxyNo, SocketAddr)>> {
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
        world: &Rc<World>,
        (no, name, tier, cell): (HostNo, String, usize, u16),
        machine: Machine,
        memory: Rc<RefCell<Memory>>,
        doors: Vec<(ProxyNo, SocketAddr)>,
    ) -> Rc<Self> {
        let slots = usize::from(world.plan.scenario.tier[tier].slots);
        Rc::new(Backend {
            no,
            name,
            tier,
            cell,
            kind: RefCell::new("std".into()),
            machine,
            world: world.clone(),
            memory,
            doors,
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
            rng: RefCell::new(Rng::with_seed(world.plan.seed ^ (u64::from(no) << 32))),
            draining: Cell::new(false),
            odds: Cell::new([0.0; 3]),
            astray: Cell::new(None),
            side: Cell::new(None),
            caller: Rc::default(),
        })
    }

    /// Where a proxy reaches it.
    pub fn door(&self, proxy: ProxyNo) -> Option<SocketAddr> {
        self.doors
            .iter()
            .find(|(p, _)| *p == proxy)
            .map(|(_, addr)| *addr)
    }

    /// What it remembers of keyed requests, with those of its group.
    pub fn memory(&self) -> Rc<RefCell<Memory>> {
        self.memory.clone()
    }

    /// All its addresses.
    pub fn doors(&self) -> Vec<(ProxyNo, SocketAddr)> {
        self.doors.clone()
    }

    /// Which of its processes is the present one.
    pub fn life(&self) -> u16 {
        self.state.borrow().life
    }

    /// What its process does.
    pub fn mode(&self) -> Mode {
        self.state.borrow().mode
    }

    /// Starts a process: one that has long been warm, or a cold one.
    pub async fn start(self: &Rc<Self>, warm: bool) -> io::Result<()> {
        let life = if warm { 0 } else { self.life() + 1 };
        if !warm {
            self.machine.restart();
        }
        let started = self.machine.started.get();
        self.world.ledgers.borrow_mut().lives.push(Life {
            host: self.no,
            life,
            started,
            warm,
            fell: None,
        });
        self.draining.set(false);
        self.state.send_replace(State {
            life,
            mode: Mode::Up,
        });
        for (proxy, addr) in self.doors.clone() {
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
    pub async fn turn(&self, mode: Mode) {
        self.state.send_modify(|s| s.mode = mode);
        if mode == Mode::Silent {
            for (_, addr) in &self.doors {
                // The queue was cut to one place: with that taken, further connects hang.
                if let Ok(Ok(stream)) = timeout(REBIND, TcpStream::connect(addr)).await {
                    self.stuffing.borrow_mut().push(stream);
                }
            }
        }
    }

    async fn accept(self: Rc<Self>, proxy: ProxyNo, listener: TcpListener, life: u16) {
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
                    self.world.starved.set(self.world.starved.get() + 1);
                    sleep(REBIND).await;
                }
            }
        }
    }

    async fn connection(self: Rc<Self>, proxy: ProxyNo, mut stream: TcpStream, life: u16) {
        let _open = Counted::one(&self.connections);
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
    async fn serve(&self, proxy: ProxyNo, stream: &mut TcpStream, life: u16) -> bool {
        if stream.set_nodelay(true).is_err() {
            return true;
        }
        let (mut buffer, mut fresh) = (Buffer::default(), true);
        let idle = Duration::from_secs_f64(self.world.plan.scenario.run.conn_idle_ms / 1000.0);
        loop {
            if !matches!(timeout(idle, buffer.begun(stream)).await, Ok(true)) {
                self.present().await;
                return false;
            }
            self.present().await;
            let first_byte = self.world.clock.now();
            let read = match buffer.speaks_rpc() {
                true => buffer.call(stream).await,
                false => buffer.request(stream).await,
            };
            let request = match read {
                Ok(request) => request,
                Err(Broken::Garbled) => {
                    let _ = stream
                        .write_all(&answer(400, "Connection: close\r\n", ""))
                        .await;
                    return false;
                }
                Err(Broken::Ended(_)) => return false,
            };
            self.present().await;
            let Some(id) = request.id else {
                if stream.write_all(&self.plain(&request)).await.is_err() {
                    return false;
                }
                continue;
            };
            let Some(class) = self.class(&request) else {
                let _ = stream.write_all(&reply(&request, 404, "", "")).await;
                continue;
            };
            let handshake = if std::mem::take(&mut fresh) {
                self.handshake()
            } else {
                0
            };
            let arrival = self.arrival(proxy, life, id, class, &request, first_byte, handshake);
            let (mark, at) = (arrival.mark, self.note(arrival));
            let work = self.world.ledgers.borrow().arrivals[at].work;
            if self.machine.falls(work) {
                self.fall_over(life);
                return true;
            }
            let (bytes, kind) = self.process(at, id, mark, class, &request, work).await;
            self.present().await;
            let cut = kind == Answer::Cut;
            let whole = stream
                .write_all(if cut {
                    &bytes[..bytes.len() / 2]
                } else {
                    &bytes
                })
                .await
                .is_ok();
            {
                let arrival = &mut self.world.ledgers.borrow_mut().arrivals[at];
                arrival.answer = kind;
                arrival.done = (whole && !cut).then(|| self.world.clock.now());
            }
            if cut {
                // The half that was written must not be taken back by the reset behind it.
                sleep(REBIND).await;
                return true;
            }
            if kind == Answer::Spoilt {
                // It stays open and is of no further use.
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
            "/health/live" => answer(200, "", ""),
            "/stats" => answer(200, "", &self.load()),
            _ => answer(404, "", ""),
        }
    }

    fn class(&self, request: &Request) -> Option<u16> {
        let name = request
            .target
            .trim_start_matches('/')
            .split(['/', '?'])
            .next()?;
        let classes = &self.world.plan.scenario.class;
        classes
            .iter()
            .position(|c| c.name == name)
            .map(|c| c as u16)
    }

    fn handshake(&self) -> u64 {
        (self.world.plan.scenario.tier[self.tier].handshake_ms * 1000.0) as u64
    }

    /// What a request brings. Its work follows from its id: one seed, one day.
    #[allow(clippy::too_many_arguments, reason = "each is a column of the ledger")]
    fn arrival(
        &self,
        proxy: ProxyNo,
        life: u16,
        id: u64,
        class: u16,
        request: &Request,
        first_byte: Micros,
        handshake: u64,
    ) -> Arrival {
        let (plan, clock) = (&self.world.plan, &self.world.clock);
        let mean = plan.class(class).work_ms * 1000.0 * plan.scenario.tier[self.tier].work;
        // Work has a tail, and none of it is endless.
        let drawn = -(1.0 - Rng::with_seed(id ^ plan.seed).f64()).ln();
        let work = (mean * (0.5 + 0.5 * drawn.min(6.0))) as u64 + handshake;
        Arrival {
            host: self.no,
            life,
            tier: self.tier as u8,
            proxy,
            id,
            class,
            key: request.key,
            version: request.version.clone(),
            first_byte,
            told: request.deadline_ms.map(|ms| ms.saturating_mul(1000)),
            whole: clock.now(),
            work,
            fate: Fate::Ran,
            mark: self.world.mark(),
            answer: Answer::None,
            done: None,
        }
    }

    fn note(&self, arrival: Arrival) -> usize {
        let arrivals = &mut self.world.ledgers.borrow_mut().arrivals;
        arrivals.push(arrival);
        arrivals.len() - 1
    }

    fn fall_over(&self, life: u16) {
        let now = self.world.clock.now();
        let lives = &mut self.world.ledgers.borrow_mut().lives;
        if let Some(life) = lives
            .iter_mut()
            .find(|l| (l.host, l.life) == (self.no, life))
        {
            life.fell.get_or_insert(now);
        }
        self.kill();
    }

    fn load(&self) -> String {
        let (at, now) = (self.report.get().0, self.world.clock.now());
        if now >= at + REPORT || at == 0 {
            self.report
                .set((now.max(1), self.in_work.get(), self.waiting.get()));
        }
        let (_, inflight, queue) = self.report.get();
        format!("TEXT inflight={inflight}, queue={queue}")
    }

    /// Does what a request asks for, and makes its answer.
    async fn process(
        &self,
        at: usize,
        id: u64,
        mark: u64,
        class: u16,
        request: &Request,
        work: u64,
    ) -> (Vec<u8>, Answer) {
        let fate = |fate| self.world.ledgers.borrow_mut().arrivals[at].fate = fate;
        let [cut, spoil, decline] = self.odds.get();
        let drawn = self.rng.borrow_mut().f64();
        let tier = &self.world.plan.scenario.tier[self.tier];
        let full = self.waiting.get() >= usize::from(tier.queue)
            && self.slots.available_permits() == 0
            || self.connections.get() > usize::from(tier.connections);
        if self.draining.get() || full || drawn < decline {
            fate(Fate::Declined);
            return (
                reply(request, 503, "Srv-Declined: 1\r\n", ""),
                Answer::Declined,
            );
        }
        let (plan, now) = (&self.world.plan, self.world.clock.now());
        let head = || format!("Srv-Load: {}\r\n", self.load());
        if let Some(key) = request.key.filter(|_| plan.keyed(class)) {
            let window = (plan.class(class).window_ms * 1000.0) as Micros;
            if self.memory.borrow_mut().repeats(now, key, window) {
                fate(Fate::Repeat);
                return (
                    reply(request, 200, &head(), &body(id, mark)),
                    Answer::Served,
                );
            }
        }
        if self.mode() == Mode::Hang {
            // It has taken the request, and its repeats are dropped: nobody knows what became of
            // it.
            std::future::pending::<()>().await;
        }
        let _slot = {
            let _waits = Counted::one(&self.waiting);
            // It is never closed.
            self.slots.acquire().await
        };
        let _works = Counted::one(&self.in_work);
        self.machine.work(work as f64 / 2.0).await;
        let mut spent = None;
        // One of the last tier, which calls nobody else, goes astray as well.
        let calls = if self.astray.get().is_some() {
            tier.calls.max(1)
        } else {
            tier.calls
        };
        for call in 0..calls {
            let (served, told) = self.call(id, mark, call, class, request, now).await;
            spent = told.or(spent);
            if !served {
                return (
                    reply(request, 500, &with(head(), &spent), ""),
                    Answer::Error,
                );
            }
        }
        let head = || with(head(), &spent);
        self.machine.work(work as f64 / 2.0).await;
        match drawn {
            d if d < decline + cut => (reply(request, 200, &head(), &body(id, mark)), Answer::Cut),
            d if d < decline + cut + spoil => {
                (b"\x07\x00 noise 200 \r\n\r\n".to_vec(), Answer::Spoilt)
            }
            _ => (
                reply(request, 200, &head(), &body(id, mark)),
                Answer::Served,
            ),
        }
    }

    /// Calls the next tier for a request, or the first, where it has gone astray; whether it was
    /// served, and what it was told of budgets.
    async fn call(
        &self,
        parent: u64,
        mark: u64,
        number: u16,
        class: u16,
        of: &Request,
        since: Micros,
    ) -> (bool, Option<String>) {
        let astray = self.astray.get();
        let Some((proxy, addr)) = astray.or(self.side.get()) else {
            return (false, None);
        };
        let (plan, clock) = (&self.world.plan, self.world.clock);
        let passed = clock.now().saturating_sub(since) + HOP;
        let patience = (of.deadline_ms.unwrap_or(0) * 1000).saturating_sub(passed);
        let id = mix(mix(parent, mark), u64::from(number) + 1);
        // One claim has one key at each tier, however often this tier runs it.
        let key = of.key.map(|key| mix(key, u64::from(number) + 1));
        let of_class = plan.class(class);
        let ask = Ask {
            id,
            path: format!("/{}?k={parent:x}", of_class.name),
            // The first tier serves tenants; whose request it was, no backend is told.
            tenant: astray.map(|_| plan.scenario.tenant[0].name.clone()),
            key: key.filter(|_| of_class.effect == Effect::Keyed),
            safe: of_class.effect == Effect::Safe,
            patience,
            retry: false,
            hang_up: None,
            slow: 0,
            carried: of.carried.clone(),
        };
        let due = clock.now();
        let told = self.caller.call(clock, addr, &ask).await;
        let served = matches!(told.end, End::Served(_));
        self.world.ledgers.borrow_mut().tries.push(Try {
            id,
            tier: if astray.is_some() {
                0
            } else {
                self.tier as u8 + 1
            },
            parent: Some(parent),
            first: 0,
            number: 0,
            class,
            tenant: 0,
            key: ask.key,
            proxy,
            due,
            sent: told.sent,
            crossed: told.crossed,
            patience,
            slow: 0,
            end: told.end,
            ended: told.ended,
            extra: false,
        });
        (served, told.spent)
    }

    /// The requests behind whose answer something came on its connections to the next tier's proxy.
    pub fn extras(&self) -> Vec<u64> {
        self.caller.extras()
    }
}

/// A head with what was spent, as it was told.
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
pub fn memories(plan: &Plan, cells: u16) -> Vec<Rc<RefCell<Memory>>> {
    let apart = plan
        .scenario
        .class
        .iter()
        .any(|c| c.effect == Effect::Keyed && c.group == Group::Cell);
    let one = Rc::<RefCell<Memory>>::default();
    (0..cells.max(1))
        .map(|_| if apart { Rc::default() } else { one.clone() })
        .collect()
}
