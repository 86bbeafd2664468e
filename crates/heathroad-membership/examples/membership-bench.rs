//! How soon a fleet knows, what that costs, and how often it is wrong: by size and loss, on a
//! network and in time of its own.
//!
//!     cargo run --release -p heathroad-membership --example membership-bench

#[path = "../tests/common/mod.rs"]
mod common;

use common::{World, version};
use heathroad_membership::claim::MemberState;
use heathroad_membership::protocol::Event;

const LIMIT: u64 = 300_000;

/// Times in seconds: the median, and the longest.
fn show(mut times: Vec<u64>) -> String {
    times.sort_unstable();
    let at = |n: usize| {
        times
            .get(n)
            .map_or("-".to_string(), |t| format!("{:.1}", *t as f64 / 1000.0))
    };
    format!(
        "{:>6} {:>6}",
        at(times.len() / 2),
        at(times.len().saturating_sub(1))
    )
}

fn settled(members: u16, loss: f64, seed: u64) -> World {
    let mut world = World::new(members, seed);
    world.run_until(LIMIT, World::agree).expect("all know all");
    world.faults.loss = loss;
    // The news of all who joined is old by then.
    world.run(150_000);
    world.news.clear();
    world
}

fn main() {
    let tries = std::env::args()
        .nth(1)
        .and_then(|n| n.parse().ok())
        .unwrap_or(5_u64);
    println!(
        "members  loss | death known by all, s | version known by all, s | datagrams  bytes, a member and second"
    );
    for members in [3_u16, 24, 300] {
        for loss in [0.0, 0.1, 0.3] {
            let (mut deaths, mut versions, mut sent, mut bytes) =
                (Vec::new(), Vec::new(), 0.0, 0.0);
            for seed in 0..tries {
                let mut world = settled(members, loss, seed + 1);
                let (before, was, begun) = (world.sent.iter().sum::<u64>(), world.bytes, world.now);
                world.run(10_000);
                let seconds = (world.now - begun) as f64 / 1000.0 * f64::from(members);
                sent += (world.sent.iter().sum::<u64>() - before) as f64 / seconds / tries as f64;
                bytes += (world.bytes - was) as f64 / seconds / tries as f64;
                let begun = world.now;
                world.fleet_mut(1).set_active_version(version(2));
                let digest = version(2).digest();
                let all = |w: &World| {
                    w.running().iter().all(|at| {
                        w.fleet(*at)
                            .members()
                            .get(1)
                            .and_then(|m| m.active_version)
                            .is_some_and(|a| a.digest == digest)
                    })
                };
                versions.extend(world.run_until(begun + LIMIT, all).map(|at| at - begun));
                let begun = world.now;
                world.kill(2);
                let gone = |w: &World| {
                    w.running()
                        .iter()
                        .all(|at| w.standing(2, *at) == MemberState::Dead)
                };
                deaths.extend(world.run_until(begun + LIMIT, gone).map(|at| at - begun));
            }
            println!(
                "{members:>7}  {:>3}% |         {} |           {} | {sent:>9.1}  {bytes:>5.0}",
                (loss * 100.0) as u32,
                show(deaths),
                show(versions),
            );
        }
    }
    println!("\nfalse deaths in an hour, 24 members; one at a time stalls for so long, each 30 s");
    for loss in [0.0, 0.1, 0.3] {
        for stall in [0, 1000, 3000, 8000] {
            let mut world = settled(24, loss, 7);
            for n in 0..120_u16 {
                if stall > 0 {
                    world.stall(n % 24, stall);
                }
                world.run(30_000);
            }
            let said =
                |w: &World, is: fn(&Event) -> bool| w.news.iter().filter(|(_, _, n)| is(n)).count();
            let reborn = said(&world, |n| matches!(n, Event::Reincarnated { .. }));
            println!(
                "  loss {:>2}%, stalls of {stall:>4} ms: {reborn}",
                (loss * 100.0) as u32
            );
        }
    }
}
