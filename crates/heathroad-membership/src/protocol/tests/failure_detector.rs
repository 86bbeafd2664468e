//! Unit tests of the failure detector.

use super::*;
use crate::claim::{Claim, MemberState, Revision};

const PERIOD: Millis = 1000;
const TARGET: MemberId = 1;

fn members(states: &[MemberState]) -> MemberTable {
    let mut members = MemberTable::new(states.len() as u16);
    for (id, state) in (0..).zip(states) {
        let revision = Revision {
            incarnation: 1,
            refutations: 0,
        };
        let claim = Claim {
            member: id,
            state: *state,
            revision,
            source: id,
        };
        members.merge(0, claim);
    }
    members
}

fn new_detector() -> FailureDetector {
    FailureDetector::new(0, (1..5).collect(), 0)
}

fn probing_detector() -> FailureDetector {
    let mut detector = new_detector();
    assert!(detector.begin_period(0, PERIOD));
    detector.start_probe(0, TARGET, 7, &Config::default());
    detector
}

#[test]
fn every_present_member_is_probed_once_in_a_round() {
    let members = members(&[MemberState::Alive; 5]);
    let (mut detector, mut rng) = (new_detector(), fastrand::Rng::with_seed(1));
    for _ in 0..10 {
        let mut round: Vec<MemberId> = (0..4)
            .filter_map(|_| detector.next_target(&members, &mut rng))
            .collect();
        round.sort_unstable();
        assert_eq!(round, [1, 2, 3, 4]);
    }
}

#[test]
fn dead_members_are_probed_occasionally() {
    let states = [
        MemberState::Alive,
        MemberState::Dead,
        MemberState::Alive,
        MemberState::Alive,
        MemberState::Alive,
    ];
    let (members, mut detector) = (members(&states), new_detector());
    let mut rng = fastrand::Rng::with_seed(1);
    let targets: Vec<_> = (0..300)
        .filter_map(|_| detector.next_target(&members, &mut rng))
        .collect();
    let dead = targets.iter().filter(|target| **target == 1).count();
    assert!((60..140).contains(&dead), "{dead} of 300 probes");
}

#[test]
fn indirect_probes_are_requested_once_after_the_ack_timeout() {
    let mut detector = probing_detector();
    assert!(!detector.take_indirect_probe_due(249));
    assert!(detector.take_indirect_probe_due(250));
    assert!(!detector.take_indirect_probe_due(251));
    detector.count_helper();
    detector.count_helper();
    detector.record_nack(7);
    assert!(detector.take_ended_probe(999).is_none());
    let probe = detector
        .take_ended_probe(1000)
        .expect("the period has ended");
    assert_eq!((probe.helpers, probe.missed_nacks()), (2, 1));
    assert!(detector.probe().is_none());
}

#[test]
fn an_acknowledged_probe_requests_no_indirect_probes() {
    let mut detector = probing_detector();
    assert_eq!(detector.acknowledge(8), None);
    assert_eq!(detector.acknowledge(7), Some(0));
    assert!(!detector.take_indirect_probe_due(250));
    assert!(
        detector
            .take_ended_probe(1000)
            .expect("the period has ended")
            .acknowledged
    );
}

#[test]
fn the_detector_is_due_at_its_earliest_timeout() {
    let mut detector = new_detector();
    assert_eq!(detector.due(), 0);
    detector.begin_period(0, PERIOD);
    assert_eq!(detector.due(), PERIOD);
    detector.start_probe(0, TARGET, 7, &Config::default());
    assert_eq!(detector.due(), 250);
    detector.start_indirect_probe(IndirectProbe {
        requester: 2,
        requester_nonce: 5,
        target: 3,
        nonce: 6,
        nack_at: 100,
    });
    assert_eq!(detector.due(), 100);
}

#[test]
fn an_indirect_probe_is_acknowledged_only_by_its_target() {
    let mut detector = new_detector();
    let probe = IndirectProbe {
        requester: 2,
        requester_nonce: 5,
        target: 3,
        nonce: 6,
        nack_at: 100,
    };
    detector.start_indirect_probe(probe.clone());
    detector.start_indirect_probe(probe);
    assert!(detector.acknowledge_indirect(6, 4).is_none());
    let acknowledged = detector
        .acknowledge_indirect(6, 3)
        .expect("the ack is from the target");
    assert_eq!(acknowledged.requester_nonce, 5);
    assert!(detector.take_timed_out_indirect_probes(99).is_empty());
    assert_eq!(detector.take_timed_out_indirect_probes(100).len(), 1);
}

#[test]
fn a_member_is_isolated_until_it_receives_a_datagram() {
    let mut detector = new_detector();
    assert!(!detector.detect_isolation(4 * PERIOD, PERIOD, 5));
    assert!(
        !detector.detect_isolation(4 * PERIOD + 1, PERIOD, 1),
        "no other member is present"
    );
    assert!(detector.detect_isolation(4 * PERIOD + 1, PERIOD, 5));
    assert!(
        !detector.detect_isolation(4 * PERIOD + 2, PERIOD, 5),
        "isolation is reported once"
    );
    assert!(detector.is_isolated());
    assert!(detector.record_heard(5 * PERIOD));
    assert!(!detector.is_isolated());
}

#[test]
fn a_stall_cancels_probes_and_does_not_count_as_silence() {
    let mut detector = probing_detector();
    detector.resume_after_stall(10_000, 9_000, 250);
    assert!(detector.probe().is_none());
    assert_eq!(detector.due(), 10_250);
    assert_eq!(detector.silent_for(10_000), 1_000);
    assert_eq!(detector.health().multiplier(), 2);
}
