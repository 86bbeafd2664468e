//! What the proxies of one fleet know of each other, decided without I/O, clock or socket.
//!
//! What a proxy hears goes one way through the modules:
//!
//! - [`seal`] lets a datagram in: one of this fleet, whole, not forged, not repeated; [`wire`] is
//!   its form.
//! - [`protocol`] is the proxy's own part of the protocol: probes, answers, suspicion, its own
//!   incarnation.
//! - [`table`] is what is known of every member, and how two words on one member are merged.
//!   [`gossip`] says what of that is passed on next.
//! - [`health`] is the proxy's doubt of itself: who is slow does not accuse others.
//! - [`version`] is what a proxy acts on, as one value; [`activity_record`] is what it did on which.
//!   [`desired_version`] is what all should act on.
//!
//! The protocol is SWIM with suspicion (Das, Gupta, Motivala 2002) and Lifeguard (Dadgar, Phillips,
//! Currey 2017), over a list of addresses that is known: a member is its place in that list.
//! `docs/design/fleet.md` says what was weighed, `docs/specs/fleet-datagrams.md` gives the bytes.

pub mod activity_record;
pub mod desired_version;
pub mod gossip;
pub mod health;
mod pace;
pub mod protocol;
pub mod seal;
pub mod table;
pub mod version;
pub mod wire;

/// Milliseconds of a clock that only goes forward.
pub type Millis = u64;

/// A member: its place in the list of the fleet's addresses.
pub type MemberId = u16;
