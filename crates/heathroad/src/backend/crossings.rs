//! Attempts that are called off, or answered, before they are written whole.

use super::*;
use hyper::header::HeaderValue;
use hyper::{Method, Uri};
use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket};
use tokio::sync::oneshot;
use tokio::task::{JoinHandle, LocalSet, spawn_local, yield_now};

const LONG: Duration = Duration::from_secs(20);

/// Waits for what must come.
async fn soon<T>(what: impl Future<Output = T>) -> T {
    tokio::time::timeout(LONG, what).await.expect("it comes")
}

fn pool(connections: usize, may_duplicate: bool) -> Rc<Pool> {
    let limits = Limits {
        connections,
        connect: LONG,
        idle: LONG * 3,
        drain_grace: LONG,
        may_duplicate,
    };
    Rc::new(Pool {
        draining_most: 1,
        ..Pool::new(limits)
    })
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

/// An attempt under way: its line, how it ends, and its whole course.
struct Run {
    line: Rc<Line>,
    ended: oneshot::Receiver<Outcome>,
    course: JoinHandle<()>,
}

fn run(pool: &Rc<Pool>, target: &Rc<Target>, call: Rc<Call>) -> Run {
    let (line, not_past) = (Rc::<Line>::default(), Instant::now() + LONG * 3);
    let attempt = Attempt {
        call,
        target: target.clone(),
        not_past,
        expires: not_past,
        line: line.clone(),
        purse: None,
    };
    let (report, ended) = oneshot::channel();
    let report = |end: End| report.send(end.outcome()).expect("awaited");
    let course = spawn_local(attempt.run(pool.clone(), report, |_| {}));
    Run {
        line,
        ended,
        course,
    }
}

async fn small_listener(queue: u32) -> TcpListener {
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.set_recv_buffer_size(4096).expect("a size");
    socket
        .bind("127.0.0.1:0".parse().expect("an address"))
        .expect("a port");
    socket.listen(queue).expect("it listens")
}

/// Waits until a connect to an address is under way, by the system's table of connections.
async fn connecting(dial: SocketAddr) {
    let port = format!(":{:04X}", dial.port());
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

/// The only place is another's: who is called off while it waits for one takes none, and never ran.
#[tokio::test]
async fn who_is_called_off_while_it_waits_for_a_place_takes_none() {
    let listener = small_listener(16).await;
    let dial = listener.local_addr().expect("bound");
    let pool = pool(1, true);
    LocalSet::new()
        .run_until(async {
            let target = pool.target("a", dial, 0.0);
            let busy = run(&pool, &target, call(0));
            let (mut stream, _) = soon(listener.accept()).await.expect("it came");
            assert_ne!(soon(stream.read(&mut [0; 1024])).await.expect("open"), 0);
            for off in [Line::forsake, Line::withdraw] {
                let waits = run(&pool, &target, call(0));
                yield_now().await;
                off(&waits.line);
                assert_eq!(soon(waits.ended).await, Ok(Outcome::NotSent));
                soon(waits.course).await.expect("no panic");
            }
            assert!(!busy.line.reported(), "the other goes on");
            stream
                .write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
                .await
                .expect("open");
            assert_eq!(soon(busy.ended).await, Ok(Outcome::Success));
            assert!(soon(pool.connect(dial)).await.is_ok(), "its place is free");
        })
        .await;
}

/// A kept connection holds a late answer that nobody has heard of, so that the request needs
/// another one, which does not come up: called off, the request never ran, and has no course any
/// more that might send it later.
#[tokio::test]
async fn a_second_connect_is_no_work_that_goes_on() {
    for off in [Line::forsake, Line::withdraw] {
        let listener = small_listener(1).await;
        let dial = listener.local_addr().expect("bound");
        let pool = pool(4, true);
        LocalSet::new()
            .run_until(async {
                let target = pool.target("a", dial, 0.0);
                let link = pool.connect(dial).await.expect("it listens");
                let (mut kept, _) = soon(listener.accept()).await.expect("it came");
                // The queue fills up, and what comes now neither succeeds nor fails.
                let mut held = Vec::new();
                while let Ok(stream) =
                    tokio::time::timeout(Duration::from_millis(300), TcpStream::connect(dial)).await
                {
                    held.push(stream.expect("a connection"));
                    assert!(held.len() < 100, "the queue fills up");
                }
                pool.keep(&target, link);
                // The task that has the connection does not run before the attempt has looked at
                // it.
                let sent =
                    SockRef::from(&kept).send(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate");
                assert!(sent.is_ok());
                let again = run(&pool, &target, call(0));
                soon(connecting(dial)).await;
                off(&again.line);
                assert_eq!(soon(again.ended).await, Ok(Outcome::NotSent));
                soon(again.course).await.expect("no panic");
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

/// The table of answers that come before a request is whole: no backend can have made them for it,
/// and none ever gets the rest of it. Whether it may be sent again or refused is the module's by
/// class, and rests on `never_ran`.
#[tokio::test]
async fn an_answer_to_a_request_that_is_not_whole_is_none() {
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
        // What the request is at fault for goes to no other backend, whether it ran or not.
        (
            "HTTP/1.1 413 No\r\nContent-Length: 0\r\n\r\n",
            Outcome::Cancelled,
        ),
    ];
    for (bytes, outcome) in cases {
        let listener = small_listener(16).await;
        let dial = listener.local_addr().expect("bound");
        let pool = pool(4, true);
        LocalSet::new()
            .run_until(async {
                let target = pool.target("a", dial, 0.0);
                let (stream, place) = pool.dial(dial).await.expect("it listens");
                SockRef::from(&stream)
                    .set_send_buffer_size(4096)
                    .expect("a size");
                pool.keep(
                    &target,
                    pool.link(stream, place).await.expect("nothing is sent yet"),
                );
                let (mut backend, _) = soon(listener.accept()).await.expect("it came");
                let attempt = run(&pool, &target, call(BODY));
                let mut seen = [0; 64];
                assert_ne!(soon(backend.read(&mut seen)).await.expect("open"), 0);
                backend.write_all(bytes.as_bytes()).await.expect("open");
                assert_eq!(soon(attempt.ended).await, Ok(outcome), "{bytes}");
                let mut rest = Vec::new();
                // A close with bytes unread may end as a reset.
                let _ = soon(backend.read_to_end(&mut rest)).await;
                assert!(rest.len() < BODY, "{bytes}: it got all of it");
            })
            .await;
    }
}

/// A request is called off half-way through: the rest of it is not sent.
#[tokio::test]
async fn what_is_called_off_half_way_is_not_written_on() {
    for off in [Line::forsake, Line::withdraw] {
        let listener = small_listener(16).await;
        let dial = listener.local_addr().expect("bound");
        let pool = pool(4, true);
        LocalSet::new()
            .run_until(async {
                let target = pool.target("a", dial, 0.0);
                let (stream, place) = pool.dial(dial).await.expect("it listens");
                SockRef::from(&stream)
                    .set_send_buffer_size(4096)
                    .expect("a size");
                pool.keep(
                    &target,
                    pool.link(stream, place).await.expect("nothing is sent yet"),
                );
                let (mut backend, _) = soon(listener.accept()).await.expect("it came");
                let attempt = run(&pool, &target, call(MAX_BODY));
                assert_ne!(soon(backend.read(&mut [0; 64])).await.expect("open"), 0);
                off(&attempt.line);
                assert_eq!(soon(attempt.ended).await, Ok(Outcome::NotSent));
                let mut rest = Vec::new();
                let _ = soon(backend.read_to_end(&mut rest)).await;
                assert!(rest.len() < MAX_BODY, "it got all of it");
            })
            .await;
    }
}

/// A second answer comes late, on a connection at rest. From then on no request goes over a
/// connection on which one may be on its way still: it would be taken for that request's. One that
/// comes while it rests shows that it is of no use.
#[tokio::test]
async fn a_connection_rests_where_second_answers_come() {
    let listener = small_listener(16).await;
    let dial = listener.local_addr().expect("bound");
    let pool = pool(4, true);
    let answer = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ngood";
    LocalSet::new()
        .run_until(async {
            let target = pool.target("a", dial, 0.0);
            let served = async |stream: &mut TcpStream, attempt: Run| {
                assert_ne!(soon(stream.read(&mut [0; 1024])).await.expect("open"), 0);
                stream.write_all(answer).await.expect("open");
                assert_eq!(soon(attempt.ended).await, Ok(Outcome::Success));
            };
            let attempt = run(&pool, &target, call(0));
            let (mut first, _) = soon(listener.accept()).await.expect("it came");
            served(&mut first, attempt).await;
            // Nobody has done so yet: a connection is used again at once.
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

/// The same over JSON-RPC, where nobody else has a call on the connection.
#[tokio::test]
async fn a_text_that_is_called_off_half_way_is_not_written_on() {
    // More than the system takes for a node that reads nothing.
    const TEXT: usize = 16 << 20;
    for off in [Line::forsake, Line::withdraw] {
        let listener = small_listener(16).await;
        let dial = listener.local_addr().expect("bound");
        let pool = pool(4, true);
        LocalSet::new()
            .run_until(async {
                let target = pool.target("a", dial, 0.0);
                let framing = heathroad_jsonrpc::Framing::Lines;
                let way = jsonrpc::Way {
                    port: None,
                    framing,
                    calls: 1,
                    declined: None,
                    budget: false,
                };
                let params = Some(Bytes::from(format!("[\"{}\"]", "x".repeat(TEXT))));
                let method = Bytes::from_static(b"\"once\"");
                let call = Rc::new(Call::Rpc(jsonrpc::Call {
                    method,
                    params,
                    notification: false,
                    way,
                }));
                let attempt = run(&pool, &target, call);
                let (mut node, _) = soon(listener.accept()).await.expect("it came");
                assert_ne!(soon(node.read(&mut [0; 64])).await.expect("open"), 0);
                off(&attempt.line);
                assert_eq!(soon(attempt.ended).await, Ok(Outcome::NotSent));
                let mut rest = Vec::new();
                let _ = soon(node.read_to_end(&mut rest)).await;
                assert!(rest.len() < TEXT, "it got all of it");
            })
            .await;
    }
}
