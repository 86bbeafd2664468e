//! What attempts owe the client they are for: none is begun once it has left, and none is told more
//! time than it has.

use super::CheckInput;
use super::rules::{Rule, SLACK, Violation, describe};
use crate::clock::{Micros, format_seconds};
use crate::event_log::{Arrival, Attempt, AttemptEnd, EventLog};
use std::collections::HashMap;

/// An attempt may begin so long after its client has closed its connection.
const AFTER_CLOSE: Micros = 100_000;
/// A backend may be told so much more than its client has left.
const TOLD_SLACK: Micros = 150_000;

/// Attempts that were begun for a client who had left, or with more time than theirs.
pub(super) fn violations(
    input: &CheckInput,
    event_log: &EventLog,
    by_id: &HashMap<u64, Vec<&Arrival>>,
) -> Vec<Violation> {
    let mut violations = Vec::new();
    for t in &event_log.attempts {
        let arrivals = by_id.get(&t.id).map(Vec::as_slice).unwrap_or_default();
        for arrival in arrivals.iter().filter(|a| a.tier == t.tier) {
            let wrongs = [begun_for_nobody(t, arrival), told_too_much(t, arrival)];
            for wrong in wrongs.into_iter().flatten() {
                let proof = format!("{wrong}: {}", describe(input, arrival));
                violations.push(Violation {
                    rule: Rule::Lost,
                    at: arrival.first_byte_at,
                    id: Some(t.id),
                    proof,
                });
            }
        }
    }
    violations
}

fn begun_for_nobody(t: &Attempt, arrival: &Arrival) -> Option<String> {
    let left = t.ended_at;
    let begun = arrival.first_byte_at;
    let late = t.end == AttemptEnd::Cancelled && begun > left + AFTER_CLOSE + SLACK;
    late.then(|| {
        format!(
            "an attempt was begun at {}, after its client had left at {}",
            format_seconds(begun),
            format_seconds(left)
        )
    })
}

fn told_too_much(t: &Attempt, arrival: &Arrival) -> Option<String> {
    let (sent, told) = (t.sent_at?, arrival.announced_limit?);
    // A request that was sent once more is timed from its second sending.
    let sent = t.resent_at.map_or(sent, |crossed| crossed.max(sent));
    let left = (sent + t.time_limit).saturating_sub(arrival.first_byte_at);
    let much = told > left + TOLD_SLACK + SLACK;
    much.then(|| {
        format!(
            "its backend was told {}, and its client had {} left",
            format_seconds(told),
            format_seconds(left)
        )
    })
}
