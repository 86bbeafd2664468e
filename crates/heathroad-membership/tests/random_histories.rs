//! Random fault histories of small fleets: after the last fault, the members converge.
//! `FLEET_HISTORIES` sets the number of histories, and `FLEET_SEED` the first seed.

mod common;

use common::{Faults, SimulatedFleet, version};

fn env_number(name: &str, default: u64) -> u64 {
    std::env::var(name)
        .ok()
        .and_then(|value| value.parse().ok())
        .unwrap_or(default)
}

fn run_history(seed: u64) {
    let mut rng = fastrand::Rng::with_seed(seed);
    let members = rng.u16(2..7);
    let mut fleet = SimulatedFleet::new(members, seed);
    fleet.run(rng.u64(0..5_000));
    for step in 0..rng.u64(3..10) {
        let id = rng.u16(0..members);
        let is_running = fleet.running().contains(&id);
        match rng.u32(0..7) {
            0 if is_running => fleet.kill(id),
            1 if !is_running => fleet.start(id),
            // The clock was set back or forward.
            2 if !is_running => fleet.start_with_incarnation(
                id,
                common::CLOCK_START.wrapping_add_signed(rng.i64(-5_000_000..5_000_000)),
            ),
            3 => fleet.stall(id, rng.u64(0..30_000)),
            4 => {
                let one_side: Vec<u16> = (0..members).filter(|_| rng.bool()).collect();
                let other_side: Vec<u16> =
                    (0..members).filter(|id| !one_side.contains(id)).collect();
                fleet.partition(&one_side, &other_side);
            }
            5 => {
                let to = rng.u16(0..members);
                fleet.faults.blocked.insert((id, to));
            }
            _ => {
                fleet.faults.blocked.clear();
                (fleet.faults.loss, fleet.faults.duplication) = (rng.f64() * 0.4, rng.f64() * 0.2);
                fleet.faults.delay = rng.u64(1..400);
            }
        }
        if fleet.running().contains(&id) {
            fleet.member_mut(id).set_active_version(version(step));
        }
        fleet.run(rng.u64(0..15_000));
    }
    fleet.faults = Faults {
        delay: 12,
        ..Faults::default()
    };
    fleet.stalled_until.iter_mut().for_each(|until| *until = 0);
    if fleet.running().len() < 2 {
        fleet.start(0);
        fleet.start(1);
    }
    let end = fleet.now + 300_000;
    let converged_at = fleet.run_until(end, SimulatedFleet::has_converged);
    if converged_at.is_none() {
        for id in fleet.running() {
            println!(
                "member {id}: {:#?}",
                fleet.member(id).member_views(fleet.now)
            );
        }
    }
    assert!(
        converged_at.is_some(),
        "seed {seed}: the members did not converge after the last fault"
    );
    assert!(fleet.longest_datagram <= 256, "seed {seed}");
}

#[test]
fn random_histories_converge() {
    let (from, count) = (
        env_number("FLEET_SEED", 1),
        env_number("FLEET_HISTORIES", 1000),
    );
    (from..from + count).for_each(run_history);
}
