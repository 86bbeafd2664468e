//! Headers: one spelling each, bounded, and from outside they can only lower.

use heathroad_retry_budget::wire::{Budget, MAX_BYTES, Path, Spent};

fn budget(text: &str) -> Option<Budget> {
    Budget::read([text.as_bytes()].into_iter()).ok().flatten()
}

#[test]
fn what_is_written_is_read() {
    for seed in 0..10_000 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let b = Budget {
            time_ms: rng.u32(..=600_000),
            attempts: rng.u16(..=64),
            worth: rng.u16(..=1000),
            hops: rng.u8(..=32),
            loan: rng.u64(..),
        };
        assert_eq!(budget(&b.to_string()), Some(b), "seed {seed}");
        let s = Spent {
            attempts: rng.u16(..=64),
            stop: rng.bool(),
        };
        assert_eq!(
            Spent::read([s.to_string().as_bytes()].into_iter()),
            Ok(Some(s)),
            "seed {seed}"
        );
        // Any flipped bit is another value in its one spelling, or nothing.
        let mut bytes = b.to_string().into_bytes();
        let at = rng.usize(..bytes.len());
        bytes[at] ^= 1 << rng.u8(..8);
        if let Ok(Some(other)) = Budget::read([bytes.as_slice()].into_iter()) {
            assert_eq!(other.to_string().as_bytes(), bytes, "seed {seed}");
        }
    }
}

#[test]
fn forged_and_spoilt_budgets_count_for_nothing() {
    let loan = "i=0123456789abcdef";
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
        assert_eq!(budget(&text.replace("LOAN", loan)), None, "{text}");
    }
    let good = b"t=1, a=1, w=1, h=1, i=0123456789abcdef".as_slice();
    assert!(Budget::read([good].into_iter()).is_ok());
    assert!(Budget::read([good, good].into_iter()).is_err(), "twice");
    assert_eq!(Budget::read([].into_iter()), Ok(None));
    assert!(Budget::read([b"\xff".as_slice()].into_iter()).is_err());
    for text in [
        "a=",
        "a=1,stop",
        "a=1, halt",
        "stop",
        "a=1, stop, stop",
        "a=65",
    ] {
        assert!(
            Spent::read([text.as_bytes()].into_iter()).is_err(),
            "{text}"
        );
    }
}

#[test]
fn paths_are_bounded() {
    let read = |text: &str| Path::read([text.as_bytes()].into_iter());
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
    let mut path = Path::default();
    for n in 0..32 {
        path = path.with(&format!("{n:032}")).expect("there is room");
    }
    assert_eq!(path.with("one-more"), None);
    assert!(path.to_string().len() <= MAX_BYTES);
    assert_eq!(read(&path.to_string()), Ok(path));
}

#[test]
fn from_outside_a_budget_can_lower_and_never_raise() {
    for seed in 0..10_000 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut any = || Budget {
            time_ms: rng.u32(..=600_000),
            attempts: rng.u16(..=64),
            worth: rng.u16(..=1000),
            hops: rng.u8(..=32),
            loan: rng.u64(..),
        };
        let (told, own) = (any(), any());
        let outside = Budget::admit(Some(told), false, own);
        let no_more = |a: Budget, b: Budget| {
            a.time_ms <= b.time_ms
                && a.attempts <= b.attempts
                && a.worth <= b.worth
                && a.hops <= b.hops
        };
        assert!(
            no_more(outside, own) && no_more(outside, told) && outside.loan == 0,
            "seed {seed}"
        );
        let inner = Budget::admit(Some(told), true, own);
        assert!(
            inner.attempts == told.attempts && inner.time_ms <= own.time_ms,
            "seed {seed}"
        );
        assert_eq!(Budget::admit(None, false, own), own);
    }
}
