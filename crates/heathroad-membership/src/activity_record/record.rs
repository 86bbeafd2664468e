//! The in-memory activity record.

use super::epoch::Epoch;
use super::snapshot::{
    DiscardedIntervals, FaultInterval, FaultKind, Interval, RecordSnapshot, RejectedVersion,
};
use super::{MAX_FAULT_INTERVALS, MAX_INTERVALS, MAX_REJECTED_VERSIONS, UnixMillis};
use crate::Incarnation;
use crate::version::{Digest, Version};
use std::collections::VecDeque;
use std::rc::Rc;

/// The activity record of a proxy.
#[derive(Debug)]
pub struct ActivityRecord {
    incarnation: Incarnation,
    since: UnixMillis,
    epochs: VecDeque<Rc<Epoch>>,
    /// Counts the activity of discarded intervals, including what is still reported for them.
    discarded: Rc<Epoch>,
    discarded_count: u64,
    discarded_until: Option<UnixMillis>,
    faults: VecDeque<FaultInterval>,
    rejected: VecDeque<RejectedVersion>,
}

impl ActivityRecord {
    /// Continues the record of the previous process, if there is one; otherwise starts an empty
    /// record at `now`. Intervals and faults that the previous process left open end at the time of
    /// its last snapshot.
    pub fn new(
        now: UnixMillis,
        incarnation: Incarnation,
        previous: Option<RecordSnapshot>,
    ) -> ActivityRecord {
        let previous = previous.unwrap_or_else(|| RecordSnapshot {
            at: now,
            since: now,
            intervals: Vec::new(),
            discarded: DiscardedIntervals::default(),
            faults: Vec::new(),
            rejected: Vec::new(),
        });
        let last_written = previous.at;
        let close_fault = |fault: FaultInterval| FaultInterval {
            to: fault.to.or(Some(last_written)),
            ..fault
        };
        let discarded = previous.discarded;
        let mut record = ActivityRecord {
            incarnation,
            since: previous.since,
            epochs: VecDeque::new(),
            discarded: Epoch::new(Interval {
                activity: discarded.activity,
                ..Interval::default()
            }),
            discarded_count: discarded.count,
            discarded_until: discarded.until,
            faults: previous.faults.into_iter().map(close_fault).collect(),
            rejected: previous.rejected.into(),
        };
        for mut interval in previous.intervals {
            if interval.to.is_none() {
                interval.to = Some(last_written);
                interval.truncated = true;
            }
            record.epochs.push_back(Epoch::new(interval));
        }
        record.enforce_limit();
        record
    }

    /// Starts an interval for this version, unless the version is already in force.
    pub fn begin_interval(&mut self, now: UnixMillis, version: Version) -> Rc<Epoch> {
        let digest = version.digest();
        if let Some(epoch) = self.epochs.back() {
            let interval = epoch.interval();
            let is_open = interval.to.is_none() && interval.incarnation == self.incarnation;
            if is_open && interval.digest == digest {
                return epoch.clone();
            }
        }
        self.close(now);
        let epoch = Epoch::new(Interval {
            incarnation: self.incarnation,
            version,
            digest,
            version_count: 1,
            from: now,
            ..Interval::default()
        });
        self.epochs.push_back(epoch.clone());
        self.enforce_limit();
        epoch
    }

    /// Ends the current interval.
    pub fn close(&mut self, now: UnixMillis) {
        if let Some(epoch) = self.epochs.back() {
            epoch.interval_mut().to.get_or_insert(now);
        }
    }

    /// Records that a version was rejected.
    pub fn record_rejection(&mut self, rejected: RejectedVersion) {
        if self.rejected.len() >= MAX_REJECTED_VERSIONS {
            self.rejected.pop_front();
        }
        self.rejected.push_back(rejected.bounded());
    }

    /// Returns the latest rejection of the routes with this digest.
    pub fn rejection_of(&self, routes: Digest) -> Option<&RejectedVersion> {
        let mut latest_first = self.rejected.iter().rev();
        latest_first.find(|rejected| rejected.routes == routes)
    }

    /// Records a fault, either ongoing or already over.
    pub fn record_fault(&mut self, fault: FaultInterval) {
        if self.faults.len() >= MAX_FAULT_INTERVALS {
            self.faults.pop_front();
        }
        self.faults.push_back(fault);
    }

    /// Ends the ongoing fault of this kind, if there is one.
    pub fn end_fault(&mut self, kind: FaultKind, now: UnixMillis) {
        let mut latest_first = self.faults.iter_mut().rev();
        let ongoing = latest_first.find(|fault| fault.kind == kind && fault.to.is_none());
        if let Some(fault) = ongoing {
            fault.to = Some(now);
        }
    }

    /// Returns a copy of the record for storage and for the audit.
    pub fn snapshot(&self, now: UnixMillis) -> RecordSnapshot {
        RecordSnapshot {
            at: now,
            since: self.since,
            intervals: self
                .epochs
                .iter()
                .map(|epoch| epoch.interval().clone())
                .collect(),
            discarded: DiscardedIntervals {
                count: self.discarded_count,
                activity: self.discarded.interval().activity,
                until: self.discarded_until,
            },
            faults: self.faults.iter().copied().collect(),
            rejected: self.rejected.iter().cloned().collect(),
        }
    }

    fn enforce_limit(&mut self) {
        while self.epochs.len() > MAX_INTERVALS {
            match self.first_mergeable() {
                Some(index) => self.merge_with_next(index),
                None => self.discard_oldest(),
            }
        }
    }

    /// Returns the index of the first interval that can be merged with the next one. The current
    /// interval is never merged.
    fn first_mergeable(&self) -> Option<usize> {
        (0..self.epochs.len() - 2).find(|index| {
            let next = self.epochs[index + 1].interval();
            self.epochs[*index].interval().is_mergeable_with(&next)
        })
    }

    fn merge_with_next(&mut self, index: usize) {
        let Some(previous) = self.epochs.remove(index) else {
            return;
        };
        let epoch = &self.epochs[index];
        epoch.interval_mut().absorb_previous(&previous.interval());
        previous.merge_into(epoch);
    }

    fn discard_oldest(&mut self) {
        let Some(oldest) = self.epochs.pop_front() else {
            return;
        };
        self.discarded.interval_mut().activity += oldest.interval().activity;
        self.discarded_until = oldest.interval().to;
        self.discarded_count += 1;
        oldest.merge_into(&self.discarded);
    }
}
