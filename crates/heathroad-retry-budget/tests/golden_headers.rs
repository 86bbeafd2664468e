//! Golden values of the retry budget headers, encoded and decoded.

use heathroad_retry_budget::wire::{Budget, ProxyPath, RetriesSpent};

const BUDGETS: [(Budget, &str); 3] = [
    (
        Budget {
            time_ms: 1850,
            retries: 2,
            priority_weight: 750,
            hops: 6,
            delegation_id: 0x00c0_ffee_00c0_ffee,
        },
        "t=1850, a=2, w=750, h=6, i=00c0ffee00c0ffee",
    ),
    (
        Budget {
            time_ms: 600_000,
            retries: 64,
            priority_weight: 1000,
            hops: 32,
            delegation_id: u64::MAX,
        },
        "t=600000, a=64, w=1000, h=32, i=ffffffffffffffff",
    ),
    (
        Budget {
            time_ms: 0,
            retries: 0,
            priority_weight: 0,
            hops: 0,
            delegation_id: 0,
        },
        "t=0, a=0, w=0, h=0, i=0000000000000000",
    ),
];

const SPENT: [(RetriesSpent, &str); 4] = [
    (
        RetriesSpent {
            retries: 0,
            stop: false,
        },
        "a=0",
    ),
    (
        RetriesSpent {
            retries: 1,
            stop: false,
        },
        "a=1",
    ),
    (
        RetriesSpent {
            retries: 1,
            stop: true,
        },
        "a=1, stop",
    ),
    (
        RetriesSpent {
            retries: 64,
            stop: true,
        },
        "a=64, stop",
    ),
];

const PATHS: [&[&str]; 3] = [&["gate-1"], &["gate-1", "policy-2"], &["a_b", "C.d", "0"]];

#[test]
fn budget_headers_match_golden_values() {
    for (budget, text) in BUDGETS {
        assert_eq!(budget.to_string(), text);
        assert_eq!(
            Budget::decode([text.as_bytes()].into_iter()),
            Ok(Some(budget))
        );
    }
}

#[test]
fn spent_headers_match_golden_values() {
    for (spent, text) in SPENT {
        assert_eq!(spent.to_string(), text);
        assert_eq!(
            RetriesSpent::decode([text.as_bytes()].into_iter()),
            Ok(Some(spent))
        );
    }
}

#[test]
fn path_headers_match_golden_values() {
    for names in PATHS {
        let text = names.join(", ");
        let path = ProxyPath::decode([text.as_bytes()].into_iter()).expect("valid path");
        assert_eq!(path.names(), names);
        assert_eq!(path.to_string(), text);
        let extended = path.with("own").expect("path is not full");
        assert_eq!(extended.to_string(), format!("{text}, own"));
    }
}
