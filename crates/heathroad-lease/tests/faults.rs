//! Leases under faults: stalled, partitioned and crashing holders, and clocks of different rates.

mod simulation;

use heathroad_lease::MemberId;
use heathroad_lease::candidate::{EndReason, LeaseEvent};
use simulation::succession::SUCCESSION_BOUND;
use simulation::{LEASE_DURATION, Simulation, lease};

/// The check before an act fails after a stall, even if nothing else has run in between.
#[test]
fn a_stalled_holder_notices_its_expiry_before_it_acts() {
    let mut simulation = Simulation::with_holder(6, 3, 21);
    let first = simulation.current_holder();
    simulation.stall(first, LEASE_DURATION * 3);
    simulation.run(LEASE_DURATION * 3 - 1);
    let now = simulation.now;
    assert_eq!(simulation.manager(first).held_token(now, lease()), None);
}

#[test]
fn a_write_of_a_stalled_holder_is_rejected_by_its_token() {
    for checks_tokens in [true, false] {
        let mut simulation = Simulation::with_holder(6, 3, 5);
        simulation.write_interval = Some(5);
        simulation.checks_tokens = checks_tokens;
        simulation.run(LEASE_DURATION * 6);
        let first = simulation.current_holder();
        simulation.stall(first, LEASE_DURATION * 3);
        simulation.run(LEASE_DURATION * 8);
        let result = simulation.check_invariants();
        assert_eq!(result.is_ok(), checks_tokens, "{result:?}");
        let is_rejected = simulation
            .writes
            .iter()
            .any(|w| w.by == first && !w.is_admitted);
        assert_eq!(
            is_rejected, checks_tokens,
            "the stalled holder's last write arrives after its successor's first"
        );
        let reason = simulation
            .events
            .iter()
            .find_map(|(_, member, event)| match event {
                LeaseEvent::Ended { reason, .. } if *member == first => Some(*reason),
                _ => None,
            });
        assert_eq!(reason, Some(EndReason::Expired));
    }
}

/// A holder that is partitioned from the voters only, in one or both directions, stops before its
/// successor starts.
#[test]
fn a_holder_partitioned_from_the_voters_stops_before_its_successor_starts() {
    for [blocks_requests, blocks_answers] in [[false, true], [true, false], [true, true]] {
        let mut simulation = Simulation::with_holder(8, 3, 6);
        simulation.write_interval = Some(5);
        simulation.run(LEASE_DURATION * 6);
        let (first, last) = (simulation.current_holder(), simulation.current_token());
        for voter in (0..3).filter(|voter| *voter != first) {
            let links = &mut simulation.faults.blocked_links;
            links.extend(blocks_requests.then_some((first, voter)));
            links.extend(blocks_answers.then_some((voter, first)));
        }
        let next = simulation.run_until_succeeded(last);
        let is_other = next.holder != first;
        assert!(
            is_other && next.took < SUCCESSION_BOUND,
            "acquired by {} after {} ms",
            next.holder,
            next.took
        );
        simulation.run(LEASE_DURATION);
        assert_eq!(simulation.check_invariants(), Ok(()));
        assert!(
            simulation.writes.iter().all(|write| write.is_admitted),
            "a write arrived after a successor's"
        );
    }
}

/// A holder that is partitioned from other members, but not from the voters, keeps the lease.
#[test]
fn a_holder_that_reaches_the_voters_keeps_the_lease() {
    let mut simulation = Simulation::with_holder(9, 3, 7);
    let (first, last) = (simulation.current_holder(), simulation.current_token());
    let others: Vec<MemberId> = (3..9).filter(|member| *member != first).collect();
    simulation.partition(&[first], &others);
    simulation.run(LEASE_DURATION * 10);
    assert_eq!(
        (simulation.holder(), simulation.current_token()),
        (Some(first), last)
    );
}

#[test]
fn without_a_quorum_nothing_is_granted_and_holds_expire() {
    let mut simulation = Simulation::with_holder(6, 3, 8);
    let last = simulation.current_token();
    for voter in 0..3 {
        let others: Vec<MemberId> = (0..6).filter(|member| *member != voter).collect();
        simulation.partition(&[voter], &others);
    }
    simulation.run(LEASE_DURATION * 2);
    assert_eq!(simulation.holders(), []);
    assert!(
        simulation
            .acquisitions()
            .iter()
            .all(|acquisition| acquisition.token <= last)
    );
    simulation.faults.blocked_links.clear();
    let took = simulation.run_until_succeeded(last).took;
    assert!(took < SUCCESSION_BOUND, "{took}");
}

/// Work that crashes each of its holders is backed off with increasing delays and does not take
/// down the whole cluster.
#[test]
fn a_lease_whose_holders_keep_crashing_is_backed_off() {
    let mut simulation = Simulation::with_holder(12, 3, 15);
    let mut killed = Vec::new();
    let end = simulation.now + LEASE_DURATION * 60;
    while simulation.now < end {
        if let Some(holder) = simulation.holder() {
            killed.push(holder);
            simulation.kill(holder);
            // The disk is kept, so that voters do not lose their state.
            simulation.start(holder);
        }
        simulation.run(20);
    }
    assert!((4..11).contains(&killed.len()), "{killed:?}");
    // A stable hold ends the backoff.
    let end = simulation.now + LEASE_DURATION * 100;
    let is_held = |simulation: &Simulation| simulation.holder().is_some();
    simulation
        .run_until(end, is_held)
        .expect("the lease was not granted again");
    let holder = simulation.current_holder();
    simulation.run(LEASE_DURATION * 6);
    assert_eq!(simulation.holder(), Some(holder));
}

/// Stalled holders that continue do not count as early failures.
#[test]
fn stalled_holders_do_not_cause_a_backoff() {
    let mut simulation = Simulation::with_holder(5, 5, 16);
    for _ in 0..8 {
        let (holder, last) = (simulation.current_holder(), simulation.current_token());
        simulation.stall(holder, LEASE_DURATION + LEASE_DURATION / 2);
        let took = simulation.run_until_succeeded(last).took;
        assert!(took < SUCCESSION_BOUND + LEASE_DURATION, "{took}");
        simulation.run(LEASE_DURATION);
    }
}

/// Clock rates differ by almost the margin that leases allow. Beyond it, only tokens keep writes in
/// order.
#[test]
fn leases_alone_order_writes_within_the_clock_rate_margin() {
    for rate in [-9, 9] {
        let mut simulation = Simulation::with_holder(5, 3, 17);
        for (n, node) in simulation.nodes.iter_mut().enumerate() {
            node.clock_rate_permille = if n % 2 == 0 { rate } else { -rate };
            node.clock_offset = 1000 * n as u64;
        }
        (0..5).for_each(|member| simulation.kill(member));
        (0..5).for_each(|member| simulation.start(member));
        simulation.write_interval = Some(2);
        for _ in 0..6 {
            simulation.run(LEASE_DURATION * 6);
            let Some(holder) = simulation.holder() else {
                continue;
            };
            let others: Vec<MemberId> = (0..5).filter(|member| *member != holder).collect();
            simulation.partition(&[holder], &others);
            simulation.run(LEASE_DURATION * 3);
            simulation.faults.blocked_links.clear();
        }
        assert_eq!(simulation.check_invariants(), Ok(()));
        let is_ordered = simulation.writes.iter().all(|write| write.is_admitted);
        assert!(is_ordered, "a write arrived after a successor's");
    }
}
