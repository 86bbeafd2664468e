//! Zone spillover: the share of attempts that leave this replica's zone, where crossing has a
//! price.
//!
//! A proportional-integral controller weighs how much slower responses are in the zone than beyond
//! it, less the price of crossing.

use crate::api::BackendId;
use crate::balancer::Balancer;

/// A price of crossing up to which pooling all zones is worth more.
const NEGLIGIBLE_PRICE: f64 = 0.01;
/// Latency objectives that a mean may grow by to save a crossing: the slowest grow by far more.
const OBJECTIVES_PER_PRICE: f64 = 0.25;
/// Gain of the proportional part.
const PROPORTIONAL_GAIN: f64 = 1.0;
/// Gain of the integral part, a second: behind a queue, haste makes it swing.
const INTEGRAL_GAIN_PER_S: f64 = 0.4;
/// Time in which a latency excess fades, in ms: a zone that was left altogether gives no responses
/// and is tried again.
const FADE_MS: f64 = 8000.0;
/// Weight of one response in a latency excess.
const EXCESS_STEP: f64 = 0.1;

/// How much of the load leaves the zone.
#[derive(Default)]
pub(crate) struct ZoneSpillover {
    share: f64,
    integral: f64,
    /// Latency over the baseline, in latency objectives, of responses from the replica's zone.
    local_excess: f64,
    /// The same of responses from other zones.
    remote_excess: f64,
}

impl ZoneSpillover {
    /// Returns the share of attempts that are to leave the zone.
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

    /// Moves the share after some time has passed.
    pub fn advance(&mut self, passed: f64, cross_zone_price: f64) {
        self.local_excess -= self.local_excess * passed / FADE_MS;
        self.remote_excess -= self.remote_excess * passed / FADE_MS;
        let error =
            self.local_excess - self.remote_excess - cross_zone_price * OBJECTIVES_PER_PRICE;
        let step = INTEGRAL_GAIN_PER_S * error * passed / 1000.0;
        self.integral = (self.integral + step).clamp(0.0, 1.0);
        self.share = (self.integral + PROPORTIONAL_GAIN * error).clamp(0.0, 1.0);
    }
}

impl Balancer {
    pub(crate) fn is_in_other_zone(&self, id: BackendId) -> bool {
        self.backends[&id].endpoint.zone != self.settings.zone
    }

    /// Returns whether crossing zones costs enough to keep requests in the zone.
    pub(crate) fn is_cross_zone_priced(&self) -> bool {
        self.settings.objectives.cross_zone_price > NEGLIGIBLE_PRICE
    }
}
