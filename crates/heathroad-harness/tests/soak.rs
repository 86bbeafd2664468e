//! Randomized soak test: real daemons under overlapping faults drawn from a printed seed must keep
//! the four rules. `SOAK_RUNS` sets the number of seeds, starting at `SOAK_SEED`.

mod common;

use common::{number, sound};
use heathroad_harness::summary::{Code, Summary};

const SCENARIO: &str = include_str!("../../../scenarios/overlapping-faults.toml");

/// Returns the rule violations that the daemons counted themselves.
fn violations(summary: &Summary) -> u64 {
    let counts = summary
        .record
        .proxy_counts
        .iter()
        .filter_map(|c| c.counts.as_ref()?.get("violations")?.as_object());
    counts
        .flat_map(|rules| rules.values())
        .filter_map(serde_json::value::Value::as_u64)
        .sum()
}

/// Returns the pauses that the daemons counted themselves.
fn pauses(summary: &Summary) -> u64 {
    summary
        .record
        .proxy_counts
        .iter()
        .filter_map(|c| c.counts.as_ref()?.get("pauses")?.as_u64())
        .sum()
}

#[test]
fn the_rules_hold_under_overlapping_faults() {
    let (from, runs) = (number("SOAK_SEED", 1), number("SOAK_RUNS", 2));
    let (mut passed, mut void, mut failed) = (0, 0, Vec::<u64>::new());
    for seed in from..from + runs {
        let summary = sound(SCENARIO, seed);
        println!(
            "seed {seed}: {:?}, {} pauses seen, {} violations",
            summary.code(),
            pauses(&summary),
            violations(&summary)
        );
        match summary.code() {
            Code::Passed if violations(&summary) == 0 => passed += 1,
            Code::Void => {
                println!("{:?}", summary.void);
                void += 1;
            }
            _ => {
                println!("{}", summary.table());
                failed.push(seed);
            }
        }
    }
    println!("{passed} passed, {void} void, failed: {failed:?}");
    assert!(failed.is_empty(), "seeds that broke a rule: {failed:?}");
    assert!(passed > 0, "every run was void: the machine is too slow");
}
