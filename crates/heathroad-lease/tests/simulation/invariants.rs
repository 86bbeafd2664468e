//! Invariants of the tokens and writes of a simulation.

use super::Simulation;
use heathroad_lease::candidate::LeaseEvent;
use heathroad_lease::checkpoint::Checkpoint;
use heathroad_lease::token::Token;
use heathroad_lease::{MemberId, Millis};

/// An acquisition of the lease by a member.
#[derive(Debug, Clone)]
pub struct Acquisition {
    pub at: Millis,
    pub by: MemberId,
    pub token: Token,
    pub checkpoint: Option<Checkpoint>,
}

impl Simulation {
    /// Returns the acquisitions of the lease in chronological order.
    pub fn acquisitions(&self) -> Vec<Acquisition> {
        let acquisition = |(at, by, event): &(Millis, MemberId, LeaseEvent)| match event {
            LeaseEvent::Acquired { token, checkpoint } => Some(Acquisition {
                at: *at,
                by: *by,
                token: *token,
                checkpoint: checkpoint.clone(),
            }),
            _ => None,
        };
        self.events.iter().filter_map(acquisition).collect()
    }

    /// Checks that admitted writes are ordered by token, that each token is used by its member
    /// only, and that each acquisition has a higher token than the one before.
    pub fn check_invariants(&self) -> Result<(), String> {
        let mut last = Token::default();
        for write in self.writes.iter().filter(|write| write.is_admitted) {
            if write.token < last {
                return Err(format!("{write:?} was admitted after token {last}"));
            }
            if write.token.member() != write.by {
                return Err(format!("{write:?} uses another member's token"));
            }
            last = write.token;
        }
        let mut highest = Token::default();
        for Acquisition { at, by, token, .. } in self.acquisitions() {
            if token <= highest {
                return Err(format!(
                    "member {by} acquired token {token} at {at} ms, not above {highest}"
                ));
            }
            highest = token;
        }
        Ok(())
    }
}
