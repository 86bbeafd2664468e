//! The member table: the known state of each member, suspicions, and the version each one runs.

use crate::claim::{Claim, MemberState, Revision};
use crate::replay_window::ReplayWindow;
use crate::version::Digest;
use crate::wire::SUPPORTED_PROTOCOLS;
use crate::{Incarnation, MemberId, Millis};
use std::cmp::Ordering;

/// A suspicion that a member has failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Suspicion {
    /// When the suspicion began.
    pub since: Millis,
    /// When the member is declared dead unless it refutes the suspicion.
    pub deadline: Millis,
    /// The members that reported the suspicion, without duplicates.
    pub accusers: Vec<MemberId>,
}

/// The version that a member runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ActiveVersion {
    /// The incarnation of the member.
    pub incarnation: Incarnation,
    /// Numbers the versions that the member has run in this incarnation.
    pub sequence: u32,
    /// The digest of the version.
    pub digest: Digest,
}

/// The known state of a member.
#[derive(Debug, Clone)]
pub struct Member {
    /// The state of the member.
    pub state: MemberState,
    /// The revision to which the state applies.
    pub revision: Revision,
    /// The member whose claim established the state.
    pub claim_source: MemberId,
    /// When the state began, on the local clock.
    pub state_since: Millis,
    /// When a datagram from the member was last accepted.
    pub last_heard: Option<Millis>,
    /// The suspicion, if the member is suspected.
    pub suspicion: Option<Suspicion>,
    /// The version that the member runs, if known.
    pub active_version: Option<ActiveVersion>,
    /// The lowest and the highest protocol version that the member supports.
    pub supported_protocols: [u8; 2],
    /// The sequence numbers received from the member.
    pub(crate) replay_window: ReplayWindow,
    /// When the member was last probed because its datagrams named an unconfirmed incarnation.
    pub(crate) last_challenged: Option<Millis>,
}

impl Member {
    /// Creates a member in its initial state. The lowest protocol is used until the member
    /// announces what it supports.
    fn unknown() -> Member {
        Member {
            state: MemberState::Unknown,
            revision: Revision::default(),
            claim_source: 0,
            state_since: 0,
            last_heard: None,
            suspicion: None,
            active_version: None,
            supported_protocols: [SUPPORTED_PROTOCOLS[0]; 2],
            replay_window: ReplayWindow::default(),
            last_challenged: None,
        }
    }

    fn apply(&mut self, now: Millis, claim: Claim) {
        let same_incarnation = self.revision.incarnation == claim.revision.incarnation;
        if self.state != claim.state || !same_incarnation {
            self.state_since = now;
        }
        self.state = claim.state;
        self.revision = claim.revision;
        self.claim_source = claim.source;
        self.suspicion = (claim.state == MemberState::Suspect).then(|| Suspicion {
            since: now,
            deadline: Millis::MAX,
            accusers: vec![claim.source],
        });
    }

    /// Adds an accuser to the suspicion, and returns whether it is new.
    fn add_accuser(&mut self, accuser: MemberId) -> bool {
        let Some(suspicion) = &mut self.suspicion else {
            return false;
        };
        if suspicion.accusers.contains(&accuser) {
            return false;
        }
        suspicion.accusers.push(accuser);
        self.claim_source = accuser;
        true
    }
}

/// The result of merging a claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MergeOutcome {
    /// The claim is already known or is overridden by another one.
    Ignored,
    /// The claim added an accuser to a suspicion.
    AccuserAdded,
    /// The claim replaced the previous one.
    Applied {
        /// The state before.
        previous_state: MemberState,
        /// The incarnation before.
        previous_incarnation: Incarnation,
    },
}

/// The known state of all members.
#[derive(Debug, Clone)]
pub struct MemberTable {
    members: Vec<Member>,
}

impl MemberTable {
    /// Creates the table for a fleet of `size` members, all of them unknown.
    pub fn new(size: u16) -> MemberTable {
        MemberTable {
            members: vec![Member::unknown(); usize::from(size)],
        }
    }

    /// Returns the number of members in any state.
    pub fn size(&self) -> u16 {
        self.members.len() as u16
    }

    /// Returns a member, or `None` if the id is out of range.
    pub fn get(&self, id: MemberId) -> Option<&Member> {
        self.members.get(usize::from(id))
    }

    pub(crate) fn get_mut(&mut self, id: MemberId) -> Option<&mut Member> {
        self.members.get_mut(usize::from(id))
    }

    /// Iterates over all members with their ids.
    pub fn iter(&self) -> impl Iterator<Item = (MemberId, &Member)> {
        self.members
            .iter()
            .enumerate()
            .map(|(id, member)| (id as MemberId, member))
    }

    /// Iterates over the members that participate in the protocol, suspected or not.
    pub fn present(&self) -> impl Iterator<Item = MemberId> {
        self.iter()
            .filter(|(_, member)| member.state.is_present())
            .map(|(id, _)| id)
    }

    /// Returns the number of members that participate in the protocol.
    pub fn present_count(&self) -> usize {
        self.present().count()
    }

    /// Returns the incarnation of a member, or 0 if it is unknown.
    pub fn incarnation(&self, id: MemberId) -> Incarnation {
        self.get(id).map_or(0, |member| member.revision.incarnation)
    }

    /// Returns the claim that determines the state of a member.
    pub fn claim(&self, id: MemberId) -> Option<Claim> {
        let member = self.get(id)?;
        (member.state != MemberState::Unknown).then_some(Claim {
            member: id,
            state: member.state,
            revision: member.revision,
            source: member.claim_source,
        })
    }

    /// Merges a claim: applies it if it takes precedence over the current one.
    pub fn merge(&mut self, now: Millis, claim: Claim) -> MergeOutcome {
        let known = self.claim(claim.member);
        let Some(member) = self.get_mut(claim.member) else {
            return MergeOutcome::Ignored;
        };
        match known.map(|known| known.precedence().cmp(&claim.precedence())) {
            Some(Ordering::Greater) => MergeOutcome::Ignored,
            Some(Ordering::Equal) if member.add_accuser(claim.source) => MergeOutcome::AccuserAdded,
            Some(Ordering::Equal) => MergeOutcome::Ignored,
            Some(Ordering::Less) | None => {
                let outcome = MergeOutcome::Applied {
                    previous_state: member.state,
                    previous_incarnation: member.revision.incarnation,
                };
                member.apply(now, claim);
                outcome
            }
        }
    }

    /// Stores the version that a member runs if it is later than the known one. Returns whether it
    /// is.
    pub fn update_active_version(&mut self, id: MemberId, version: ActiveVersion) -> bool {
        let Some(member) = self.get_mut(id) else {
            return false;
        };
        let order = |version: &ActiveVersion| (version.incarnation, version.sequence);
        let is_later = member
            .active_version
            .is_none_or(|known| order(&known) < order(&version));
        if is_later {
            member.active_version = Some(version);
        }
        is_later
    }

    /// Returns whether any member runs the version with this digest.
    pub fn is_active(&self, digest: Digest) -> bool {
        self.active_digests().any(|active| active == digest)
    }

    /// Iterates over the digests of the versions that members run, with duplicates.
    pub(crate) fn active_digests(&self) -> impl Iterator<Item = Digest> {
        self.members
            .iter()
            .filter_map(|member| member.active_version.map(|version| version.digest))
    }

    /// Returns the members whose suspicion has reached its deadline.
    pub(crate) fn expired_suspicions(&self, now: Millis) -> Vec<MemberId> {
        let has_expired = |member: &Member| {
            let suspicion = member.suspicion.as_ref();
            suspicion.is_some_and(|suspicion| suspicion.deadline <= now)
        };
        self.iter()
            .filter(|(_, member)| has_expired(member))
            .map(|(id, _)| id)
            .collect()
    }

    /// Returns the earliest deadline of any suspicion.
    pub(crate) fn next_suspicion_deadline(&self) -> Option<Millis> {
        self.members
            .iter()
            .filter_map(|member| member.suspicion.as_ref())
            .map(|suspicion| suspicion.deadline)
            .min()
    }

    /// Postpones the deadlines of all suspicions, for a time in which this member could not receive
    /// refutations.
    pub(crate) fn postpone_suspicions(&mut self, delay: Millis) {
        for suspicion in self
            .members
            .iter_mut()
            .filter_map(|member| member.suspicion.as_mut())
        {
            suspicion.deadline = suspicion.deadline.saturating_add(delay);
        }
    }
}
