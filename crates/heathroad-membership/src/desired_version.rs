//! What all members should run: the highest generation of routes that was committed at any member,
//! and from when on it is required. Two texts under one generation are a conflict, which only a
//! higher generation settles.

use crate::version::Digest;
use crate::{MemberId, Millis};
use serde::Serialize;

/// The most requirements that are kept; the lowest generations go first.
pub const MAX_REQUIRED: usize = 3;
/// A deadline that is earlier by no more than this is not a change, since the time that a message
/// waited is not deducted from it.
const DEADLINE_TOLERANCE: Millis = 200;

/// A generation of routes that all members should run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct DesiredVersion {
    /// The number of the generation.
    #[serde(rename = "number")]
    pub generation: u64,
    /// The digest of its text.
    pub digest: Digest,
    /// The member at which it was committed first.
    #[serde(rename = "by")]
    pub origin: MemberId,
}

/// A deadline after which no member may run a lower generation. It holds also once a higher
/// generation is desired that is not required itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct RequiredVersion {
    /// The number of the generation.
    #[serde(rename = "number")]
    pub generation: u64,
    /// The digest of its text. A member that runs this text complies, under whatever generation.
    pub digest: Digest,
    /// The deadline, by this member's clock.
    #[serde(rename = "at")]
    pub deadline: Millis,
}

/// All known requirements: the later a deadline, the higher its generation.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
#[serde(transparent)]
pub struct RequiredVersions(Vec<RequiredVersion>);

impl RequiredVersions {
    /// Returns the requirements, the lowest generation first.
    pub fn as_slice(&self) -> &[RequiredVersion] {
        &self.0
    }

    /// Takes a requirement, and returns whether it changes anything.
    pub fn merge(&mut self, new: RequiredVersion) -> bool {
        // A requirement says nothing beside one of a higher generation with an earlier deadline.
        let latest = new.deadline.saturating_add(DEADLINE_TOLERANCE);
        let is_covered = self
            .0
            .iter()
            .any(|known| known.generation >= new.generation && known.deadline <= latest);
        if is_covered {
            let same = self
                .0
                .iter_mut()
                .filter(|known| known.generation == new.generation);
            same.for_each(|known| known.deadline = known.deadline.min(new.deadline));
            return false;
        }
        self.0.retain(|known| {
            known.generation > new.generation
                || known.deadline < new.deadline && known.generation < new.generation
        });
        self.0.push(new);
        self.0.sort_by_key(|known| known.generation);
        if self.0.len() > MAX_REQUIRED {
            self.0.remove(0);
        }
        true
    }
}

/// Two texts under one generation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct VersionConflict {
    /// The number of the generation.
    #[serde(rename = "number")]
    pub generation: u64,
    /// The digests of the texts, the lower one first.
    pub digests: [Digest; 2],
}

/// What all members should run, as far as is known.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
#[serde(tag = "is")]
pub enum Desired {
    /// Nothing was ever committed.
    #[default]
    #[serde(rename = "nothing")]
    Unset,
    /// One text is known for the highest generation.
    #[serde(rename = "one")]
    Version(DesiredVersion),
    /// Several texts are known for the highest generation.
    #[serde(rename = "both")]
    Conflict(VersionConflict),
}

impl Desired {
    /// Returns the highest generation that is known, and 0 if there is none.
    pub fn generation(&self) -> u64 {
        match self {
            Desired::Unset => 0,
            Desired::Version(version) => version.generation,
            Desired::Conflict(conflict) => conflict.generation,
        }
    }

    /// Takes what another member knows, and returns whether it changes anything.
    pub fn merge(&mut self, other: Desired) -> bool {
        if other.generation() != self.generation() {
            let is_higher = other.generation() > self.generation();
            if is_higher {
                *self = other;
            }
            return is_higher;
        }
        let mut digests: Vec<Digest> = self.digests().chain(other.digests()).collect();
        digests.sort_unstable();
        digests.dedup();
        let [lowest, second, ..] = digests[..] else {
            return false;
        };
        let conflict = Desired::Conflict(VersionConflict {
            generation: self.generation(),
            digests: [lowest, second],
        });
        let is_new = *self != conflict;
        *self = conflict;
        is_new
    }

    fn digests(&self) -> impl Iterator<Item = Digest> + use<> {
        let digests = match self {
            Desired::Unset => [None, None],
            Desired::Version(version) => [Some(version.digest), None],
            Desired::Conflict(conflict) => conflict.digests.map(Some),
        };
        digests.into_iter().flatten()
    }
}
