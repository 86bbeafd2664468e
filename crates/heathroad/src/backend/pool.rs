//! The connection pool for all backends: limits, reuse and eviction of connections.

use super::attempt::AttemptControl;
use super::target::Target;
use super::{http, jsonrpc};
use crate::runtime_accounting::timeout;
use crate::safety::{self, Denial, PendingWrite};
use heathroad_balancer::api::Outcome;
use rustc_hash::FxHashMap;
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::io;
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::{Notify, OwnedSemaphorePermit, Semaphore};
use tokio::time::Instant;

/// At most the connection limit divided by this may await responses to abandoned attempts.
const ABANDONED_DIVISOR: usize = 4;
/// Idle connections are closed after this fraction of the backends' idle timeout.
const IDLE_CLOSE_FRACTION: f64 = 0.5;
/// Writes to a draining backend end after its grace period divided by this; the rest covers a
/// delayed event loop and a slow write.
const DRAIN_GRACE_DIVISOR: u32 = 2;

/// Permits one connection; released when dropped.
pub(super) type ConnectionSlot = OwnedSemaphorePermit;

/// The limits of a connection pool.
pub struct Limits {
    /// Maximum number of open connections.
    pub connections: usize,
    /// Timeout of connects.
    pub connect_timeout: Duration,
    /// How long a connection is idle before backends close it.
    pub idle_timeout: Duration,
    /// Maximum time from the notice of a drain until the last write to the backend.
    pub drain_grace: Duration,
    /// Whether a request may have more than one attempt open at a time.
    pub may_duplicate: bool,
}

/// The connections to all backends.
pub struct Pool {
    pub(super) limits: Limits,
    next_target_id: Cell<u64>,
    /// The processes in use by name, address and start time. Engines that use the same process
    /// share its connections.
    targets: RefCell<HashMap<(String, SocketAddr, u64), Weak<Target>>>,
    /// The process at each address: of those that discovery has named there, the newest.
    address_owners: RefCell<HashMap<SocketAddr, Weak<Target>>>,
    /// Idle HTTP connections by target id, longest idle first.
    pub(super) idle_http: RefCell<FxHashMap<u64, Vec<http::IdleConnection>>>,
    /// All JSON-RPC connections by their far end and framing, including those in use.
    pub(super) jsonrpc: RefCell<FxHashMap<jsonrpc::ConnectionKey, Vec<Rc<jsonrpc::Connection>>>>,
    slots: Arc<Semaphore>,
    abandoned_attempts: Rc<Cell<usize>>,
    /// Maximum number of abandoned attempts whose responses are awaited.
    pub(super) max_abandoned_attempts: usize,
    /// When a backend last sent bytes that belong to no response.
    pub(super) stray_bytes_at: Rc<Cell<Option<Instant>>>,
    /// Notifies one abandoned attempt that its connection's slot is needed.
    pub(super) slot_needed: Notify,
}

/// Counts one abandoned attempt until it is dropped.
pub(super) struct AbandonedSlot(Rc<Cell<usize>>);

impl Drop for AbandonedSlot {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl Pool {
    /// Returns an empty pool.
    pub fn new(limits: Limits) -> Self {
        Pool {
            next_target_id: Cell::default(),
            targets: RefCell::default(),
            address_owners: RefCell::default(),
            idle_http: RefCell::default(),
            jsonrpc: RefCell::default(),
            slots: Arc::new(Semaphore::new(limits.connections)),
            abandoned_attempts: Rc::default(),
            max_abandoned_attempts: limits.connections / ABANDONED_DIVISOR,
            stray_bytes_at: Rc::default(),
            slot_needed: Notify::new(),
            limits,
        }
    }

    /// Returns the target of a backend process. Engines share the target of a process that is in
    /// use and not draining.
    pub fn target(&self, name: &str, address: SocketAddr, started_ms: f64) -> Rc<Target> {
        let target = self.find_or_add_target(name, address, started_ms);
        self.claim_address(&target);
        target
    }

    fn find_or_add_target(&self, name: &str, address: SocketAddr, started_ms: f64) -> Rc<Target> {
        let mut targets = self.targets.borrow_mut();
        let key = (name.to_string(), address, started_ms.to_bits());
        let known = targets.get(&key).and_then(Weak::upgrade);
        if let Some(target) = known.filter(|target| !target.is_draining()) {
            return target;
        }
        let id = self.next_target_id.get();
        self.next_target_id.set(id + 1);
        let target = Rc::new(Target::new(id, name, address, started_ms));
        targets.insert(key, Rc::downgrade(&target));
        target
    }

    /// Records a process as the one at its address, unless a newer one is there.
    fn claim_address(&self, target: &Rc<Target>) {
        let mut owners = self.address_owners.borrow_mut();
        let owner = owners.get(&target.address).and_then(Weak::upgrade);
        let is_newer_there =
            owner.is_some_and(|owner| !owner.is_draining() && owner.started_ms > target.started_ms);
        if !is_newer_there {
            owners.insert(target.address, Rc::downgrade(target));
        }
    }

    /// Returns whether another process is known to be at the address of a process that was
    /// withdrawn, so that a connect to that address would not reach it. While discovery lists both,
    /// they may be one process under two names.
    fn is_replaced(&self, target: &Target) -> bool {
        if !target.is_draining() {
            return false;
        }
        let owners = self.address_owners.borrow();
        let owner = owners.get(&target.address).and_then(Weak::upgrade);
        owner.is_some_and(|owner| !owner.is_same_process(target))
    }

    /// Opens an idle connection to a process if there is none; returns whether there is one now.
    pub async fn ensure_connection(
        self: &Rc<Self>,
        target: &Rc<Target>,
        transport: Option<jsonrpc::Transport>,
    ) -> bool {
        if let Some(transport) = transport {
            return self.find_jsonrpc(target, &transport).is_some()
                || self.connect_jsonrpc(target, transport).await.is_ok();
        }
        if self
            .idle_http
            .borrow()
            .get(&target.id)
            .is_some_and(|idle| !idle.is_empty())
        {
            return true;
        }
        match self.connect_http(target.address).await {
            Ok(connection) => {
                self.keep_idle(target, connection);
                true
            }
            Err(_) => false,
        }
    }

    /// Closes the idle connections to a process.
    pub fn close_idle_connections(&self, target: &Target) {
        self.idle_http.borrow_mut().remove(&target.id);
        let jsonrpc = self.jsonrpc.borrow();
        let to_target = jsonrpc.iter().filter(|(key, _)| key.target_id == target.id);
        to_target
            .flat_map(|(_, connections)| connections)
            .for_each(|connection| connection.close());
    }

    /// Closes connections that reached the maximum idle age, and those to unused processes.
    ///
    /// The maximum age is well below the backends' idle timeout: a request that races with the
    /// backend's close would end in a reset, after which it may have been executed.
    pub fn close_aged_connections(&self) {
        let max_age = self.max_idle_age();
        self.idle_http.borrow_mut().retain(|_, idle| {
            idle.retain(|idle| !idle.is_closed() && idle.since.elapsed() < max_age);
            !idle.is_empty()
        });
        self.jsonrpc.borrow_mut().retain(|_, connections| {
            connections.retain(|connection| connection.is_open());
            let aged = |connection: &&Rc<jsonrpc::Connection>| {
                connection
                    .idle_time()
                    .is_some_and(|idle_time| idle_time >= max_age)
            };
            connections
                .iter()
                .filter(aged)
                .for_each(|connection| connection.close());
            !connections.is_empty()
        });
        self.close_unused_connections();
    }

    fn close_unused_connections(&self) {
        let mut targets = self.targets.borrow_mut();
        targets.retain(|_, target| target.strong_count() > 0);
        let mut owners = self.address_owners.borrow_mut();
        owners.retain(|_, owner| owner.strong_count() > 0);
        let targets = targets.values().filter_map(Weak::upgrade);
        let used: HashSet<u64> = targets.map(|target| target.id).collect();
        self.idle_http
            .borrow_mut()
            .retain(|id, _| used.contains(id));
        let jsonrpc = self.jsonrpc.borrow();
        let unused = jsonrpc
            .iter()
            .filter(|(key, _)| !used.contains(&key.target_id));
        unused
            .flat_map(|(_, connections)| connections)
            .for_each(|connection| connection.close());
    }

    /// Returns the idle time after which the pool closes a connection.
    pub(super) fn max_idle_age(&self) -> Duration {
        self.limits.idle_timeout.mul_f64(IDLE_CLOSE_FRACTION)
    }

    /// Closes the longest idle connection; returns whether there was one.
    fn evict_idle(&self) -> bool {
        let jsonrpc = self.jsonrpc.borrow();
        let idle = jsonrpc.values().flatten();
        let idle = idle.filter_map(|connection| Some((connection.idle_time()?, connection)));
        if let Some((idle_time, connection)) = idle.max_by_key(|(idle_time, _)| *idle_time)
            && !self.has_http_idle_longer_than(idle_time)
        {
            connection.close();
            return true;
        }
        self.evict_idle_http()
    }

    fn has_http_idle_longer_than(&self, idle_time: Duration) -> bool {
        let idle_http = self.idle_http.borrow();
        let mut oldest = idle_http.values().filter_map(|idle| idle.first());
        oldest.any(|idle| idle.since.elapsed() > idle_time)
    }

    fn evict_idle_http(&self) -> bool {
        let mut idle_http = self.idle_http.borrow_mut();
        let firsts = idle_http
            .iter()
            .filter_map(|(id, idle)| Some((idle.first()?.since, *id)));
        let oldest = firsts.min();
        let idle = oldest.and_then(|(_, id)| idle_http.get_mut(&id));
        idle.map(|idle| idle.remove(0)).is_some()
    }

    /// Acquires a connection slot. If none is free, evicts an idle connection or ends the wait for
    /// an abandoned attempt, and waits for the slot, since the request would be rejected otherwise.
    async fn acquire_slot(&self) -> Result<ConnectionSlot, Outcome> {
        let slot = match self.slots.clone().try_acquire_owned() {
            Ok(slot) => slot,
            Err(_) => self.wait_for_slot().await?,
        };
        if self.slots.available_permits() == 0 {
            self.evict_idle();
        }
        Ok(slot)
    }

    async fn wait_for_slot(&self) -> Result<ConnectionSlot, Outcome> {
        if !self.evict_idle() && self.abandoned_attempts.get() > 0 {
            self.slot_needed.notify_one();
        }
        let acquired = timeout(
            self.limits.connect_timeout,
            self.slots.clone().acquire_owned(),
        )
        .await;
        // Not an error of the backend: the request was not sent.
        acquired.ok().and_then(Result::ok).ok_or_else(|| {
            tracing::debug!(
                reason = "no connection slot available",
                "backend connection failed"
            );
            Outcome::NotSent
        })
    }

    /// Opens a TCP connection with a connection slot.
    pub(super) async fn connect(
        &self,
        address: SocketAddr,
    ) -> Result<(TcpStream, ConnectionSlot), Outcome> {
        let slot = self.acquire_slot().await?;
        let connected = timeout(self.limits.connect_timeout, TcpStream::connect(address)).await;
        let stream = match connected {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) => {
                tracing::debug!(%address, reason = %error, "backend connection failed");
                let is_local_failure = is_out_of_descriptors(&error);
                return Err(if is_local_failure {
                    Outcome::NotSent
                } else {
                    Outcome::ConnectFailed
                });
            }
            Err(_) => {
                tracing::debug!(%address, reason = "connect timeout", "backend connection failed");
                return Err(Outcome::ConnectFailed);
            }
        };
        tracing::debug!(%address, "backend connection opened");
        stream
            .set_nodelay(true)
            .map_err(|_| Outcome::ConnectFailed)?;
        Ok((stream, slot))
    }

    /// Checks whether an attempt may be written to a process now.
    pub(super) fn check_write(
        &self,
        target: &Target,
        control: &AttemptControl,
    ) -> Result<(), Denial> {
        let write = PendingWrite {
            client: control.client_presence(),
            backend_withdrawn: self.is_past_drain_grace(target) || self.is_replaced(target),
            deadline: control.write_deadline,
        };
        safety::check_write(write, Instant::now())
    }

    /// Returns whether the grace period for writes to a draining process has passed.
    pub(super) fn is_past_drain_grace(&self, target: &Target) -> bool {
        let grace = self.limits.drain_grace / DRAIN_GRACE_DIVISOR;
        target
            .draining_since()
            .is_some_and(|notified_at| notified_at.elapsed() > grace)
    }

    /// Reserves the wait for an abandoned attempt's response; returns `None` at the limit.
    pub(super) fn take_abandoned_slot(&self) -> Option<AbandonedSlot> {
        let count = &self.abandoned_attempts;
        if count.get() >= self.max_abandoned_attempts {
            return None;
        }
        count.set(count.get() + 1);
        Some(AbandonedSlot(count.clone()))
    }
}

/// Returns whether a connect failed because the process or the system is out of file descriptors.
fn is_out_of_descriptors(error: &io::Error) -> bool {
    const ENFILE: i32 = 23;
    const EMFILE: i32 = 24;
    matches!(error.raw_os_error(), Some(ENFILE | EMFILE))
}

#[cfg(test)]
#[path = "../../tests/unit/backend_pool.rs"]
mod tests;
