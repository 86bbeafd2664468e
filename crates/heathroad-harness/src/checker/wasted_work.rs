//! Wasted work: calls that loop, and work started after its client has left.

use crate::clock::Micros;
use crate::event_log::{Attempt, Disposition, EventLog};
use std::collections::{HashMap, HashSet};

/// Longest chain of parent requests that is followed.
const MAX_CHAIN_LENGTH: usize = 64;

/// Counts looped calls that reached a backend of the first tier again, so the loop was not ended in
/// one pass.
pub fn loops_open(event_log: &EventLog) -> u64 {
    let looped: HashSet<u64> = event_log
        .attempts
        .iter()
        .filter(|t| t.is_looped())
        .map(|t| t.id)
        .collect();
    let open: HashSet<u64> = event_log
        .arrivals
        .iter()
        .map(|a| a.id)
        .filter(|id| looped.contains(id))
        .collect();
    open.len() as u64
}

/// Returns the share of backend work that started after the originating client had left or had its
/// response. Work that cannot be traced to a client is left out.
pub fn wasted_share(event_log: &EventLog) -> f64 {
    let by_id: HashMap<u64, &Attempt> = event_log.attempts.iter().map(|t| (t.id, t)).collect();
    let (mut total, mut wasted) = (0, 0);
    for a in event_log
        .arrivals
        .iter()
        .filter(|a| a.disposition == Disposition::Executed)
    {
        let Some(ended) = client_ended(&by_id, a.id) else {
            continue;
        };
        total += a.work;
        wasted += if ended < a.received_at { a.work } else { 0 };
    }
    if total > 0 {
        wasted as f64 / total as f64
    } else {
        0.0
    }
}

/// Returns the time at which the client's attempt behind a request ended.
fn client_ended(by_id: &HashMap<u64, &Attempt>, id: u64) -> Option<Micros> {
    let mut attempt = *by_id.get(&id)?;
    // The bound ends the walk if parent ids form a cycle.
    for _ in 0..MAX_CHAIN_LENGTH {
        match attempt.parent {
            None => return Some(attempt.ended_at),
            Some(parent) => attempt = *by_id.get(&parent)?,
        }
    }
    None
}
