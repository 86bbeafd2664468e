//! Random histories: whatever is lost, duplicated, late, cut off, stalled, killed, forgotten or
//! restored from an old copy, one member holds the lease at a time by clocks that are within their
//! bound, tokens grow, and a server that checks tokens admits no write out of order.
//!
//! `DUTY_HISTORIES` asks for more of them, from the seed `DUTY_SEED` on.

mod simulation;

use fastrand::Rng;
use heathroad_lease::candidate::EndReason;
use heathroad_lease::voter_state::VoterState;
use heathroad_lease::{MemberId, Millis};
use simulation::{Faults, LEASE_DURATION, Simulation, lease};

fn number_from_env(name: &str, default: u64) -> u64 {
    let value = std::env::var(name).ok();
    value
        .and_then(|value| value.parse().ok())
        .unwrap_or(default)
}

/// Injects a random fault, or ends some. `old_states` are copies of members' disks, which may be
/// restored.
fn inject_fault(simulation: &mut Simulation, rng: &mut Rng, old_states: &mut [VoterState]) {
    let member_count = simulation.nodes.len() as MemberId;
    let member = rng.u16(0..member_count);
    let others: Vec<MemberId> = (0..member_count).filter(|other| *other != member).collect();
    match rng.u32(0..11) {
        0 => {
            simulation.faults.loss = rng.f64() * 0.4;
            simulation.faults.duplication = rng.f64() * 0.3;
        }
        1 => simulation.faults.max_delay = rng.u64(1..LEASE_DURATION),
        2 => simulation.partition(&[member], &others),
        3 => {
            let links = others.iter().map(|other| (member, *other));
            simulation.faults.blocked_links.extend(links);
        }
        4 => {
            let members = 0..member_count;
            let (one, other): (Vec<_>, Vec<_>) = members.partition(|_| rng.bool());
            simulation.partition(&one, &other);
        }
        5 => simulation.faults.blocked_links.clear(),
        6 => simulation.stall(member, rng.u64(1..LEASE_DURATION * 3)),
        7 => {
            old_states[usize::from(member)] = simulation.node(member).disk.clone();
            simulation.kill(member);
        }
        8 => (0..member_count).for_each(|member| simulation.kill(member)),
        9 => simulation.with_manager(member, |manager, now| {
            manager.resign(now, lease(), EndReason::Resigned);
        }),
        _ => restart_dead_members(simulation, rng, old_states),
    }
}

fn restart_dead_members(simulation: &mut Simulation, rng: &mut Rng, old_states: &[VoterState]) {
    let running = simulation.running();
    let members = 0..simulation.nodes.len() as MemberId;
    for member in members.filter(|member| !running.contains(member)) {
        match rng.u32(0..4) {
            0 => simulation.node(member).disk = old_states[usize::from(member)].clone(),
            1 => simulation.node(member).disk = VoterState::default(),
            _ => {}
        }
        simulation.start(member);
    }
}

fn random_simulation(seed: u64, rng: &mut Rng) -> Simulation {
    let voter_count = [3, 3, 5][rng.usize(0..3)];
    let member_count = rng.u16(voter_count..9);
    let mut simulation = Simulation::new(member_count, voter_count, seed);
    for node in &mut simulation.nodes {
        node.clock_rate_permille = rng.i64(-9..=9);
        node.clock_offset = rng.u64(0..100_000);
        node.has_disk = rng.u32(0..4) > 0;
    }
    // All start again by these clocks.
    (0..member_count).for_each(|member| simulation.kill(member));
    (0..member_count).for_each(|member| simulation.start(member));
    simulation.write_interval = Some(rng.u64(3..60));
    simulation.late_write_share = 0.02;
    simulation
}

fn heal(simulation: &mut Simulation) {
    simulation.faults = Faults {
        max_delay: 12,
        ..Faults::default()
    };
    for member in 0..simulation.nodes.len() as MemberId {
        simulation.node(member).stalled_until = 0;
        if !simulation.running().contains(&member) {
            simulation.start(member);
        }
    }
}

struct HistoryResult {
    /// How long nobody held the lease after the last fault.
    recovery: Millis,
    writes: usize,
    rejected_writes: usize,
}

fn run_history(seed: u64) -> HistoryResult {
    let mut rng = Rng::with_seed(seed);
    let mut simulation = random_simulation(seed, &mut rng);
    let mut old_states = vec![VoterState::default(); simulation.nodes.len()];
    for _ in 0..rng.u32(4..14) {
        inject_fault(&mut simulation, &mut rng, &mut old_states);
        let end = simulation.now + rng.u64(1..LEASE_DURATION * 3);
        let has_two_holders = |simulation: &Simulation| simulation.holders().len() > 1;
        if simulation.run_until(end, has_two_holders).is_some() {
            panic!(
                "seed {seed}: {:?} at {}",
                simulation.holders(),
                simulation.now
            );
        }
    }
    heal(&mut simulation);
    let healed_at = simulation.now;
    // Long enough for grants, for a voter's silence, and for the backoff after failed holders.
    let end = healed_at + LEASE_DURATION * 70;
    let held_at = simulation.run_until(end, |simulation| simulation.holder().is_some());
    let held_at = held_at.unwrap_or_else(|| panic!("seed {seed}: nobody holds it"));
    simulation.run(LEASE_DURATION * 2);
    simulation
        .check_invariants()
        .unwrap_or_else(|e| panic!("seed {seed}: {e}"));
    HistoryResult {
        recovery: held_at - healed_at,
        writes: simulation.writes.len(),
        rejected_writes: simulation
            .writes
            .iter()
            .filter(|write| !write.is_admitted)
            .count(),
    }
}

#[test]
fn one_member_holds_the_lease_at_a_time() {
    let first_seed = number_from_env("DUTY_SEED", 1);
    let count = number_from_env("DUTY_HISTORIES", 400);
    let results: Vec<_> = (first_seed..first_seed + count).map(run_history).collect();
    let mut recoveries: Vec<Millis> = results.iter().map(|result| result.recovery).collect();
    recoveries.sort_unstable();
    let quantile = |share: f64| recoveries[((recoveries.len() - 1) as f64 * share) as usize];
    let writes: usize = results.iter().map(|result| result.writes).sum();
    let rejected: usize = results.iter().map(|result| result.rejected_writes).sum();
    println!(
        "{count} histories, {writes} writes, {rejected} rejected as late; held again after {} ms, p99 {}, longest {}",
        quantile(0.5),
        quantile(0.99),
        quantile(1.0)
    );
    assert!(writes > 0 && rejected > 0, "the histories hold both");
}
