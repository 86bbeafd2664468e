//! The JSON report of the audit.

use super::super::member_report::MemberReport;
use super::{AuditQuery, ClockOffset};
use crate::lease::audit_collection::CollectedRecord;
use heathroad_membership::activity_record::{
    DiscardedIntervals, FaultInterval, Interval, RecordSnapshot, RejectedVersion, UnixMillis,
};
use heathroad_membership::claim::{MemberState, Revision};
use heathroad_membership::desired_version::{Desired, RequiredVersions};
use heathroad_membership::protocol::MemberView;
use heathroad_membership::version::{Digest, Version};
use heathroad_membership::{MemberId, Millis};
use serde::Serialize;
use std::net::SocketAddr;

/// The report of an audit.
#[derive(Debug, Serialize)]
pub(super) struct AuditReport {
    #[serde(rename = "fleet")]
    pub(super) cluster_name: String,
    /// The member that created the report; times are by its clock.
    #[serde(rename = "asked")]
    pub(super) reported_by: MemberId,
    pub(super) at: UnixMillis,
    #[serde(rename = "cut_off")]
    pub(super) isolated: bool,
    #[serde(rename = "wanted")]
    pub(super) desired: Desired,
    pub(super) required: RequiredVersions,
    pub(super) members: Vec<AuditedMember>,
}

/// A member and its record.
#[derive(Debug, Serialize)]
pub(super) struct AuditedMember {
    #[serde(rename = "place")]
    id: MemberId,
    address: Option<SocketAddr>,
    #[serde(rename = "standing")]
    state: MemberState,
    #[serde(rename = "incarnation")]
    revision: Revision,
    #[serde(rename = "me")]
    is_self: bool,
    #[serde(flatten)]
    record: AuditedRecord,
}

impl AuditedMember {
    pub(super) fn new(member: MemberReport, record: AuditedRecord) -> AuditedMember {
        AuditedMember {
            id: member.view.id,
            address: member.address,
            state: member.view.state,
            revision: member.view.revision,
            is_self: member.is_self,
            record,
        }
    }
}

/// The record of a member, or the last known state if it could not be fetched.
#[derive(Debug, Serialize)]
#[serde(untagged)]
pub(super) enum AuditedRecord {
    Fetched(RecordReport),
    Missing(MissingRecordReport),
}

/// A record. The times of its intervals and faults are by the clock of the proxy that answers.
#[derive(Debug, Serialize)]
pub(super) struct RecordReport {
    reached: bool,
    /// How far the member's clock is ahead of the clock of the proxy that answers.
    #[serde(rename = "clock_off_ms")]
    clock_ahead_ms: i64,
    clock_error_ms: u64,
    since: UnixMillis,
    at: UnixMillis,
    #[serde(rename = "pages")]
    intervals: Vec<Interval>,
    #[serde(rename = "lost")]
    discarded: DiscardedIntervals,
    #[serde(rename = "spells")]
    faults: Vec<FaultInterval>,
    #[serde(rename = "turned_down")]
    rejected: Vec<RejectedVersion>,
    #[serde(flatten)]
    collection: Option<Collection>,
}

/// The collector of a record, and when it was collected. The time since is unknown.
#[derive(Debug, Serialize)]
struct Collection {
    #[serde(rename = "by")]
    collector: MemberId,
    collected_at: UnixMillis,
}

impl RecordReport {
    pub(super) fn new(
        query: AuditQuery,
        record: &RecordSnapshot,
        clock: ClockOffset,
    ) -> RecordReport {
        let intervals = record.intervals.iter();
        let selected = intervals.filter(|interval| query.selects(interval, record.at, clock));
        let faults = record.faults.iter();
        RecordReport {
            reached: true,
            clock_ahead_ms: -clock.offset_ms,
            clock_error_ms: clock.error_ms,
            since: clock.to_local(record.since),
            at: clock.to_local(record.at),
            intervals: selected
                .map(|interval| convert_interval(interval, clock))
                .collect(),
            discarded: record.discarded,
            faults: faults.map(|fault| convert_fault(fault, clock)).collect(),
            rejected: record.rejected.clone(),
            collection: None,
        }
    }

    /// Reports the collector's copy of the record of an unreachable member.
    pub(super) fn of_collected(query: AuditQuery, collected: &CollectedRecord) -> RecordReport {
        let clock = ClockOffset {
            offset_ms: collected.clock_offset,
            error_ms: collected.clock_error,
        };
        RecordReport {
            reached: false,
            collection: Some(Collection {
                collector: collected.by,
                collected_at: collected.collected_at,
            }),
            ..RecordReport::new(query, &collected.record, clock)
        }
    }
}

fn convert_interval(interval: &Interval, clock: ClockOffset) -> Interval {
    let to_local = |time: UnixMillis| clock.to_local(time);
    Interval {
        from: clock.to_local(interval.from),
        to: interval.to.map(to_local),
        first_activity: interval.first_activity.map(to_local),
        last_activity: interval.last_activity.map(to_local),
        ..interval.clone()
    }
}

fn convert_fault(fault: &FaultInterval, clock: ClockOffset) -> FaultInterval {
    FaultInterval {
        kind: fault.kind,
        from: clock.to_local(fault.from),
        to: fault.to.map(|time| clock.to_local(time)),
    }
}

/// The last known state of a member whose record could not be fetched.
#[derive(Debug, Serialize)]
pub(super) struct MissingRecordReport {
    reached: bool,
    #[serde(rename = "why")]
    reason: &'static str,
    #[serde(rename = "last_heard_ms")]
    last_heard_ago_ms: Option<Millis>,
    #[serde(rename = "last_acts")]
    last_active_version: Option<(Digest, u32)>,
    last_version: Option<Version>,
    /// The end of the time for which the member's version is unknown. It is always null, since no
    /// end is known.
    unknown_until: Option<UnixMillis>,
    collected: Option<RecordReport>,
}

impl MissingRecordReport {
    pub(super) fn new(
        view: &MemberView,
        reason: &'static str,
        collected: Option<RecordReport>,
    ) -> MissingRecordReport {
        MissingRecordReport {
            reached: false,
            reason,
            last_heard_ago_ms: view.last_heard_ago_ms,
            last_active_version: view.active_version,
            last_version: view.version.clone(),
            unknown_until: None,
            collected,
        }
    }
}

#[cfg(test)]
#[path = "../../../tests/unit/membership_audit.rs"]
mod tests;
