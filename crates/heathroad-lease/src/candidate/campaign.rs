//! The campaign: a candidate requests the lease from all voters under a new token.

use super::held::Held;
use super::voter_grants::VoterGrants;
use super::{Candidate, Context, LeaseEvent, Phase};
use crate::checkpoint::Checkpoint;
use crate::message::{RejectReason, Rejected};
use crate::token::Token;
use crate::{MemberId, Millis};
use std::collections::BTreeSet;

/// A campaign in progress.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct Campaign {
    pub(super) token: Token,
    pub(super) deadline: Millis,
    pub(super) retransmit_at: Millis,
    grants: VoterGrants,
    rejected_by: BTreeSet<MemberId>,
    /// The latest checkpoint received with a grant.
    checkpoint: Option<Checkpoint>,
}

impl Campaign {
    fn keep_latest_checkpoint(&mut self, checkpoint: Option<Checkpoint>) {
        let position =
            |checkpoint: &Option<Checkpoint>| checkpoint.as_ref().map(Checkpoint::position);
        if position(&checkpoint) > position(&self.checkpoint) {
            self.checkpoint = checkpoint;
        }
    }
}

impl Candidate {
    pub(super) fn start_campaign(&mut self, now: Millis, context: &mut Context<'_>) {
        let generation = context.voters.generation();
        let token =
            self.highest_token
                .successor(context.min_token_count, generation, context.member_id);
        let Some(token) = token else {
            // No token is left to request: the counts are exhausted, or a later voter set is in
            // use.
            self.become_idle(now + context.timing.resign_backoff());
            return;
        };
        self.phase = Phase::Campaign(Campaign {
            token,
            deadline: now + context.timing.quorum_timeout(),
            retransmit_at: now + context.timing.retransmit_interval(),
            grants: VoterGrants::default(),
            rejected_by: BTreeSet::new(),
            checkpoint: None,
        });
        let duration = context.timing.first_grant_duration();
        self.request_grants(now, token, duration, |_| true, context);
    }

    pub(super) fn tick_campaign(&mut self, now: Millis, context: &mut Context<'_>) {
        let Phase::Campaign(campaign) = &mut self.phase else {
            return;
        };
        let token = campaign.token;
        if now >= campaign.deadline {
            // At most a minority has granted the lease: release its grants for other candidates.
            self.retry_without_quorum(now, context);
            self.start_release(now, token, None, context);
            return;
        }
        if now < campaign.retransmit_at {
            return;
        }
        campaign.retransmit_at = now + context.timing.retransmit_interval();
        let grants = campaign.grants.clone();
        let duration = context.timing.first_grant_duration();
        self.request_grants(
            now,
            token,
            duration,
            |voter| !grants.contains(voter),
            context,
        );
    }

    /// Records a grant of the campaign's token. The candidate becomes the holder once a quorum has
    /// granted the lease.
    pub(super) fn record_campaign_grant(
        &mut self,
        now: Millis,
        from: MemberId,
        expires_at: Millis,
        checkpoint: Option<Checkpoint>,
        context: &mut Context<'_>,
    ) {
        let Phase::Campaign(campaign) = &mut self.phase else {
            return;
        };
        campaign.grants.record(from, expires_at);
        campaign.keep_latest_checkpoint(checkpoint);
        let quorum_expiry = campaign.grants.quorum_expiry(context.voters);
        let Some(expires_at) = quorum_expiry.filter(|expires_at| now < *expires_at) else {
            return;
        };
        let token = campaign.token;
        let grants = std::mem::take(&mut campaign.grants);
        let checkpoint = campaign.checkpoint.take();
        self.observe_token(token);
        self.last_rejection = None;
        self.events.push_back(LeaseEvent::Acquired {
            token,
            checkpoint: checkpoint.clone(),
        });
        self.phase = Phase::Held(Held::new(now, token, grants, expires_at, checkpoint));
        // The first grants are short, so they are renewed immediately.
        self.tick(now, context);
    }

    pub(super) fn handle_rejected(
        &mut self,
        now: Millis,
        from: MemberId,
        rejected: Rejected,
        context: &mut Context<'_>,
    ) {
        if self.request_sent_at(rejected.round).is_none() {
            return;
        }
        self.observe_token(rejected.highest_token);
        if rejected.reason == RejectReason::TokenTooLow {
            self.replace_outdated_hold(now, rejected.highest_token, context);
        }
        self.count_rejection(now, from, rejected, context);
    }

    fn count_rejection(
        &mut self,
        now: Millis,
        from: MemberId,
        rejected: Rejected,
        context: &mut Context<'_>,
    ) {
        let Phase::Campaign(campaign) = &mut self.phase else {
            return;
        };
        campaign.rejected_by.insert(from);
        campaign.grants.remove(from);
        let may_succeed = context
            .voters
            .is_quorum(|voter| !campaign.rejected_by.contains(&voter));
        if may_succeed {
            return;
        }
        let token = campaign.token;
        let has_grants = !campaign.grants.is_empty();
        self.retry_after_rejection(now, rejected.remaining_ms.into(), rejected.reason, context);
        if has_grants {
            self.start_release(now, token, None, context);
        }
    }
}
