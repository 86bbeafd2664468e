//! A request that comes round is found by its path or by an identical open request.

use heathroad_retry_budget::loop_detection::{
    InFlightRequests, Rejection, RequestFingerprint, extend_path,
};
use heathroad_retry_budget::wire::ProxyPath;

#[test]
fn loops_of_any_length_end_and_allowed_reentries_do_not() {
    for length in [1, 2, 5] {
        let (mut path, mut passes) = (ProxyPath::default(), 0);
        let end = loop {
            let own = format!("proxy-{}", passes % length);
            match extend_path(&path, &own, 0, 32) {
                Ok(next) => path = next,
                Err(rejection) => break rejection,
            }
            passes += 1;
        };
        assert_eq!((end, passes), (Rejection::Loop, length), "within one pass");
    }
    // A route that comes back once may, and not twice.
    let once = ProxyPath::default()
        .with("gate")
        .and_then(|p| p.with("policy"))
        .expect("names");
    assert!(extend_path(&once, "gate", 1, 8).is_ok());
    let twice = once.with("gate").expect("a name");
    assert_eq!(extend_path(&twice, "gate", 1, 8), Err(Rejection::Loop));
    assert_eq!(
        extend_path(&ProxyPath::default(), "gate", 0, 0),
        Err(Rejection::TooManyHops)
    );
}

#[test]
fn without_headers_a_loop_shows_by_an_identical_open_request() {
    let (mut open, fingerprint) = (
        InFlightRequests::default(),
        RequestFingerprint {
            key: 7,
            class: 1,
            tenant: 2,
        },
    );
    assert!(open.try_insert(fingerprint, false, 0));
    assert!(open.try_insert(fingerprint, false, 0), "its client retries");
    assert!(
        !open.try_insert(fingerprint, true, 0),
        "a trusted peer sends it round"
    );
    assert!(
        open.try_insert(
            RequestFingerprint {
                key: 8,
                ..fingerprint
            },
            true,
            0
        ) && open.try_insert(
            RequestFingerprint {
                tenant: 3,
                ..fingerprint
            },
            true,
            0
        )
    );
    assert!(
        open.try_insert(
            RequestFingerprint {
                key: 0,
                ..fingerprint
            },
            true,
            0
        ),
        "requests without a key are not tracked"
    );
    open.remove(fingerprint);
    open.remove(fingerprint);
    assert!(
        open.try_insert(fingerprint, true, 0),
        "it is no longer open"
    );
    assert!(
        open.try_insert(fingerprint, true, 1) && !open.try_insert(fingerprint, true, 1),
        "a route that comes back once"
    );
    for key in 10..300_000 {
        open.try_insert(RequestFingerprint { key, ..fingerprint }, false, 0);
    }
    assert!(open.len() <= 100_000);
}
