//! Effort that helps nobody: calls that go round, and work that is begun for who has left.

use crate::clock::Micros;
use crate::ledger::{Fate, Ledgers, Try};
use std::collections::{HashMap, HashSet};

/// Calls that came round to the first tier and reached a backend there once more: a loop that was
/// not ended in one pass.
pub fn loops_open(ledgers: &Ledgers) -> u64 {
    let round: HashSet<u64> = ledgers
        .tries
        .iter()
        .filter(|t| t.came_round())
        .map(|t| t.id)
        .collect();
    let open: HashSet<u64> = ledgers
        .arrivals
        .iter()
        .map(|a| a.id)
        .filter(|id| round.contains(id))
        .collect();
    open.len() as u64
}

/// The part of all work that backends began when the client at the chain's head had left or had its
/// answer. What came to nobody's request is left out of both.
pub fn for_nobody(ledgers: &Ledgers) -> f64 {
    let by_id: HashMap<u64, &Try> = ledgers.tries.iter().map(|t| (t.id, t)).collect();
    let (mut all, mut nobodys) = (0, 0);
    for a in ledgers.arrivals.iter().filter(|a| a.fate == Fate::Ran) {
        let Some(ended) = client_ended(&by_id, a.id) else {
            continue;
        };
        all += a.work;
        nobodys += if ended < a.whole { a.work } else { 0 };
    }
    if all > 0 {
        nobodys as f64 / all as f64
    } else {
        0.0
    }
}

/// When the try of the client that a request is made for was over, as the client saw it.
fn client_ended(by_id: &HashMap<u64, &Try>, id: u64) -> Option<Micros> {
    let mut at = *by_id.get(&id)?;
    // Chains are short; ids that lead in a circle, as no stand-in makes them, lead to nobody.
    for _ in 0..64 {
        match at.parent {
            None => return Some(at.ended),
            Some(parent) => at = *by_id.get(&parent)?,
        }
    }
    None
}
