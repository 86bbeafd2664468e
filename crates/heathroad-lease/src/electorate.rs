//! Who votes, and what a quorum is.

use heathroad_membership::MemberId;
use std::collections::BTreeSet;
use std::fmt;

/// The voters under one number. While the set is changed, a quorum is a majority of the old and one
/// of the new: quorums of neighbouring generations have a voter in common.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Electorate {
    generation: u8,
    voters: Vec<MemberId>,
    previous: Vec<MemberId>,
}

/// Why a set of voters can't be.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Unfit {
    /// Not three, five or seven.
    Count(usize),
    /// One is named twice.
    Twice(MemberId),
    /// One is no member of the fleet.
    Stranger(MemberId),
    /// The first generation follows none.
    First,
}

impl fmt::Display for Unfit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Unfit::Count(n) => write!(f, "{n} voters; expected 3, 5 or 7"),
            Unfit::Twice(place) => write!(f, "{place} is named twice"),
            Unfit::Stranger(place) => write!(f, "{place} is not among the fleet's peers"),
            Unfit::First => write!(f, "generation 0 has no previous voters"),
        }
    }
}

impl std::error::Error for Unfit {}

fn check(voters: &[MemberId], members: u16) -> Result<(), Unfit> {
    if !matches!(voters.len(), 3 | 5 | 7) {
        return Err(Unfit::Count(voters.len()));
    }
    let mut seen = BTreeSet::new();
    for place in voters {
        if *place >= members {
            return Err(Unfit::Stranger(*place));
        }
        if !seen.insert(*place) {
            return Err(Unfit::Twice(*place));
        }
    }
    Ok(())
}

impl Electorate {
    /// Of a fleet of `members`; `previous` is empty once no proxy goes by the generation before any
    /// more.
    pub fn new(
        generation: u8,
        voters: Vec<MemberId>,
        previous: Vec<MemberId>,
        members: u16,
    ) -> Result<Electorate, Unfit> {
        check(&voters, members)?;
        if !previous.is_empty() {
            check(&previous, members)?;
            if generation == 0 {
                return Err(Unfit::First);
            }
        }
        Ok(Electorate {
            generation,
            voters,
            previous,
        })
    }

    /// Its number. A proxy that goes by a lower one is refused by each voter that has heard of this
    /// one.
    pub fn generation(&self) -> u8 {
        self.generation
    }

    /// All who are asked, each once.
    pub fn all(&self) -> impl Iterator<Item = MemberId> {
        let further = self.previous.iter().filter(|p| !self.voters.contains(p));
        self.voters.iter().chain(further).copied()
    }

    /// Whether a member votes.
    pub fn votes(&self, place: MemberId) -> bool {
        self.all().any(|p| p == place)
    }

    /// The highest value that a quorum reaches, where each voter has one or none.
    pub fn reached<T: Ord + Copy>(&self, of: impl Fn(MemberId) -> Option<T>) -> Option<T> {
        let sets = [&self.voters, &self.previous]
            .into_iter()
            .filter(|s| !s.is_empty());
        let reached = |set: &Vec<MemberId>| {
            let mut values: Vec<T> = set.iter().filter_map(|p| of(*p)).collect();
            values.sort_unstable();
            // A majority of the set has at least the value that so many from the top have.
            values
                .len()
                .checked_sub(set.len() / 2 + 1)
                .map(|at| values[at])
        };
        // None is less than any value: a set without a majority has no quorum.
        sets.map(reached).min().flatten()
    }

    /// Whether these are a quorum.
    pub fn quorum(&self, is: impl Fn(MemberId) -> bool) -> bool {
        self.reached(|p| is(p).then_some(())).is_some()
    }
}
