//! Who held what: as its holder knows it, and as voters bound it.

use crate::token::Token;
use heathroad_membership::Millis;
use serde::{Deserialize, Serialize};

/// How a spell ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum End {
    /// It has not, or nobody said so.
    Open,
    /// Its holder let it go.
    Resigned,
    /// Its holder's time was over before it was renewed.
    Lapsed,
}

/// A time in which somebody held a duty, or may have.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Spell {
    /// Under which token; whose it was is a part of that.
    pub token: Token,
    /// In which of its holder's lives.
    pub life: u64,
    /// From when on.
    pub from: Millis,
    /// Until when at the latest.
    pub until: Millis,
    /// How it ended.
    pub end: End,
}
