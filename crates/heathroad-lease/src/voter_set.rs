//! The set of voters and its quorums.

use crate::MemberId;
use std::collections::BTreeSet;
use thiserror::Error;

/// A set of voters under a generation number.
///
/// During a change of the set, a quorum needs a majority of both the current and the previous set.
/// Quorums of consecutive generations therefore intersect.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VoterSet {
    generation: u8,
    current: Vec<MemberId>,
    previous: Vec<MemberId>,
}

/// Why a voter set is invalid.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[non_exhaustive]
pub enum VoterSetError {
    /// The number of voters is not three, five or seven.
    #[error("{0} voters; expected 3, 5 or 7")]
    WrongSize(usize),
    /// A voter is listed twice.
    #[error("member {0} is listed twice")]
    Duplicate(MemberId),
    /// A voter is not a member of the cluster.
    #[error("member {0} is not among the fleet's peers")]
    UnknownMember(MemberId),
    /// The first generation has previous voters.
    #[error("generation 0 cannot have previous voters")]
    PreviousOfFirstGeneration,
}

fn check_voters(voters: &[MemberId], member_count: u16) -> Result<(), VoterSetError> {
    if !matches!(voters.len(), 3 | 5 | 7) {
        return Err(VoterSetError::WrongSize(voters.len()));
    }
    let mut seen = BTreeSet::new();
    for voter in voters {
        if *voter >= member_count {
            return Err(VoterSetError::UnknownMember(*voter));
        }
        if !seen.insert(*voter) {
            return Err(VoterSetError::Duplicate(*voter));
        }
    }
    Ok(())
}

impl VoterSet {
    /// Creates the voter set of a cluster with `member_count` members. `previous` is empty unless
    /// the set is being changed.
    pub fn new(
        generation: u8,
        current: Vec<MemberId>,
        previous: Vec<MemberId>,
        member_count: u16,
    ) -> Result<VoterSet, VoterSetError> {
        check_voters(&current, member_count)?;
        if !previous.is_empty() {
            check_voters(&previous, member_count)?;
            if generation == 0 {
                return Err(VoterSetError::PreviousOfFirstGeneration);
            }
        }
        Ok(VoterSet {
            generation,
            current,
            previous,
        })
    }

    /// Returns the generation. A voter that has seen a higher generation rejects requests from
    /// members that use this set.
    pub fn generation(&self) -> u8 {
        self.generation
    }

    /// Returns the voters of the current and the previous set, without duplicates.
    pub fn members(&self) -> impl Iterator<Item = MemberId> {
        let previous_only = self
            .previous
            .iter()
            .filter(|voter| !self.current.contains(voter));
        self.current.iter().chain(previous_only).copied()
    }

    /// Returns whether a member is a voter.
    pub fn is_voter(&self, member: MemberId) -> bool {
        self.members().any(|voter| voter == member)
    }

    /// Returns the highest value that every voter of some quorum reaches. `value_of` returns the
    /// value of a voter, if it has one.
    pub fn value_reached_by_quorum<T: Ord + Copy>(
        &self,
        value_of: impl Fn(MemberId) -> Option<T>,
    ) -> Option<T> {
        let value_reached_by_majority = |voters: &Vec<MemberId>| {
            let mut values: Vec<T> = voters.iter().filter_map(|voter| value_of(*voter)).collect();
            values.sort_unstable();
            let majority = voters.len() / 2 + 1;
            // In ascending order, a majority has at least the value at this index.
            values
                .len()
                .checked_sub(majority)
                .map(|index| values[index])
        };
        // `None` is less than any value, so the result is `None` if either set lacks a majority.
        [&self.current, &self.previous]
            .into_iter()
            .filter(|voters| !voters.is_empty())
            .map(value_reached_by_majority)
            .min()
            .flatten()
    }

    /// Returns whether the voters for which `is_included` returns true form a quorum.
    pub fn is_quorum(&self, is_included: impl Fn(MemberId) -> bool) -> bool {
        self.value_reached_by_quorum(|voter| is_included(voter).then_some(()))
            .is_some()
    }
}
