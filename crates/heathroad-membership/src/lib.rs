//! Membership of a fleet of proxies: who is alive, which configuration each runs, and which one all
//! should run. It is a state machine without I/O, clock or sockets.
//!
//! A datagram passes through the modules in this order:
//!
//! - [`authentication`] accepts datagrams of this fleet and rejects forged and repeated ones;
//!   [`wire`] is their form, on top of [`codec`].
//! - [`protocol`] is one member's part of the protocol: failure detection, dissemination, version
//!   agreement, fetches of resources, and the piggyback channel.
//! - [`member_table`] holds what is known of each member; [`claim`] orders the claims made on one.
//! - [`version`] describes what a proxy runs, [`desired_version`] what all should run, and
//!   [`activity_record`] what a proxy did under which version.
//!
//! The protocol is SWIM with suspicion (Das, Gupta, Motivala 2002) and Lifeguard (Dadgar, Phillips,
//! Currey 2017) over a list of addresses that is known in advance. `docs/design/membership.md`
//! explains the choices, `docs/specs/membership-datagrams.md` specifies the bytes.

pub mod activity_record;
pub mod authentication;
pub mod claim;
pub mod codec;
pub mod desired_version;
mod local_health;
pub mod member_table;
pub mod protocol;
mod rate_limit;
mod replay_window;
pub mod version;
pub mod wire;

/// Milliseconds of a monotonic clock.
pub type Millis = u64;

/// Identifies a member by its index in the fleet's list of addresses.
pub type MemberId = u16;

/// Identifies one process of a member: Unix time in milliseconds at its start, or more where a
/// larger value is known to others already. Incarnations of a member only grow.
pub type Incarnation = u64;
