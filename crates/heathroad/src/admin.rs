//! The operators' address, off unless it is named: what the daemon counts, as Prometheus text and as JSON.

use crate::engine::Engine;
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{ALLOW, CONTENT_TYPE, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode, body::Incoming};
use hyper_util::rt::TokioIo;
use std::convert::Infallible;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::Semaphore;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

/// Most connections at once; further ones wait in the system's queue.
pub const CONNECTIONS: usize = 4;
/// A connection lasts so long at most, whatever is asked on it.
const LIFE: Duration = Duration::from_secs(10);
/// Pause when nothing can be accepted.
const STARVED: Duration = Duration::from_millis(100);
/// Longest head.
const MAX_HEAD: usize = 8 * 1024;

type Reply = Response<Full<Bytes>>;

/// Answers for ever.
pub async fn serve(listener: TcpListener, engine: Rc<Engine>) {
    let places = Arc::new(Semaphore::new(CONNECTIONS));
    loop {
        let Ok(place) = places.clone().acquire_owned().await else { return };
        let Ok((stream, _)) = listener.accept().await else {
            sleep(STARVED).await;
            continue;
        };
        let engine = engine.clone();
        spawn_local(async move {
            let _place = place;
            let service = service_fn(|request| {
                let reply = answer(&engine, &request);
                async { Ok::<_, Infallible>(reply) }
            });
            let connection =
                http1::Builder::new().max_buf_size(MAX_HEAD).serve_connection(TokioIo::new(stream), service);
            // However it ends, nothing is owed to anybody.
            let _ = timeout(LIFE, connection).await;
        });
    }
}

fn answer(engine: &Engine, request: &Request<Incoming>) -> Reply {
    let (kind, text) = match request.uri().path() {
        "/metrics" if request.method() == Method::GET => {
            ("application/openmetrics-text; version=1.0.0; charset=utf-8", engine.counts_text())
        }
        "/counts" if request.method() == Method::GET => ("application/json", engine.counts_json()),
        "/metrics" | "/counts" => {
            let mut reply = plain(StatusCode::METHOD_NOT_ALLOWED);
            reply.headers_mut().insert(ALLOW, HeaderValue::from_static("GET"));
            return reply;
        }
        _ => return plain(StatusCode::NOT_FOUND),
    };
    let mut reply = Response::new(Full::from(text));
    reply.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static(kind));
    reply
}

fn plain(status: StatusCode) -> Reply {
    let mut reply = Response::new(Full::default());
    *reply.status_mut() = status;
    reply
}
