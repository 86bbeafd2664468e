//! How long nobody holds a duty after a fault, how many messages it takes, and what a shorter lease
//! costs: in time of its own, so that every machine finds the same.
//!
//!     cargo run --release -p heathroad-lease --example lease-bench 200

#[path = "../tests/common/mod.rs"]
mod common;

use common::{World, duty};
use fastrand::Rng;
use heathroad_lease::seat::Ended;
use heathroad_lease::token::Token;
use heathroad_membership::MemberId;

const HOUR: u64 = 3_600_000;
const LEASE: u64 = 5000;

fn begin(members: u16, seed: u64, lease: u64) -> World {
    let mut world = World::with_lease(members, 3, seed, lease);
    world
        .run_until(HOUR, |w| w.holder().is_some())
        .expect("it is held");
    world.run(lease * 6);
    world
}

/// From a fault on, until somebody holds it by a later token.
fn without(world: &mut World, last: Token) -> u64 {
    let (from, end) = (world.now, world.now + HOUR);
    let at = world.run_until(end, |w| w.holders().iter().any(|(_, t)| *t > last));
    at.expect("it is held again") - from
}

fn after(fault: &str, loss: f64, seed: u64, lease: u64) -> u64 {
    let mut world = begin(9, seed, lease);
    world.faults.loss = loss;
    world.run(lease * 2 + Rng::with_seed(seed).u64(0..lease));
    let Some((holder, last)) = world.holders().first().copied() else {
        return 0;
    };
    match fault {
        "kill" => world.kill(holder),
        "stall" => world.stall(holder, HOUR),
        "cut" => {
            let others: Vec<MemberId> = (0..9).filter(|p| *p != holder).collect();
            world.cut(&[holder], &others);
        }
        _ => world.with(holder, |d, now| d.resign(now, duty(), Ended::Told)),
    }
    without(&mut world, last)
}

fn main() {
    let count = std::env::args()
        .nth(1)
        .and_then(|n| n.parse().ok())
        .unwrap_or(20);
    println!(
        "time without a new holder after a fault, ms: median, p99 of {count}; 9 members, ways of 1 to 12 ms"
    );
    for fault in ["kill", "stall", "cut", "resign"] {
        for loss in [0.0, 0.1, 0.3] {
            let mut times: Vec<u64> = (0..count)
                .map(|seed| after(fault, loss, seed, LEASE))
                .collect();
            times.sort_unstable();
            let at = |share: f64| times[((times.len() - 1) as f64 * share) as usize];
            println!(
                "| {fault} | {:.0}% | {} | {} |",
                loss * 100.0,
                at(0.5),
                at(0.99)
            );
        }
    }
    println!("messages a second at rest, one duty");
    for (members, loss) in [(9, 0.0), (300, 0.0), (300, 0.1), (300, 0.3)] {
        let mut world = begin(members, 1, LEASE);
        world.faults.loss = loss;
        let sent = world.sent;
        world.run(100_000);
        let (a_second, longest) = ((world.sent - sent) as f64 / 100.0, world.longest);
        let holds = world.begun().len();
        println!(
            "| {members} | {:.0}% | {a_second:.1} | {longest} bytes | {holds} holds |",
            loss * 100.0
        );
    }
    println!(
        "the holder stalls for 0.2 to 3 s once in 20 s, for an hour: lease, hand-ons, and the median after a kill"
    );
    for lease in [1000, 2500, 5000, 10_000] {
        let (mut world, mut rng) = (begin(9, 3, lease), Rng::with_seed(3));
        let (before, end) = (world.begun().len(), world.now + HOUR);
        while world.now < end {
            world.run(20_000);
            if let Some(holder) = world.holder() {
                // Most stalls are short.
                let time = (200.0 * 15.0_f64.powf(rng.f64())) as u64;
                world.stall(holder, time);
            }
        }
        let handed = world.begun().len() - before;
        let mut times: Vec<u64> = (0..20)
            .map(|seed| after("kill", 0.0, seed, lease))
            .collect();
        times.sort_unstable();
        println!(
            "| {:.1} s | {handed} | {} ms |",
            lease as f64 / 1000.0,
            times[10]
        );
    }
}
