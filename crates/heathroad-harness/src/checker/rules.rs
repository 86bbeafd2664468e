//! The four rules: no request is lost, no effect happens twice, drains are honored and no cold
//! backend is overloaded. Each violation quotes the events that prove it.

use super::{CheckInput, client};
use crate::clock::{Micros, format_seconds};
use crate::emulator::host::OfferedLoad;
use crate::event_log::{
    Arrival, Attempt, AttemptEnd, Disposition, EventLog, Health, MalformedClient, ProcessEvent,
    ProcessEventKind, ProxyIndex, RegistryUpdate,
};
use crate::load_generator::MALFORMED_REQUEST_TIMEOUT;
use crate::scenario::{Effect, Group};
use std::collections::{BTreeMap, HashMap, HashSet};

/// Tolerance for socket and scheduling delays, added to each limit.
pub(super) const SLACK: Micros = 50_000;
/// Share of a cold backend's load that must come from proxies notified of its start.
const MIN_NOTIFIED_SHARE: f64 = 2.0 / 3.0;

/// A rule that the checker enforces.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Rule {
    /// Each accepted request gets one response in time, made by a backend for that request.
    Lost,
    /// No effect happens twice, and a refused request has not run.
    Double,
    /// A draining backend gets no new requests.
    Drain,
    /// No cold backend is overloaded.
    Cold,
}

impl Rule {
    /// All rules, in report order.
    pub const ALL: [Rule; 4] = [Rule::Lost, Rule::Double, Rule::Drain, Rule::Cold];

    /// Returns the name used in reports.
    pub fn name(self) -> &'static str {
        match self {
            Rule::Lost => "lost",
            Rule::Double => "double",
            Rule::Drain => "drain",
            Rule::Cold => "cold",
        }
    }
}

/// A violation of a rule.
#[derive(Debug, Clone, PartialEq)]
pub struct Violation {
    /// The rule.
    pub rule: Rule,
    /// Time of the violation.
    pub at: Micros,
    /// Id of the request, if it concerns one.
    pub id: Option<u64>,
    /// Events that prove it, with their times.
    pub proof: String,
}

/// Reports whether a malformed request got neither a response nor a close in time.
pub fn was_unanswered(r: &MalformedClient) -> bool {
    r.ended_at
        .is_none_or(|ended| ended > r.at + MALFORMED_REQUEST_TIMEOUT + SLACK)
}

/// Returns the violations, the requests that clients ran twice, and the number of repeated arrivals.
pub fn check_rules(input: &CheckInput, log: &EventLog) -> (Vec<Violation>, Vec<String>, u64) {
    let mut by_id: HashMap<u64, Vec<&Arrival>> = HashMap::new();
    log.arrivals
        .iter()
        .for_each(|a| by_id.entry(a.id).or_default().push(a));
    by_id
        .values_mut()
        .for_each(|arrivals| arrivals.sort_by_key(|a| a.received_at));
    let mut violations = lost(input, log, &by_id);
    violations.extend(client::violations(input, log, &by_id));
    let resends = by_id.values().map(|a| a.len() as u64 - 1).sum();
    violations.extend(double(input, log, &by_id));
    violations.extend(drain(input, log));
    violations.extend(cold(input, log));
    violations.sort_by_key(|b| (b.at, b.rule));
    (violations, client_duplicates(log), resends)
}

/// Reports whether a proxy's process was killed during a span; its requests do not count as lost.
fn was_killed(events: &[ProcessEvent], proxy: ProxyIndex, from: Micros, to: Micros) -> bool {
    let mut kills = events
        .iter()
        .filter(|e| e.proxy == proxy && e.kind == ProcessEventKind::Killed);
    kills.any(|e| e.at <= to + SLACK && e.until >= from)
}

/// Reports whether a proxy's process was paused during a span, which excuses late responses.
fn was_stalled(events: &[ProcessEvent], proxy: ProxyIndex, from: Micros, to: Micros) -> bool {
    let mut stalls = events
        .iter()
        .filter(|e| e.proxy == proxy && e.kind == ProcessEventKind::Stalled);
    stalls.any(|e| e.at <= to + SLACK && e.until >= from)
}

fn lost(input: &CheckInput, log: &EventLog, by_id: &HashMap<u64, Vec<&Arrival>>) -> Vec<Violation> {
    let grace = (input.schedule.scenario.rules.answer_grace_ms * 1000.0) as Micros + SLACK;
    let mut violations = Vec::new();
    for t in &log.attempts {
        let Some(sent) = t.sent_at else { continue };
        let arrivals = by_id.get(&t.id).map(Vec::as_slice).unwrap_or_default();
        let proxy = input.proxy(t.proxy);
        let took = t.ended_at.saturating_sub(sent + t.read_delay);
        let stalled = was_stalled(&log.process_events, t.proxy, sent, t.ended_at);
        let killed = was_killed(&log.process_events, t.proxy, sent, t.ended_at);
        let late = took > t.time_limit + grace && !stalled;
        let context = || {
            format!(
                "sent to {proxy} at {}, owed an answer within {}",
                format_seconds(sent),
                format_seconds(t.time_limit)
            )
        };
        let problem = match &t.end {
            AttemptEnd::Served(mark) => {
                // The response must be made for this request, by an arrival before it ended.
                let matches = |a: &&&Arrival| {
                    a.marker == *mark && a.tier == t.tier && a.received_at <= t.ended_at
                };
                match arrivals.iter().find(matches) {
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
            // A visibly truncated response is a failure, not a lost request.
            AttemptEnd::Truncated(true) => None,
            AttemptEnd::Truncated(false) if killed => None,
            AttemptEnd::Truncated(false) => Some(format!(
                "the connection was closed without an answer at {}",
                format_seconds(t.ended_at)
            )),
            AttemptEnd::Malformed => Some(format!(
                "an answer that can't be read came at {}",
                format_seconds(t.ended_at)
            )),
            AttemptEnd::NoResponse if stalled || killed => None,
            AttemptEnd::NoResponse => Some(format!(
                "no answer had come by {}",
                format_seconds(t.ended_at)
            )),
        };
        let second = t
            .unexpected_data
            .then(|| "a second answer came behind the first on its connection".to_string());
        // An idle close may race with an unread request; a forwarded request had been read.
        let dropped = t
            .resent_at
            .and_then(|at| arrivals.iter().find(|a| a.received_at <= at));
        let dropped = dropped
            .filter(|a| !was_killed(&log.process_events, t.proxy, a.received_at, t.ended_at))
            .map(|a| {
                format!(
                    "its connection was closed without an answer after it had been passed on: {}",
                    describe(input, a)
                )
            });
        for problem in problem.into_iter().chain(second).chain(dropped) {
            let proof = format!("{}; {problem}", context());
            violations.push(Violation {
                rule: Rule::Lost,
                at: t.ended_at,
                id: Some(t.id),
                proof,
            });
        }
    }
    let malformed = log.malformed_clients.iter();
    for client in malformed.filter(|c| c.status == Some(200)) {
        let proof = format!(
            "a client that sent {} at {} was served",
            client.kind,
            format_seconds(client.at)
        );
        violations.push(Violation {
            rule: Rule::Lost,
            at: client.at,
            id: client.smuggled_id,
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
    log: &EventLog,
    by_id: &HashMap<u64, Vec<&Arrival>>,
) -> Vec<Violation> {
    let mut violations = Vec::new();
    let classes = &input.schedule.scenario.class;
    // Resends by the sender after a connection close are not the proxy's.
    let attempts = log.attempts.iter();
    let resent = attempts.filter_map(|t| Some((t.id, t.resent_at?)));
    let resent: HashMap<u64, Micros> = resent.collect();
    for (&id, arrivals) in by_id {
        // A declined request did not run and may be sent again.
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
        let resent_at = resent.get(&id).filter(|at| first.received_at <= **at);
        for a in may_have_run.filter(|a| resent_at.is_none_or(|at| a.received_at <= *at)) {
            let problem = match class.effect {
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
            if let Some(problem) = problem {
                let proof = format!(
                    "{problem}: {}; then {}",
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
    // A refused request must be safe to retry.
    let attempts = log.attempts.iter();
    for t in attempts.filter(|t| matches!(t.end, AttemptEnd::Refused { .. })) {
        let class = &classes[usize::from(t.class)];
        let safe_to_retry = class.effect == Effect::Safe
            || class.effect == Effect::Keyed && class.group == Group::All;
        let arrivals = by_id.get(&t.id).map(Vec::as_slice).unwrap_or_default();
        if let Some(ran) = arrivals
            .iter()
            .find(|a| a.disposition != Disposition::Declined && !safe_to_retry)
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
    for smuggled in log.malformed_clients.iter().filter_map(|r| r.smuggled_id) {
        if let Some(a) = by_id.get(&smuggled).and_then(|a| a.first()) {
            let proof = format!(
                "a request hidden in another's body was passed on: {}",
                describe(input, a)
            );
            violations.push(Violation {
                rule: Rule::Double,
                at: a.received_at,
                id: Some(smuggled),
                proof,
            });
        }
    }
    violations
}

/// Returns requests that ran twice at the first tier under different ids, because the client retried
/// after the deduplication window. Under one id it is a violation by the proxy.
fn client_duplicates(log: &EventLog) -> Vec<String> {
    let mut by_key: BTreeMap<u64, Vec<&Arrival>> = BTreeMap::new();
    let first_tier = log.arrivals.iter().filter(|a| a.tier == 0);
    for a in first_tier.filter(|a| a.disposition == Disposition::Executed) {
        if let Some(key) = a.key {
            by_key.entry(key).or_default().push(a);
        }
    }
    let from_clients = log.attempts.iter().filter(|t| t.is_from_client());
    let attempts: HashMap<u64, &Attempt> = from_clients.map(|t| (t.id, t)).collect();
    let mut duplicates = Vec::new();
    for (key, mut runs) in by_key {
        runs.sort_by_key(|a| a.received_at);
        let ids: HashSet<u64> = runs.iter().map(|a| a.id).collect();
        let ([first, .., last], true) = (&runs[..], ids.len() > 1) else {
            continue;
        };
        let sent = attempts
            .get(&last.id)
            .map_or(last.first_byte_at, |t| t.scheduled_at);
        duplicates.push(format!(
            "key {key:016x} ran at {} as {:016x} and at {} as {:016x}: its client sent it again at {}, {} later",
            format_seconds(first.received_at),
            first.id,
            format_seconds(last.received_at),
            last.id,
            format_seconds(sent),
            format_seconds(last.received_at.saturating_sub(first.received_at)),
        ));
    }
    duplicates
}

fn drain(input: &CheckInput, log: &EventLog) -> Vec<Violation> {
    let grace = (input.schedule.scenario.rules.drain_grace_ms * 1000.0) as Micros + SLACK;
    let mut updates: HashMap<(ProxyIndex, u16), Vec<&RegistryUpdate>> = HashMap::new();
    for t in &log.registry_updates {
        updates.entry((t.proxy, t.backend)).or_default().push(t);
    }
    updates.values_mut().for_each(|l| l.sort_by_key(|t| t.at));
    let mut violations = Vec::new();
    for a in &log.arrivals {
        let Some(list) = updates.get(&(a.proxy, a.backend)) else {
            continue;
        };
        // Ignore an older version that arrives after a newer one.
        let (mut newest, mut since) = (0, None);
        let earlier = list.iter().filter(|t| t.at <= a.first_byte_at);
        for t in earlier.filter(|t| t.incarnation == a.incarnation) {
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

/// Checks the load of each cold backend, summed over all proxies, within the overload window.
fn cold(input: &CheckInput, log: &EventLog) -> Vec<Violation> {
    let mut violations = Vec::new();
    for cold in log.incarnations.iter().filter(|i| !i.warm) {
        let Some(spec) = input.host_specs.get(usize::from(cold.backend)) else {
            continue;
        };
        let to_cold = |a: &&Arrival| (a.backend, a.incarnation) == (cold.backend, cold.number);
        let mut sent: Vec<&Arrival> = log.arrivals.iter().filter(to_cold).collect();
        sent.sort_by_key(|a| a.received_at);
        let (mut offered_load, mut ran) = (OfferedLoad::default(), 0);
        for (i, a) in sent.iter().enumerate() {
            let warmth = spec.warmth(a.received_at.saturating_sub(cold.started_at), ran);
            ran += u32::from(a.disposition == Disposition::Executed);
            let multiple = offered_load.record(spec, a.received_at, a.work, warmth);
            if warmth >= 1.0 || multiple <= spec.overload_multiple {
                continue;
            }
            let span = sent[..=i]
                .iter()
                .filter(|s| s.received_at + spec.overload_window > a.received_at);
            let (mut total, mut notified, mut by) = (0, 0, BTreeMap::<&str, u64>::new());
            for s in span {
                let notifies = |t: &&RegistryUpdate| {
                    (t.proxy, t.backend, t.incarnation) == (s.proxy, cold.backend, cold.number)
                        && t.at <= s.first_byte_at
                };
                total += s.work;
                if log.registry_updates.iter().any(|t| notifies(&t)) {
                    notified += s.work;
                }
                *by.entry(input.proxy(s.proxy)).or_default() += s.work;
            }
            if (notified as f64) < MIN_NOTIFIED_SHARE * total as f64 {
                break;
            }
            let by: Vec<String> = by
                .iter()
                .map(|(p, w)| format!("{p} {} ms", w / 1000))
                .collect();
            let proof = format!(
                "{} started at {}; by {} it was sent {multiple:.2} times what it can do at that moment over {} \
                 (at most {}): {}",
                input.backend(cold.backend),
                format_seconds(cold.started_at),
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
