//! What the fleet wants, in any order of words; and how it spreads, also across a cut.

mod common;

use common::{World, version};
use heathroad_fleet::version::Digest;
use heathroad_fleet::want::{Conflict, Want, Wanted};
use proptest::prelude::*;

fn want(number: u64, text: &str, required: Option<u64>) -> Wanted {
    Wanted::One(Want { number, digest: Digest::of(text.as_bytes()), by: 0, required })
}

fn after(words: &[Wanted]) -> Wanted {
    let mut wanted = Wanted::Nothing;
    for word in words {
        wanted.merge(*word);
    }
    wanted
}

fn words() -> impl Strategy<Value = Vec<Wanted>> {
    let one = (1..4_u64, 0..3_u8, prop::option::of(0..5_u64));
    let one =
        one.prop_map(|(number, text, required)| want(number, &text.to_string(), required.map(|r| r * 1000)));
    prop::collection::vec(one, 1..10)
}

proptest! {
    #[test]
    fn order_and_repeats_do_not_matter(words in words(), seed in any::<u64>()) {
        let mut other: Vec<Wanted> = words.iter().chain(&words).copied().collect();
        fastrand::Rng::with_seed(seed).shuffle(&mut other);
        prop_assert_eq!(after(&words), after(&other));
    }
}

#[test]
fn the_highest_number_stands_and_the_soonest_deadline() {
    let words =
        [want(1, "a", Some(9000)), want(2, "b", None), want(2, "b", Some(7000)), want(2, "b", Some(8000))];
    assert_eq!(after(&words), want(2, "b", Some(7000)));
    let Wanted::Both(Conflict { number: 2, .. }) = after(&[want(2, "b", None), want(2, "c", None)]) else {
        panic!("two texts under one number")
    };
    assert_eq!(after(&[want(2, "b", None), want(2, "c", None), want(3, "d", None)]), want(3, "d", None));
}

fn wants(world: &World, at: u16) -> Wanted {
    world.fleet(at).table().wanted()
}

/// Deadlines are told as what is left of them: clocks that are far apart, and hops, move them by the ways' delay alone.
#[test]
fn a_deadline_is_the_same_for_all() {
    let mut world = World::new(24, 3);
    world.run_until(60_000, World::agree).expect("all know all");
    let (now, digest) = (world.now, version(7).routes);
    world.fleet_mut(4).want(now, 7, digest, Some(30_000));
    world.run(5_000);
    for at in 0..24 {
        let Wanted::One(Want { number: 7, required: Some(required), .. }) = wants(&world, at) else {
            panic!("{at}: {:?}", wants(&world, at))
        };
        assert!((now + 30_000..now + 31_000).contains(&required), "{at}: {required}");
    }
}

/// Two changes under one number on both sides of a cut: healed, all know of the conflict and nobody spreads either; a higher
/// number settles it.
#[test]
fn two_changes_under_one_number() {
    let mut world = World::new(8, 4);
    world.run_until(60_000, World::agree).expect("all know all");
    world.cut(&[0, 1, 2, 3], &[4, 5, 6, 7]);
    let now = world.now;
    world.fleet_mut(0).want(now, 5, Digest::of(b"one"), None);
    world.fleet_mut(7).want(now, 5, Digest::of(b"other"), None);
    world.run(20_000);
    assert_eq!(
        (wants(&world, 3), wants(&world, 4)),
        (after(&[wants(&world, 0)]), after(&[wants(&world, 7)]))
    );
    world.faults.cut.clear();
    let end = world.now + 60_000;
    let known = |w: &World| (0..8).all(|at| matches!(wants(w, at), Wanted::Both(_)));
    world.run_until(end, known).expect("the conflict is known to all");
    let now = world.now;
    world.fleet_mut(2).want(now, 6, Digest::of(b"third"), None);
    let end = world.now + 60_000;
    world.run_until(end, |w| (0..8).all(|at| wants(w, at).number() == 6)).expect("it is settled");
}
