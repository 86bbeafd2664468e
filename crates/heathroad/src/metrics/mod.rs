//! The daemon's metrics, as Prometheus text and as one JSON object.
//!
//! - [`registry`] registers each metric under its name, and holds those of the whole daemon.
//! - [`pool`] counts the requests and attempts of one pool; counting is a few additions a request.
//! - [`labels`] holds the labels of metrics and their values.
//! - [`export`] writes the metrics, and reads those that other modules count: retry budgets,
//!   runtime accounting, safety, stalls.

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
