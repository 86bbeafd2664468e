//! Timing of requests to discovery.
//!
//! A silent watch is detected only by a missing response. Shorter timeouts detect it sooner, at the
//! cost of more requests.

use std::time::Duration;

/// The bounds of the drain grace from which the timing for an agent is derived. Below the lower
/// bound, scheduling delays of this process would cause needless hedged requests.
const DRAIN_GRACE_BOUNDS: [Duration; 2] = [Duration::from_millis(200), Duration::from_secs(2)];

/// The timing of requests for an endpoint list.
#[derive(Debug, Clone, Copy)]
pub(super) struct WatchTiming {
    /// The time for which discovery holds a watch request while there is no change.
    pub(super) long_poll: Duration,
    /// The time after the long poll when a watch response is overdue and a hedged request is sent.
    pub(super) watch_overdue: Duration,
    /// The time after which a response with the whole list is overdue.
    pub(super) list_overdue: Duration,
    /// The interval between further hedged requests.
    pub(super) hedge_interval: Duration,
    /// The maximum number of requests, hedged ones included. They count as failed one hedge
    /// interval after the last is sent.
    pub(super) max_requests: usize,
    /// The pause after the first failure. It doubles with each further failure.
    pub(super) min_backoff: Duration,
    /// The longest pause after a failure.
    pub(super) max_backoff: Duration,
}

impl WatchTiming {
    /// The timing for a list that is polled on demand from a service that all proxies share, which
    /// may be slow and bears the cost of each request. One hedged request completes before a change
    /// that a silent watch misses counts as announced, 2 s after the long poll.
    pub(super) const ON_DEMAND: WatchTiming = WatchTiming {
        long_poll: Duration::from_secs(10),
        watch_overdue: Duration::from_millis(500),
        // Longer than the service keeps a request in its queue.
        list_overdue: Duration::from_millis(2250),
        hedge_interval: Duration::from_millis(1000),
        max_requests: 2,
        min_backoff: Duration::from_millis(50),
        max_backoff: Duration::from_secs(1),
    };

    /// Returns the timing for a list from an agent on this machine, which responds at once and at
    /// little cost.
    ///
    /// A change counts as announced to this proxy as soon as the agent has it, and attempts to a
    /// draining backend must end within the drain grace. Requests sent during an outage of the
    /// agent may hang forever, so that a further request is sent within the drain grace, even if
    /// one more hangs.
    pub(super) fn for_agent(drain_grace: Duration) -> WatchTiming {
        let grace = drain_grace.clamp(DRAIN_GRACE_BOUNDS[0], DRAIN_GRACE_BOUNDS[1]);
        WatchTiming {
            long_poll: grace / 2,
            watch_overdue: grace / 5,
            list_overdue: grace / 5,
            hedge_interval: grace / 10,
            max_requests: 4,
            min_backoff: Duration::from_millis(50),
            max_backoff: Duration::from_millis(50),
        }
    }
}
