//! The release of a token: a candidate or holder notifies the voters that it gives up the grants
//! under this token.

use super::{Candidate, Context, EndReason, Phase};
use crate::message::Body;
use crate::token::Token;
use crate::{MemberId, Millis};

/// Maximum number of rounds in which a release is sent. At voters that it does not reach, the grant
/// expires.
const MAX_RELEASE_ROUNDS: u8 = 6;

/// A release in progress.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct Releasing {
    token: Token,
    acknowledged_by: Vec<MemberId>,
    pub(super) retransmit_at: Millis,
    rounds: u8,
    /// The member that should hold the lease next.
    successor: Option<MemberId>,
}

impl Candidate {
    pub(super) fn start_release(
        &mut self,
        now: Millis,
        token: Token,
        successor: Option<MemberId>,
        context: &mut Context<'_>,
    ) {
        self.releasing = Some(Releasing {
            token,
            acknowledged_by: Vec::new(),
            retransmit_at: now,
            rounds: 0,
            successor,
        });
        self.continue_release(now, context);
    }

    /// Retransmits the release until all voters have acknowledged it or the last round is reached.
    pub(super) fn continue_release(&mut self, now: Millis, context: &mut Context<'_>) {
        let due = self
            .releasing
            .as_mut()
            .filter(|releasing| now >= releasing.retransmit_at);
        let Some(releasing) = due else {
            return;
        };
        releasing.retransmit_at = now + context.timing.retransmit_interval();
        releasing.rounds += 1;
        let (token, successor) = (releasing.token, releasing.successor);
        let has_acknowledged = |voter| releasing.acknowledged_by.contains(&voter);
        let is_acknowledged = context.voters.members().all(has_acknowledged);
        let is_last_round = releasing.rounds >= MAX_RELEASE_ROUNDS;
        let body = Body::Resign { token };
        context.send_to_voters(self.lease, &body, |voter| !has_acknowledged(voter));
        if let Some(successor) = successor {
            context.send(self.lease, successor, Body::Handover);
        }
        if is_last_round || is_acknowledged {
            self.releasing = None;
        }
    }

    pub(super) fn handle_resigned(&mut self, from: MemberId, token: Token) {
        let releasing = self
            .releasing
            .as_mut()
            .filter(|releasing| releasing.token == token);
        if let Some(releasing) = releasing
            && !releasing.acknowledged_by.contains(&from)
        {
            releasing.acknowledged_by.push(from);
        }
    }

    /// Resigns the lease, or ends the attempt to acquire it, and backs off. `successor` is the
    /// member that should hold it next.
    pub fn resign(
        &mut self,
        now: Millis,
        reason: EndReason,
        successor: Option<MemberId>,
        context: &mut Context<'_>,
    ) {
        self.expire_hold(now, context);
        // A superseded holder may campaign again at once, because it now knows the higher token.
        if reason != EndReason::Superseded {
            self.backoff_until = now + context.timing.resign_backoff();
        }
        match &self.phase {
            Phase::Idle => {}
            Phase::PreVote(_) => self.become_idle(now),
            Phase::Campaign(campaign) => {
                let token = campaign.token;
                self.become_idle(now);
                self.start_release(now, token, None, context);
            }
            Phase::Held(held) => self.end_hold(now, held.token, reason, successor, context),
        }
    }
}
