//! What a request may still spend down a chain of services. Retries at each tier multiply; a budget
//! that is granted once, where a request enters, and lent from tier to tier, can't.
//!
//! - [`wire`] is its form in headers: strict, bounded, and durations only, since clocks of machines
//!   are not compared.
//! - [`account`] is its algebra: attempts beyond the first are granted, lent below, and come back
//!   unspent or not at all. No operation makes any.
//! - [`ledger`] keeps one proxy's books: who entered with what, what is lent below, and what the
//!   tier above is told.
//! - [`path`] finds a request that comes round again, by what it carries or by what is still held.
//!
//! Nothing here does I/O or knows a clock.

pub mod account;
pub mod ledger;
pub mod path;
pub mod wire;

pub use account::{Account, Grants, Loan};
pub use ledger::{Ledger, Terms, Ticket};
pub use path::{Held, Way};
pub use wire::{Budget, Path, Spent, Spoilt};
