//! Tests of resource fetches over a lossy network.

mod common;

use common::SimulatedFleet;
use heathroad_membership::protocol::fetch::{FetchError, MAX_RESOURCE_BYTES, PART_BYTES};
use heathroad_membership::version::Digest;
use heathroad_membership::wire::Resource;

/// Lets member 0 fetch a resource from member 1, which serves `bytes`.
fn fetch(
    fleet: &mut SimulatedFleet,
    resource: Resource,
    key: Digest,
    bytes: Option<Vec<u8>>,
) -> Result<Vec<u8>, FetchError> {
    let now = fleet.now;
    let id = fleet
        .member_mut(0)
        .fetch(now, 1, resource, key)
        .expect("no other fetch is in progress");
    let started_at = now;
    for _ in 0..200_000 {
        fleet.run(1);
        let now = fleet.now;
        if fleet.running().contains(&1) {
            let requests: Vec<_> = fleet.member_mut(1).resource_requests().collect();
            requests
                .into_iter()
                .for_each(|request| fleet.member_mut(1).serve(now, request, bytes.clone()));
        }
        let completed: Vec<_> = fleet.member_mut(0).completed_fetches().collect();
        if let Some(fetched) = completed.into_iter().next() {
            assert_eq!(fetched.id, id);
            assert!(fetched.first_part_after <= fleet.now - started_at);
            return fetched.result;
        }
    }
    panic!("the fetch did not end");
}

fn lossy_fleet(loss: f64) -> SimulatedFleet {
    let mut fleet = SimulatedFleet::new(3, 5);
    fleet
        .run_until(60_000, SimulatedFleet::has_converged)
        .expect("the members converge");
    (fleet.faults.loss, fleet.faults.duplication) = (loss, loss);
    fleet
}

#[test]
fn resources_arrive_intact_despite_loss() {
    for loss in [0.0, 0.1, 0.3] {
        for length in [0, 1, PART_BYTES, PART_BYTES + 1, 40_000] {
            let bytes: Vec<u8> = (0..length).map(|n| (n * 7 % 251) as u8).collect();
            let mut fleet = lossy_fleet(loss);
            let fetched = fetch(
                &mut fleet,
                Resource::Routes,
                Digest::of(&bytes),
                Some(bytes.clone()),
            );
            assert_eq!(fetched.as_ref(), Ok(&bytes), "{length} bytes, loss {loss}");
        }
    }
}

#[test]
fn missing_and_corrupted_resources_are_reported() {
    let mut fleet = lossy_fleet(0.0);
    let bytes = vec![1; 1000];
    assert_eq!(
        fetch(
            &mut fleet,
            Resource::ActivityRecord,
            Digest::default(),
            None
        ),
        Err(FetchError::NotFound)
    );
    let other = Digest::of(b"another resource");
    assert_eq!(
        fetch(&mut fleet, Resource::Routes, other, Some(bytes.clone())),
        Err(FetchError::Corrupted)
    );
    assert_eq!(
        fetch(
            &mut fleet,
            Resource::ActivityRecord,
            other,
            Some(vec![0; MAX_RESOURCE_BYTES + 1])
        ),
        Err(FetchError::NotFound)
    );
    fleet.faults.loss = 1.0;
    assert_eq!(
        fetch(&mut fleet, Resource::ActivityRecord, other, Some(bytes)),
        Err(FetchError::TimedOut)
    );
}

#[test]
fn a_fetch_times_out_when_its_source_dies() {
    let mut fleet = lossy_fleet(0.0);
    let (now, bytes) = (fleet.now, vec![1; 60_000]);
    let id = fleet
        .member_mut(0)
        .fetch(now, 1, Resource::ActivityRecord, Digest::default())
        .expect("no other fetch is in progress");
    for _ in 0..50 {
        fleet.run(1);
        let now = fleet.now;
        let requests: Vec<_> = fleet.member_mut(1).resource_requests().collect();
        requests
            .into_iter()
            .for_each(|request| fleet.member_mut(1).serve(now, request, Some(bytes.clone())));
    }
    fleet.kill(1);
    fleet.run(4_000);
    let completed: Vec<_> = fleet.member_mut(0).completed_fetches().collect();
    assert_eq!(
        completed
            .iter()
            .map(|fetch| (fetch.id, &fetch.result))
            .collect::<Vec<_>>(),
        [(id, &Err(FetchError::TimedOut))]
    );
}
