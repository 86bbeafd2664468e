//! The version that all members should run: the highest generation of routes that any member has
//! committed, and the deadlines by which generations are required. Two different sets of routes
//! with the same generation are a conflict, which only a higher generation resolves.

use crate::version::Digest;
use crate::{MemberId, Millis};
use serde::Serialize;

/// The maximum number of requirements; those for the lowest generations are dropped first.
pub const MAX_REQUIRED: usize = 3;
/// A deadline that is earlier by at most this is not treated as a change. Deadlines travel as
/// remaining time, from which the network delay is not deducted.
const DEADLINE_TOLERANCE: Millis = 200;

/// A generation of routes that all members should run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct DesiredVersion {
    /// The generation.
    #[serde(rename = "number")]
    pub generation: u64,
    /// The digest of its routes.
    pub digest: Digest,
    /// The member that committed it first.
    #[serde(rename = "by")]
    pub origin: MemberId,
}

/// A deadline after which no member may run a lower generation. It stays in effect when a higher
/// generation becomes desired without being required.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct RequiredVersion {
    /// The generation.
    #[serde(rename = "number")]
    pub generation: u64,
    /// The digest of its routes. A member that runs routes with this digest complies, whatever
    /// their generation.
    pub digest: Digest,
    /// The deadline on this member's clock.
    #[serde(rename = "at")]
    pub deadline: Millis,
}

/// The known requirements. A later deadline always belongs to a higher generation.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
#[serde(transparent)]
pub struct RequiredVersions(Vec<RequiredVersion>);

impl RequiredVersions {
    /// Returns the requirements, lowest generation first.
    pub fn as_slice(&self) -> &[RequiredVersion] {
        &self.0
    }

    /// Merges a requirement, and returns whether that changes the effective requirements.
    pub fn merge(&mut self, new: RequiredVersion) -> bool {
        // A requirement for the same or a higher generation with no later deadline covers this one.
        let latest_covering = new.deadline.saturating_add(DEADLINE_TOLERANCE);
        let is_covered = self
            .0
            .iter()
            .any(|known| known.generation >= new.generation && known.deadline <= latest_covering);
        if is_covered {
            let same_generation = self
                .0
                .iter_mut()
                .filter(|known| known.generation == new.generation);
            same_generation.for_each(|known| known.deadline = known.deadline.min(new.deadline));
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

/// Two different sets of routes with the same generation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct VersionConflict {
    /// The generation.
    #[serde(rename = "number")]
    pub generation: u64,
    /// The digests of the routes, the lower one first.
    pub digests: [Digest; 2],
}

/// The version that all members should run, as far as this member knows.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
#[serde(tag = "is")]
pub enum Desired {
    /// No member is known to have committed a generation.
    #[default]
    #[serde(rename = "nothing")]
    Unset,
    /// The highest generation has one set of routes.
    #[serde(rename = "one")]
    Version(DesiredVersion),
    /// The highest generation has different sets of routes.
    #[serde(rename = "both")]
    Conflict(VersionConflict),
}

impl Desired {
    /// Returns the highest known generation, or 0 if there is none.
    pub fn generation(&self) -> u64 {
        match self {
            Desired::Unset => 0,
            Desired::Version(version) => version.generation,
            Desired::Conflict(conflict) => conflict.generation,
        }
    }

    /// Merges the desired version known to another member, and returns whether that changes this
    /// one.
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
        let is_changed = *self != conflict;
        *self = conflict;
        is_changed
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
