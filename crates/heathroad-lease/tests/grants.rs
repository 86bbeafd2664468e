//! Who holds a duty, and who comes next, by the faults that hit its holder and its voters.

mod common;

use common::{LEASE, UNIX, World, duty};
use heathroad_lease::duties::{Duties, Output, turn};
use heathroad_lease::electorate::{Electorate, Unfit};
use heathroad_lease::message::{Message, Send, What, Why};
use heathroad_lease::seat::{Ended, Event};
use heathroad_lease::token::{Token, count_at};
use heathroad_lease::voter::{Memory, Voter};
use heathroad_lease::{DutyId, Terms};
use heathroad_membership::MemberId;

const LONG: u64 = 60_000;

fn held(members: u16, voters: u16, seed: u64) -> World {
    let mut world = World::new(members, voters, seed);
    world
        .run_until(LONG, |w| w.holder().is_some())
        .expect("it is held");
    world
}

/// Runs until somebody holds it, under a later token than before: who, and how long that took.
fn next(world: &mut World, last: Token) -> (MemberId, u64) {
    let (begun, end) = (world.now, world.now + LONG);
    let later = |w: &World| w.holders().iter().any(|(_, t)| *t > last);
    let at = world.run_until(end, later).expect("it is held again");
    (
        world
            .holders()
            .iter()
            .find(|(_, t)| *t > last)
            .expect("it is")
            .0,
        at - begun,
    )
}

fn token(world: &World) -> Token {
    world.holders().first().expect("it is held").1
}

/// Membership is quick here; the lease is what is waited for.
const BOUND: u64 = LEASE * 2;

#[test]
fn it_is_held_by_whose_turn_it_is() {
    let world = held(9, 3, 1);
    assert_eq!(
        world.holder(),
        turn(duty(), &world.running()).first().copied()
    );
}

#[test]
fn duties_are_spread() {
    let all: Vec<MemberId> = (0..30).collect();
    let mut first: Vec<MemberId> = (0..30)
        .map(|n| turn(DutyId::of(&format!("duty {n}")), &all)[0])
        .collect();
    first.sort_unstable();
    first.dedup();
    assert!(first.len() > 12, "{first:?}");
}

#[test]
fn a_holder_that_dies_is_followed() {
    let mut world = held(6, 3, 2);
    let (first, last) = (world.holder().expect("held"), token(&world));
    world.run(LEASE * 6);
    world.kill(first);
    let (second, took) = next(&mut world, last);
    assert!(second != first && took < BOUND, "{second} after {took}");
}

#[test]
fn one_that_resigns_is_followed_at_once_and_does_not_come_back() {
    for seed in 20..40 {
        let mut world = held(6, 3, seed);
        world.run(LEASE * 2);
        let (first, last) = (world.holder().expect("held"), token(&world));
        world.with(first, |d, now| d.resign(now, duty(), Ended::Told));
        let (second, took) = next(&mut world, last);
        assert!(
            second != first && took < LEASE / 10,
            "{second} after {took}"
        );
        world.run(LEASE * 4);
        assert_eq!(world.holder(), Some(second));
    }
}

/// Words that are lost on the way of a hand-on cost a round of them, and not a lease.
#[test]
fn a_hand_on_under_loss() {
    let mut slow = 0;
    for seed in 100..200 {
        let mut world = held(6, 3, seed);
        world.run(LEASE * 2);
        let (first, last) = (world.holder().expect("held"), token(&world));
        world.faults.loss = 0.1;
        world.with(first, |d, now| d.resign(now, duty(), Ended::Told));
        let (_, took) = next(&mut world, last);
        slow += u32::from(took > LEASE / 4);
    }
    assert!(
        slow <= 2,
        "{slow} of 100 took longer than a quarter of a lease"
    );
}

/// Who has been told that it is free asks again soon, though voters have not heard that yet.
#[test]
fn a_promise_is_believed_for_a_while() {
    for promised in [true, false] {
        let mut world = World::new(3, 3, 1);
        let d = world.proxies[0].duties.as_mut().expect("it runs");
        if promised {
            d.hear(
                10,
                1,
                1,
                Message {
                    duty: duty(),
                    what: What::Yours,
                },
            );
        } else {
            d.tick(10);
        }
        let (highest, why) = (Token::default(), Some(Why::Held));
        for voter in 1..3 {
            let what = What::Stands {
                round: 1,
                highest,
                left: 900,
                why,
                died: 0,
            };
            d.hear(20, voter, 1, Message { duty: duty(), what });
        }
        assert_eq!(d.due() < 20 + LEASE / 16, promised, "{}", d.due());
    }
}

/// Whoever has let it go does not have it again soon, though nobody else is left.
#[test]
fn all_have_let_it_go() {
    let mut world = held(3, 3, 19);
    for _ in 0..3 {
        let end = world.now + LONG;
        world
            .run_until(end, |w| w.holder().is_some())
            .expect("it is held");
        let holder = world.holder().expect("held");
        world.with(holder, |d, now| d.resign(now, duty(), Ended::Unfit));
    }
    let end = world.now + LEASE * 7;
    assert_eq!(world.run_until(end, |w| w.holder().is_some()), None);
    let end = world.now + LEASE * 5;
    world
        .run_until(end, |w| w.holder().is_some())
        .expect("it is tried again");
}

/// Of a large fleet a few ask, and the others are silent.
#[test]
fn few_stand_by() {
    let mut world = held(30, 3, 19);
    world.asked.fill(0);
    let sent = world.sent;
    world.run(LEASE * 20);
    // Also where they are told of the time for another reason.
    (0..30).for_each(|p| world.with(p, Duties::tick));
    assert_eq!(
        world.asked.iter().filter(|n| **n > 0).count(),
        3,
        "{:?}",
        world.asked
    );
    assert!(
        (world.sent - sent) / 20 < 50,
        "{} a lease",
        (world.sent - sent) / 20
    );
}

/// What is not answered is asked again under the same token, of those who did not answer.
#[test]
fn questions_are_asked_again() {
    let mut world = World::new(3, 3, 1);
    (1..3).for_each(|p| world.kill(p));
    let asks = |world: &mut World, at: u64| {
        let d = world.proxies[0].duties.as_mut().expect("it runs");
        d.tick(at);
        let asked = |o: Output| match o {
            Output::Send(Send {
                to,
                message:
                    Message {
                        what: What::Ask { token, round, .. },
                        ..
                    },
            }) => Some((to, token, round)),
            _ => None,
        };
        d.outputs().filter_map(asked).collect::<Vec<_>>()
    };
    assert_eq!(
        asks(&mut world, 10),
        [],
        "voters are asked first whether it is free"
    );
    let free = |round| What::Stands {
        round,
        highest: Token::default(),
        left: 0,
        why: None,
        died: 0,
    };
    let d = world.proxies[0].duties.as_mut().expect("it runs");
    let looked = |d: &mut Duties| {
        let to = |o: Output| match o {
            Output::Send(Send {
                to,
                message:
                    Message {
                        what: What::Look { .. },
                        ..
                    },
            }) => Some(to),
            _ => None,
        };
        d.outputs().filter_map(to).collect::<Vec<_>>()
    };
    d.hear(
        10,
        1,
        1,
        Message {
            duty: duty(),
            what: free(1),
        },
    );
    assert_eq!(looked(d), []);
    d.tick(10 + LEASE / 16);
    assert_eq!(
        looked(d),
        [0, 2],
        "those who did not answer are asked again"
    );
    for voter in 1..3 {
        let stands = Message {
            duty: duty(),
            what: free(1),
        };
        world.proxies[0]
            .duties
            .as_mut()
            .expect("it runs")
            .hear(10, voter, 1, stands);
    }
    let first = asks(&mut world, 10);
    assert_eq!(
        first.iter().map(|(to, ..)| *to).collect::<Vec<_>>(),
        [0, 1, 2]
    );
    let (_, token, round) = first[1];
    let granted = What::Granted {
        token,
        round,
        lease: 500,
        mark: None,
    };
    world.proxies[0].duties.as_mut().expect("it runs").hear(
        11,
        1,
        1,
        Message {
            duty: duty(),
            what: granted,
        },
    );
    let again = asks(&mut world, 10 + LEASE / 16);
    assert_eq!(
        again.iter().map(|(to, t, _)| (*to, *t)).collect::<Vec<_>>(),
        [(0, token), (2, token)]
    );
    // An answer to a question that was never asked is none.
    let granted = What::Granted {
        token,
        round: 999,
        lease: 500,
        mark: None,
    };
    let d = world.proxies[0].duties.as_mut().expect("it runs");
    d.hear(
        90,
        2,
        1,
        Message {
            duty: duty(),
            what: granted,
        },
    );
    assert_eq!(d.holds(90, duty()), None);
    let granted = What::Granted {
        token,
        round: again[1].2,
        lease: 500,
        mark: None,
    };
    d.hear(
        90,
        2,
        1,
        Message {
            duty: duty(),
            what: granted,
        },
    );
    assert_eq!(d.holds(90, duty()), Some(token));
    // Counted from when the first of the two was asked, and not from when it answered.
    assert_eq!(
        (d.holds(509, duty()), d.holds(510, duty())),
        (Some(token), None)
    );
    // Work may have looked then, and stopped: what comes later brings nothing back, though it was
    // asked for in time.
    let renewed = d.outputs().filter_map(|o| match o {
        Output::Send(Send {
            message:
                Message {
                    what: What::Ask { round, .. },
                    ..
                },
            ..
        }) => Some(round),
        _ => None,
    });
    let round = renewed.max().expect("it has its grants renewed at once");
    let granted = What::Granted {
        token,
        round,
        lease: 1000,
        mark: None,
    };
    for voter in 0..3 {
        d.hear(
            520,
            voter,
            1,
            Message {
                duty: duty(),
                what: granted.clone(),
            },
        );
    }
    assert_eq!(d.holds(520, duty()), None);
    let lapsed = Event::End {
        token,
        why: Ended::Lapsed,
    };
    assert!(
        d.outputs()
            .any(|o| o == Output::Event(duty(), lapsed.clone()))
    );
}

/// A voter that starts anew is not taken from a holder by one that stands by: each such vote would
/// be one less for whoever holds.
#[test]
fn voters_that_start_come_back_to_the_holder() {
    for (seed, disk) in (60..80).map(|n| (n, n % 2 == 0)) {
        let mut world = held(6, 3, seed);
        world.run(LEASE);
        let (holder, last) = (world.holder().expect("held"), token(&world));
        for voter in (0..3).filter(|v| *v != holder) {
            world.kill(voter);
            world.proxies[usize::from(voter)].has_disk = disk;
            world.start(voter);
            // Under another token where a voter has forgotten; the gap is one of some messages.
            let end = world.now + LEASE * 4;
            let gap = |w: &World| w.holder().is_none();
            if let Some(from) = world.run_until(end, gap) {
                let to = world.run_until(end, |w| !gap(w)).expect("it is held again");
                assert!(
                    !disk && to - from < LEASE / 5,
                    "seed {seed}: {from} to {to}"
                );
                world.run(end - to);
            }
            assert_eq!(world.holder(), Some(holder), "seed {seed}");
        }
        assert_eq!(token(&world) == last, disk, "seed {seed}");
        for voter in 0..3 {
            let memory = world.duties(voter).voter().expect("a voter").memory();
            let known = memory.duties.get(&duty()).map(|h| h.token);
            assert_eq!(known, Some(token(&world)), "seed {seed}: {voter}");
        }
    }
}

/// A candidate that did not win has not died.
#[test]
fn candidates_that_do_not_win_hold_nothing_back() {
    let terms = Terms { lease: LEASE };
    let mut voter = Voter::new(0, 5, terms, 0, Memory::default());
    let mut now = terms.kept(LEASE);
    let mut ask = |now, token: Token| {
        voter
            .hear(
                now,
                token.place(),
                1,
                duty(),
                What::Ask {
                    token,
                    round: 1,
                    lease: 500,
                },
            )
            .0
    };
    let granted = |answer: Option<What>| matches!(answer, Some(What::Granted { .. }));
    for n in 0..9 {
        assert!(granted(ask(now, Token::new(0, 9 + n, 3))), "{n}");
        now += LEASE;
    }
    // Those who have known that they hold, and are silent, have.
    for n in 20..23 {
        let token = Token::new(0, n, 4);
        assert!(
            granted(ask(now, token)) && granted(ask(now + 1, token)),
            "{n}"
        );
        now += LEASE;
    }
    assert!(!granted(ask(now, Token::new(0, 30, 5))));
}

/// A voter listens to whom a token names, of no older electorate than it knows.
#[test]
fn a_voter_listens_to_its_electorate() {
    let terms = Terms { lease: LEASE };
    let mut voter = Voter::new(0, 5, terms, 1, Memory::default());
    let ask = |generation, place| What::Ask {
        token: Token::new(generation, 9, place),
        round: 1,
        lease: 500,
    };
    let why = |answer: (Option<What>, bool)| match answer.0 {
        Some(What::Refused { why, .. }) => Some(why),
        _ => None,
    };
    let later = terms.kept(LEASE);
    assert_eq!(
        why(voter.hear(later - 1, 3, 1, duty(), ask(1, 3))),
        Some(Why::Silent)
    );
    assert_eq!(voter.hear(later, 3, 1, duty(), ask(1, 4)), (None, false));
    assert_eq!(
        why(voter.hear(later, 3, 1, duty(), ask(0, 3))),
        Some(Why::Foreign)
    );
    assert!(matches!(
        voter.hear(later, 3, 1, duty(), ask(1, 3)),
        (Some(What::Granted { .. }), true)
    ));
    // A later one has been heard of: of another duty, too.
    let other = DutyId::of("other");
    assert!(matches!(
        voter.hear(later, 3, 1, other, ask(2, 3)),
        (Some(What::Granted { .. }), true)
    ));
    assert_eq!(
        why(voter.hear(later, 3, 1, DutyId::of("third"), ask(1, 3))),
        Some(Why::Foreign)
    );
    // Nothing under a token that is not above all that it granted, or that was resigned, also where
    // it is free.
    let free = later + 2 * LEASE;
    let ask = |count, place| What::Ask {
        token: Token::new(2, count, place),
        round: 1,
        lease: 500,
    };
    assert_eq!(
        why(voter.hear(free, 4, 1, other, ask(8, 4))),
        Some(Why::Low)
    );
    assert_eq!(
        why(voter.hear(free, 3, 2, other, ask(9, 3))),
        Some(Why::Low),
        "another life's"
    );
    assert!(matches!(
        voter.hear(free, 4, 1, other, ask(9, 4)),
        (Some(What::Granted { .. }), true)
    ));
    voter.hear(
        free,
        4,
        1,
        other,
        What::Resign {
            token: Token::new(2, 9, 4),
        },
    );
    assert_eq!(
        why(voter.hear(free, 4, 1, other, ask(9, 4))),
        Some(Why::Low)
    );
    // For no longer than its own lease, whatever is asked for.
    let long = What::Ask {
        token: Token::new(2, 9, 5),
        round: 1,
        lease: 1 << 30,
    };
    let (granted, _) = voter.hear(later, 5, 1, DutyId::of("fourth"), long);
    assert!(
        matches!(granted, Some(What::Granted { lease: 1000, .. })),
        "{granted:?}"
    );
}

/// A stalled holder that is asked before anything else is done on its waking knows that its time is
/// over.
#[test]
fn time_is_looked_at_before_an_act() {
    let mut world = held(6, 3, 21);
    let first = world.holder().expect("held");
    world.stall(first, LEASE * 3);
    world.run(LEASE * 3 - 1);
    assert_eq!(world.duties(first).holds(world.now, duty()), None);
}

/// The word to the next one, and all that voters were told of the end, are lost: the grants run
/// out.
#[test]
fn a_hand_on_whose_messages_are_lost() {
    let mut world = held(6, 3, 4);
    let (first, last) = (world.holder().expect("held"), token(&world));
    world.run(LEASE * 6);
    let others: Vec<MemberId> = (0..6).filter(|p| *p != first).collect();
    world.cut(&[first], &others);
    world.with(first, |d, now| d.resign(now, duty(), Ended::Unfit));
    let (second, took) = next(&mut world, last);
    assert!(second != first && took < BOUND, "{second} after {took}");
}

#[test]
fn one_that_stalls_in_an_act_is_refused_when_it_wakes() {
    for checks in [true, false] {
        let mut world = held(6, 3, 5);
        (world.acting, world.checks) = (Some(5), checks);
        world.run(LEASE * 6);
        let first = world.holder().expect("held");
        world.stall(first, LEASE * 3);
        world.run(LEASE * 8);
        assert_eq!(world.judge().is_ok(), checks, "{:?}", world.judge());
        let late = world.acts.iter().any(|d| d.by == first && !d.taken);
        assert_eq!(late, checks, "its last act comes after another's");
        let why = world.events.iter().find_map(|(_, p, e)| match e {
            Event::End { why, .. } if *p == first => Some(*why),
            _ => None,
        });
        assert_eq!(why, Some(Ended::Lapsed));
    }
}

/// Cut off from the voters alone, it stops acting before anybody else begins.
#[test]
fn one_that_is_cut_off_from_voters_stops_before_another_begins() {
    for one_way in [[false, true], [true, false], [true, true]] {
        let mut world = held(8, 3, 6);
        world.acting = Some(5);
        world.run(LEASE * 6);
        let (first, last) = (world.holder().expect("held"), token(&world));
        for voter in (0..3).filter(|v| *v != first) {
            let ways = [(first, voter), (voter, first)];
            world.faults.cut.extend(
                ways.into_iter()
                    .zip(one_way)
                    .filter(|(_, cut)| *cut)
                    .map(|(w, _)| w),
            );
        }
        let (second, took) = next(&mut world, last);
        assert!(second != first && took < BOUND, "{second} after {took}");
        world.run(LEASE);
        assert_eq!(world.judge(), Ok(()));
        assert!(world.acts.iter().all(|d| d.taken), "no act came late");
    }
}

/// Cut from some it acts on, and not from the voters, it goes on.
#[test]
fn one_that_is_heard_by_voters_goes_on() {
    let mut world = held(9, 3, 7);
    let (first, last) = (world.holder().expect("held"), token(&world));
    let others: Vec<MemberId> = (3..9).filter(|p| *p != first).collect();
    world.cut(&[first], &others);
    world.run(LEASE * 10);
    assert_eq!((world.holder(), token(&world)), (Some(first), last));
}

#[test]
fn without_a_majority_nobody_is_granted_anything_and_what_is_held_lapses() {
    let mut world = held(6, 3, 8);
    let last = token(&world);
    let all: Vec<MemberId> = (0..6).collect();
    for voter in 0..3 {
        let others: Vec<MemberId> = all.iter().copied().filter(|p| *p != voter).collect();
        world.cut(&[voter], &others);
    }
    world.run(LEASE * 2);
    assert_eq!(world.holders(), []);
    assert!(world.begun().iter().all(|b| b.2 <= last));
    world.faults.cut.clear();
    let (_, took) = next(&mut world, last);
    assert!(took < BOUND, "{took}");
}

#[test]
fn a_mark_is_what_the_next_holder_begins_with() {
    let mut world = held(6, 3, 9);
    let (first, last) = (world.holder().expect("held"), token(&world));
    world.faults.loss = 0.3;
    world.with(first, |d, now| {
        assert_eq!(d.mark(now, duty(), b"one".to_vec()), Some(1))
    });
    world.with(first, |d, now| {
        assert_eq!(d.mark(now, duty(), b"two".to_vec()), Some(2))
    });
    let saved = |w: &World| {
        w.events
            .iter()
            .any(|(_, _, e)| matches!(e, Event::Saved { seq: 2, .. }))
    };
    let end = world.now + LONG;
    world.run_until(end, saved).expect("a quorum keeps it");
    world.faults.loss = 0.0;
    world.kill(first);
    next(&mut world, last);
    let mark = world
        .begun()
        .last()
        .expect("begun")
        .3
        .clone()
        .expect("a mark");
    assert_eq!(
        (mark.seq, &mark.state[..], mark.token),
        (2, &b"two"[..], last)
    );
    assert!(world.kept > 0);
}

/// It is saved once a quorum has said that it keeps it, and told in the end to all voters.
#[test]
fn a_mark_is_saved_by_a_quorum() {
    let mut world = held(6, 3, 22);
    let holder = world.holder().expect("held");
    let others: Vec<MemberId> = (0..3).filter(|v| *v != holder).collect();
    let voters: Vec<MemberId> = if holder < 3 {
        vec![holder, others[0]]
    } else {
        others[..2].to_vec()
    };
    let cut: Vec<MemberId> = (0..3).filter(|v| !voters.contains(v)).collect();
    world.cut(&cut, &[holder]);
    world.faults.cut.push((holder, others[0]));
    world.with(holder, |d, now| {
        assert_eq!(d.mark(now, duty(), b"one".to_vec()), Some(1))
    });
    let saved = |w: &World| {
        w.events
            .iter()
            .any(|(_, _, e)| matches!(e, Event::Saved { seq: 1, .. }))
    };
    let end = world.now + LEASE / 3;
    assert_eq!(world.run_until(end, saved), None);
    world.faults.cut.retain(|way| *way != (holder, others[0]));
    let end = world.now + LEASE / 3;
    world.run_until(end, saved).expect("two of three keep it");
    let kept = |w: &World, v: MemberId| {
        let memory = w.duties(v).voter().expect("a voter").memory();
        memory.duties.get(&duty()).map_or(0, |h| h.mark.seq)
    };
    assert_eq!(kept(&world, cut[0]), 0);
    world.faults.cut.clear();
    world.run(LEASE);
    assert_eq!(kept(&world, cut[0]), 1);
}

/// A mark that no quorum keeps may or may not be what the next one begins with; one of a holder
/// that was followed is kept by nobody.
#[test]
fn a_late_mark_is_refused() {
    let mut world = held(6, 3, 10);
    let (first, last) = (world.holder().expect("held"), token(&world));
    world.run(LEASE * 6);
    world.stall(first, LEASE * 4);
    let (_, _) = next(&mut world, last);
    let kept = world.kept;
    world.run(LEASE);
    let mark = heathroad_lease::voter::Mark {
        token: last,
        seq: 9,
        state: b"late".to_vec(),
    };
    let (voter, life) = (
        (0..3).find(|v| *v != first).expect("another"),
        world.proxies[usize::from(first)].life,
    );
    let message = Message {
        duty: duty(),
        what: What::Keep { mark },
    };
    world.with(voter, |d, now| d.hear(now, first, life, message));
    assert_eq!(world.kept, kept);
}

/// All voters are killed at once and know nothing, or what they had on disk: the next token is
/// higher all the same.
#[test]
fn tokens_grow_over_restarts_of_all_voters() {
    for disk in [true, false] {
        for clocks_back in [0, 3600] {
            if !disk && clocks_back > 0 {
                // Nothing is left that could know: the page says so.
                continue;
            }
            let mut world = held(3, 3, 11);
            world.run(LEASE * 3);
            let last = token(&world);
            (0..3).for_each(|p| world.kill(p));
            world.run(LEASE * 2);
            for p in 0..3 {
                let proxy = &mut world.proxies[usize::from(p)];
                (proxy.has_disk, proxy.unix_off) = (disk, -clocks_back);
                world.start(p);
            }
            next(&mut world, last);
            assert_eq!(world.judge(), Ok(()));
        }
    }
}

/// All are killed and know nothing, and whoever asks has a clock that is an hour back: the voters'
/// is what counts.
#[test]
fn tokens_grow_for_one_whose_clock_is_back() {
    let mut world = held(12, 3, 18);
    let last = token(&world);
    let order = turn(duty(), &world.running());
    let voters: Vec<MemberId> = order[9..].to_vec();
    (0..12).for_each(|p| world.kill(p));
    for p in 0..12 {
        let proxy = &mut world.proxies[usize::from(p)];
        proxy.electorate = Electorate::new(0, voters.clone(), Vec::new(), 12).expect("good voters");
        (proxy.has_disk, proxy.unix_off) = (false, if voters.contains(&p) { 0 } else { -3600 });
        world.start(p);
    }
    let (holder, _) = next(&mut world, last);
    assert_eq!(holder, order[0]);
    assert_eq!(world.judge(), Ok(()));
}

/// A voter comes back with an old copy of what it had kept, or with nothing: nobody begins beside
/// the holder or under a lower token.
#[test]
fn a_voter_with_an_old_copy() {
    for copy in [true, false] {
        let mut world = held(5, 3, 12);
        world.acting = Some(5);
        let old = world.proxies[1].disk.clone();
        for n in 0..6 {
            world.run(LEASE * 2);
            let end = world.now + LONG;
            world
                .run_until(end, |w| w.holder().is_some())
                .expect("it is held");
            let holder = world.holder().expect("held");
            world.with(holder, |d, now| d.resign(now, duty(), Ended::Told));
            world.run(LEASE / 2);
            let voter = n % 3;
            world.kill(voter);
            world.proxies[usize::from(voter)].disk = if copy {
                old.clone()
            } else {
                Default::default()
            };
            world.start(voter);
        }
        world.run(LEASE * 3);
        assert_eq!(world.judge(), Ok(()));
        assert!(world.acts.iter().all(|d| d.taken));
    }
}

/// A voter that starts says nothing for longer than whatever it granted before counts.
#[test]
fn a_voter_that_starts_is_silent() {
    let mut world = held(5, 3, 13);
    let (last, holder) = (token(&world), world.holder().expect("held"));
    (0..3).filter(|p| *p != holder).for_each(|p| world.kill(p));
    world.proxies.iter_mut().for_each(|p| p.has_disk = false);
    (0..3).filter(|p| *p != holder).for_each(|p| world.start(p));
    let others: Vec<MemberId> = (0..5).filter(|p| *p != holder).collect();
    world.cut(&[holder], &others);
    let (_, took) = next(&mut world, last);
    assert!(took >= Terms { lease: LEASE }.kept(LEASE), "{took}");
}

/// The set of voters is changed while one is cut off: in between both sets are asked, and who goes
/// by the old one alone is refused.
#[test]
fn voters_are_changed_while_one_is_cut_off() {
    let mut world = held(8, 3, 14);
    world.acting = Some(5);
    let last = token(&world);
    world.cut(&[2], &[0, 1, 3, 4, 5, 6, 7]);
    let sets = [
        (1, vec![3, 4, 5], vec![0, 1, 2]),
        (2, vec![3, 4, 5], vec![]),
    ];
    for (generation, voters, previous) in sets {
        let electorate = Electorate::new(generation, voters, previous, 8).expect("good voters");
        for p in (0..8).filter(|p| *p != 2) {
            world.kill(p);
            world.proxies[usize::from(p)].electorate = electorate.clone();
            world.start(p);
            world.run(LEASE * 2);
        }
    }
    // The one that was cut off still goes by the first set, of which it is one alone.
    world.faults.cut.clear();
    world.run(LEASE * 4);
    assert!(token(&world) > last && token(&world).generation() == 2);
    assert_eq!(world.judge(), Ok(()));
}

/// What kills each holder is held back longer and longer, and does not go through the fleet.
#[test]
fn a_duty_that_kills_its_holders_is_held_back() {
    let mut world = held(12, 3, 15);
    let mut killed = Vec::new();
    let end = world.now + LEASE * 60;
    while world.now < end {
        let kills = world.holder();
        // Voters are spared, so that their memory of it stays.
        if let Some(p) = kills {
            killed.push(p);
            world.kill(p);
            world.start(p);
        }
        world.run(20);
    }
    assert!((4..11).contains(&killed.len()), "{killed:?}");
    // One that lives ends that.
    let end = world.now + LEASE * 100;
    world
        .run_until(end, |w| w.holder().is_some())
        .expect("it is tried again");
    let holder = world.holder().expect("held");
    world.run(LEASE * 6);
    assert_eq!(world.holder(), Some(holder));
}

/// Members that stall are no sign of that.
#[test]
fn one_that_stalls_and_lives_holds_nothing_back() {
    let mut world = held(5, 5, 16);
    for _ in 0..8 {
        let (holder, last) = (world.holder().expect("held"), token(&world));
        world.stall(holder, LEASE + LEASE / 2);
        let (_, took) = next(&mut world, last);
        assert!(took < BOUND + LEASE, "{took}");
        world.run(LEASE);
    }
}

#[test]
fn duelling_candidates_end_under_loss() {
    for seed in 0..40 {
        let mut world = World::new(5, 5, 100 + seed);
        world.faults.loss = 0.3;
        let at = world
            .run_until(LONG, |w| w.holder().is_some())
            .expect("somebody wins");
        assert!(at < LEASE * 5, "seed {seed}: {at}");
        world.acting = Some(5);
        world.run(LEASE * 10);
        assert_eq!(world.judge(), Ok(()), "seed {seed}");
        assert_eq!(
            world.begun().len(),
            1,
            "seed {seed}: losses alone end no hold"
        );
    }
}

/// Clocks whose rates differ by as much as is allowed; beyond that tokens alone are left.
#[test]
fn clocks_of_other_rates() {
    for fast in [-9, 9] {
        let mut world = held(5, 3, 17);
        for (n, p) in world.proxies.iter_mut().enumerate() {
            (p.fast, p.ahead) = (if n % 2 == 0 { fast } else { -fast }, 1000 * n as u64);
        }
        (0..5).for_each(|p| world.kill(p));
        (0..5).for_each(|p| world.start(p));
        world.acting = Some(2);
        for _ in 0..6 {
            world.run(LEASE * 6);
            let Some(holder) = world.holder() else {
                continue;
            };
            let others: Vec<MemberId> = (0..5).filter(|p| *p != holder).collect();
            world.cut(&[holder], &others);
            world.run(LEASE * 3);
            world.faults.cut.clear();
        }
        assert_eq!(world.judge(), Ok(()));
        assert!(
            world.acts.iter().all(|d| d.taken),
            "leases alone keep the order"
        );
    }
}

#[test]
fn electorates_are_checked() {
    let new = |voters: &[MemberId], previous: &[MemberId]| {
        Electorate::new(1, voters.to_vec(), previous.to_vec(), 9)
    };
    assert!(new(&[0, 1, 2], &[3, 4, 5, 6, 7]).is_ok());
    assert_eq!(new(&[0, 1], &[]), Err(Unfit::Count(2)));
    assert_eq!(new(&[0, 1, 1], &[]), Err(Unfit::Twice(1)));
    assert_eq!(new(&[0, 1, 9], &[]), Err(Unfit::Stranger(9)));
    assert_eq!(
        Electorate::new(0, vec![0, 1, 2], vec![0, 1, 2], 9),
        Err(Unfit::First)
    );
    let joint = new(&[0, 1, 2], &[2, 3, 4]).expect("good");
    assert!(!joint.quorum(|p| p < 3) && joint.quorum(|p| [0, 2, 3].contains(&p)));
    assert_eq!(joint.reached(|p| Some(10 - p)), Some(7));
}

#[test]
fn tokens_are_in_order() {
    let count = count_at(UNIX);
    let token = Token::new(3, count, 7);
    assert_eq!(
        (token.generation(), token.count(), token.place()),
        (3, count, 7)
    );
    assert_eq!(token.to_string().parse(), Ok(token));
    let above = |own, floor| token.above(floor, 3, own).expect("there is one");
    assert_eq!(
        (above(8, 0), above(6, 0)),
        (Token::new(3, count, 8), Token::new(3, count + 1, 6))
    );
    assert_eq!(above(6, count + 9), Token::new(3, count + 9, 6));
    assert_eq!(token.above(0, 2, 1), None);
    assert_eq!(Token::new(3, u64::MAX, 9).above(0, 3, 1), None);
    assert!("zz".parse::<Token>().is_err());
}
