//! The bytes of one datagram of each kind and of each item stay as they are.

mod common;

use common::{EPOCH, KEY, seal};
use heathroad_membership::seal::{Dropped, Seal};
use heathroad_membership::table::{Claim, Incarnation, Standing};
use heathroad_membership::version::{Digest, Source, Version};
use heathroad_membership::wire::{self, Head, Item, Kind, MAX_DATAGRAM, Resource, SPOKEN, Writer};

fn digest(byte: u8) -> Digest {
    Digest([byte; 8])
}

fn version() -> Version {
    Version {
        build: "0.2.0".into(),
        protocols: [1, 2],
        settings: digest(0x31),
        generation: 0x0102_0304_0506_0708,
        routes: digest(0x32),
        sources: vec![
            Source {
                source: digest(0x33),
                seq: 9,
            },
            Source {
                source: digest(0x34),
                seq: 10,
            },
        ],
        further: 3,
    }
}

fn claim(standing: Standing, turn: u16) -> Item {
    let incarnation = Incarnation { life: EPOCH, turn };
    Item::Claim(Claim {
        member: 2,
        standing,
        incarnation,
        by: 5,
    })
}

fn fetch(topic: Resource) -> Kind {
    Kind::Fetch {
        id: 0x0a0b_0c0d,
        topic,
        key: digest(0x21),
        at: 4,
    }
}

/// Each kind, and each item in some kind that holds it.
fn cases() -> Vec<(&'static str, Kind, Vec<Item>)> {
    let acts = Item::Acts {
        member: 3,
        life: EPOCH + 1,
        change: 7,
        digest: digest(0x11),
    };
    let want = Item::Want {
        number: 12,
        digest: digest(0x12),
        by: 1,
    };
    let required = Item::Required {
        number: 12,
        digest: digest(0x12),
        left: 90_000,
    };
    let conflict = Item::Conflict {
        number: 13,
        digests: [digest(0x13), digest(0x14)],
    };
    vec![
        ("ping", Kind::Ping { nonce: 0x0102_0304 }, vec![]),
        ("ack", Kind::Ack { nonce: 0x0102_0304 }, vec![]),
        (
            "help",
            Kind::Help {
                nonce: 0x0102_0304,
                after: 300,
            },
            vec![],
        ),
        ("nack", Kind::Nack { nonce: 0x0102_0304 }, vec![]),
        ("gossip", Kind::Gossip, vec![]),
        (
            "ask",
            Kind::Ask {
                member: 300,
                digest: digest(0x15),
            },
            vec![],
        ),
        ("tell", Kind::Tell, vec![Item::Whole(version())]),
        ("fetch-record", fetch(Resource::ActivityRecord), vec![]),
        ("fetch-routes", fetch(Resource::Routes), vec![]),
        ("fetch-duties", fetch(Resource::LeaseHistory), vec![]),
        ("fetch-collected", fetch(Resource::CollectedRecords), vec![]),
        (
            "part",
            Kind::Part {
                id: 7,
                length: 165,
                at: 1,
            },
            vec![Item::Bytes(b"text!".to_vec())],
        ),
        (
            "part-absent",
            Kind::Part {
                id: 7,
                length: u32::MAX,
                at: 0,
            },
            vec![],
        ),
        ("carry", Kind::Carry, vec![Item::Bytes((0..190).collect())]),
        ("claim-alive", Kind::Gossip, vec![claim(Standing::Alive, 0)]),
        (
            "claim-suspect",
            Kind::Gossip,
            vec![claim(Standing::Suspect, 0x0203)],
        ),
        ("claim-left", Kind::Gossip, vec![claim(Standing::Left, 1)]),
        ("claim-gone", Kind::Gossip, vec![claim(Standing::Gone, 1)]),
        ("acts", Kind::Gossip, vec![acts.clone()]),
        ("want", Kind::Gossip, vec![want.clone()]),
        ("required", Kind::Gossip, vec![required.clone()]),
        ("conflict", Kind::Gossip, vec![conflict.clone()]),
        (
            "several",
            Kind::Ack { nonce: 1 },
            vec![claim(Standing::Alive, 1), want, required, acts, conflict],
        ),
    ]
}

fn head() -> Head {
    Head {
        protocol: 1,
        spoken: SPOKEN,
        fleet: b"kano".to_vec(),
        from: 0x0102,
        from_life: EPOCH,
        to: 0x0304,
        to_life: EPOCH + 5,
        number: 0x0506_0708,
    }
}

fn encode(kind: Kind, items: &[Item]) -> Vec<u8> {
    let mut writer = Writer::default();
    head().write(&mut writer);
    assert_eq!(
        wire::write(kind, items, MAX_DATAGRAM, &mut writer),
        items.len()
    );
    seal().close(writer)
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|b| format!("{b:02x}")).collect()
}

fn unhex(text: &str) -> Vec<u8> {
    let pairs = text
        .as_bytes()
        .chunks(2)
        .map(|pair| std::str::from_utf8(pair).expect("ASCII"));
    pairs
        .map(|pair| u8::from_str_radix(pair, 16).expect("hexadecimal"))
        .collect()
}

#[test]
fn datagrams_are_encoded_as_before() {
    let lines = cases()
        .into_iter()
        .map(|(name, kind, items)| format!("{name} {}\n", hex(&encode(kind, &items))));
    common::assert_golden("datagrams.txt", &lines.collect::<String>());
}

#[test]
fn datagrams_encoded_before_are_decoded() {
    let golden = std::fs::read_to_string(common::golden("datagrams.txt")).expect("it is there");
    let cases = cases();
    assert_eq!(golden.lines().count(), cases.len());
    for (line, (name, kind, items)) in golden.lines().zip(cases) {
        let bytes = unhex(line.strip_prefix(name).expect("the same order").trim());
        let mut dropped = Dropped::default();
        let opened = Seal::new("kano", KEY)
            .expect("good")
            .open(&bytes, &mut dropped);
        let (read, mut rest) = opened.expect(name);
        assert_eq!((read, dropped), (head(), Dropped::default()), "{name}");
        assert_eq!(wire::read(&mut rest), Ok((kind, items)), "{name}");
    }
}
