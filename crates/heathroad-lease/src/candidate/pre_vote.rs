//! The pre-vote: a candidate asks voters for the status of the lease before it asks for the lease.
//!
//! A status request takes no voter away from the present holder. A grant by a minority would
//! (Raft's pre-vote, Ongaro 2014, section 9.6).

use super::{Candidate, Context, Phase};
use crate::message::{Body, RejectReason, Status};
use crate::{MemberId, Millis};

/// A pre-vote that is under way.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct PreVote {
    round: u32,
    pub(super) deadline: Millis,
    pub(super) retransmit_at: Millis,
    /// Voters at which the lease is free.
    free_at: Vec<MemberId>,
    /// Voters at which it is not.
    withheld_at: Vec<MemberId>,
}

impl PreVote {
    fn has_answer_of(&self, voter: MemberId) -> bool {
        self.free_at.contains(&voter) || self.withheld_at.contains(&voter)
    }

    fn record_answer(&mut self, voter: MemberId, is_free: bool) {
        let voters = if is_free {
            &mut self.free_at
        } else {
            &mut self.withheld_at
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
            free_at: Vec::new(),
            withheld_at: Vec::new(),
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
        context.send_to_voters(self.lease, &body, |voter| !pre_vote.has_answer_of(voter));
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
            .is_quorum(|voter| pre_vote.free_at.contains(&voter))
        {
            self.start_campaign(now, context);
            return;
        }
        let may_succeed = context
            .voters
            .is_quorum(|voter| !pre_vote.withheld_at.contains(&voter));
        if let Some(reason) = status.reason
            && !may_succeed
        {
            self.retry_after_rejection(now, status.remaining_ms.into(), reason, context);
        }
    }

    /// Schedules the next attempt after a quorum has not answered in time.
    pub(super) fn retry_without_quorum(&mut self, now: Millis, context: &mut Context<'_>) {
        let slot = context.timing.quorum_timeout();
        let jitter = context.rng.u64(0..=slot);
        self.become_idle(now + jitter + slot * u64::from(context.rank));
    }

    /// Schedules the next attempt after voters have rejected this one.
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
            // Counts must not grow faster than time passes, see `Token`.
            RejectReason::TokenTooLow => {
                now + slot / 4 + context.rng.u64(0..=slot / 4) + rank_delay
            }
            // The last holder has handed the lease over, but voters have not heard of it yet.
            RejectReason::Held if now < self.handover_expected_until => {
                now + context.timing.retransmit_interval() / 4
            }
            _ => now + remaining + context.rng.u64(0..=slot / 4) + rank_delay,
        };
        self.become_idle(next_attempt_at);
    }
}
