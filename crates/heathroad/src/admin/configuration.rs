//! Metrics, and the status, verification and changes of the route configuration.

use super::reply::{self, Reply};
use super::server::AdminState;
use crate::router::Router;
use crate::router::routed_pools::RoutedPools;
use heathroad_routing::transaction::{Event, TransactionReport};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::{Method, Request, StatusCode};
use std::rc::Rc;

/// The maximum size of a proposed configuration, in bytes.
const MAX_CONFIGURATION_BYTES: usize = 4 << 20;
/// Prefix of the query that sets the time within which the whole cluster must have the change.
const REQUIRED_WITHIN_QUERY: &str = "required_ms=";

/// An invalid query or body of a proposed change.
#[derive(Debug, thiserror::Error)]
enum ProposalInputError {
    #[error("expected required_ms=MILLISECONDS, or nothing")]
    Query,
    #[error("a configuration is UTF-8 text of {MAX_CONFIGURATION_BYTES} bytes at most")]
    Body,
}

pub(super) async fn handle(state: &AdminState, request: Request<Incoming>) -> Reply {
    let path = request.uri().path();
    let allowed = match path {
        "/metrics" | "/counts" | "/config/status" | "/config/expect" | "/config/nodes" => {
            Method::GET
        }
        "/config/apply" | "/config/undo" => Method::POST,
        _ => return reply::not_found(),
    };
    if request.method() != allowed {
        let allowed = if allowed == Method::GET {
            "GET"
        } else {
            "POST"
        };
        return reply::method_not_allowed(allowed);
    }
    match (path, &*state.router) {
        ("/metrics", router) => reply::open_metrics(router.metrics_text(state.max_descriptors)),
        ("/counts", router) => reply::json(router.metrics_json(state.max_descriptors)),
        (_, Router::SinglePool(_)) => reply::text(
            StatusCode::NOT_FOUND,
            "no routes: the daemon serves the one pool of its settings",
        ),
        ("/config/status", Router::Routed(pools)) => reply::json(pools.status().to_string()),
        ("/config/nodes", Router::Routed(pools)) => report_nodes(pools),
        ("/config/expect", Router::Routed(pools)) => verify(pools).await,
        ("/config/undo", Router::Routed(pools)) => roll_back(pools),
        (_, Router::Routed(pools)) => propose(pools, request).await,
    }
}

fn report_nodes(pools: &RoutedPools) -> Reply {
    match serde_json::to_string(&pools.known_nodes()) {
        Ok(nodes) => reply::json(nodes),
        Err(error) => reply::text(StatusCode::INTERNAL_SERVER_ERROR, error.to_string()),
    }
}

async fn verify(pools: &Rc<RoutedPools>) -> Reply {
    match pools.verify_current().await {
        Ok(Some(report)) => {
            let holds = report.holds();
            let (file, verdicts) = (report.file, report.verdicts);
            let document = serde_json::json!({"file": file, "holds": holds, "verdicts": verdicts});
            reply::json(document.to_string())
        }
        Ok(None) => reply::text(
            StatusCode::NOT_FOUND,
            "nothing is expected: the file names no `expectations`",
        ),
        Err(error) => reply::text(StatusCode::UNPROCESSABLE_ENTITY, error.to_string()),
    }
}

fn roll_back(pools: &Rc<RoutedPools>) -> Reply {
    let reports = pools.handle(Event::RollBack {
        reason: "asked for".into(),
    });
    describe(&reports)
}

async fn propose(pools: &Rc<RoutedPools>, request: Request<Incoming>) -> Reply {
    let required_within_ms = match required_within_ms(request.uri().query()) {
        Ok(required_within_ms) => required_within_ms,
        Err(error) => return reply::text(StatusCode::BAD_REQUEST, error.to_string()),
    };
    let text = match read_text(request.into_body()).await {
        Ok(text) => text,
        Err(error) => return reply::text(StatusCode::PAYLOAD_TOO_LARGE, error.to_string()),
    };
    match pools.propose("apply", &text, required_within_ms).await {
        Ok(reports) => describe(&reports),
        Err(error) => reply::text(StatusCode::UNPROCESSABLE_ENTITY, error.to_string()),
    }
}

fn required_within_ms(query: Option<&str>) -> Result<Option<u64>, ProposalInputError> {
    let Some(query) = query else {
        return Ok(None);
    };
    let number = query.strip_prefix(REQUIRED_WITHIN_QUERY);
    let number = number.and_then(|number| number.parse().ok());
    number.map(Some).ok_or(ProposalInputError::Query)
}

async fn read_text(body: Incoming) -> Result<String, ProposalInputError> {
    let body = Limited::new(body, MAX_CONFIGURATION_BYTES).collect().await;
    let bytes = body.map_err(|_| ProposalInputError::Body)?.to_bytes();
    String::from_utf8(bytes.to_vec()).map_err(|_| ProposalInputError::Body)
}

/// Reports the result of a change, with status 409 if it was rejected.
fn describe(reports: &[TransactionReport]) -> Reply {
    let is_rejected = reports.iter().any(TransactionReport::is_rejection);
    let status = if is_rejected {
        StatusCode::CONFLICT
    } else {
        StatusCode::OK
    };
    let lines: Vec<String> = reports.iter().map(ToString::to_string).collect();
    reply::text(status, lines.join("\n"))
}
