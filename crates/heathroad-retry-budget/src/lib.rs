//! Retry budgets for chains of services. Independent retries at each tier multiply. A budget that
//! is granted once, where a request enters the chain, and delegated from tier to tier bounds the
//! total.
//!
//! - [`wire`] encodes and decodes the budget headers. Parsing is strict and bounded. Headers carry
//!   durations, not timestamps, so that clocks of different machines are never compared.
//! - [`allowance`] implements the accounting: retries are issued, delegated to downstream calls,
//!   and returned if unspent.
//! - [`request`] defines budget claims and open requests.
//! - [`open_allowances`] tracks the allowances of one proxy's open requests.
//! - [`loop_detection`] detects forwarding loops by a request's path or by identical open requests.
//!
//! The crate does no I/O and reads no clock.

pub mod allowance;
mod id_generator;
pub mod loop_detection;
pub mod open_allowances;
pub mod request;
pub mod wire;

pub use allowance::{Allowance, Delegation, Issuer};
pub use loop_detection::{InFlightRequests, Rejection, RequestFingerprint};
pub use open_allowances::{Config, OpenAllowances};
pub use request::{BudgetClaim, OpenRequest};
pub use wire::{Budget, MalformedHeader, ProxyPath, RetriesSpent};
