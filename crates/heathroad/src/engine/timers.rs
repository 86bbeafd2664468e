//! The deadlines of a request, and the timers that the engine starts.

use super::Engine;
use super::response::Response;
use crate::runtime_accounting::{sleep, sleep_until, spawn_local};
use crate::stall_detector;
use heathroad_balancer::api::{Event, RequestId};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// Time reserved for the transit of request and response, since the client's deadline counts from
/// its send. It also covers a stall that was not detected when the request arrived.
pub(super) const TRANSIT_TIME: Duration = stall_detector::DETECTION_THRESHOLD;
/// How long a client waits after its deadline: 20 ms by the protocol, plus 50 ms on sockets.
pub(super) const CLIENT_GRACE: Duration = Duration::from_millis(70);
/// How long before the client's deadline the decision module's deadline is. The margin covers an
/// undetected stall at the request's arrival and a tolerated stall before the response.
pub(super) const MAX_DEADLINE_MARGIN: Duration = stall_detector::MAX_TOLERATED_STALL
    .saturating_add(stall_detector::DETECTION_THRESHOLD)
    .saturating_sub(CLIENT_GRACE);
/// The margin is at most the client's timeout divided by this, so that short timeouts leave time
/// for attempts.
const DEADLINE_MARGIN_DIVISOR: u32 = 2;
/// The watchdog deadline precedes the client's deadline by the margin divided by this.
const WATCHDOG_MARGIN_DIVISOR: u32 = 2;

/// Returns how long before the client's deadline the decision module's deadline is.
pub(super) fn deadline_margin(timeout: Duration) -> Duration {
    MAX_DEADLINE_MARGIN
        .min(timeout / DEADLINE_MARGIN_DIVISOR)
        .max(TRANSIT_TIME)
}

/// The deadlines of a request.
#[derive(Debug, Clone, Copy)]
pub(super) struct Deadlines {
    /// The decision module's deadline.
    pub(super) decision: Instant,
    /// The deadline sent to backends.
    pub(super) backend: Instant,
    /// The engine times the request out if the decision module has not responded.
    pub(super) watchdog: Instant,
    /// A later response is a violation.
    pub(super) client: Instant,
}

impl Deadlines {
    /// Returns the deadlines of a request with the client's timeout. All but the client's deadline
    /// are before the end of a graceful shutdown.
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
    /// Starts a timer of the decision module.
    pub(super) fn schedule_wakeup(self: &Rc<Self>, delay: Duration, token: u64) {
        let engine = self.clone();
        spawn_local(async move {
            sleep(delay).await;
            engine.notify(Event::TimerFired { token });
        });
    }

    /// Sets the end of a graceful shutdown: open requests time out then, and the deadlines of new
    /// requests are limited to it.
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
                reason = "shutdown",
                "open requests timed out"
            );
            let requests = state.requests.values_mut();
            requests.for_each(|request| {
                request.respond(Response::TimedOut);
            });
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
