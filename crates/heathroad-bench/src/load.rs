//! Callers in a closed loop: each asks again when it is answered.

use crate::case::{Case, Way};
use crate::node::{head_end, header};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::timeout;

/// No answer takes longer.
const LONG: Duration = Duration::from_secs(30);

/// What callers saw.
#[derive(Debug, Default, Clone)]
pub struct Seen {
    /// Answered as wanted.
    pub served: u64,
    /// Answered otherwise.
    pub others: u64,
    /// Latencies of those served, in microseconds, sorted.
    pub latencies: Vec<u32>,
}

impl Seen {
    /// A percentile, in microseconds.
    pub fn percentile(&self, share: f64) -> u32 {
        let last = self.latencies.len().saturating_sub(1) as f64;
        self.latencies
            .get((last * share).round() as usize)
            .copied()
            .unwrap_or(0)
    }
}

/// Callers that keep their connections from run to run.
pub struct Callers {
    case: &'static Case,
    to: SocketAddr,
    streams: Vec<Option<TcpStream>>,
    next: Arc<AtomicU64>,
}

impl Callers {
    /// So many, who call there.
    pub fn new(case: &'static Case, to: SocketAddr, many: usize) -> Callers {
        let streams = (0..many).map(|_| None).collect();
        Callers {
            case,
            to,
            streams,
            next: Arc::new(AtomicU64::new(1)),
        }
    }

    /// So many requests, by all of them together.
    pub async fn run(&mut self, requests: u64) -> Result<Seen, String> {
        let until = self.next.load(Relaxed) + requests;
        let mut callers = JoinSet::new();
        for stream in self.streams.drain(..) {
            let (case, to, next) = (self.case, self.to, self.next.clone());
            callers.spawn(async move { call(case, to, stream, &next, until).await });
        }
        let mut seen = Seen::default();
        while let Some(done) = callers.join_next().await {
            let (stream, part) = done.map_err(|e| e.to_string())??;
            self.streams.push(stream);
            seen.served += part.served;
            seen.others += part.others;
            seen.latencies.extend(part.latencies);
        }
        // Each caller has taken one number too many.
        self.next.store(until, Relaxed);
        seen.latencies.sort_unstable();
        Ok(seen)
    }
}

type Called = Result<(Option<TcpStream>, Seen), String>;

async fn call(
    case: &'static Case,
    to: SocketAddr,
    mut kept: Option<TcpStream>,
    next: &AtomicU64,
    until: u64,
) -> Called {
    let (mut seen, mut request, mut answer) =
        (Seen::default(), Vec::new(), Vec::with_capacity(128 * 1024));
    loop {
        let number = next.fetch_add(1, Relaxed);
        if number >= until {
            return Ok((kept, seen));
        }
        case.request(number, LONG.as_millis() as u64, &mut request);
        let begun = Instant::now();
        let mut stream = match kept.take() {
            Some(stream) => stream,
            None => {
                let stream = timeout(LONG, TcpStream::connect(to))
                    .await
                    .map_err(|_| "no connection in time")?;
                let stream = stream.map_err(|e| format!("connect: {e}"))?;
                stream.set_nodelay(true).map_err(|e| e.to_string())?;
                stream
            }
        };
        stream
            .write_all(&request)
            .await
            .map_err(|e| format!("write: {e}"))?;
        if case.way == Way::HangUp {
            seen.served += 1;
            continue;
        }
        let read = timeout(LONG, read(&mut stream, case.way, &mut answer)).await;
        if read.map_err(|_| "no answer in time")?? == 200 {
            seen.served += 1;
            seen.latencies.push(begun.elapsed().as_micros() as u32);
        } else {
            seen.others += 1;
        }
        if case.way != Way::Fresh {
            kept = Some(stream);
        }
    }
}

/// Reads one answer and tells its status; over JSON-RPC 200 for a result, else 500.
pub async fn read(stream: &mut TcpStream, way: Way, answer: &mut Vec<u8>) -> Result<u16, String> {
    answer.clear();
    loop {
        let n = stream
            .read_buf(answer)
            .await
            .map_err(|e| format!("read: {e}"))?;
        if n == 0 {
            return Err("the connection was closed without an answer".into());
        }
        if way == Way::Rpc {
            if answer.ends_with(b"\n") {
                return Ok(if answer.windows(9).any(|w| w == b"\"result\":") {
                    200
                } else {
                    500
                });
            }
            continue;
        }
        let Some(end) = head_end(answer) else {
            continue;
        };
        let length = header(&answer[..end], "content-length")
            .and_then(|l| l.parse().ok())
            .unwrap_or(0);
        if answer.len() >= end + length {
            let status = answer
                .get(9..12)
                .and_then(|s| std::str::from_utf8(s).ok()?.parse().ok());
            return status.ok_or_else(|| "an answer without a status".to_string());
        }
    }
}
