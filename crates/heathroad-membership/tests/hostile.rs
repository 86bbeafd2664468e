//! Datagrams that should not have come: nothing is changed by them.

mod common;

use common::{KEY, World, authenticator};
use heathroad_membership::authentication::{Authenticator, CredentialsError, DropCounters};
use heathroad_membership::claim::{Claim, MemberState, Revision};
use heathroad_membership::codec::{Reader, Writer};
use heathroad_membership::wire::{
    self, Header, MAX_DATAGRAM_BYTES, Message, SUPPORTED_PROTOCOLS, Update,
};
use proptest::prelude::*;

/// Everything that a proxy holds to be true of others, as text.
fn held(world: &World, at: u16) -> String {
    let mut views = world.fleet(at).member_views(world.now);
    views.iter_mut().for_each(|v| v.last_heard_ago_ms = None);
    format!("{views:?} {:?}", world.fleet(at).revision())
}

/// Well-formed, for any life, and about somebody's end.
fn death(authenticator: &Authenticator, number: u32) -> Vec<u8> {
    let (fleet_name, incarnation) = (
        authenticator.fleet_name().to_vec(),
        common::EPOCH + 1_000_000,
    );
    let header = Header {
        protocol: 1,
        supported_protocols: SUPPORTED_PROTOCOLS,
        fleet_name,
        sender: 1,
        sender_incarnation: incarnation,
        recipient: 0,
        recipient_incarnation: incarnation,
        sequence: number,
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

fn quiet_pair() -> World {
    let mut world = World::new(3, 1);
    world.run_until(60_000, World::agree).expect("all know all");
    world
}

/// 10,000 of them: noise, bits turned, cut short, other fleets, other keys, records of earlier
/// ones.
#[test]
fn ten_thousand_datagrams_change_nothing() {
    let mut world = quiet_pair();
    let mut rng = fastrand::Rng::with_seed(2);
    let mut good = Vec::new();
    for _ in 0..40 {
        let now = world.now;
        let fleet = world.fleet_mut(1);
        fleet.tick(now);
        good.extend(fleet.transmits().filter(|s| s.to == 0).map(|s| s.bytes));
        world.now += 500;
    }
    good.iter().for_each(|bytes| world.bring(0, bytes));
    let before = held(&world, 0);
    let dropped = world.fleet(0).traffic().dropped.total();
    let foreign = Authenticator::new("other", KEY).expect("good");
    let wrong_key = Authenticator::new("kano", b"another key, just as long as it").expect("good");
    for n in 0..10_000_u32 {
        let mut bytes = good[rng.usize(0..good.len())].clone();
        match n % 7 {
            0 => bytes = (0..rng.usize(0..300)).map(|_| rng.u8(..)).collect(),
            1 => {
                let at = rng.usize(0..bytes.len());
                bytes[at] ^= 1 << rng.u32(0..8);
            }
            2 => bytes.truncate(rng.usize(0..bytes.len())),
            3 => bytes.extend((0..rng.usize(1..400)).map(|_| rng.u8(..))),
            4 | 5 => {
                let by = if n % 7 == 4 { &foreign } else { &wrong_key };
                bytes = death(by, n);
            }
            _ => {}
        }
        world.bring(0, &bytes);
    }
    assert_eq!(held(&world, 0), before);
    let DropCounters {
        malformed,
        other_fleet,
        unauthenticated,
        replayed,
        ..
    } = world.fleet(0).traffic().dropped;
    assert_eq!(world.fleet(0).traffic().dropped.total(), dropped + 10_000);
    assert!(malformed > 0 && other_fleet > 1_000 && unauthenticated > 1_000 && replayed > 1_000);
}

/// What was recorded is sealed rightly, and names a life of its receiver that has ended.
#[test]
fn a_recording_for_an_earlier_life_changes_nothing() {
    let mut world = quiet_pair();
    let now = world.now;
    world.fleet_mut(1).tick(now);
    let mut recorded = Vec::new();
    for _ in 0..10 {
        world.now += 1000;
        let now = world.now;
        let fleet = world.fleet_mut(1);
        fleet.tick(now);
        recorded.extend(fleet.transmits().filter(|s| s.to == 0).map(|s| s.bytes));
    }
    world.kill(0);
    world.start(0);
    let before = held(&world, 0);
    recorded.iter().for_each(|bytes| world.bring(0, bytes));
    assert!(!recorded.is_empty());
    assert_eq!(held(&world, 0), before);
    assert_eq!(
        world.fleet(0).traffic().dropped.stale,
        recorded.len() as u64
    );
}

#[test]
fn names_and_keys_that_cannot_be_used() {
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
fn old_and_new_speak_the_highest_that_both_do() {
    assert_eq!(wire::negotiate_protocol([1, 2], [2, 3]), Some(2));
    assert_eq!(wire::negotiate_protocol([1, 1], [1, 4]), Some(1));
    assert_eq!(wire::negotiate_protocol([1, 2], [3, 4]), None);
    assert_eq!(
        wire::negotiate_protocol(SUPPORTED_PROTOCOLS, SUPPORTED_PROTOCOLS),
        Some(SUPPORTED_PROTOCOLS[1])
    );
}

proptest! {
    /// Whatever comes, it is read or torn, and what is read is written as it was.
    #[test]
    fn any_bytes(bytes in prop::collection::vec(any::<u8>(), 0..MAX_DATAGRAM_BYTES)) {
        if let Ok((message, updates)) = wire::decode_content(&mut Reader::new(&bytes)) {
            let mut again = Writer::default();
            prop_assert_eq!(wire::encode_content(message, &updates, MAX_DATAGRAM_BYTES, &mut again), updates.len());
            prop_assert_eq!(again.as_slice(), &bytes[..]);
        }
        let mut dropped = DropCounters::default();
        prop_assert!(authenticator().verify(&bytes, &mut dropped).is_none());
        prop_assert_eq!(dropped.total(), 1);
    }
}
