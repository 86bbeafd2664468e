//! One call to a proxy, as a client makes it: over a kept connection if there is a sound one, its
//! end classified. Shared by the load driver, for clients from outside, and by stand-in backends,
//! which call the next tier.

use crate::clock::{Clock, Micros, micros_from_seconds};
use crate::event_log::AttemptEnd;
use crate::http::{Buffer, ReadError};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

/// A connect that takes longer has failed.
const CONNECT: Duration = Duration::from_millis(1000);
/// Kept connections, over all proxies.
const MAX_KEPT: usize = 512;
/// So long past its time an answer is still awaited, to tell a late one from none.
const PAST: Duration = Duration::from_millis(150);

/// What is asked.
pub struct ClientRequest {
    /// `Req-Id`.
    pub id: u64,
    /// The path, its first part the class.
    pub path: String,
    /// `Req-Owner`.
    pub tenant: Option<String>,
    /// `Idempotency-Key`.
    pub key: Option<u64>,
    /// Whether it is safe, and so a GET.
    pub safe: bool,
    /// How long it is waited for.
    pub time_limit: Micros,
    /// It is marked as a client's retry.
    pub retry: bool,
    /// It hangs up after so long.
    pub cancel_after: Option<Micros>,
    /// So long is taken for reading.
    pub read_delay: Micros,
    /// `Req-Budget` and `Req-Path`, copied from the request that it is made for.
    pub budget_headers: [Option<String>; 2],
}

/// How a call went.
pub struct CallResult {
    /// When its last byte was written.
    pub sent_at: Option<Micros>,
    /// When the proxy's close was found to have crossed it, so that it was sent once more.
    pub resent_at: Option<Micros>,
    /// How it ended.
    pub end: AttemptEnd,
    /// When.
    pub ended_at: Micros,
    /// `Req-Spent`, as it came.
    pub budget_spent: Option<String>,
}

struct Kept {
    stream: TcpStream,
    /// The request that was answered on it last, to blame for what comes behind.
    last: u64,
}

/// Connections kept between calls.
#[derive(Default)]
pub struct Client {
    idle: RefCell<HashMap<SocketAddr, Vec<Kept>>>,
    /// Requests behind whose answer something came.
    extra: RefCell<Vec<u64>>,
}

/// Whether a resting connection is sound: nothing lies there and it is open.
fn resting(stream: &TcpStream) -> Result<(), bool> {
    match stream.try_read(&mut [0; 1]) {
        Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => Ok(()),
        Ok(0) | Err(_) => Err(false),
        Ok(_) => Err(true),
    }
}

impl Client {
    /// The requests behind whose answer something came on their connections; those still kept are
    /// looked at now.
    pub fn take_unexpected(&self) -> Vec<u64> {
        for kept in self.idle.borrow_mut().drain().flat_map(|(_, k)| k) {
            if resting(&kept.stream) == Err(true) {
                self.extra.borrow_mut().push(kept.last);
            }
        }
        self.extra.take()
    }

    fn reuse(&self, to: SocketAddr) -> Option<TcpStream> {
        let mut kept = self.idle.borrow_mut();
        let streams = kept.get_mut(&to)?;
        while let Some(Kept { stream, last }) = streams.pop() {
            match resting(&stream) {
                Ok(()) => return Some(stream),
                Err(true) => self.extra.borrow_mut().push(last),
                Err(false) => {}
            }
        }
        None
    }

    fn keep(&self, to: SocketAddr, stream: TcpStream, last: u64) {
        let mut kept = self.idle.borrow_mut();
        if kept.values().map(Vec::len).sum::<usize>() < MAX_KEPT {
            kept.entry(to).or_default().push(Kept { stream, last });
        }
    }

    /// Makes one call.
    pub async fn call(
        self: &Rc<Self>,
        clock: Clock,
        to: SocketAddr,
        ask: &ClientRequest,
    ) -> CallResult {
        let (sent, crossed, spent) = (Cell::new(None), Cell::new(None), Cell::new(None));
        let patience = Duration::from_micros(ask.time_limit);
        let limit = patience + Duration::from_micros(ask.read_delay) + PAST + CONNECT;
        let call = async {
            let hang_up = async {
                match ask.cancel_after {
                    Some(after) => sleep(Duration::from_micros(after)).await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                biased;
                end = self.exchange(clock, to, ask, &sent, &crossed, &spent) => end,
                () = hang_up => if sent.get().is_some() { AttemptEnd::Cancelled } else { AttemptEnd::Unsent },
            }
        };
        let end = timeout(limit, call).await;
        let (sent, crossed) = (sent.get(), crossed.get());
        let end = end.unwrap_or(if sent.is_some() {
            AttemptEnd::NoResponse
        } else {
            AttemptEnd::Unsent
        });
        CallResult {
            sent_at: sent,
            resent_at: crossed,
            end,
            ended_at: clock.now(),
            budget_spent: spent.take(),
        }
    }

    async fn exchange(
        &self,
        clock: Clock,
        to: SocketAddr,
        ask: &ClientRequest,
        sent: &Cell<Option<Micros>>,
        crossed: &Cell<Option<Micros>>,
        spent: &Cell<Option<String>>,
    ) -> AttemptEnd {
        let mut reused = self.reuse(to);
        loop {
            let kept = reused.is_some();
            let mut stream = match reused.take() {
                Some(stream) => stream,
                None => match timeout(CONNECT, TcpStream::connect(to)).await {
                    Ok(Ok(stream)) => stream,
                    Ok(Err(_)) | Err(_) => return AttemptEnd::Unsent,
                },
            };
            if stream.set_nodelay(true).is_err()
                || stream.write_all(ask.head().as_bytes()).await.is_err()
            {
                if kept {
                    continue;
                }
                return AttemptEnd::Unsent;
            }
            sent.set(Some(clock.now()));
            if ask.read_delay > 0 {
                sleep(Duration::from_micros(ask.read_delay)).await;
            }
            let mut buffer = Buffer::default();
            let patience = Duration::from_micros(ask.time_limit + ask.read_delay) + PAST;
            let response = match timeout(patience, buffer.response(&mut stream)).await {
                Err(_) => return AttemptEnd::NoResponse,
                Ok(Err(ReadError::Malformed)) => return AttemptEnd::Malformed,
                // The proxy's close has crossed the request: it is sent once more on a new
                // connection.
                Ok(Err(ReadError::Closed(false))) if kept => {
                    sent.set(None);
                    crossed.set(Some(clock.now()));
                    continue;
                }
                Ok(Err(ReadError::Closed(begun))) => return AttemptEnd::Truncated(begun),
                Ok(Ok(response)) => response,
            };
            spent.set(response.budget_spent);
            let end = match response.status {
                200 => parse_response_body(ask.id, &response.body),
                429 | 503 => AttemptEnd::Refused {
                    after: response.retry_after.map(micros_from_seconds),
                },
                status => AttemptEnd::Failed(status),
            };
            if !buffer.is_empty() {
                self.extra.borrow_mut().push(ask.id);
            } else if !response.close {
                self.keep(to, stream, ask.id);
            }
            return end;
        }
    }
}

/// The body that a backend makes for a request: its id and the mark of the work done.
pub fn response_body(id: u64, mark: u64) -> String {
    format!("{id:016x} {mark:016x}")
}

/// Reads such a body.
pub fn parse_response_body(id: u64, body: &[u8]) -> AttemptEnd {
    let text = String::from_utf8_lossy(body);
    let mark = text
        .split_once(' ')
        .filter(|(of, _)| u64::from_str_radix(of, 16) == Ok(id));
    match mark.and_then(|(_, mark)| u64::from_str_radix(mark, 16).ok()) {
        Some(mark) => AttemptEnd::Served(mark),
        None => AttemptEnd::UnknownBody(text.chars().take(80).collect()),
    }
}

impl ClientRequest {
    /// The request as it goes out; it has no body.
    fn head(&self) -> String {
        let method = if self.safe { "GET" } else { "POST" };
        let mut head = format!(
            "{method} {} HTTP/1.1\r\nHost: origin.svc\r\nReq-Id: {:016x}\r\nReq-Deadline-Ms: {}\r\n",
            self.path,
            self.id,
            self.time_limit / 1000
        );
        if let Some(tenant) = &self.tenant {
            head += &format!("Req-Owner: {tenant}\r\n");
        }
        if let Some(key) = self.key {
            head += &format!("Idempotency-Key: {key:016x}\r\n");
        }
        if self.retry {
            head += "Req-Retry: 1\r\n";
        }
        for (name, value) in ["Req-Budget", "Req-Path"].iter().zip(&self.budget_headers) {
            head += &value
                .as_ref()
                .map_or(String::new(), |v| format!("{name}: {v}\r\n"));
        }
        if !self.safe {
            head += "Content-Length: 0\r\n";
        }
        head + "\r\n"
    }
}
