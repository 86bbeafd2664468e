//! Parsing of expectations files: all errors are reported together, with their lines.

mod common;

use heathroad_verifier::expectations::parse;

#[test]
fn all_errors_are_reported_with_their_lines() {
    let text = "[[node]]\nsite = \"x\"\n[[state]]\nname = \"s\"\ndrains = [\"nowhere\"]\n[[expect]]\nname = \"a\"\n\
        states = [\"t\"]\nlosing = { nodes = 1, sites = 1 }\nonly = { pool = [\"x\"] }\nagain = \"seldom\"\n\
        nodes = { at_least = 3, at_most = 2 }\nopen = {}\nserved = \"yes\"\n[[expect]]\nname = \"a\"\n\
        never = { blocks = [70000] }\npath = \"x\"\n[[expect]]\nname = \"b\"\n";
    let errors = parse("e.toml", text)
        .expect_err("the file has errors")
        .to_string();
    for line in [
        "e.toml:1: node[0].address: is missing; expected an address and port",
        "e.toml:5: state[0].drains: contains a text; expected addresses and ports",
        "e.toml:3: state[0].drains: is missing; expected one of `drains`",
        "e.toml:6: expect[0].states: no state \"t\"; expected one of the [[state]] names: s",
        "expect[0].losing: has 2 of them; expected one of `nodes`, `sites` and `blocks`",
        "expect[0].only.pool: unknown field; expected one of blocks, kinds, nodes, pools, sites",
        "expect[0].again: is \"seldom\"; expected \"never\" or \"keyed\"",
        "expect[0].nodes.at_least: 3 is above at_most, 2",
        "expect[0].open.at_least: is missing; expected `at_least`, `at_most` or both",
        "expect[0].served: is a text; expected true or false",
        "expect[1].name: \"a\" is already used on line 6",
        "expect[1].never.blocks: contains a number; expected numbers of blocks",
        "expect[1].path: is \"x\"; expected a path that starts with /",
        "expect[2].only: is missing; expected a requirement, such as",
    ] {
        assert!(errors.contains(line), "{line}\n--\n{errors}");
    }
    let empty = parse("e.toml", "")
        .expect_err("the file has no expectations")
        .to_string();
    assert_eq!(
        empty,
        "e.toml:1: expect: is missing or empty; expected one [[expect]] at the least"
    );
}

/// Guards against panics of the parser and the verifier on malformed files.
#[test]
fn malformed_text_never_panics() {
    for seed in 0..5_000 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut bytes = common::EXPECTED.as_bytes().to_vec();
        for _ in 0..1 + rng.usize(..4) {
            let at = rng.usize(..bytes.len().max(1));
            match rng.u8(..3) {
                0 if at < bytes.len() => bytes[at] = b"[]{}=\",.\n09ax"[rng.usize(..13)],
                1 => {
                    drop(
                        bytes.drain(at.min(bytes.len())..(at + rng.usize(1..20)).min(bytes.len())),
                    );
                }
                _ => bytes.truncate(at.max(1)),
            }
        }
        let text = String::from_utf8_lossy(&bytes).into_owned();
        if let Ok(expectations) = parse("e.toml", &text) {
            let environment = common::environment(&expectations);
            let report = heathroad_verifier::verify(
                &common::generation(common::ROUTES),
                &expectations,
                &environment,
            );
            assert!(report.is_ok(), "seed {seed}");
        }
    }
}
