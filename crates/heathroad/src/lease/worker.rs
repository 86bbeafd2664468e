//! What the work of a lease is given: the token, the last checkpoint, and the checks before each
//! act.
//!
//! Work is a future that runs while the lease is held here and is dropped when that ends. It acts
//! only after [`LeaseHandle::is_held`], sends its token with each act, and stores checkpoints. The
//! next holder resumes from the last checkpoint that a quorum has stored, and repeats what was done
//! after it. A server that does not check tokens may see such an act twice, and an act of a stalled
//! holder late.

use super::service::LeaseService;
use crate::runtime_accounting::timeout;
use heathroad_lease::LeaseId;
use heathroad_lease::candidate::EndReason;
use heathroad_lease::checkpoint::Checkpoint;
use heathroad_lease::token::Token;
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use thiserror::Error;

/// Why work has ended by itself. Operators are shown this.
#[derive(Debug, Error)]
#[non_exhaustive]
pub(super) enum WorkError {
    /// The lease is no longer held.
    #[error("it is no longer held")]
    LeaseLost,
    /// The server has seen a higher token.
    #[error("a later holder has called")]
    Superseded,
    /// The server cannot be called from here.
    #[error("{address}: {count} calls in a row have failed")]
    CallsFailed {
        /// The server.
        address: SocketAddr,
        /// How many calls have failed.
        count: u32,
    },
    /// The other members cannot be reached from here.
    #[error("{rounds} rounds reached nobody")]
    NobodyReached {
        /// In how many rounds.
        rounds: u32,
    },
    /// The process shuts down.
    #[error("this proxy stops")]
    ShuttingDown,
}

/// A checkpoint was not stored: the lease is no longer held, or no quorum has answered in time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("the checkpoint was not stored")]
pub(super) struct CheckpointNotStored;

/// A hold of a lease, as its work sees it.
pub(super) struct LeaseHandle {
    service: Weak<LeaseService>,
    lease: LeaseId,
    name: String,
    token: Token,
    checkpoint: Option<Checkpoint>,
}

impl LeaseHandle {
    pub(super) fn new(
        service: Weak<LeaseService>,
        lease: LeaseId,
        name: String,
        token: Token,
        checkpoint: Option<Checkpoint>,
    ) -> LeaseHandle {
        LeaseHandle {
            service,
            lease,
            name,
            token,
            checkpoint,
        }
    }

    /// Returns the service, unless the process shuts down.
    pub(super) fn service(&self) -> Option<Rc<LeaseService>> {
        self.service.upgrade()
    }

    /// Returns the service if the lease is still held.
    fn service_while_held(&self) -> Option<Rc<LeaseService>> {
        let service = self.service()?;
        (service.held_token(self.lease) == Some(self.token)).then_some(service)
    }

    /// Returns the name of the lease.
    pub(super) fn name(&self) -> &str {
        &self.name
    }

    /// Returns the token, which each act carries.
    pub(super) fn token(&self) -> Token {
        self.token
    }

    /// Returns this proxy's member id and incarnation as text, for operators.
    pub(super) fn holder(&self) -> String {
        let incarnation = self
            .service()
            .map_or(0, |service| service.peers.activity_log().incarnation());
        format!("{}.{incarnation}", self.token.member())
    }

    /// Returns the last checkpoint of the holders before this one.
    pub(super) fn checkpoint(&self) -> Option<&Checkpoint> {
        self.checkpoint.as_ref()
    }

    /// Returns whether the lease is still held. To be called before each act.
    pub(super) fn is_held(&self) -> bool {
        self.service_while_held().is_some()
    }

    /// Has a quorum store how far the work has come, in at most
    /// [`MAX_STATE_BYTES`](heathroad_lease::checkpoint::MAX_STATE_BYTES).
    pub(super) async fn store_checkpoint(&self, state: Vec<u8>) -> Result<(), CheckpointNotStored> {
        let service = self.service_while_held().ok_or(CheckpointNotStored)?;
        let mut stored = service.stored_checkpoints.subscribe();
        let now = service.peers.now();
        let sequence = service
            .manager
            .borrow_mut()
            .store_checkpoint(now, self.lease, state)
            .ok_or(CheckpointNotStored)?;
        service.wake.notify_one();
        let awaited = (self.token, sequence);
        let is_stored =
            stored.wait_for(|stored| stored.get(&self.lease).is_some_and(|last| *last >= awaited));
        match timeout(service.lease_duration, is_stored).await {
            Ok(Ok(_)) => Ok(()),
            _ => Err(CheckpointNotStored),
        }
    }

    /// Gives the lease back, because the work cannot be done here.
    pub(super) fn give_back(&self, error: &WorkError) {
        let Some(service) = self.service_while_held() else {
            return;
        };
        let name = &self.name;
        tracing::warn!(lease = %name, "lease {name}: given back: {error}");
        if let Some(lease) = service.leases.get(&self.lease) {
            lease.set_work_failure(error.to_string());
        }
        service.resign_lease(self.lease, EndReason::WorkFailed);
    }

    /// Gives the lease up, because a server has seen a higher token, which it may have told.
    pub(super) fn give_up_superseded(&self, highest_token: Option<Token>) {
        let Some(service) = self.service_while_held() else {
            return;
        };
        if let Some(token) = highest_token {
            service
                .manager
                .borrow_mut()
                .observe_token(self.lease, token);
        }
        service.resign_lease(self.lease, EndReason::Superseded);
    }
}
