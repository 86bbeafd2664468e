//! Dissemination: which updates are sent next. Each member sends an update a bounded number of
//! times, the least sent one first. What room is left in a datagram repeats what is known of the
//! members in turn, so that whoever missed something receives it again.

use super::version_agreement::VersionAgreement;
use crate::claim::MemberState;
use crate::desired_version::{Desired, DesiredVersion, RequiredVersion, VersionConflict};
use crate::member_table::MemberTable;
use crate::wire::Update;
use crate::{MemberId, Millis};
use std::collections::BTreeMap;

/// An update is sent so many times the logarithm to base two of the fleet's size by each member
/// that has it. Fewer (four times the logarithm to base ten) left the last of 300 members without
/// it for 19 s, and took ten times as long at 30% loss.
const TRANSMISSIONS_FACTOR: f64 = 3.0;
/// The most updates that are selected for a datagram; it holds fewer.
const MAX_SELECTED: usize = 16;

/// What an update is about.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) enum Subject {
    /// The state of a member.
    State(MemberId),
    /// The version that a member runs.
    ActiveVersion(MemberId),
    /// The version that all should run.
    DesiredVersion,
}

/// An update selected for a datagram.
#[derive(Debug, Clone)]
pub(super) struct SelectedUpdate {
    /// The subject, if the transmission is to be counted.
    subject: Option<Subject>,
    pub(super) update: Update,
}

impl SelectedUpdate {
    fn counted(subject: Subject, update: Update) -> SelectedUpdate {
        SelectedUpdate {
            subject: Some(subject),
            update,
        }
    }

    fn uncounted(update: Update) -> SelectedUpdate {
        SelectedUpdate {
            subject: None,
            update,
        }
    }

    /// The member that an uncounted update repeats something of.
    fn repeated_member(&self) -> Option<MemberId> {
        match (self.subject, &self.update) {
            (None, Update::Claim(claim)) => Some(claim.member),
            (None, Update::ActiveVersion { member, .. }) => Some(*member),
            _ => None,
        }
    }
}

/// What this member knows, from which updates are made: what is sent is never older than that.
#[derive(Clone, Copy)]
pub(super) struct Knowledge<'a> {
    pub(super) members: &'a MemberTable,
    pub(super) agreement: &'a VersionAgreement,
}

impl Knowledge<'_> {
    fn update_on(self, subject: Subject) -> Option<Update> {
        match subject {
            Subject::State(member) => self.members.claim(member).map(Update::Claim),
            Subject::ActiveVersion(member) => {
                let active = self.members.get(member)?.active_version?;
                Some(Update::ActiveVersion {
                    member,
                    incarnation: active.incarnation,
                    sequence: active.sequence,
                    digest: active.digest,
                })
            }
            Subject::DesiredVersion => self.desired_version(),
        }
    }

    fn desired_version(self) -> Option<Update> {
        match self.agreement.desired() {
            Desired::Unset => None,
            Desired::Version(DesiredVersion {
                generation,
                digest,
                origin,
            }) => Some(Update::DesiredVersion {
                generation,
                digest,
                origin,
            }),
            Desired::Conflict(VersionConflict {
                generation,
                digests,
            }) => Some(Update::VersionConflict {
                generation,
                digests,
            }),
        }
    }

    fn requirements(self, now: Millis) -> impl Iterator<Item = Update> {
        let requirements = self.agreement.required().as_slice().iter();
        requirements.map(move |required| {
            let RequiredVersion {
                generation,
                digest,
                deadline,
            } = *required;
            let remaining = deadline.saturating_sub(now);
            Update::RequiredVersion {
                generation,
                digest,
                remaining_ms: u32::try_from(remaining).unwrap_or(u32::MAX),
            }
        })
    }
}

/// The updates that are being spread, at most two of each member.
#[derive(Debug, Clone)]
pub(super) struct Dissemination {
    /// How often this member has sent each update.
    transmissions: BTreeMap<Subject, u32>,
    /// The member of which something was repeated last.
    last_repeated: MemberId,
    next_round: Millis,
}

impl Dissemination {
    pub(super) fn new(first_round: Millis) -> Dissemination {
        Dissemination {
            transmissions: BTreeMap::new(),
            last_repeated: 0,
            next_round: first_round,
        }
    }

    /// Returns when the next round of gossip is due, if there is anything to spread.
    pub(super) fn due(&self) -> Option<Millis> {
        (!self.transmissions.is_empty()).then_some(self.next_round)
    }

    pub(super) fn schedule_round(&mut self, at: Millis) {
        self.next_round = at;
    }

    /// Starts to spread what is known of a subject.
    pub(super) fn spread(&mut self, subject: Subject) {
        self.transmissions.insert(subject, 0);
    }

    /// Selects the updates for a datagram, the most important first: what the recipient must know
    /// of itself, what all should run, updates that are being spread, and repetitions.
    pub(super) fn select(
        &mut self,
        knowledge: Knowledge<'_>,
        recipient: MemberId,
        now: Millis,
    ) -> Vec<SelectedUpdate> {
        let mut selected = Vec::new();
        selected.extend(correction_for(knowledge, recipient).map(SelectedUpdate::uncounted));
        // Whoever is answered knows what is desired: there is always room for that.
        let desired = knowledge.update_on(Subject::DesiredVersion);
        selected
            .extend(desired.map(|update| SelectedUpdate::counted(Subject::DesiredVersion, update)));
        selected.extend(knowledge.requirements(now).map(SelectedUpdate::uncounted));
        let pending = self.least_sent();
        selected.extend(pending.iter().filter_map(|subject| {
            let update = knowledge.update_on(*subject)?;
            Some(SelectedUpdate::counted(*subject, update))
        }));
        self.fill_with_repetitions(knowledge, &pending, &mut selected);
        selected
    }

    /// Returns the subjects that were sent least, but for the desired version.
    fn least_sent(&self) -> Vec<Subject> {
        let mut pending: Vec<(u32, Subject)> = self
            .transmissions
            .iter()
            .filter(|(subject, _)| **subject != Subject::DesiredVersion)
            .map(|(subject, sent)| (*sent, *subject))
            .collect();
        pending.sort_unstable();
        pending.truncate(MAX_SELECTED);
        pending.into_iter().map(|(_, subject)| subject).collect()
    }

    fn fill_with_repetitions(
        &mut self,
        knowledge: Knowledge<'_>,
        pending: &[Subject],
        selected: &mut Vec<SelectedUpdate>,
    ) {
        let members = knowledge.members.size();
        for _ in 0..members {
            if selected.len() >= MAX_SELECTED {
                break;
            }
            self.last_repeated = (self.last_repeated + 1) % members;
            let member = self.last_repeated;
            for subject in [Subject::State(member), Subject::ActiveVersion(member)] {
                if !pending.contains(&subject) {
                    let update = knowledge.update_on(subject);
                    selected.extend(update.map(SelectedUpdate::uncounted));
                }
            }
        }
    }

    /// Counts the updates that were sent. An update that was sent often enough is spread no longer;
    /// a repetition that found no room comes first next time.
    pub(super) fn record_sent(&mut self, selected: &[SelectedUpdate], sent: usize, members: u16) {
        let limit = (TRANSMISSIONS_FACTOR * f64::from(members.max(2)).log2()).ceil() as u32;
        let (sent, unsent) = selected.split_at(sent);
        for subject in sent.iter().filter_map(|selected| selected.subject) {
            let Some(transmissions) = self.transmissions.get_mut(&subject) else {
                continue;
            };
            *transmissions += 1;
            if *transmissions >= limit {
                self.transmissions.remove(&subject);
            }
        }
        let first_unsent = unsent.iter().find_map(SelectedUpdate::repeated_member);
        if let Some(member) = first_unsent {
            let members = members.max(1);
            self.last_repeated = (member + members - 1) % members;
        }
    }
}

/// The claim on the recipient itself, unless it is that it is alive.
fn correction_for(knowledge: Knowledge<'_>, recipient: MemberId) -> Option<Update> {
    let member = knowledge.members.get(recipient)?;
    if member.state == MemberState::Alive {
        return None;
    }
    knowledge.update_on(Subject::State(recipient))
}

#[cfg(test)]
#[path = "tests/dissemination.rs"]
mod tests;
