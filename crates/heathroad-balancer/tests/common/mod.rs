//! A proxy's side of the interface: delivers legal events on a clock and keeps its own record of
//! what was sent and answered, by which the rules are checked. It models no servers: outcomes are
//! what a test says.
#![allow(dead_code)]

use heathroad_balancer::Balancer;
use heathroad_balancer::api::*;
use std::collections::{BTreeMap, HashMap};

pub const GRACE: f64 = 20.0;

pub fn class(aim: f64, points: f64, effect: Effect) -> Class {
    Class {
        aim,
        points,
        effect,
        in_order: false,
    }
}

pub fn settings(copies: u32, classes: Vec<Class>) -> Settings {
    Settings {
        copies,
        tick: 5.0,
        over_share_worth: 0.05,
        classes,
        caps: Caps {
            cancelling: true,
            retry_after: true,
            max_retry_after: 2000.0,
            try_limit: 6,
            late_ends: false,
        },
        rules: Rules {
            cold_from: 0.12,
            cold: 20_000.0,
            fall_multiple: 3.0,
            ask_within: 10_000.0,
            release_within: 500.0,
            settle_after_doubt: 300.0,
        },
        ..Settings::default()
    }
}

pub fn entry(backend: BackendId) -> Entry {
    Entry {
        backend,
        weight: 1.0,
        ..Entry::default()
    }
}

pub fn entries(n: u32) -> Vec<Entry> {
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
    pub listed: HashMap<BackendId, Entry>,
    pub watches: Vec<f64>,
    /// When idle connections were last closed.
    pub closed: HashMap<BackendId, f64>,
    /// Attempts withdrawn and still without an outcome.
    cancelled: Vec<(RequestId, usize)>,
    timers: Vec<(f64, u64)>,
    next: RequestId,
}

impl Proxy {
    pub fn new(s: Settings, seed: u64, list: Vec<Entry>) -> Self {
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
        p.list(ListKind::Cached, list);
        p
    }

    pub fn list(&mut self, kind: ListKind, entries: Vec<Entry>) {
        if kind != ListKind::Delta && kind != ListKind::Failed {
            self.listed.values_mut().for_each(|e| e.phase = Phase::Gone);
        }
        for e in &entries {
            self.listed.insert(e.backend, e.clone());
        }
        let draining: Vec<_> = entries
            .iter()
            .filter(|e| e.phase == Phase::Draining)
            .cloned()
            .collect();
        self.tell(Event::List { kind, entries });
        draining.iter().for_each(|e| self.check_release(e.backend));
    }

    /// Connections to a draining backend are closed at the notice and after each outcome there.
    fn check_release(&self, backend: BackendId) {
        if self.s.rules.release_within > 0.0 && self.listed[&backend].phase == Phase::Draining {
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
        let ordered = |class: usize| self.s.classes[class].in_order;
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
                        self.s.rules.settle_after_doubt
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
        self.balancer.handle(self.now, event, &mut actions);
        for action in actions {
            match action {
                Action::Send {
                    request,
                    backend,
                    not_past,
                } => self.sent(request, backend, not_past),
                Action::Refuse { request, .. } => self.refused(request),
                Action::Fail { request } => self.close(request, "failed"),
                Action::WakeMe { delay, token } => {
                    assert!(delay.is_finite() && delay > 0.0, "timers lie ahead");
                    self.timers.push((self.now + delay, token));
                }
                Action::Close { backend } => {
                    self.closed.insert(backend, self.now);
                }
                Action::Watch { on } => {
                    assert!(on);
                    self.watches.push(self.now);
                }
                Action::Cancel { request, attempt } => {
                    self.cancelled.push((request, usize::from(attempt)));
                    assert!(
                        self.s.caps.cancelling,
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
        assert_eq!(e.phase, Phase::Ready, "sent to a draining or gone backend");
        let (zone, cell) = (e.zone, e.cell);
        let a = self
            .asked
            .get_mut(&request)
            .expect("sent a request that was never asked");
        assert!(a.ended.is_none(), "sent after its end");
        assert!(not_past <= a.deadline);
        assert!(
            a.sends.len() < self.s.caps.try_limit as usize,
            "too many attempts"
        );
        let out = a.sends.iter().filter(|s| s.outcome.is_none()).count();
        assert_eq!(out, 0, "two attempts out at once");
        if let Some(ran) = a
            .sends
            .iter()
            .find(|s| s.outcome.is_none_or(|o| !o.never_ran()))
        {
            let group = self.listed.get(&ran.backend).map(|e| (e.zone, e.cell));
            match self.s.classes[a.class].effect {
                Effect::Retryable => {}
                Effect::Fragile => panic!("a fragile request that may have run was sent again"),
                Effect::Dedup { group: g, window } => {
                    assert!(self.now < ran.at + window, "repeated after the window");
                    let (z, c) = group.expect("listed");
                    assert!(g != Group::Zone || z == zone, "repeated in another zone");
                    assert!(g != Group::Cell || c == cell, "repeated in another cell");
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
        let effect = self.s.classes[a.class].effect;
        let unrun = a
            .sends
            .iter()
            .all(|s| s.outcome.is_some_and(Outcome::never_ran));
        let all = matches!(
            effect,
            Effect::Retryable
                | Effect::Dedup {
                    group: Group::All,
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
        self.tell(Event::Request(Arrival {
            request,
            key,
            class: class as u16,
            tenant,
            deadline,
            spare,
            worth,
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
        if outcome == Outcome::Ok && a.ended.is_none() {
            self.close(request, "served");
        }
        let closed = self.asked[&request].ended.is_some();
        let attempt = attempt as AttemptNo;
        self.tell(Event::Resolved(Resolved {
            request,
            attempt,
            backend,
            outcome,
            wait,
            closed,
            spare: None,
        }));
        self.check_release(backend);
    }

    pub fn hang_up(&mut self, request: RequestId) {
        self.close(request, "hung up");
        self.tell(Event::Hangup { request });
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
                .for_each(|token| self.tell(Event::Wake { token }));
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
                    self.resolve(id, n, Outcome::Ok);
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
