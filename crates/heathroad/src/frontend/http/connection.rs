//! One client's connection over HTTP, from its acceptance to its close.

use super::HttpFrontend;
use super::response::{Reply, plain, to_reply};
use crate::engine::{self, FinalResponse, retry_after};
use crate::frontend::connections::{
    CloseReason, Connection, FIRST_REQUEST_GRACE, RegisteredConnection, Stage,
};
use crate::frontend::read_ahead::ConnectionIo;
use crate::frontend::reservations::PendingRequestGuard;
use crate::metrics::ResponseKind;
use crate::retry_budget::SPENT_HEADER;
use crate::runtime_accounting::sleep;
use crate::safety::ClientHandle;
use crate::stall_detector;
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

/// Longest request head, in bytes; the buffer for heads and bodies grows to this size. (The library
/// has a bound of its own on header lines, of 100; told another, it allocates memory for them anew
/// and slowly for each head.)
const MAX_HEAD: usize = 16 * 1024;
/// Fraction of the places that clients may fill with requests who have not been served on their
/// connection yet: a burst of requests that are worth nothing leaves room for the others.
const UNSERVED_FRACTION: f64 = 0.75;
/// The path at which readiness is asked for.
const READY_PATH: &str = "/health/ready";
/// Closes the connection behind a response.
pub(super) const CLOSE: HeaderValue = HeaderValue::from_static("close");

type HttpConnection<S> = http1::Connection<WatchedStream<ConnectionIo>, S>;

/// What is known of a connection when it is accepted.
#[derive(Clone, Copy)]
struct Acceptance {
    /// There was no place for it: it is closed behind its next response.
    is_crowded: bool,
    /// Its peer's retry budgets count in full.
    is_trusted: bool,
}

impl HttpFrontend {
    /// Serves a connection until it is closed.
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
        let client_end = connection
            .stream
            .wait_for_end(is_pending, self.max_buffered_bytes);
        let mut client_end = pin!(client_end);
        let closed =
            run_until_stop(http.as_mut(), client_end.as_mut(), connection, &mut stop).await;
        let reason = match closed {
            Some(reason) => reason,
            None => {
                closes_next.set(true);
                run_until_quiet(http, client_end, connection).await
            }
        };
        connection.record_close(reason);
    }

    fn is_trusted(&self, connection: &Connection) -> bool {
        let Some(budgets) = &self.budgets else {
            return false;
        };
        let peer = connection.stream.with_stream(TcpStream::peer_addr);
        peer.is_ok_and(|peer| budgets.is_trusted(peer.ip()))
    }

    /// Answers a request, and makes the connection ready for the next one.
    async fn respond(
        &self,
        request: Request<Incoming>,
        connection: &Rc<Connection>,
        acceptance: Acceptance,
        closes_next: &Cell<bool>,
    ) -> Result<Reply, Infallible> {
        let mut reply = self.answer(request, connection, acceptance).await;
        // With a further request behind it the connection stays open for that one.
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
        connection.since.set(Instant::now());
        connection.is_answered.set(true);
        Ok(reply)
    }

    async fn answer(
        &self,
        request: Request<Incoming>,
        connection: &Rc<Connection>,
        acceptance: Acceptance,
    ) -> Reply {
        // A request that came behind another has waited for its turn since it was read.
        let received_at = connection
            .progress
            .last_arrival()
            .unwrap_or_else(Instant::now);
        connection.progress.expect_message();
        if request.uri().path() == READY_PATH {
            let is_ready = self.router.ready();
            return plain(if is_ready {
                StatusCode::OK
            } else {
                StatusCode::SERVICE_UNAVAILABLE
            });
        }
        connection.stage.set(Stage::ReadingBody);
        let read = self
            .read_request(request, connection, received_at, acceptance.is_trusted)
            .await;
        let (incoming, _reservation, bound) = match read {
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
        if has_left_unread(connection) {
            tracing::debug!(id = %incoming.call.label(), reason = "client left", "request dropped");
            bound
                .engine
                .record_undecided(&incoming, ResponseKind::ClientLeft);
            return pending().await;
        }
        let _pending = PendingRequestGuard::new(&self.table);
        tracing::debug!(
            id = %incoming.call.label(), connection = connection.number, "request taken"
        );
        let client = Some(ClientHandle::new(connection));
        let decided = bound.engine.handle_request(incoming, client).await;
        final_reply(connection, decided)
    }

    /// Returns whether there is no capacity for one more request. Idle clients hold places too:
    /// what is rejected is work past what can be carried.
    fn is_over_capacity(&self, connection: &Connection, is_crowded: bool) -> bool {
        let (pending, limit) = (self.table.pending_requests.get(), self.max_connections);
        let unserved_limit = (limit as f64 * UNSERVED_FRACTION) as usize;
        is_crowded && pending >= limit || !connection.is_served.get() && pending >= unserved_limit
    }
}

/// Returns whether the client has left while its request lay unread: nothing is begun for it. The
/// connection's task sees the same, and ends.
fn has_left_unread(connection: &Connection) -> bool {
    let asks_system =
        !connection.is_answered.get() || stall_detector::may_have_stalled(Instant::now());
    connection.stream.has_ended(asks_system)
}

/// Returns the reply for the engine's decision.
fn final_reply(connection: &Connection, decided: FinalResponse) -> Reply {
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

/// Runs a connection until it is closed, for the reason returned, or the stop.
async fn run_until_stop<S>(
    mut http: Pin<&mut HttpConnection<S>>,
    mut client_end: Pin<&mut impl Future<Output = ()>>,
    connection: &Connection,
    stop: &mut watch::Receiver<bool>,
) -> Option<CloseReason>
where
    S: HttpService<Incoming, ResBody = Full<Bytes>, Error = Infallible>,
{
    loop {
        let closed = poll_fn(|cx| poll_close(http.as_mut(), client_end.as_mut(), cx));
        tokio::select! {
            biased;
            // However it is closed, the client is gone, and the engine was told so of its request.
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

/// Runs a connection after the stop: requests that were taken, or lie there to be read, are
/// answered; then it is closed.
async fn run_until_quiet<S>(
    mut http: Pin<&mut HttpConnection<S>>,
    mut client_end: Pin<&mut impl Future<Output = ()>>,
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
            let closed = poll_close(http.as_mut(), client_end.as_mut(), cx);
            let is_quiet = has_waited && connection.is_quiet() && !connection.stream.has_unread();
            if closed.is_pending() && is_quiet {
                http.as_mut().graceful_shutdown();
                let ended = http.as_mut().poll(cx);
                return ended.map(|result| CloseReason::from_result(&result));
            }
            closed
        });
        tokio::select! {
            biased;
            // What lies there is read before the connection is closed.
            reason = closed => return reason,
            () = connection.close_requested.notified() => {
                if connection.confirm_close() {
                    return CloseReason::Shed;
                }
            }
        }
    }
}

/// Polls a connection for its close. That the client has left is seen before anything is done for
/// it, and looked for again afterwards.
fn poll_close<S>(
    http: Pin<&mut HttpConnection<S>>,
    mut client_end: Pin<&mut impl Future<Output = ()>>,
    cx: &mut Context<'_>,
) -> Poll<CloseReason>
where
    S: HttpService<Incoming, ResBody = Full<Bytes>, Error = Infallible>,
{
    if client_end.as_mut().poll(cx).is_ready() {
        return Poll::Ready(CloseReason::ByClient);
    }
    if let Poll::Ready(result) = http.poll(cx) {
        return Poll::Ready(CloseReason::from_result(&result));
    }
    client_end.poll(cx).map(|()| CloseReason::ByClient)
}
