//! Cluster reports under `/fleet/`: the members, and the audit of the versions they acted on.

use super::reply::{self, Reply};
use super::server::AdminState;
use crate::membership::audit::{self, AuditQuery};
use hyper::body::Incoming;
use hyper::{Method, Request, StatusCode};

/// The prefix of the paths handled here.
pub(super) const PATH_PREFIX: &str = "/fleet/";

pub(super) async fn handle(state: &AdminState, request: &Request<Incoming>) -> Reply {
    let Some(members) = &state.membership else {
        let reason = "no fleet: the daemon's file names none";
        return reply::text(StatusCode::NOT_FOUND, reason);
    };
    if request.method() != Method::GET {
        return reply::method_not_allowed("GET");
    }
    let report = match request.uri().path() {
        "/fleet/members" => members.members(),
        "/fleet/audit" => match AuditQuery::parse(request.uri().query().unwrap_or_default()) {
            Ok(query) => audit::audit(members.clone(), state.leases.clone(), query).await,
            Err(error) => return reply::text(StatusCode::BAD_REQUEST, error.to_string()),
        },
        _ => return reply::not_found(),
    };
    reply::json(report.to_string())
}
