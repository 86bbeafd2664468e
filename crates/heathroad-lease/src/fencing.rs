//! Fencing at a server that lease holders call: requests with outdated tokens are rejected.

use crate::LeaseId;
use crate::token::Token;
use std::collections::BTreeMap;

/// Tracks the highest token seen for each lease.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct FencingGuard {
    highest_tokens: BTreeMap<LeaseId, Token>,
}

impl FencingGuard {
    /// Records the token of a request and returns whether the request is admitted. It is rejected
    /// if a higher token has been seen.
    pub fn admit(&mut self, lease: LeaseId, token: Token) -> bool {
        let highest = self.highest_tokens.entry(lease).or_default();
        let is_admitted = token >= *highest;
        *highest = token.max(*highest);
        is_admitted
    }

    /// Returns the highest token seen for a lease.
    pub fn highest_token(&self, lease: LeaseId) -> Token {
        self.highest_tokens.get(&lease).copied().unwrap_or_default()
    }
}
