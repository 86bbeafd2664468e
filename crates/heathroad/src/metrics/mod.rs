//! What the daemon counts of itself, and the two forms in which it tells it: Prometheus text and
//! one JSON object. Counting is a handful of plain additions a request; names are looked up once
//! for each pair of class and tenant.

use crate::retry_budget::RetryBudgets;
use crate::runtime_accounting;
use crate::safety::{Denial, Violation, violations};
use crate::stall_detector;
use crate::time::as_millis;
use heathroad_balancer::api::Outcome;
use heathroad_balancer::settings::SiteSettings;
use heathroad_balancer::{Load, SliceLoad};
use prometheus_client::encoding::{EncodeLabelSet, text};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;
use serde::Serialize;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::atomic::AtomicU64;

/// A request's final answer, or that its caller left before it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Final {
    /// A backend's answer.
    Served,
    /// Turned away: a further try is harmless.
    Refused,
    /// Failed: nothing is promised.
    Failed,
    /// Failed, because its time was up.
    TimedOut,
    /// The caller was gone before its answer.
    Left,
}

const FINALS: [&str; 5] = ["served", "refused", "failed", "timed_out", "left"];

/// How an attempt ended; the module's outcomes, and those that the module is told in another word.
const OUTCOMES: [&str; 10] = [
    "served",
    "error",
    "declined",
    "timeout",
    "connect_failed",
    "reset",
    "cancelled",
    "unsent",
    "rejected",
    "notified",
];

/// The place of an outcome in [`OUTCOMES`].
fn place(outcome: Outcome) -> usize {
    match outcome {
        Outcome::Success => 0,
        Outcome::Error => 1,
        Outcome::Rejected => 2,
        Outcome::Timeout => 3,
        Outcome::ConnectFailed => 4,
        Outcome::Reset => 5,
        Outcome::Cancelled => 6,
        Outcome::NotSent => 7,
    }
}

/// Ends of attempts that say nothing of their backend.
#[derive(Clone, Copy)]
pub enum Special {
    /// Turned down as unusable by a backend.
    Rejected = 8,
    /// A notification, written whole: no answer comes to it.
    Sent = 9,
}

/// Why nothing more goes to a backend's process.
#[derive(Clone, Copy, Debug)]
pub enum Notice {
    /// It drains.
    Draining,
    /// The list no longer names it.
    Gone,
    /// Another process has taken its name.
    Replaced,
}

const NOTICES: [&str; 3] = ["draining", "gone", "replaced"];

#[derive(Clone, Debug, Hash, PartialEq, Eq, PartialOrd, Ord, EncodeLabelSet, Serialize)]
struct OfRequest {
    #[serde(skip_serializing_if = "String::is_empty")]
    pool: String,
    class: String,
    tenant: String,
    answer: &'static str,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct ByOutcome {
    pool: String,
    outcome: &'static str,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct After {
    pool: String,
    after: &'static str,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct ByNotice {
    pool: String,
    notice: &'static str,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct ByEvent {
    event: &'static str,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct ByReason {
    reason: &'static str,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct ByRule {
    rule: &'static str,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct ByStatus {
    status: u16,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct OfSlice {
    pool: String,
    slice: u32,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct OfPool {
    pool: String,
}

type Figure = Gauge<f64, AtomicU64>;

/// Most pools that are counted by name; what further ones do is counted together. Names of pools
/// come and go with configurations, and counters never go.
const MAX_POOLS: usize = 1_000;
const OTHERS: &str = "(others)";

/// The counters of a pool that have no names in them.
#[derive(Clone)]
struct OfOnePool {
    attempts: [Counter; OUTCOMES.len()],
    late: [Counter; OUTCOMES.len()],
    resends: [Counter; OUTCOMES.len()],
    drains: [Counter; NOTICES.len()],
    cold: Counter,
}

/// The metrics of a daemon, over all the pools that it ever had: several runs of one name count
/// together. The one pool of a daemon without routes has no name.
pub struct Meter {
    registry: Registry,
    /// Every pool, and every row of requests, that was counted: families can't be listed back.
    pools: RefCell<BTreeMap<String, OfOnePool>>,
    rows: RefCell<BTreeMap<OfRequest, Counter>>,
    requests: Family<OfRequest, Counter>,
    attempts: Family<ByOutcome, Counter>,
    late: Family<ByOutcome, Counter>,
    resends: Family<After, Counter>,
    drains: Family<ByNotice, Counter>,
    cold: Family<OfPool, Counter>,
    unusable: Family<ByStatus, Counter>,
    /// The statuses seen in `unusable`, which can't be listed back.
    statuses: RefCell<BTreeMap<u16, Counter>>,
    limit: Family<OfPool, Figure>,
    in_flight: Family<OfPool, Gauge>,
    slices: [Family<OfSlice, Figure>; 3],
    open: Family<OfPool, Gauge>,
    descriptors: Gauge,
    descriptors_most: Gauge,
    budget: Family<ByEvent, Counter>,
    effort: Family<ByEvent, Counter>,
    denials: Family<ByReason, Counter>,
    violations: Family<ByRule, Counter>,
    pauses: Counter,
    longest_pause: Figure,
    budgets: RefCell<Option<Rc<RetryBudgets>>>,
}

/// What one run of a pool counts in. Counters start at 0 and never go back.
pub struct Counts {
    meter: Rc<Meter>,
    pool: String,
    classes: Vec<String>,
    tenants: Vec<String>,
    /// The counters of requests by class, tenant and answer, once they were needed.
    resolved: RefCell<Vec<Option<Counter>>>,
    of: OfOnePool,
    /// Final answers of this run by kind, and served ones that came after their aim.
    finals: [Cell<u64>; FINALS.len()],
    after_aim: Cell<u64>,
}

/// What a pool's limit stands at.
pub struct Moment<'a> {
    /// Its counters.
    pub counts: &'a Counts,
    /// The learned limit and its slices.
    pub load: Load,
    /// Requests that are owed an answer.
    pub open: usize,
}

impl Meter {
    /// Metrics that nothing was counted in.
    pub fn new() -> Self {
        let mut registry = Registry::with_prefix("heathroad");
        let r = &mut registry;
        let requests = Family::<OfRequest, Counter>::default();
        r.register(
            "requests",
            "Requests by class, tenant and final answer",
            requests.clone(),
        );
        let attempts = Family::<ByOutcome, Counter>::default();
        r.register("attempts", "Attempts by how they ended", attempts.clone());
        let late = Family::<ByOutcome, Counter>::default();
        r.register(
            "late_ends",
            "Attempts given up, by how their work ended after all",
            late.clone(),
        );
        let resends = Family::<After, Counter>::default();
        r.register(
            "resends",
            "Attempts after a request's first, by how the one before ended",
            resends.clone(),
        );
        let drains = Family::<ByNotice, Counter>::default();
        r.register(
            "drains",
            "Backends' processes that nothing new goes to, by the notice",
            drains.clone(),
        );
        let cold = Family::<OfPool, Counter>::default();
        r.register(
            "cold_sends",
            "Attempts sent to a backend that was not surely warm",
            cold.clone(),
        );
        let unusable = Family::<ByStatus, Counter>::default();
        r.register(
            "unusable",
            "Requests that could not be used, by the status answered",
            unusable.clone(),
        );
        let limit = Family::<OfPool, Figure>::default();
        r.register("limit", "The learned concurrency limit", limit.clone());
        let in_flight = Family::<OfPool, Gauge>::default();
        r.register(
            "in_flight",
            "Calls counted against the limit",
            in_flight.clone(),
        );
        let slices = [
            ("slice_limit", "A slice's own limit"),
            ("slice_busy", "A slice's calls in flight"),
            ("slice_held", "Requests held for a slice"),
        ]
        .map(|(name, help)| {
            let family = Family::<OfSlice, Figure>::default();
            r.register(name, help, family.clone());
            family
        });
        let open = Family::<OfPool, Gauge>::default();
        r.register(
            "requests_open",
            "Requests that are owed an answer",
            open.clone(),
        );
        let budget = Family::<ByEvent, Counter>::default();
        r.register(
            "budget",
            "Requests and retries under a retry budget, by event",
            budget.clone(),
        );
        let effort = Family::<ByEvent, Counter>::default();
        r.register(
            "effort",
            "What was asked of the system and the runtime",
            effort.clone(),
        );
        let denials = Family::<ByReason, Counter>::default();
        r.register(
            "denials",
            "Attempts that were not begun or written, by the reason",
            denials.clone(),
        );
        let violations = Family::<ByRule, Counter>::default();
        r.register(
            "violations",
            "Rules seen broken by the daemon's own look",
            violations.clone(),
        );
        let (pauses, longest_pause) = (Counter::default(), Figure::default());
        r.register(
            "pauses",
            "Times that the process was held up",
            pauses.clone(),
        );
        r.register(
            "longest_pause_seconds",
            "The longest of them",
            longest_pause.clone(),
        );
        let descriptors = Gauge::default();
        r.register(
            "descriptors",
            "Descriptors that the process holds",
            descriptors.clone(),
        );
        let descriptors_most = Gauge::default();
        r.register(
            "descriptors_max",
            "Descriptors that the process may hold",
            descriptors_most.clone(),
        );
        Meter {
            registry,
            pools: RefCell::default(),
            rows: RefCell::default(),
            requests,
            attempts,
            late,
            resends,
            drains,
            cold,
            unusable,
            statuses: RefCell::default(),
            limit,
            in_flight,
            slices,
            open,
            descriptors,
            descriptors_most,
            budget,
            effort,
            denials,
            violations,
            pauses,
            longest_pause,
            budgets: RefCell::default(),
        }
    }

    /// Reads the retry budgets' counters from here.
    pub fn keep_budgets(&self, budgets: &Rc<RetryBudgets>) {
        self.budgets.replace(Some(budgets.clone()));
    }

    fn budget_counters(&self) -> BTreeMap<&'static str, u64> {
        let budgets = self.budgets.borrow();
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

    /// What came could not be used and was answered with a status.
    pub fn unusable(&self, status: u16) {
        let mut statuses = self.statuses.borrow_mut();
        let new = || self.unusable.get_or_create(&ByStatus { status }).clone();
        statuses.entry(status).or_insert_with(new).inc();
    }

    fn pool(&self, name: &str) -> (String, OfOnePool) {
        let mut pools = self.pools.borrow_mut();
        let name = if pools.len() < MAX_POOLS || pools.contains_key(name) {
            name
        } else {
            OTHERS
        };
        let pool = || name.to_string();
        let by = |outcome| ByOutcome {
            pool: pool(),
            outcome,
        };
        let new = || OfOnePool {
            attempts: OUTCOMES.map(|o| self.attempts.get_or_create(&by(o)).clone()),
            late: OUTCOMES.map(|o| self.late.get_or_create(&by(o)).clone()),
            resends: OUTCOMES.map(|after| {
                self.resends
                    .get_or_create(&After {
                        pool: pool(),
                        after,
                    })
                    .clone()
            }),
            drains: NOTICES.map(|notice| {
                self.drains
                    .get_or_create(&ByNotice {
                        pool: pool(),
                        notice,
                    })
                    .clone()
            }),
            cold: self.cold.get_or_create(&OfPool { pool: pool() }).clone(),
        };
        (pool(), pools.entry(pool()).or_insert_with(new).clone())
    }

    /// Everything as Prometheus text; `descriptors` are those held, and the most.
    pub fn text(&self, runs: &[Moment<'_>], descriptors: [usize; 2]) -> String {
        let gauge = |n: usize| i64::try_from(n).unwrap_or(i64::MAX);
        for pool in self.pools.borrow().keys() {
            let of = OfPool { pool: pool.clone() };
            let runs = || runs.iter().filter(|m| m.counts.pool == *pool);
            self.limit
                .get_or_create(&of)
                .set(runs().map(|m| m.load.limit).sum());
            self.in_flight
                .get_or_create(&of)
                .set(runs().map(|m| m.load.in_flight as i64).sum());
            self.open
                .get_or_create(&of)
                .set(gauge(runs().map(|m| m.open).sum()));
            let slices = runs().map(|m| m.load.slices.len()).max().unwrap_or(0);
            for i in 0..slices {
                let slice = OfSlice {
                    pool: pool.clone(),
                    slice: i as u32,
                };
                let sum = |figure: fn(&SliceLoad) -> f64| {
                    runs()
                        .filter_map(|m| m.load.slices.get(i))
                        .map(figure)
                        .sum::<f64>()
                };
                let figures = [
                    sum(|s| s.limit),
                    sum(|s| s.in_flight),
                    sum(|s| s.queued as f64),
                ];
                for (family, figure) in self.slices.iter().zip(figures) {
                    family.get_or_create(&slice).set(figure);
                }
            }
        }
        for (event, count) in self.budget_counters() {
            let counter = self.budget.get_or_create(&ByEvent { event });
            counter.inc_by(count.saturating_sub(counter.get()));
        }
        for (event, count) in runtime_accounting::NAMES
            .into_iter()
            .zip(runtime_accounting::so_far())
        {
            let counter = self.effort.get_or_create(&ByEvent { event });
            counter.inc_by(count.saturating_sub(counter.get()));
        }
        let to = |counter: &Counter, count: u64| {
            counter.inc_by(count.saturating_sub(counter.get()));
        };
        for (reason, count) in Denial::LABELS.into_iter().zip(violations::denials()) {
            to(&self.denials.get_or_create(&ByReason { reason }), count);
        }
        for (rule, count) in Violation::LABELS.into_iter().zip(violations::violations()) {
            to(&self.violations.get_or_create(&ByRule { rule }), count);
        }
        let stalls = stall_detector::stalls();
        to(&self.pauses, stalls.count);
        self.longest_pause.set(stalls.longest.as_secs_f64());
        self.descriptors.set(gauge(descriptors[0]));
        self.descriptors_most.set(gauge(descriptors[1]));
        let mut text = String::new();
        // Writing to a string fails only where a metric's own encoding does, and these are the
        // crate's.
        let _ = text::encode(&mut text, &self.registry);
        text
    }

    /// The same as one JSON object on one line. What has no pool in it is a sum over all.
    pub fn json(&self, runs: &[Moment<'_>], descriptors: [usize; 2]) -> String {
        let pools = self.pools.borrow();
        let sums = |names: &[&'static str],
                    of: &dyn Fn(&OfOnePool) -> &[Counter]|
         -> BTreeMap<&'static str, u64> {
            let sum = |i: usize| {
                pools
                    .values()
                    .filter_map(|p| of(p).get(i))
                    .map(Counter::get)
                    .sum()
            };
            names
                .iter()
                .enumerate()
                .map(|(i, name)| (*name, sum(i)))
                .collect()
        };
        let rows = self.rows.borrow();
        let row = |(of, counter): (&OfRequest, &Counter)| Row {
            of: of.clone(),
            count: counter.get(),
        };
        let whole = Whole {
            requests: rows.iter().map(row).collect(),
            attempts: sums(&OUTCOMES, &|p| &p.attempts),
            late_ends: sums(&OUTCOMES, &|p| &p.late),
            resends: sums(&OUTCOMES, &|p| &p.resends),
            drains: sums(&NOTICES, &|p| &p.drains),
            cold_sends: pools.values().map(|p| p.cold.get()).sum(),
            unusable: self
                .statuses
                .borrow()
                .iter()
                .map(|(s, c)| (s.to_string(), c.get()))
                .collect(),
            limit: runs.iter().map(|m| m.load.limit).sum(),
            in_flight: runs.iter().map(|m| m.load.in_flight).sum(),
            slices: runs.iter().flat_map(|m| &m.load.slices).collect(),
            requests_open: runs.iter().map(|m| m.open).sum(),
            descriptors: descriptors[0],
            descriptors_max: descriptors[1],
            budget: self.budget_counters(),
            effort: runtime_accounting::NAMES
                .into_iter()
                .zip(runtime_accounting::so_far())
                .collect(),
            denials: Denial::LABELS
                .into_iter()
                .zip(violations::denials())
                .collect(),
            violations: Violation::LABELS
                .into_iter()
                .zip(violations::violations())
                .collect(),
            pauses: stall_detector::stalls().count,
            longest_pause_ms: as_millis(stall_detector::stalls().longest),
        };
        // Nothing in it can fail to be written as JSON: keys are text, figures finite.
        serde_json::to_string(&whole).unwrap_or_default()
    }
}

impl Counts {
    /// Counters of a pool for the names of its site.
    pub fn new(meter: &Rc<Meter>, pool: &str, site: &SiteSettings) -> Self {
        let [classes, tenants] = [&site.classes, &site.tenants].map(Clone::clone);
        let (pool, of) = meter.pool(pool);
        Counts {
            resolved: RefCell::new(vec![
                None;
                classes.len() * tenants.len().max(1) * FINALS.len()
            ]),
            finals: Default::default(),
            after_aim: Cell::new(0),
            meter: meter.clone(),
            pool,
            of,
            classes,
            tenants,
        }
    }

    /// What is counted over all pools.
    pub fn meter(&self) -> &Rc<Meter> {
        &self.meter
    }

    /// A request of a class and tenant, by their places in the settings, has had its final answer.
    pub fn answered(&self, class: u16, tenant: u16, answer: Final) {
        let (class, tenant, answer) = (usize::from(class), usize::from(tenant), answer as usize);
        let at = (class * self.tenants.len().max(1) + tenant) * FINALS.len() + answer;
        let mut resolved = self.resolved.borrow_mut();
        let Some(counter) = resolved.get_mut(at) else {
            return;
        };
        let counter = counter.get_or_insert_with(|| {
            let name = |names: &[String], at| names.get(at).cloned().unwrap_or_default();
            let (class, tenant) = (name(&self.classes, class), name(&self.tenants, tenant));
            let row = OfRequest {
                pool: self.pool.clone(),
                class,
                tenant,
                answer: FINALS[answer],
            };
            let counter = self.meter.requests.get_or_create(&row).clone();
            self.meter
                .rows
                .borrow_mut()
                .entry(row)
                .or_insert(counter)
                .clone()
        });
        counter.inc();
        let kind = &self.finals[answer];
        kind.set(kind.get() + 1);
    }

    /// A served request's answer came after its aim.
    pub fn after_aim(&self) {
        self.after_aim.set(self.after_aim.get() + 1);
    }

    /// Requests served, refused, failed and out of time until now, and of those served, late ones.
    pub fn so_far(&self) -> [u64; 5] {
        let of = |kind: Final| self.finals[kind as usize].get();
        let [served, refused] = [Final::Served, Final::Refused].map(of);
        [
            served,
            refused,
            of(Final::Failed),
            of(Final::TimedOut),
            self.after_aim.get(),
        ]
    }

    /// An attempt ended.
    pub fn ended(&self, outcome: Outcome, special: Option<Special>) {
        self.of.attempts[special.map_or_else(|| place(outcome), |s| s as usize)].inc();
    }

    /// The work of an attempt that was given up ended, or is seen no longer.
    pub fn ended_late(&self, outcome: Outcome) {
        self.of.late[place(outcome)].inc();
    }

    /// A request is sent again after an attempt that ended so; nothing where the one before is
    /// still out.
    pub fn resent(&self, after: Option<Outcome>) {
        if let Some(after) = after {
            self.of.resends[place(after)].inc();
        }
    }

    /// A backend's process gets nothing new from now on.
    pub fn drained(&self, notice: Notice) {
        self.of.drains[notice as usize].inc();
    }

    /// An attempt went to a backend that may be cold.
    pub fn sent_cold(&self) {
        self.of.cold.inc();
    }
}

#[derive(Serialize)]
struct Row {
    #[serde(flatten)]
    of: OfRequest,
    count: u64,
}

#[derive(Serialize)]
struct Whole<'a> {
    requests: Vec<Row>,
    attempts: BTreeMap<&'a str, u64>,
    late_ends: BTreeMap<&'a str, u64>,
    resends: BTreeMap<&'a str, u64>,
    drains: BTreeMap<&'a str, u64>,
    cold_sends: u64,
    unusable: BTreeMap<String, u64>,
    limit: f64,
    in_flight: f64,
    slices: Vec<&'a SliceLoad>,
    requests_open: usize,
    descriptors: usize,
    descriptors_max: usize,
    #[serde(skip_serializing_if = "BTreeMap::is_empty")]
    budget: BTreeMap<&'a str, u64>,
    effort: BTreeMap<&'a str, u64>,
    denials: BTreeMap<&'a str, u64>,
    violations: BTreeMap<&'a str, u64>,
    pauses: u64,
    longest_pause_ms: f64,
}

#[cfg(test)]
#[path = "../../tests/unit/metrics.rs"]
mod tests;
