//! The task of one client's HTTP connection, from acceptance to close.

use super::HttpFrontend;
use super::response::{Reply, empty_reply, to_reply};
use crate::engine::{self, FinalResponse, retry_after};
use crate::frontend::connections::{
    CloseReason, Connection, FIRST_REQUEST_GRACE, RegisteredConnection, Stage,
};
use crate::frontend::read_ahead::ConnectionIo;
use crate::frontend::reservations::PendingRequestGuard;
use crate::metrics::ResponseKind;
use crate::retry_budget::SPENT_HEADER;
use crate::runtime_accounting::sleep;
use crate::safety::{ClientConnection, ClientHandle, ClientPresence};
use crate::stream::{Unread, WatchedStream};
use crate::time::as_millis;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{CONNECTION, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::{HttpService, service_fn};
use hyper::{Request, StatusCode};
use std::cell::Cell;
use std::convert::Infallible;
use std::future::{Future, pending, poll_fn};
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::task::{Context, Poll};
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::Instant;

/// Maximum size of a request head and of Hyper's read buffer, in bytes. Hyper's limit of 100
/// headers stays at its default, since any other value makes it allocate for each head.
const MAX_HEAD: usize = 16 * 1024;
/// Fraction of the connection limit that pending requests may reach before connections without a
/// served request are rejected. Keeps capacity for established clients during a burst.
const UNSERVED_FRACTION: f64 = 0.75;
/// Path of the readiness check.
const READY_PATH: &str = "/health/ready";
/// Value of the `Connection` header that closes the connection after a response.
pub(super) const CLOSE: HeaderValue = HeaderValue::from_static("close");

type HttpConnection<S> = http1::Connection<WatchedStream<ConnectionIo>, S>;

/// Properties of a connection that are determined when it is accepted.
#[derive(Clone, Copy)]
struct Acceptance {
    /// Whether the connection exceeds the limit and closes after its next response.
    is_crowded: bool,
    /// Whether the peer's retry budget claims are trusted.
    is_trusted: bool,
}

impl HttpFrontend {
    /// Serves a connection until it closes.
    pub(super) async fn run_connection(
        self: Rc<Self>,
        registered: RegisteredConnection,
        mut stop: watch::Receiver<bool>,
        is_crowded: bool,
    ) {
        let connection = &registered.connection;
        let is_trusted = self.is_trusted(connection);
        if connection
            .stream
            .with_stream(|stream| stream.set_nodelay(true))
            .is_err()
        {
            return;
        }
        tracing::debug!(
            connection = connection.number,
            is_crowded,
            open = self.table.descriptors(),
            "connection accepted"
        );
        let acceptance = Acceptance {
            is_crowded,
            is_trusted,
        };
        let closes_next = Cell::new(is_crowded);
        let service =
            service_fn(|request| self.respond(request, connection, acceptance, &closes_next));
        let io = ConnectionIo(connection.clone());
        let watched = WatchedStream::with_progress(io, connection.progress.clone());
        let mut builder = http1::Builder::new();
        builder.header_read_timeout(None).max_buf_size(MAX_HEAD);
        let mut http = pin!(builder.serve_connection(watched, service));
        let is_pending = || connection.stage.get() == Stage::Pending;
        let disconnect = connection.stream.wait_for_disconnect(is_pending);
        let mut disconnect = pin!(disconnect);
        let closed =
            run_until_stop(http.as_mut(), disconnect.as_mut(), connection, &mut stop).await;
        let reason = match closed {
            Some(reason) => reason,
            None => {
                closes_next.set(true);
                run_until_quiescent(http, disconnect, connection).await
            }
        };
        registered.record_close(reason);
    }

    fn is_trusted(&self, connection: &Connection) -> bool {
        let Some(budgets) = &self.budgets else {
            return false;
        };
        let peer = connection.stream.with_stream(TcpStream::peer_addr);
        peer.is_ok_and(|peer| budgets.is_trusted(peer.ip()))
    }

    /// Answers a request and prepares the connection for the next one.
    async fn respond(
        &self,
        request: Request<Incoming>,
        connection: &Rc<Connection>,
        acceptance: Acceptance,
        closes_next: &Cell<bool>,
    ) -> Result<Reply, Infallible> {
        let mut reply = self.answer(request, connection, acceptance).await;
        // Unless the connection exceeds the limit, it stays open while unread data remains.
        if closes_next.get() && (acceptance.is_crowded || !connection.stream.has_unread()) {
            reply.headers_mut().insert(CONNECTION, CLOSE);
        }
        tracing::debug!(
            connection = connection.number,
            status = reply.status().as_u16(),
            elapsed_ms = as_millis(connection.time_since_read()),
            "request answered"
        );
        connection.stage.set(Stage::Idle);
        connection.progress.expect_message();
        connection.idle_since.set(Instant::now());
        connection.is_answered.set(true);
        Ok(reply)
    }

    async fn answer(
        &self,
        request: Request<Incoming>,
        connection: &Rc<Connection>,
        acceptance: Acceptance,
    ) -> Reply {
        // A pipelined request counts from its arrival, not from the end of the previous one.
        let received_at = connection
            .progress
            .last_arrival()
            .unwrap_or_else(Instant::now);
        connection.progress.expect_message();
        if request.uri().path() == READY_PATH {
            let is_ready = self.router.ready();
            return empty_reply(if is_ready {
                StatusCode::OK
            } else {
                StatusCode::SERVICE_UNAVAILABLE
            });
        }
        connection.stage.set(Stage::ReadingBody);
        connection.record_request(received_at);
        let read = self
            .read_request(request, connection, received_at, acceptance.is_trusted)
            .await;
        let (incoming, reservation, bound) = match read {
            Ok(read) => read,
            Err(error) => {
                let reply = error.into_reply(&self.settings);
                let status = reply.status().as_u16();
                tracing::debug!(connection = connection.number, status, "request unusable");
                self.router.metrics().record_unusable(status);
                return reply;
            }
        };
        if self.is_over_capacity(connection, acceptance.is_crowded) {
            tracing::debug!(id = %incoming.call.label(), reason = "no capacity", "request rejected");
            bound
                .engine
                .record_undecided(&incoming, ResponseKind::Rejected);
            let retry_after = retry_after(&self.settings);
            return to_reply(engine::Response::Rejected { retry_after });
        }
        connection.stage.set(Stage::Pending);
        // The connection's task detects a disconnect too and ends.
        if connection.presence() == ClientPresence::Left {
            tracing::debug!(id = %incoming.call.label(), reason = "client left", "request dropped");
            bound
                .engine
                .record_undecided(&incoming, ResponseKind::ClientLeft);
            return pending().await;
        }
        let _pending = PendingRequestGuard::new(&self.table);
        tracing::debug!(
            id = %incoming.call.label(), connection = connection.number, "request accepted"
        );
        let client = Some(ClientHandle::new(connection));
        let decided = bound.engine.handle_request(incoming, client).await;
        let is_served = matches!(decided.response, engine::Response::Served(_));
        if is_served && connection.presence() == ClientPresence::Present {
            connection.may_have_run.set(false);
            connection.add_unread_id(reservation.fingerprint());
        }
        to_final_reply(connection, decided)
    }

    /// Returns whether there is no capacity for another request. Counts pending requests instead of
    /// connections, since idle connections cause no load.
    fn is_over_capacity(&self, connection: &Connection, is_crowded: bool) -> bool {
        let (pending, limit) = (self.table.pending_requests.get(), self.max_connections);
        let unserved_limit = (limit as f64 * UNSERVED_FRACTION) as usize;
        is_crowded && pending >= limit || !connection.is_served.get() && pending >= unserved_limit
    }
}

/// Converts the engine's final response to a reply, with the report of spent retries.
fn to_final_reply(connection: &Connection, decided: FinalResponse) -> Reply {
    let FinalResponse {
        response,
        retries_spent,
    } = decided;
    if matches!(response, engine::Response::Served(_)) {
        connection.is_served.set(true);
    }
    let mut reply = to_reply(response);
    let report = retries_spent.and_then(|spent| HeaderValue::try_from(spent.to_string()).ok());
    if let Some(report) = report {
        reply.headers_mut().insert(SPENT_HEADER, report);
    }
    reply
}

/// Serves a connection until it closes or shutdown begins; returns the reason for the close, or
/// `None` at shutdown.
async fn run_until_stop<S>(
    mut http: Pin<&mut HttpConnection<S>>,
    mut disconnect: Pin<&mut impl Future<Output = ()>>,
    connection: &Connection,
    stop: &mut watch::Receiver<bool>,
) -> Option<CloseReason>
where
    S: HttpService<Incoming, ResBody = Full<Bytes>, Error = Infallible>,
{
    loop {
        let closed = poll_fn(|cx| poll_close(http.as_mut(), disconnect.as_mut(), cx));
        tokio::select! {
            biased;
            // The engine learns of the close when the handler of a pending request is dropped.
            reason = closed => return Some(reason),
            () = connection.close_requested.notified() => {
                if connection.confirm_close() {
                    return Some(CloseReason::Shed);
                }
            }
            _ = stop.wait_for(|stop| *stop) => return None,
        }
    }
}

/// Serves a connection during shutdown: answers accepted and unread requests, then closes it.
async fn run_until_quiescent<S>(
    mut http: Pin<&mut HttpConnection<S>>,
    mut disconnect: Pin<&mut impl Future<Output = ()>>,
    connection: &Connection,
) -> CloseReason
where
    S: HttpService<Incoming, ResBody = Full<Bytes>, Error = Infallible>,
{
    let mut first_request = pin!(sleep(FIRST_REQUEST_GRACE));
    loop {
        let closed = poll_fn(|cx| {
            let has_waited =
                connection.is_answered.get() || first_request.as_mut().poll(cx).is_ready();
            let closed = poll_close(http.as_mut(), disconnect.as_mut(), cx);
            let is_quiescent =
                has_waited && connection.is_quiescent() && !connection.stream.has_unread();
            if closed.is_pending() && is_quiescent {
                http.as_mut().graceful_shutdown();
                let ended = http.as_mut().poll(cx);
                return ended.map(|result| CloseReason::from_result(&result));
            }
            closed
        });
        tokio::select! {
            biased;
            // Reads available data before a requested close.
            reason = closed => return reason,
            () = connection.close_requested.notified() => {
                if connection.confirm_close() {
                    return CloseReason::Shed;
                }
            }
        }
    }
}

/// Polls a connection for its close. Checks for a disconnect before Hyper runs, to start no work
/// for a client that has left, and again afterwards, as a request may have become pending.
fn poll_close<S>(
    http: Pin<&mut HttpConnection<S>>,
    mut disconnect: Pin<&mut impl Future<Output = ()>>,
    cx: &mut Context<'_>,
) -> Poll<CloseReason>
where
    S: HttpService<Incoming, ResBody = Full<Bytes>, Error = Infallible>,
{
    if disconnect.as_mut().poll(cx).is_ready() {
        return Poll::Ready(CloseReason::ByClient);
    }
    if let Poll::Ready(result) = http.poll(cx) {
        return Poll::Ready(CloseReason::from_result(&result));
    }
    disconnect.poll(cx).map(|()| CloseReason::ByClient)
}
