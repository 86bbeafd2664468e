//! Claims on members, and their order. Any two claims on one member can be compared, and the one of
//! higher precedence holds: whoever has received the same claims, in any order, knows the same.

use crate::{Incarnation, MemberId};
use serde::Serialize;

/// The state of a member in the failure detector.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize)]
#[serde(rename_all = "lowercase")]
#[repr(u8)]
pub enum MemberState {
    /// Nothing was ever received of it.
    Unknown = 0,
    /// It answers probes.
    Alive = 1,
    /// It did not answer a probe, and may still refute that it failed.
    Suspect = 2,
    /// It announced that it shuts down.
    Left = 3,
    /// It was suspected and did not refute that in time.
    #[serde(rename = "gone")]
    Dead = 4,
}

impl MemberState {
    /// Returns the state that a code of the wire form stands for. A claim never says `Unknown`.
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

    /// Whether this is the end of an incarnation: nothing more is expected of it.
    pub fn is_final(self) -> bool {
        matches!(self, MemberState::Left | MemberState::Dead)
    }

    /// Whether a member in this state takes part in the protocol, suspected or not.
    pub fn is_present(self) -> bool {
        matches!(self, MemberState::Alive | MemberState::Suspect)
    }
}

/// Orders what a member says of itself: by its incarnation, then by its refutations within it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize)]
pub struct Revision {
    /// The process of the member.
    #[serde(rename = "life")]
    pub incarnation: Incarnation,
    /// How often the process refuted a suspicion.
    #[serde(rename = "turn")]
    pub refutations: u16,
}

/// A claim of one member on the state of another, or of itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Claim {
    /// The member that the claim is on.
    pub member: MemberId,
    /// Its state.
    pub state: MemberState,
    /// The revision to which the claim applies.
    pub revision: Revision,
    /// Who makes the claim.
    pub source: MemberId,
}

/// What decides between two claims on one member; the greater one holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Precedence {
    /// A later incarnation overrides an earlier one.
    pub incarnation: Incarnation,
    /// Within an incarnation its end overrides all else, since no process comes back from it. The
    /// code of the final state, and 0 for the others.
    pub final_state: u8,
    /// A later refutation overrides an earlier one.
    pub refutations: u16,
    /// The worse state overrides the better one.
    pub state: u8,
}

impl Claim {
    /// Returns the precedence of this claim among those on the same member.
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
