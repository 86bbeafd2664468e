//! A held lease: renewing its grants and storing checkpoints.

use super::voter_grants::VoterGrants;
use super::{Candidate, Context, EndReason, LeaseEvent, Phase};
use crate::checkpoint::{Checkpoint, MAX_STATE_BYTES};
use crate::message::Body;
use crate::token::Token;
use crate::{MemberId, Millis};

/// A hold of the lease.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct Held {
    pub(super) token: Token,
    grants: VoterGrants,
    pub(super) expires_at: Millis,
    renew_at: Millis,
    /// The last checkpoint: this holder's own, or the one that it has resumed from.
    checkpoint: Option<Checkpoint>,
    /// Voters that have stored the checkpoint.
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

    /// Returns when something is due next.
    pub(super) fn next_due(&self) -> Millis {
        let next = self.expires_at.min(self.renew_at);
        if self.is_checkpoint_stored {
            next
        } else {
            next.min(self.send_checkpoint_at)
        }
    }

    /// Returns the sequence number of this holder's own last checkpoint, or 0.
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
    /// Ends a hold that has expired. The work that has noticed this has stopped, so a grant that
    /// arrives later must not revive it.
    pub(super) fn expire_hold(&mut self, now: Millis, context: &mut Context<'_>) {
        if let Phase::Held(held) = &self.phase
            && now >= held.expires_at
        {
            self.end_hold(now, held.token, EndReason::Expired, None, context);
        }
    }

    /// Ends the hold and tells the voters, and the successor where there is one.
    pub(super) fn end_hold(
        &mut self,
        now: Millis,
        token: Token,
        reason: EndReason,
        successor: Option<MemberId>,
        context: &mut Context<'_>,
    ) {
        self.events.push_back(LeaseEvent::Ended { token, reason });
        // Other members go first, because this one has just shown that it is cut off, slow or not
        // willing.
        self.become_idle(now + context.timing.lease_duration / 2);
        self.start_release(now, token, successor, context);
    }

    /// Ends the hold if a voter grants nothing under its token any more, and asks for the lease
    /// again at once.
    ///
    /// A voter that has restarted without its state would be missing for as long as the hold lasts,
    /// and the next restart of another voter would let the hold expire.
    pub(super) fn restart_outdated_hold(
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
        // Voters that do not answer are asked again sooner than the next renewal is due.
        held.renew_at = now + timing.retransmit_interval();
        let token = held.token;
        let is_receiver = |voter| due.contains(&voter);
        self.request_grants(now, token, timing.lease_duration, is_receiver, context);
    }

    /// Counts a renewed grant of the hold's token.
    pub(super) fn count_renewal(
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
        // A voter that has lost the checkpoint, or never had it, is sent it again.
        if voters_sequence < held.own_sequence() && held.is_checkpoint_stored {
            let checkpoint = held.checkpoint.clone().unwrap_or_default();
            context.send(self.lease, from, Body::StoreCheckpoint { checkpoint });
        }
    }

    /// Has a quorum store how far the work has come, and returns the checkpoint's sequence number.
    /// Returns `None` if the lease is not held, or the state is longer than [`MAX_STATE_BYTES`].
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
