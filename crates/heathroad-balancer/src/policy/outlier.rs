//! Outlier detection: backends that fail, hang or are far slower than the others are ejected for a
//! while, come back by a trial, and stay out longer with each trial that fails.

use crate::api::{AttemptResult, BackendId, Outcome};
use crate::backend::{Backend, SentAttempt};
use crate::balancer::Balancer;
use crate::policy::limiter::MAX_LATENCY_RATIO;

/// Weight of one outcome in a backend's error rate.
const ERROR_STEP: f64 = 0.125;
/// Weight of one success in the error rate of an ejected backend.
const TRIAL_ERROR_STEP: f64 = 0.5;
/// Weight of a failed connect, over that of another failure, in an error rate.
const CONNECT_FAILURE_WEIGHT: f64 = 3.0;
/// Weight of one outcome in the tier's error rate.
const TIER_ERROR_STEP: f64 = 0.02;
/// Error rate at which a backend is ejected ...
const EJECTION_ERROR_RATE: f64 = 0.35;
/// ... if it is so many times the tier's; else the fault is shared.
const EJECTION_TIMES_TIER: f64 = 3.0;
/// Error rate below which an ejected backend may return.
const RETURN_ERROR_RATE: f64 = 0.15;
/// Mean latency, over that of all backends, at which one is ejected to recover.
const EJECTION_LATENCY_RATIO: f64 = 2.5;
/// Responses that the latency ratio of a backend covers.
const LATENCY_DEPTH: f64 = 16.0;
/// Responses after which its latency ratio may eject a backend.
const MIN_LATENCY_SAMPLES: f64 = 8.0;
/// Responses that a new latency ratio begins with, so that the first ones move it little.
const LATENCY_PRIOR: f64 = 4.0;
/// The smallest mean latency that is divided by.
const MIN_MEAN_MS: f64 = 0.001;
/// The first time out of service.
const EJECTION_MS: f64 = 2000.0;
/// Doublings of that time at most.
const MAX_DOUBLINGS: u32 = 3;
/// Share of the endpoint list that may be ejected: beyond it the fault is nobody's own.
const MAX_EJECTED_SHARE: f64 = 0.5;
/// Responses missed, by Little's law, before silence is a hang and not a pause.
const HANG_MISSED_RESPONSES: f64 = 8.0;
/// Mean latencies of silence before it is a hang.
const HANG_MEAN_LATENCIES: f64 = 2.0;
/// Others have responded within this share of the silence, else the silence is shared.
const OTHERS_HEARD_SHARE: f64 = 0.25;

impl Backend {
    pub fn is_ejected(&self) -> bool {
        self.ejected_until > 0.0
    }

    /// Returns whether an ejected backend's time is up and no trial is under way.
    pub fn is_due_for_trial(&self, now: f64) -> bool {
        now >= self.ejected_until && self.in_flight.is_empty()
    }

    /// Records a latency relative to its class's mean; returns that ratio.
    fn record_latency_ratio(&mut self, latency: f64, class_mean: f64) -> f64 {
        let ratio = (latency / class_mean.max(MIN_MEAN_MS)).min(MAX_LATENCY_RATIO);
        self.latency_samples = (self.latency_samples + 1.0).min(LATENCY_DEPTH);
        let weight = self.latency_samples + LATENCY_PRIOR;
        self.latency_ratio += (ratio - self.latency_ratio) / weight;
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

    /// Returns whether the backend is too slow. One that is overloaded recovers only when it is
    /// left alone.
    fn is_slow_outlier(&self, now: f64) -> bool {
        now >= self.ejected_until
            && self.latency_ratio > EJECTION_LATENCY_RATIO
            && self.latency_samples > MIN_LATENCY_SAMPLES
    }
}

impl Balancer {
    /// Records what an outcome shows of its backend and of the limit.
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
            // An attempt that its client gave up took longer still. It shows something of its
            // backend and zone, not of the limit, which silent backends would cut.
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
        // A backend that is down says nothing of the load: only one that is otherwise well does.
        if is_connect_failure && backend.error_rate < ERROR_STEP {
            self.limiter.record_drop();
        }
        backend.record_failure(is_connect_failure);
        self.tier_error_rate += (1.0 - self.tier_error_rate) * TIER_ERROR_STEP;
        let tier = self.tier_error_rate;
        let threshold = (EJECTION_TIMES_TIER * tier)
            .min((1.0 + tier) / 2.0)
            .max(EJECTION_ERROR_RATE);
        if backend.is_ejected() || backend.error_rate > threshold {
            self.eject(now, result.backend);
        }
    }

    /// Takes a backend out of service, unless so many are ejected that the fault must be shared.
    fn eject(&mut self, now: f64, id: BackendId) {
        let is_ejected = |id: &&BackendId| self.backends[id].is_ejected();
        let ejected = self.ring.iter().filter(is_ejected).count() as f64;
        let most = (self.ring.len() as f64 * MAX_EJECTED_SHARE).max(1.0);
        let Some(backend) = self.backends.get_mut(&id) else {
            return;
        };
        if !backend.is_ejected() && ejected + 1.0 > most {
            return;
        }
        let doublings = backend.ejections.min(MAX_DOUBLINGS);
        backend.ejected_until = now + EJECTION_MS * f64::from(1 << doublings);
        backend.ejections += 1;
        self.stop_counting_attempts(now, id, 0.0);
    }

    /// Ejects backends that are silent while others respond, for longer than the missed responses
    /// would take by Little's law.
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
        let others_respond = now - self.last_response < silence * OTHERS_HEARD_SHARE;
        missed > HANG_MISSED_RESPONSES
            && silence > HANG_MEAN_LATENCIES * mean_latency
            && others_respond
            && now >= backend.ejected_until
    }
}
