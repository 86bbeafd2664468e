//! Discovery of backends: follows the endpoint list of a registry.

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

/// The pause after a response without news, so that a registry that doesn't hold watch requests is
/// not polled in a busy loop. Discovery keeps a watch for 200 ms between two requests.
const UNCHANGED_LIST_PAUSE: Duration = Duration::from_millis(100);

/// An event of an endpoint list.
pub enum DiscoveryEvent {
    /// The list, or a change of it, was received.
    Update(EndpointUpdate),
    /// A poll on demand failed.
    PollFailed,
}

/// An endpoint list, or a change of one.
pub struct EndpointUpdate {
    /// Whether this is the whole list or a change.
    pub kind: UpdateKind,
    /// The instances of the list, or those that changed.
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

/// Follows an endpoint list, and passes its updates to `on_event`.
///
/// If `on_demand`, the list is polled only while `watch_requested` is true, and failed polls are
/// passed on too. Otherwise it is watched all the time, and a silent watch is detected within
/// `drain_grace`.
pub async fn follow(
    on_event: impl Fn(DiscoveryEvent),
    address: SocketAddr,
    on_demand: bool,
    drain_grace: Duration,
    mut watch_requested: watch::Receiver<bool>,
) {
    let timing = if on_demand {
        WatchTiming::ON_DEMAND
    } else {
        WatchTiming::for_agent(drain_grace)
    };
    let mut follower = Follower::new(address, on_demand, timing);
    loop {
        if on_demand && !*watch_requested.borrow_and_update() {
            if watch_requested.changed().await.is_err() {
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
    /// The version last passed on, or `None` if the whole list is to be requested.
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

    /// Requests the list or its changes once, and passes the result on.
    async fn poll(&mut self, on_event: &impl Fn(DiscoveryEvent)) {
        let sent = Instant::now();
        let query = self.next_query();
        let response = fetch_hedged(&mut self.connection, self.address, query, &self.timing).await;
        match response {
            Ok(list) if self.is_stale(&list) => {
                self.version = None;
                sleep(UNCHANGED_LIST_PAUSE).await;
            }
            Ok(list) => self.handle_list(list, sent, on_event).await,
            Err(error) => {
                if !std::mem::replace(&mut self.is_failing, true) {
                    tracing::warn!("discovery: {error}");
                }
                if self.on_demand {
                    // The balancer decides whether to poll again.
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
        // After a failure, discovery must not hold the request: one sent during an outage may hang,
        // and the changes at the outage's end would be missed.
        let wait = if self.is_failing && !self.on_demand {
            Duration::ZERO
        } else {
            self.timing.long_poll
        };
        Query::Watch { version, wait }
    }

    /// Returns whether a change is older than the version last passed on. Applying it could make a
    /// draining backend serve again.
    ///
    /// A whole list is never stale, since versions start again when discovery restarts. Therefore
    /// the whole list is requested after a stale change.
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
        } else if sent.elapsed() < UNCHANGED_LIST_PAUSE {
            sleep(UNCHANGED_LIST_PAUSE).await;
        }
    }
}
