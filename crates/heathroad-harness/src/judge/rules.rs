//! The four rules: no request lost, no double effect, drains kept, no cold backend pushed over.
//! Each breach is told with the events that prove it.

use super::{Terms, client};
use crate::clock::{Micros, show};
use crate::ledger::{Act, Arrival, Did, End, Fate, Health, Ledgers, ProxyNo, Rude, Told, Try};
use crate::load::RUDE_OWED;
use crate::scenario::{Effect, Group};
use crate::stand_in::machine::Pressure;
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
pub struct Breach {
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
pub fn left_with_nothing(r: &Rude) -> bool {
    r.ended.is_none_or(|ended| ended > r.at + RUDE_OWED + SLACK)
}

/// Every breach, the claims that clients ran twice, and how many requests backends saw again under
/// their id.
pub fn all(terms: &Terms, ledgers: &Ledgers) -> (Vec<Breach>, Vec<String>, u64) {
    let mut by_id: HashMap<u64, Vec<&Arrival>> = HashMap::new();
    ledgers
        .arrivals
        .iter()
        .for_each(|a| by_id.entry(a.id).or_default().push(a));
    by_id
        .values_mut()
        .for_each(|arrivals| arrivals.sort_by_key(|a| a.whole));
    let mut breaches = lost(terms, ledgers, &by_id);
    breaches.extend(client::breaches(terms, ledgers, &by_id));
    let resends = by_id.values().map(|a| a.len() as u64 - 1).sum();
    breaches.extend(double(terms, ledgers, &by_id));
    breaches.extend(drain(terms, ledgers));
    breaches.extend(cold(terms, ledgers));
    breaches.sort_by_key(|b| (b.at, b.rule));
    (breaches, run_twice(ledgers), resends)
}

/// Whether a proxy's process was killed, or had crashed, at some time in a span. What it held is
/// its clients'.
fn died(acts: &[Act], proxy: ProxyNo, from: Micros, to: Micros) -> bool {
    let killed = acts
        .iter()
        .filter(|a| a.proxy == proxy && a.what == Did::Killed);
    killed
        .into_iter()
        .any(|a| a.at <= to + SLACK && a.until >= from)
}

/// Whether a proxy's process was held still at some time in a span: nothing is owed by one that is
/// given no time.
fn stalled(acts: &[Act], proxy: ProxyNo, from: Micros, to: Micros) -> bool {
    let held = acts
        .iter()
        .filter(|a| a.proxy == proxy && a.what == Did::Stalled);
    held.into_iter()
        .any(|a| a.at <= to + SLACK && a.until >= from)
}

fn lost(terms: &Terms, ledgers: &Ledgers, by_id: &HashMap<u64, Vec<&Arrival>>) -> Vec<Breach> {
    let grace = (terms.plan.scenario.rules.answer_grace_ms * 1000.0) as Micros + SLACK;
    let mut breaches = Vec::new();
    for t in &ledgers.tries {
        let Some(sent) = t.sent else { continue };
        let arrivals = by_id.get(&t.id).map(Vec::as_slice).unwrap_or_default();
        let who = terms.proxy(t.proxy);
        let took = t.ended.saturating_sub(sent + t.slow);
        let still = stalled(&ledgers.acts, t.proxy, sent, t.ended);
        let late = took > t.patience + grace && !still;
        let owed = || {
            format!(
                "sent to {who} at {}, owed an answer within {}",
                show(sent),
                show(t.patience)
            )
        };
        let wrong = match &t.end {
            End::Served(mark) => {
                // Made for this request, and made before it was passed on.
                let made =
                    |a: &&&Arrival| a.mark == *mark && a.tier == t.tier && a.whole <= t.ended;
                match arrivals.iter().find(made) {
                    None => Some(format!(
                        "served with mark {mark:x}, which no backend made for it"
                    )),
                    Some(_) if late => Some(format!("served after {}", show(took))),
                    Some(_) => None,
                }
            }
            End::Alien(text) => Some(format!(
                "served with {text:?}, which no backend made for it"
            )),
            End::Refused { .. } | End::Failed(_) if late => {
                Some(format!("answered after {}", show(took)))
            }
            End::Refused { .. } | End::Failed(_) | End::HungUp | End::Unsent => None,
            // An answer that breaks off where the client can tell has failed and is not lost.
            End::Broken(true) => None,
            End::Broken(false) if died(&ledgers.acts, t.proxy, sent, t.ended) => None,
            End::Broken(false) => Some(format!(
                "the connection was closed without an answer at {}",
                show(t.ended)
            )),
            End::Garbled => Some(format!(
                "an answer that can't be read came at {}",
                show(t.ended)
            )),
            End::Silence if still => None,
            End::Silence if died(&ledgers.acts, t.proxy, sent, t.ended) => None,
            End::Silence => Some(format!("no answer had come by {}", show(t.ended))),
        };
        let twice = t
            .extra
            .then(|| "a second answer came behind the first on its connection".to_string());
        // A close between requests may cross one that was not read; what was passed on had been
        // read.
        let taken = t
            .crossed
            .and_then(|at| arrivals.iter().find(|a| a.whole <= at));
        let taken = taken
            .filter(|a| !died(&ledgers.acts, t.proxy, a.whole, t.ended))
            .map(|a| {
                format!(
                    "its connection was closed without an answer after it had been passed on: {}",
                    describe(terms, a)
                )
            });
        for wrong in wrong.into_iter().chain(twice).chain(taken) {
            let proof = format!("{}; {wrong}", owed());
            breaches.push(Breach {
                rule: Rule::Lost,
                at: t.ended,
                id: Some(t.id),
                proof,
            });
        }
    }
    for r in ledgers.rude.iter().filter(|r| r.status == Some(200)) {
        let proof = format!("a client that sent {} at {} was served", r.kind, show(r.at));
        breaches.push(Breach {
            rule: Rule::Lost,
            at: r.at,
            id: r.hidden,
            proof,
        });
    }
    breaches
}

pub(super) fn describe(terms: &Terms, a: &Arrival) -> String {
    let what = match a.fate {
        Fate::Ran => "ran",
        Fate::Repeat => "dropped as a repeat",
        Fate::Declined => "declined",
    };
    format!(
        "at {} from {} to {}: {what}",
        show(a.whole),
        terms.proxy(a.proxy),
        terms.host(a.host)
    )
}

fn double(terms: &Terms, ledgers: &Ledgers, by_id: &HashMap<u64, Vec<&Arrival>>) -> Vec<Breach> {
    let mut breaches = Vec::new();
    let classes = &terms.plan.scenario.class;
    // What its sender sent once more, since its connection was closed, is not the proxy's second
    // try.
    let crossed: HashMap<u64, Micros> = ledgers
        .tries
        .iter()
        .filter_map(|t| Some((t.id, t.crossed?)))
        .collect();
    for (&id, arrivals) in by_id {
        // What was declined never ran, and is sent again freely.
        let mut may_have_run = arrivals.iter().filter(|a| a.fate != Fate::Declined);
        let Some(first) = may_have_run.next() else {
            continue;
        };
        let Some(class) = classes.get(usize::from(first.class)) else {
            continue;
        };
        let window = (class.window_ms * 1000.0) as Micros + SLACK;
        let cell = |a: &Arrival| terms.cells.get(usize::from(a.host));
        let again = crossed.get(&id).filter(|at| first.whole <= **at);
        for a in may_have_run.filter(|a| again.is_none_or(|at| a.whole <= *at)) {
            let wrong = match class.effect {
                Effect::Safe => None,
                Effect::Unsafe => Some("an unsafe request was sent again though it may have run"),
                Effect::Keyed if a.whole > first.whole + window => {
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
                    describe(terms, first),
                    describe(terms, a)
                );
                breaches.push(Breach {
                    rule: Rule::Double,
                    at: a.whole,
                    id: Some(id),
                    proof,
                });
            }
        }
    }
    // A refusal promises that trying again is harmless.
    for t in ledgers
        .tries
        .iter()
        .filter(|t| matches!(t.end, End::Refused { .. }))
    {
        let class = &classes[usize::from(t.class)];
        let free = class.effect == Effect::Safe
            || class.effect == Effect::Keyed && class.group == Group::All;
        let arrivals = by_id.get(&t.id).map(Vec::as_slice).unwrap_or_default();
        if let Some(ran) = arrivals.iter().find(|a| a.fate != Fate::Declined && !free) {
            let proof = format!(
                "refused at {} though it may have run: {}",
                show(t.ended),
                describe(terms, ran)
            );
            breaches.push(Breach {
                rule: Rule::Double,
                at: t.ended,
                id: Some(t.id),
                proof,
            });
        }
    }
    for hidden in ledgers.rude.iter().filter_map(|r| r.hidden) {
        if let Some(a) = by_id.get(&hidden).and_then(|a| a.first()) {
            let proof = format!(
                "a request hidden in another's body was passed on: {}",
                describe(terms, a)
            );
            breaches.push(Breach {
                rule: Rule::Double,
                at: a.whole,
                id: Some(hidden),
                proof,
            });
        }
    }
    breaches
}

/// Claims that ran twice at the first tier under different ids: the client asked again later than
/// the backends remember. (Under one id it is the proxy's doing, and a breach.)
fn run_twice(ledgers: &Ledgers) -> Vec<String> {
    let mut by_key: BTreeMap<u64, Vec<&Arrival>> = BTreeMap::new();
    for a in ledgers
        .arrivals
        .iter()
        .filter(|a| a.tier == 0 && a.fate == Fate::Ran)
    {
        if let Some(key) = a.key {
            by_key.entry(key).or_default().push(a);
        }
    }
    let tries: HashMap<u64, &Try> = ledgers
        .tries
        .iter()
        .filter(|t| t.of_client())
        .map(|t| (t.id, t))
        .collect();
    let mut twice = Vec::new();
    for (key, mut runs) in by_key {
        runs.sort_by_key(|a| a.whole);
        let ids: HashSet<u64> = runs.iter().map(|a| a.id).collect();
        let ([first, .., last], true) = (&runs[..], ids.len() > 1) else {
            continue;
        };
        let sent = tries.get(&last.id).map_or(last.first_byte, |t| t.due);
        twice.push(format!(
            "key {key:016x} ran at {} as {:016x} and at {} as {:016x}: its client sent it again at {}, {} later",
            show(first.whole),
            first.id,
            show(last.whole),
            last.id,
            show(sent),
            show(last.whole.saturating_sub(first.whole)),
        ));
    }
    twice
}

fn drain(terms: &Terms, ledgers: &Ledgers) -> Vec<Breach> {
    let grace = (terms.plan.scenario.rules.drain_grace_ms * 1000.0) as Micros + SLACK;
    let mut told: HashMap<(ProxyNo, u16), Vec<&Told>> = HashMap::new();
    ledgers
        .told
        .iter()
        .for_each(|t| told.entry((t.proxy, t.host)).or_default().push(t));
    told.values_mut()
        .for_each(|list| list.sort_by_key(|t| t.at));
    let mut breaches = Vec::new();
    for a in &ledgers.arrivals {
        let Some(list) = told.get(&(a.proxy, a.host)) else {
            continue;
        };
        // An older state that comes behind a newer one changes nothing.
        let (mut newest, mut since) = (0, None);
        for t in list
            .iter()
            .filter(|t| t.at <= a.first_byte && t.life == a.life)
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
        if let Some((at, health)) = since.filter(|(at, _)| a.first_byte > at + grace) {
            let proof = format!(
                "{} was told at {} that {} is {}, and its first byte came there at {}, {} later",
                terms.proxy(a.proxy),
                show(at),
                terms.host(a.host),
                health.word(),
                show(a.first_byte),
                show(a.first_byte - at)
            );
            breaches.push(Breach {
                rule: Rule::Drain,
                at: a.first_byte,
                id: Some(a.id),
                proof,
            });
        }
    }
    breaches
}

/// A cold backend's load over each span, by all proxies together, as the rule words it.
fn cold(terms: &Terms, ledgers: &Ledgers) -> Vec<Breach> {
    let mut breaches = Vec::new();
    for life in ledgers.lives.iter().filter(|l| !l.warm) {
        let Some(make) = terms.makes.get(usize::from(life.host)) else {
            continue;
        };
        let mut sent: Vec<&Arrival> = ledgers
            .arrivals
            .iter()
            .filter(|a| (a.host, a.life) == (life.host, life.life))
            .collect();
        sent.sort_by_key(|a| a.whole);
        let (mut pressure, mut ran) = (Pressure::default(), 0);
        for (i, a) in sent.iter().enumerate() {
            let warmth = make.warmth(a.whole.saturating_sub(life.started), ran);
            ran += u32::from(a.fate == Fate::Ran);
            let multiple = pressure.sent(make, a.whole, a.work, warmth);
            if warmth >= 1.0 || multiple <= make.fall_multiple {
                continue;
            }
            let span = sent[..=i].iter().filter(|s| s.whole + make.fall > a.whole);
            let (mut all, mut knowing, mut by) = (0, 0, BTreeMap::<&str, u64>::new());
            for s in span {
                let knew = |t: &&Told| {
                    (t.proxy, t.host, t.life) == (s.proxy, life.host, life.life)
                        && t.at <= s.first_byte
                };
                all += s.work;
                knowing += if ledgers.told.iter().any(|t| knew(&t)) {
                    s.work
                } else {
                    0
                };
                *by.entry(terms.proxy(s.proxy)).or_default() += s.work;
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
                terms.host(life.host),
                show(life.started),
                show(a.whole),
                show(make.fall),
                make.fall_multiple,
                by.join(", ")
            );
            breaches.push(Breach {
                rule: Rule::Cold,
                at: a.whole,
                id: Some(a.id),
                proof,
            });
            break;
        }
    }
    breaches
}
