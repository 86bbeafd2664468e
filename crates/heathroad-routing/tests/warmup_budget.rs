//! Pools that share a freshly started backend together stay within its warm-up budget. Each pool has
//! its own balancer, and `count_sharing_pools` divides the budget.

use heathroad_balancer::Balancer;
use heathroad_balancer::api::{
    Action, AttemptResult, BackendId, Class, Endpoint, Event, Guarantees, Idempotency, Objectives,
    Outcome, RequestArrival, Settings, SiteLimits, UpdateKind,
};
use heathroad_routing::backend_state::count_sharing_pools;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;

const STEP_MS: f64 = 50.0;
const SLOW_START_MS: f64 = 9_000.0;
const SLOW_START_FLOOR: f64 = 0.1;
/// The period over which requests are counted.
const WINDOW_MS: f64 = 1_000.0;
/// The backend that all pools share, which starts during the test.
const SHARED: BackendId = 1;
/// The number of warm backends of each pool.
const WARM_BACKENDS: u32 = 4;

fn settings() -> Settings {
    Settings {
        replica_count: 1,
        tick: 5.0,
        over_quota_priority: 0.05,
        classes: vec![Class {
            latency_objective: 1000.0,
            priority_weight: 1.0,
            idempotency: Idempotency::Idempotent,
            ordered_by_key: false,
        }],
        limits: SiteLimits {
            cancellation: true,
            max_attempts: 3,
            ..SiteLimits::default()
        },
        guarantees: Guarantees {
            slow_start_floor: SLOW_START_FLOOR,
            slow_start_duration: SLOW_START_MS,
            overload_multiple: 3.0,
            ..Guarantees::default()
        },
        objectives: Objectives::default(),
        ..Settings::default()
    }
}

fn address(n: BackendId) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], n as u16))
}

struct Pool {
    balancer: Balancer,
    backends: BTreeSet<SocketAddr>,
    /// The time and token of each timer.
    timers: Vec<(f64, u64)>,
    next_request: u64,
    /// The request, number, backend and start time of each open attempt.
    attempts: Vec<(u64, u8, BackendId, f64)>,
}

impl Pool {
    /// Creates a pool with warm backends of its own and the shared backend.
    fn new(number: u32, seed: u64, now: f64, shared_start: f64) -> Pool {
        let balancer = Balancer::new(settings(), seed).expect("valid settings");
        let own = (0..WARM_BACKENDS).map(|n| 100 * (number + 1) + n);
        let mut endpoints = vec![Endpoint {
            backend: SHARED,
            weight: 1.0,
            started_at: shared_start,
            ..Endpoint::default()
        }];
        endpoints.extend(own.map(|backend| Endpoint {
            backend,
            weight: 1.0,
            ..Endpoint::default()
        }));
        let backends = endpoints.iter().map(|e| address(e.backend)).collect();
        let mut pool = Pool {
            balancer,
            backends,
            timers: Vec::new(),
            next_request: 1,
            attempts: Vec::new(),
        };
        pool.handle_event(
            now,
            Event::EndpointUpdate {
                kind: UpdateKind::Snapshot,
                endpoints,
            },
            &mut Vec::new(),
        );
        pool
    }

    /// Handles an event, and adds the backends that attempts are sent to.
    fn handle_event(&mut self, now: f64, event: Event, sent: &mut Vec<BackendId>) {
        let (mut events, mut actions) = (VecDeque::from([event]), Vec::new());
        while let Some(event) = events.pop_front() {
            self.balancer.handle_event(now, event, &mut actions);
            for action in actions.drain(..) {
                match action {
                    Action::Send {
                        request, backend, ..
                    } => {
                        sent.push(backend);
                        let attempt = self.attempts.iter().filter(|a| a.0 == request).count() as u8;
                        self.attempts.push((request, attempt, backend, now));
                    }
                    Action::SetTimer { delay, token } => self.timers.push((now + delay, token)),
                    _ => {}
                }
            }
        }
    }

    /// Advances by one step: open attempts succeed, due timers fire and new requests arrive.
    fn step(&mut self, now: f64, requests: usize, sent: &mut Vec<BackendId>) {
        for (request, attempt, backend, sent_at) in std::mem::take(&mut self.attempts) {
            let result = AttemptResult {
                request,
                attempt,
                backend,
                outcome: Outcome::Success,
                elapsed: now - sent_at,
                request_closed: true,
                retries_left: None,
            };
            self.handle_event(now, Event::AttemptEnded(result), sent);
        }
        let (due, later) = std::mem::take(&mut self.timers)
            .into_iter()
            .partition(|(at, _)| *at <= now);
        self.timers = later;
        let due: Vec<(f64, u64)> = due;
        due.into_iter()
            .for_each(|(_, token)| self.handle_event(now, Event::TimerFired { token }, sent));
        for _ in 0..requests {
            let request = self.next_request;
            self.next_request += 1;
            let arrival = RequestArrival {
                request,
                key: 0,
                class: 0,
                tenant: 0,
                deadline: now + 2_000.0,
                retries_left: None,
                priority_share: 1.0,
            };
            self.handle_event(now, Event::RequestArrived(arrival), sent);
        }
    }
}

/// Random schedules of one to four pools, some of which are added or removed during the slow start.
/// In each window, the shared backend may receive only a fraction of the requests of the busiest
/// warm backend, which grows during the slow start.
#[test]
fn pools_that_share_a_fresh_backend_keep_to_one_warmup_budget() {
    let (mut shared_sends, mut checks) = (0, 0);
    for seed in 0..200 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let shared_start = 5_000.0;
        let rate = 10 + rng.usize(..20);
        let mut pools: Vec<Pool> = (0..4)
            .map(|n| Pool::new(n, seed + u64::from(n), 1_000.0, shared_start))
            .collect();
        // When each pool is added and removed; the first one stays.
        let lifetimes: Vec<(f64, f64)> = (0..4)
            .map(|n| {
                if n == 0 {
                    (0.0, 1e9)
                } else {
                    (rng.f64() * 8_000.0, 8_000.0 + rng.f64() * 8_000.0)
                }
            })
            .collect();
        let (mut now, mut sends) = (1_000.0, VecDeque::<(f64, BackendId)>::new());
        while now < shared_start + SLOW_START_MS {
            let is_active = |n: usize| lifetimes[n].0 <= now && now < lifetimes[n].1;
            let active: Vec<BTreeSet<SocketAddr>> = (0..4)
                .filter(|n| is_active(*n))
                .map(|n| pools[n].backends.clone())
                .collect();
            let mut sharing_pools = count_sharing_pools(&active).into_iter();
            for (n, pool) in pools.iter_mut().enumerate().filter(|(n, _)| is_active(*n)) {
                pool.balancer.share_slow_start_budget(
                    sharing_pools
                        .next()
                        .unwrap_or_else(|| panic!("pool {n} is not counted")),
                );
                let mut sent = Vec::new();
                // The load is steady before the shared backend starts.
                pool.step(now, rate, &mut sent);
                sends.extend(
                    sent.into_iter()
                        .filter(|_| now >= shared_start)
                        .map(|backend| (now, backend)),
                );
            }
            while sends.front().is_some_and(|(at, _)| *at <= now - WINDOW_MS) {
                sends.pop_front();
            }
            let mut sends_by_backend: BTreeMap<BackendId, usize> = BTreeMap::new();
            sends
                .iter()
                .for_each(|(_, backend)| *sends_by_backend.entry(*backend).or_default() += 1);
            let shared = sends_by_backend.remove(&SHARED).unwrap_or(0) as f64;
            let busiest = sends_by_backend.values().copied().max().unwrap_or(0) as f64;
            let progress = ((now - shared_start) / SLOW_START_MS).clamp(0.0, 1.0);
            let fraction = SLOW_START_FLOOR + (1.0 - SLOW_START_FLOOR) * progress;
            if now > shared_start + WINDOW_MS && busiest > 20.0 {
                // Each pool may send its first request immediately.
                let allowed = 0.8 * fraction * busiest + active.len() as f64;
                assert!(
                    shared <= allowed,
                    "seed {seed}, {} ms after the start, {} pools: {shared} sent, {allowed:.1} allowed, {busiest} to the busiest",
                    now - shared_start,
                    active.len()
                );
                checks += 1;
                shared_sends += shared as usize;
            }
            now += STEP_MS;
        }
    }
    assert!(
        shared_sends > 10_000 && checks > 10_000,
        "{shared_sends} sends, {checks} checks"
    );
}
