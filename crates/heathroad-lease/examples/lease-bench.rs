//! Measures the time without a holder after a fault, the message rate of a lease, and the number of
//! handovers at shorter lease durations. Time is simulated, so the results are the same on every
//! machine.
//!
//!     cargo run --release -p heathroad-lease --example lease-bench 200

#[path = "../tests/simulation/mod.rs"]
mod simulation;

use fastrand::Rng;
use heathroad_lease::candidate::EndReason;
use heathroad_lease::{MemberId, Millis};
use simulation::{Simulation, lease};

const HOUR: Millis = 3_600_000;
const LEASE_DURATION: Millis = 5000;
const MEMBER_COUNT: u16 = 9;
const VOTER_COUNT: u16 = 3;

#[derive(Debug, Clone, Copy)]
enum Fault {
    Kill,
    Stall,
    Partition,
    Resign,
}

impl Fault {
    const ALL: [Fault; 4] = [Fault::Kill, Fault::Stall, Fault::Partition, Fault::Resign];

    fn name(self) -> &'static str {
        match self {
            Fault::Kill => "kill",
            Fault::Stall => "stall",
            Fault::Partition => "partition",
            Fault::Resign => "resign",
        }
    }

    fn inject(self, simulation: &mut Simulation, holder: MemberId) {
        match self {
            Fault::Kill => simulation.kill(holder),
            Fault::Stall => simulation.stall(holder, HOUR),
            Fault::Partition => {
                let members = 0..MEMBER_COUNT;
                let others: Vec<MemberId> = members.filter(|member| *member != holder).collect();
                simulation.partition(&[holder], &others);
            }
            Fault::Resign => simulation.with_manager(holder, |manager, now| {
                manager.resign(now, lease(), EndReason::Resigned);
            }),
        }
    }
}

/// Returns a simulation in which the lease has been held for several lease durations.
fn simulation_with_holder(member_count: u16, seed: u64, lease_duration: Millis) -> Simulation {
    let mut simulation =
        Simulation::with_lease_duration(member_count, VOTER_COUNT, seed, lease_duration);
    simulation
        .run_until(HOUR, |simulation| simulation.holder().is_some())
        .expect("no member acquired the lease");
    simulation.run(lease_duration * 6);
    simulation
}

/// Returns the time from a fault until the lease is held under a later token.
fn succession_time(fault: Fault, loss: f64, seed: u64, lease_duration: Millis) -> Millis {
    let mut simulation = simulation_with_holder(MEMBER_COUNT, seed, lease_duration);
    simulation.faults.loss = loss;
    simulation.run(lease_duration * 2 + Rng::with_seed(seed).u64(0..lease_duration));
    let Some((holder, last)) = simulation.holders().first().copied() else {
        return 0;
    };
    fault.inject(&mut simulation, holder);
    let from = simulation.now;
    let is_succeeded =
        |simulation: &Simulation| simulation.holders().iter().any(|(_, token)| *token > last);
    let at = simulation
        .run_until(from + HOUR, is_succeeded)
        .expect("no member acquired the lease after the fault");
    at - from
}

fn sorted_succession_times(
    fault: Fault,
    loss: f64,
    count: u64,
    lease_duration: Millis,
) -> Vec<Millis> {
    let time = |seed| succession_time(fault, loss, seed, lease_duration);
    let mut times: Vec<Millis> = (0..count).map(time).collect();
    times.sort_unstable();
    times
}

fn print_succession_times(count: u64) {
    println!(
        "time without a holder after a fault, in ms: fault, message loss, median and p99 of {count} runs; 9 members, delays of 1 to 12 ms"
    );
    for fault in Fault::ALL {
        for loss in [0.0, 0.1, 0.3] {
            let times = sorted_succession_times(fault, loss, count, LEASE_DURATION);
            let quantile = |share: f64| times[((times.len() - 1) as f64 * share) as usize];
            let (name, percent) = (fault.name(), loss * 100.0);
            println!(
                "| {name} | {percent:.0}% | {} | {} |",
                quantile(0.5),
                quantile(0.99)
            );
        }
    }
}

fn print_message_rates() {
    println!(
        "one lease at rest: members, message loss, messages per second, longest message, holds"
    );
    for (member_count, loss) in [(9, 0.0), (300, 0.0), (300, 0.1), (300, 0.3)] {
        let mut simulation = simulation_with_holder(member_count, 1, LEASE_DURATION);
        simulation.faults.loss = loss;
        let sent_before = simulation.messages_sent;
        simulation.run(100_000);
        let per_second = (simulation.messages_sent - sent_before) as f64 / 100.0;
        let (percent, longest) = (loss * 100.0, simulation.longest_message);
        let holds = simulation.acquisitions().len();
        println!(
            "| {member_count} | {percent:.0}% | {per_second:.1} | {longest} bytes | {holds} holds |"
        );
    }
}

fn print_cost_of_short_leases() {
    println!(
        "the holder stalls for 0.2 to 3 s every 20 s, for one hour: lease duration, handovers, median time without a holder after a kill"
    );
    for lease_duration in [1000, 2500, 5000, 10_000] {
        let mut simulation = simulation_with_holder(MEMBER_COUNT, 3, lease_duration);
        let mut rng = Rng::with_seed(3);
        let acquisitions_before = simulation.acquisitions().len();
        let end = simulation.now + HOUR;
        while simulation.now < end {
            simulation.run(20_000);
            if let Some(holder) = simulation.holder() {
                // Log-uniform between 0.2 and 3 s.
                let time = (200.0 * 15.0_f64.powf(rng.f64())) as Millis;
                simulation.stall(holder, time);
            }
        }
        let handovers = simulation.acquisitions().len() - acquisitions_before;
        let times = sorted_succession_times(Fault::Kill, 0.0, 20, lease_duration);
        let seconds = lease_duration as f64 / 1000.0;
        println!("| {seconds:.1} s | {handovers} | {} ms |", times[10]);
    }
}

fn main() {
    let argument = std::env::args().nth(1);
    let count = argument.and_then(|count| count.parse().ok()).unwrap_or(20);
    print_succession_times(count);
    print_message_rates();
    print_cost_of_short_leases();
}
