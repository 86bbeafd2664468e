//! Exports the metrics as Prometheus text and as a one-line JSON object. Operators' tools depend on
//! the keys of both.

use super::labels::{
    DrainReason, EventLabels, OUTCOME_LABELS, PoolLabels, ReasonLabels, RequestLabels, RuleLabels,
    SliceLabels,
};
use super::pool::{PoolCounters, PoolSnapshot};
use super::registry::MetricsRegistry;
use crate::runtime_accounting;
use crate::safety::{Denial, Violation, violations};
use crate::stall_detector;
use crate::time::as_millis;
use heathroad_balancer::SliceLoad;
use prometheus_client::encoding::text;
use prometheus_client::metrics::counter::Counter;
use serde::Serialize;
use std::collections::BTreeMap;

/// File descriptor usage of the process.
#[derive(Clone, Copy)]
pub struct Descriptors {
    /// The number of open descriptors.
    pub open: usize,
    /// The limit.
    pub max: usize,
}

/// Raises a counter to a total that another module counts.
fn raise_to(counter: &Counter, total: u64) {
    counter.inc_by(total.saturating_sub(counter.get()));
}

/// Converts a count to a gauge value.
fn gauge_value(count: usize) -> i64 {
    i64::try_from(count).unwrap_or(i64::MAX)
}

impl MetricsRegistry {
    /// Returns all metrics as Prometheus text.
    pub fn to_text(&self, pools: &[PoolSnapshot<'_>], descriptors: Descriptors) -> String {
        for name in self.pools.borrow().keys() {
            self.set_pool_gauges(name, pools);
        }
        self.raise_totals();
        let stalls = stall_detector::stalls();
        raise_to(&self.stalls, stalls.count);
        self.longest_stall_seconds.set(stalls.longest.as_secs_f64());
        self.descriptors.set(gauge_value(descriptors.open));
        self.descriptors_max.set(gauge_value(descriptors.max));
        let mut text = String::new();
        // Writing to a string cannot fail, nor can the encoders of the metrics used here.
        let _ = text::encode(&mut text, &self.registry);
        text
    }

    /// Sets the gauges of a pool to the sums over all its instances.
    fn set_pool_gauges(&self, pool: &str, pools: &[PoolSnapshot<'_>]) {
        let labels = PoolLabels {
            pool: pool.to_string(),
        };
        let instances = || {
            pools
                .iter()
                .filter(|instance| instance.metrics.pool() == pool)
        };
        let limit = instances().map(|instance| instance.load.limit).sum();
        self.limit.get_or_create(&labels).set(limit);
        let in_flight = instances()
            .map(|instance| instance.load.in_flight as i64)
            .sum();
        self.in_flight.get_or_create(&labels).set(in_flight);
        let open_requests = gauge_value(instances().map(|instance| instance.open_requests).sum());
        self.open_requests.get_or_create(&labels).set(open_requests);
        let slices = instances()
            .map(|instance| instance.load.slices.len())
            .max()
            .unwrap_or(0);
        for index in 0..slices {
            let labels = SliceLabels {
                pool: pool.to_string(),
                slice: index as u32,
            };
            let sum = |value: fn(&SliceLoad) -> f64| -> f64 {
                let slices = instances().filter_map(|instance| instance.load.slices.get(index));
                slices.map(value).sum()
            };
            let gauges = &self.slices;
            gauges.limit.get_or_create(&labels).set(sum(|s| s.limit));
            gauges
                .in_flight
                .get_or_create(&labels)
                .set(sum(|s| s.in_flight));
            gauges
                .queued
                .get_or_create(&labels)
                .set(sum(|s| s.queued as f64));
        }
    }

    /// Updates the counters whose totals other modules count.
    fn raise_totals(&self) {
        for (event, total) in self.budget_totals() {
            raise_to(
                &self.budget_events.get_or_create(&EventLabels { event }),
                total,
            );
        }
        for (event, total) in runtime_totals() {
            raise_to(
                &self.runtime_events.get_or_create(&EventLabels { event }),
                total,
            );
        }
        for (reason, total) in denial_totals() {
            raise_to(&self.denials.get_or_create(&ReasonLabels { reason }), total);
        }
        for (rule, total) in violation_totals() {
            raise_to(&self.violations.get_or_create(&RuleLabels { rule }), total);
        }
    }

    fn budget_totals(&self) -> BTreeMap<&'static str, u64> {
        let budgets = self.retry_budgets.borrow();
        let Some(counters) = budgets.as_ref().map(|budgets| budgets.counters()) else {
            return BTreeMap::new();
        };
        BTreeMap::from([
            ("entered", counters.new_budgets),
            ("carried", counters.carried_budgets),
            ("spoilt", counters.malformed_headers),
            ("loops", counters.loops),
            ("too_far", counters.too_many_hops),
            ("granted", counters.retries_granted),
            ("again", counters.retries_sent),
            ("lost", counters.retries_lost),
        ])
    }

    /// Returns all metrics as one JSON object. Values without a pool label are sums over all pools.
    pub fn to_json(&self, pools: &[PoolSnapshot<'_>], descriptors: Descriptors) -> String {
        let by_pool = self.pools.borrow();
        let sum = |labels: &'static [&'static str], of: fn(&PoolCounters) -> &[Counter]| {
            sum_by_label(by_pool.values(), labels, of)
        };
        let stalls = stall_detector::stalls();
        let document = MetricsDocument {
            requests: self.request_rows(),
            attempts: sum(&OUTCOME_LABELS, |pool| &pool.attempts),
            late_completions: sum(&OUTCOME_LABELS, |pool| &pool.late_completions),
            retries: sum(&OUTCOME_LABELS, |pool| &pool.retries),
            drains: sum(&DrainReason::LABELS, |pool| &pool.drains),
            slow_start_sends: by_pool.values().map(|p| p.slow_start_sends.get()).sum(),
            unusable: self.unusable_totals(),
            limit: pools.iter().map(|pool| pool.load.limit).sum(),
            in_flight: pools.iter().map(|pool| pool.load.in_flight).sum(),
            slices: pools.iter().flat_map(|pool| &pool.load.slices).collect(),
            open_requests: pools.iter().map(|pool| pool.open_requests).sum(),
            descriptors: descriptors.open,
            descriptors_max: descriptors.max,
            budget_events: self.budget_totals(),
            runtime_events: runtime_totals().collect(),
            denials: denial_totals().collect(),
            violations: violation_totals().collect(),
            stalls: stalls.count,
            longest_stall_ms: as_millis(stalls.longest),
        };
        // Serialization cannot fail: all keys are strings.
        serde_json::to_string(&document).unwrap_or_default()
    }

    fn request_rows(&self) -> Vec<RequestRow> {
        let rows = self.request_rows.borrow();
        let row = |(labels, counter): (&RequestLabels, &Counter)| RequestRow {
            labels: labels.clone(),
            count: counter.get(),
        };
        rows.iter().map(row).collect()
    }

    fn unusable_totals(&self) -> BTreeMap<String, u64> {
        let by_status = self.unusable_by_status.borrow();
        let total = |(status, counter): (&u16, &Counter)| (status.to_string(), counter.get());
        by_status.iter().map(total).collect()
    }
}

fn sum_by_label<'a>(
    pools: impl Iterator<Item = &'a PoolCounters> + Clone,
    labels: &'static [&'static str],
    of: fn(&PoolCounters) -> &[Counter],
) -> BTreeMap<&'static str, u64> {
    let total = |index: usize| -> u64 {
        let counters = pools.clone().filter_map(|pool| of(pool).get(index));
        counters.map(Counter::get).sum()
    };
    let labels = labels.iter().enumerate();
    labels
        .map(|(index, label)| (*label, total(index)))
        .collect()
}

fn runtime_totals() -> impl Iterator<Item = (&'static str, u64)> {
    let names = runtime_accounting::NAMES.into_iter();
    names.zip(runtime_accounting::so_far())
}

fn denial_totals() -> impl Iterator<Item = (&'static str, u64)> {
    Denial::LABELS.into_iter().zip(violations::denials())
}

fn violation_totals() -> impl Iterator<Item = (&'static str, u64)> {
    let labels = Violation::LABELS.into_iter();
    labels.zip(violations::violations())
}

#[derive(Serialize)]
struct RequestRow {
    #[serde(flatten)]
    labels: RequestLabels,
    count: u64,
}

/// The exported JSON object; its keys are fixed.
#[derive(Serialize)]
struct MetricsDocument<'a> {
    requests: Vec<RequestRow>,
    attempts: BTreeMap<&'a str, u64>,
    #[serde(rename = "late_ends")]
    late_completions: BTreeMap<&'a str, u64>,
    #[serde(rename = "resends")]
    retries: BTreeMap<&'a str, u64>,
    drains: BTreeMap<&'a str, u64>,
    #[serde(rename = "cold_sends")]
    slow_start_sends: u64,
    unusable: BTreeMap<String, u64>,
    limit: f64,
    in_flight: f64,
    slices: Vec<&'a SliceLoad>,
    #[serde(rename = "requests_open")]
    open_requests: usize,
    descriptors: usize,
    descriptors_max: usize,
    #[serde(rename = "budget", skip_serializing_if = "BTreeMap::is_empty")]
    budget_events: BTreeMap<&'a str, u64>,
    #[serde(rename = "effort")]
    runtime_events: BTreeMap<&'a str, u64>,
    denials: BTreeMap<&'a str, u64>,
    violations: BTreeMap<&'a str, u64>,
    #[serde(rename = "pauses")]
    stalls: u64,
    #[serde(rename = "longest_pause_ms")]
    longest_stall_ms: f64,
}
