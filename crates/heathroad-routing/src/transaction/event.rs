//! What a transaction manager takes and returns: events, actions and reports.

use crate::generation::Generation;
use crate::journal::Record;
use crate::regression::PoolSample;
use std::fmt;
use std::rc::Rc;

/// An event that the manager handles.
#[derive(Debug)]
pub enum Event {
    /// A checked generation is proposed. The manager assigns its number, unless the generation has
    /// one that is higher than any assigned here, by which other proxies know it.
    Propose(Rc<Generation>),
    /// A staged pool has backends and warm connections.
    PoolReady {
        /// The number of the generation that staged the pool. An earlier one may have staged a
        /// different pool of the same name.
        number: u64,
        /// The name of the pool.
        pool: String,
    },
    /// A change was verified, as [`Action::Verify`] asks.
    Verified {
        /// The number of the change.
        number: u64,
        /// Why the change must not be applied. `None` means that it may be.
        rejection: Option<String>,
    },
    /// A pool has a new sample since the last event.
    PoolSampled {
        /// The name of the pool.
        pool: String,
        /// The outcomes since the last event.
        sample: PoolSample,
    },
    /// An operator rolls back the change under way, or else the last committed one.
    RollBack {
        /// The reason, for people.
        reason: String,
    },
    /// The daemon shuts down, and begins nothing new.
    Shutdown,
    /// Time has passed.
    Tick,
}

/// An action to be carried out before the next one. If [`Action::Persist`] fails, the caller drops
/// the rest and reports it by
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
    /// Verify the generation as things stand, and answer by [`Event::Verified`].
    Verify(Rc<Generation>),
    /// Bind new requests to the generation from this instant on.
    Apply(Rc<Generation>),
    /// Drain these pools, which no generation in force names.
    Retire(Vec<String>),
    /// Notify the operator who asked, and log.
    Report(TransactionReport),
}

/// The progress of a transaction, or why there is none.
#[derive(Debug, Clone, PartialEq)]
#[non_exhaustive]
pub enum TransactionReport {
    /// The proposed text is the one in force, so that nothing happens.
    Unchanged {
        /// The number of the generation in force.
        number: u64,
    },
    /// Another transaction is under way, so that the proposal is rejected.
    Busy {
        /// The number of its generation.
        number: u64,
    },
    /// Requests are bound to too many older generations, so that the proposal is rejected.
    TooManyGenerationsInUse {
        /// The number of these generations.
        count: usize,
    },
    /// The daemon shuts down, so that the proposal is rejected.
    ShuttingDown,
    /// The change is accepted, and its pools are being prepared.
    Staged {
        /// The number of the change.
        number: u64,
    },
    /// The change is in force, on probation.
    Applied {
        /// The number of the change.
        number: u64,
    },
    /// The change is committed.
    Committed {
        /// The number of the change.
        number: u64,
    },
    /// The transaction ended before the change was applied.
    Aborted {
        /// The number of the change.
        number: u64,
        /// The reason, for people.
        reason: String,
    },
    /// The change was replaced by the generation before it.
    RolledBack {
        /// The number of the change.
        number: u64,
        /// The number under which the earlier generation is in force again.
        restored_as: u64,
        /// The reason, for people.
        reason: String,
    },
    /// There is no change to roll back.
    NothingToRollBack,
}

impl TransactionReport {
    /// Whether the request of an operator was not carried out.
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
                let generation = format!("generation {number}, which is in force");
                write!(f, "nothing changes: the same as {generation}")
            }
            Self::Busy { number } => {
                write!(
                    f,
                    "turned down: generation {number} is under way, wait for it"
                )
            }
            Self::TooManyGenerationsInUse { count } => {
                write!(
                    f,
                    "turned down: requests are still bound to {count} older generations"
                )
            }
            Self::ShuttingDown => f.write_str("turned down: the daemon stops"),
            Self::Staged { number } => write!(f, "generation {number} is staged"),
            Self::Applied { number } => {
                write!(f, "generation {number} is in force, on probation")
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
