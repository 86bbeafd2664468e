//! Checks attempts against their client: none may start after the client has left, and none may
//! announce more time than the client has left.

use super::CheckInput;
use super::rules::{Rule, SLACK, Violation, describe};
use crate::clock::{Micros, format_seconds};
use crate::event_log::{Arrival, Attempt, AttemptEnd, EventLog};
use std::collections::HashMap;

/// Longest delay of an attempt after its client closed the connection.
const CLOSE_GRACE: Micros = 100_000;
/// Largest excess of an announced time limit over the client's remaining time.
const LIMIT_TOLERANCE: Micros = 150_000;

/// Returns attempts that started after their client had left or announced too long a time limit.
pub(super) fn violations(
    input: &CheckInput,
    log: &EventLog,
    by_id: &HashMap<u64, Vec<&Arrival>>,
) -> Vec<Violation> {
    let mut violations = Vec::new();
    for t in &log.attempts {
        let arrivals = by_id.get(&t.id).map(Vec::as_slice).unwrap_or_default();
        for arrival in arrivals.iter().filter(|a| a.tier == t.tier) {
            let problems = [started_after_close(t, arrival), limit_too_long(t, arrival)];
            for problem in problems.into_iter().flatten() {
                let proof = format!("{problem}: {}", describe(input, arrival));
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

fn started_after_close(t: &Attempt, arrival: &Arrival) -> Option<String> {
    let closed = t.ended_at;
    let started = arrival.first_byte_at;
    let late = t.end == AttemptEnd::Cancelled && started > closed + CLOSE_GRACE + SLACK;
    late.then(|| {
        format!(
            "an attempt was begun at {}, after its client had left at {}",
            format_seconds(started),
            format_seconds(closed)
        )
    })
}

fn limit_too_long(t: &Attempt, arrival: &Arrival) -> Option<String> {
    let (sent, announced) = (t.sent_at?, arrival.announced_limit?);
    // A resent request is timed from its second send.
    let sent = t.resent_at.map_or(sent, |resent| resent.max(sent));
    let remaining = (sent + t.time_limit).saturating_sub(arrival.first_byte_at);
    let exceeded = announced > remaining + LIMIT_TOLERANCE + SLACK;
    exceeded.then(|| {
        format!(
            "its backend was told {}, and its client had {} left",
            format_seconds(announced),
            format_seconds(remaining)
        )
    })
}
