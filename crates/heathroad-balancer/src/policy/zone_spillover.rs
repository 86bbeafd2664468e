//! Zone spillover: the share of attempts that leave this replica's zone if crossing zones has a
//! price.
//!
//! A proportional-integral controller sets the share. Its error is the excess latency of the local
//! zone over the other zones, minus the price of crossing.

use crate::api::BackendId;
use crate::balancer::Balancer;

/// Price of crossing zones up to which all zones are treated as one, since pooling them is worth
/// more.
const NEGLIGIBLE_PRICE: f64 = 0.01;
/// Excess of the mean latency that equals a price of 1, in latency objectives. Tail latencies grow
/// by far more than the mean.
const OBJECTIVES_PER_PRICE: f64 = 0.25;
/// Gain of the proportional term.
const PROPORTIONAL_GAIN: f64 = 1.0;
/// Gain of the integral term per second; higher gains oscillate because queues delay the feedback.
const INTEGRAL_GAIN_PER_S: f64 = 0.4;
/// Time in which a latency excess decays, in ms, so that a zone without traffic is tried again.
const EXCESS_DECAY_MS: f64 = 8000.0;
/// Weight of one response in a latency excess.
const EXCESS_STEP: f64 = 0.1;

/// The state of the spillover controller.
#[derive(Default)]
pub(crate) struct ZoneSpillover {
    share: f64,
    integral: f64,
    /// Mean latency above the baseline in this replica's zone, in latency objectives.
    local_excess: f64,
    /// Mean latency above the baseline in other zones, in latency objectives.
    remote_excess: f64,
}

impl ZoneSpillover {
    /// Returns the share of attempts to send to other zones.
    pub fn share(&self) -> f64 {
        self.share
    }

    /// Records the latency excess of a response, in latency objectives.
    pub fn record_excess(&mut self, is_remote: bool, excess: f64) {
        let mean = if is_remote {
            &mut self.remote_excess
        } else {
            &mut self.local_excess
        };
        *mean += (excess - *mean) * EXCESS_STEP;
    }

    /// Updates the share; `elapsed` is the time since the last call.
    pub fn advance(&mut self, elapsed: f64, cross_zone_price: f64) {
        self.local_excess -= self.local_excess * elapsed / EXCESS_DECAY_MS;
        self.remote_excess -= self.remote_excess * elapsed / EXCESS_DECAY_MS;
        let error =
            self.local_excess - self.remote_excess - cross_zone_price * OBJECTIVES_PER_PRICE;
        let step = INTEGRAL_GAIN_PER_S * error * elapsed / 1000.0;
        self.integral = (self.integral + step).clamp(0.0, 1.0);
        self.share = (self.integral + PROPORTIONAL_GAIN * error).clamp(0.0, 1.0);
    }
}

impl Balancer {
    pub(crate) fn is_in_other_zone(&self, id: BackendId) -> bool {
        self.backends[&id].endpoint.zone != self.settings.zone
    }

    /// Returns whether the price of crossing zones is high enough to prefer the local zone.
    pub(crate) fn is_cross_zone_priced(&self) -> bool {
        self.settings.objectives.cross_zone_price > NEGLIGIBLE_PRICE
    }
}
