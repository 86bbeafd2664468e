//! The arithmetic of retry allowances. An issuer grants retries where a request enters the chain,
//! and the allowance is spent by whichever proxy retries, delegated to calls below, and settled
//! when they end. Each operation moves retries or loses them; none creates any.

use crate::wire::{MAX_RETRIES, RetriesSpent};

/// Weight of one request in the smoothed ratio of spent to granted retries.
const SPENT_RATIO_SMOOTHING: f64 = 0.05;

/// Issues retries as a ratio of first attempts, over all tiers, which bounds the retries of a chain
/// where it begins.
///
/// Retries that are granted and not yet known to be spent are reserved only in the ratio in which
/// granted retries were lately spent. While nearly none are spent, every request may be granted
/// some; in an outage, when all are spent, no more are granted than there are.
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
    /// Returns an issuer of `retry_ratio` retries for each first attempt in the long run, and of
    /// `burst` at once. Negative and non-finite values count as 0.
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

    /// Records a first attempt and grants it the retries that it asks for, as far as there are any.
    pub fn issue(&mut self, wanted: u16) -> Allowance {
        self.tokens = (self.tokens + self.retry_ratio).min(self.burst.max(1.0));
        let available = (self.tokens - self.outstanding * self.spent_ratio).max(0.0);
        let granted = wanted.min(MAX_RETRIES).min(available as u16);
        self.outstanding += f64::from(granted);
        Allowance::new(granted)
    }

    /// Takes back the allowance of a request that has ended; the retries that it spent are gone.
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

/// The retries that one request may still spend, here and below.
#[derive(Debug, PartialEq, Eq)]
pub struct Allowance {
    granted: u16,
    remaining: u16,
    /// A tier below has reported that no further retry can help.
    stopped: bool,
}

/// The retries that a call below may spend. It cannot be copied: it is settled once, or its retries
/// are lost.
#[derive(Debug, PartialEq, Eq)]
#[must_use = "a delegation that is not settled is spent"]
pub struct Delegation(u16);

impl Delegation {
    /// Returns the number of delegated retries.
    pub fn retries(&self) -> u16 {
        self.0
    }
}

impl Allowance {
    /// Returns an allowance of so many retries, at most [`MAX_RETRIES`].
    pub fn new(granted: u16) -> Allowance {
        let granted = granted.min(MAX_RETRIES);
        Allowance {
            granted,
            remaining: granted,
            stopped: false,
        }
    }

    /// Returns the retries that are neither spent nor delegated.
    pub fn remaining(&self) -> u16 {
        self.remaining
    }

    /// Returns the retries that may still be sent from here: none once a tier below has reported
    /// that none can help.
    pub fn usable(&self) -> u16 {
        if self.stopped { 0 } else { self.remaining }
    }

    /// Spends a retry, and returns whether one was usable.
    pub fn try_spend(&mut self) -> bool {
        let may_retry = self.usable() > 0;
        self.remaining -= u16::from(may_retry);
        may_retry
    }

    /// Delegates all retries but one, which stays for the case that the called server is lost with
    /// its delegation. The last one is delegated too, since a retry further down repeats the least
    /// work.
    pub fn delegate_most(&mut self) -> Delegation {
        self.delegate(if self.remaining > 1 {
            self.remaining - 1
        } else {
            self.remaining
        })
    }

    /// Delegates at most so many retries to a call below. The nearer a retry is to what fails, the
    /// more it can help and the less it repeats: a single call is delegated all, parallel calls
    /// share.
    pub fn delegate(&mut self, most: u16) -> Delegation {
        let delegated = most.min(self.remaining);
        self.remaining -= delegated;
        Delegation(delegated)
    }

    /// Takes back what a call below has not spent. All of it counts as spent where the call
    /// reported nothing, or more than it was delegated.
    pub fn settle(&mut self, delegation: Delegation, reported: Option<RetriesSpent>) {
        let spent = reported.map_or(delegation.0, |report| report.retries.min(delegation.0));
        self.remaining += delegation.0 - spent;
        self.stopped |= reported.is_some_and(|report| report.stop);
    }

    /// Returns the report for the tier above; `stop` says that no further retry can help.
    pub fn retries_spent(&self, stop: bool) -> RetriesSpent {
        RetriesSpent {
            retries: self.granted - self.remaining,
            stop: stop || self.stopped,
        }
    }
}
