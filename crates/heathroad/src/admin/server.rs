//! The admin server: a bounded number of connections, and one handler for each path prefix.

use super::reply::Reply;
use super::{cluster, configuration, leases};
use crate::lease::LeaseService;
use crate::membership::MembershipService;
use crate::router::Router;
use crate::runtime_accounting::{sleep, spawn_local, timeout};
use hyper::Request;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use std::convert::Infallible;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;

/// The maximum number of concurrent connections; further ones wait in the listen backlog.
pub const MAX_CONNECTIONS: usize = 4;
/// The maximum lifetime of a connection, including its open requests.
const CONNECTION_TIMEOUT: Duration = Duration::from_secs(10);
/// The delay after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);
/// The maximum size of a request head, in bytes.
const MAX_HEAD_BYTES: usize = 8 * 1024;

/// The state shared by the handlers.
#[derive(Clone)]
pub struct AdminState {
    /// The pools and their routes.
    pub router: Rc<Router>,
    /// The membership service, if a cluster is configured.
    pub membership: Option<Rc<MembershipService>>,
    /// The lease service, if leases are configured.
    pub leases: Option<Rc<LeaseService>>,
    /// The limit on file descriptors.
    pub max_descriptors: usize,
}

/// Accepts and serves admin connections indefinitely.
pub async fn serve(listener: TcpListener, state: AdminState) {
    let slots = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    loop {
        let Ok(slot) = slots.clone().acquire_owned().await else {
            return;
        };
        let Ok((stream, _)) = listener.accept().await else {
            sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let state = state.clone();
        spawn_local(async move {
            let _slot = slot;
            serve_connection(stream, &state).await;
        });
    }
}

async fn serve_connection(stream: TcpStream, state: &AdminState) {
    let service = service_fn(async |request| Ok::<_, Infallible>(handle(state, request).await));
    let connection = http1::Builder::new()
        .max_buf_size(MAX_HEAD_BYTES)
        .serve_connection(TokioIo::new(stream), service);
    // Connection errors and timeouts need no handling.
    let _ = timeout(CONNECTION_TIMEOUT, connection).await;
}

async fn handle(state: &AdminState, request: Request<Incoming>) -> Reply {
    let path = request.uri().path();
    if path.starts_with(cluster::PATH_PREFIX) {
        cluster::handle(state, &request).await
    } else if path.starts_with(leases::PATH_PREFIX) {
        leases::handle(state, &request).await
    } else {
        configuration::handle(state, request).await
    }
}
