//! Golden copy of the structure of `--json`: every key in order, with the type of its value.

mod common;

use serde_json::Value;
use std::process::{Command, Stdio};

/// One expectation that is met and one that is missed, since their entries differ.
const EXPECTATIONS: &str = "[[expect]]\nfigure = \"served\"\nat_least = 1.0\n\
     [[expect]]\nfigure = \"worth\"\nat_most = 0.0\n";

/// Replaces each value by its type. Works on the text, since a parsed object loses the order of its
/// keys.
fn shape(text: &str) -> String {
    let mut shape = String::new();
    let mut rest = text.trim();
    while let Some(first) = rest.chars().next() {
        if "{}[]:,".contains(first) {
            shape.push(first);
            rest = &rest[1..];
            continue;
        }
        let mut values = serde_json::Deserializer::from_str(rest).into_iter::<Value>();
        let value = values.next().expect("a value").expect("JSON");
        let length = values.byte_offset();
        let is_key = rest[length..].starts_with(':');
        match value {
            Value::String(key) if is_key => shape.push_str(&key),
            Value::String(_) => shape.push_str("string"),
            Value::Bool(_) => shape.push_str("boolean"),
            Value::Number(n) if n.is_f64() => shape.push_str("float"),
            Value::Number(_) => shape.push_str("integer"),
            other => panic!("unexpected value {other}"),
        }
        rest = &rest[length..];
    }
    shape
}

#[test]
fn json_report_keeps_its_keys_and_types() {
    let name = format!("{}-golden-json.toml", std::process::id());
    let path = std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, format!("{}{EXPECTATIONS}", common::SMALL))
        .expect("write the scenario file");
    let out = Command::new(env!("CARGO_BIN_EXE_heathroad-harness"))
        .arg(&path)
        .args(["--seed", "5", "--json", "-", "--heathroad"])
        .arg(common::daemon())
        .env("TMPDIR", env!("CARGO_TARGET_TMPDIR"))
        .stdin(Stdio::null())
        .output()
        .expect("run the harness");
    let text = String::from_utf8(out.stdout).expect("UTF-8 output");
    assert_eq!(
        shape(&text),
        include_str!("golden/json_shape.txt").trim(),
        "{text} {}",
        String::from_utf8_lossy(&out.stderr)
    );
    let json: Value = serde_json::from_str(&text).expect("JSON");
    let names: Vec<&Value> = json["expectations"]
        .as_array()
        .expect("a list")
        .iter()
        .map(|e| &e["name"])
        .collect();
    assert_eq!(names, ["served at least", "worth at most"]);
    assert_eq!(json["seed"], 5);
}
