//! Retry budgets of the daemon's requests. The crate `heathroad-retry-budget` makes the decisions;
//! this module provides the clock and the trusted peers, and closes every admitted request.

mod headers;
mod settings;

pub use headers::{AttemptBudget, SPENT_HEADER, read_http_claim, read_jsonrpc_claim};
pub use settings::{RawSettings, Settings, SettingsError};

use heathroad_retry_budget::allowance::Delegation;
use heathroad_retry_budget::loop_detection::{Rejection, RequestFingerprint};
use heathroad_retry_budget::open_allowances::{Counters, OpenAllowances};
use heathroad_retry_budget::request::{BudgetClaim, OpenRequest};
use heathroad_retry_budget::wire::{Budget, FULL_PRIORITY_WEIGHT, RetriesSpent};
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::net::IpAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// Rejection of a request in a forwarding loop. The text is the body of the response.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum LoopError {
    /// The request has passed this proxy before.
    #[error("loop: the request has passed {proxy_name} before")]
    Loop {
        /// This proxy's name in paths.
        proxy_name: String,
    },
    /// The request has reached its hop limit.
    #[error("loop: the request has passed as many proxies as it may before {proxy_name}")]
    TooManyHops {
        /// This proxy's name in paths.
        proxy_name: String,
    },
}

/// The retry budgets of this proxy's requests.
pub struct RetryBudgets {
    allowances: RefCell<OpenAllowances>,
    proxy_name: String,
    trusted_peers: BTreeSet<IpAddr>,
    cancels_downstream: bool,
    started: Instant,
}

/// The budget of an admitted request. Dropping it closes the request's allowance.
pub struct RequestBudget {
    budgets: Rc<RetryBudgets>,
    /// `None` only while it is dropped.
    request: Option<OpenRequest>,
    path: Rc<str>,
}

/// The budget delegated to an attempt, until it is settled.
pub struct DelegatedBudget {
    delegation: Delegation,
    /// The budget that the attempt carries.
    pub attempt: Rc<AttemptBudget>,
}

impl RetryBudgets {
    /// Returns the budgets of a proxy without requests. Each proxy should use a different seed.
    pub fn new(settings: &Settings, seed: u64) -> Rc<RetryBudgets> {
        let Settings {
            config,
            trusted_peers,
            cancels_downstream,
        } = settings.clone();
        Rc::new(RetryBudgets {
            proxy_name: config.proxy_name.clone(),
            allowances: RefCell::new(OpenAllowances::new(config, seed)),
            trusted_peers,
            cancels_downstream,
            started: Instant::now(),
        })
    }

    /// Returns whether a peer's budget claims are trusted.
    pub fn is_trusted(&self, peer: IpAddr) -> bool {
        self.trusted_peers.contains(&peer.to_canonical())
    }

    /// Returns the counters since the start.
    pub fn counters(&self) -> Counters {
        self.allowances.borrow().counters()
    }

    fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    /// Admits a request with the client's timeout, or rejects it as a forwarding loop.
    pub fn admit(
        self: &Rc<Self>,
        claim: BudgetClaim,
        fingerprint: RequestFingerprint,
        timeout: Duration,
    ) -> Result<RequestBudget, LoopError> {
        let timeout_ms = u32::try_from(timeout.as_millis()).unwrap_or(u32::MAX);
        let admitted =
            self.allowances
                .borrow_mut()
                .admit(self.now_ms(), claim, fingerprint, timeout_ms);
        let request = admitted.map_err(|rejection| self.loop_error(rejection))?;
        let path = request.path().to_string().into();
        Ok(RequestBudget {
            budgets: self.clone(),
            request: Some(request),
            path,
        })
    }

    fn loop_error(&self, rejection: Rejection) -> LoopError {
        let proxy_name = self.proxy_name.clone();
        match rejection {
            Rejection::TooManyHops => LoopError::TooManyHops { proxy_name },
            _ => LoopError::Loop { proxy_name },
        }
    }
}

impl RequestBudget {
    /// Returns the request's time limit.
    pub fn time_limit(&self) -> Duration {
        let limit_ms = self.request.as_ref().map_or(0, OpenRequest::time_limit_ms);
        Duration::from_millis(u64::from(limit_ms))
    }

    /// Returns the priority weight, as a fraction of the class's weight.
    pub fn priority_weight(&self) -> f64 {
        self.request
            .as_ref()
            .map_or(1.0, OpenRequest::priority_weight)
    }

    /// Returns the number of retries that may still be sent for the request.
    pub fn remaining_retries(&self) -> u32 {
        let allowances = self.budgets.allowances.borrow();
        self.request.as_ref().map_or(0, |request| {
            u32::from(allowances.remaining_retries(request))
        })
    }

    /// Spends one retry; returns false if none may be sent.
    pub fn try_retry(&self) -> bool {
        let mut allowances = self.budgets.allowances.borrow_mut();
        self.request
            .as_ref()
            .is_some_and(|request| allowances.try_retry(request))
    }

    /// Delegates a budget to an attempt. `priority_weight` is the request's weight in the decision
    /// module, as a fraction of the class's weight.
    pub fn delegate(&self, priority_weight: f64) -> Option<DelegatedBudget> {
        let request = self.request.as_ref()?;
        let (delegation, budget) = self.budgets.allowances.borrow_mut().delegate(request);
        // A lower weight from the request's own budget takes precedence.
        let thousandths = (priority_weight * f64::from(FULL_PRIORITY_WEIGHT)) as u16;
        let budget = Budget {
            priority_weight: thousandths.min(budget.priority_weight),
            ..budget
        };
        let attempt =
            AttemptBudget::new(budget, self.path.clone(), self.budgets.cancels_downstream);
        Some(DelegatedBudget {
            delegation,
            attempt: Rc::new(attempt),
        })
    }

    /// Settles the budget of a completed attempt. An attempt that was never sent has spent no
    /// retries.
    pub fn settle(&self, delegated: DelegatedBudget, never_sent: bool) {
        let DelegatedBudget {
            delegation,
            attempt,
        } = delegated;
        if let Some(request) = &self.request {
            let mut allowances = self.budgets.allowances.borrow_mut();
            allowances.settle(request, delegation, attempt.retries_spent(), never_sent);
        }
    }

    /// Returns the report for the caller, if it is trusted and sent a budget. `failed` states that
    /// attempts failed in this tier.
    pub fn retries_spent(&self, failed: bool) -> Option<RetriesSpent> {
        self.budgets
            .allowances
            .borrow()
            .retries_spent(self.request.as_ref()?, failed)
    }
}

impl Drop for RequestBudget {
    fn drop(&mut self) {
        if let Some(request) = self.request.take() {
            let now_ms = self.budgets.now_ms();
            self.budgets.allowances.borrow_mut().close(now_ms, request);
        }
    }
}
