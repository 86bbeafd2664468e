//! Clients that leave with much unread behind their request, and ids that come again after their
//! client has left, on loopback sockets.

mod rig;

use rig::rpc::call;
use rig::rpc_scene::{Plan, nodes, scene};
use rig::*;
use serde_json::Value;
use socket2::SockRef;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::sleep;

/// How long after its client's leave an attempt may still begin.
const LEAVE_GRACE: Duration = Duration::from_millis(100);
/// How long held requests have to be sent on, once there is a backend.
const DISPATCH_TIME: Duration = Duration::from_millis(300);
/// Send buffer of clients, in bytes: what they write is out of their hands when they close.
const SEND_BUFFER: usize = 8 << 20;
/// How long a process stays stopped.
const STOP_TIME: Duration = Duration::from_millis(150);

fn raw_request(class: &str, id: &str, deadline_ms: u64) -> String {
    let method = if class == "look" { "GET" } else { "POST" };
    let key = if class == "keep" {
        "Idempotency-Key: 5c0f\r\n"
    } else {
        ""
    };
    format!(
        "{method} /{class}?k=7f3a HTTP/1.1\r\nHost: o\r\nReq-Owner: acme\r\nReq-Id: {id}\r\n\
         Req-Deadline-Ms: {deadline_ms}\r\n{key}\r\n"
    )
}

/// Returns about this many bytes of requests.
fn requests(bytes: usize) -> String {
    let mut text = String::new();
    while text.len() < bytes {
        text += &raw_request("look", &format!("behind-{}", text.len()), 60_000);
    }
    text
}

async fn client(addr: SocketAddr) -> TcpStream {
    let stream = soon(TcpStream::connect(addr)).await.expect("it listens");
    let socket = SockRef::from(&stream);
    socket.set_send_buffer_size(SEND_BUFFER).expect("a socket");
    stream
}

/// Writes what the system takes within a moment; the rest is dropped with the client.
async fn write_much(stream: &mut TcpStream, text: &str) {
    let _ = tokio::time::timeout(LEAVE_GRACE, stream.write_all(text.as_bytes())).await;
}

/// Closes a client's connection, in good order or by a reset.
fn leave(stream: TcpStream, by_reset: bool) {
    if by_reset {
        SockRef::from(&stream)
            .set_linger(Some(Duration::ZERO))
            .expect("a socket");
    }
    drop(stream);
}

fn ids_seen(orders: &Orders) -> Vec<String> {
    let seen = orders.seen.borrow();
    let ids = seen
        .iter()
        .map(|(_, head, _)| head.headers["req-id"].to_str().expect("text").to_string());
    ids.collect()
}

/// Guards against attempts for clients whose leaving lies behind more bytes than are read ahead.
#[tokio::test]
async fn no_attempt_begins_for_a_client_that_left_with_much_unread() {
    let orders = Arc::new(Orders::default());
    let backend = Backend::start("a", &orders).await;
    for kilobytes in [0, 50, 200, 400, 1000, 4000] {
        for by_reset in [false, true] {
            let discovery = Discovery::start(vec![backend.line("SERVING")]).await;
            let proxy = Proxy::settled(&discovery, settings()).await;
            // Without a backend, requests are held.
            discovery.tell(vec![]).await;
            let mut gone = client(proxy.addr).await;
            let first = raw_request("once", &format!("left-{kilobytes}"), 60_000);
            write_much(&mut gone, &(first + &requests(kilobytes * 1024))).await;
            leave(gone, by_reset);
            sleep(2 * LEAVE_GRACE).await;
            discovery.tell(vec![backend.line("SERVING")]).await;
            sleep(DISPATCH_TIME).await;
            assert_eq!(
                ids_seen(&orders),
                Vec::<String>::new(),
                "{kilobytes} KB behind, by reset: {by_reset}"
            );
            assert_eq!(proxy.call("look").await.0, 200, "others are served");
            orders.seen.send_modify(Vec::clear);
        }
    }
}

/// Guards against a first attempt that begins before the bytes behind its request are looked at.
#[tokio::test]
async fn no_attempt_begins_for_a_client_that_left_during_a_stop() {
    let orders = Arc::new(Orders::default());
    let backend = Backend::start("a", &orders).await;
    let discovery = Discovery::start(vec![backend.line("SERVING")]).await;
    let mut proxy = Proxy::settled(&discovery, settings()).await;
    for kept in [false, true] {
        for kilobytes in [0, 20, 300] {
            let id = format!("kept-{kept}-{kilobytes}");
            let mut gone = client(proxy.addr).await;
            if kept {
                let warm_up = raw_request("look", &format!("warm-up-{id}"), 60_000);
                gone.write_all(warm_up.as_bytes()).await.expect("open");
                soon(gone.read(&mut [0; 1024])).await.expect("an answer");
            }
            orders.seen.send_modify(Vec::clear);
            proxy.send_signal("-STOP").await;
            let text = raw_request("once", &id, 60_000) + &requests(kilobytes * 1024);
            write_much(&mut gone, &text).await;
            leave(gone, false);
            sleep(STOP_TIME).await;
            proxy.send_signal("-CONT").await;
            sleep(DISPATCH_TIME).await;
            assert_eq!(ids_seen(&orders), Vec::<String>::new(), "{id}");
        }
    }
}

/// Padding of a request, in bytes.
const PADDING: usize = 3000;
/// Pipelined requests that no buffer for input holds; with their padding, 3.7 MB.
const PIPELINED: usize = 1200;

/// Returns the statuses of a pipeline's responses, which have short bodies or none.
fn statuses(responses: &[u8]) -> Vec<String> {
    let text = String::from_utf8_lossy(responses);
    let statuses = text.split("HTTP/1.1 ").skip(1);
    statuses.map(|response| response[..3].to_string()).collect()
}

/// A client that is there, but sends more than is read ahead, is answered all the same: what is not
/// sent on is rejected.
#[tokio::test]
async fn a_client_whose_end_could_not_be_seen_is_rejected() {
    let orders = Arc::new(Orders::default());
    let backend = Backend::start("a", &orders).await;
    let discovery = Discovery::start(vec![backend.line("SERVING")]).await;
    let proxy = Proxy::settled(&discovery, settings()).await;
    discovery.tell(vec![]).await;
    let stream = client(proxy.addr).await;
    let (mut reader, mut writer) = stream.into_split();
    let padding = format!("X-Padding: {}\r\n\r\n", "p".repeat(PADDING));
    let text: String = (0..PIPELINED)
        .map(|id| {
            raw_request("look", &id.to_string(), 60_000).replacen("\r\n\r\n", "\r\n", 1) + &padding
        })
        .collect();
    let writing = tokio::spawn(async move {
        writer.write_all(text.as_bytes()).await.expect("open");
        writer
    });
    sleep(DISPATCH_TIME).await;
    discovery.tell(vec![backend.line("SERVING")]).await;
    let mut responses = Vec::new();
    while statuses(&responses).len() < PIPELINED {
        let read = soon(reader.read_buf(&mut responses)).await;
        assert_ne!(read.expect("open"), 0);
    }
    let statuses = statuses(&responses);
    assert_eq!(statuses[0], "503", "its client could have left");
    assert_eq!(statuses[PIPELINED - 1], "200", "nothing lies behind it");
    let served: Vec<String> = (0..PIPELINED)
        .filter(|id| statuses[*id] == "200")
        .map(|id| id.to_string())
        .collect();
    assert_eq!(ids_seen(&orders), served);
    drop(soon(writing).await);
}

/// How the first request under an id ends while its attempt is out.
#[derive(Clone, Copy, Debug)]
enum FirstEnd {
    ClientLeaves,
    TimesOut,
}

async fn status(addr: SocketAddr, text: &str) -> String {
    let mut stream = client(addr).await;
    stream.write_all(text.as_bytes()).await.expect("open");
    let mut head = [0; 12];
    soon(stream.read_exact(&mut head)).await.expect("an answer");
    String::from_utf8_lossy(&head[9..]).into_owned()
}

/// Guards against a second execution under the id of a request that ended unanswered, or answered
/// as failed, after a backend may have executed it.
#[tokio::test]
async fn an_id_that_may_have_run_is_not_taken_again() {
    let orders = Arc::new(Orders::default());
    let backend = Backend::start("a", &orders).await;
    let discovery = Discovery::start(vec![backend.line("SERVING")]).await;
    let mut settings = settings();
    settings["caps"]["mayDuplicate"] = false.into();
    let proxy = Proxy::settled(&discovery, settings).await;
    for class in ["look", "keep", "once"] {
        for end in [FirstEnd::ClientLeaves, FirstEnd::TimesOut] {
            let id = format!("{class}-{end:?}");
            let before = orders.seen.borrow().len();
            let release = Arc::new(Notify::new());
            orders.give([Do::Hold(release.clone())]);
            let mut first = client(proxy.addr).await;
            let text = raw_request(class, &id, 400);
            first.write_all(text.as_bytes()).await.expect("open");
            orders.came(before + 1).await;
            match end {
                FirstEnd::ClientLeaves => leave(first, false),
                FirstEnd::TimesOut => {
                    let mut head = [0; 12];
                    soon(first.read_exact(&mut head)).await.expect("an answer");
                    let is_rejected = &head[9..] == b"503";
                    assert_eq!(is_rejected, class != "once", "{id}");
                    if is_rejected {
                        // The client was told that trying again is harmless.
                        release.notify_one();
                        let again = raw_request(class, &id, 2000);
                        assert_eq!(status(proxy.addr, &again).await, "200", "{id}");
                        continue;
                    }
                }
            }
            for _ in 0..2 {
                sleep(LEAVE_GRACE).await;
                let again = status(proxy.addr, &raw_request(class, &id, 2000)).await;
                assert_eq!(again, "409", "{id}");
                // The backend's late answer changes nothing: the request has run.
                release.notify_one();
            }
            assert_eq!(orders.seen.borrow().len(), before + 1, "{id}");
        }
    }
}

/// Guards against a second execution under the id of a request whose response was not read: it was
/// on its way when the client closed.
#[tokio::test]
async fn an_id_whose_response_was_not_read_is_not_taken_again() {
    let orders = Arc::new(Orders::default());
    let backend = Backend::start("a", &orders).await;
    let discovery = Discovery::start(vec![backend.line("SERVING")]).await;
    let proxy = Proxy::settled(&discovery, settings()).await;
    for behind in ["", "GET /nothing HTTP/1.1\r\nHost: o\r\n\r\n"] {
        let id = format!("unread-{}", behind.len());
        let text = raw_request("once", &id, 60_000);
        let mut gone = client(proxy.addr).await;
        let at_once = text.clone() + behind;
        gone.write_all(at_once.as_bytes()).await.expect("open");
        // The response lies there; a close over it resets the connection.
        soon(gone.readable()).await.expect("open");
        sleep(LEAVE_GRACE).await;
        leave(gone, false);
        sleep(LEAVE_GRACE).await;
        assert_eq!(status(proxy.addr, &text).await, "409", "{id}");
        assert_eq!(ids_seen(&orders), [id]);
        orders.seen.send_modify(Vec::clear);
    }
}

/// An id under which nothing can have run is free once its client has left.
#[tokio::test]
async fn an_id_that_never_ran_is_taken_again() {
    let orders = Arc::new(Orders::default());
    let backend = Backend::start("a", &orders).await;
    let discovery = Discovery::start(vec![backend.line("SERVING")]).await;
    let proxy = Proxy::settled(&discovery, settings()).await;
    discovery.tell(vec![]).await;
    let text = raw_request("once", "held", 60_000);
    let mut gone = client(proxy.addr).await;
    gone.write_all(text.as_bytes()).await.expect("open");
    sleep(LEAVE_GRACE).await;
    leave(gone, false);
    sleep(LEAVE_GRACE).await;
    discovery.tell(vec![backend.line("SERVING")]).await;
    assert_eq!(status(proxy.addr, &text).await, "200");
    let seen: Value = ids_seen(&orders).into();
    assert_eq!(seen, serde_json::json!(["held"]));
}

/// Guards against calls that begin after a reset, which lies behind the unread input of its
/// connection.
#[tokio::test]
async fn no_call_begins_for_a_client_that_reset_during_a_stop() {
    let (script, _nodes, list) = nodes(&["a", "b"]).await;
    let mut s = scene(&Plan {
        nodes: &list,
        ..Plan::default()
    })
    .await;
    for calls in [1, 20, 300] {
        let before = script.seen.borrow().len();
        let mut gone = s.raw().await;
        gone.call(&call("claims.look", "warm-up", "1")).await;
        s.proxy.send_signal("-STOP").await;
        for number in 0..calls {
            gone.send(&call("claims.once", "left", &number.to_string()))
                .await;
        }
        gone.leave();
        sleep(STOP_TIME).await;
        s.proxy.send_signal("-CONT").await;
        sleep(DISPATCH_TIME).await;
        let seen = script.seen.borrow().len() - before;
        assert_eq!(seen, 1, "{calls} calls: what was sent before the stop");
    }
}
