//! Measures how fast a simulated fleet detects deaths and learns of versions, its traffic, and its
//! false positives, for different fleet sizes and loss rates. The optional argument is the number of
//! seeds.
//!
//!     cargo run --release -p heathroad-membership --example membership-bench

#[path = "../tests/common/mod.rs"]
mod common;

use common::{SimulatedFleet, version};
use heathroad_membership::MemberId;
use heathroad_membership::claim::MemberState;
use heathroad_membership::protocol::Event;

/// The time in milliseconds within which the members converge.
const CONVERGENCE_TIMEOUT: u64 = 300_000;

/// Formats the median and the maximum in seconds.
fn format_times(mut times: Vec<u64>) -> String {
    times.sort_unstable();
    let seconds_at = |index: usize| {
        times.get(index).map_or("-".to_string(), |time| {
            format!("{:.1}", *time as f64 / 1000.0)
        })
    };
    format!(
        "{:>6} {:>6}",
        seconds_at(times.len() / 2),
        seconds_at(times.len().saturating_sub(1))
    )
}

fn converged_fleet(members: u16, loss: f64, seed: u64) -> SimulatedFleet {
    let mut fleet = SimulatedFleet::new(members, seed);
    fleet
        .run_until(CONVERGENCE_TIMEOUT, SimulatedFleet::has_converged)
        .expect("the members converge");
    fleet.faults.loss = loss;
    // Waits until the updates about the joined members are no longer disseminated.
    fleet.run(150_000);
    fleet.events.clear();
    fleet
}

/// The member whose version changes.
const CHANGED: MemberId = 1;
/// The member that is killed.
const KILLED: MemberId = 2;

fn is_dead_for_all(fleet: &SimulatedFleet) -> bool {
    fleet
        .running()
        .iter()
        .all(|observer| fleet.state_of(KILLED, *observer) == MemberState::Dead)
}

/// The results for one fleet size and loss rate.
#[derive(Default)]
struct Measurements {
    /// The times in milliseconds until all members know of a death.
    death_times: Vec<u64>,
    /// The times in milliseconds until all members know of a version.
    version_times: Vec<u64>,
    /// Datagrams per member and second, summed over the seeds.
    datagram_rate: f64,
    /// Bytes per member and second, summed over the seeds.
    byte_rate: f64,
}

impl Measurements {
    fn add_run(&mut self, members: u16, loss: f64, seed: u64) {
        let mut fleet = converged_fleet(members, loss, seed);
        let (sent_before, bytes_before) =
            (fleet.datagrams_sent.iter().sum::<u64>(), fleet.bytes_sent);
        let started_at = fleet.now;
        fleet.run(10_000);
        let member_seconds = (fleet.now - started_at) as f64 / 1000.0 * f64::from(members);
        let sent = fleet.datagrams_sent.iter().sum::<u64>() - sent_before;
        self.datagram_rate += sent as f64 / member_seconds;
        self.byte_rate += (fleet.bytes_sent - bytes_before) as f64 / member_seconds;
        let started_at = fleet.now;
        fleet.member_mut(CHANGED).set_active_version(version(2));
        let digest = version(2).digest();
        let version_is_known = |fleet: &SimulatedFleet| {
            fleet.running().iter().all(|observer| {
                fleet
                    .member(*observer)
                    .members()
                    .get(CHANGED)
                    .and_then(|member| member.active_version)
                    .is_some_and(|active| active.digest == digest)
            })
        };
        let known_at = fleet.run_until(started_at + CONVERGENCE_TIMEOUT, version_is_known);
        self.version_times
            .extend(known_at.map(|known_at| known_at - started_at));
        let started_at = fleet.now;
        fleet.kill(KILLED);
        let known_at = fleet.run_until(started_at + CONVERGENCE_TIMEOUT, is_dead_for_all);
        self.death_times
            .extend(known_at.map(|known_at| known_at - started_at));
    }
}

fn measure_detection(seeds: u64) {
    println!(
        "members  loss | death known by all, s | version known by all, s | datagrams  bytes per member and second"
    );
    for members in [3_u16, 24, 300] {
        for loss in [0.0, 0.1, 0.3] {
            let mut measurements = Measurements::default();
            for seed in 1..=seeds {
                measurements.add_run(members, loss, seed);
            }
            println!(
                "{members:>7}  {:>3}% |         {} |           {} | {:>9.1}  {:>5.0}",
                (loss * 100.0) as u32,
                format_times(measurements.death_times),
                format_times(measurements.version_times),
                measurements.datagram_rate / seeds as f64,
                measurements.byte_rate / seeds as f64,
            );
        }
    }
}

fn measure_false_deaths() {
    println!("\nfalse deaths in an hour, 24 members, one of which stalls every 30 s");
    for loss in [0.0, 0.1, 0.3] {
        for stall in [0, 1000, 3000, 8000] {
            let mut fleet = converged_fleet(24, loss, 7);
            for n in 0..120_u16 {
                if stall > 0 {
                    fleet.stall(n % 24, stall);
                }
                fleet.run(30_000);
            }
            let false_deaths = fleet
                .events
                .iter()
                .filter(|(_, _, event)| matches!(event, Event::Reincarnated { .. }))
                .count();
            println!(
                "  loss {:>2}%, stalls of {stall:>4} ms: {false_deaths}",
                (loss * 100.0) as u32
            );
        }
    }
}

fn main() {
    let seeds = std::env::args()
        .nth(1)
        .and_then(|argument| argument.parse().ok())
        .unwrap_or(5_u64);
    measure_detection(seeds);
    measure_false_deaths();
}
