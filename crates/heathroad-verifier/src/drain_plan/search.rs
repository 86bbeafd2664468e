//! The search for batches of units.

use super::Batch;
use super::needs::Need;
use std::cmp::Reverse;

/// The maximum number of attempts to add a unit to a batch before the search gives up.
const MAX_ATTEMPTS: usize = 50_000;

/// The outcome of the search for a number of batches.
pub(super) enum Outcome {
    /// The units fit into these batches.
    Found(Vec<Batch>),
    /// The units do not fit into that many batches.
    Impossible,
    /// The search exceeded its maximum number of attempts.
    GaveUp,
}

/// The error of a search that exceeds [`MAX_ATTEMPTS`].
struct TooManyAttempts;

pub(super) struct Search<'a> {
    needs: &'a [Need],
    units: &'a [Batch],
    /// For each unit, the indices of the needs that its nodes affect.
    needs_by_unit: Vec<Vec<usize>>,
    max_batch_size: usize,
    attempts: usize,
}

impl<'a> Search<'a> {
    pub(super) fn new(needs: &'a [Need], units: &'a [Batch], max_batch_size: usize) -> Self {
        let affected_needs = |unit: &Batch| {
            let is_affected =
                |need: &Need| need.nodes.iter().any(|node| unit.contains(&node.address));
            (0..needs.len())
                .filter(|index| is_affected(&needs[*index]))
                .collect()
        };
        Search {
            needs,
            units,
            needs_by_unit: units.iter().map(affected_needs).collect(),
            max_batch_size,
            attempts: 0,
        }
    }

    /// Adds a unit to a batch if all needs that it affects are still met.
    fn try_add(&mut self, unit: usize, batch: &mut Batch) -> bool {
        let nodes = &self.units[unit];
        if batch.len() + nodes.len() > self.max_batch_size {
            return false;
        }
        self.attempts += 1;
        batch.extend(nodes);
        let mut needs = self.needs_by_unit[unit]
            .iter()
            .map(|index| &self.needs[*index]);
        let is_possible = needs.all(|need| need.is_met(batch));
        if !is_possible {
            batch.retain(|address| !nodes.contains(address));
        }
        is_possible
    }

    /// Puts each unit into the first batch that it fits into. Units that affect the most needs
    /// come first.
    pub(super) fn first_fit(&mut self) -> Vec<Batch> {
        let mut order: Vec<usize> = (0..self.units.len()).collect();
        order.sort_by_key(|unit| {
            Reverse((self.needs_by_unit[*unit].len(), self.units[*unit].len()))
        });
        let mut batches: Vec<Batch> = Vec::new();
        for unit in order {
            if !batches.iter_mut().any(|batch| self.try_add(unit, batch)) {
                batches.push(self.units[unit].clone());
            }
        }
        batches
    }

    /// Searches for a given number of batches.
    pub(super) fn find_batches(&mut self, count: usize) -> Outcome {
        let mut batches = vec![Batch::new(); count];
        self.attempts = 0;
        match self.place_from(0, &mut batches) {
            Ok(true) => Outcome::Found(batches),
            Ok(false) => Outcome::Impossible,
            Err(TooManyAttempts) => Outcome::GaveUp,
        }
    }

    /// Places all units from index `unit` on. Returns whether that is possible.
    fn place_from(&mut self, unit: usize, batches: &mut [Batch]) -> Result<bool, TooManyAttempts> {
        if unit == self.units.len() {
            return Ok(true);
        }
        for index in 0..batches.len() {
            // Empty batches are interchangeable, so only the first is tried.
            if index > 0 && batches[index].is_empty() && batches[index - 1].is_empty() {
                break;
            }
            if self.attempts > MAX_ATTEMPTS {
                return Err(TooManyAttempts);
            }
            if self.try_add(unit, &mut batches[index]) {
                if self.place_from(unit + 1, batches)? {
                    return Ok(true);
                }
                let nodes = &self.units[unit];
                batches[index].retain(|address| !nodes.contains(address));
            }
        }
        Ok(false)
    }
}
