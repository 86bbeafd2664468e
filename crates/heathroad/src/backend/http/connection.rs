//! HTTP/1.1 connections to backends, with one request at a time.

use crate::backend::pool::{ConnectionSlot, Pool};
use crate::backend::target::Target;
use crate::runtime_accounting::spawn_local;
use crate::stall_detector;
use crate::stream::{Progress, RequestBody, WatchedStream};
use bytes::Bytes;
use heathroad_balancer::api::Outcome;
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper_util::rt::TokioIo;
use std::cell::RefCell;
use std::error::Error;
use std::future::poll_fn;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::Instant;

/// Maximum size of a response head and of the read buffer, in bytes.
const MAX_HEAD: usize = 16 * 1024;
/// Idle time after which a stray second response would have arrived and been noticed.
const SETTLE_TIME: Duration = Duration::from_millis(50);
/// How long connections must settle before reuse once a backend has sent stray bytes.
const STRAY_BYTES_COOLDOWN: Duration = Duration::from_secs(60);

/// A connection that carries one request at a time. It is closed immediately when dropped, since
/// hyper alone would first finish writing an abandoned request.
pub struct Connection {
    pub(super) sender: SendRequest<RequestBody>,
    pub(super) progress: Rc<Progress>,
    /// Bytes that were read but belong to no response, available once the connection has ended.
    pub(super) unparsed: Rc<RefCell<Bytes>>,
    task: AbortHandle,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// A connection without a request.
pub struct IdleConnection {
    connection: Connection,
    /// When the connection became idle.
    pub since: Instant,
}

impl IdleConnection {
    /// Returns whether the connection is closed.
    pub fn is_closed(&self) -> bool {
        self.connection.sender.is_closed()
    }
}

impl Pool {
    /// Takes an idle connection to a process and returns it with its remaining settle time.
    ///
    /// Prefers the most recently used connection that has settled, so that the others reach the
    /// maximum idle age and are closed. A connection that was used just now is the most likely to
    /// receive a stray second response. If none has settled, takes the longest idle one, which must
    /// settle first if backends have recently sent stray bytes.
    pub(super) fn take_idle(&self, target: &Target) -> Option<(Connection, Duration)> {
        let (max_age, now) = (self.max_idle_age(), Instant::now());
        let stray_bytes_at = self.stray_bytes_at.get();
        let must_settle = stray_bytes_at.is_some_and(|at| now - at < STRAY_BYTES_COOLDOWN);
        let mut idle_http = self.idle_http.borrow_mut();
        let idle = idle_http.get_mut(&target.id)?;
        idle.retain(|idle| idle.connection.sender.is_ready() && now - idle.since < max_age);
        if idle.is_empty() {
            return None;
        }
        let settled = idle
            .iter()
            .rposition(|idle| now - idle.since >= SETTLE_TIME);
        let IdleConnection { connection, since } = idle.remove(settled.unwrap_or(0));
        let remaining_settle_time = SETTLE_TIME.saturating_sub(now - since);
        Some((
            connection,
            if must_settle {
                remaining_settle_time
            } else {
                Duration::ZERO
            },
        ))
    }

    /// Returns a connection to the pool for reuse, unless it is closed or its process is draining.
    pub(in crate::backend) fn keep_idle(&self, target: &Target, connection: Connection) {
        if target.is_draining() || connection.sender.is_closed() {
            return;
        }
        // The backend's idle time starts at its response, which may have arrived during a stall of
        // the event loop.
        let since = stall_detector::earliest_arrival(Instant::now());
        let mut idle_http = self.idle_http.borrow_mut();
        idle_http
            .entry(target.id)
            .or_default()
            .push(IdleConnection { connection, since });
    }

    /// Opens a connection to an address.
    pub(in crate::backend) async fn connect_http(
        &self,
        address: SocketAddr,
    ) -> Result<Connection, Outcome> {
        let (stream, slot) = self.connect(address).await?;
        self.start_http(stream, slot).await
    }

    /// Starts an HTTP connection on a stream.
    pub(in crate::backend) async fn start_http(
        &self,
        stream: TcpStream,
        slot: ConnectionSlot,
    ) -> Result<Connection, Outcome> {
        let watched = WatchedStream::new(TokioIo::new(stream));
        let progress = watched.progress();
        let mut builder = Builder::new();
        builder.max_buf_size(MAX_HEAD);
        let handshake = builder.handshake(watched).await;
        let (sender, mut connection) = handshake.map_err(|_| Outcome::ConnectFailed)?;
        let unparsed = Rc::<RefCell<Bytes>>::default();
        let (remaining_bytes, stray_bytes_at) = (unparsed.clone(), self.stray_bytes_at.clone());
        let task = spawn_local(async move {
            let _slot = slot;
            // The sender reports the end of the connection to the request.
            let end = poll_fn(|cx| connection.poll_without_shutdown(cx)).await;
            let read_buf = connection.into_parts().read_buf;
            if !read_buf.is_empty() || end.is_err_and(|error| is_stray_bytes(&error)) {
                stray_bytes_at.set(Some(Instant::now()));
            }
            remaining_bytes.replace(read_buf);
        });
        let task = task.abort_handle();
        Ok(Connection {
            sender,
            progress,
            unparsed,
            task,
        })
    }
}

/// Returns whether a connection failed because of unread bytes before a request was written.
fn is_stray_bytes(error: &hyper::Error) -> bool {
    let cause = error
        .source()
        .and_then(|source| source.downcast_ref::<io::Error>());
    cause.is_some_and(|error| error.kind() == io::ErrorKind::InvalidData)
}
