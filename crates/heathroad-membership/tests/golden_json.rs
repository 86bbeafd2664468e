//! Golden test of the JSON that operators read.

mod common;

use heathroad_membership::authentication::DropCounters;
use heathroad_membership::claim::MemberState;
use heathroad_membership::desired_version::{
    Desired, DesiredVersion, RequiredVersion, RequiredVersions, VersionConflict,
};
use heathroad_membership::protocol::{Event, TrafficCounters};
use heathroad_membership::version::Digest;
use serde::Serialize;

fn json_line(value: &impl Serialize) -> String {
    serde_json::to_string(value).expect("the value is serializable") + "\n"
}

#[test]
fn json_output_matches_the_golden_file() {
    let [one, other] = [Digest([0x11; 8]), Digest([0x22; 8])];
    let mut text = String::new();
    for event in [
        Event::MemberAlive {
            member: 1,
            incarnation: 2,
        },
        Event::MemberSuspected {
            member: 1,
            accuser: 3,
        },
        Event::SuspicionRefuted { member: 1 },
        Event::MemberDead { member: 1 },
        Event::MemberLeft { member: 1 },
        Event::ActiveVersionChanged {
            member: 1,
            digest: one,
        },
        Event::Reincarnated { incarnation: 4 },
        Event::Stalled { duration: 5 },
        Event::DesiredVersionChanged {
            generation: 6,
            digest: one,
        },
        Event::VersionRequired { generation: 7 },
        Event::VersionConflict {
            generation: 8,
            digests: [one, other],
        },
        Event::Isolated,
        Event::Reconnected,
    ] {
        text += &json_line(&event);
    }
    for state in [
        MemberState::Unknown,
        MemberState::Alive,
        MemberState::Suspect,
        MemberState::Left,
        MemberState::Dead,
    ] {
        text += &json_line(&state);
    }
    text += &json_line(&Desired::Unset);
    text += &json_line(&Desired::Version(DesiredVersion {
        generation: 9,
        digest: one,
        origin: 2,
    }));
    text += &json_line(&Desired::Conflict(VersionConflict {
        generation: 10,
        digests: [one, other],
    }));
    let mut required = RequiredVersions::default();
    assert!(required.merge(RequiredVersion {
        generation: 11,
        digest: one,
        deadline: 12
    }));
    text += &json_line(&required);
    let dropped = DropCounters {
        malformed: 1,
        other_fleet: 2,
        unsupported_protocol: 3,
        unauthenticated: 4,
        misaddressed: 5,
        stale: 6,
        replayed: 7,
    };
    text += &json_line(&TrafficCounters {
        sent: 1,
        sent_bytes: 2,
        received: 3,
        rate_limited: 4,
        dropped,
    });
    common::assert_golden("json.txt", &text);
}
