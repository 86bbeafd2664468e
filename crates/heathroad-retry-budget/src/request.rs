//! Budget claims and open requests.

use crate::loop_detection::RequestFingerprint;
use crate::wire::{Budget, FULL_PRIORITY_WEIGHT, MalformedHeader, ProxyPath};

/// The budget and path that a request claims.
#[derive(Debug, Clone, PartialEq)]
pub struct BudgetClaim {
    /// The claimed budget, if any.
    pub budget: Result<Option<Budget>, MalformedHeader>,
    /// The claimed path; empty if the request carries none.
    pub path: Result<ProxyPath, MalformedHeader>,
    /// Whether the request comes from a peer whose claims are trusted.
    pub from_trusted_peer: bool,
}

/// An admitted request. It must be closed with
/// [`OpenAllowances::close`](crate::OpenAllowances::close).
#[derive(Debug)]
#[must_use = "an open request must be closed"]
pub struct OpenRequest {
    pub(crate) allowance_id: u64,
    /// Whether the response reports the spent retries, which only trusted callers receive.
    pub(crate) reports_spent: bool,
    pub(crate) fingerprint: Option<RequestFingerprint>,
    pub(crate) budget: Budget,
    pub(crate) path: ProxyPath,
}

impl OpenRequest {
    /// Returns the request's time limit, in milliseconds from its admission.
    pub fn time_limit_ms(&self) -> u32 {
        self.budget.time_ms
    }

    /// Returns the priority weight, as a fraction of the class's weight.
    pub fn priority_weight(&self) -> f64 {
        f64::from(self.budget.priority_weight) / f64::from(FULL_PRIORITY_WEIGHT)
    }

    /// Returns the request's path, which ends with this proxy's name.
    pub fn path(&self) -> &ProxyPath {
        &self.path
    }
}
