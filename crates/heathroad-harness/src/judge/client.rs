//! What attempts owe the client they are for: none is begun once it has left, and none is told more
//! time than it has.

use super::Terms;
use super::rules::{Breach, Rule, SLACK, describe};
use crate::clock::{Micros, show};
use crate::ledger::{Arrival, End, Ledgers, Try};
use std::collections::HashMap;

/// An attempt may begin so long after its client has closed its connection.
const AFTER_CLOSE: Micros = 100_000;
/// A backend may be told so much more than its client has left.
const TOLD_SLACK: Micros = 150_000;

/// Attempts that were begun for a client who had left, or with more time than theirs.
pub(super) fn breaches(
    terms: &Terms,
    ledgers: &Ledgers,
    by_id: &HashMap<u64, Vec<&Arrival>>,
) -> Vec<Breach> {
    let mut breaches = Vec::new();
    for t in &ledgers.tries {
        let arrivals = by_id.get(&t.id).map(Vec::as_slice).unwrap_or_default();
        for arrival in arrivals.iter().filter(|a| a.tier == t.tier) {
            let wrongs = [begun_for_nobody(t, arrival), told_too_much(t, arrival)];
            for wrong in wrongs.into_iter().flatten() {
                let proof = format!("{wrong}: {}", describe(terms, arrival));
                breaches.push(Breach {
                    rule: Rule::Lost,
                    at: arrival.first_byte,
                    id: Some(t.id),
                    proof,
                });
            }
        }
    }
    breaches
}

fn begun_for_nobody(t: &Try, arrival: &Arrival) -> Option<String> {
    let left = t.ended;
    let begun = arrival.first_byte;
    let late = t.end == End::HungUp && begun > left + AFTER_CLOSE + SLACK;
    late.then(|| {
        format!(
            "an attempt was begun at {}, after its client had left at {}",
            show(begun),
            show(left)
        )
    })
}

fn told_too_much(t: &Try, arrival: &Arrival) -> Option<String> {
    let (sent, told) = (t.sent?, arrival.told?);
    // A request that was sent once more is timed from its second sending.
    let sent = t.crossed.map_or(sent, |crossed| crossed.max(sent));
    let left = (sent + t.patience).saturating_sub(arrival.first_byte);
    let much = told > left + TOLD_SLACK + SLACK;
    much.then(|| {
        format!(
            "its backend was told {}, and its client had {} left",
            show(told),
            show(left)
        )
    })
}
