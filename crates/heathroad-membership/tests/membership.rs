//! Who is there, as proxies come to know it when some break, stall or lose contact.

mod common;

use common::{EPOCH, World, version};
use heathroad_membership::claim::MemberState;
use heathroad_membership::protocol::Event;
use heathroad_membership::version::Digest;

const LONG: u64 = 120_000;

fn settled(members: u16, seed: u64) -> World {
    let mut world = World::new(members, seed);
    world.run_until(LONG, World::agree).expect("all know all");
    world.news.clear();
    world
}

#[test]
fn all_come_to_know_all_and_what_each_acts_on() {
    for (members, seed) in [(2, 1), (3, 2), (24, 3)] {
        let mut world = settled(members, seed);
        world.fleet_mut(1).set_active_version(version(7));
        let end = world.now + LONG;
        let known = |w: &World| {
            let table = w.fleet(0).members();
            let acts = table
                .get(1)
                .and_then(|m| m.active_version)
                .expect("it acts on something");
            w.agree()
                && w.fleet(0)
                    .known_version(acts.digest)
                    .is_some_and(|v| v.generation == 7)
        };
        world
            .run_until(end, known)
            .expect("the digest and then the whole version are heard");
        assert_eq!(world.false_deaths(), 0);
    }
}

#[test]
fn a_killed_member_is_gone_for_all_and_nobody_else_is() {
    for (loss, seed) in [(0.0, 1), (0.1, 2), (0.3, 3)] {
        let mut world = settled(12, seed);
        world.faults.loss = loss;
        world.kill(5);
        let end = world.now + LONG;
        let gone = |w: &World| {
            w.running()
                .iter()
                .all(|at| w.standing(5, *at) == MemberState::Dead)
        };
        world.run_until(end, gone).expect("it is gone for all");
        let others = world
            .news
            .iter()
            .filter(|(_, _, n)| matches!(n, Event::MemberDead { member } if *member != 5));
        assert_eq!(others.count(), 0, "loss {loss}");
    }
}

/// Who wakes accuses nobody: its waits are all over, but what others said is not read yet.
#[test]
fn a_stalled_member_accuses_nobody_when_it_wakes() {
    for seed in 0..10 {
        let mut world = settled(6, seed);
        world.stall(2, 1800);
        world.run(10_000);
        let woke = world
            .news
            .iter()
            .any(|(_, at, n)| *at == 2 && matches!(n, Event::Stalled { .. }));
        assert!(woke, "seed {seed}");
        let accused = |n: &Event| {
            matches!(
                n,
                Event::MemberSuspected { accuser: 2, .. } | Event::MemberDead { .. }
            )
        };
        assert!(
            !world.news.iter().any(|(_, _, n)| accused(n)),
            "seed {seed}: {:?}",
            world.news
        );
    }
}

/// Event that comes after a quiet time is no sign of a stall.
#[test]
fn nobody_wakes_who_was_not_stalled() {
    let mut world = settled(6, 12);
    world.run(60_000);
    world.fleet_mut(1).set_active_version(version(7));
    world.kill(5);
    world.run(60_000);
    let woke = world
        .news
        .iter()
        .filter(|(_, _, n)| matches!(n, Event::Stalled { .. }));
    assert_eq!(woke.count(), 0);
}

/// One that stalled for so long that it was given up finds out, and goes on in a new life.
#[test]
fn who_was_given_up_comes_back_in_a_new_life() {
    let mut world = settled(6, 4);
    let life = world.fleet(2).revision().incarnation;
    world.stall(2, 40_000);
    world.run(39_000);
    assert_eq!(world.standing(2, 0), MemberState::Dead);
    let end = world.now + LONG;
    world
        .run_until(end, World::agree)
        .expect("it is back for all");
    assert!(world.fleet(2).revision().incarnation > life);
    assert!(
        world
            .news
            .iter()
            .any(|(_, at, n)| *at == 2 && matches!(n, Event::Reincarnated { .. }))
    );
}

/// Who hears nobody accuses nobody, and knows that it is cut off.
#[test]
fn one_way_cut() {
    let mut world = settled(6, 5);
    // Nothing comes to member 3; what it sends is heard.
    world
        .faults
        .cut
        .extend((0..6).filter(|p| *p != 3).map(|p| (p, 3)));
    world.run(6_000);
    assert!(world.fleet(3).is_isolated(), "it knows within some periods");
    world.run(54_000);
    assert!(world.fleet(3).is_isolated());
    let by_it = |n: &Event| matches!(n, Event::MemberSuspected { accuser: 3, .. });
    assert!(
        !world.news.iter().any(|(_, _, n)| by_it(n)),
        "{:?}",
        world.news
    );
    let gone = |n: &Event| matches!(n, Event::MemberDead { member } if *member != 3);
    assert!(!world.news.iter().any(|(_, _, n)| gone(n)));
    world.faults.cut.clear();
    let end = world.now + LONG;
    world
        .run_until(end, World::agree)
        .expect("it is among the others again");
}

#[test]
fn halves_that_were_cut_find_each_other_again() {
    let mut world = settled(8, 6);
    world.cut(&[0, 1, 2, 3], &[4, 5, 6, 7]);
    world.run(60_000);
    let across = |(a, b): (u16, u16)| [world.standing(a, b), world.standing(b, a)];
    let pairs = (0..4).flat_map(|a| (4..8).map(move |b| (a, b)));
    assert!(
        pairs.flat_map(across).all(|s| s == MemberState::Dead),
        "nobody is asked but by a knock"
    );
    assert_eq!(
        (world.standing(2, 0), world.standing(4, 6)),
        (MemberState::Alive, MemberState::Alive)
    );
    world.fleet_mut(6).set_active_version(version(9));
    world.faults.cut.clear();
    let end = world.now + LONG;
    world
        .run_until(end, World::agree)
        .expect("all know all again");
}

/// A clock that an hour was taken from: the new life would be an older one.
#[test]
fn a_restart_under_an_older_clock() {
    let mut world = settled(5, 7);
    world.kill(2);
    world.run(500);
    world.start_in(2, EPOCH - 3_600_000);
    let end = world.now + LONG;
    world
        .run_until(end, World::agree)
        .expect("it is known in a life above its former one");
    assert!(world.fleet(2).revision().incarnation > EPOCH);
}

/// What was said to a former life, or by one, changes nothing.
#[test]
fn messages_from_a_former_life() {
    let mut world = settled(5, 8);
    let mut former = world.fleet(2).clone();
    world.kill(2);
    world.start(2);
    let end = world.now + LONG;
    world.run_until(end, World::agree).expect("it is back");
    let life = world.fleet(2).revision();
    former.set_active_version(version(99));
    for _ in 0..20 {
        let now = world.now;
        former.tick(now);
        let old: Vec<_> = former.transmits().collect();
        for s in old {
            let heard = world.fleet(s.to).traffic().received;
            world.bring(s.to, &s.bytes);
            assert_eq!(
                world.fleet(s.to).traffic().received,
                heard,
                "nothing of it is used"
            );
        }
        world.run(500);
    }
    assert!(world.agree());
    assert_eq!(world.fleet(2).revision().incarnation, life.incarnation);
    let stale: u64 = (0..5).map(|p| world.fleet(p).traffic().dropped.stale).sum();
    assert!(stale > 0);
}

#[test]
fn who_stops_as_planned_has_left() {
    let mut world = settled(6, 9);
    let now = world.now;
    world.fleet_mut(3).leave(now);
    world.run(20);
    let last: Vec<_> = world.fleet_mut(3).transmits().collect();
    last.iter().for_each(|s| world.bring(s.to, &s.bytes));
    world.kill(3);
    let end = world.now + 5_000;
    let left = |w: &World| {
        w.running()
            .iter()
            .all(|at| w.standing(3, *at) == MemberState::Left)
    };
    world
        .run_until(end, left)
        .expect("sooner than any suspicion");
}

/// Half of a fleet that comes back at once asks nobody in particular, and nobody sends more than it
/// may.
#[test]
fn half_of_a_fleet_killed_and_back_together() {
    let mut world = settled(100, 10);
    (0..50).for_each(|p| world.kill(p));
    world.run(5_000);
    (0..50).for_each(|p| world.start(p));
    let (heard, begun) = (|w: &World, p| w.fleet(p).traffic().received, world.now);
    let before: Vec<u64> = (0..100).map(|p| heard(&world, p)).collect();
    world.run(2_000);
    let most = (0..100)
        .map(|p| heard(&world, p) - before[usize::from(p)])
        .max()
        .expect("some");
    assert!(most < 200, "{most} in two seconds");
    world
        .run_until(begun + LONG, World::agree)
        .expect("all know all");
}

/// However large a fleet is, a member sends no more than its bound a second, and no datagram is
/// longer than may be.
#[test]
fn three_hundred_members() {
    let mut world = World::new(300, 11);
    world.run_until(LONG, World::agree).expect("all know all");
    let (quiet, bytes, begun) = (world.sent.clone(), world.bytes, world.now);
    world.run(10_000);
    let most = world
        .sent
        .iter()
        .zip(&quiet)
        .map(|(a, b)| a - b)
        .max()
        .expect("some");
    println!("all known after {begun} ms; then at most {most} datagrams a member in 10 s");
    println!("{} bytes a member and second", (world.bytes - bytes) / 3000);
    assert!(most <= 10 * 41);
    assert!(world.longest <= 256);
    world.kill(17);
    world.fleet_mut(3).set_active_version(version(5));
    let end = world.now + LONG;
    world
        .run_until(end, World::agree)
        .expect("a death and a version are known to all");
    assert_eq!(
        world
            .fleet(9)
            .members()
            .get(3)
            .and_then(|m| m.active_version)
            .map(|a| a.digest),
        Some(version(5).digest())
    );
    assert_ne!(version(5).digest(), Digest::default());
}
