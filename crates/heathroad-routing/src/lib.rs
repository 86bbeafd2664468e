//! Routing of requests to pools, and safe changes of its configuration, without I/O or clock.
//!
//! - [`config`] parses a configuration file and reports all of its errors at once.
//! - [`condition`] holds the conditions of a [`route`], and [`table`] finds the most specific route
//!   that matches a request. [`traffic_split`] spreads a route's requests over pools by key.
//! - [`generation`] is an immutable snapshot of a configuration, and [`diff`] describes for people
//!   what a change from one to another does.
//! - [`transaction`] stages, applies, observes and commits a change, or rolls it back when
//!   [`regression`] finds that the change does harm.
//! - [`backend_state`] holds the state of backends, which belongs to no generation.
//! - [`journal`] records transactions, so that a restart begins with a committed generation.

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
