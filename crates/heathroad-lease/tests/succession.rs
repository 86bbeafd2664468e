//! Which member holds a lease, and which succeeds it after a failure or resignation.

mod simulation;

use heathroad_lease::candidate::EndReason;
use heathroad_lease::lease_manager::{LeaseManager, preference_order};
use heathroad_lease::message::{Body, Message, RejectReason, Status};
use heathroad_lease::token::Token;
use heathroad_lease::{LeaseId, MemberId};
use simulation::succession::SUCCESSION_BOUND;
use simulation::{LEASE_DURATION, Simulation, lease};

#[test]
fn the_preferred_member_holds_the_lease() {
    let simulation = Simulation::with_holder(9, 3, 1);
    let order = preference_order(lease(), &simulation.running());
    assert_eq!(simulation.holder(), order.first().copied());
}

#[test]
fn leases_are_spread_over_the_members() {
    let members: Vec<MemberId> = (0..30).collect();
    let preferred = |n| preference_order(LeaseId::from_name(&format!("duty {n}")), &members)[0];
    let mut preferred: Vec<MemberId> = (0..30).map(preferred).collect();
    preferred.sort_unstable();
    preferred.dedup();
    assert!(preferred.len() > 12, "{preferred:?}");
}

#[test]
fn a_holder_that_dies_is_succeeded() {
    let mut simulation = Simulation::with_holder(6, 3, 2);
    let (first, last) = (simulation.current_holder(), simulation.current_token());
    simulation.run(LEASE_DURATION * 6);
    simulation.kill(first);
    let next = simulation.run_until_succeeded(last);
    let is_other = next.holder != first;
    assert!(
        is_other && next.took < SUCCESSION_BOUND,
        "{} after {}",
        next.holder,
        next.took
    );
}

#[test]
fn a_holder_that_resigns_is_succeeded_quickly_and_backs_off() {
    for seed in 20..40 {
        let mut simulation = Simulation::with_holder(6, 3, seed);
        simulation.run(LEASE_DURATION * 2);
        let (first, last) = (simulation.current_holder(), simulation.current_token());
        simulation.with_manager(first, |manager, now| {
            manager.resign(now, lease(), EndReason::Resigned);
        });
        let next = simulation.run_until_succeeded(last);
        let is_other = next.holder != first;
        assert!(
            is_other && next.took < LEASE_DURATION / 10,
            "{} after {}",
            next.holder,
            next.took
        );
        simulation.run(LEASE_DURATION * 4);
        assert_eq!(simulation.holder(), Some(next.holder));
    }
}

/// A lost message of a handover delays it by a retransmission, not by a lease duration.
#[test]
fn a_handover_under_message_loss_is_quick() {
    let mut slow = 0;
    for seed in 100..200 {
        let mut simulation = Simulation::with_holder(6, 3, seed);
        simulation.run(LEASE_DURATION * 2);
        let (first, last) = (simulation.current_holder(), simulation.current_token());
        simulation.faults.loss = 0.1;
        simulation.with_manager(first, |manager, now| {
            manager.resign(now, lease(), EndReason::Resigned);
        });
        let next = simulation.run_until_succeeded(last);
        slow += u32::from(next.took > LEASE_DURATION / 4);
    }
    assert!(
        slow <= 2,
        "{slow} of 100 handovers took longer than a quarter of the lease duration"
    );
}

/// A candidate that has received a handover retries soon although voters still report the lease as
/// held.
#[test]
fn a_candidate_retries_soon_after_a_handover() {
    for receives_handover in [true, false] {
        let mut simulation = Simulation::new(3, 3, 1);
        let manager = simulation.node(0).running_manager();
        if receives_handover {
            let handover = Message {
                lease: lease(),
                body: Body::Handover,
            };
            manager.handle_message(10, 1, 1, handover);
        } else {
            manager.tick(10);
        }
        let status = Status {
            round: 1,
            highest_token: Token::default(),
            remaining_ms: 900,
            reason: Some(RejectReason::Held),
            early_failures: 0,
        };
        for voter in 1..3 {
            let message = Message {
                lease: lease(),
                body: Body::Status(status),
            };
            manager.handle_message(20, voter, 1, message);
        }
        let retries_soon = manager.next_due() < 20 + LEASE_DURATION / 16;
        assert_eq!(retries_soon, receives_handover, "{}", manager.next_due());
    }
}

/// If the handover and all resign messages are lost, the lease is free once the grants expire.
#[test]
fn a_lease_expires_if_all_handover_messages_are_lost() {
    let mut simulation = Simulation::with_holder(6, 3, 4);
    let (first, last) = (simulation.current_holder(), simulation.current_token());
    simulation.run(LEASE_DURATION * 6);
    let others: Vec<MemberId> = (0..6).filter(|member| *member != first).collect();
    simulation.partition(&[first], &others);
    simulation.with_manager(first, |manager, now| {
        manager.resign(now, lease(), EndReason::WorkFailed);
    });
    let next = simulation.run_until_succeeded(last);
    let is_other = next.holder != first;
    assert!(
        is_other && next.took < SUCCESSION_BOUND,
        "{} after {}",
        next.holder,
        next.took
    );
}

/// A member that has resigned backs off even if no other member is available.
#[test]
fn members_that_have_all_resigned_back_off() {
    let mut simulation = Simulation::with_holder(3, 3, 19);
    for _ in 0..3 {
        let holder = simulation.run_until_held();
        simulation.with_manager(holder, |manager, now| {
            manager.resign(now, lease(), EndReason::WorkFailed);
        });
    }
    let is_held = |simulation: &Simulation| simulation.holder().is_some();
    let end = simulation.now + LEASE_DURATION * 7;
    assert_eq!(simulation.run_until(end, is_held), None);
    let end = simulation.now + LEASE_DURATION * 5;
    simulation
        .run_until(end, is_held)
        .expect("no member acquired the lease after the backoff");
}

/// In a large cluster, only the standby members send requests.
#[test]
fn only_standby_members_send_requests() {
    let mut simulation = Simulation::with_holder(30, 3, 19);
    simulation.requests_sent.fill(0);
    let sent_before = simulation.messages_sent;
    simulation.run(LEASE_DURATION * 20);
    // Ticks that are not due must not cause requests.
    (0..30).for_each(|member| simulation.with_manager(member, LeaseManager::tick));
    let requests = &simulation.requests_sent;
    assert_eq!(
        requests.iter().filter(|n| **n > 0).count(),
        3,
        "{requests:?}"
    );
    let sent_per_lease = (simulation.messages_sent - sent_before) / 20;
    assert!(
        sent_per_lease < 50,
        "{sent_per_lease} messages per lease duration"
    );
}

#[test]
fn competing_candidates_agree_on_one_holder_under_message_loss() {
    for seed in 0..40 {
        let mut simulation = Simulation::new(5, 5, 100 + seed);
        simulation.faults.loss = 0.3;
        simulation.run_until_held();
        let at = simulation.now;
        assert!(at < LEASE_DURATION * 5, "seed {seed}: {at}");
        simulation.write_interval = Some(5);
        simulation.run(LEASE_DURATION * 10);
        assert_eq!(simulation.check_invariants(), Ok(()), "seed {seed}");
        let acquisitions = simulation.acquisitions().len();
        assert_eq!(acquisitions, 1, "seed {seed}: message loss ended a hold");
    }
}
