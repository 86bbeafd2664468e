//! The metrics of one instance of a pool. Each counter of requests is looked up once and then kept.

use super::labels::{
    DrainReason, OUTCOME_LABELS, RequestLabels, ResponseKind, UnjudgedEnd, outcome_index,
    unjudged_index,
};
use super::registry::MetricsRegistry;
use heathroad_balancer::Load;
use heathroad_balancer::api::Outcome;
use heathroad_balancer::settings::SiteSettings;
use prometheus_client::metrics::counter::Counter;
use std::cell::{Cell, RefCell};
use std::rc::Rc;

/// The counters of a pool whose label values are known in advance.
#[derive(Clone)]
pub struct PoolCounters {
    pub attempts: [Counter; OUTCOME_LABELS.len()],
    pub late_completions: [Counter; OUTCOME_LABELS.len()],
    pub retries: [Counter; OUTCOME_LABELS.len()],
    pub drains: [Counter; DrainReason::LABELS.len()],
    pub slow_start_sends: Counter,
}

/// The metrics of one instance of a pool. Instances with the same name share their counters.
pub struct PoolMetrics {
    registry: Rc<MetricsRegistry>,
    pool: String,
    classes: Vec<String>,
    tenants: Vec<String>,
    /// The request counters by class, tenant and response, created on first use.
    requests: RefCell<Vec<Option<Counter>>>,
    counters: PoolCounters,
    /// The final responses of this instance, by kind.
    responses: [Cell<u64>; ResponseKind::LABELS.len()],
    /// Responses of this instance served after their latency objective.
    served_late: Cell<u64>,
}

/// The number of final responses of a pool instance, by kind.
#[derive(Clone, Copy, Debug, Default)]
pub struct ResponseTotals {
    /// Responses of backends.
    pub served: u64,
    /// Rejections.
    pub rejected: u64,
    /// Failures.
    pub failed: u64,
    /// Failures at the deadline.
    pub timed_out: u64,
    /// Responses served after their latency objective.
    pub served_late: u64,
}

impl ResponseTotals {
    /// Returns the difference from earlier totals.
    pub fn since(self, earlier: ResponseTotals) -> ResponseTotals {
        ResponseTotals {
            served: self.served.saturating_sub(earlier.served),
            rejected: self.rejected.saturating_sub(earlier.rejected),
            failed: self.failed.saturating_sub(earlier.failed),
            timed_out: self.timed_out.saturating_sub(earlier.timed_out),
            served_late: self.served_late.saturating_sub(earlier.served_late),
        }
    }
}

/// The state of a pool instance at the time of an export.
pub struct PoolSnapshot<'a> {
    /// Its metrics.
    pub metrics: &'a PoolMetrics,
    /// Its concurrency limit and slices.
    pub load: Load,
    /// The number of requests without a response.
    pub open_requests: usize,
}

impl PoolMetrics {
    /// Creates the metrics of a pool with the classes and tenants of its site.
    pub fn new(registry: &Rc<MetricsRegistry>, pool: &str, site: &SiteSettings) -> Self {
        let (pool, counters) = registry.pool(pool);
        let pairs = site.classes.len() * site.tenants.len().max(1);
        PoolMetrics {
            registry: registry.clone(),
            pool,
            classes: site.classes.clone(),
            tenants: site.tenants.clone(),
            requests: RefCell::new(vec![None; pairs * ResponseKind::LABELS.len()]),
            counters,
            responses: Default::default(),
            served_late: Cell::new(0),
        }
    }

    /// Returns the registry of all pools' metrics.
    pub fn registry(&self) -> &Rc<MetricsRegistry> {
        &self.registry
    }

    /// Returns the value of the label `pool`.
    pub(super) fn pool(&self) -> &str {
        &self.pool
    }

    /// Counts the final response to a request. `class` and `tenant` are indices in the settings.
    pub fn record_response(&self, class: u16, tenant: u16, response: ResponseKind) {
        let (class, tenant) = (usize::from(class), usize::from(tenant));
        let pair = class * self.tenants.len().max(1) + tenant;
        let index = pair * ResponseKind::LABELS.len() + response.index();
        let mut requests = self.requests.borrow_mut();
        let Some(counter) = requests.get_mut(index) else {
            return;
        };
        counter
            .get_or_insert_with(|| self.request_counter(class, tenant, response))
            .inc();
        let count = &self.responses[response.index()];
        count.set(count.get() + 1);
    }

    fn request_counter(&self, class: usize, tenant: usize, response: ResponseKind) -> Counter {
        let labels = RequestLabels {
            pool: self.pool.clone(),
            class: self.classes.get(class).cloned().unwrap_or_default(),
            tenant: self.tenants.get(tenant).cloned().unwrap_or_default(),
            answer: response.label(),
        };
        let counter = self.registry.requests.get_or_create(&labels).clone();
        let mut rows = self.registry.request_rows.borrow_mut();
        rows.entry(labels).or_insert(counter).clone()
    }

    /// Counts a response that was served after its latency objective.
    pub fn record_served_late(&self) {
        self.served_late.set(self.served_late.get() + 1);
    }

    /// Returns the totals of this instance's responses so far.
    pub fn response_totals(&self) -> ResponseTotals {
        let total = |kind: ResponseKind| self.responses[kind.index()].get();
        ResponseTotals {
            served: total(ResponseKind::Served),
            rejected: total(ResponseKind::Rejected),
            failed: total(ResponseKind::Failed),
            timed_out: total(ResponseKind::TimedOut),
            served_late: self.served_late.get(),
        }
    }

    /// Counts the end of an attempt.
    pub fn record_attempt_end(&self, outcome: Outcome, unjudged: Option<UnjudgedEnd>) {
        let index = unjudged.map_or_else(|| outcome_index(outcome), unjudged_index);
        self.counters.attempts[index].inc();
    }

    /// Counts the late completion of an abandoned attempt, or that it can no longer be observed.
    pub fn record_late_completion(&self, outcome: Outcome) {
        self.counters.late_completions[outcome_index(outcome)].inc();
    }

    /// Counts a retry by the outcome of the previous attempt. A hedge has none and is not counted.
    pub fn record_retry(&self, after: Option<Outcome>) {
        if let Some(after) = after {
            self.counters.retries[outcome_index(after)].inc();
        }
    }

    /// Counts a backend process that stops receiving new requests.
    pub fn record_drain(&self, reason: DrainReason) {
        self.counters.drains[reason.index()].inc();
    }

    /// Counts an attempt sent to a backend in slow start.
    pub fn record_slow_start_send(&self) {
        self.counters.slow_start_sends.inc();
    }
}
