//! Grants of voters: after restarts, to losing candidates, and during a change of the voter set.

mod simulation;

use heathroad_lease::candidate::EndReason;
use heathroad_lease::message::{Body, GrantRequest, Granted, RejectReason, Rejected};
use heathroad_lease::token::Token;
use heathroad_lease::voter::{Reply, Voter};
use heathroad_lease::voter_set::{VoterSet, VoterSetError};
use heathroad_lease::voter_state::VoterState;
use heathroad_lease::{LeaseId, LeaseTiming, MemberId, Millis};
use simulation::{LEASE_DURATION, Simulation, lease};

const TIMING: LeaseTiming = LeaseTiming {
    lease_duration: LEASE_DURATION,
};

/// A restarted voter grants the lease to its holder again, not to a standby member, whose grant
/// would reduce the holder's quorum.
#[test]
fn restarted_voters_grant_the_lease_to_its_holder() {
    for (seed, has_disk) in (60..80).map(|n| (n, n % 2 == 0)) {
        let mut simulation = Simulation::with_holder(6, 3, seed);
        simulation.run(LEASE_DURATION);
        let (holder, last) = (simulation.current_holder(), simulation.current_token());
        for voter in (0..3).filter(|voter| *voter != holder) {
            simulation.kill(voter);
            simulation.node(voter).has_disk = has_disk;
            simulation.start(voter);
            // If the voter has lost its state, the holder acquires the lease again under a new
            // token, with a short time without a holder.
            let end = simulation.now + LEASE_DURATION * 4;
            let is_held = |simulation: &Simulation| simulation.holder().is_some();
            if let Some(from) = simulation.run_until(end, |simulation| !is_held(simulation)) {
                let to = simulation
                    .run_until(end, is_held)
                    .expect("the lease was not acquired again");
                assert!(
                    !has_disk && to - from < LEASE_DURATION / 5,
                    "seed {seed}: {from} to {to}"
                );
                simulation.run(end - to);
            }
            assert_eq!(simulation.holder(), Some(holder), "seed {seed}");
        }
        let token = simulation.current_token();
        assert_eq!(token == last, has_disk, "seed {seed}");
        for voter in 0..3 {
            let state = simulation
                .manager(voter)
                .voter()
                .expect("not a voter")
                .state();
            let known = state.leases.get(&lease()).map(|durable| durable.token);
            assert_eq!(known, Some(token), "seed {seed}: {voter}");
        }
    }
}

fn grant_request(token: Token, duration_ms: u32) -> Body {
    Body::GrantRequest(GrantRequest {
        token,
        round: 1,
        duration_ms,
    })
}

fn is_granted(reply: &Reply) -> bool {
    matches!(reply.body, Some(Body::Granted(_)))
}

/// The expired grant of a losing candidate does not count as an early failure.
#[test]
fn losing_candidates_do_not_cause_a_backoff() {
    let mut voter = Voter::new(0, 5, TIMING, 0, VoterState::default());
    let mut now = TIMING.grant_duration_at_voter(LEASE_DURATION);
    let mut ask = |now: Millis, token: Token| {
        let request = grant_request(token, 500);
        is_granted(&voter.handle_message(now, token.member(), 1, lease(), request))
    };
    for n in 0..9 {
        assert!(ask(now, Token::new(0, 9 + n, 3)), "{n}");
        now += LEASE_DURATION;
    }
    // Holders that renewed their grants and let them expire count as early failures.
    for n in 20..23 {
        let token = Token::new(0, n, 4);
        assert!(ask(now, token) && ask(now + 1, token), "{n}");
        now += LEASE_DURATION;
    }
    assert!(!ask(now, Token::new(0, 30, 5)));
}

fn reject_reason(reply: Reply) -> Option<RejectReason> {
    match reply.body {
        Some(Body::Rejected(Rejected { reason, .. })) => Some(reason),
        _ => None,
    }
}

/// A voter ignores requests with another member's token, and rejects requests of an older voter set
/// generation than it has seen.
#[test]
fn requests_under_outdated_generations_or_foreign_tokens_are_not_granted() {
    let mut voter = Voter::new(0, 5, TIMING, 1, VoterState::default());
    let start = TIMING.grant_duration_at_voter(LEASE_DURATION);
    let mut ask = |now: Millis, from: MemberId, lease: LeaseId, token: Token| {
        voter.handle_message(now, from, 1, lease, grant_request(token, 500))
    };
    let token_of_3 = Token::new(1, 9, 3);
    let too_early = reject_reason(ask(start - 1, 3, lease(), token_of_3));
    assert_eq!(too_early, Some(RejectReason::VoterStarting));
    let ignored = Reply {
        body: None,
        is_state_changed: false,
    };
    assert_eq!(ask(start, 3, lease(), Token::new(1, 9, 4)), ignored);
    let outdated = reject_reason(ask(start, 3, lease(), Token::new(0, 9, 3)));
    assert_eq!(outdated, Some(RejectReason::NotAccepted));
    let granted = ask(start, 3, lease(), token_of_3);
    assert!(is_granted(&granted) && granted.is_state_changed);
    // A request for another lease raises the generation for all leases.
    let other = LeaseId::from_name("other");
    let granted = ask(start, 3, other, Token::new(2, 9, 3));
    assert!(is_granted(&granted) && granted.is_state_changed);
    let outdated = reject_reason(ask(start, 3, LeaseId::from_name("third"), token_of_3));
    assert_eq!(outdated, Some(RejectReason::NotAccepted));
}

#[test]
fn tokens_not_above_the_highest_granted_one_are_rejected() {
    let mut voter = Voter::new(0, 5, TIMING, 2, VoterState::default());
    let start = TIMING.grant_duration_at_voter(LEASE_DURATION);
    let token = |count, member| Token::new(2, count, member);
    let first = voter.handle_message(start, 3, 1, lease(), grant_request(token(9, 3), 500));
    assert!(is_granted(&first));
    let free = start + 2 * LEASE_DURATION;
    let mut ask = |incarnation, token: Token| {
        let request = grant_request(token, 500);
        voter.handle_message(free, token.member(), incarnation, lease(), request)
    };
    let too_low = Some(RejectReason::TokenTooLow);
    assert_eq!(reject_reason(ask(1, token(8, 4))), too_low);
    assert_eq!(
        reject_reason(ask(2, token(9, 3))),
        too_low,
        "token of another incarnation"
    );
    let granted = ask(1, token(9, 4));
    assert!(is_granted(&granted) && granted.is_state_changed);
    let resign = Body::Resign { token: token(9, 4) };
    voter.handle_message(free, 4, 1, lease(), resign);
    let request = grant_request(token(9, 4), 500);
    let after_resign = voter.handle_message(free, 4, 1, lease(), request);
    assert_eq!(reject_reason(after_resign), too_low);
}

#[test]
fn a_grant_is_limited_to_the_voters_lease_duration() {
    let mut voter = Voter::new(0, 5, TIMING, 0, VoterState::default());
    let now = TIMING.grant_duration_at_voter(LEASE_DURATION);
    let request = grant_request(Token::new(2, 9, 5), 1 << 30);
    let reply = voter.handle_message(now, 5, 1, lease(), request);
    let is_limited = matches!(
        reply.body,
        Some(Body::Granted(Granted {
            duration_ms: 1000,
            ..
        }))
    );
    assert!(is_limited, "{reply:?}");
}

/// A voter grants nothing after its start until its earlier grants have expired.
#[test]
fn a_voter_grants_nothing_in_its_startup_period() {
    let mut simulation = Simulation::with_holder(5, 3, 13);
    let (last, holder) = (simulation.current_token(), simulation.current_holder());
    let other_voters: Vec<MemberId> = (0..3).filter(|voter| *voter != holder).collect();
    other_voters
        .iter()
        .for_each(|voter| simulation.kill(*voter));
    simulation
        .nodes
        .iter_mut()
        .for_each(|node| node.has_disk = false);
    other_voters
        .iter()
        .for_each(|voter| simulation.start(*voter));
    let others: Vec<MemberId> = (0..5).filter(|member| *member != holder).collect();
    simulation.partition(&[holder], &others);
    let took = simulation.run_until_succeeded(last).took;
    assert!(
        took >= TIMING.grant_duration_at_voter(LEASE_DURATION),
        "{took}"
    );
}

/// Voters restart with an outdated copy of their state or without state: no second member acquires
/// the lease while it is held, or under a lower token.
#[test]
fn voters_with_outdated_state_keep_tokens_and_holders_in_order() {
    for has_copy in [true, false] {
        let mut simulation = Simulation::with_holder(5, 3, 12);
        simulation.write_interval = Some(5);
        let old_state = simulation.node(1).disk.clone();
        for voter in [0, 1, 2, 0, 1, 2] {
            simulation.run(LEASE_DURATION * 2);
            let holder = simulation.run_until_held();
            simulation.with_manager(holder, |manager, now| {
                manager.resign(now, lease(), EndReason::Resigned);
            });
            simulation.run(LEASE_DURATION / 2);
            simulation.kill(voter);
            simulation.node(voter).disk = if has_copy {
                old_state.clone()
            } else {
                VoterState::default()
            };
            simulation.start(voter);
        }
        simulation.run(LEASE_DURATION * 3);
        assert_eq!(simulation.check_invariants(), Ok(()));
        assert!(simulation.writes.iter().all(|write| write.is_admitted));
    }
}

/// The voter set is changed while a voter is partitioned. During the change both sets are used, and
/// a member that only uses the old set is rejected afterwards.
#[test]
fn the_voter_set_changes_while_a_voter_is_partitioned() {
    let mut simulation = Simulation::with_holder(8, 3, 14);
    simulation.write_interval = Some(5);
    let last = simulation.current_token();
    simulation.partition(&[2], &[0, 1, 3, 4, 5, 6, 7]);
    let sets = [
        (1, vec![3, 4, 5], vec![0, 1, 2]),
        (2, vec![3, 4, 5], vec![]),
    ];
    for (generation, current, previous) in sets {
        let voter_set = VoterSet::new(generation, current, previous, 8).expect("valid voters");
        for member in (0..8).filter(|member| *member != 2) {
            simulation.kill(member);
            simulation.node(member).voter_set = voter_set.clone();
            simulation.start(member);
            simulation.run(LEASE_DURATION * 2);
        }
    }
    // The partitioned voter still uses the first set, in which it is the only voter left.
    simulation.faults.blocked_links.clear();
    simulation.run(LEASE_DURATION * 4);
    let token = simulation.current_token();
    assert!(token > last && token.generation() == 2);
    assert_eq!(simulation.check_invariants(), Ok(()));
}

#[test]
fn voter_sets_are_checked() {
    let voter_set = |current: &[MemberId], previous: &[MemberId]| {
        VoterSet::new(1, current.to_vec(), previous.to_vec(), 9)
    };
    assert!(voter_set(&[0, 1, 2], &[3, 4, 5, 6, 7]).is_ok());
    assert_eq!(voter_set(&[0, 1], &[]), Err(VoterSetError::WrongSize(2)));
    assert_eq!(voter_set(&[0, 1, 1], &[]), Err(VoterSetError::Duplicate(1)));
    assert_eq!(
        voter_set(&[0, 1, 9], &[]),
        Err(VoterSetError::UnknownMember(9))
    );
    let first_generation = VoterSet::new(0, vec![0, 1, 2], vec![0, 1, 2], 9);
    assert_eq!(
        first_generation,
        Err(VoterSetError::PreviousOfFirstGeneration)
    );
}

#[test]
fn a_quorum_of_a_changing_voter_set_has_a_majority_of_both_sets() {
    let voter_set = VoterSet::new(1, vec![0, 1, 2], vec![2, 3, 4], 9).expect("valid voters");
    assert!(!voter_set.is_quorum(|voter| voter < 3));
    assert!(voter_set.is_quorum(|voter| [0, 2, 3].contains(&voter)));
    assert_eq!(
        voter_set.value_reached_by_quorum(|voter| Some(10 - voter)),
        Some(7)
    );
}
