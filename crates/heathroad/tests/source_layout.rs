//! The shape of the source: no file over 400 lines, no line over 100 columns in the decision
//! module, and the deploy file names every file of the decisions.
//!
//! Files that are longer stand in a list with the length that they may not exceed; the list only
//! gets shorter.

use std::collections::BTreeMap;
use std::fs;
use std::path::{Path, PathBuf};

const MAX_LINES: usize = 400;
const MAX_COLUMNS: usize = 100;
const LONG_FILES: &str = include_str!("golden/long_files.txt");

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn collect_sources(folder: &Path, sources: &mut Vec<PathBuf>) {
    for entry in fs::read_dir(folder).expect("a readable folder") {
        let path = entry.expect("an entry").path();
        if path.is_dir() {
            collect_sources(&path, sources);
        } else if path.extension().is_some_and(|e| e == "rs") {
            sources.push(path);
        }
    }
}

/// Returns all files under the `src` folders of the workspace's packages, by path from the root.
fn sources() -> BTreeMap<String, String> {
    let root = root();
    let mut paths = Vec::new();
    for package in fs::read_dir(root.join("crates")).expect("the packages") {
        collect_sources(&package.expect("a package").path().join("src"), &mut paths);
    }
    let named = |path: PathBuf| {
        let name = path.strip_prefix(&root).expect("under the root");
        let text = fs::read_to_string(&path).expect("a text");
        (name.display().to_string(), text)
    };
    paths.into_iter().map(named).collect()
}

/// Returns the files that may be longer, with the length that they may not exceed.
fn long_files() -> BTreeMap<&'static str, usize> {
    let entry = |line: &'static str| {
        let (lines, file) = line.split_once(' ').expect("a length and a file");
        (file, lines.parse().expect("a length"))
    };
    LONG_FILES.lines().map(entry).collect()
}

#[test]
fn no_source_file_is_over_400_lines_but_those_listed() {
    let mut long_files = long_files();
    for (file, text) in sources() {
        let lines = text.lines().count();
        let most = long_files.remove(file.as_str()).unwrap_or(MAX_LINES);
        assert!(lines <= most, "{file} has {lines} lines, {most} at most");
        assert!(
            most == MAX_LINES || lines > MAX_LINES,
            "{file} has {lines} lines: take it off the list"
        );
    }
    assert!(long_files.is_empty(), "no such files: {long_files:?}");
}

#[test]
fn the_decision_module_keeps_to_100_columns() {
    let decisions = |(file, _): &(String, String)| file.contains("crates/heathroad-balancer/src/");
    let mut files = 0;
    for (file, text) in sources().into_iter().filter(decisions) {
        files += 1;
        for (number, line) in text.lines().enumerate() {
            let columns = line.chars().count();
            assert!(
                columns <= MAX_COLUMNS,
                "{file}:{}: {columns} columns",
                number + 1
            );
        }
    }
    assert!(files > 0, "the decision module was not found");
}

#[test]
fn the_deploy_file_names_every_decision() {
    let text = fs::read_to_string(root().join("deploy/balancer.toml")).expect("the deploy file");
    let deploy: toml::Table = toml::from_str(&text).expect("TOML");
    let policy = deploy["policy"].as_array().expect("a list of files");
    let named: Vec<&str> = policy.iter().filter_map(toml::Value::as_str).collect();
    for file in &named {
        assert!(root().join(file).is_file(), "{file} is no file");
    }
    let is_decision = |file: &&String| {
        file.starts_with("crates/heathroad-balancer/src/policy/") && !file.ends_with("/mod.rs")
    };
    for file in sources().keys().filter(is_decision) {
        assert!(named.contains(&file.as_str()), "{file} is not named");
    }
}
