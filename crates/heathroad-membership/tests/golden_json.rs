//! What operators read of the protocol as JSON stays as it is.

mod common;

use heathroad_membership::desired_version::{
    Conflict, Desired, DesiredVersion, Required, Requirements,
};
use heathroad_membership::protocol::{Event, Traffic};
use heathroad_membership::seal::Dropped;
use heathroad_membership::table::Standing;
use heathroad_membership::version::Digest;
use serde::Serialize;

fn line(value: &impl Serialize) -> String {
    serde_json::to_string(value).expect("plain") + "\n"
}

#[test]
fn what_is_told_as_json_is_told_as_before() {
    let [one, other] = [Digest([0x11; 8]), Digest([0x22; 8])];
    let mut text = String::new();
    for news in [
        Event::Up { member: 1, life: 2 },
        Event::Suspected { member: 1, by: 3 },
        Event::Refuted { member: 1 },
        Event::Gone { member: 1 },
        Event::Left { member: 1 },
        Event::Acts {
            member: 1,
            digest: one,
        },
        Event::Reborn { life: 4 },
        Event::Woke { after: 5 },
        Event::Wanted {
            number: 6,
            digest: one,
        },
        Event::Required { number: 7 },
        Event::Conflict {
            number: 8,
            digests: [one, other],
        },
        Event::CutOff,
        Event::Heard,
    ] {
        text += &line(&news);
    }
    for standing in [
        Standing::Unknown,
        Standing::Alive,
        Standing::Suspect,
        Standing::Left,
        Standing::Gone,
    ] {
        text += &line(&standing);
    }
    text += &line(&Desired::Unset);
    text += &line(&Desired::Version(DesiredVersion {
        generation: 9,
        digest: one,
        by: 2,
    }));
    text += &line(&Desired::Conflict(Conflict {
        number: 10,
        digests: [one, other],
    }));
    let mut required = Requirements::default();
    assert!(required.merge(Required {
        number: 11,
        digest: one,
        at: 12
    }));
    text += &line(&required);
    let dropped = Dropped {
        torn: 1,
        foreign: 2,
        protocol: 3,
        forged: 4,
        astray: 5,
        stale: 6,
        replayed: 7,
    };
    text += &line(&Traffic {
        sent: 1,
        sent_bytes: 2,
        heard: 3,
        held_back: 4,
        dropped,
    });
    common::assert_golden("json.txt", &text);
}
