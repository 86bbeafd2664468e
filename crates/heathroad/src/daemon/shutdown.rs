//! The planned stop: everything that was accepted gets its response, leases are resigned, and the
//! program ends before it is killed.

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

/// The time after SIGTERM for which new connections are accepted.
const ACCEPT_TIME: Duration = Duration::from_millis(500);
/// The time after SIGTERM by which every request has its response; a kill may follow soon after.
const RESPONSE_TIME: Duration = Duration::from_millis(3300);
/// The longest deadline of a request that counts for the time of a kill.
const MAX_DEADLINE: Duration = Duration::from_millis(3000);
/// No kill comes sooner after SIGTERM than the longest deadline and this time: a request that is
/// accepted in this time is answered by its own deadline.
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
    // Every request has its response by then; a client that does not read it must not keep the
    // program.
    let ended = timeout(RESPONSE_TIME, frontends.join()).await;
    tracing::debug!(in_time = ended.is_ok(), "stop: connections ended");
    if let Some(membership) = cluster.membership {
        membership.leave();
    }
    // The reader of standard output may be gone; that is no reason to fail.
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

/// Ends the transaction under way, and has every open request end in time.
fn end_requests(router: &Router) {
    let engines = router.engines();
    let open: usize = engines.iter().map(|engine| engine.pending_requests()).sum();
    tracing::info!("stopping, {open} requests open");
    if let Router::Routed(pools) = router {
        pools.handle(Event::Shutdown);
    }
    // The signal may have come while the process was stalled.
    let requested_at = stall_detector::earliest_arrival(Instant::now());
    for engine in engines {
        engine.end_requests_at(requested_at + RESPONSE_TIME);
    }
}

/// Resigns the leases that are held here. What that writes takes nothing of the time in which
/// clients get their responses.
async fn resign_leases(cluster: &Cluster) {
    if let Some(leases) = &cluster.leases {
        // A write that is cut off does no harm: the voters have granted the leases.
        let _ = timeout(ACCEPT_TIME, leases.shut_down()).await;
    }
}
