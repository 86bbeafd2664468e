//! Registers each metric with its name, help text and labels.

use super::labels::{
    DrainLabels, DrainReason, EventLabels, OUTCOME_LABELS, OutcomeLabels, PoolLabels, ReasonLabels,
    RequestLabels, RetryLabels, RuleLabels, SliceLabels, StatusLabels,
};
use super::pool::PoolCounters;
use crate::retry_budget::RetryBudgets;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::{Metric, Registry};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::atomic::AtomicU64;

/// The prefix of every metric name.
const PREFIX: &str = "heathroad";
/// The maximum number of pools with their own label value; further ones share one. Counters are
/// never removed, so pool names that change with each configuration would accumulate.
const MAX_NAMED_POOLS: usize = 1_000;
/// The label value shared by pools beyond the maximum.
const OTHER_POOLS: &str = "(others)";

/// A floating-point gauge.
pub type FloatGauge = Gauge<f64, AtomicU64>;

/// The metrics of all pools that the daemon has had. Instances with the same name share counters.
/// The single pool of a daemon without routes has an empty name.
pub struct MetricsRegistry {
    pub(super) registry: Registry,
    /// The counters of every pool; a `Family` cannot be iterated.
    pub(super) pools: RefCell<BTreeMap<String, PoolCounters>>,
    /// The request counters by their labels.
    pub(super) request_rows: RefCell<BTreeMap<RequestLabels, Counter>>,
    /// The counters of malformed requests by response status.
    pub(super) unusable_by_status: RefCell<BTreeMap<u16, Counter>>,
    pub(super) requests: Family<RequestLabels, Counter>,
    attempts: Family<OutcomeLabels, Counter>,
    late_completions: Family<OutcomeLabels, Counter>,
    retries: Family<RetryLabels, Counter>,
    drains: Family<DrainLabels, Counter>,
    slow_start_sends: Family<PoolLabels, Counter>,
    unusable: Family<StatusLabels, Counter>,
    pub(super) limit: Family<PoolLabels, FloatGauge>,
    pub(super) in_flight: Family<PoolLabels, Gauge>,
    pub(super) slices: SliceGauges,
    pub(super) open_requests: Family<PoolLabels, Gauge>,
    pub(super) descriptors: Gauge,
    pub(super) descriptors_max: Gauge,
    pub(super) budget_events: Family<EventLabels, Counter>,
    pub(super) runtime_events: Family<EventLabels, Counter>,
    pub(super) denials: Family<ReasonLabels, Counter>,
    pub(super) violations: Family<RuleLabels, Counter>,
    pub(super) stalls: Counter,
    pub(super) longest_stall_seconds: FloatGauge,
    pub(super) retry_budgets: RefCell<Option<Rc<RetryBudgets>>>,
}

/// The gauges of a slice of the concurrency limit.
pub struct SliceGauges {
    pub limit: Family<SliceLabels, FloatGauge>,
    pub in_flight: Family<SliceLabels, FloatGauge>,
    pub queued: Family<SliceLabels, FloatGauge>,
}

/// Creates a metric and registers it.
fn register<M>(registry: &mut Registry, name: &str, help: &str) -> M
where
    M: Metric + Clone + Default,
{
    let metric = M::default();
    registry.register(name, help, metric.clone());
    metric
}

impl SliceGauges {
    fn new(registry: &mut Registry) -> Self {
        SliceGauges {
            limit: register(registry, "slice_limit", "The own limit of a slice"),
            in_flight: register(registry, "slice_busy", "Attempts of a slice in flight"),
            queued: register(registry, "slice_held", "Requests queued for a slice"),
        }
    }
}

impl MetricsRegistry {
    /// Creates and registers all metrics.
    #[rustfmt::skip] // One metric per line.
    pub fn new() -> Self {
        let mut registry = Registry::with_prefix(PREFIX);
        let r = &mut registry;
        MetricsRegistry {
            requests: register(r, "requests", "Requests by class, tenant and final response"),
            attempts: register(r, "attempts", "Attempts by outcome"),
            late_completions: register(r, "late_ends", "Abandoned attempts by how their work ended"),
            retries: register(r, "resends", "Retries by the outcome of the attempt before"),
            drains: register(r, "drains", "Backend processes that get no new requests, by reason"),
            slow_start_sends: register(r, "cold_sends", "Attempts sent to a backend in slow start"),
            unusable: register(r, "unusable", "Malformed requests by the status of the response"),
            limit: register(r, "limit", "The learned concurrency limit"),
            in_flight: register(r, "in_flight", "Attempts counted against the concurrency limit"),
            slices: SliceGauges::new(r),
            open_requests: register(r, "requests_open", "Requests that are owed a response"),
            budget_events: register(r, "budget", "Requests and retries under a retry budget, by event"),
            runtime_events: register(r, "effort", "System calls, tasks and timers, by kind"),
            denials: register(r, "denials", "Attempts not begun or not written, by reason"),
            violations: register(r, "violations", "Violations of the safety rules, by rule"),
            stalls: register(r, "pauses", "Stalls of the process"),
            longest_stall_seconds: register(r, "longest_pause_seconds", "The longest stall of the process"),
            descriptors: register(r, "descriptors", "Open file descriptors"),
            descriptors_max: register(r, "descriptors_max", "The limit on file descriptors"),
            registry,
            pools: RefCell::default(),
            request_rows: RefCell::default(),
            unusable_by_status: RefCell::default(),
            retry_budgets: RefCell::default(),
        }
    }

    /// Adds the counters of retry budgets to the export.
    pub fn export_retry_budgets(&self, budgets: &Rc<RetryBudgets>) {
        self.retry_budgets.replace(Some(budgets.clone()));
    }

    /// Counts a malformed request that was answered with a status.
    pub fn record_unusable(&self, status: u16) {
        let mut by_status = self.unusable_by_status.borrow_mut();
        let counter = by_status.entry(status).or_insert_with(|| {
            let labels = StatusLabels { status };
            self.unusable.get_or_create(&labels).clone()
        });
        counter.inc();
    }

    /// Returns the label value of a pool, and its counters.
    pub(super) fn pool(&self, name: &str) -> (String, PoolCounters) {
        let mut pools = self.pools.borrow_mut();
        let is_named = pools.len() < MAX_NAMED_POOLS || pools.contains_key(name);
        let name = if is_named { name } else { OTHER_POOLS };
        let counters = pools
            .entry(name.to_string())
            .or_insert_with(|| self.pool_counters(name));
        (name.to_string(), counters.clone())
    }

    fn pool_counters(&self, name: &str) -> PoolCounters {
        let pool = || name.to_string();
        let by_outcome = |family: &Family<OutcomeLabels, Counter>| {
            OUTCOME_LABELS.map(|outcome| {
                let pool = pool();
                family
                    .get_or_create(&OutcomeLabels { pool, outcome })
                    .clone()
            })
        };
        let retries = OUTCOME_LABELS.map(|after| {
            let pool = pool();
            self.retries
                .get_or_create(&RetryLabels { pool, after })
                .clone()
        });
        let drains = DrainReason::LABELS.map(|notice| {
            let pool = pool();
            self.drains
                .get_or_create(&DrainLabels { pool, notice })
                .clone()
        });
        let labels = PoolLabels { pool: pool() };
        PoolCounters {
            attempts: by_outcome(&self.attempts),
            late_completions: by_outcome(&self.late_completions),
            retries,
            drains,
            slow_start_sends: self.slow_start_sends.get_or_create(&labels).clone(),
        }
    }
}
