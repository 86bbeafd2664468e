//! The four rules: no request lost, no double effect, drains kept, no cold backend pushed over.
//! Each breach is told with the events that prove it.

use super::{CheckInput, client};
use crate::clock::{Micros, format_seconds};
use crate::emulator::host::Pressure;
use crate::event_log::{
    Arrival, Attempt, AttemptEnd, Disposition, EventLog, Health, MalformedClient, ProcessEvent,
    ProcessEventKind, ProxyIndex, RegistryUpdate,
};
use crate::load_generator::MALFORMED_REQUEST_TIMEOUT;
use crate::scenario::{Effect, Group};
use std::collections::{BTreeMap, HashMap, HashSet};

/// On real sockets each limit is so much longer.
pub(super) const SLACK: Micros = 50_000;
/// The part of a cold backend's load that must have come from proxies told of its start, for the
/// rule to be theirs.
const TOLD_PART: f64 = 2.0 / 3.0;

/// A rule.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Rule {
    /// Each request taken gets one answer in time, and only what a backend made for it.
    Lost,
    /// No effect twice; a refusal is harmless.
    Double,
    /// Nothing new to a backend that drains.
    Drain,
    /// No cold backend pushed over.
    Cold,
}

impl Rule {
    /// All four.
    pub const ALL: [Rule; 4] = [Rule::Lost, Rule::Double, Rule::Drain, Rule::Cold];

    /// Its name in reports.
    pub fn name(self) -> &'static str {
        match self {
            Rule::Lost => "lost",
            Rule::Double => "double",
            Rule::Drain => "drain",
            Rule::Cold => "cold",
        }
    }
}

/// A rule broken.
#[derive(Debug, Clone, PartialEq)]
pub struct Violation {
    /// Which.
    pub rule: Rule,
    /// When.
    pub at: Micros,
    /// The request, where it is one's.
    pub id: Option<u64>,
    /// What proves it, with times.
    pub proof: String,
}

/// Whether a client that sent what can't be used was owed more than it got.
pub fn was_unanswered(r: &MalformedClient) -> bool {
    r.ended_at
        .is_none_or(|ended| ended > r.at + MALFORMED_REQUEST_TIMEOUT + SLACK)
}

/// Every breach, the claims that clients ran twice, and how many requests backends saw again under
/// their id.
pub fn all(input: &CheckInput, event_log: &EventLog) -> (Vec<Violation>, Vec<String>, u64) {
    let mut by_id: HashMap<u64, Vec<&Arrival>> = HashMap::new();
    event_log
        .arrivals
        .iter()
        .for_each(|a| by_id.entry(a.id).or_default().push(a));
    by_id
        .values_mut()
        .for_each(|arrivals| arrivals.sort_by_key(|a| a.received_at));
    let mut violations = lost(input, event_log, &by_id);
    violations.extend(client::violations(input, event_log, &by_id));
    let resends = by_id.values().map(|a| a.len() as u64 - 1).sum();
    violations.extend(double(input, event_log, &by_id));
    violations.extend(drain(input, event_log));
    violations.extend(cold(input, event_log));
    violations.sort_by_key(|b| (b.at, b.rule));
    (violations, run_twice(event_log), resends)
}

/// Whether a proxy's process was killed, or had crashed, at some time in a span. What it held is
/// its clients'.
fn died(acts: &[ProcessEvent], proxy: ProxyIndex, from: Micros, to: Micros) -> bool {
    let killed = acts
        .iter()
        .filter(|a| a.proxy == proxy && a.kind == ProcessEventKind::Killed);
    killed
        .into_iter()
        .any(|a| a.at <= to + SLACK && a.until >= from)
}

/// Whether a proxy's process was held still at some time in a span: nothing is owed by one that is
/// given no time.
fn stalled(acts: &[ProcessEvent], proxy: ProxyIndex, from: Micros, to: Micros) -> bool {
    let held = acts
        .iter()
        .filter(|a| a.proxy == proxy && a.kind == ProcessEventKind::Stalled);
    held.into_iter()
        .any(|a| a.at <= to + SLACK && a.until >= from)
}

fn lost(
    input: &CheckInput,
    event_log: &EventLog,
    by_id: &HashMap<u64, Vec<&Arrival>>,
) -> Vec<Violation> {
    let grace = (input.schedule.scenario.rules.answer_grace_ms * 1000.0) as Micros + SLACK;
    let mut violations = Vec::new();
    for t in &event_log.attempts {
        let Some(sent) = t.sent_at else { continue };
        let arrivals = by_id.get(&t.id).map(Vec::as_slice).unwrap_or_default();
        let who = input.proxy(t.proxy);
        let took = t.ended_at.saturating_sub(sent + t.read_delay);
        let still = stalled(&event_log.process_events, t.proxy, sent, t.ended_at);
        let late = took > t.time_limit + grace && !still;
        let owed = || {
            format!(
                "sent to {who} at {}, owed an answer within {}",
                format_seconds(sent),
                format_seconds(t.time_limit)
            )
        };
        let wrong = match &t.end {
            AttemptEnd::Served(mark) => {
                // Made for this request, and made before it was passed on.
                let made = |a: &&&Arrival| {
                    a.marker == *mark && a.tier == t.tier && a.received_at <= t.ended_at
                };
                match arrivals.iter().find(made) {
                    None => Some(format!(
                        "served with mark {mark:x}, which no backend made for it"
                    )),
                    Some(_) if late => Some(format!("served after {}", format_seconds(took))),
                    Some(_) => None,
                }
            }
            AttemptEnd::UnknownBody(text) => Some(format!(
                "served with {text:?}, which no backend made for it"
            )),
            AttemptEnd::Refused { .. } | AttemptEnd::Failed(_) if late => {
                Some(format!("answered after {}", format_seconds(took)))
            }
            AttemptEnd::Refused { .. }
            | AttemptEnd::Failed(_)
            | AttemptEnd::Cancelled
            | AttemptEnd::Unsent => None,
            // An answer that breaks off where the client can tell has failed and is not lost.
            AttemptEnd::Truncated(true) => None,
            AttemptEnd::Truncated(false)
                if died(&event_log.process_events, t.proxy, sent, t.ended_at) =>
            {
                None
            }
            AttemptEnd::Truncated(false) => Some(format!(
                "the connection was closed without an answer at {}",
                format_seconds(t.ended_at)
            )),
            AttemptEnd::Malformed => Some(format!(
                "an answer that can't be read came at {}",
                format_seconds(t.ended_at)
            )),
            AttemptEnd::NoResponse if still => None,
            AttemptEnd::NoResponse
                if died(&event_log.process_events, t.proxy, sent, t.ended_at) =>
            {
                None
            }
            AttemptEnd::NoResponse => Some(format!(
                "no answer had come by {}",
                format_seconds(t.ended_at)
            )),
        };
        let twice = t
            .unexpected_data
            .then(|| "a second answer came behind the first on its connection".to_string());
        // A close between requests may cross one that was not read; what was passed on had been
        // read.
        let taken = t
            .resent_at
            .and_then(|at| arrivals.iter().find(|a| a.received_at <= at));
        let taken = taken
            .filter(|a| {
                !died(
                    &event_log.process_events,
                    t.proxy,
                    a.received_at,
                    t.ended_at,
                )
            })
            .map(|a| {
                format!(
                    "its connection was closed without an answer after it had been passed on: {}",
                    describe(input, a)
                )
            });
        for wrong in wrong.into_iter().chain(twice).chain(taken) {
            let proof = format!("{}; {wrong}", owed());
            violations.push(Violation {
                rule: Rule::Lost,
                at: t.ended_at,
                id: Some(t.id),
                proof,
            });
        }
    }
    for r in event_log
        .malformed_clients
        .iter()
        .filter(|r| r.status == Some(200))
    {
        let proof = format!(
            "a client that sent {} at {} was served",
            r.kind,
            format_seconds(r.at)
        );
        violations.push(Violation {
            rule: Rule::Lost,
            at: r.at,
            id: r.smuggled_id,
            proof,
        });
    }
    violations
}

pub(super) fn describe(input: &CheckInput, a: &Arrival) -> String {
    let what = match a.disposition {
        Disposition::Executed => "ran",
        Disposition::Duplicate => "dropped as a repeat",
        Disposition::Declined => "declined",
    };
    format!(
        "at {} from {} to {}: {what}",
        format_seconds(a.received_at),
        input.proxy(a.proxy),
        input.backend(a.backend)
    )
}

fn double(
    input: &CheckInput,
    event_log: &EventLog,
    by_id: &HashMap<u64, Vec<&Arrival>>,
) -> Vec<Violation> {
    let mut violations = Vec::new();
    let classes = &input.schedule.scenario.class;
    // What its sender sent once more, since its connection was closed, is not the proxy's second
    // try.
    let crossed: HashMap<u64, Micros> = event_log
        .attempts
        .iter()
        .filter_map(|t| Some((t.id, t.resent_at?)))
        .collect();
    for (&id, arrivals) in by_id {
        // What was declined never ran, and is sent again freely.
        let mut may_have_run = arrivals
            .iter()
            .filter(|a| a.disposition != Disposition::Declined);
        let Some(first) = may_have_run.next() else {
            continue;
        };
        let Some(class) = classes.get(usize::from(first.class)) else {
            continue;
        };
        let window = (class.window_ms * 1000.0) as Micros + SLACK;
        let cell = |a: &Arrival| input.cells.get(usize::from(a.backend));
        let again = crossed.get(&id).filter(|at| first.received_at <= **at);
        for a in may_have_run.filter(|a| again.is_none_or(|at| a.received_at <= *at)) {
            let wrong = match class.effect {
                Effect::Safe => None,
                Effect::Unsafe => Some("an unsafe request was sent again though it may have run"),
                Effect::Keyed if a.received_at > first.received_at + window => {
                    Some("a keyed request was sent again outside its window")
                }
                Effect::Keyed if class.group == Group::Cell && cell(a) != cell(first) => {
                    Some("a keyed request was sent again outside its group")
                }
                Effect::Keyed => None,
            };
            if let Some(wrong) = wrong {
                let proof = format!(
                    "{wrong}: {}; then {}",
                    describe(input, first),
                    describe(input, a)
                );
                violations.push(Violation {
                    rule: Rule::Double,
                    at: a.received_at,
                    id: Some(id),
                    proof,
                });
            }
        }
    }
    // A refusal promises that trying again is harmless.
    for t in event_log
        .attempts
        .iter()
        .filter(|t| matches!(t.end, AttemptEnd::Refused { .. }))
    {
        let class = &classes[usize::from(t.class)];
        let free = class.effect == Effect::Safe
            || class.effect == Effect::Keyed && class.group == Group::All;
        let arrivals = by_id.get(&t.id).map(Vec::as_slice).unwrap_or_default();
        if let Some(ran) = arrivals
            .iter()
            .find(|a| a.disposition != Disposition::Declined && !free)
        {
            let proof = format!(
                "refused at {} though it may have run: {}",
                format_seconds(t.ended_at),
                describe(input, ran)
            );
            violations.push(Violation {
                rule: Rule::Double,
                at: t.ended_at,
                id: Some(t.id),
                proof,
            });
        }
    }
    for hidden in event_log
        .malformed_clients
        .iter()
        .filter_map(|r| r.smuggled_id)
    {
        if let Some(a) = by_id.get(&hidden).and_then(|a| a.first()) {
            let proof = format!(
                "a request hidden in another's body was passed on: {}",
                describe(input, a)
            );
            violations.push(Violation {
                rule: Rule::Double,
                at: a.received_at,
                id: Some(hidden),
                proof,
            });
        }
    }
    violations
}

/// Claims that ran twice at the first tier under different ids: the client asked again later than
/// the backends remember. (Under one id it is the proxy's doing, and a breach.)
fn run_twice(event_log: &EventLog) -> Vec<String> {
    let mut by_key: BTreeMap<u64, Vec<&Arrival>> = BTreeMap::new();
    for a in event_log
        .arrivals
        .iter()
        .filter(|a| a.tier == 0 && a.disposition == Disposition::Executed)
    {
        if let Some(key) = a.key {
            by_key.entry(key).or_default().push(a);
        }
    }
    let tries: HashMap<u64, &Attempt> = event_log
        .attempts
        .iter()
        .filter(|t| t.is_from_client())
        .map(|t| (t.id, t))
        .collect();
    let mut twice = Vec::new();
    for (key, mut runs) in by_key {
        runs.sort_by_key(|a| a.received_at);
        let ids: HashSet<u64> = runs.iter().map(|a| a.id).collect();
        let ([first, .., last], true) = (&runs[..], ids.len() > 1) else {
            continue;
        };
        let sent = tries
            .get(&last.id)
            .map_or(last.first_byte_at, |t| t.scheduled_at);
        twice.push(format!(
            "key {key:016x} ran at {} as {:016x} and at {} as {:016x}: its client sent it again at {}, {} later",
            format_seconds(first.received_at),
            first.id,
            format_seconds(last.received_at),
            last.id,
            format_seconds(sent),
            format_seconds(last.received_at.saturating_sub(first.received_at)),
        ));
    }
    twice
}

fn drain(input: &CheckInput, event_log: &EventLog) -> Vec<Violation> {
    let grace = (input.schedule.scenario.rules.drain_grace_ms * 1000.0) as Micros + SLACK;
    let mut told: HashMap<(ProxyIndex, u16), Vec<&RegistryUpdate>> = HashMap::new();
    event_log
        .registry_updates
        .iter()
        .for_each(|t| told.entry((t.proxy, t.backend)).or_default().push(t));
    told.values_mut()
        .for_each(|list| list.sort_by_key(|t| t.at));
    let mut violations = Vec::new();
    for a in &event_log.arrivals {
        let Some(list) = told.get(&(a.proxy, a.backend)) else {
            continue;
        };
        // An older state that comes behind a newer one changes nothing.
        let (mut newest, mut since) = (0, None);
        for t in list
            .iter()
            .filter(|t| t.at <= a.first_byte_at && t.incarnation == a.incarnation)
        {
            if t.version < newest {
                continue;
            }
            newest = t.version;
            since = match t.health {
                Health::Serving => None,
                _ => since.or(Some((t.at, t.health))),
            };
        }
        if let Some((at, health)) = since.filter(|(at, _)| a.first_byte_at > at + grace) {
            let proof = format!(
                "{} was told at {} that {} is {}, and its first byte came there at {}, {} later",
                input.proxy(a.proxy),
                format_seconds(at),
                input.backend(a.backend),
                health.as_str(),
                format_seconds(a.first_byte_at),
                format_seconds(a.first_byte_at - at)
            );
            violations.push(Violation {
                rule: Rule::Drain,
                at: a.first_byte_at,
                id: Some(a.id),
                proof,
            });
        }
    }
    violations
}

/// A cold backend's load over each span, by all proxies together, as the rule words it.
fn cold(input: &CheckInput, event_log: &EventLog) -> Vec<Violation> {
    let mut violations = Vec::new();
    for life in event_log.incarnations.iter().filter(|l| !l.warm) {
        let Some(spec) = input.host_specs.get(usize::from(life.backend)) else {
            continue;
        };
        let mut sent: Vec<&Arrival> = event_log
            .arrivals
            .iter()
            .filter(|a| (a.backend, a.incarnation) == (life.backend, life.number))
            .collect();
        sent.sort_by_key(|a| a.received_at);
        let (mut pressure, mut ran) = (Pressure::default(), 0);
        for (i, a) in sent.iter().enumerate() {
            let warmth = spec.warmth(a.received_at.saturating_sub(life.started_at), ran);
            ran += u32::from(a.disposition == Disposition::Executed);
            let multiple = pressure.sent(spec, a.received_at, a.work, warmth);
            if warmth >= 1.0 || multiple <= spec.overload_multiple {
                continue;
            }
            let span = sent[..=i]
                .iter()
                .filter(|s| s.received_at + spec.overload_window > a.received_at);
            let (mut all, mut knowing, mut by) = (0, 0, BTreeMap::<&str, u64>::new());
            for s in span {
                let knew = |t: &&RegistryUpdate| {
                    (t.proxy, t.backend, t.incarnation) == (s.proxy, life.backend, life.number)
                        && t.at <= s.first_byte_at
                };
                all += s.work;
                knowing += if event_log.registry_updates.iter().any(|t| knew(&t)) {
                    s.work
                } else {
                    0
                };
                *by.entry(input.proxy(s.proxy)).or_default() += s.work;
            }
            if (knowing as f64) < TOLD_PART * all as f64 {
                break;
            }
            let by: Vec<String> = by
                .iter()
                .map(|(p, w)| format!("{p} {} ms", w / 1000))
                .collect();
            let proof = format!(
                "{} started at {}; by {} it was sent {multiple:.2} times what it can do at that moment over {} \
                 (at most {}): {}",
                input.backend(life.backend),
                format_seconds(life.started_at),
                format_seconds(a.received_at),
                format_seconds(spec.overload_window),
                spec.overload_multiple,
                by.join(", ")
            );
            violations.push(Violation {
                rule: Rule::Cold,
                at: a.received_at,
                id: Some(a.id),
                proof,
            });
            break;
        }
    }
    violations
}
