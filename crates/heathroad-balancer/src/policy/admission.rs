//! Admission: sends, queues or rejects new requests, and sends queued requests as the concurrency
//! limit allows, highest priority first.

use crate::api::{Action, Class, DeduplicationScope, Idempotency, RequestArrival, RequestId};
use crate::balancer::Balancer;
use crate::request::Request;

/// Maximum queueing time at the tier that clients call, in latency objectives.
const QUEUE_TIME_AT_FIRST_TIER: f64 = 0.125;
/// Maximum queueing time at the other tiers, in latency objectives.
const QUEUE_TIME_AT_INNER_TIERS: f64 = 0.5;
/// Minimum advertised retry delay, in latency objectives; jitter adds up to as much again.
const RETRY_DELAY: f64 = 0.125;
/// Priority share below which a request belongs to its class's low-priority slice.
const LOW_PRIORITY_SHARE: f64 = 0.5;
/// Time that a request with a retry budget needs at least, as a share of the baseline latency.
const MIN_SHARE_OF_BASELINE: f64 = 0.5;
/// Maintenance periods before its deadline by which a queued request is rejected.
const PERIODS_BEFORE_DEADLINE: f64 = 2.0;

/// Returns the maximum queueing time. It is the same for all classes: in a full queue, a class
/// with a longer time would starve the others in its slice.
pub(crate) fn queue_time(tier: u32, classes: &[Class]) -> f64 {
    let share = if tier == 0 {
        QUEUE_TIME_AT_FIRST_TIER
    } else {
        QUEUE_TIME_AT_INNER_TIERS
    };
    let objectives = classes.iter().map(|c| c.latency_objective);
    share * objectives.fold(f64::MAX, f64::min)
}

impl Balancer {
    pub(crate) fn on_request_arrived(
        &mut self,
        now: f64,
        arrival: &RequestArrival,
        actions: &mut Vec<Action>,
    ) {
        let id = arrival.request;
        let class = usize::from(arrival.class);
        let Some(&Class {
            latency_objective,
            ordered_by_key,
            ..
        }) = self.settings.classes.get(class)
        else {
            actions.push(Action::Fail { request: id });
            return;
        };
        self.retry_tokens.deposit(self.limiter.total);
        let charge = self.charge_tenant(now, arrival);
        let slice = self.slice_of(arrival, charge);
        let key = if ordered_by_key { arrival.key } else { 0 };
        let waits_for_key = self.join_key_queue(key, id);
        let is_admitted =
            !waits_for_key && self.slices[slice].queue.is_empty() && self.admits(slice);
        // A request that waits for a backend or its key, not for capacity, may be queued as long
        // as a response can still meet the latency objective.
        let queue_time = if is_admitted || waits_for_key {
            latency_objective - self.limiter.mean_latency
        } else {
            self.queue_time
        };
        let latest = arrival.deadline - PERIODS_BEFORE_DEADLINE * self.maintenance_period();
        let request = Request {
            key,
            class,
            slice,
            charged_tenant: charge.charged_tenant(),
            deadline: arrival.deadline,
            queue_deadline: (now + queue_time).min(latest),
            is_finished: false,
            retries_left: arrival.retries_left,
            attempts: Vec::new(),
        };
        self.requests.insert(id, request);
        if self.cannot_meet_deadline(now, arrival, class) {
            return self.reject_or_fail(now, id, actions);
        }
        if is_admitted && self.send(now, id, actions) {
            return;
        }
        if waits_for_key {
            // Maintenance might not reject it before its deadline.
            if latest <= now {
                self.reject_or_fail(now, id, actions);
            }
            return;
        }
        self.limiter.was_saturated |= !is_admitted;
        let is_queue_full = self.slices.queued() as f64 >= self.limiter.total;
        if is_queue_full || latest <= now {
            return self.reject_or_fail(now, id, actions);
        }
        self.slices[slice].queue.push_back(id);
    }

    /// Charges the tenant's quota. Only the tier that clients call enforces quotas.
    fn charge_tenant(&mut self, now: f64, arrival: &RequestArrival) -> QuotaCharge {
        if self.settings.tier != 0 {
            return QuotaCharge::NotCharged;
        }
        let tenant = usize::from(arrival.tenant);
        if !self.quotas.is_known(tenant) {
            return QuotaCharge::NotCharged;
        }
        if self.quotas.try_charge(now, tenant) {
            QuotaCharge::Charged(tenant)
        } else {
            QuotaCharge::OverQuota
        }
    }

    /// Returns the index of the slice that a request belongs to.
    fn slice_of(&self, arrival: &RequestArrival, charge: QuotaCharge) -> usize {
        let is_forwarded_low =
            self.settings.priority_forwarded && arrival.priority_share < LOW_PRIORITY_SHARE;
        let is_low = charge == QuotaCharge::OverQuota || is_forwarded_low;
        self.slices.index(usize::from(arrival.class), is_low)
    }

    /// Returns whether a request with a retry budget has too little time left for a response, even
    /// from an idle backend: its work would be wasted.
    fn cannot_meet_deadline(&self, now: f64, arrival: &RequestArrival, class: usize) -> bool {
        let latency = &self.limiter.classes[class];
        let time_left = arrival.deadline - now;
        arrival.retries_left.is_some()
            && latency.is_learned()
            && time_left < MIN_SHARE_OF_BASELINE * latency.baseline
    }

    fn admits(&self, slice: usize) -> bool {
        self.slices
            .admits(slice, self.in_flight, self.limiter.total)
    }

    /// Sends queued requests as the limit allows, highest priority first.
    pub(crate) fn send_queued(&mut self, now: f64, actions: &mut Vec<Action>) {
        for slice in 0..self.slices.len() {
            for _ in 0..self.slices[slice].queue.len() {
                if !self.admits(slice) {
                    break;
                }
                let Some(&id) = self.slices[slice].queue.front() else {
                    break;
                };
                let is_removed = !self.requests.contains_key(&id);
                if !is_removed && !self.send(now, id, actions) {
                    break;
                }
                self.slices[slice].queue.pop_front();
            }
        }
    }

    /// Goes through all queues once, rejects expired requests, and sends those that the limit
    /// admits and that a backend is available for.
    pub(crate) fn sweep_queues(&mut self, now: f64, actions: &mut Vec<Action>) {
        for slice in 0..self.slices.len() {
            for _ in 0..self.slices[slice].queue.len() {
                let admitted = self.admits(slice);
                let Some(id) = self.slices[slice].queue.front().copied() else {
                    break;
                };
                let queue_deadline = self.requests.get(&id).map(|r| r.queue_deadline);
                let is_expired = queue_deadline.is_some_and(|deadline| now >= deadline);
                if is_expired {
                    self.reject_or_fail(now, id, actions);
                }
                let is_done = is_expired
                    || queue_deadline.is_none()
                    || admitted && self.send(now, id, actions);
                if is_done {
                    self.slices[slice].queue.pop_front();
                } else {
                    self.slices[slice].queue.rotate_left(1);
                }
            }
        }
    }

    /// Rejects requests whose queue deadline passed while they waited for their key.
    pub(crate) fn reject_expired_in_key_queues(&mut self, now: f64, actions: &mut Vec<Action>) {
        for id in self.expired_in_key_queues(now) {
            self.reject_or_fail(now, id, actions);
        }
    }

    /// Ends a request without a successful response: rejects it if the client can safely retry,
    /// otherwise fails it.
    pub(crate) fn reject_or_fail(&mut self, now: f64, id: RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let class = &self.settings.classes[request.class];
        let is_repeatable_anywhere = matches!(
            class.idempotency,
            Idempotency::Idempotent
                | Idempotency::Deduplicated {
                    scope: DeduplicationScope::All,
                    ..
                }
        );
        let action = if is_repeatable_anywhere || request.was_never_executed() {
            let objective = class.latency_objective;
            Action::Reject {
                request: id,
                retry_after: self.retry_delay(objective),
            }
        } else {
            Action::Fail { request: id }
        };
        actions.push(action);
        self.close(now, id, actions);
    }

    /// Returns the retry delay advertised to a rejected client, with jitter; 0 means none.
    fn retry_delay(&mut self, latency_objective: f64) -> f64 {
        let delay = latency_objective * RETRY_DELAY * (1.0 + self.rng.f64());
        if self.settings.limits.retry_after {
            delay.min(self.settings.limits.max_retry_after)
        } else {
            0.0
        }
    }
}

/// The result of charging a request to its tenant's quota.
#[derive(Clone, Copy, PartialEq, Eq)]
enum QuotaCharge {
    /// The request took a token from this tenant.
    Charged(usize),
    /// The tenant has no tokens left.
    OverQuota,
    /// No quota applies.
    NotCharged,
}

impl QuotaCharge {
    /// Returns the tenant that was charged, if any.
    fn charged_tenant(self) -> Option<usize> {
        match self {
            QuotaCharge::Charged(tenant) => Some(tenant),
            QuotaCharge::OverQuota | QuotaCharge::NotCharged => None,
        }
    }
}
