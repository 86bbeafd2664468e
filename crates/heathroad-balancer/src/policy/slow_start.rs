//! Slow start: limits the attempts sent to a recently started backend by a token bucket, whose
//! refill rate follows the backend's guaranteed capacity as it warms up.

use crate::api::Guarantees;
use crate::backend::Backend;
use crate::balancer::Balancer;

/// Share of the slow-start budget that is used; backends differ, and handshakes add load.
const BUDGET_MARGIN: f64 = 0.5;
/// Capacity of a bucket in tokens.
const MAX_TOKENS: f64 = 1.0;
/// Fractional part of the golden ratio; its multiples modulo 1 are evenly distributed.
const GOLDEN_FRACTION: f64 = 0.618_033_988_75;
/// Prime modulus that bounds the backend ids in the computation of initial tokens.
const BACKEND_ID_MODULUS: u32 = 8191;

impl Backend {
    /// Returns the guaranteed capacity of the backend now, as a share of its full capacity.
    pub fn capacity_share(&self, guarantees: &Guarantees, now: f64) -> f64 {
        let started_at = self.endpoint.started_at;
        let progress = if started_at > 0.0 {
            ((now - started_at) / guarantees.slow_start_duration.max(1.0)).clamp(0.0, 1.0)
        } else {
            1.0
        };
        guarantees.slow_start_floor.min(1.0) * (1.0 - progress) + progress
    }

    pub fn is_out_of_slow_start_tokens(&self, guarantees: &Guarantees, now: f64) -> bool {
        self.capacity_share(guarantees, now) < 1.0 && self.slow_start_tokens < 1.0
    }
}

/// Returns the initial tokens of a backend's bucket. They differ between replicas, so that the
/// first attempts of all replicas don't arrive at the same time.
pub(crate) fn initial_tokens(replica_index: u32, backend: u32) -> f64 {
    let number = f64::from(replica_index) + f64::from(backend % BACKEND_ID_MODULUS);
    (number * GOLDEN_FRACTION).fract()
}

impl Balancer {
    /// Refills the buckets of the subset's members: the throughput of an average warm member, times
    /// the guaranteed capacity of each.
    pub(crate) fn refill_slow_start_budgets(&mut self, now: f64, elapsed: f64) {
        let guarantees = &self.settings.guarantees;
        let members = self.subset.members.iter();
        let total_capacity: f64 = members
            .map(|id| self.backends[id].capacity_share(guarantees, now))
            .sum();
        let margin =
            BUDGET_MARGIN * guarantees.overload_multiple.min(1.0) / self.slow_start_sharers;
        let tokens = self.limiter.throughput / total_capacity.max(1.0) * margin * elapsed;
        for id in &self.subset.members {
            let Some(backend) = self.backends.get_mut(id) else {
                continue;
            };
            let filled =
                backend.slow_start_tokens + tokens * backend.capacity_share(guarantees, now);
            backend.slow_start_tokens = filled.min(MAX_TOKENS);
        }
    }
}
