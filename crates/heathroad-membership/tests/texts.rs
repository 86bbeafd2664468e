//! Whole texts over lossy ways.

mod common;

use common::World;
use heathroad_membership::protocol::fetch::{MAX_TEXT, PART, Unfetched};
use heathroad_membership::version::Digest;
use heathroad_membership::wire::Resource;

/// Lets 0 fetch from 1, which has `text`.
fn fetch(
    world: &mut World,
    topic: Resource,
    key: Digest,
    text: Option<Vec<u8>>,
) -> Result<Vec<u8>, Unfetched> {
    let now = world.now;
    let id = world
        .fleet_mut(0)
        .fetch(now, 1, topic, key)
        .expect("there is room");
    let begun = now;
    for _ in 0..200_000 {
        world.run(1);
        let now = world.now;
        if world.running().contains(&1) {
            let asked: Vec<_> = world.fleet_mut(1).asked().collect();
            asked
                .into_iter()
                .for_each(|a| world.fleet_mut(1).serve(now, a, text.clone()));
        }
        let done: Vec<_> = world.fleet_mut(0).fetched().collect();
        if let Some(fetched) = done.into_iter().next() {
            assert_eq!(fetched.id, id);
            assert!(fetched.within <= world.now - begun);
            return fetched.text;
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
        for length in [0, 1, PART, PART + 1, 40_000] {
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
        Err(Unfetched::NotThere)
    );
    let other = Digest::of(b"another text");
    assert_eq!(
        fetch(&mut world, Resource::Routes, other, Some(text.clone())),
        Err(Unfetched::Spoilt)
    );
    assert_eq!(
        fetch(
            &mut world,
            Resource::ActivityRecord,
            other,
            Some(vec![0; MAX_TEXT + 1])
        ),
        Err(Unfetched::NotThere)
    );
    world.faults.loss = 1.0;
    assert_eq!(
        fetch(&mut world, Resource::ActivityRecord, other, Some(text)),
        Err(Unfetched::Silence)
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
        let asked: Vec<_> = world.fleet_mut(1).asked().collect();
        asked
            .into_iter()
            .for_each(|a| world.fleet_mut(1).serve(now, a, Some(text.clone())));
    }
    world.kill(1);
    world.run(4_000);
    let done: Vec<_> = world.fleet_mut(0).fetched().collect();
    assert_eq!(
        done.iter().map(|f| (f.id, &f.text)).collect::<Vec<_>>(),
        [(id, &Err(Unfetched::Silence))]
    );
}
