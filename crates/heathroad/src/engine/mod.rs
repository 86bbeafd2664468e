//! The engine of one pool: the only owner of its decision module. It turns what happens on the
//! sockets into the decision module's events, in one order, and carries out the module's actions.
//!
//! - `request` is the way of a request, from its arrival to its one response.
//! - `attempt` sends attempts and records their results.
//! - `endpoints` applies updates of the list of backends.
//! - `response`, `pending_response`, `timers` and `clock` serve these.

mod attempt;
mod clock;
mod endpoints;
mod pending_response;
mod request;
mod response;
mod timers;

pub use request::IncomingRequest;
pub use response::{FinalResponse, Response, retry_after};

use crate::backend::{Pool, Target};
use crate::membership::activity_log::{self, ActivityLog};
use crate::metrics::{PoolMetrics, PoolSnapshot};
use crate::safety;
use crate::time::{as_millis, millis};
use clock::Clock;
use endpoints::Endpoints;
use heathroad_balancer::Balancer;
use heathroad_balancer::api::{Action, Event, Idempotency, RequestId, Settings, SettingsError};
use heathroad_balancer::settings::InstanceSettings;
use request::OpenRequest;
use rustc_hash::FxHashMap;
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::rc::Rc;
use tokio::sync::watch;
use tokio::time::Instant;

struct State {
    balancer: Balancer,
    endpoints: Endpoints,
    requests: FxHashMap<RequestId, OpenRequest>,
    next_request_id: RequestId,
    /// Events that the decision module has yet to handle.
    events: VecDeque<Event>,
    /// An empty buffer for the module's actions.
    actions: Vec<Action>,
}

/// Decides the requests of one pool. Everything runs on one thread, so that events have one order.
pub struct Engine {
    state: RefCell<State>,
    pool: Rc<Pool>,
    clock: Clock,
    settings: InstanceSettings,
    metrics: PoolMetrics,
    /// What this proxy acts on, where a record is kept.
    activity_log: Option<Rc<ActivityLog>>,
    /// Whether the decision module wants the list of backends to be watched.
    watch_requested: watch::Sender<bool>,
    /// All requests end by then; set by a planned stop.
    stop_at: Cell<Option<Instant>>,
    /// No request will come any more, since the pool has left the configuration.
    is_closed: Cell<bool>,
    /// Requests rejected while this proxy was fenced.
    fenced_rejections: Cell<u64>,
}

impl Engine {
    /// Starts the decision module, which asks for the list of backends through `watch_requested`.
    pub fn new(
        mut settings: InstanceSettings,
        seed: u64,
        pool: Rc<Pool>,
        metrics: PoolMetrics,
        activity_log: Option<Rc<ActivityLog>>,
        watch_requested: watch::Sender<bool>,
    ) -> Result<Rc<Self>, SettingsError> {
        settings.balancer.limits.late_completions = true;
        let state = State {
            balancer: Balancer::new(balancer_settings(&settings), seed)?,
            endpoints: Endpoints::default(),
            requests: FxHashMap::default(),
            next_request_id: 1,
            events: VecDeque::new(),
            actions: Vec::new(),
        };
        Ok(Rc::new(Engine {
            state: RefCell::new(state),
            pool,
            clock: Clock::new(),
            settings,
            metrics,
            activity_log,
            watch_requested,
            stop_at: Cell::new(None),
            is_closed: Cell::new(false),
            fenced_rejections: Cell::new(0),
        }))
    }

    /// Returns whether some backend takes new requests.
    pub fn is_ready(&self) -> bool {
        self.state
            .borrow()
            .endpoints
            .available_targets()
            .next()
            .is_some()
    }

    /// Returns the number of requests that wait for their response.
    pub fn pending_requests(&self) -> usize {
        let state = self.state.borrow();
        state
            .requests
            .values()
            .filter(|request| !request.is_answered())
            .count()
    }

    /// Returns the number of requests rejected while this proxy was fenced. The pool has no part in
    /// these.
    pub fn fenced_rejections(&self) -> u64 {
        self.fenced_rejections.get()
    }

    /// Returns whether this proxy is fenced: it admits no request, since another configuration is
    /// required than it acts on, or it cannot know.
    pub fn is_fenced(&self) -> bool {
        self.activity_log
            .as_ref()
            .is_some_and(|log| log.is_fenced())
    }

    /// Binds a request to the configuration in force, where a record is kept.
    pub fn bind_activity(&self) -> Option<activity_log::RequestActivity> {
        self.activity_log.as_ref().map(ActivityLog::begin_request)
    }

    /// Returns the pool's counters.
    pub fn metrics(&self) -> &PoolMetrics {
        &self.metrics
    }

    /// Returns the pool's settings.
    pub fn settings(&self) -> &InstanceSettings {
        &self.settings
    }

    /// Returns the pool's present load.
    pub fn snapshot(&self) -> PoolSnapshot<'_> {
        PoolSnapshot {
            metrics: &self.metrics,
            load: self.state.borrow().balancer.load(),
            open_requests: self.pending_requests(),
        }
    }

    /// Returns the backends' processes that take new requests.
    pub fn available_targets(&self) -> Vec<Rc<Target>> {
        self.state
            .borrow()
            .endpoints
            .available_targets()
            .cloned()
            .collect()
    }

    /// Tells the decision module how many engines send to some backend of this one's, and so share
    /// the requests that it may take while it warms up.
    pub fn share_slow_start_budget(&self, engines: usize) {
        self.state
            .borrow_mut()
            .balancer
            .share_slow_start_budget(engines);
    }

    /// Sets the least initial concurrency limit, by what is known of the backends. It is told
    /// before the first list.
    pub fn set_initial_limit(&self, limit: f64) {
        self.state.borrow_mut().balancer.raise_limit_to(limit);
    }

    /// Declares that no request will come any more. Attempts in flight end by themselves.
    pub fn close(&self) {
        self.is_closed.set(true);
    }

    /// Notifies the decision module of an event and carries out its actions, until no event is
    /// left.
    fn notify(self: &Rc<Self>, event: Event) {
        let state = &mut *self.state.borrow_mut();
        state.events.push_back(event);
        while let Some(event) = state.events.pop_front() {
            let mut actions = std::mem::take(&mut state.actions);
            let now_ms = self.clock.to_ms(Instant::now());
            state.balancer.handle_event(now_ms, event, &mut actions);
            for action in actions.drain(..) {
                self.carry_out(state, action);
            }
            state.actions = actions;
        }
    }

    fn carry_out(self: &Rc<Self>, state: &mut State, action: Action) {
        match action {
            Action::Send {
                request,
                backend,
                deadline,
            } => {
                self.send_attempt(state, request, backend, deadline);
            }
            Action::Reject {
                request,
                retry_after,
            } => {
                self.reject(state, request, millis(retry_after));
            }
            Action::Fail { request } => {
                tracing::debug!(request, reason = "decided", "request failed");
                state.respond(request, Response::Failed);
            }
            Action::Cancel { request, attempt } => state.cancel_attempt(request, attempt),
            // Timers keep an engine alive: with nothing left to do they end, and the engine with
            // them.
            Action::SetTimer { .. } if self.is_closed.get() && state.requests.is_empty() => {}
            Action::SetTimer { delay, token } => self.schedule_wakeup(millis(delay), token),
            Action::CloseIdle { backend } => {
                let endpoint = state.endpoints.get(backend);
                if let Some(target) = endpoint.and_then(|endpoint| endpoint.target.as_ref()) {
                    self.pool.close_idle_connections(target);
                }
            }
            Action::WatchEndpoints { on } => {
                self.watch_requested.send_replace(on);
            }
        }
    }
}

impl State {
    fn cancel_attempt(&mut self, request: RequestId, attempt: u8) {
        tracing::debug!(request, attempt, reason = "decided", "attempt cancelled");
        let open = self.requests.get(&request);
        let attempt = open.and_then(|open| open.attempts.get(usize::from(attempt)));
        if let Some(in_flight) = attempt.and_then(|attempt| attempt.in_flight.as_ref()) {
            in_flight.control.cancel();
        }
    }
}

/// Returns the settings by which the module decides. Its deduplication windows end earlier than the
/// configured ones, since an attempt is written a moment after the decision.
fn balancer_settings(settings: &InstanceSettings) -> Settings {
    let mut settings = settings.balancer.clone();
    for class in &mut settings.classes {
        if let Idempotency::Deduplicated { window, .. } = &mut class.idempotency {
            *window = as_millis(safety::retry_window(*window));
        }
    }
    settings
}

/// Returns the number by which the decision module knows the text of a request's key; never 0.
pub fn hash_key(text: &str) -> u64 {
    hash_text(text).max(1)
}

fn hash_text(text: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    text.hash(&mut hasher);
    hasher.finish()
}

#[cfg(test)]
#[path = "../../tests/unit/engine.rs"]
pub mod tests;
