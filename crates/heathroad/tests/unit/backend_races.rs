//! Races between the writing of an attempt and its cancellation or an early response.

use super::*;
use crate::safety::{ClientConnection, ClientHandle, ClientPresence};
use bytes::Bytes;
use heathroad_balancer::api::Outcome;
use heathroad_jsonrpc::Framing;
use hyper::header::HeaderValue;
use hyper::{Method, Uri};
use socket2::SockRef;
use std::cell::Cell;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::oneshot;
use tokio::task::{JoinHandle, LocalSet, spawn_local, yield_now};

pub(super) const LONG: Duration = Duration::from_secs(20);

/// Waits for what must happen.
pub(super) async fn soon<T>(what: impl Future<Output = T>) -> T {
    tokio::time::timeout(LONG, what).await.expect("it comes")
}

pub(super) fn pool(connections: usize, may_duplicate: bool) -> Rc<Pool> {
    let limits = Limits {
        connections,
        connect_timeout: LONG,
        idle_timeout: LONG * 3,
        drain_grace: LONG,
        may_duplicate,
    };
    {
        let mut pool = Pool::new(limits);
        pool.max_abandoned_attempts = 1;
        Rc::new(pool)
    }
}

fn call(body: usize) -> Rc<Call> {
    let (id, uri) = (HeaderValue::from_static("1"), Uri::from_static("/once"));
    let (method, body) = (Method::POST, Bytes::from(vec![b'x'; body]));
    Rc::new(Call::Http(http::Call {
        method,
        uri,
        host: None,
        id,
        key: None,
        version: None,
        body,
    }))
}

/// Returns a call to a port of the target.
pub(super) fn jsonrpc_call(port: u16, framing: Framing, params: Option<Bytes>) -> Rc<Call> {
    let transport = jsonrpc::Transport {
        port: Some(port),
        framing,
        max_calls: 4,
        declined_code: None,
        carries_budget: false,
    };
    Rc::new(Call::JsonRpc(jsonrpc::Call {
        method: Bytes::from_static(b"\"once\""),
        params,
        is_notification: false,
        transport,
    }))
}

/// An attempt under way.
pub(super) struct RunningAttempt {
    pub(super) control: Rc<AttemptControl>,
    pub(super) outcome: oneshot::Receiver<Outcome>,
    task: JoinHandle<()>,
}

pub(super) fn run(pool: &Rc<Pool>, target: &Rc<Target>, call: Rc<Call>) -> RunningAttempt {
    let (control, times_out_at) = (Rc::<AttemptControl>::default(), Instant::now() + LONG * 3);
    let attempt = Attempt {
        call,
        target: target.clone(),
        times_out_at,
        expires_at: times_out_at,
        control: control.clone(),
        budget: None,
    };
    let (sender, outcome) = oneshot::channel();
    let on_result = |result: AttemptEnd| sender.send(result.outcome()).expect("awaited");
    let task = spawn_local(attempt.run(pool.clone(), on_result, |_| {}));
    RunningAttempt {
        control,
        outcome,
        task,
    }
}

fn small_listener(queue: u32) -> TcpListener {
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.set_recv_buffer_size(4096).expect("a size");
    socket
        .bind("127.0.0.1:0".parse().expect("an address"))
        .expect("a port");
    socket.listen(queue).expect("it listens")
}

/// Waits until a connect to an address is under way, by the system's table of connections.
async fn connecting(address: SocketAddr) {
    let port = format!(":{:04X}", address.port());
    let waits = |line: &str| {
        let fields: Vec<&str> = line.split_whitespace().collect();
        fields.get(2).is_some_and(|remote| remote.ends_with(&port)) && fields.get(3) == Some(&"02")
    };
    while !std::fs::read_to_string("/proc/net/tcp")
        .expect("a table")
        .lines()
        .any(waits)
    {
        yield_now().await;
    }
}

/// Another attempt holds the only slot.
#[tokio::test]
async fn an_attempt_cancelled_while_it_waits_for_a_slot_takes_none() {
    let listener = small_listener(16);
    let address = listener.local_addr().expect("bound");
    let pool = pool(1, true);
    LocalSet::new()
        .run_until(async {
            let target = pool.target("a", address, 0.0);
            let busy = run(&pool, &target, call(0));
            let (mut stream, _) = soon(listener.accept()).await.expect("it came");
            assert_ne!(soon(stream.read(&mut [0; 1024])).await.expect("open"), 0);
            for cancel in [AttemptControl::abandon, AttemptControl::cancel] {
                let waits = run(&pool, &target, call(0));
                yield_now().await;
                cancel(&waits.control);
                assert_eq!(soon(waits.outcome).await, Ok(Outcome::NotSent));
                soon(waits.task).await.expect("no panic");
            }
            assert!(!busy.control.has_reported(), "the other goes on");
            stream
                .write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
                .await
                .expect("open");
            assert_eq!(soon(busy.outcome).await, Ok(Outcome::Success));
            assert!(
                soon(pool.connect_http(address)).await.is_ok(),
                "its slot is free"
            );
        })
        .await;
}

/// An idle connection holds stray bytes, so that the request needs another one, which is not
/// established. Cancelled then, the request never ran, and no task is left that might send it
/// later.
#[tokio::test]
async fn a_second_connect_ends_with_its_cancelled_attempt() {
    for cancel in [AttemptControl::abandon, AttemptControl::cancel] {
        let listener = small_listener(1);
        let address = listener.local_addr().expect("bound");
        let pool = pool(4, true);
        LocalSet::new()
            .run_until(async {
                let target = pool.target("a", address, 0.0);
                let connection = pool.connect_http(address).await.expect("it listens");
                let (mut kept, _) = soon(listener.accept()).await.expect("it came");
                // The queue fills up, and what comes now neither succeeds nor fails.
                let mut held = Vec::new();
                while let Ok(stream) =
                    tokio::time::timeout(Duration::from_millis(300), TcpStream::connect(address))
                        .await
                {
                    held.push(stream.expect("a connection"));
                    assert!(held.len() < 100, "the queue fills up");
                }
                pool.keep_idle(&target, connection);
                // The connection's task does not run before the attempt has looked at it.
                let sent =
                    SockRef::from(&kept).send(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate");
                assert!(sent.is_ok());
                let again = run(&pool, &target, call(0));
                soon(connecting(address)).await;
                cancel(&again.control);
                assert_eq!(soon(again.outcome).await, Ok(Outcome::NotSent));
                soon(again.task).await.expect("no panic");
                let mut nothing = Vec::new();
                assert_eq!(
                    soon(kept.read_to_end(&mut nothing)).await.unwrap_or(0),
                    0,
                    "nothing went over the old one"
                );
                for _ in &held {
                    drop(soon(listener.accept()).await.expect("queued"));
                }
            })
            .await;
    }
}

/// No backend can have made such a response for the request, and none ever gets the rest of it.
/// Whether it is retried or rejected is the decision module's by its class, and rests on
/// `never_ran`.
#[tokio::test]
async fn a_response_to_a_request_that_is_not_whole_is_none() {
    const BODY: usize = MAX_BODY;
    let cases = [
        (
            "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nearly",
            Outcome::ConnectFailed,
        ),
        (
            "HTTP/1.1 503 No\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n",
            Outcome::Rejected,
        ),
        (
            "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n",
            Outcome::ConnectFailed,
        ),
        (
            "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\nwhat",
            Outcome::ConnectFailed,
        ),
        ("noise\r\n\r\n", Outcome::ConnectFailed),
        // A request that is at fault itself is sent to no other backend, whether it ran or not.
        (
            "HTTP/1.1 413 No\r\nContent-Length: 0\r\n\r\n",
            Outcome::Cancelled,
        ),
    ];
    for (bytes, outcome) in cases {
        let listener = small_listener(16);
        let address = listener.local_addr().expect("bound");
        let pool = pool(4, true);
        LocalSet::new()
            .run_until(async {
                let target = pool.target("a", address, 0.0);
                let (stream, slot) = pool.connect(address).await.expect("it listens");
                SockRef::from(&stream)
                    .set_send_buffer_size(4096)
                    .expect("a size");
                pool.keep_idle(
                    &target,
                    pool.start_http(stream, slot)
                        .await
                        .expect("nothing is sent yet"),
                );
                let (mut backend, _) = soon(listener.accept()).await.expect("it came");
                let attempt = run(&pool, &target, call(BODY));
                let mut seen = [0; 64];
                assert_ne!(soon(backend.read(&mut seen)).await.expect("open"), 0);
                backend.write_all(bytes.as_bytes()).await.expect("open");
                assert_eq!(soon(attempt.outcome).await, Ok(outcome), "{bytes}");
                let mut rest = Vec::new();
                // A close with bytes unread may end as a reset.
                let _ = soon(backend.read_to_end(&mut rest)).await;
                assert!(rest.len() < BODY, "{bytes}: it got all of it");
            })
            .await;
    }
}

#[tokio::test]
async fn a_request_cancelled_half_way_is_not_written_on() {
    for cancel in [AttemptControl::abandon, AttemptControl::cancel] {
        let listener = small_listener(16);
        let address = listener.local_addr().expect("bound");
        let pool = pool(4, true);
        LocalSet::new()
            .run_until(async {
                let target = pool.target("a", address, 0.0);
                let (stream, slot) = pool.connect(address).await.expect("it listens");
                SockRef::from(&stream)
                    .set_send_buffer_size(4096)
                    .expect("a size");
                pool.keep_idle(
                    &target,
                    pool.start_http(stream, slot)
                        .await
                        .expect("nothing is sent yet"),
                );
                let (mut backend, _) = soon(listener.accept()).await.expect("it came");
                let attempt = run(&pool, &target, call(MAX_BODY));
                assert_ne!(soon(backend.read(&mut [0; 64])).await.expect("open"), 0);
                cancel(&attempt.control);
                assert_eq!(soon(attempt.outcome).await, Ok(Outcome::NotSent));
                let mut rest = Vec::new();
                let _ = soon(backend.read_to_end(&mut rest)).await;
                assert!(rest.len() < MAX_BODY, "it got all of it");
            })
            .await;
    }
}

/// A stray second response would be taken for the response to the next request. Once one has come,
/// a connection is not reused while another may be on its way; one that comes meanwhile ends it.
#[tokio::test]
async fn connections_settle_where_second_responses_come() {
    let listener = small_listener(16);
    let address = listener.local_addr().expect("bound");
    let pool = pool(4, true);
    let answer = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ngood";
    LocalSet::new()
        .run_until(async {
            let target = pool.target("a", address, 0.0);
            let served = async |stream: &mut TcpStream, attempt: RunningAttempt| {
                assert_ne!(soon(stream.read(&mut [0; 1024])).await.expect("open"), 0);
                stream.write_all(answer).await.expect("open");
                assert_eq!(soon(attempt.outcome).await, Ok(Outcome::Success));
            };
            let attempt = run(&pool, &target, call(0));
            let (mut first, _) = soon(listener.accept()).await.expect("it came");
            served(&mut first, attempt).await;
            // No stray response has come yet: the connection is reused at once.
            let attempt = run(&pool, &target, call(0));
            served(&mut first, attempt).await;
            first.write_all(answer).await.expect("open");
            assert_eq!(soon(first.read(&mut [0; 64])).await.unwrap_or(0), 0, "it is of no further use");
            let attempt = run(&pool, &target, call(0));
            let (mut second, _) = soon(listener.accept()).await.expect("it came");
            served(&mut second, attempt).await;
            let attempt = run(&pool, &target, call(0));
            for _ in 0..100 {
                yield_now().await;
            }
            second.write_all(answer).await.expect("open");
            let mut bytes = [0; 64];
            let accepted = tokio::select! {
                accepted = soon(listener.accept()) => accepted,
                Ok(1..) = second.read(&mut bytes) => panic!("the next request went over it at once"),
            };
            served(&mut accepted.expect("it came").0, attempt).await;
        })
        .await;
}

/// No other call is on the JSON-RPC connection.
#[tokio::test]
async fn a_text_cancelled_half_way_is_not_written_on() {
    // More than the system takes for a node that reads nothing.
    const TEXT: usize = 16 << 20;
    for cancel in [AttemptControl::abandon, AttemptControl::cancel] {
        let listener = small_listener(16);
        let address = listener.local_addr().expect("bound");
        let pool = pool(4, true);
        LocalSet::new()
            .run_until(async {
                let target = pool.target("a", address, 0.0);
                let params = Some(Bytes::from(format!("[\"{}\"]", "x".repeat(TEXT))));
                let call = jsonrpc_call(address.port(), Framing::Lines, params);
                let attempt = run(&pool, &target, call);
                let (mut node, _) = soon(listener.accept()).await.expect("it came");
                assert_ne!(soon(node.read(&mut [0; 64])).await.expect("open"), 0);
                cancel(&attempt.control);
                assert_eq!(soon(attempt.outcome).await, Ok(Outcome::NotSent));
                let mut rest = Vec::new();
                let _ = soon(node.read_to_end(&mut rest)).await;
                assert!(
                    !rest.is_empty() && !rest.contains(&b'\n'),
                    "it got all of it"
                );
            })
            .await;
    }
}

/// A client that is there when it is first looked for, and has left from then on.
struct LeavingClient {
    looks: Cell<u32>,
}

impl ClientConnection for LeavingClient {
    fn presence(&self) -> ClientPresence {
        self.looks.set(self.looks.get() + 1);
        if self.looks.get() == 1 {
            ClientPresence::Present
        } else {
            ClientPresence::Left
        }
    }
}

/// Guards against a request that is checked, and written by another task, after the process was held
/// up in between and its client has left.
#[tokio::test]
async fn a_request_whose_client_leaves_before_the_first_byte_is_not_written() {
    let listener = small_listener(16);
    let address = listener.local_addr().expect("bound");
    let pool = pool(8, true);
    LocalSet::new()
        .run_until(async {
            let target = pool.target("a", address, 0.0);
            for call in [call(0), jsonrpc_call(address.port(), Framing::Lines, None)] {
                let client = Rc::new(LeavingClient {
                    looks: Cell::new(0),
                });
                let control = Rc::new(AttemptControl::new(Some(ClientHandle::new(&client)), None));
                let expires_at = Instant::now() + LONG;
                let running = {
                    let (pool, target) = (pool.clone(), target.clone());
                    spawn_local(async move {
                        exchange(&pool, &call, &target, expires_at, &control, None).await
                    })
                };
                let (mut backend, _) = soon(listener.accept()).await.expect("a connection");
                let mut bytes = [0; 1024];
                let read =
                    tokio::time::timeout(Duration::from_millis(200), backend.read(&mut bytes));
                let written = read.await.map_or(0, |read| read.unwrap_or(0));
                assert_eq!(written, 0, "{}", String::from_utf8_lossy(&bytes[..written]));
                let end = soon(running).await.expect("no panic");
                assert_eq!(end.outcome(), Outcome::NotSent);
            }
        })
        .await;
}
