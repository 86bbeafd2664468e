//! Probes, indirect probes and rounds of gossip: what a member sends of its own accord.

use super::membership::Membership;
use crate::claim::{Claim, MemberState};
use crate::version::Digest;
use crate::wire::Message;
use crate::{MemberId, Millis};

/// The most versions that are asked for at a time.
const MAX_VERSION_REQUESTS: usize = 2;

impl Membership {
    pub(super) fn begin_probe(&mut self, now: Millis) {
        let Some(target) = self.detector.next_target(&self.members, &mut self.rng) else {
            return;
        };
        let nonce = self.rng.u32(..);
        self.detector.start_probe(now, target, nonce, &self.config);
        self.send(now, target, Message::Ping { nonce });
    }

    /// Asks others for an indirect probe when the target did not answer in time, and concludes at
    /// the end of the period.
    pub(super) fn continue_probe(&mut self, now: Millis) {
        let Some(target) = self.detector.probe().map(|probe| probe.target) else {
            return;
        };
        let can_be_suspected = self.can_be_suspected(target);
        if self.detector.take_indirect_probe_due(now) && can_be_suspected {
            self.request_indirect_probes(now);
        }
        if let Some(probe) = self.detector.take_ended_probe(now) {
            if probe.acknowledged {
                self.detector.health_mut().improve();
            } else if can_be_suspected {
                self.conclude_failed_probe(now, target, probe.helpers, probe.silent_helpers());
            }
        }
    }

    /// Whether a member is present in an incarnation that is known.
    fn can_be_suspected(&self, id: MemberId) -> bool {
        self.members
            .get(id)
            .is_some_and(|member| member.state.is_present() && member.revision.incarnation > 0)
    }

    fn request_indirect_probes(&mut self, now: Millis) {
        let Some(probe) = self.detector.probe() else {
            return;
        };
        let (target, nonce) = (probe.target, probe.nonce);
        let helpers = self.choose_present(self.config.indirect_probes, Some(target));
        for helper in helpers {
            self.send(now, helper, Message::PingRequest { nonce, target });
            self.detector.count_helper();
        }
    }

    /// As in Lifeguard, helpers that reported nothing at all are a sign that this member receives
    /// badly; where all of them reported that the target did not answer, the fault is the target's.
    fn conclude_failed_probe(&mut self, now: Millis, target: MemberId, helpers: u8, silent: u8) {
        let signs = if helpers == 0 { 1 } else { silent };
        self.detector.health_mut().worsen(signs);
        let no_helper_answered = helpers > 0 && silent == helpers;
        if !self.detector.is_isolated() && !no_helper_answered {
            self.suspect(now, target);
        }
    }

    fn suspect(&mut self, now: Millis, member: MemberId) {
        let claim = self.members.claim(member);
        if let Some(claim) = claim.filter(|claim| !claim.state.is_final()) {
            self.apply_claim(
                now,
                Claim {
                    state: MemberState::Suspect,
                    source: self.id,
                    ..claim
                },
            );
        }
    }

    /// Tells the members that asked for an indirect probe that its target did not answer.
    pub(super) fn report_unanswered_probes(&mut self, now: Millis) {
        for probe in self.detector.take_unanswered(now) {
            let nonce = probe.requester_nonce;
            self.send(now, probe.requester, Message::Nack { nonce });
        }
    }

    /// Sends updates to some random members, and asks for versions that are known by their digests
    /// alone.
    pub(super) fn send_gossip(&mut self, now: Millis) {
        let recipients = self.choose_present(self.config.gossip_fanout, None);
        if recipients.is_empty() {
            return self.probe_anyone(now);
        }
        for recipient in recipients {
            self.send(now, recipient, Message::Gossip);
        }
        self.request_unknown_versions(now);
    }

    /// Probes a random member where none is known to be present.
    fn probe_anyone(&mut self, now: Millis) {
        let others = self.detector.others();
        if others.is_empty() {
            return;
        }
        let to = others[self.rng.usize(0..others.len())];
        let nonce = self.rng.u32(..);
        self.send(now, to, Message::Ping { nonce });
    }

    /// Asks for versions that are known by their digests alone. That is done in quiet times too,
    /// since an answer may have been lost.
    pub(super) fn request_unknown_versions(&mut self, now: Millis) {
        let mut unknown = self.agreement.unknown_versions(self.id, &self.members);
        // One random member that runs a version is asked, so that not all ask the same one.
        self.rng.shuffle(&mut unknown);
        unknown.sort_by_key(|(digest, _)| *digest);
        unknown.dedup_by_key(|(digest, _)| *digest);
        self.rng.shuffle(&mut unknown);
        unknown.truncate(MAX_VERSION_REQUESTS);
        for (digest, member) in unknown {
            self.request_version(now, member, digest);
        }
    }

    fn request_version(&mut self, now: Millis, member: MemberId, digest: Digest) {
        self.send(now, member, Message::VersionRequest { member, digest });
    }

    /// Chooses some random present members.
    pub(super) fn choose_present(
        &mut self,
        count: usize,
        except: Option<MemberId>,
    ) -> Vec<MemberId> {
        let mut candidates: Vec<MemberId> = self
            .members
            .present()
            .filter(|id| *id != self.id && Some(*id) != except)
            .collect();
        let count = count.min(candidates.len());
        for at in 0..count {
            let other = self.rng.usize(at..candidates.len());
            candidates.swap(at, other);
        }
        candidates.truncate(count);
        candidates
    }
}
