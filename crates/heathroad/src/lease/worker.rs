//! The handle through which the work of a lease checks the hold, reads its token and stores
//! checkpoints.
//!
//! Work is a future that runs while this proxy holds the lease and is dropped when the hold ends.
//! It checks [`LeaseHandle::is_held`] before each operation, sends its token with the operation,
//! and stores checkpoints. The next holder resumes from the last checkpoint that a quorum has
//! stored, so later operations may be repeated. A server that does not check tokens may also
//! receive an operation of a stalled holder after operations of its successor.

use super::service::LeaseService;
use crate::runtime_accounting::timeout;
use heathroad_lease::LeaseId;
use heathroad_lease::candidate::EndReason;
use heathroad_lease::checkpoint::Checkpoint;
use heathroad_lease::token::Token;
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use thiserror::Error;

/// Why the work ended. The text is shown to operators.
#[derive(Debug, Error)]
#[non_exhaustive]
pub(super) enum WorkError {
    /// The lease is no longer held.
    #[error("the lease is no longer held")]
    LeaseLost,
    /// The server has seen a higher token.
    #[error("the server has seen a higher token")]
    Superseded,
    /// Calls to the server failed repeatedly.
    #[error("{address}: {count} calls in a row have failed")]
    CallsFailed {
        /// The server.
        address: SocketAddr,
        /// The number of consecutive failed calls.
        count: u32,
    },
    /// No other member was reached.
    #[error("no other member was reached in {rounds} rounds")]
    NobodyReached {
        /// The number of consecutive rounds.
        rounds: u32,
    },
    /// The process is shutting down.
    #[error("the proxy is shutting down")]
    ShuttingDown,
}

/// The checkpoint was not stored: the lease is no longer held, or no quorum acknowledged it in
/// time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("the checkpoint was not stored")]
pub(super) struct CheckpointNotStored;

/// The work's handle of a held lease.
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

    /// Returns the token, which must be sent with each operation.
    pub(super) fn token(&self) -> Token {
        self.token
    }

    /// Returns this proxy's member id and incarnation as text.
    pub(super) fn holder(&self) -> String {
        let incarnation = self
            .service()
            .map_or(0, |service| service.peers.activity_log().incarnation());
        format!("{}.{incarnation}", self.token.member())
    }

    /// Returns the last checkpoint of previous holders.
    pub(super) fn checkpoint(&self) -> Option<&Checkpoint> {
        self.checkpoint.as_ref()
    }

    /// Returns whether the lease is still held. Checked before each operation.
    pub(super) fn is_held(&self) -> bool {
        self.service_while_held().is_some()
    }

    /// Stores a checkpoint with a quorum of voters. `state` has at most
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

    /// Resigns the lease after the work has failed.
    pub(super) fn resign_after_failure(&self, error: &WorkError) {
        let Some(service) = self.service_while_held() else {
            return;
        };
        let name = &self.name;
        tracing::warn!(lease = %name, "lease {name}: work failed, resigning: {error}");
        if let Some(lease) = service.leases.get(&self.lease) {
            lease.set_work_failure(error.to_string());
        }
        service.resign_lease(self.lease, EndReason::WorkFailed);
    }

    /// Resigns the lease after a server has rejected its token. `highest_token` is the highest
    /// token that the server has seen, if it returned it.
    pub(super) fn resign_superseded(&self, highest_token: Option<Token>) {
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
