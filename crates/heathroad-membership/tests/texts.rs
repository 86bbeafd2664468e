//! Whole texts over lossy ways.

mod common;

use common::World;
use heathroad_membership::protocol::fetch::{FetchError, MAX_RESOURCE_BYTES, PART_BYTES};
use heathroad_membership::version::Digest;
use heathroad_membership::wire::Resource;

/// Lets 0 fetch from 1, which has `text`.
fn fetch(
    world: &mut World,
    resource: Resource,
    key: Digest,
    text: Option<Vec<u8>>,
) -> Result<Vec<u8>, FetchError> {
    let now = world.now;
    let id = world
        .fleet_mut(0)
        .fetch(now, 1, resource, key)
        .expect("there is room");
    let begun = now;
    for _ in 0..200_000 {
        world.run(1);
        let now = world.now;
        if world.running().contains(&1) {
            let asked: Vec<_> = world.fleet_mut(1).resource_requests().collect();
            asked
                .into_iter()
                .for_each(|a| world.fleet_mut(1).serve(now, a, text.clone()));
        }
        let done: Vec<_> = world.fleet_mut(0).completed_fetches().collect();
        if let Some(fetched) = done.into_iter().next() {
            assert_eq!(fetched.id, id);
            assert!(fetched.first_part_after <= world.now - begun);
            return fetched.result;
        }
    }
    panic!("neither a text nor an end");
}

fn pair(loss: f64) -> World {
    let mut world = World::new(3, 5);
    world.run_until(60_000, World::agree).expect("all know all");
    (world.faults.loss, world.faults.twice) = (loss, loss);
    world
}

#[test]
fn texts_come_whole_whatever_is_lost() {
    for loss in [0.0, 0.1, 0.3] {
        for length in [0, 1, PART_BYTES, PART_BYTES + 1, 40_000] {
            let text: Vec<u8> = (0..length).map(|n| (n * 7 % 251) as u8).collect();
            let mut world = pair(loss);
            let came = fetch(
                &mut world,
                Resource::Routes,
                Digest::of(&text),
                Some(text.clone()),
            );
            assert_eq!(came.as_ref(), Ok(&text), "{length} bytes, loss {loss}");
        }
    }
}

#[test]
fn what_is_not_there_or_not_what_it_should_be() {
    let mut world = pair(0.0);
    let text = vec![1; 1000];
    assert_eq!(
        fetch(
            &mut world,
            Resource::ActivityRecord,
            Digest::default(),
            None
        ),
        Err(FetchError::NotFound)
    );
    let other = Digest::of(b"another text");
    assert_eq!(
        fetch(&mut world, Resource::Routes, other, Some(text.clone())),
        Err(FetchError::Corrupted)
    );
    assert_eq!(
        fetch(
            &mut world,
            Resource::ActivityRecord,
            other,
            Some(vec![0; MAX_RESOURCE_BYTES + 1])
        ),
        Err(FetchError::NotFound)
    );
    world.faults.loss = 1.0;
    assert_eq!(
        fetch(&mut world, Resource::ActivityRecord, other, Some(text)),
        Err(FetchError::TimedOut)
    );
}

/// The one that has a text dies while it is fetched: that is told, and soon.
#[test]
fn a_source_that_dies_on_the_way() {
    let mut world = pair(0.0);
    let (now, text) = (world.now, vec![1; 60_000]);
    let id = world
        .fleet_mut(0)
        .fetch(now, 1, Resource::ActivityRecord, Digest::default())
        .expect("there is room");
    for _ in 0..50 {
        world.run(1);
        let now = world.now;
        let asked: Vec<_> = world.fleet_mut(1).resource_requests().collect();
        asked
            .into_iter()
            .for_each(|a| world.fleet_mut(1).serve(now, a, Some(text.clone())));
    }
    world.kill(1);
    world.run(4_000);
    let done: Vec<_> = world.fleet_mut(0).completed_fetches().collect();
    assert_eq!(
        done.iter().map(|f| (f.id, &f.result)).collect::<Vec<_>>(),
        [(id, &Err(FetchError::TimedOut))]
    );
}
