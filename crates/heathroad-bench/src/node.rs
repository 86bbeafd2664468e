//! A backend that answers at once, over HTTP or JSON-RPC, and the registry that lists such
//! backends. They read no more of what comes than they must, so that the machine's time is the
//! proxy's.

use crate::case::Case;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;

/// Backends; they end when this is dropped.
pub struct Nodes {
    /// Where they listen.
    pub at: Vec<SocketAddr>,
    /// Where the registry does.
    pub registry: SocketAddr,
    _tasks: JoinSet<()>,
}

/// How many there are.
const NODES: usize = 8;

/// Starts backends for a case.
pub async fn start(case: &'static Case) -> std::io::Result<Nodes> {
    let (mut tasks, mut at) = (JoinSet::new(), Vec::new());
    let known = Arc::new(Mutex::new(HashSet::new()));
    for _ in 0..NODES {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        at.push(listener.local_addr()?);
        let known = known.clone();
        tasks.spawn(accept(listener, move |stream| {
            serve(stream, case, known.clone())
        }));
    }
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let registry = listener.local_addr()?;
    let hosts: Vec<_> = at.iter().enumerate().map(|(n, at)| host(n, *at)).collect();
    let list = serde_json::json!({"seq": 1, "whole": true, "hosts": hosts}).to_string();
    tasks.spawn(accept(listener, move |stream| {
        list_to(stream, list.clone())
    }));
    Ok(Nodes {
        at,
        registry,
        _tasks: tasks,
    })
}

fn host(n: usize, at: SocketAddr) -> serde_json::Value {
    serde_json::json!({"host": format!("node-{n}"), "dial": at.to_string(), "site": "a", "class": "m", "block": 1,
        "health": "SERVING", "share": 1.0, "born_ms": 0})
}

async fn accept<F: Future<Output = ()> + Send + 'static>(
    listener: TcpListener,
    serve: impl Fn(TcpStream) -> F + Send + 'static,
) {
    let mut open = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => if let Ok((stream, _)) = accepted {
                open.spawn(serve(stream));
            },
            Some(_) = open.join_next() => {}
        }
    }
}

/// The list once; a watch is never told anything.
async fn list_to(mut stream: TcpStream, list: String) {
    let mut seen = Vec::new();
    while stream.read_buf(&mut seen).await.is_ok_and(|n| n > 0) {
        if seen.ends_with(b"\r\n\r\n") {
            if String::from_utf8_lossy(&seen).contains("after=") {
                std::future::pending::<()>().await;
            }
            seen.clear();
            let answer = format!(
                "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}",
                list.len()
            );
            if stream.write_all(answer.as_bytes()).await.is_err() {
                return;
            }
        }
    }
}

/// Where a head ends, its end included.
pub fn head_end(bytes: &[u8]) -> Option<usize> {
    bytes
        .windows(4)
        .position(|w| w == b"\r\n\r\n")
        .map(|at| at + 4)
}

/// A header's value, by its name in small letters.
pub fn header<'a>(head: &'a [u8], name: &str) -> Option<&'a str> {
    let lines = head
        .split(|b| *b == b'\n')
        .filter_map(|l| std::str::from_utf8(l).ok());
    let mut pairs = lines.filter_map(|l| l.split_once(':'));
    pairs
        .find(|(n, _)| n.eq_ignore_ascii_case(name))
        .map(|(_, v)| v.trim())
}

async fn serve(mut stream: TcpStream, case: &'static Case, known: Arc<Mutex<HashSet<String>>>) {
    let _ = stream.set_nodelay(true);
    let answer = format!(
        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{}",
        case.answers,
        "x".repeat(case.answers)
    );
    let declined =
        "HTTP/1.1 503 Service Unavailable\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n";
    let mut seen = Vec::with_capacity(16 * 1024);
    while stream.read_buf(&mut seen).await.is_ok_and(|n| n > 0) {
        if seen.starts_with(b"{") {
            let Some(end) = seen.iter().position(|b| *b == b'\n') else {
                continue;
            };
            let text = String::from_utf8_lossy(&seen[..end]).into_owned();
            seen.drain(..=end);
            let id = text
                .rsplit_once("\"id\":")
                .map_or("null", |(_, id)| id.trim_end_matches('}'));
            let answer = format!("{{\"jsonrpc\":\"2.0\",\"result\":\"served\",\"id\":{id}}}\n");
            if stream.write_all(answer.as_bytes()).await.is_err() {
                return;
            }
            continue;
        }
        let Some(end) = head_end(&seen) else { continue };
        let length = header(&seen[..end], "content-length")
            .and_then(|l| l.parse().ok())
            .unwrap_or(0);
        if seen.len() < end + length {
            continue;
        }
        let declines = case.declines && {
            let id = header(&seen[..end], "req-id")
                .unwrap_or_default()
                .to_string();
            // Forgotten once it came again, so that the set stays small.
            let mut known = known
                .lock()
                .unwrap_or_else(std::sync::PoisonError::into_inner);
            !known.remove(&id) && known.insert(id)
        };
        seen.drain(..end + length);
        if stream
            .write_all(if declines { declined } else { &answer }.as_bytes())
            .await
            .is_err()
        {
            return;
        }
    }
}
