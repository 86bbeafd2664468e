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
    number: AttemptNo,
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
    listed: BTreeMap<BackendId, Entry>,
    digest: Digest,
    actions: [u64; 7],
}

impl Driver {
    fn new(settings: Settings, seed: u64) -> Self {
        let mut balancer = Balancer::new(settings.clone(), seed).expect("sound settings");
        balancer.share_cold(2);
        balancer.begin_at(7.0);
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
        self.balancer.handle(self.now, event, &mut actions);
        actions
            .into_iter()
            .for_each(|action| self.carry_out(action));
    }

    fn carry_out(&mut self, action: Action) {
        let kind = match action {
            Action::Send {
                request,
                backend,
                not_past,
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
            Action::Refuse {
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
            Action::WakeMe { delay, token } => {
                self.digest.add_float(delay);
                self.digest.add(token);
                self.timers.push((self.now + delay, token));
                5
            }
            Action::Close { backend } => {
                self.digest.add(u64::from(backend));
                6
            }
            Action::Watch { on } => {
                self.digest.add(u64::from(on));
                7
            }
        };
        self.digest.add(kind);
        self.actions[kind as usize - 1] += 1;
    }

    fn list(&mut self, kind: ListKind) {
        let size = if kind == ListKind::Delta {
            1 + self.rng.u32(..3)
        } else {
            BACKENDS
        };
        let mut entries = Vec::new();
        for n in 0..size {
            let backend = if kind == ListKind::Delta {
                1 + self.rng.u32(..BACKENDS)
            } else {
                n + 1
            };
            let restarted = self.rng.u8(..4) == 0;
            let known = self.listed.get(&backend).map_or(0.0, |e| e.started_at);
            let phase = match self.rng.u8(..12) {
                0 => Phase::Draining,
                1 => Phase::Gone,
                _ => Phase::Ready,
            };
            let entry = Entry {
                backend,
                phase,
                zone: (backend % 3) as u16,
                started_at: if restarted { self.now } else { known },
                weight: [1.0, 1.0, 0.5, 2.0][backend as usize % 4],
                cell: (backend % 5) as u16,
            };
            self.listed.insert(backend, entry.clone());
            entries.push(entry);
        }
        self.tell(Event::List { kind, entries });
    }

    fn request(&mut self) {
        let request = self.next;
        self.next += 1;
        let spare = (self.settings.worth_carried && self.rng.bool()).then(|| self.rng.u32(..4));
        self.open.insert(
            request,
            Open {
                spare,
                ..Open::default()
            },
        );
        let arrival = Arrival {
            request,
            key: self.rng.u64(..6),
            class: self.rng.u16(..self.settings.classes.len() as u16),
            tenant: self.rng.u16(..3),
            deadline: self.now + [30.0, 300.0, 1000.0, 4000.0][self.rng.usize(..4)],
            spare,
            worth: if self.settings.worth_carried {
                self.rng.f64()
            } else {
                1.0
            },
        };
        self.tell(Event::Request(arrival));
    }

    /// How an attempt ends at its backend in this stage of the run.
    fn outcome(&mut self, backend: BackendId) -> Outcome {
        let bad = backend.is_multiple_of(7) && (self.now / 4000.0) as u64 % 2 == 1;
        match self.rng.u8(..if bad { 12 } else { 100 }) {
            0 | 1 => Outcome::Error,
            2 => Outcome::Full,
            3 => Outcome::ConnectFailed,
            4 => Outcome::Reset,
            5 => Outcome::Moot,
            _ => Outcome::Ok,
        }
    }

    fn resolve(&mut self, at: usize, outcome: Outcome) {
        let attempt = self.out.swap_remove(at);
        let open = self.open.get_mut(&attempt.request).expect("its request");
        let closed = open.ended || outcome == Outcome::Ok;
        open.ended = closed;
        if !closed && self.rng.u8(..3) == 0 {
            open.spare = open.spare.map(|s| s.saturating_sub(1));
        }
        let spare = open.spare;
        let ended = matches!(outcome, Outcome::Timeout | Outcome::Cancelled);
        if self.settings.caps.late_ends && ended {
            self.late.push((attempt.clone(), outcome));
        }
        let resolved = self.resolved(&attempt, outcome, closed, spare);
        self.tell(Event::Resolved(resolved));
    }

    fn resolved(
        &self,
        of: &Attempt,
        outcome: Outcome,
        closed: bool,
        spare: Option<u32>,
    ) -> Resolved {
        let (request, attempt, backend) = (of.request, of.number, of.backend);
        Resolved {
            request,
            attempt,
            backend,
            outcome,
            wait: self.now - of.sent,
            closed,
            spare,
        }
    }

    /// Moves the clock and delivers what is due: timers, time-outs, withdrawals.
    fn advance(&mut self) {
        let slow = (self.now / 3000.0) as u64 % 3 == 2;
        self.now += self.rng.f64() * if slow { 12.0 } else { 3.0 };
        while let Some(at) = self.timers.iter().position(|t| t.0 <= self.now) {
            let (_, token) = self.timers.remove(at);
            self.tell(Event::Wake { token });
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
                    ListKind::Full,
                    ListKind::Delta,
                    ListKind::Cached,
                    ListKind::Failed,
                ];
                match kinds[self.rng.usize(..kinds.len())] {
                    ListKind::Failed => {
                        self.tell(Event::List {
                            kind: ListKind::Failed,
                            entries: Vec::new(),
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
                    self.tell(Event::Hangup { request });
                }
            }
            4..=7 if !self.late.is_empty() => {
                let (attempt, outcome) = self.late.swap_remove(self.rng.usize(..self.late.len()));
                let outcome = if self.rng.bool() {
                    Outcome::Ok
                } else {
                    outcome
                };
                let resolved = self.resolved(&attempt, outcome, true, None);
                self.tell(Event::Late(resolved));
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
        self.list(ListKind::Cached);
        for _ in 0..EVENTS {
            self.step();
        }
        let load = self.balancer.load();
        self.digest.add_float(load.limit);
        self.digest.add_float(load.in_flight);
        for slice in &load.slices {
            self.digest.add_float(slice.limit);
            self.digest.add_float(slice.busy);
            self.digest.add(slice.held as u64);
        }
        for &request in self.open.keys() {
            self.digest.add_float(self.balancer.worth(request));
        }
        (self.digest.0, self.actions)
    }
}

fn class(aim: f64, points: f64, effect: Effect, in_order: bool) -> Class {
    Class {
        aim,
        points,
        effect,
        in_order,
    }
}

/// Several settings that between them reach every branch of the decisions.
fn settings() -> Vec<(&'static str, Settings)> {
    let dedup = |group| Effect::Dedup {
        group,
        window: 400.0,
    };
    let base = Settings {
        copy: 3,
        copies: 8,
        zone: 1,
        tick: 5.0,
        over_share_worth: 0.05,
        classes: vec![
            class(300.0, 4.0, Effect::Retryable, false),
            class(800.0, 1.0, dedup(Group::All), false),
            class(500.0, 2.0, Effect::Fragile, false),
        ],
        tenants: [40.0, 400.0, 4000.0]
            .map(|quota_per_s| Tenant { quota_per_s })
            .to_vec(),
        caps: Caps {
            cancelling: true,
            retry_after: true,
            max_retry_after: 2000.0,
            try_limit: 4,
            late_ends: false,
        },
        rules: Rules {
            cold_from: 0.12,
            cold: 5000.0,
            fall_multiple: 3.0,
            ask_within: 10_000.0,
            release_within: 500.0,
            settle_after_doubt: 300.0,
        },
        goal: Goal {
            worst_class: 0.2,
            cross_zone: 0.0,
        },
        ..Settings::default()
    };
    let ordered = Settings {
        classes: vec![
            class(400.0, 1.0, dedup(Group::Zone), true),
            class(400.0, 3.0, dedup(Group::Cell), true),
            class(250.0, 1.0, Effect::Fragile, true),
        ],
        goal: Goal {
            worst_class: 0.0,
            cross_zone: 0.2,
        },
        caps: Caps {
            late_ends: true,
            ..base.caps.clone()
        },
        ..base.clone()
    };
    let second_tier = Settings {
        tier: 1,
        worth_carried: true,
        tenants: Vec::new(),
        caps: Caps {
            late_ends: true,
            cancelling: false,
            retry_after: false,
            ..base.caps.clone()
        },
        ..base.clone()
    };
    let asking = Settings {
        copy: 0,
        copies: 1,
        must_ask: true,
        classes: vec![class(1000.0, 1.0, Effect::Retryable, false)],
        rules: Rules {
            release_within: 0.0,
            cold: 0.0,
            ..base.rules.clone()
        },
        goal: Goal {
            worst_class: 1.0,
            cross_zone: 0.05,
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
