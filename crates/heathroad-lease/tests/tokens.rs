//! Fencing tokens increase even if voters lose their state.

mod simulation;

use heathroad_lease::MemberId;
use heathroad_lease::lease_manager::preference_order;
use heathroad_lease::token::{Token, count_at};
use heathroad_lease::voter_set::VoterSet;
use simulation::{LEASE_DURATION, Simulation, UNIX_START_MS, lease};

/// All voters are killed at once and restart with or without their state: the next token is higher.
#[test]
fn tokens_increase_after_a_restart_of_all_voters() {
    for has_disk in [true, false] {
        for clock_behind_s in [0, 3600] {
            if !has_disk && clock_behind_s > 0 {
                // Not guaranteed: neither the state nor a correct clock is left.
                continue;
            }
            let mut simulation = Simulation::with_holder(3, 3, 11);
            simulation.run(LEASE_DURATION * 3);
            let last = simulation.current_token();
            (0..3).for_each(|member| simulation.kill(member));
            simulation.run(LEASE_DURATION * 2);
            for member in 0..3 {
                let node = simulation.node(member);
                node.has_disk = has_disk;
                node.unix_offset_s = -clock_behind_s;
                simulation.start(member);
            }
            simulation.run_until_succeeded(last);
            assert_eq!(simulation.check_invariants(), Ok(()));
        }
    }
}

/// All members lose their state and the clock of the next holder is an hour behind: the clocks of
/// the voters determine the lowest token.
#[test]
fn tokens_increase_for_a_holder_whose_clock_is_behind() {
    let mut simulation = Simulation::with_holder(12, 3, 18);
    let last = simulation.current_token();
    let order = preference_order(lease(), &simulation.running());
    let voters: Vec<MemberId> = order[9..].to_vec();
    let voter_set = VoterSet::new(0, voters.clone(), Vec::new(), 12).expect("valid voters");
    (0..12).for_each(|member| simulation.kill(member));
    for member in 0..12 {
        let node = simulation.node(member);
        node.voter_set = voter_set.clone();
        node.has_disk = false;
        node.unix_offset_s = if voters.contains(&member) { 0 } else { -3600 };
        simulation.start(member);
    }
    let next = simulation.run_until_succeeded(last);
    assert_eq!(next.holder, order[0]);
    assert_eq!(simulation.check_invariants(), Ok(()));
}

#[test]
fn tokens_round_trip_through_parts_and_text() {
    let count = count_at(UNIX_START_MS);
    let token = Token::new(3, count, 7);
    assert_eq!(
        (token.generation(), token.count(), token.member()),
        (3, count, 7)
    );
    assert_eq!(token.to_string().parse(), Ok(token));
    assert!("zz".parse::<Token>().is_err());
}

#[test]
fn the_successor_is_the_lowest_higher_token_of_a_member() {
    let count = count_at(UNIX_START_MS);
    let token = Token::new(3, count, 7);
    let successor =
        |member, min_count| token.successor(min_count, 3, member).expect("no successor");
    assert_eq!(successor(8, 0), Token::new(3, count, 8));
    assert_eq!(successor(6, 0), Token::new(3, count + 1, 6));
    assert_eq!(successor(6, count + 9), Token::new(3, count + 9, 6));
    assert_eq!(token.successor(0, 2, 1), None);
    assert_eq!(Token::new(3, u64::MAX, 9).successor(0, 3, 1), None);
}
