//! The decisions stay the same, bit by bit: a digest of all actions over some 100,000 random events
//! on several settings, compared with the one recorded in `golden/decisions.txt`.

use heathroad_balancer::Balancer;
use heathroad_balancer::api::*;
use std::collections::BTreeMap;
use std::fmt::Write;

const GOLDEN: &str = include_str!("golden/decisions.txt");
const EVENTS: usize = 15_000;
const BACKENDS: u32 = 24;

/// FNV-1a over the numbers of each action, so that no name or derived text takes part.
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

/// An attempt that the balancer has asked for.
#[derive(Clone)]
struct Attempt {
    request: RequestId,
    number: AttemptNumber,
    backend: BackendId,
    sent: f64,
    not_past: f64,
}

#[derive(Default)]
struct Open {
    attempts: u8,
    ended: bool,
    spare: Option<u32>,
}

/// A proxy of random doings: it delivers legal events and hashes what is decided.
struct Driver {
    balancer: Balancer,
    settings: Settings,
    rng: fastrand::Rng,
    now: f64,
    next: RequestId,
    open: BTreeMap<RequestId, Open>,
    out: Vec<Attempt>,
    late: Vec<(Attempt, Outcome)>,
    timers: Vec<(f64, u64)>,
    listed: BTreeMap<BackendId, Endpoint>,
    digest: Digest,
    actions: [u64; 7],
}

impl Driver {
    fn new(settings: Settings, seed: u64) -> Self {
        let mut balancer = Balancer::new(settings.clone(), seed).expect("sound settings");
        balancer.share_slow_start_budget(2);
        balancer.raise_limit_to(7.0);
        Driver {
            balancer,
            settings,
            rng: fastrand::Rng::with_seed(seed ^ 0x5eed),
            now: 1000.0,
            next: 1,
            open: BTreeMap::new(),
            out: Vec::new(),
            late: Vec::new(),
            timers: Vec::new(),
            listed: BTreeMap::new(),
            digest: Digest(0xcbf2_9ce4_8422_2325),
            actions: [0; 7],
        }
    }

    fn tell(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.balancer.handle_event(self.now, event, &mut actions);
        actions
            .into_iter()
            .for_each(|action| self.carry_out(action));
    }

    fn carry_out(&mut self, action: Action) {
        let kind = match action {
            Action::Send {
                request,
                backend,
                deadline: not_past,
            } => {
                self.digest.add(request);
                self.digest.add(u64::from(backend));
                self.digest.add_float(not_past);
                let open = self.open.get_mut(&request).expect("a request that is open");
                let number = open.attempts;
                open.attempts += 1;
                self.out.push(Attempt {
                    request,
                    number,
                    backend,
                    sent: self.now,
                    not_past,
                });
                1
            }
            Action::Reject {
                request,
                retry_after,
            } => {
                self.digest.add(request);
                self.digest.add_float(retry_after);
                self.open
                    .get_mut(&request)
                    .expect("a request that is open")
                    .ended = true;
                2
            }
            Action::Fail { request } => {
                self.digest.add(request);
                if let Some(open) = self.open.get_mut(&request) {
                    open.ended = true;
                }
                3
            }
            Action::Cancel { request, attempt } => {
                self.digest.add(request);
                self.digest.add(u64::from(attempt));
                let of = |a: &&mut Attempt| a.request == request && a.number == attempt;
                if let Some(attempt) = self.out.iter_mut().find(of) {
                    attempt.not_past = f64::MIN;
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
        self.actions[kind as usize - 1] += 1;
    }

    fn list(&mut self, kind: UpdateKind) {
        let size = if kind == UpdateKind::Delta {
            1 + self.rng.u32(..3)
        } else {
            BACKENDS
        };
        let mut entries = Vec::new();
        for n in 0..size {
            let backend = if kind == UpdateKind::Delta {
                1 + self.rng.u32(..BACKENDS)
            } else {
                n + 1
            };
            let restarted = self.rng.u8(..4) == 0;
            let known = self.listed.get(&backend).map_or(0.0, |e| e.started_at);
            let phase = match self.rng.u8(..12) {
                0 => EndpointState::Draining,
                1 => EndpointState::Removed,
                _ => EndpointState::Ready,
            };
            let entry = Endpoint {
                backend,
                state: phase,
                zone: (backend % 3) as u16,
                started_at: if restarted { self.now } else { known },
                weight: [1.0, 1.0, 0.5, 2.0][backend as usize % 4],
                cell: (backend % 5) as u16,
            };
            self.listed.insert(backend, entry.clone());
            entries.push(entry);
        }
        self.tell(Event::EndpointUpdate {
            kind,
            endpoints: entries,
        });
    }

    fn request(&mut self) {
        let request = self.next;
        self.next += 1;
        let spare =
            (self.settings.priority_forwarded && self.rng.bool()).then(|| self.rng.u32(..4));
        self.open.insert(
            request,
            Open {
                spare,
                ..Open::default()
            },
        );
        let arrival = RequestArrival {
            request,
            key: self.rng.u64(..6),
            class: self.rng.u16(..self.settings.classes.len() as u16),
            tenant: self.rng.u16(..3),
            deadline: self.now + [30.0, 300.0, 1000.0, 4000.0][self.rng.usize(..4)],
            retries_left: spare,
            priority_share: if self.settings.priority_forwarded {
                self.rng.f64()
            } else {
                1.0
            },
        };
        self.tell(Event::RequestArrived(arrival));
    }

    /// How an attempt ends at its backend in this stage of the run.
    fn outcome(&mut self, backend: BackendId) -> Outcome {
        let bad = backend.is_multiple_of(7) && (self.now / 4000.0) as u64 % 2 == 1;
        match self.rng.u8(..if bad { 12 } else { 100 }) {
            0 | 1 => Outcome::Error,
            2 => Outcome::Rejected,
            3 => Outcome::ConnectFailed,
            4 => Outcome::Reset,
            5 => Outcome::NotSent,
            _ => Outcome::Success,
        }
    }

    fn resolve(&mut self, at: usize, outcome: Outcome) {
        let attempt = self.out.swap_remove(at);
        let open = self.open.get_mut(&attempt.request).expect("its request");
        let closed = open.ended || outcome == Outcome::Success;
        open.ended = closed;
        if !closed && self.rng.u8(..3) == 0 {
            open.spare = open.spare.map(|s| s.saturating_sub(1));
        }
        let spare = open.spare;
        let ended = matches!(outcome, Outcome::Timeout | Outcome::Cancelled);
        if self.settings.limits.late_completions && ended {
            self.late.push((attempt.clone(), outcome));
        }
        let resolved = self.resolved(&attempt, outcome, closed, spare);
        self.tell(Event::AttemptEnded(resolved));
    }

    fn resolved(
        &self,
        of: &Attempt,
        outcome: Outcome,
        closed: bool,
        spare: Option<u32>,
    ) -> AttemptResult {
        let (request, attempt, backend) = (of.request, of.number, of.backend);
        AttemptResult {
            request,
            attempt,
            backend,
            outcome,
            elapsed: self.now - of.sent,
            request_closed: closed,
            retries_left: spare,
        }
    }

    /// Moves the clock and delivers what is due: timers, time-outs, withdrawals.
    fn advance(&mut self) {
        let slow = (self.now / 3000.0) as u64 % 3 == 2;
        self.now += self.rng.f64() * if slow { 12.0 } else { 3.0 };
        while let Some(at) = self.timers.iter().position(|t| t.0 <= self.now) {
            let (_, token) = self.timers.remove(at);
            self.tell(Event::TimerFired { token });
        }
        while let Some(at) = self.out.iter().position(|a| a.not_past <= self.now) {
            let withdrawn = self.out[at].not_past == f64::MIN;
            self.resolve(
                at,
                if withdrawn {
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
                        self.tell(Event::EndpointUpdate {
                            kind: UpdateKind::Failed,
                            endpoints: Vec::new(),
                        });
                    }
                    kind => self.list(kind),
                }
            }
            1..=3 => {
                let open: Vec<_> = self
                    .open
                    .iter()
                    .filter(|(_, o)| !o.ended)
                    .map(|(&id, _)| id)
                    .collect();
                if let Some(&request) = open.get(self.rng.usize(..open.len().max(1))) {
                    self.open.get_mut(&request).expect("open").ended = true;
                    self.tell(Event::ClientLeft { request });
                }
            }
            4..=7 if !self.late.is_empty() => {
                let (attempt, outcome) = self.late.swap_remove(self.rng.usize(..self.late.len()));
                let outcome = if self.rng.bool() {
                    Outcome::Success
                } else {
                    outcome
                };
                let resolved = self.resolved(&attempt, outcome, true, None);
                self.tell(Event::LateCompletion(resolved));
            }
            4..=50 => self.request(),
            _ if !self.out.is_empty() => {
                let at = self.rng.usize(..self.out.len());
                // One backend hangs for a while: its attempts wait for their time-outs.
                let hangs = self.out[at].backend == 5 && (self.now / 5000.0) as u64 % 2 == 1;
                if !hangs {
                    let outcome = self.outcome(self.out[at].backend);
                    self.resolve(at, outcome);
                }
            }
            _ => self.request(),
        }
    }

    fn run(mut self) -> (u64, [u64; 7]) {
        self.list(UpdateKind::Cached);
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
        for &request in self.open.keys() {
            self.digest.add_float(self.balancer.priority_share(request));
        }
        (self.digest.0, self.actions)
    }
}

fn class(aim: f64, points: f64, effect: Idempotency, in_order: bool) -> Class {
    Class {
        latency_objective: aim,
        priority_weight: points,
        idempotency: effect,
        ordered_by_key: in_order,
    }
}

/// Several settings that between them reach every branch of the decisions.
fn settings() -> Vec<(&'static str, Settings)> {
    let dedup = |group| Idempotency::Deduplicated {
        scope: group,
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
            class(800.0, 1.0, dedup(DeduplicationScope::All), false),
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
            class(400.0, 1.0, dedup(DeduplicationScope::Zone), true),
            class(400.0, 3.0, dedup(DeduplicationScope::Cell), true),
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
    let asking = Settings {
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
        ("asking", asking),
    ]
}

#[test]
fn the_actions_of_a_hundred_thousand_random_events_stay_the_same() {
    let mut actual = String::new();
    for (name, settings) in settings() {
        for seed in [1, 2] {
            let (digest, [send, refuse, fail, cancel, wake, close, watch]) =
                Driver::new(settings.clone(), seed).run();
            writeln!(
                actual,
                "{name}, seed {seed}: {digest:016x}, {send} sends, {refuse} refusals, {fail} failures, \
                 {cancel} cancels, {wake} timers, {close} closes, {watch} watches"
            )
            .expect("a string takes it");
        }
    }
    assert_eq!(actual, GOLDEN, "actual:\n{actual}");
}
