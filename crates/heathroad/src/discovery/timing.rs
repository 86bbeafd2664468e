//! The timing of requests to discovery.
//!
//! A watch that has fallen silent shows only by the response that does not come. The sooner it is
//! noticed, the fewer changes are missed, and the more requests are sent.

use std::time::Duration;

/// The bounds of the drain grace that the timing of a pushed list is derived from. Below the lower
/// one, requests of a process that is late itself would pile up.
const DRAIN_GRACE_BOUNDS: [Duration; 2] = [Duration::from_millis(200), Duration::from_secs(2)];

/// The timing of requests for an endpoint list.
#[derive(Debug, Clone, Copy)]
pub(super) struct WatchTiming {
    /// How long discovery holds a watch request back until there is a change.
    pub(super) long_poll: Duration,
    /// A watch response that is later than the long poll by this is overdue, and a hedged request
    /// is sent.
    pub(super) watch_overdue: Duration,
    /// A response with the whole list is overdue after this.
    pub(super) list_overdue: Duration,
    /// The interval between further hedged requests.
    pub(super) hedge_interval: Duration,
    /// The maximum number of concurrent requests. One interval after the last of them, all count as
    /// failed.
    pub(super) max_requests: usize,
    /// The shortest pause after a failure. It doubles with each further one.
    pub(super) min_backoff: Duration,
    /// The longest pause after a failure.
    pub(super) max_backoff: Duration,
}

impl WatchTiming {
    /// The timing for a list that is polled on demand. One service serves all proxies, at times
    /// late, and each request costs it work. A silent watch is noticed in time for one hedged
    /// request before a missed change counts as announced, 2 s after the long poll.
    pub(super) const ON_DEMAND: WatchTiming = WatchTiming {
        long_poll: Duration::from_secs(10),
        watch_overdue: Duration::from_millis(500),
        // By then the service has rejected a request that waited too long in its queue.
        list_overdue: Duration::from_millis(2250),
        hedge_interval: Duration::from_millis(1000),
        max_requests: 2,
        min_backoff: Duration::from_millis(50),
        max_backoff: Duration::from_secs(1),
    };

    /// Returns the timing for a list that is pushed to an agent on this machine, which responds at
    /// once and at no cost.
    ///
    /// What the agent has counts as announced to this proxy, also what it gets at the end of an
    /// outage, and a request from before then may hang forever. So whenever the agent falls silent,
    /// a further request is sent within the drain grace, in which sends to a draining backend have
    /// to end; and one such request may hang as well.
    pub(super) fn pushed(drain_grace: Duration) -> WatchTiming {
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
