//! Static verification of a routing configuration against expectations, without traffic.
//!
//! A verdict covers every possible request, not only a sample.
//!
//! - [`expectations`] parses what must hold, for which requests, and in which
//!   [`failure_scenarios`].
//! - [`request_space`] divides all requests into finitely many kinds that no route and no
//!   expectation distinguishes, ordered so that the requests that match a condition form a box.
//! - [`reachability`] finds the routes that the requests of a region take.
//! - [`nodes`] resolves the nodes of a pool.
//! - [`verify`](mod@verify) returns a verdict on each expectation, with the smallest request
//!   that violates it, and the failure scenario.
//! - [`drain_plan`] orders drains into batches so that every expectation holds throughout.

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
