//! Clients that send what is not sound, much of it, or at full speed, on loopback sockets: it reaches
//! no backend, takes no more memory than is allowed, and keeps nobody else waiting.

mod rig;

use rig::rpc::{Raw, call, code};
use rig::rpc_scene::{Plan, nodes, scene};
use rig::*;
use serde_json::Value;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

/// What a proxy may take of memory, in KiB: `memory_mb` of the rig's configuration.
const MEMORY_LIMIT: u64 = 192 * 1024;
/// How long a client floods its connection.
const FLOOD_TIME: Duration = Duration::from_secs(2);
/// What another client may wait for its answer meanwhile: no longer than deadlines allow a proxy to be
/// held up.
const MAX_WAIT: Duration = Duration::from_millis(150);

async fn answer(addr: SocketAddr, text: &str) -> String {
    let mut stream = soon(TcpStream::connect(addr)).await.expect("it listens");
    stream.write_all(text.as_bytes()).await.expect("taken");
    let mut answer = vec![0; 4096];
    let read = soon(stream.read(&mut answer)).await.expect("an answer");
    String::from_utf8_lossy(&answer[..read]).into_owned()
}

/// Guards against heads that HTTP or the protocol forbid and that are served all the same.
#[tokio::test]
async fn heads_that_are_not_sound_reach_no_backend() {
    let orders = Arc::new(Orders::default());
    let backend = Backend::start("a", &orders).await;
    let discovery = Discovery::start(vec![backend.line("SERVING")]).await;
    let proxy = Proxy::settled(&discovery, settings()).await;
    let post = |class: &str, more: &str| (format!("POST /{class}?k=1 HTTP/1.1"), more.to_string());
    let get = |more: &str| ("GET /look?k=1 HTTP/1.1".to_string(), more.to_string());
    let host = "Host: o\r\n";
    let cases = [
        ("no host", get("")),
        ("two hosts", get("Host: o\r\nHost: o\r\n")),
        ("other hosts", get("Host: o\r\nHost: p\r\n")),
        ("odd host", get("Host: a b/..@\r\n")),
        (
            "two lengths",
            post(
                "once",
                &format!("{host}Content-Length: 0\r\nContent-Length: 1\r\n"),
            ),
        ),
        (
            "two lengths on a GET",
            get(&format!("{host}Content-Length: 0\r\nContent-Length: 1\r\n")),
        ),
        (
            "two keys",
            post(
                "once",
                &format!("{host}Idempotency-Key: a\r\nIdempotency-Key: b\r\n"),
            ),
        ),
        (
            "empty key",
            post("once", &format!("{host}Idempotency-Key:\r\n")),
        ),
        (
            "two keys where one is needed",
            post(
                "keep",
                &format!("{host}Idempotency-Key: a\r\nIdempotency-Key: a\r\n"),
            ),
        ),
    ];
    for (number, (name, (line, headers))) in cases.iter().enumerate() {
        let text = format!(
            "{line}\r\nReq-Id: {number}\r\nReq-Owner: acme\r\nReq-Deadline-Ms: 2000\r\n{headers}\r\n"
        );
        let answer = answer(proxy.addr, &text).await;
        assert!(answer.starts_with("HTTP/1.1 400 "), "{name}: {answer}");
    }
    assert_eq!(orders.seen.borrow().len(), 0);
    assert_eq!(proxy.call("once").await.0, 200);
}

/// Sends bytes, and holds the connection until the proxy ends it or a moment has passed.
async fn send_and_hold(addr: SocketAddr, bytes: Arc<Vec<u8>>) {
    let mut stream = soon(TcpStream::connect(addr)).await.expect("it listens");
    let hold = async {
        // The proxy may end the connection at any point.
        let _ = stream.write_all(&bytes).await;
        let _ = stream.read_to_end(&mut Vec::new()).await;
    };
    let _ = timeout(Duration::from_secs(4), hold).await;
}

/// Guards against messages that are held without a bound: incomplete ones, and the calls of complete
/// ones.
#[tokio::test]
async fn json_rpc_clients_by_hundreds_do_not_outgrow_the_memory() {
    let open_text = |framing: &str| {
        let head = if framing == "headers" {
            "Content-Length: 4000000\r\n\r\n"
        } else {
            ""
        };
        let call = r#"{"jsonrpc":"2.0","method":"claims.once","params":[""#;
        format!("{head}{call}{}", "x".repeat(3_900_000))
    };
    let batch = |member: &str| format!("[{}]\n", vec![member; 9000].join(","));
    let sound = r#"{"jsonrpc":"2.0","method":"claims.look","id":1}"#;
    for (framing, text) in [
        ("lines", open_text("lines")),
        ("headers", open_text("headers")),
        ("run-on", open_text("run-on")),
        ("lines", batch(sound)),
        ("lines", batch("{}")),
    ] {
        let (_script, _nodes, list) = nodes(&["a"]).await;
        let listener = format!("framing = \"{framing}\"");
        let s = scene(&Plan {
            nodes: &list,
            listener: &listener,
            ..Plan::default()
        })
        .await;
        let bytes = Arc::new(text.into_bytes());
        let clients: Vec<_> = (0..200)
            .map(|_| tokio::spawn(send_and_hold(s.addr, bytes.clone())))
            .collect();
        for client in clients {
            soon(client).await.expect("no panic");
        }
        let (_, peak) = s.proxy.used();
        assert!(peak < MEMORY_LIMIT, "{framing}: {peak} KiB");
    }
}

/// Writes blocks as fast as they are taken, and reads what comes, until its time is up. It has
/// threads of its own, so that it takes no time from who measures.
fn flood(addr: SocketAddr, block: String) -> JoinHandle<()> {
    std::thread::spawn(move || {
        let mut writer = std::net::TcpStream::connect(addr).expect("it listens");
        let mut reader = writer.try_clone().expect("a socket");
        writer
            .set_write_timeout(Some(FLOOD_TIME))
            .expect("a socket");
        let reading = std::thread::spawn(move || {
            let mut bytes = vec![0; 1 << 20];
            while reader.read(&mut bytes).is_ok_and(|read| read > 0) {}
        });
        let begun = Instant::now();
        while begun.elapsed() < FLOOD_TIME && writer.write_all(block.as_bytes()).is_ok() {}
        // Ends the reader too; the proxy may have closed it already.
        let _ = writer.shutdown(Shutdown::Both);
        reading.join().expect("no panic");
    })
}

/// Guards against one connection's input that is decoded without a pause while others wait.
#[tokio::test]
async fn a_json_rpc_flood_keeps_nobody_waiting() {
    let many = |text: &dyn Fn(usize) -> String| (0..2000).map(text).collect::<String>();
    let floods = [
        ("empty objects", many(&|_| "{}\n".into())),
        ("no JSON", many(&|n| format!("junk{n:x}\n"))),
        (
            "unknown methods",
            many(&|n| format!("{{\"jsonrpc\":\"2.0\",\"method\":\"n{n:x}\",\"id\":{n}}}\n")),
        ),
        (
            "unknown notifications",
            many(&|n| format!("{{\"jsonrpc\":\"2.0\",\"method\":\"n{n:x}\"}}\n")),
        ),
        (
            "calls",
            many(&|n| call("claims.look", "flood", &n.to_string()) + "\n"),
        ),
        ("blank lines", "\n".repeat(100_000)),
    ];
    for (name, block) in floods {
        let (_script, _nodes, list) = nodes(&["a", "b", "c", "d"]).await;
        let s = scene(&Plan {
            nodes: &list,
            ..Plan::default()
        })
        .await;
        let flooding = flood(s.addr, block);
        sleep(Duration::from_millis(200)).await;
        let (mut longest, mut answered) = (Duration::ZERO, 0);
        while !flooding.is_finished() {
            let begun = Instant::now();
            let answer: Value = Raw::to(s.addr)
                .await
                .call(&call("claims.look", "other", "1"))
                .await;
            // It may be rejected while the pool is busy, but at once.
            assert!([0, -32001].contains(&code(&answer)), "{name}: {answer}");
            longest = longest.max(begun.elapsed());
            answered += 1;
            sleep(Duration::from_millis(10)).await;
        }
        assert!(
            longest < MAX_WAIT,
            "{name}: {longest:?} of {answered} answers"
        );
        let (_, peak) = s.proxy.used();
        assert!(peak < MEMORY_LIMIT, "{name}: {peak} KiB");
    }
}

/// Requests of one client that say nothing about a backend's health.
const UNJUDGED: usize = 200;

/// Guards against attempts that count as in flight after backends have turned them down.
#[tokio::test]
async fn requests_that_backends_turn_down_leave_room_for_others() {
    let orders = Arc::new(Orders::default());
    let backend = Backend::start("a", &orders).await;
    let discovery = Discovery::start(vec![backend.line("SERVING")]).await;
    let proxy = Proxy::settled(&discovery, settings()).await;
    let mut client = proxy.caller().await;
    for number in 0..UNJUDGED {
        orders.give([Do::Answer(400)]);
        assert_eq!(client.call("look").await.0, 502, "request {number}");
    }
    assert_eq!(proxy.call("look").await.0, 200);
}

/// Guards against notifications that count as in flight after they were written.
#[tokio::test]
async fn notifications_leave_room_for_calls() {
    let (script, _nodes, list) = nodes(&["a", "b", "c", "d"]).await;
    let s = scene(&Plan {
        nodes: &list,
        ..Plan::default()
    })
    .await;
    let mut client = s.raw().await;
    let notification = "{\"jsonrpc\":\"2.0\",\"method\":\"claims.look\"}\n";
    client.write(notification.repeat(UNJUDGED).as_bytes()).await;
    script.came(1).await;
    // Those that came at once have been written or rejected by then.
    sleep(MAX_WAIT).await;
    for number in 0..UNJUDGED {
        let answer = client.call(&call("claims.look", "other", "1")).await;
        assert_eq!(code(&answer), 0, "call {number}: {answer}");
    }
}
