//! Tests that invalid, forged and replayed datagrams have no effect.

mod common;

use common::{KEY, SimulatedFleet, authenticator};
use heathroad_membership::authentication::{Authenticator, CredentialsError, DropCounters};
use heathroad_membership::claim::{Claim, MemberState, Revision};
use heathroad_membership::codec::{Reader, Writer};
use heathroad_membership::wire::{
    self, Header, MAX_DATAGRAM_BYTES, Message, SUPPORTED_PROTOCOLS, Update,
};
use proptest::prelude::*;

/// Returns the state of all members as known to one of them, except for times, as text.
fn known_state(fleet: &SimulatedFleet, id: u16) -> String {
    let mut views = fleet.member(id).member_views(fleet.now);
    views
        .iter_mut()
        .for_each(|view| view.last_heard_ago_ms = None);
    format!("{views:?} {:?}", fleet.member(id).revision())
}

/// Returns a well-formed datagram that declares a member dead.
fn death_claim(authenticator: &Authenticator, sequence: u32) -> Vec<u8> {
    let (fleet_name, incarnation) = (
        authenticator.fleet_name().to_vec(),
        common::CLOCK_START + 1_000_000,
    );
    let header = Header {
        protocol: 1,
        supported_protocols: SUPPORTED_PROTOCOLS,
        fleet_name,
        sender: 1,
        sender_incarnation: incarnation,
        recipient: 0,
        recipient_incarnation: incarnation,
        sequence,
    };
    let revision = Revision {
        incarnation,
        refutations: 0,
    };
    let claim = Claim {
        member: 2,
        state: MemberState::Dead,
        revision,
        source: 1,
    };
    let mut datagram = Writer::default();
    header.encode(&mut datagram);
    wire::encode_content(
        Message::Gossip,
        &[Update::Claim(claim)],
        MAX_DATAGRAM_BYTES,
        &mut datagram,
    );
    authenticator.sign(datagram)
}

fn converged_fleet() -> SimulatedFleet {
    let mut fleet = SimulatedFleet::new(3, 1);
    fleet
        .run_until(60_000, SimulatedFleet::has_converged)
        .expect("the members converge");
    fleet
}

/// Random bytes, flipped bits, truncated and extended datagrams, other fleets, wrong keys, and
/// replays.
#[test]
fn hostile_datagrams_change_nothing() {
    let mut fleet = converged_fleet();
    let mut rng = fastrand::Rng::with_seed(2);
    let mut valid = Vec::new();
    for _ in 0..40 {
        let now = fleet.now;
        let membership = fleet.member_mut(1);
        membership.tick(now);
        let to_target = membership.transmits().filter(|transmit| transmit.to == 0);
        valid.extend(to_target.map(|transmit| transmit.bytes));
        fleet.now += 500;
    }
    valid.iter().for_each(|bytes| fleet.deliver(0, bytes));
    let before = known_state(&fleet, 0);
    let dropped = fleet.member(0).traffic().dropped.total();
    let other_name = Authenticator::new("other", KEY).expect("the name is valid");
    let wrong_key =
        Authenticator::new("kano", b"another key, just as long as it").expect("the key is valid");
    for n in 0..10_000_u32 {
        let mut bytes = valid[rng.usize(0..valid.len())].clone();
        match n % 7 {
            0 => bytes = (0..rng.usize(0..300)).map(|_| rng.u8(..)).collect(),
            1 => {
                let at = rng.usize(0..bytes.len());
                bytes[at] ^= 1 << rng.u32(0..8);
            }
            2 => bytes.truncate(rng.usize(0..bytes.len())),
            3 => bytes.extend((0..rng.usize(1..400)).map(|_| rng.u8(..))),
            4 | 5 => {
                let authenticator = if n % 7 == 4 { &other_name } else { &wrong_key };
                bytes = death_claim(authenticator, n);
            }
            _ => {}
        }
        fleet.deliver(0, &bytes);
    }
    assert_eq!(known_state(&fleet, 0), before);
    let DropCounters {
        malformed,
        other_fleet,
        unauthenticated,
        replayed,
        ..
    } = fleet.member(0).traffic().dropped;
    assert_eq!(fleet.member(0).traffic().dropped.total(), dropped + 10_000);
    assert!(malformed > 0 && other_fleet > 1_000 && unauthenticated > 1_000 && replayed > 1_000);
}

/// Replayed datagrams are authentic, but name an earlier incarnation of the recipient.
#[test]
fn datagrams_for_an_earlier_incarnation_change_nothing() {
    let mut fleet = converged_fleet();
    let now = fleet.now;
    fleet.member_mut(1).tick(now);
    let mut recorded = Vec::new();
    for _ in 0..10 {
        fleet.now += 1000;
        let now = fleet.now;
        let membership = fleet.member_mut(1);
        membership.tick(now);
        let to_target = membership.transmits().filter(|transmit| transmit.to == 0);
        recorded.extend(to_target.map(|transmit| transmit.bytes));
    }
    fleet.kill(0);
    fleet.start(0);
    let before = known_state(&fleet, 0);
    recorded.iter().for_each(|bytes| fleet.deliver(0, bytes));
    assert!(!recorded.is_empty());
    assert_eq!(known_state(&fleet, 0), before);
    assert_eq!(
        fleet.member(0).traffic().dropped.stale,
        recorded.len() as u64
    );
}

#[test]
fn invalid_names_and_keys_are_rejected() {
    assert_eq!(
        Authenticator::new("", KEY).err(),
        Some(CredentialsError::InvalidName)
    );
    assert_eq!(
        Authenticator::new("seventeen-letters", KEY).err(),
        Some(CredentialsError::InvalidName)
    );
    assert_eq!(
        Authenticator::new("kano", b"short").err(),
        Some(CredentialsError::InvalidKey)
    );
    assert!(Authenticator::new("sixteen-letters-", &[0; 16]).is_ok());
}

#[test]
fn the_highest_common_protocol_is_negotiated() {
    assert_eq!(wire::negotiate_protocol([1, 2], [2, 3]), Some(2));
    assert_eq!(wire::negotiate_protocol([1, 1], [1, 4]), Some(1));
    assert_eq!(wire::negotiate_protocol([1, 2], [3, 4]), None);
    assert_eq!(
        wire::negotiate_protocol(SUPPORTED_PROTOCOLS, SUPPORTED_PROTOCOLS),
        Some(SUPPORTED_PROTOCOLS[1])
    );
}

proptest! {
    /// Arbitrary bytes either fail to decode or encode to the same bytes again.
    #[test]
    fn decoded_content_encodes_to_the_same_bytes(bytes in prop::collection::vec(any::<u8>(), 0..MAX_DATAGRAM_BYTES)) {
        if let Ok((message, updates)) = wire::decode_content(&mut Reader::new(&bytes)) {
            let mut encoded = Writer::default();
            prop_assert_eq!(wire::encode_content(message, &updates, MAX_DATAGRAM_BYTES, &mut encoded), updates.len());
            prop_assert_eq!(encoded.as_slice(), &bytes[..]);
        }
        let mut dropped = DropCounters::default();
        prop_assert!(authenticator().verify(&bytes, &mut dropped).is_none());
        prop_assert_eq!(dropped.total(), 1);
    }
}
