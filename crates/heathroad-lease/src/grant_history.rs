//! The history of a voter's grants, reported to operators.

use crate::Millis;
use crate::token::Token;
use serde::{Deserialize, Serialize};

/// How a grant ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum GrantEnd {
    /// The grant is in force, or its end was not reported to the voter.
    Open,
    /// The holder resigned.
    Resigned,
    /// The grant expired before the holder renewed it.
    #[serde(rename = "lapsed")]
    Expired,
}

/// A grant with its renewals: an interval in which its holder held, or may have held, the lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct GrantRecord {
    /// The token of the grant, which names the holder.
    pub token: Token,
    /// The incarnation of the holder.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// When the voter first granted the lease under this token.
    pub from: Millis,
    /// The latest time at which the grant ends.
    pub until: Millis,
    /// How it ended.
    pub end: GrantEnd,
}
