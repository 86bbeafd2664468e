//! Duties that one proxy of a fleet alone may hold at a time, granted and fenced without I/O or
//! clock.
//!
//! A few members are voters ([`electorate`]). Whoever wants a duty asks all of them under a
//! [`token`] of its own; a [`voter`] grants it for a time, to nobody else meanwhile, and to nobody
//! ever under a lower token. Who has a quorum's grants holds the duty until the first of them may
//! end ([`seat`]). What it has come to is told to the voters as a [`mark`](voter::Mark), which the
//! next holder begins with. Who is acted on keeps the highest token it has seen ([`fence`]) and
//! refuses lower ones: that is what nothing double rests on; the time of a grant serves to hand a
//! duty on.
//!
//! [`duties`] is a proxy's whole part in it; [`message`] is what is sent; [`history`] is who held
//! what, as far as is known. `docs/design/duties.md` says what was weighed,
//! `docs/specs/duty-messages.md` gives the bytes.

pub mod duties;
pub mod electorate;
pub mod fence;
pub mod history;
pub mod message;
pub mod seat;
pub mod token;
pub mod voter;

use heathroad_membership::Millis;
use heathroad_membership::version::Digest;
use serde::{Deserialize, Serialize};
use std::fmt;

/// A duty: the first four bytes of its name's digest.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct DutyId(pub [u8; 4]);

impl DutyId {
    /// Of a name.
    pub fn of(name: &str) -> DutyId {
        let [a, b, c, d, ..] = Digest::of(name.as_bytes()).0;
        DutyId([a, b, c, d])
    }
}

impl fmt::Display for DutyId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|b| write!(f, "{b:02x}"))
    }
}

impl fmt::Debug for DutyId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

/// Times of grants, the same at every proxy of a fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Terms {
    /// A holder counts a grant for so long from before it asked for it.
    pub lease: Millis,
}

/// Shortest and longest lease, in milliseconds.
pub const LEASE_MS: std::ops::RangeInclusive<u64> = 200..=60_000;

impl Terms {
    /// A voter counts a grant for so long from when it gave it: a fiftieth more than the holder, so
    /// that clocks whose rates differ by less than that agree on who may act. It is also how long a
    /// voter that has started keeps silent, of whatever it may have granted before.
    pub fn kept(self, lease: Millis) -> Millis {
        lease + lease / 50 + 1
    }

    /// A first grant, before a quorum is known to have given it, is for half as long: what a loser
    /// was granted is soon free.
    pub fn first(self) -> Millis {
        self.lease / 2
    }

    /// A candidate waits so long for a quorum.
    pub fn patience(self) -> Millis {
        self.lease / 4
    }

    /// Nothing came back for so long: it is asked again. A lease holds several of these, so that
    /// losses alone end none.
    pub fn again(self) -> Millis {
        (self.lease / 16).max(1)
    }

    /// A holder has its grants renewed so often.
    pub fn renew(self) -> Millis {
        self.lease / 4
    }

    /// Who has held for so long has held well: its end is no sign that the duty kills its holders.
    pub fn young(self) -> Millis {
        self.lease * 5
    }

    /// Who has resigned does not ask for so long.
    pub fn barred(self) -> Millis {
        self.lease * 10
    }
}
