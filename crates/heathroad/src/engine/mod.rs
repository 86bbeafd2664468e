//! The engine of one pool, which owns the pool's decision module. It translates network and timer
//! events into the decision module's events and executes the module's actions.
//!
//! - `incoming_request` is a request as the frontends pass it on.
//! - `request` handles a request from its arrival to its final response.
//! - `attempt` sends attempts and records their results.
//! - `endpoints` applies updates of the endpoint list.
//! - `response` and `pending_response` define the final response and the wait for it.
//! - `timers` computes deadlines and starts timers; `clock` converts times.

mod attempt;
mod clock;
mod endpoints;
mod incoming_request;
mod pending_response;
mod request;
mod response;
mod timers;

pub use incoming_request::IncomingRequest;
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
    /// Events that the decision module has not yet handled.
    events: VecDeque<Event>,
    /// Buffer for the module's actions, empty between events.
    actions: Vec<Action>,
}

/// Handles the requests of one pool, on a single thread.
pub struct Engine {
    state: RefCell<State>,
    pool: Rc<Pool>,
    clock: Clock,
    settings: InstanceSettings,
    metrics: PoolMetrics,
    /// The activity log, if activities are recorded.
    activity_log: Option<Rc<ActivityLog>>,
    /// Whether the decision module has requested a watch of the endpoint list.
    watch_requested: watch::Sender<bool>,
    /// When a graceful shutdown ends all requests.
    stop_at: Cell<Option<Instant>>,
    /// The pool has been removed from the configuration and receives no more requests.
    is_closed: Cell<bool>,
    /// Number of requests rejected while this proxy was fenced.
    fenced_rejections: Cell<u64>,
}

impl Engine {
    /// Creates the engine and its decision module, which requests the endpoint list through
    /// `watch_requested`.
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

    /// Returns whether any backend accepts new requests.
    pub fn is_ready(&self) -> bool {
        self.state
            .borrow()
            .endpoints
            .available_targets()
            .next()
            .is_some()
    }

    /// Returns the number of requests that have no response yet.
    pub fn pending_requests(&self) -> usize {
        let state = self.state.borrow();
        state
            .requests
            .values()
            .filter(|request| !request.is_answered())
            .count()
    }

    /// Returns the number of requests rejected while this proxy was fenced, independently of the
    /// pool's state.
    pub fn fenced_rejections(&self) -> u64 {
        self.fenced_rejections.get()
    }

    /// Returns whether this proxy is fenced: it admits no requests, since its configuration is not
    /// or may not be the required version.
    pub fn is_fenced(&self) -> bool {
        self.activity_log
            .as_ref()
            .is_some_and(|log| log.is_fenced())
    }

    /// Binds a request to the active configuration version, if activities are recorded.
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

    /// Returns the pool's current metrics and load.
    pub fn snapshot(&self) -> PoolSnapshot<'_> {
        PoolSnapshot {
            metrics: &self.metrics,
            load: self.state.borrow().balancer.load(),
            open_requests: self.pending_requests(),
        }
    }

    /// Returns the backend processes that accept new requests.
    pub fn available_targets(&self) -> Vec<Rc<Target>> {
        self.state
            .borrow()
            .endpoints
            .available_targets()
            .cloned()
            .collect()
    }

    /// Divides the slow-start budget of backends by the number of engines that send to them.
    pub fn share_slow_start_budget(&self, engines: usize) {
        self.state
            .borrow_mut()
            .balancer
            .share_slow_start_budget(engines);
    }

    /// Raises the initial concurrency limit to at least `limit`. Must be called before the first
    /// endpoint update.
    pub fn set_initial_limit(&self, limit: f64) {
        self.state.borrow_mut().balancer.raise_limit_to(limit);
    }

    /// Closes the engine: it receives no more requests. Attempts in flight complete normally.
    pub fn close(&self) {
        self.is_closed.set(true);
    }

    /// Notifies the decision module of an event and executes its actions, until no events remain.
    fn notify(self: &Rc<Self>, event: Event) {
        let state = &mut *self.state.borrow_mut();
        state.events.push_back(event);
        while let Some(event) = state.events.pop_front() {
            let mut actions = std::mem::take(&mut state.actions);
            let now_ms = self.clock.to_ms(Instant::now());
            state.balancer.handle_event(now_ms, event, &mut actions);
            for action in actions.drain(..) {
                self.execute(state, action);
            }
            state.actions = actions;
        }
    }

    fn execute(self: &Rc<Self>, state: &mut State, action: Action) {
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
                tracing::debug!(request, reason = "balancer decision", "request failed");
                state.respond(request, Response::Failed);
            }
            Action::Cancel { request, attempt } => state.cancel_attempt(request, attempt),
            // Timers hold references to the engine. A closed engine without requests starts none,
            // so that it is dropped.
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
        tracing::debug!(
            request,
            attempt,
            reason = "balancer decision",
            "attempt cancelled"
        );
        let open = self.requests.get(&request);
        let attempt = open.and_then(|open| open.attempts.get(usize::from(attempt)));
        if let Some(in_flight) = attempt.and_then(|attempt| attempt.in_flight.as_ref()) {
            in_flight.control.cancel();
        }
    }
}

/// Returns the decision module's settings. Its deduplication windows are shortened, since an
/// attempt is written some time after the decision.
fn balancer_settings(settings: &InstanceSettings) -> Settings {
    let mut settings = settings.balancer.clone();
    for class in &mut settings.classes {
        if let Idempotency::Deduplicated { window, .. } = &mut class.idempotency {
            *window = as_millis(safety::retry_window(*window));
        }
    }
    settings
}

/// Returns the hash of a request's key; never 0, which means that a request has no key.
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
