//! The lease manager of one member: a candidate for each lease, and a voter if the member is one.

use crate::candidate::{Candidate, Context, EndReason, LeaseEvent};
use crate::message::{Body, Message, OutgoingMessage, Status};
use crate::token::{Token, count_at};
use crate::voter::{Reply, Voter};
use crate::voter_set::VoterSet;
use crate::voter_state::VoterState;
use crate::{LeaseId, LeaseTiming, MemberId, Millis};
use fastrand::Rng;
use heathroad_membership::version::Digest;
use std::collections::BTreeMap;

/// An action for the caller. Actions are carried out in order: a voter state must be on disk before
/// the messages that follow it are sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Output {
    /// Write the voter's state to disk, if the member has one.
    PersistState(VoterState),
    /// Send a message. A message to this member itself is passed to
    /// [`LeaseManager::handle_message`].
    Send(OutgoingMessage),
    /// A lease has changed at this member.
    Event(LeaseId, LeaseEvent),
    /// A voter has reported the status of a lease.
    Status(VoterStatus),
}

/// The status of a lease as reported by a voter.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct VoterStatus {
    /// The voter.
    pub voter: MemberId,
    /// The lease.
    pub lease: LeaseId,
    /// The reported status.
    pub status: Status,
}

/// The settings of a [`LeaseManager`].
#[derive(Debug, Clone)]
pub struct Settings {
    /// The id of this member.
    pub member_id: MemberId,
    /// The voters.
    pub voters: VoterSet,
    /// The durations of the protocol.
    pub timing: LeaseTiming,
    /// The leases that this member campaigns for.
    pub leases: Vec<LeaseId>,
    /// Seed of the random jitter.
    pub seed: u64,
}

/// Drives the candidates and the voter of one member.
#[derive(Clone)]
pub struct LeaseManager {
    member_id: MemberId,
    voters: VoterSet,
    timing: LeaseTiming,
    candidates: Vec<Candidate>,
    voter: Option<Voter>,
    /// The members known to be present. Includes this member if it may hold leases.
    present: Vec<MemberId>,
    ranks: BTreeMap<LeaseId, u16>,
    min_token_count: u64,
    rng: Rng,
    outputs: Vec<Output>,
}

/// Returns the members in order of preference as holders of a lease. The order is computed by
/// rendezvous hashing, which distributes leases over the members.
pub fn preference_order(lease: LeaseId, present: &[MemberId]) -> Vec<MemberId> {
    let weight = |member: &MemberId| {
        let [a, b] = member.to_be_bytes();
        let LeaseId([l0, l1, l2, l3]) = lease;
        Digest::of(&[l0, l1, l2, l3, a, b])
    };
    let mut order = present.to_vec();
    order.sort_by_cached_key(weight);
    order
}

impl LeaseManager {
    /// Creates the manager of a member at its start, with the voter state from disk and an estimate
    /// of the Unix time in milliseconds.
    pub fn new(now: Millis, unix_ms: u64, settings: Settings, state: VoterState) -> LeaseManager {
        let Settings {
            member_id,
            voters,
            timing,
            leases,
            seed,
        } = settings;
        let min_token_count = count_at(unix_ms);
        let is_voter = voters.is_voter(member_id);
        let voter =
            is_voter.then(|| Voter::new(now, min_token_count, timing, voters.generation(), state));
        let mut manager = LeaseManager {
            member_id,
            voters,
            timing,
            candidates: leases
                .into_iter()
                .map(|lease| Candidate::new(now, lease))
                .collect(),
            voter,
            present: Vec::new(),
            ranks: BTreeMap::new(),
            min_token_count,
            rng: Rng::with_seed(seed),
            outputs: Vec::new(),
        };
        manager.set_present_members(vec![member_id]);
        manager
    }

    /// Sets the present members. They include this member if it may hold leases.
    pub fn set_present_members(&mut self, present: Vec<MemberId>) {
        if present == self.present {
            return;
        }
        for candidate in &self.candidates {
            let order = preference_order(candidate.lease(), &present);
            let rank = order.iter().position(|member| *member == self.member_id);
            let rank = rank
                .and_then(|rank| u16::try_from(rank).ok())
                .unwrap_or(u16::MAX);
            self.ranks.insert(candidate.lease(), rank);
        }
        self.present = present;
    }

    /// Updates the estimate of the Unix time in milliseconds.
    pub fn set_unix_time(&mut self, unix_ms: u64) {
        self.min_token_count = count_at(unix_ms);
    }

    /// Returns the latest time at which [`LeaseManager::tick`] has to be called.
    pub fn next_due(&self) -> Millis {
        let due = |candidate: &Candidate| candidate.next_due(self.rank(candidate.lease()));
        self.candidates.iter().map(due).min().unwrap_or(Millis::MAX)
    }

    fn rank(&self, lease: LeaseId) -> u16 {
        self.ranks.get(&lease).copied().unwrap_or(u16::MAX)
    }

    /// Removes and returns the pending outputs.
    pub fn take_outputs(&mut self) -> std::vec::Drain<'_, Output> {
        self.outputs.drain(..)
    }

    /// Runs `operation` on the candidate of a lease and collects its outputs. Returns `None` if
    /// this member has no candidate for the lease.
    fn with_candidate<R>(
        &mut self,
        lease: LeaseId,
        operation: impl FnOnce(&mut Candidate, &mut Context<'_>) -> R,
    ) -> Option<R> {
        let rank = self.rank(lease);
        let mut candidates = self.candidates.iter_mut();
        let candidate = candidates.find(|candidate| candidate.lease() == lease)?;
        let mut outgoing = Vec::new();
        let mut context = Context {
            timing: self.timing,
            voters: &self.voters,
            member_id: self.member_id,
            min_token_count: self.min_token_count,
            rank,
            rng: &mut self.rng,
            outgoing: &mut outgoing,
        };
        let result = operation(candidate, &mut context);
        let events = candidate
            .take_events()
            .map(|event| Output::Event(lease, event));
        self.outputs.extend(events);
        self.outputs.extend(outgoing.into_iter().map(Output::Send));
        Some(result)
    }

    /// Runs the timers of all candidates that are due.
    pub fn tick(&mut self, now: Millis) {
        let leases: Vec<LeaseId> = self.candidates.iter().map(Candidate::lease).collect();
        for lease in leases {
            self.with_candidate(lease, |candidate, context| candidate.tick(now, context));
        }
    }

    /// Decodes and handles a message from an incarnation of a member. Malformed messages are
    /// ignored.
    pub fn handle_datagram(&mut self, now: Millis, from: MemberId, incarnation: u64, bytes: &[u8]) {
        if let Ok(message) = Message::decode(bytes) {
            self.handle_message(now, from, incarnation, message);
        }
    }

    /// Handles a message from an incarnation of a member.
    pub fn handle_message(
        &mut self,
        now: Millis,
        from: MemberId,
        incarnation: u64,
        message: Message,
    ) {
        let Message { lease, body } = message;
        match body {
            Body::GrantRequest(_)
            | Body::Resign { .. }
            | Body::StoreCheckpoint { .. }
            | Body::StatusRequest { .. } => {
                self.handle_voter_message(now, from, incarnation, lease, body);
            }
            Body::Granted(_)
            | Body::Rejected(_)
            | Body::Resigned { .. }
            | Body::CheckpointStored { .. }
            | Body::Handover
            | Body::Status(_) => self.handle_candidate_message(now, from, lease, body),
        }
    }

    fn handle_voter_message(
        &mut self,
        now: Millis,
        from: MemberId,
        incarnation: u64,
        lease: LeaseId,
        body: Body,
    ) {
        let Some(voter) = &mut self.voter else {
            return;
        };
        let reply = voter.handle_message(now, from, incarnation, lease, body);
        let Reply {
            body,
            is_state_changed,
        } = reply;
        if is_state_changed {
            self.outputs
                .push(Output::PersistState(voter.state().clone()));
        }
        if let Some(body) = body {
            let message = Message { lease, body };
            self.outputs
                .push(Output::Send(OutgoingMessage { to: from, message }));
        }
    }

    fn handle_candidate_message(
        &mut self,
        now: Millis,
        from: MemberId,
        lease: LeaseId,
        body: Body,
    ) {
        if let Body::Status(status) = body {
            self.outputs.push(Output::Status(VoterStatus {
                voter: from,
                lease,
                status,
            }));
        }
        self.with_candidate(lease, |candidate, context| {
            candidate.handle_message(now, from, body, context);
        });
    }

    /// Returns the token under which this member holds a lease. The holder checks it before each
    /// operation.
    pub fn held_token(&self, now: Millis, lease: LeaseId) -> Option<Token> {
        self.candidate(lease)?.hold(now).map(|(token, _)| token)
    }

    /// Returns this member's candidate for a lease.
    pub fn candidate(&self, lease: LeaseId) -> Option<&Candidate> {
        self.candidates
            .iter()
            .find(|candidate| candidate.lease() == lease)
    }

    /// Resigns a lease, backs off, and notifies the member that is preferred as the next holder.
    pub fn resign(&mut self, now: Millis, lease: LeaseId, reason: EndReason) {
        let order = preference_order(lease, &self.present);
        let successor = order.into_iter().find(|member| *member != self.member_id);
        self.with_candidate(lease, |candidate, context| {
            candidate.resign(now, reason, successor, context);
        });
    }

    /// Records a token that a server has seen. The next token that this member requests is higher.
    pub fn observe_token(&mut self, lease: LeaseId, token: Token) {
        self.with_candidate(lease, |candidate, _| candidate.observe_token(token));
    }

    /// Sends a checkpoint of the work under a lease to the voters. Returns its sequence number, or
    /// `None` if the lease is not held or the state is too long. [`LeaseEvent::CheckpointStored`]
    /// reports when a quorum has stored it.
    pub fn store_checkpoint(&mut self, now: Millis, lease: LeaseId, state: Vec<u8>) -> Option<u32> {
        self.with_candidate(lease, |candidate, context| {
            candidate.store_checkpoint(now, state, context)
        })?
    }

    /// Requests the status of a lease from all voters. Each answer results in an
    /// [`Output::Status`].
    pub fn request_status(&mut self, lease: LeaseId) {
        let body = Body::StatusRequest {
            round: self.rng.u32(..),
        };
        let message = Message { lease, body };
        let requests = self.voters.members().map(|to| {
            Output::Send(OutgoingMessage {
                to,
                message: message.clone(),
            })
        });
        self.outputs.extend(requests);
    }

    /// Returns the voter set.
    pub fn voters(&self) -> &VoterSet {
        &self.voters
    }

    /// Returns this member's voter, if this member is one.
    pub fn voter(&self) -> Option<&Voter> {
        self.voter.as_ref()
    }
}
