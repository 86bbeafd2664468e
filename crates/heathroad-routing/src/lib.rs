//! Where requests go, and how that is changed safely: heathroad's routing, without I/O, clock or
//! socket.
//!
//! A change goes one way through the modules:
//!
//! - [`file`](mod@file) reads a configuration as text and checks it whole: every [`fault`] is told
//!   at once, with line, field, reason and what was expected.
//! - [`condition`] is what a route asks of a request; [`table`] compiles routes: the most specific
//!   match wins, and two that could both win are an error. A split is by [`split`]: one key stays
//!   in one pool while weights change.
//! - [`generation`] is an immutable snapshot with number and digest; [`diff`] says in words which
//!   requests move where between two.
//! - [`transaction`] stages, applies, watches by [`harm`], commits or undoes; one change at a time.
//! - [`nodes`] keeps what belongs to backends and to no generation: drains and cold starts.
//! - [`journal`] is what survives a kill: the last committed generation and the open transaction,
//!   record by record.

pub mod condition;
pub mod diff;
pub mod fault;
pub mod file;
pub mod generation;
pub mod harm;
pub mod journal;
pub mod nodes;
pub mod reader;
pub mod split;
pub mod table;
pub mod transaction;
