//! What is acted on refuses what comes too late.

use crate::DutyId;
use crate::token::Token;
use std::collections::BTreeMap;

/// The highest token that was seen of each duty.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Fences(BTreeMap<DutyId, Token>);

impl Fences {
    /// Whether an act under a token may be done: not once a higher one was seen.
    pub fn admit(&mut self, duty: DutyId, token: Token) -> bool {
        let highest = self.0.entry(duty).or_default();
        let may = token >= *highest;
        *highest = token.max(*highest);
        may
    }

    /// The highest that was seen.
    pub fn highest(&self, duty: DutyId) -> Token {
        self.0.get(&duty).copied().unwrap_or_default()
    }
}
