//! What the fleet wants: the highest generation of routes that was committed at any member. Two
//! texts under one number are a conflict that has a name and is settled by a higher number alone:
//! who knows of it tells neither on.

use crate::version::Digest;
use crate::{MemberId, Millis};
use serde::Serialize;

/// A generation that all are to act on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct DesiredVersion {
    /// The generation's number.
    #[serde(rename = "number")]
    pub generation: u64,
    /// The digest of its text.
    pub digest: Digest,
    /// Where it was committed first.
    pub by: MemberId,
}

/// From a time on nobody is to act on a generation below this one. It holds also once a higher one
/// is wanted, which need not be required of anybody.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct Required {
    /// The generation's number.
    pub number: u64,
    /// The digest of its text: whoever acts on that, under whatever number, does what is required.
    pub digest: Digest,
    /// From when on, by this proxy's clock.
    pub at: Millis,
}

/// All that is required, as far as is known: the later a time, the higher its number.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
#[serde(transparent)]
pub struct Requirements(Vec<Required>);

/// Most requirements that are kept; the lowest go first.
pub const MAX_REQUIRED: usize = 3;

impl Requirements {
    /// The lowest first.
    pub fn all(&self) -> &[Required] {
        &self.0
    }

    /// Takes a word on what is required; whether it is news.
    pub fn merge(&mut self, word: Required) -> bool {
        // What a higher one asks for sooner says nothing beside it; one that has lain in some
        // message is told as a little later.
        let covers = |r: &Required| r.number >= word.number && r.at <= word.at.saturating_add(NEAR);
        if self.0.iter().any(covers) {
            for r in self.0.iter_mut().filter(|r| r.number == word.number) {
                r.at = r.at.min(word.at);
            }
            return false;
        }
        self.0
            .retain(|r| r.number > word.number || r.at < word.at && r.number < word.number);
        self.0.push(word);
        self.0.sort_by_key(|r| r.number);
        if self.0.len() > MAX_REQUIRED {
            self.0.remove(0);
        }
        true
    }
}

/// Two texts under one number, the lower digest first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct Conflict {
    /// The number.
    pub number: u64,
    /// The digests.
    pub digests: [Digest; 2],
}

/// What is wanted, as far as is known.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case", tag = "is")]
pub enum Desired {
    /// Nothing was ever committed.
    #[default]
    #[serde(rename = "nothing")]
    Unset,
    /// This.
    #[serde(rename = "one")]
    Version(DesiredVersion),
    /// Nobody can say which.
    #[serde(rename = "both")]
    Conflict(Conflict),
}

/// A deadline that is sooner by less, in milliseconds, is no news: it has lain in some message for
/// so long.
const NEAR: Millis = 200;

impl Desired {
    /// The highest number that is known.
    pub fn number(&self) -> u64 {
        match self {
            Desired::Unset => 0,
            Desired::Version(w) => w.generation,
            Desired::Conflict(c) => c.number,
        }
    }

    /// Takes another's word; whether it is news.
    pub fn merge(&mut self, other: Desired) -> bool {
        if other.number() != self.number() {
            let higher = other.number() > self.number();
            if higher {
                *self = other;
            }
            return higher;
        }
        let (mut digests, was): (Vec<Digest>, _) =
            (self.digests().chain(other.digests()).collect(), *self);
        digests.sort_unstable();
        digests.dedup();
        match (self, &digests[..]) {
            (mine, [one, another, ..]) => {
                *mine = Desired::Conflict(Conflict {
                    number: mine.number(),
                    digests: [*one, *another],
                });
                *mine != was
            }
            _ => false,
        }
    }

    fn digests(&self) -> impl Iterator<Item = Digest> + use<> {
        let digests = match self {
            Desired::Unset => [None, None],
            Desired::Version(w) => [Some(w.digest), None],
            Desired::Conflict(c) => c.digests.map(Some),
        };
        digests.into_iter().flatten()
    }
}
