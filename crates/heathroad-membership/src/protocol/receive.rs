//! Handling of incoming datagrams: verification, merging of updates, and replies to messages.

use super::dissemination::Subject;
use super::event::Event;
use super::failure_detector::IndirectProbe;
use super::fetch::ReceivedPart;
use super::membership::Membership;
use super::resource_server::ResourceRequest;
use super::transport::{Channel, Endpoint};
use crate::claim::{Claim, MemberState, Revision};
use crate::codec::Reader;
use crate::desired_version::{Desired, DesiredVersion, RequiredVersion, VersionConflict};
use crate::member_table::ActiveVersion;
use crate::version::{Digest, Version};
use crate::wire::{self, Header, Message, Update};
use crate::{Incarnation, MemberId, Millis};

impl Membership {
    pub(super) fn receive_datagram(&mut self, now: Millis, datagram: &[u8]) {
        let Some((header, mut content)) = self.transport.verify(datagram) else {
            return;
        };
        let sender = self.members.get(header.sender);
        let known_incarnation = sender.map(|member| member.revision.incarnation);
        let is_for_us = header.recipient == self.id && header.sender != self.id;
        let Some(known_incarnation) = known_incarnation.filter(|_| is_for_us) else {
            self.transport.traffic_mut().dropped.misaddressed += 1;
            return;
        };
        self.receive_from_member(now, &header, known_incarnation, &mut content);
    }

    fn receive_from_member(
        &mut self,
        now: Millis,
        header: &Header,
        known_incarnation: Incarnation,
        content: &mut Reader<'_>,
    ) {
        let Ok((message, updates)) = wire::decode_content(content) else {
            self.transport.traffic_mut().dropped.malformed += 1;
            return;
        };
        let own_incarnation = self.revision.incarnation;
        if header.recipient_incarnation > own_incarnation {
            // The fleet knows a later incarnation of this member, because its clock was set back
            // between restarts.
            self.transport.traffic_mut().dropped.stale += 1;
            return self.reincarnate(now, header.recipient_incarnation);
        }
        if header.recipient_incarnation < own_incarnation
            || header.sender_incarnation < known_incarnation
        {
            return self.handle_unconfirmed(now, header, known_incarnation, message);
        }
        if self.accept(now, header, known_incarnation) {
            self.process(now, header, message, updates);
        }
    }

    /// Checks the sequence number of a datagram, and records that its sender is alive.
    fn accept(&mut self, now: Millis, header: &Header, known_incarnation: Incarnation) -> bool {
        let Some(member) = self.members.get_mut(header.sender) else {
            return false;
        };
        let window = &mut member.replay_window;
        if !window.accept(header.sender_incarnation, header.sequence) {
            self.transport.traffic_mut().dropped.replayed += 1;
            return false;
        }
        member.last_heard = Some(now);
        member.supported_protocols = header.supported_protocols;
        self.transport.traffic_mut().received += 1;
        if self.detector.record_heard(now) {
            self.events.push(Event::Reconnected);
        }
        if header.sender_incarnation > known_incarnation {
            let claim = Claim {
                member: header.sender,
                state: MemberState::Alive,
                revision: Revision {
                    incarnation: header.sender_incarnation,
                    refutations: 0,
                },
                source: header.sender,
            };
            self.apply_claim(now, claim);
        }
        true
    }

    fn process(&mut self, now: Millis, header: &Header, message: Message, updates: Vec<Update>) {
        match message {
            Message::Part { id, length, part } => {
                let received = ReceivedPart {
                    source: header.sender,
                    id,
                    length,
                    part,
                    updates,
                };
                if self.fetches.receive(now, received) {
                    self.advance_fetches(now);
                }
            }
            Message::Piggyback => {
                self.piggyback
                    .receive(header.sender, header.sender_incarnation, updates);
            }
            message => {
                for update in updates {
                    self.merge_update(now, update);
                }
                self.handle_message(now, header.sender, message);
            }
        }
    }

    /// Handles a datagram that names an outdated incarnation of its sender or of this member. Its
    /// updates are ignored, since it may be a replay, but the reply names the current
    /// incarnations.
    fn handle_unconfirmed(
        &mut self,
        now: Millis,
        header: &Header,
        known_incarnation: Incarnation,
        message: Message,
    ) {
        if header.recipient_incarnation != 0 {
            self.transport.traffic_mut().dropped.stale += 1;
        }
        if let Message::Ping { nonce } = message {
            let incarnation = known_incarnation.max(header.sender_incarnation);
            self.send_without_updates(now, header.sender, incarnation, Message::Ack { nonce });
        }
        if header.sender_incarnation > known_incarnation && self.try_challenge(now, header.sender) {
            let nonce = self.rng.u32(..);
            let incarnation = header.sender_incarnation;
            self.send_without_updates(now, header.sender, incarnation, Message::Ping { nonce });
        }
    }

    /// Returns whether a member that names an unconfirmed incarnation may be probed now, at most
    /// once per probe period.
    fn try_challenge(&mut self, now: Millis, id: MemberId) -> bool {
        let period = self.config.probe_period;
        let Some(member) = self.members.get_mut(id) else {
            return false;
        };
        let is_due = member
            .last_challenged
            .is_none_or(|at| now.saturating_sub(at) >= period);
        if is_due {
            member.last_challenged = Some(now);
        }
        is_due
    }

    /// Sends a message without updates to an unconfirmed incarnation of a member.
    fn send_without_updates(
        &mut self,
        now: Millis,
        to: MemberId,
        incarnation: Incarnation,
        message: Message,
    ) {
        let recipient = Endpoint {
            incarnation,
            ..self.endpoint(to)
        };
        self.send_updates(now, Channel::Membership, recipient, message, &[]);
    }

    fn merge_update(&mut self, now: Millis, update: Update) {
        match update {
            Update::Claim(claim) if claim.member == self.id => {
                self.handle_own_claim(now, claim);
            }
            Update::Claim(claim) => self.apply_claim(now, claim),
            Update::ActiveVersion {
                member,
                incarnation,
                sequence,
                digest,
            } => {
                let active = ActiveVersion {
                    incarnation,
                    sequence,
                    digest,
                };
                self.merge_active_version(member, active);
            }
            Update::Version(version) => self.store_version(version),
            Update::DesiredVersion {
                generation,
                digest,
                origin,
            } => self.merge_desired(Desired::Version(DesiredVersion {
                generation,
                digest,
                origin,
            })),
            Update::RequiredVersion {
                generation,
                digest,
                remaining_ms,
            } => self.merge_required(RequiredVersion {
                generation,
                digest,
                deadline: now + u64::from(remaining_ms),
            }),
            Update::VersionConflict {
                generation,
                digests,
            } => {
                if digests[0] != digests[1] {
                    self.merge_desired(Desired::Conflict(VersionConflict {
                        generation,
                        digests,
                    }));
                }
            }
            // Bytes belong to parts of resources and to piggybacked messages, which are handled
            // before.
            Update::Bytes(_) => {}
        }
    }

    fn merge_active_version(&mut self, member: MemberId, active: ActiveVersion) {
        if member != self.id && self.members.update_active_version(member, active) {
            self.dissemination.spread(Subject::ActiveVersion(member));
            self.events.push(Event::ActiveVersionChanged {
                member,
                digest: active.digest,
            });
        }
    }

    /// Stores a version if some member runs it.
    fn store_version(&mut self, version: Version) {
        if self.members.is_active(version.digest()) {
            self.agreement.store(version, &self.members);
        }
    }

    fn handle_message(&mut self, now: Millis, from: MemberId, message: Message) {
        match message {
            Message::Ping { nonce } => self.send(now, from, Message::Ack { nonce }),
            Message::Ack { nonce } => self.receive_ack(now, from, nonce),
            Message::Nack { nonce } => self.detector.record_nack(nonce),
            Message::PingRequest { nonce, target } => {
                self.start_indirect_probe(now, from, nonce, target);
            }
            Message::VersionRequest { member, digest } if member == self.id => {
                self.send_version(now, from, digest);
            }
            Message::PartRequest {
                id,
                resource,
                key,
                part,
            } => {
                let request = ResourceRequest {
                    from,
                    id,
                    resource,
                    key,
                };
                if let Some(reply) = self.resources.receive(request, part) {
                    self.send_part(now, from, reply);
                }
            }
            Message::VersionRequest { .. }
            | Message::Gossip
            | Message::VersionReply
            | Message::Piggyback
            | Message::Part { .. } => {}
        }
    }

    fn receive_ack(&mut self, now: Millis, from: MemberId, nonce: u32) {
        self.agreement.acknowledge(nonce);
        if let Some(started_at) = self.detector.acknowledge(nonce) {
            self.agreement.record_confirmation(started_at);
        }
        if let Some(probe) = self.detector.acknowledge_indirect(nonce, from) {
            let nonce = probe.requester_nonce;
            self.send(now, probe.requester, Message::Ack { nonce });
        }
    }

    /// Probes a member on behalf of another one.
    fn start_indirect_probe(
        &mut self,
        now: Millis,
        requester: MemberId,
        nonce: u32,
        target: MemberId,
    ) {
        let is_other = target != self.id && target < self.members.size();
        if !is_other || !self.detector.has_room_for_indirect_probe() {
            return;
        }
        let own_nonce = self.rng.u32(..);
        self.detector.start_indirect_probe(IndirectProbe {
            requester,
            requester_nonce: nonce,
            target,
            nonce: own_nonce,
            nack_at: now + self.config.ack_timeout,
        });
        self.send(now, target, Message::Ping { nonce: own_nonce });
    }

    fn send_version(&mut self, now: Millis, to: MemberId, digest: Digest) {
        let Some(version) = self.agreement.known(digest).cloned() else {
            return;
        };
        let recipient = self.endpoint(to);
        let updates = [Update::Version(version)];
        let message = Message::VersionReply;
        self.send_updates(now, Channel::Membership, recipient, message, &updates);
    }
}
