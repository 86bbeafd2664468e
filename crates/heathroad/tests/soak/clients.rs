//! The clients of a soak, and what each found wrong.

use super::oracle::{Ledger, Protocol};
use super::soon_after;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

/// A request without its answer so long after its deadline is lost.
const LOST_AFTER: Duration = Duration::from_millis(500);
/// Bad clients are owed an error or a close within this time.
const BAD_CLIENT_TIME: Duration = Duration::from_secs(3);
/// Send buffer of clients that leave, in bytes.
const SEND_BUFFER: usize = 8 << 20;
/// The classes of the rig.
const CLASSES: [&str; 3] = ["look", "keep", "once"];

/// Where a round's clients connect, and for how long they go on.
#[derive(Clone)]
pub struct Target {
    pub http: SocketAddr,
    pub jsonrpc: SocketAddr,
    pub deadline: Duration,
    /// When clients that come and go end; the others go on until the proxy does.
    pub until: Instant,
    pub ledger: Arc<Ledger>,
}

pub fn http_request(class: &str, id: &str, deadline: Duration) -> String {
    let method = if class == "look" { "GET" } else { "POST" };
    let key = if class == "keep" {
        format!("Idempotency-Key: {id}\r\n")
    } else {
        String::new()
    };
    format!(
        "{method} /{class}?k={id} HTTP/1.1\r\nHost: o\r\nReq-Owner: acme\r\nReq-Id: {id}\r\n\
         Req-Deadline-Ms: {}\r\n{key}\r\n",
        deadline.as_millis()
    )
}

fn call(class: &str, id: &str) -> String {
    format!(
        "{{\"jsonrpc\":\"2.0\",\"method\":\"claims.{class}\",\"params\":{{\"claim\":{{\"id\":\"{id}\"}}}},\"id\":1}}\n"
    )
}

type Reader = BufReader<tokio::net::tcp::OwnedReadHalf>;

/// Reads an answer; returns its status and body, and whether the connection goes on.
async fn read_http(reader: &mut Reader) -> Option<(String, String, bool)> {
    let (mut status, mut length, mut goes_on) = (String::new(), 0, true);
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).await.ok()? == 0 {
            return None;
        }
        let line = line.trim_end().to_ascii_lowercase();
        if let Some(rest) = line.strip_prefix("http/1.1 ") {
            status = rest[..3].to_string();
        } else if let Some(value) = line.strip_prefix("content-length: ") {
            length = value.parse().ok()?;
        } else if line == "connection: close" {
            goes_on = false;
        } else if line.is_empty() {
            break;
        }
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).await.ok()?;
    Some((status, String::from_utf8(body).ok()?, goes_on))
}

/// Reads a call's answer.
async fn read_jsonrpc(reader: &mut Reader) -> Option<(String, String, bool)> {
    let mut line = String::new();
    if reader.read_line(&mut line).await.ok()? == 0 {
        return None;
    }
    let answer: serde_json::Value = serde_json::from_str(&line).ok()?;
    let result = answer["result"].as_str().unwrap_or_default().to_string();
    let status = if answer.get("result").is_some() {
        "200"
    } else {
        "503"
    };
    Some((status.to_string(), result, true))
}

/// A client that sends one request after another, and uses its connection for as long as it is open.
pub async fn usual(target: Target, protocol: Protocol, name: String, mut random: fastrand::Rng) {
    let address = match protocol {
        Protocol::Http => target.http,
        Protocol::JsonRpc => target.jsonrpc,
    };
    let mut number = 0;
    while let Ok(Ok(stream)) = timeout(Duration::from_secs(1), TcpStream::connect(address)).await {
        let _ = stream.set_nodelay(true);
        let (reader, mut writer) = stream.into_split();
        let mut reader = BufReader::new(reader);
        loop {
            number += 1;
            let id = format!("{name}-{number}");
            let class = CLASSES[random.usize(0..CLASSES.len())];
            let text = match protocol {
                Protocol::Http => http_request(class, &id, target.deadline),
                Protocol::JsonRpc => call(class, &id),
            };
            let sent_at = Instant::now();
            if writer.write_all(text.as_bytes()).await.is_err() {
                target.ledger.closed_unanswered(&id);
                break;
            }
            let answer = async {
                match protocol {
                    Protocol::Http => read_http(&mut reader).await,
                    Protocol::JsonRpc => read_jsonrpc(&mut reader).await,
                }
            };
            let Ok(answer) = timeout(target.deadline + LOST_AFTER, answer).await else {
                target.ledger.overdue(&id, sent_at.elapsed());
                break;
            };
            let Some((status, body, goes_on)) = answer else {
                // Closed over a request that was not read, which is no loss, or over one that was.
                target.ledger.closed_unanswered(&id);
                break;
            };
            target.ledger.answered(&id, &status, &body);
            if !goes_on {
                break;
            }
            sleep(Duration::from_millis(random.u64(0..40))).await;
        }
        if target.ledger.has_stopped() {
            // New connections are accepted for a moment only, and not owed.
            return;
        }
    }
}

/// Returns requests behind another one, of about this many bytes.
fn requests_behind(name: &str, bytes: usize, deadline: Duration) -> String {
    let mut text = String::new();
    while text.len() < bytes {
        text += &http_request("once", &format!("{name}-behind{}", text.len()), deadline);
    }
    text
}

/// A client that leaves before its answer, with more behind its request, and sometimes comes again
/// under the same id.
pub async fn leaver(target: Target, name: String, mut random: fastrand::Rng) {
    let mut number = 0;
    while Instant::now() < target.until {
        number += 1;
        let id = format!("{name}-{number}");
        let class = CLASSES[random.usize(0..CLASSES.len())];
        let Ok(stream) = TcpStream::connect(target.http).await else {
            return;
        };
        let socket = socket2::SockRef::from(&stream);
        let _ = socket.set_send_buffer_size(SEND_BUFFER);
        let request = http_request(class, &id, target.deadline);
        let kilobytes = [0, 0, 1, 30, 200, 1000][random.usize(0..6)];
        let text = request.clone() + &requests_behind(&id, kilobytes * 1024, target.deadline);
        let mut stream = stream;
        let writing = stream.write_all(text.as_bytes());
        // The rest goes with the client.
        let _ = timeout(Duration::from_millis(random.u64(1..400)), writing).await;
        sleep(Duration::from_millis(random.u64(0..100))).await;
        if stream.try_read(&mut [0; 1]).is_ok() {
            // It has an answer, or an end: nothing is owed and nothing is asked for again.
            continue;
        }
        if random.bool() {
            let _ = socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO));
        }
        drop(stream);
        target.ledger.left(&id);
        sleep(Duration::from_millis(random.u64(0..300))).await;
        if random.bool() {
            repeat(&target, &id, &request).await;
        }
    }
}

/// Sends the request of a client that has left once more.
async fn repeat(target: &Target, id: &str, request: &str) {
    let Ok(stream) = TcpStream::connect(target.http).await else {
        return;
    };
    target.ledger.came_again(id);
    let (reader, mut writer) = stream.into_split();
    let _ = writer.write_all(request.as_bytes()).await;
    let mut reader = BufReader::new(reader);
    let _ = timeout(target.deadline + LOST_AFTER, read_http(&mut reader)).await;
    target.ledger.left(id);
}

/// A JSON-RPC client that pipelines calls and resets its connection.
pub async fn jsonrpc_leaver(target: Target, name: String, mut random: fastrand::Rng) {
    let mut number = 0;
    while Instant::now() < target.until {
        number += 1;
        let Ok(mut stream) = TcpStream::connect(target.jsonrpc).await else {
            return;
        };
        let ids: Vec<String> = (0..random.usize(1..200))
            .map(|call| format!("{name}-{number}-{call}"))
            .collect();
        let text: String = ids.iter().map(|id| call("once", id)).collect();
        let _ = timeout(
            Duration::from_millis(100),
            stream.write_all(text.as_bytes()),
        )
        .await;
        sleep(Duration::from_millis(random.u64(0..200))).await;
        let _ = socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO));
        drop(stream);
        ids.iter().for_each(|id| target.ledger.left(id));
        sleep(Duration::from_millis(random.u64(0..200))).await;
    }
}

/// A client that sends what is not sound; it is owed an error or a close.
pub async fn bad(target: Target, name: String, mut random: fastrand::Rng) {
    let mut number = 0;
    while Instant::now() < target.until {
        number += 1;
        let id = format!("{name}-{number}");
        let sound = http_request("look", &id, target.deadline);
        let post = http_request("once", &id, target.deadline);
        let text = match random.u32(0..10) {
            0 => sound.replace("Host: o\r\n", ""),
            1 => sound.replace("Host: o\r\n", "Host: o\r\nHost: p\r\n"),
            2 => sound.replace("Req-Owner", "Req-Owner: acme\r\nReq-Owner"),
            3 => sound.replace("/look", "/nothing"),
            4 => sound.replace("GET", "PUT"),
            5 => post.replace("\r\n\r\n", "\r\nContent-Length: 70000\r\n\r\n") + "half",
            6 => post.replace(
                "\r\n\r\n",
                "\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            ),
            7 => sound.replace("\r\n\r\n", &format!("\r\n{}\r\n", "a:\r\n".repeat(3000))),
            8 => sound[..sound.len() / 2].to_string(),
            _ => "\u{16}\u{3}\u{1}junk\r\n\r\n".to_string(),
        };
        let Ok(mut stream) = TcpStream::connect(target.http).await else {
            return;
        };
        let _ = stream.write_all(text.as_bytes()).await;
        // An error or a close, whichever comes first.
        let mut answer = [0; 1024];
        let read = stream.read(&mut answer);
        if timeout(soon_after(BAD_CLIENT_TIME), read).await.is_err() {
            target
                .ledger
                .fault(format!("{id}: neither an error nor a close"));
        }
        sleep(Duration::from_millis(random.u64(0..50))).await;
    }
}

/// A client that connects, says nothing, and stays.
pub async fn mute(target: Target) {
    if let Ok(mut stream) = TcpStream::connect(target.http).await {
        let _ = stream.read(&mut [0; 1]).await;
    }
}
