//! The operators' address, off unless it is named: what the daemon counts, as Prometheus text and
//! as JSON, and where there are routes, changing them.

use crate::lease::LeaseService;
use crate::membership::MembershipService;
use crate::membership::audit::{self, AuditQuery};
use crate::router::Router;
use crate::runtime_accounting::{sleep, spawn_local, timeout};
use bytes::Bytes;
use heathroad_routing::transaction::{Event, TransactionReport};
use http_body_util::{BodyExt, Full, Limited};
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

/// Most connections at once; further ones wait in the system's queue.
pub const CONNECTIONS: usize = 4;
/// A connection lasts so long at most, whatever is asked on it.
const LIFE: Duration = Duration::from_secs(10);
/// Pause when nothing can be accepted.
const STARVED: Duration = Duration::from_millis(100);
/// Longest head.
const MAX_HEAD: usize = 8 * 1024;
/// Longest configuration that is taken.
const MAX_BODY: usize = 4 << 20;

type Reply = Response<Full<Bytes>>;

/// Who is asked.
#[derive(Clone)]
pub struct Asked {
    /// Of counts and routes.
    pub router: Rc<Router>,
    /// Of the fleet.
    pub peers: Option<Rc<MembershipService>>,
    /// Of duties.
    pub duties: Option<Rc<LeaseService>>,
}

/// Answers for ever.
pub async fn serve(listener: TcpListener, asked: Asked, descriptors: usize) {
    let places = Arc::new(Semaphore::new(CONNECTIONS));
    loop {
        let Ok(place) = places.clone().acquire_owned().await else {
            return;
        };
        let Ok((stream, _)) = listener.accept().await else {
            sleep(STARVED).await;
            continue;
        };
        let asked = asked.clone();
        spawn_local(async move {
            let _place = place;
            let service = service_fn(async |request: Request<Incoming>| {
                let path = request.uri().path();
                let reply = if path.starts_with("/fleet/") {
                    fleet(&asked, &request).await
                } else if path.starts_with("/duty/") {
                    duty(asked.duties.as_ref(), &request).await
                } else {
                    answer(&asked.router, descriptors, request).await
                };
                Ok::<_, Infallible>(reply)
            });
            let connection = http1::Builder::new()
                .max_buf_size(MAX_HEAD)
                .serve_connection(TokioIo::new(stream), service);
            // However it ends, nothing is owed to anybody.
            let _ = timeout(LIFE, connection).await;
        });
    }
}

/// What is asked of the fleet.
async fn fleet(asked: &Asked, request: &Request<Incoming>) -> Reply {
    let Some(peers) = &asked.peers else {
        let why = "no fleet: the daemon's file names none";
        return said(StatusCode::NOT_FOUND, TEXT, why.into());
    };
    if request.method() != Method::GET {
        return only("GET");
    }
    let told = match request.uri().path() {
        "/fleet/members" => peers.members(),
        "/fleet/audit" => match AuditQuery::parse(request.uri().query().unwrap_or_default()) {
            Ok(ask) => audit::audit(peers.clone(), asked.duties.clone(), ask).await,
            Err(wrong) => return said(StatusCode::BAD_REQUEST, TEXT, wrong.to_string()),
        },
        _ => return plain(StatusCode::NOT_FOUND),
    };
    said(StatusCode::OK, "application/json", told.to_string())
}

/// What is asked of duties.
async fn duty(duties: Option<&Rc<LeaseService>>, request: &Request<Incoming>) -> Reply {
    let Some(duties) = duties else {
        let why = "no duties: the daemon's file names no fleet whose file has `[duties]`";
        return said(StatusCode::NOT_FOUND, TEXT, why.into());
    };
    let allowed = match request.uri().path() {
        "/duty/list" | "/duty/history" => "GET",
        "/duty/resign" => "POST",
        _ => return plain(StatusCode::NOT_FOUND),
    };
    if request.method().as_str() != allowed {
        return only(allowed);
    }
    let told = match request.uri().path() {
        "/duty/list" => duties.status_json().await,
        "/duty/history" => duties.history_json().await,
        _ => {
            let name = request
                .uri()
                .query()
                .and_then(|q| q.strip_prefix("name="))
                .unwrap_or_default();
            return match duties.resign(name) {
                Some(true) => said(StatusCode::OK, TEXT, format!("{name} is let go of")),
                Some(false) => {
                    let why =
                        format!("{name} is not held here; it is not sought here for ten leases");
                    said(StatusCode::OK, TEXT, why)
                }
                None => said(
                    StatusCode::NOT_FOUND,
                    TEXT,
                    format!("{name:?}: no duty has that name"),
                ),
            };
        }
    };
    said(StatusCode::OK, "application/json", told.to_string())
}

async fn answer(router: &Router, descriptors: usize, request: Request<Incoming>) -> Reply {
    let (head, body) = request.into_parts();
    let (get, path) = (head.method == Method::GET, head.uri.path());
    let allowed = match path {
        "/metrics" | "/counts" | "/config/status" | "/config/expect" | "/config/nodes" => "GET",
        "/config/apply" | "/config/undo" => "POST",
        _ => return plain(StatusCode::NOT_FOUND),
    };
    if get != (allowed == "GET") || !get && head.method != Method::POST {
        return only(allowed);
    }
    match (path, router) {
        ("/metrics", _) => {
            let kind = "application/openmetrics-text; version=1.0.0; charset=utf-8";
            said(StatusCode::OK, kind, router.counts_text(descriptors))
        }
        ("/counts", _) => said(
            StatusCode::OK,
            "application/json",
            router.counts_json(descriptors),
        ),
        (_, Router::SinglePool(_)) => said(
            StatusCode::NOT_FOUND,
            TEXT,
            "no routes: the daemon serves the one pool of its settings".into(),
        ),
        ("/config/status", Router::Routed(many)) => said(
            StatusCode::OK,
            "application/json",
            many.status().to_string(),
        ),
        ("/config/nodes", Router::Routed(many)) => match serde_json::to_string(&many.known_nodes())
        {
            Ok(nodes) => said(StatusCode::OK, "application/json", nodes),
            Err(e) => said(StatusCode::INTERNAL_SERVER_ERROR, TEXT, e.to_string()),
        },
        ("/config/expect", Router::Routed(many)) => match many.verify_current().await {
            Ok(Some(report)) => {
                let (holds, verdicts) = (report.holds(), report.verdicts);
                let told =
                    serde_json::json!({"file": report.file, "holds": holds, "verdicts": verdicts});
                said(StatusCode::OK, "application/json", told.to_string())
            }
            Ok(None) => said(
                StatusCode::NOT_FOUND,
                TEXT,
                "nothing is expected: the file names no `expectations`".into(),
            ),
            Err(wrong) => said(StatusCode::UNPROCESSABLE_ENTITY, TEXT, wrong.to_string()),
        },
        ("/config/undo", Router::Routed(many)) => told(&many.handle(Event::RollBack {
            reason: "asked for".into(),
        })),
        (_, Router::Routed(many)) => {
            let within = head
                .uri
                .query()
                .map(|q| q.strip_prefix("required_ms=").and_then(|n| n.parse().ok()));
            let Ok(within) = within.map_or(Ok(None), |n: Option<u64>| n.map(Some).ok_or(())) else {
                let why = "expected required_ms=MILLISECONDS, or nothing";
                return said(StatusCode::BAD_REQUEST, TEXT, why.into());
            };
            let body = Limited::new(body, MAX_BODY)
                .collect()
                .await
                .map(http_body_util::Collected::to_bytes);
            let Ok(text) = body
                .map_err(|_| ())
                .and_then(|b| String::from_utf8(b.to_vec()).map_err(|_| ()))
            else {
                let why = format!("a configuration is UTF-8 text of {MAX_BODY} bytes at most");
                return said(StatusCode::PAYLOAD_TOO_LARGE, TEXT, why);
            };
            match many.propose("apply", &text, within).await {
                Ok(list) => told(&list),
                Err(wrong) => said(StatusCode::UNPROCESSABLE_ENTITY, TEXT, wrong.to_string()),
            }
        }
    }
}

const TEXT: &str = "text/plain; charset=utf-8";

/// What was said of a change: 409 where it was turned down.
fn told(list: &[TransactionReport]) -> Reply {
    let status = if list.iter().any(TransactionReport::is_rejection) {
        StatusCode::CONFLICT
    } else {
        StatusCode::OK
    };
    said(
        status,
        TEXT,
        list.iter()
            .map(ToString::to_string)
            .collect::<Vec<_>>()
            .join("\n"),
    )
}

fn said(status: StatusCode, kind: &'static str, text: String) -> Reply {
    let mut reply = Response::new(Full::from(text));
    *reply.status_mut() = status;
    reply
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static(kind));
    reply
}

fn only(method: &'static str) -> Reply {
    let mut reply = plain(StatusCode::METHOD_NOT_ALLOWED);
    reply
        .headers_mut()
        .insert(ALLOW, HeaderValue::from_static(method));
    reply
}

fn plain(status: StatusCode) -> Reply {
    let mut reply = Response::new(Full::default());
    *reply.status_mut() = status;
    reply
}
