//! The balancer's decisions under load, overload and failures.

mod common;

use common::*;
use heathroad_balancer::Balancer;
use heathroad_balancer::api::*;
use std::collections::{BTreeMap, BTreeSet};

/// Settings with one idempotent class.
fn one_class(replicas: u32) -> Settings {
    settings(replicas, vec![class(1000.0, 1.0, Idempotency::Idempotent)])
}

/// Delivers `requests` requests at once; returns the number of attempts in flight.
fn saturate(proxy: &mut Proxy, class: usize, tenant: u16, requests: usize) -> usize {
    (0..requests).for_each(|_| {
        proxy.request(class, tenant, 1e5);
    });
    proxy.in_flight().len()
}

fn attempts_by_backend(proxy: &Proxy) -> BTreeMap<BackendId, usize> {
    let mut attempts = BTreeMap::new();
    proxy
        .requests
        .values()
        .flat_map(|r| &r.attempts)
        .for_each(|attempt| *attempts.entry(attempt.backend).or_default() += 1);
    attempts
}

#[test]
fn limit_grows_while_saturated_with_fast_responses() {
    let mut proxy = Proxy::new(one_class(1), 1, endpoints(10));
    let initial = saturate(&mut proxy, 0, 0, 400);
    assert!(
        initial >= 30,
        "the initial limit is too low for ten idle backends: {initial}"
    );
    for _ in 0..200 {
        proxy.advance_to(proxy.now + 50.0);
        proxy
            .in_flight()
            .into_iter()
            .for_each(|(id, number, _)| proxy.end_attempt(id, number, Outcome::Success));
        proxy.remove_finished();
        saturate(&mut proxy, 0, 0, 400);
    }
    let grown = proxy.in_flight().len();
    assert!(
        grown >= 4 * initial,
        "{initial} attempts in flight initially, {grown} after 10 s of fast responses"
    );
}

/// Guards against a limit that grows without load.
#[test]
fn limit_does_not_grow_while_unsaturated() {
    let mut proxy = Proxy::new(one_class(1), 1, endpoints(10));
    let initial = saturate(&mut Proxy::new(one_class(1), 1, endpoints(10)), 0, 0, 400);
    proxy.serve(10_000.0, 1, 0, 10.0);
    let after = saturate(&mut proxy, 0, 0, 400);
    assert!(
        after <= initial + 1,
        "{initial} attempts in flight initially, {after} after low load"
    );
}

/// Guards against a limit that a rolling restart of the backends reduces.
#[test]
fn limit_is_restored_when_backends_leave_and_return() {
    let initial = saturate(&mut Proxy::new(one_class(1), 1, endpoints(10)), 0, 0, 400);
    let mut proxy = Proxy::new(one_class(1), 1, endpoints(10));
    for removed in 1..=10 {
        let remaining: Vec<Endpoint> = endpoints(10)
            .into_iter()
            .filter(|e| e.backend != removed)
            .collect();
        proxy.update_endpoints(UpdateKind::Snapshot, remaining);
        proxy.update_endpoints(UpdateKind::Snapshot, endpoints(10));
    }
    assert_eq!(saturate(&mut proxy, 0, 0, 400), initial);
}

#[test]
fn limit_falls_on_slow_responses_and_on_drops() {
    for (latency, outcome) in [(900.0, Outcome::Success), (60.0, Outcome::Rejected)] {
        let mut proxy = Proxy::new(one_class(1), 1, endpoints(10));
        proxy.serve(3000.0, 4, 0, 40.0);
        let before = saturate(&mut proxy, 0, 0, 400);
        for _ in 0..12 {
            proxy.advance_to(proxy.now + latency);
            for (i, (id, number, _)) in proxy.in_flight().into_iter().enumerate() {
                proxy.end_attempt(
                    id,
                    number,
                    if i % 3 == 0 {
                        outcome
                    } else {
                        Outcome::Success
                    },
                );
            }
            proxy.remove_finished();
            saturate(&mut proxy, 0, 0, 400);
        }
        let after = proxy.in_flight().len();
        assert!(
            after < before * 3 / 4,
            "{outcome:?}: {before} attempts in flight before, {after} after"
        );
    }
}

/// Guards against a limit that grows on the first, fast responses while most attempts are still in
/// flight.
#[test]
fn limit_does_not_grow_on_a_few_fast_responses() {
    let mut proxy = Proxy::new(one_class(1), 1, endpoints(10));
    let initial = saturate(&mut proxy, 0, 0, 400);
    for _ in 0..40 {
        proxy.advance_to(proxy.now + 50.0);
        // Only the newest attempt gets a response.
        if let Some((id, number, _)) = proxy.in_flight().pop() {
            proxy.end_attempt(id, number, Outcome::Success);
        }
    }
    let after = saturate(&mut proxy, 0, 0, 400);
    assert!(
        after <= initial + 1,
        "{initial} attempts in flight initially, {after} after a few fast responses"
    );
}

/// Guards against a limit that stays high after the tier shrinks, until latency rises.
#[test]
fn limit_shrinks_with_the_endpoint_list() {
    let attempts_in_flight = |shrinks: bool| {
        let mut proxy = Proxy::new(one_class(1), 1, endpoints(20));
        if shrinks {
            proxy.update_endpoints(UpdateKind::Snapshot, endpoints(5));
        }
        saturate(&mut proxy, 0, 0, 400)
    };
    let (full, shrunk) = (attempts_in_flight(false), attempts_in_flight(true));
    assert!(
        shrunk * 3 <= full,
        "{full} attempts in flight with 20 backends, {shrunk} with the remaining 5"
    );
}

#[test]
fn low_priority_is_rejected_first_and_keeps_its_slice() {
    let classes = vec![
        class(1000.0, 9.0, Idempotency::Idempotent),
        class(1000.0, 1.0, Idempotency::Idempotent),
    ];
    let mut proxy = Proxy::new(settings(1, classes), 1, endpoints(10));
    let total = saturate(&mut proxy, 1, 0, 400);
    let high = saturate(&mut proxy, 0, 0, 400) - total;
    // With the total limit reached, the slice of share 0.9 still fills up to its own limit; the
    // slice of share 0.1 is beyond its limit.
    assert_eq!(high, (total as f64 * 0.9).ceil() as usize);
    assert_eq!(saturate(&mut proxy, 1, 0, 50), total + high);
    // High-priority load can't use up the low-priority slice either.
    proxy.advance_to(proxy.now + 1000.0);
    proxy
        .in_flight()
        .into_iter()
        .for_each(|(id, number, _)| proxy.end_attempt(id, number, Outcome::Success));
    proxy.remove_finished();
    let high = saturate(&mut proxy, 0, 0, 400);
    assert_eq!(
        saturate(&mut proxy, 1, 0, 400) - high,
        (high as f64 * 0.1).ceil() as usize
    );
}

/// A tenant over its quota is demoted, not rejected: it is served from spare capacity.
#[test]
fn tenant_over_quota_uses_only_spare_capacity() {
    let mut settings = one_class(1);
    settings.tenants = vec![Tenant { quota_per_s: 10.0 }, Tenant { quota_per_s: 10.0 }];
    let mut proxy = Proxy::new(settings.clone(), 1, endpoints(10));
    let total = saturate(&mut proxy, 0, 0, 400);
    assert!(total >= 20, "spare capacity is not used: {total}");
    assert_eq!(
        saturate(&mut proxy, 0, 1, 9),
        total + 9,
        "a tenant within its quota is not served"
    );
    // Quotas apply only at the tier that clients call.
    settings.tier = 1;
    let mut proxy = Proxy::new(settings, 1, endpoints(10));
    let in_flight = saturate(&mut proxy, 0, 0, 400);
    assert_eq!(saturate(&mut proxy, 0, 1, 9), in_flight);
}

#[test]
fn queued_requests_are_sent_by_priority_and_rejected_in_time() {
    let classes = vec![
        class(1000.0, 9.0, Idempotency::NonIdempotent),
        class(1000.0, 1.0, Idempotency::NonIdempotent),
    ];
    let mut proxy = Proxy::new(settings(1, classes), 1, endpoints(5));
    let in_flight = saturate(&mut proxy, 1, 0, 24); // uses the total limit and queues 4
    let low: Vec<_> = proxy
        .requests
        .iter()
        .filter(|(_, r)| r.attempts.is_empty())
        .map(|(&id, _)| id)
        .collect();
    assert_eq!((in_flight, low.len()), (20, 4));
    saturate(&mut proxy, 0, 0, 20); // fills its own slice beyond the total limit
    let high = *proxy
        .requests
        .iter()
        .find(|(_, r)| r.class == 0 && r.attempts.is_empty())
        .expect("a queued high-priority request")
        .0;
    proxy.advance_to(proxy.now + 20.0);
    let (id, number, _) = proxy.in_flight().pop().expect("a high-priority attempt");
    proxy.end_attempt(id, number, Outcome::Success);
    assert_eq!(
        proxy.requests[&high].attempts.len(),
        1,
        "free capacity does not go to the highest priority"
    );
    assert!(
        low.iter().all(|id| proxy.requests[id].attempts.is_empty()),
        "an older low-priority request was sent first"
    );
    proxy.advance_to(proxy.now + 300.0);
    assert!(
        low.iter()
            .all(|id| proxy.requests[id].end.is_some_and(|e| e.1 == "rejected")),
        "queued requests were not rejected in time"
    );
}

/// Every backend is in the subset of some replica, and at low load no replica uses the whole tier.
#[test]
fn subsets_cover_the_tier() {
    for (replicas, backends) in [(10, 60), (40, 100), (3, 30)] {
        let mut used_by: BTreeMap<BackendId, usize> = BTreeMap::new();
        for replica_index in 0..replicas {
            let mut proxy = Proxy::new(
                Settings {
                    replica_index,
                    ..one_class(replicas)
                },
                1,
                endpoints(backends),
            );
            for _ in 0..400 {
                let id = proxy.request(0, 0, 1e5);
                proxy.advance_to(proxy.now + 5.0);
                proxy.end_attempt(id, 0, Outcome::Success);
            }
            let used = attempts_by_backend(&proxy);
            assert!(
                replicas < 4 || used.len() * 2 < backends as usize,
                "replica {replica_index} of {replicas} used {} backends",
                used.len()
            );
            used.keys()
                .for_each(|&b| *used_by.entry(b).or_default() += 1);
        }
        assert_eq!(
            used_by.len(),
            backends as usize,
            "{replicas} replicas don't cover all backends"
        );
    }
}

#[test]
fn subset_widens_with_load_and_narrows_slowly() {
    let backends_used = |proxy: &mut Proxy, duration: f64| {
        let mut used = BTreeSet::new();
        for _ in 0..(duration / 50.0) as usize {
            proxy.request(0, 0, 1e5);
            used.extend(proxy.in_flight().iter().map(|a| a.2.backend));
            proxy.advance_to(proxy.now + 50.0);
            proxy
                .in_flight()
                .into_iter()
                .for_each(|(id, number, _)| proxy.end_attempt(id, number, Outcome::Success));
            proxy.remove_finished();
        }
        used.len()
    };
    let mut proxy = Proxy::new(one_class(40), 1, endpoints(80));
    let before = backends_used(&mut proxy, 20_000.0);
    proxy.serve(6000.0, 6, 0, 200.0);
    let after = backends_used(&mut proxy, 10_000.0);
    assert!(
        after > 2 * before,
        "{before} backends before a load peak, {after} after it"
    );
    backends_used(&mut proxy, 120_000.0);
    let later = backends_used(&mut proxy, 20_000.0);
    assert!(
        later < after,
        "{after} backends after a load peak, {later} two minutes later"
    );
}

#[test]
fn faster_backends_get_more_attempts() {
    let mut proxy = Proxy::new(one_class(1), 1, endpoints(10));
    let mut responses: BTreeMap<bool, usize> = BTreeMap::new();
    for _ in 0..4000 {
        proxy.request(0, 0, 1e5);
        proxy.advance_to(proxy.now + 5.0);
        for (id, number, attempt) in proxy.in_flight() {
            let is_slow = attempt.backend <= 5;
            if proxy.now - attempt.sent_at >= if is_slow { 120.0 } else { 40.0 } {
                *responses.entry(is_slow).or_default() += 1;
                proxy.end_attempt(id, number, Outcome::Success);
            }
        }
        proxy.remove_finished();
    }
    assert!(
        responses[&false] > 2 * responses[&true],
        "responses by whether the backend is slow: {responses:?}"
    );
}

/// Runs one request every 5 ms; `outcome` returns how an attempt ends now, if it does. Returns the
/// number of attempts sent to each backend.
fn run(
    proxy: &mut Proxy,
    duration: f64,
    outcome: impl Fn(&SentAttempt, f64) -> Option<Outcome>,
) -> BTreeMap<BackendId, usize> {
    let (end, mut sent) = (proxy.now + duration, BTreeMap::new());
    while proxy.now < end {
        proxy.request(0, 0, 4000.0);
        let tick_start = proxy.now;
        proxy.advance_to(tick_start + 5.0);
        for (id, number, attempt) in proxy.in_flight() {
            if attempt.sent_at >= tick_start {
                *sent.entry(attempt.backend).or_default() += 1;
            }
            if let Some(outcome) = outcome(&attempt, proxy.now) {
                proxy.end_attempt(id, number, outcome);
            }
        }
        proxy.remove_finished();
    }
    sent
}

/// The outcome at a healthy backend: success after 50 ms.
fn healthy(attempt: &SentAttempt, now: f64) -> Option<Outcome> {
    (now - attempt.sent_at >= 50.0).then_some(Outcome::Success)
}

/// Guards against attempts that occupy a hung backend until they time out.
#[test]
fn hung_backend_is_ejected_and_returns() {
    let mut proxy = Proxy::new(one_class(1), 1, endpoints(8));
    run(&mut proxy, 3000.0, healthy);
    run(&mut proxy, 3000.0, |attempt, now| {
        if attempt.backend == 2 {
            None
        } else {
            healthy(attempt, now)
        }
    });
    let stuck = proxy
        .in_flight()
        .iter()
        .filter(|(_, _, attempt)| attempt.backend == 2)
        .count();
    let sent = run(&mut proxy, 2000.0, |attempt, now| {
        if attempt.backend == 2 {
            None
        } else {
            healthy(attempt, now)
        }
    });
    assert!(
        sent.get(&2).copied().unwrap_or(0) <= 3,
        "sent to a hung backend: {sent:?}, {stuck} attempts in flight there"
    );
    run(&mut proxy, 30_000.0, healthy);
    let returned = run(&mut proxy, 3000.0, healthy);
    assert!(
        returned.get(&2).copied().unwrap_or(0) > 20,
        "backend 2 has not returned to service: {returned:?}"
    );
}

#[test]
fn failing_backend_is_ejected_and_returns() {
    let failing = |attempt: &SentAttempt, now: f64| {
        if attempt.backend == 2 {
            Some(Outcome::Error)
        } else {
            healthy(attempt, now)
        }
    };
    let mut proxy = Proxy::new(one_class(1), 1, endpoints(8));
    run(&mut proxy, 3000.0, healthy);
    run(&mut proxy, 1000.0, failing);
    let sent = run(&mut proxy, 2000.0, failing);
    assert!(
        sent.get(&2).copied().unwrap_or(0) <= 3,
        "sent to a failing backend: {sent:?}"
    );
    run(&mut proxy, 30_000.0, healthy);
    let returned = run(&mut proxy, 3000.0, healthy);
    assert!(
        returned.get(&2).copied().unwrap_or(0) > 20,
        "backend 2 has not returned to service: {returned:?}"
    );
}

/// Guards against the ejection of backends for a failure that all of them share.
#[test]
fn errors_of_all_backends_eject_none() {
    let mut proxy = Proxy::new(one_class(1), 1, endpoints(8));
    run(&mut proxy, 3000.0, healthy);
    let failing = |attempt: &SentAttempt, now: f64| healthy(attempt, now).map(|_| Outcome::Error);
    run(&mut proxy, 4000.0, failing);
    let sent = run(&mut proxy, 4000.0, failing);
    assert!(sent.len() >= 7, "backends still in service: {sent:?}");
}

/// Guards against an ejection threshold that the failing backends raise out of reach, and against
/// connect failures that reduce the limit.
#[test]
fn unreachable_third_of_the_backends_is_ejected() {
    let mut proxy = Proxy::new(one_class(1), 1, endpoints(9));
    run(&mut proxy, 3000.0, healthy);
    let unreachable = |attempt: &SentAttempt, now: f64| {
        if attempt.backend <= 3 {
            (now - attempt.sent_at >= 250.0).then_some(Outcome::ConnectFailed)
        } else {
            healthy(attempt, now)
        }
    };
    run(&mut proxy, 4000.0, unreachable);
    let sent = run(&mut proxy, 4000.0, unreachable);
    let wasted: usize = (1..=3).filter_map(|b| sent.get(&b)).sum();
    let all: usize = sent.values().sum();
    assert!(
        wasted * 20 < all,
        "{wasted} of {all} attempts sent to unreachable backends"
    );
    assert!(all > 700, "the limit was reduced: {all} attempts in 4 s");
}

/// Guards against the ejection of a backend after too few errors.
#[test]
fn two_errors_eject_no_backend() {
    let mut proxy = Proxy::new(one_class(1), 1, endpoints(6));
    run(&mut proxy, 2000.0, healthy);
    let mut errors_left = 2;
    for _ in 0..1000 {
        proxy.request(0, 0, 4000.0);
        for (id, number, attempt) in proxy.in_flight() {
            if attempt.backend == 2 && errors_left > 0 {
                errors_left -= 1;
                proxy.end_attempt(id, number, Outcome::Error);
            } else if attempt.backend != 2 {
                proxy.end_attempt(id, number, Outcome::Success);
            }
        }
        proxy.advance_to(proxy.now + 5.0);
        if errors_left == 0 {
            break;
        }
    }
    assert_eq!(errors_left, 0);
    let sent = run(&mut proxy, 4000.0, healthy);
    assert!(
        sent.get(&2).copied().unwrap_or(0) > 20,
        "ejected after two errors: {sent:?}"
    );
}

/// Guards against a retry storm when all backends fail.
#[test]
fn retries_are_a_limited_share_of_requests() {
    let mut proxy = Proxy::new(one_class(1), 1, endpoints(8));
    let (mut requests, mut attempts) = (0, 0);
    for _ in 0..2000 {
        proxy.request(0, 0, 4000.0);
        requests += 1;
        proxy.advance_to(proxy.now + 5.0);
        for (id, number, attempt) in proxy.in_flight() {
            if proxy.now - attempt.sent_at >= 20.0 {
                attempts += 1;
                proxy.end_attempt(id, number, Outcome::Error);
            }
        }
        proxy.remove_finished();
    }
    assert!(
        attempts * 10 <= requests * 12,
        "{attempts} attempts for {requests} failing requests"
    );
}

/// Guards against replicas whose failed polls are repeated without backoff or all at once.
#[test]
fn failed_polls_are_retried_with_backoff_and_jitter() {
    let poll_times = |seed| {
        let mut proxy = Proxy::new(
            Settings {
                polls_endpoints: true,
                ..one_class(4)
            },
            seed,
            endpoints(6),
        );
        let mut failed = 0;
        for _ in 0..100_000 {
            proxy.advance_to(proxy.now + 5.0);
            if proxy.polls.len() > failed {
                failed += 1;
                proxy.update_endpoints(UpdateKind::Failed, vec![]);
            }
        }
        assert!(proxy.polls.len() > 6, "too few polls: {:?}", proxy.polls);
        proxy.polls
    };
    let (a, b) = (poll_times(1), poll_times(2));
    assert!(a[0] - 1000.0 < 10_000.0, "the first poll is late");
    assert!(a[5] - a[4] > a[1] - a[0], "no backoff: {a:?}");
    assert!(
        a.iter().zip(&b).all(|(x, y)| (x - y).abs() > 1.0),
        "two replicas poll at the same time: {a:?} {b:?}"
    );
}

#[test]
fn invalid_settings_name_the_field() {
    type Change = fn(&mut Settings);
    let cases: [(&str, Change); 6] = [
        ("peersTotal", |s| s.replica_count = 0),
        ("slotNo", |s| s.replica_index = 9),
        ("classes", |s| s.classes.clear()),
        ("classes[0].aim", |s| s.classes[0].latency_objective = 0.0),
        ("tick", |s| s.tick = f64::NAN),
        ("guarantees.coldFrom", |s| {
            s.guarantees.slow_start_floor = -1.0;
        }),
    ];
    for (field, change) in cases {
        let mut settings = one_class(2);
        change(&mut settings);
        let error = Balancer::new(settings, 1).err().expect("an error");
        assert_eq!(error.field, field);
        assert!(error.to_string().contains(field));
    }
}

/// Guards against a class that starves another one in a shared slice because its requests may be
/// queued for longer.
#[test]
fn classes_with_equal_priority_share_a_slice_fairly() {
    let classes = vec![
        class(1000.0, 1.0, Idempotency::NonIdempotent),
        class(3000.0, 1.0, Idempotency::NonIdempotent),
    ];
    let mut proxy = Proxy::new(settings(1, classes), 1, endpoints(5));
    let mut served = [0, 0];
    for round in 0..4000 {
        proxy.request(round % 2, 0, 1e5);
        proxy.advance_to(proxy.now + 5.0);
        for (id, number, attempt) in proxy.in_flight() {
            if proxy.now - attempt.sent_at >= 500.0 {
                served[proxy.requests[&id].class] += 1;
                proxy.end_attempt(id, number, Outcome::Success);
            }
        }
        proxy.remove_finished();
    }
    assert!(
        served[1] * 4 < served[0] * 5 && served[0] * 4 < served[1] * 5,
        "served by class: {served:?}"
    );
}

/// Guards against demoted requests that keep more than the minimum of one attempt under overload.
#[test]
fn demoted_requests_have_a_guaranteed_limit_of_one() {
    let mut settings = one_class(1);
    settings.over_quota_priority = 0.3;
    settings.tenants = vec![
        Tenant { quota_per_s: 1.0 },
        Tenant {
            quota_per_s: 1000.0,
        },
    ];
    let mut proxy = Proxy::new(settings, 1, endpoints(10));
    let within_quota = saturate(&mut proxy, 0, 1, 400);
    let demoted = saturate(&mut proxy, 0, 0, 100) - within_quota;
    assert_eq!(
        demoted, 1,
        "demoted attempts beside {within_quota} within quota"
    );
}

/// Guards against an overloaded backend that a trickle of traffic keeps from recovering.
#[test]
fn slow_outlier_is_ejected_and_returns() {
    let slow = |attempt: &SentAttempt, now: f64| {
        (now - attempt.sent_at >= if attempt.backend == 2 { 250.0 } else { 50.0 })
            .then_some(Outcome::Success)
    };
    let mut proxy = Proxy::new(one_class(1), 1, endpoints(8));
    run(&mut proxy, 3000.0, healthy);
    run(&mut proxy, 6000.0, slow);
    let longest = (0..20).fold((0, 0), |(idle_intervals, longest), _| {
        for _ in 0..4 {
            proxy.request(0, 0, 4000.0);
        }
        let is_idle = !run(&mut proxy, 250.0, slow).contains_key(&2);
        let idle_intervals = if is_idle { idle_intervals + 1 } else { 0 };
        (idle_intervals, longest.max(idle_intervals))
    });
    assert!(
        longest.1 >= 6,
        "backend 2 was never without traffic for 1.5 s: {longest:?}"
    );
    run(&mut proxy, 30_000.0, healthy);
    let returned = run(&mut proxy, 3000.0, healthy);
    assert!(
        returned.get(&2).copied().unwrap_or(0) > 20,
        "backend 2 has not returned to service: {returned:?}"
    );
}

/// Returns the share of attempts that leave the zone after a while, if responses take
/// `local_latency` in the zone and 50 ms in the other one.
fn remote_share_at(price: f64, local_latency: f64) -> f64 {
    let mut proxy = two_zones(price);
    run(&mut proxy, 4000.0, healthy);
    let outcome = |attempt: &SentAttempt, now: f64| {
        (now - attempt.sent_at
            >= if attempt.backend <= 5 {
                local_latency
            } else {
                50.0
            })
        .then_some(Outcome::Success)
    };
    run(&mut proxy, 8000.0, outcome);
    remote_share(&run(&mut proxy, 2000.0, outcome))
}

/// Attempts stay in the zone until its excess latency costs more than the price of crossing.
#[test]
fn attempts_leave_the_zone_only_for_more_than_the_price() {
    assert_eq!(
        remote_share_at(0.2, 50.0),
        0.0,
        "attempts leave a zone that is not slower"
    );
    let overloaded = remote_share_at(0.2, 700.0);
    assert!(
        overloaded > 0.5,
        "{overloaded} left a zone that is slower by 0.65 latency objectives"
    );
    let unpriced = remote_share_at(0.0, 50.0);
    assert!(
        (0.3..0.7).contains(&unpriced),
        "{unpriced} left the zone although crossing has no price"
    );
}

/// A replica in a zone of five backends, with five more in another zone.
fn two_zones(cross_zone_price: f64) -> Proxy {
    let mut settings = one_class(1);
    settings.objectives.cross_zone_price = cross_zone_price;
    let endpoints = endpoints(10)
        .into_iter()
        .map(|e| Endpoint {
            zone: u16::from(e.backend > 5),
            ..e
        })
        .collect();
    Proxy::new(settings, 1, endpoints)
}

/// Returns the share of attempts in [`two_zones`] that left the zone.
fn remote_share(sent: &BTreeMap<BackendId, usize>) -> f64 {
    let remote: usize = sent
        .iter()
        .filter(|(backend, _)| **backend > 5)
        .map(|(_, count)| count)
        .sum();
    remote as f64 / sent.values().sum::<usize>().max(1) as f64
}

/// Guards against a zone that is never used again because it sends no responses that could correct
/// its latency estimate.
#[test]
fn zone_without_traffic_is_tried_again() {
    let mut proxy = two_zones(0.2);
    let slow = |attempt: &SentAttempt, now: f64| {
        (now - attempt.sent_at >= if attempt.backend <= 5 { 1800.0 } else { 50.0 })
            .then_some(Outcome::Success)
    };
    run(&mut proxy, 3000.0, healthy);
    run(&mut proxy, 15_000.0, slow);
    let overloaded = remote_share(&run(&mut proxy, 2000.0, slow));
    assert!(
        overloaded > 0.8,
        "{overloaded} left a zone with a latency of 1.8 objectives"
    );
    run(&mut proxy, 60_000.0, healthy);
    let recovered = remote_share(&run(&mut proxy, 2000.0, healthy));
    assert!(
        recovered < 0.1,
        "{recovered} still leave the zone a minute after it has recovered"
    );
}

/// Guards against a slow zone that looks fast because its clients leave before the slow responses.
#[test]
fn cancelled_attempts_count_as_slow_for_their_zone() {
    let mut proxy = two_zones(0.2);
    run(&mut proxy, 3000.0, healthy);
    let (end, mut remote, mut all) = (proxy.now + 15_000.0, 0, 0);
    while proxy.now < end {
        proxy.request(0, 0, 4000.0);
        proxy.advance_to(proxy.now + 5.0);
        for (id, number, attempt) in proxy.in_flight() {
            let is_open = proxy.requests[&id].end.is_none();
            // A third of the local attempts are fast, so that no local backend counts as hung.
            if (attempt.backend > 5 || id % 3 == 0) && proxy.now - attempt.sent_at >= 50.0 {
                proxy.end_attempt(id, number, Outcome::Success);
            } else if is_open && attempt.backend <= 5 && proxy.now - attempt.sent_at >= 900.0 {
                proxy.disconnect_client(id);
            }
            if attempt.sent_at >= proxy.now - 5.0 && proxy.now > end - 3000.0 {
                (remote, all) = (remote + usize::from(attempt.backend > 5), all + 1);
            }
        }
        proxy.remove_finished();
    }
    assert!(
        remote * 2 > all,
        "{remote} of {all} attempts leave a zone whose clients give up"
    );
}

/// Guards against a baseline that is learned from overloaded backends.
#[test]
fn early_overload_is_not_taken_as_the_baseline() {
    let mut proxy = Proxy::new(one_class(1), 1, endpoints(5));
    proxy.serve(100.0, 1, 0, 40.0);
    let initial = saturate(&mut proxy, 0, 0, 400);
    for _ in 0..30 {
        proxy.advance_to(proxy.now + 700.0);
        proxy
            .in_flight()
            .into_iter()
            .for_each(|(id, number, _)| proxy.end_attempt(id, number, Outcome::Success));
        proxy.remove_finished();
        saturate(&mut proxy, 0, 0, 100);
    }
    assert!(
        proxy.in_flight().len() < initial,
        "{initial} attempts in flight initially, {} after latencies of 0.7 objectives",
        proxy.in_flight().len()
    );
}

/// Guards against timeouts that reduce the limit to its minimum although responses are fast, and
/// against lost attempts that count against the limit until their deadline.
#[test]
fn lost_responses_do_not_exhaust_the_limit() {
    let mut proxy = Proxy::new(
        settings(1, vec![class(1000.0, 1.0, Idempotency::NonIdempotent)]),
        1,
        endpoints(8),
    );
    let served = |attempt: &SentAttempt, now: f64| {
        (now - attempt.sent_at >= 150.0).then_some(Outcome::Success)
    };
    run(&mut proxy, 6000.0, served);
    // One response in six is lost, at any backend.
    let lossy = |attempt: &SentAttempt, now: f64| {
        if ((attempt.sent_at / 5.0) as u64).is_multiple_of(6) {
            None
        } else {
            served(attempt, now)
        }
    };
    let sent_by_backend = run(&mut proxy, 30_000.0, lossy);
    let sent: usize = sent_by_backend.values().sum();
    assert!(sent * 10 > 6000 * 9, "{sent} of 6000 requests sent");
}

/// Guards against lost attempts that count against the limit until their deadline.
#[test]
fn long_attempts_stop_counting_against_the_limit() {
    let mut proxy = Proxy::new(
        settings(1, vec![class(1000.0, 1.0, Idempotency::NonIdempotent)]),
        1,
        endpoints(8),
    );
    run(&mut proxy, 3000.0, healthy);
    let initial = saturate(&mut proxy, 0, 0, 400);
    proxy.advance_to(proxy.now + 150.0);
    assert_eq!(
        saturate(&mut proxy, 0, 0, 400),
        initial,
        "attempts do not count for three mean latencies"
    );
    proxy.advance_to(proxy.now + 150.0);
    assert!(
        saturate(&mut proxy, 0, 0, 400) >= 2 * initial,
        "{} attempts in flight after six mean latencies, {initial} initially",
        proxy.in_flight().len()
    );
}

/// Guards against balancers of one proxy that each use a backend's whole slow-start budget.
#[test]
fn balancers_of_one_proxy_share_the_slow_start_budget() {
    let sent_in_slow_start = |balancers| {
        let started = Endpoint {
            started_at: 1000.0,
            ..endpoint(1)
        };
        let mut proxy = Proxy::new(
            one_class(1),
            1,
            [vec![started], endpoints(10)[1..].to_vec()].concat(),
        );
        proxy.balancer.share_slow_start_budget(balancers);
        let mut sent = 0;
        for _ in 0..100 {
            saturate(&mut proxy, 0, 0, 30);
            proxy.advance_to(proxy.now + 50.0);
            sent += proxy
                .in_flight()
                .iter()
                .filter(|(_, _, attempt)| attempt.backend == 1)
                .count();
            proxy
                .in_flight()
                .into_iter()
                .for_each(|(id, number, _)| proxy.end_attempt(id, number, Outcome::Success));
            proxy.remove_finished();
        }
        sent as f64
    };
    let (single, quarter) = (sent_in_slow_start(1), sent_in_slow_start(4));
    assert!(
        single > 15.0 && quarter > 2.0 && quarter < 0.4 * single,
        "{single} attempts by a single balancer, {quarter} by one of four"
    );
}

/// A limit that was learned earlier is used from the start, unless it is below the initial limit.
#[test]
fn initial_limit_is_raised_but_not_lowered() {
    let limit_from = |learned: f64| {
        let mut proxy = Proxy::new(one_class(1), 1, vec![]);
        proxy.balancer.raise_limit_to(learned);
        proxy.update_endpoints(UpdateKind::Snapshot, endpoints(10));
        proxy.balancer.load().limit
    };
    assert_eq!(
        (limit_from(200.0), limit_from(3.0)),
        (200.0, limit_from(0.0))
    );
}

/// The retries of a request with a retry budget depend on that budget alone, not on this replica's
/// retry tokens. A budget that an outcome reports as spent ends the request.
#[test]
fn retry_budget_limits_attempts() {
    for (retries_left, max_attempts) in [(Some(0), 1), (Some(2), 3), (None, 6)] {
        let mut proxy = Proxy::new(one_class(1), 1, endpoints(10));
        let id = proxy.request_with_budget(0, 0, 0, 1e5, retries_left, 1.0);
        while let Some((_, number, _)) = proxy.in_flight().into_iter().find(|(i, ..)| *i == id) {
            proxy.end_attempt(id, number, Outcome::Rejected);
        }
        assert!(
            proxy.requests[&id].attempts.len() <= max_attempts,
            "{retries_left:?}: {} attempts",
            proxy.requests[&id].attempts.len()
        );
        assert!(
            retries_left.is_none() || proxy.requests[&id].attempts.len() == max_attempts,
            "{retries_left:?}"
        );
        assert!(
            proxy.requests[&id].end.is_some(),
            "{retries_left:?}: queued without retries left"
        );
    }
    // The backend reports that it spent the remaining retries.
    let mut proxy = Proxy::new(one_class(1), 1, endpoints(10));
    let id = proxy.request_with_budget(0, 0, 0, 1e5, Some(3), 1.0);
    let backend = proxy.in_flight()[0].2.backend;
    let (outcome, elapsed, request_closed, retries_left) = (Outcome::Error, 1.0, false, Some(0));
    proxy.requests.get_mut(&id).expect("the request").attempts[0].outcome = Some(outcome);
    proxy.deliver(Event::AttemptEnded(AttemptResult {
        request: id,
        attempt: 0,
        backend,
        outcome,
        elapsed,
        request_closed,
        retries_left,
    }));
    assert_eq!(
        (
            proxy.requests[&id].attempts.len(),
            proxy.requests[&id].end.is_some()
        ),
        (1, true)
    );
}

/// Guards against a forwarded low priority that is ignored: such requests are queued first.
#[test]
fn forwarded_low_priority_is_queued_first() {
    let mut settings = one_class(1);
    (
        settings.priority_forwarded,
        settings.over_quota_priority,
        settings.tier,
    ) = (true, 0.05, 1);
    let mut proxy = Proxy::new(settings, 1, endpoints(10));
    for _ in 0..400 {
        proxy.request_with_budget(0, 0, 0, 1e5, Some(1), 0.05);
    }
    let low = proxy.in_flight().len();
    let id = proxy.request_with_budget(0, 0, 0, 1e5, Some(1), 1.0);
    assert_eq!(
        proxy.requests[&id].attempts.len(),
        1,
        "low-priority requests use up the slice of regular ones"
    );
    let id = proxy.request_with_budget(0, 0, 0, 1e5, Some(1), 0.05);
    assert!(
        proxy.requests[&id].attempts.is_empty() && low < 400,
        "{low} low-priority attempts in flight"
    );
}

/// A request with a retry budget is rejected if not even an idle backend could answer it in time;
/// without a budget it is sent.
#[test]
fn request_that_cannot_meet_its_deadline_is_rejected() {
    let mut proxy = Proxy::new(one_class(1), 1, endpoints(10));
    proxy.serve(2_000.0, 1, 0, 100.0);
    let id = proxy.request_with_budget(0, 0, 0, 20.0, Some(1), 1.0);
    assert!(proxy.requests[&id].attempts.is_empty() && proxy.requests[&id].end.is_some());
    let id = proxy.request_with_budget(0, 0, 0, 1_000.0, Some(1), 1.0);
    assert_eq!(proxy.requests[&id].attempts.len(), 1);
    let id = proxy.request_with_budget(0, 0, 0, 20.0, None, 1.0);
    assert_eq!(proxy.requests[&id].attempts.len(), 1);
}
