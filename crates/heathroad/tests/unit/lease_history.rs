//! What members tell each other of held leases, and the history that is made of it, have the JSON
//! of the golden file.

use super::*;

/// What a member tells, and the history that operators are given of it.
const GOLDEN: &str = include_str!("../golden/lease_history.txt");

fn own_hold(count: u64, to: Option<u64>, end_reason: Option<&str>) -> OwnHoldRecord {
    OwnHoldRecord {
        token: Token::new(1, count, 0),
        from: 1000 * count,
        to,
        end_reason: end_reason.map(str::to_string),
    }
}

fn grant(count: u64, holder: MemberId, end: GrantEnd) -> VoterGrantRecord {
    VoterGrantRecord {
        token: Token::new(1, count, holder),
        from: 1000 * count + 5,
        until: 1000 * count + 5105,
        end,
    }
}

fn local_history() -> LocalHistory {
    let records = LeaseRecords {
        name: "tick".into(),
        own_holds: vec![
            own_hold(10, Some(12_000), Some("lapsed")),
            own_hold(30, None, None),
        ],
        grants: vec![
            grant(10, 0, GrantEnd::Open),
            grant(20, 4, GrantEnd::Resigned),
            grant(30, 0, GrantEnd::Expired),
        ],
    };
    LocalHistory {
        at: 31_000,
        leases: vec![records],
    }
}

#[test]
fn history_has_the_same_json() {
    let clocks = [
        ClockOffset::default(),
        ClockOffset {
            offset_ms: -40,
            error_ms: 3,
        },
    ];
    let histories = [0, 1].map(|member| MemberHistory {
        member,
        history: local_history(),
        clock: clocks[usize::from(member)],
    });
    let told = serde_json::to_string(&local_history()).expect("JSON");
    let combined = serde_json::to_value(combine("tick", &histories)).expect("JSON");
    let actual = format!("{told}\n{combined}\n");
    assert!(
        GOLDEN == actual,
        "differs from the golden file; the actual text is:\n{actual}"
    );
}

#[test]
fn the_history_of_a_member_of_the_old_code_is_read() {
    let text = GOLDEN.lines().next().expect("a line");
    let history: LocalHistory = serde_json::from_str(text).expect("it is understood");
    assert_eq!(serde_json::to_string(&history).expect("JSON"), text);
    let records = &history.leases[0];
    assert_eq!(
        (history.at, records.own_holds.len(), records.grants.len()),
        (31_000, 2, 3)
    );
}
