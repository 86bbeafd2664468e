//! Tests of the budget headers: canonical encoding, bounds, and untrusted claims that can only
//! lower a budget.

use heathroad_retry_budget::wire::{Budget, MAX_HEADER_LENGTH, ProxyPath, RetriesSpent};

fn budget(text: &str) -> Option<Budget> {
    Budget::decode([text.as_bytes()].into_iter()).ok().flatten()
}

#[test]
fn encoded_headers_are_decoded() {
    for seed in 0..10_000 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let original = Budget {
            time_ms: rng.u32(..=600_000),
            retries: rng.u16(..=64),
            priority_weight: rng.u16(..=1000),
            hops: rng.u8(..=32),
            delegation_id: rng.u64(..),
        };
        assert_eq!(budget(&original.to_string()), Some(original), "seed {seed}");
        let spent = RetriesSpent {
            retries: rng.u16(..=64),
            stop: rng.bool(),
        };
        assert_eq!(
            RetriesSpent::decode([spent.to_string().as_bytes()].into_iter()),
            Ok(Some(spent)),
            "seed {seed}"
        );
        // A flipped bit gives a malformed header or the canonical encoding of another value.
        let mut bytes = original.to_string().into_bytes();
        let index = rng.usize(..bytes.len());
        bytes[index] ^= 1 << rng.u8(..8);
        if let Ok(Some(other)) = Budget::decode([bytes.as_slice()].into_iter()) {
            assert_eq!(other.to_string().as_bytes(), bytes, "seed {seed}");
        }
    }
}

#[test]
fn malformed_headers_count_as_absent() {
    let delegation_id = "i=0123456789abcdef";
    for text in [
        "",
        "t=1, a=1, w=1, h=1",
        "t=1, a=1, w=1, ID",
        "t=1, a=1, w=1, h=1, ID, x=1",
        "t=1,a=1,w=1,h=1,ID",
        "a=1, t=1, w=1, h=1, ID",
        "t=01, a=1, w=1, h=1, ID",
        "t=+1, a=1, w=1, h=1, ID",
        "t=-1, a=1, w=1, h=1, ID",
        "t=NaN, a=1, w=1, h=1, ID",
        "t=1e3, a=1, w=1, h=1, ID",
        "t=1, a=1000000000, w=1, h=1, ID",
        "t=1, a=65, w=1, h=1, ID",
        "t=600001, a=1, w=1, h=1, ID",
        "t=1, a=1, w=1001, h=1, ID",
        "t=1, a=1, w=1, h=33, ID",
        "t=99999999999999999999, a=1, w=1, h=1, ID",
        "t=\u{0661}, a=1, w=1, h=1, ID",
        "t=1, a=1, w=1, h=1, i=0123456789ABCDEF",
        "t=1, a=1, w=1, h=1, i=0123456789abcde",
        "t=1, a=1, w=1, h=1, i=+123456789abcdef",
    ] {
        assert_eq!(budget(&text.replace("ID", delegation_id)), None, "{text}");
    }
    let valid = b"t=1, a=1, w=1, h=1, i=0123456789abcdef".as_slice();
    assert!(Budget::decode([valid].into_iter()).is_ok());
    assert!(
        Budget::decode([valid, valid].into_iter()).is_err(),
        "duplicate header"
    );
    assert_eq!(Budget::decode([].into_iter()), Ok(None));
    assert!(Budget::decode([b"\xff".as_slice()].into_iter()).is_err());
    for text in [
        "a=",
        "a=1,stop",
        "a=1, halt",
        "stop",
        "a=1, stop, stop",
        "a=65",
    ] {
        assert!(
            RetriesSpent::decode([text.as_bytes()].into_iter()).is_err(),
            "{text}"
        );
    }
}

#[test]
fn paths_are_bounded() {
    let decode = |text: &str| ProxyPath::decode([text.as_bytes()].into_iter());
    assert_eq!(
        decode("gate-1, policy.2").expect("valid path").names(),
        ["gate-1", "policy.2"]
    );
    let too_many_names = vec!["x"; 33].join(", ");
    for text in [
        "",
        "a,b",
        "a, ",
        "a b",
        "a, b;c",
        &"x".repeat(33),
        &too_many_names,
        &"y".repeat(64 * 1024),
    ] {
        assert!(decode(text).is_err(), "{text:.40}");
    }
    let mut path = ProxyPath::default();
    for n in 0..32 {
        path = path.with(&format!("{n:032}")).expect("path is not full");
    }
    assert_eq!(path.with("one-more"), None);
    assert!(path.to_string().len() <= MAX_HEADER_LENGTH);
    assert_eq!(decode(&path.to_string()), Ok(path));
}

#[test]
fn an_untrusted_budget_can_only_lower_the_default() {
    for seed in 0..10_000 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut random_budget = || Budget {
            time_ms: rng.u32(..=600_000),
            retries: rng.u16(..=64),
            priority_weight: rng.u16(..=1000),
            hops: rng.u8(..=32),
            delegation_id: rng.u64(..),
        };
        let (claimed, default) = (random_budget(), random_budget());
        let untrusted = Budget::admit(Some(claimed), false, default);
        let is_at_most = |a: Budget, b: Budget| {
            a.time_ms <= b.time_ms
                && a.retries <= b.retries
                && a.priority_weight <= b.priority_weight
                && a.hops <= b.hops
        };
        assert!(
            is_at_most(untrusted, default)
                && is_at_most(untrusted, claimed)
                && untrusted.delegation_id == 0,
            "seed {seed}"
        );
        let trusted = Budget::admit(Some(claimed), true, default);
        assert!(
            trusted.retries == claimed.retries && trusted.time_ms <= default.time_ms,
            "seed {seed}"
        );
        assert_eq!(Budget::admit(None, false, default), default);
    }
}
