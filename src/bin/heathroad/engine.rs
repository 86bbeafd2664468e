//! The only owner of the decision module: turns what happens on the sockets into its events, in order, and
//! carries out its actions. Keeps the ids, the clock, the timers and each request's life.

use crate::backend::{Attempt, Call, End, Pool, Target};
use crate::discovery::{Health, Host};
use bytes::Bytes;
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::sync::{oneshot, watch};
use tokio::time::{Instant, sleep, sleep_until};
use turnshift::Balancer;
use turnshift::api::{
    Action, Arrival, BackendId, Entry, Event, ListKind, Outcome, Phase, RequestId, Resolved, SettingsError,
};
use turnshift::settings::Facts;

/// The module's deadline lies so much before the caller's: a deadline counts from the caller's send, and the
/// answer has yet to reach it.
const MARGIN: Duration = Duration::from_millis(25);
/// A request still without an answer so long before the caller's deadline is failed whatever the module says.
const BACKSTOP: Duration = Duration::from_millis(10);

/// A request's final answer.
#[derive(Debug)]
pub enum Answer {
    /// A backend's answer.
    Served(Bytes),
    /// Turned away; a further try is harmless.
    Refused {
        /// How long the caller should stay away, where that is told.
        retry_after: Option<Duration>,
    },
    /// Failed; nothing is promised.
    Failed,
    /// No answer in time; nothing is promised.
    TimedOut,
}

/// A request as it came in, its names resolved.
pub struct Incoming {
    /// What is sent to backends.
    pub call: Call,
    /// Place of its class in the settings.
    pub class: u16,
    /// Place of its tenant.
    pub tenant: u16,
    /// What it is about.
    pub key: Option<String>,
    /// When its head had come.
    pub received: Instant,
    /// How long its caller waits.
    pub patience: Duration,
}

/// Milliseconds for the module on a monotonic clock. It starts at the Unix time of the process's start, so that
/// the starts of backends, which are told in Unix time, lie on it as they are.
struct Clock {
    start: Instant,
    base: f64,
}

impl Clock {
    fn new() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { start: Instant::now(), base: unix.as_secs_f64() * 1000.0 }
    }
    fn at(&self, t: Instant) -> f64 {
        self.base + t.saturating_duration_since(self.start).as_secs_f64() * 1000.0
    }
    fn instant(&self, ms: f64) -> Instant {
        self.start + millis(ms - self.base)
    }
}

/// A duration; what is not a sensible number of milliseconds counts as none, and a day is the most.
pub fn millis(ms: f64) -> Duration {
    Duration::from_secs_f64(if ms.is_finite() { (ms / 1000.0).clamp(0.0, 86_400.0) } else { 0.0 })
}

/// What a request is owed. The way to the caller is spent by its one answer.
enum Life {
    Owed(oneshot::Sender<Answer>),
    Over,
}

struct Out {
    backend: BackendId,
    sent: Instant,
    cancel: Option<oneshot::Sender<()>>,
}

struct Open {
    call: Rc<Call>,
    life: Life,
    /// Attempts by number; `None` once resolved.
    attempts: Vec<Option<Out>>,
}

impl Open {
    /// Gives the answer if one is still owed.
    fn answer(&mut self, answer: Answer) {
        if let Life::Owed(caller) = std::mem::replace(&mut self.life, Life::Over) {
            // A caller that has just left takes no answer; its hang-up says so.
            let _ = caller.send(answer);
        }
    }
    fn done(&self) -> bool {
        matches!(self.life, Life::Over) && self.attempts.iter().all(Option::is_none)
    }
}

struct State {
    balancer: Balancer,
    ids: HashMap<String, BackendId>,
    targets: HashMap<BackendId, Rc<Target>>,
    requests: HashMap<RequestId, Open>,
    next: RequestId,
    events: VecDeque<Event>,
    actions: Vec<Action>,
}

/// The proxy's middle. Everything runs on one thread, so that events have one order.
pub struct Engine {
    state: RefCell<State>,
    pool: Rc<Pool>,
    clock: Clock,
    facts: Facts,
    watching: watch::Sender<bool>,
    /// From when on nothing is awaited any more; set by a planned stop.
    last: Cell<Option<Instant>>,
}

impl Engine {
    /// Starts the module. What it asks of discovery comes through `watching`.
    pub fn new(
        facts: Facts,
        seed: u64,
        pool: Rc<Pool>,
        watching: watch::Sender<bool>,
    ) -> Result<Rc<Self>, SettingsError> {
        let state = State {
            balancer: Balancer::new(facts.settings.clone(), seed)?,
            ids: HashMap::new(),
            targets: HashMap::new(),
            requests: HashMap::new(),
            next: 1,
            events: VecDeque::new(),
            actions: Vec::new(),
        };
        let (state, clock, last) = (RefCell::new(state), Clock::new(), Cell::new(None));
        Ok(Rc::new(Engine { state, pool, clock, facts, watching, last }))
    }

    /// Whether requests can be decided: some backend takes work.
    pub fn ready(&self) -> bool {
        self.state.borrow().targets.values().any(|t| t.drained.get().is_none())
    }

    /// How many requests are owed an answer.
    pub fn owed(&self) -> usize {
        self.state.borrow().requests.values().filter(|r| matches!(r.life, Life::Owed(_))).count()
    }

    /// Takes a request and waits for its one answer. Dropped before that, the caller has hung up.
    pub async fn decide(self: &Rc<Self>, incoming: Incoming) -> Answer {
        let limit = self.last.get().map_or(incoming.patience, |last| {
            incoming.patience.min(last.saturating_duration_since(incoming.received))
        });
        let end = incoming.received + limit;
        let deadline = self.clock.at(incoming.received + limit.saturating_sub(MARGIN));
        let key = incoming.key.map_or(0, |k| hash(&k).max(1));
        let (caller, answer) = oneshot::channel();
        let request = {
            let s = &mut *self.state.borrow_mut();
            if s.requests.len() >= self.facts.site.open_cap {
                return Answer::Refused { retry_after: None };
            }
            let id = s.next;
            s.next += 1;
            let call = Rc::new(incoming.call);
            s.requests.insert(id, Open { call, life: Life::Owed(caller), attempts: Vec::new() });
            id
        };
        let _here = Here { engine: self.clone(), request };
        let (class, tenant) = (incoming.class, incoming.tenant);
        self.tell(Event::Request(Arrival { request, key, class, tenant, deadline }));
        tokio::select! {
            biased;
            answer = answer => answer.unwrap_or(Answer::Failed),
            // The module answers in time; this guards against a late loop and against its silence.
            () = sleep_until(end - BACKSTOP.min(limit)) => Answer::TimedOut,
        }
    }

    /// A list of backends, or changes to it.
    pub fn list(self: &Rc<Self>, kind: ListKind, hosts: Vec<Host>) {
        let entries = {
            let s = &mut *self.state.borrow_mut();
            if kind != ListKind::Delta {
                let named: Vec<BackendId> = hosts.iter().map(|h| s.id(&h.host)).collect();
                let gone: Vec<_> = s.targets.keys().filter(|id| !named.contains(id)).copied().collect();
                gone.into_iter().for_each(|id| s.withdraw(id, &self.pool));
            }
            hosts.into_iter().filter_map(|h| self.entry(s, h)).collect()
        };
        self.tell(Event::List { kind, entries });
    }

    /// A call to discovery failed.
    pub fn list_failed(self: &Rc<Self>) {
        self.watching.send_replace(false);
        self.tell(Event::List { kind: ListKind::Failed, entries: Vec::new() });
    }

    /// Answers what is still open by then, and takes nothing that would last longer.
    pub fn end_by(self: &Rc<Self>, last: Instant) {
        self.last.set(Some(last));
        let engine = self.clone();
        tokio::task::spawn_local(async move {
            sleep_until(last).await;
            let open: Vec<RequestId> = {
                let s = &mut *engine.state.borrow_mut();
                s.requests.values_mut().for_each(|r| r.answer(Answer::TimedOut));
                s.requests.keys().copied().collect()
            };
            open.into_iter().for_each(|request| engine.tell(Event::Hangup { request }));
        });
    }

    fn entry(&self, s: &mut State, h: Host) -> Option<Entry> {
        let backend = s.id(&h.host);
        let Some(zone) = self.facts.site.zones.iter().position(|z| *z == h.site) else {
            if h.health == Health::Deleted {
                s.withdraw(backend, &self.pool);
                return Some(Entry { backend, phase: Phase::Gone, ..Entry::default() });
            }
            eprintln!("heathroad: discovery: {}: zone {:?} is unknown, passed over", h.host, h.site);
            return None;
        };
        let phase = match h.health {
            Health::Serving => Phase::Ready,
            Health::Draining => Phase::Draining,
            Health::Deleted => Phase::Gone,
        };
        match (phase, h.dial) {
            (Phase::Ready, Some(dial)) => {
                // A new process knows nothing of the old one's connections. Where its machine fell silent
                // they look open still, and a request on one would end as a reset, which may have run.
                let born_ms = h.born_ms;
                let same =
                    |t: &Rc<Target>| t.dial == dial && t.born_ms == born_ms && t.drained.get().is_none();
                let same = s.targets.get(&backend).is_some_and(same);
                if !same {
                    s.withdraw(backend, &self.pool);
                    let target = Target { dial, born_ms, drained: Cell::new(None) };
                    s.targets.insert(backend, Rc::new(target));
                }
            }
            _ => s.withdraw(backend, &self.pool),
        }
        let (zone, started_at, weight, cell) = (zone as u16, h.born_ms.max(0.0), h.share.max(0.0), h.block);
        Some(Entry { backend, phase, zone, started_at, weight, cell })
    }

    /// Tells the module of an event and carries out what it decides, and so on until all is quiet.
    fn tell(self: &Rc<Self>, event: Event) {
        let s = &mut *self.state.borrow_mut();
        s.events.push_back(event);
        while let Some(event) = s.events.pop_front() {
            let mut actions = std::mem::take(&mut s.actions);
            s.balancer.handle(self.clock.at(Instant::now()), event, &mut actions);
            for action in actions.drain(..) {
                self.act(s, action);
            }
            s.actions = actions;
        }
    }

    fn act(self: &Rc<Self>, s: &mut State, action: Action) {
        match action {
            Action::Send { request, backend, not_past } => self.send(s, request, backend, not_past),
            Action::Refuse { request, retry_after } => {
                let retry_after = Some(millis(retry_after)).filter(|d| !d.is_zero());
                s.answer(request, Answer::Refused { retry_after });
            }
            Action::Fail { request } => s.answer(request, Answer::Failed),
            Action::Cancel { request, attempt } => {
                let open = s.requests.get_mut(&request);
                let out = open.and_then(|r| r.attempts.get_mut(usize::from(attempt))?.as_mut());
                if let Some(cancel) = out.and_then(|o| o.cancel.take()) {
                    // One that has just ended needs no cancel.
                    let _ = cancel.send(());
                }
            }
            Action::WakeMe { delay, token } => {
                let engine = self.clone();
                tokio::task::spawn_local(async move {
                    sleep(millis(delay)).await;
                    engine.tell(Event::Wake { token });
                });
            }
            Action::Close { backend } => {
                if let Some(target) = s.targets.get(&backend) {
                    self.pool.close(target.dial);
                }
            }
            Action::Watch { on } => {
                self.watching.send_replace(on);
            }
        }
    }

    fn send(self: &Rc<Self>, s: &mut State, request: RequestId, backend: BackendId, not_past: f64) {
        let Some(open) = s.requests.get_mut(&request) else { return };
        let number = open.attempts.len();
        let sent = Instant::now();
        let target = s.targets.get(&backend);
        let within = number < self.facts.settings.caps.try_limit as usize;
        let Some(target) = target.filter(|_| within && matches!(open.life, Life::Owed(_))) else {
            open.attempts.push(None);
            s.events.push_back(resolved(request, number, backend, Outcome::Moot, 0.0, &open.life));
            return;
        };
        let (cancel, cancelled) = oneshot::channel();
        open.attempts.push(Some(Out { backend, sent, cancel: Some(cancel) }));
        let (call, target, not_past) = (open.call.clone(), target.clone(), self.clock.instant(not_past));
        let attempt = Attempt { call, target, not_past, cancelled };
        let (engine, pool) = (self.clone(), self.pool.clone());
        tokio::task::spawn_local(attempt.run(pool, move |end| engine.ended(request, number, end)));
    }

    /// An attempt ended. The first served answer goes to the caller by itself.
    fn ended(self: &Rc<Self>, request: RequestId, number: usize, end: End) {
        let event = {
            let s = &mut *self.state.borrow_mut();
            let Some(open) = s.requests.get_mut(&request) else { return };
            let Some(out) = open.attempts.get_mut(number).and_then(Option::take) else { return };
            let outcome = end.outcome();
            match end {
                End::Served(body) => open.answer(Answer::Served(body)),
                End::Rejected => open.answer(Answer::Failed),
                End::Unserved(_) => {}
            }
            let wait = out.sent.elapsed().as_secs_f64() * 1000.0;
            let event = resolved(request, number, out.backend, outcome, wait, &open.life);
            s.forget(request);
            event
        };
        self.tell(event);
    }
}

fn resolved(
    request: RequestId,
    number: usize,
    backend: BackendId,
    outcome: Outcome,
    wait: f64,
    life: &Life,
) -> Event {
    let (attempt, closed) = (number as u8, matches!(life, Life::Over));
    Event::Resolved(Resolved { request, attempt, backend, outcome, wait, closed })
}

fn hash(text: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    text.hash(&mut hasher);
    hasher.finish()
}

impl State {
    /// The module's number for a backend. It is made from the name, since every copy orders the backends by it:
    /// the copies' subsets are to overlap evenly.
    fn id(&mut self, host: &str) -> BackendId {
        if let Some(&id) = self.ids.get(host) {
            return id;
        }
        let mut id = hash(host) as BackendId;
        while self.ids.values().any(|&taken| taken == id) {
            id = id.wrapping_add(1);
        }
        self.ids.insert(host.to_string(), id);
        id
    }

    /// Nothing new goes to a backend from now on.
    fn withdraw(&mut self, backend: BackendId, pool: &Pool) {
        if let Some(target) = self.targets.get(&backend).filter(|t| t.drained.get().is_none()) {
            target.drained.set(Some(Instant::now()));
            pool.close(target.dial);
        }
    }

    fn answer(&mut self, request: RequestId, answer: Answer) {
        if let Some(open) = self.requests.get_mut(&request) {
            open.answer(answer);
        }
        self.forget(request);
    }

    fn forget(&mut self, request: RequestId) {
        if self.requests.get(&request).is_some_and(Open::done) {
            self.requests.remove(&request);
        }
    }
}

/// A caller that waits. When it is gone without an answer, the module is told.
struct Here {
    engine: Rc<Engine>,
    request: RequestId,
}

impl Drop for Here {
    fn drop(&mut self) {
        let left = {
            let s = &mut *self.engine.state.borrow_mut();
            let open = s.requests.get_mut(&self.request);
            let owed = open.filter(|r| matches!(r.life, Life::Owed(_)));
            let left = owed.map(|r| r.life = Life::Over).is_some();
            s.forget(self.request);
            left
        };
        if left {
            self.engine.tell(Event::Hangup { request: self.request });
        }
    }
}
