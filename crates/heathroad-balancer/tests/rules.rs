//! The four rules as properties over seeded random event sequences, checked by the proxy's own
//! record.

mod common;

use common::*;
use heathroad_balancer::api::*;

const OUTCOMES: [Outcome; 7] = [
    Outcome::Success,
    Outcome::Success,
    Outcome::Error,
    Outcome::Rejected,
    Outcome::Timeout,
    Outcome::ConnectFailed,
    Outcome::Reset,
];

fn all_effects() -> Vec<Class> {
    let dedup = |group, window| Idempotency::Deduplicated {
        scope: group,
        window,
    };
    vec![
        class(400.0, 1.0, Idempotency::Idempotent),
        class(500.0, 5.0, Idempotency::NonIdempotent),
        class(600.0, 2.0, dedup(DeduplicationScope::All, 700.0)),
        class(400.0, 2.0, dedup(DeduplicationScope::Zone, 900.0)),
        class(500.0, 1.0, dedup(DeduplicationScope::Cell, 300.0)),
        Class {
            ordered_by_key: true,
            ..class(500.0, 3.0, dedup(DeduplicationScope::Zone, 800.0))
        },
        Class {
            ordered_by_key: true,
            ..class(700.0, 3.0, Idempotency::Idempotent)
        },
    ]
}

/// One random life of a copy: requests of every class, every outcome, a list that changes all the
/// time.
fn life(seed: u64, change: impl Fn(&mut Settings)) {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut s = settings(1 + rng.u32(..4), all_effects());
    s.tier = rng.u32(..3);
    s.tenants = vec![Tenant { quota_per_s: 50.0 }, Tenant { quota_per_s: 5.0 }];
    s.objectives.worst_class_weight = 0.3;
    change(&mut s);
    let place = |rng: &mut fastrand::Rng, mut e: Endpoint| {
        (e.zone, e.cell) = (rng.u16(..3), rng.u16(..4));
        e
    };
    let start: Vec<Endpoint> = entries(rng.u32(1..20))
        .into_iter()
        .map(|e| place(&mut rng, e))
        .collect();
    let mut p = Proxy::new(s, seed, start);
    for _ in 0..1500 {
        match rng.u32(..100) {
            0..40 => {
                let (class, left) = (rng.usize(..7), 1.0 + rng.f64().powi(2) * 1500.0);
                p.ask_for(rng.u64(..12), class, rng.u16(..3), left);
            }
            40..75 => {
                let out = p.out();
                if !out.is_empty() {
                    let (id, n, _) = out[rng.usize(..out.len())].clone();
                    p.resolve(id, n, OUTCOMES[rng.usize(..OUTCOMES.len())]);
                }
            }
            75..78 => {
                let open: Vec<_> = p
                    .asked
                    .iter()
                    .filter(|(_, a)| a.ended.is_none())
                    .map(|(&id, _)| id)
                    .collect();
                if !open.is_empty() {
                    p.hang_up(open[rng.usize(..open.len())]);
                }
            }
            78..84 => {
                let backend = rng.u32(1..25);
                let mut e = place(&mut rng, entry(backend));
                if let Some(known) = p.listed.get(&e.backend) {
                    (e.zone, e.cell) = (known.zone, known.cell);
                }
                e.state = [
                    EndpointState::Ready,
                    EndpointState::Ready,
                    EndpointState::Draining,
                    EndpointState::Removed,
                ][rng.usize(..4)];
                e.started_at = if rng.bool() {
                    0.0
                } else {
                    p.now - 500.0 * rng.f64()
                };
                p.list(UpdateKind::Delta, vec![e]);
            }
            84..85 => {
                let keep: Vec<Endpoint> = p
                    .listed
                    .values()
                    .filter(|e| e.state == EndpointState::Ready)
                    .cloned()
                    .collect();
                let mut keep: Vec<Endpoint> =
                    keep.into_iter().filter(|_| rng.u32(..5) > 0).collect();
                keep.sort_by_key(|e| e.backend);
                p.list(UpdateKind::Snapshot, keep);
            }
            85..86 => p.list(UpdateKind::Failed, vec![]),
            86..88 => {
                // Events about what was never there are passed over.
                p.tell(Event::ClientLeft { request: 1 << 50 });
                p.tell(Event::TimerFired { token: 999 });
                let (request, outcome) = (1 << 50, Outcome::Success);
                let stray = AttemptResult {
                    request,
                    attempt: 3,
                    backend: 77,
                    outcome,
                    elapsed: 1.0,
                    request_closed: true,
                    retries_left: None,
                };
                p.tell(Event::AttemptEnded(stray));
            }
            _ => {
                let to = p.now + rng.f64() * 60.0;
                p.advance(to);
            }
        }
    }
    p.advance(p.now + 5000.0);
    let open = p.asked.values().filter(|a| a.ended.is_none()).count();
    assert_eq!(open, 0, "seed {seed}: requests without a final answer");
    assert!(
        p.asked
            .values()
            .any(|a| a.ended.is_some_and(|e| e.1 == "served")),
        "seed {seed}: nothing served"
    );
}

#[test]
fn rules_hold_over_random_lives() {
    (0..60).for_each(|seed| life(seed, |_| {}));
}

#[test]
fn rules_hold_where_cancels_are_forbidden() {
    (100..140).for_each(|seed| {
        life(seed, |s| {
            (s.limits.cancellation, s.limits.max_attempts) = (false, 2)
        })
    });
}

#[test]
fn rules_hold_where_the_list_must_be_asked() {
    (200..230).for_each(|seed| life(seed, |s| s.polls_endpoints = true));
}

/// Guards against a copy whose hash order or clock leaks into its decisions.
#[test]
fn same_events_give_same_actions() {
    let run = || {
        let mut p = Proxy::new(settings(2, all_effects()), 7, entries(12));
        p.serve(3000.0, 2, 0, 80.0);
        for _ in 0..200 {
            p.ask(1, 0, 900.0);
        }
        p.advance(p.now + 2000.0);
        format!("{:?}", p.asked)
    };
    assert_eq!(run(), run());
}

/// A client's last try can have less time left than housekeeping takes to come round (seen on the
/// bench as a lost request): it is answered at once.
#[test]
fn a_try_with_hardly_any_time_left_is_answered_in_time() {
    let mut p = Proxy::new(settings(1, all_effects()), 1, vec![]);
    for left in [0.5, 5.0, 30.0, 60.0, 99.0, 101.0, 150.0] {
        p.ask(1, 0, left);
    }
    p.advance(p.now + 1000.0);
    assert!(
        p.asked
            .values()
            .all(|a| a.ended.is_some_and(|e| e.1 == "refused"))
    );
}

/// Every copy hears of one start at the same moment and sends all that its own budget allows:
/// together they stay under the multiple of the capacity surely reached, whatever the number of
/// copies.
#[test]
fn a_cold_backend_is_not_pushed_over_by_all_copies_together() {
    for copies in [2, 10, 40] {
        let n = 8;
        let fleet: Vec<Proxy> = (0..copies)
            .map(|copy| {
                let mut s = settings(copies, vec![class(2000.0, 1.0, Idempotency::Idempotent)]);
                s.replica_index = copy;
                let mut p = Proxy::new(s, u64::from(copy), entries(n));
                p.serve(6000.0, 2, 0, 250.0);
                p
            })
            .collect();
        let mut sends = Vec::new();
        for mut p in fleet {
            let started_at = p.now;
            p.list(
                UpdateKind::Delta,
                vec![Endpoint {
                    started_at,
                    ..entry(3)
                }],
            );
            for _ in 0..600 {
                p.ask(0, 0, 1e5);
                p.ask(0, 0, 1e5);
                p.advance(p.now + 5.0);
                for (id, attempt, s) in p.out() {
                    if s.backend == 3 && s.at >= started_at {
                        sends.push(s.at - started_at);
                    }
                    if p.now - s.at >= 250.0 || s.backend == 3 {
                        p.resolve(id, attempt, Outcome::Success);
                    }
                }
                p.forget();
            }
        }
        sends.sort_by(f64::total_cmp);
        // 400 requests a second a copy over 8 backends: a warm one bears at least this many a
        // second.
        let warm = 400.0 * f64::from(copies) / f64::from(n);
        for from in 0..2000 {
            let from = f64::from(from);
            let got = sends
                .iter()
                .filter(|&&t| t >= from && t < from + 1000.0)
                .count() as f64;
            let present = 0.12 + 0.88 * from / 20_000.0;
            assert!(
                got <= 3.0 * present * warm,
                "{copies} copies: {got} sends from {from} ms on"
            );
        }
        assert!(
            !sends.is_empty(),
            "{copies} copies: the cold backend gets its share"
        );
    }
}

/// A restarted copy knows its cold backends only from a cached list and has seen no rate yet.
#[test]
fn a_copy_without_history_spares_cold_backends() {
    let mut s = settings(10, vec![class(400.0, 1.0, Idempotency::Idempotent)]);
    s.replica_index = 4;
    let cold = entries(10)
        .into_iter()
        .map(|e| Endpoint {
            started_at: 900.0,
            ..e
        })
        .collect();
    let mut p = Proxy::new(s, 3, cold);
    for _ in 0..200 {
        p.ask(0, 0, 1000.0);
    }
    for b in 1..=10 {
        let sends = p.out().iter().filter(|(_, _, s)| s.backend == b).count();
        assert!(sends <= 1, "{sends} sends at once to a cold backend");
    }
}

fn ordered() -> Proxy {
    let effect = Idempotency::Deduplicated {
        scope: DeduplicationScope::Zone,
        window: 800.0,
    };
    Proxy::new(
        settings(
            1,
            vec![Class {
                ordered_by_key: true,
                ..class(1000.0, 1.0, effect)
            }],
        ),
        1,
        entries(6),
    )
}

/// Order: the next request of a key waits for the first to be over with all its attempts, then for
/// the rest after doubt, also where the client hung up; other keys and requests without one are
/// free meanwhile.
#[test]
fn one_key_runs_one_at_a_time_with_rest_after_doubt() {
    for (outcome, rest) in [
        (Outcome::Success, 0.0),
        (Outcome::Reset, 300.0),
        (Outcome::Timeout, 300.0),
    ] {
        let mut p = ordered();
        let [first, next, other, free] = [7, 7, 8, 0].map(|key| p.ask_for(key, 0, 0, 3000.0));
        let sends = |p: &Proxy, id| p.asked[&id].sends.len();
        assert_eq!(
            [first, next, other, free].map(|id| sends(&p, id)),
            [1, 0, 1, 1]
        );
        if rest > 0.0 {
            p.hang_up(first);
        }
        assert_eq!(
            sends(&p, next),
            0,
            "{outcome:?}: the first still has an attempt out"
        );
        p.resolve(first, 0, outcome);
        assert_eq!(sends(&p, next), usize::from(rest == 0.0), "{outcome:?}");
        p.advance(p.now + rest);
        p.advance(p.now + 100.0);
        assert_eq!(sends(&p, next), 1, "{outcome:?}: the key has rested");
    }
}

/// A popular key: those that wait for its turn hold no slot, are answered in time and keep nobody
/// else out.
#[test]
fn a_popular_key_keeps_nobody_out() {
    let mut p = ordered();
    let line: Vec<_> = (0..200).map(|_| p.ask_for(7, 0, 0, 3000.0)).collect();
    let free = p.ask_for(0, 0, 0, 3000.0);
    assert_eq!((p.out().len(), p.asked[&free].sends.len()), (2, 1));
    p.advance(p.now + 2500.0);
    assert!(
        line[1..]
            .iter()
            .all(|id| p.asked[id].ended.is_some_and(|e| e.1 == "refused"))
    );
}

/// Closing on drains: at the notice, and again after an outcome that comes later.
#[test]
fn idle_connections_to_a_draining_backend_are_closed() {
    let mut p = Proxy::new(
        settings(1, vec![class(1000.0, 1.0, Idempotency::NonIdempotent)]),
        1,
        entries(1),
    );
    let id = p.ask(0, 0, 3000.0);
    p.list(
        UpdateKind::Delta,
        vec![Endpoint {
            state: EndpointState::Draining,
            ..entry(1)
        }],
    );
    assert_eq!(p.closed.get(&1), Some(&p.now));
    p.advance(p.now + 400.0);
    p.resolve(id, 0, Outcome::Success);
    assert_eq!(
        p.closed.get(&1),
        Some(&p.now),
        "again after the last outcome"
    );
}
