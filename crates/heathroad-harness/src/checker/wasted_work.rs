//! Effort that helps nobody: calls that go round, and work that is begun for who has left.

use crate::clock::Micros;
use crate::event_log::{Attempt, Disposition, EventLog};
use std::collections::{HashMap, HashSet};

/// Calls that came round to the first tier and reached a backend there once more: a loop that was
/// not ended in one pass.
pub fn loops_open(event_log: &EventLog) -> u64 {
    let round: HashSet<u64> = event_log
        .attempts
        .iter()
        .filter(|t| t.is_looped())
        .map(|t| t.id)
        .collect();
    let open: HashSet<u64> = event_log
        .arrivals
        .iter()
        .map(|a| a.id)
        .filter(|id| round.contains(id))
        .collect();
    open.len() as u64
}

/// The part of all work that backends began when the client at the chain's head had left or had its
/// answer. What came to nobody's request is left out of both.
pub fn for_nobody(event_log: &EventLog) -> f64 {
    let by_id: HashMap<u64, &Attempt> = event_log.attempts.iter().map(|t| (t.id, t)).collect();
    let (mut all, mut nobodys) = (0, 0);
    for a in event_log
        .arrivals
        .iter()
        .filter(|a| a.disposition == Disposition::Executed)
    {
        let Some(ended) = client_ended(&by_id, a.id) else {
            continue;
        };
        all += a.work;
        nobodys += if ended < a.received_at { a.work } else { 0 };
    }
    if all > 0 {
        nobodys as f64 / all as f64
    } else {
        0.0
    }
}

/// When the try of the client that a request is made for was over, as the client saw it.
fn client_ended(by_id: &HashMap<u64, &Attempt>, id: u64) -> Option<Micros> {
    let mut at = *by_id.get(&id)?;
    // Chains are short; ids that lead in a circle, as no stand-in makes them, lead to nobody.
    for _ in 0..64 {
        match at.parent {
            None => return Some(at.ended_at),
            Some(parent) => at = *by_id.get(&parent)?,
        }
    }
    None
}
