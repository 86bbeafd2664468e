//! Unit tests of the engine.

use super::attempt::AttemptRecord;
use super::response::ResponseState;
use super::*;
use crate::backend::{Call, Limits, http};
use crate::discovery::endpoint_list::{Instance, InstanceHealth};
use crate::runtime_accounting::spawn_local;
use crate::safety::{
    ClientConnection, ClientHandle, ClientPresence, Denial, Location, PastAttempt, violations,
};
use bytes::Bytes;
use heathroad_balancer::api::{Outcome, UpdateKind};
use std::time::Duration;
use tokio::task::LocalSet;

/// Returns settings of one idempotent class.
pub fn settings() -> InstanceSettings {
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
async fn unlisted_backends_are_forgotten() {
    let limit = Duration::from_secs(1);
    let (connections, may_duplicate) = (4, true);
    let limits = Limits {
        connections,
        connect_timeout: limit,
        idle_timeout: limit,
        drain_grace: limit,
        may_duplicate,
    };
    let (watching, _) = watch::channel(false);
    let tasks = LocalSet::new();
    tasks
        .run_until(async {
            let counts = PoolMetrics::new(
                &Rc::new(crate::metrics::MetricsRegistry::new()),
                "",
                &settings().site,
            );
            let engine = Engine::new(
                settings(),
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
                    engine.update_endpoints(UpdateKind::Delta, hosts);
                } else {
                    engine.update_endpoints(
                        UpdateKind::Snapshot,
                        vec![host(&new, InstanceHealth::Serving)],
                    );
                }
                let endpoints = &engine.state.borrow().endpoints;
                assert_eq!(
                    (endpoints.ids.len(), endpoints.by_id.len()),
                    (1, 1),
                    "after {n}"
                );
            }
            // A backend that an open request was sent to stays known until the request is closed.
            let id = engine.state.borrow().endpoints.ids["s-100"];
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
            let past = PastAttempt {
                location: Location::default(),
                started_at: now,
                outcome: Some(Outcome::Success),
            };
            let open = OpenRequest {
                call: Rc::new(Call::Http(call)),
                class: 0,
                response: ResponseState::Sent,
                backend_deadline: now,
                client: None,
                attempts: vec![AttemptRecord {
                    backend: id,
                    past,
                    in_flight: None,
                }],
                last_outcome: None,
                budget: None,
                activity: None,
            };
            engine.state.borrow_mut().requests.insert(7, open);
            engine.update_endpoints(
                UpdateKind::Snapshot,
                vec![host("s-101", InstanceHealth::Serving)],
            );
            assert_eq!(engine.state.borrow().endpoints.by_id.len(), 2);
            engine.state.borrow_mut().requests.clear();
            engine.remove_unused_endpoints();
            assert_eq!(engine.state.borrow().endpoints.by_id.len(), 1);
        })
        .await;
}

/// A client of whom this is known.
struct TestClient {
    presence: Cell<ClientPresence>,
}

impl ClientConnection for TestClient {
    fn presence(&self) -> ClientPresence {
        self.presence.get()
    }
}

/// Returns an engine with one backend, and the listener that its attempts go to.
async fn engine_with_backend() -> (Rc<Engine>, tokio::net::TcpListener) {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0")
        .await
        .expect("a port");
    let limit = Duration::from_secs(20);
    let limits = Limits {
        connections: 4,
        connect_timeout: limit,
        idle_timeout: limit,
        drain_grace: limit,
        may_duplicate: true,
    };
    let (watching, _) = watch::channel(false);
    let counts = PoolMetrics::new(
        &Rc::new(crate::metrics::MetricsRegistry::new()),
        "",
        &settings().site,
    );
    let engine = Engine::new(
        settings(),
        1,
        Rc::new(Pool::new(limits)),
        counts,
        None,
        watching,
    );
    let engine = engine.expect("good settings");
    let dial = Some(listener.local_addr().expect("bound"));
    engine.update_endpoints(
        UpdateKind::Snapshot,
        vec![Instance {
            address: dial,
            ..host("a", InstanceHealth::Serving)
        }],
    );
    (engine, listener)
}

fn incoming(received_at: Instant, timeout: Duration) -> IncomingRequest {
    let call = http::Call {
        method: hyper::Method::GET,
        uri: hyper::Uri::from_static("/look"),
        host: None,
        id: hyper::header::HeaderValue::from_static("1"),
        key: None,
        version: None,
        body: Bytes::new(),
    };
    IncomingRequest {
        call: Call::Http(call),
        class: 0,
        tenant: 0,
        key: 0,
        received_at,
        timeout,
        budget: None,
        activity: None,
    }
}

/// The client may leave between the decision and the attempt, or hide its end behind more input.
#[tokio::test]
async fn no_attempt_is_begun_for_a_client_that_has_left() {
    LocalSet::new()
        .run_until(async {
            let (engine, listener) = engine_with_backend().await;
            for (presence, denial) in [
                (ClientPresence::Left, Some(Denial::ClientLeft)),
                (ClientPresence::Unknown, Some(Denial::ClientUnknown)),
                (ClientPresence::Present, None),
            ] {
                let client = Rc::new(TestClient {
                    presence: Cell::new(presence),
                });
                let before = violations::denials();
                let call = incoming(Instant::now(), Duration::from_secs(20));
                let handle = Some(ClientHandle::new(&client));
                let engine = engine.clone();
                let handling =
                    spawn_local(async move { engine.handle_request(call, handle).await.response });
                let connected =
                    tokio::time::timeout(Duration::from_millis(200), listener.accept()).await;
                assert_eq!(connected.is_ok(), denial.is_none(), "{presence:?}");
                let mut expected = before;
                if let Some(denial) = denial {
                    expected[denial.index()] += 1;
                }
                assert_eq!(violations::denials(), expected);
                if presence == ClientPresence::Unknown {
                    let response = handling.await.expect("no panic");
                    assert!(matches!(response, Response::Rejected { .. }));
                } else {
                    handling.abort();
                }
            }
        })
        .await;
}
