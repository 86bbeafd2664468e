//! What the fleet wants, in any order of words; and how it spreads, also across a cut.

mod common;

use common::{World, version};
use heathroad_membership::desired_version::{
    Desired, DesiredVersion, MAX_REQUIRED, RequiredVersion, RequiredVersions, VersionConflict,
};
use heathroad_membership::version::Digest;
use proptest::prelude::*;

fn want(number: u64, text: &str) -> Desired {
    Desired::Version(DesiredVersion {
        generation: number,
        digest: Digest::of(text.as_bytes()),
        origin: 0,
    })
}

fn after(words: &[Desired]) -> Desired {
    let mut wanted = Desired::Unset;
    for word in words {
        wanted.merge(*word);
    }
    wanted
}

fn words() -> impl Strategy<Value = Vec<Desired>> {
    let one = (1..4_u64, 0..3_u8).prop_map(|(number, text)| want(number, &text.to_string()));
    prop::collection::vec(one, 1..10)
}

fn required() -> impl Strategy<Value = Vec<RequiredVersion>> {
    let digest = Digest::default();
    let one = (1..6_u64, 0..6_u64).prop_map(move |(number, at)| RequiredVersion {
        generation: number,
        digest,
        deadline: at * 1000,
    });
    prop::collection::vec(one, 1..8)
}

/// The lowest generation that may be acted on at a time.
fn least(words: &[RequiredVersion], at: u64) -> u64 {
    words
        .iter()
        .filter(|r| r.deadline <= at)
        .map(|r| r.generation)
        .max()
        .unwrap_or(0)
}

proptest! {
    #[test]
    fn order_and_repeats_do_not_matter(words in words(), seed in any::<u64>()) {
        let mut other: Vec<Desired> = words.iter().chain(&words).copied().collect();
        fastrand::Rng::with_seed(seed).shuffle(&mut other);
        prop_assert_eq!(after(&words), after(&other));
    }

    /// What is kept asks for no less than all that was said, but for what was given up for want of
    /// room; and never for more.
    #[test]
    fn what_is_required_is_kept(words in required()) {
        let (mut kept, mut given_up) = (RequiredVersions::default(), Vec::new());
        for word in &words {
            let before = kept.clone();
            kept.merge(*word);
            if [&before, &kept].iter().all(|k| k.as_slice().len() == MAX_REQUIRED) {
                let covered = |r: &RequiredVersion| kept.as_slice().iter().any(|k| k.generation >= r.generation && k.deadline <= r.deadline);
                let all = before.as_slice().iter().chain([word]);
                let left: Vec<u64> = all.filter(|r| !covered(r)).map(|r| r.generation).collect();
                // Of what finds no room the lowest goes.
                prop_assert!(left.iter().all(|n| kept.as_slice().iter().all(|k| k.generation > *n)));
                given_up.extend(left);
            }
        }
        for at in (0..7).map(|t| t * 1000) {
            let (asked, said) = (least(kept.as_slice(), at), least(&words, at));
            prop_assert!(asked <= said);
            prop_assert!(asked == said || given_up.contains(&said));
        }
        prop_assert!(kept.as_slice().len() <= MAX_REQUIRED);
    }
}

#[test]
fn the_highest_number_stands() {
    assert_eq!(
        after(&[want(1, "a"), want(2, "b"), want(1, "c")]),
        want(2, "b")
    );
    let Desired::Conflict(VersionConflict { generation: 2, .. }) =
        after(&[want(2, "b"), want(2, "c")])
    else {
        panic!("two texts under one number")
    };
    assert_eq!(
        after(&[want(2, "b"), want(2, "c"), want(3, "d")]),
        want(3, "d")
    );
}

fn wants(world: &World, at: u16) -> Desired {
    world.fleet(at).desired()
}

/// Deadlines are told as what is left of them: clocks that are far apart, and hops, move them by
/// the ways' delay alone. They hold on when a higher generation is wanted that is not required.
#[test]
fn a_deadline_is_the_same_for_all_and_stays() {
    let mut world = World::new(24, 3);
    world.run_until(60_000, World::agree).expect("all know all");
    let (now, digest) = (world.now, version(7).routes);
    world
        .fleet_mut(4)
        .propose_version(now, 7, digest, Some(30_000));
    world.run(2_000);
    let later = world.now;
    world
        .fleet_mut(9)
        .propose_version(later, 8, version(8).routes, None);
    world.run(5_000);
    for at in 0..24 {
        assert_eq!(wants(&world, at).generation(), 8);
        let [
            RequiredVersion {
                generation: 7,
                deadline: required,
                ..
            },
        ] = world.fleet(at).required().as_slice()
        else {
            panic!("{at}: {:?}", world.fleet(at).required())
        };
        assert!(
            (now + 30_000..now + 31_000).contains(required),
            "{at}: {required}"
        );
    }
}

/// Two changes under one number on both sides of a cut: healed, all know of the conflict and nobody
/// spreads either; a higher number settles it.
#[test]
fn two_changes_under_one_number() {
    let mut world = World::new(8, 4);
    world.run_until(60_000, World::agree).expect("all know all");
    world.cut(&[0, 1, 2, 3], &[4, 5, 6, 7]);
    let now = world.now;
    world
        .fleet_mut(0)
        .propose_version(now, 5, Digest::of(b"one"), None);
    world
        .fleet_mut(7)
        .propose_version(now, 5, Digest::of(b"other"), None);
    world.run(20_000);
    assert_eq!(
        (wants(&world, 3), wants(&world, 4)),
        (after(&[wants(&world, 0)]), after(&[wants(&world, 7)]))
    );
    world.faults.cut.clear();
    let end = world.now + 60_000;
    let known = |w: &World| (0..8).all(|at| matches!(wants(w, at), Desired::Conflict(_)));
    world
        .run_until(end, known)
        .expect("the conflict is known to all");
    let now = world.now;
    world
        .fleet_mut(2)
        .propose_version(now, 6, Digest::of(b"third"), None);
    let end = world.now + 60_000;
    world
        .run_until(end, |w| (0..8).all(|at| wants(w, at).generation() == 6))
        .expect("it is settled");
}
