//! Fleet membership for proxies: which members are alive, which configuration version each one
//! runs, and which version all of them should run. The protocol is a state machine without I/O; the
//! caller supplies the clock and the sockets.
//!
//! Modules, in the order in which an incoming datagram passes through them:
//!
//! - [`authentication`] signs outgoing datagrams and rejects those that are forged or belong to
//!   another fleet; [`wire`] defines the datagram format on top of [`codec`].
//! - [`protocol`] implements one member: failure detection, dissemination, version agreement,
//!   resource transfer, and the piggyback channel.
//! - [`member_table`] stores the known state of every member; [`claim`] defines which of two claims
//!   about a member takes precedence.
//! - [`version`] describes what a proxy runs, [`desired_version`] what the whole fleet should run,
//!   and [`activity_record`] counts what a proxy did under each version.
//!
//! The protocol is SWIM with suspicion (Das, Gupta, Motivala 2002) and Lifeguard (Dadgar, Phillips,
//! Currey 2017) over a fixed list of member addresses. `docs/design/membership.md` explains the
//! design, and `docs/specs/membership-datagrams.md` specifies the wire format.

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

/// A point in time or a duration, in milliseconds of the member's monotonic clock.
pub type Millis = u64;

/// A member's index in the fleet's list of addresses.
pub type MemberId = u16;

/// Identifies one process of a member: the Unix time in milliseconds at its start, or a larger
/// value if the fleet already knows a later incarnation. A member's incarnations only increase.
pub type Incarnation = u64;
