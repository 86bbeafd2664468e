//! The judge as a pure function: ledgers written by hand, one breach at a time, and beside each the
//! twin that is none.

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

fn try_of(id: u64, class: u16) -> Attempt {
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

fn judged(event_log: &EventLog) -> Verdict {
    judged_by(&schedule(), event_log)
}

fn judged_by(schedule: &Schedule, event_log: &EventLog) -> Verdict {
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

/// The one breach, and its proof; none.
fn breach(event_log: &EventLog) -> Option<(Rule, String)> {
    let v = judged(event_log);
    assert!(v.violations.len() <= 1, "{:?}", v.violations);
    v.violations.into_iter().next().map(|b| (b.rule, b.proof))
}

fn one(t: Attempt, arrivals: Vec<Arrival>) -> EventLog {
    EventLog {
        attempts: vec![t],
        arrivals,
        ..EventLog::default()
    }
}

fn with_end(end: AttemptEnd) -> EventLog {
    one(
        Attempt {
            end,
            ..try_of(7, SAFE)
        },
        vec![arrival(7, SAFE, SECOND)],
    )
}

fn is_lost(event_log: &EventLog, says: &str) {
    let (rule, proof) = breach(event_log).expect("a breach");
    assert!(
        rule == Rule::Lost && proof.contains(says),
        "{rule:?}: {proof}"
    );
}

#[test]
fn one_answer_in_time_made_by_a_backend_for_this_request() {
    for fine in [
        AttemptEnd::Served(7),
        AttemptEnd::Refused { after: None },
        AttemptEnd::Failed(502),
        AttemptEnd::Cancelled,
        AttemptEnd::Truncated(true),
    ] {
        assert_eq!(breach(&with_end(fine)), None);
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
    // The mark of another request's answer, though a backend made it.
    let mut mixed = with_end(AttemptEnd::Served(8));
    mixed.arrivals.push(arrival(8, SAFE, SECOND));
    is_lost(&mixed, "no backend made for it");
    let twice = Attempt {
        unexpected_data: true,
        ..try_of(7, SAFE)
    };
    is_lost(&one(twice, vec![arrival(7, SAFE, SECOND)]), "second answer");
}

#[test]
fn an_answer_may_be_late_by_the_grace_and_no_more() {
    let at = |took: Micros| {
        let t = Attempt {
            ended_at: SECOND + took,
            ..try_of(7, SAFE)
        };
        breach(&one(t, vec![arrival(7, SAFE, SECOND)]))
    };
    // 20 ms of the settings and 50 ms of real sockets.
    assert_eq!(at(SECOND + 70 * MS), None);
    assert!(at(SECOND + 71 * MS).is_some());
    // A slow reader's own time is not the proxy's.
    let t = Attempt {
        ended_at: 2 * SECOND + 150 * MS,
        read_delay: 100 * MS,
        ..try_of(7, SAFE)
    };
    assert_eq!(breach(&one(t, vec![arrival(7, SAFE, SECOND)])), None);
}

/// A close between requests may cross one that the proxy has not read; its sender sends it once
/// more.
#[test]
fn a_close_that_crosses_a_request_takes_nothing_that_was_read() {
    let crossed = |before: &[Micros]| {
        let t = Attempt {
            resent_at: Some(SECOND),
            sent_at: Some(SECOND + MS),
            ..try_of(7, UNSAFE)
        };
        let first = before.iter().map(|at| Arrival {
            marker: 6,
            ..arrival(7, UNSAFE, *at)
        });
        breach(&one(
            t,
            first.chain([arrival(7, UNSAFE, SECOND + 2 * MS)]).collect(),
        ))
    };
    assert_eq!(crossed(&[]), None);
    let (rule, proof) = crossed(&[SECOND - MS]).expect("a breach");
    assert!(
        rule == Rule::Lost && proof.contains("after it had been passed on"),
        "one loss, and no double: {proof}"
    );
}

#[test]
fn what_a_killed_proxy_held_is_not_lost() {
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
            breach(&event_log).is_some(),
            "another's kill, or an earlier one, explains nothing"
        );
        event_log.process_events.push(act(0, SECOND + 50 * MS));
        assert_eq!(breach(&event_log), None);
        // Sent while it was dying.
        event_log.process_events = vec![act(0, SECOND - 4 * MS)];
        assert_eq!(breach(&event_log), None);
        event_log.process_events = vec![act(0, SECOND - 6 * MS)];
        assert!(breach(&event_log).is_some());
    }
    // A planned stop is no excuse.
    let mut event_log = with_end(AttemptEnd::Truncated(false));
    event_log.process_events = vec![ProcessEvent {
        at: SECOND + 50 * MS,
        until: 2 * SECOND,
        proxy: 0,
        kind: ProcessEventKind::Stopped,
    }];
    assert!(breach(&event_log).is_some());
}

fn doubled(class: u16, later: Micros, change: impl Fn(&mut Arrival)) -> Option<(Rule, String)> {
    let mut again = arrival(7, class, SECOND + later);
    change(&mut again);
    let t = Attempt {
        time_limit: 60 * SECOND,
        ended_at: 30 * SECOND,
        ..try_of(7, class)
    };
    breach(&one(t, vec![arrival(7, class, SECOND), again]))
}

#[test]
fn what_may_have_run_is_sent_again_only_as_its_class_allows() {
    assert_eq!(doubled(SAFE, SECOND, |_| {}), None);
    let (rule, proof) = doubled(UNSAFE, SECOND, |a| a.backend = 1).expect("a breach");
    assert!(
        rule == Rule::Double && proof.contains("to a: ran; then") && proof.contains("to b"),
        "{proof}"
    );
    assert_eq!(
        doubled(UNSAFE, SECOND, |a| a.disposition = Disposition::Declined),
        None,
        "what was declined never ran"
    );
    // The window of a keyed class is 10 s, and 50 ms of real sockets.
    assert_eq!(doubled(KEYED, 10 * SECOND + 50 * MS, |_| {}), None);
    let (rule, proof) = doubled(KEYED, 10 * SECOND + 51 * MS, |_| {}).expect("a breach");
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
    let event_log = one(try_of(7, KEYED), vec![arrival(7, KEYED, SECOND), again]);
    let v = judged_by(&schedule, &event_log);
    assert!(
        v.violations[0].proof.contains("outside its group"),
        "{:?}",
        v.violations
    );
    assert_eq!(
        breach(&event_log),
        None,
        "where the group is all, it is not left"
    );
}

#[test]
fn a_refusal_promises_that_trying_again_is_harmless() {
    let refused = |class, fate| {
        let t = Attempt {
            end: AttemptEnd::Refused { after: None },
            ..try_of(7, class)
        };
        breach(&one(
            t,
            vec![Arrival {
                disposition: fate,
                ..arrival(7, class, SECOND)
            }],
        ))
    };
    assert_eq!(refused(SAFE, Disposition::Executed), None);
    assert_eq!(
        refused(KEYED, Disposition::Executed),
        None,
        "its group is all: repeats are dropped"
    );
    assert_eq!(refused(UNSAFE, Disposition::Declined), None);
    let (rule, proof) = refused(UNSAFE, Disposition::Executed).expect("a breach");
    assert!(
        rule == Rule::Double && proof.contains("refused at"),
        "{proof}"
    );
}

/// Eleven seconds later the backends have forgotten it: whoever sent it then has run it twice.
#[test]
fn who_ran_a_claim_twice_is_named() {
    let late = Attempt {
        id: 8,
        retry: u8::MAX,
        scheduled_at: 12 * SECOND,
        sent_at: Some(12 * SECOND),
        ..try_of(8, KEYED)
    };
    let late = Attempt {
        ended_at: 12 * SECOND + 100 * MS,
        ..late
    };
    let arrivals = vec![arrival(7, KEYED, SECOND), arrival(8, KEYED, 12 * SECOND)];
    let event_log = EventLog {
        attempts: vec![try_of(7, KEYED), late],
        arrivals,
        ..EventLog::default()
    };
    let v = judged(&event_log);
    assert!(v.violations.is_empty(), "the proxy sent each once");
    let [client] = &v.duplicated_by_clients[..] else {
        panic!("{:?}", v.duplicated_by_clients)
    };
    assert!(
        client.contains("its client sent it again at 12.000 s, 11.000 s later"),
        "{client}"
    );
    // Under one id it is the proxy's doing, and no client's.
    let mut by_proxy = event_log;
    by_proxy.arrivals[1].id = 7;
    by_proxy.attempts.truncate(1);
    let v = judged(&by_proxy);
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
fn a_hidden_request_that_is_passed_on_and_a_bad_client_that_is_served() {
    let rude = |status, hidden| MalformedClient {
        kind: "x",
        smuggled_id: hidden,
        at: SECOND,
        status,
        ended_at: Some(SECOND),
    };
    let mut event_log = EventLog {
        malformed_clients: vec![rude(Some(400), Some(7))],
        ..EventLog::default()
    };
    assert_eq!(breach(&event_log), None);
    event_log.arrivals = vec![arrival(7, SAFE, SECOND)];
    assert_eq!(breach(&event_log).expect("a breach").0, Rule::Double);
    let served = EventLog {
        malformed_clients: vec![rude(Some(200), None)],
        ..EventLog::default()
    };
    assert_eq!(breach(&served).expect("a breach").0, Rule::Lost);
    // Owed an answer or a close within 3 s.
    let left = |ended| {
        let rude = vec![MalformedClient {
            ended_at: ended,
            ..rude(None, None)
        }];
        judged(&EventLog {
            malformed_clients: rude,
            ..EventLog::default()
        })
        .malformed_clients[1]
    };
    assert_eq!(
        [left(None), left(Some(4 * SECOND)), left(Some(5 * SECOND))],
        [1, 0, 1]
    );
}

fn told(at: Micros, version: u64, health: Health) -> RegistryUpdate {
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
        ..try_of(7, SAFE)
    };
    breach(
        &EventLog {
            registry_updates: told,
            ..one(t, vec![arrival(7, SAFE, at)])
        }
        .clone(),
    )
}

#[test]
fn nothing_new_goes_to_a_backend_that_drains() {
    let draining = || {
        vec![
            told(0, 1, Health::Serving),
            told(SECOND, 2, Health::Draining),
        ]
    };
    // 500 ms of the settings and 50 ms of real sockets: a connect may have been under way.
    assert_eq!(sent_at(SECOND + 550 * MS, draining()), None);
    let (rule, proof) = sent_at(SECOND + 551 * MS, draining()).expect("a breach");
    assert!(
        rule == Rule::Drain && proof.contains("proxy-1 was told at 1.000 s that a is DRAINING"),
        "{proof}"
    );
    // It counts from the first notice, also when the backend is gone after that.
    let gone = [
        draining(),
        vec![told(SECOND + 400 * MS, 3, Health::Deleted)],
    ]
    .concat();
    assert!(sent_at(SECOND + 600 * MS, gone).is_some());
    // It is back; and an old state told behind the newer one does not bring it back.
    let back = [draining(), vec![told(2 * SECOND, 3, Health::Serving)]].concat();
    assert_eq!(sent_at(3 * SECOND, back), None);
    let old = [draining(), vec![told(2 * SECOND, 1, Health::Serving)]].concat();
    assert!(sent_at(3 * SECOND, old).is_some());
    // Another proxy, another host, another process.
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

/// Two proxies each send a cold backend less than it falls over by, and more together.
#[test]
fn a_cold_backend_is_pushed_over_by_all_proxies_together() {
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
        ..told(SECOND, 1, Health::Serving)
    };
    // 10% of one core, three times over, for 2 s: 600 ms of work and a little more as it warms.
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
        breach(&EventLog {
            incarnations: vec![life.clone()],
            arrivals,
            registry_updates: told,
            ..EventLog::default()
        })
    };
    let all = || vec![told(0), told(1)];
    assert_eq!(by(45, 0, all()), None);
    assert_eq!(by(0, 45, all()), None);
    let (rule, proof) = by(45, 45, all()).expect("a breach");
    assert!(rule == Rule::Cold, "{proof}");
    assert!(
        proof.contains("proxy-1") && proof.contains("proxy-2") && proof.contains("a started at"),
        "{proof}"
    );
    // It is the proxies' only where two thirds of the work came from those who knew of the start.
    assert_eq!(by(45, 45, vec![told(0)]), None);
    // The same spread over time is borne, and a warm one has no such budget.
    let warm = Incarnation {
        warm: true,
        ..life.clone()
    };
    let arrivals = burst(0, 45).chain(burst(1, 45)).collect::<Vec<_>>();
    assert_eq!(
        breach(&EventLog {
            incarnations: vec![warm],
            arrivals,
            registry_updates: all(),
            ..EventLog::default()
        }),
        None
    );
}

/// Every first try of the plan is asked, whether it could be sent or not; late answers earn their
/// part.
#[test]
fn worth_folds_retries_into_the_first_try() {
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
            ..try_of(id, SAFE)
        }
    };
    // In time at the second try; late, for half; never; beyond the share, in time.
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
    let v = judged_by(
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

/// A call that a backend made of the first tier again is no client's, whatever it came to; reaching
/// a backend there, it goes round.
#[test]
fn calls_that_come_round_are_told_from_clients() {
    let round = |end: AttemptEnd, reached: bool| {
        let first = Attempt {
            end: AttemptEnd::Failed(502),
            ..try_of(7, SAFE)
        };
        let again = Attempt {
            parent: Some(7),
            end,
            ..try_of(8, SAFE)
        };
        let mut arrivals = vec![arrival(7, SAFE, SECOND)];
        arrivals.extend(reached.then(|| arrival(8, SAFE, SECOND + MS)));
        judged(&EventLog {
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

/// Work is for nobody from when the client at the chain's head is gone, however deep it is done.
#[test]
fn work_that_begins_when_its_client_has_gone_is_for_nobody() {
    let share = |at: Micros| {
        // Its client gave up after 100 ms; what was done for it before had its use.
        let mut all = vec![Attempt {
            end: AttemptEnd::Cancelled,
            ..try_of(7, SAFE)
        }];
        all.push(Attempt {
            tier: 1,
            parent: Some(7),
            ..try_of(8, SAFE)
        });
        all.push(Attempt {
            tier: 2,
            parent: Some(8),
            ..try_of(9, SAFE)
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
            // Of nobody known, and turned away unseen: neither counts.
            arrival(77, SAFE, at),
            Arrival {
                disposition: Disposition::Declined,
                ..arrival(8, SAFE, at)
            },
        ];
        judged(&EventLog {
            attempts: all,
            arrivals,
            ..EventLog::default()
        })
        .work_for_nobody
    };
    assert_eq!(share(SECOND + 100 * MS), 0.0);
    assert_eq!(share(SECOND + 101 * MS), 0.25);
    // Ids that lead in a circle lead to nobody, and to an end.
    let circle = [(7, 8), (8, 7)].map(|(id, parent)| Attempt {
        parent: Some(parent),
        ..try_of(id, SAFE)
    });
    let event_log = EventLog {
        attempts: circle.into(),
        arrivals: vec![arrival(7, SAFE, SECOND)],
        ..EventLog::default()
    };
    assert_eq!(judged(&event_log).work_for_nobody, 0.0);
}
