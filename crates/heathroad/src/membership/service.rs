//! The membership service: drives the protocol with a socket and a clock, and connects it to the
//! rest of the daemon.

use super::activity_log::{ActivityLog, CommittedGeneration};
use super::event_log::EventLog;
use super::pending_fetches::{FetchedResource, PendingFetches};
use super::record_file;
use super::version_fence::Requirement;
use crate::configuration::membership::Settings;
use crate::runtime_accounting::{sleep, sleep_until, spawn_local, timeout};
use heathroad_membership::activity_record::FaultKind;
use heathroad_membership::desired_version::Desired;
use heathroad_membership::protocol::fetch::FetchError;
use heathroad_membership::protocol::piggyback::PiggybackMessage;
use heathroad_membership::protocol::{self, Event, Membership, ResourceRequest};
use heathroad_membership::version::Digest;
use heathroad_membership::wire::{MAX_DATAGRAM_BYTES, Resource};
use heathroad_membership::{MemberId, Millis};
use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;
use thiserror::Error;
use tokio::net::UdpSocket;
use tokio::sync::{Notify, watch};
use tokio::time::Instant;

/// The timeout for fetching routes from a member.
const ROUTES_TIMEOUT: Duration = Duration::from_secs(30);
/// The most datagrams that are read at a time, so that other tasks are not delayed.
const MAX_DATAGRAMS_PER_TURN: usize = 64;
/// The longest time between two ticks of the protocol.
const MAX_TICK_INTERVAL: Duration = Duration::from_secs(60);
/// A proxy with a fence timeout requests this many confirmations per timeout.
const CONFIRMATIONS_PER_TIMEOUT: u32 = 6;
/// The delay before a fetch is retried while too many are in progress.
const FETCH_RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// Serves resources of other parts of the daemon.
type ResourceProvider = Box<dyn Fn(Resource, Digest) -> Option<Vec<u8>>>;

/// Why the service cannot start.
#[derive(Debug, Error)]
#[non_exhaustive]
pub enum StartError {
    /// The membership socket cannot be opened.
    #[error("fleet: {address}: {source}")]
    Bind {
        /// The address.
        address: SocketAddr,
        /// The cause.
        source: io::Error,
    },
    /// The list of addresses is too long.
    #[error("fleet: more than {} peers", u16::MAX)]
    TooManyMembers,
}

/// The membership of this proxy in its cluster.
pub struct MembershipService {
    pub(super) cluster_name: String,
    pub(super) membership: RefCell<Membership>,
    socket: UdpSocket,
    pub(super) addresses: Vec<SocketAddr>,
    pub(super) activity_log: Rc<ActivityLog>,
    started: Instant,
    work_added: Notify,
    pending_fetches: PendingFetches,
    pub(super) events: EventLog,
    state_folder: Option<PathBuf>,
    fence_unsure_after: Option<Duration>,
    desired: watch::Sender<Desired>,
    messages_arrived: Notify,
    resource_provider: RefCell<Option<ResourceProvider>>,
}

impl MembershipService {
    /// Opens the socket and joins the cluster. The activity record is kept in the state folder, if
    /// there is one.
    pub async fn begin(
        settings: Settings,
        seed: u64,
        activity_log: Rc<ActivityLog>,
        state_folder: Option<PathBuf>,
    ) -> Result<Rc<MembershipService>, StartError> {
        let address = settings.listen;
        let socket = UdpSocket::bind(address)
            .await
            .map_err(|source| StartError::Bind { address, source })?;
        let fleet_size =
            u16::try_from(settings.addresses.len()).map_err(|_| StartError::TooManyMembers)?;
        let started = Instant::now();
        let protocol_settings = protocol::Settings {
            authenticator: settings.authenticator,
            id: settings.id,
            fleet_size,
            incarnation: activity_log.incarnation(),
            seed,
            config: settings.protocol,
        };
        let mut membership = Membership::new(0, protocol_settings);
        membership.set_active_version(activity_log.version());
        let service = Rc::new(MembershipService {
            cluster_name: settings.fleet_name,
            membership: RefCell::new(membership),
            socket,
            addresses: settings.addresses,
            activity_log,
            started,
            work_added: Notify::new(),
            pending_fetches: PendingFetches::default(),
            events: EventLog::default(),
            state_folder,
            fence_unsure_after: settings.fence_unsure_after,
            desired: watch::Sender::new(Desired::Unset),
            messages_arrived: Notify::new(),
            resource_provider: RefCell::default(),
        });
        spawn_local(service.clone().run());
        if let Some(folder) = service.state_folder.clone() {
            let log = service.activity_log.clone();
            spawn_local(record_file::run_writer(folder, log));
        }
        Ok(service)
    }

    /// Returns the id of this proxy.
    pub fn member_id(&self) -> MemberId {
        self.membership.borrow().id()
    }

    /// Returns the instant at which this proxy's monotonic clock was 0.
    pub fn started(&self) -> Instant {
        self.started
    }

    /// Returns the time of this proxy's monotonic clock, in milliseconds.
    pub fn now(&self) -> Millis {
        u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    async fn run(self: Rc<Self>) {
        loop {
            tokio::select! {
                biased;
                _ = self.socket.readable() => self.receive_datagrams(),
                () = self.activity_log.changed() => {}
                () = self.work_added.notified() => {}
                () = sleep_until(self.next_tick()) => {
                    // Reads datagrams that have arrived before the protocol evaluates its timeouts.
                    self.receive_datagrams();
                    let now = self.now();
                    self.membership.borrow_mut().tick(now);
                }
            }
            self.exchange_versions();
            self.process_outputs();
        }
    }

    fn next_tick(&self) -> Instant {
        let due = self.to_instant(self.membership.borrow().due());
        // Confirmations are renewed more often than the protocol is due.
        let interval = self
            .fence_unsure_after
            .map_or(MAX_TICK_INTERVAL, |fence_timeout| {
                fence_timeout / CONFIRMATIONS_PER_TIMEOUT
            });
        due.min(Instant::now() + interval)
    }

    fn to_instant(&self, at: Millis) -> Instant {
        self.started + Duration::from_millis(at)
    }

    /// Passes the running version to the protocol, and the required versions to the activity log.
    fn exchange_versions(&self) {
        let now = self.now();
        let mut membership = self.membership.borrow_mut();
        membership.set_active_version(self.activity_log.version());
        if let Some(CommittedGeneration {
            generation,
            digest,
            required_within_ms,
        }) = self.activity_log.take_committed()
        {
            membership.propose_version(now, generation, digest, required_within_ms);
        }
        let desired = membership.desired();
        self.activity_log
            .set_highest_known_generation(membership.highest_generation());
        let requirements = membership.required().as_slice().iter();
        let requirements = requirements.map(|version| Requirement {
            version: *version,
            deadline: self.to_instant(version.deadline),
        });
        self.activity_log.set_requirements(requirements.collect());
        if let Some(fence_timeout) = self.fence_unsure_after {
            self.renew_confirmation(now, fence_timeout, &mut membership);
        }
        drop(membership);
        self.desired
            .send_if_modified(|known| std::mem::replace(known, desired) != desired);
        // Records transitions of the fence even while there are no requests.
        self.activity_log.is_fenced();
    }

    /// Requests a confirmation if the last one is old, and tells the fence when that expires.
    fn renew_confirmation(
        &self,
        now: Millis,
        fence_timeout: Duration,
        membership: &mut Membership,
    ) {
        let age = now.saturating_sub(membership.last_confirmed().unwrap_or(0));
        let interval = (fence_timeout / CONFIRMATIONS_PER_TIMEOUT).as_millis();
        if age >= u64::try_from(interval).unwrap_or(u64::MAX) {
            membership.request_confirmation(now);
        }
        let confirmed = membership.last_confirmed();
        let confirmed = confirmed.filter(|_| membership.sees_majority());
        self.activity_log
            .set_confirmed_until(confirmed.map(|at| self.to_instant(at) + fence_timeout));
    }

    fn receive_datagrams(&self) {
        // One byte more than the limit, so that longer datagrams are detected.
        let mut buffer = [0; MAX_DATAGRAM_BYTES + 1];
        for _ in 0..MAX_DATAGRAMS_PER_TURN {
            match self.socket.try_recv_from(&mut buffer) {
                Ok((length, _)) => {
                    let now = self.now();
                    self.membership.borrow_mut().receive(now, &buffer[..length]);
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => break,
                // The error of an earlier send to a closed port; there may be more datagrams.
                Err(_) => {}
            }
        }
        if self.membership.borrow().has_messages() {
            self.messages_arrived.notify_one();
        }
    }

    /// Waits for messages of other protocols.
    pub async fn messages_received(&self) {
        self.messages_arrived.notified().await;
    }

    /// Returns the messages of other protocols that were received since the last call.
    pub fn take_messages(&self) -> Vec<PiggybackMessage> {
        self.membership.borrow_mut().messages().collect()
    }

    /// Sends a message of another protocol to a member.
    pub fn send_message(&self, to: MemberId, bytes: Vec<u8>) {
        let now = self.now();
        self.membership.borrow_mut().send_message(now, to, bytes);
        self.send_datagrams();
    }

    /// Returns the present members, with or without this proxy.
    pub fn present_members(&self, include_self: bool) -> Vec<MemberId> {
        let membership = self.membership.borrow();
        let own = membership.id();
        let present = membership.members().present();
        present.filter(|id| include_self || *id != own).collect()
    }

    /// Sets the provider of resources that belong to other parts of the daemon.
    pub fn serve_resources(&self, provider: ResourceProvider) {
        self.resource_provider.replace(Some(provider));
    }

    fn process_outputs(&self) {
        self.answer_resource_requests();
        self.send_datagrams();
        let mut membership = self.membership.borrow_mut();
        for fetch in membership.completed_fetches() {
            self.pending_fetches.complete(fetch);
        }
        for event in membership.events() {
            self.process_event(event);
        }
    }

    fn answer_resource_requests(&self) {
        let mut membership = self.membership.borrow_mut();
        let requests: Vec<ResourceRequest> = membership.resource_requests().collect();
        for request in requests {
            let bytes = self.find_resource(request.resource, request.key);
            let now = self.now();
            membership.serve(now, request, bytes);
        }
    }

    fn find_resource(&self, resource: Resource, key: Digest) -> Option<Vec<u8>> {
        match resource {
            Resource::ActivityRecord => serde_json::to_vec(&self.activity_log.snapshot()).ok(),
            Resource::Routes => {
                let text = self.activity_log.routes(key)?;
                Some(text.as_bytes().to_vec())
            }
            Resource::LeaseHistory | Resource::CollectedRecords => {
                let provider = self.resource_provider.borrow();
                provider.as_ref()?(resource, key)
            }
        }
    }

    fn send_datagrams(&self) {
        for transmit in self.membership.borrow_mut().transmits() {
            if let Some(address) = self.addresses.get(usize::from(transmit.to)) {
                // The protocol tolerates lost datagrams.
                let _ = self.socket.try_send_to(&transmit.bytes, *address);
            }
        }
    }

    fn process_event(&self, event: Event) {
        self.events.record(self.activity_log.now(), event);
        match event {
            Event::Isolated => self.activity_log.begin_fault(FaultKind::Isolated),
            Event::Reconnected => self.activity_log.end_fault(FaultKind::Isolated),
            Event::Stalled { duration } => self.activity_log.record_stall(duration),
            _ => {}
        }
    }

    /// Closes the record and announces to the cluster that this proxy shuts down.
    pub fn leave(&self) {
        self.activity_log.close();
        if let Some(folder) = &self.state_folder
            && let Err(error) = record_file::write(folder, &self.activity_log.snapshot())
        {
            tracing::warn!("fleet: record: {}: {error}", folder.display());
        }
        let now = self.now();
        self.membership.borrow_mut().leave(now);
        self.process_outputs();
    }

    /// Returns a watch on the version that all members should run.
    pub fn watch_desired(&self) -> watch::Receiver<Desired> {
        self.desired.subscribe()
    }

    /// Returns the activity log of this proxy.
    pub fn activity_log(&self) -> &Rc<ActivityLog> {
        &self.activity_log
    }

    /// Fetches the text of routes from a random member that runs them; none if that fails.
    pub async fn fetch_routes(&self, routes: Digest) -> Option<String> {
        let source = self.membership.borrow_mut().choose_routes_source(routes)?;
        let fetched = self.fetch(source, Resource::Routes, routes, ROUTES_TIMEOUT);
        String::from_utf8(fetched.await.ok()?.bytes).ok()
    }

    /// Fetches a resource from a member.
    pub async fn fetch(
        &self,
        from: MemberId,
        resource: Resource,
        key: Digest,
        fetch_timeout: Duration,
    ) -> Result<FetchedResource, FetchError> {
        let (id, requested_at) = self.start_fetch(from, resource, key).await;
        let completed = self.pending_fetches.register(id);
        self.work_added.notify_one();
        let completed = timeout(fetch_timeout, completed).await;
        self.pending_fetches.remove(id);
        let completed = completed.ok().and_then(Result::ok);
        FetchedResource::new(requested_at, completed.ok_or(FetchError::TimedOut)?)
    }

    /// Starts a fetch as soon as the limit on concurrent fetches permits. Returns its id and the
    /// time of the request.
    async fn start_fetch(&self, from: MemberId, resource: Resource, key: Digest) -> (u32, u64) {
        loop {
            let (now, requested_at) = (self.now(), self.activity_log.now());
            let id = self.membership.borrow_mut().fetch(now, from, resource, key);
            match id {
                Some(id) => return (id, requested_at),
                None => sleep(FETCH_RETRY_INTERVAL).await,
            }
        }
    }
}
