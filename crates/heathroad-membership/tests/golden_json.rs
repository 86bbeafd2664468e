//! What operators read of the protocol as JSON stays as it is.

mod common;

use heathroad_membership::fleet::{News, Traffic};
use heathroad_membership::seal::Dropped;
use heathroad_membership::table::Standing;
use heathroad_membership::version::Digest;
use heathroad_membership::want::{Conflict, Required, Requirements, Want, Wanted};
use serde::Serialize;

fn line(value: &impl Serialize) -> String {
    serde_json::to_string(value).expect("plain") + "\n"
}

#[test]
fn what_is_told_as_json_is_told_as_before() {
    let [one, other] = [Digest([0x11; 8]), Digest([0x22; 8])];
    let mut text = String::new();
    for news in [
        News::Up { member: 1, life: 2 },
        News::Suspected { member: 1, by: 3 },
        News::Refuted { member: 1 },
        News::Gone { member: 1 },
        News::Left { member: 1 },
        News::Acts {
            member: 1,
            digest: one,
        },
        News::Reborn { life: 4 },
        News::Woke { after: 5 },
        News::Wanted {
            number: 6,
            digest: one,
        },
        News::Required { number: 7 },
        News::Conflict {
            number: 8,
            digests: [one, other],
        },
        News::CutOff,
        News::Heard,
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
    text += &line(&Wanted::Nothing);
    text += &line(&Wanted::One(Want {
        number: 9,
        digest: one,
        by: 2,
    }));
    text += &line(&Wanted::Both(Conflict {
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
