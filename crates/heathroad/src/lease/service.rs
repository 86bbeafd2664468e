//! The lease service: feeds messages and time to the lease manager and processes its outputs.

use super::audit_collection::AuditCollection;
use super::managed_lease::ManagedLease;
use super::store::{LeaseStore, StoreError};
use super::worker::LeaseHandle;
use super::{audit_collector, http_call};
use crate::configuration::lease::{Settings, WorkSettings};
use crate::membership::MembershipService;
use crate::runtime_accounting::{sleep_until, spawn_local};
use heathroad_lease::candidate::{EndReason, LeaseEvent};
use heathroad_lease::checkpoint::Checkpoint;
use heathroad_lease::lease_manager::{self, LeaseManager, Output, VoterStatus};
use heathroad_lease::message::{Body, OutgoingMessage};
use heathroad_lease::token::Token;
use heathroad_lease::voter_state::VoterState;
use heathroad_lease::{LeaseId, MemberId, Millis};
use heathroad_membership::wire::Resource;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::path::Path;
use std::rc::{Rc, Weak};
use std::time::Duration;
use tokio::sync::{Mutex, Notify, watch};
use tokio::task::spawn_blocking;
use tokio::time::Instant;

/// Maximum time between two iterations of the service loop.
const MAX_WAKE_INTERVAL: Duration = Duration::from_millis(500);

/// The leases of this proxy.
pub struct LeaseService {
    pub(super) manager: RefCell<LeaseManager>,
    pub(super) peers: Rc<MembershipService>,
    pub(super) store: Option<LeaseStore>,
    pub(super) lease_duration: Duration,
    pub(super) leases: BTreeMap<LeaseId, ManagedLease>,
    /// Wakes the service loop.
    pub(super) wake: Notify,
    /// Token and sequence number of each lease's last checkpoint that a quorum has stored.
    pub(super) stored_checkpoints: watch::Sender<BTreeMap<LeaseId, (Token, u32)>>,
    /// The last status that each voter has reported of each lease.
    pub(super) voter_statuses: RefCell<BTreeMap<LeaseId, Vec<VoterStatus>>>,
    pub(super) collection: Rc<AuditCollection>,
    is_shutting_down: Cell<bool>,
    /// Held while outputs are processed, so that an older voter state is not written after a newer
    /// one.
    output_lock: Mutex<()>,
    /// Whether the last write to the store failed. The first failure of a series is logged.
    is_store_failing: Cell<bool>,
    weak_self: Weak<LeaseService>,
}

impl LeaseService {
    /// Starts the service with the state in the state folder, if one is configured.
    pub fn start(
        settings: Settings,
        seed: u64,
        peers: Rc<MembershipService>,
        state_folder: Option<&Path>,
    ) -> Result<Rc<LeaseService>, StoreError> {
        let store = state_folder.map(LeaseStore::open).transpose()?;
        let state = store
            .as_ref()
            .map(LeaseStore::read_voter_state)
            .transpose()?;
        let collected = store
            .as_ref()
            .map(LeaseStore::read_audit_collection)
            .transpose()?;
        let collection = AuditCollection::from_stored(collected.flatten().as_deref());
        let lease_duration = Duration::from_millis(settings.timing.lease_duration);
        let manager_settings = lease_manager::Settings {
            member_id: peers.member_id(),
            voters: settings.voters,
            timing: settings.timing,
            leases: settings
                .leases
                .iter()
                .map(|lease| LeaseId::from_name(&lease.name))
                .collect(),
            seed,
        };
        let unix_ms = peers.activity_log().now();
        let manager = LeaseManager::new(
            peers.now(),
            unix_ms,
            manager_settings,
            state.unwrap_or_default(),
        );
        let managed = |lease: crate::configuration::lease::LeaseSettings| {
            (LeaseId::from_name(&lease.name), ManagedLease::new(lease))
        };
        let service = Rc::new_cyclic(|weak_self| LeaseService {
            manager: RefCell::new(manager),
            peers,
            store,
            lease_duration,
            leases: settings.leases.into_iter().map(managed).collect(),
            wake: Notify::new(),
            stored_checkpoints: watch::Sender::new(BTreeMap::new()),
            voter_statuses: RefCell::default(),
            collection: Rc::new(collection),
            is_shutting_down: Cell::new(false),
            output_lock: Mutex::default(),
            is_store_failing: Cell::new(false),
            weak_self: weak_self.clone(),
        });
        service.serve_documents();
        spawn_local(service.clone().run());
        if service.audit_lease().is_some() {
            spawn_local(audit_collector::mirror(service.clone()));
        }
        Ok(service)
    }

    /// Registers this proxy's lease history and audit collection with the membership service, from
    /// which other members fetch them.
    fn serve_documents(&self) {
        let service = self.weak_self.clone();
        self.peers.serve_resources(Box::new(move |topic, key| {
            let service = service.upgrade()?;
            match topic {
                Resource::LeaseHistory => serde_json::to_vec(&service.local_history()).ok(),
                Resource::CollectedRecords => service.collection.document(key),
                Resource::ActivityRecord | Resource::Routes => None,
            }
        }));
    }

    async fn run(self: Rc<Self>) {
        loop {
            let due = Duration::from_millis(self.manager.borrow().next_due());
            let due = self
                .peers
                .started()
                .checked_add(due)
                .unwrap_or_else(Instant::now);
            let due = due.min(Instant::now() + MAX_WAKE_INTERVAL);
            tokio::select! {
                biased;
                () = self.peers.messages_received() => {}
                () = self.wake.notified() => {}
                () = sleep_until(due) => {}
            }
            self.run_once().await;
        }
    }

    /// Runs one iteration: handles received messages and due timers, then processes the outputs.
    async fn run_once(&self) {
        self.process_inputs();
        self.process_outputs().await;
    }

    fn process_inputs(&self) {
        let now = self.peers.now();
        let is_fenced = self.peers.activity_log().is_fenced();
        let is_willing = !self.is_shutting_down.get() && !is_fenced;
        let mut manager = self.manager.borrow_mut();
        manager.set_unix_time(self.peers.activity_log().now());
        manager.set_present_members(self.peers.present_members(is_willing));
        // Received messages are handled before the timers that would expire without them.
        for received in self.peers.take_messages() {
            manager.handle_datagram(now, received.from, received.incarnation, &received.bytes);
        }
        manager.tick(now);
        if !is_fenced {
            return;
        }
        for lease in self.leases.keys() {
            if manager.held_token(now, *lease).is_some() {
                manager.resign(now, *lease, EndReason::Fenced);
            }
        }
    }

    /// Processes the lease manager's outputs in order. The voter state is on disk before the
    /// messages that depend on it are sent.
    async fn process_outputs(&self) {
        let _guard = self.output_lock.lock().await;
        loop {
            let outputs: Vec<Output> = self.manager.borrow_mut().take_outputs().collect();
            if outputs.is_empty() {
                return;
            }
            // Only the last state is written, because it includes the earlier ones.
            let last_state = outputs.iter().rev().find_map(|output| match output {
                Output::PersistState(state) => Some(state.clone()),
                _ => None,
            });
            let is_persisted = self.persist(last_state).await;
            for output in outputs {
                self.process_output(output, is_persisted);
            }
        }
    }

    /// Writes the voter's state to the store, if there is one. Returns whether messages that depend
    /// on it may be sent.
    async fn persist(&self, state: Option<VoterState>) -> bool {
        let result = match state.zip(self.store.clone()) {
            Some((state, store)) => {
                let written = spawn_blocking(move || store.write_voter_state(&state)).await;
                written.unwrap_or_else(|e| Err(StoreError::WriterFailed(e)))
            }
            None => Ok(()),
        };
        let is_failing = result.is_err();
        let was_failing = self.is_store_failing.replace(is_failing);
        if let Err(error) = result
            && !was_failing
        {
            tracing::warn!("leases: cannot store the voter state, so nothing is granted: {error}");
        }
        !is_failing
    }

    fn process_output(&self, output: Output, is_persisted: bool) {
        match output {
            // Already written by `persist`.
            Output::PersistState(_) => {}
            Output::Send(outgoing) => {
                if is_persisted || !requires_durable_state(&outgoing.message.body) {
                    self.send(outgoing);
                }
            }
            Output::Event(lease, event) => self.handle_event(lease, event),
            Output::Status(status) => {
                let mut statuses = self.voter_statuses.borrow_mut();
                let statuses_of_lease = statuses.entry(status.lease).or_default();
                statuses_of_lease.retain(|known| known.voter != status.voter);
                statuses_of_lease.push(status);
            }
        }
    }

    fn send(&self, outgoing: OutgoingMessage) {
        let OutgoingMessage { to, message } = outgoing;
        if to != self.peers.member_id() {
            self.peers.send_message(to, message.encode());
            return;
        }
        let (now, incarnation) = (self.peers.now(), self.peers.activity_log().incarnation());
        self.manager
            .borrow_mut()
            .handle_message(now, to, incarnation, message);
    }

    fn handle_event(&self, id: LeaseId, event: LeaseEvent) {
        let Some(lease) = self.leases.get(&id) else {
            return;
        };
        let name = &lease.name;
        let unix_ms = self.peers.activity_log().now();
        match event {
            LeaseEvent::Acquired { token, checkpoint } => {
                tracing::info!(lease = %name, %token, "lease {name}: acquired with token {token}");
                lease.record_acquisition(token, unix_ms);
                lease.stop_work();
                self.start_work(id, lease, token, checkpoint);
            }
            LeaseEvent::Ended { token, reason } => {
                tracing::info!(lease = %name, %token, ?reason, "lease {name}: ended: {reason:?}");
                lease.record_end(token, unix_ms, reason);
                lease.stop_work();
            }
            LeaseEvent::CheckpointStored { token, sequence } => {
                self.stored_checkpoints.send_modify(|stored| {
                    stored.insert(id, (token, sequence));
                });
            }
        }
    }

    fn start_work(
        &self,
        id: LeaseId,
        lease: &ManagedLease,
        token: Token,
        checkpoint: Option<Checkpoint>,
    ) {
        let service = self.weak_self.clone();
        let handle = LeaseHandle::new(service, id, lease.name.clone(), token, checkpoint);
        let work = lease.work.clone();
        let peers = self.peers.clone();
        let task = spawn_local(async move {
            // The work only returns if it fails. The lease is resigned, so that another member can
            // acquire it.
            let error = match work {
                WorkSettings::HttpCall(target) => http_call::run_http_calls(&handle, &target).await,
                WorkSettings::CollectAudit { round_duration } => {
                    audit_collector::collect(&handle, &peers, round_duration).await
                }
            };
            handle.resign_after_failure(&error);
        });
        lease.set_work_task(task);
    }

    /// Returns the token under which this proxy holds a lease. Checked before each operation.
    pub(super) fn held_token(&self, lease: LeaseId) -> Option<Token> {
        self.manager.borrow().held_token(self.peers.now(), lease)
    }

    pub(super) fn resign_lease(&self, lease: LeaseId, reason: EndReason) {
        let now = self.peers.now();
        self.manager.borrow_mut().resign(now, lease, reason);
        self.wake.notify_one();
    }

    /// Resigns the lease of this name and backs off, see
    /// [`resign_backoff`](heathroad_lease::LeaseTiming::resign_backoff). Returns whether the lease
    /// was held here, or `None` if there is no such lease.
    pub fn resign(&self, name: &str) -> Option<bool> {
        let (id, _) = self.leases.iter().find(|(_, lease)| lease.name == name)?;
        let was_held = self.held_token(*id).is_some();
        self.resign_lease(*id, EndReason::Resigned);
        Some(was_held)
    }

    /// Resigns all leases before the process exits.
    pub async fn shut_down(&self) {
        self.is_shutting_down.set(true);
        let now = self.peers.now();
        for lease in self.leases.keys() {
            self.manager
                .borrow_mut()
                .resign(now, *lease, EndReason::ShuttingDown);
        }
        self.process_outputs().await;
    }

    pub(super) fn voters(&self) -> Vec<MemberId> {
        self.manager.borrow().voters().members().collect()
    }

    /// Converts a time of this proxy's monotonic clock to Unix time in milliseconds.
    pub(super) fn unix_time_at(&self, at: Millis) -> u64 {
        let (now, unix_ms) = (self.peers.now(), self.peers.activity_log().now());
        unix_ms.saturating_sub(now).saturating_add(at)
    }
}

/// Returns whether a message may only be sent once the voter state is on disk.
fn requires_durable_state(body: &Body) -> bool {
    matches!(body, Body::Granted(_) | Body::CheckpointStored { .. })
}
