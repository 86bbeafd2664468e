//! Unit tests of the engine.

use super::*;
use crate::backend::{Limits, http};
use tokio::task::LocalSet;

/// Settings of one safe class.
pub fn facts() -> InstanceSettings {
    let text = r#"{"slotNo": 0, "peersTotal": 1, "tier": 0, "locality": 0, "localities": ["a"], "tick": 5.0,
        "overShareWorth": 0.05, "discovery": "automatic", "tenants": [],
        "classes": [{"name": "look", "aim": 1000.0, "points": 1.0, "semantics": "retryable", "group": "all",
                     "window": 0.0}],
        "caps": {"cancelling": true, "retryAfter": false, "maxRetryAfter": 0.0, "tryLimit": 3, "openCap": 10},
        "guarantees": {"coldFrom": 0.1, "cold": 1000.0, "fallMultiple": 3.0}}"#;
    heathroad_balancer::settings::parse(text.as_bytes()).expect("good settings")
}

fn host(name: &str, health: InstanceHealth) -> Instance {
    let dial = Some("127.0.0.1:9".parse().expect("an address"));
    let (host, site) = (name.to_string(), "a".to_string());
    Instance {
        name: host,
        address: dial,
        site,
        class: String::new(),
        block: 0,
        health,
        weight: 1.0,
        started_ms: 0.0,
    }
}

#[tokio::test]
async fn backends_that_are_gone_are_forgotten() {
    let limit = Duration::from_secs(1);
    let (connections, may_duplicate) = (4, true);
    let limits = Limits {
        connections,
        connect: limit,
        idle: limit,
        drain_grace: limit,
        may_duplicate,
    };
    let (watching, _) = watch::channel(false);
    let tasks = LocalSet::new();
    tasks
        .run_until(async {
            let counts = Counts::new(&Rc::new(crate::metrics::Meter::new()), "", &facts().site);
            let engine = Engine::new(
                facts(),
                1,
                Rc::new(Pool::new(limits)),
                counts,
                None,
                watching,
            );
            let engine = engine.expect("good settings");
            for n in 0..100 {
                let (old, new) = (format!("s-{n}"), format!("s-{}", n + 1));
                if n % 2 == 0 {
                    let hosts = vec![
                        host(&old, InstanceHealth::Deleted),
                        host(&new, InstanceHealth::Serving),
                    ];
                    engine.list(UpdateKind::Delta, hosts);
                } else {
                    engine.list(
                        UpdateKind::Snapshot,
                        vec![host(&new, InstanceHealth::Serving)],
                    );
                }
                let s = engine.state.borrow();
                assert_eq!((s.ids.len(), s.backends.len()), (1, 1), "after {n}");
            }
            // One that an open request was sent to stays known until the request is closed.
            let id = engine.state.borrow().ids["s-100"];
            let call = http::Call {
                method: hyper::Method::GET,
                uri: hyper::Uri::from_static("/look"),
                host: None,
                id: hyper::header::HeaderValue::from_static("1"),
                key: None,
                version: None,
                body: Bytes::new(),
            };
            let now = Instant::now();
            let attempted = Attempted {
                place: Place::default(),
                begun: now,
                ended: Some(Outcome::Success),
            };
            let open = Open {
                call: Rc::new(Call::Http(call)),
                class: 0,
                life: Life::Over,
                expires: now,
                client: None,
                attempts: vec![Tried {
                    backend: id,
                    attempted,
                    out: None,
                }],
                last: None,
                budget: None,
                acts: None,
            };
            engine.state.borrow_mut().requests.insert(7, open);
            engine.list(
                UpdateKind::Snapshot,
                vec![host("s-101", InstanceHealth::Serving)],
            );
            assert_eq!(engine.state.borrow().backends.len(), 2);
            engine.state.borrow_mut().requests.clear();
            engine.forget_gone();
            assert_eq!(engine.state.borrow().backends.len(), 1);
        })
        .await;
}

/// A client who stays, or has left, as told.
struct Told(Cell<bool>);

impl safety::Client for Told {
    fn left(&self) -> bool {
        self.0.get()
    }
}

/// An engine with one backend, and a listener that its attempts go to.
async fn before_a_backend() -> (Rc<Engine>, tokio::net::TcpListener) {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0")
        .await
        .expect("a port");
    let limit = Duration::from_secs(20);
    let limits = Limits {
        connections: 4,
        connect: limit,
        idle: limit,
        drain_grace: limit,
        may_duplicate: true,
    };
    let (watching, _) = watch::channel(false);
    let counts = Counts::new(&Rc::new(crate::metrics::Meter::new()), "", &facts().site);
    let engine = Engine::new(
        facts(),
        1,
        Rc::new(Pool::new(limits)),
        counts,
        None,
        watching,
    );
    let engine = engine.expect("good settings");
    let dial = Some(listener.local_addr().expect("bound"));
    engine.list(
        UpdateKind::Snapshot,
        vec![Instance {
            address: dial,
            ..host("a", InstanceHealth::Serving)
        }],
    );
    (engine, listener)
}

fn incoming(received: Instant, patience: Duration) -> Incoming {
    let call = http::Call {
        method: hyper::Method::GET,
        uri: hyper::Uri::from_static("/look"),
        host: None,
        id: hyper::header::HeaderValue::from_static("1"),
        key: None,
        version: None,
        body: Bytes::new(),
    };
    let (call, budget, acts) = (Call::Http(call), None, None);
    Incoming {
        call,
        class: 0,
        tenant: 0,
        key: 0,
        received,
        patience,
        budget,
        acts,
    }
}

/// Whoever has left by the moment in which his attempt would begin gets none, whatever the module
/// has decided.
#[tokio::test]
async fn no_attempt_is_begun_for_a_client_who_has_left() {
    LocalSet::new()
        .run_until(async {
            let (engine, listener) = before_a_backend().await;
            for (left, comes) in [(true, false), (false, true)] {
                let client = Rc::new(Told(Cell::new(left)));
                let before = violations::denials()[Denied::ClientLeft.place()];
                let call = incoming(Instant::now(), Duration::from_secs(20));
                let waiting = Some(Waiting::new(&client));
                let engine = engine.clone();
                let deciding = spawn_local(async move { engine.decide(call, waiting).await.0 });
                let came =
                    tokio::time::timeout(Duration::from_millis(200), listener.accept()).await;
                assert_eq!(came.is_ok(), comes, "client left: {left}");
                let denied = violations::denials()[Denied::ClientLeft.place()] - before;
                assert_eq!(denied, u64::from(left));
                deciding.abort();
            }
        })
        .await;
}

/// The margin grows with what a client waits, up to what a pause asks for.
#[test]
fn the_margin_leaves_time_for_work_and_for_a_pause() {
    let ms = Duration::from_millis;
    assert_eq!(margin(ms(60_000)), MARGIN);
    assert_eq!(margin(ms(545)), MARGIN);
    assert_eq!(margin(ms(240)), MARGIN);
    assert_eq!(margin(ms(200)), ms(100));
    assert_eq!(margin(ms(40)), TRAVEL);
    assert!(MARGIN + GRACE >= stall_detector::LONGEST + stall_detector::UNSEEN);
}
