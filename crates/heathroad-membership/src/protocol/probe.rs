//! Datagrams that a member initiates: probes, requests for indirect probes, gossip, and requests
//! for versions.

use super::membership::Membership;
use crate::claim::{Claim, MemberState};
use crate::version::Digest;
use crate::wire::Message;
use crate::{MemberId, Millis};

/// The maximum number of versions requested at a time.
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

    /// Requests indirect probes when the ack timeout expires, and evaluates the probe at the end of
    /// its period.
    pub(super) fn advance_probe(&mut self, now: Millis) {
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
                self.handle_failed_probe(now, target, probe.helpers, probe.missed_nacks());
            }
        }
    }

    /// Whether a member is present and its incarnation is known.
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

    /// Suspects the target of a failed probe, unless this member may be at fault. As in Lifeguard,
    /// missed nacks are a sign that this member itself fails to receive datagrams.
    fn handle_failed_probe(
        &mut self,
        now: Millis,
        target: MemberId,
        helpers: u8,
        missed_nacks: u8,
    ) {
        let penalty = if helpers == 0 { 1 } else { missed_nacks };
        self.detector.health_mut().worsen(penalty);
        let no_helper_replied = helpers > 0 && missed_nacks == helpers;
        if !self.detector.is_isolated() && !no_helper_replied {
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

    /// Sends a nack for each indirect probe that has timed out.
    pub(super) fn send_due_nacks(&mut self, now: Millis) {
        for probe in self.detector.take_timed_out_indirect_probes(now) {
            let nonce = probe.requester_nonce;
            self.send(now, probe.requester, Message::Nack { nonce });
        }
    }

    /// Sends updates to random present members, and requests unknown versions.
    pub(super) fn send_gossip(&mut self, now: Millis) {
        let recipients = self.choose_present(self.config.gossip_fanout, None);
        if recipients.is_empty() {
            return self.probe_random_member(now);
        }
        for recipient in recipients {
            self.send(now, recipient, Message::Gossip);
        }
        self.request_unknown_versions(now);
    }

    /// Probes a random member, whatever its state.
    fn probe_random_member(&mut self, now: Millis) {
        let others = self.detector.others();
        if others.is_empty() {
            return;
        }
        let to = others[self.rng.usize(0..others.len())];
        let nonce = self.rng.u32(..);
        self.send(now, to, Message::Ping { nonce });
    }

    /// Requests versions of which only the digest is known. Repeated in every probe period, since
    /// requests and replies can be lost.
    pub(super) fn request_unknown_versions(&mut self, now: Millis) {
        let mut unknown = self.agreement.unknown_versions(self.id, &self.members);
        // Selects a random member for each version, to spread the requests over the members that
        // run it.
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

    /// Chooses up to `count` random present members other than this one and `except`.
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
        for index in 0..count {
            let other = self.rng.usize(index..candidates.len());
            candidates.swap(index, other);
        }
        candidates.truncate(count);
        candidates
    }
}
