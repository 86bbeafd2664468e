//! What operators read of a member: its view of the others, and its traffic.

use crate::authentication::DropCounters;
use crate::claim::{MemberState, Revision};
use crate::version::{Digest, Version};
use crate::{MemberId, Millis};
use serde::Serialize;

/// What was sent and received.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct TrafficCounters {
    /// Datagrams that were sent.
    pub sent: u64,
    /// The bytes of these datagrams.
    pub sent_bytes: u64,
    /// Datagrams that were received and used.
    #[serde(rename = "heard")]
    pub received: u64,
    /// Datagrams that were not sent because of a rate limit.
    #[serde(rename = "held_back")]
    pub rate_limited: u64,
    /// Datagrams that were received and dropped.
    pub dropped: DropCounters,
}

/// What is known of a member.
#[derive(Debug, Clone, Serialize)]
pub struct MemberView {
    /// The member.
    #[serde(rename = "place")]
    pub id: MemberId,
    /// Its state.
    #[serde(rename = "standing")]
    pub state: MemberState,
    /// The revision to which the state applies.
    #[serde(rename = "incarnation")]
    pub revision: Revision,
    /// How long it has been in this state.
    #[serde(rename = "for_ms")]
    pub state_age_ms: Millis,
    /// How long ago something of its own was received; none if that never was. Not told of the
    /// member that is asked.
    #[serde(rename = "heard_ms")]
    pub last_heard_ago_ms: Option<Millis>,
    /// Who suspects it.
    pub accusers: Vec<MemberId>,
    /// The lowest and the highest protocol that it supports.
    pub protocols: [u8; 2],
    /// The digest of the version it runs, and which one of its incarnation that is.
    #[serde(rename = "acts")]
    pub active_version: Option<(Digest, u32)>,
    /// The version itself, where it is known.
    pub version: Option<Version>,
}
