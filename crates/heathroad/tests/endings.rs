//! What each way in which an attempt can end says about whether it ran, by a table, over loopback
//! sockets: for each class of effect, and whether second copies are allowed or not. What surely
//! never ran is sent again whatever its class; what may have run only where that is safe, or its
//! repeats are dropped; what was served or is the request's own fault is passed on.

mod rig;

use rig::*;
use serde_json::json;
use socket2::SockRef;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering::SeqCst};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// What it means.
#[derive(Clone, Copy, PartialEq, Debug)]
enum Says {
    /// It is the answer.
    Served,
    NeverRan,
    MayHaveRun,
    /// The request's own fault.
    Rejected,
}

/// What the backend does with its connection then.
#[derive(Clone, Copy, PartialEq)]
enum Then {
    Stays,
    Closes,
    /// After all that was sent was read.
    Resets,
}

use Says::*;
use Then::*;

/// What is answered to a whole request, and what that says.
const WHOLE: &[(&str, &str, Then, Says)] = &[
    ("an answer", "200 OK|Content-Length: 4||good", Stays, Served),
    (
        "an answer and a close",
        "200 OK|Content-Length: 4||good",
        Closes,
        Served,
    ),
    (
        "an answer and a reset",
        "200 OK|Content-Length: 4||good",
        Resets,
        Served,
    ),
    (
        "chunks",
        "200 OK|Transfer-Encoding: chunked||4|good|0||",
        Stays,
        Served,
    ),
    (
        "an answer that ends with its connection",
        "200 OK|Connection: close||good",
        Closes,
        Served,
    ),
    (
        "the same among other words",
        "200 OK|Connection: x, Close||good",
        Closes,
        Served,
    ),
    (
        "the same, and a reset",
        "200 OK|Connection: close||good",
        Resets,
        MayHaveRun,
    ),
    (
        "an answer without an end, and a close",
        "200 OK|||good",
        Closes,
        MayHaveRun,
    ),
    (
        "a body cut off by a close",
        "200 OK|Content-Length: 9||good",
        Closes,
        MayHaveRun,
    ),
    (
        "a body cut off by a reset",
        "200 OK|Content-Length: 9||good",
        Resets,
        MayHaveRun,
    ),
    (
        "chunks cut off by a close",
        "200 OK|Transfer-Encoding: chunked||4|good|",
        Closes,
        MayHaveRun,
    ),
    ("half a head", "200 OK|Content-", Closes, MayHaveRun),
    ("nothing, and a close", "", Closes, MayHaveRun),
    ("nothing, and a reset", "", Resets, MayHaveRun),
    (
        "an error",
        "500 Internal Server Error|Content-Length: 0||",
        Stays,
        MayHaveRun,
    ),
    (
        "an error that ends with its connection",
        "500 Oh|Connection: close||oh",
        Closes,
        MayHaveRun,
    ),
    (
        "a refusal that says nothing of having run",
        "503 No|Content-Length: 0||",
        Stays,
        MayHaveRun,
    ),
    (
        "a decline",
        "503 No|Srv-Declined: 1|Content-Length: 0||",
        Stays,
        NeverRan,
    ),
    (
        "a decline in time",
        "504 No|Srv-Declined: 1|Content-Length: 0||",
        Stays,
        NeverRan,
    ),
    (
        "a decline and a close",
        "503 No|Srv-Declined: 1|Connection: close||",
        Closes,
        NeverRan,
    ),
    (
        "a decline cut off",
        "503 No|Srv-Declined: 1|Content-Length: 9||no",
        Resets,
        MayHaveRun,
    ),
    (
        "a decline by another number",
        "500 No|Srv-Declined: 1|Content-Length: 0||",
        Stays,
        MayHaveRun,
    ),
    (
        "a request that can't be used",
        "400 Bad Request|Content-Length: 0||",
        Stays,
        Rejected,
    ),
];

/// What each class's request looks like, whether what may have run is sent again, and its body.
const CLASSES: [(&str, bool); 3] = [("look", true), ("keep", true), ("once", false)];

fn bytes(answer: &str) -> Vec<u8> {
    if answer.is_empty() {
        Vec::new()
    } else {
        format!("HTTP/1.1 {}", answer.replace('|', "\r\n")).into_bytes()
    }
}

/// Ends a connection by a reset once the other side has taken all that was written.
async fn reset(stream: TcpStream) {
    let taken = |stream: &TcpStream| {
        let port = format!(":{:04X}", stream.local_addr().expect("open").port());
        let peer = format!(":{:04X}", stream.peer_addr().expect("open").port());
        // The other side's line of the system's table: what it has not read yet is its second
        // queue.
        let table = std::fs::read_to_string("/proc/net/tcp").expect("a table");
        let lines = table
            .lines()
            .map(|l| l.split_whitespace().collect::<Vec<_>>());
        let mut other =
            lines.filter(|f| f.len() > 4 && f[1].ends_with(&peer) && f[2].ends_with(&port));
        other.all(|f| f[4].ends_with(":00000000"))
    };
    soon(async {
        while !taken(&stream) {
            tokio::task::yield_now().await;
        }
    })
    .await;
    SockRef::from(&stream)
        .set_linger(Some(Duration::ZERO))
        .expect("a socket");
}

/// Two backends that share one count of requests: the first gets the answer of the row, all others
/// are served.
struct Backends {
    lines: Vec<serde_json::Value>,
    requests: Arc<AtomicUsize>,
}

async fn backends(answer: Vec<u8>, then: Then) -> Backends {
    let requests = Arc::<AtomicUsize>::default();
    let mut lines = Vec::new();
    for name in ["a", "b"] {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        lines.push(line(name, listener.local_addr().expect("bound"), "SERVING"));
        let (answer, requests) = (answer.clone(), requests.clone());
        tokio::spawn(async move {
            loop {
                let (stream, _) = listener.accept().await.expect("a connection");
                tokio::spawn(serve(stream, answer.clone(), then, requests.clone()));
            }
        });
    }
    Backends { lines, requests }
}

async fn serve(mut stream: TcpStream, answer: Vec<u8>, then: Then, requests: Arc<AtomicUsize>) {
    let mut seen = Vec::new();
    while stream.read_buf(&mut seen).await.is_ok_and(|n| n > 0) {
        if !seen.ends_with(b"\r\n\r\n") {
            continue;
        }
        seen.clear();
        if requests.fetch_add(1, SeqCst) > 0 {
            let _ = stream
                .write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nagain")
                .await;
            continue;
        }
        stream.write_all(&answer).await.expect("open");
        match then {
            Stays => {}
            Closes => return,
            Resets => return reset(stream).await,
        }
    }
}

/// Calls once, and tells the status and the body.
async fn call(addr: SocketAddr, class: &str) -> (u16, String) {
    let method = if class == "look" { "GET" } else { "POST" };
    let key = if class == "keep" {
        "Idempotency-Key: 7\r\n"
    } else {
        ""
    };
    let owner = "Host: o\r\nReq-Owner: acme\r\nReq-Deadline-Ms: 60000\r\nReq-Id: 1";
    let text = format!("{method} /{class} HTTP/1.1\r\n{owner}\r\n{key}Connection: close\r\n\r\n");
    let mut stream = TcpStream::connect(addr).await.expect("it listens");
    stream.write_all(text.as_bytes()).await.expect("open");
    let mut answer = String::new();
    soon(stream.read_to_string(&mut answer))
        .await
        .expect("an answer");
    let (head, body) = answer.split_once("\r\n\r\n").expect("a whole head");
    (head[9..12].parse().expect("a status"), body.to_string())
}

#[tokio::test]
async fn each_ending_says_what_it_says_for_each_class() {
    for may_duplicate in [true, false] {
        for (what, answer, then, says) in WHOLE {
            for (class, again) in CLASSES {
                let backends = backends(bytes(answer), *then).await;
                let discovery = Discovery::start(backends.lines).await;
                let mut settings = settings();
                settings["caps"]["mayDuplicate"] = json!(may_duplicate);
                let proxy = Proxy::settled(&discovery, settings).await;
                let (status, body) = call(proxy.addr, class).await;
                let came = backends.requests.load(SeqCst);
                let case = format!(
                    "{what}, {class}, second copies {may_duplicate}: {status} {body:?}, {came} came"
                );
                match says {
                    Served => assert_eq!((status, body.as_str(), came), (200, "good", 1), "{case}"),
                    NeverRan => {
                        assert_eq!((status, body.as_str(), came), (200, "again", 2), "{case}");
                    }
                    MayHaveRun if again => {
                        assert_eq!((status, body.as_str(), came), (200, "again", 2), "{case}");
                    }
                    // Neither served nor refused: a refusal would say that trying again is
                    // harmless.
                    MayHaveRun | Rejected => {
                        assert!(![200, 429, 503].contains(&status) && came == 1, "{case}");
                    }
                }
            }
        }
    }
}
