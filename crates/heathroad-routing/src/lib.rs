//! Routing of requests to pools and transactional changes of the routing configuration, without
//! I/O and without a clock.
//!
//! - [`config`] parses a configuration file and reports all of its errors at once.
//! - [`condition`] defines the conditions of a [`route`], and [`table`] finds the most specific
//!   route that matches a request. [`traffic_split`] distributes requests over pools by key.
//! - [`generation`] is an immutable snapshot of a configuration, and [`diff`] describes the changes
//!   from one generation to another.
//! - [`transaction`] stages, applies, observes and commits a change, or rolls it back if
//!   [`regression`] detects harm.
//! - [`backend_state`] tracks the availability of backends independently of generations.
//! - [`journal`] records transactions, so that a restart uses a committed generation.

pub mod backend_state;
pub mod condition;
pub mod config;
pub mod diff;
pub mod generation;
pub mod journal;
pub mod regression;
pub mod route;
pub mod table;
pub mod traffic_split;
pub mod transaction;
