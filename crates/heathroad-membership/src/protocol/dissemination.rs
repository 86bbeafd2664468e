//! Dissemination: selects the updates for outgoing datagrams. Each member sends an update a bounded
//! number of times, the least sent one first. The remaining space of a datagram repeats the known
//! state of the members in turn, so that members which missed an update eventually receive it.

use super::version_agreement::VersionAgreement;
use crate::claim::MemberState;
use crate::desired_version::{Desired, DesiredVersion, RequiredVersion, VersionConflict};
use crate::member_table::MemberTable;
use crate::wire::Update;
use crate::{MemberId, Millis};
use std::collections::BTreeMap;

/// Each member sends an update this many times the base-2 logarithm of the fleet's size. With
/// fewer, the last of several hundred members gets it only after many seconds, or later if messages
/// are lost.
const TRANSMISSIONS_FACTOR: f64 = 3.0;
/// The maximum number of updates selected for a datagram, which exceeds the number that fits.
const MAX_SELECTED: usize = 16;

/// The subject of an update.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) enum Subject {
    /// The state of a member.
    State(MemberId),
    /// The version that a member runs.
    ActiveVersion(MemberId),
    /// The version that all members should run.
    DesiredVersion,
}

/// An update selected for a datagram.
#[derive(Debug, Clone)]
pub(super) struct SelectedUpdate {
    /// The subject, if the transmission counts towards its limit.
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

    /// The member whose state a repetition repeats.
    fn repeated_member(&self) -> Option<MemberId> {
        match (self.subject, &self.update) {
            (None, Update::Claim(claim)) => Some(claim.member),
            (None, Update::ActiveVersion { member, .. }) => Some(*member),
            _ => None,
        }
    }
}

/// The local state from which updates are built at the time of sending, so that they are current.
#[derive(Clone, Copy)]
pub(super) struct LocalView<'a> {
    pub(super) members: &'a MemberTable,
    pub(super) agreement: &'a VersionAgreement,
}

impl LocalView<'_> {
    fn update_for(self, subject: Subject) -> Option<Update> {
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

/// The updates that are being disseminated, at most two for each member.
#[derive(Debug, Clone)]
pub(super) struct Dissemination {
    /// The number of times that this member has sent each update.
    transmissions: BTreeMap<Subject, u32>,
    /// The member whose state was repeated last.
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

    /// Returns when the next round of gossip is due; `None` without updates to disseminate.
    pub(super) fn due(&self) -> Option<Millis> {
        (!self.transmissions.is_empty()).then_some(self.next_round)
    }

    pub(super) fn schedule_round(&mut self, at: Millis) {
        self.next_round = at;
    }

    /// Starts to disseminate the current state of a subject.
    pub(super) fn spread(&mut self, subject: Subject) {
        self.transmissions.insert(subject, 0);
    }

    /// Selects the updates for a datagram by priority: a claim that the recipient should refute,
    /// the desired version and its requirements, updates being disseminated, and repetitions.
    pub(super) fn select(
        &mut self,
        view: LocalView<'_>,
        recipient: MemberId,
        now: Millis,
    ) -> Vec<SelectedUpdate> {
        let mut selected = Vec::new();
        selected.extend(correction_for(view, recipient).map(SelectedUpdate::uncounted));
        // Every datagram carries the desired version, even after its dissemination has ended.
        let desired = view.update_for(Subject::DesiredVersion);
        selected
            .extend(desired.map(|update| SelectedUpdate::counted(Subject::DesiredVersion, update)));
        selected.extend(view.requirements(now).map(SelectedUpdate::uncounted));
        let pending = self.least_sent();
        selected.extend(pending.iter().filter_map(|subject| {
            let update = view.update_for(*subject)?;
            Some(SelectedUpdate::counted(*subject, update))
        }));
        self.fill_with_repetitions(view, &pending, &mut selected);
        selected
    }

    /// Returns the least sent subjects, except for the desired version.
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
        view: LocalView<'_>,
        pending: &[Subject],
        selected: &mut Vec<SelectedUpdate>,
    ) {
        let members = view.members.size();
        for _ in 0..members {
            if selected.len() >= MAX_SELECTED {
                break;
            }
            self.last_repeated = (self.last_repeated + 1) % members;
            let member = self.last_repeated;
            for subject in [Subject::State(member), Subject::ActiveVersion(member)] {
                if !pending.contains(&subject) {
                    let update = view.update_for(subject);
                    selected.extend(update.map(SelectedUpdate::uncounted));
                }
            }
        }
    }

    /// Counts the first `sent` updates as sent, and ends the dissemination of those that have
    /// reached the limit. The next repetitions start at the first one that was not sent.
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

/// Returns the claim about the recipient if the recipient is not known to be alive.
fn correction_for(view: LocalView<'_>, recipient: MemberId) -> Option<Update> {
    let member = view.members.get(recipient)?;
    if member.state == MemberState::Alive {
        return None;
    }
    view.update_for(Subject::State(recipient))
}

#[cfg(test)]
#[path = "tests/dissemination.rs"]
mod tests;
