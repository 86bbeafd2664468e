//! The first phase of a transaction: a proposal is staged, verified, and applied or aborted.

use super::{Action, Millis, Phase, TransactionManager, TransactionReport, Verification, impact};
use crate::generation::Generation;
use crate::journal::{OpenTransaction, Record};
use crate::regression::RegressionDetector;
use std::collections::BTreeSet;
use std::rc::Rc;

impl TransactionManager {
    pub(super) fn propose(&mut self, now: Millis, next: &Generation, actions: &mut Vec<Action>) {
        match self.find_rejection(next) {
            Some(rejection) => actions.push(Action::Report(rejection)),
            None => {
                let verification = match self.config.verify {
                    true => Verification::Required,
                    false => Verification::Done,
                };
                self.stage(now, next, verification, actions);
            }
        }
    }

    /// Returns why a proposal is not staged, if it is not.
    fn find_rejection(&mut self, next: &Generation) -> Option<TransactionReport> {
        let in_use = self.count_generations_in_use();
        if self.shutting_down {
            return Some(TransactionReport::ShuttingDown);
        }
        if let Some(OpenTransaction { number, .. }) = self.open_transaction() {
            return Some(TransactionReport::Busy { number });
        }
        if next.digest == self.current.digest {
            let number = self.current.number;
            return Some(TransactionReport::Unchanged { number });
        }
        let too_many = in_use >= self.config.max_generations_in_use;
        too_many.then_some(TransactionReport::TooManyGenerationsInUse { count: in_use })
    }

    pub(super) fn stage(
        &mut self,
        now: Millis,
        next: &Generation,
        verification: Verification,
        actions: &mut Vec<Action>,
    ) {
        self.highest_number = next.number.max(self.highest_number + 1);
        let Some(next) = self.renumber(next) else {
            return;
        };
        let differing = next.pools_differing_from(&self.current);
        let missing_pools: BTreeSet<String> = differing.map(str::to_string).collect();
        let number = next.number;
        actions.push(Action::Persist(Record::Opened {
            number,
            text: next.text.clone(),
        }));
        actions.push(Action::Report(TransactionReport::Staged { number }));
        actions.push(Action::Stage {
            generation: next.clone(),
            pools: missing_pools.iter().cloned().collect(),
        });
        self.phase = Phase::Staging {
            next,
            missing_pools,
            deadline: now + self.config.staging_timeout,
            verification,
        };
        self.apply_if_ready(now, actions);
    }

    pub(super) fn mark_pool_ready(
        &mut self,
        now: Millis,
        number: u64,
        pool: &str,
        actions: &mut Vec<Action>,
    ) {
        if let Phase::Staging {
            missing_pools,
            next,
            ..
        } = &mut self.phase
            && next.number == number
        {
            missing_pools.remove(pool);
        }
        self.apply_if_ready(now, actions);
    }

    /// Applies the staged change once all pools are ready and it is verified. Verification comes
    /// last, because backends may start to drain while pools are prepared.
    fn apply_if_ready(&mut self, now: Millis, actions: &mut Vec<Action>) {
        let Phase::Staging {
            next,
            missing_pools,
            verification,
            ..
        } = &mut self.phase
        else {
            return;
        };
        if !missing_pools.is_empty() {
            return;
        }
        let next = next.clone();
        match verification {
            Verification::Required => {
                *verification = Verification::Pending;
                actions.push(Action::Verify(next));
            }
            Verification::Pending => {}
            Verification::Done => self.apply(now, next, actions),
        }
    }

    fn apply(&mut self, now: Millis, next: Rc<Generation>, actions: &mut Vec<Action>) {
        let impact = impact::assess(&self.current, &next);
        let detector = RegressionDetector::new(
            self.recent_samples.clone(),
            impact.affected_pools.into_iter().collect(),
            impact.predecessors,
        );
        let number = next.number;
        actions.push(Action::Persist(Record::Applied { number }));
        actions.push(Action::Apply(next.clone()));
        actions.push(Action::Report(TransactionReport::Applied { number }));
        self.phase = Phase::Probation {
            previous: self.replace_current(next),
            detector,
            deadline: now + self.config.probation,
        };
    }

    pub(super) fn record_verdict(
        &mut self,
        now: Millis,
        number: u64,
        rejection: Option<String>,
        actions: &mut Vec<Action>,
    ) {
        let verification = match &mut self.phase {
            Phase::Staging {
                next, verification, ..
            } if next.number == number && *verification == Verification::Pending => verification,
            // The transaction was aborted in the meantime.
            _ => return,
        };
        match rejection {
            Some(reason) => self.abort(reason, actions),
            None => {
                *verification = Verification::Done;
                self.apply_if_ready(now, actions);
            }
        }
    }

    /// Ends a transaction whose change was not applied.
    pub(super) fn abort(&mut self, reason: String, actions: &mut Vec<Action>) {
        let Phase::Staging { next, .. } = std::mem::replace(&mut self.phase, Phase::Idle) else {
            return;
        };
        let number = next.number;
        actions.push(Action::Persist(Record::Closed {
            number,
            reason: reason.clone(),
        }));
        actions.push(Action::Report(TransactionReport::Aborted {
            number,
            reason,
        }));
        self.retire_pools_of(&next, actions);
    }
}
