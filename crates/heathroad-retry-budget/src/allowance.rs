//! Accounting of retry allowances. An issuer grants retries where a request enters the call chain.
//! Proxies spend the allowance on retries and delegate parts of it to downstream calls, which are
//! settled when they end. Every operation conserves or loses retries; none creates any.

use crate::wire::{MAX_RETRIES, RetriesSpent};

/// Weight of one request in the smoothed ratio of spent to granted retries.
const SPENT_RATIO_SMOOTHING: f64 = 0.05;

/// Issues retries in proportion to first attempts, which bounds the retries of all tiers at the
/// entry of the call chain.
///
/// Outstanding retries are reserved in proportion to the recent spent ratio. While few are spent,
/// every request can be granted some; in an outage, when all are spent, grants are limited to the
/// available tokens.
#[derive(Debug, Clone)]
pub struct Issuer {
    retry_ratio: f64,
    burst: f64,
    tokens: f64,
    /// Retries granted to requests that are still open.
    outstanding: f64,
    /// The smoothed ratio of spent to granted retries.
    spent_ratio: f64,
}

impl Issuer {
    /// Returns an issuer that grants `retry_ratio` retries per first attempt in the long run, with
    /// bursts of up to `burst`. Negative and non-finite values count as 0.
    pub fn new(retry_ratio: f64, burst: f64) -> Issuer {
        let non_negative = |x: f64| if x.is_finite() { x.max(0.0) } else { 0.0 };
        let burst = non_negative(burst);
        Issuer {
            retry_ratio: non_negative(retry_ratio),
            burst,
            tokens: burst,
            outstanding: 0.0,
            spent_ratio: 1.0,
        }
    }

    /// Records a first attempt and grants it up to `requested` retries, as far as available.
    pub fn issue(&mut self, requested: u16) -> Allowance {
        self.tokens = (self.tokens + self.retry_ratio).min(self.burst.max(1.0));
        let available = (self.tokens - self.outstanding * self.spent_ratio).max(0.0);
        let granted = requested.min(MAX_RETRIES).min(available as u16);
        self.outstanding += f64::from(granted);
        Allowance::new(granted)
    }

    /// Reclaims the allowance of a completed request and deducts the retries that it spent.
    pub fn reclaim(&mut self, allowance: Allowance) {
        let granted = f64::from(allowance.granted);
        let spent = f64::from(allowance.granted - allowance.remaining);
        self.outstanding = (self.outstanding - granted).max(0.0);
        self.tokens -= spent;
        if granted > 0.0 {
            self.spent_ratio += (spent / granted - self.spent_ratio) * SPENT_RATIO_SMOOTHING;
        }
    }
}

/// The retries that one request may still spend, in this tier and downstream.
#[derive(Debug, PartialEq, Eq)]
pub struct Allowance {
    granted: u16,
    remaining: u16,
    /// A downstream tier has reported that further retries cannot succeed.
    stopped: bool,
}

/// The retries that a downstream call may spend. It is not copyable: it is settled once, or its
/// retries are lost.
#[derive(Debug, PartialEq, Eq)]
#[must_use = "an unsettled delegation counts as spent"]
pub struct Delegation(u16);

impl Delegation {
    /// Returns the number of delegated retries.
    pub fn retries(&self) -> u16 {
        self.0
    }
}

impl Allowance {
    /// Returns an allowance of `granted` retries, capped at [`MAX_RETRIES`].
    pub fn new(granted: u16) -> Allowance {
        let granted = granted.min(MAX_RETRIES);
        Allowance {
            granted,
            remaining: granted,
            stopped: false,
        }
    }

    /// Returns the number of retries that are neither spent nor delegated.
    pub fn remaining(&self) -> u16 {
        self.remaining
    }

    /// Returns the number of retries that this tier may still send: 0 once a downstream tier has
    /// reported that retries cannot succeed.
    pub fn usable(&self) -> u16 {
        if self.stopped { 0 } else { self.remaining }
    }

    /// Spends one retry; returns false if none is usable.
    pub fn try_spend(&mut self) -> bool {
        let may_retry = self.usable() > 0;
        self.remaining -= u16::from(may_retry);
        may_retry
    }

    /// Delegates all retries but one, which is kept in case the called server fails and its
    /// delegation is lost. A single remaining retry is delegated, since retrying further downstream
    /// repeats less work.
    pub fn delegate_most(&mut self) -> Delegation {
        self.delegate(if self.remaining > 1 {
            self.remaining - 1
        } else {
            self.remaining
        })
    }

    /// Delegates at most `max` retries to a downstream call. Parallel calls share the retries.
    pub fn delegate(&mut self, max: u16) -> Delegation {
        let delegated = max.min(self.remaining);
        self.remaining -= delegated;
        Delegation(delegated)
    }

    /// Returns the unspent retries of a delegation to the allowance. All count as spent if the call
    /// reported nothing or more than was delegated.
    pub fn settle(&mut self, delegation: Delegation, reported: Option<RetriesSpent>) {
        let spent = reported.map_or(delegation.0, |report| report.retries.min(delegation.0));
        self.remaining += delegation.0 - spent;
        self.stopped |= reported.is_some_and(|report| report.stop);
    }

    /// Returns the report for the upstream tier; `stop` states that further retries cannot succeed.
    pub fn retries_spent(&self, stop: bool) -> RetriesSpent {
        RetriesSpent {
            retries: self.granted - self.remaining,
            stop: stop || self.stopped,
        }
    }
}
