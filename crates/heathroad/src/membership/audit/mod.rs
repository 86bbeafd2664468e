//! The audit: which proxy ran which version, and when. A member's own record is reported as such.
//! Of a member that is not reached, the audit reports what was last received of it, and that nothing
//! is known beyond that.

mod query;
mod remote;

pub use super::clock_offset::ClockOffset;
pub use query::AuditQuery;
pub use remote::{fetch_record, fetch_snapshot};

use super::MembershipService;
use crate::lease::Duties;
use crate::lease::audit_collector::{Collected, Kept};
use crate::runtime_accounting::spawn_in;
use heathroad_membership::MemberId;
use heathroad_membership::activity_record::{FaultInterval, Interval, RecordSnapshot};
use heathroad_membership::protocol::fetch::FetchError;
use remote::RemoteRecord;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::rc::Rc;
use tokio::task::JoinSet;

/// The fields of an interval that hold times.
const INTERVAL_TIMES: [&str; 4] = ["from", "to", "first", "last"];
/// The fields that are reported of each member, reached or not.
const MEMBER_FIELDS: [&str; 5] = ["place", "address", "standing", "incarnation", "me"];

type FetchedRecords = BTreeMap<MemberId, Result<RemoteRecord, FetchError>>;

/// Asks every member for its record. Of a member that is not reached, the record of the fleet's
/// collector is reported, where there is one.
pub async fn audit(
    service: Rc<MembershipService>,
    leases: Option<Rc<Duties>>,
    query: AuditQuery,
) -> Value {
    let views = service.members();
    let own = service.member_id();
    let mut records = fetch_records(&service).await;
    let views_of_members = views["members"].as_array().map_or(&[][..], Vec::as_slice);
    let collected = if is_any_unreached(&records, views_of_members.len()) {
        fetch_collected(leases).await
    } else {
        None
    };
    let mut members = Vec::new();
    for view in views_of_members {
        let id = member_id(view);
        let mut member = match records.remove(&id) {
            _ if id == own => {
                let record = service.activity_log().snapshot();
                report_record(query, &record, ClockOffset::default())
            }
            Some(Ok(remote)) => report_record(query, &remote.snapshot, remote.clock_offset),
            Some(Err(error)) => {
                let collected = collected.as_ref().and_then(|records| records.get(id));
                report_unreached(query, view, describe_fetch_error(error), collected)
            }
            None => {
                let collected = collected.as_ref().and_then(|records| records.get(id));
                report_unreached(query, view, describe_absence(view), collected)
            }
        };
        for field in MEMBER_FIELDS {
            member[field] = view[field].clone();
        }
        members.push(member);
    }
    json!({"fleet": views["fleet"], "asked": own, "at": service.activity_log().now(),
        "cut_off": views["cut_off"], "wanted": views["wanted"], "required": views["required"],
        "members": members})
}

/// Fetches the records of all present members. Dead members are not waited for: half of a fleet
/// would take minutes.
async fn fetch_records(service: &Rc<MembershipService>) -> FetchedRecords {
    let own = service.member_id();
    let mut fetching = JoinSet::new();
    for (id, state) in service.member_states() {
        if id != own && state.is_present() {
            let service = service.clone();
            spawn_in(&mut fetching, async move {
                (id, fetch_record(&service, id).await)
            });
        }
    }
    let mut records = FetchedRecords::new();
    while let Some(fetched) = fetching.join_next().await {
        records.extend(fetched);
    }
    records
}

/// Whether there is any member but this proxy and those whose records were fetched.
fn is_any_unreached(records: &FetchedRecords, members: usize) -> bool {
    let reached = records.values().filter(|record| record.is_ok()).count();
    members > reached + 1
}

async fn fetch_collected(leases: Option<Rc<Duties>>) -> Option<Collected> {
    leases?.collected().await
}

fn member_id(view: &Value) -> MemberId {
    let id = view["place"].as_u64().and_then(|id| id.try_into().ok());
    id.unwrap_or(MemberId::MAX)
}

fn describe_fetch_error(error: FetchError) -> &'static str {
    match error {
        FetchError::NotFound => "it keeps no record",
        FetchError::Corrupted => "its record came spoilt",
        _ => "it did not answer",
    }
}

fn describe_absence(view: &Value) -> &'static str {
    if view["standing"] == "unknown" {
        "it was never heard"
    } else {
        "it is not there, as far as is known here"
    }
}

/// Reports a member that was not reached. Which version it ran since it was last heard, and until
/// when, nobody here can know.
fn report_unreached(query: AuditQuery, view: &Value, why: &str, collected: Option<&Kept>) -> Value {
    json!({"reached": false, "why": why, "last_heard_ms": view["heard_ms"],
        "last_acts": view["acts"], "last_version": view["version"], "unknown_until": Value::Null,
        "collected": collected.map(|collected| report_collected(query, collected))})
}

/// Reports a record, with its times by this proxy's clock.
fn report_record(query: AuditQuery, record: &RecordSnapshot, clock: ClockOffset) -> Value {
    json!({
        "reached": true, "clock_off_ms": -clock.offset_ms, "clock_error_ms": clock.error_ms,
        "since": clock.to_local(record.since), "at": clock.to_local(record.at),
        "pages": report_intervals(query, record, clock), "lost": record.discarded,
        "spells": report_faults(record, clock), "turned_down": record.rejected,
    })
}

/// Reports the collector's record of a member. It is by the collector's clock, and says nothing of
/// the time after it was collected.
fn report_collected(query: AuditQuery, collected: &Kept) -> Value {
    let clock = ClockOffset {
        offset_ms: collected.off,
        error_ms: collected.error,
    };
    let mut report = report_record(query, &collected.told, clock);
    report["reached"] = false.into();
    report["by"] = collected.by.into();
    report["collected_at"] = collected.at.into();
    report
}

fn report_intervals(query: AuditQuery, record: &RecordSnapshot, clock: ClockOffset) -> Vec<Value> {
    let report = |interval: &Interval| {
        let mut report = serde_json::to_value(interval).unwrap_or_default();
        for field in INTERVAL_TIMES {
            if let Some(time) = report[field].as_u64() {
                report[field] = clock.to_local(time).into();
            }
        }
        report
    };
    let intervals = record.intervals.iter();
    let selected = intervals.filter(|interval| query.selects(interval, record.at, clock));
    selected.map(report).collect()
}

fn report_faults(record: &RecordSnapshot, clock: ClockOffset) -> Vec<Value> {
    let report = |fault: &FaultInterval| {
        json!({"trouble": fault.kind, "from": clock.to_local(fault.from),
            "to": fault.to.map(|time| clock.to_local(time))})
    };
    record.faults.iter().map(report).collect()
}
