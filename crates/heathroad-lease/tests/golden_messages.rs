//! The encoding of lease messages and the JSON names of stored and reported values match the golden
//! files, so that members of different versions understand each other.

use heathroad_lease::LeaseId;
use heathroad_lease::candidate::EndReason;
use heathroad_lease::checkpoint::Checkpoint;
use heathroad_lease::grant_history::{GrantEnd, GrantRecord};
use heathroad_lease::message::{
    Body, GrantRequest, Granted, Message, RejectReason, Rejected, Status,
};
use heathroad_lease::token::Token;
use heathroad_lease::voter_state::{DurableGrant, VoterState};
use std::collections::BTreeMap;
use std::fmt::Write;

const MESSAGES: &str = include_str!("golden/messages.txt");
const JSON: &str = include_str!("golden/json.txt");

const ROUND: u32 = 300;

fn token() -> Token {
    Token::new(3, 179_000_000_123, 7)
}

fn highest_token() -> Token {
    Token::new(1, 70_000, 2)
}

fn checkpoint() -> Checkpoint {
    Checkpoint {
        token: Token::new(2, 300, 5),
        sequence: 77,
        state: b"state".to_vec(),
    }
}

fn granted(checkpoint: Option<Checkpoint>) -> Body {
    Body::Granted(Granted {
        token: token(),
        round: ROUND,
        duration_ms: 5000,
        checkpoint,
    })
}

fn rejected(reason: RejectReason) -> Body {
    Body::Rejected(Rejected {
        round: ROUND,
        highest_token: highest_token(),
        remaining_ms: 129,
        reason,
    })
}

fn status(remaining_ms: u32, reason: Option<RejectReason>, early_failures: u8) -> Body {
    Body::Status(Status {
        round: ROUND,
        highest_token: highest_token(),
        remaining_ms,
        reason,
        early_failures,
    })
}

/// Returns a message of each kind, and of each reason, with its label in the golden file.
fn messages() -> Vec<(String, Message)> {
    let token = token();
    let request = GrantRequest {
        token,
        round: ROUND,
        duration_ms: 5000,
    };
    let store_checkpoint = Body::StoreCheckpoint {
        checkpoint: checkpoint(),
    };
    let checkpoint_stored = Body::CheckpointStored {
        token,
        sequence: 77,
    };
    let mut bodies = vec![
        ("ask".to_string(), Body::GrantRequest(request)),
        ("granted".into(), granted(None)),
        ("granted with a mark".into(), granted(Some(checkpoint()))),
        ("resign".into(), Body::Resign { token }),
        ("freed".into(), Body::Resigned { token }),
        ("keep".into(), store_checkpoint),
        ("kept".into(), checkpoint_stored),
        ("yours".into(), Body::Handover),
        ("look".into(), Body::StatusRequest { round: ROUND }),
        ("stands free".into(), status(0, None, 0)),
    ];
    for (name, reason) in reasons() {
        bodies.push((format!("refused {name}"), rejected(reason)));
        bodies.push((format!("stands {name}"), status(1200, Some(reason), 4)));
    }
    let lease = LeaseId::from_name("conductor");
    let message = |(name, body)| (name, Message { lease, body });
    bodies.into_iter().map(message).collect()
}

fn reasons() -> [(&'static str, RejectReason); 5] {
    [
        ("held", RejectReason::Held),
        ("low", RejectReason::TokenTooLow),
        ("silent", RejectReason::VoterStarting),
        ("held back", RejectReason::FailureBackoff),
        ("foreign", RejectReason::NotAccepted),
    ]
}

fn to_hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn from_hex(text: &str) -> Vec<u8> {
    let byte = |digits: &[u8]| {
        let digits = std::str::from_utf8(digits).expect("ASCII");
        u8::from_str_radix(digits, 16).expect("hexadecimal digits")
    };
    text.as_bytes().chunks(2).map(byte).collect()
}

fn assert_golden(golden: &str, actual: &str) {
    assert!(
        golden == actual,
        "output differs from the golden file; actual output:\n{actual}"
    );
}

#[test]
fn message_encodings_match_the_golden_file() {
    let mut actual = String::new();
    for (name, message) in messages() {
        writeln!(actual, "{name}: {}", to_hex(&message.encode())).expect("a string");
    }
    assert_golden(MESSAGES, &actual);
}

#[test]
fn golden_messages_are_decoded() {
    let messages = messages();
    assert_eq!(MESSAGES.lines().count(), messages.len());
    for (line, (name, message)) in MESSAGES.lines().zip(messages) {
        let bytes = from_hex(line.rsplit(' ').next().expect("a line"));
        assert_eq!(Message::decode(&bytes), Ok(message), "{name}");
    }
}

#[test]
fn json_names_match_the_golden_file() {
    let end_reasons = [
        EndReason::Expired,
        EndReason::Resigned,
        EndReason::ShuttingDown,
        EndReason::Fenced,
        EndReason::WorkFailed,
        EndReason::Superseded,
        EndReason::VoterRestarted,
    ];
    let grant_ends = [GrantEnd::Open, GrantEnd::Resigned, GrantEnd::Expired];
    let records = grant_ends.map(|end| GrantRecord {
        token: token(),
        incarnation: 4,
        from: 5,
        until: 6,
        end,
    });
    let durable = DurableGrant {
        token: token(),
        incarnation: 9,
        checkpoint: checkpoint(),
    };
    let state = VoterState {
        generation: 3,
        leases: BTreeMap::from([(LeaseId::from_name("conductor"), durable)]),
    };
    let mut actual = String::new();
    let texts = [
        serde_json::to_string(&end_reasons),
        serde_json::to_string(&reasons().map(|(_, reason)| reason)),
        serde_json::to_string(&records),
        serde_json::to_string(&state.leases.values().collect::<Vec<_>>()),
        serde_json::to_string(&state.leases.keys().collect::<Vec<_>>()),
        serde_json::to_string(&state.generation),
    ];
    for text in texts {
        writeln!(actual, "{}", text.expect("JSON")).expect("a string");
    }
    assert_golden(JSON, &actual);
}
