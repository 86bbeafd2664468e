//! What the fleet wants: the highest generation of routes that was committed at any member. Two texts under one number are a
//! conflict that has a name and is settled by a higher number alone: who knows of it tells neither on.

use crate::version::Digest;
use crate::{Millis, Place};
use serde::Serialize;

/// A generation that all are to act on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct Want {
    /// The generation's number.
    pub number: u64,
    /// The digest of its text.
    pub digest: Digest,
    /// Where it was committed first.
    pub by: Place,
    /// From when on nobody is to act on another, by this proxy's clock.
    pub required: Option<Millis>,
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
pub enum Wanted {
    /// Nothing was ever committed.
    #[default]
    Nothing,
    /// This.
    One(Want),
    /// Nobody can say which.
    Both(Conflict),
}

/// A deadline that is sooner by less is no news: it has lain in some message for so long.
const NEAR: Millis = 200;

impl Wanted {
    /// The highest number that is known.
    pub fn number(&self) -> u64 {
        match self {
            Wanted::Nothing => 0,
            Wanted::One(w) => w.number,
            Wanted::Both(c) => c.number,
        }
    }

    /// Takes another's word; whether it is news.
    pub fn merge(&mut self, other: Wanted) -> bool {
        if other.number() != self.number() {
            let higher = other.number() > self.number();
            if higher {
                *self = other;
            }
            return higher;
        }
        let (mut digests, was): (Vec<Digest>, _) = (self.digests().chain(other.digests()).collect(), *self);
        digests.sort_unstable();
        digests.dedup();
        match (self, &digests[..]) {
            (Wanted::One(mine), [_]) => {
                let Wanted::One(theirs) = other else { return false };
                let Some(theirs) = theirs.required else { return false };
                let news = mine.required.is_none_or(|mine| theirs.saturating_add(NEAR) < mine);
                mine.required = Some(mine.required.map_or(theirs, |mine| mine.min(theirs)));
                news
            }
            (mine, [one, another, ..]) => {
                *mine = Wanted::Both(Conflict { number: mine.number(), digests: [*one, *another] });
                *mine != was
            }
            _ => false,
        }
    }

    fn digests(&self) -> impl Iterator<Item = Digest> + use<> {
        let digests = match self {
            Wanted::Nothing => [None, None],
            Wanted::One(w) => [Some(w.digest), None],
            Wanted::Both(c) => c.digests.map(Some),
        };
        digests.into_iter().flatten()
    }
}
