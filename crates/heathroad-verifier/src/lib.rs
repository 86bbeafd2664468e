//! What must be true of a configuration, stated beside it and decided without traffic: over every
//! request that there can be, not a sample of them.
//!
//! - [`file`](mod@file) reads expectations as text: which requests, under which states of nodes,
//!   and what must hold.
//! - [`space`] divides all requests into finitely many kinds that no route and no expectation tells
//!   apart, and lays them out so that each condition is an interval: requests that fulfil several
//!   are a box.
//! - [`reach`] finds which routes some request of a box takes, by the nesting of routes and by
//!   counting: a box whose parts are all taken by narrower routes has as many kinds as these. What
//!   it finds is held against the table that routes.
//! - [`nodes`] says which nodes a pool has in a state, and what is left of them when the worst is
//!   lost.
//! - [`judge`](mod@judge) puts these together: a verdict for each expectation, with the smallest
//!   request and state that break it.
//! - [`plan`] orders drains into batches so that every expectation holds all along.
//!
//! Nothing here does I/O or knows a clock.

pub mod file;
pub mod judge;
pub mod nodes;
pub mod plan;
pub mod reach;
pub mod space;

pub use file::Expectations;
pub use judge::{Here, Report, judge};
pub use nodes::Node;
