//! Outlier detection: ejects backends that fail, hang or are much slower than the others. An
//! ejected backend returns after a successful trial request; each failed trial extends its
//! ejection.

use crate::api::{AttemptResult, BackendId, Outcome};
use crate::backend::{Backend, SentAttempt};
use crate::balancer::Balancer;
use crate::policy::limiter::MAX_LATENCY_RATIO;

/// Weight of one outcome in a backend's error rate.
const ERROR_STEP: f64 = 0.125;
/// Weight of one success in the error rate of an ejected backend.
const TRIAL_ERROR_STEP: f64 = 0.5;
/// Weight of a connect failure relative to other failures in an error rate.
const CONNECT_FAILURE_WEIGHT: f64 = 3.0;
/// Weight of one outcome in the tier's error rate.
const TIER_ERROR_STEP: f64 = 0.02;
/// Minimum error rate at which a backend is ejected.
const EJECTION_ERROR_RATE: f64 = 0.35;
/// Minimum error rate at which a backend is ejected, as a multiple of the tier's error rate; below
/// it the cause is likely shared.
const EJECTION_TIER_MULTIPLE: f64 = 3.0;
/// Error rate below which an ejected backend may return.
const RETURN_ERROR_RATE: f64 = 0.15;
/// Latency ratio above which a backend is ejected.
const EJECTION_LATENCY_RATIO: f64 = 2.5;
/// Maximum number of samples in the latency ratio of a backend.
const MAX_LATENCY_SAMPLES: f64 = 16.0;
/// Number of samples above which the latency ratio can eject a backend.
const MIN_LATENCY_SAMPLES: f64 = 8.0;
/// Weight of the initial latency ratio, in samples; dampens the first measurements.
const LATENCY_PRIOR_SAMPLES: f64 = 4.0;
/// Lower bound of a mean latency in ms, to avoid division by zero.
const MIN_MEAN_MS: f64 = 0.001;
/// Duration of the first ejection in ms.
const EJECTION_MS: f64 = 2000.0;
/// Maximum number of times that this duration is doubled.
const MAX_DOUBLINGS: u32 = 3;
/// Maximum share of the ready backends that may be ejected; beyond it the cause is likely shared.
const MAX_EJECTED_SHARE: f64 = 0.5;
/// Number of missed responses, by Little's law, above which a backend may count as hung; fewer may
/// be a pause.
const HANG_MISSED_RESPONSES: f64 = 8.0;
/// Time without a response, in mean latencies, above which a backend may count as hung.
const HANG_MEAN_LATENCIES: f64 = 2.0;
/// A backend is hung only if another one has responded within this share of its silence; otherwise
/// the silence is shared.
const OTHERS_SILENCE_SHARE: f64 = 0.25;

impl Backend {
    pub fn is_ejected(&self) -> bool {
        self.ejected_until > 0.0
    }

    /// Returns whether an ejected backend's ejection has expired and no trial is in flight.
    pub fn is_due_for_trial(&self, now: f64) -> bool {
        now >= self.ejected_until && self.in_flight.is_empty()
    }

    /// Records the ratio of a latency to its class's mean, and returns it.
    fn record_latency_ratio(&mut self, latency: f64, class_mean: f64) -> f64 {
        let ratio = (latency / class_mean.max(MIN_MEAN_MS)).min(MAX_LATENCY_RATIO);
        self.latency_samples = (self.latency_samples + 1.0).min(MAX_LATENCY_SAMPLES);
        let samples = self.latency_samples + LATENCY_PRIOR_SAMPLES;
        self.latency_ratio += (ratio - self.latency_ratio) / samples;
        ratio
    }

    fn record_success(&mut self) {
        let step = if self.is_ejected() {
            TRIAL_ERROR_STEP
        } else {
            ERROR_STEP
        };
        self.error_rate -= self.error_rate * step;
    }

    fn record_failure(&mut self, is_connect_failure: bool) {
        let weight = if is_connect_failure {
            CONNECT_FAILURE_WEIGHT
        } else {
            1.0
        };
        self.error_rate += (1.0 - self.error_rate) * ERROR_STEP * weight;
    }

    fn has_passed_trial(&self, latency_ratio: f64) -> bool {
        self.is_ejected()
            && self.error_rate < RETURN_ERROR_RATE
            && latency_ratio < EJECTION_LATENCY_RATIO / 2.0
    }

    fn return_to_service(&mut self, latency_ratio: f64) {
        self.ejected_until = 0.0;
        self.ejections = 0;
        self.latency_ratio = latency_ratio;
        self.latency_samples = 0.0;
    }

    /// Returns whether the backend is slow enough to be ejected. An overloaded backend recovers
    /// only without traffic.
    fn is_slow_outlier(&self, now: f64) -> bool {
        now >= self.ejected_until
            && self.latency_ratio > EJECTION_LATENCY_RATIO
            && self.latency_samples > MIN_LATENCY_SAMPLES
    }
}

impl Balancer {
    /// Updates the statistics of the backend and the limiter with an outcome.
    pub(crate) fn record_outcome(
        &mut self,
        now: f64,
        result: &AttemptResult,
        class: usize,
        sent: SentAttempt,
    ) {
        let Some(backend) = self.backends.get_mut(&result.backend) else {
            return;
        };
        backend.remove(sent);
        let has_responded = matches!(
            result.outcome,
            Outcome::Success | Outcome::Error | Outcome::Rejected
        );
        if has_responded {
            backend.last_response = now;
            self.last_response = now;
        }
        match result.outcome {
            Outcome::Success => {
                self.limiter.record_response();
                self.record_latency(now, result, class);
            }
            // A lower bound of the latency. It counts for the backend and its zone, but not for
            // the limiter, which unresponsive backends would otherwise reduce.
            Outcome::Cancelled if result.elapsed > self.limiter.classes[class].mean => {
                self.record_latency(now, result, class);
            }
            Outcome::Error => {
                self.limiter.record_response();
                self.record_failure(now, result);
            }
            Outcome::Reset | Outcome::ConnectFailed => self.record_failure(now, result),
            Outcome::Rejected => self.limiter.record_drop(),
            Outcome::Timeout if !backend.is_ejected() => self.limiter.record_timeout(),
            Outcome::Timeout | Outcome::Cancelled | Outcome::NotSent => {}
        }
    }

    fn record_latency(&mut self, now: f64, result: &AttemptResult, class: usize) {
        let Some(backend) = self.backends.get_mut(&result.backend) else {
            return;
        };
        let (latency, is_success) = (result.elapsed, result.outcome == Outcome::Success);
        if is_success {
            self.limiter.record_latency(class, latency);
        }
        let learned = &self.limiter.classes[class];
        let excess = (latency - learned.baseline) / learned.objective;
        let is_remote = backend.endpoint.zone != self.settings.zone;
        self.spillover.record_excess(is_remote, excess);
        let latency_ratio = backend.record_latency_ratio(latency, learned.mean);
        self.limiter.record_overall_latency(latency);
        if is_success {
            self.tier_error_rate -= self.tier_error_rate * TIER_ERROR_STEP;
            backend.record_success();
        }
        if is_success && backend.has_passed_trial(latency_ratio) {
            backend.return_to_service(latency_ratio);
        } else if backend.is_slow_outlier(now) {
            self.eject(now, result.backend);
        }
    }

    fn record_failure(&mut self, now: f64, result: &AttemptResult) {
        let Some(backend) = self.backends.get_mut(&result.backend) else {
            return;
        };
        let is_connect_failure = result.outcome == Outcome::ConnectFailed;
        // A connect failure indicates overload only at a backend that is otherwise healthy.
        if is_connect_failure && backend.error_rate < ERROR_STEP {
            self.limiter.record_drop();
        }
        backend.record_failure(is_connect_failure);
        self.tier_error_rate += (1.0 - self.tier_error_rate) * TIER_ERROR_STEP;
        let tier = self.tier_error_rate;
        let threshold = (EJECTION_TIER_MULTIPLE * tier)
            .min((1.0 + tier) / 2.0)
            .max(EJECTION_ERROR_RATE);
        if backend.is_ejected() || backend.error_rate > threshold {
            self.eject(now, result.backend);
        }
    }

    /// Ejects a backend, unless the maximum share of backends is ejected already.
    fn eject(&mut self, now: f64, id: BackendId) {
        let is_ejected = |id: &&BackendId| self.backends[id].is_ejected();
        let ejected = self.ring.iter().filter(is_ejected).count() as f64;
        let max_ejected = (self.ring.len() as f64 * MAX_EJECTED_SHARE).max(1.0);
        let Some(backend) = self.backends.get_mut(&id) else {
            return;
        };
        if !backend.is_ejected() && ejected + 1.0 > max_ejected {
            return;
        }
        let doublings = backend.ejections.min(MAX_DOUBLINGS);
        backend.ejected_until = now + EJECTION_MS * f64::from(1 << doublings);
        backend.ejections += 1;
        self.stop_counting_attempts(now, id, 0.0);
    }

    /// Ejects the subset's members that have stopped responding while other backends respond.
    pub(crate) fn eject_hung_backends(&mut self, now: f64) {
        let is_hung = |id: &BackendId| {
            let backend = self.backends.get(id);
            backend.is_some_and(|b| self.is_hung(now, b))
        };
        let members = self.subset.members.iter().copied();
        let hung: Vec<BackendId> = members.filter(is_hung).collect();
        for id in hung {
            self.eject(now, id);
        }
    }

    fn is_hung(&self, now: f64, backend: &Backend) -> bool {
        let mean_latency = self.limiter.mean_latency;
        let oldest_sent = backend.in_flight.front().map_or(now, |a| a.sent_at);
        let silence = now - backend.last_response.max(oldest_sent);
        let expected = (mean_latency * backend.latency_ratio).max(1.0);
        let missed = backend.in_flight.len() as f64 * silence / expected;
        let others_respond = now - self.last_response < silence * OTHERS_SILENCE_SHARE;
        missed > HANG_MISSED_RESPONSES
            && silence > HANG_MEAN_LATENCIES * mean_latency
            && others_respond
            && now >= backend.ejected_until
    }
}
