//! HTTP/1.1 connections to backends, which carry one request at a time.

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

/// Longest response head; the buffer for heads and bodies grows to this size, in bytes.
const MAX_HEAD: usize = 16 * 1024;
/// A stray second response comes at most so long after the first. A connection that has been idle
/// for longer holds none that has not been noticed.
const SETTLED_AFTER: Duration = Duration::from_millis(50);
/// Once a backend has sent stray bytes, for so long every connection settles before it is used
/// again.
const STRAY_BYTES_MEMORY: Duration = Duration::from_secs(60);

/// A connection that carries one request at a time. It is closed at once when it is dropped,
/// whatever is still to be written: by itself the HTTP library would first write a request to its
/// end for which nobody waits any more.
pub struct Connection {
    pub(super) sender: SendRequest<RequestBody>,
    pub(super) progress: Rc<Progress>,
    /// Bytes that were read and belong to no response, once the connection has ended.
    pub(super) unparsed: Rc<RefCell<Bytes>>,
    task: AbortHandle,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// A connection that carries no request.
pub struct IdleConnection {
    connection: Connection,
    /// When it became idle.
    pub since: Instant,
}

impl IdleConnection {
    /// Returns whether it has ended.
    pub fn is_closed(&self) -> bool {
        self.connection.sender.is_closed()
    }
}

impl Pool {
    /// Takes an idle connection to a process, with the time for which it has yet to settle.
    ///
    /// It is the most recently used of those that have settled: the others then grow old and are
    /// closed. A connection that was used just now is the likeliest to receive a stray second
    /// response. Where none has settled, the one that has been idle longest is taken, and settles
    /// first while stray responses come.
    pub(super) fn take_idle(&self, target: &Target) -> Option<(Connection, Duration)> {
        let (max_age, now) = (self.max_idle_age(), Instant::now());
        let stray_bytes_at = self.stray_bytes_at.get();
        let must_settle = stray_bytes_at.is_some_and(|at| now - at < STRAY_BYTES_MEMORY);
        let mut idle_http = self.idle_http.borrow_mut();
        let idle = idle_http.get_mut(&target.id)?;
        idle.retain(|idle| idle.connection.sender.is_ready() && now - idle.since < max_age);
        if idle.is_empty() {
            return None;
        }
        let settled = idle
            .iter()
            .rposition(|idle| now - idle.since >= SETTLED_AFTER);
        let IdleConnection { connection, since } = idle.remove(settled.unwrap_or(0));
        let settles_for = SETTLED_AFTER.saturating_sub(now - since);
        Some((
            connection,
            if must_settle {
                settles_for
            } else {
                Duration::ZERO
            },
        ))
    }

    /// Keeps a connection for the next request.
    pub(in crate::backend) fn keep_idle(&self, target: &Target, connection: Connection) {
        if target.is_draining() || connection.sender.is_closed() {
            return;
        }
        // The backend counts from its response, which may have lain unread while the process
        // stalled.
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

    /// Starts a connection on a stream.
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
        let (rest, stray_bytes_at) = (unparsed.clone(), self.stray_bytes_at.clone());
        let task = spawn_local(async move {
            let _slot = slot;
            // Its end shows at the sender, where it has a meaning.
            let end = poll_fn(|cx| connection.poll_without_shutdown(cx)).await;
            let read_buf = connection.into_parts().read_buf;
            if !read_buf.is_empty() || end.is_err_and(|error| is_stray_bytes(&error)) {
                stray_bytes_at.set(Some(Instant::now()));
            }
            rest.replace(read_buf);
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

/// Returns whether a connection ended since bytes lay on it before a request was written.
fn is_stray_bytes(error: &hyper::Error) -> bool {
    let cause = error
        .source()
        .and_then(|source| source.downcast_ref::<io::Error>());
    cause.is_some_and(|error| error.kind() == io::ErrorKind::InvalidData)
}
