//! A randomized soak of overlapping faults: real daemons, faults whose kind, time and victim the
//! seed draws, and the four rules as the oracle, beside what the daemons count of themselves. The
//! seeds are printed.
//!
//! `SOAK_RUNS` asks for more of them, from `SOAK_SEED` on.

mod common;

use common::{number, sound};
use heathroad_harness::summary::{Code, Summary};

const SCENARIO: &str = include_str!("../../../scenarios/overlapping-faults.toml");

/// Rules that daemons saw themselves break, by their last counts.
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

/// Times that daemons saw themselves held up.
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
    let (mut kept, mut void, mut broken) = (0, 0, Vec::<u64>::new());
    for seed in from..from + runs {
        let summary = sound(SCENARIO, seed);
        println!(
            "seed {seed}: {:?}, {} pauses seen, {} violations",
            summary.code(),
            pauses(&summary),
            violations(&summary)
        );
        match summary.code() {
            Code::Kept if violations(&summary) == 0 => kept += 1,
            Code::Void => {
                println!("{:?}", summary.void);
                void += 1;
            }
            _ => {
                println!("{}", summary.table());
                broken.push(seed);
            }
        }
    }
    println!("{kept} kept, {void} void, broken: {broken:?}");
    assert!(broken.is_empty(), "seeds that broke a rule: {broken:?}");
    assert!(
        kept > 0,
        "the machine was late each time: nothing was shown"
    );
}
