//! Checks the rules that hold for all actions, over seeded random event sequences and in specific
//! scenarios. The test proxy checks each action.

mod common;

use common::*;
use heathroad_balancer::api::*;

/// The outcomes of random sequences; success is twice as likely as the others.
const OUTCOMES: [Outcome; 7] = [
    Outcome::Success,
    Outcome::Success,
    Outcome::Error,
    Outcome::Rejected,
    Outcome::Timeout,
    Outcome::ConnectFailed,
    Outcome::Reset,
];

/// Returns classes of every idempotency, with and without ordering by key.
fn all_classes() -> Vec<Class> {
    let deduplicated = |scope, window| Idempotency::Deduplicated { scope, window };
    vec![
        class(400.0, 1.0, Idempotency::Idempotent),
        class(500.0, 5.0, Idempotency::NonIdempotent),
        class(600.0, 2.0, deduplicated(DeduplicationScope::All, 700.0)),
        class(400.0, 2.0, deduplicated(DeduplicationScope::Zone, 900.0)),
        class(500.0, 1.0, deduplicated(DeduplicationScope::Cell, 300.0)),
        Class {
            ordered_by_key: true,
            ..class(500.0, 3.0, deduplicated(DeduplicationScope::Zone, 800.0))
        },
        Class {
            ordered_by_key: true,
            ..class(700.0, 3.0, Idempotency::Idempotent)
        },
    ]
}

/// Runs a random event sequence with requests of every class, every outcome and endpoint updates,
/// and checks that every request gets a final response.
fn run_random_events(seed: u64, change: impl Fn(&mut Settings)) {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut settings = settings(1 + rng.u32(..4), all_classes());
    settings.tier = rng.u32(..3);
    settings.tenants = vec![Tenant { quota_per_s: 50.0 }, Tenant { quota_per_s: 5.0 }];
    settings.objectives.worst_class_weight = 0.3;
    change(&mut settings);
    let with_random_location = |rng: &mut fastrand::Rng, mut endpoint: Endpoint| {
        (endpoint.zone, endpoint.cell) = (rng.u16(..3), rng.u16(..4));
        endpoint
    };
    let initial: Vec<Endpoint> = endpoints(rng.u32(1..20))
        .into_iter()
        .map(|e| with_random_location(&mut rng, e))
        .collect();
    let mut proxy = Proxy::new(settings, seed, initial);
    for _ in 0..1500 {
        match rng.u32(..100) {
            0..40 => {
                let (class, time_left) = (rng.usize(..7), 1.0 + rng.f64().powi(2) * 1500.0);
                proxy.request_with_key(rng.u64(..12), class, rng.u16(..3), time_left);
            }
            40..75 => {
                let in_flight = proxy.in_flight();
                if !in_flight.is_empty() {
                    let (id, number, _) = in_flight[rng.usize(..in_flight.len())].clone();
                    proxy.end_attempt(id, number, OUTCOMES[rng.usize(..OUTCOMES.len())]);
                }
            }
            75..78 => {
                let open: Vec<_> = proxy
                    .requests
                    .iter()
                    .filter(|(_, r)| r.end.is_none())
                    .map(|(&id, _)| id)
                    .collect();
                if !open.is_empty() {
                    proxy.disconnect_client(open[rng.usize(..open.len())]);
                }
            }
            78..84 => {
                let backend = rng.u32(1..25);
                let mut endpoint = with_random_location(&mut rng, endpoint(backend));
                if let Some(known) = proxy.endpoints.get(&endpoint.backend) {
                    (endpoint.zone, endpoint.cell) = (known.zone, known.cell);
                }
                endpoint.state = [
                    EndpointState::Ready,
                    EndpointState::Ready,
                    EndpointState::Draining,
                    EndpointState::Removed,
                ][rng.usize(..4)];
                endpoint.started_at = if rng.bool() {
                    0.0
                } else {
                    proxy.now - 500.0 * rng.f64()
                };
                proxy.update_endpoints(UpdateKind::Delta, vec![endpoint]);
            }
            84..85 => {
                let kept: Vec<Endpoint> = proxy
                    .endpoints
                    .values()
                    .filter(|e| e.state == EndpointState::Ready)
                    .cloned()
                    .collect();
                let mut kept: Vec<Endpoint> =
                    kept.into_iter().filter(|_| rng.u32(..5) > 0).collect();
                kept.sort_by_key(|e| e.backend);
                proxy.update_endpoints(UpdateKind::Snapshot, kept);
            }
            85..86 => proxy.update_endpoints(UpdateKind::Failed, vec![]),
            86..88 => {
                // Events about unknown requests and timers must be ignored.
                proxy.deliver(Event::ClientLeft { request: 1 << 50 });
                proxy.deliver(Event::TimerFired { token: 999 });
                let (request, outcome) = (1 << 50, Outcome::Success);
                let unknown = AttemptResult {
                    request,
                    attempt: 3,
                    backend: 77,
                    outcome,
                    elapsed: 1.0,
                    request_closed: true,
                    retries_left: None,
                };
                proxy.deliver(Event::AttemptEnded(unknown));
            }
            _ => {
                let time = proxy.now + rng.f64() * 60.0;
                proxy.advance_to(time);
            }
        }
    }
    proxy.advance_to(proxy.now + 5000.0);
    let open = proxy.requests.values().filter(|r| r.end.is_none()).count();
    assert_eq!(open, 0, "seed {seed}: requests without a final response");
    assert!(
        proxy
            .requests
            .values()
            .any(|r| r.end.is_some_and(|e| e.1 == "served")),
        "seed {seed}: no request was served"
    );
}

#[test]
fn rules_hold_over_random_events() {
    (0..60).for_each(|seed| run_random_events(seed, |_| {}));
}

#[test]
fn rules_hold_without_cancellation() {
    (100..140).for_each(|seed| {
        run_random_events(seed, |settings| {
            (settings.limits.cancellation, settings.limits.max_attempts) = (false, 2);
        });
    });
}

#[test]
fn rules_hold_with_polled_endpoints() {
    (200..230).for_each(|seed| run_random_events(seed, |settings| settings.polls_endpoints = true));
}

/// Guards against decisions that depend on a hash order or a clock.
#[test]
fn same_events_give_same_actions() {
    let run = || {
        let mut proxy = Proxy::new(settings(2, all_classes()), 7, endpoints(12));
        proxy.serve(3000.0, 2, 0, 80.0);
        for _ in 0..200 {
            proxy.request(1, 0, 900.0);
        }
        proxy.advance_to(proxy.now + 2000.0);
        format!("{:?}", proxy.requests)
    };
    assert_eq!(run(), run());
}

/// Guards against a request that gets no response because its deadline is before the next
/// maintenance.
#[test]
fn requests_with_short_deadlines_are_rejected_in_time() {
    let mut proxy = Proxy::new(settings(1, all_classes()), 1, vec![]);
    for time_left in [0.5, 5.0, 30.0, 60.0, 99.0, 101.0, 150.0] {
        proxy.request(1, 0, time_left);
    }
    proxy.advance_to(proxy.now + 1000.0);
    assert!(
        proxy
            .requests
            .values()
            .all(|r| r.end.is_some_and(|e| e.1 == "rejected"))
    );
}

/// Guards against replicas that together overload a backend in slow start.
#[test]
fn all_replicas_together_do_not_overload_a_started_backend() {
    for replicas in [2, 10, 40] {
        let backends = 8;
        let proxies: Vec<Proxy> = (0..replicas)
            .map(|replica_index| {
                let mut settings =
                    settings(replicas, vec![class(2000.0, 1.0, Idempotency::Idempotent)]);
                settings.replica_index = replica_index;
                let mut proxy = Proxy::new(settings, u64::from(replica_index), endpoints(backends));
                proxy.serve(6000.0, 2, 0, 250.0);
                proxy
            })
            .collect();
        let mut sends = Vec::new();
        for mut proxy in proxies {
            let started_at = proxy.now;
            proxy.update_endpoints(
                UpdateKind::Delta,
                vec![Endpoint {
                    started_at,
                    ..endpoint(3)
                }],
            );
            for _ in 0..600 {
                proxy.request(0, 0, 1e5);
                proxy.request(0, 0, 1e5);
                proxy.advance_to(proxy.now + 5.0);
                for (id, number, attempt) in proxy.in_flight() {
                    if attempt.backend == 3 && attempt.sent_at >= started_at {
                        sends.push(attempt.sent_at - started_at);
                    }
                    if proxy.now - attempt.sent_at >= 250.0 || attempt.backend == 3 {
                        proxy.end_attempt(id, number, Outcome::Success);
                    }
                }
                proxy.remove_finished();
            }
        }
        sends.sort_by(f64::total_cmp);
        // Each replica sends 400 requests per second, which shows that a warm backend has at least
        // this capacity per second.
        let warm_capacity = 400.0 * f64::from(replicas) / f64::from(backends);
        for from in 0..2000 {
            let from = f64::from(from);
            let sent = sends
                .iter()
                .filter(|&&t| t >= from && t < from + 1000.0)
                .count() as f64;
            let capacity_share = 0.12 + 0.88 * from / 20_000.0;
            assert!(
                sent <= 3.0 * capacity_share * warm_capacity,
                "{replicas} replicas: {sent} attempts within 1 s from {from} ms on"
            );
        }
        assert!(
            !sends.is_empty(),
            "{replicas} replicas: the started backend gets no attempts"
        );
    }
}

/// Guards against a restarted replica, which has learned no throughput yet, that sends a burst to
/// backends in slow start.
#[test]
fn new_replica_spares_backends_in_slow_start() {
    let mut settings = settings(10, vec![class(400.0, 1.0, Idempotency::Idempotent)]);
    settings.replica_index = 4;
    let started = endpoints(10)
        .into_iter()
        .map(|e| Endpoint {
            started_at: 900.0,
            ..e
        })
        .collect();
    let mut proxy = Proxy::new(settings, 3, started);
    for _ in 0..200 {
        proxy.request(0, 0, 1000.0);
    }
    for backend in 1..=10 {
        let sent = proxy
            .in_flight()
            .iter()
            .filter(|(_, _, attempt)| attempt.backend == backend)
            .count();
        assert!(
            sent <= 1,
            "{sent} attempts at once to a backend in slow start"
        );
    }
}

/// A replica with one ordered class and six backends.
fn ordered() -> Proxy {
    let idempotency = Idempotency::Deduplicated {
        scope: DeduplicationScope::Zone,
        window: 800.0,
    };
    Proxy::new(
        settings(
            1,
            vec![Class {
                ordered_by_key: true,
                ..class(1000.0, 1.0, idempotency)
            }],
        ),
        1,
        endpoints(6),
    )
}

/// The next request of a key is sent only when the first one has ended, has no attempt in flight
/// and, after an unknown outcome, the delay has passed, even if its client has left. Other keys and
/// requests without a key are not affected.
#[test]
fn requests_of_a_key_are_executed_one_at_a_time() {
    for (outcome, delay) in [
        (Outcome::Success, 0.0),
        (Outcome::Reset, 300.0),
        (Outcome::Timeout, 300.0),
    ] {
        let mut proxy = ordered();
        let [first, next, other_key, no_key] =
            [7, 7, 8, 0].map(|key| proxy.request_with_key(key, 0, 0, 3000.0));
        let attempts = |proxy: &Proxy, id| proxy.requests[&id].attempts.len();
        assert_eq!(
            [first, next, other_key, no_key].map(|id| attempts(&proxy, id)),
            [1, 0, 1, 1]
        );
        if delay > 0.0 {
            proxy.disconnect_client(first);
        }
        assert_eq!(
            attempts(&proxy, next),
            0,
            "{outcome:?}: sent while the first request has an attempt in flight"
        );
        proxy.end_attempt(first, 0, outcome);
        assert_eq!(
            attempts(&proxy, next),
            usize::from(delay == 0.0),
            "{outcome:?}"
        );
        proxy.advance_to(proxy.now + delay);
        proxy.advance_to(proxy.now + 100.0);
        assert_eq!(
            attempts(&proxy, next),
            1,
            "{outcome:?}: not sent after the delay"
        );
    }
}

/// Guards against requests waiting for their key that block other requests or get no response in
/// time.
#[test]
fn requests_waiting_for_a_key_block_no_others() {
    let mut proxy = ordered();
    let same_key: Vec<_> = (0..200)
        .map(|_| proxy.request_with_key(7, 0, 0, 3000.0))
        .collect();
    let no_key = proxy.request_with_key(0, 0, 0, 3000.0);
    assert_eq!(
        (
            proxy.in_flight().len(),
            proxy.requests[&no_key].attempts.len()
        ),
        (2, 1)
    );
    proxy.advance_to(proxy.now + 2500.0);
    assert!(
        same_key[1..]
            .iter()
            .all(|id| proxy.requests[id].end.is_some_and(|e| e.1 == "rejected"))
    );
}

/// Idle connections are closed when a backend starts to drain, and again after a later outcome.
#[test]
fn idle_connections_to_a_draining_backend_are_closed() {
    let mut proxy = Proxy::new(
        settings(1, vec![class(1000.0, 1.0, Idempotency::NonIdempotent)]),
        1,
        endpoints(1),
    );
    let id = proxy.request(0, 0, 3000.0);
    proxy.update_endpoints(
        UpdateKind::Delta,
        vec![Endpoint {
            state: EndpointState::Draining,
            ..endpoint(1)
        }],
    );
    assert_eq!(proxy.idle_closed_at.get(&1), Some(&proxy.now));
    proxy.advance_to(proxy.now + 400.0);
    proxy.end_attempt(id, 0, Outcome::Success);
    assert_eq!(
        proxy.idle_closed_at.get(&1),
        Some(&proxy.now),
        "not closed after the last outcome"
    );
}
