//! Brings a proxy with stale routes up to date with its cluster.
//!
//! The proxy fetches the wanted text from a member that activity_log on it, and proposes it with the same
//! checks, expectations, staging and probation as a change by an operator. A text that it rejects
//! is not tried again, and the reason is announced.

use super::proposal::is_staged;
use super::routed_pools::RoutedPools;
use crate::membership::MembershipService;
use crate::runtime_accounting::{sleep, timeout};
use heathroad_membership::desired_version::{Desired, DesiredVersion};
use heathroad_membership::version::Digest;
use std::rc::{Rc, Weak};
use std::time::Duration;

/// The shortest pause before a wanted text is fetched, and between two attempts.
const MIN_FETCH_PAUSE: Duration = Duration::from_millis(100);
/// The longest such pause. Pauses are random, so that not all members fetch at once.
const MAX_FETCH_PAUSE: Duration = Duration::from_millis(1500);
/// The interval at which a transaction under way is polled.
const TRANSACTION_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// The wanted version is checked again after this time even if no change of it was announced.
const RECHECK_INTERVAL: Duration = Duration::from_secs(5);

/// Brings this proxy up to date whenever its routes are stale, until the pools are gone.
pub async fn keep_up_to_date(pools: Weak<RoutedPools>, peers: Rc<MembershipService>, seed: u64) {
    let mut wanted = peers.watch_desired();
    let mut rng = fastrand::Rng::with_seed(seed);
    loop {
        // The sender belongs to `peers`, which this task keeps alive.
        let _ = timeout(RECHECK_INTERVAL, wanted.changed()).await;
        loop {
            sleep(random_pause(&mut rng)).await;
            let Some(pools) = pools.upgrade() else { return };
            let newer = newer_version(&pools, &peers, *wanted.borrow_and_update());
            let Some(want) = newer else { break };
            if pools.transactions.borrow().open_transaction().is_some() {
                continue;
            }
            if let Some(text) = peers.fetch_routes(want.digest).await {
                update(&pools, &peers, want, &text).await;
            }
        }
    }
}

fn random_pause(rng: &mut fastrand::Rng) -> Duration {
    MIN_FETCH_PAUSE + (MAX_FETCH_PAUSE - MIN_FETCH_PAUSE).mul_f64(rng.f64())
}

/// Returns the version that the cluster wants, if it is newer than the one in force and this proxy
/// has not rejected it.
fn newer_version(
    pools: &RoutedPools,
    peers: &MembershipService,
    wanted: Desired,
) -> Option<DesiredVersion> {
    let Desired::Version(want) = wanted else {
        return None;
    };
    let current = pools.current_generation();
    let is_same = Digest::of(current.text.as_bytes()) == want.digest;
    let is_newer = want.generation > current.number && !is_same;
    (is_newer && !peers.activity_log().was_rejected(want.digest)).then_some(want)
}

async fn update(
    pools: &Rc<RoutedPools>,
    peers: &MembershipService,
    want: DesiredVersion,
    text: &str,
) {
    let reject = |reason: String| {
        peers
            .activity_log()
            .record_rejection(want.generation, want.digest, reason);
    };
    let file = format!("generation {} of the fleet", want.generation);
    let reports = match pools.propose_numbered(&file, text, want.generation).await {
        Ok(reports) => reports,
        Err(error) => {
            pools.add_message(format!("{file} is turned down: {error}"));
            return reject(error.to_string());
        }
    };
    if !is_staged(&reports) {
        // Another transaction or too many older generations are in the way for now.
        return;
    }
    while pools.transactions.borrow().open_transaction().is_some() {
        sleep(TRANSACTION_POLL_INTERVAL).await;
    }
    let current = pools.current_generation();
    if Digest::of(current.text.as_bytes()) != want.digest {
        let last_message = pools.messages.borrow().back().cloned();
        let reports = || reports.iter().map(ToString::to_string).collect();
        reject(last_message.unwrap_or_else(reports));
    }
}
