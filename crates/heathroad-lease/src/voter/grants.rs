//! The grants of a voter: checks requests, renews grants and ends them.

use super::availability::Unavailability;
use super::{MAX_LEASES, Reply, Voter, to_millis_u32};
use crate::grant_history::{GrantEnd, GrantRecord};
use crate::message::{Body, GrantRequest, Granted, RejectReason, Rejected};
use crate::token::Token;
use crate::{LeaseId, Millis};
use std::collections::VecDeque;

/// Maximum number of history records that a voter keeps for each lease.
pub const MAX_HISTORY_RECORDS: usize = 64;

/// A grant made since the voter's process started.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct Grant {
    pub(super) granted_at: Millis,
    pub(super) expires_at: Millis,
    /// Whether the grant was renewed. Only a holder renews its grants: the expiry of a losing
    /// candidate's grant is not a failure of the work.
    pub(super) is_renewed: bool,
    /// Whether the holder resigned. A holder that has stalled also resigns when it continues, so
    /// that its stall does not count as a failure.
    pub(super) is_resigned: bool,
}

impl Grant {
    pub(super) fn is_active(&self, now: Millis) -> bool {
        !self.is_resigned && now < self.expires_at
    }
}

impl Voter {
    pub(super) fn handle_grant_request(
        &mut self,
        now: Millis,
        incarnation: u64,
        lease: LeaseId,
        request: GrantRequest,
    ) -> Reply {
        if let Err(rejected) = self.check_grant_request(now, incarnation, lease, &request) {
            return Reply::unchanged(Body::Rejected(rejected));
        }
        let duration = Millis::from(request.duration_ms).min(self.timing.lease_duration);
        let expires_at = now + self.timing.grant_duration_at_voter(duration);
        let is_renewal = self.is_granted_to(lease, request.token, incarnation);
        if is_renewal {
            self.renew_grant(now, lease, expires_at);
        } else {
            self.record_grant(now, incarnation, lease, request.token, expires_at);
        }
        let checkpoint = self
            .state
            .leases
            .get(&lease)
            .map(|durable| &durable.checkpoint);
        let granted = Granted {
            token: request.token,
            round: request.round,
            duration_ms: to_millis_u32(duration),
            checkpoint: checkpoint
                .filter(|checkpoint| checkpoint.sequence > 0)
                .cloned(),
        };
        Reply {
            body: Some(Body::Granted(granted)),
            is_state_changed: !is_renewal,
        }
    }

    pub(super) fn is_granted_to(&self, lease: LeaseId, token: Token, incarnation: u64) -> bool {
        let durable = self.state.leases.get(&lease);
        durable.is_some_and(|d| d.token == token && d.incarnation == incarnation)
    }

    /// Checks a request against the rules of `docs/specs/lease-messages.md`, in the order given
    /// there.
    fn check_grant_request(
        &self,
        now: Millis,
        incarnation: u64,
        lease: LeaseId,
        request: &GrantRequest,
    ) -> Result<(), Rejected> {
        let highest_token = self.highest_token(lease);
        let reject = |highest_token, remaining, reason| {
            Err(Rejected {
                round: request.round,
                highest_token,
                remaining_ms: to_millis_u32(remaining),
                reason,
            })
        };
        let is_known = self.state.leases.contains_key(&lease);
        let has_capacity = is_known || self.state.leases.len() < MAX_LEASES;
        if request.token.generation() < self.state.generation || !has_capacity {
            let retry_after = self.timing.lease_duration;
            return reject(highest_token, retry_after, RejectReason::NotAccepted);
        }
        let unavailability = self.unavailability(now, lease);
        if let Some(Unavailability {
            remaining,
            reason: RejectReason::VoterStarting,
        }) = unavailability
        {
            return reject(highest_token, remaining, RejectReason::VoterStarting);
        }
        if self.is_granted_to(lease, request.token, incarnation) {
            let is_resigned = self
                .grants
                .get(&lease)
                .is_some_and(|grant| grant.is_resigned);
            return if is_resigned {
                reject(highest_token, 0, RejectReason::TokenTooLow)
            } else {
                Ok(())
            };
        }
        let min_token = Token::new(request.token.generation(), self.min_token_count, 0);
        if request.token <= highest_token || request.token < min_token {
            let remaining = unavailability.map_or(0, |u| u.remaining);
            let above = highest_token.max(min_token);
            return reject(above, remaining, RejectReason::TokenTooLow);
        }
        match unavailability {
            Some(Unavailability { remaining, reason }) => reject(highest_token, remaining, reason),
            None => Ok(()),
        }
    }

    fn renew_grant(&mut self, now: Millis, lease: LeaseId, expires_at: Millis) {
        let grant = self.grants.entry(lease).or_insert(Grant {
            granted_at: now,
            expires_at,
            is_renewed: true,
            is_resigned: false,
        });
        grant.is_renewed = true;
        grant.expires_at = grant.expires_at.max(expires_at);
        let expires_at = grant.expires_at;
        if expires_at - grant.granted_at >= self.timing.stable_hold_duration() {
            self.early_failures.remove(&lease);
        }
        if let Some(record) = self.last_record(lease) {
            record.until = expires_at;
        }
    }

    fn record_grant(
        &mut self,
        now: Millis,
        incarnation: u64,
        lease: LeaseId,
        token: Token,
        expires_at: Millis,
    ) {
        self.early_failures
            .insert(lease, self.count_early_failures(now, lease));
        self.state.generation = token.generation();
        let durable = self.state.leases.entry(lease).or_default();
        durable.token = token;
        durable.incarnation = incarnation;
        let grant = Grant {
            granted_at: now,
            expires_at,
            is_renewed: false,
            is_resigned: false,
        };
        self.grants.insert(lease, grant);
        let records = self.history.entry(lease).or_default();
        if records.len() >= MAX_HISTORY_RECORDS {
            records.pop_front();
        }
        records.push_back(GrantRecord {
            token,
            incarnation,
            from: now,
            until: expires_at,
            end: GrantEnd::Open,
        });
    }

    fn last_record(&mut self, lease: LeaseId) -> Option<&mut GrantRecord> {
        self.history.get_mut(&lease).and_then(VecDeque::back_mut)
    }

    pub(super) fn handle_resign(
        &mut self,
        now: Millis,
        incarnation: u64,
        lease: LeaseId,
        token: Token,
    ) {
        if !self.is_granted_to(lease, token, incarnation) {
            return;
        }
        let Some(grant) = self
            .grants
            .get_mut(&lease)
            .filter(|grant| !grant.is_resigned)
        else {
            return;
        };
        grant.is_resigned = true;
        let ended_at = now.min(grant.expires_at);
        if let Some(record) = self.last_record(lease) {
            record.until = ended_at;
            record.end = GrantEnd::Resigned;
        }
    }
}
