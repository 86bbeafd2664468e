//! The judge: service worth and the four rules, from the ledgers alone. A pure function, so that it
//! can be tried against proxies that break each rule, without a socket.

mod client;
mod rules;
mod wasted_work;
mod worth;

pub use rules::{Breach, Rule};
pub use worth::Worth;

use crate::clock::Micros;
use crate::emulator::host::HostSpec;
use crate::event_log::{BackendIndex, EventLog};
use crate::schedule::Schedule;

/// What the judge must know beside the ledgers.
pub struct Terms<'a> {
    /// What was planned.
    pub schedule: &'a Schedule,
    /// Names of the proxies.
    pub proxies: &'a [String],
    /// Names of the hosts.
    pub backends: &'a [String],
    /// Cells of the hosts, beside their tier's others.
    pub cells: &'a [u16],
    /// Makes of the hosts' machines.
    pub host_specs: &'a [HostSpec],
}

impl Terms<'_> {
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

/// What a rehearsal came to.
#[derive(Debug, Clone)]
pub struct Verdict {
    /// Service worth.
    pub worth: Worth,
    /// Every breach of the four rules.
    pub breaches: Vec<Breach>,
    /// Claims that ran twice at the first tier by their clients' doing: repeated later than
    /// backends remember.
    pub by_clients: Vec<String>,
    /// Tries by answer: served, refused, failed, without any.
    pub tries: [u64; 4],
    /// Requests that backends saw more than once under one id.
    pub resends: u64,
    /// Clients that sent what can't be used, and those of them that were left with nothing.
    pub rude: [u64; 2],
    /// Calls over JSON-RPC that were served.
    pub remote_served: u64,
    /// Calls that came round to the first tier and reached a backend of it once more.
    pub loops_open: u64,
    /// The part of backends' work that was begun when the client it was for had left or had its
    /// answer.
    pub work_for_nobody: f64,
    /// Latencies of served first tries, retries folded in, in microseconds: sorted.
    pub latencies: Vec<Micros>,
}

impl Verdict {
    /// How many breaches of a rule there are.
    pub fn breaches_of(&self, rule: Rule) -> usize {
        self.breaches.iter().filter(|b| b.rule == rule).count()
    }

    /// A figure that expectations name; see [`crate::scenario::FIGURES`].
    pub fn figure(&self, name: &str) -> Option<f64> {
        let all = self.tries.iter().sum::<u64>().max(1) as f64;
        Some(match name {
            "worth" => self.worth.goal,
            "whole" => self.worth.whole,
            "worst_10s" => self.worth.worst_window,
            "worst_class" => self.worth.worst_class,
            "worst_tenant" => self.worth.worst_tenant,
            "served" => self.tries[0] as f64,
            "refused_share" => self.tries[1] as f64 / all,
            "failed_share" => (self.tries[2] + self.tries[3]) as f64 / all,
            "run_twice_by_clients" => self.by_clients.len() as f64,
            "run_twice_by_proxies" => self.breaches_of(Rule::Double) as f64,
            "resends_seen" => self.resends as f64,
            "remote_served" => self.remote_served as f64,
            "rude_unanswered" => self.rude[1] as f64,
            "loops_open" => self.loops_open as f64,
            "work_for_nobody" => self.work_for_nobody,
            _ => return None,
        })
    }

    /// A percentile of the latencies; 0 where nothing was served.
    pub fn latency(&self, share: f64) -> Micros {
        let last = self.latencies.len().saturating_sub(1) as f64;
        self.latencies
            .get((last * share).round() as usize)
            .copied()
            .unwrap_or(0)
    }
}

/// Judges the ledgers.
pub fn check(terms: &Terms, event_log: &EventLog) -> Verdict {
    use crate::event_log::{Attempt, AttemptEnd};
    let (breaches, by_clients, resends) = rules::all(terms, event_log);
    let mut tries = [0; 4];
    for t in event_log.attempts.iter().filter(|t| t.is_from_client()) {
        let kind = match t.end {
            AttemptEnd::Served(_) => 0,
            AttemptEnd::Refused { .. } => 1,
            AttemptEnd::Failed(_) => 2,
            _ => 3,
        };
        tries[kind] += 1;
    }
    let left = event_log
        .malformed_clients
        .iter()
        .filter(|r| rules::left_with_nothing(r))
        .count();
    let remote = |t: &&Attempt| {
        t.is_from_client()
            && terms
                .schedule
                .requests
                .get(t.request_index as usize)
                .is_some_and(|f| f.uses_jsonrpc)
    };
    let remote = event_log.attempts.iter().filter(remote);
    let remote_served = remote
        .filter(|t| matches!(t.end, AttemptEnd::Served(_)))
        .count() as u64;
    let (worth, latencies) = worth::of(terms.schedule, &event_log.attempts);
    let rude = [event_log.malformed_clients.len() as u64, left as u64];
    let (loops_open, work_for_nobody) = (
        wasted_work::loops_open(event_log),
        wasted_work::for_nobody(event_log),
    );
    Verdict {
        worth,
        breaches,
        by_clients,
        tries,
        resends,
        rude,
        remote_served,
        loops_open,
        work_for_nobody,
        latencies,
    }
}
