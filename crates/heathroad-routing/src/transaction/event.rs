//! The events, actions and reports of a transaction manager.

use crate::generation::Generation;
use crate::journal::Record;
use crate::regression::PoolSample;
use std::fmt;
use std::rc::Rc;

/// An event that the manager handles.
#[derive(Debug)]
pub enum Event {
    /// A checked generation is proposed. The manager assigns the next number, unless the generation
    /// already has a higher one, by which other proxies know it.
    Propose(Rc<Generation>),
    /// A staged pool has backends and established connections.
    PoolReady {
        /// The number of the generation that staged the pool. An earlier generation may have staged
        /// a different pool of the same name.
        number: u64,
        /// The name of the pool.
        pool: String,
    },
    /// The verification requested by [`Action::Verify`] has completed.
    Verified {
        /// The number of the change.
        number: u64,
        /// Why the change must not be applied. `None` if it may be applied.
        rejection: Option<String>,
    },
    /// A pool has a new sample.
    PoolSampled {
        /// The name of the pool.
        pool: String,
        /// The outcomes since the previous sample of the pool.
        sample: PoolSample,
    },
    /// An operator rolls back the open transaction or, if there is none, the last committed change.
    RollBack {
        /// The human-readable reason.
        reason: String,
    },
    /// The daemon is shutting down. No new transaction is accepted.
    Shutdown,
    /// Time has passed.
    Tick,
}

/// An action of the caller. Actions are carried out in order, one after the other. If
/// [`Action::Persist`] fails, the caller discards the remaining actions and calls
/// [`handle_persist_failure`](super::TransactionManager::handle_persist_failure).
#[derive(Debug)]
pub enum Action {
    /// Write a record durably.
    Persist(Record),
    /// Prepare pools of a generation: discover their backends and open connections.
    Stage {
        /// The generation.
        generation: Rc<Generation>,
        /// The names of the pools.
        pools: Vec<String>,
    },
    /// Verify the generation against the current state, and answer with [`Event::Verified`].
    Verify(Rc<Generation>),
    /// Bind all new requests to the generation from now on.
    Apply(Rc<Generation>),
    /// Drain these pools, which are not part of the current generation.
    Retire(Vec<String>),
    /// Log the report and return it to the operator.
    Report(TransactionReport),
}

/// The progress of a transaction, or why a proposal was rejected.
#[derive(Debug, Clone, PartialEq)]
#[non_exhaustive]
pub enum TransactionReport {
    /// The proposed text is that of the current generation, so nothing changes.
    Unchanged {
        /// The number of the current generation.
        number: u64,
    },
    /// The proposal is rejected, because another transaction is open.
    Busy {
        /// The number of its generation.
        number: u64,
    },
    /// The proposal is rejected, because open requests use too many older generations.
    TooManyGenerationsInUse {
        /// The number of these generations.
        count: usize,
    },
    /// The proposal is rejected, because the daemon is shutting down.
    ShuttingDown,
    /// The change was accepted, and its pools are being prepared.
    Staged {
        /// The number of the change.
        number: u64,
    },
    /// The change was applied and is on probation.
    Applied {
        /// The number of the change.
        number: u64,
    },
    /// The change was committed.
    Committed {
        /// The number of the change.
        number: u64,
    },
    /// The transaction ended before the change was applied.
    Aborted {
        /// The number of the change.
        number: u64,
        /// The human-readable reason.
        reason: String,
    },
    /// The change was replaced by the previous generation.
    RolledBack {
        /// The number of the change.
        number: u64,
        /// The new number of the restored generation.
        restored_as: u64,
        /// The human-readable reason.
        reason: String,
    },
    /// There is no change to roll back.
    NothingToRollBack,
}

impl TransactionReport {
    /// Returns whether an operator's request was not carried out.
    pub fn is_rejection(&self) -> bool {
        match self {
            Self::Busy { .. }
            | Self::TooManyGenerationsInUse { .. }
            | Self::ShuttingDown
            | Self::NothingToRollBack
            | Self::Aborted { .. } => true,
            Self::Unchanged { .. }
            | Self::Staged { .. }
            | Self::Applied { .. }
            | Self::Committed { .. }
            | Self::RolledBack { .. } => false,
        }
    }
}

impl fmt::Display for TransactionReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unchanged { number } => {
                write!(f, "nothing changes: generation {number} has the same text")
            }
            Self::Busy { number } => {
                write!(
                    f,
                    "rejected: the change to generation {number} is still in progress"
                )
            }
            Self::TooManyGenerationsInUse { count } => {
                write!(
                    f,
                    "rejected: open requests still use {count} older generations"
                )
            }
            Self::ShuttingDown => f.write_str("rejected: the daemon is shutting down"),
            Self::Staged { number } => write!(f, "generation {number} is staged"),
            Self::Applied { number } => {
                write!(f, "generation {number} is applied and on probation")
            }
            Self::Committed { number } => write!(f, "generation {number} is committed"),
            Self::Aborted { number, reason } => {
                write!(f, "generation {number} is given up: {reason}")
            }
            Self::RolledBack {
                number,
                restored_as,
                reason,
            } => write!(
                f,
                "generation {number} is undone by {restored_as}: {reason}"
            ),
            Self::NothingToRollBack => f.write_str("there is nothing to undo"),
        }
    }
}
