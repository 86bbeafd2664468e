//! A rehearsal's outcome: verdict, agreement and expectations, and whether the machine kept up so
//! that they mean anything.

use crate::audit_check;
use crate::checker::{self, CheckInput, Rule, Verdict};
use crate::clock::{Micros, format_seconds};
use crate::emulator::fencing_server;
use crate::metrics_check::{self, Line};
use crate::runner::RunRecord;
use hdrhistogram::Histogram;
use serde::Serialize;
use std::fmt::Write;

/// The driver or the stand-ins later than this, in the 99th percentile, void a rehearsal.
pub const LATE: Micros = 30_000;
/// Nor may they ever have stood still for so long: a client's whole grace would be gone.
pub const STALLED: Micros = 250_000;

/// The exit codes of `heathroad-harness`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Code {
    /// All kept.
    Kept = 0,
    /// A rule broken, an expectation missed, a daemon that crashed, or counts that differ.
    Broken = 1,
    /// Bad input.
    BadInput = 2,
    /// The machine ran late: no verdict.
    Void = 3,
}

/// What an expectation came to.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Expectation {
    /// The figure, and the side of its bound.
    pub name: String,
    /// Whether it is met.
    pub ok: bool,
    /// The figure.
    pub figure: f64,
    /// Its bound.
    pub bound: f64,
}

/// A rehearsal judged.
pub struct Summary {
    /// What was seen.
    pub record: RunRecord,
    /// What the judge says.
    pub verdict: Verdict,
    /// What the daemon's counts say beside it.
    pub lines: Vec<Line>,
    /// What was expected.
    pub expectations: Vec<Expectation>,
    /// Why it means nothing, if so.
    pub void: Vec<String>,
}

#[derive(Serialize)]
struct Rules {
    lost: usize,
    double: usize,
    drain: usize,
    cold: usize,
}

#[derive(Serialize)]
struct Latency {
    p50: Micros,
    p99: Micros,
}

#[derive(Serialize)]
struct Json<'a> {
    scenario: &'a str,
    seed: u64,
    digest: &'a str,
    void: bool,
    asked: f64,
    earned: f64,
    rules: Rules,
    agrees: bool,
    expectations: &'a [Expectation],
    latency_us: Latency,
    cpu_us_per_request: f64,
    peak_rss_mb: f64,
}

impl Summary {
    /// Judges what was seen.
    pub fn of(seen: RunRecord) -> Summary {
        let input = CheckInput {
            schedule: &seen.schedule,
            proxies: &seen.proxies,
            backends: &seen.backends,
            cells: &seen.cells,
            host_specs: &seen.host_specs,
        };
        let verdict = checker::check(&input, &seen.event_log);
        let lines = metrics_check::compare(&seen);
        let expectations = expectations(&seen, &verdict);
        let void = void(&seen);
        Summary {
            record: seen,
            verdict,
            lines,
            expectations,
            void,
        }
    }

    /// Whether the daemon's counts agree with the ledgers.
    pub fn agrees(&self) -> bool {
        self.lines.iter().all(Line::agrees)
    }

    /// What the program ends with.
    pub fn code(&self) -> Code {
        let sound = self.verdict.violations.is_empty()
            && self.agrees()
            && self.expectations.iter().all(|e| e.ok)
            && self.record.errors.is_empty();
        match (self.void.is_empty(), sound) {
            (false, _) => Code::Void,
            (true, true) => Code::Kept,
            (true, false) => Code::Broken,
        }
    }

    /// CPU time that the daemons took for each request that they answered, in microseconds.
    pub fn cpu_per_request(&self) -> f64 {
        let (mut cpu, mut answered) = (0, 0);
        for c in &self.record.proxy_counts {
            // A process that was killed took its count with it; its time would be nobody's.
            let Some(rows) = c
                .counts
                .as_ref()
                .and_then(|v| v.get("requests")?.as_array())
            else {
                continue;
            };
            cpu += c.usage.cpu_us;
            answered += rows
                .iter()
                .filter_map(|r| r.get("count")?.as_u64())
                .sum::<u64>();
        }
        cpu as f64 / (answered.max(1)) as f64
    }

    /// Most memory that any daemon held, in MB.
    pub fn peak_rss_mb(&self) -> f64 {
        self.record
            .proxy_counts
            .iter()
            .map(|c| c.usage.peak_kb)
            .max()
            .unwrap_or(0) as f64
            / 1024.0
    }

    /// The outcome as one JSON object, under the scenario's name.
    pub fn json(&self, scenario: &str) -> String {
        let of = |rule| self.verdict.violation_count(rule);
        let [p50, p99] = [0.5, 0.99].map(|p| self.verdict.latency(p));
        let json = Json {
            scenario,
            seed: self.record.schedule.seed,
            digest: &self.record.schedule.digest,
            void: !self.void.is_empty(),
            asked: self.verdict.worth.asked,
            earned: self.verdict.worth.earned,
            rules: Rules {
                lost: of(Rule::Lost),
                double: of(Rule::Double),
                drain: of(Rule::Drain),
                cold: of(Rule::Cold),
            },
            agrees: self.agrees(),
            expectations: &self.expectations,
            latency_us: Latency { p50, p99 },
            cpu_us_per_request: self.cpu_per_request(),
            peak_rss_mb: self.peak_rss_mb(),
        };
        // Its keys are text and its figures finite.
        serde_json::to_string(&json).unwrap_or_default()
    }

    /// The outcome as a table for people.
    pub fn table(&self) -> String {
        let mut out = String::new();
        // Writing to text does not fail.
        let _ = self.write_table(&mut out);
        out
    }

    fn write_table(&self, out: &mut String) -> std::fmt::Result {
        let (v, w) = (&self.verdict, &self.verdict.worth);
        writeln!(out, "{}", self.record.schedule.title())?;
        writeln!(
            out,
            "  worth      {:.3}   asked {:.1}, earned {:.1}, of it {:.1} late",
            w.goal, w.asked, w.earned, w.late
        )?;
        writeln!(
            out,
            "             whole {:.3}, worst 10 s {:.3}, worst class {:.3}, worst tenant {:.3}",
            w.whole, w.worst_window, w.worst_class, w.worst_tenant
        )?;
        let [served, refused, failed, none] = v.attempts_by_outcome;
        writeln!(
            out,
            "  tries      served {served}, refused {refused}, failed {failed}, without an answer {none}"
        )?;
        writeln!(
            out,
            "  latency    median {}, 99th percentile {}",
            format_seconds(v.latency(0.5)),
            format_seconds(v.latency(0.99))
        )?;
        writeln!(
            out,
            "  daemons    {:.0} us of CPU a request, {:.1} MB at most; {} resends seen",
            self.cpu_per_request(),
            self.peak_rss_mb(),
            v.resends
        )?;
        writeln!(
            out,
            "  effort     {:.4} of the work was begun for nobody",
            v.work_for_nobody
        )?;
        if v.malformed_clients[0] > 0 {
            writeln!(
                out,
                "  misuse     {} bad clients, left with nothing {}",
                v.malformed_clients[0], v.malformed_clients[1]
            )?;
        }
        let rules: Vec<String> = Rule::ALL
            .iter()
            .map(|r| format!("{} {}", r.name(), v.violation_count(*r)))
            .collect();
        writeln!(out, "  breaches   {}", rules.join(", "))?;
        for b in &v.violations {
            let id = b.id.map(|id| format!("{id:016x} ")).unwrap_or_default();
            writeln!(out, "    {} {id}{}", b.rule.name(), b.proof)?;
        }
        for twice in &v.duplicated_by_clients {
            writeln!(out, "  run twice by its client: {twice}")?;
        }
        let apart = self
            .lines
            .iter()
            .filter(|l| !l.agrees())
            .collect::<Vec<_>>();
        writeln!(
            out,
            "  agreement  {} figures beside the daemons' own, {} differ",
            self.lines.len(),
            apart.len()
        )?;
        for l in apart {
            let [least, most] = l.seen;
            writeln!(
                out,
                "    {}: seen {least} to {most}, counted {}",
                l.what, l.counted
            )?;
        }
        for (no, became) in &self.record.route_changes {
            writeln!(
                out,
                "  change     {}: {became}",
                self.record.proxies[usize::from(*no)]
            )?;
        }
        for e in &self.expectations {
            let word = if e.ok { "met" } else { "MISSED" };
            writeln!(
                out,
                "  expected   {} {}: {:.3}, {word}",
                e.name, e.bound, e.figure
            )?;
        }
        for trouble in &self.record.errors {
            writeln!(out, "  trouble    {trouble}")?;
        }
        for why in &self.void {
            writeln!(out, "  VOID       {why}")?;
        }
        let verdict = match self.code() {
            Code::Kept => "all kept",
            Code::Broken => "BROKEN",
            Code::Void => "void: no verdict",
            Code::BadInput => "bad input",
        };
        writeln!(out, "  verdict    {verdict}")
    }
}

fn expectations(seen: &RunRecord, verdict: &Verdict) -> Vec<Expectation> {
    let mut list = Vec::new();
    for e in &seen.schedule.scenario.expect {
        let changes = |word: &str| {
            seen.route_changes
                .iter()
                .filter(|(_, became)| became.contains(word))
                .count() as f64
        };
        let figure = match e.figure.as_str() {
            "changes_committed" => Some(changes("is committed")),
            "changes_undone" => Some(changes("is undone by")),
            "changes_given_up" => Some(changes("given up")),
            "attempts_multiple" => Some(multiple(seen)),
            "loops_ended" => Some(counted(seen, |v| v["budget"]["loops"].as_f64())),
            other if other.starts_with("fleet_") => audit_check::figure(seen, other),
            other if other.starts_with("duty_") => seen
                .lease_calls
                .as_ref()
                .and_then(|d| fencing_server::figure(d, other)),
            other => verdict.figure(other),
        };
        let Some(figure) = figure else { continue };
        let mut hold = |side: &str, bound: Option<f64>, ok: &dyn Fn(f64) -> bool| {
            if let Some(bound) = bound {
                list.push(Expectation {
                    name: format!("{} {side}", e.figure),
                    ok: ok(bound),
                    figure,
                    bound,
                });
            }
        };
        hold("at least", e.at_least, &|b| figure >= b);
        hold("at most", e.at_most, &|b| figure <= b);
    }
    list
}

/// A figure of the daemons' own counts, summed.
fn counted(seen: &RunRecord, of: impl Fn(&serde_json::Value) -> Option<f64>) -> f64 {
    seen.proxy_counts
        .iter()
        .filter_map(|c| of(c.counts.as_ref()?))
        .sum()
}

/// Attempts over all tiers, as the daemons counted them, beside one for each tier and request that
/// came to the first.
fn multiple(seen: &RunRecord) -> f64 {
    let attempts = |v: &serde_json::Value| {
        let by = v["attempts"].as_object()?;
        Some(
            by.iter()
                .filter(|(how, _)| *how != "unsent")
                .filter_map(|(_, n)| n.as_f64())
                .sum::<f64>(),
        )
    };
    let first =
        |c: &&crate::runner::ProxyCounts| seen.proxy_tiers.get(usize::from(c.proxy)) == Some(&0);
    let rows = |v: &serde_json::Value| {
        Some(
            v["requests"]
                .as_array()?
                .iter()
                .filter_map(|r| r["count"].as_f64())
                .sum::<f64>(),
        )
    };
    let asked: f64 = seen
        .proxy_counts
        .iter()
        .filter(first)
        .filter_map(|c| rows(c.counts.as_ref()?))
        .sum();
    counted(seen, attempts) / (asked * seen.schedule.scenario.tier.len() as f64).max(1.0)
}

/// Why a rehearsal means nothing: who was to measure did not keep up.
fn void(seen: &RunRecord) -> Vec<String> {
    let mut why = Vec::new();
    why.extend(late("the driver", &seen.generator_lateness));
    why.extend(late("the stand-ins", &seen.runner_lateness));
    if seen.dropped > 0 {
        why.push(format!(
            "{} first tries could not be begun by the driver",
            seen.dropped
        ));
    }
    if seen.descriptor_failures > 0 {
        why.push(format!(
            "descriptors ran out at the driver or the stand-ins, {} times",
            seen.descriptor_failures
        ));
    }
    if seen.interrupted {
        why.push("it was ended early".into());
    }
    why
}

fn late(who: &str, late: &Histogram<u64>) -> Option<String> {
    let (p99, most) = (late.value_at_quantile(0.99), late.max());
    (p99 > LATE || most > STALLED).then(|| {
        format!(
            "{who} ran late: {} in the 99th percentile, {} at most",
            format_seconds(p99),
            format_seconds(most)
        )
    })
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn who_measures_must_not_be_late() {
        let of = |values: &[u64]| {
            let mut histogram = Histogram::<u64>::new_with_max(600_000_000, 3).expect("bounds");
            values.iter().for_each(|v| histogram.saturating_record(*v));
            late("the driver", &histogram)
        };
        assert_eq!(of(&[100; 200]), None);
        assert_eq!(of(&[]), None);
        let often = of(&[[100; 100], [LATE + 1000; 100]].concat()).expect("late");
        assert!(often.contains("the driver ran late"), "{often}");
        assert_eq!(
            of(&[vec![100; 300], vec![LATE + 1000]].concat()),
            None,
            "once is chance"
        );
        assert!(
            of(&[vec![100; 300], vec![STALLED + 1000]].concat()).is_some(),
            "not when all stood still"
        );
    }
}
