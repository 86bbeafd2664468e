//! The holder: renews the grants of a held lease and stores checkpoints.

use super::voter_grants::VoterGrants;
use super::{Candidate, Context, EndReason, LeaseEvent, Phase};
use crate::checkpoint::{Checkpoint, MAX_STATE_BYTES};
use crate::message::Body;
use crate::token::Token;
use crate::{MemberId, Millis};

/// A held lease.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct Held {
    pub(super) token: Token,
    grants: VoterGrants,
    pub(super) expires_at: Millis,
    renew_at: Millis,
    /// The latest checkpoint: one that this holder wrote, or the one it resumed from.
    checkpoint: Option<Checkpoint>,
    /// The voters that have acknowledged the checkpoint.
    stored_by: Vec<MemberId>,
    is_checkpoint_stored: bool,
    send_checkpoint_at: Millis,
}

impl Held {
    pub(super) fn new(
        now: Millis,
        token: Token,
        grants: VoterGrants,
        expires_at: Millis,
        checkpoint: Option<Checkpoint>,
    ) -> Held {
        Held {
            token,
            grants,
            expires_at,
            renew_at: now,
            checkpoint,
            stored_by: Vec::new(),
            is_checkpoint_stored: true,
            send_checkpoint_at: now,
        }
    }

    /// Returns when the hold next has to be ticked.
    pub(super) fn next_deadline(&self) -> Millis {
        let next = self.expires_at.min(self.renew_at);
        if self.is_checkpoint_stored {
            next
        } else {
            next.min(self.send_checkpoint_at)
        }
    }

    /// Returns the sequence number of the latest checkpoint that this holder wrote, or 0.
    fn own_sequence(&self) -> u32 {
        let own = self
            .checkpoint
            .as_ref()
            .filter(|checkpoint| checkpoint.token == self.token);
        own.map_or(0, |checkpoint| checkpoint.sequence)
    }

    fn is_last_checkpoint(&self, position: (Token, u32)) -> bool {
        let last = self.checkpoint.as_ref().map(Checkpoint::position);
        last == Some(position) && position.0 == self.token
    }
}

impl Candidate {
    /// Ends a hold that has expired. The work may already have stopped, so a grant that arrives
    /// later must not extend the hold.
    pub(super) fn expire_hold(&mut self, now: Millis, context: &mut Context<'_>) {
        if let Phase::Held(held) = &self.phase
            && now >= held.expires_at
        {
            self.end_hold(now, held.token, EndReason::Expired, None, context);
        }
    }

    /// Ends the hold, releases its grants and notifies the successor, if there is one.
    pub(super) fn end_hold(
        &mut self,
        now: Millis,
        token: Token,
        reason: EndReason,
        successor: Option<MemberId>,
        context: &mut Context<'_>,
    ) {
        self.events.push_back(LeaseEvent::Ended { token, reason });
        // Other members get the first attempt: this one is partitioned, slow or has resigned.
        self.become_idle(now + context.timing.lease_duration / 2);
        self.start_release(now, token, successor, context);
    }

    /// Ends the hold if a voter requires a higher token, and campaigns again immediately.
    ///
    /// A voter that has restarted without its state no longer renews the current token. Without a
    /// new token, the restart of a second voter would cost the hold its quorum.
    pub(super) fn replace_outdated_hold(
        &mut self,
        now: Millis,
        highest_token: Token,
        context: &mut Context<'_>,
    ) {
        if let Phase::Held(held) = &self.phase
            && highest_token > held.token
        {
            self.end_hold(now, held.token, EndReason::VoterRestarted, None, context);
            self.next_attempt_at = now + context.timing.retransmit_interval() / 4;
            self.handover_expected_until = now + context.timing.quorum_timeout();
        }
    }

    pub(super) fn tick_held(&mut self, now: Millis, context: &mut Context<'_>) {
        self.renew_grants(now, context);
        self.send_checkpoint(now, context);
    }

    fn renew_grants(&mut self, now: Millis, context: &mut Context<'_>) {
        let Phase::Held(held) = &mut self.phase else {
            return;
        };
        if now < held.renew_at {
            return;
        }
        let timing = context.timing;
        let min_remaining = timing.lease_duration - timing.renewal_interval();
        let is_due = |voter: &MemberId| held.grants.needs_renewal(*voter, now, min_remaining);
        let due: Vec<MemberId> = context.voters.members().filter(is_due).collect();
        if due.is_empty() {
            held.renew_at = now + timing.renewal_interval() / 2;
            return;
        }
        // Requests to voters that do not answer are retransmitted before the next renewal is due.
        held.renew_at = now + timing.retransmit_interval();
        let token = held.token;
        let is_receiver = |voter| due.contains(&voter);
        self.request_grants(now, token, timing.lease_duration, is_receiver, context);
    }

    /// Records a renewed grant of the hold's token.
    pub(super) fn record_renewal(
        &mut self,
        from: MemberId,
        expires_at: Millis,
        checkpoint: Option<&Checkpoint>,
        context: &mut Context<'_>,
    ) {
        let Phase::Held(held) = &mut self.phase else {
            return;
        };
        held.grants.record(from, expires_at);
        let quorum_expiry = held.grants.quorum_expiry(context.voters).unwrap_or(0);
        held.expires_at = held.expires_at.max(quorum_expiry);
        let voters_sequence = checkpoint
            .filter(|checkpoint| checkpoint.token == held.token)
            .map_or(0, |checkpoint| checkpoint.sequence);
        // The checkpoint is sent again to a voter that has lost it or never received it.
        if voters_sequence < held.own_sequence() && held.is_checkpoint_stored {
            let checkpoint = held.checkpoint.clone().unwrap_or_default();
            context.send(self.lease, from, Body::StoreCheckpoint { checkpoint });
        }
    }

    /// Sends a checkpoint of the work to the voters and returns its sequence number. Returns `None`
    /// if the lease is not held, or the state is longer than [`MAX_STATE_BYTES`].
    pub fn store_checkpoint(
        &mut self,
        now: Millis,
        state: Vec<u8>,
        context: &mut Context<'_>,
    ) -> Option<u32> {
        if state.len() > MAX_STATE_BYTES || self.hold(now).is_none() {
            return None;
        }
        let Phase::Held(held) = &mut self.phase else {
            return None;
        };
        let sequence = held.own_sequence().checked_add(1)?;
        held.checkpoint = Some(Checkpoint {
            token: held.token,
            sequence,
            state,
        });
        held.stored_by.clear();
        held.is_checkpoint_stored = false;
        held.send_checkpoint_at = now;
        self.send_checkpoint(now, context);
        Some(sequence)
    }

    fn send_checkpoint(&mut self, now: Millis, context: &mut Context<'_>) {
        let Phase::Held(held) = &mut self.phase else {
            return;
        };
        if held.is_checkpoint_stored || now < held.send_checkpoint_at {
            return;
        }
        let Some(checkpoint) = held.checkpoint.clone() else {
            return;
        };
        held.send_checkpoint_at = now + context.timing.retransmit_interval();
        let body = Body::StoreCheckpoint { checkpoint };
        context.send_to_voters(self.lease, &body, |voter| !held.stored_by.contains(&voter));
    }

    pub(super) fn handle_checkpoint_stored(
        &mut self,
        from: MemberId,
        token: Token,
        sequence: u32,
        context: &Context<'_>,
    ) {
        let Phase::Held(held) = &mut self.phase else {
            return;
        };
        let is_awaited = held.is_last_checkpoint((token, sequence)) && !held.is_checkpoint_stored;
        if !is_awaited || !context.voters.is_voter(from) {
            return;
        }
        if !held.stored_by.contains(&from) {
            held.stored_by.push(from);
        }
        if context
            .voters
            .is_quorum(|voter| held.stored_by.contains(&voter))
        {
            held.is_checkpoint_stored = true;
            self.events
                .push_back(LeaseEvent::CheckpointStored { token, sequence });
        }
    }
}
