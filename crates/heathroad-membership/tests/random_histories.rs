//! Random histories of small fleets: soon after the last fault all running members know that
//! exactly the running ones are alive. `FLEET_HISTORIES` asks for more of them, from `FLEET_SEED`
//! on.

mod common;

use common::{Faults, World, version};

fn number(name: &str, usual: u64) -> u64 {
    std::env::var(name)
        .ok()
        .and_then(|v| v.parse().ok())
        .unwrap_or(usual)
}

fn history(seed: u64) {
    let mut rng = fastrand::Rng::with_seed(seed);
    let members = rng.u16(2..7);
    let mut world = World::new(members, seed);
    world.run(rng.u64(0..5_000));
    for step in 0..rng.u64(3..10) {
        let who = rng.u16(0..members);
        let runs = world.running().contains(&who);
        match rng.u32(0..7) {
            0 if runs => world.kill(who),
            1 if !runs => world.start(who),
            // Its clock was set back, or forward.
            2 if !runs => world.start_in(
                who,
                common::EPOCH.wrapping_add_signed(rng.i64(-5_000_000..5_000_000)),
            ),
            3 => world.stall(who, rng.u64(0..30_000)),
            4 => {
                let one: Vec<u16> = (0..members).filter(|_| rng.bool()).collect();
                let other: Vec<u16> = (0..members).filter(|p| !one.contains(p)).collect();
                world.partition(&one, &other);
            }
            5 => {
                let to = rng.u16(0..members);
                world.faults.blocked.insert((who, to));
            }
            _ => {
                world.faults.blocked.clear();
                (world.faults.loss, world.faults.duplication) = (rng.f64() * 0.4, rng.f64() * 0.2);
                world.faults.delay = rng.u64(1..400);
            }
        }
        if world.running().contains(&who) {
            world.member_mut(who).set_active_version(version(step));
        }
        world.run(rng.u64(0..15_000));
    }
    world.faults = Faults {
        delay: 12,
        ..Faults::default()
    };
    world.stalled.iter_mut().for_each(|s| *s = 0);
    if world.running().len() < 2 {
        world.start(0);
        world.start(1);
    }
    let end = world.now + 300_000;
    // Where two members are left of more, they cannot tell a death from a partition.
    let settled = world.run_until(end, World::agrees);
    if settled.is_none() {
        for at in world.running() {
            println!("{at}: {:#?}", world.member(at).member_views(world.now));
        }
    }
    assert!(
        settled.is_some(),
        "seed {seed}: no agreement after the last fault"
    );
    assert!(world.longest <= 256, "seed {seed}");
}

#[test]
fn random_histories_end_in_agreement() {
    let (from, count) = (number("FLEET_SEED", 1), number("FLEET_HISTORIES", 1000));
    (from..from + count).for_each(history);
}
