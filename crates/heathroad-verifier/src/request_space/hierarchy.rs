//! Hierarchical names: hosts and paths, sorted so that all names with a common prefix form an
//! interval.

use std::collections::BTreeSet;
use std::ops::Range;

/// The parts of a hierarchical name, the most general first.
pub(super) type Name = Vec<String>;

/// Splits a path into its segments.
pub(super) fn split_path(path: &str) -> Name {
    path.split('/')
        .filter(|s| !s.is_empty())
        .map(String::from)
        .collect()
}

/// Splits a host into its labels, the last one first.
pub(super) fn split_host(host: &str) -> Name {
    if host.is_empty() {
        return Vec::new();
    }
    host.split('.').rev().map(String::from).collect()
}

/// Joins the segments of a path.
pub(super) fn join_path(name: &[String]) -> String {
    format!("/{}", name.join("/"))
}

/// Joins the labels of a host.
pub(super) fn join_host(name: &[String]) -> String {
    let labels: Vec<&str> = name.iter().rev().map(String::as_str).collect();
    labels.join(".")
}

/// Returns the interval of the names below a prefix in a sorted list. `include_prefix` tells
/// whether the prefix itself is one of them.
pub(super) fn interval_below(
    sorted: &[Name],
    prefix: &[String],
    include_prefix: bool,
) -> Range<u32> {
    let first = sorted.partition_point(|name| {
        name.as_slice() < prefix || (!include_prefix && name.as_slice() == prefix)
    });
    let last = sorted.partition_point(|name| name.as_slice() < prefix || name.starts_with(prefix));
    first as u32..last as u32
}

/// Returns a text that differs from all used ones.
pub(super) fn unused_text<'a>(used: impl Iterator<Item = &'a str>) -> String {
    let used: BTreeSet<&str> = used.collect();
    let mut text = "other".to_string();
    while used.contains(text.as_str()) {
        text.push('-');
    }
    text
}

/// Returns a sorted list of names that represents all names: those that conditions name, one more
/// below each prefix that they name, the empty one, and one that no condition names.
pub(super) fn representative_names(named: &[Name], prefixes: &[Name]) -> Vec<Name> {
    let parts = named.iter().chain(prefixes).flatten();
    let other = unused_text(parts.map(String::as_str));
    let mut names: BTreeSet<Name> = named.iter().cloned().collect();
    for prefix in prefixes {
        let mut below = prefix.clone();
        below.push(other.clone());
        names.insert(below);
    }
    names.insert(Vec::new());
    names.insert(vec![other]);
    names.into_iter().collect()
}
