//! Requests to discovery, which are hedged on further connections when a response is overdue.

use super::endpoint_list::EndpointList;
use super::timing::WatchTiming;
use crate::runtime_accounting::{sleep, spawn_local, timeout};
use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper::{Request, StatusCode, header};
use hyper_util::rt::TokioIo;
use std::error::Error;
use std::future::{Future, poll_fn};
use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use std::task::{Poll, ready};
use std::time::Duration;
use tokio::net::TcpStream;

/// The path of the endpoint list.
const LIST_PATH: &str = "/registry/instances";
/// The time within which a connection must be established.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// The maximum size of a response in bytes.
const MAX_RESPONSE_BYTES: usize = 8 << 20;

/// A connection to discovery.
pub(super) type Connection = SendRequest<Empty<Bytes>>;

/// Why a request to discovery failed.
#[derive(Debug, thiserror::Error)]
pub(super) enum DiscoveryError {
    #[error("no response in time")]
    Overdue,
    #[error("{address}: connect timeout")]
    ConnectTimeout { address: SocketAddr },
    #[error("{address}: {source}")]
    Connect {
        address: SocketAddr,
        source: io::Error,
    },
    #[error(transparent)]
    Http(#[from] hyper::Error),
    #[error(transparent)]
    Request(#[from] hyper::http::Error),
    #[error("unexpected status {0}")]
    Status(StatusCode),
    #[error(transparent)]
    Body(Box<dyn Error + Send + Sync>),
    #[error("invalid list: {0}")]
    List(#[from] serde_json::Error),
}

/// What a request asks for.
#[derive(Debug, Clone, Copy)]
pub(super) enum Query {
    /// The whole list.
    List,
    /// The changes after a version. Discovery responds once there is one, or after `wait`.
    Watch { version: u64, wait: Duration },
}

impl Query {
    fn path(self) -> String {
        match self {
            Query::List => LIST_PATH.to_string(),
            Query::Watch { version, wait } => {
                format!("{LIST_PATH}?after={version}&wait_ms={}", wait.as_millis())
            }
        }
    }

    /// Returns the same query without a wait, for hedged requests.
    fn without_wait(self) -> Query {
        match self {
            Query::List => Query::List,
            Query::Watch { version, .. } => Query::Watch {
                version,
                wait: Duration::ZERO,
            },
        }
    }

    /// Returns the time after which the response is overdue.
    fn overdue_after(self, timing: &WatchTiming) -> Duration {
        match self {
            Query::List => timing.list_overdue,
            Query::Watch { wait, .. } => wait + timing.watch_overdue,
        }
    }
}

/// Requests an endpoint list. While the response is overdue, hedged requests are sent on new
/// connections, and the first successful response is returned.
///
/// The first request uses `connection` if there is one. Afterwards `connection` is that of the
/// response, if it can be reused.
pub(super) async fn fetch_hedged(
    connection: &mut Option<Connection>,
    address: SocketAddr,
    query: Query,
    timing: &WatchTiming,
) -> Result<EndpointList, DiscoveryError> {
    let mut requests = vec![Box::pin(fetch(connection.take(), address, query))];
    let mut sent = 1;
    let mut hedge_due = pin!(sleep(query.overdue_after(timing)));
    poll_fn(|context| {
        loop {
            let mut failure = None;
            for index in (0..requests.len()).rev() {
                match requests[index].as_mut().poll(context) {
                    Poll::Ready(Ok((list, reusable))) => {
                        *connection = reusable;
                        return Poll::Ready(Ok(list));
                    }
                    Poll::Ready(Err(error)) => {
                        drop(requests.remove(index));
                        failure = Some(error);
                    }
                    Poll::Pending => {}
                }
            }
            if let Some(error) = failure.filter(|_| requests.is_empty()) {
                return Poll::Ready(Err(error));
            }
            ready!(hedge_due.as_mut().poll(context));
            if sent == timing.max_requests {
                return Poll::Ready(Err(DiscoveryError::Overdue));
            }
            sent += 1;
            requests.push(Box::pin(fetch(None, address, query.without_wait())));
            hedge_due.set(sleep(timing.hedge_interval));
        }
    })
    .await
}

/// Sends one request. Returns the list, and the connection if it can be reused.
async fn fetch(
    connection: Option<Connection>,
    address: SocketAddr,
    query: Query,
) -> Result<(EndpointList, Option<Connection>), DiscoveryError> {
    let mut sender = match connection.filter(|c| !c.is_closed()) {
        Some(sender) => sender,
        None => connect(address).await?,
    };
    let request = Request::get(query.path()).header(header::HOST, address.to_string());
    let response = sender.send_request(request.body(Empty::new())?).await?;
    if response.status() != StatusCode::OK {
        return Err(DiscoveryError::Status(response.status()));
    }
    let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES)
        .collect()
        .await;
    let body = body.map_err(DiscoveryError::Body)?;
    let list = serde_json::from_slice(&body.to_bytes())?;
    let is_reusable = sender.ready().await.is_ok();
    Ok((list, is_reusable.then_some(sender)))
}

async fn connect(address: SocketAddr) -> Result<Connection, DiscoveryError> {
    let connect_error = |source| DiscoveryError::Connect { address, source };
    let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
    let stream = stream.map_err(|_| DiscoveryError::ConnectTimeout { address })?;
    let stream = stream.map_err(connect_error)?;
    stream.set_nodelay(true).map_err(connect_error)?;
    let (sender, connection) = handshake(TokioIo::new(stream)).await?;
    spawn_local(async move {
        // The sender reports errors of the connection.
        let _ = connection.await;
    });
    Ok(sender)
}
