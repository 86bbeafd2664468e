//! An HTTP client that sends a request to a proxy, over an idle connection if there is one, and
//! classifies the result. The load generator uses it for external clients, and emulated backends to
//! call the next tier.

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

/// Time limit for connecting.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1000);
/// Maximum number of idle connections, over all proxies.
const MAX_IDLE: usize = 512;
/// Extra wait beyond the time limit, which distinguishes late responses from missing ones.
const LATE_RESPONSE_WAIT: Duration = Duration::from_millis(150);

/// A request to send.
pub struct ClientRequest {
    /// `Req-Id`.
    pub id: u64,
    /// The path; its first segment is the class.
    pub path: String,
    /// `Req-Owner`.
    pub tenant: Option<String>,
    /// `Idempotency-Key`.
    pub key: Option<u64>,
    /// Whether the request is safe and is sent as GET; otherwise as POST.
    pub safe: bool,
    /// How long the client waits for the response; sent as `Req-Deadline-Ms`.
    pub time_limit: Micros,
    /// Whether it carries `Req-Retry`.
    pub retry: bool,
    /// Delay after which the client disconnects.
    pub cancel_after: Option<Micros>,
    /// Delay before the response is read.
    pub read_delay: Micros,
    /// `Req-Budget` and `Req-Path` of the request that caused this one.
    pub budget_headers: [Option<String>; 2],
}

/// Result of a call.
pub struct CallResult {
    /// When the last_request byte of the request was written.
    pub sent_at: Option<Micros>,
    /// When the request was sent again because the proxy had closed an idle connection.
    pub resent_at: Option<Micros>,
    /// How the call ended.
    pub end: AttemptEnd,
    /// When the call ended.
    pub ended_at: Micros,
    /// `Req-Spent` of the response.
    pub budget_spent: Option<String>,
}

struct IdleConnection {
    stream: TcpStream,
    /// The last request answered on it, which unexpected data is attributed to.
    last_request: u64,
}

/// A client with its pool of idle connections.
#[derive(Default)]
pub struct Client {
    idle: RefCell<HashMap<SocketAddr, Vec<IdleConnection>>>,
    /// Requests whose response was followed by unexpected data.
    extra: RefCell<Vec<u64>>,
}

/// Checks that an idle connection is open and has no unread data; `Err(true)` if it has.
fn check_idle(stream: &TcpStream) -> Result<(), bool> {
    match stream.try_read(&mut [0; 1]) {
        Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => Ok(()),
        Ok(0) | Err(_) => Err(false),
        Ok(_) => Err(true),
    }
}

impl Client {
    /// Returns the requests whose response was followed by unexpected data, and closes all idle
    /// connections after checking them.
    pub fn take_unexpected(&self) -> Vec<u64> {
        for kept in self.idle.borrow_mut().drain().flat_map(|(_, k)| k) {
            if check_idle(&kept.stream) == Err(true) {
                self.extra.borrow_mut().push(kept.last_request);
            }
        }
        self.extra.take()
    }

    fn reuse(&self, to: SocketAddr) -> Option<TcpStream> {
        let mut kept = self.idle.borrow_mut();
        let streams = kept.get_mut(&to)?;
        while let Some(IdleConnection {
            stream,
            last_request,
        }) = streams.pop()
        {
            match check_idle(&stream) {
                Ok(()) => return Some(stream),
                Err(true) => self.extra.borrow_mut().push(last_request),
                Err(false) => {}
            }
        }
        None
    }

    fn keep(&self, to: SocketAddr, stream: TcpStream, last_request: u64) {
        let mut kept = self.idle.borrow_mut();
        if kept.values().map(Vec::len).sum::<usize>() < MAX_IDLE {
            kept.entry(to).or_default().push(IdleConnection {
                stream,
                last_request,
            });
        }
    }

    /// Sends a request and returns its result.
    pub async fn call(
        self: &Rc<Self>,
        clock: Clock,
        to: SocketAddr,
        request: &ClientRequest,
    ) -> CallResult {
        let (sent, crossed, spent) = (Cell::new(None), Cell::new(None), Cell::new(None));
        let patience = Duration::from_micros(request.time_limit);
        let limit = patience
            + Duration::from_micros(request.read_delay)
            + LATE_RESPONSE_WAIT
            + CONNECT_TIMEOUT;
        let call = async {
            let hang_up = async {
                match request.cancel_after {
                    Some(after) => sleep(Duration::from_micros(after)).await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                biased;
                end = self.exchange(clock, to, request, &sent, &crossed, &spent) => end,
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
        request: &ClientRequest,
        sent: &Cell<Option<Micros>>,
        crossed: &Cell<Option<Micros>>,
        spent: &Cell<Option<String>>,
    ) -> AttemptEnd {
        let mut reused = self.reuse(to);
        loop {
            let kept = reused.is_some();
            let mut stream = match reused.take() {
                Some(stream) => stream,
                None => match timeout(CONNECT_TIMEOUT, TcpStream::connect(to)).await {
                    Ok(Ok(stream)) => stream,
                    Ok(Err(_)) | Err(_) => return AttemptEnd::Unsent,
                },
            };
            if stream.set_nodelay(true).is_err()
                || stream.write_all(request.head().as_bytes()).await.is_err()
            {
                if kept {
                    continue;
                }
                return AttemptEnd::Unsent;
            }
            sent.set(Some(clock.now()));
            if request.read_delay > 0 {
                sleep(Duration::from_micros(request.read_delay)).await;
            }
            let mut buffer = Buffer::default();
            let patience =
                Duration::from_micros(request.time_limit + request.read_delay) + LATE_RESPONSE_WAIT;
            let response = match timeout(patience, buffer.response(&mut stream)).await {
                Err(_) => return AttemptEnd::NoResponse,
                Ok(Err(ReadError::Malformed)) => return AttemptEnd::Malformed,
                // The proxy closed the idle connection before it read the request.
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
                200 => parse_response_body(request.id, &response.body),
                429 | 503 => AttemptEnd::Refused {
                    after: response.retry_after.map(micros_from_seconds),
                },
                status => AttemptEnd::Failed(status),
            };
            if !buffer.is_empty() {
                self.extra.borrow_mut().push(request.id);
            } else if !response.close {
                self.keep(to, stream, request.id);
            }
            return end;
        }
    }
}

/// Encodes a backend's response body: the request id and the marker of the execution.
pub fn response_body(id: u64, marker: u64) -> String {
    format!("{id:016x} {marker:016x}")
}

/// Decodes a body made by [`response_body`].
pub fn parse_response_body(id: u64, body: &[u8]) -> AttemptEnd {
    let text = String::from_utf8_lossy(body);
    let marker = text
        .split_once(' ')
        .filter(|(of, _)| u64::from_str_radix(of, 16) == Ok(id));
    match marker.and_then(|(_, marker)| u64::from_str_radix(marker, 16).ok()) {
        Some(marker) => AttemptEnd::Served(marker),
        None => AttemptEnd::UnknownBody(text.chars().take(80).collect()),
    }
}

impl ClientRequest {
    /// Encodes the request, which has no body.
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
