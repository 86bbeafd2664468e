//! What `heathroad expect` and `heathroad drains` print, and a node as the daemon tells it: the
//! golden answers come from commit 1355c4b.

use heathroad_verifier::Node;
use serde_json::json;
use std::process::Command;

fn run(args: &[&str]) -> String {
    let folder = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/golden");
    let mut command = Command::new(env!("CARGO_BIN_EXE_heathroad"));
    let out = command
        .current_dir(folder)
        .args(args)
        .output()
        .expect("the program starts");
    format!(
        "exit {:?}\n{}",
        out.status.code(),
        String::from_utf8_lossy(&out.stdout)
    )
}

#[test]
fn the_verdicts_keep_their_form() {
    let files = ["expect_routes.toml", "expect_expectations.toml"];
    let actual =
        run(&["expect", "--json", files[0], files[1]]) + &run(&["expect", files[0], files[1]]);
    assert!(
        actual == include_str!("golden/expect.txt"),
        "now:\n{actual}"
    );
}

#[test]
fn the_plan_of_drains_keeps_its_form() {
    let actual = ["drains_expectations.toml", "drains_stuck.toml"].map(|file| {
        run(&["drains", "--json", "expect_routes.toml", file])
            + &run(&["drains", "expect_routes.toml", file])
    });
    let actual = actual.concat();
    assert!(
        actual == include_str!("golden/drains.txt"),
        "now:\n{actual}"
    );
}

#[test]
fn a_node_keeps_its_keys() {
    let told = json!({"address": "127.0.0.1:9001", "registry": "127.0.0.1:8500", "site": "kano", "class": "m2", "block": 3,
        "takes": false});
    let node: Node = serde_json::from_value(told.clone()).expect("a node");
    assert_eq!(serde_json::to_value(&node).expect("JSON"), told);
    let least: Node = serde_json::from_value(json!({"address": "127.0.0.1:9001"})).expect("a node");
    let expected = json!({"address": "127.0.0.1:9001", "registry": null, "site": "", "class": "", "block": 0, "takes": true});
    assert_eq!(serde_json::to_value(&least).expect("JSON"), expected);
}
