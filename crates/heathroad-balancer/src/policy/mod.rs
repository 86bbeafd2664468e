//! The decisions, one module each, with the constants, the records and the source of its method.
//!
//! Records with methods of their own know nothing of the [`Balancer`](crate::Balancer). Decisions
//! that need several of them are methods of the balancer in the module that they belong to.

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
