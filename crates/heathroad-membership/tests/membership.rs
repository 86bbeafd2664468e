//! Tests of failure detection and dissemination in simulated fleets with crashes, stalls,
//! partitions and restarts.

mod common;

use common::{CLOCK_START, SimulatedFleet, version};
use heathroad_membership::claim::MemberState;
use heathroad_membership::protocol::Event;
use heathroad_membership::version::Digest;

/// The time in milliseconds within which the members converge.
const CONVERGENCE_TIMEOUT: u64 = 120_000;

fn converged_fleet(members: u16, seed: u64) -> SimulatedFleet {
    let mut fleet = SimulatedFleet::new(members, seed);
    fleet
        .run_until(CONVERGENCE_TIMEOUT, SimulatedFleet::has_converged)
        .expect("the members converge");
    fleet.events.clear();
    fleet
}

#[test]
fn members_learn_the_versions_of_all_others() {
    for (members, seed) in [(2, 1), (3, 2), (24, 3)] {
        let mut fleet = converged_fleet(members, seed);
        fleet.member_mut(1).set_active_version(version(7));
        let end = fleet.now + CONVERGENCE_TIMEOUT;
        let version_is_known = |fleet: &SimulatedFleet| {
            let table = fleet.member(0).members();
            let active = table
                .get(1)
                .and_then(|member| member.active_version)
                .expect("the member runs a version");
            fleet.has_converged()
                && fleet
                    .member(0)
                    .known_version(active.digest)
                    .is_some_and(|version| version.generation == 7)
        };
        fleet
            .run_until(end, version_is_known)
            .expect("the version becomes known in full");
        assert_eq!(fleet.death_count(), 0);
    }
}

#[test]
fn only_a_killed_member_is_declared_dead() {
    for (loss, seed) in [(0.0, 1), (0.1, 2), (0.3, 3)] {
        let mut fleet = converged_fleet(12, seed);
        fleet.faults.loss = loss;
        fleet.kill(5);
        let end = fleet.now + CONVERGENCE_TIMEOUT;
        let is_declared_dead = |fleet: &SimulatedFleet| {
            fleet
                .running()
                .iter()
                .all(|observer| fleet.state_of(5, *observer) == MemberState::Dead)
        };
        fleet
            .run_until(end, is_declared_dead)
            .expect("all members declare it dead");
        let false_deaths = fleet
            .events
            .iter()
            .filter(|(_, _, event)| matches!(event, Event::MemberDead { member } if *member != 5));
        assert_eq!(false_deaths.count(), 0, "loss {loss}");
    }
}

/// After a stall, the timeouts of a member have expired, but it has not yet read the datagrams that
/// arrived.
#[test]
fn a_stalled_member_suspects_nobody_when_it_resumes() {
    for seed in 0..10 {
        let mut fleet = converged_fleet(6, seed);
        fleet.stall(2, 1800);
        fleet.run(10_000);
        let is_reported = fleet
            .events
            .iter()
            .any(|(_, id, event)| *id == 2 && matches!(event, Event::Stalled { .. }));
        assert!(is_reported, "seed {seed}");
        let is_false_claim = |event: &Event| {
            matches!(
                event,
                Event::MemberSuspected { accuser: 2, .. } | Event::MemberDead { .. }
            )
        };
        assert!(
            !fleet
                .events
                .iter()
                .any(|(_, _, event)| is_false_claim(event)),
            "seed {seed}: {:?}",
            fleet.events
        );
    }
}

/// A long time between two calls is not a stall if nothing was due.
#[test]
fn no_stall_is_reported_without_one() {
    let mut fleet = converged_fleet(6, 12);
    fleet.run(60_000);
    fleet.member_mut(1).set_active_version(version(7));
    fleet.kill(5);
    fleet.run(60_000);
    let stalls = fleet
        .events
        .iter()
        .filter(|(_, _, event)| matches!(event, Event::Stalled { .. }));
    assert_eq!(stalls.count(), 0);
}

#[test]
fn a_member_declared_dead_during_a_stall_continues_in_a_new_incarnation() {
    let mut fleet = converged_fleet(6, 4);
    let incarnation = fleet.member(2).revision().incarnation;
    fleet.stall(2, 40_000);
    fleet.run(39_000);
    assert_eq!(fleet.state_of(2, 0), MemberState::Dead);
    let end = fleet.now + CONVERGENCE_TIMEOUT;
    fleet
        .run_until(end, SimulatedFleet::has_converged)
        .expect("the members converge");
    assert!(fleet.member(2).revision().incarnation > incarnation);
    assert!(
        fleet
            .events
            .iter()
            .any(|(_, id, event)| *id == 2 && matches!(event, Event::Reincarnated { .. }))
    );
}

/// A member that receives nothing detects its isolation and suspects nobody.
#[test]
fn a_member_that_receives_nothing_is_isolated() {
    let mut fleet = converged_fleet(6, 5);
    // Member 3 receives nothing, but the others receive its datagrams.
    fleet
        .faults
        .blocked
        .extend((0..6).filter(|id| *id != 3).map(|id| (id, 3)));
    fleet.run(6_000);
    assert!(
        fleet.member(3).is_isolated(),
        "isolation is detected within a few probe periods"
    );
    fleet.run(54_000);
    assert!(fleet.member(3).is_isolated());
    let is_accusation = |event: &Event| matches!(event, Event::MemberSuspected { accuser: 3, .. });
    assert!(
        !fleet
            .events
            .iter()
            .any(|(_, _, event)| is_accusation(event)),
        "{:?}",
        fleet.events
    );
    let is_false_death =
        |event: &Event| matches!(event, Event::MemberDead { member } if *member != 3);
    assert!(
        !fleet
            .events
            .iter()
            .any(|(_, _, event)| is_false_death(event))
    );
    fleet.faults.blocked.clear();
    let end = fleet.now + CONVERGENCE_TIMEOUT;
    fleet
        .run_until(end, SimulatedFleet::has_converged)
        .expect("the members converge");
}

#[test]
fn a_partition_heals() {
    let mut fleet = converged_fleet(8, 6);
    fleet.partition(&[0, 1, 2, 3], &[4, 5, 6, 7]);
    fleet.run(60_000);
    let across = |(a, b): (u16, u16)| [fleet.state_of(a, b), fleet.state_of(b, a)];
    let pairs = (0..4).flat_map(|a| (4..8).map(move |b| (a, b)));
    assert!(
        pairs
            .flat_map(across)
            .all(|state| state == MemberState::Dead),
        "each side declares the other one dead"
    );
    assert_eq!(
        (fleet.state_of(2, 0), fleet.state_of(4, 6)),
        (MemberState::Alive, MemberState::Alive)
    );
    fleet.member_mut(6).set_active_version(version(9));
    fleet.faults.blocked.clear();
    let end = fleet.now + CONVERGENCE_TIMEOUT;
    fleet
        .run_until(end, SimulatedFleet::has_converged)
        .expect("the members converge");
}

/// The clock is set back by an hour, so that the member restarts with a lower incarnation.
#[test]
fn a_restart_with_a_clock_set_back_takes_a_later_incarnation() {
    let mut fleet = converged_fleet(5, 7);
    fleet.kill(2);
    fleet.run(500);
    fleet.start_with_incarnation(2, CLOCK_START - 3_600_000);
    let end = fleet.now + CONVERGENCE_TIMEOUT;
    fleet
        .run_until(end, SimulatedFleet::has_converged)
        .expect("the members converge");
    assert!(fleet.member(2).revision().incarnation > CLOCK_START);
}

#[test]
fn datagrams_of_an_earlier_incarnation_are_dropped() {
    let mut fleet = converged_fleet(5, 8);
    let mut earlier = fleet.member(2).clone();
    fleet.kill(2);
    fleet.start(2);
    let end = fleet.now + CONVERGENCE_TIMEOUT;
    fleet
        .run_until(end, SimulatedFleet::has_converged)
        .expect("the members converge");
    let revision = fleet.member(2).revision();
    earlier.set_active_version(version(99));
    for _ in 0..20 {
        let now = fleet.now;
        earlier.tick(now);
        let outdated: Vec<_> = earlier.transmits().collect();
        for transmit in outdated {
            let received = fleet.member(transmit.to).traffic().received;
            fleet.deliver(transmit.to, &transmit.bytes);
            assert_eq!(
                fleet.member(transmit.to).traffic().received,
                received,
                "the datagram was accepted"
            );
        }
        fleet.run(500);
    }
    assert!(fleet.has_converged());
    assert_eq!(fleet.member(2).revision().incarnation, revision.incarnation);
    let stale: u64 = (0..5)
        .map(|id| fleet.member(id).traffic().dropped.stale)
        .sum();
    assert!(stale > 0);
}

#[test]
fn a_shutdown_is_known_before_a_suspicion_would_expire() {
    let mut fleet = converged_fleet(6, 9);
    let now = fleet.now;
    fleet.member_mut(3).leave(now);
    fleet.run(20);
    let transmits: Vec<_> = fleet.member_mut(3).transmits().collect();
    transmits
        .iter()
        .for_each(|transmit| fleet.deliver(transmit.to, &transmit.bytes));
    fleet.kill(3);
    let end = fleet.now + 5_000;
    let has_left = |fleet: &SimulatedFleet| {
        fleet
            .running()
            .iter()
            .all(|observer| fleet.state_of(3, *observer) == MemberState::Left)
    };
    fleet
        .run_until(end, has_left)
        .expect("the shutdown is known to all members");
}

/// A simultaneous restart of half of the fleet does not overload any member.
#[test]
fn a_mass_restart_overloads_no_member() {
    let mut fleet = converged_fleet(100, 10);
    (0..50).for_each(|id| fleet.kill(id));
    fleet.run(5_000);
    (0..50).for_each(|id| fleet.start(id));
    let received = |fleet: &SimulatedFleet, id| fleet.member(id).traffic().received;
    let restarted_at = fleet.now;
    let before: Vec<u64> = (0..100).map(|id| received(&fleet, id)).collect();
    fleet.run(2_000);
    let max_received = (0..100)
        .map(|id| received(&fleet, id) - before[usize::from(id)])
        .max()
        .expect("the fleet has members");
    assert!(
        max_received < 200,
        "{max_received} datagrams in two seconds"
    );
    fleet
        .run_until(
            restarted_at + CONVERGENCE_TIMEOUT,
            SimulatedFleet::has_converged,
        )
        .expect("the members converge");
}

/// In a large fleet, the rate of datagrams per member and the length of datagrams stay within
/// limits.
#[test]
fn three_hundred_members_stay_within_limits() {
    let mut fleet = SimulatedFleet::new(300, 11);
    fleet
        .run_until(CONVERGENCE_TIMEOUT, SimulatedFleet::has_converged)
        .expect("the members converge");
    let (sent_before, bytes_before) = (fleet.datagrams_sent.clone(), fleet.bytes_sent);
    let converged_at = fleet.now;
    fleet.run(10_000);
    let max_sent = fleet
        .datagrams_sent
        .iter()
        .zip(&sent_before)
        .map(|(after, before)| after - before)
        .max()
        .expect("the fleet has members");
    println!(
        "converged after {converged_at} ms; then at most {max_sent} datagrams per member in 10 s"
    );
    println!(
        "{} bytes per member and second",
        (fleet.bytes_sent - bytes_before) / 3000
    );
    assert!(max_sent <= 10 * 41);
    assert!(fleet.longest_datagram <= 256);
    fleet.kill(17);
    fleet.member_mut(3).set_active_version(version(5));
    let end = fleet.now + CONVERGENCE_TIMEOUT;
    fleet
        .run_until(end, SimulatedFleet::has_converged)
        .expect("all members know of the death and the new version");
    assert_eq!(
        fleet
            .member(9)
            .members()
            .get(3)
            .and_then(|member| member.active_version)
            .map(|active| active.digest),
        Some(version(5).digest())
    );
    assert_ne!(version(5).digest(), Digest::default());
}
