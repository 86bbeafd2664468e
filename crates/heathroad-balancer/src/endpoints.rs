//! The endpoint list: handles updates, schedules polls and closes idle connections to draining
//! backends.

use crate::api::{Action, BackendId, Endpoint, EndpointState, UpdateKind};
use crate::backend::Backend;
use crate::balancer::{Balancer, TIMER_ENDPOINT_POLL};
use crate::policy::slow_start::initial_tokens;

/// Initial concurrency limit per subset member; growing from a lower value takes seconds.
const INITIAL_ATTEMPTS_PER_MEMBER: f64 = 4.0;
/// Range of the random delay of a replica's first poll, as a share of the maximum poll interval.
const FIRST_POLL_SPREAD: f64 = 0.4;
/// Delay before a failed poll is retried, as a share of the maximum poll interval, before jitter
/// and backoff.
const POLL_RETRY_SHARE: f64 = 0.1;
/// The smallest jitter factor of that delay; the largest is greater by 1.
const MIN_JITTER: f64 = 0.5;
/// The maximum backoff factor of that delay.
const MAX_POLL_BACKOFF: f64 = 8.0;

/// The schedule of endpoint list polls.
pub(crate) struct EndpointPoll {
    /// The backoff factor of the next retry.
    backoff: f64,
    is_scheduled: bool,
}

impl Default for EndpointPoll {
    fn default() -> Self {
        EndpointPoll {
            backoff: 1.0,
            is_scheduled: false,
        }
    }
}

impl Balancer {
    /// Schedules the first poll after a random delay, so that replicas that start together don't
    /// overload discovery.
    pub(crate) fn schedule_first_poll(&mut self, actions: &mut Vec<Action>) {
        let share = FIRST_POLL_SPREAD * self.rng.f64();
        self.schedule_poll(share, actions);
    }

    /// Schedules a poll after a share of the maximum poll interval, unless one is scheduled.
    fn schedule_poll(&mut self, share: f64, actions: &mut Vec<Action>) {
        if std::mem::replace(&mut self.endpoint_poll.is_scheduled, true) {
            return;
        }
        actions.push(Action::SetTimer {
            delay: share * self.settings.guarantees.max_poll_interval,
            token: TIMER_ENDPOINT_POLL,
        });
    }

    pub(crate) fn poll_endpoints(&mut self, actions: &mut Vec<Action>) {
        self.endpoint_poll.is_scheduled = false;
        actions.push(Action::WatchEndpoints { on: true });
    }

    pub(crate) fn on_endpoint_update(
        &mut self,
        now: f64,
        kind: UpdateKind,
        endpoints: Vec<Endpoint>,
        actions: &mut Vec<Action>,
    ) {
        if kind == UpdateKind::Failed {
            return self.retry_poll(actions);
        }
        self.endpoint_poll.backoff = 1.0;
        if kind != UpdateKind::Delta {
            for backend in self.backends.values_mut() {
                backend.endpoint.state = EndpointState::Removed;
            }
        }
        for endpoint in endpoints {
            let id = endpoint.backend;
            self.update_backend(now, endpoint);
            self.close_idle_if_draining(id, actions);
        }
        let is_kept =
            |b: &Backend| !b.in_flight.is_empty() || b.endpoint.state != EndpointState::Removed;
        self.backends.retain(|_, backend| is_kept(backend));
        self.rebuild_ring();
    }

    /// Retries a failed poll with jitter and backoff, so that replicas whose polls failed together
    /// don't retry at the same time.
    fn retry_poll(&mut self, actions: &mut Vec<Action>) {
        let jitter = MIN_JITTER + self.rng.f64();
        let share = POLL_RETRY_SHARE * self.endpoint_poll.backoff * jitter;
        self.endpoint_poll.backoff = (self.endpoint_poll.backoff * 2.0).min(MAX_POLL_BACKOFF);
        self.schedule_poll(share, actions);
    }

    fn update_backend(&mut self, now: f64, endpoint: Endpoint) {
        let id = endpoint.backend;
        let known = self.backends.get(&id);
        let is_same_process = known.is_some_and(|b| b.endpoint.started_at == endpoint.started_at);
        let backend = self.backends.entry(id).or_default();
        if !is_same_process {
            // Statistics of the previous process don't apply to a restarted one.
            *backend = Backend {
                in_flight: std::mem::take(&mut backend.in_flight),
                abandoned: std::mem::take(&mut backend.abandoned),
                latency_ratio: 1.0,
                last_response: now,
                slow_start_tokens: initial_tokens(self.settings.replica_index, id),
                ..Backend::default()
            };
        }
        backend.endpoint = endpoint;
    }

    /// Rebuilds the ring from the ready backends and scales the limit with their number.
    fn rebuild_ring(&mut self) {
        let before = self.ring.len() as f64;
        let ready = self.backends.iter();
        self.ring = ready
            .filter(|(_, backend)| backend.endpoint.state == EndpointState::Ready)
            .map(|(&id, _)| id)
            .collect();
        let after = self.ring.len() as f64;
        let weights = self.ring.iter().map(|id| self.backends[id].endpoint.weight);
        self.mean_endpoint_weight = weights.sum::<f64>() / after.max(1.0);
        // Scaled both up and down: otherwise each backend that leaves and returns would lower the
        // limit.
        if before > 0.0 && after > 0.0 {
            self.limiter.total = (self.limiter.total * after / before).max(1.0);
        }
        self.resize_subset(0.0);
        if before == 0.0 {
            let initial = INITIAL_ATTEMPTS_PER_MEMBER * self.subset.width;
            self.limiter.total = self.limiter.total.max(initial);
        }
    }

    /// Closes idle connections to a draining backend, on each update and after each attempt.
    pub(crate) fn close_idle_if_draining(&self, id: BackendId, actions: &mut Vec<Action>) {
        let backend = self.backends.get(&id);
        let is_draining = backend.is_some_and(|b| b.endpoint.state != EndpointState::Ready);
        if is_draining && self.settings.guarantees.idle_close_within > 0.0 {
            actions.push(Action::CloseIdle { backend: id });
        }
    }
}
