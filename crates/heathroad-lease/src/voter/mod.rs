//! The voter: grants leases and stores checkpoints for their holders.
//!
//! A grant makes two promises. Until the grant expires by this member's clock, the voter grants the
//! lease to no other candidate. And it never again grants the lease under a lower token. The second
//! promise is persisted in [`VoterState`], if the member has a disk. To keep both promises with
//! lost or outdated state, a voter grants nothing after its start until all grants it may have made
//! before have expired, and then only token counts of at least the Unix time of its start.

mod availability;
mod grants;

use crate::checkpoint::{Checkpoint, MAX_STATE_BYTES};
use crate::grant_history::GrantRecord;
use crate::message::{Body, Status};
use crate::token::Token;
use crate::voter_state::VoterState;
use crate::{LeaseId, LeaseTiming, MemberId, Millis};
use grants::Grant;
use std::collections::{BTreeMap, VecDeque};

/// Maximum number of leases that a voter stores.
pub const MAX_LEASES: usize = 32;

/// A voter's reply to a message.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Reply {
    /// The answer, if the message requires one.
    pub body: Option<Body>,
    /// Whether [`Voter::state`] has changed and must be on disk before the answer is sent.
    pub is_state_changed: bool,
}

impl Reply {
    const NONE: Reply = Reply {
        body: None,
        is_state_changed: false,
    };

    fn unchanged(body: Body) -> Reply {
        Reply {
            body: Some(body),
            is_state_changed: false,
        }
    }
}

/// The voter of one member, for all leases.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Voter {
    timing: LeaseTiming,
    state: VoterState,
    grants: BTreeMap<LeaseId, Grant>,
    /// Number of consecutive holders that failed early, excluding the last one.
    early_failures: BTreeMap<LeaseId, u8>,
    startup_ends_at: Millis,
    min_token_count: u64,
    history: BTreeMap<LeaseId, VecDeque<GrantRecord>>,
}

impl Voter {
    /// Creates the voter of a member at its start, with the generation of its voter set and the
    /// state from disk. The voter grants no token whose count is below `min_token_count`, see
    /// [`count_at`](crate::token::count_at).
    pub fn new(
        now: Millis,
        min_token_count: u64,
        timing: LeaseTiming,
        generation: u8,
        mut state: VoterState,
    ) -> Voter {
        state.generation = state.generation.max(generation);
        Voter {
            timing,
            state,
            grants: BTreeMap::new(),
            early_failures: BTreeMap::new(),
            startup_ends_at: now + timing.grant_duration_at_voter(timing.lease_duration),
            min_token_count,
            history: BTreeMap::new(),
        }
    }

    /// Returns the state that must be on disk before answers are sent.
    pub fn state(&self) -> &VoterState {
        &self.state
    }

    /// Returns the grant history of each lease, oldest first.
    pub fn history(&self) -> &BTreeMap<LeaseId, VecDeque<GrantRecord>> {
        &self.history
    }

    /// Returns the end of the startup period, in which the voter grants nothing.
    pub fn startup_ends_at(&self) -> Millis {
        self.startup_ends_at
    }

    /// Handles a message from an incarnation of a member. Messages with another member's token are
    /// ignored.
    pub fn handle_message(
        &mut self,
        now: Millis,
        from: MemberId,
        incarnation: u64,
        lease: LeaseId,
        body: Body,
    ) -> Reply {
        match body {
            Body::GrantRequest(request) if request.token.member() == from => {
                self.handle_grant_request(now, incarnation, lease, request)
            }
            Body::Resign { token } if token.member() == from => {
                self.handle_resign(now, incarnation, lease, token);
                Reply::unchanged(Body::Resigned { token })
            }
            Body::StoreCheckpoint { checkpoint } if checkpoint.token.member() == from => {
                self.store_checkpoint(incarnation, lease, checkpoint)
            }
            Body::StatusRequest { round } => {
                Reply::unchanged(Body::Status(self.status(now, lease, round)))
            }
            _ => Reply::NONE,
        }
    }

    fn status(&self, now: Millis, lease: LeaseId, round: u32) -> Status {
        let unavailability = self.unavailability(now, lease);
        Status {
            round,
            highest_token: self.highest_token(lease),
            remaining_ms: to_millis_u32(unavailability.as_ref().map_or(0, |u| u.remaining)),
            reason: unavailability.map(|u| u.reason),
            early_failures: self.count_early_failures(now, lease),
        }
    }

    fn highest_token(&self, lease: LeaseId) -> Token {
        self.state
            .leases
            .get(&lease)
            .map_or(Token::default(), |durable| durable.token)
    }

    fn store_checkpoint(
        &mut self,
        incarnation: u64,
        lease: LeaseId,
        checkpoint: Checkpoint,
    ) -> Reply {
        // A holder that has been succeeded must not overwrite its successor's checkpoint.
        let is_holder = self.is_granted_to(lease, checkpoint.token, incarnation);
        if !is_holder || checkpoint.state.len() > MAX_STATE_BYTES {
            return Reply::NONE;
        }
        let Some(durable) = self.state.leases.get_mut(&lease) else {
            return Reply::NONE;
        };
        let (token, sequence) = checkpoint.position();
        let is_newer = durable.checkpoint.position() < checkpoint.position();
        if is_newer {
            durable.checkpoint = checkpoint;
        }
        Reply {
            body: Some(Body::CheckpointStored { token, sequence }),
            is_state_changed: is_newer,
        }
    }
}

fn to_millis_u32(duration: Millis) -> u32 {
    u32::try_from(duration).unwrap_or(u32::MAX)
}
