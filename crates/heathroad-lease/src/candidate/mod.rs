//! The candidate: acquires, renews and releases one lease for a member.
//!
//! An idle candidate asks voters for the lease's status (`pre_vote`), requests the lease once a
//! quorum reports it as free (`campaign`), and holds it once a quorum has granted it (`held`). It
//! notifies the voters of grants that it gives up (`releasing`). The expiry of a grant is computed
//! from the time its request was sent. The caller checks [`Candidate::hold`] before each operation,
//! so that a holder that has stalled notices that its lease has expired.

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

/// Number of requests whose send time is kept. Answers to older requests are ignored.
const MAX_REMEMBERED_REQUESTS: usize = 32;

/// Number of members, in order of rank, that campaign for a free lease. Members ranked after them
/// only respond to a handover, which bounds the number of messages in a large cluster.
pub const STANDBY_MEMBERS: u16 = 3;

/// The environment of a candidate, passed to each call.
pub struct Context<'a> {
    /// The durations of the protocol.
    pub timing: LeaseTiming,
    /// The voters.
    pub voters: &'a VoterSet,
    /// The id of this member.
    pub member_id: MemberId,
    /// Lowest token count to request, see [`count_at`](crate::token::count_at).
    pub min_token_count: u64,
    /// This member's rank among the present members. The member of rank 0 is preferred as holder.
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

/// The candidate for one lease at one member.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Candidate {
    lease: LeaseId,
    phase: Phase,
    /// The highest token seen.
    highest_token: Token,
    /// When the next pre-vote starts.
    next_attempt_at: Millis,
    /// No pre-vote starts before this time, whichever members are present.
    backoff_until: Millis,
    /// Until this time the lease may be free although voters report it as held, because its holder
    /// is handing it over.
    handover_expected_until: Millis,
    /// The round number of the last request.
    round: u32,
    sent_requests: VecDeque<SentRequest>,
    releasing: Option<Releasing>,
    last_rejection: Option<RejectReason>,
    events: VecDeque<LeaseEvent>,
}

impl Candidate {
    /// Creates an idle candidate for a lease.
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

    /// Returns the token under which this member holds the lease, and when the hold expires.
    pub fn hold(&self, now: Millis) -> Option<(Token, Millis)> {
        match &self.phase {
            Phase::Held(held) if now < held.expires_at => Some((held.token, held.expires_at)),
            _ => None,
        }
    }

    /// Returns why voters last rejected a request, unless the lease has been acquired since.
    pub fn last_rejection(&self) -> Option<RejectReason> {
        self.last_rejection
    }

    /// Removes and returns the pending events.
    pub fn take_events(&mut self) -> impl Iterator<Item = LeaseEvent> + '_ {
        self.events.drain(..)
    }

    /// Returns the latest time at which [`Candidate::tick`] has to be called.
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

    /// Runs the timers that are due: expiry, retransmissions, renewals and new attempts.
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
            // Requests are handled by the voter.
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

    /// Records a token that was seen elsewhere. The next request uses a higher one.
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
