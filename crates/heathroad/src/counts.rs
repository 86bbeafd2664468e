//! What the daemon counts of itself, and the two forms in which it tells it: Prometheus text and one JSON object.
//! Counting is a handful of plain additions a request; names are looked up once for each pair of class and tenant.

use prometheus_client::encoding::{EncodeLabelSet, text};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;
use serde::Serialize;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::sync::atomic::AtomicU64;
use turnshift::api::Outcome;
use turnshift::settings::Site;
use turnshift::{Load, SliceLoad};

/// A request's final answer, or that its caller left before it.
#[derive(Clone, Copy, PartialEq, Eq)]
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

/// How an attempt ended; the module's outcomes, and what was turned down as unusable by a backend.
const OUTCOMES: [&str; 9] =
    ["served", "error", "declined", "timeout", "connect_failed", "reset", "cancelled", "unsent", "rejected"];

/// The place of an outcome in [`OUTCOMES`].
fn place(outcome: Outcome) -> usize {
    match outcome {
        Outcome::Ok => 0,
        Outcome::Error => 1,
        Outcome::Full => 2,
        Outcome::Timeout => 3,
        Outcome::ConnectFailed => 4,
        Outcome::Reset => 5,
        Outcome::Cancelled => 6,
        Outcome::Moot => 7,
    }
}

const REJECTED: usize = 8;

/// Why nothing more goes to a backend's process.
#[derive(Clone, Copy)]
pub enum Notice {
    /// It drains.
    Draining,
    /// The list no longer names it.
    Gone,
    /// Another process has taken its name.
    Replaced,
}

const NOTICES: [&str; 3] = ["draining", "gone", "replaced"];

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct OfRequest {
    class: String,
    tenant: String,
    answer: &'static str,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct ByOutcome {
    outcome: &'static str,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct After {
    after: &'static str,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct ByNotice {
    notice: &'static str,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct ByStatus {
    status: u16,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct OfSlice {
    slice: u32,
}

type Figure = Gauge<f64, AtomicU64>;

/// All counters of one daemon's life. They start at 0 and never go back.
pub struct Counts {
    registry: Registry,
    classes: Vec<String>,
    tenants: Vec<String>,
    requests: Family<OfRequest, Counter>,
    /// The same counters by class, tenant and answer, once they were needed.
    resolved: RefCell<Vec<Option<Counter>>>,
    attempts: [Counter; OUTCOMES.len()],
    late: [Counter; OUTCOMES.len()],
    resends: [Counter; OUTCOMES.len()],
    drains: [Counter; NOTICES.len()],
    cold: Counter,
    unusable: Family<ByStatus, Counter>,
    /// The statuses seen in `unusable`, which can't be listed back.
    statuses: RefCell<BTreeMap<u16, Counter>>,
    limit: Figure,
    in_flight: Gauge,
    slices: [Family<OfSlice, Figure>; 3],
    open: Gauge,
    descriptors: Gauge,
    descriptors_most: Gauge,
}

/// What is so at the moment, beside the counters.
pub struct Moment {
    /// The learned limit and its slices.
    pub load: Load,
    /// Requests that are owed an answer.
    pub open: usize,
    /// Descriptors that the process holds, and the most that it may.
    pub descriptors: [usize; 2],
}

impl Counts {
    /// Counters for the names of a site.
    pub fn new(site: &Site) -> Self {
        let mut registry = Registry::with_prefix("heathroad");
        let r = &mut registry;
        let requests = Family::<OfRequest, Counter>::default();
        r.register("requests", "Requests by class, tenant and final answer", requests.clone());
        let attempts = Family::<ByOutcome, Counter>::default();
        r.register("attempts", "Attempts by how they ended", attempts.clone());
        let late = Family::<ByOutcome, Counter>::default();
        r.register("late_ends", "Attempts given up, by how their work ended after all", late.clone());
        let resends = Family::<After, Counter>::default();
        r.register(
            "resends",
            "Attempts after a request's first, by how the one before ended",
            resends.clone(),
        );
        let drains = Family::<ByNotice, Counter>::default();
        r.register("drains", "Backends' processes that nothing new goes to, by the notice", drains.clone());
        let cold = Counter::default();
        r.register("cold_sends", "Attempts sent to a backend that was not surely warm", cold.clone());
        let unusable = Family::<ByStatus, Counter>::default();
        r.register("unusable", "Requests that could not be used, by the status answered", unusable.clone());
        let limit = Figure::default();
        r.register("limit", "The learned concurrency limit", limit.clone());
        let in_flight = Gauge::default();
        r.register("in_flight", "Calls counted against the limit", in_flight.clone());
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
        let open = Gauge::default();
        r.register("requests_open", "Requests that are owed an answer", open.clone());
        let descriptors = Gauge::default();
        r.register("descriptors", "Descriptors that the process holds", descriptors.clone());
        let descriptors_most = Gauge::default();
        r.register("descriptors_max", "Descriptors that the process may hold", descriptors_most.clone());
        let by = |outcome| ByOutcome { outcome };
        let [classes, tenants] = [&site.classes, &site.tenants].map(Clone::clone);
        Counts {
            resolved: RefCell::new(vec![None; classes.len() * tenants.len().max(1) * FINALS.len()]),
            attempts: OUTCOMES.map(|o| attempts.get_or_create(&by(o)).clone()),
            late: OUTCOMES.map(|o| late.get_or_create(&by(o)).clone()),
            resends: OUTCOMES.map(|after| resends.get_or_create(&After { after }).clone()),
            drains: NOTICES.map(|notice| drains.get_or_create(&ByNotice { notice }).clone()),
            statuses: RefCell::default(),
            registry,
            classes,
            tenants,
            requests,
            cold,
            unusable,
            limit,
            in_flight,
            slices,
            open,
            descriptors,
            descriptors_most,
        }
    }

    /// A request of a class and tenant, by their places in the settings, has had its final answer.
    pub fn answered(&self, class: u16, tenant: u16, answer: Final) {
        let (class, tenant, answer) = (usize::from(class), usize::from(tenant), answer as usize);
        let at = (class * self.tenants.len().max(1) + tenant) * FINALS.len() + answer;
        let mut resolved = self.resolved.borrow_mut();
        let Some(counter) = resolved.get_mut(at) else { return };
        let counter = counter.get_or_insert_with(|| {
            let name = |names: &[String], at| names.get(at).cloned().unwrap_or_default();
            let (class, tenant) = (name(&self.classes, class), name(&self.tenants, tenant));
            self.requests.get_or_create(&OfRequest { class, tenant, answer: FINALS[answer] }).clone()
        });
        counter.inc();
    }

    /// An attempt ended; `rejected` where the backend turned it down as unusable.
    pub fn ended(&self, outcome: Outcome, rejected: bool) {
        self.attempts[if rejected { REJECTED } else { place(outcome) }].inc();
    }

    /// The work of an attempt that was given up ended, or is seen no longer.
    pub fn ended_late(&self, outcome: Outcome) {
        self.late[place(outcome)].inc();
    }

    /// A request is sent again after an attempt that ended so; nothing where the one before is still out.
    pub fn resent(&self, after: Option<Outcome>) {
        if let Some(after) = after {
            self.resends[place(after)].inc();
        }
    }

    /// A backend's process gets nothing new from now on.
    pub fn drained(&self, notice: Notice) {
        self.drains[notice as usize].inc();
    }

    /// An attempt went to a backend that may be cold.
    pub fn sent_cold(&self) {
        self.cold.inc();
    }

    /// What came could not be used and was answered with a status.
    pub fn unusable(&self, status: u16) {
        let mut statuses = self.statuses.borrow_mut();
        let new = || self.unusable.get_or_create(&ByStatus { status }).clone();
        statuses.entry(status).or_insert_with(new).inc();
    }

    /// Everything as Prometheus text.
    pub fn text(&self, now: &Moment) -> String {
        let gauge = |n: usize| i64::try_from(n).unwrap_or(i64::MAX);
        self.limit.set(now.load.limit);
        self.in_flight.set(now.load.in_flight as i64);
        for (i, s) in now.load.slices.iter().enumerate() {
            let slice = OfSlice { slice: i as u32 };
            for (family, figure) in self.slices.iter().zip([s.limit, s.busy, s.held as f64]) {
                family.get_or_create(&slice).set(figure);
            }
        }
        self.open.set(gauge(now.open));
        self.descriptors.set(gauge(now.descriptors[0]));
        self.descriptors_most.set(gauge(now.descriptors[1]));
        let mut text = String::new();
        // Writing to a string fails only where a metric's own encoding does, and these are the crate's.
        let _ = text::encode(&mut text, &self.registry);
        text
    }

    /// The same as one JSON object on one line.
    pub fn json(&self, now: &Moment) -> String {
        let mut requests = Vec::new();
        let tenants = self.tenants.len().max(1);
        for (at, counter) in self.resolved.borrow().iter().enumerate() {
            let Some(counter) = counter else { continue };
            let pair = at / FINALS.len();
            requests.push(Row {
                class: self.classes.get(pair / tenants).map_or("", String::as_str),
                tenant: self.tenants.get(pair % tenants).map_or("", String::as_str),
                answer: FINALS[at % FINALS.len()],
                count: counter.get(),
            });
        }
        fn named<'a>(names: &[&'a str], counters: &[Counter]) -> BTreeMap<&'a str, u64> {
            names.iter().copied().zip(counters.iter().map(Counter::get)).collect()
        }
        let whole = Whole {
            requests,
            attempts: named(&OUTCOMES, &self.attempts),
            late_ends: named(&OUTCOMES, &self.late),
            resends: named(&OUTCOMES, &self.resends),
            drains: named(&NOTICES, &self.drains),
            cold_sends: self.cold.get(),
            unusable: self.statuses.borrow().iter().map(|(s, c)| (s.to_string(), c.get())).collect(),
            limit: now.load.limit,
            in_flight: now.load.in_flight,
            slices: &now.load.slices,
            requests_open: now.open,
            descriptors: now.descriptors[0],
            descriptors_max: now.descriptors[1],
        };
        // Nothing in it can fail to be written as JSON: keys are text, figures finite.
        serde_json::to_string(&whole).unwrap_or_default()
    }
}

#[derive(Serialize)]
struct Row<'a> {
    class: &'a str,
    tenant: &'a str,
    answer: &'static str,
    count: u64,
}

#[derive(Serialize)]
struct Whole<'a> {
    requests: Vec<Row<'a>>,
    attempts: BTreeMap<&'a str, u64>,
    late_ends: BTreeMap<&'a str, u64>,
    resends: BTreeMap<&'a str, u64>,
    drains: BTreeMap<&'a str, u64>,
    cold_sends: u64,
    unusable: BTreeMap<String, u64>,
    limit: f64,
    in_flight: f64,
    slices: &'a [SliceLoad],
    requests_open: usize,
    descriptors: usize,
    descriptors_max: usize,
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::hint::black_box;
    use std::time::Instant;

    /// A measurement and no test: what a request's counting takes. Run it in release with `--ignored --nocapture`.
    #[test]
    #[ignore = "a measurement"]
    fn what_counting_costs() {
        const REQUESTS: u32 = 10_000_000;
        let name = |n: usize| (0..n).map(|i| i.to_string()).collect();
        let counts = Counts::new(&Site { classes: name(4), tenants: name(5), ..Site::default() });
        let begun = Instant::now();
        for i in 0..REQUESTS {
            counts.ended(black_box(Outcome::Ok), false);
            counts.answered(black_box((i % 4) as u16), black_box((i % 5) as u16), Final::Served);
        }
        println!("{:.1} ns a request", begun.elapsed().as_nanos() as f64 / f64::from(REQUESTS));
    }
}
