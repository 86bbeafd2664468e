//! Effects of claims: suspicions start, are refuted or expire, and this member refutes false claims
//! about itself.

use super::dissemination::Subject;
use super::event::Event;
use super::membership::Membership;
use crate::claim::{Claim, MemberState, Revision};
use crate::member_table::{ActiveVersion, MergeOutcome};
use crate::{Incarnation, MemberId, Millis};

impl Membership {
    /// Merges a claim about another member, and disseminates it if it changes anything.
    pub(super) fn apply_claim(&mut self, now: Millis, claim: Claim) {
        match self.members.merge(now, claim) {
            MergeOutcome::Ignored => return,
            MergeOutcome::AccuserAdded => {}
            MergeOutcome::Applied {
                previous_state,
                previous_incarnation,
            } => {
                let same_incarnation = previous_incarnation == claim.revision.incarnation;
                let event = event_of_claim(&claim, previous_state, same_incarnation);
                event.into_iter().for_each(|event| self.events.push(event));
            }
        }
        self.dissemination.spread(Subject::State(claim.member));
        self.update_suspicion_deadline(claim.member);
    }

    /// Shortens a suspicion with each further accuser, up to `suspicion_confirmations`, as in
    /// Lifeguard.
    fn update_suspicion_deadline(&mut self, member: MemberId) {
        let (shortest, longest) = self.suspicion_bounds();
        // The suspected member and its first accuser cannot confirm the suspicion.
        let potential_accusers = self.members.present_count().saturating_sub(2);
        let required = self.config.suspicion_confirmations.min(potential_accusers);
        let member = self.members.get_mut(member);
        let Some(suspicion) = member.and_then(|member| member.suspicion.as_mut()) else {
            return;
        };
        let confirmations = suspicion.accusers.len().saturating_sub(1).min(required) as f64;
        let progress = if required == 0 {
            1.0
        } else {
            (confirmations + 1.0).ln() / (required as f64 + 1.0).ln()
        };
        let duration = longest as f64 - (longest - shortest) as f64 * progress;
        suspicion.deadline = suspicion.since + duration as u64;
    }

    /// Returns the shortest and the longest duration of a suspicion.
    fn suspicion_bounds(&self) -> (Millis, Millis) {
        let present = self.members.present_count().max(1) as f64;
        let periods = (self.config.suspicion_periods * self.config.probe_period) as f64;
        let shortest = (periods * present.log10().max(1.0)) as u64;
        (shortest, shortest * self.config.max_suspicion_factor)
    }

    /// Declares members dead that did not refute a suspicion in time. Does nothing while this
    /// member is isolated, since it would not receive refutations.
    pub(super) fn declare_expired_suspects_dead(&mut self, now: Millis) {
        if self.detector.is_isolated() {
            return;
        }
        for member in self.members.expired_suspicions(now) {
            if let Some(claim) = self.members.claim(member) {
                self.apply_claim(
                    now,
                    Claim {
                        state: MemberState::Dead,
                        source: self.id,
                        ..claim
                    },
                );
            }
        }
    }

    /// Handles a claim about this member, and refutes it if it is false.
    pub(super) fn handle_own_claim(&mut self, now: Millis, claim: Claim) {
        let Revision {
            incarnation,
            refutations,
        } = claim.revision;
        let own = self.revision;
        let is_current = incarnation == own.incarnation;
        if incarnation > own.incarnation || is_current && claim.state.is_final() {
            self.reincarnate(now, incarnation);
        } else if is_current
            && claim.state == MemberState::Suspect
            && refutations >= own.refutations
        {
            self.refute_suspicion(now, refutations);
        }
    }

    fn refute_suspicion(&mut self, now: Millis, refutations: u16) {
        let Some(next) = refutations.checked_add(1) else {
            return self.reincarnate(now, self.revision.incarnation);
        };
        self.revision.refutations = next;
        self.detector.health_mut().worsen(1);
        self.announce_alive(now);
    }

    /// Disseminates that this member is alive.
    pub(super) fn announce_alive(&mut self, now: Millis) {
        let claim = self.own_claim(MemberState::Alive);
        self.members.merge(now, claim);
        self.dissemination.spread(Subject::State(self.id));
    }

    /// Continues in a new incarnation, later than `after` and than the current one.
    pub(super) fn reincarnate(&mut self, now: Millis, after: Incarnation) {
        let incarnation = after.max(self.revision.incarnation) + 1;
        self.revision = Revision {
            incarnation,
            refutations: 0,
        };
        self.announce_alive(now);
        if let Some(active) = self.active_version() {
            let active = ActiveVersion {
                incarnation,
                sequence: 1,
                digest: active.digest,
            };
            self.members.update_active_version(self.id, active);
            self.dissemination.spread(Subject::ActiveVersion(self.id));
        }
        self.events.push(Event::Reincarnated { incarnation });
    }
}

fn event_of_claim(claim: &Claim, previous: MemberState, same_incarnation: bool) -> Option<Event> {
    let member = claim.member;
    match (claim.state, previous) {
        (MemberState::Suspect, _) => Some(Event::MemberSuspected {
            member,
            accuser: claim.source,
        }),
        (MemberState::Dead, _) => Some(Event::MemberDead { member }),
        (MemberState::Left, _) => Some(Event::MemberLeft { member }),
        (_, MemberState::Alive) if same_incarnation => None,
        (_, MemberState::Suspect) if same_incarnation => Some(Event::SuspicionRefuted { member }),
        _ => Some(Event::MemberAlive {
            member,
            incarnation: claim.revision.incarnation,
        }),
    }
}
