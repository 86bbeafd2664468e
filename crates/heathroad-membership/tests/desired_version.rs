//! The desired version, whatever the order of updates, and how it spreads, also across a partition.

mod common;

use common::{World, version};
use heathroad_membership::desired_version::{
    Desired, DesiredVersion, MAX_REQUIRED, RequiredVersion, RequiredVersions, VersionConflict,
};
use heathroad_membership::version::Digest;
use proptest::prelude::*;

fn desired(generation: u64, text: &str) -> Desired {
    Desired::Version(DesiredVersion {
        generation,
        digest: Digest::of(text.as_bytes()),
        origin: 0,
    })
}

fn after(updates: &[Desired]) -> Desired {
    let mut merged = Desired::Unset;
    for update in updates {
        merged.merge(*update);
    }
    merged
}

fn updates() -> impl Strategy<Value = Vec<Desired>> {
    let one = (1..4_u64, 0..3_u8).prop_map(|(number, text)| desired(number, &text.to_string()));
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

/// Returns the lowest generation that is permitted at a time.
fn least(updates: &[RequiredVersion], at: u64) -> u64 {
    updates
        .iter()
        .filter(|r| r.deadline <= at)
        .map(|r| r.generation)
        .max()
        .unwrap_or(0)
}

proptest! {
    #[test]
    fn order_and_duplicates_of_updates_do_not_matter(updates in updates(), seed in any::<u64>()) {
        let mut other: Vec<Desired> = updates.iter().chain(&updates).copied().collect();
        fastrand::Rng::with_seed(seed).shuffle(&mut other);
        prop_assert_eq!(after(&updates), after(&other));
    }

    /// What is kept asks for no less than all that was said, but for what was given up for want of
    /// room; and never for more.
    #[test]
    fn requirements_are_kept_but_for_the_lowest(updates in required()) {
        let (mut kept, mut given_up) = (RequiredVersions::default(), Vec::new());
        for update in &updates {
            let before = kept.clone();
            kept.merge(*update);
            if [&before, &kept].iter().all(|k| k.as_slice().len() == MAX_REQUIRED) {
                let covered = |r: &RequiredVersion| kept.as_slice().iter().any(|k| k.generation >= r.generation && k.deadline <= r.deadline);
                let all = before.as_slice().iter().chain([update]);
                let left: Vec<u64> = all.filter(|r| !covered(r)).map(|r| r.generation).collect();
                // Of what finds no room the lowest goes.
                prop_assert!(left.iter().all(|n| kept.as_slice().iter().all(|k| k.generation > *n)));
                given_up.extend(left);
            }
        }
        for at in (0..7).map(|t| t * 1000) {
            let (asked, said) = (least(kept.as_slice(), at), least(&updates, at));
            prop_assert!(asked <= said);
            prop_assert!(asked == said || given_up.contains(&said));
        }
        prop_assert!(kept.as_slice().len() <= MAX_REQUIRED);
    }
}

#[test]
fn the_highest_generation_holds() {
    assert_eq!(
        after(&[desired(1, "a"), desired(2, "b"), desired(1, "c")]),
        desired(2, "b")
    );
    let Desired::Conflict(VersionConflict { generation: 2, .. }) =
        after(&[desired(2, "b"), desired(2, "c")])
    else {
        panic!("two texts under one number")
    };
    assert_eq!(
        after(&[desired(2, "b"), desired(2, "c"), desired(3, "d")]),
        desired(3, "d")
    );
}

fn desired_at(world: &World, at: u16) -> Desired {
    world.member(at).desired()
}

/// Deadlines are told as what is left of them: clocks that are far apart, and hops, move them by
/// the ways' delay alone. They hold on when a higher generation is merged that is not required.
#[test]
fn a_deadline_is_the_same_for_all_members_and_stays() {
    let mut world = World::new(24, 3);
    world
        .run_until(60_000, World::agrees)
        .expect("all know all");
    let (now, digest) = (world.now, version(7).routes);
    world
        .member_mut(4)
        .propose_version(now, 7, digest, Some(30_000));
    world.run(2_000);
    let later = world.now;
    world
        .member_mut(9)
        .propose_version(later, 8, version(8).routes, None);
    world.run(5_000);
    for at in 0..24 {
        assert_eq!(desired_at(&world, at).generation(), 8);
        let [
            RequiredVersion {
                generation: 7,
                deadline: required,
                ..
            },
        ] = world.member(at).required().as_slice()
        else {
            panic!("{at}: {:?}", world.member(at).required())
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
fn two_changes_under_one_generation_are_a_conflict_until_a_higher_one() {
    let mut world = World::new(8, 4);
    world
        .run_until(60_000, World::agrees)
        .expect("all know all");
    world.partition(&[0, 1, 2, 3], &[4, 5, 6, 7]);
    let now = world.now;
    world
        .member_mut(0)
        .propose_version(now, 5, Digest::of(b"one"), None);
    world
        .member_mut(7)
        .propose_version(now, 5, Digest::of(b"other"), None);
    world.run(20_000);
    assert_eq!(
        (desired_at(&world, 3), desired_at(&world, 4)),
        (
            after(&[desired_at(&world, 0)]),
            after(&[desired_at(&world, 7)])
        )
    );
    world.faults.blocked.clear();
    let end = world.now + 60_000;
    let known = |w: &World| (0..8).all(|at| matches!(desired_at(w, at), Desired::Conflict(_)));
    world
        .run_until(end, known)
        .expect("the conflict is known to all");
    let now = world.now;
    world
        .member_mut(2)
        .propose_version(now, 6, Digest::of(b"third"), None);
    let end = world.now + 60_000;
    world
        .run_until(end, |w| {
            (0..8).all(|at| desired_at(w, at).generation() == 6)
        })
        .expect("it is settled");
}
