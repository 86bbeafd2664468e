//! Guards against unintended changes of decisions: compares digests of all actions over about
//! 100,000 random events, with several settings, to those recorded in `golden/decisions.txt`.

use heathroad_balancer::Balancer;
use heathroad_balancer::api::*;
use std::collections::BTreeMap;
use std::fmt::Write;

const GOLDEN: &str = include_str!("golden/decisions.txt");
const EVENTS: usize = 15_000;
const BACKENDS: u32 = 24;

/// An FNV-1a hash of the numbers in each action; independent of names and formatting.
struct Digest(u64);

impl Digest {
    fn add(&mut self, number: u64) {
        for byte in number.to_le_bytes() {
            self.0 = (self.0 ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3);
        }
    }

    fn add_float(&mut self, number: f64) {
        self.add(number.to_bits());
    }
}

/// An attempt in flight.
#[derive(Clone)]
struct Attempt {
    request: RequestId,
    number: AttemptNumber,
    backend: BackendId,
    sent_at: f64,
    /// `f64::MIN` once the attempt is cancelled.
    deadline: f64,
}

#[derive(Default)]
struct Request {
    attempts: u8,
    is_closed: bool,
    retries_left: Option<u32>,
}

/// A proxy that delivers random valid events and hashes the resulting actions.
struct Driver {
    balancer: Balancer,
    settings: Settings,
    rng: fastrand::Rng,
    now: f64,
    next_request: RequestId,
    requests: BTreeMap<RequestId, Request>,
    in_flight: Vec<Attempt>,
    /// Attempts that may still complete late, with their outcome.
    abandoned: Vec<(Attempt, Outcome)>,
    timers: Vec<(f64, u64)>,
    endpoints: BTreeMap<BackendId, Endpoint>,
    digest: Digest,
    /// The number of actions by kind.
    action_counts: [u64; 7],
}

impl Driver {
    fn new(settings: Settings, seed: u64) -> Self {
        let mut balancer = Balancer::new(settings.clone(), seed).expect("valid settings");
        balancer.share_slow_start_budget(2);
        balancer.raise_limit_to(7.0);
        Driver {
            balancer,
            settings,
            rng: fastrand::Rng::with_seed(seed ^ 0x5eed),
            now: 1000.0,
            next_request: 1,
            requests: BTreeMap::new(),
            in_flight: Vec::new(),
            abandoned: Vec::new(),
            timers: Vec::new(),
            endpoints: BTreeMap::new(),
            digest: Digest(0xcbf2_9ce4_8422_2325),
            action_counts: [0; 7],
        }
    }

    fn deliver(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.balancer.handle_event(self.now, event, &mut actions);
        actions.into_iter().for_each(|action| self.perform(action));
    }

    /// Performs an action, and adds its numbers and then its kind to the digest.
    fn perform(&mut self, action: Action) {
        let kind = match action {
            Action::Send {
                request,
                backend,
                deadline,
            } => {
                self.digest.add(request);
                self.digest.add(u64::from(backend));
                self.digest.add_float(deadline);
                let record = self.requests.get_mut(&request).expect("a known request");
                let number = record.attempts;
                record.attempts += 1;
                self.in_flight.push(Attempt {
                    request,
                    number,
                    backend,
                    sent_at: self.now,
                    deadline,
                });
                1
            }
            Action::Reject {
                request,
                retry_after,
            } => {
                self.digest.add(request);
                self.digest.add_float(retry_after);
                self.requests
                    .get_mut(&request)
                    .expect("a known request")
                    .is_closed = true;
                2
            }
            Action::Fail { request } => {
                self.digest.add(request);
                if let Some(record) = self.requests.get_mut(&request) {
                    record.is_closed = true;
                }
                3
            }
            Action::Cancel { request, attempt } => {
                self.digest.add(request);
                self.digest.add(u64::from(attempt));
                let is_cancelled = |a: &&mut Attempt| a.request == request && a.number == attempt;
                if let Some(attempt) = self.in_flight.iter_mut().find(is_cancelled) {
                    attempt.deadline = f64::MIN;
                }
                4
            }
            Action::SetTimer { delay, token } => {
                self.digest.add_float(delay);
                self.digest.add(token);
                self.timers.push((self.now + delay, token));
                5
            }
            Action::CloseIdle { backend } => {
                self.digest.add(u64::from(backend));
                6
            }
            Action::WatchEndpoints { on } => {
                self.digest.add(u64::from(on));
                7
            }
        };
        self.digest.add(kind);
        self.action_counts[kind as usize - 1] += 1;
    }

    fn update_endpoints(&mut self, kind: UpdateKind) {
        let size = if kind == UpdateKind::Delta {
            1 + self.rng.u32(..3)
        } else {
            BACKENDS
        };
        let mut endpoints = Vec::new();
        for n in 0..size {
            let backend = if kind == UpdateKind::Delta {
                1 + self.rng.u32(..BACKENDS)
            } else {
                n + 1
            };
            let is_restarted = self.rng.u8(..4) == 0;
            let started_at = self.endpoints.get(&backend).map_or(0.0, |e| e.started_at);
            let state = match self.rng.u8(..12) {
                0 => EndpointState::Draining,
                1 => EndpointState::Removed,
                _ => EndpointState::Ready,
            };
            let endpoint = Endpoint {
                backend,
                state,
                zone: (backend % 3) as u16,
                started_at: if is_restarted { self.now } else { started_at },
                weight: [1.0, 1.0, 0.5, 2.0][backend as usize % 4],
                cell: (backend % 5) as u16,
            };
            self.endpoints.insert(backend, endpoint.clone());
            endpoints.push(endpoint);
        }
        self.deliver(Event::EndpointUpdate { kind, endpoints });
    }

    fn request(&mut self) {
        let request = self.next_request;
        self.next_request += 1;
        let retries_left =
            (self.settings.priority_forwarded && self.rng.bool()).then(|| self.rng.u32(..4));
        self.requests.insert(
            request,
            Request {
                retries_left,
                ..Request::default()
            },
        );
        let arrival = RequestArrival {
            request,
            key: self.rng.u64(..6),
            class: self.rng.u16(..self.settings.classes.len() as u16),
            tenant: self.rng.u16(..3),
            deadline: self.now + [30.0, 300.0, 1000.0, 4000.0][self.rng.usize(..4)],
            retries_left,
            priority_share: if self.settings.priority_forwarded {
                self.rng.f64()
            } else {
                1.0
            },
        };
        self.deliver(Event::RequestArrived(arrival));
    }

    /// Returns a random outcome at a backend; some backends fail often for a time.
    fn outcome(&mut self, backend: BackendId) -> Outcome {
        let is_failing = backend.is_multiple_of(7) && (self.now / 4000.0) as u64 % 2 == 1;
        match self.rng.u8(..if is_failing { 12 } else { 100 }) {
            0 | 1 => Outcome::Error,
            2 => Outcome::Rejected,
            3 => Outcome::ConnectFailed,
            4 => Outcome::Reset,
            5 => Outcome::NotSent,
            _ => Outcome::Success,
        }
    }

    fn end_attempt(&mut self, index: usize, outcome: Outcome) {
        let attempt = self.in_flight.swap_remove(index);
        let request = self
            .requests
            .get_mut(&attempt.request)
            .expect("a known request");
        let request_closed = request.is_closed || outcome == Outcome::Success;
        request.is_closed = request_closed;
        if !request_closed && self.rng.u8(..3) == 0 {
            request.retries_left = request.retries_left.map(|n| n.saturating_sub(1));
        }
        let retries_left = request.retries_left;
        let is_abandoned = matches!(outcome, Outcome::Timeout | Outcome::Cancelled);
        if self.settings.limits.late_completions && is_abandoned {
            self.abandoned.push((attempt.clone(), outcome));
        }
        let result = self.result(&attempt, outcome, request_closed, retries_left);
        self.deliver(Event::AttemptEnded(result));
    }

    fn result(
        &self,
        sent: &Attempt,
        outcome: Outcome,
        request_closed: bool,
        retries_left: Option<u32>,
    ) -> AttemptResult {
        let (request, attempt, backend) = (sent.request, sent.number, sent.backend);
        AttemptResult {
            request,
            attempt,
            backend,
            outcome,
            elapsed: self.now - sent.sent_at,
            request_closed,
            retries_left,
        }
    }

    /// Advances the clock, and delivers expired timers, timeouts and cancellations.
    fn advance(&mut self) {
        let is_slow_phase = (self.now / 3000.0) as u64 % 3 == 2;
        self.now += self.rng.f64() * if is_slow_phase { 12.0 } else { 3.0 };
        while let Some(index) = self.timers.iter().position(|t| t.0 <= self.now) {
            let (_, token) = self.timers.remove(index);
            self.deliver(Event::TimerFired { token });
        }
        while let Some(index) = self.in_flight.iter().position(|a| a.deadline <= self.now) {
            let is_cancelled = self.in_flight[index].deadline == f64::MIN;
            self.end_attempt(
                index,
                if is_cancelled {
                    Outcome::Cancelled
                } else {
                    Outcome::Timeout
                },
            );
        }
    }

    fn step(&mut self) {
        self.advance();
        match self.rng.u8(..100) {
            0 => {
                let kinds = [
                    UpdateKind::Snapshot,
                    UpdateKind::Delta,
                    UpdateKind::Cached,
                    UpdateKind::Failed,
                ];
                match kinds[self.rng.usize(..kinds.len())] {
                    UpdateKind::Failed => {
                        self.deliver(Event::EndpointUpdate {
                            kind: UpdateKind::Failed,
                            endpoints: Vec::new(),
                        });
                    }
                    kind => self.update_endpoints(kind),
                }
            }
            1..=3 => {
                let open: Vec<_> = self
                    .requests
                    .iter()
                    .filter(|(_, r)| !r.is_closed)
                    .map(|(&id, _)| id)
                    .collect();
                if let Some(&request) = open.get(self.rng.usize(..open.len().max(1))) {
                    self.requests
                        .get_mut(&request)
                        .expect("a known request")
                        .is_closed = true;
                    self.deliver(Event::ClientLeft { request });
                }
            }
            4..=7 if !self.abandoned.is_empty() => {
                let (attempt, outcome) = self
                    .abandoned
                    .swap_remove(self.rng.usize(..self.abandoned.len()));
                let outcome = if self.rng.bool() {
                    Outcome::Success
                } else {
                    outcome
                };
                let result = self.result(&attempt, outcome, true, None);
                self.deliver(Event::LateCompletion(result));
            }
            4..=50 => self.request(),
            _ if !self.in_flight.is_empty() => {
                let index = self.rng.usize(..self.in_flight.len());
                // Backend 5 hangs at times, so that its attempts time out.
                let is_hung =
                    self.in_flight[index].backend == 5 && (self.now / 5000.0) as u64 % 2 == 1;
                if !is_hung {
                    let outcome = self.outcome(self.in_flight[index].backend);
                    self.end_attempt(index, outcome);
                }
            }
            _ => self.request(),
        }
    }

    fn run(mut self) -> (u64, [u64; 7]) {
        self.update_endpoints(UpdateKind::Cached);
        for _ in 0..EVENTS {
            self.step();
        }
        let load = self.balancer.load();
        self.digest.add_float(load.limit);
        self.digest.add_float(load.in_flight);
        for slice in &load.slices {
            self.digest.add_float(slice.limit);
            self.digest.add_float(slice.in_flight);
            self.digest.add(slice.queued as u64);
        }
        for &request in self.requests.keys() {
            self.digest.add_float(self.balancer.priority_share(request));
        }
        (self.digest.0, self.action_counts)
    }
}

fn class(
    latency_objective: f64,
    priority_weight: f64,
    idempotency: Idempotency,
    ordered_by_key: bool,
) -> Class {
    Class {
        latency_objective,
        priority_weight,
        idempotency,
        ordered_by_key,
    }
}

/// Returns named settings that together cover all branches of the decisions. The names are part of
/// the golden file.
fn settings() -> Vec<(&'static str, Settings)> {
    let deduplicated = |scope| Idempotency::Deduplicated {
        scope,
        window: 400.0,
    };
    let base = Settings {
        replica_index: 3,
        replica_count: 8,
        zone: 1,
        tick: 5.0,
        over_quota_priority: 0.05,
        classes: vec![
            class(300.0, 4.0, Idempotency::Idempotent, false),
            class(800.0, 1.0, deduplicated(DeduplicationScope::All), false),
            class(500.0, 2.0, Idempotency::NonIdempotent, false),
        ],
        tenants: [40.0, 400.0, 4000.0]
            .map(|quota_per_s| Tenant { quota_per_s })
            .to_vec(),
        limits: SiteLimits {
            cancellation: true,
            retry_after: true,
            max_retry_after: 2000.0,
            max_attempts: 4,
            late_completions: false,
        },
        guarantees: Guarantees {
            slow_start_floor: 0.12,
            slow_start_duration: 5000.0,
            overload_multiple: 3.0,
            max_poll_interval: 10_000.0,
            idle_close_within: 500.0,
            unknown_outcome_delay: 300.0,
        },
        objectives: Objectives {
            worst_class_weight: 0.2,
            cross_zone_price: 0.0,
        },
        ..Settings::default()
    };
    let ordered = Settings {
        classes: vec![
            class(400.0, 1.0, deduplicated(DeduplicationScope::Zone), true),
            class(400.0, 3.0, deduplicated(DeduplicationScope::Cell), true),
            class(250.0, 1.0, Idempotency::NonIdempotent, true),
        ],
        objectives: Objectives {
            worst_class_weight: 0.0,
            cross_zone_price: 0.2,
        },
        limits: SiteLimits {
            late_completions: true,
            ..base.limits.clone()
        },
        ..base.clone()
    };
    let second_tier = Settings {
        tier: 1,
        priority_forwarded: true,
        tenants: Vec::new(),
        limits: SiteLimits {
            late_completions: true,
            cancellation: false,
            retry_after: false,
            ..base.limits.clone()
        },
        ..base.clone()
    };
    let polling = Settings {
        replica_index: 0,
        replica_count: 1,
        polls_endpoints: true,
        classes: vec![class(1000.0, 1.0, Idempotency::Idempotent, false)],
        guarantees: Guarantees {
            idle_close_within: 0.0,
            slow_start_duration: 0.0,
            ..base.guarantees.clone()
        },
        objectives: Objectives {
            worst_class_weight: 1.0,
            cross_zone_price: 0.05,
        },
        ..base.clone()
    };
    vec![
        ("base", base),
        ("ordered", ordered),
        ("second tier", second_tier),
        ("asking", polling),
    ]
}

#[test]
fn actions_match_the_recorded_digests() {
    let mut actual = String::new();
    for (name, settings) in settings() {
        for seed in [1, 2] {
            let (digest, [send, reject, fail, cancel, timer, close, watch]) =
                Driver::new(settings.clone(), seed).run();
            writeln!(
                actual,
                "{name}, seed {seed}: {digest:016x}, {send} sends, {reject} refusals, {fail} failures, \
                 {cancel} cancels, {timer} timers, {close} closes, {watch} watches"
            )
            .expect("writing to a string succeeds");
        }
    }
    assert_eq!(actual, GOLDEN, "actual:\n{actual}");
}
