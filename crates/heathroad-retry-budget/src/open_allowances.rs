//! The allowances of one proxy's open requests: the retries granted to each, delegated to
//! downstream calls and reported to the upstream tier.
//!
//! All calls of one parent request carry a copy of its budget and share its retries by delegation
//! id. The first call creates the allowance and the others draw on it. The allowance is kept until
//! the budget's time limit has passed, so that a later call only gets the retries that remain.

use crate::allowance::{Allowance, Delegation, Issuer};
use crate::id_generator::SplitMix64;
use crate::loop_detection::{InFlightRequests, Rejection, RequestFingerprint, extend_path};
use crate::request::{BudgetClaim, OpenRequest};
use crate::wire::{Budget, FULL_PRIORITY_WEIGHT, MAX_TIME_MS, ProxyPath, RetriesSpent};
use std::collections::HashMap;

/// Milliseconds of a monotonic clock.
pub type Millis = u64;

/// Maximum number of tracked allowances; requests beyond it are granted no retries.
const MAX_ALLOWANCES: usize = 100_000;
/// Interval between sweeps for expired allowances.
const EXPIRY_INTERVAL: Millis = 1_000;

/// Retry budget configuration of a proxy.
#[derive(Debug, Clone, PartialEq)]
pub struct Config {
    /// The proxy's name in paths, shared by all its replicas.
    pub proxy_name: String,
    /// Maximum number of retries granted to a request.
    pub max_retries: u16,
    /// Retries granted per first attempt, in the long run.
    pub retry_ratio: f64,
    /// Maximum number of unused retries that accumulate.
    pub burst: f64,
    /// Maximum number of proxies that a request may pass, including this one.
    pub max_hops: u8,
    /// How often a request may re-enter this proxy.
    pub reentries: usize,
    /// Maximum number of identical requests without a path that trusted peers may have open at
    /// once; 0 disables the check.
    pub max_identical: usize,
    /// Whether retries are delegated to backends, whose own calls pass proxies that support
    /// budgets.
    pub delegates: bool,
}

/// Counters since the start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counters {
    /// Requests admitted with a newly issued budget.
    pub new_budgets: u64,
    /// Requests that carried a budget from a trusted peer.
    pub carried_budgets: u64,
    /// Malformed headers received.
    pub malformed_headers: u64,
    /// Requests rejected as loops.
    pub loops: u64,
    /// Requests rejected at their hop limit.
    pub too_many_hops: u64,
    /// Retries granted by this proxy.
    pub retries_granted: u64,
    /// Retries sent by this proxy.
    pub retries_sent: u64,
    /// Delegated retries for which no report was received.
    pub retries_lost: u64,
}

#[derive(Debug)]
struct Entry {
    allowance: Allowance,
    /// Number of open requests that share the allowance.
    open_requests: u32,
    /// When an allowance delegated by the upstream tier expires. `None` for one issued by this
    /// proxy, which ends with its request.
    expires_at: Option<Millis>,
}

impl Entry {
    fn is_expired(&self, now: Millis) -> bool {
        self.open_requests == 0 && self.expires_at.is_none_or(|expires_at| expires_at <= now)
    }
}

/// The allowances of all open requests, and the unexpired ones delegated by the upstream tier.
#[derive(Debug)]
pub struct OpenAllowances {
    config: Config,
    issuer: Issuer,
    entries: HashMap<u64, Entry>,
    in_flight: InFlightRequests,
    ids: SplitMix64,
    counters: Counters,
    last_expiry: Millis,
}

impl OpenAllowances {
    /// Returns an empty set. `seed` seeds the delegation ids and should differ between proxies.
    pub fn new(config: Config, seed: u64) -> OpenAllowances {
        OpenAllowances {
            issuer: Issuer::new(config.retry_ratio, config.burst),
            config,
            entries: HashMap::new(),
            in_flight: InFlightRequests::default(),
            ids: SplitMix64::new(seed),
            counters: Counters::default(),
            last_expiry: 0,
        }
    }

    /// Returns the counters.
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// Returns the number of tracked allowances.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no allowances are tracked.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Admits a request whose caller waits `timeout_ms`, or rejects it.
    pub fn admit(
        &mut self,
        now: Millis,
        claim: BudgetClaim,
        fingerprint: RequestFingerprint,
        timeout_ms: u32,
    ) -> Result<OpenRequest, Rejection> {
        self.remove_expired(now);
        self.count_malformed(&claim);
        let trusted = claim.from_trusted_peer;
        let claimed = claim.budget.unwrap_or(None);
        let claimed_path = claim.path.unwrap_or_default();
        let mut budget = Budget::admit(claimed, trusted, self.default_budget(timeout_ms));
        let path = self.extend_path(&claimed_path, budget.hops)?;
        let fingerprint = self.track_identical(trusted, &claimed_path, fingerprint)?;
        let carries_budget = trusted && claimed.is_some();
        let allowance_id = if carries_budget {
            self.join_allowance(now, budget)
        } else {
            self.issue_allowance(budget.retries)
        };
        budget.hops -= 1;
        Ok(OpenRequest {
            allowance_id,
            reports_spent: carries_budget,
            fingerprint,
            budget,
            path,
        })
    }

    fn count_malformed(&mut self, claim: &BudgetClaim) {
        self.counters.malformed_headers +=
            u64::from(claim.budget.is_err()) + u64::from(claim.path.is_err());
    }

    /// Returns the budget granted to a request that carries none.
    fn default_budget(&self, timeout_ms: u32) -> Budget {
        Budget {
            time_ms: timeout_ms.min(MAX_TIME_MS),
            retries: self.config.max_retries,
            priority_weight: FULL_PRIORITY_WEIGHT,
            hops: self.config.max_hops,
            delegation_id: 0,
        }
    }

    fn extend_path(
        &mut self,
        claimed: &ProxyPath,
        remaining_hops: u8,
    ) -> Result<ProxyPath, Rejection> {
        let Config {
            proxy_name,
            reentries,
            ..
        } = &self.config;
        extend_path(claimed, proxy_name, *reentries, remaining_hops).inspect_err(|rejection| {
            match rejection {
                Rejection::Loop => self.counters.loops += 1,
                Rejection::TooManyHops => self.counters.too_many_hops += 1,
            }
        })
    }

    /// Tracks a request that a trusted peer sent without a path, whose loops show only as identical
    /// open requests.
    fn track_identical(
        &mut self,
        trusted: bool,
        claimed_path: &ProxyPath,
        fingerprint: RequestFingerprint,
    ) -> Result<Option<RequestFingerprint>, Rejection> {
        let tracked = trusted && claimed_path.names().is_empty() && self.config.max_identical > 0;
        if !tracked {
            return Ok(None);
        }
        if !self
            .in_flight
            .try_insert(fingerprint, true, self.config.max_identical - 1)
        {
            self.counters.loops += 1;
            return Err(Rejection::Loop);
        }
        Ok(Some(fingerprint))
    }

    /// Joins the allowance delegated by the upstream tier and returns its id. The first request
    /// creates the allowance.
    fn join_allowance(&mut self, now: Millis, carried: Budget) -> u64 {
        self.counters.carried_budgets += 1;
        let id = carried.delegation_id;
        let expires_at = now + Millis::from(carried.time_ms);
        if self
            .entries
            .get(&id)
            .is_some_and(|entry| entry.expires_at.is_some() && entry.is_expired(now))
        {
            self.entries.remove(&id);
        }
        if let Some(shared) = self.entries.get_mut(&id) {
            shared.open_requests += 1;
            shared.expires_at = shared.expires_at.map(|current| current.max(expires_at));
            return id;
        }
        if self.entries.len() >= MAX_ALLOWANCES {
            return self.insert_new(Allowance::new(0));
        }
        let allowance = Allowance::new(carried.retries);
        self.entries.insert(
            id,
            Entry {
                allowance,
                open_requests: 1,
                expires_at: Some(expires_at),
            },
        );
        id
    }

    /// Issues an allowance for a request that enters the chain at this proxy, and returns its id.
    fn issue_allowance(&mut self, requested: u16) -> u64 {
        self.counters.new_budgets += 1;
        let allowance = self.issuer.issue(if self.entries.len() < MAX_ALLOWANCES {
            requested
        } else {
            0
        });
        self.counters.retries_granted += u64::from(allowance.remaining());
        self.insert_new(allowance)
    }

    fn insert_new(&mut self, allowance: Allowance) -> u64 {
        let id = self.unused_id();
        self.entries.insert(
            id,
            Entry {
                allowance,
                open_requests: 1,
                expires_at: None,
            },
        );
        id
    }

    fn unused_id(&mut self) -> u64 {
        loop {
            let id = self.ids.next();
            if id != 0 && !self.entries.contains_key(&id) {
                return id;
            }
        }
    }

    fn allowance_mut(&mut self, request: &OpenRequest) -> Option<&mut Allowance> {
        self.entries
            .get_mut(&request.allowance_id)
            .map(|entry| &mut entry.allowance)
    }

    /// Returns the number of retries that may still be sent for the request.
    pub fn remaining_retries(&self, request: &OpenRequest) -> u16 {
        self.entries
            .get(&request.allowance_id)
            .map_or(0, |entry| entry.allowance.usable())
    }

    /// Spends one of the request's retries; returns false if none may be sent.
    pub fn try_retry(&mut self, request: &OpenRequest) -> bool {
        let may_retry = self
            .allowance_mut(request)
            .is_some_and(Allowance::try_spend);
        self.counters.retries_sent += u64::from(may_retry);
        may_retry
    }

    /// Delegates retries to an attempt, and returns the budget that its call carries. The sender
    /// reduces the budget's time to what remains.
    pub fn delegate(&mut self, request: &OpenRequest) -> (Delegation, Budget) {
        let delegates = self.config.delegates;
        let delegation = match self.allowance_mut(request) {
            Some(allowance) if delegates => allowance.delegate_most(),
            _ => Allowance::new(0).delegate(0),
        };
        let (retries, delegation_id) = (delegation.retries(), self.unused_id());
        (
            delegation,
            Budget {
                retries,
                delegation_id,
                ..request.budget
            },
        )
    }

    /// Settles the delegation of a completed attempt. An attempt that was never sent has spent no
    /// retries.
    pub fn settle(
        &mut self,
        request: &OpenRequest,
        delegation: Delegation,
        reported: Option<RetriesSpent>,
        never_sent: bool,
    ) {
        let unspent = RetriesSpent {
            retries: 0,
            stop: false,
        };
        let reported = if never_sent { Some(unspent) } else { reported };
        if reported.is_none() {
            self.counters.retries_lost += u64::from(delegation.retries());
        }
        if let Some(allowance) = self.allowance_mut(request) {
            allowance.settle(delegation, reported);
        }
    }

    /// Returns the report for the upstream tier, if the request carried a trusted budget. `failed`
    /// states that attempts failed in this tier, so that retries by another path to the same
    /// backends cannot succeed.
    pub fn retries_spent(&self, request: &OpenRequest, failed: bool) -> Option<RetriesSpent> {
        let entry = self
            .entries
            .get(&request.allowance_id)
            .filter(|_| request.reports_spent)?;
        Some(entry.allowance.retries_spent(failed))
    }

    /// Closes a request once it and all its attempts have completed.
    pub fn close(&mut self, now: Millis, request: OpenRequest) {
        if let Some(fingerprint) = request.fingerprint {
            self.in_flight.remove(fingerprint);
        }
        let Some(entry) = self.entries.get_mut(&request.allowance_id) else {
            return;
        };
        entry.open_requests -= 1;
        if !entry.is_expired(now) {
            return;
        }
        // Delegated allowances are reclaimed by the proxy that issued them.
        if let Some(entry) = self.entries.remove(&request.allowance_id)
            && entry.expires_at.is_none()
        {
            self.issuer.reclaim(entry.allowance);
        }
    }

    /// Removes expired delegated allowances.
    fn remove_expired(&mut self, now: Millis) {
        if now >= self.last_expiry + EXPIRY_INTERVAL {
            self.last_expiry = now;
            self.entries.retain(|_, entry| !entry.is_expired(now));
        }
    }
}
