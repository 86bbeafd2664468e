//! Brings a proxy with stale routes up to date with its cluster.
//!
//! The proxy fetches the text of the desired version from a member that has it in force, and
//! proposes it with the same checks, expectations, staging and probation as an operator's change. A
//! text that it rejects is recorded with the reason, and not tried again.

use super::proposal::is_staged;
use super::routed_pools::RoutedPools;
use crate::membership::MembershipService;
use crate::runtime_accounting::{sleep, timeout};
use heathroad_membership::desired_version::{Desired, DesiredVersion};
use heathroad_membership::version::Digest;
use std::rc::{Rc, Weak};
use std::time::Duration;

/// The shortest pause before a text is fetched, and between two attempts.
const MIN_FETCH_PAUSE: Duration = Duration::from_millis(100);
/// The longest such pause. Pauses are random, so that members don't all fetch at once.
const MAX_FETCH_PAUSE: Duration = Duration::from_millis(1500);
/// The interval at which an open transaction is polled for its end.
const TRANSACTION_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// The interval at which the desired version is checked even if no change of it is notified.
const RECHECK_INTERVAL: Duration = Duration::from_secs(5);

/// Updates the routes of this proxy whenever they are stale, until the pools are dropped.
pub async fn keep_up_to_date(pools: Weak<RoutedPools>, peers: Rc<MembershipService>, seed: u64) {
    let mut desired = peers.watch_desired();
    let mut rng = fastrand::Rng::with_seed(seed);
    loop {
        // Only the timeout can fail: `peers` owns the sender, and this task keeps it alive.
        let _ = timeout(RECHECK_INTERVAL, desired.changed()).await;
        loop {
            sleep(random_pause(&mut rng)).await;
            let Some(pools) = pools.upgrade() else { return };
            let newer = newer_version(&pools, &peers, *desired.borrow_and_update());
            let Some(newer) = newer else { break };
            if pools.transactions.borrow().open_transaction().is_some() {
                continue;
            }
            if let Some(text) = peers.fetch_routes(newer.digest).await {
                update(&pools, &peers, newer, &text).await;
            }
        }
    }
}

fn random_pause(rng: &mut fastrand::Rng) -> Duration {
    MIN_FETCH_PAUSE + (MAX_FETCH_PAUSE - MIN_FETCH_PAUSE).mul_f64(rng.f64())
}

/// Returns the version that the cluster desires, if it is newer than the one in force and this
/// proxy has not rejected it.
fn newer_version(
    pools: &RoutedPools,
    peers: &MembershipService,
    desired: Desired,
) -> Option<DesiredVersion> {
    let Desired::Version(version) = desired else {
        return None;
    };
    let current = pools.current_generation();
    let is_same = Digest::of(current.text.as_bytes()) == version.digest;
    let is_newer = version.generation > current.number && !is_same;
    (is_newer && !peers.activity_log().was_rejected(version.digest)).then_some(version)
}

/// Proposes the text of a version, and records why if it is rejected, aborted or rolled back.
async fn update(
    pools: &Rc<RoutedPools>,
    peers: &MembershipService,
    version: DesiredVersion,
    text: &str,
) {
    let reject = |reason: String| {
        peers
            .activity_log()
            .record_rejection(version.generation, version.digest, reason);
    };
    let file = format!("generation {} of the fleet", version.generation);
    let proposed = pools
        .propose_numbered(&file, text, version.generation)
        .await;
    let reports = match proposed {
        Ok(reports) => reports,
        Err(error) => {
            pools.add_message(format!("{file} is rejected: {error}"));
            return reject(error.to_string());
        }
    };
    if !is_staged(&reports) {
        // Another transaction is open, or too many older generations are in use. Neither says
        // anything of this text, so it is tried again later.
        return;
    }
    while pools.transactions.borrow().open_transaction().is_some() {
        sleep(TRANSACTION_POLL_INTERVAL).await;
    }
    let current = pools.current_generation();
    if Digest::of(current.text.as_bytes()) != version.digest {
        let last_message = pools.messages.borrow().back().cloned();
        let reports = || reports.iter().map(ToString::to_string).collect();
        reject(last_message.unwrap_or_else(reports));
    }
}
