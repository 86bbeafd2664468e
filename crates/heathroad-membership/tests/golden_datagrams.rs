//! Golden tests of the wire format, with a datagram for each message and each update.

mod common;

use common::{CLOCK_START, KEY, authenticator};
use heathroad_membership::authentication::{Authenticator, DropCounters};
use heathroad_membership::claim::{Claim, MemberState, Revision};
use heathroad_membership::codec::Writer;
use heathroad_membership::version::{Digest, EndpointSource, Version};
use heathroad_membership::wire::{
    self, Header, MAX_DATAGRAM_BYTES, Message, Resource, SUPPORTED_PROTOCOLS, Update,
};

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
            EndpointSource {
                address_digest: digest(0x33),
                sequence: 9,
            },
            EndpointSource {
                address_digest: digest(0x34),
                sequence: 10,
            },
        ],
        unlisted_sources: 3,
    }
}

fn claim(state: MemberState, refutations: u16) -> Update {
    let revision = Revision {
        incarnation: CLOCK_START,
        refutations,
    };
    Update::Claim(Claim {
        member: 2,
        state,
        revision,
        source: 5,
    })
}

fn part_request(resource: Resource) -> Message {
    Message::PartRequest {
        id: 0x0a0b_0c0d,
        resource,
        key: digest(0x21),
        part: 4,
    }
}

type Case = (&'static str, Message, Vec<Update>);

/// Returns a datagram for each message and for each update. The names are those in the golden file.
fn cases() -> Vec<Case> {
    messages().into_iter().chain(updates()).collect()
}

fn messages() -> Vec<Case> {
    vec![
        ("ping", Message::Ping { nonce: 0x0102_0304 }, vec![]),
        ("ack", Message::Ack { nonce: 0x0102_0304 }, vec![]),
        (
            "help",
            Message::PingRequest {
                nonce: 0x0102_0304,
                target: 300,
            },
            vec![],
        ),
        ("nack", Message::Nack { nonce: 0x0102_0304 }, vec![]),
        ("gossip", Message::Gossip, vec![]),
        (
            "ask",
            Message::VersionRequest {
                member: 300,
                digest: digest(0x15),
            },
            vec![],
        ),
        (
            "tell",
            Message::VersionReply,
            vec![Update::Version(version())],
        ),
        (
            "fetch-record",
            part_request(Resource::ActivityRecord),
            vec![],
        ),
        ("fetch-routes", part_request(Resource::Routes), vec![]),
        ("fetch-duties", part_request(Resource::LeaseHistory), vec![]),
        (
            "fetch-collected",
            part_request(Resource::CollectedRecords),
            vec![],
        ),
        (
            "part",
            Message::Part {
                id: 7,
                length: 165,
                part: 1,
            },
            vec![Update::Bytes(b"text!".to_vec())],
        ),
        (
            "part-absent",
            Message::Part {
                id: 7,
                length: u32::MAX,
                part: 0,
            },
            vec![],
        ),
        (
            "carry",
            Message::Piggyback,
            vec![Update::Bytes((0..190).collect())],
        ),
    ]
}

fn updates() -> Vec<Case> {
    let active = Update::ActiveVersion {
        member: 3,
        incarnation: CLOCK_START + 1,
        sequence: 7,
        digest: digest(0x11),
    };
    let desired = Update::DesiredVersion {
        generation: 12,
        digest: digest(0x12),
        origin: 1,
    };
    let required = Update::RequiredVersion {
        generation: 12,
        digest: digest(0x12),
        remaining_ms: 90_000,
    };
    let conflict = Update::VersionConflict {
        generation: 13,
        digests: [digest(0x13), digest(0x14)],
    };
    vec![
        (
            "claim-alive",
            Message::Gossip,
            vec![claim(MemberState::Alive, 0)],
        ),
        (
            "claim-suspect",
            Message::Gossip,
            vec![claim(MemberState::Suspect, 0x0203)],
        ),
        (
            "claim-left",
            Message::Gossip,
            vec![claim(MemberState::Left, 1)],
        ),
        (
            "claim-gone",
            Message::Gossip,
            vec![claim(MemberState::Dead, 1)],
        ),
        ("acts", Message::Gossip, vec![active.clone()]),
        ("want", Message::Gossip, vec![desired.clone()]),
        ("required", Message::Gossip, vec![required.clone()]),
        ("conflict", Message::Gossip, vec![conflict.clone()]),
        (
            "several",
            Message::Ack { nonce: 1 },
            vec![
                claim(MemberState::Alive, 1),
                desired,
                required,
                active,
                conflict,
            ],
        ),
    ]
}

fn header() -> Header {
    Header {
        protocol: 1,
        supported_protocols: SUPPORTED_PROTOCOLS,
        fleet_name: b"kano".to_vec(),
        sender: 0x0102,
        sender_incarnation: CLOCK_START,
        recipient: 0x0304,
        recipient_incarnation: CLOCK_START + 5,
        sequence: 0x0506_0708,
    }
}

fn encode(message: Message, updates: &[Update]) -> Vec<u8> {
    let mut writer = Writer::default();
    header().encode(&mut writer);
    assert_eq!(
        wire::encode_content(message, updates, MAX_DATAGRAM_BYTES, &mut writer),
        updates.len()
    );
    authenticator().sign(writer)
}

fn to_hex(bytes: &[u8]) -> String {
    bytes.iter().map(|b| format!("{b:02x}")).collect()
}

fn from_hex(text: &str) -> Vec<u8> {
    let pairs = text
        .as_bytes()
        .chunks(2)
        .map(|pair| std::str::from_utf8(pair).expect("ASCII"));
    pairs
        .map(|pair| u8::from_str_radix(pair, 16).expect("hexadecimal"))
        .collect()
}

#[test]
fn encoded_datagrams_match_the_golden_file() {
    let lines = cases()
        .into_iter()
        .map(|(name, message, updates)| format!("{name} {}\n", to_hex(&encode(message, &updates))));
    common::assert_golden("datagrams.txt", &lines.collect::<String>());
}

#[test]
fn datagrams_of_the_golden_file_are_decoded() {
    let golden =
        std::fs::read_to_string(common::golden("datagrams.txt")).expect("the golden file exists");
    let cases = cases();
    assert_eq!(golden.lines().count(), cases.len());
    for (line, (name, message, updates)) in golden.lines().zip(cases) {
        let bytes = from_hex(
            line.strip_prefix(name)
                .expect("the cases are in the same order")
                .trim(),
        );
        let mut dropped = DropCounters::default();
        let verified = Authenticator::new("kano", KEY)
            .expect("the name and the key are valid")
            .verify(&bytes, &mut dropped);
        let (decoded_header, mut content) = verified.expect(name);
        assert_eq!(
            (decoded_header, dropped),
            (header(), DropCounters::default()),
            "{name}"
        );
        assert_eq!(
            wire::decode_content(&mut content),
            Ok((message, updates)),
            "{name}"
        );
    }
}
