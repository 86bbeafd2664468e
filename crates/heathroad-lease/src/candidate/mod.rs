//! One lease as a member seeks and holds it.
//!
//! A candidate that is idle asks voters for the lease's status (`pre_vote`),
//! asks them for the lease once a quorum reports that it is free (`campaign`), and holds it once
//! a quorum has granted it (`held`). What it gives up it tells the voters (`releasing`). All
//! times of a hold are counted from before its grants were asked for. A holder asks
//! [`Candidate::hold`] before each act, which is how one that has stalled learns that its time is
//! over.

mod campaign;
mod event;
mod held;
mod pre_vote;
mod releasing;
mod voter_grants;

pub use event::{EndReason, LeaseEvent};

use crate::message::{Body, GrantRequest, Granted, Message, OutgoingMessage, RejectReason};
use crate::token::Token;
use crate::voter_set::VoterSet;
use crate::{LeaseId, LeaseTiming, MemberId, Millis};
use campaign::Campaign;
use fastrand::Rng;
use held::Held;
use pre_vote::PreVote;
use releasing::Releasing;
use std::collections::VecDeque;

/// Most requests whose sending time is remembered. An answer to an older one is ignored.
const MAX_REMEMBERED_REQUESTS: usize = 32;

/// Number of members, in order of rank, that seek a lease by themselves. Others only answer a
/// handover: a few that stand by are enough.
pub const STANDBY_MEMBERS: u16 = 3;

/// What a candidate needs to know of its surroundings, for each call.
pub struct Context<'a> {
    /// The durations of the protocol.
    pub timing: LeaseTiming,
    /// The voters.
    pub voters: &'a VoterSet,
    /// This member.
    pub own: MemberId,
    /// Lowest token count to ask for, see [`count_at`](crate::token::count_at).
    pub min_token_count: u64,
    /// This member's rank among those that are present. The member of rank 0 should hold the lease.
    pub rank: u16,
    /// Source of jitter.
    pub rng: &'a mut Rng,
    /// Messages to be sent.
    pub outgoing: &'a mut Vec<OutgoingMessage>,
}

impl Context<'_> {
    fn send(&mut self, lease: LeaseId, to: MemberId, body: Body) {
        let message = Message { lease, body };
        self.outgoing.push(OutgoingMessage { to, message });
    }

    fn send_to_voters(
        &mut self,
        lease: LeaseId,
        body: &Body,
        is_receiver: impl Fn(MemberId) -> bool,
    ) {
        let voters = self.voters;
        for voter in voters.members().filter(|voter| is_receiver(*voter)) {
            self.send(lease, voter, body.clone());
        }
    }
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum Phase {
    Idle,
    PreVote(PreVote),
    Campaign(Campaign),
    Held(Held),
}

/// When a request for grants was sent.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct SentRequest {
    round: u32,
    sent_at: Millis,
}

/// One lease as a member seeks and holds it.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Candidate {
    lease: LeaseId,
    phase: Phase,
    /// The highest token that is known.
    highest_token: Token,
    /// When the candidate seeks the lease next.
    next_attempt_at: Millis,
    /// The candidate does not seek the lease before, whichever members are present.
    backoff_until: Millis,
    /// Until then the lease may be free although voters report that it is held, because its holder
    /// is handing it over.
    handover_expected_until: Millis,
    /// The number of the last request.
    round: u32,
    sent_requests: VecDeque<SentRequest>,
    releasing: Option<Releasing>,
    last_rejection: Option<RejectReason>,
    events: VecDeque<LeaseEvent>,
}

impl Candidate {
    /// Creates the candidate for a lease at a member that starts now.
    pub fn new(now: Millis, lease: LeaseId) -> Candidate {
        Candidate {
            lease,
            phase: Phase::Idle,
            highest_token: Token::default(),
            next_attempt_at: now,
            backoff_until: now,
            handover_expected_until: now,
            round: 0,
            sent_requests: VecDeque::new(),
            releasing: None,
            last_rejection: None,
            events: VecDeque::new(),
        }
    }

    /// Returns the lease.
    pub fn lease(&self) -> LeaseId {
        self.lease
    }

    /// Returns the token by which this member holds the lease now, and when the hold expires.
    pub fn hold(&self, now: Millis) -> Option<(Token, Millis)> {
        match &self.phase {
            Phase::Held(held) if now < held.expires_at => Some((held.token, held.expires_at)),
            _ => None,
        }
    }

    /// Returns why voters last rejected a request, unless the lease was acquired since.
    pub fn last_rejection(&self) -> Option<RejectReason> {
        self.last_rejection
    }

    /// Removes and returns what has happened.
    pub fn take_events(&mut self) -> impl Iterator<Item = LeaseEvent> + '_ {
        self.events.drain(..)
    }

    /// Returns when [`Candidate::tick`] is to be called at the latest.
    pub fn next_due(&self, rank: u16) -> Millis {
        let phase_due = match &self.phase {
            Phase::Idle if rank < STANDBY_MEMBERS => self.next_attempt_at.max(self.backoff_until),
            Phase::Idle => Millis::MAX,
            Phase::PreVote(pre_vote) => pre_vote.deadline.min(pre_vote.retransmit_at),
            Phase::Campaign(campaign) => campaign.deadline.min(campaign.retransmit_at),
            Phase::Held(held) => held.next_deadline(),
        };
        let releasing = self.releasing.as_ref();
        let release_due = releasing.map_or(Millis::MAX, |releasing| releasing.retransmit_at);
        phase_due.min(release_due)
    }

    /// Does what is due.
    pub fn tick(&mut self, now: Millis, context: &mut Context<'_>) {
        self.expire_hold(now, context);
        self.continue_release(now, context);
        match &self.phase {
            Phase::Idle => {
                let is_due = now >= self.next_attempt_at && now >= self.backoff_until;
                if is_due && context.rank < STANDBY_MEMBERS {
                    self.start_pre_vote(now, context);
                }
            }
            Phase::PreVote(_) => self.tick_pre_vote(now, context),
            Phase::Campaign(_) => self.tick_campaign(now, context),
            Phase::Held(_) => self.tick_held(now, context),
        }
    }

    /// Handles the answer of a voter, or a handover from the holder.
    pub fn handle_message(
        &mut self,
        now: Millis,
        from: MemberId,
        body: Body,
        context: &mut Context<'_>,
    ) {
        self.expire_hold(now, context);
        match body {
            Body::Granted(granted) => self.handle_granted(now, from, granted, context),
            Body::Rejected(rejected) => self.handle_rejected(now, from, rejected, context),
            Body::Resigned { token } => self.handle_resigned(from, token),
            Body::CheckpointStored { token, sequence } => {
                self.handle_checkpoint_stored(from, token, sequence, context);
            }
            Body::Handover => self.handle_handover(now, context),
            Body::Status(status) => self.handle_status(now, from, status, context),
            // Voters handle these.
            Body::GrantRequest(_)
            | Body::Resign { .. }
            | Body::StoreCheckpoint { .. }
            | Body::StatusRequest { .. } => {}
        }
    }

    fn handle_granted(
        &mut self,
        now: Millis,
        from: MemberId,
        granted: Granted,
        context: &mut Context<'_>,
    ) {
        let Some(sent_at) = self.request_sent_at(granted.round) else {
            return;
        };
        if !context.voters.is_voter(from) {
            return;
        }
        let expires_at = sent_at + Millis::from(granted.duration_ms);
        match &self.phase {
            Phase::Campaign(campaign) if campaign.token == granted.token => {
                self.record_campaign_grant(now, from, expires_at, granted.checkpoint, context);
            }
            Phase::Held(held) if held.token == granted.token => {
                self.record_renewal(from, expires_at, granted.checkpoint.as_ref(), context);
            }
            _ => {}
        }
    }

    fn handle_handover(&mut self, now: Millis, context: &mut Context<'_>) {
        let is_idle = matches!(self.phase, Phase::Idle);
        if is_idle && now >= self.backoff_until {
            self.handover_expected_until = now + context.timing.quorum_timeout();
            self.start_pre_vote(now, context);
        }
    }

    /// Notes a token that was seen elsewhere. The candidate asks for a higher one next.
    pub fn observe_token(&mut self, token: Token) {
        self.highest_token = self.highest_token.max(token);
    }

    fn become_idle(&mut self, next_attempt_at: Millis) {
        self.phase = Phase::Idle;
        self.next_attempt_at = next_attempt_at;
    }

    fn next_round(&mut self) -> u32 {
        self.round = self.round.wrapping_add(1);
        self.round
    }

    fn request_sent_at(&self, round: u32) -> Option<Millis> {
        let mut requests = self.sent_requests.iter();
        requests
            .find(|request| request.round == round)
            .map(|request| request.sent_at)
    }

    fn request_grants(
        &mut self,
        now: Millis,
        token: Token,
        duration: Millis,
        is_receiver: impl Fn(MemberId) -> bool,
        context: &mut Context<'_>,
    ) {
        let round = self.next_round();
        if self.sent_requests.len() >= MAX_REMEMBERED_REQUESTS {
            self.sent_requests.pop_front();
        }
        self.sent_requests.push_back(SentRequest {
            round,
            sent_at: now,
        });
        let body = Body::GrantRequest(GrantRequest {
            token,
            round,
            duration_ms: u32::try_from(duration).unwrap_or(u32::MAX),
        });
        context.send_to_voters(self.lease, &body, is_receiver);
    }
}
