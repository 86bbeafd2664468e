//! Retry budgets down a chain of services. Retries at each tier multiply; a budget that is granted
//! once, where a request enters the chain, and delegated from tier to tier cannot.
//!
//! - [`wire`] encodes and decodes the budget's headers. They are strict and bounded, and carry
//!   durations only, since the clocks of two machines are never compared.
//! - [`allowance`] holds the arithmetic: retries are issued, delegated to calls below, and come
//!   back unspent or not at all.
//! - [`request`] is a request as it claims its budget, and as it is open.
//! - [`open_allowances`] keeps the allowances of one proxy's open requests.
//! - [`loop_detection`] finds a request that comes round again, by the path it carries or by an
//!   identical open request.
//!
//! Nothing here does I/O or reads a clock.

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
