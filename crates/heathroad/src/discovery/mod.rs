//! Discovery: follows the endpoint list of a registry and its changes.

mod client;
pub mod endpoint_list;
#[cfg(test)]
mod tests;
mod timing;

use crate::runtime_accounting::sleep;
use client::{Query, fetch_hedged};
use endpoint_list::{EndpointList, Instance};
use heathroad_balancer::api::UpdateKind;
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;
use timing::WatchTiming;
use tokio::sync::watch;
use tokio::time::Instant;

/// The pause after an empty response that came at once. Discovery keeps a watch for 200 ms.
const EMPTY_RESPONSE_PAUSE: Duration = Duration::from_millis(100);

/// An event of an endpoint list.
pub enum DiscoveryEvent {
    /// The whole list, or a change of it.
    Update(EndpointUpdate),
    /// A poll on demand failed.
    PollFailed,
}

/// A whole endpoint list, or a change of it.
pub struct EndpointUpdate {
    /// Whether this is the whole list.
    pub kind: UpdateKind,
    /// The instances of the list.
    pub instances: Vec<Instance>,
    /// The version of the list.
    pub version: u64,
}

impl fmt::Display for EndpointUpdate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (kind, count, version) = (self.kind, self.instances.len(), self.version);
        write!(f, "{kind:?} of {count} instances, version {version}")
    }
}

/// Follows an endpoint list forever and passes its events on.
///
/// If `on_demand`, the list is polled only while `wanted` says so, and failures are passed on.
/// Otherwise it is watched all the time, and late by less than `drain_grace`.
pub async fn follow(
    on_event: impl Fn(DiscoveryEvent),
    address: SocketAddr,
    on_demand: bool,
    drain_grace: Duration,
    mut wanted: watch::Receiver<bool>,
) {
    let timing = if on_demand {
        WatchTiming::ON_DEMAND
    } else {
        WatchTiming::pushed(drain_grace)
    };
    let mut follower = Follower::new(address, on_demand, timing);
    loop {
        if on_demand && !*wanted.borrow_and_update() {
            if wanted.changed().await.is_err() {
                return;
            }
            continue;
        }
        follower.poll(&on_event).await;
    }
}

/// The state of following one list.
struct Follower {
    address: SocketAddr,
    on_demand: bool,
    timing: WatchTiming,
    connection: Option<client::Connection>,
    /// The version that was last passed on. `None` requests the whole list.
    version: Option<u64>,
    backoff: Duration,
    is_failing: bool,
}

impl Follower {
    fn new(address: SocketAddr, on_demand: bool, timing: WatchTiming) -> Self {
        Follower {
            address,
            on_demand,
            timing,
            connection: None,
            version: None,
            backoff: timing.min_backoff,
            is_failing: false,
        }
    }

    /// Sends one request, and passes its result on.
    async fn poll(&mut self, on_event: &impl Fn(DiscoveryEvent)) {
        let sent = Instant::now();
        let query = self.next_query();
        let response = fetch_hedged(&mut self.connection, self.address, query, &self.timing).await;
        match response {
            Ok(list) if self.is_stale(&list) => {
                self.version = None;
                sleep(EMPTY_RESPONSE_PAUSE).await;
            }
            Ok(list) => self.handle_list(list, sent, on_event).await,
            Err(error) => {
                if !std::mem::replace(&mut self.is_failing, true) {
                    tracing::warn!("discovery: {error}");
                }
                if self.on_demand {
                    // The balancer decides when to poll again.
                    on_event(DiscoveryEvent::PollFailed);
                }
                sleep(self.backoff).await;
                self.backoff = (self.backoff * 2).min(self.timing.max_backoff);
            }
        }
    }

    fn next_query(&self) -> Query {
        let Some(version) = self.version else {
            return Query::List;
        };
        // A request that waits since before an outage would miss the changes at its end.
        let wait = if self.is_failing && !self.on_demand {
            Duration::ZERO
        } else {
            self.timing.long_poll
        };
        Query::Watch { version, wait }
    }

    /// Whether a change is older than the version that was passed on. It would bring a draining
    /// backend back.
    ///
    /// A whole list is never stale: discovery may have restarted with lower versions. After a stale
    /// change the whole list is therefore requested.
    fn is_stale(&self, list: &EndpointList) -> bool {
        !list.is_complete && self.version.is_some_and(|version| list.version < version)
    }

    async fn handle_list(
        &mut self,
        list: EndpointList,
        sent: Instant,
        on_event: &impl Fn(DiscoveryEvent),
    ) {
        let version = list.version;
        self.version = Some(version);
        self.backoff = self.timing.min_backoff;
        self.is_failing = false;
        if list.is_complete || !list.entries.is_empty() {
            let kind = if list.is_complete {
                UpdateKind::Snapshot
            } else {
                UpdateKind::Delta
            };
            on_event(DiscoveryEvent::Update(EndpointUpdate {
                kind,
                instances: list.into_instances(),
                version,
            }));
        } else if sent.elapsed() < EMPTY_RESPONSE_PAUSE {
            sleep(EMPTY_RESPONSE_PAUSE).await;
        }
    }
}
