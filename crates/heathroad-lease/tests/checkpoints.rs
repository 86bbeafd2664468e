//! Checkpoints are stored by a quorum of voters and passed to the next holder.

mod simulation;

use heathroad_lease::MemberId;
use heathroad_lease::candidate::LeaseEvent;
use heathroad_lease::checkpoint::Checkpoint;
use heathroad_lease::message::{Body, Message};
use simulation::{LEASE_DURATION, Simulation, lease};

/// Stores a checkpoint at a holder and checks its sequence number.
fn store_checkpoint(simulation: &mut Simulation, member: MemberId, state: &[u8], expected: u32) {
    simulation.with_manager(member, |manager, now| {
        let sequence = manager.store_checkpoint(now, lease(), state.to_vec());
        assert_eq!(sequence, Some(expected));
    });
}

fn is_stored(simulation: &Simulation, expected: u32) -> bool {
    let is_expected = |event: &LeaseEvent| matches!(event, LeaseEvent::CheckpointStored { sequence, .. } if *sequence == expected);
    simulation
        .events
        .iter()
        .any(|(_, _, event)| is_expected(event))
}

#[test]
fn the_next_holder_resumes_from_the_latest_checkpoint() {
    let mut simulation = Simulation::with_holder(6, 3, 9);
    let (first, last) = (simulation.current_holder(), simulation.current_token());
    simulation.faults.loss = 0.3;
    store_checkpoint(&mut simulation, first, b"one", 1);
    store_checkpoint(&mut simulation, first, b"two", 2);
    simulation.run_until_condition(|simulation| is_stored(simulation, 2));
    simulation.faults.loss = 0.0;
    simulation.kill(first);
    simulation.run_until_succeeded(last);
    let acquisitions = simulation.acquisitions();
    let acquisition = acquisitions.last().expect("no acquisition");
    let checkpoint = acquisition
        .checkpoint
        .as_ref()
        .expect("acquired without a checkpoint");
    let expected = Checkpoint {
        token: last,
        sequence: 2,
        state: b"two".to_vec(),
    };
    assert_eq!(*checkpoint, expected);
    assert!(simulation.states_persisted > 0);
}

/// A checkpoint counts as stored once a quorum has acknowledged it, and eventually reaches all
/// voters.
#[test]
fn a_checkpoint_is_stored_by_a_quorum() {
    let mut simulation = Simulation::with_holder(6, 3, 22);
    let holder = simulation.current_holder();
    let others: Vec<MemberId> = (0..3).filter(|voter| *voter != holder).collect();
    let quorum = if holder < 3 {
        vec![holder, others[0]]
    } else {
        others[..2].to_vec()
    };
    let last_voter: Vec<MemberId> = (0..3).filter(|voter| !quorum.contains(voter)).collect();
    simulation.partition(&last_voter, &[holder]);
    simulation.faults.blocked_links.push((holder, others[0]));
    store_checkpoint(&mut simulation, holder, b"one", 1);
    let end = simulation.now + LEASE_DURATION / 3;
    let stored_at = simulation.run_until(end, |simulation| is_stored(simulation, 1));
    assert_eq!(stored_at, None);
    simulation
        .faults
        .blocked_links
        .retain(|link| *link != (holder, others[0]));
    let end = simulation.now + LEASE_DURATION / 3;
    let stored_at = simulation.run_until(end, |simulation| is_stored(simulation, 1));
    stored_at.expect("two of three voters did not store the checkpoint");
    let stored_sequence = |simulation: &Simulation| {
        let state = simulation
            .manager(last_voter[0])
            .voter()
            .expect("the member is not a voter")
            .state();
        let durable = state.leases.get(&lease());
        durable.map_or(0, |durable| durable.checkpoint.sequence)
    };
    assert_eq!(stored_sequence(&simulation), 0);
    simulation.faults.blocked_links.clear();
    simulation.run(LEASE_DURATION);
    assert_eq!(stored_sequence(&simulation), 1);
}

/// A holder that has been succeeded must not overwrite the checkpoint at a voter.
#[test]
fn a_checkpoint_of_a_superseded_holder_is_ignored() {
    let mut simulation = Simulation::with_holder(6, 3, 10);
    let (first, last) = (simulation.current_holder(), simulation.current_token());
    simulation.run(LEASE_DURATION * 6);
    simulation.stall(first, LEASE_DURATION * 4);
    simulation.run_until_succeeded(last);
    let persisted_before = simulation.states_persisted;
    simulation.run(LEASE_DURATION);
    let checkpoint = Checkpoint {
        token: last,
        sequence: 9,
        state: b"late".to_vec(),
    };
    let voter = (0..3)
        .find(|voter| *voter != first)
        .expect("no other voter");
    let incarnation = simulation.node(first).incarnation;
    let message = Message {
        lease: lease(),
        body: Body::StoreCheckpoint { checkpoint },
    };
    simulation.with_manager(voter, |manager, now| {
        manager.handle_message(now, first, incarnation, message);
    });
    assert_eq!(simulation.states_persisted, persisted_before);
}
