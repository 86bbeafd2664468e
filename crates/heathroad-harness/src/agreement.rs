//! Agreement: what the ledgers hold beside what the daemon itself counted, line by line. A daemon
//! that miscounts is found out here, and so is a judge that missed something.

use crate::ledger::{Answer, End, Fate};
use crate::stage::{Counted, Seen};
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

fn count(counts: &[&Counted], path: &[&str]) -> u64 {
    let of = |c: &&Counted| {
        let mut value = c.counts.as_ref()?;
        for name in path {
            value = value.get(name)?;
        }
        value.as_u64()
    };
    counts.iter().filter_map(of).sum()
}

/// The answer to what comes round.
const LOOPED: End = End::Failed(508);

/// Final answers by class, tenant and kind, over all processes.
fn finals(counts: &[&Counted]) -> BTreeMap<(String, String, String), u64> {
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
pub fn compare(seen: &Seen) -> Vec<Line> {
    let mut lines = Vec::new();
    for tier in 0..seen.plan.scenario.tier.len() as u8 {
        let of_tier = |proxy: u16| seen.proxy_tier.get(usize::from(proxy)) == Some(&tier);
        let counts: Vec<&Counted> = seen.counts.iter().filter(|c| of_tier(c.proxy)).collect();
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
fn came_round(seen: &Seen) -> Line {
    let all: Vec<&Counted> = seen.counts.iter().collect();
    let round = || seen.ledgers.tries.iter().filter(|t| t.came_round());
    let sure = round().filter(|t| t.end == LOOPED).count() as u64;
    let unsure = round()
        .filter(|t| matches!(t.end, End::HungUp | End::Broken(_) | End::Silence))
        .count() as u64;
    Line {
        what: "calls that came round, ended".into(),
        seen: [sure, sure + unsure],
        counted: count(&all, &["unusable", "508"]),
        killed: all.iter().any(|c| c.counts.is_none()),
    }
}

fn answers(seen: &Seen, counts: &[&Counted], killed: bool) -> Vec<Line> {
    let finals = finals(counts);
    let s = &seen.plan.scenario;
    let mut lines = Vec::new();
    for (c, class) in s.class.iter().enumerate() {
        for (t, tenant) in s.tenant.iter().enumerate() {
            let of = |try_: &&crate::ledger::Try| {
                // What came round is answered before it is anybody's, and has a line of its own.
                let ours = try_.tier == 0 && try_.end != LOOPED;
                ours && (usize::from(try_.class), usize::from(try_.tenant)) == (c, t)
            };
            let tries: Vec<_> = seen.ledgers.tries.iter().filter(of).collect();
            let ends =
                |is: &dyn Fn(&End) -> bool| tries.iter().filter(|t| is(&t.end)).count() as u64;
            // Who left or lost its connection can't tell what the proxy had done with it, or
            // whether it was read.
            let unclear = |e: &End| {
                matches!(
                    e,
                    End::HungUp | End::Broken(_) | End::Silence | End::Garbled
                )
            };
            let unsure = tries
                .iter()
                .filter(|t| unclear(&t.end) || t.crossed.is_some())
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
                    ends(&|e| matches!(e, End::Served(_) | End::Alien(_))),
                    said(&["served"]),
                ),
                (
                    "refused",
                    ends(&|e| matches!(e, End::Refused { .. })),
                    said(&["refused"]),
                ),
                (
                    "failed",
                    ends(&|e| matches!(e, End::Failed(_))),
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

fn attempts(seen: &Seen, tier: u8, counts: &[&Counted], killed: bool) -> Vec<Line> {
    let name = &seen.plan.scenario.tier[usize::from(tier)].name;
    let arrivals: Vec<_> = seen
        .ledgers
        .arrivals
        .iter()
        .filter(|a| a.tier == tier)
        .collect();
    let tally = |is: &dyn Fn(&crate::ledger::Arrival) -> bool| {
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
    // What timed out or was cancelled may never have left, or have gone to a machine that no longer
    // reads.
    let unsure = ended("timeout") + ended("cancelled") + ended("reset");
    let whole = |kind: Answer| tally(&|a| a.answer == kind && a.done.is_some());
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
                whole(Answer::Served).saturating_sub(unsure),
                whole(Answer::Served),
            ],
            ended("served") + late("served"),
        ),
        line(
            "attempts declined",
            [
                whole(Answer::Declined).saturating_sub(unsure),
                whole(Answer::Declined),
            ],
            ended("declined") + late("declined"),
        ),
        line(
            "attempts answered with an error",
            [
                whole(Answer::Error).saturating_sub(unsure),
                whole(Answer::Error),
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
                    .ledgers
                    .tries
                    .iter()
                    .filter(|t| t.tier == tier && t.crossed.is_some());
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
            [0, whole(Answer::Served)],
            tally(&|a| a.fate == Fate::Repeat && a.done.is_some()),
        ),
    ]
}
