//! The invariant checker: computes service worth and the violations of the four rules from the event
//! log alone. It is a pure function, so tests can run it on logs that violate each rule.

mod client;
mod rules;
mod wasted_work;
mod worth;

pub use rules::{Rule, Violation};
pub use worth::Worth;

use crate::clock::Micros;
use crate::emulator::host::HostSpec;
use crate::event_log::{BackendIndex, EventLog};
use crate::schedule::Schedule;

/// What the checker needs besides the event log.
pub struct CheckInput<'a> {
    /// Planned requests and faults.
    pub schedule: &'a Schedule,
    /// Names of the proxies.
    pub proxies: &'a [String],
    /// Names of the backend hosts.
    pub backends: &'a [String],
    /// Cell of each host within its tier.
    pub cells: &'a [u16],
    /// Machine type of each host.
    pub host_specs: &'a [HostSpec],
}

impl CheckInput<'_> {
    fn backend(&self, backend: BackendIndex) -> &str {
        self.backends
            .get(usize::from(backend))
            .map_or("?", String::as_str)
    }

    fn proxy(&self, proxy: u16) -> &str {
        self.proxies
            .get(usize::from(proxy))
            .map_or("?", String::as_str)
    }
}

/// Result of checking one run.
#[derive(Debug, Clone)]
pub struct Verdict {
    /// Service worth.
    pub worth: Worth,
    /// Violations of the four rules.
    pub violations: Vec<Violation>,
    /// Requests that ran twice at the first tier because their client repeated them after the
    /// backends' deduplication window.
    pub duplicated_by_clients: Vec<String>,
    /// Attempts of clients by outcome: served, refused, failed, no response.
    pub attempts_by_outcome: [u64; 4],
    /// Repeated arrivals of a request at backends under the same id.
    pub resends: u64,
    /// Clients that sent malformed requests, and how many of them got neither a response nor a close.
    pub malformed_clients: [u64; 2],
    /// JSON-RPC calls that were served.
    pub remote_served: u64,
    /// Looped calls that reached a backend of the first tier again.
    pub loops_open: u64,
    /// Share of the backends' work that was started after its client had left or had its response.
    pub wasted_work_share: f64,
    /// Sorted latencies of served requests, each measured from its first attempt.
    pub latencies: Vec<Micros>,
}

impl Verdict {
    /// Returns the number of violations of a rule.
    pub fn violation_count(&self, rule: Rule) -> usize {
        self.violations.iter().filter(|b| b.rule == rule).count()
    }

    /// Returns a figure that expectations name; see [`crate::scenario::FIGURES`].
    pub fn figure(&self, name: &str) -> Option<f64> {
        let total = self.attempts_by_outcome.iter().sum::<u64>().max(1) as f64;
        Some(match name {
            "worth" => self.worth.goal,
            "whole" => self.worth.whole,
            "worst_10s" => self.worth.worst_window,
            "worst_class" => self.worth.worst_class,
            "worst_tenant" => self.worth.worst_tenant,
            "served" => self.attempts_by_outcome[0] as f64,
            "refused_share" => self.attempts_by_outcome[1] as f64 / total,
            "failed_share" => {
                (self.attempts_by_outcome[2] + self.attempts_by_outcome[3]) as f64 / total
            }
            "run_twice_by_clients" => self.duplicated_by_clients.len() as f64,
            "run_twice_by_proxies" => self.violation_count(Rule::Double) as f64,
            "resends_seen" => self.resends as f64,
            "remote_served" => self.remote_served as f64,
            "rude_unanswered" => self.malformed_clients[1] as f64,
            "loops_open" => self.loops_open as f64,
            "work_for_nobody" => self.wasted_work_share,
            _ => return None,
        })
    }

    /// Returns a percentile of the latencies, or 0 if nothing was served.
    pub fn latency(&self, share: f64) -> Micros {
        let last = self.latencies.len().saturating_sub(1) as f64;
        self.latencies
            .get((last * share).round() as usize)
            .copied()
            .unwrap_or(0)
    }
}

/// Checks the event log.
pub fn check(input: &CheckInput, event_log: &EventLog) -> Verdict {
    use crate::event_log::{Attempt, AttemptEnd};
    let (violations, duplicated_by_clients, resends) = rules::check_rules(input, event_log);
    let mut attempts_by_outcome = [0; 4];
    for t in event_log.attempts.iter().filter(|t| t.is_from_client()) {
        let outcome = match t.end {
            AttemptEnd::Served(_) => 0,
            AttemptEnd::Refused { .. } => 1,
            AttemptEnd::Failed(_) => 2,
            _ => 3,
        };
        attempts_by_outcome[outcome] += 1;
    }
    let unanswered = event_log
        .malformed_clients
        .iter()
        .filter(|r| rules::was_unanswered(r))
        .count();
    let remote = |t: &&Attempt| {
        t.is_from_client()
            && input
                .schedule
                .requests
                .get(t.request_index as usize)
                .is_some_and(|f| f.uses_jsonrpc)
    };
    let remote = event_log.attempts.iter().filter(remote);
    let remote_served = remote
        .filter(|t| matches!(t.end, AttemptEnd::Served(_)))
        .count() as u64;
    let (worth, latencies) = worth::compute(input.schedule, &event_log.attempts);
    let malformed_clients = [event_log.malformed_clients.len() as u64, unanswered as u64];
    let (loops_open, wasted_work_share) = (
        wasted_work::loops_open(event_log),
        wasted_work::wasted_share(event_log),
    );
    Verdict {
        worth,
        violations,
        duplicated_by_clients,
        attempts_by_outcome,
        resends,
        malformed_clients,
        remote_served,
        loops_open,
        wasted_work_share,
        latencies,
    }
}
