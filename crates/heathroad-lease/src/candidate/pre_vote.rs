//! The pre-vote: a candidate requests the status of the lease from voters before it campaigns.
//!
//! A campaign that fails may still obtain grants from a minority of voters, which the next holder
//! then lacks. A status request has no such effect (Raft's pre-vote, Ongaro 2014, section 9.6).

use super::{Candidate, Context, Phase};
use crate::message::{Body, RejectReason, Status};
use crate::{MemberId, Millis};

/// A pre-vote in progress.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct PreVote {
    round: u32,
    pub(super) deadline: Millis,
    pub(super) retransmit_at: Millis,
    /// Voters that reported the lease as free.
    reported_free_by: Vec<MemberId>,
    /// Voters that reported the lease as not free.
    reported_unavailable_by: Vec<MemberId>,
}

impl PreVote {
    fn has_answered(&self, voter: MemberId) -> bool {
        self.reported_free_by.contains(&voter) || self.reported_unavailable_by.contains(&voter)
    }

    fn record_answer(&mut self, voter: MemberId, is_free: bool) {
        let voters = if is_free {
            &mut self.reported_free_by
        } else {
            &mut self.reported_unavailable_by
        };
        if !voters.contains(&voter) {
            voters.push(voter);
        }
    }
}

impl Candidate {
    pub(super) fn start_pre_vote(&mut self, now: Millis, context: &mut Context<'_>) {
        let round = self.next_round();
        self.phase = Phase::PreVote(PreVote {
            round,
            deadline: now + context.timing.quorum_timeout(),
            retransmit_at: now + context.timing.retransmit_interval(),
            reported_free_by: Vec::new(),
            reported_unavailable_by: Vec::new(),
        });
        context.send_to_voters(self.lease, &Body::StatusRequest { round }, |_| true);
    }

    pub(super) fn tick_pre_vote(&mut self, now: Millis, context: &mut Context<'_>) {
        let Phase::PreVote(pre_vote) = &mut self.phase else {
            return;
        };
        if now >= pre_vote.deadline {
            self.retry_without_quorum(now, context);
            return;
        }
        if now < pre_vote.retransmit_at {
            return;
        }
        pre_vote.retransmit_at = now + context.timing.retransmit_interval();
        let body = Body::StatusRequest {
            round: pre_vote.round,
        };
        context.send_to_voters(self.lease, &body, |voter| !pre_vote.has_answered(voter));
    }

    pub(super) fn handle_status(
        &mut self,
        now: Millis,
        from: MemberId,
        status: Status,
        context: &mut Context<'_>,
    ) {
        self.observe_token(status.highest_token);
        let Phase::PreVote(pre_vote) = &mut self.phase else {
            return;
        };
        if pre_vote.round != status.round {
            return;
        }
        pre_vote.record_answer(from, status.reason.is_none());
        if context
            .voters
            .is_quorum(|voter| pre_vote.reported_free_by.contains(&voter))
        {
            self.start_campaign(now, context);
            return;
        }
        let may_succeed = context
            .voters
            .is_quorum(|voter| !pre_vote.reported_unavailable_by.contains(&voter));
        if let Some(reason) = status.reason
            && !may_succeed
        {
            self.retry_after_rejection(now, status.remaining_ms.into(), reason, context);
        }
    }

    /// Schedules the next attempt after no quorum answered in time.
    pub(super) fn retry_without_quorum(&mut self, now: Millis, context: &mut Context<'_>) {
        let slot = context.timing.quorum_timeout();
        let jitter = context.rng.u64(0..=slot);
        self.become_idle(now + jitter + slot * u64::from(context.rank));
    }

    /// Schedules the next attempt after voters rejected this one.
    pub(super) fn retry_after_rejection(
        &mut self,
        now: Millis,
        remaining: Millis,
        reason: RejectReason,
        context: &mut Context<'_>,
    ) {
        self.last_rejection = Some(reason);
        let slot = context.timing.quorum_timeout();
        let rank_delay = slot * u64::from(context.rank) / 2;
        let next_attempt_at = match reason {
            // The delay keeps token counts from growing faster than the clock, see `Token`.
            RejectReason::TokenTooLow => {
                now + slot / 4 + context.rng.u64(0..=slot / 4) + rank_delay
            }
            // The last holder has resigned, but its message has not reached the voters yet.
            RejectReason::Held if now < self.handover_expected_until => {
                now + context.timing.retransmit_interval() / 4
            }
            _ => now + remaining + context.rng.u64(0..=slot / 4) + rank_delay,
        };
        self.become_idle(next_attempt_at);
    }
}
