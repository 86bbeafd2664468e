//! A test proxy: delivers events to a balancer, records requests and attempts independently, and
//! checks each action against the rules. It simulates no backends; the tests choose the outcomes.
#![allow(dead_code)]

use heathroad_balancer::Balancer;
use heathroad_balancer::api::*;
use std::collections::{BTreeMap, HashMap};

/// How long after its deadline a request may be answered.
pub const RESPONSE_GRACE_MS: f64 = 20.0;

pub fn class(latency_objective: f64, priority_weight: f64, idempotency: Idempotency) -> Class {
    Class {
        latency_objective,
        priority_weight,
        idempotency,
        ordered_by_key: false,
    }
}

pub fn settings(replica_count: u32, classes: Vec<Class>) -> Settings {
    Settings {
        replica_count,
        tick: 5.0,
        over_quota_priority: 0.05,
        classes,
        limits: SiteLimits {
            cancellation: true,
            retry_after: true,
            max_retry_after: 2000.0,
            max_attempts: 6,
            late_completions: false,
        },
        guarantees: Guarantees {
            slow_start_floor: 0.12,
            slow_start_duration: 20_000.0,
            overload_multiple: 3.0,
            max_poll_interval: 10_000.0,
            idle_close_within: 500.0,
            unknown_outcome_delay: 300.0,
        },
        ..Settings::default()
    }
}

pub fn endpoint(backend: BackendId) -> Endpoint {
    Endpoint {
        backend,
        weight: 1.0,
        ..Endpoint::default()
    }
}

/// Returns endpoints for the backends 1 to `count`.
pub fn endpoints(count: u32) -> Vec<Endpoint> {
    (1..=count).map(endpoint).collect()
}

/// An attempt as the proxy recorded it.
#[derive(Debug, Clone)]
pub struct SentAttempt {
    pub backend: BackendId,
    pub sent_at: f64,
    pub deadline: f64,
    /// `None` while the attempt is in flight.
    pub outcome: Option<Outcome>,
    pub ended_at: f64,
}

/// A request as the proxy recorded it.
#[derive(Debug, Clone)]
pub struct Request {
    pub key: u64,
    pub class: usize,
    pub deadline: f64,
    pub attempts: Vec<SentAttempt>,
    /// When and how the request ended: served, rejected, failed or client left. `None` while it is
    /// open.
    pub end: Option<(f64, &'static str)>,
}

pub struct Proxy {
    pub balancer: Balancer,
    pub settings: Settings,
    pub now: f64,
    pub requests: BTreeMap<RequestId, Request>,
    pub endpoints: HashMap<BackendId, Endpoint>,
    /// The times at which the endpoint list was polled.
    pub polls: Vec<f64>,
    /// The times at which idle connections were last closed.
    pub idle_closed_at: HashMap<BackendId, f64>,
    /// Cancelled attempts that have no outcome yet.
    cancelled: Vec<(RequestId, usize)>,
    timers: Vec<(f64, u64)>,
    next_request: RequestId,
}

impl Proxy {
    pub fn new(settings: Settings, seed: u64, endpoints: Vec<Endpoint>) -> Self {
        let balancer = Balancer::new(settings.clone(), seed).expect("valid settings");
        let mut proxy = Proxy {
            balancer,
            settings,
            now: 1000.0,
            requests: BTreeMap::new(),
            endpoints: HashMap::new(),
            polls: Vec::new(),
            idle_closed_at: HashMap::new(),
            cancelled: Vec::new(),
            timers: Vec::new(),
            next_request: 1,
        };
        proxy.update_endpoints(UpdateKind::Cached, endpoints);
        proxy
    }

    pub fn update_endpoints(&mut self, kind: UpdateKind, endpoints: Vec<Endpoint>) {
        if kind != UpdateKind::Delta && kind != UpdateKind::Failed {
            self.endpoints
                .values_mut()
                .for_each(|e| e.state = EndpointState::Removed);
        }
        for endpoint in &endpoints {
            self.endpoints.insert(endpoint.backend, endpoint.clone());
        }
        let draining: Vec<_> = endpoints
            .iter()
            .filter(|e| e.state == EndpointState::Draining)
            .cloned()
            .collect();
        self.deliver(Event::EndpointUpdate { kind, endpoints });
        draining
            .iter()
            .for_each(|e| self.check_idle_closed(e.backend));
    }

    /// Checks that idle connections to a draining backend were closed just now, as they must be on
    /// each update and after each outcome.
    fn check_idle_closed(&self, backend: BackendId) {
        if self.settings.guarantees.idle_close_within > 0.0
            && self.endpoints[&backend].state == EndpointState::Draining
        {
            assert_eq!(
                self.idle_closed_at.get(&backend),
                Some(&self.now),
                "idle connections to draining backend {backend} were not closed"
            );
        }
    }

    /// Checks that no earlier request with the same key is open, has an attempt in flight, or had
    /// an unknown outcome too recently.
    fn check_key_order(&self, id: RequestId) {
        let request = &self.requests[&id];
        let is_ordered = |class: usize| self.settings.classes[class].ordered_by_key;
        if request.key == 0 || !is_ordered(request.class) {
            return;
        }
        for (earlier_id, earlier) in self
            .requests
            .range(..id)
            .filter(|(_, r)| r.key == request.key && is_ordered(r.class))
        {
            assert!(
                earlier.end.is_some(),
                "request {id} sent before request {earlier_id} with the same key ended"
            );
            for attempt in &earlier.attempts {
                let delay = match attempt.outcome.expect("every attempt has ended") {
                    Outcome::Timeout | Outcome::Reset | Outcome::Cancelled => {
                        self.settings.guarantees.unknown_outcome_delay
                    }
                    _ => 0.0,
                };
                assert!(
                    self.now >= attempt.ended_at + delay,
                    "request {id} sent while request {earlier_id} may still be executing"
                );
            }
        }
    }

    /// Delivers an event and checks the resulting actions.
    pub fn deliver(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.balancer.handle_event(self.now, event, &mut actions);
        for action in actions {
            match action {
                Action::Send {
                    request,
                    backend,
                    deadline,
                } => self.on_send(request, backend, deadline),
                Action::Reject { request, .. } => self.on_reject(request),
                Action::Fail { request } => self.end_request(request, "failed"),
                Action::SetTimer { delay, token } => {
                    assert!(
                        delay.is_finite() && delay > 0.0,
                        "a timer delay is not positive"
                    );
                    self.timers.push((self.now + delay, token));
                }
                Action::CloseIdle { backend } => {
                    self.idle_closed_at.insert(backend, self.now);
                }
                Action::WatchEndpoints { on } => {
                    assert!(on);
                    self.polls.push(self.now);
                }
                Action::Cancel { request, attempt } => {
                    self.cancelled.push((request, usize::from(attempt)));
                    assert!(
                        self.settings.limits.cancellation,
                        "attempt cancelled although cancellation is not allowed"
                    );
                    assert!(
                        self.requests[&request].attempts.len() > usize::from(attempt),
                        "cancelled an attempt that was never sent"
                    );
                }
            }
        }
    }

    fn on_send(&mut self, id: RequestId, backend: BackendId, deadline: f64) {
        self.check_key_order(id);
        let endpoint = self
            .endpoints
            .get(&backend)
            .expect("sent to a backend that was never listed");
        assert_eq!(
            endpoint.state,
            EndpointState::Ready,
            "sent to a draining or removed backend"
        );
        let (zone, cell) = (endpoint.zone, endpoint.cell);
        let request = self.requests.get_mut(&id).expect("sent an unknown request");
        assert!(request.end.is_none(), "sent after the request ended");
        assert!(deadline <= request.deadline);
        assert!(
            request.attempts.len() < self.settings.limits.max_attempts as usize,
            "too many attempts"
        );
        let in_flight = request
            .attempts
            .iter()
            .filter(|a| a.outcome.is_none())
            .count();
        assert_eq!(in_flight, 0, "two attempts in flight at once");
        if let Some(executed) = request
            .attempts
            .iter()
            .find(|a| a.outcome.is_none_or(|outcome| !outcome.never_executed()))
        {
            let location = self
                .endpoints
                .get(&executed.backend)
                .map(|e| (e.zone, e.cell));
            match self.settings.classes[request.class].idempotency {
                Idempotency::Idempotent => {}
                Idempotency::NonIdempotent => {
                    panic!("a non-idempotent request that may have been executed was sent again")
                }
                Idempotency::Deduplicated { scope, window } => {
                    assert!(
                        self.now < executed.sent_at + window,
                        "repeated after the deduplication window"
                    );
                    let (first_zone, first_cell) = location.expect("a listed backend");
                    assert!(
                        scope != DeduplicationScope::Zone || first_zone == zone,
                        "repeated in another zone"
                    );
                    assert!(
                        scope != DeduplicationScope::Cell || first_cell == cell,
                        "repeated in another cell"
                    );
                }
            }
        }
        request.attempts.push(SentAttempt {
            backend,
            sent_at: self.now,
            deadline,
            outcome: None,
            ended_at: 0.0,
        });
    }

    fn on_reject(&mut self, id: RequestId) {
        let request = &self.requests[&id];
        let idempotency = self.settings.classes[request.class].idempotency;
        let never_executed = request
            .attempts
            .iter()
            .all(|a| a.outcome.is_some_and(Outcome::never_executed));
        let is_repeatable_anywhere = matches!(
            idempotency,
            Idempotency::Idempotent
                | Idempotency::Deduplicated {
                    scope: DeduplicationScope::All,
                    ..
                }
        );
        assert!(
            never_executed || is_repeatable_anywhere,
            "rejected a request that may have been executed"
        );
        self.end_request(id, "rejected");
    }

    pub fn end_request(&mut self, id: RequestId, how: &'static str) {
        let request = self
            .requests
            .get_mut(&id)
            .expect("ended an unknown request");
        assert!(request.end.is_none(), "second response");
        assert!(
            self.now <= request.deadline + RESPONSE_GRACE_MS,
            "response {} ms late",
            self.now - request.deadline
        );
        request.end = Some((self.now, how));
    }

    /// Delivers a new request without a key; returns its id.
    pub fn request(&mut self, class: usize, tenant: u16, time_left: f64) -> RequestId {
        self.request_with_key(0, class, tenant, time_left)
    }

    /// Delivers a new request with a key; returns its id.
    pub fn request_with_key(
        &mut self,
        key: u64,
        class: usize,
        tenant: u16,
        time_left: f64,
    ) -> RequestId {
        self.request_with_budget(key, class, tenant, time_left, None, 1.0)
    }

    /// Delivers a new request with a retry budget and a priority; returns its id.
    pub fn request_with_budget(
        &mut self,
        key: u64,
        class: usize,
        tenant: u16,
        time_left: f64,
        retries_left: Option<u32>,
        priority_share: f64,
    ) -> RequestId {
        let (id, deadline) = (self.next_request, self.now + time_left);
        self.next_request += 1;
        self.requests.insert(
            id,
            Request {
                key,
                class,
                deadline,
                attempts: Vec::new(),
                end: None,
            },
        );
        self.deliver(Event::RequestArrived(RequestArrival {
            request: id,
            key,
            class: class as u16,
            tenant,
            deadline,
            retries_left,
            priority_share,
        }));
        id
    }

    pub fn end_attempt(&mut self, id: RequestId, number: usize, outcome: Outcome) {
        let request = self.requests.get_mut(&id).expect("a known request");
        let attempt = &mut request.attempts[number];
        assert!(attempt.outcome.is_none());
        (attempt.outcome, attempt.ended_at) = (Some(outcome), self.now);
        let (backend, elapsed) = (attempt.backend, self.now - attempt.sent_at);
        if outcome == Outcome::Success && request.end.is_none() {
            self.end_request(id, "served");
        }
        let request_closed = self.requests[&id].end.is_some();
        let attempt = number as AttemptNumber;
        self.deliver(Event::AttemptEnded(AttemptResult {
            request: id,
            attempt,
            backend,
            outcome,
            elapsed,
            request_closed,
            retries_left: None,
        }));
        self.check_idle_closed(backend);
    }

    pub fn disconnect_client(&mut self, request: RequestId) {
        self.end_request(request, "client left");
        self.deliver(Event::ClientLeft { request });
    }

    /// Returns the attempts in flight with their request and number, ordered by request.
    pub fn in_flight(&self) -> Vec<(RequestId, usize, SentAttempt)> {
        let in_flight_of = |(&id, request): (&RequestId, &Request)| {
            let attempts = request
                .attempts
                .iter()
                .enumerate()
                .filter(|(_, a)| a.outcome.is_none());
            attempts
                .map(|(number, a)| (id, number, a.clone()))
                .collect::<Vec<_>>()
        };
        self.requests.iter().flat_map(in_flight_of).collect()
    }

    /// Advances the clock, and delivers expired timers, timeouts and cancellations.
    pub fn advance_to(&mut self, time: f64) {
        while self.now < time {
            self.now = (self.now + self.settings.tick).min(time);
            let now = self.now;
            let expired: Vec<u64> = self
                .timers
                .iter()
                .filter(|t| t.0 <= now)
                .map(|t| t.1)
                .collect();
            self.timers.retain(|t| t.0 > now);
            expired
                .into_iter()
                .for_each(|token| self.deliver(Event::TimerFired { token }));
            let timed_out: Vec<_> = self
                .in_flight()
                .into_iter()
                .filter(|(_, _, attempt)| attempt.deadline <= now)
                .collect();
            timed_out
                .into_iter()
                .for_each(|(id, number, _)| self.end_attempt(id, number, Outcome::Timeout));
            for (id, number) in std::mem::take(&mut self.cancelled) {
                if self
                    .requests
                    .get(&id)
                    .is_some_and(|r| r.attempts[number].outcome.is_none())
                {
                    self.end_attempt(id, number, Outcome::Cancelled);
                }
            }
        }
    }

    /// Removes finished requests without attempts in flight, which keeps long tests fast.
    pub fn remove_finished(&mut self) {
        self.requests
            .retain(|_, r| r.end.is_none() || r.attempts.iter().any(|a| a.outcome.is_none()));
    }

    /// Runs a steady load for `duration`: `per_tick` requests each tick, each served after
    /// `latency`. Returns the number of rejected requests.
    pub fn serve(&mut self, duration: f64, per_tick: usize, class: usize, latency: f64) -> usize {
        let (end, mut rejected) = (self.now + duration, 0);
        while self.now < end {
            for _ in 0..per_tick {
                self.request(class, 0, 1e5);
            }
            self.advance_to(self.now + self.settings.tick);
            for (id, number, attempt) in self.in_flight() {
                if self.now - attempt.sent_at >= latency {
                    self.end_attempt(id, number, Outcome::Success);
                }
            }
            rejected += self
                .requests
                .values()
                .filter(|r| r.end.is_some_and(|end| end.1 == "rejected"))
                .count();
            self.remove_finished();
        }
        rejected
    }
}
