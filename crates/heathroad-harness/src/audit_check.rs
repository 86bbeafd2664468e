//! Compares the fleet's audit with the requests that backends received, by configuration version.

use crate::clock::Micros;
use crate::event_log::{ProcessEventKind, ProxyIndex};
use crate::runner::RunRecord;
use serde_json::Value;
use std::collections::BTreeMap;

/// Tolerance past a bound for the delay of a message and of an attempt.
pub const SLACK: Micros = 500_000;

fn members(record: &RunRecord) -> impl Iterator<Item = &Value> {
    record
        .fleet_audit
        .iter()
        .flat_map(|a| a["members"].as_array().into_iter().flatten())
}

fn pages(member: &Value) -> impl Iterator<Item = &Value> {
    member["pages"].as_array().into_iter().flatten()
}

/// Returns a figure of the fleet, or none without an audit.
pub fn figure(record: &RunRecord, name: &str) -> Option<f64> {
    record.fleet_audit.as_ref()?;
    let count = match name {
        "fleet_unreached" => members(record).filter(|m| m["reached"] != true).count() as u64,
        "fleet_unaccounted" => unaccounted(record),
        "fleet_behind" => behind(record),
        "fleet_past_bound" => past_bound(record),
        "fleet_fenced" => {
            let fenced = |m: &&Value| {
                m["spells"]
                    .as_array()
                    .is_some_and(|s| s.iter().any(|s| s["trouble"] == "fenced"))
            };
            members(record).filter(fenced).count() as u64
        }
        _ => return None,
    };
    Some(count as f64)
}

/// Counts attempts that only the backends or only the audit's pages record under a version. A killed
/// proxy's pages may lack its last attempts.
fn unaccounted(record: &RunRecord) -> u64 {
    let mut differences = 0;
    for (index, member) in members(record).enumerate() {
        let killed = record
            .event_log
            .process_events
            .iter()
            .any(|e| usize::from(e.proxy) == index && e.kind == ProcessEventKind::Killed);
        let mut audited: BTreeMap<&str, u64> = BTreeMap::new();
        for page in pages(member) {
            *audited
                .entry(page["digest"].as_str().unwrap_or(""))
                .or_default() += page["acts"]["sent"].as_u64().unwrap_or(0);
        }
        let mut received: BTreeMap<&str, u64> = BTreeMap::new();
        for a in record
            .event_log
            .arrivals
            .iter()
            .filter(|a| usize::from(a.proxy) == index)
        {
            *received
                .entry(a.version.as_deref().unwrap_or(""))
                .or_default() += 1;
        }
        let versions = audited
            .keys()
            .chain(received.keys())
            .copied()
            .collect::<std::collections::BTreeSet<_>>();
        for version in versions {
            let of = |all: &BTreeMap<&str, u64>| all.get(version).copied().unwrap_or(0);
            let (audited, received) = (of(&audited), of(&received));
            // The audit counts an attempt as sent even if its connection then failed.
            let lost = record
                .proxy_counts
                .iter()
                .filter(|c| usize::from(c.proxy) == index)
                .filter_map(unsent)
                .sum::<u64>();
            differences += match audited.cmp(&received) {
                std::cmp::Ordering::Less if killed => 0,
                std::cmp::Ordering::Less => received - audited,
                _ => (audited - received).saturating_sub(lost),
            };
        }
    }
    differences
}

/// Returns the attempts of a process that were not sent completely.
fn unsent(process: &crate::runner::ProxyCounts) -> Option<u64> {
    process.counts.as_ref()?["attempts"]["unsent"].as_u64()
}

/// Counts proxies that apply an older generation than another one.
fn behind(record: &RunRecord) -> u64 {
    let generation = |m: &Value| {
        pages(m)
            .last()
            .and_then(|p| p["version"]["generation"].as_u64())
    };
    let highest = members(record).filter_map(generation).max();
    members(record).filter(|m| generation(m) != highest).count() as u64
}

/// Counts attempts made on an older generation than the one required at that time.
fn past_bound(record: &RunRecord) -> u64 {
    let mut generations: BTreeMap<&str, u64> = BTreeMap::new();
    for page in members(record).flat_map(pages) {
        if let (Some(digest), Some(n)) = (
            page["digest"].as_str(),
            page["version"]["generation"].as_u64(),
        ) {
            generations.insert(digest, n);
        }
    }
    let in_fleet = |proxy: ProxyIndex| record.proxy_tiers.get(usize::from(proxy)) == Some(&0);
    let outdated = |a: &&crate::event_log::Arrival| {
        let generation = a.version.as_deref().and_then(|v| generations.get(v));
        record.required_generations.iter().any(|(required, bound)| {
            a.first_byte_at > bound + SLACK && generation.is_none_or(|g| g < required)
        })
    };
    record
        .event_log
        .arrivals
        .iter()
        .filter(|a| in_fleet(a.proxy))
        .filter(outdated)
        .count() as u64
}
