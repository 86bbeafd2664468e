//! Measures how fast a simulated fleet detects deaths and learns of versions, its traffic, and its
//! false positives, for different fleet sizes and loss rates. The optional argument is the number
//! of seeds.
//!
//!     cargo run --release -p heathroad-membership --example membership-bench

#[path = "../tests/common/mod.rs"]
mod common;

use common::{SimulatedFleet, version};
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

fn main() {
    let seeds = std::env::args()
        .nth(1)
        .and_then(|argument| argument.parse().ok())
        .unwrap_or(5_u64);
    println!(
        "members  loss | death known by all, s | version known by all, s | datagrams  bytes per member and second"
    );
    for members in [3_u16, 24, 300] {
        for loss in [0.0, 0.1, 0.3] {
            let (mut death_times, mut version_times, mut datagram_rate, mut byte_rate) =
                (Vec::new(), Vec::new(), 0.0, 0.0);
            for seed in 0..seeds {
                let mut fleet = converged_fleet(members, loss, seed + 1);
                let sent_before = fleet.datagrams_sent.iter().sum::<u64>();
                let (bytes_before, started_at) = (fleet.bytes_sent, fleet.now);
                fleet.run(10_000);
                let member_seconds = (fleet.now - started_at) as f64 / 1000.0 * f64::from(members);
                let sent = fleet.datagrams_sent.iter().sum::<u64>() - sent_before;
                datagram_rate += sent as f64 / member_seconds / seeds as f64;
                byte_rate +=
                    (fleet.bytes_sent - bytes_before) as f64 / member_seconds / seeds as f64;
                let started_at = fleet.now;
                fleet.member_mut(1).set_active_version(version(2));
                let digest = version(2).digest();
                let version_is_known = |fleet: &SimulatedFleet| {
                    fleet.running().iter().all(|observer| {
                        fleet
                            .member(*observer)
                            .members()
                            .get(1)
                            .and_then(|member| member.active_version)
                            .is_some_and(|active| active.digest == digest)
                    })
                };
                let known_at = fleet.run_until(started_at + CONVERGENCE_TIMEOUT, version_is_known);
                version_times.extend(known_at.map(|known_at| known_at - started_at));
                let started_at = fleet.now;
                fleet.kill(2);
                let is_declared_dead = |fleet: &SimulatedFleet| {
                    fleet
                        .running()
                        .iter()
                        .all(|observer| fleet.state_of(2, *observer) == MemberState::Dead)
                };
                let known_at = fleet.run_until(started_at + CONVERGENCE_TIMEOUT, is_declared_dead);
                death_times.extend(known_at.map(|known_at| known_at - started_at));
            }
            println!(
                "{members:>7}  {:>3}% |         {} |           {} | {datagram_rate:>9.1}  {byte_rate:>5.0}",
                (loss * 100.0) as u32,
                format_times(death_times),
                format_times(version_times),
            );
        }
    }
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
            let event_count = |fleet: &SimulatedFleet, matches: fn(&Event) -> bool| {
                let events = fleet.events.iter();
                events.filter(|(_, _, event)| matches(event)).count()
            };
            let false_deaths =
                event_count(&fleet, |event| matches!(event, Event::Reincarnated { .. }));
            println!(
                "  loss {:>2}%, stalls of {stall:>4} ms: {false_deaths}",
                (loss * 100.0) as u32
            );
        }
    }
}
