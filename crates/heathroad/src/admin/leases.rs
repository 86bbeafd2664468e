//! Lease reports and resignation under `/duty/`.

use super::reply::{self, Reply};
use super::server::AdminState;
use crate::lease::LeaseService;
use hyper::body::Incoming;
use hyper::{Request, StatusCode};

/// The prefix of the paths handled here.
pub(super) const PATH_PREFIX: &str = "/duty/";

pub(super) async fn handle(state: &AdminState, request: &Request<Incoming>) -> Reply {
    let Some(leases) = &state.leases else {
        let reason = "no duties: the daemon's file names no fleet whose file has `[duties]`";
        return reply::text(StatusCode::NOT_FOUND, reason);
    };
    let allowed = match request.uri().path() {
        "/duty/list" | "/duty/history" => "GET",
        "/duty/resign" => "POST",
        _ => return reply::not_found(),
    };
    if request.method().as_str() != allowed {
        return reply::method_not_allowed(allowed);
    }
    match request.uri().path() {
        "/duty/list" => reply::json(leases.status_json().await.to_string()),
        "/duty/history" => reply::json(leases.history_json().await.to_string()),
        _ => resign(leases, request.uri().query().unwrap_or_default()),
    }
}

/// Resigns the lease named in the query.
fn resign(leases: &LeaseService, query: &str) -> Reply {
    let name = query.strip_prefix("name=").unwrap_or_default();
    let (status, text) = match leases.resign(name) {
        Some(true) => (StatusCode::OK, format!("{name} is let go of")),
        Some(false) => (
            StatusCode::OK,
            format!("{name} is not held here; it is not sought here for ten leases"),
        ),
        None => (
            StatusCode::NOT_FOUND,
            format!("{name:?}: no duty has that name"),
        ),
    };
    reply::text(status, text)
}
