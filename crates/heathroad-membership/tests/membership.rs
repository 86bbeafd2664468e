//! Which members are alive, as the others find out when some fail, stall or are partitioned.

mod common;

use common::{EPOCH, World, version};
use heathroad_membership::claim::MemberState;
use heathroad_membership::protocol::Event;
use heathroad_membership::version::Digest;

const LONG: u64 = 120_000;

fn settled(members: u16, seed: u64) -> World {
    let mut world = World::new(members, seed);
    world.run_until(LONG, World::agrees).expect("all know all");
    world.events.clear();
    world
}

#[test]
fn all_members_learn_of_all_and_of_their_versions() {
    for (members, seed) in [(2, 1), (3, 2), (24, 3)] {
        let mut world = settled(members, seed);
        world.member_mut(1).set_active_version(version(7));
        let end = world.now + LONG;
        let known = |w: &World| {
            let table = w.member(0).members();
            let acts = table
                .get(1)
                .and_then(|m| m.active_version)
                .expect("it acts on something");
            w.agrees()
                && w.member(0)
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
fn a_killed_member_is_dead_for_all_and_no_other_is() {
    for (loss, seed) in [(0.0, 1), (0.1, 2), (0.3, 3)] {
        let mut world = settled(12, seed);
        world.faults.loss = loss;
        world.kill(5);
        let end = world.now + LONG;
        let gone = |w: &World| {
            w.running()
                .iter()
                .all(|at| w.state_of(5, *at) == MemberState::Dead)
        };
        world.run_until(end, gone).expect("it is gone for all");
        let others = world
            .events
            .iter()
            .filter(|(_, _, n)| matches!(n, Event::MemberDead { member } if *member != 5));
        assert_eq!(others.count(), 0, "loss {loss}");
    }
}

/// A member that was stalled finds all its timeouts expired, but has not read yet what others sent.
#[test]
fn a_stalled_member_suspects_nobody_when_it_resumes() {
    for seed in 0..10 {
        let mut world = settled(6, seed);
        world.stall(2, 1800);
        world.run(10_000);
        let woke = world
            .events
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
            !world.events.iter().any(|(_, _, n)| accused(n)),
            "seed {seed}: {:?}",
            world.events
        );
    }
}

/// An event after a quiet time is no sign of a stall.
#[test]
fn no_stall_is_reported_without_one() {
    let mut world = settled(6, 12);
    world.run(60_000);
    world.member_mut(1).set_active_version(version(7));
    world.kill(5);
    world.run(60_000);
    let woke = world
        .events
        .iter()
        .filter(|(_, _, n)| matches!(n, Event::Stalled { .. }));
    assert_eq!(woke.count(), 0);
}

/// A member that stalled until it was declared dead goes on in a new incarnation.
#[test]
fn a_member_declared_dead_comes_back_in_a_new_incarnation() {
    let mut world = settled(6, 4);
    let revision = world.member(2).revision().incarnation;
    world.stall(2, 40_000);
    world.run(39_000);
    assert_eq!(world.state_of(2, 0), MemberState::Dead);
    let end = world.now + LONG;
    world
        .run_until(end, World::agrees)
        .expect("it is back for all");
    assert!(world.member(2).revision().incarnation > revision);
    assert!(
        world
            .events
            .iter()
            .any(|(_, at, n)| *at == 2 && matches!(n, Event::Reincarnated { .. }))
    );
}

/// An isolated member suspects nobody, and knows that it is isolated.
#[test]
fn a_partition_in_one_direction_isolates_a_member() {
    let mut world = settled(6, 5);
    // Nothing comes to member 3; what it transmits is heard.
    world
        .faults
        .blocked
        .extend((0..6).filter(|p| *p != 3).map(|p| (p, 3)));
    world.run(6_000);
    assert!(
        world.member(3).is_isolated(),
        "it knows within some periods"
    );
    world.run(54_000);
    assert!(world.member(3).is_isolated());
    let by_it = |n: &Event| matches!(n, Event::MemberSuspected { accuser: 3, .. });
    assert!(
        !world.events.iter().any(|(_, _, n)| by_it(n)),
        "{:?}",
        world.events
    );
    let gone = |n: &Event| matches!(n, Event::MemberDead { member } if *member != 3);
    assert!(!world.events.iter().any(|(_, _, n)| gone(n)));
    world.faults.blocked.clear();
    let end = world.now + LONG;
    world
        .run_until(end, World::agrees)
        .expect("it is among the others again");
}

#[test]
fn partitioned_halves_find_each_other_again() {
    let mut world = settled(8, 6);
    world.partition(&[0, 1, 2, 3], &[4, 5, 6, 7]);
    world.run(60_000);
    let across = |(a, b): (u16, u16)| [world.state_of(a, b), world.state_of(b, a)];
    let pairs = (0..4).flat_map(|a| (4..8).map(move |b| (a, b)));
    assert!(
        pairs.flat_map(across).all(|s| s == MemberState::Dead),
        "dead members alone are probed across"
    );
    assert_eq!(
        (world.state_of(2, 0), world.state_of(4, 6)),
        (MemberState::Alive, MemberState::Alive)
    );
    world.member_mut(6).set_active_version(version(9));
    world.faults.blocked.clear();
    let end = world.now + LONG;
    world
        .run_until(end, World::agrees)
        .expect("all know all again");
}

/// The clock was set back by an hour, so that the new incarnation would be an older one.
#[test]
fn a_restart_under_an_older_clock_takes_a_later_incarnation() {
    let mut world = settled(5, 7);
    world.kill(2);
    world.run(500);
    world.start_in(2, EPOCH - 3_600_000);
    let end = world.now + LONG;
    world
        .run_until(end, World::agrees)
        .expect("it is known in an incarnation above its former one");
    assert!(world.member(2).revision().incarnation > EPOCH);
}

/// A message to or from a former incarnation changes nothing.
#[test]
fn messages_of_a_former_incarnation_are_dropped() {
    let mut world = settled(5, 8);
    let mut former = world.member(2).clone();
    world.kill(2);
    world.start(2);
    let end = world.now + LONG;
    world.run_until(end, World::agrees).expect("it is back");
    let revision = world.member(2).revision();
    former.set_active_version(version(99));
    for _ in 0..20 {
        let now = world.now;
        former.tick(now);
        let old: Vec<_> = former.transmits().collect();
        for s in old {
            let heard = world.member(s.to).traffic().received;
            world.deliver(s.to, &s.bytes);
            assert_eq!(
                world.member(s.to).traffic().received,
                heard,
                "nothing of it is used"
            );
        }
        world.run(500);
    }
    assert!(world.agrees());
    assert_eq!(world.member(2).revision().incarnation, revision.incarnation);
    let stale: u64 = (0..5)
        .map(|p| world.member(p).traffic().dropped.stale)
        .sum();
    assert!(stale > 0);
}

#[test]
fn a_member_that_shuts_down_has_left() {
    let mut world = settled(6, 9);
    let now = world.now;
    world.member_mut(3).leave(now);
    world.run(20);
    let last: Vec<_> = world.member_mut(3).transmits().collect();
    last.iter().for_each(|s| world.deliver(s.to, &s.bytes));
    world.kill(3);
    let end = world.now + 5_000;
    let left = |w: &World| {
        w.running()
            .iter()
            .all(|at| w.state_of(3, *at) == MemberState::Left)
    };
    world
        .run_until(end, left)
        .expect("sooner than any suspicion");
}

/// Half of a fleet that comes back at once asks nobody in particular, and nobody transmits more
/// than it may.
#[test]
fn half_of_a_fleet_restarts_at_once() {
    let mut world = settled(100, 10);
    (0..50).for_each(|p| world.kill(p));
    world.run(5_000);
    (0..50).for_each(|p| world.start(p));
    let (heard, begun) = (|w: &World, p| w.member(p).traffic().received, world.now);
    let before: Vec<u64> = (0..100).map(|p| heard(&world, p)).collect();
    world.run(2_000);
    let most = (0..100)
        .map(|p| heard(&world, p) - before[usize::from(p)])
        .max()
        .expect("some");
    assert!(most < 200, "{most} in two seconds");
    world
        .run_until(begun + LONG, World::agrees)
        .expect("all know all");
}

/// However large a fleet is, a member transmits no more than its bound a second, and no datagram is
/// longer than may be.
#[test]
fn three_hundred_members_keep_to_their_limits() {
    let mut world = World::new(300, 11);
    world.run_until(LONG, World::agrees).expect("all know all");
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
    world.member_mut(3).set_active_version(version(5));
    let end = world.now + LONG;
    world
        .run_until(end, World::agrees)
        .expect("a death and a version are known to all");
    assert_eq!(
        world
            .member(9)
            .members()
            .get(3)
            .and_then(|m| m.active_version)
            .map(|a| a.digest),
        Some(version(5).digest())
    );
    assert_ne!(version(5).digest(), Digest::default());
}
