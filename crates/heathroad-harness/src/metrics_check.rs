//! Compares the event log with the daemons' own metrics, to detect daemons that miscount and events
//! that the harness missed.

use crate::event_log::{AttemptEnd, Disposition, ResponseKind};
use crate::runner::{ProxyCounts, RunRecord};
use serde_json::Value;
use std::collections::BTreeMap;

/// One figure of the event log compared with the daemons' counts.
#[derive(Debug, Clone, PartialEq)]
pub struct Line {
    /// What is counted.
    pub what: String,
    /// Least and most that the event log allows. They differ if one side cannot tell, for example when
    /// a client closed its connection during the response.
    pub seen: [u64; 2],
    /// Sum of the daemons' counts.
    pub counted: u64,
    /// Whether a daemon was killed, so that its counts are missing.
    pub killed: bool,
}

impl Line {
    /// Reports whether the two agree, or a kill explains the difference.
    pub fn agrees(&self) -> bool {
        let [least, most] = self.seen;
        self.counted <= most && (self.killed || self.counted >= least)
    }
}

fn count(counts: &[&ProxyCounts], path: &[&str]) -> u64 {
    let of = |c: &&ProxyCounts| {
        let mut value = c.counts.as_ref()?;
        for name in path {
            value = value.get(name)?;
        }
        value.as_u64()
    };
    counts.iter().filter_map(of).sum()
}

/// Outcome of a call that a proxy detected as looped.
const LOOPED: AttemptEnd = AttemptEnd::Failed(508);

/// Returns final responses by class, tenant and kind, summed over all processes.
fn final_responses(counts: &[&ProxyCounts]) -> BTreeMap<(String, String, String), u64> {
    let mut sums = BTreeMap::new();
    for row in counts
        .iter()
        .filter_map(|c| c.counts.as_ref()?.get("requests")?.as_array())
        .flatten()
    {
        let text = |name: &str| {
            row.get(name)
                .and_then(Value::as_str)
                .unwrap_or_default()
                .to_string()
        };
        let n = row.get("count").and_then(Value::as_u64).unwrap_or(0);
        *sums
            .entry((text("class"), text("tenant"), text("answer")))
            .or_default() += n;
    }
    sums
}

/// Compares the first tier's responses by class and tenant, and every tier's attempts by outcome.
pub fn compare(record: &RunRecord) -> Vec<Line> {
    let mut lines = Vec::new();
    for tier in 0..record.schedule.scenario.tier.len() as u8 {
        let of_tier = |proxy: u16| record.proxy_tiers.get(usize::from(proxy)) == Some(&tier);
        let counts: Vec<&ProxyCounts> = record
            .proxy_counts
            .iter()
            .filter(|c| of_tier(c.proxy))
            .collect();
        let killed = counts.iter().any(|c| c.counts.is_none());
        if tier == 0 {
            lines.extend(responses(record, &counts, killed));
        }
        lines.extend(attempts(record, tier, &counts, killed));
    }
    lines.push(looped_calls(record));
    lines
}

/// Compares looped calls ended by a 508. Whether a call was ended is unknown if its connection broke.
fn looped_calls(record: &RunRecord) -> Line {
    let all: Vec<&ProxyCounts> = record.proxy_counts.iter().collect();
    let looped = || record.event_log.attempts.iter().filter(|t| t.is_looped());
    let certain = looped().filter(|t| t.end == LOOPED).count() as u64;
    let uncertain = looped()
        .filter(|t| {
            matches!(
                t.end,
                AttemptEnd::Cancelled | AttemptEnd::Truncated(_) | AttemptEnd::NoResponse
            )
        })
        .count() as u64;
    Line {
        what: "looped calls ended".into(),
        seen: [certain, certain + uncertain],
        counted: count(&all, &["unusable", "508"]),
        killed: all.iter().any(|c| c.counts.is_none()),
    }
}

fn responses(record: &RunRecord, counts: &[&ProxyCounts], killed: bool) -> Vec<Line> {
    let final_responses = final_responses(counts);
    let s = &record.schedule.scenario;
    let mut lines = Vec::new();
    for (c, class) in s.class.iter().enumerate() {
        for (t, tenant) in s.tenant.iter().enumerate() {
            let of = |attempt: &&crate::event_log::Attempt| {
                // Looped calls are rejected before they are classified, and have their own line.
                let is_counted = attempt.tier == 0 && attempt.end != LOOPED;
                is_counted && (usize::from(attempt.class), usize::from(attempt.tenant)) == (c, t)
            };
            let attempts: Vec<_> = record.event_log.attempts.iter().filter(of).collect();
            let outcomes = |is: &dyn Fn(&AttemptEnd) -> bool| {
                attempts.iter().filter(|t| is(&t.end)).count() as u64
            };
            // Without a complete response, the client cannot tell how the proxy counted the request.
            let is_uncertain = |e: &AttemptEnd| {
                matches!(
                    e,
                    AttemptEnd::Cancelled
                        | AttemptEnd::Truncated(_)
                        | AttemptEnd::NoResponse
                        | AttemptEnd::Malformed
                )
            };
            let uncertain = attempts
                .iter()
                .filter(|t| is_uncertain(&t.end) || t.resent_at.is_some())
                .count() as u64;
            let counted = |kinds: &[&str]| {
                let key = |k: &&str| (class.name.clone(), tenant.name.clone(), (*k).to_string());
                kinds
                    .iter()
                    .filter_map(|k| final_responses.get(&key(k)))
                    .sum::<u64>()
            };
            let kinds: [(&str, u64, u64); 4] = [
                (
                    "served",
                    outcomes(&|e| matches!(e, AttemptEnd::Served(_) | AttemptEnd::UnknownBody(_))),
                    counted(&["served"]),
                ),
                (
                    "refused",
                    outcomes(&|e| matches!(e, AttemptEnd::Refused { .. })),
                    counted(&["refused"]),
                ),
                (
                    "failed",
                    outcomes(&|e| matches!(e, AttemptEnd::Failed(_))),
                    counted(&["failed", "timed_out"]),
                ),
                ("left", 0, counted(&["left"])),
            ];
            for (kind, certain, count) in kinds {
                let what = format!("{} of {}: {kind}", class.name, tenant.name);
                lines.push(Line {
                    what,
                    seen: [certain, certain + uncertain],
                    counted: count,
                    killed,
                });
            }
        }
    }
    lines
}

fn attempts(record: &RunRecord, tier: u8, counts: &[&ProxyCounts], killed: bool) -> Vec<Line> {
    let name = &record.schedule.scenario.tier[usize::from(tier)].name;
    let arrivals: Vec<_> = record
        .event_log
        .arrivals
        .iter()
        .filter(|a| a.tier == tier)
        .collect();
    let count_arrivals = |is: &dyn Fn(&crate::event_log::Arrival) -> bool| {
        arrivals.iter().filter(|a| is(a)).count() as u64
    };
    let ended = |outcome: &str| count(counts, &["attempts", outcome]);
    let late = |outcome: &str| count(counts, &["late_ends", outcome]);
    let all: u64 = [
        "served",
        "error",
        "declined",
        "timeout",
        "reset",
        "cancelled",
        "rejected",
    ]
    .iter()
    .map(|o| ended(o))
    .sum();
    // Attempts that timed out or were cancelled may not have reached the backend.
    let uncertain = ended("timeout") + ended("cancelled") + ended("reset");
    let responded =
        |kind: ResponseKind| count_arrivals(&|a| a.response == kind && a.responded_at.is_some());
    let line = |what: &str, seen: [u64; 2], counted: u64| Line {
        what: format!("{name}: {what}"),
        seen,
        counted,
        killed,
    };
    let arrived = arrivals.len() as u64;
    vec![
        line(
            "attempts received by backends",
            [arrived, arrived + uncertain],
            all,
        ),
        // Late responses are counted as late ends; those on a connection just closed are not seen.
        line(
            "attempts served",
            [
                responded(ResponseKind::Served).saturating_sub(uncertain),
                responded(ResponseKind::Served),
            ],
            ended("served") + late("served"),
        ),
        line(
            "attempts declined",
            [
                responded(ResponseKind::Declined).saturating_sub(uncertain),
                responded(ResponseKind::Declined),
            ],
            ended("declined") + late("declined"),
        ),
        line(
            "attempts answered with an error",
            [
                responded(ResponseKind::Error).saturating_sub(uncertain),
                responded(ResponseKind::Error),
            ],
            ended("error") + late("error"),
        ),
        line(
            "resends",
            {
                let mut by_id: BTreeMap<u64, u64> = BTreeMap::new();
                arrivals
                    .iter()
                    .for_each(|a| *by_id.entry(a.id).or_default() += 1);
                let repeated = by_id.values().map(|n| n - 1).sum::<u64>();
                // Requests resent by their sender may arrive twice without a resend by the proxy.
                let resent_by_sender = record
                    .event_log
                    .attempts
                    .iter()
                    .filter(|t| t.tier == tier && t.resent_at.is_some());
                let least = repeated.saturating_sub(resent_by_sender.count() as u64);
                // Only the daemon sees resends of attempts that did not arrive.
                let unseen = ended("connect_failed") + ended("unsent") + uncertain;
                [least, repeated + unseen]
            },
            [
                "error",
                "declined",
                "timeout",
                "connect_failed",
                "reset",
                "cancelled",
                "unsent",
                "rejected",
                "served",
            ]
            .iter()
            .map(|o| count(counts, &["resends", o]))
            .sum(),
        ),
        line(
            "duplicates dropped, of attempts served",
            [0, responded(ResponseKind::Served)],
            count_arrivals(&|a| {
                a.disposition == Disposition::Duplicate && a.responded_at.is_some()
            }),
        ),
    ]
}
