//! Selects the backend for an attempt: the better of two random choices (Mitzenmacher), compared by
//! expected wait.

use crate::api::{BackendId, DeduplicationScope, EndpointState, Idempotency, RequestId};
use crate::backend::Backend;
use crate::balancer::Balancer;
use crate::request::Request;

/// Maximum number of random draws from one set of candidates.
const MAX_DRAWS: usize = 12;
/// Weight of the error rate in the expected wait; a failed attempt costs more than a slow one.
const ERROR_WEIGHT: f64 = 8.0;
/// Cost of a cross-zone attempt in the expected wait, in attempts in flight.
const CROSS_ZONE_PENALTY: f64 = 0.5;
/// Lower bound of an endpoint's weight, to avoid division by zero.
const MIN_ENDPOINT_WEIGHT: f64 = 0.01;

/// How to treat ejected backends among the candidates.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Ejected {
    /// Consider them only for a trial.
    Excluded,
    /// Consider them like the others.
    Included,
}

impl Balancer {
    /// Returns the better of two random eligible members of the subset. Falls back to backends
    /// outside the subset if no member is eligible, and then to ejected members.
    pub(crate) fn select_backend(&mut self, now: f64, id: RequestId) -> Option<BackendId> {
        let request = self.requests.get(&id)?;
        let mut rng = self.rng.clone();
        let (local, remote) = self.subset.by_zone();
        let leaves_zone =
            local.is_empty() || rng.f64() < self.spillover.share() && !remote.is_empty();
        let zone = if leaves_zone { remote } else { local };
        let candidate_sets = [
            (zone, Ejected::Excluded),
            (self.subset.members.as_slice(), Ejected::Excluded),
            (self.ring.as_slice(), Ejected::Excluded),
            (self.subset.members.as_slice(), Ejected::Included),
        ];
        let selected = candidate_sets
            .into_iter()
            .find_map(|(candidates, ejected)| {
                self.select_from(now, request, candidates, ejected, &mut rng)
            });
        self.rng = rng;
        selected
    }

    fn select_from(
        &self,
        now: f64,
        request: &Request,
        candidates: &[BackendId],
        ejected: Ejected,
        rng: &mut fastrand::Rng,
    ) -> Option<BackendId> {
        if candidates.is_empty() {
            return None;
        }
        let mut draws = (0..MAX_DRAWS).map(|_| candidates[rng.usize(..candidates.len())]);
        let eligible = |id: BackendId| {
            let backend = self.backends.get(&id)?;
            let is_eligible = self.is_eligible(now, request, id, backend, ejected);
            is_eligible.then_some((id, backend))
        };
        let (first, first_backend) = draws.find_map(eligible)?;
        let mut others = draws.filter(|&id| id != first);
        let Some((second, second_backend)) = others.find_map(eligible) else {
            return Some(first);
        };
        let is_second_better =
            self.expected_wait(now, second_backend) < self.expected_wait(now, first_backend);
        Some(if is_second_better { second } else { first })
    }

    /// Returns whether a backend may receive an attempt of a request.
    fn is_eligible(
        &self,
        now: f64,
        request: &Request,
        id: BackendId,
        backend: &Backend,
        ejected: Ejected,
    ) -> bool {
        let was_last_tried = request.attempts.last().is_some_and(|a| a.backend == id);
        backend.endpoint.state == EndpointState::Ready
            && !backend.is_out_of_slow_start_tokens(&self.settings.guarantees, now)
            && self.is_in_service(now, request, backend, ejected)
            && !was_last_tried
            && self.is_in_deduplication_scope(request, backend)
    }

    /// Returns whether a backend is in service for a request. Once its ejection has expired, an
    /// ejected backend receives one request at a time as a trial, which must be repeatable.
    fn is_in_service(
        &self,
        now: f64,
        request: &Request,
        backend: &Backend,
        ejected: Ejected,
    ) -> bool {
        if !backend.is_ejected() || ejected == Ejected::Included {
            return true;
        }
        let idempotency = self.settings.classes[request.class].idempotency;
        idempotency != Idempotency::NonIdempotent && backend.is_due_for_trial(now)
    }

    /// Returns whether a backend may receive a repeat of a request: for deduplicated classes, it
    /// must share deduplication state with the first backend that may have executed the request.
    fn is_in_deduplication_scope(&self, request: &Request, backend: &Backend) -> bool {
        let Some(executed) = request.first_possibly_executed() else {
            return true;
        };
        let idempotency = self.settings.classes[request.class].idempotency;
        let Idempotency::Deduplicated { scope, .. } = idempotency else {
            return true;
        };
        match scope {
            DeduplicationScope::All => true,
            DeduplicationScope::Zone => backend.endpoint.zone == executed.zone,
            DeduplicationScope::Cell => backend.endpoint.cell == executed.cell,
        }
    }

    /// Returns the expected wait at a backend relative to others, from this replica's attempts, the
    /// backend's latency, error rate and slow start, and zone crossing.
    fn expected_wait(&self, now: f64, backend: &Backend) -> f64 {
        let slowness = backend.latency_ratio * (1.0 + ERROR_WEIGHT * backend.error_rate)
            / backend.capacity_share(&self.settings.guarantees, now);
        let is_priced = self.settings.objectives.cross_zone_price > 0.0;
        let zone_penalty = if is_priced && backend.endpoint.zone != self.settings.zone {
            CROSS_ZONE_PENALTY
        } else {
            0.0
        };
        let attempts = (backend.in_flight.len() + backend.abandoned.len()) as f64;
        let weight = backend.endpoint.weight.max(MIN_ENDPOINT_WEIGHT);
        (attempts * self.mean_endpoint_weight / weight + 1.0 + zone_penalty) * slowness
    }
}
