//! Version agreement: which version all members should run, which versions are known in full, and
//! until when this member is sure that it knows of all requirements.

use crate::claim::MemberState;
use crate::desired_version::{Desired, RequiredVersion, RequiredVersions};
use crate::member_table::{Member, MemberTable};
use crate::version::{Digest, Version};
use crate::{MemberId, Millis};
use std::collections::{BTreeMap, VecDeque};

/// The most versions that are known in full; each takes some 200 bytes.
const MAX_KNOWN_VERSIONS: usize = 512;
/// The most confirmations that are waited for.
const MAX_PENDING_CONFIRMATIONS: usize = 8;

/// A probe that was sent to confirm that this member is in contact with the others.
#[derive(Debug, Clone, Copy)]
struct PendingConfirmation {
    nonce: u32,
    begun: Millis,
}

/// What this member knows of versions.
#[derive(Debug, Clone, Default)]
pub(super) struct VersionAgreement {
    known: BTreeMap<Digest, Version>,
    desired: Desired,
    required: RequiredVersions,
    /// When the latest probe began that was answered.
    confirmed: Option<Millis>,
    pending_confirmations: VecDeque<PendingConfirmation>,
}

impl VersionAgreement {
    pub(super) fn desired(&self) -> Desired {
        self.desired
    }

    /// Takes what another member knows to be desired, and returns whether it changes anything.
    pub(super) fn merge_desired(&mut self, desired: Desired) -> bool {
        self.desired.merge(desired)
    }

    pub(super) fn required(&self) -> &RequiredVersions {
        &self.required
    }

    /// Takes a requirement, and returns whether it changes anything.
    pub(super) fn merge_required(&mut self, required: RequiredVersion) -> bool {
        self.required.merge(required)
    }

    /// Returns the highest generation that any member is known to have committed or to run.
    pub(super) fn highest_generation(&self) -> u64 {
        let highest_known = self.known.values().map(|version| version.generation).max();
        highest_known.unwrap_or(0).max(self.desired.generation())
    }

    pub(super) fn known(&self, digest: Digest) -> Option<&Version> {
        self.known.get(&digest)
    }

    /// Stores a version in full. Where there is no room, the versions go that no member runs.
    pub(super) fn store(&mut self, version: Version, members: &MemberTable) {
        if self.known.len() >= MAX_KNOWN_VERSIONS {
            let active: Vec<Digest> = members.active_digests().collect();
            self.known.retain(|digest, _| active.contains(digest));
        }
        if self.known.len() < MAX_KNOWN_VERSIONS {
            self.known.insert(version.digest(), version);
        }
    }

    /// Returns the members that are alive and run routes with this digest.
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

    /// Returns the versions that members are known to run by their digests alone.
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

    pub(super) fn confirmed(&self) -> Option<Millis> {
        self.confirmed
    }

    /// Records that a probe was answered that began at this time.
    pub(super) fn record_confirmation(&mut self, begun: Millis) {
        self.confirmed = self.confirmed.max(Some(begun));
    }

    /// Whether a probe for a confirmation began less than the timeout ago.
    pub(super) fn awaits_confirmation(&self, now: Millis, timeout: Millis) -> bool {
        let last = self.pending_confirmations.back();
        last.is_some_and(|pending| now.saturating_sub(pending.begun) < timeout)
    }

    pub(super) fn begin_confirmation(&mut self, now: Millis, nonce: u32) {
        if self.pending_confirmations.len() >= MAX_PENDING_CONFIRMATIONS {
            self.pending_confirmations.pop_front();
        }
        let pending = PendingConfirmation { nonce, begun: now };
        self.pending_confirmations.push_back(pending);
    }

    /// Takes the answer to a probe, which may be one for a confirmation.
    pub(super) fn acknowledge(&mut self, nonce: u32) {
        let position = self
            .pending_confirmations
            .iter()
            .position(|pending| pending.nonce == nonce);
        let pending = position.and_then(|at| self.pending_confirmations.remove(at));
        if let Some(pending) = pending {
            self.record_confirmation(pending.begun);
        }
    }
}

#[cfg(test)]
#[path = "tests/version_agreement.rs"]
mod tests;
