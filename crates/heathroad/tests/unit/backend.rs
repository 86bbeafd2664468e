//! Unit tests of the pool of connections.

use super::*;
use hyper::header::HeaderValue;
use hyper::{Method, Uri};
use tokio::io::AsyncReadExt;
use tokio::net::TcpListener;
use tokio::sync::oneshot;
use tokio::task::{LocalSet, spawn_local};

/// With a single place: an attempt that was overtaken holds it, then one at rest does.
#[tokio::test]
async fn a_place_for_a_connection_is_waited_for() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let dial = listener.local_addr().expect("bound");
    let (connect, idle) = (Duration::from_secs(20), Duration::from_secs(60));
    let (connections, may_duplicate) = (1, true);
    let limits = Limits {
        connections,
        connect,
        idle,
        drain_grace: connect,
        may_duplicate,
    };
    let pool = Rc::new(Pool {
        draining_most: 1,
        ..Pool::new(limits)
    });
    let tasks = LocalSet::new();
    tasks
        .run_until(async {
            let target = pool.target("a", dial, 0.0);
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
            let (line, not_past) = (Rc::<Line>::default(), Instant::now() + connect);
            let (call, target) = (Rc::new(call), target.clone());
            let target = target.clone();
            let attempt = Attempt {
                call,
                target: target.clone(),
                not_past,
                expires: not_past,
                line: line.clone(),
                purse: None,
            };
            let (report, reported) = oneshot::channel();
            let report = |end: End| report.send(end.outcome()).expect("awaited");
            let (late, ended) = oneshot::channel();
            let late = |end: End| late.send(end.outcome()).expect("awaited");
            spawn_local(attempt.run(pool.clone(), report, late));
            let (mut backend, _) = listener.accept().await.expect("it came");
            assert_ne!(backend.read(&mut [0; 1024]).await.expect("open"), 0);
            line.withdraw();
            assert_eq!(reported.await, Ok(Outcome::Cancelled));
            let link = pool
                .connect(dial)
                .await
                .expect("the overtaken one gives way");
            assert_eq!(ended.await, Ok(Outcome::Cancelled));
            pool.keep(&target, link);
            assert!(
                pool.connect(dial).await.is_ok(),
                "the one at rest gives way"
            );
        })
        .await;
}
