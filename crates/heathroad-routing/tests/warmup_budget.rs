//! Pools that come and go and share a freshly started node: all together they keep to one cold
//! budget, decided by the real module of each and shared out by `count_sharing_pools`.

use heathroad_balancer::Balancer;
use heathroad_balancer::api::{
    Action, AttemptResult, BackendId, Class, Endpoint, Event, Guarantees, Idempotency, Objectives,
    Outcome, RequestArrival, Settings, SiteLimits, UpdateKind,
};
use heathroad_routing::backend_state::count_sharing_pools;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;

const STEP: f64 = 50.0;
const COLD: f64 = 9_000.0;
const SPAN: f64 = 1_000.0;
/// The cold node; warm ones have higher numbers.
const FRESH: BackendId = 1;
const WARM: u32 = 4;

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
            slow_start_floor: 0.1,
            slow_start_duration: COLD,
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
    nodes: BTreeSet<SocketAddr>,
    timers: Vec<(f64, u64)>,
    next: u64,
    out: Vec<(u64, u8, BackendId, f64)>,
}

impl Pool {
    /// A pool with four warm nodes of its own and the fresh one.
    fn new(number: u32, seed: u64, now: f64, started: f64) -> Pool {
        let balancer = Balancer::new(settings(), seed).expect("settings are sound");
        let own = (0..WARM).map(|n| 100 * (number + 1) + n);
        let mut entries = vec![Endpoint {
            backend: FRESH,
            weight: 1.0,
            started_at: started,
            ..Endpoint::default()
        }];
        entries.extend(own.map(|backend| Endpoint {
            backend,
            weight: 1.0,
            ..Endpoint::default()
        }));
        let nodes = entries.iter().map(|e| address(e.backend)).collect();
        let mut pool = Pool {
            balancer,
            nodes,
            timers: Vec::new(),
            next: 1,
            out: Vec::new(),
        };
        pool.tell(
            now,
            Event::EndpointUpdate {
                kind: UpdateKind::Snapshot,
                endpoints: entries,
            },
            &mut Vec::new(),
        );
        pool
    }

    fn tell(&mut self, now: f64, event: Event, sent: &mut Vec<BackendId>) {
        let (mut events, mut actions) = (VecDeque::from([event]), Vec::new());
        while let Some(event) = events.pop_front() {
            self.balancer.handle_event(now, event, &mut actions);
            for action in actions.drain(..) {
                match action {
                    Action::Send {
                        request, backend, ..
                    } => {
                        sent.push(backend);
                        let attempt = self.out.iter().filter(|o| o.0 == request).count() as u8;
                        self.out.push((request, attempt, backend, now));
                    }
                    Action::SetTimer { delay, token } => self.timers.push((now + delay, token)),
                    _ => {}
                }
            }
        }
    }

    /// A step: what was out is served, timers come due, requests come.
    fn step(&mut self, now: f64, requests: usize, sent: &mut Vec<BackendId>) {
        for (request, attempt, backend, at) in std::mem::take(&mut self.out) {
            let (outcome, wait, closed) = (Outcome::Success, now - at, true);
            let resolved = AttemptResult {
                request,
                attempt,
                backend,
                outcome,
                elapsed: wait,
                request_closed: closed,
                retries_left: None,
            };
            self.tell(now, Event::AttemptEnded(resolved), sent);
        }
        let (due, later) = std::mem::take(&mut self.timers)
            .into_iter()
            .partition(|(at, _)| *at <= now);
        self.timers = later;
        let due: Vec<(f64, u64)> = due;
        due.into_iter()
            .for_each(|(_, token)| self.tell(now, Event::TimerFired { token }, sent));
        for _ in 0..requests {
            let request = self.next;
            self.next += 1;
            let arrival = RequestArrival {
                request,
                key: 0,
                class: 0,
                tenant: 0,
                deadline: now + 2_000.0,
                retries_left: None,
                priority_share: 1.0,
            };
            self.tell(now, Event::RequestArrived(arrival), sent);
        }
    }
}

/// Random histories of one to four pools over a node's first seconds, some joining late and some
/// leaving. Over each second the node is sent less than its warmth allows beside what the busiest
/// warm node carries.
#[test]
fn pools_that_share_a_fresh_backend_keep_to_one_warmup_budget() {
    let (mut cold_sends, mut looks) = (0, 0);
    for seed in 0..200 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let started = 5_000.0;
        let rate = 10 + rng.usize(..20);
        let mut pools: Vec<Pool> = (0..4)
            .map(|n| Pool::new(n, seed + u64::from(n), 1_000.0, started))
            .collect();
        // When each joins and leaves; the first stays.
        let spans: Vec<(f64, f64)> = (0..4)
            .map(|n| {
                if n == 0 {
                    (0.0, 1e9)
                } else {
                    (rng.f64() * 8_000.0, 8_000.0 + rng.f64() * 8_000.0)
                }
            })
            .collect();
        let (mut now, mut sends) = (1_000.0, VecDeque::<(f64, BackendId)>::new());
        while now < started + COLD {
            let here = |n: usize| spans[n].0 <= now && now < spans[n].1;
            let named: Vec<BTreeSet<SocketAddr>> = (0..4)
                .filter(|n| here(*n))
                .map(|n| pools[n].nodes.clone())
                .collect();
            let mut parts = count_sharing_pools(&named).into_iter();
            for (n, pool) in pools.iter_mut().enumerate().filter(|(n, _)| here(*n)) {
                pool.balancer.share_slow_start_budget(
                    parts.next().unwrap_or_else(|| panic!("pool {n} is named")),
                );
                let mut sent = Vec::new();
                // It has grown used to its load before the node starts.
                pool.step(now, rate, &mut sent);
                sends.extend(
                    sent.into_iter()
                        .filter(|_| now >= started)
                        .map(|b| (now, b)),
                );
            }
            while sends.front().is_some_and(|(at, _)| *at <= now - SPAN) {
                sends.pop_front();
            }
            let mut by: BTreeMap<BackendId, usize> = BTreeMap::new();
            sends
                .iter()
                .for_each(|(_, b)| *by.entry(*b).or_default() += 1);
            let cold = by.remove(&FRESH).unwrap_or(0) as f64;
            let warm = by.values().copied().max().unwrap_or(0) as f64;
            let warmth = 0.1 + 0.9 * ((now - started) / COLD).clamp(0.0, 1.0);
            if now > started + SPAN && warm > 20.0 {
                // A pool's first call may come at once, whatever its part.
                let allowed = 0.8 * warmth * warm + named.len() as f64;
                assert!(
                    cold <= allowed,
                    "seed {seed}, {} ms after its start, {} pools: {cold} sent, {allowed:.1} allowed, busiest {warm}",
                    now - started,
                    named.len()
                );
                looks += 1;
                cold_sends += cold as usize;
            }
            now += STEP;
        }
    }
    assert!(
        cold_sends > 10_000 && looks > 10_000,
        "{cold_sends} {looks}"
    );
}
