//! A request as it claims its budget, and as it is open.

use crate::loop_detection::RequestFingerprint;
use crate::wire::{Budget, FULL_PRIORITY_WEIGHT, MalformedHeader, ProxyPath};

/// What a request claims about its budget.
#[derive(Debug, Clone, PartialEq)]
pub struct BudgetClaim {
    /// Its budget, if any.
    pub budget: Result<Option<Budget>, MalformedHeader>,
    /// Its path; empty if it carries none.
    pub path: Result<ProxyPath, MalformedHeader>,
    /// It comes from a peer whose claims are trusted.
    pub from_trusted_peer: bool,
}

/// An admitted request. It is given back to [`OpenAllowances::close`](crate::OpenAllowances::close), once.
#[derive(Debug)]
#[must_use = "an open request is closed"]
pub struct OpenRequest {
    pub(crate) allowance_id: u64,
    /// A trusted caller is told what was spent.
    pub(crate) reports_spent: bool,
    pub(crate) fingerprint: Option<RequestFingerprint>,
    pub(crate) budget: Budget,
    pub(crate) path: ProxyPath,
}

impl OpenRequest {
    /// Returns the longest time that the request has, in milliseconds from its admission.
    pub fn time_limit_ms(&self) -> u32 {
        self.budget.time_ms
    }

    /// Returns its priority weight, as a fraction of its class's.
    pub fn priority_weight(&self) -> f64 {
        f64::from(self.budget.priority_weight) / f64::from(FULL_PRIORITY_WEIGHT)
    }

    /// Returns its path, which ends with this proxy's name.
    pub fn path(&self) -> &ProxyPath {
        &self.path
    }
}
