//! What a request takes is held to `ceilings.toml`: counts, which no other program on the machine
//! moves. What housekeeping takes beside the requests comes to far less than half a unit a request.

use serde_json::Value;
use std::collections::BTreeMap;
use std::process::Command;

/// Enough that housekeeping and growing tables weigh nothing, few enough for a slow machine.
const REQUESTS: &str = "2000";

#[test]
fn a_request_takes_no_more_than_it_may() {
    let ceilings: BTreeMap<String, BTreeMap<String, u64>> =
        toml::from_str(include_str!("../ceilings.toml")).expect("a table of tables of numbers");
    let mut command = Command::new(env!("CARGO_BIN_EXE_heathroad-bench"));
    let out = command
        .args(["--counts", "--requests", REQUESTS])
        .args(ceilings.keys())
        .output()
        .expect("it starts");
    let (text, said) = (
        String::from_utf8_lossy(&out.stdout),
        String::from_utf8_lossy(&out.stderr),
    );
    assert!(out.status.success(), "{said}");
    let mut past = Vec::new();
    let mut counted = 0;
    for line in text.lines() {
        let line: Value = serde_json::from_str(line).expect("an object a line");
        let case = line["case"].as_str().expect("its name");
        assert_eq!(
            (&line["others"], line["served"].to_string().as_str()),
            (&0.into(), REQUESTS),
            "{case}"
        );
        for (figure, most) in &ceilings[case] {
            let each = line["each"][figure]
                .as_f64()
                .unwrap_or_else(|| panic!("{case}: {figure} is not counted"));
            let rounded = each.round() as u64;
            if rounded > *most {
                past.push(format!(
                    "{case}: {figure} {each:.2} a request, at most {most}: {} more",
                    rounded - most
                ));
            }
            counted += 1;
        }
    }
    assert_eq!(
        counted,
        ceilings.values().map(BTreeMap::len).sum::<usize>(),
        "every ceiling has its figure: {said}"
    );
    assert!(past.is_empty(), "{}", past.join("\n"));
}
