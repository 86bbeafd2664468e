//! The balancer's decisions, one module each, with their constants and state.
//!
//! The state types don't depend on the [`Balancer`](crate::Balancer). Decisions that need several
//! of them are methods of the balancer, implemented in the module of the decision.

pub(crate) mod admission;
pub(crate) mod class_slices;
pub(crate) mod limiter;
pub(crate) mod ordering;
pub(crate) mod outlier;
pub(crate) mod quota;
pub(crate) mod retry;
pub(crate) mod selection;
pub(crate) mod slow_start;
pub(crate) mod subset;
pub(crate) mod zone_spillover;
