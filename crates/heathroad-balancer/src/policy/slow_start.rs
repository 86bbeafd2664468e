//! Slow start: a backend whose process has just started is sent only what it surely bears, by a
//! token bucket of its own that fills as it warms up.

use crate::api::Guarantees;
use crate::backend::Backend;
use crate::balancer::Balancer;

/// Part of the slow-start budget that is used: backends are unlike, and handshakes count.
const BUDGET_MARGIN: f64 = 0.5;
/// Tokens that a bucket holds at most.
const MAX_TOKENS: f64 = 1.0;
/// The golden ratio's fraction: multiples of it are spread evenly over a unit.
const GOLDEN_FRACTION: f64 = 0.618_033_988_75;
/// A prime above which backend ids repeat in the phase of a bucket.
const PHASE_MODULUS: u32 = 8191;

impl Backend {
    /// Returns the capacity that the backend surely has by now, as a share of its full one.
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

/// Returns the first content of a backend's bucket. Replicas that are notified of a start together
/// begin at different phases, so that their first sends do not coincide.
pub(crate) fn initial_tokens(replica_index: u32, backend: u32) -> f64 {
    let number = f64::from(replica_index) + f64::from(backend % PHASE_MODULUS);
    (number * GOLDEN_FRACTION).fract()
}

impl Balancer {
    /// Fills the buckets with what this replica's backends prove to bear, at the share of capacity
    /// that each has surely reached.
    pub(crate) fn refill_slow_start_budgets(&mut self, now: f64, passed: f64) {
        let guarantees = &self.settings.guarantees;
        let members = self.subset.members.iter();
        let warm: f64 = members
            .map(|id| self.backends[id].capacity_share(guarantees, now))
            .sum();
        let margin =
            BUDGET_MARGIN * guarantees.overload_multiple.min(1.0) / self.slow_start_sharers;
        let tokens = self.limiter.throughput / warm.max(1.0) * margin * passed;
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
