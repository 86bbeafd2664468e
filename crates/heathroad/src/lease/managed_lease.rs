//! A configured lease: its work, and the record of this proxy's holds.

use crate::configuration::lease::{LeaseSettings, WorkSettings};
use heathroad_lease::candidate::EndReason;
use heathroad_lease::token::Token;
use std::cell::RefCell;
use std::collections::VecDeque;
use tokio::task::JoinHandle;

/// Maximum number of this proxy's holds that are recorded for each lease.
const MAX_OWN_HOLDS: usize = 64;

/// A hold of the lease by this proxy.
#[derive(Debug, Clone)]
pub(super) struct OwnHold {
    pub(super) token: Token,
    /// Unix time in milliseconds.
    pub(super) from: u64,
    /// Unix time in milliseconds; `None` while the lease is held.
    pub(super) to: Option<u64>,
    pub(super) end_reason: Option<EndReason>,
}

/// A lease that this proxy campaigns for.
pub(super) struct ManagedLease {
    pub(super) name: String,
    pub(super) work: WorkSettings,
    /// The task of the work, while the lease is held.
    task: RefCell<Option<JoinHandle<()>>>,
    own_holds: RefCell<VecDeque<OwnHold>>,
    /// The last failure of the work.
    work_failure: RefCell<Option<String>>,
}

impl ManagedLease {
    pub(super) fn new(settings: LeaseSettings) -> ManagedLease {
        ManagedLease {
            name: settings.name,
            work: settings.work,
            task: RefCell::default(),
            own_holds: RefCell::default(),
            work_failure: RefCell::default(),
        }
    }

    pub(super) fn record_acquisition(&self, token: Token, unix_ms: u64) {
        let mut holds = self.own_holds.borrow_mut();
        if holds.len() >= MAX_OWN_HOLDS {
            holds.pop_front();
        }
        holds.push_back(OwnHold {
            token,
            from: unix_ms,
            to: None,
            end_reason: None,
        });
    }

    pub(super) fn record_end(&self, token: Token, unix_ms: u64, reason: EndReason) {
        let mut holds = self.own_holds.borrow_mut();
        if let Some(hold) = holds.iter_mut().rev().find(|hold| hold.token == token) {
            hold.to = Some(unix_ms);
            hold.end_reason = Some(reason);
        }
    }

    /// Returns the holds of this proxy, oldest first.
    pub(super) fn own_holds(&self) -> Vec<OwnHold> {
        self.own_holds.borrow().iter().cloned().collect()
    }

    pub(super) fn set_work_task(&self, task: JoinHandle<()>) {
        self.task.replace(Some(task));
    }

    pub(super) fn stop_work(&self) {
        if let Some(task) = self.task.take() {
            task.abort();
        }
    }

    pub(super) fn set_work_failure(&self, failure: String) {
        self.work_failure.replace(Some(failure));
    }

    /// Returns the last failure of the work.
    pub(super) fn work_failure(&self) -> Option<String> {
        self.work_failure.borrow().clone()
    }
}
