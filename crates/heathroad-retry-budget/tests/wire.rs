//! The headers have one spelling each, are bounded, and can only lower a budget where they are
//! untrusted.

use heathroad_retry_budget::wire::{Budget, MAX_HEADER_LENGTH, ProxyPath, RetriesSpent};

fn budget(text: &str) -> Option<Budget> {
    Budget::decode([text.as_bytes()].into_iter()).ok().flatten()
}

#[test]
fn encoded_headers_are_decoded() {
    for seed in 0..10_000 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let b = Budget {
            time_ms: rng.u32(..=600_000),
            retries: rng.u16(..=64),
            priority_weight: rng.u16(..=1000),
            hops: rng.u8(..=32),
            delegation_id: rng.u64(..),
        };
        assert_eq!(budget(&b.to_string()), Some(b), "seed {seed}");
        let s = RetriesSpent {
            retries: rng.u16(..=64),
            stop: rng.bool(),
        };
        assert_eq!(
            RetriesSpent::decode([s.to_string().as_bytes()].into_iter()),
            Ok(Some(s)),
            "seed {seed}"
        );
        // Any flipped bit is another value in its one spelling, or nothing.
        let mut bytes = b.to_string().into_bytes();
        let at = rng.usize(..bytes.len());
        bytes[at] ^= 1 << rng.u8(..8);
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
        "t=1, a=1, w=1, LOAN",
        "t=1, a=1, w=1, h=1, LOAN, x=1",
        "t=1,a=1,w=1,h=1,LOAN",
        "a=1, t=1, w=1, h=1, LOAN",
        "t=01, a=1, w=1, h=1, LOAN",
        "t=+1, a=1, w=1, h=1, LOAN",
        "t=-1, a=1, w=1, h=1, LOAN",
        "t=NaN, a=1, w=1, h=1, LOAN",
        "t=1e3, a=1, w=1, h=1, LOAN",
        "t=1, a=1000000000, w=1, h=1, LOAN",
        "t=1, a=65, w=1, h=1, LOAN",
        "t=600001, a=1, w=1, h=1, LOAN",
        "t=1, a=1, w=1001, h=1, LOAN",
        "t=1, a=1, w=1, h=33, LOAN",
        "t=99999999999999999999, a=1, w=1, h=1, LOAN",
        "t=\u{0661}, a=1, w=1, h=1, LOAN",
        "t=1, a=1, w=1, h=1, i=0123456789ABCDEF",
        "t=1, a=1, w=1, h=1, i=0123456789abcde",
        "t=1, a=1, w=1, h=1, i=+123456789abcdef",
    ] {
        assert_eq!(budget(&text.replace("LOAN", delegation_id)), None, "{text}");
    }
    let good = b"t=1, a=1, w=1, h=1, i=0123456789abcdef".as_slice();
    assert!(Budget::decode([good].into_iter()).is_ok());
    assert!(Budget::decode([good, good].into_iter()).is_err(), "twice");
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
    let read = |text: &str| ProxyPath::decode([text.as_bytes()].into_iter());
    assert_eq!(
        read("gate-1, policy.2").expect("good").names(),
        ["gate-1", "policy.2"]
    );
    let long = vec!["x"; 33].join(", ");
    for text in [
        "",
        "a,b",
        "a, ",
        "a b",
        "a, b;c",
        &"x".repeat(33),
        &long,
        &"y".repeat(64 * 1024),
    ] {
        assert!(read(text).is_err(), "{:.40}", text);
    }
    let mut path = ProxyPath::default();
    for n in 0..32 {
        path = path.with(&format!("{n:032}")).expect("there is room");
    }
    assert_eq!(path.with("one-more"), None);
    assert!(path.to_string().len() <= MAX_HEADER_LENGTH);
    assert_eq!(read(&path.to_string()), Ok(path));
}

#[test]
fn an_untrusted_budget_can_lower_and_never_raise() {
    for seed in 0..10_000 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut any = || Budget {
            time_ms: rng.u32(..=600_000),
            retries: rng.u16(..=64),
            priority_weight: rng.u16(..=1000),
            hops: rng.u8(..=32),
            delegation_id: rng.u64(..),
        };
        let (claimed, own) = (any(), any());
        let untrusted = Budget::admit(Some(claimed), false, own);
        let no_more = |a: Budget, b: Budget| {
            a.time_ms <= b.time_ms
                && a.retries <= b.retries
                && a.priority_weight <= b.priority_weight
                && a.hops <= b.hops
        };
        assert!(
            no_more(untrusted, own) && no_more(untrusted, claimed) && untrusted.delegation_id == 0,
            "seed {seed}"
        );
        let trusted = Budget::admit(Some(claimed), true, own);
        assert!(
            trusted.retries == claimed.retries && trusted.time_ms <= own.time_ms,
            "seed {seed}"
        );
        assert_eq!(Budget::admit(None, false, own), own);
    }
}
