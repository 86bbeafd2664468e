//! A proxy's side of the interface: delivers legal events on a clock and keeps its own record of
//! what was sent and answered, by which the rules are checked. It models no servers: outcomes are
//! what a test says.
#![allow(dead_code)]

use heathroad_balancer::Balancer;
use heathroad_balancer::api::*;
use std::collections::{BTreeMap, HashMap};

pub const GRACE: f64 = 20.0;

pub fn class(aim: f64, points: f64, effect: Idempotency) -> Class {
    Class {
        latency_objective: aim,
        priority_weight: points,
        idempotency: effect,
        ordered_by_key: false,
    }
}

pub fn settings(copies: u32, classes: Vec<Class>) -> Settings {
    Settings {
        replica_count: copies,
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

pub fn entry(backend: BackendId) -> Endpoint {
    Endpoint {
        backend,
        weight: 1.0,
        ..Endpoint::default()
    }
}

pub fn entries(n: u32) -> Vec<Endpoint> {
    (1..=n).map(entry).collect()
}

#[derive(Debug, Clone)]
pub struct Sent {
    pub backend: BackendId,
    pub at: f64,
    pub not_past: f64,
    pub outcome: Option<Outcome>,
    /// When the outcome came.
    pub over: f64,
}

#[derive(Debug, Clone)]
pub struct Asked {
    pub key: u64,
    pub class: usize,
    pub deadline: f64,
    pub sends: Vec<Sent>,
    /// When it ended and how: served, refused, failed or hung up.
    pub ended: Option<(f64, &'static str)>,
}

pub struct Proxy {
    pub balancer: Balancer,
    pub s: Settings,
    pub now: f64,
    pub asked: BTreeMap<RequestId, Asked>,
    pub listed: HashMap<BackendId, Endpoint>,
    pub watches: Vec<f64>,
    /// When idle connections were last closed.
    pub closed: HashMap<BackendId, f64>,
    /// Attempts withdrawn and still without an outcome.
    cancelled: Vec<(RequestId, usize)>,
    timers: Vec<(f64, u64)>,
    next: RequestId,
}

impl Proxy {
    pub fn new(s: Settings, seed: u64, list: Vec<Endpoint>) -> Self {
        let balancer = Balancer::new(s.clone(), seed).expect("settings are sound");
        let mut p = Proxy {
            balancer,
            s,
            now: 1000.0,
            asked: BTreeMap::new(),
            listed: HashMap::new(),
            watches: Vec::new(),
            closed: HashMap::new(),
            cancelled: Vec::new(),
            timers: Vec::new(),
            next: 1,
        };
        p.list(UpdateKind::Cached, list);
        p
    }

    pub fn list(&mut self, kind: UpdateKind, entries: Vec<Endpoint>) {
        if kind != UpdateKind::Delta && kind != UpdateKind::Failed {
            self.listed
                .values_mut()
                .for_each(|e| e.state = EndpointState::Removed);
        }
        for e in &entries {
            self.listed.insert(e.backend, e.clone());
        }
        let draining: Vec<_> = entries
            .iter()
            .filter(|e| e.state == EndpointState::Draining)
            .cloned()
            .collect();
        self.tell(Event::EndpointUpdate {
            kind,
            endpoints: entries,
        });
        draining.iter().for_each(|e| self.check_release(e.backend));
    }

    /// Connections to a draining backend are closed at the notice and after each outcome there.
    fn check_release(&self, backend: BackendId) {
        if self.s.guarantees.idle_close_within > 0.0
            && self.listed[&backend].state == EndpointState::Draining
        {
            assert_eq!(
                self.closed.get(&backend),
                Some(&self.now),
                "connections to {backend} are kept open"
            );
        }
    }

    /// Nothing is sent for a key while an earlier request is open, has an attempt out or left a
    /// doubt.
    fn check_order(&self, request: RequestId) {
        let a = &self.asked[&request];
        let ordered = |class: usize| self.s.classes[class].ordered_by_key;
        if a.key == 0 || !ordered(a.class) {
            return;
        }
        for (id, earlier) in self
            .asked
            .range(..request)
            .filter(|(_, e)| e.key == a.key && ordered(e.class))
        {
            assert!(
                earlier.ended.is_some(),
                "{request} sent before {id} is over"
            );
            for s in &earlier.sends {
                let rest = match s.outcome.expect("every attempt has its outcome") {
                    Outcome::Timeout | Outcome::Reset | Outcome::Cancelled => {
                        self.s.guarantees.unknown_outcome_delay
                    }
                    _ => 0.0,
                };
                assert!(
                    self.now >= s.over + rest,
                    "{request} sent while {id} may still run"
                );
            }
        }
    }

    /// Delivers an event and checks each action against the four rules.
    pub fn tell(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.balancer.handle_event(self.now, event, &mut actions);
        for action in actions {
            match action {
                Action::Send {
                    request,
                    backend,
                    deadline: not_past,
                } => self.sent(request, backend, not_past),
                Action::Reject { request, .. } => self.refused(request),
                Action::Fail { request } => self.close(request, "failed"),
                Action::SetTimer { delay, token } => {
                    assert!(delay.is_finite() && delay > 0.0, "timers lie ahead");
                    self.timers.push((self.now + delay, token));
                }
                Action::CloseIdle { backend } => {
                    self.closed.insert(backend, self.now);
                }
                Action::WatchEndpoints { on } => {
                    assert!(on);
                    self.watches.push(self.now);
                }
                Action::Cancel { request, attempt } => {
                    self.cancelled.push((request, usize::from(attempt)));
                    assert!(
                        self.s.limits.cancellation,
                        "cancelled where that is not allowed"
                    );
                    assert!(
                        self.asked[&request].sends.len() > usize::from(attempt),
                        "cancelled what was never sent"
                    );
                }
            }
        }
    }

    fn sent(&mut self, request: RequestId, backend: BackendId, not_past: f64) {
        self.check_order(request);
        let e = self
            .listed
            .get(&backend)
            .expect("sent to a backend that no list named");
        assert_eq!(
            e.state,
            EndpointState::Ready,
            "sent to a draining or gone backend"
        );
        let (zone, cell) = (e.zone, e.cell);
        let a = self
            .asked
            .get_mut(&request)
            .expect("sent a request that was never asked");
        assert!(a.ended.is_none(), "sent after its end");
        assert!(not_past <= a.deadline);
        assert!(
            a.sends.len() < self.s.limits.max_attempts as usize,
            "too many attempts"
        );
        let out = a.sends.iter().filter(|s| s.outcome.is_none()).count();
        assert_eq!(out, 0, "two attempts out at once");
        if let Some(ran) = a
            .sends
            .iter()
            .find(|s| s.outcome.is_none_or(|o| !o.never_executed()))
        {
            let group = self.listed.get(&ran.backend).map(|e| (e.zone, e.cell));
            match self.s.classes[a.class].idempotency {
                Idempotency::Idempotent => {}
                Idempotency::NonIdempotent => {
                    panic!("a fragile request that may have run was sent again")
                }
                Idempotency::Deduplicated { scope: g, window } => {
                    assert!(self.now < ran.at + window, "repeated after the window");
                    let (z, c) = group.expect("listed");
                    assert!(
                        g != DeduplicationScope::Zone || z == zone,
                        "repeated in another zone"
                    );
                    assert!(
                        g != DeduplicationScope::Cell || c == cell,
                        "repeated in another cell"
                    );
                }
            }
        }
        a.sends.push(Sent {
            backend,
            at: self.now,
            not_past,
            outcome: None,
            over: 0.0,
        });
    }

    fn refused(&mut self, request: RequestId) {
        let a = &self.asked[&request];
        let effect = self.s.classes[a.class].idempotency;
        let unrun = a
            .sends
            .iter()
            .all(|s| s.outcome.is_some_and(Outcome::never_executed));
        let all = matches!(
            effect,
            Idempotency::Idempotent
                | Idempotency::Deduplicated {
                    scope: DeduplicationScope::All,
                    ..
                }
        );
        assert!(unrun || all, "refused what may have run");
        self.close(request, "refused");
    }

    pub fn close(&mut self, request: RequestId, how: &'static str) {
        let a = self
            .asked
            .get_mut(&request)
            .expect("ended a request that was never asked");
        assert!(a.ended.is_none(), "answered twice");
        assert!(
            self.now <= a.deadline + GRACE,
            "answered {} ms late",
            self.now - a.deadline
        );
        a.ended = Some((self.now, how));
    }

    /// A new request; its id.
    pub fn ask(&mut self, class: usize, tenant: u16, left: f64) -> RequestId {
        self.ask_for(0, class, tenant, left)
    }

    /// A new request about a key; its id.
    pub fn ask_for(&mut self, key: u64, class: usize, tenant: u16, left: f64) -> RequestId {
        self.ask_with(key, class, tenant, left, None, 1.0)
    }

    /// A new request that carries a budget, or a part of its worth; its id.
    pub fn ask_with(
        &mut self,
        key: u64,
        class: usize,
        tenant: u16,
        left: f64,
        spare: Option<u32>,
        worth: f64,
    ) -> RequestId {
        let (request, deadline) = (self.next, self.now + left);
        self.next += 1;
        self.asked.insert(
            request,
            Asked {
                key,
                class,
                deadline,
                sends: Vec::new(),
                ended: None,
            },
        );
        self.tell(Event::RequestArrived(RequestArrival {
            request,
            key,
            class: class as u16,
            tenant,
            deadline,
            retries_left: spare,
            priority_share: worth,
        }));
        request
    }

    /// Ends an attempt.
    pub fn resolve(&mut self, request: RequestId, attempt: usize, outcome: Outcome) {
        let a = self.asked.get_mut(&request).expect("asked");
        let s = &mut a.sends[attempt];
        assert!(s.outcome.is_none());
        (s.outcome, s.over) = (Some(outcome), self.now);
        let (backend, wait) = (s.backend, self.now - s.at);
        if outcome == Outcome::Success && a.ended.is_none() {
            self.close(request, "served");
        }
        let closed = self.asked[&request].ended.is_some();
        let attempt = attempt as AttemptNumber;
        self.tell(Event::AttemptEnded(AttemptResult {
            request,
            attempt,
            backend,
            outcome,
            elapsed: wait,
            request_closed: closed,
            retries_left: None,
        }));
        self.check_release(backend);
    }

    pub fn hang_up(&mut self, request: RequestId) {
        self.close(request, "hung up");
        self.tell(Event::ClientLeft { request });
    }

    /// Attempts that are out, oldest request first.
    pub fn out(&self) -> Vec<(RequestId, usize, Sent)> {
        let sends = |(&id, a): (&RequestId, &Asked)| {
            let of = a
                .sends
                .iter()
                .enumerate()
                .filter(|(_, s)| s.outcome.is_none());
            of.map(|(n, s)| (id, n, s.clone())).collect::<Vec<_>>()
        };
        self.asked.iter().flat_map(sends).collect()
    }

    /// Moves the clock, firing timers and attempts' time-outs on the way.
    pub fn advance(&mut self, to: f64) {
        while self.now < to {
            self.now = (self.now + self.s.tick).min(to);
            let now = self.now;
            let due: Vec<u64> = self
                .timers
                .iter()
                .filter(|t| t.0 <= now)
                .map(|t| t.1)
                .collect();
            self.timers.retain(|t| t.0 > now);
            due.into_iter()
                .for_each(|token| self.tell(Event::TimerFired { token }));
            let late: Vec<_> = self
                .out()
                .into_iter()
                .filter(|(_, _, s)| s.not_past <= now)
                .collect();
            late.into_iter()
                .for_each(|(id, n, _)| self.resolve(id, n, Outcome::Timeout));
            for (id, n) in std::mem::take(&mut self.cancelled) {
                if self
                    .asked
                    .get(&id)
                    .is_some_and(|a| a.sends[n].outcome.is_none())
                {
                    self.resolve(id, n, Outcome::Cancelled);
                }
            }
        }
    }

    /// Drops the record of what is over, so that long tests stay quick.
    pub fn forget(&mut self) {
        self.asked
            .retain(|_, a| a.ended.is_none() || a.sends.iter().any(|s| s.outcome.is_none()));
    }

    /// Serves steadily: `per_tick` requests of a class each tick, every answer after `wait`; how
    /// many were refused.
    pub fn serve(&mut self, ms: f64, per_tick: usize, class: usize, wait: f64) -> usize {
        let (end, mut refused) = (self.now + ms, 0);
        while self.now < end {
            for _ in 0..per_tick {
                self.ask(class, 0, 1e5);
            }
            self.advance(self.now + self.s.tick);
            for (id, n, s) in self.out() {
                if self.now - s.at >= wait {
                    self.resolve(id, n, Outcome::Success);
                }
            }
            refused += self
                .asked
                .values()
                .filter(|a| a.ended.is_some_and(|e| e.1 == "refused"))
                .count();
            self.forget();
        }
        refused
    }
}
