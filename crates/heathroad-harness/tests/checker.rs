//! Tests of the invariant checker on hand-written event logs: one violation at a time, next to a
//! similar log without one.

mod common;

use heathroad_harness::checker::{CheckInput, Rule, Verdict, check};
use heathroad_harness::clock::{Micros, SECOND};
use heathroad_harness::emulator::host::HostSpec;
use heathroad_harness::event_log::*;
use heathroad_harness::schedule::Schedule;

const SAFE: u16 = 0;
const KEYED: u16 = 2;
const UNSAFE: u16 = 3;
const MS: Micros = 1000;

fn schedule() -> Schedule {
    common::schedule(common::SMALL, 1)
}

fn attempt(id: u64, class: u16) -> Attempt {
    Attempt {
        id,
        tier: 0,
        parent: None,
        request_index: 0,
        retry: 0,
        class,
        tenant: 0,
        key: (class == KEYED).then_some(99),
        proxy: 0,
        scheduled_at: 0,
        sent_at: Some(SECOND),
        resent_at: None,
        time_limit: SECOND,
        read_delay: 0,
        end: AttemptEnd::Served(id),
        ended_at: SECOND + 100 * MS,
        unexpected_data: false,
    }
}

fn arrival(id: u64, class: u16, whole: Micros) -> Arrival {
    Arrival {
        backend: 0,
        incarnation: 0,
        tier: 0,
        proxy: 0,
        id,
        class,
        key: (class == KEYED).then_some(99),
        version: None,
        first_byte_at: whole,
        announced_limit: None,
        received_at: whole,
        work: 1000,
        disposition: Disposition::Executed,
        marker: id,
        response: ResponseKind::Served,
        responded_at: Some(whole + 50 * MS),
    }
}

fn check_log(event_log: &EventLog) -> Verdict {
    check_with(&schedule(), event_log)
}

fn check_with(schedule: &Schedule, event_log: &EventLog) -> Verdict {
    let spec = HostSpec {
        cores: 1,
        speed: 1.0,
        cold_capacity: 0.1,
        warm_up: 60 * SECOND,
        warm_requests: 0,
        overload_multiple: 3.0,
        overload_window: 2 * SECOND,
    };
    let [proxies, backends] =
        [["proxy-1", "proxy-2"], ["a", "b"]].map(|names| names.map(String::from));
    check(
        &CheckInput {
            schedule,
            proxies: &proxies,
            backends: &backends,
            cells: &[0, 1],
            host_specs: &[spec.clone(), spec],
        },
        event_log,
    )
}

/// Returns the only violation and its proof, if any.
fn violation(event_log: &EventLog) -> Option<(Rule, String)> {
    let v = check_log(event_log);
    assert!(v.violations.len() <= 1, "{:?}", v.violations);
    v.violations.into_iter().next().map(|b| (b.rule, b.proof))
}

fn log_of(t: Attempt, arrivals: Vec<Arrival>) -> EventLog {
    EventLog {
        attempts: vec![t],
        arrivals,
        ..EventLog::default()
    }
}

fn with_end(end: AttemptEnd) -> EventLog {
    log_of(
        Attempt {
            end,
            ..attempt(7, SAFE)
        },
        vec![arrival(7, SAFE, SECOND)],
    )
}

fn is_lost(event_log: &EventLog, says: &str) {
    let (rule, proof) = violation(event_log).expect("a violation");
    assert!(
        rule == Rule::Lost && proof.contains(says),
        "{rule:?}: {proof}"
    );
}

#[test]
fn a_request_gets_one_timely_response_made_for_it() {
    for end in [
        AttemptEnd::Served(7),
        AttemptEnd::Refused { after: None },
        AttemptEnd::Failed(502),
        AttemptEnd::Cancelled,
        AttemptEnd::Truncated(true),
    ] {
        assert_eq!(violation(&with_end(end)), None);
    }
    is_lost(&with_end(AttemptEnd::Served(8)), "no backend made for it");
    is_lost(
        &with_end(AttemptEnd::UnknownBody("hello".into())),
        "no backend made for it",
    );
    is_lost(
        &with_end(AttemptEnd::Truncated(false)),
        "closed without an answer",
    );
    is_lost(&with_end(AttemptEnd::Malformed), "can't be read");
    is_lost(&with_end(AttemptEnd::NoResponse), "no answer had come");
    // The marker of another request's response.
    let mut mixed = with_end(AttemptEnd::Served(8));
    mixed.arrivals.push(arrival(8, SAFE, SECOND));
    is_lost(&mixed, "no backend made for it");
    let twice = Attempt {
        unexpected_data: true,
        ..attempt(7, SAFE)
    };
    is_lost(
        &log_of(twice, vec![arrival(7, SAFE, SECOND)]),
        "second answer",
    );
}

#[test]
fn a_response_may_be_late_by_the_grace_only() {
    let at = |took: Micros| {
        let t = Attempt {
            ended_at: SECOND + took,
            ..attempt(7, SAFE)
        };
        violation(&log_of(t, vec![arrival(7, SAFE, SECOND)]))
    };
    // 20 ms of configured grace and 50 ms of tolerance.
    assert_eq!(at(SECOND + 70 * MS), None);
    assert!(at(SECOND + 71 * MS).is_some());
    // Time that a slow client spends reading is not counted.
    let t = Attempt {
        ended_at: 2 * SECOND + 150 * MS,
        read_delay: 100 * MS,
        ..attempt(7, SAFE)
    };
    assert_eq!(violation(&log_of(t, vec![arrival(7, SAFE, SECOND)])), None);
}

/// An idle close may race with a request that the proxy has not read; the sender resends it.
#[test]
fn an_idle_close_must_not_drop_a_read_request() {
    let crossed = |before: &[Micros]| {
        let t = Attempt {
            resent_at: Some(SECOND),
            sent_at: Some(SECOND + MS),
            ..attempt(7, UNSAFE)
        };
        let first = before.iter().map(|at| Arrival {
            marker: 6,
            ..arrival(7, UNSAFE, *at)
        });
        violation(&log_of(
            t,
            first.chain([arrival(7, UNSAFE, SECOND + 2 * MS)]).collect(),
        ))
    };
    assert_eq!(crossed(&[]), None);
    let (rule, proof) = crossed(&[SECOND - MS]).expect("a violation");
    assert!(
        rule == Rule::Lost && proof.contains("after it had been passed on"),
        "lost, and not double: {proof}"
    );
}

#[test]
fn requests_of_a_killed_proxy_are_not_lost() {
    for end in [AttemptEnd::Truncated(false), AttemptEnd::NoResponse] {
        let mut event_log = with_end(end.clone());
        let act = |proxy, at| ProcessEvent {
            at,
            until: at + 5 * MS,
            proxy,
            kind: ProcessEventKind::Killed,
        };
        event_log.process_events = vec![act(1, SECOND + 50 * MS), act(0, SECOND / 2)];
        assert!(
            violation(&event_log).is_some(),
            "kills of another proxy or before the request are no excuse"
        );
        event_log.process_events.push(act(0, SECOND + 50 * MS));
        assert_eq!(violation(&event_log), None);
        // Sent while the process was exiting.
        event_log.process_events = vec![act(0, SECOND - 4 * MS)];
        assert_eq!(violation(&event_log), None);
        event_log.process_events = vec![act(0, SECOND - 6 * MS)];
        assert!(violation(&event_log).is_some());
    }
    // A graceful stop is no excuse.
    let mut event_log = with_end(AttemptEnd::Truncated(false));
    event_log.process_events = vec![ProcessEvent {
        at: SECOND + 50 * MS,
        until: 2 * SECOND,
        proxy: 0,
        kind: ProcessEventKind::Stopped,
    }];
    assert!(violation(&event_log).is_some());
}

fn doubled(class: u16, later: Micros, change: impl Fn(&mut Arrival)) -> Option<(Rule, String)> {
    let mut again = arrival(7, class, SECOND + later);
    change(&mut again);
    let t = Attempt {
        time_limit: 60 * SECOND,
        ended_at: 30 * SECOND,
        ..attempt(7, class)
    };
    violation(&log_of(t, vec![arrival(7, class, SECOND), again]))
}

#[test]
fn resends_follow_the_class_semantics() {
    assert_eq!(doubled(SAFE, SECOND, |_| {}), None);
    let (rule, proof) = doubled(UNSAFE, SECOND, |a| a.backend = 1).expect("a violation");
    assert!(
        rule == Rule::Double && proof.contains("to a: ran; then") && proof.contains("to b"),
        "{proof}"
    );
    assert_eq!(
        doubled(UNSAFE, SECOND, |a| a.disposition = Disposition::Declined),
        None,
        "a declined request did not run"
    );
    // A keyed class has a window of 10 s, with 50 ms of tolerance.
    assert_eq!(doubled(KEYED, 10 * SECOND + 50 * MS, |_| {}), None);
    let (rule, proof) = doubled(KEYED, 10 * SECOND + 51 * MS, |_| {}).expect("a violation");
    assert!(
        rule == Rule::Double && proof.contains("outside its window"),
        "{proof}"
    );
}

#[test]
fn a_keyed_request_stays_in_its_group() {
    let mut schedule = schedule();
    schedule.scenario.class[usize::from(KEYED)].group = heathroad_harness::scenario::Group::Cell;
    let again = Arrival {
        backend: 1,
        ..arrival(7, KEYED, SECOND + MS)
    };
    let event_log = log_of(attempt(7, KEYED), vec![arrival(7, KEYED, SECOND), again]);
    let v = check_with(&schedule, &event_log);
    assert!(
        v.violations[0].proof.contains("outside its group"),
        "{:?}",
        v.violations
    );
    assert_eq!(violation(&event_log), None, "group `all` covers every cell");
}

#[test]
fn a_refused_request_is_safe_to_retry() {
    let refused = |class, disposition| {
        let t = Attempt {
            end: AttemptEnd::Refused { after: None },
            ..attempt(7, class)
        };
        violation(&log_of(
            t,
            vec![Arrival {
                disposition,
                ..arrival(7, class, SECOND)
            }],
        ))
    };
    assert_eq!(refused(SAFE, Disposition::Executed), None);
    assert_eq!(
        refused(KEYED, Disposition::Executed),
        None,
        "group `all`: duplicates are dropped everywhere"
    );
    assert_eq!(refused(UNSAFE, Disposition::Declined), None);
    let (rule, proof) = refused(UNSAFE, Disposition::Executed).expect("a violation");
    assert!(
        rule == Rule::Double && proof.contains("refused at"),
        "{proof}"
    );
}

/// A client that retries after the deduplication window runs the request twice.
#[test]
fn duplicates_by_clients_are_reported() {
    let late = Attempt {
        id: 8,
        retry: u8::MAX,
        scheduled_at: 12 * SECOND,
        sent_at: Some(12 * SECOND),
        ..attempt(8, KEYED)
    };
    let late = Attempt {
        ended_at: 12 * SECOND + 100 * MS,
        ..late
    };
    let arrivals = vec![arrival(7, KEYED, SECOND), arrival(8, KEYED, 12 * SECOND)];
    let event_log = EventLog {
        attempts: vec![attempt(7, KEYED), late],
        arrivals,
        ..EventLog::default()
    };
    let v = check_log(&event_log);
    assert!(v.violations.is_empty(), "the proxy sent each once");
    let [client] = &v.duplicated_by_clients[..] else {
        panic!("{:?}", v.duplicated_by_clients)
    };
    assert!(
        client.contains("its client sent it again at 12.000 s, 11.000 s later"),
        "{client}"
    );
    // Under one id it is a violation by the proxy.
    let mut by_proxy = event_log;
    by_proxy.arrivals[1].id = 7;
    by_proxy.attempts.truncate(1);
    let v = check_log(&by_proxy);
    assert_eq!(
        (
            v.violation_count(Rule::Double),
            v.duplicated_by_clients.len()
        ),
        (1, 0),
        "{:?}",
        v.violations
    );
}

#[test]
fn smuggled_and_malformed_requests_are_violations() {
    let malformed = |status, hidden| MalformedClient {
        kind: "x",
        smuggled_id: hidden,
        at: SECOND,
        status,
        ended_at: Some(SECOND),
    };
    let mut event_log = EventLog {
        malformed_clients: vec![malformed(Some(400), Some(7))],
        ..EventLog::default()
    };
    assert_eq!(violation(&event_log), None);
    event_log.arrivals = vec![arrival(7, SAFE, SECOND)];
    assert_eq!(violation(&event_log).expect("a violation").0, Rule::Double);
    let served = EventLog {
        malformed_clients: vec![malformed(Some(200), None)],
        ..EventLog::default()
    };
    assert_eq!(violation(&served).expect("a violation").0, Rule::Lost);
    // A response or a close must come within 3 s.
    let unanswered = |ended| {
        let malformed = vec![MalformedClient {
            ended_at: ended,
            ..malformed(None, None)
        }];
        check_log(&EventLog {
            malformed_clients: malformed,
            ..EventLog::default()
        })
        .malformed_clients[1]
    };
    assert_eq!(
        [
            unanswered(None),
            unanswered(Some(4 * SECOND)),
            unanswered(Some(5 * SECOND))
        ],
        [1, 0, 1]
    );
}

fn update(at: Micros, version: u64, health: Health) -> RegistryUpdate {
    RegistryUpdate {
        at,
        proxy: 0,
        backend: 0,
        incarnation: 0,
        version,
        health,
    }
}

fn sent_at(at: Micros, told: Vec<RegistryUpdate>) -> Option<(Rule, String)> {
    let t = Attempt {
        sent_at: Some(at),
        ended_at: at + MS,
        ..attempt(7, SAFE)
    };
    violation(
        &EventLog {
            registry_updates: told,
            ..log_of(t, vec![arrival(7, SAFE, at)])
        }
        .clone(),
    )
}

#[test]
fn a_draining_backend_gets_no_new_requests() {
    let draining = || {
        vec![
            update(0, 1, Health::Serving),
            update(SECOND, 2, Health::Draining),
        ]
    };
    // 500 ms of configured grace and 50 ms of tolerance.
    assert_eq!(sent_at(SECOND + 550 * MS, draining()), None);
    let (rule, proof) = sent_at(SECOND + 551 * MS, draining()).expect("a violation");
    assert!(
        rule == Rule::Drain && proof.contains("proxy-1 was told at 1.000 s that a is DRAINING"),
        "{proof}"
    );
    // The grace counts from the first notice, even if the backend is deleted later.
    let gone = [
        draining(),
        vec![update(SECOND + 400 * MS, 3, Health::Deleted)],
    ]
    .concat();
    assert!(sent_at(SECOND + 600 * MS, gone).is_some());
    // A newer SERVING state ends the drain; a late, older one does not.
    let back = [draining(), vec![update(2 * SECOND, 3, Health::Serving)]].concat();
    assert_eq!(sent_at(3 * SECOND, back), None);
    let old = [draining(), vec![update(2 * SECOND, 1, Health::Serving)]].concat();
    assert!(sent_at(3 * SECOND, old).is_some());
    // Updates for another proxy, host or process do not apply.
    for change in [
        |t: &mut RegistryUpdate| t.proxy = 1,
        |t: &mut RegistryUpdate| t.backend = 1,
        |t: &mut RegistryUpdate| t.incarnation = 1,
    ] {
        let mut others = draining();
        others.iter_mut().for_each(change);
        assert_eq!(sent_at(3 * SECOND, others), None);
    }
}

/// Two proxies each stay below the overload multiple of a cold backend but exceed it together.
#[test]
fn proxies_together_must_not_overload_a_cold_backend() {
    let life = Incarnation {
        backend: 0,
        number: 1,
        started_at: SECOND,
        warm: false,
        overloaded_at: None,
    };
    let told = |proxy| RegistryUpdate {
        proxy,
        incarnation: 1,
        ..update(SECOND, 1, Health::Serving)
    };
    // Three times 10% of one core for 2 s allows 600 ms of work, and slightly more as it warms up.
    let burst = |proxy: u16, n: u64| {
        (0..n).map(move |i| Arrival {
            incarnation: 1,
            proxy,
            work: 10 * MS,
            ..arrival(
                1000 * u64::from(proxy) + i,
                SAFE,
                SECOND + 100 * MS + i * MS,
            )
        })
    };
    let by = |first: u64, second: u64, told: Vec<RegistryUpdate>| {
        let arrivals = burst(0, first).chain(burst(1, second)).collect();
        violation(&EventLog {
            incarnations: vec![life.clone()],
            arrivals,
            registry_updates: told,
            ..EventLog::default()
        })
    };
    let all = || vec![told(0), told(1)];
    assert_eq!(by(45, 0, all()), None);
    assert_eq!(by(0, 45, all()), None);
    let (rule, proof) = by(45, 45, all()).expect("a violation");
    assert!(rule == Rule::Cold, "{proof}");
    assert!(
        proof.contains("proxy-1") && proof.contains("proxy-2") && proof.contains("a started at"),
        "{proof}"
    );
    // At least two thirds of the work must come from proxies notified of the start.
    assert_eq!(by(45, 45, vec![told(0)]), None);
    // A warm backend has no such limit.
    let warm = Incarnation {
        warm: true,
        ..life.clone()
    };
    let arrivals = burst(0, 45).chain(burst(1, 45)).collect::<Vec<_>>();
    assert_eq!(
        violation(&EventLog {
            incarnations: vec![warm],
            arrivals,
            registry_updates: all(),
            ..EventLog::default()
        }),
        None
    );
}

/// Every scheduled request counts, sent or not, and late responses earn a part of their worth.
#[test]
fn worth_attributes_retries_to_the_first_attempt() {
    let mut schedule = schedule();
    schedule.requests.truncate(4);
    schedule
        .requests
        .iter_mut()
        .for_each(|t| (t.class, t.over_share, t.at) = (SAFE, false, SECOND));
    schedule.requests[3].over_share = true;
    let served = |first: u32, number: u8, after: Micros| {
        let id = 10 * u64::from(first + 1) + u64::from(number);
        let sent = Some(SECOND + after - 10 * MS);
        Attempt {
            id,
            request_index: first,
            retry: number,
            sent_at: sent,
            ended_at: SECOND + after,
            end: AttemptEnd::Served(id),
            ..attempt(id, SAFE)
        }
    };
    // In time on the first retry; late, for half; unserved; over the quota, in time.
    let failed = Attempt {
        end: AttemptEnd::Failed(502),
        ..served(0, 0, 100 * MS)
    };
    let tries = vec![
        failed,
        served(0, 1, 600 * MS),
        served(1, 0, 1500 * MS),
        served(3, 0, 100 * MS),
    ];
    let arrivals = tries.iter().map(|t| arrival(t.id, SAFE, SECOND)).collect();
    let v = check_with(
        &schedule,
        &EventLog {
            attempts: tries,
            arrivals,
            ..EventLog::default()
        },
    );
    assert_eq!(
        (v.worth.asked, v.worth.earned, v.worth.late),
        (3.05, 1.55, 0.5)
    );
    assert!((v.worth.whole - 1.55 / 3.05).abs() < 1e-9);
    assert!((v.worth.worst_tenant - 0.5).abs() < 0.51, "{:?}", v.worth);
    assert_eq!(v.latencies, [100 * MS, 600 * MS, 1500 * MS]);
    assert_eq!(v.attempts_by_outcome, [3, 0, 1, 0]);
}

/// Looped calls are not counted as a client's; one that reaches a backend is an open loop.
#[test]
fn looped_calls_are_not_counted_as_clients() {
    let round = |end: AttemptEnd, reached: bool| {
        let first = Attempt {
            end: AttemptEnd::Failed(502),
            ..attempt(7, SAFE)
        };
        let again = Attempt {
            parent: Some(7),
            end,
            ..attempt(8, SAFE)
        };
        let mut arrivals = vec![arrival(7, SAFE, SECOND)];
        arrivals.extend(reached.then(|| arrival(8, SAFE, SECOND + MS)));
        check_log(&EventLog {
            attempts: vec![first, again],
            arrivals,
            ..EventLog::default()
        })
    };
    let ended = round(AttemptEnd::Failed(508), false);
    assert_eq!(
        (
            ended.loops_open,
            ended.attempts_by_outcome,
            ended.worth.earned
        ),
        (0, [0, 0, 1, 0], 0.0)
    );
    let open = round(AttemptEnd::Served(8), true);
    assert_eq!(
        (open.loops_open, open.attempts_by_outcome, open.worth.earned),
        (1, [0, 0, 1, 0], 0.0)
    );
    assert_eq!(open.figure("loops_open"), Some(1.0));
}

/// Work at any depth is wasted once the originating client has left.
#[test]
fn work_started_after_its_client_left_is_wasted() {
    let share = |at: Micros| {
        // The client leaves after 100 ms; earlier work is not wasted.
        let mut all = vec![Attempt {
            end: AttemptEnd::Cancelled,
            ..attempt(7, SAFE)
        }];
        all.push(Attempt {
            tier: 1,
            parent: Some(7),
            ..attempt(8, SAFE)
        });
        all.push(Attempt {
            tier: 2,
            parent: Some(8),
            ..attempt(9, SAFE)
        });
        let arrivals = vec![
            Arrival {
                work: 3000,
                ..arrival(7, SAFE, SECOND)
            },
            Arrival {
                work: 1000,
                tier: 2,
                ..arrival(9, SAFE, at)
            },
            // Untraceable and declined requests do not count.
            arrival(77, SAFE, at),
            Arrival {
                disposition: Disposition::Declined,
                ..arrival(8, SAFE, at)
            },
        ];
        check_log(&EventLog {
            attempts: all,
            arrivals,
            ..EventLog::default()
        })
        .wasted_work_share
    };
    assert_eq!(share(SECOND + 100 * MS), 0.0);
    assert_eq!(share(SECOND + 101 * MS), 0.25);
    // A cycle of parent ids ends and counts as untraceable.
    let circle = [(7, 8), (8, 7)].map(|(id, parent)| Attempt {
        parent: Some(parent),
        ..attempt(id, SAFE)
    });
    let event_log = EventLog {
        attempts: circle.into(),
        arrivals: vec![arrival(7, SAFE, SECOND)],
        ..EventLog::default()
    };
    assert_eq!(check_log(&event_log).wasted_work_share, 0.0);
}
