//! Unit tests of the dissemination of updates.

use super::*;
use crate::claim::{Claim, Revision};
use crate::version::Digest;

const MEMBERS: u16 = 4;

fn members() -> MemberTable {
    let mut members = MemberTable::new(MEMBERS);
    for member in 0..MEMBERS {
        members.merge(0, claim(member, MemberState::Alive));
    }
    members
}

fn claim(member: MemberId, state: MemberState) -> Claim {
    Claim {
        member,
        state,
        revision: Revision {
            incarnation: 1,
            refutations: 0,
        },
        source: 0,
    }
}

fn select(
    dissemination: &mut Dissemination,
    members: &MemberTable,
    agreement: &VersionAgreement,
) -> Vec<SelectedUpdate> {
    dissemination.select(LocalView { members, agreement }, 1, 0)
}

#[test]
fn an_update_is_sent_a_bounded_number_of_times() {
    let (members, agreement) = (members(), VersionAgreement::default());
    let mut dissemination = Dissemination::new(200);
    assert_eq!(dissemination.due(), None);
    dissemination.spread(Subject::State(3));
    let mut transmissions = 0;
    while dissemination.due() == Some(200) {
        let selected = select(&mut dissemination, &members, &agreement);
        dissemination.record_sent(&selected, 1, MEMBERS);
        transmissions += 1;
    }
    // 3 * log2(4 members)
    assert_eq!(transmissions, 6);
}

#[test]
fn an_unsent_update_is_not_counted() {
    let (members, agreement) = (members(), VersionAgreement::default());
    let mut dissemination = Dissemination::new(0);
    dissemination.spread(Subject::State(3));
    for _ in 0..100 {
        let selected = select(&mut dissemination, &members, &agreement);
        dissemination.record_sent(&selected, 0, MEMBERS);
    }
    assert!(dissemination.due().is_some());
}

#[test]
fn a_suspicion_of_the_recipient_is_selected_first() {
    let (mut members, agreement) = (members(), VersionAgreement::default());
    members.merge(0, claim(1, MemberState::Suspect));
    let mut dissemination = Dissemination::new(0);
    dissemination.spread(Subject::State(3));
    let selected = select(&mut dissemination, &members, &agreement);
    let expected = Update::Claim(claim(1, MemberState::Suspect));
    assert_eq!(selected[0].update, expected);
}

#[test]
fn desired_and_required_versions_precede_other_updates() {
    let (members, mut agreement) = (members(), VersionAgreement::default());
    let (generation, digest) = (7, Digest::of(b"routes"));
    let origin = 2;
    agreement.merge_desired(Desired::Version(DesiredVersion {
        generation,
        digest,
        origin,
    }));
    agreement.merge_required(RequiredVersion {
        generation,
        digest,
        deadline: 90,
    });
    let mut dissemination = Dissemination::new(0);
    dissemination.spread(Subject::State(3));
    let selected = select(&mut dissemination, &members, &agreement);
    assert!(matches!(
        selected[0].update,
        Update::DesiredVersion { generation: 7, .. }
    ));
    let is_required = |update: &Update| {
        matches!(
            update,
            Update::RequiredVersion {
                generation: 7,
                remaining_ms: 90,
                ..
            }
        )
    };
    assert!(is_required(&selected[1].update));
}

#[test]
fn an_unsent_repetition_is_selected_first_next_time() {
    let (members, agreement) = (members(), VersionAgreement::default());
    let mut dissemination = Dissemination::new(0);
    let first = select(&mut dissemination, &members, &agreement);
    assert_eq!(first.len(), usize::from(MEMBERS));
    dissemination.record_sent(&first, 1, MEMBERS);
    let next = select(&mut dissemination, &members, &agreement);
    assert_eq!(next[0].update, first[1].update);
}
