//! The only owner of the decision module: turns what happens on the sockets into its events, in
//! order, and carries out its actions. Keeps the ids, the clock, the timers and each request's
//! life.

mod pending_response;

use crate::backend::{Attempt, Call, End, Line, Pool, Target};
use crate::discovery::endpoint_list::{Instance, InstanceHealth};
use crate::membership::activity_log::{self, ActivityLog};
use crate::metrics::{Counts, Final, Moment, Notice, Special};
use crate::retry_budget::{OnBooks, Purse};
use crate::runtime_accounting::{sleep, sleep_until, spawn_local};
use crate::safety::{self, Attempted, Denied, Place, Violation, Waiting, WriteBy, violations};
use crate::stall_detector;
use crate::time::{as_millis, millis};
use bytes::Bytes;
use heathroad_balancer::Balancer;
use heathroad_balancer::api::{
    Action, AttemptResult, BackendId, Endpoint, EndpointState, Event, Idempotency, Outcome,
    RequestArrival, RequestId, SettingsError, UpdateKind,
};
use heathroad_balancer::settings::InstanceSettings;
use heathroad_membership::activity_record::Activity;
use heathroad_retry_budget::account::Loan;
use heathroad_retry_budget::wire::Spent;
use pending_response::{Running, Wait};
use rustc_hash::FxHashMap;
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet, VecDeque};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::sync::watch;
use tokio::time::Instant;

/// A deadline counts from the client's send, and the answer has yet to reach it: so much is for the
/// way. What backends are told is no more than what is left where a pause at the arrival went
/// unseen.
const TRAVEL: Duration = stall_detector::UNSEEN;
/// So long after its deadline a client still waits, by the protocol: 20 ms, and 50 ms more on
/// sockets.
const GRACE: Duration = Duration::from_millis(70);
/// The module's deadline lies so much before the client's: a request is answered in time though the
/// process is held up just then, and was held up unseen when the request arrived.
const MARGIN: Duration = stall_detector::LONGEST
    .saturating_add(stall_detector::UNSEEN)
    .saturating_sub(GRACE);
/// But no more than this part of the time that a client waits, as a divisor: short deadlines leave
/// time for work.
const MARGIN_PART: u32 = 2;
/// A request still without an answer at this part of the margin, as a divisor, is failed whatever
/// the module says.
const BACKSTOP_PART: u32 = 2;

/// Attempts that most requests need at the most.
const USUAL_ATTEMPTS: usize = 2;

/// Who is refused for want of room is told to stay away so long, where that is told.
const AWAY: f64 = 500.0;

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

impl Answer {
    fn kind(&self) -> Final {
        match self {
            Answer::Served(_) => Final::Served,
            Answer::Refused { .. } => Final::Refused,
            Answer::Failed => Final::Failed,
            Answer::TimedOut => Final::TimedOut,
        }
    }
}

/// A request as it came in, its names resolved.
pub struct Incoming {
    /// What is sent to backends.
    pub call: Call,
    /// Place of its class in the settings.
    pub class: u16,
    /// Place of its tenant.
    pub tenant: u16,
    /// What it is about, by [`key`]; 0 is nothing.
    pub key: u64,
    /// When its head had come, at the earliest.
    pub received: Instant,
    /// How long its caller waits.
    pub patience: Duration,
    /// What it may spend, where budgets are kept.
    pub budget: Option<OnBooks>,
    /// The page of the record that it was bound under, where one is kept.
    pub acts: Option<activity_log::RequestActivity>,
}

impl Incoming {
    fn act(&self, act: Activity) {
        if let Some(acts) = &self.acts {
            acts.record(act);
        }
    }
}

/// What an end is on the record.
fn act(end: Final) -> Activity {
    match end {
        Final::Served => Activity::RequestServed,
        Final::Refused => Activity::RequestRejected,
        Final::Failed | Final::TimedOut | Final::Left => Activity::RequestFailed,
    }
}

/// How long before a client's deadline the module's lies, for a client that waits so long.
fn margin(patience: Duration) -> Duration {
    MARGIN.min(patience / MARGIN_PART).max(TRAVEL)
}

/// A final answer, and what was spent on it where the caller is to know.
pub type Told = (Answer, Option<Spent>);

/// Milliseconds for the module on a monotonic clock. It starts at the Unix time of the process's
/// start, so that the starts of backends, which are told in Unix time, lie on it as they are.
struct Clock {
    start: Instant,
    base: f64,
}

impl Clock {
    fn new() -> Self {
        let unix = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Clock {
            start: Instant::now(),
            base: unix.as_secs_f64() * 1000.0,
        }
    }
    fn at(&self, t: Instant) -> f64 {
        self.base + t.saturating_duration_since(self.start).as_secs_f64() * 1000.0
    }
    fn instant(&self, ms: f64) -> Instant {
        self.start + millis(ms - self.base)
    }
}

/// How long who is refused for want of room, or by a fenced proxy, should stay away, where that is
/// told.
pub fn away(facts: &InstanceSettings) -> Option<Duration> {
    let caps = &facts.balancer.limits;
    caps.retry_after
        .then(|| millis(AWAY.min(caps.max_retry_after)))
}

/// What a request is owed. The way to who waits is spent by its one answer.
enum Life {
    Owed(Rc<Wait<Told>>),
    Over,
}

struct Out {
    line: Rc<Line>,
    /// What it was lent, and the purse that it went with.
    lent: Option<(Loan, Rc<Purse>)>,
}

/// An attempt of a request.
struct Tried {
    backend: BackendId,
    /// What may be done after it follows from this.
    attempted: Attempted,
    /// What it is while it is out.
    out: Option<Out>,
}

struct Open {
    call: Rc<Call>,
    class: u16,
    life: Life,
    /// Until when its client waits, less the way there: what backends are told.
    expires: Instant,
    client: Option<Waiting>,
    /// Attempts by number.
    attempts: Vec<Tried>,
    /// How the attempt that ended last did.
    last: Option<Outcome>,
    /// What it may spend, until its last attempt has ended.
    budget: Option<OnBooks>,
    /// The page that its attempts are written on.
    acts: Option<activity_log::RequestActivity>,
}

impl Open {
    /// Gives the answer if one is still owed.
    fn answer(&mut self, answer: Answer) {
        if let Some(wait) = self.end() {
            // What was tried here and did not help is of no use to try again from above.
            let failed = !matches!(answer, Answer::Served(_)) && !self.attempts.is_empty();
            let spent = self.budget.as_ref().and_then(|b| b.spent(failed));
            wait.tell((answer, spent));
        }
    }
    /// Nothing is owed any more, and nothing is sent for it that is not sent yet, whatever the
    /// settings say of calling attempts off; the one who waits, if somebody did.
    fn end(&mut self) -> Option<Rc<Wait<Told>>> {
        let Life::Owed(wait) = std::mem::replace(&mut self.life, Life::Over) else {
            return None;
        };
        self.attempts
            .iter()
            .filter_map(|a| a.out.as_ref())
            .for_each(|out| out.line.forsake());
        Some(wait)
    }
    fn done(&self) -> bool {
        matches!(self.life, Life::Over) && self.attempts.iter().all(|a| a.out.is_none())
    }
    /// What its attempts allow after them.
    fn attempted(&self) -> impl Iterator<Item = &Attempted> + Clone {
        self.attempts.iter().map(|a| &a.attempted)
    }
}

/// A backend that the list names, or that an open request was sent to.
struct Known {
    name: String,
    /// Whether the list names it.
    listed: bool,
    /// Its process, once it was ready.
    target: Option<Rc<Target>>,
    /// Where it stands, by the last list.
    place: Place,
}

impl Known {
    /// Nothing new goes to a backend from now on.
    fn withdraw(&self, pool: &Pool, counts: &Counts, notice: Notice) {
        if let Some(target) = self.target.as_ref().filter(|t| t.drained.get().is_none()) {
            tracing::debug!(backend = self.name, address = %target.dial, reason = ?notice, "backend withdrawn");
            // The notice may have lain unread while the process was held up.
            target
                .drained
                .set(Some(stall_detector::arrival(Instant::now())));
            pool.close(target);
            counts.drained(notice);
        }
    }
}

struct State {
    balancer: Balancer,
    ids: HashMap<String, BackendId>,
    backends: FxHashMap<BackendId, Known>,
    requests: FxHashMap<RequestId, Open>,
    next: RequestId,
    events: VecDeque<Event>,
    actions: Vec<Action>,
}

/// The proxy's middle. Everything runs on one thread, so that events have one order.
pub struct Engine {
    state: RefCell<State>,
    pool: Rc<Pool>,
    clock: Clock,
    facts: InstanceSettings,
    counts: Counts,
    /// What this proxy acts on, where a record is kept.
    acts: Option<Rc<ActivityLog>>,
    watching: watch::Sender<bool>,
    /// From when on nothing is awaited any more; set by a planned stop.
    last: Cell<Option<Instant>>,
    /// No request will come any more: its pool has gone from the configuration.
    closed: Cell<bool>,
    /// Requests refused while this proxy was fenced.
    shut_out: Cell<u64>,
}

impl Engine {
    /// Starts the module. What it asks of discovery comes through `watching`.
    pub fn new(
        mut facts: InstanceSettings,
        seed: u64,
        pool: Rc<Pool>,
        counts: Counts,
        acts: Option<Rc<ActivityLog>>,
        watching: watch::Sender<bool>,
    ) -> Result<Rc<Self>, SettingsError> {
        facts.balancer.limits.late_completions = true;
        // What the module decides by a window's end is written a moment later.
        let mut decides = facts.balancer.clone();
        decides.classes.iter_mut().for_each(|class| {
            if let Idempotency::Deduplicated { window, .. } = &mut class.idempotency {
                *window = as_millis(safety::repeats_known_for(*window));
            }
        });
        let state = State {
            balancer: Balancer::new(decides, seed)?,
            ids: HashMap::new(),
            backends: FxHashMap::default(),
            requests: FxHashMap::default(),
            next: 1,
            events: VecDeque::new(),
            actions: Vec::new(),
        };
        let (state, clock, last) = (RefCell::new(state), Clock::new(), Cell::new(None));
        let closed = Cell::new(false);
        Ok(Rc::new(Engine {
            state,
            pool,
            clock,
            facts,
            counts,
            acts,
            watching,
            last,
            closed,
            shut_out: Cell::new(0),
        }))
    }

    /// Whether requests can be decided: some backend takes work.
    pub fn ready(&self) -> bool {
        let takes = |k: &Known| k.target.as_ref().is_some_and(|t| t.drained.get().is_none());
        self.state.borrow().backends.values().any(takes)
    }

    /// How many requests are owed an answer.
    pub fn owed(&self) -> usize {
        self.state
            .borrow()
            .requests
            .values()
            .filter(|r| matches!(r.life, Life::Owed(_)))
            .count()
    }

    /// Takes a request of a client, where that can be seen to leave, and waits for its one answer.
    /// Dropped before that, the client has hung up.
    pub async fn decide(self: &Rc<Self>, incoming: Incoming, client: Option<Waiting>) -> Told {
        if self.fenced() {
            incoming.act(Activity::RequestFenced);
            self.shut_out.set(self.shut_out.get() + 1);
            self.counts
                .answered(incoming.class, incoming.tenant, Final::Refused);
            return (
                Answer::Refused {
                    retry_after: away(&self.facts),
                },
                None,
            );
        }
        incoming.act(Activity::RequestBound);
        let budget = &incoming.budget;
        let patience = budget
            .as_ref()
            .map_or(incoming.patience, |b| incoming.patience.min(b.time()));
        let (spare, worth) = budget
            .as_ref()
            .map_or((None, 1.0), |b| (Some(b.left()), b.worth()));
        let limit = self.last.get().map_or(patience, |last| {
            patience.min(last.saturating_duration_since(incoming.received))
        });
        let end = incoming.received + limit;
        let last = incoming.received + limit.saturating_sub(margin(limit));
        let deadline = self.clock.at(last);
        // Its time went by while it waited for its turn on its connection: no backend works for
        // nobody.
        tracing::debug!(
            id = %incoming.call.label(), class = incoming.class, patience_ms = as_millis(patience),
            waited_ms = as_millis(incoming.received.elapsed()), "request received"
        );
        if Instant::now() >= last {
            tracing::debug!(id = %incoming.call.label(), reason = "deadline passed before it was decided", "request timed out");
            self.counts
                .answered(incoming.class, incoming.tenant, Final::TimedOut);
            incoming.act(Activity::RequestFailed);
            return (Answer::TimedOut, None);
        }
        let wait = Rc::<Wait<Told>>::default();
        let acts = incoming.acts.clone();
        let request = {
            let s = &mut *self.state.borrow_mut();
            if s.requests.len() >= self.facts.site.max_open_requests {
                tracing::debug!(id = %incoming.call.label(), reason = "open requests at their limit", "request refused");
                self.counts
                    .answered(incoming.class, incoming.tenant, Final::Refused);
                incoming.act(Activity::RequestRejected);
                return (Answer::Refused { retry_after: None }, None);
            }
            let id = s.next;
            s.next += 1;
            tracing::debug!(request = id, id = %incoming.call.label(), "request open");
            let call = Rc::new(incoming.call);
            let open = Open {
                call,
                class: incoming.class,
                life: Life::Owed(wait.clone()),
                expires: incoming.received + limit.saturating_sub(TRAVEL),
                client,
                attempts: Vec::with_capacity(USUAL_ATTEMPTS),
                last: None,
                budget: incoming.budget,
                acts: incoming.acts,
            };
            s.requests.insert(id, open);
            id
        };
        let (class, tenant, received) = (incoming.class, incoming.tenant, incoming.received);
        let mut here = Here {
            engine: self.clone(),
            request,
            class,
            tenant,
            acts,
            answer: Final::Left,
        };
        self.tell(Event::RequestArrived(RequestArrival {
            request,
            key: incoming.key,
            class,
            tenant,
            deadline,
            retries_left: spare,
            priority_share: worth,
        }));
        // The module answers in time; the end guards against a late loop and against its silence.
        let answer = wait
            .answer(end - (margin(limit) / BACKSTOP_PART).min(limit))
            .await
            .unwrap_or_else(|| {
                tracing::debug!(request, reason = "backstop", "request timed out");
                (Answer::TimedOut, None)
            });
        here.answer = answer.0.kind();
        if Instant::now() > received + patience + GRACE {
            violations::violated(Violation::LateAnswer, &here.label());
        }
        let aim = millis(
            self.facts
                .balancer
                .classes
                .get(usize::from(class))
                .map_or(0.0, |c| c.latency_objective),
        );
        if here.answer == Final::Served && received.elapsed() > aim {
            self.counts.after_aim();
        }
        answer
    }

    /// Counts a request that ends before it is decided: refused for want of room, or left by its
    /// caller.
    pub fn undecided(&self, incoming: &Incoming, end: Final) {
        self.counts.answered(incoming.class, incoming.tenant, end);
        incoming.act(Activity::RequestBound);
        incoming.act(act(end));
    }

    /// Requests refused while this proxy was fenced: the pool has no part in these.
    pub fn shut_out(&self) -> u64 {
        self.shut_out.get()
    }

    /// Whether this proxy binds no request, since others are required than it acts on, or it can't
    /// know.
    pub fn fenced(&self) -> bool {
        self.acts.as_ref().is_some_and(|a| a.is_fenced())
    }

    /// What is in force now, to bind a request to, where a record is kept.
    pub fn acts(&self) -> Option<activity_log::RequestActivity> {
        self.acts.as_ref().map(ActivityLog::begin_request)
    }

    /// What is counted beside the requests that are decided here.
    pub fn counts(&self) -> &Counts {
        &self.counts
    }

    /// Its settings.
    pub fn facts(&self) -> &InstanceSettings {
        &self.facts
    }

    /// What its limit stands at.
    pub fn moment(&self) -> Moment<'_> {
        Moment {
            counts: &self.counts,
            load: self.state.borrow().balancer.load(),
            open: self.owed(),
        }
    }

    /// The processes that take work.
    pub fn targets(&self) -> Vec<Rc<Target>> {
        let s = self.state.borrow();
        let targets = s.backends.values().filter_map(|k| k.target.as_ref());
        targets
            .filter(|t| t.drained.get().is_none())
            .cloned()
            .collect()
    }

    /// So many engines send to some backend of this one's.
    pub fn share_cold(&self, sharers: usize) {
        self.state
            .borrow_mut()
            .balancer
            .share_slow_start_budget(sharers);
    }

    /// The limit begins at so much at the least: what is known of the backends from before. Told
    /// before any list.
    pub fn begin_at(&self, limit: f64) {
        self.state.borrow_mut().balancer.raise_limit_to(limit);
    }

    /// No request will come any more. What is still out ends by itself.
    pub fn close(&self) {
        self.closed.set(true);
    }

    /// A list of backends, or changes to it.
    pub fn list(self: &Rc<Self>, kind: UpdateKind, list: Vec<Instance>) {
        let entries = {
            let s = &mut *self.state.borrow_mut();
            if kind != UpdateKind::Delta {
                s.backends.values_mut().for_each(|k| k.listed = false);
            }
            let entries = list.into_iter().filter_map(|i| self.entry(s, i)).collect();
            let gone = s.backends.values().filter(|k| !k.listed);
            gone.for_each(|k| k.withdraw(&self.pool, &self.counts, Notice::Gone));
            entries
        };
        self.tell(Event::EndpointUpdate {
            kind,
            endpoints: entries,
        });
        self.forget_gone();
    }

    /// Forgets the backends that no list names, once no open request was sent to them: the module
    /// has let go of such a backend too. Where backends are replaced by new ones all day, nothing
    /// may grow with their number.
    pub fn forget_gone(&self) {
        let s = &mut *self.state.borrow_mut();
        if s.backends.values().all(|k| k.listed) {
            return;
        }
        let attempts = s.requests.values().flat_map(|r| &r.attempts);
        let named: HashSet<BackendId> = attempts.map(|a| a.backend).collect();
        let ids = &mut s.ids;
        s.backends.retain(|id, k| {
            let stays = k.listed || named.contains(id);
            if !stays {
                ids.remove(&k.name);
            }
            stays
        });
    }

    /// A call to discovery failed.
    pub fn list_failed(self: &Rc<Self>) {
        self.watching.send_replace(false);
        self.tell(Event::EndpointUpdate {
            kind: UpdateKind::Failed,
            endpoints: Vec::new(),
        });
    }

    /// Answers what is still open by then, and takes nothing that would last longer.
    pub fn end_by(self: &Rc<Self>, last: Instant) {
        self.last.set(Some(last));
        let engine = self.clone();
        spawn_local(async move {
            sleep_until(last).await;
            let open: Vec<RequestId> = {
                let s = &mut *engine.state.borrow_mut();
                tracing::debug!(open = s.requests.len(), reason = "stop", "requests ended");
                s.requests
                    .values_mut()
                    .for_each(|r| r.answer(Answer::TimedOut));
                s.requests.keys().copied().collect()
            };
            open.into_iter()
                .for_each(|request| engine.tell(Event::ClientLeft { request }));
        });
    }

    fn entry(&self, s: &mut State, found: Instance) -> Option<Endpoint> {
        let (backend, known) = s.known(&found.name);
        known.listed = found.health != InstanceHealth::Deleted;
        let Some(zone) = self.facts.site.zones.iter().position(|z| *z == found.site) else {
            // A copy can't send there, so that it takes nothing new from here, wherever it was
            // before.
            known.listed = false;
            known.withdraw(&self.pool, &self.counts, Notice::Gone);
            if found.health == InstanceHealth::Serving {
                tracing::warn!(
                    "discovery: {}: zone {:?} is unknown, passed over",
                    found.name,
                    found.site
                );
            }
            return Some(Endpoint {
                backend,
                state: EndpointState::Removed,
                ..Endpoint::default()
            });
        };
        let phase = match found.health {
            InstanceHealth::Serving => EndpointState::Ready,
            InstanceHealth::Draining => EndpointState::Draining,
            InstanceHealth::Deleted => EndpointState::Removed,
        };
        match (phase, found.address) {
            (EndpointState::Ready, Some(dial)) => {
                // A new process knows nothing of the old one's connections. Where its machine fell
                // silent they look open still, and a request on one would end as a reset, which may
                // have run.
                let born_ms = found.started_ms;
                let same = |t: &Rc<Target>| {
                    t.dial == dial && t.born_ms == born_ms && t.drained.get().is_none()
                };
                if !known.target.as_ref().is_some_and(same) {
                    known.withdraw(&self.pool, &self.counts, Notice::Replaced);
                    tracing::debug!(backend = found.name, address = %dial, born_ms, "backend ready");
                    known.target = Some(self.pool.target(&found.name, dial, born_ms));
                }
            }
            (EndpointState::Removed, _) => known.withdraw(&self.pool, &self.counts, Notice::Gone),
            _ => known.withdraw(&self.pool, &self.counts, Notice::Draining),
        }
        let (zone, cell) = (zone as u16, found.block);
        let (started_at, weight) = (found.started_ms.max(0.0), found.weight.max(0.0));
        known.place = Place { zone, cell };
        Some(Endpoint {
            backend,
            state: phase,
            zone,
            started_at,
            weight,
            cell,
        })
    }

    /// Tells the module of an event and carries out what it decides, and so on until all is quiet.
    fn tell(self: &Rc<Self>, event: Event) {
        let s = &mut *self.state.borrow_mut();
        s.events.push_back(event);
        while let Some(event) = s.events.pop_front() {
            let mut actions = std::mem::take(&mut s.actions);
            s.balancer
                .handle_event(self.clock.at(Instant::now()), event, &mut actions);
            for action in actions.drain(..) {
                self.act(s, action);
            }
            s.actions = actions;
        }
    }

    fn act(self: &Rc<Self>, s: &mut State, action: Action) {
        match action {
            Action::Send {
                request,
                backend,
                deadline: not_past,
            } => self.send(s, request, backend, not_past),
            Action::Reject {
                request,
                retry_after,
            } => {
                tracing::debug!(request, reason = "decided", "request refused");
                let retry_after = Some(millis(retry_after)).filter(|d| !d.is_zero());
                let answer = self.refusal(s, request, retry_after);
                s.answer(request, answer);
            }
            Action::Fail { request } => {
                tracing::debug!(request, reason = "decided", "request failed");
                s.answer(request, Answer::Failed);
            }
            Action::Cancel { request, attempt } => {
                tracing::debug!(request, attempt, reason = "decided", "attempt cancelled");
                let open = s.requests.get_mut(&request);
                let out = open.and_then(|r| r.attempts.get(usize::from(attempt))?.out.as_ref());
                if let Some(out) = out {
                    out.line.withdraw();
                }
            }
            // Timers are what keeps an engine: with nothing left to do they end, and it with them.
            Action::SetTimer { .. } if self.closed.get() && s.requests.is_empty() => {}
            Action::SetTimer { delay, token } => {
                let engine = self.clone();
                spawn_local(async move {
                    sleep(millis(delay)).await;
                    engine.tell(Event::TimerFired { token });
                });
            }
            Action::CloseIdle { backend } => {
                if let Some(target) = s.backends.get(&backend).and_then(|k| k.target.as_ref()) {
                    self.pool.close(target);
                }
            }
            Action::WatchEndpoints { on } => {
                self.watching.send_replace(on);
            }
        }
    }

    /// A refusal, where the request may be refused; else it has failed, and the module was wrong.
    fn refusal(&self, s: &State, request: RequestId, retry_after: Option<Duration>) -> Answer {
        let Some(open) = s.requests.get(&request) else {
            return Answer::Refused { retry_after };
        };
        if safety::refusal(self.effect(open.class), open.attempted()) {
            return Answer::Refused { retry_after };
        }
        violations::violated(Violation::Refusal, &open.call.label());
        Answer::Failed
    }

    /// What a class says of its requests' effect; none is taken for the strictest.
    fn effect(&self, class: u16) -> Idempotency {
        self.facts
            .balancer
            .classes
            .get(usize::from(class))
            .map_or(Idempotency::NonIdempotent, |c| c.idempotency)
    }

    /// Whether one more attempt of a request may be begun at a backend now, and until when it may
    /// be written.
    fn may_send(
        &self,
        open: &Open,
        to: Option<&Known>,
        now: Instant,
    ) -> Result<(Rc<Target>, Place, WriteBy), Denied> {
        let number = open.attempts.len();
        if matches!(open.life, Life::Over) {
            return Err(Denied::RequestOver);
        }
        if open.client.as_ref().is_some_and(Waiting::left) {
            return Err(Denied::ClientLeft);
        }
        if number >= self.facts.balancer.limits.max_attempts as usize {
            return Err(Denied::AttemptLimit);
        }
        let (known, target) = to
            .and_then(|k| Some((k, k.target.clone()?)))
            .ok_or(Denied::BackendWithdrawn)?;
        let duplicate = self.facts.site.hedging_allowed;
        let write_by = safety::repeat(
            self.effect(open.class),
            open.attempted(),
            known.place,
            duplicate,
            now,
        )?;
        let granted = open
            .acts
            .as_ref()
            .is_none_or(activity_log::RequestActivity::permits_attempt)
            && (number == 0 || open.budget.as_ref().is_none_or(OnBooks::again));
        if granted {
            Ok((target, known.place, write_by))
        } else {
            Err(Denied::NotGranted)
        }
    }

    /// An attempt that the module asked for is not begun. A client that has left is told to the
    /// module at once.
    fn deny(&self, s: &mut State, request: RequestId, backend: BackendId, denied: Denied) {
        let Some(open) = s.requests.get_mut(&request) else {
            return;
        };
        let label = open.call.label().into_owned();
        violations::denied(denied, &label);
        if matches!(denied, Denied::NotRepeatable | Denied::OutsideGroup) {
            violations::violated(Violation::Repeat, &label);
        }
        if denied == Denied::ClientLeft && open.end().is_some() {
            s.events.push_back(Event::ClientLeft { request });
        }
        let number = open.attempts.len();
        let (begun, ended) = (Instant::now(), Some(Outcome::NotSent));
        let attempted = Attempted {
            place: Place::default(),
            begun,
            ended,
        };
        open.attempts.push(Tried {
            backend,
            attempted,
            out: None,
        });
        self.counts.ended(Outcome::NotSent, None);
        s.events.push_back(resolved(
            request,
            number,
            backend,
            Outcome::NotSent,
            0.0,
            open,
        ));
    }

    fn send(self: &Rc<Self>, s: &mut State, request: RequestId, backend: BackendId, not_past: f64) {
        let Some(open) = s.requests.get(&request) else {
            return;
        };
        let sent = Instant::now();
        let (target, place, write_by) = match self.may_send(open, s.backends.get(&backend), sent) {
            Ok(granted) => granted,
            Err(denied) => return self.deny(s, request, backend, denied),
        };
        let worth = s.balancer.priority_share(request);
        let Some(open) = s.requests.get_mut(&request) else {
            return;
        };
        let Life::Owed(wait) = &open.life else { return };
        let (wait, number) = (wait.clone(), open.attempts.len());
        if number > 0 {
            self.counts.resent(open.last);
        }
        let age = self.clock.at(sent) - target.born_ms;
        if target.born_ms > 0.0 && age < self.facts.balancer.guarantees.slow_start_duration {
            self.counts.sent_cold();
        }
        if let Some(acts) = &open.acts {
            acts.record(Activity::AttemptSent);
        }
        let line = Rc::new(Line::new(open.client.clone(), write_by));
        let lent = open
            .budget
            .as_ref()
            .filter(|_| open.call.carries())
            .and_then(|b| b.lend(worth));
        let purse = lent.as_ref().map(|(_, purse)| purse.clone());
        let attempted = Attempted {
            place,
            begun: sent,
            ended: None,
        };
        let out = Some(Out {
            line: line.clone(),
            lent,
        });
        open.attempts.push(Tried {
            backend,
            attempted,
            out,
        });
        let (call, not_past, expires) = (
            open.call.clone(),
            self.clock.instant(not_past),
            open.expires,
        );
        tracing::debug!(
            request, id = %call.label(), attempt = number, address = %target.dial, after = ?open.last,
            timeout_ms = as_millis(not_past.saturating_duration_since(sent)), "attempt begun"
        );
        let attempt = Attempt {
            call,
            target,
            not_past,
            expires,
            line: line.clone(),
            purse,
        };
        let (engine, pool) = (self.clone(), self.pool.clone());
        let later = self.clone();
        let late = move |end: End| {
            // Whether it is still kept here or not, the request is over.
            let wait = as_millis(sent.elapsed());
            let (attempt, outcome) = (number as u8, end.outcome());
            later.counts.ended_late(outcome);
            later.tell(Event::LateCompletion(AttemptResult {
                request,
                attempt,
                backend,
                outcome,
                elapsed: wait,
                request_closed: true,
                retries_left: None,
            }));
        };
        let run = Box::pin(attempt.run(pool, move |end| engine.ended(request, number, end), late));
        wait.carry(Running {
            run,
            not_past,
            line,
        });
    }

    /// An attempt ended. The first served answer goes to the caller by itself.
    fn ended(self: &Rc<Self>, request: RequestId, number: usize, end: End) {
        let event = {
            let s = &mut *self.state.borrow_mut();
            let Some(open) = s.requests.get_mut(&request) else {
                return;
            };
            let Some(tried) = open.attempts.get_mut(number) else {
                return;
            };
            let (backend, Some(out)) = (tried.backend, tried.out.take()) else {
                return;
            };
            let (outcome, sent) = (end.outcome(), tried.attempted.begun);
            tried.attempted.ended = Some(outcome);
            tracing::debug!(
                request,
                attempt = number,
                ?outcome,
                elapsed_ms = as_millis(sent.elapsed()),
                "attempt ended"
            );
            open.last = Some(outcome);
            if let (Some(budget), Some((loan, purse))) = (&open.budget, out.lent) {
                budget.settle(loan, &purse, outcome.never_executed());
            }
            let special = match end {
                End::Rejected => Some(Special::Rejected),
                End::Sent => Some(Special::Sent),
                _ => None,
            };
            self.counts.ended(outcome, special);
            match end {
                End::Served(body) | End::Ill(body) => open.answer(Answer::Served(body)),
                End::Sent => open.answer(Answer::Served(Bytes::new())),
                End::Rejected => open.answer(Answer::Failed),
                End::Unserved(_) => {}
            }
            let wait = as_millis(sent.elapsed());
            let event = resolved(request, number, backend, outcome, wait, open);
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
    open: &Open,
) -> Event {
    let (attempt, closed) = (number as u8, matches!(open.life, Life::Over));
    let spare = open.budget.as_ref().map(OnBooks::left);
    Event::AttemptEnded(AttemptResult {
        request,
        attempt,
        backend,
        outcome,
        elapsed: wait,
        request_closed: closed,
        retries_left: spare,
    })
}

/// The number that the module knows a text by that requests are about; never 0.
pub fn key(text: &str) -> u64 {
    hash(text).max(1)
}

fn hash(text: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    text.hash(&mut hasher);
    hasher.finish()
}

impl State {
    /// A backend by its name, with the module's number for it. That is made from the name, since
    /// every copy orders the backends by it: the copies' subsets are to overlap evenly.
    fn known(&mut self, host: &str) -> (BackendId, &mut Known) {
        let id = self.ids.get(host).copied().unwrap_or_else(|| {
            let mut id = hash(host) as BackendId;
            while self.backends.contains_key(&id) {
                id = id.wrapping_add(1);
            }
            self.ids.insert(host.to_string(), id);
            id
        });
        let new = || Known {
            name: host.to_string(),
            listed: false,
            target: None,
            place: Place::default(),
        };
        (id, self.backends.entry(id).or_insert_with(new))
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
    class: u16,
    tenant: u16,
    acts: Option<activity_log::RequestActivity>,
    /// What it was given; that it left, until then.
    answer: Final,
}

impl Here {
    /// By what log lines name the request: its own id is given away by then.
    fn label(&self) -> String {
        format!("number {}", self.request)
    }
}

impl Drop for Here {
    fn drop(&mut self) {
        tracing::debug!(request = self.request, answer = ?self.answer, "request ended");
        self.engine
            .counts
            .answered(self.class, self.tenant, self.answer);
        if let Some(acts) = &self.acts {
            acts.record(act(self.answer));
        }
        let left = {
            let s = &mut *self.engine.state.borrow_mut();
            let open = s.requests.get_mut(&self.request);
            let left = open.and_then(Open::end).is_some();
            s.forget(self.request);
            left
        };
        if left {
            self.engine.tell(Event::ClientLeft {
                request: self.request,
            });
        }
    }
}

#[cfg(test)]
#[path = "../../tests/unit/engine.rs"]
pub mod tests;
