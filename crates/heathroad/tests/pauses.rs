//! The started program is held up by SIGSTOP for a moment, as a busy machine does it: what it owes
//! its clients counts from when their bytes reached it, and not from when it got round to reading
//! them.

mod rig;

use rig::*;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, watch};
use tokio::time::sleep_until;

/// How long a client says that it waits.
const DEADLINE: Duration = Duration::from_millis(545);
/// A client closes so long after its deadline: an answer that comes later is lost.
const CLOSES_AFTER: Duration = Duration::from_millis(60);
/// A process may be held up for so long.
const PAUSE: Duration = Duration::from_millis(140);

fn raw(id: &str, deadline: Duration) -> String {
    format!(
        "GET /look HTTP/1.1\r\nHost: o\r\nReq-Owner: acme\r\nReq-Id: {id}\r\nReq-Deadline-Ms: {}\r\n\r\n",
        deadline.as_millis()
    )
}

/// Waits until the system says that the process is stopped.
async fn stop(proxy: &mut Proxy) {
    proxy.send_signal("-STOP").await;
    soon(async {
        while proxy.run_state() != 'T' {
            tokio::task::yield_now().await;
        }
    })
    .await;
}

async fn resume(proxy: &mut Proxy) {
    proxy.send_signal("-CONT").await;
}

/// Reads one answer's head, and tells its status; nothing where the connection ended before.
async fn status(client: &mut TcpStream) -> Option<u16> {
    let mut bytes = Vec::new();
    while !bytes.windows(4).any(|w| w == b"\r\n\r\n") {
        if client.read_buf(&mut bytes).await.unwrap_or(0) == 0 {
            return None;
        }
    }
    let text = String::from_utf8_lossy(&bytes).into_owned();
    text.split_whitespace().nth(1)?.parse().ok()
}

/// A backend that takes requests and never answers; tells what each said of its deadline, and when
/// it came.
async fn hanging() -> (SocketAddr, Arc<watch::Sender<Vec<(Duration, Instant)>>>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let addr = listener.local_addr().expect("bound");
    let seen = Arc::new(watch::Sender::new(Vec::new()));
    let saw = seen.clone();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let saw = saw.clone();
            tokio::spawn(async move {
                let mut bytes = Vec::new();
                while stream.read_buf(&mut bytes).await.is_ok_and(|n| n > 0) {
                    let text = String::from_utf8_lossy(&bytes).into_owned();
                    if !text.ends_with("\r\n\r\n") {
                        continue;
                    }
                    let told = text
                        .lines()
                        .find_map(|l| l.strip_prefix("req-deadline-ms: "));
                    let told = told.and_then(|t| t.parse().ok()).expect("a deadline");
                    saw.send_modify(|s| s.push((Duration::from_millis(told), Instant::now())));
                    bytes.clear();
                }
            });
        }
    });
    (addr, seen)
}

/// The proxy before a backend that hangs, and a client whose connection is kept and known to it.
async fn before_a_hanging_backend() -> (
    Discovery,
    Proxy,
    TcpStream,
    Arc<watch::Sender<Vec<(Duration, Instant)>>>,
) {
    let (addr, seen) = hanging().await;
    let discovery = Discovery::start(vec![line("a", addr, "SERVING")]).await;
    let proxy = Proxy::settled(&discovery, settings()).await;
    let mut client = TcpStream::connect(proxy.addr).await.expect("it listens");
    client.set_nodelay(true).expect("open");
    let ready = "GET /health/ready HTTP/1.1\r\nHost: o\r\n\r\n";
    client.write_all(ready.as_bytes()).await.expect("open");
    assert_eq!(soon(status(&mut client)).await, Some(200));
    (discovery, proxy, client, seen)
}

/// Four requests reach a process that is held up, which reads them late; their backend hangs. Each
/// client gets its answer before it closes.
#[tokio::test]
async fn a_request_that_arrives_during_a_pause_is_answered_in_its_time() {
    let (_discovery, mut proxy, mut client, seen) = before_a_hanging_backend().await;
    for (id, pause) in [60, 100, 120, 140].into_iter().enumerate() {
        let pause = Duration::from_millis(pause);
        stop(&mut proxy).await;
        let begun = Instant::now();
        client
            .write_all(raw(&format!("{id:016x}"), DEADLINE).as_bytes())
            .await
            .expect("open");
        sleep_until((begun + pause).into()).await;
        resume(&mut proxy).await;
        let answer = soon(status(&mut client)).await;
        let took = begun.elapsed();
        assert!(
            matches!(answer, Some(503 | 504)),
            "a final answer, whatever its backend does: {answer:?}"
        );
        let limit = DEADLINE + CLOSES_AFTER;
        assert!(
            took < limit,
            "held up for {pause:?}, it answered after {took:?}, and its client left at {limit:?}"
        );
        let (told, at) = *seen.borrow().last().expect("it was sent on");
        let left = DEADLINE.saturating_sub(at.saturating_duration_since(begun));
        let slack = Duration::from_millis(50);
        assert!(
            told <= left + slack,
            "its backend was told {told:?}, and {left:?} were left"
        );
    }
}

/// The process is held up round the time at which it has to give a request up.
#[tokio::test]
async fn a_request_whose_time_ends_during_a_pause_is_answered_in_its_time() {
    let (_discovery, mut proxy, mut client, _seen) = before_a_hanging_backend().await;
    for (id, from) in [380, 430, 480, 515].into_iter().enumerate() {
        let begun = Instant::now();
        client
            .write_all(raw(&format!("{id:016x}"), DEADLINE).as_bytes())
            .await
            .expect("open");
        let pausing = async {
            sleep_until((begun + Duration::from_millis(from)).into()).await;
            stop(&mut proxy).await;
            let stopped = Instant::now();
            sleep_until((stopped + PAUSE).into()).await;
            resume(&mut proxy).await;
        };
        let answering = async { (soon(status(&mut client)).await, begun.elapsed()) };
        let ((), (answer, took)) = tokio::join!(pausing, answering);
        assert!(
            matches!(answer, Some(503 | 504)),
            "a final answer, whatever its backend does: {answer:?}"
        );
        let limit = DEADLINE + CLOSES_AFTER;
        assert!(
            took < limit,
            "held up from {from} ms on, it answered after {took:?}, and its client left at {limit:?}"
        );
    }
}

/// During a pause a client leaves, and the connection for its request comes up: nothing is sent for
/// somebody who left long before.
#[tokio::test]
async fn who_leaves_during_a_pause_is_not_sent_on_over_a_connection_that_comes_up() {
    let (listener, held) = silent().await;
    let addr = listener.local_addr().expect("bound");
    let discovery = Discovery::start(vec![line("a", addr, "SERVING")]).await;
    let mut with_time = settings();
    with_time["caps"]["connectTimeout"] = 20_000.0.into();
    let mut proxy = Proxy::settled(&discovery, with_time).await;
    let mut client = TcpStream::connect(proxy.addr).await.expect("it listens");
    client
        .write_all(raw("00000000000000aa", LONG).as_bytes())
        .await
        .expect("open");
    soon(connecting(addr)).await;
    stop(&mut proxy).await;
    drop(client);
    // The queue has room again, and the system goes on connecting for the process.
    let waiting = held.len();
    drop(held);
    for _ in 0..waiting {
        drop(soon(listener.accept()).await.expect("queued"));
    }
    let (mut backend, _) = soon(listener.accept())
        .await
        .expect("the proxy's connection comes up");
    resume(&mut proxy).await;
    let mut bytes = Vec::new();
    // It ends its connection with nothing on it.
    let _ = soon(backend.read_to_end(&mut bytes)).await;
    assert!(
        bytes.is_empty(),
        "it sent {:?}",
        String::from_utf8_lossy(&bytes)
    );
}

/// During a pause a client leaves, and the attempt for its request fails in a way that allows
/// another.
#[tokio::test]
async fn who_leaves_during_a_pause_gets_no_further_attempt() {
    let orders = Arc::new(Orders::default());
    let (a, b) = (
        Backend::start("a", &orders).await,
        Backend::start("b", &orders).await,
    );
    let discovery = Discovery::start(vec![a.line("SERVING"), b.line("SERVING")]).await;
    let mut proxy = Proxy::settled(&discovery, settings()).await;
    orders.give([Do::Hold(Arc::new(Notify::new()))]);
    let mut client = TcpStream::connect(proxy.addr).await.expect("it listens");
    client
        .write_all(raw("00000000000000aa", LONG).as_bytes())
        .await
        .expect("open");
    orders.came(1).await;
    stop(&mut proxy).await;
    drop(client);
    let holder = if orders.by("a") == 1 { &a } else { &b };
    holder.break_all().await;
    resume(&mut proxy).await;
    // Whoever comes behind it is served; by then the proxy has seen all that happened in the pause.
    assert_eq!(proxy.call("look").await.0, 200);
    let ids: Vec<_> = orders
        .seen
        .borrow()
        .iter()
        .map(|(_, head, _)| head.headers["req-id"].clone())
        .collect();
    let first = ids.iter().filter(|id| *id == "00000000000000aa").count();
    assert_eq!(
        first, 1,
        "it was sent again for a client who had left: {ids:?}"
    );
}

/// A request waits for room under the limit. During a pause another is answered, which makes room,
/// and then its client leaves: the answer is seen first, and the request must not be begun on what
/// was known of its client before.
#[tokio::test]
async fn who_leaves_during_a_pause_is_not_begun_when_room_comes_free() {
    let orders = Arc::new(Orders::default());
    let backend = Backend::start("a", &orders).await;
    let discovery = Discovery::start(vec![backend.line("SERVING")]).await;
    let mut proxy = Proxy::settled(&discovery, settings()).await;
    let releases: Vec<_> = (0..16).map(|_| Arc::new(Notify::new())).collect();
    orders.give(releases.iter().map(|release| Do::Hold(release.clone())));
    let send = async |id: usize| {
        let mut client = TcpStream::connect(proxy.addr).await.expect("it listens");
        client
            .write_all(raw(&format!("{id:016x}"), LONG).as_bytes())
            .await
            .expect("open");
        client
    };
    // As many as the limit takes at its beginning, and some that wait.
    let mut working = Vec::new();
    for id in 0..4 {
        working.push(send(id).await);
        orders.came(id + 1).await;
    }
    let waiting = send(0xaa).await;
    let seen = |id: usize| {
        let id = format!("{id:016x}");
        orders
            .seen
            .borrow()
            .iter()
            .any(|(_, head, _)| head.headers["req-id"] == id.as_str())
    };
    // It has been read and waits: what comes behind it on another connection is answered.
    let mut ready = TcpStream::connect(proxy.addr).await.expect("it listens");
    ready
        .write_all(b"GET /health/ready HTTP/1.1\r\nHost: o\r\n\r\n")
        .await
        .expect("open");
    assert_eq!(soon(status(&mut ready)).await, Some(200));
    assert!(!seen(0xaa), "the limit holds it");
    stop(&mut proxy).await;
    releases[0].notify_one();
    // The answer reaches the system's side of the process before the client leaves.
    tokio::time::sleep(Duration::from_millis(20)).await;
    drop(waiting);
    tokio::time::sleep(PAUSE).await;
    resume(&mut proxy).await;
    assert_eq!(soon(status(&mut working[0])).await, Some(200));
    releases.iter().for_each(|release| release.notify_one());
    for client in &mut working[1..] {
        assert_eq!(soon(status(client)).await, Some(200));
    }
    assert!(!seen(0xaa), "it was begun for a client who had left");
}
