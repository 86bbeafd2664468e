//! Requests that a client pipelines over HTTP: each is timed from its own arrival.

mod rig;

use rig::*;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;

/// How long each request may take, in milliseconds.
const DEADLINE_MS: u64 = 2000;
/// How long the client keeps requests outstanding: several deadlines.
const STREAM_TIME: Duration = Duration::from_millis(4500);
/// Requests that are outstanding at any time; together they exceed what Hyper buffers, so that
/// some are always in the proxy's read-ahead buffer.
const OUTSTANDING: usize = 40;
/// Padding of each request, in bytes.
const PADDING: usize = 1024;

fn pipelined_request(id: usize) -> String {
    let padding = "p".repeat(PADDING);
    format!(
        "GET /look HTTP/1.1\r\nHost: o\r\nReq-Owner: acme\r\nReq-Id: p{id}\r\n\
         Req-Deadline-Ms: {DEADLINE_MS}\r\nX-Padding: {padding}\r\n\r\n"
    )
}

/// Reads one response and returns its status.
async fn status(reader: &mut (impl AsyncBufReadExt + Unpin)) -> u16 {
    let (mut status, mut length, mut line) = (0, 0, String::new());
    loop {
        line.clear();
        let read = soon(reader.read_line(&mut line)).await.expect("readable");
        assert!(read > 0, "the connection ended");
        let text = line.trim_end().to_ascii_lowercase();
        if let Some(rest) = text.strip_prefix("http/1.1 ") {
            status = rest[..3].parse().expect("a status");
        } else if let Some(value) = text.strip_prefix("content-length: ") {
            length = value.parse().expect("a length");
        } else if text.is_empty() {
            break;
        }
    }
    let mut body = vec![0; length];
    soon(reader.read_exact(&mut body)).await.expect("a body");
    status
}

/// Guards against an arrival time that one request leaves to the next: while the read-ahead buffer
/// never became empty, all that went through it counted as arrived with its first byte, and was
/// answered 504 although it had just come.
#[tokio::test]
async fn requests_read_ahead_are_timed_from_their_own_arrival() {
    let orders = Arc::new(Orders::default());
    let backend = Backend::start("a", &orders).await;
    let discovery = Discovery::start(vec![backend.line("SERVING")]).await;
    let proxy = Proxy::settled(&discovery, settings()).await;
    let stream = soon(TcpStream::connect(proxy.addr)).await.expect("open");
    let (reader, mut writer) = stream.into_split();
    let mut reader = BufReader::new(reader);
    let first: String = (0..OUTSTANDING).map(pipelined_request).collect();
    soon(writer.write_all(first.as_bytes()))
        .await
        .expect("open");
    let (begun, mut answered) = (Instant::now(), 0);
    while begun.elapsed() < STREAM_TIME {
        let status = status(&mut reader).await;
        assert_eq!(
            status,
            200,
            "request {answered}, {:?} after the first",
            begun.elapsed()
        );
        let next = pipelined_request(answered + OUTSTANDING);
        soon(writer.write_all(next.as_bytes())).await.expect("open");
        answered += 1;
    }
    for _ in 0..OUTSTANDING {
        assert_eq!(status(&mut reader).await, 200);
    }
}
