//! The server of the admin address: bounded connections, one handler for each group of paths.

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

/// The most connections at once; further ones wait in the system's queue.
pub const MAX_CONNECTIONS: usize = 4;
/// The time that a connection lasts at most, whatever is requested on it.
const CONNECTION_TIMEOUT: Duration = Duration::from_secs(10);
/// The pause when nothing can be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);
/// The longest head of a request, in bytes.
const MAX_HEAD_BYTES: usize = 8 * 1024;

/// What the handlers report on.
#[derive(Clone)]
pub struct AdminState {
    /// The pools and their routes.
    pub router: Rc<Router>,
    /// This proxy's membership in a cluster, if it has one.
    pub membership: Option<Rc<MembershipService>>,
    /// This proxy's leases, if there are any.
    pub leases: Option<Rc<LeaseService>>,
    /// The limit on file descriptors.
    pub max_descriptors: usize,
}

/// Serves the admin address for ever.
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
    // However the connection ends, no response is owed.
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
