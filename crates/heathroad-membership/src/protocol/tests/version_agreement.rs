//! Unit tests of version agreement.

use super::*;
use crate::member_table::ActiveVersion;

fn version(generation: u64) -> Version {
    Version {
        generation,
        ..Version::default()
    }
}

#[test]
fn only_an_ack_of_a_pending_probe_confirms() {
    let mut agreement = VersionAgreement::default();
    agreement.begin_confirmation(100, 7);
    assert!(agreement.awaits_confirmation(349, 250));
    assert!(!agreement.awaits_confirmation(350, 250));
    agreement.acknowledge(8);
    assert_eq!(agreement.last_confirmed(), None);
    agreement.acknowledge(7);
    assert_eq!(agreement.last_confirmed(), Some(100));
    agreement.record_confirmation(50);
    assert_eq!(
        agreement.last_confirmed(),
        Some(100),
        "an older confirmation changes nothing"
    );
}

#[test]
fn a_dropped_pending_confirmation_does_not_confirm() {
    let mut agreement = VersionAgreement::default();
    for nonce in 0..=MAX_PENDING_CONFIRMATIONS as u32 {
        agreement.begin_confirmation(u64::from(nonce), nonce);
    }
    agreement.acknowledge(0);
    assert_eq!(agreement.last_confirmed(), None);
    agreement.acknowledge(1);
    assert_eq!(agreement.last_confirmed(), Some(1));
}

#[test]
fn inactive_versions_are_discarded_at_the_limit() {
    let mut members = MemberTable::new(2);
    let active = ActiveVersion {
        incarnation: 1,
        sequence: 1,
        digest: version(0).digest(),
    };
    members.update_active_version(1, active);
    let mut agreement = VersionAgreement::default();
    for generation in 0..=MAX_KNOWN_VERSIONS as u64 {
        agreement.store(version(generation), &members);
    }
    assert!(agreement.known(version(0).digest()).is_some());
    assert!(agreement.known(version(1).digest()).is_none());
    let latest = version(MAX_KNOWN_VERSIONS as u64);
    assert!(agreement.known(latest.digest()).is_some());
    assert_eq!(agreement.highest_generation(), MAX_KNOWN_VERSIONS as u64);
}
