//! The daemon's metrics, as Prometheus text and as one JSON object.
//!
//! - [`registry`] registers the metrics and holds those of the whole daemon.
//! - [`pool`] counts the requests and attempts of one pool.
//! - [`labels`] defines the labels and their values.
//! - [`export`] writes the metrics, including those counted by other modules: retry budgets,
//!   runtime accounting, safety and stalls.

mod export;
mod labels;
mod pool;
mod registry;

pub use export::Descriptors;
pub use labels::{DrainReason, ResponseKind, UnjudgedEnd};
pub use pool::{PoolMetrics, PoolSnapshot, ResponseTotals};
pub use registry::MetricsRegistry;

#[cfg(test)]
#[path = "../../tests/unit/metrics.rs"]
mod tests;
