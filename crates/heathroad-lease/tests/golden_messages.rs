//! The bytes of lease messages and the words of their reasons in JSON stay as they were when the
//! golden files were written.

use heathroad_lease::DutyId;
use heathroad_lease::history::{End, Spell};
use heathroad_lease::message::{Message, What, Why};
use heathroad_lease::seat::Ended;
use heathroad_lease::token::Token;
use heathroad_lease::voter::{Hard, Mark, Memory};
use std::collections::BTreeMap;
use std::fmt::Write;

const MESSAGES: &str = include_str!("golden/messages.txt");
const JSON: &str = include_str!("golden/json.txt");

fn token() -> Token {
    Token::new(3, 179_000_000_123, 7)
}

fn mark() -> Mark {
    Mark {
        token: Token::new(2, 300, 5),
        seq: 77,
        state: b"state".to_vec(),
    }
}

/// One message of each kind, with each reason.
fn messages() -> Vec<(String, Message)> {
    let (token, round, lease, highest) = (token(), 300, 5000, Token::new(1, 70_000, 2));
    let mut all = vec![
        (
            "ask".to_string(),
            What::Ask {
                token,
                round,
                lease,
            },
        ),
        (
            "granted".into(),
            What::Granted {
                token,
                round,
                lease,
                mark: None,
            },
        ),
        (
            "granted with a mark".into(),
            What::Granted {
                token,
                round,
                lease,
                mark: Some(mark()),
            },
        ),
        ("resign".into(), What::Resign { token }),
        ("freed".into(), What::Freed { token }),
        ("keep".into(), What::Keep { mark: mark() }),
        ("kept".into(), What::Kept { token, seq: 77 }),
        ("yours".into(), What::Yours),
        ("look".into(), What::Look { round }),
        (
            "stands free".into(),
            What::Stands {
                round,
                highest,
                left: 0,
                why: None,
                died: 0,
            },
        ),
    ];
    for (name, why) in reasons() {
        all.push((
            format!("refused {name}"),
            What::Refused {
                round,
                highest,
                left: 129,
                why,
            },
        ));
        let stands = What::Stands {
            round,
            highest,
            left: 1200,
            why: Some(why),
            died: 4,
        };
        all.push((format!("stands {name}"), stands));
    }
    let duty = DutyId::of("conductor");
    all.into_iter()
        .map(|(name, what)| (name, Message { duty, what }))
        .collect()
}

fn reasons() -> [(&'static str, Why); 5] {
    [
        ("held", Why::Held),
        ("low", Why::Low),
        ("silent", Why::Silent),
        ("held back", Why::HeldBack),
        ("foreign", Why::Foreign),
    ]
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|b| format!("{b:02x}")).collect()
}

fn unhex(text: &str) -> Vec<u8> {
    let digits = text.as_bytes().chunks(2);
    digits
        .map(|d| u8::from_str_radix(std::str::from_utf8(d).expect("ASCII"), 16).expect("hex"))
        .collect()
}

fn compare(golden: &str, actual: &str) {
    assert!(
        golden == actual,
        "differs from the golden file; the actual text is:\n{actual}"
    );
}

#[test]
fn each_message_is_encoded_as_before() {
    let mut actual = String::new();
    for (name, message) in messages() {
        writeln!(actual, "{name}: {}", hex(&message.write())).expect("a string");
    }
    compare(MESSAGES, &actual);
}

#[test]
fn each_message_is_decoded_as_before() {
    let messages = messages();
    assert_eq!(MESSAGES.lines().count(), messages.len());
    for (line, (name, message)) in MESSAGES.lines().zip(messages) {
        let bytes = unhex(line.rsplit(' ').next().expect("a line"));
        assert_eq!(Message::read(&bytes), Some(message), "{name}");
    }
}

#[test]
fn words_in_json_are_as_before() {
    let ends = [
        Ended::Lapsed,
        Ended::Told,
        Ended::Stops,
        Ended::Fenced,
        Ended::Unfit,
        Ended::Overtaken,
        Ended::Anew,
    ];
    let spells = [End::Open, End::Resigned, End::Lapsed];
    let spells = spells.map(|end| Spell {
        token: token(),
        life: 4,
        from: 5,
        until: 6,
        end,
    });
    let hard = Hard {
        token: token(),
        life: 9,
        mark: mark(),
    };
    let memory = Memory {
        generation: 3,
        duties: BTreeMap::from([(DutyId::of("conductor"), hard)]),
    };
    let mut actual = String::new();
    let texts = [
        serde_json::to_string(&ends),
        serde_json::to_string(&reasons().map(|(_, why)| why)),
        serde_json::to_string(&spells),
        serde_json::to_string(&memory.duties.values().collect::<Vec<_>>()),
        serde_json::to_string(&memory.duties.keys().collect::<Vec<_>>()),
        serde_json::to_string(&memory.generation),
    ];
    for text in texts {
        writeln!(actual, "{}", text.expect("JSON")).expect("a string");
    }
    compare(JSON, &actual);
}
