//! Tracks the version that this proxy runs, and records its activity under each version.

use super::version_fence::{Requirement, VersionFence};
use heathroad_membership::Incarnation;
use heathroad_membership::activity_record::{
    Activity, ActivityRecord, Epoch, FaultInterval, FaultKind, RecordSnapshot, RejectedVersion,
    UnixMillis,
};
use heathroad_membership::version::{Digest, EndpointSource, Version};
use heathroad_membership::wire::SUPPORTED_PROTOCOLS;
use hyper::header::HeaderValue;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::sync::Notify;
use tokio::time::Instant;

/// Records the activity of one request, under the version to which the request was bound.
#[derive(Clone)]
pub struct RequestActivity {
    log: Rc<ActivityLog>,
    epoch: Rc<Epoch>,
}

impl RequestActivity {
    /// Records an activity for the request.
    pub fn record(&self, activity: Activity) {
        self.epoch.record(activity, self.log.now());
    }

    /// Returns whether an attempt may be sent for the request: the version fence forbids attempts
    /// under outdated routes.
    pub fn permits_attempt(&self) -> bool {
        let fence = &self.log.fence;
        fence.permits(self.epoch.generation(), self.epoch.routes())
    }

    /// Returns the header that sends the version to backends, if that is enabled.
    pub fn version_header(&self) -> Option<HeaderValue> {
        if !self.log.sends_version_header {
            return None;
        }
        HeaderValue::try_from(self.epoch.digest().to_string()).ok()
    }
}

/// A generation of routes that was committed at this proxy and is proposed to the cluster.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CommittedGeneration {
    /// The generation number.
    pub generation: u64,
    /// The digest of the routes' text.
    pub digest: Digest,
    /// The time within which all members must apply it, in milliseconds.
    pub required_within_ms: Option<u64>,
}

/// The routes that are currently applied.
struct ActiveRoutes {
    generation: u64,
    digest: Digest,
    text: Rc<str>,
}

impl ActiveRoutes {
    fn new(generation: u64, text: &str) -> ActiveRoutes {
        ActiveRoutes {
            generation,
            digest: Digest::of(text.as_bytes()),
            text: text.into(),
        }
    }
}

/// Tracks the version that this proxy runs, and records its activity under each version.
pub struct ActivityLog {
    version: RefCell<Version>,
    version_changed: Notify,
    record: RefCell<ActivityRecord>,
    epoch: RefCell<Rc<Epoch>>,
    sends_version_header: bool,
    /// Unix time at the start of the process. Later times add the monotonic clock to it.
    started_at: UnixMillis,
    started: Instant,
    routes: RefCell<ActiveRoutes>,
    committed: Cell<Option<CommittedGeneration>>,
    highest_known_generation: Cell<u64>,
    fence: VersionFence,
    was_fenced: Cell<bool>,
}

impl ActivityLog {
    /// Creates a log with a version that has no routes or endpoint lists yet. It continues the
    /// record of the previous process, if there is one.
    pub fn new(
        settings_digest: Digest,
        previous_record: Option<RecordSnapshot>,
        sends_version_header: bool,
        fence_unsure_after: Option<Duration>,
    ) -> Rc<ActivityLog> {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
        let started_at = as_millis(since_epoch.unwrap_or_default());
        let version = Version {
            build: env!("CARGO_PKG_VERSION").to_string(),
            protocols: SUPPORTED_PROTOCOLS,
            settings: settings_digest,
            ..Version::default()
        };
        let mut record = ActivityRecord::new(started_at, started_at, previous_record);
        let epoch = record.begin_interval(started_at, version.clone());
        Rc::new(ActivityLog {
            version: RefCell::new(version),
            version_changed: Notify::new(),
            record: RefCell::new(record),
            epoch: RefCell::new(epoch),
            sends_version_header,
            started_at,
            started: Instant::now(),
            routes: RefCell::new(ActiveRoutes {
                generation: 0,
                digest: Digest::default(),
                text: "".into(),
            }),
            committed: Cell::default(),
            highest_known_generation: Cell::default(),
            fence: VersionFence::new(fence_unsure_after),
            was_fenced: Cell::default(),
        })
    }

    /// Returns the incarnation of this process: the Unix time at its start, in milliseconds.
    pub fn incarnation(&self) -> Incarnation {
        self.started_at
    }

    /// Returns the Unix time in milliseconds, by a clock that never goes back.
    pub fn now(&self) -> UnixMillis {
        self.started_at + as_millis(self.started.elapsed())
    }

    /// Returns the current version.
    pub fn version(&self) -> Version {
        self.version.borrow().clone()
    }

    /// Waits until the version changes or a generation is committed.
    pub async fn changed(&self) {
        self.version_changed.notified().await;
    }

    /// Binds a request to the current version.
    pub fn begin_request(self: &Rc<Self>) -> RequestActivity {
        RequestActivity {
            log: self.clone(),
            epoch: self.epoch.borrow().clone(),
        }
    }

    /// Sets the routes that are applied, with their generation.
    pub fn set_routes(&self, generation: u64, text: &str) {
        let routes = ActiveRoutes::new(generation, text);
        let digest = routes.digest;
        self.routes.replace(routes);
        self.change_version(|version| {
            version.generation = generation;
            version.routes = digest;
        });
    }

    /// Announces a committed generation, to be proposed to the cluster.
    pub fn announce_commit(&self, generation: u64, text: &str, required_within_ms: Option<u64>) {
        self.committed.set(Some(CommittedGeneration {
            generation,
            digest: Digest::of(text.as_bytes()),
            required_within_ms,
        }));
        self.version_changed.notify_waiters();
    }

    /// Returns the latest generation that was committed since the last call.
    pub(super) fn take_committed(&self) -> Option<CommittedGeneration> {
        self.committed.take()
    }

    /// Returns the highest generation that is known in the cluster.
    pub fn highest_known_generation(&self) -> u64 {
        self.highest_known_generation.get()
    }

    pub(super) fn set_highest_known_generation(&self, generation: u64) {
        self.highest_known_generation.set(generation);
    }

    pub(super) fn set_requirements(&self, requirements: Vec<Requirement>) {
        self.fence.set_requirements(requirements);
    }

    /// Sets until when the requirements are known to be complete.
    pub(super) fn set_confirmed_until(&self, until: Option<Instant>) {
        self.fence.set_confirmed_until(until);
    }

    /// Returns the shortest time within which a generation can be required, in milliseconds. It is
    /// the time after which unconfirmed proxies fence themselves, or 0 if they do not.
    pub fn min_required_within_ms(&self) -> u64 {
        self.fence.fence_unsure_after().map_or(0, as_millis)
    }

    /// Returns whether this proxy is fenced, so that it accepts no requests. Each transition is
    /// recorded and logged.
    pub fn is_fenced(&self) -> bool {
        let (generation, digest) = {
            let routes = self.routes.borrow();
            (routes.generation, routes.digest)
        };
        let is_fenced = !self.fence.permits(generation, digest);
        if self.was_fenced.replace(is_fenced) != is_fenced {
            self.record_fence(is_fenced);
        }
        is_fenced
    }

    fn record_fence(&self, is_fenced: bool) {
        if is_fenced {
            self.begin_fault(FaultKind::Fenced);
            tracing::warn!(fenced = true, "fleet: fenced: requests are rejected");
        } else {
            self.end_fault(FaultKind::Fenced);
            tracing::warn!(fenced = false, "fleet: no longer fenced");
        }
    }

    /// Records that a generation of routes was rejected.
    pub fn record_rejection(&self, generation: u64, routes: Digest, reason: String) {
        self.record.borrow_mut().record_rejection(RejectedVersion {
            at: self.now(),
            generation,
            routes,
            reason,
        });
    }

    /// Returns whether routes with this digest were rejected before.
    pub fn was_rejected(&self, routes: Digest) -> bool {
        self.record.borrow().rejection_of(routes).is_some()
    }

    /// Returns the text of the current routes, if they have this digest.
    pub fn routes(&self, digest: Digest) -> Option<Rc<str>> {
        let routes = self.routes.borrow();
        let matches = routes.digest == digest && digest != Digest::default();
        matches.then(|| routes.text.clone())
    }

    /// Records an activity under the current version.
    pub fn record(&self, activity: Activity) {
        self.epoch.borrow().record(activity, self.now());
    }

    /// Records the sequence number of a source's endpoint list in the version.
    pub fn endpoint_list_received(&self, source: SocketAddr, sequence: u64) {
        let address_digest = Digest::of(source.to_string().as_bytes());
        self.change_version(|version| {
            let mut sources = version.sources.iter_mut();
            match sources.find(|known| known.address_digest == address_digest) {
                Some(known) => known.sequence = sequence,
                None => {
                    version.sources.push(EndpointSource {
                        address_digest,
                        sequence,
                    });
                    version.sources.sort_by_key(|known| known.address_digest);
                }
            }
        });
    }

    /// Removes an endpoint source from the version.
    pub fn endpoint_source_removed(&self, source: SocketAddr) {
        let address_digest = Digest::of(source.to_string().as_bytes());
        self.change_version(|version| {
            version
                .sources
                .retain(|known| known.address_digest != address_digest);
        });
    }

    fn change_version(&self, change: impl FnOnce(&mut Version)) {
        let mut version = self.version.borrow_mut();
        change(&mut version);
        let version = version.clone().bounded();
        let mut record = self.record.borrow_mut();
        self.epoch
            .replace(record.begin_interval(self.now(), version));
        self.version_changed.notify_waiters();
    }

    /// Records the start of a fault.
    pub(super) fn begin_fault(&self, kind: FaultKind) {
        self.record.borrow_mut().record_fault(FaultInterval {
            kind,
            from: self.now(),
            to: None,
        });
    }

    /// Records the end of a fault.
    pub(super) fn end_fault(&self, kind: FaultKind) {
        self.record.borrow_mut().end_fault(kind, self.now());
    }

    /// Records that this proxy was stalled until now.
    pub(super) fn record_stall(&self, duration_ms: u64) {
        let now = self.now();
        self.record.borrow_mut().record_fault(FaultInterval {
            kind: FaultKind::Stalled,
            from: now.saturating_sub(duration_ms),
            to: Some(now),
        });
    }

    /// Returns a snapshot of the record.
    pub fn snapshot(&self) -> RecordSnapshot {
        self.record.borrow().snapshot(self.now())
    }

    /// Closes the record when this proxy shuts down.
    pub(super) fn close(&self) {
        self.record.borrow_mut().close(self.now());
    }
}

fn as_millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
