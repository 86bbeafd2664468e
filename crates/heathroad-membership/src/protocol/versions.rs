//! The interface of [`Membership`] for versions: the active, desired and required ones.

use super::dissemination::Subject;
use super::event::Event;
use super::membership::Membership;
use crate::desired_version::{Desired, DesiredVersion, RequiredVersion, RequiredVersions};
use crate::member_table::ActiveVersion;
use crate::version::{Digest, Version};
use crate::wire::Message;
use crate::{MemberId, Millis};

impl Membership {
    /// Sets the version that this member runs, and disseminates it.
    pub fn set_active_version(&mut self, version: Version) {
        let version = version.bounded();
        let digest = version.digest();
        let active = self.active_version();
        if active.is_some_and(|active| active.digest == digest) {
            return;
        }
        let active = ActiveVersion {
            incarnation: self.revision.incarnation,
            sequence: active.map_or(1, |active| active.sequence + 1),
            digest,
        };
        self.members.update_active_version(self.id, active);
        self.agreement.store(version, &self.members);
        self.dissemination.spread(Subject::ActiveVersion(self.id));
    }

    pub(super) fn active_version(&self) -> Option<ActiveVersion> {
        self.members.get(self.id)?.active_version
    }

    /// Disseminates that this member has committed a generation, and optionally that all members
    /// are required to run it within a time.
    pub fn propose_version(
        &mut self,
        now: Millis,
        generation: u64,
        digest: Digest,
        required_within: Option<Millis>,
    ) {
        self.merge_desired(Desired::Version(DesiredVersion {
            generation,
            digest,
            origin: self.id,
        }));
        if let Some(within) = required_within {
            self.merge_required(RequiredVersion {
                generation,
                digest,
                deadline: now.saturating_add(within),
            });
        }
    }

    pub(super) fn merge_required(&mut self, required: RequiredVersion) {
        if self.agreement.merge_required(required) {
            self.dissemination.spread(Subject::DesiredVersion);
            self.events.push(Event::VersionRequired {
                generation: required.generation,
            });
        }
    }

    pub(super) fn merge_desired(&mut self, desired: Desired) {
        if !self.agreement.merge_desired(desired) {
            return;
        }
        self.dissemination.spread(Subject::DesiredVersion);
        match self.agreement.desired() {
            Desired::Version(desired) => self.events.push(Event::DesiredVersionChanged {
                generation: desired.generation,
                digest: desired.digest,
            }),
            Desired::Conflict(conflict) => self.events.push(Event::VersionConflict {
                generation: conflict.generation,
                digests: conflict.digests,
            }),
            Desired::Unset => {}
        }
    }

    /// Chooses a random alive member from which the routes with this digest can be fetched.
    pub fn choose_routes_source(&mut self, routes: Digest) -> Option<MemberId> {
        let mut sources = self.agreement.members_running(routes, &self.members);
        sources.retain(|id| *id != self.id);
        if sources.is_empty() {
            return None;
        }
        Some(sources[self.rng.usize(0..sources.len())])
    }

    /// Returns the start of the latest acknowledged probe. Acks carry the desired version and the
    /// requirements known to the replying member, except in reply to an outdated incarnation.
    pub fn last_confirmed(&self) -> Option<Millis> {
        self.agreement.last_confirmed()
    }

    /// Probes a random member in addition to the periodic probes, to advance
    /// [`Membership::last_confirmed`].
    pub fn request_confirmation(&mut self, now: Millis) {
        let timeout = self.config.ack_timeout;
        if self.agreement.awaits_confirmation(now, timeout) {
            return;
        }
        let Some(to) = self.choose_present(1, None).pop() else {
            return;
        };
        let nonce = self.rng.u32(..);
        self.agreement.begin_confirmation(now, nonce);
        self.send(now, to, Message::Ping { nonce });
    }

    /// Returns the version that all members should run.
    pub fn desired(&self) -> Desired {
        self.agreement.desired()
    }

    /// Returns the known requirements.
    pub fn required(&self) -> &RequiredVersions {
        self.agreement.required()
    }

    /// Returns the highest generation that any member is known to run or to have committed.
    pub fn highest_generation(&self) -> u64 {
        self.agreement.highest_generation()
    }

    /// Returns the version with this digest, if it is known in full.
    pub fn known_version(&self, digest: Digest) -> Option<&Version> {
        self.agreement.known(digest)
    }
}
