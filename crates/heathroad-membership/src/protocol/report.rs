//! Reports for operators: the state of the members and traffic counters.

use crate::authentication::DropCounters;
use crate::claim::{MemberState, Revision};
use crate::version::{Digest, Version};
use crate::{MemberId, Millis};
use serde::Serialize;

/// The number of datagrams sent and received.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct TrafficCounters {
    /// Sent datagrams.
    pub sent: u64,
    /// The total length of the sent datagrams.
    pub sent_bytes: u64,
    /// Accepted datagrams.
    #[serde(rename = "heard")]
    pub received: u64,
    /// Datagrams that were not sent because a rate limit was exceeded.
    #[serde(rename = "held_back")]
    pub rate_limited: u64,
    /// Received datagrams that were dropped.
    pub dropped: DropCounters,
}

/// The known state of a member.
#[derive(Debug, Clone, Serialize)]
pub struct MemberView {
    /// The id of the member.
    #[serde(rename = "place")]
    pub id: MemberId,
    /// The state of the member.
    #[serde(rename = "standing")]
    pub state: MemberState,
    /// The revision to which the state applies.
    #[serde(rename = "incarnation")]
    pub revision: Revision,
    /// How long the member has been in this state.
    #[serde(rename = "for_ms")]
    pub state_age_ms: Millis,
    /// The time since a datagram from the member was last accepted; `None` if there was none, or
    /// for the reporting member itself.
    #[serde(rename = "heard_ms")]
    pub last_heard_ago_ms: Option<Millis>,
    /// The members that suspect it.
    pub accusers: Vec<MemberId>,
    /// The lowest and the highest protocol version that it supports.
    pub protocols: [u8; 2],
    /// The digest of the version that the member runs, and the sequence number of the version in
    /// its incarnation.
    #[serde(rename = "acts")]
    pub active_version: Option<(Digest, u32)>,
    /// The version in full, if known.
    pub version: Option<Version>,
}
