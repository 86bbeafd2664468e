//! Golden texts of the retry budget's headers, encoded and decoded.

use heathroad_retry_budget::wire::{Budget, Path, Spent};

const BUDGETS: [(Budget, &str); 3] = [
    (
        Budget {
            time_ms: 1850,
            attempts: 2,
            worth: 750,
            hops: 6,
            loan: 0x00c0_ffee_00c0_ffee,
        },
        "t=1850, a=2, w=750, h=6, i=00c0ffee00c0ffee",
    ),
    (
        Budget {
            time_ms: 600_000,
            attempts: 64,
            worth: 1000,
            hops: 32,
            loan: u64::MAX,
        },
        "t=600000, a=64, w=1000, h=32, i=ffffffffffffffff",
    ),
    (
        Budget {
            time_ms: 0,
            attempts: 0,
            worth: 0,
            hops: 0,
            loan: 0,
        },
        "t=0, a=0, w=0, h=0, i=0000000000000000",
    ),
];

const SPENT: [(Spent, &str); 4] = [
    (
        Spent {
            attempts: 0,
            stop: false,
        },
        "a=0",
    ),
    (
        Spent {
            attempts: 1,
            stop: false,
        },
        "a=1",
    ),
    (
        Spent {
            attempts: 1,
            stop: true,
        },
        "a=1, stop",
    ),
    (
        Spent {
            attempts: 64,
            stop: true,
        },
        "a=64, stop",
    ),
];

const PATHS: [&[&str]; 3] = [&["gate-1"], &["gate-1", "policy-2"], &["a_b", "C.d", "0"]];

#[test]
fn budgets_are_encoded_and_decoded_as_golden_texts() {
    for (budget, text) in BUDGETS {
        assert_eq!(budget.to_string(), text);
        assert_eq!(
            Budget::read([text.as_bytes()].into_iter()),
            Ok(Some(budget))
        );
    }
}

#[test]
fn spent_attempts_are_encoded_and_decoded_as_golden_texts() {
    for (spent, text) in SPENT {
        assert_eq!(spent.to_string(), text);
        assert_eq!(Spent::read([text.as_bytes()].into_iter()), Ok(Some(spent)));
    }
}

#[test]
fn paths_are_encoded_and_decoded_as_golden_texts() {
    for names in PATHS {
        let text = names.join(", ");
        let path = Path::read([text.as_bytes()].into_iter()).expect("a path");
        assert_eq!(path.names(), names);
        assert_eq!(path.to_string(), text);
        let extended = path.with("own").expect("there is room");
        assert_eq!(extended.to_string(), format!("{text}, own"));
    }
}
