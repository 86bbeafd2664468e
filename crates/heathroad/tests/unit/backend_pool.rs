//! Unit tests of the pool of connections.

use super::*;
use crate::backend::{Attempt, AttemptEnd, Call};
use bytes::Bytes;
use hyper::header::HeaderValue;
use hyper::{Method, Uri};
use tokio::io::AsyncReadExt;
use tokio::net::TcpListener;
use tokio::sync::oneshot;
use tokio::task::{LocalSet, spawn_local};

/// With a single slot: an abandoned attempt holds it, then an idle connection does.
#[tokio::test]
async fn a_connection_slot_is_waited_for() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("bound");
    let (connect_timeout, idle_timeout) = (Duration::from_secs(20), Duration::from_secs(60));
    let (connections, may_duplicate) = (1, true);
    let limits = Limits {
        connections,
        connect_timeout,
        idle_timeout,
        drain_grace: connect_timeout,
        may_duplicate,
    };
    let pool = {
        let mut pool = Pool::new(limits);
        pool.max_abandoned_attempts = 1;
        Rc::new(pool)
    };
    let tasks = LocalSet::new();
    tasks
        .run_until(async {
            let target = pool.target("a", address, 0.0);
            let id = HeaderValue::from_static("1");
            let uri = Uri::from_static("/look");
            let (method, body) = (Method::GET, Bytes::new());
            let call = Call::Http(http::Call {
                method,
                uri,
                host: None,
                id,
                key: None,
                version: None,
                body,
            });
            let (control, times_out_at) = (
                Rc::<AttemptControl>::default(),
                Instant::now() + connect_timeout,
            );
            let (call, target) = (Rc::new(call), target.clone());
            let target = target.clone();
            let attempt = Attempt {
                call,
                target: target.clone(),
                times_out_at,
                expires_at: times_out_at,
                control: control.clone(),
                budget: None,
            };
            let (sender, reported) = oneshot::channel();
            let on_result = |result: AttemptEnd| sender.send(result.outcome()).expect("awaited");
            let (late_sender, ended_late) = oneshot::channel();
            let on_late_result =
                |result: AttemptEnd| late_sender.send(result.outcome()).expect("awaited");
            spawn_local(attempt.run(pool.clone(), on_result, on_late_result));
            let (mut backend, _) = listener.accept().await.expect("it came");
            assert_ne!(backend.read(&mut [0; 1024]).await.expect("open"), 0);
            control.cancel();
            assert_eq!(reported.await, Ok(Outcome::Cancelled));
            let connection = pool
                .connect_http(address)
                .await
                .expect("the abandoned one is closed");
            assert_eq!(ended_late.await, Ok(Outcome::Cancelled));
            pool.keep_idle(&target, connection);
            assert!(
                pool.connect_http(address).await.is_ok(),
                "the idle one is closed"
            );
        })
        .await;
}

/// A process that discovery names at the address of another one has taken its place: nothing more is
/// written for the other one, over HTTP or JSON-RPC.
#[test]
fn nothing_is_written_to_a_process_whose_address_another_one_has() {
    let limit = Duration::from_secs(20);
    let pool = Pool::new(Limits {
        connections: 4,
        connect_timeout: limit,
        idle_timeout: limit,
        drain_grace: limit,
        may_duplicate: true,
    });
    let address = "127.0.0.1:9".parse().expect("an address");
    let control = AttemptControl::default();
    let is_written = |target: &Rc<Target>| pool.check_write(target, &control).is_ok();
    let old = pool.target("old", address, 5.0);
    assert!(is_written(&old));
    old.start_draining(Instant::now());
    let again = pool.target("old", address, 5.0);
    assert!(is_written(&old) && is_written(&again), "the same process");
    let new = pool.target("new", address, 7.0);
    assert!(is_written(&new) && !is_written(&old));
    assert!(
        is_written(&again),
        "it is listed, so it may be the same one"
    );
    again.start_draining(Instant::now());
    assert!(!is_written(&again));
    let late = pool.target("late", address, 6.0);
    late.start_draining(Instant::now());
    assert!(is_written(&new) && !is_written(&late), "the newest counts");
    new.start_draining(Instant::now());
    let next = pool.target("next", address, 0.0);
    assert!(is_written(&next) && !is_written(&new), "it has gone");
    next.start_draining(Instant::now());
    let restarted = pool.target("next", address, 9.0);
    assert!(is_written(&restarted) && !is_written(&next));
    drop((restarted, new, next));
    pool.close_aged_connections();
    assert!(pool.address_owners.borrow().is_empty());
}
