//! Version agreement: the desired version, the required versions, the versions known in full, and
//! the time of the latest confirmed contact with another member.

use crate::claim::MemberState;
use crate::desired_version::{Desired, RequiredVersion, RequiredVersions};
use crate::member_table::{Member, MemberTable};
use crate::version::{Digest, Version};
use crate::{MemberId, Millis};
use std::collections::{BTreeMap, VecDeque};

/// The maximum number of versions known in full; each takes about 200 bytes.
const MAX_KNOWN_VERSIONS: usize = 512;
/// The maximum number of pending confirmations; the oldest are dropped first.
const MAX_PENDING_CONFIRMATIONS: usize = 8;

/// A probe that was sent to confirm contact with the fleet.
#[derive(Debug, Clone, Copy)]
struct PendingConfirmation {
    nonce: u32,
    started_at: Millis,
}

/// The versions known to this member.
#[derive(Debug, Clone, Default)]
pub(super) struct VersionAgreement {
    known: BTreeMap<Digest, Version>,
    desired: Desired,
    required: RequiredVersions,
    /// The start of the latest acknowledged probe.
    last_confirmed: Option<Millis>,
    pending_confirmations: VecDeque<PendingConfirmation>,
}

impl VersionAgreement {
    pub(super) fn desired(&self) -> Desired {
        self.desired
    }

    /// Merges the desired version known to another member, and returns whether that changes this
    /// one.
    pub(super) fn merge_desired(&mut self, desired: Desired) -> bool {
        self.desired.merge(desired)
    }

    pub(super) fn required(&self) -> &RequiredVersions {
        &self.required
    }

    /// Merges a requirement, and returns whether that changes the effective requirements.
    pub(super) fn merge_required(&mut self, required: RequiredVersion) -> bool {
        self.required.merge(required)
    }

    /// Returns the highest generation that any member is known to run or to have committed.
    pub(super) fn highest_generation(&self) -> u64 {
        let highest_known = self.known.values().map(|version| version.generation).max();
        highest_known.unwrap_or(0).max(self.desired.generation())
    }

    pub(super) fn known(&self, digest: Digest) -> Option<&Version> {
        self.known.get(&digest)
    }

    /// Stores a version in full. If the limit is reached, versions that no member runs are
    /// discarded.
    pub(super) fn store(&mut self, version: Version, members: &MemberTable) {
        if self.known.len() >= MAX_KNOWN_VERSIONS {
            let active: Vec<Digest> = members.active_digests().collect();
            self.known.retain(|digest, _| active.contains(digest));
        }
        if self.known.len() < MAX_KNOWN_VERSIONS {
            self.known.insert(version.digest(), version);
        }
    }

    /// Returns the alive members that run routes with this digest.
    pub(super) fn members_running(&self, routes: Digest, members: &MemberTable) -> Vec<MemberId> {
        let runs_routes = |member: &Member| {
            let version = member
                .active_version
                .and_then(|active| self.known(active.digest));
            version.is_some_and(|version| version.routes == routes)
        };
        members
            .iter()
            .filter(|(_, member)| member.state == MemberState::Alive && runs_routes(member))
            .map(|(id, _)| id)
            .collect()
    }

    /// Returns the versions that other alive members run and of which only the digest is known,
    /// each with a member that runs it.
    pub(super) fn unknown_versions(
        &self,
        own: MemberId,
        members: &MemberTable,
    ) -> Vec<(Digest, MemberId)> {
        members
            .iter()
            .filter(|(id, member)| *id != own && member.state == MemberState::Alive)
            .filter_map(|(id, member)| Some((member.active_version?.digest, id)))
            .filter(|(digest, _)| self.known(*digest).is_none())
            .collect()
    }

    pub(super) fn last_confirmed(&self) -> Option<Millis> {
        self.last_confirmed
    }

    /// Records that a probe started at this time was acknowledged.
    pub(super) fn record_confirmation(&mut self, started_at: Millis) {
        self.last_confirmed = self.last_confirmed.max(Some(started_at));
    }

    /// Whether the latest probe for a confirmation was started less than `timeout` ago.
    pub(super) fn awaits_confirmation(&self, now: Millis, timeout: Millis) -> bool {
        let last = self.pending_confirmations.back();
        last.is_some_and(|pending| now.saturating_sub(pending.started_at) < timeout)
    }

    pub(super) fn begin_confirmation(&mut self, now: Millis, nonce: u32) {
        if self.pending_confirmations.len() >= MAX_PENDING_CONFIRMATIONS {
            self.pending_confirmations.pop_front();
        }
        let pending = PendingConfirmation {
            nonce,
            started_at: now,
        };
        self.pending_confirmations.push_back(pending);
    }

    /// Handles an ack, which may belong to a probe for a confirmation.
    pub(super) fn acknowledge(&mut self, nonce: u32) {
        let position = self
            .pending_confirmations
            .iter()
            .position(|pending| pending.nonce == nonce);
        let pending = position.and_then(|index| self.pending_confirmations.remove(index));
        if let Some(pending) = pending {
            self.record_confirmation(pending.started_at);
        }
    }
}

#[cfg(test)]
#[path = "tests/version_agreement.rs"]
mod tests;
