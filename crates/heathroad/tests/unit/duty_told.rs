//! What proxies tell each other of held leases, and the history that is made of it, have the JSON
//! of the golden file.

use super::*;

/// What a member tells, and the history that operators are given of it.
const GOLDEN: &str = include_str!("../golden/lease_history.txt");

fn told() -> Told {
    let token = |count, place| Token::new(1, count, place);
    let own = |count, to, why: Option<&str>| OwnTold {
        token: token(count, 0),
        from: 1000 * count,
        to,
        why: why.map(Into::into),
    };
    let granted = |count, place, end| Granted {
        token: token(count, place),
        from: 1000 * count + 5,
        until: 1000 * count + 5105,
        end,
    };
    let part = Part {
        name: "tick".into(),
        own: vec![own(10, Some(12_000), Some("lapsed")), own(30, None, None)],
        granted: vec![
            granted(10, 0, End::Open),
            granted(20, 4, End::Resigned),
            granted(30, 0, End::Lapsed),
        ],
    };
    Told {
        at: 31_000,
        duties: vec![part],
    }
}

#[test]
fn history_has_the_same_json() {
    let all = [
        (0, told(), ClockOffset::default()),
        (
            1,
            told(),
            ClockOffset {
                offset_ms: -40,
                error_ms: 3,
            },
        ),
    ];
    let text = serde_json::to_string(&told()).expect("JSON");
    let actual = format!("{text}\n{}\n", spells("tick", &all));
    assert!(
        GOLDEN == actual,
        "differs from the golden file; the actual text is:\n{actual}"
    );
}

#[test]
fn what_a_member_of_the_old_code_tells_is_read() {
    let text = GOLDEN.lines().next().expect("a line");
    let read: Told = serde_json::from_str(text).expect("it is understood");
    assert_eq!(serde_json::to_string(&read).expect("JSON"), text);
    assert_eq!(
        (
            read.at,
            read.duties[0].own.len(),
            read.duties[0].granted.len()
        ),
        (31_000, 2, 3)
    );
}
