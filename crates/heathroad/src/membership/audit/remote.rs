//! Fetches records and other snapshots from members, with the offsets of their clocks.

use super::ClockOffset;
use crate::membership::MembershipService;
use heathroad_membership::MemberId;
use heathroad_membership::activity_record::{RecordSnapshot, UnixMillis};
use heathroad_membership::protocol::fetch::FetchError;
use heathroad_membership::version::Digest;
use heathroad_membership::wire::Resource;
use serde::de::DeserializeOwned;
use std::time::Duration;

/// A member whose snapshot does not arrive within this time is reported as unreachable.
const SNAPSHOT_TIMEOUT: Duration = Duration::from_secs(6);

/// The record of a member.
#[derive(Debug)]
pub struct RemoteRecord {
    /// The record.
    pub snapshot: RecordSnapshot,
    /// The offset between the member's clock and this proxy's.
    pub clock_offset: ClockOffset,
}

/// Fetches a snapshot in JSON. `taken_at` returns the time in the snapshot, by the member's clock.
pub async fn fetch_snapshot<T: DeserializeOwned>(
    service: &MembershipService,
    member: MemberId,
    resource: Resource,
    taken_at: impl Fn(&T) -> UnixMillis,
) -> Result<(T, ClockOffset), FetchError> {
    let fetched = service
        .fetch(member, resource, Digest::default(), SNAPSHOT_TIMEOUT)
        .await?;
    let snapshot: T = serde_json::from_slice(&fetched.bytes).map_err(|_| FetchError::Corrupted)?;
    let clock_offset = ClockOffset::estimate(
        fetched.requested_at,
        fetched.first_part_after,
        taken_at(&snapshot),
    );
    Ok((snapshot, clock_offset))
}

/// Fetches the record of a member.
pub async fn fetch_record(
    service: &MembershipService,
    member: MemberId,
) -> Result<RemoteRecord, FetchError> {
    let resource = Resource::ActivityRecord;
    let fetching = fetch_snapshot(service, member, resource, |record: &RecordSnapshot| {
        record.at
    });
    let (snapshot, clock_offset) = fetching.await?;
    Ok(RemoteRecord {
        snapshot,
        clock_offset,
    })
}
