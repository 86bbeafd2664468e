//! Random histories: whatever is lost, repeated, late, cut, stalled, killed, forgotten or put back,
//! nobody holds beside another by clocks that are within their bound, tokens begin in order, and
//! what checks tokens takes no act out of order.
//!
//! `DUTY_HISTORIES` asks for more of them, from `DUTY_SEED` on.

mod common;

use common::{LEASE, World, duty};
use fastrand::Rng;
use heathroad_lease::seat::Ended;
use heathroad_lease::voter::Memory;
use heathroad_membership::MemberId;

fn number(name: &str, usual: u64) -> u64 {
    std::env::var(name)
        .ok()
        .and_then(|v| v.parse().ok())
        .unwrap_or(usual)
}

fn strike(world: &mut World, rng: &mut Rng, copies: &mut [Memory]) {
    let members = world.proxies.len() as MemberId;
    let who = rng.u16(0..members);
    let at = usize::from(who);
    let others: Vec<MemberId> = (0..members).filter(|p| *p != who).collect();
    match rng.u32(0..11) {
        0 => (world.faults.loss, world.faults.twice) = (rng.f64() * 0.4, rng.f64() * 0.3),
        1 => world.faults.delay = rng.u64(1..LEASE),
        2 => world.cut(&[who], &others),
        3 => world.faults.cut.extend(others.iter().map(|o| (who, *o))),
        4 => {
            let side: Vec<MemberId> = (0..members).filter(|_| rng.bool()).collect();
            let other: Vec<MemberId> = (0..members).filter(|p| !side.contains(p)).collect();
            world.cut(&side, &other);
        }
        5 => world.faults.cut.clear(),
        6 => {
            let time = rng.u64(1..LEASE * 3);
            world.stall(who, time);
        }
        7 => {
            copies[at] = world.proxies[at].disk.clone();
            world.kill(who);
        }
        8 => (0..members).for_each(|p| world.kill(p)),
        9 => world.with(who, |d, now| d.resign(now, duty(), Ended::Told)),
        _ => {
            let down: Vec<MemberId> = (0..members)
                .filter(|p| !world.running().contains(p))
                .collect();
            for p in down {
                match rng.u32(0..4) {
                    0 => world.proxies[usize::from(p)].disk = copies[usize::from(p)].clone(),
                    1 => world.proxies[usize::from(p)].disk = Memory::default(),
                    _ => {}
                }
                world.start(p);
            }
        }
    }
}

fn history(seed: u64) -> (u64, usize, usize) {
    let mut rng = Rng::with_seed(seed);
    let voters = [3, 3, 5][rng.usize(0..3)];
    let members = rng.u16(voters..9);
    let mut world = World::new(members, voters, seed);
    for p in &mut world.proxies {
        (p.fast, p.ahead, p.has_disk) = (rng.i64(-9..=9), rng.u64(0..100_000), rng.u32(0..4) > 0);
    }
    // They start by these clocks.
    (0..members).for_each(|p| world.kill(p));
    (0..members).for_each(|p| world.start(p));
    (world.acting, world.late) = (Some(rng.u64(3..60)), 0.02);
    let mut copies = vec![Memory::default(); usize::from(members)];
    for _ in 0..rng.u32(4..14) {
        strike(&mut world, &mut rng, &mut copies);
        let end = world.now + rng.u64(1..LEASE * 3);
        if world.run_until(end, |w| w.holders().len() > 1).is_some() {
            panic!("seed {seed}: {:?} at {}", world.holders(), world.now);
        }
    }
    world.faults = common::Faults {
        delay: 12,
        ..Default::default()
    };
    for p in 0..members {
        world.proxies[usize::from(p)].stalled = 0;
        if !world.running().contains(&p) {
            world.start(p);
        }
    }
    // A grant, a voter's silence, and what holders that died young may have it held back for.
    let healed = world.now;
    let held = world.run_until(healed + LEASE * 70, |w| w.holder().is_some());
    let held = held.unwrap_or_else(|| panic!("seed {seed}: nobody holds it"));
    world.run(LEASE * 2);
    world.judge().unwrap_or_else(|e| panic!("seed {seed}: {e}"));
    let late = world.acts.iter().filter(|d| !d.taken).count();
    (held - healed, world.acts.len(), late)
}

#[test]
fn nobody_holds_beside_another() {
    let (from, count) = (number("DUTY_SEED", 1), number("DUTY_HISTORIES", 400));
    let (mut waits, mut acts, mut late) = (Vec::new(), 0, 0);
    for seed in from..from + count {
        let (wait, done, refused) = history(seed);
        waits.push(wait);
        (acts, late) = (acts + done, late + refused);
    }
    waits.sort_unstable();
    let at = |share: f64| waits[((waits.len() - 1) as f64 * share) as usize];
    println!(
        "{count} histories, {acts} acts, {late} refused as late; held again after {} ms, p99 {}, longest {}",
        at(0.5),
        at(0.99),
        at(1.0)
    );
    assert!(acts > 0 && late > 0, "the histories hold both");
}
