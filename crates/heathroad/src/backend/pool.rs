//! The connections to all backends: how many there are, which are kept, and which are closed for
//! others.

use super::attempt::AttemptControl;
use super::target::Target;
use super::{http, jsonrpc};
use crate::runtime_accounting::timeout;
use crate::safety::{self, ClientHandle, Denial, PendingWrite};
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

/// Connections on which responses to abandoned attempts are awaited, as a fraction of all, as a
/// divisor.
const ABANDONED_DIVISOR: usize = 4;
/// Idle connections are closed at this fraction of the time after which backends close them.
const IDLE_CLOSE_FRACTION: f64 = 0.5;
/// Nothing is written later than this fraction of the drain's grace, as a divisor: the rest is for
/// a late loop and a slow write.
const DRAIN_GRACE_DIVISOR: u32 = 2;

/// Permits one connection; given back when dropped.
pub(super) type ConnectionSlot = OwnedSemaphorePermit;

/// The bounds of a pool of connections.
pub struct Limits {
    /// Most connections at once.
    pub connections: usize,
    /// A connect that takes longer has failed.
    pub connect_timeout: Duration,
    /// Backends close connections that are idle for so long.
    pub idle_timeout: Duration,
    /// Nothing is sent later than this after the notice of a drain.
    pub drain_grace: Duration,
    /// Whether an abandoned attempt may stay open beside the next one.
    pub may_duplicate: bool,
}

/// The connections to all backends.
pub struct Pool {
    pub(super) limits: Limits,
    next_target_id: Cell<u64>,
    /// The processes in use, by name, address and start: engines that name one process share it and
    /// its connections.
    targets: RefCell<HashMap<(String, SocketAddr, u64), Weak<Target>>>,
    /// Idle HTTP connections by the target's id, the one idle longest first.
    pub(super) idle_http: RefCell<FxHashMap<u64, Vec<http::IdleConnection>>>,
    /// JSON-RPC connections by the target's id, those in use too.
    pub(super) jsonrpc: RefCell<FxHashMap<u64, Vec<Rc<jsonrpc::Connection>>>>,
    slots: Arc<Semaphore>,
    abandoned_attempts: Rc<Cell<usize>>,
    /// Most abandoned attempts whose responses are awaited.
    pub(super) max_abandoned_attempts: usize,
    /// When a backend last sent something that nobody had asked for.
    pub(super) stray_bytes_at: Rc<Cell<Option<Instant>>>,
    /// Notifies one abandoned attempt that its connection's slot is needed.
    pub(super) slot_needed: Notify,
}

/// Counts an abandoned attempt; given back when dropped.
pub(super) struct AbandonedSlot(Rc<Cell<usize>>);

impl Drop for AbandonedSlot {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl Pool {
    /// Returns a pool without connections.
    pub fn new(limits: Limits) -> Self {
        Pool {
            next_target_id: Cell::default(),
            targets: RefCell::default(),
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

    /// Returns a process to send to. One that is in use and takes new requests is the same for all
    /// engines that name it.
    pub fn target(&self, name: &str, address: SocketAddr, born_ms: f64) -> Rc<Target> {
        let mut targets = self.targets.borrow_mut();
        let key = (name.to_string(), address, born_ms.to_bits());
        let known = targets.get(&key).and_then(Weak::upgrade);
        if let Some(target) = known.filter(|target| !target.is_draining()) {
            return target;
        }
        let id = self.next_target_id.get();
        self.next_target_id.set(id + 1);
        let target = Rc::new(Target::new(id, address, born_ms));
        targets.insert(key, Rc::downgrade(&target));
        target
    }

    /// Opens a connection to a process and keeps it, if none is idle; returns whether there is one
    /// now.
    pub async fn ensure_connection(
        self: &Rc<Self>,
        target: &Rc<Target>,
        transport: Option<jsonrpc::Transport>,
    ) -> bool {
        if let Some(transport) = transport {
            return self.find_jsonrpc(target, transport.max_calls).is_some()
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
        if let Some(connections) = self.jsonrpc.borrow().get(&target.id) {
            connections.iter().for_each(|connection| connection.close());
        }
    }

    /// Closes connections that have been idle for long, and those of processes that are out of use.
    ///
    /// A backend closes idle connections too, and a request that crosses its close would end as a
    /// reset, which may have run: the pool closes them clearly earlier.
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
        let targets = targets.values().filter_map(Weak::upgrade);
        let used: HashSet<u64> = targets.map(|target| target.id).collect();
        self.idle_http
            .borrow_mut()
            .retain(|id, _| used.contains(id));
        let jsonrpc = self.jsonrpc.borrow();
        let unused = jsonrpc.iter().filter(|(id, _)| !used.contains(id));
        unused
            .flat_map(|(_, connections)| connections)
            .for_each(|connection| connection.close());
    }

    /// Returns the age at which the pool closes an idle connection.
    pub(super) fn max_idle_age(&self) -> Duration {
        self.limits.idle_timeout.mul_f64(IDLE_CLOSE_FRACTION)
    }

    /// Closes the connection that has been idle longest; returns whether there was one.
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
        let mut longest = idle_http.values().filter_map(|idle| idle.first());
        longest.any(|idle| idle.since.elapsed() > idle_time)
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

    /// Returns a slot for a connection. Where none is free, a connection is closed that needs its
    /// slot less. That takes a moment, which is waited for, since the request would be rejected
    /// otherwise.
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
        // Without a slot the request was never sent, and that says nothing of the backend.
        acquired.ok().and_then(Result::ok).ok_or_else(|| {
            tracing::debug!(reason = "no connection slot", "backend connection failed");
            Outcome::NotSent
        })
    }

    /// Opens a stream to an address, with its slot.
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
                let is_ours = is_out_of_descriptors(&error);
                return Err(if is_ours {
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

    /// Returns the rule that denies the write of an attempt to a process now, if any.
    pub(super) fn check_write(
        &self,
        target: &Target,
        control: &AttemptControl,
    ) -> Result<(), Denial> {
        let client_left = control.client.as_ref().is_some_and(ClientHandle::has_left);
        let write = PendingWrite {
            client_left,
            backend_withdrawn: self.is_past_drain_grace(target),
            deadline: control.write_deadline,
        };
        safety::check_write(write, Instant::now())
    }

    /// Returns whether a process was told to drain so long ago that nothing more may be written to
    /// it.
    pub(super) fn is_past_drain_grace(&self, target: &Target) -> bool {
        let grace = self.limits.drain_grace / DRAIN_GRACE_DIVISOR;
        target
            .draining_since()
            .is_some_and(|notified_at| notified_at.elapsed() > grace)
    }

    /// Counts an abandoned attempt whose response is awaited, unless there are as many as may be.
    pub(super) fn take_abandoned_slot(&self) -> Option<AbandonedSlot> {
        let count = &self.abandoned_attempts;
        if count.get() >= self.max_abandoned_attempts {
            return None;
        }
        count.set(count.get() + 1);
        Some(AbandonedSlot(count.clone()))
    }
}

/// Returns whether the process or the machine has no descriptor left.
fn is_out_of_descriptors(error: &io::Error) -> bool {
    const ENFILE: i32 = 23;
    const EMFILE: i32 = 24;
    matches!(error.raw_os_error(), Some(ENFILE | EMFILE))
}

#[cfg(test)]
#[path = "../../tests/unit/backend_pool.rs"]
mod tests;
