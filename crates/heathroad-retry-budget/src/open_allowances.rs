//! The allowances of one proxy's open requests: what each came with, what is delegated to calls
//! below, and what is reported to the tier above.
//!
//! Calls that one parent makes copy its budget as it is, and share its retries by the delegation's
//! id: whichever of them comes first opens the allowance, and the others draw on it. It is kept
//! until the time that it was told has passed, so that a call that comes after the others have
//! ended finds what they have left.

use crate::allowance::{Allowance, Delegation, Issuer};
use crate::id_generator::SplitMix64;
use crate::loop_detection::{InFlightRequests, Rejection, RequestFingerprint, extend_path};
use crate::request::{BudgetClaim, OpenRequest};
use crate::wire::{Budget, FULL_PRIORITY_WEIGHT, MAX_TIME_MS, ProxyPath, RetriesSpent};
use std::collections::HashMap;

/// Milliseconds of a monotonic clock.
pub type Millis = u64;

/// Most allowances that are kept at once; a request past them is granted no retry.
const MAX_ALLOWANCES: usize = 100_000;
/// Expired allowances are looked for at this interval.
const EXPIRY_INTERVAL: Millis = 1_000;

/// What a proxy grants and accepts.
#[derive(Debug, Clone, PartialEq)]
pub struct Config {
    /// The proxy's name in paths, which it shares with its replicas.
    pub proxy_name: String,
    /// Most retries that a request is granted here.
    pub max_retries: u16,
    /// Retries granted for each first attempt, in the long run.
    pub retry_ratio: f64,
    /// Retries granted at once after a calm period.
    pub burst: f64,
    /// Most proxies that a request may pass, this one among them.
    pub max_hops: u8,
    /// How often a request's routes may bring it back here.
    pub reentries: usize,
    /// Most identical requests without a path that trusted peers may have open here at once; 0
    /// turns the check off.
    pub max_identical: usize,
    /// Its backends call through proxies that know budgets: retries are delegated to them.
    pub delegates: bool,
}

/// Counters since the start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counters {
    /// Requests admitted without a budget that counts.
    pub new_budgets: u64,
    /// Requests that carried a budget from a trusted peer.
    pub carried_budgets: u64,
    /// Headers that could not be decoded.
    pub malformed_headers: u64,
    /// Requests rejected as loops.
    pub loops: u64,
    /// Requests rejected for too many hops.
    pub too_many_hops: u64,
    /// Retries granted here.
    pub retries_granted: u64,
    /// Retries sent from here.
    pub retries_sent: u64,
    /// Delegated retries of which no report came back.
    pub retries_lost: u64,
}

#[derive(Debug)]
struct Entry {
    allowance: Allowance,
    /// Open requests that draw on it.
    open_requests: u32,
    /// An allowance delegated from above is kept until then; one granted here ends with its one
    /// request.
    expires_at: Option<Millis>,
}

impl Entry {
    fn is_expired(&self, now: Millis) -> bool {
        self.open_requests == 0 && self.expires_at.is_none_or(|expires_at| expires_at <= now)
    }
}

/// The allowances of all open requests, and those that calls of one parent share.
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
    /// Returns an empty set. `seed` feeds the ids of delegations, and no two proxies should share
    /// one.
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

    /// Returns the number of allowances that are kept.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no allowance is kept.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Admits a request whose caller waits so long, or rejects it.
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
        let mut budget = Budget::admit(claimed, trusted, self.own_budget(timeout_ms));
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

    /// Returns the budget that a request without one is granted here.
    fn own_budget(&self, timeout_ms: u32) -> Budget {
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

    /// Tracks a request of a trusted peer that carries no path: only many identical ones show that
    /// it goes round.
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

    /// Draws on an allowance that was delegated from above, and returns its id. Whoever comes first
    /// opens it.
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
            shared.expires_at = shared.expires_at.map(|known| known.max(expires_at));
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

    /// Issues an allowance for a request that enters the chain here, and returns its id.
    fn issue_allowance(&mut self, wanted: u16) -> u64 {
        self.counters.new_budgets += 1;
        let allowance = self.issuer.issue(if self.entries.len() < MAX_ALLOWANCES {
            wanted
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

    /// Returns the number of retries that the request may still send.
    pub fn remaining_retries(&self, request: &OpenRequest) -> u16 {
        self.entries
            .get(&request.allowance_id)
            .map_or(0, |entry| entry.allowance.usable())
    }

    /// Spends a retry of the request, and returns whether one may be sent.
    pub fn try_retry(&mut self, request: &OpenRequest) -> bool {
        let may_retry = self
            .allowance_mut(request)
            .is_some_and(Allowance::try_spend);
        self.counters.retries_sent += u64::from(may_retry);
        may_retry
    }

    /// Delegates retries to an attempt, with the budget that its call carries. The sender lowers
    /// the budget's time.
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

    /// Settles the delegation of an attempt that has ended. One that was never sent has spent
    /// nothing.
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

    /// Returns the report for the tier above, where the request carried a budget. `failed` says
    /// that this tier has tried and could not help, so that another way to the same backends will
    /// not either.
    pub fn retries_spent(&self, request: &OpenRequest, failed: bool) -> Option<RetriesSpent> {
        let entry = self
            .entries
            .get(&request.allowance_id)
            .filter(|_| request.reports_spent)?;
        Some(entry.allowance.retries_spent(failed))
    }

    /// Closes a request that has ended, with all its attempts.
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
        // An allowance that was delegated from above is the issuer's there to reclaim.
        if let Some(entry) = self.entries.remove(&request.allowance_id)
            && entry.expires_at.is_none()
        {
            self.issuer.reclaim(entry.allowance);
        }
    }

    /// Removes delegated allowances whose time has passed.
    fn remove_expired(&mut self, now: Millis) {
        if now >= self.last_expiry + EXPIRY_INTERVAL {
            self.last_expiry = now;
            self.entries.retain(|_, entry| !entry.is_expired(now));
        }
    }
}
