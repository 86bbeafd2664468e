//! Random fault histories: under message loss, partitions, stalls, restarts and lost or outdated
//! voter state, at most one member holds the lease as long as clock rates are within the margin,
//! tokens increase, and a server that checks tokens admits no write out of order.
//!
//! The environment variables `DUTY_HISTORIES` and `DUTY_SEED` set the number of histories and the
//! first seed.

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

/// Injects a random fault, clears partitions, or restarts members. `disk_copies` are earlier copies
/// of the members' voter states, which a restart may restore.
fn inject_fault(simulation: &mut Simulation, rng: &mut Rng, disk_copies: &mut [VoterState]) {
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
            let (left, right): (Vec<_>, Vec<_>) = members.partition(|_| rng.bool());
            simulation.partition(&left, &right);
        }
        5 => simulation.faults.blocked_links.clear(),
        6 => simulation.stall(member, rng.u64(1..LEASE_DURATION * 3)),
        7 => {
            disk_copies[usize::from(member)] = simulation.node(member).disk.clone();
            simulation.kill(member);
        }
        8 => (0..member_count).for_each(|member| simulation.kill(member)),
        9 => simulation.with_manager(member, |manager, now| {
            manager.resign(now, lease(), EndReason::Resigned);
        }),
        _ => restart_stopped_members(simulation, rng, disk_copies),
    }
}

fn restart_stopped_members(simulation: &mut Simulation, rng: &mut Rng, disk_copies: &[VoterState]) {
    let running = simulation.running();
    let members = 0..simulation.nodes.len() as MemberId;
    for member in members.filter(|member| !running.contains(member)) {
        match rng.u32(0..4) {
            0 => simulation.node(member).disk = disk_copies[usize::from(member)].clone(),
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
    // Restarts all members, so that they start with these clocks.
    (0..member_count).for_each(|member| simulation.kill(member));
    (0..member_count).for_each(|member| simulation.start(member));
    simulation.write_interval = Some(rng.u64(3..60));
    simulation.late_write_share = 0.02;
    simulation
}

fn clear_faults(simulation: &mut Simulation) {
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
    /// Time from the end of the faults until the lease was held.
    recovery_time: Millis,
    writes: usize,
    rejected_writes: usize,
}

fn run_history(seed: u64) -> HistoryResult {
    let mut rng = Rng::with_seed(seed);
    let mut simulation = random_simulation(seed, &mut rng);
    let mut disk_copies = vec![VoterState::default(); simulation.nodes.len()];
    for _ in 0..rng.u32(4..14) {
        inject_fault(&mut simulation, &mut rng, &mut disk_copies);
        let end = simulation.now + rng.u64(1..LEASE_DURATION * 3);
        let has_two_holders = |simulation: &Simulation| simulation.holders().len() > 1;
        if simulation.run_until(end, has_two_holders).is_some() {
            panic!(
                "seed {seed}: several holders {:?} at {} ms",
                simulation.holders(),
                simulation.now
            );
        }
    }
    clear_faults(&mut simulation);
    let cleared_at = simulation.now;
    // Long enough for grants, the startup period of voters and the failure backoff to end.
    let end = cleared_at + LEASE_DURATION * 70;
    let acquired_at = simulation.run_until(end, |simulation| simulation.holder().is_some());
    let acquired_at =
        acquired_at.unwrap_or_else(|| panic!("seed {seed}: no member acquired the lease"));
    simulation.run(LEASE_DURATION * 2);
    simulation
        .check_invariants()
        .unwrap_or_else(|e| panic!("seed {seed}: {e}"));
    HistoryResult {
        recovery_time: acquired_at - cleared_at,
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
    let mut recovery_times: Vec<Millis> =
        results.iter().map(|result| result.recovery_time).collect();
    recovery_times.sort_unstable();
    let quantile =
        |share: f64| recovery_times[((recovery_times.len() - 1) as f64 * share) as usize];
    let writes: usize = results.iter().map(|result| result.writes).sum();
    let rejected: usize = results.iter().map(|result| result.rejected_writes).sum();
    println!(
        "{count} histories, {writes} writes, {rejected} rejected; recovery time: median {} ms, p99 {} ms, maximum {} ms",
        quantile(0.5),
        quantile(0.99),
        quantile(1.0)
    );
    assert!(
        writes > 0 && rejected > 0,
        "the histories contain no writes or no rejected writes"
    );
}
