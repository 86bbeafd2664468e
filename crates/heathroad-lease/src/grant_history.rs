//! The record that a voter keeps of its grants, for operators.

use crate::Millis;
use crate::token::Token;
use serde::{Deserialize, Serialize};

/// How a grant ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum GrantEnd {
    /// The grant has not ended, or its end was not reported.
    Open,
    /// The holder resigned.
    Resigned,
    /// The grant expired before the holder renewed it.
    #[serde(rename = "lapsed")]
    Expired,
}

/// An interval in which a member held a lease, or may have held it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct GrantRecord {
    /// The token of the grant, which names the holder.
    pub token: Token,
    /// The incarnation of the holder.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// When the voter first granted the lease under this token.
    pub from: Millis,
    /// When the grant ends at the latest.
    pub until: Millis,
    /// How it ended.
    pub end: GrantEnd,
}
