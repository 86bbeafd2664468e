//! Selection of a backend for an attempt: the power of two random choices (Mitzenmacher), compared
//! by expected wait.

use crate::api::{BackendId, DeduplicationScope, EndpointState, Idempotency, RequestId};
use crate::backend::Backend;
use crate::balancer::Balancer;
use crate::request::Request;

/// Random draws from a set of candidates before the next set is tried.
const MAX_DRAWS: usize = 12;
/// Weight of the error rate in the expected wait: a failed attempt costs more than a slow one.
const ERROR_WEIGHT: f64 = 8.0;
/// Attempts in flight that a crossing of zones counts like, where it has a price.
const CROSSING_WEIGHT: f64 = 0.5;
/// The smallest weight of an endpoint that is divided by.
const MIN_ENDPOINT_WEIGHT: f64 = 0.01;

/// Whether ejected backends are candidates.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Ejected {
    /// Only for a trial.
    Excluded,
    /// Like the others.
    Included,
}

impl Balancer {
    /// Returns the cheaper of two random members of the subset that are eligible. Backends outside
    /// the subset are tried only if no member is, and ejected ones only if nothing else is left.
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
        let is_second_cheaper =
            self.expected_wait(now, second_backend) < self.expected_wait(now, first_backend);
        Some(if is_second_cheaper { second } else { first })
    }

    /// Returns whether a backend may be sent an attempt of a request.
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

    /// Returns whether a backend is in service for a request. An ejected backend gets a trial, one
    /// repeatable request, once its time is up.
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

    /// Returns whether a backend drops the repeats of a request that may have been executed.
    fn is_in_deduplication_scope(&self, request: &Request, backend: &Backend) -> bool {
        let Some(executed) = request.first_executed() else {
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

    /// Returns the expected wait at a backend relative to the others: own attempts, learned speed,
    /// errors, slow start.
    fn expected_wait(&self, now: f64, backend: &Backend) -> f64 {
        let slowness = backend.latency_ratio * (1.0 + ERROR_WEIGHT * backend.error_rate)
            / backend.capacity_share(&self.settings.guarantees, now);
        let is_priced = self.settings.objectives.cross_zone_price > 0.0;
        let crossing = if is_priced && backend.endpoint.zone != self.settings.zone {
            CROSSING_WEIGHT
        } else {
            0.0
        };
        let attempts = (backend.in_flight.len() + backend.abandoned.len()) as f64;
        let weight = backend.endpoint.weight.max(MIN_ENDPOINT_WEIGHT);
        (attempts * self.mean_endpoint_weight / weight + 1.0 + crossing) * slowness
    }
}
