//! A rehearsal kit for heathroad: real daemon processes between stand-in backends, a stand-in
//! registry and an open-loop load, all on loopback, and a judge that says what service was worth
//! and which of the four rules broke.
//!
//! A rehearsal goes one way through the modules:
//!
//! - [`scenario`]: what is rehearsed, read from a checked TOML file.
//! - [`plan`]: everything that will happen, drawn ahead from a seed, with a digest.
//! - [`stage`]: puts it on. [`daemon`] runs the real processes, [`stand_in`] plays backends and
//!   registry, [`load`] the clients (both over [`caller`] and [`http`], clients also over
//!   [`remote`]). All write [`ledger`]s by one [`clock`].
//! - [`fleet`]: several daemons with a network between them, for plain tests, without a stage.
//! - [`judge`]: a pure function from ledgers to a verdict. [`agreement`] sets it beside the
//!   daemon's own counts, [`audited`] sets the fleet's audit beside what backends saw.
//! - [`outcome`]: the two together with the void rules, as table, JSON and exit code; [`report`] as
//!   a page.

#![allow(
    clippy::too_many_lines,
    clippy::cognitive_complexity,
    reason = "the package is still to be split, see docs/ROADMAP.md"
)]

pub mod agreement;
pub mod audited;
pub mod caller;
pub mod cli;
pub mod clock;
pub mod daemon;
pub mod fleet;
pub mod http;
pub mod judge;
pub mod ledger;
pub mod load;
pub mod outcome;
pub mod plan;
pub mod remote;
pub mod report;
pub mod scenario;
pub mod stage;
pub mod stand_in;
