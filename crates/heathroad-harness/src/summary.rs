//! Summary of a run: verdict, comparison with the daemons' metrics, expectations, and whether the
//! machine was fast enough for the results to be valid.

use crate::audit_check;
use crate::checker::{self, CheckInput, Rule, Verdict};
use crate::clock::{Micros, format_seconds};
use crate::emulator::fencing_server;
use crate::metrics_check::{self, Line};
use crate::runner::RunRecord;
use hdrhistogram::Histogram;
use serde::Serialize;
use std::fmt::Write;

/// Highest 99th percentile of lateness of the load generator and emulators in a valid run.
pub const MAX_LATENESS_P99: Micros = 30_000;
/// Highest single lateness in a valid run.
pub const MAX_LATENESS: Micros = 250_000;

/// Exit codes of `heathroad-harness`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Code {
    /// All rules and expectations hold.
    Passed = 0,
    /// A violation, a failed expectation, a crashed daemon or counts that differ.
    Failed = 1,
    /// Invalid input.
    BadInput = 2,
    /// The machine was too slow for a verdict.
    Void = 3,
}

/// Result of an expectation.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Expectation {
    /// Name of the figure and direction of its bound.
    pub name: String,
    /// Whether it holds.
    pub ok: bool,
    /// Value of the figure.
    pub figure: f64,
    /// Its bound.
    pub bound: f64,
}

/// A run with the results of all checks.
pub struct Summary {
    /// Recorded events, counts and errors.
    pub record: RunRecord,
    /// Result of the invariant checker.
    pub verdict: Verdict,
    /// Comparison with the daemons' counts.
    pub lines: Vec<Line>,
    /// Results of the scenario's expectations.
    pub expectations: Vec<Expectation>,
    /// Reasons that make the run invalid.
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
    /// Checks a recorded run.
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
        let void = void_reasons(&seen);
        Summary {
            record: seen,
            verdict,
            lines,
            expectations,
            void,
        }
    }

    /// Reports whether the daemons' counts agree with the event log.
    pub fn agrees(&self) -> bool {
        self.lines.iter().all(Line::agrees)
    }

    /// Returns the exit code.
    pub fn code(&self) -> Code {
        let sound = self.verdict.violations.is_empty()
            && self.agrees()
            && self.expectations.iter().all(|e| e.ok)
            && self.record.errors.is_empty();
        match (self.void.is_empty(), sound) {
            (false, _) => Code::Void,
            (true, true) => Code::Passed,
            (true, false) => Code::Failed,
        }
    }

    /// Returns the daemons' CPU time per answered request, in microseconds.
    pub fn cpu_per_request(&self) -> f64 {
        let (mut cpu, mut answered) = (0, 0);
        for c in &self.record.proxy_counts {
            // The counts of a killed process are lost, so its CPU time is left out.
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

    /// Returns the highest peak memory of any daemon, in MB.
    pub fn peak_rss_mb(&self) -> f64 {
        self.record
            .proxy_counts
            .iter()
            .map(|c| c.usage.peak_kb)
            .max()
            .unwrap_or(0) as f64
            / 1024.0
    }

    /// Returns the summary as a JSON object.
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
        // Serialization cannot fail: keys are strings and figures are finite.
        serde_json::to_string(&json).unwrap_or_default()
    }

    /// Returns the summary as a readable table.
    pub fn table(&self) -> String {
        let mut out = String::new();
        // Writing to a string does not fail.
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
            "  attempts   served {served}, refused {refused}, failed {failed}, without a response {none}"
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
            "  effort     {:.4} of the work was started for clients that had left",
            v.wasted_work_share
        )?;
        if v.malformed_clients[0] > 0 {
            writeln!(
                out,
                "  misuse     {} malformed clients, unanswered {}",
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
        let differing: Vec<_> = self.lines.iter().filter(|l| !l.agrees()).collect();
        writeln!(
            out,
            "  agreement  {} figures compared with the daemons' counts, {} differ",
            self.lines.len(),
            differing.len()
        )?;
        for l in differing {
            let [least, most] = l.seen;
            writeln!(
                out,
                "    {}: seen {least} to {most}, counted {}",
                l.what, l.counted
            )?;
        }
        for (no, state) in &self.record.route_changes {
            writeln!(
                out,
                "  change     {}: {state}",
                self.record.proxies[usize::from(*no)]
            )?;
        }
        for e in &self.expectations {
            let result = if e.ok { "met" } else { "MISSED" };
            writeln!(
                out,
                "  expected   {} {}: {:.3}, {result}",
                e.name, e.bound, e.figure
            )?;
        }
        for error in &self.record.errors {
            writeln!(out, "  error      {error}")?;
        }
        for reason in &self.void {
            writeln!(out, "  VOID       {reason}")?;
        }
        let verdict = match self.code() {
            Code::Passed => "passed",
            Code::Failed => "FAILED",
            Code::Void => "void: no verdict",
            Code::BadInput => "bad input",
        };
        writeln!(out, "  verdict    {verdict}")
    }
}

fn expectations(seen: &RunRecord, verdict: &Verdict) -> Vec<Expectation> {
    let mut list = Vec::new();
    for e in &seen.schedule.scenario.expect {
        let changes = |text: &str| {
            seen.route_changes
                .iter()
                .filter(|(_, state)| state.contains(text))
                .count() as f64
        };
        let figure = match e.figure.as_str() {
            "changes_committed" => Some(changes("is committed")),
            "changes_undone" => Some(changes("is undone by")),
            "changes_given_up" => Some(changes("given up")),
            "attempts_multiple" => Some(attempts_multiple(seen)),
            "loops_ended" => Some(sum_counts(seen, |v| v["budget"]["loops"].as_f64())),
            other if other.starts_with("fleet_") => audit_check::figure(seen, other),
            other if other.starts_with("duty_") => seen
                .lease_calls
                .as_ref()
                .and_then(|d| fencing_server::figure(d, other)),
            other => verdict.figure(other),
        };
        let Some(figure) = figure else { continue };
        let mut check = |side: &str, bound: Option<f64>, ok: &dyn Fn(f64) -> bool| {
            if let Some(bound) = bound {
                list.push(Expectation {
                    name: format!("{} {side}", e.figure),
                    ok: ok(bound),
                    figure,
                    bound,
                });
            }
        };
        check("at least", e.at_least, &|b| figure >= b);
        check("at most", e.at_most, &|b| figure <= b);
    }
    list
}

/// Sums a figure over the daemons' counts.
fn sum_counts(seen: &RunRecord, of: impl Fn(&serde_json::Value) -> Option<f64>) -> f64 {
    seen.proxy_counts
        .iter()
        .filter_map(|c| of(c.counts.as_ref()?))
        .sum()
}

/// Returns the daemons' attempts over all tiers as a multiple of one attempt per tier and request.
fn attempts_multiple(seen: &RunRecord) -> f64 {
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
    sum_counts(seen, attempts) / (asked * seen.schedule.scenario.tier.len() as f64).max(1.0)
}

/// Returns the reasons that make a run invalid, such as a load generator that fell behind.
fn void_reasons(seen: &RunRecord) -> Vec<String> {
    let mut reasons = Vec::new();
    reasons.extend(late("the load generator", &seen.generator_lateness));
    reasons.extend(late("the emulators", &seen.runner_lateness));
    if seen.dropped > 0 {
        reasons.push(format!(
            "{} requests could not be started by the load generator",
            seen.dropped
        ));
    }
    if seen.descriptor_failures > 0 {
        reasons.push(format!(
            "the load generator or the emulators ran out of descriptors {} times",
            seen.descriptor_failures
        ));
    }
    if seen.interrupted {
        reasons.push("the run was interrupted".into());
    }
    reasons
}

fn late(component: &str, late: &Histogram<u64>) -> Option<String> {
    let (p99, most) = (late.value_at_quantile(0.99), late.max());
    (p99 > MAX_LATENESS_P99 || most > MAX_LATENESS).then(|| {
        format!(
            "{component} ran late: {} in the 99th percentile, {} at most",
            format_seconds(p99),
            format_seconds(most)
        )
    })
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn lateness_voids_a_run() {
        let of = |values: &[u64]| {
            let mut histogram = Histogram::<u64>::new_with_max(600_000_000, 3).expect("bounds");
            values.iter().for_each(|v| histogram.saturating_record(*v));
            late("the load generator", &histogram)
        };
        assert_eq!(of(&[100; 200]), None);
        assert_eq!(of(&[]), None);
        let reason = of(&[[100; 100], [MAX_LATENESS_P99 + 1000; 100]].concat()).expect("late");
        assert!(reason.contains("the load generator ran late"), "{reason}");
        assert_eq!(
            of(&[vec![100; 300], vec![MAX_LATENESS_P99 + 1000]].concat()),
            None,
            "a single late event is tolerated"
        );
        assert!(
            of(&[vec![100; 300], vec![MAX_LATENESS + 1000]].concat()).is_some(),
            "a long stall is not"
        );
    }
}
