//! Transactional configuration changes: a change is staged, applied atomically, observed on
//! probation, and then committed or rolled back.
//!
//! [`TransactionManager`] is a state machine without clock or I/O. It handles events and returns
//! actions to be carried out in order. Only one transaction is open at a time. A rollback is itself
//! a change with a new number. Backend states do not belong to a generation, so a rollback does not
//! restore a backend that was drained, removed or revoked in the meantime.

mod event;
mod impact;
mod rollback;
mod staging;

pub use event::{Action, Event, TransactionReport};

use crate::generation::Generation;
use crate::journal::{OpenTransaction, Record};
use crate::regression::{PoolSample, RegressionDetector};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::{Rc, Weak};

/// Milliseconds of a monotonic clock.
pub type Millis = u64;

/// The factor by which earlier samples decay with each new one, so that a change is compared with
/// the period immediately before it.
const SAMPLE_DECAY: f64 = 0.95;

/// The settings of a transaction manager.
#[derive(Debug, Clone)]
pub struct TransactionConfig {
    /// The maximum time until all new pools are ready and the change is verified.
    pub staging_timeout: Millis,
    /// The duration of the probation before a change is committed.
    pub probation: Millis,
    /// The maximum number of older generations that open requests use. Further changes are
    /// rejected.
    pub max_generations_in_use: usize,
    /// Whether changes are verified before they are applied, by [`Action::Verify`] and
    /// [`Event::Verified`].
    pub verify: bool,
}

impl Default for TransactionConfig {
    fn default() -> Self {
        TransactionConfig {
            staging_timeout: 30_000,
            probation: 30_000,
            max_generations_in_use: 4,
            verify: false,
        }
    }
}

/// The verification state of a staged change.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Verification {
    /// Verification starts once all pools are ready.
    Required,
    /// Verification has started.
    Pending,
    /// The change was verified or needs no verification.
    Done,
}

#[derive(Debug)]
enum Phase {
    /// There is no transaction.
    Idle,
    Staging {
        next: Rc<Generation>,
        missing_pools: BTreeSet<String>,
        deadline: Millis,
        verification: Verification,
    },
    Probation {
        previous: Rc<Generation>,
        detector: RegressionDetector,
        deadline: Millis,
    },
}

/// Manages configuration changes, one at a time.
#[derive(Debug)]
pub struct TransactionManager {
    config: TransactionConfig,
    current: Rc<Generation>,
    /// The generation before the last committed change, for a manual rollback.
    previous: Option<Rc<Generation>>,
    /// The last generation that was recorded as committed.
    committed: Rc<Generation>,
    /// The one before it, which a restart uses if the last record could not be written.
    committed_before: Option<Rc<Generation>>,
    phase: Phase,
    highest_number: u64,
    shutting_down: bool,
    /// The decayed samples of pools, for comparison with the next change.
    recent_samples: BTreeMap<String, PoolSample>,
    /// Earlier generations, which open requests may still use.
    older_generations: Vec<Weak<Generation>>,
}

impl TransactionManager {
    /// Starts with a committed generation. `highest_number` is the highest number ever assigned.
    pub fn new(config: TransactionConfig, current: Rc<Generation>, highest_number: u64) -> Self {
        TransactionManager {
            config,
            previous: None,
            committed: current.clone(),
            committed_before: None,
            phase: Phase::Idle,
            highest_number: highest_number.max(current.number),
            shutting_down: false,
            recent_samples: BTreeMap::new(),
            older_generations: Vec::new(),
            current,
        }
    }

    /// Returns the generation that new requests bind to.
    pub fn current(&self) -> &Rc<Generation> {
        &self.current
    }

    /// Reserves all numbers up to one that was assigned by another proxy.
    pub fn reserve_numbers_up_to(&mut self, number: u64) {
        self.highest_number = self.highest_number.max(number);
    }

    /// Returns the open transaction.
    pub fn open_transaction(&self) -> Option<OpenTransaction> {
        match &self.phase {
            Phase::Idle => None,
            Phase::Staging { next, .. } => Some(OpenTransaction {
                number: next.number,
                applied: false,
            }),
            Phase::Probation { .. } => Some(OpenTransaction {
                number: self.current.number,
                applied: true,
            }),
        }
    }

    /// Counts the older generations that open requests use. References that the manager itself
    /// keeps for a rollback do not count.
    pub fn count_generations_in_use(&mut self) -> usize {
        self.older_generations.retain(|g| g.strong_count() > 0);
        let on_probation = match &self.phase {
            Phase::Probation { previous, .. } => Some(previous),
            _ => None,
        };
        let own_references = [
            on_probation,
            self.previous.as_ref(),
            self.committed_before.as_ref(),
            Some(&self.committed),
        ];
        let count_own = |generation: &Weak<Generation>| {
            let references = own_references.iter().flatten();
            let same = references.filter(|r| std::ptr::eq(Rc::as_ptr(r), generation.as_ptr()));
            same.count()
        };
        let older = self.older_generations.iter();
        older.filter(|g| g.strong_count() > count_own(g)).count()
    }

    /// Handles an event and appends the resulting actions.
    pub fn handle(&mut self, now: Millis, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Propose(next) => self.propose(now, &next, actions),
            Event::PoolReady { number, pool } => self.mark_pool_ready(now, number, &pool, actions),
            Event::Verified { number, rejection } => {
                self.record_verdict(now, number, rejection, actions);
            }
            Event::PoolSampled { pool, sample } => self.record_sample(&pool, &sample, actions),
            Event::RollBack { reason } => self.roll_back(now, reason, actions),
            Event::Shutdown => self.shut_down(actions),
            Event::Tick => self.check_deadline(now, actions),
        }
    }

    /// Returns the generation with the highest number assigned. Its text was parsed before, so
    /// parsing succeeds again.
    fn renumber(&self, generation: &Generation) -> Option<Rc<Generation>> {
        Generation::parse(self.highest_number, "", &generation.text).ok()
    }

    /// Replaces the current generation and returns the previous one.
    fn replace_current(&mut self, next: Rc<Generation>) -> Rc<Generation> {
        let previous = std::mem::replace(&mut self.current, next);
        self.older_generations.push(Rc::downgrade(&previous));
        previous
    }

    fn record_sample(&mut self, pool: &str, sample: &PoolSample, actions: &mut Vec<Action>) {
        if let Phase::Probation { detector, .. } = &mut self.phase {
            detector.record(pool, sample);
            if let Some(regression) = detector.detect() {
                self.roll_back_probation(&regression.to_string(), actions);
            }
        } else {
            let recent = self.recent_samples.entry(pool.to_string()).or_default();
            recent.add_decayed(SAMPLE_DECAY, sample);
        }
    }

    fn mark_current_committed(&mut self) {
        let before = std::mem::replace(&mut self.committed, self.current.clone());
        self.committed_before = Some(before);
    }

    /// Aborts a staged change. A change on probation stays applied but is not committed, so a
    /// restart does not use it.
    fn shut_down(&mut self, actions: &mut Vec<Action>) {
        self.shutting_down = true;
        if matches!(self.phase, Phase::Staging { .. }) {
            self.abort("the daemon is shutting down".into(), actions);
        }
    }

    fn check_deadline(&mut self, now: Millis, actions: &mut Vec<Action>) {
        match &self.phase {
            Phase::Staging {
                missing_pools,
                deadline,
                ..
            } if now >= *deadline => {
                let missing: Vec<&str> = missing_pools.iter().map(String::as_str).collect();
                let reason = match missing.as_slice() {
                    [] => "not verified in time".to_string(),
                    missing => format!("not ready in time: {}", missing.join(", ")),
                };
                self.abort(reason, actions);
            }
            Phase::Probation { deadline, .. } if now >= *deadline && !self.shutting_down => {
                self.commit(actions);
            }
            _ => {}
        }
    }

    fn commit(&mut self, actions: &mut Vec<Action>) {
        let Phase::Probation {
            previous, detector, ..
        } = std::mem::replace(&mut self.phase, Phase::Idle)
        else {
            return;
        };
        let number = self.current.number;
        actions.push(Action::Persist(Record::Committed {
            number,
            text: self.current.text.clone(),
        }));
        actions.push(Action::Report(TransactionReport::Committed { number }));
        self.mark_current_committed();
        self.retire_pools_of(&previous, actions);
        self.previous = Some(previous);
        // The next change is compared with the probation period of this one.
        self.recent_samples = detector.into_samples();
    }
}
