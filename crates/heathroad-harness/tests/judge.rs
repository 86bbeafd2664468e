//! The judge as a pure function: ledgers written by hand, one breach at a time, and beside each the
//! twin that is none.

mod common;

use heathroad_harness::clock::{Micros, SECOND};
use heathroad_harness::judge::{Rule, Terms, Verdict, judge};
use heathroad_harness::ledger::*;
use heathroad_harness::plan::Plan;
use heathroad_harness::stand_in::machine::Make;

const SAFE: u16 = 0;
const KEYED: u16 = 2;
const UNSAFE: u16 = 3;
const MS: Micros = 1000;

fn plan() -> Plan {
    common::plan(common::SMALL, 1)
}

fn try_of(id: u64, class: u16) -> Try {
    Try {
        id,
        tier: 0,
        parent: None,
        first: 0,
        number: 0,
        class,
        tenant: 0,
        key: (class == KEYED).then_some(99),
        proxy: 0,
        due: 0,
        sent: Some(SECOND),
        crossed: None,
        patience: SECOND,
        slow: 0,
        end: End::Served(id),
        ended: SECOND + 100 * MS,
        extra: false,
    }
}

fn arrival(id: u64, class: u16, whole: Micros) -> Arrival {
    Arrival {
        host: 0,
        life: 0,
        tier: 0,
        proxy: 0,
        id,
        class,
        key: (class == KEYED).then_some(99),
        version: None,
        first_byte: whole,
        told: None,
        whole,
        work: 1000,
        fate: Fate::Ran,
        mark: id,
        answer: Answer::Served,
        done: Some(whole + 50 * MS),
    }
}

fn judged(ledgers: &Ledgers) -> Verdict {
    judged_by(&plan(), ledgers)
}

fn judged_by(plan: &Plan, ledgers: &Ledgers) -> Verdict {
    let make = Make {
        cores: 1,
        speed: 1.0,
        cold_from: 0.1,
        cold: 60 * SECOND,
        warm_requests: 0,
        fall_multiple: 3.0,
        fall: 2 * SECOND,
    };
    let [proxies, hosts] =
        [["proxy-1", "proxy-2"], ["a", "b"]].map(|names| names.map(String::from));
    judge(
        &Terms {
            plan,
            proxies: &proxies,
            hosts: &hosts,
            cells: &[0, 1],
            makes: &[make.clone(), make],
        },
        ledgers,
    )
}

/// The one breach, and its proof; none.
fn breach(ledgers: &Ledgers) -> Option<(Rule, String)> {
    let v = judged(ledgers);
    assert!(v.breaches.len() <= 1, "{:?}", v.breaches);
    v.breaches.into_iter().next().map(|b| (b.rule, b.proof))
}

fn one(t: Try, arrivals: Vec<Arrival>) -> Ledgers {
    Ledgers {
        tries: vec![t],
        arrivals,
        ..Ledgers::default()
    }
}

fn with_end(end: End) -> Ledgers {
    one(
        Try {
            end,
            ..try_of(7, SAFE)
        },
        vec![arrival(7, SAFE, SECOND)],
    )
}

fn is_lost(ledgers: &Ledgers, says: &str) {
    let (rule, proof) = breach(ledgers).expect("a breach");
    assert!(
        rule == Rule::Lost && proof.contains(says),
        "{rule:?}: {proof}"
    );
}

#[test]
fn one_answer_in_time_made_by_a_backend_for_this_request() {
    for fine in [
        End::Served(7),
        End::Refused { after: None },
        End::Failed(502),
        End::HungUp,
        End::Broken(true),
    ] {
        assert_eq!(breach(&with_end(fine)), None);
    }
    is_lost(&with_end(End::Served(8)), "no backend made for it");
    is_lost(
        &with_end(End::Alien("hello".into())),
        "no backend made for it",
    );
    is_lost(&with_end(End::Broken(false)), "closed without an answer");
    is_lost(&with_end(End::Garbled), "can't be read");
    is_lost(&with_end(End::Silence), "no answer had come");
    // The mark of another request's answer, though a backend made it.
    let mut mixed = with_end(End::Served(8));
    mixed.arrivals.push(arrival(8, SAFE, SECOND));
    is_lost(&mixed, "no backend made for it");
    let twice = Try {
        extra: true,
        ..try_of(7, SAFE)
    };
    is_lost(&one(twice, vec![arrival(7, SAFE, SECOND)]), "second answer");
}

#[test]
fn an_answer_may_be_late_by_the_grace_and_no_more() {
    let at = |took: Micros| {
        let t = Try {
            ended: SECOND + took,
            ..try_of(7, SAFE)
        };
        breach(&one(t, vec![arrival(7, SAFE, SECOND)]))
    };
    // 20 ms of the settings and 50 ms of real sockets.
    assert_eq!(at(SECOND + 70 * MS), None);
    assert!(at(SECOND + 71 * MS).is_some());
    // A slow reader's own time is not the proxy's.
    let t = Try {
        ended: 2 * SECOND + 150 * MS,
        slow: 100 * MS,
        ..try_of(7, SAFE)
    };
    assert_eq!(breach(&one(t, vec![arrival(7, SAFE, SECOND)])), None);
}

/// A close between requests may cross one that the proxy has not read; its sender sends it once
/// more.
#[test]
fn a_close_that_crosses_a_request_takes_nothing_that_was_read() {
    let crossed = |before: &[Micros]| {
        let t = Try {
            crossed: Some(SECOND),
            sent: Some(SECOND + MS),
            ..try_of(7, UNSAFE)
        };
        let first = before.iter().map(|at| Arrival {
            mark: 6,
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
    for end in [End::Broken(false), End::Silence] {
        let mut ledgers = with_end(end.clone());
        let act = |proxy, at| Act {
            at,
            until: at + 5 * MS,
            proxy,
            what: Did::Killed,
        };
        ledgers.acts = vec![act(1, SECOND + 50 * MS), act(0, SECOND / 2)];
        assert!(
            breach(&ledgers).is_some(),
            "another's kill, or an earlier one, explains nothing"
        );
        ledgers.acts.push(act(0, SECOND + 50 * MS));
        assert_eq!(breach(&ledgers), None);
        // Sent while it was dying.
        ledgers.acts = vec![act(0, SECOND - 4 * MS)];
        assert_eq!(breach(&ledgers), None);
        ledgers.acts = vec![act(0, SECOND - 6 * MS)];
        assert!(breach(&ledgers).is_some());
    }
    // A planned stop is no excuse.
    let mut ledgers = with_end(End::Broken(false));
    ledgers.acts = vec![Act {
        at: SECOND + 50 * MS,
        until: 2 * SECOND,
        proxy: 0,
        what: Did::Stopped,
    }];
    assert!(breach(&ledgers).is_some());
}

fn doubled(class: u16, later: Micros, change: impl Fn(&mut Arrival)) -> Option<(Rule, String)> {
    let mut again = arrival(7, class, SECOND + later);
    change(&mut again);
    let t = Try {
        patience: 60 * SECOND,
        ended: 30 * SECOND,
        ..try_of(7, class)
    };
    breach(&one(t, vec![arrival(7, class, SECOND), again]))
}

#[test]
fn what_may_have_run_is_sent_again_only_as_its_class_allows() {
    assert_eq!(doubled(SAFE, SECOND, |_| {}), None);
    let (rule, proof) = doubled(UNSAFE, SECOND, |a| a.host = 1).expect("a breach");
    assert!(
        rule == Rule::Double && proof.contains("to a: ran; then") && proof.contains("to b"),
        "{proof}"
    );
    assert_eq!(
        doubled(UNSAFE, SECOND, |a| a.fate = Fate::Declined),
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
    let mut plan = plan();
    plan.scenario.class[usize::from(KEYED)].group = heathroad_harness::scenario::Group::Cell;
    let again = Arrival {
        host: 1,
        ..arrival(7, KEYED, SECOND + MS)
    };
    let ledgers = one(try_of(7, KEYED), vec![arrival(7, KEYED, SECOND), again]);
    let v = judged_by(&plan, &ledgers);
    assert!(
        v.breaches[0].proof.contains("outside its group"),
        "{:?}",
        v.breaches
    );
    assert_eq!(
        breach(&ledgers),
        None,
        "where the group is all, it is not left"
    );
}

#[test]
fn a_refusal_promises_that_trying_again_is_harmless() {
    let refused = |class, fate| {
        let t = Try {
            end: End::Refused { after: None },
            ..try_of(7, class)
        };
        breach(&one(
            t,
            vec![Arrival {
                fate,
                ..arrival(7, class, SECOND)
            }],
        ))
    };
    assert_eq!(refused(SAFE, Fate::Ran), None);
    assert_eq!(
        refused(KEYED, Fate::Ran),
        None,
        "its group is all: repeats are dropped"
    );
    assert_eq!(refused(UNSAFE, Fate::Declined), None);
    let (rule, proof) = refused(UNSAFE, Fate::Ran).expect("a breach");
    assert!(
        rule == Rule::Double && proof.contains("refused at"),
        "{proof}"
    );
}

/// Eleven seconds later the backends have forgotten it: whoever sent it then has run it twice.
#[test]
fn who_ran_a_claim_twice_is_named() {
    let late = Try {
        id: 8,
        number: u8::MAX,
        due: 12 * SECOND,
        sent: Some(12 * SECOND),
        ..try_of(8, KEYED)
    };
    let late = Try {
        ended: 12 * SECOND + 100 * MS,
        ..late
    };
    let arrivals = vec![arrival(7, KEYED, SECOND), arrival(8, KEYED, 12 * SECOND)];
    let ledgers = Ledgers {
        tries: vec![try_of(7, KEYED), late],
        arrivals,
        ..Ledgers::default()
    };
    let v = judged(&ledgers);
    assert!(v.breaches.is_empty(), "the proxy sent each once");
    let [client] = &v.by_clients[..] else {
        panic!("{:?}", v.by_clients)
    };
    assert!(
        client.contains("its client sent it again at 12.000 s, 11.000 s later"),
        "{client}"
    );
    // Under one id it is the proxy's doing, and no client's.
    let mut by_proxy = ledgers;
    by_proxy.arrivals[1].id = 7;
    by_proxy.tries.truncate(1);
    let v = judged(&by_proxy);
    assert_eq!(
        (v.breaches_of(Rule::Double), v.by_clients.len()),
        (1, 0),
        "{:?}",
        v.breaches
    );
}

#[test]
fn a_hidden_request_that_is_passed_on_and_a_bad_client_that_is_served() {
    let rude = |status, hidden| Rude {
        kind: "x",
        hidden,
        at: SECOND,
        status,
        ended: Some(SECOND),
    };
    let mut ledgers = Ledgers {
        rude: vec![rude(Some(400), Some(7))],
        ..Ledgers::default()
    };
    assert_eq!(breach(&ledgers), None);
    ledgers.arrivals = vec![arrival(7, SAFE, SECOND)];
    assert_eq!(breach(&ledgers).expect("a breach").0, Rule::Double);
    let served = Ledgers {
        rude: vec![rude(Some(200), None)],
        ..Ledgers::default()
    };
    assert_eq!(breach(&served).expect("a breach").0, Rule::Lost);
    // Owed an answer or a close within 3 s.
    let left = |ended| {
        let rude = vec![Rude {
            ended,
            ..rude(None, None)
        }];
        judged(&Ledgers {
            rude,
            ..Ledgers::default()
        })
        .rude[1]
    };
    assert_eq!(
        [left(None), left(Some(4 * SECOND)), left(Some(5 * SECOND))],
        [1, 0, 1]
    );
}

fn told(at: Micros, version: u64, health: Health) -> Told {
    Told {
        at,
        proxy: 0,
        host: 0,
        life: 0,
        version,
        health,
    }
}

fn sent_at(at: Micros, told: Vec<Told>) -> Option<(Rule, String)> {
    let t = Try {
        sent: Some(at),
        ended: at + MS,
        ..try_of(7, SAFE)
    };
    breach(
        &Ledgers {
            told,
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
        |t: &mut Told| t.proxy = 1,
        |t: &mut Told| t.host = 1,
        |t: &mut Told| t.life = 1,
    ] {
        let mut others = draining();
        others.iter_mut().for_each(change);
        assert_eq!(sent_at(3 * SECOND, others), None);
    }
}

/// Two proxies each send a cold backend less than it falls over by, and more together.
#[test]
fn a_cold_backend_is_pushed_over_by_all_proxies_together() {
    let life = Life {
        host: 0,
        life: 1,
        started: SECOND,
        warm: false,
        fell: None,
    };
    let told = |proxy| Told {
        proxy,
        life: 1,
        ..told(SECOND, 1, Health::Serving)
    };
    // 10% of one core, three times over, for 2 s: 600 ms of work and a little more as it warms.
    let burst = |proxy: u16, n: u64| {
        (0..n).map(move |i| Arrival {
            life: 1,
            proxy,
            work: 10 * MS,
            ..arrival(
                1000 * u64::from(proxy) + i,
                SAFE,
                SECOND + 100 * MS + i * MS,
            )
        })
    };
    let by = |first: u64, second: u64, told: Vec<Told>| {
        let arrivals = burst(0, first).chain(burst(1, second)).collect();
        breach(&Ledgers {
            lives: vec![life.clone()],
            arrivals,
            told,
            ..Ledgers::default()
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
    let warm = Life {
        warm: true,
        ..life.clone()
    };
    let arrivals = burst(0, 45).chain(burst(1, 45)).collect::<Vec<_>>();
    assert_eq!(
        breach(&Ledgers {
            lives: vec![warm],
            arrivals,
            told: all(),
            ..Ledgers::default()
        }),
        None
    );
}

/// Every first try of the plan is asked, whether it could be sent or not; late answers earn their
/// part.
#[test]
fn worth_folds_retries_into_the_first_try() {
    let mut plan = plan();
    plan.tries.truncate(4);
    plan.tries
        .iter_mut()
        .for_each(|t| (t.class, t.over, t.at) = (SAFE, false, SECOND));
    plan.tries[3].over = true;
    let served = |first: u32, number: u8, after: Micros| {
        let id = 10 * u64::from(first + 1) + u64::from(number);
        let sent = Some(SECOND + after - 10 * MS);
        Try {
            id,
            first,
            number,
            sent,
            ended: SECOND + after,
            end: End::Served(id),
            ..try_of(id, SAFE)
        }
    };
    // In time at the second try; late, for half; never; beyond the share, in time.
    let failed = Try {
        end: End::Failed(502),
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
        &plan,
        &Ledgers {
            tries,
            arrivals,
            ..Ledgers::default()
        },
    );
    assert_eq!(
        (v.worth.asked, v.worth.earned, v.worth.late),
        (3.05, 1.55, 0.5)
    );
    assert!((v.worth.whole - 1.55 / 3.05).abs() < 1e-9);
    assert!((v.worth.worst_tenant - 0.5).abs() < 0.51, "{:?}", v.worth);
    assert_eq!(v.latencies, [100 * MS, 600 * MS, 1500 * MS]);
    assert_eq!(v.tries, [3, 0, 1, 0]);
}

/// A call that a backend made of the first tier again is no client's, whatever it came to; reaching
/// a backend there, it goes round.
#[test]
fn calls_that_come_round_are_told_from_clients() {
    let round = |end: End, reached: bool| {
        let first = Try {
            end: End::Failed(502),
            ..try_of(7, SAFE)
        };
        let again = Try {
            parent: Some(7),
            end,
            ..try_of(8, SAFE)
        };
        let mut arrivals = vec![arrival(7, SAFE, SECOND)];
        arrivals.extend(reached.then(|| arrival(8, SAFE, SECOND + MS)));
        judged(&Ledgers {
            tries: vec![first, again],
            arrivals,
            ..Ledgers::default()
        })
    };
    let ended = round(End::Failed(508), false);
    assert_eq!(
        (ended.loops_open, ended.tries, ended.worth.earned),
        (0, [0, 0, 1, 0], 0.0)
    );
    let open = round(End::Served(8), true);
    assert_eq!(
        (open.loops_open, open.tries, open.worth.earned),
        (1, [0, 0, 1, 0], 0.0)
    );
    assert_eq!(open.figure("loops_open"), Some(1.0));
}

/// Work is for nobody from when the client at the chain's head is gone, however deep it is done.
#[test]
fn work_that_begins_when_its_client_has_gone_is_for_nobody() {
    let share = |at: Micros| {
        // Its client gave up after 100 ms; what was done for it before had its use.
        let mut all = vec![Try {
            end: End::HungUp,
            ..try_of(7, SAFE)
        }];
        all.push(Try {
            tier: 1,
            parent: Some(7),
            ..try_of(8, SAFE)
        });
        all.push(Try {
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
                fate: Fate::Declined,
                ..arrival(8, SAFE, at)
            },
        ];
        judged(&Ledgers {
            tries: all,
            arrivals,
            ..Ledgers::default()
        })
        .work_for_nobody
    };
    assert_eq!(share(SECOND + 100 * MS), 0.0);
    assert_eq!(share(SECOND + 101 * MS), 0.25);
    // Ids that lead in a circle lead to nobody, and to an end.
    let circle = [(7, 8), (8, 7)].map(|(id, parent)| Try {
        parent: Some(parent),
        ..try_of(id, SAFE)
    });
    let ledgers = Ledgers {
        tries: circle.into(),
        arrivals: vec![arrival(7, SAFE, SECOND)],
        ..Ledgers::default()
    };
    assert_eq!(judged(&ledgers).work_for_nobody, 0.0);
}
