//! Tests of loop detection by path and by identical open requests.

use heathroad_retry_budget::loop_detection::{
    InFlightRequests, Rejection, RequestFingerprint, extend_path,
};
use heathroad_retry_budget::wire::ProxyPath;

#[test]
fn loops_of_any_length_are_rejected_and_configured_reentries_are_not() {
    for length in [1, 2, 5] {
        let (mut path, mut passes) = (ProxyPath::default(), 0);
        let end = loop {
            let proxy_name = format!("proxy-{}", passes % length);
            match extend_path(&path, &proxy_name, 0, 32) {
                Ok(next) => path = next,
                Err(rejection) => break rejection,
            }
            passes += 1;
        };
        assert_eq!(
            (end, passes),
            (Rejection::Loop, length),
            "rejected at the first repeated proxy"
        );
    }
    // With one configured reentry, the first is allowed and the second rejected.
    let once = ProxyPath::default()
        .with("gate")
        .and_then(|p| p.with("policy"))
        .expect("valid names");
    assert!(extend_path(&once, "gate", 1, 8).is_ok());
    let twice = once.with("gate").expect("valid name");
    assert_eq!(extend_path(&twice, "gate", 1, 8), Err(Rejection::Loop));
    assert_eq!(
        extend_path(&ProxyPath::default(), "gate", 0, 0),
        Err(Rejection::TooManyHops)
    );
}

#[test]
fn without_a_path_a_loop_is_detected_by_an_identical_open_request() {
    let (mut open, fingerprint) = (
        InFlightRequests::default(),
        RequestFingerprint {
            key: 7,
            class: 1,
            tenant: 2,
        },
    );
    assert!(open.try_insert(fingerprint, false, 0));
    assert!(
        open.try_insert(fingerprint, false, 0),
        "a client may retry an open request"
    );
    assert!(
        !open.try_insert(fingerprint, true, 0),
        "an identical request from a trusted peer is a loop"
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
        "the identical requests have completed"
    );
    assert!(
        open.try_insert(fingerprint, true, 1) && !open.try_insert(fingerprint, true, 1),
        "one reentry is allowed, a second is not"
    );
    for key in 10..300_000 {
        open.try_insert(RequestFingerprint { key, ..fingerprint }, false, 0);
    }
    assert!(open.len() <= 100_000);
}
