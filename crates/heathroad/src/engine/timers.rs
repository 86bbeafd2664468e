//! The deadlines of a request, and the timers that the engine starts.

use super::Engine;
use super::response::Response;
use crate::runtime_accounting::{sleep, sleep_until, spawn_local};
use crate::stall_detector;
use heathroad_balancer::api::{Event, RequestId};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// A deadline counts from the client's send, and the response has yet to reach it: this time is for
/// the way. It covers a stall that went undetected when the request arrived.
pub(super) const TRANSIT_TIME: Duration = stall_detector::DETECTION_THRESHOLD;
/// A client waits so long after its deadline, by the protocol: 20 ms, and 50 ms more on sockets.
pub(super) const CLIENT_GRACE: Duration = Duration::from_millis(70);
/// The decision module's deadline lies so much before the client's. A request is then answered in
/// time though the process stalls just then, and stalled undetected when the request arrived.
pub(super) const MAX_DEADLINE_MARGIN: Duration = stall_detector::MAX_TOLERATED_STALL
    .saturating_add(stall_detector::DETECTION_THRESHOLD)
    .saturating_sub(CLIENT_GRACE);
/// The margin takes no more than this fraction of the client's timeout, as a divisor: a short
/// timeout leaves time for work.
const DEADLINE_MARGIN_DIVISOR: u32 = 2;
/// A request without a response at this fraction of the margin, as a divisor, times out whatever
/// the decision module says.
const WATCHDOG_MARGIN_DIVISOR: u32 = 2;

/// Returns how long before a client's deadline the decision module's lies.
pub(super) fn deadline_margin(timeout: Duration) -> Duration {
    MAX_DEADLINE_MARGIN
        .min(timeout / DEADLINE_MARGIN_DIVISOR)
        .max(TRANSIT_TIME)
}

/// The moments that bound a request.
#[derive(Debug, Clone, Copy)]
pub(super) struct Deadlines {
    /// The decision module decides until then.
    pub(super) decision: Instant,
    /// Backends are told to be done by then.
    pub(super) backend: Instant,
    /// The request times out then, whatever the decision module says.
    pub(super) watchdog: Instant,
    /// A response after this is a violation.
    pub(super) client: Instant,
}

impl Deadlines {
    /// Returns the deadlines of a request whose client waits so long. All but the client's own lie
    /// before the end of a planned stop.
    pub(super) fn new(received_at: Instant, timeout: Duration, stop_at: Option<Instant>) -> Self {
        let until_stop = stop_at.map(|stop_at| stop_at.saturating_duration_since(received_at));
        let limit = until_stop.map_or(timeout, |until_stop| timeout.min(until_stop));
        let margin = deadline_margin(limit);
        let watchdog_margin = (margin / WATCHDOG_MARGIN_DIVISOR).min(limit);
        Deadlines {
            decision: received_at + limit.saturating_sub(margin),
            backend: received_at + limit.saturating_sub(TRANSIT_TIME),
            watchdog: received_at + limit - watchdog_margin,
            client: received_at + timeout + CLIENT_GRACE,
        }
    }
}

impl Engine {
    /// Notifies the decision module of a wake-up after a delay.
    pub(super) fn schedule_wakeup(self: &Rc<Self>, delay: Duration, token: u64) {
        let engine = self.clone();
        spawn_local(async move {
            sleep(delay).await;
            engine.notify(Event::TimerFired { token });
        });
    }

    /// Times out all requests that are still open at a planned stop, and admits none that would
    /// last longer.
    pub fn end_requests_at(self: &Rc<Self>, stop_at: Instant) {
        self.stop_at.set(Some(stop_at));
        let engine = self.clone();
        spawn_local(async move {
            sleep_until(stop_at).await;
            engine.time_out_all_requests();
        });
    }

    fn time_out_all_requests(self: &Rc<Self>) {
        let open: Vec<RequestId> = {
            let state = &mut *self.state.borrow_mut();
            tracing::debug!(
                open = state.requests.len(),
                reason = "stop",
                "requests ended"
            );
            let requests = state.requests.values_mut();
            requests.for_each(|request| request.respond(Response::TimedOut));
            state.requests.keys().copied().collect()
        };
        for request in open {
            self.notify(Event::ClientLeft { request });
        }
    }
}

#[cfg(test)]
#[path = "../../tests/unit/engine_timers.rs"]
mod tests;
