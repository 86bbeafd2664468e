//! Agreement: what the ledgers hold beside what the daemon itself counted, line by line. A daemon
//! that miscounts is found out here, and so is a judge that missed something.

use crate::event_log::{AttemptEnd, Disposition, ResponseKind};
use crate::runner::{ProxyCounts, RunRecord};
use serde_json::Value;
use std::collections::BTreeMap;

/// One figure from both sides.
#[derive(Debug, Clone, PartialEq)]
pub struct Line {
    /// What is counted.
    pub what: String,
    /// What the ledgers allow: the least and the most. They differ where one side can't know, as
    /// when a client has left while its answer was under way.
    pub seen: [u64; 2],
    /// What the daemons counted.
    pub counted: u64,
    /// Why the two may differ, if a kill took counts away.
    pub killed: bool,
}

impl Line {
    /// Whether the two agree, or a kill explains that they don't.
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

/// The answer to what comes round.
const LOOPED: AttemptEnd = AttemptEnd::Failed(508);

/// Final answers by class, tenant and kind, over all processes.
fn finals(counts: &[&ProxyCounts]) -> BTreeMap<(String, String, String), u64> {
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

/// Sets the ledgers beside the daemons' counts: the first tier's answers by class and tenant, and
/// every tier's attempts by what backends did with them.
pub fn compare(seen: &RunRecord) -> Vec<Line> {
    let mut lines = Vec::new();
    for tier in 0..seen.schedule.scenario.tier.len() as u8 {
        let of_tier = |proxy: u16| seen.proxy_tiers.get(usize::from(proxy)) == Some(&tier);
        let counts: Vec<&ProxyCounts> = seen
            .proxy_counts
            .iter()
            .filter(|c| of_tier(c.proxy))
            .collect();
        let killed = counts.iter().any(|c| c.counts.is_none());
        if tier == 0 {
            lines.extend(answers(seen, &counts, killed));
        }
        lines.extend(attempts(seen, tier, &counts, killed));
    }
    lines.push(came_round(seen));
    lines
}

/// Calls that came round, ended by 508 wherever that was. Who lost its connection can't tell
/// whether it was.
fn came_round(seen: &RunRecord) -> Line {
    let all: Vec<&ProxyCounts> = seen.proxy_counts.iter().collect();
    let round = || seen.event_log.attempts.iter().filter(|t| t.is_looped());
    let sure = round().filter(|t| t.end == LOOPED).count() as u64;
    let unsure = round()
        .filter(|t| {
            matches!(
                t.end,
                AttemptEnd::Cancelled | AttemptEnd::Truncated(_) | AttemptEnd::NoResponse
            )
        })
        .count() as u64;
    Line {
        what: "calls that came round, ended".into(),
        seen: [sure, sure + unsure],
        counted: count(&all, &["unusable", "508"]),
        killed: all.iter().any(|c| c.counts.is_none()),
    }
}

fn answers(seen: &RunRecord, counts: &[&ProxyCounts], killed: bool) -> Vec<Line> {
    let finals = finals(counts);
    let s = &seen.schedule.scenario;
    let mut lines = Vec::new();
    for (c, class) in s.class.iter().enumerate() {
        for (t, tenant) in s.tenant.iter().enumerate() {
            let of = |try_: &&crate::event_log::Attempt| {
                // What came round is answered before it is anybody's, and has a line of its own.
                let ours = try_.tier == 0 && try_.end != LOOPED;
                ours && (usize::from(try_.class), usize::from(try_.tenant)) == (c, t)
            };
            let tries: Vec<_> = seen.event_log.attempts.iter().filter(of).collect();
            let ends = |is: &dyn Fn(&AttemptEnd) -> bool| {
                tries.iter().filter(|t| is(&t.end)).count() as u64
            };
            // Who left or lost its connection can't tell what the proxy had done with it, or
            // whether it was read.
            let unclear = |e: &AttemptEnd| {
                matches!(
                    e,
                    AttemptEnd::Cancelled
                        | AttemptEnd::Truncated(_)
                        | AttemptEnd::NoResponse
                        | AttemptEnd::Malformed
                )
            };
            let unsure = tries
                .iter()
                .filter(|t| unclear(&t.end) || t.resent_at.is_some())
                .count() as u64;
            let said = |kinds: &[&str]| {
                let key = |k: &&str| (class.name.clone(), tenant.name.clone(), (*k).to_string());
                kinds
                    .iter()
                    .filter_map(|k| finals.get(&key(k)))
                    .sum::<u64>()
            };
            let kinds: [(&str, u64, u64); 4] = [
                (
                    "served",
                    ends(&|e| matches!(e, AttemptEnd::Served(_) | AttemptEnd::UnknownBody(_))),
                    said(&["served"]),
                ),
                (
                    "refused",
                    ends(&|e| matches!(e, AttemptEnd::Refused { .. })),
                    said(&["refused"]),
                ),
                (
                    "failed",
                    ends(&|e| matches!(e, AttemptEnd::Failed(_))),
                    said(&["failed", "timed_out"]),
                ),
                ("left", 0, said(&["left"])),
            ];
            for (kind, sure, counted) in kinds {
                let what = format!("{} of {}: {kind}", class.name, tenant.name);
                lines.push(Line {
                    what,
                    seen: [sure, sure + unsure],
                    counted,
                    killed,
                });
            }
        }
    }
    lines
}

fn attempts(seen: &RunRecord, tier: u8, counts: &[&ProxyCounts], killed: bool) -> Vec<Line> {
    let name = &seen.schedule.scenario.tier[usize::from(tier)].name;
    let arrivals: Vec<_> = seen
        .event_log
        .arrivals
        .iter()
        .filter(|a| a.tier == tier)
        .collect();
    let tally = |is: &dyn Fn(&crate::event_log::Arrival) -> bool| {
        arrivals.iter().filter(|a| is(a)).count() as u64
    };
    let ended = |summary: &str| count(counts, &["attempts", summary]);
    let late = |summary: &str| count(counts, &["late_ends", summary]);
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
    // What timed out or was cancelled may never have left, or have gone to a machine that no longer
    // reads.
    let unsure = ended("timeout") + ended("cancelled") + ended("reset");
    let whole = |kind: ResponseKind| tally(&|a| a.response == kind && a.responded_at.is_some());
    let line = |what: &str, seen: [u64; 2], counted: u64| Line {
        what: format!("{name}: {what}"),
        seen,
        counted,
        killed,
    };
    let arrived = arrivals.len() as u64;
    vec![
        line(
            "attempts that came whole to a backend",
            [arrived, arrived + unsure],
            all,
        ),
        // Answers that came late, or were written to a connection just given up, are counted as
        // late ends or unseen.
        line(
            "attempts served",
            [
                whole(ResponseKind::Served).saturating_sub(unsure),
                whole(ResponseKind::Served),
            ],
            ended("served") + late("served"),
        ),
        line(
            "attempts declined",
            [
                whole(ResponseKind::Declined).saturating_sub(unsure),
                whole(ResponseKind::Declined),
            ],
            ended("declined") + late("declined"),
        ),
        line(
            "attempts answered with an error",
            [
                whole(ResponseKind::Error).saturating_sub(unsure),
                whole(ResponseKind::Error),
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
                let again = by_id.values().map(|n| n - 1).sum::<u64>();
                // Those that their senders sent once more may have come twice with nobody's resend.
                let crossed = seen
                    .event_log
                    .attempts
                    .iter()
                    .filter(|t| t.tier == tier && t.resent_at.is_some());
                let least = again.saturating_sub(crossed.count() as u64);
                // Those before or behind which nothing arrived are seen by the daemon alone.
                let unseen = ended("connect_failed") + ended("unsent") + unsure;
                [least, again + unseen]
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
            "repeats dropped, of attempts served",
            [0, whole(ResponseKind::Served)],
            tally(&|a| a.disposition == Disposition::Duplicate && a.responded_at.is_some()),
        ),
    ]
}
