//! Graceful shutdown: accepted requests get a response, leases are resigned, and the process exits
//! before it is killed.

use super::cluster::Cluster;
use super::error::DaemonError;
use super::frontends::Frontends;
use crate::frontend::connections::FIRST_REQUEST_GRACE;
use crate::router::Router;
use crate::runtime_accounting::{sleep, timeout};
use crate::stall_detector;
use heathroad_routing::transaction::Event;
use std::io::Write;
use std::time::Duration;
use tokio::time::Instant;

/// The time after SIGTERM during which new connections are accepted.
const ACCEPT_TIME: Duration = Duration::from_millis(500);
/// The time after SIGTERM by which every request has a response. SIGKILL may follow soon after.
const RESPONSE_TIME: Duration = Duration::from_millis(3300);
/// The longest request deadline that the time of SIGKILL takes into account.
const MAX_DEADLINE: Duration = Duration::from_millis(3000);
/// SIGKILL comes no sooner than `MAX_DEADLINE` plus this margin after SIGTERM, so a request
/// accepted within the margin is answered by its own deadline.
const KILL_MARGIN: Duration = Duration::from_millis(700);
const _: () =
    assert!(ACCEPT_TIME.as_millis() + FIRST_REQUEST_GRACE.as_millis() < KILL_MARGIN.as_millis());
const _: () =
    assert!(RESPONSE_TIME.as_millis() < MAX_DEADLINE.as_millis() + KILL_MARGIN.as_millis());

/// Shuts the daemon down.
pub(super) async fn shut_down(
    router: &Router,
    cluster: Cluster,
    frontends: Frontends,
    max_descriptors: usize,
) -> Result<(), DaemonError> {
    end_requests(router);
    tokio::join!(sleep(ACCEPT_TIME), resign_leases(&cluster));
    tracing::debug!("stop: no new connections");
    frontends.stop_accepting();
    // All responses are sent by then; a client that does not read its response must not delay the
    // exit.
    let ended = timeout(RESPONSE_TIME, frontends.join()).await;
    tracing::debug!(in_time = ended.is_ok(), "stop: connections ended");
    if let Some(membership) = cluster.membership {
        membership.leave();
    }
    // A closed standard output must not fail the shutdown.
    let _ = writeln!(
        std::io::stdout(),
        "{}",
        router.metrics_json(max_descriptors)
    );
    match ended {
        Ok(served) => served.map_err(DaemonError::Frontend),
        Err(_) => Ok(()),
    }
}

/// Stops the route transaction in progress and limits open requests to the response time.
fn end_requests(router: &Router) {
    let engines = router.engines();
    let open: usize = engines.iter().map(|engine| engine.pending_requests()).sum();
    tracing::info!("stopping, {open} requests open");
    if let Router::Routed(pools) = router {
        pools.handle(Event::Shutdown);
    }
    // The signal may have arrived while the process was stalled.
    let requested_at = stall_detector::earliest_arrival(Instant::now());
    for engine in engines {
        engine.end_requests_at(requested_at + RESPONSE_TIME);
    }
}

/// Resigns the leases held here. The time limit keeps slow writes from delaying responses to
/// clients.
async fn resign_leases(cluster: &Cluster) {
    if let Some(leases) = &cluster.leases {
        // Cutting a write short is safe: the voters have granted the leases.
        let _ = timeout(ACCEPT_TIME, leases.shut_down()).await;
    }
}
