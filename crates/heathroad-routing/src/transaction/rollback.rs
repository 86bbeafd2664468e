//! Rollbacks, which are triggered manually, by a regression or by a failed write to the journal.

use super::{Action, Millis, Phase, TransactionManager, TransactionReport, Verification};
use crate::generation::Generation;
use crate::journal::Record;
use std::rc::Rc;

impl TransactionManager {
    pub(super) fn roll_back(&mut self, now: Millis, reason: String, actions: &mut Vec<Action>) {
        match &self.phase {
            Phase::Staging { .. } => self.abort(reason, actions),
            Phase::Probation { .. } => self.roll_back_probation(&reason, actions),
            Phase::Idle if self.shutting_down => {
                actions.push(Action::Report(TransactionReport::ShuttingDown));
            }
            // The pools of the previous generation may be gone, so the rollback of a committed
            // change is staged and observed like any change. It is not verified, so that
            // expectations cannot prevent a rollback.
            Phase::Idle => match self.previous.clone() {
                Some(previous) => self.stage(now, &previous, Verification::Done, actions),
                None => actions.push(Action::Report(TransactionReport::NothingToRollBack)),
            },
        }
    }

    /// Restores the generation before the probation without staging, since its pools were kept.
    pub(super) fn roll_back_probation(&mut self, reason: &str, actions: &mut Vec<Action>) {
        let Phase::Probation { previous, .. } = std::mem::replace(&mut self.phase, Phase::Idle)
        else {
            return;
        };
        self.highest_number += 1;
        let Some(restored) = self.renumber(&previous) else {
            return;
        };
        let failed = self.current.clone();
        actions.push(Action::Persist(Record::Committed {
            number: restored.number,
            text: restored.text.clone(),
        }));
        self.restore(&failed, restored, reason, actions);
        self.mark_current_committed();
        self.retire_pools_of(&failed, actions);
    }

    /// Replaces a failed change by a restored generation.
    fn restore(
        &mut self,
        failed: &Generation,
        restored: Rc<Generation>,
        reason: &str,
        actions: &mut Vec<Action>,
    ) {
        actions.push(Action::Apply(restored.clone()));
        actions.push(Action::Report(TransactionReport::RolledBack {
            number: failed.number,
            restored_as: restored.number,
            reason: reason.to_string(),
        }));
        self.replace_current(restored);
    }

    /// Handles a failure to persist a record.
    ///
    /// A step that is not recorded must not take effect: if opening or applying a change cannot be
    /// recorded, the change is aborted or rolled back; if its commit cannot, it is rolled back.
    pub fn handle_persist_failure(
        &mut self,
        record: &Record,
        reason: &str,
        actions: &mut Vec<Action>,
    ) {
        match record {
            Record::Opened { .. } | Record::Applied { .. } => match &self.phase {
                Phase::Staging { .. } => self.abort(reason.to_string(), actions),
                Phase::Probation { .. } => self.roll_back_probation(reason, actions),
                Phase::Idle => {}
            },
            Record::Committed { number, .. } if *number == self.current.number => {
                self.revert_to_committed(reason, actions);
            }
            _ => {}
        }
    }

    /// Reverts to the generation that a restart would use, after the commit of the current one
    /// could not be recorded.
    fn revert_to_committed(&mut self, reason: &str, actions: &mut Vec<Action>) {
        let Some(committed) = self.committed_before.take() else {
            return;
        };
        self.committed = committed.clone();
        if committed.text == self.current.text {
            // The failed record is that of a rollback to the same text.
            return;
        }
        self.highest_number += 1;
        let Some(restored) = self.renumber(&committed) else {
            return;
        };
        let failed = self.current.clone();
        self.restore(&failed, restored, reason, actions);
        self.retire_pools_of(&failed, actions);
        self.previous = None;
    }

    /// Retires the pools of a generation that are not part of the current one.
    pub(super) fn retire_pools_of(&self, generation: &Generation, actions: &mut Vec<Action>) {
        let pools = generation.config.pools.iter().map(|pool| &pool.name);
        let unused = pools.filter(|name| self.current.pool(name).is_none());
        let retired: Vec<String> = unused.cloned().collect();
        if !retired.is_empty() {
            actions.push(Action::Retire(retired));
        }
    }
}
