//! The fleet's audit beside what backends saw: an act that one of them knows of and the other does
//! not is nobody's.

use crate::clock::Micros;
use crate::event_log::{ProcessEventKind, ProxyIndex};
use crate::runner::RunRecord;
use serde_json::Value;
use std::collections::BTreeMap;

/// Beyond a bound: the way of a message, and of an attempt to the backend.
pub const SLACK: Micros = 500_000;

fn members(seen: &RunRecord) -> impl Iterator<Item = &Value> {
    seen.fleet_audit
        .iter()
        .flat_map(|a| a["members"].as_array().into_iter().flatten())
}

fn pages(member: &Value) -> impl Iterator<Item = &Value> {
    member["pages"].as_array().into_iter().flatten()
}

/// A figure of the fleet; none where there is no audit.
pub fn figure(seen: &RunRecord, name: &str) -> Option<f64> {
    seen.fleet_audit.as_ref()?;
    let count = match name {
        "fleet_unreached" => members(seen).filter(|m| m["reached"] != true).count() as u64,
        "fleet_unaccounted" => unaccounted(seen),
        "fleet_behind" => behind(seen),
        "fleet_past_bound" => past_bound(seen),
        "fleet_fenced" => {
            let fenced = |m: &&Value| {
                m["spells"]
                    .as_array()
                    .is_some_and(|s| s.iter().any(|s| s["trouble"] == "fenced"))
            };
            members(seen).filter(fenced).count() as u64
        }
        _ => return None,
    };
    Some(count as f64)
}

/// Attempts that backends saw and no page tells of under their version, and the other way round.
/// What a killed proxy had not written down yet may be missing from its pages.
fn unaccounted(seen: &RunRecord) -> u64 {
    let mut apart = 0;
    for (no, member) in members(seen).enumerate() {
        let killed = seen
            .event_log
            .process_events
            .iter()
            .any(|a| usize::from(a.proxy) == no && a.kind == ProcessEventKind::Killed);
        let mut told: BTreeMap<&str, u64> = BTreeMap::new();
        for page in pages(member) {
            *told
                .entry(page["digest"].as_str().unwrap_or(""))
                .or_default() += page["acts"]["sent"].as_u64().unwrap_or(0);
        }
        let mut saw: BTreeMap<&str, u64> = BTreeMap::new();
        for a in seen
            .event_log
            .arrivals
            .iter()
            .filter(|a| usize::from(a.proxy) == no)
        {
            *saw.entry(a.version.as_deref().unwrap_or("")).or_default() += 1;
        }
        let versions = told
            .keys()
            .chain(saw.keys())
            .copied()
            .collect::<std::collections::BTreeSet<_>>();
        for version in versions {
            let of = |all: &BTreeMap<&str, u64>| all.get(version).copied().unwrap_or(0);
            let (told, saw) = (of(&told), of(&saw));
            // An attempt whose connection failed was sent by the record and came to nobody.
            let lost = seen
                .proxy_counts
                .iter()
                .filter(|c| usize::from(c.proxy) == no)
                .filter_map(unsent)
                .sum::<u64>();
            apart += match told.cmp(&saw) {
                std::cmp::Ordering::Less if killed => 0,
                std::cmp::Ordering::Less => saw - told,
                _ => (told - saw).saturating_sub(lost),
            };
        }
    }
    apart
}

/// Attempts of a process that never came whole to a backend.
fn unsent(counted: &crate::runner::ProxyCounts) -> Option<u64> {
    counted.counts.as_ref()?["attempts"]["unsent"].as_u64()
}

/// Proxies that act on an older generation than another one does.
fn behind(seen: &RunRecord) -> u64 {
    let now = |m: &Value| {
        pages(m)
            .last()
            .and_then(|p| p["version"]["generation"].as_u64())
    };
    let highest = members(seen).filter_map(now).max();
    members(seen).filter(|m| now(m) != highest).count() as u64
}

/// Attempts on an older generation than was required by then.
fn past_bound(seen: &RunRecord) -> u64 {
    let mut generations: BTreeMap<&str, u64> = BTreeMap::new();
    for page in members(seen).flat_map(pages) {
        if let (Some(digest), Some(n)) = (
            page["digest"].as_str(),
            page["version"]["generation"].as_u64(),
        ) {
            generations.insert(digest, n);
        }
    }
    let fleet = |proxy: ProxyIndex| seen.proxy_tiers.get(usize::from(proxy)) == Some(&0);
    let past = |a: &&crate::event_log::Arrival| {
        let generation = a.version.as_deref().and_then(|v| generations.get(v));
        seen.required_generations.iter().any(|(required, bound)| {
            a.first_byte_at > bound + SLACK && generation.is_none_or(|g| g < required)
        })
    };
    seen.event_log
        .arrivals
        .iter()
        .filter(|a| fleet(a.proxy))
        .filter(past)
        .count() as u64
}
