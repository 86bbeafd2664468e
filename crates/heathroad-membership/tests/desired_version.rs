//! Tests of the desired version and of requirements: merging in any order, and dissemination, also
//! after a partition.

mod common;

use common::{SimulatedFleet, version};
use heathroad_membership::desired_version::{
    Desired, DesiredVersion, MAX_REQUIRED, RequiredVersion, RequiredVersions, VersionConflict,
};
use heathroad_membership::version::Digest;
use proptest::prelude::*;

fn desired(generation: u64, routes: &str) -> Desired {
    Desired::Version(DesiredVersion {
        generation,
        digest: Digest::of(routes.as_bytes()),
        origin: 0,
    })
}

fn merged(updates: &[Desired]) -> Desired {
    let mut result = Desired::Unset;
    for update in updates {
        result.merge(*update);
    }
    result
}

fn any_updates() -> impl Strategy<Value = Vec<Desired>> {
    let update = (1..4_u64, 0..3_u8)
        .prop_map(|(generation, routes)| desired(generation, &routes.to_string()));
    prop::collection::vec(update, 1..10)
}

fn any_requirements() -> impl Strategy<Value = Vec<RequiredVersion>> {
    let digest = Digest::default();
    let requirement = (1..6_u64, 0..6_u64).prop_map(move |(generation, seconds)| RequiredVersion {
        generation,
        digest,
        deadline: seconds * 1000,
    });
    prop::collection::vec(requirement, 1..8)
}

/// Returns the lowest generation that is permitted at `now`.
fn lowest_permitted(requirements: &[RequiredVersion], now: u64) -> u64 {
    requirements
        .iter()
        .filter(|required| required.deadline <= now)
        .map(|required| required.generation)
        .max()
        .unwrap_or(0)
}

proptest! {
    #[test]
    fn order_and_duplicates_of_updates_do_not_matter(updates in any_updates(), seed in any::<u64>()) {
        let mut shuffled: Vec<Desired> = updates.iter().chain(&updates).copied().collect();
        fastrand::Rng::with_seed(seed).shuffle(&mut shuffled);
        prop_assert_eq!(merged(&updates), merged(&shuffled));
    }

    /// The merged requirements permit the same generations as all of them together, except where
    /// the limit forced the lowest ones to be dropped.
    #[test]
    fn merging_drops_only_the_lowest_requirements(updates in any_requirements()) {
        let (mut kept, mut dropped) = (RequiredVersions::default(), Vec::new());
        for update in &updates {
            let before = kept.clone();
            kept.merge(*update);
            if [&before, &kept].iter().all(|required| required.as_slice().len() == MAX_REQUIRED) {
                let is_covered = |r: &RequiredVersion| {
                    kept.as_slice()
                        .iter()
                        .any(|k| k.generation >= r.generation && k.deadline <= r.deadline)
                };
                let all = before.as_slice().iter().chain([update]);
                let uncovered: Vec<u64> =
                    all.filter(|r| !is_covered(r)).map(|r| r.generation).collect();
                prop_assert!(uncovered
                    .iter()
                    .all(|generation| kept.as_slice().iter().all(|k| k.generation > *generation)));
                dropped.extend(uncovered);
            }
        }
        for now in (0..7).map(|seconds| seconds * 1000) {
            let actual = lowest_permitted(kept.as_slice(), now);
            let expected = lowest_permitted(&updates, now);
            prop_assert!(actual <= expected);
            prop_assert!(actual == expected || dropped.contains(&expected));
        }
        prop_assert!(kept.as_slice().len() <= MAX_REQUIRED);
    }
}

#[test]
fn the_highest_generation_wins() {
    assert_eq!(
        merged(&[desired(1, "a"), desired(2, "b"), desired(1, "c")]),
        desired(2, "b")
    );
    let Desired::Conflict(VersionConflict { generation: 2, .. }) =
        merged(&[desired(2, "b"), desired(2, "c")])
    else {
        panic!("expected a conflict")
    };
    assert_eq!(
        merged(&[desired(2, "b"), desired(2, "c"), desired(3, "d")]),
        desired(3, "d")
    );
}

fn desired_at(fleet: &SimulatedFleet, member: u16) -> Desired {
    fleet.member(member).desired()
}

/// Deadlines travel as remaining time, so only network delay shifts them. They stay in effect when
/// a higher generation becomes desired that is not required.
#[test]
fn a_deadline_is_the_same_for_all_members_and_stays() {
    let mut fleet = SimulatedFleet::new(24, 3);
    fleet
        .run_until(60_000, SimulatedFleet::has_converged)
        .expect("the members converge");
    let (now, digest) = (fleet.now, version(7).routes);
    fleet
        .member_mut(4)
        .propose_version(now, 7, digest, Some(30_000));
    fleet.run(2_000);
    let later = fleet.now;
    fleet
        .member_mut(9)
        .propose_version(later, 8, version(8).routes, None);
    fleet.run(5_000);
    for id in 0..24 {
        assert_eq!(desired_at(&fleet, id).generation(), 8);
        let [
            RequiredVersion {
                generation: 7,
                deadline,
                ..
            },
        ] = fleet.member(id).required().as_slice()
        else {
            panic!("member {id}: {:?}", fleet.member(id).required())
        };
        assert!(
            (now + 30_000..now + 31_000).contains(deadline),
            "member {id}: deadline {deadline}"
        );
    }
}

/// Both sides of a partition commit the same generation. After the partition heals, all members
/// know of the conflict until a higher generation resolves it.
#[test]
fn a_conflict_lasts_until_a_higher_generation() {
    let mut fleet = SimulatedFleet::new(8, 4);
    fleet
        .run_until(60_000, SimulatedFleet::has_converged)
        .expect("the members converge");
    fleet.partition(&[0, 1, 2, 3], &[4, 5, 6, 7]);
    let now = fleet.now;
    fleet
        .member_mut(0)
        .propose_version(now, 5, Digest::of(b"one"), None);
    fleet
        .member_mut(7)
        .propose_version(now, 5, Digest::of(b"other"), None);
    fleet.run(20_000);
    assert_eq!(
        (desired_at(&fleet, 3), desired_at(&fleet, 4)),
        (
            merged(&[desired_at(&fleet, 0)]),
            merged(&[desired_at(&fleet, 7)])
        )
    );
    fleet.faults.blocked.clear();
    let end = fleet.now + 60_000;
    let conflict_is_known = |fleet: &SimulatedFleet| {
        (0..8).all(|id| matches!(desired_at(fleet, id), Desired::Conflict(_)))
    };
    fleet
        .run_until(end, conflict_is_known)
        .expect("all members know of the conflict");
    let now = fleet.now;
    fleet
        .member_mut(2)
        .propose_version(now, 6, Digest::of(b"third"), None);
    let end = fleet.now + 60_000;
    fleet
        .run_until(end, |fleet| {
            (0..8).all(|id| desired_at(fleet, id).generation() == 6)
        })
        .expect("the conflict is resolved");
}
