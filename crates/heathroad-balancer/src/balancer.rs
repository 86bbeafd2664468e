//! The state of one replica: dispatches each event to the module that handles it, and runs
//! periodic maintenance.

use crate::api::{Action, BackendId, Event, Load, RequestId, Settings, SettingsError, SliceLoad};
use crate::backend::Backend;
use crate::endpoints::EndpointPoll;
use crate::policy::admission::queue_time;
use crate::policy::class_slices::ClassSlices;
use crate::policy::limiter::Limiter;
use crate::policy::ordering::KeyQueue;
use crate::policy::quota::TenantQuotas;
use crate::policy::retry::RetryTokens;
use crate::policy::subset::Subset;
use crate::policy::zone_spillover::ZoneSpillover;
use crate::request::Request;
use crate::validation;
use rustc_hash::FxHashMap;
use std::collections::BTreeMap;

/// The token of the maintenance timer.
const TIMER_MAINTENANCE: u64 = 0;
/// The token of the endpoint poll timer.
pub(crate) const TIMER_ENDPOINT_POLL: u64 = 1;
/// Maintenance period in ticks; bounds how late a queued request expires, and is long enough to be
/// cheap.
const MAINTENANCE_TICKS: f64 = 10.0;
/// Time in which the peak of in-flight attempts decays to 0, in ms.
const PEAK_DECAY_MS: f64 = 5000.0;

/// One balancer replica. The crate documentation shows how to embed it.
#[derive(Default)]
pub struct Balancer {
    pub(crate) settings: Settings,
    pub(crate) rng: fastrand::Rng,
    is_started: bool,
    pub(crate) backends: BTreeMap<BackendId, Backend>,
    /// The ready backends, ordered by id.
    pub(crate) ring: Vec<BackendId>,
    pub(crate) subset: Subset,
    pub(crate) spillover: ZoneSpillover,
    pub(crate) mean_endpoint_weight: f64,
    /// The requests by id. Never iterated: the map's order must not affect decisions.
    pub(crate) requests: FxHashMap<RequestId, Request>,
    pub(crate) key_queues: BTreeMap<u64, KeyQueue>,
    pub(crate) limiter: Limiter,
    pub(crate) slices: ClassSlices,
    pub(crate) quotas: TenantQuotas,
    /// Attempts that count against the limit.
    pub(crate) in_flight: f64,
    pub(crate) peak_in_flight: f64,
    pub(crate) tier_error_rate: f64,
    /// The time of the last response of any backend.
    pub(crate) last_response: f64,
    pub(crate) retry_tokens: RetryTokens,
    last_maintenance: f64,
    pub(crate) endpoint_poll: EndpointPoll,
    /// How long a request may be queued.
    pub(crate) queue_time: f64,
    /// The number of balancers in this proxy that share a backend's slow-start budget.
    pub(crate) slow_start_sharers: f64,
}

impl Balancer {
    /// Creates a replica in its initial state. `seed` initializes its random number generator.
    ///
    /// # Errors
    ///
    /// Returns the first invalid setting.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        validation::validate(&settings)?;
        let objectives = settings.classes.iter().map(|c| c.latency_objective);
        Ok(Balancer {
            rng: fastrand::Rng::with_seed(seed),
            slices: ClassSlices::new(&settings),
            limiter: Limiter::new(objectives),
            quotas: TenantQuotas::new(&settings),
            queue_time: queue_time(settings.tier, &settings.classes),
            slow_start_sharers: 1.0,
            settings,
            ..Balancer::default()
        })
    }

    /// Handles an event at time `now` and appends the resulting actions.
    pub fn handle_event(&mut self, now: f64, event: Event, actions: &mut Vec<Action>) {
        if !self.is_started {
            self.start(now, actions);
        }
        match event {
            Event::EndpointUpdate { kind, endpoints } => {
                self.on_endpoint_update(now, kind, endpoints, actions);
            }
            Event::RequestArrived(arrival) => self.on_request_arrived(now, &arrival, actions),
            Event::AttemptEnded(result) => self.on_attempt_ended(now, &result, actions),
            Event::LateCompletion(result) => self.on_late_completion(now, &result, actions),
            Event::ClientLeft { request } => self.on_client_left(now, request, actions),
            Event::TimerFired {
                token: TIMER_MAINTENANCE,
            } => self.maintain(now, actions),
            Event::TimerFired {
                token: TIMER_ENDPOINT_POLL,
            } => self.poll_endpoints(actions),
            Event::TimerFired { .. } => {}
        }
        self.send_queued(now, actions);
    }

    /// Returns the state of the concurrency limit, for monitoring.
    pub fn load(&self) -> Load {
        let limit = self.limiter.total;
        let slices = self.slices.iter().map(|slice| SliceLoad {
            limit: slice.limit(limit.floor()),
            in_flight: slice.in_flight,
            queued: slice.queue.len(),
        });
        Load {
            limit,
            in_flight: self.in_flight,
            slices: slices.collect(),
        }
    }

    /// Returns the priority of a request as a share of its class's weight, to be forwarded with it.
    pub fn priority_share(&self, request: RequestId) -> f64 {
        let request = self.requests.get(&request);
        let is_low = request.is_some_and(|r| r.slice != self.slices.index(r.class, false));
        if is_low {
            self.settings.over_quota_priority
        } else {
            1.0
        }
    }

    /// Sets how many balancers of one proxy send to the same backends. Each uses an equal part of
    /// a backend's slow-start budget.
    pub fn share_slow_start_budget(&mut self, balancers: usize) {
        self.slow_start_sharers = balancers.max(1) as f64;
    }

    /// Raises the limit to at least `limit`, for a value that was learned earlier.
    pub fn raise_limit_to(&mut self, limit: f64) {
        self.limiter.total = self.limiter.total.max(limit);
    }

    pub(crate) fn maintenance_period(&self) -> f64 {
        (self.settings.tick * MAINTENANCE_TICKS).max(1.0)
    }

    fn start(&mut self, now: f64, actions: &mut Vec<Action>) {
        self.is_started = true;
        self.last_maintenance = now;
        self.last_response = now;
        self.schedule_maintenance(actions);
        if self.settings.polls_endpoints {
            self.schedule_first_poll(actions);
        }
    }

    fn schedule_maintenance(&self, actions: &mut Vec<Action>) {
        actions.push(Action::SetTimer {
            delay: self.maintenance_period(),
            token: TIMER_MAINTENANCE,
        });
    }

    /// Closes the request and refunds its quota token, since a client that disconnects early
    /// usually sends the request again. Rejected and timed-out requests get no refund: otherwise
    /// a client that retries with short deadlines would never exceed its quota.
    fn on_client_left(&mut self, now: f64, id: RequestId, actions: &mut Vec<Action>) {
        let request = self.requests.get_mut(&id);
        if let Some(tenant) = request.and_then(|r| r.charged_tenant.take()) {
            self.quotas.refund(tenant);
        }
        self.close(now, id, actions);
    }

    fn maintain(&mut self, now: f64, actions: &mut Vec<Action>) {
        self.schedule_maintenance(actions);
        let elapsed = (now - self.last_maintenance).max(0.0);
        self.last_maintenance = now;
        self.limiter.advance(elapsed);
        let price = self.settings.objectives.cross_zone_price;
        self.spillover.advance(elapsed, price);
        self.resize_subset(elapsed);
        let decayed_peak = self.peak_in_flight * (1.0 - elapsed / PEAK_DECAY_MS);
        self.peak_in_flight = self.in_flight.max(decayed_peak);
        self.reject_expired_in_key_queues(now, actions);
        self.release_unblocked_keys(now);
        self.stop_counting_long_attempts(now);
        self.sweep_queues(now, actions);
        self.refill_slow_start_budgets(now, elapsed);
        self.eject_hung_backends(now);
    }
}
