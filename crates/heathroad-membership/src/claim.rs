//! Claims about members, and the order between them. Any two claims about a member can be compared,
//! and the one with the higher precedence wins. Members that have received the same claims
//! therefore agree, whatever the order of arrival.

use crate::{Incarnation, MemberId};
use serde::Serialize;

/// The state of a member according to the failure detector.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize)]
#[serde(rename_all = "lowercase")]
#[repr(u8)]
pub enum MemberState {
    /// Nothing is known of the member yet.
    Unknown = 0,
    /// The member answers probes.
    Alive = 1,
    /// The member did not answer a probe, but can still refute the suspicion.
    Suspect = 2,
    /// The member announced its shutdown.
    Left = 3,
    /// The member did not refute a suspicion in time.
    #[serde(rename = "gone")]
    Dead = 4,
}

impl MemberState {
    /// Returns the state for a code on the wire. `Unknown` has none, since no claim states it.
    pub(crate) fn from_code(code: u8) -> Option<MemberState> {
        [
            MemberState::Alive,
            MemberState::Suspect,
            MemberState::Left,
            MemberState::Dead,
        ]
        .into_iter()
        .find(|state| *state as u8 == code)
    }

    /// Whether this state ends an incarnation: it can only be overridden by a later one.
    pub fn is_final(self) -> bool {
        matches!(self, MemberState::Left | MemberState::Dead)
    }

    /// Whether a member in this state participates in the protocol, suspected or not.
    pub fn is_present(self) -> bool {
        matches!(self, MemberState::Alive | MemberState::Suspect)
    }
}

/// Orders the claims of a member about itself: by incarnation, then by refutations within it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize)]
pub struct Revision {
    /// The incarnation of the member.
    #[serde(rename = "life")]
    pub incarnation: Incarnation,
    /// The number of suspicions that the member refuted in this incarnation.
    #[serde(rename = "turn")]
    pub refutations: u16,
}

/// A claim by one member about the state of another one, or about its own.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Claim {
    /// The member that the claim is about.
    pub member: MemberId,
    /// The state of the member.
    pub state: MemberState,
    /// The revision to which the claim applies.
    pub revision: Revision,
    /// The member that makes the claim.
    pub source: MemberId,
}

/// The precedence of a claim; of two claims about a member, the greater one wins. The fields are
/// compared in order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Precedence {
    /// A later incarnation overrides an earlier one.
    pub incarnation: Incarnation,
    /// Within an incarnation, a final state overrides all others. This is the code of the final
    /// state, and 0 for the other states.
    pub final_state: u8,
    /// A later refutation overrides an earlier one.
    pub refutations: u16,
    /// Between claims with the same number of refutations, `Suspect` overrides `Alive`.
    pub state: u8,
}

impl Claim {
    /// Returns the precedence of this claim among those about the same member.
    pub fn precedence(&self) -> Precedence {
        let Revision {
            incarnation,
            refutations,
        } = self.revision;
        if self.state.is_final() {
            return Precedence {
                incarnation,
                final_state: self.state as u8,
                refutations: 0,
                state: 0,
            };
        }
        Precedence {
            incarnation,
            final_state: 0,
            refutations,
            state: self.state as u8,
        }
    }
}
