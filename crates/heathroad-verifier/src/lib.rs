//! Static verification of a routing configuration against expectations, without traffic.
//!
//! A verdict covers every possible request, and not a sample of them.
//!
//! - [`expectations`] parses what must hold, for which requests, and in which
//!   [`failure_scenarios`].
//! - [`request_space`] divides all requests into finitely many kinds that no route and no
//!   expectation distinguishes, and orders them so that the requests that fulfil a condition are a
//!   box.
//! - [`reachability`] finds the routes that requests of a box take.
//! - [`nodes`] tells which nodes a pool has.
//! - [`verify`](mod@verify) returns a verdict on each expectation, with the smallest request and
//!   scenario that violate it.
//! - [`drain_plan`] orders drains into batches so that every expectation holds all along.

pub mod drain_plan;
pub mod expectations;
pub mod failure_scenarios;
pub mod nodes;
pub mod reachability;
pub mod request_space;
pub mod verify;

pub use expectations::Expectations;
pub use nodes::Node;
pub use verify::{Environment, Report, VerifyError, verify};
