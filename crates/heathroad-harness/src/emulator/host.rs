//! Emulated host of a backend: CPU cores, warm-up after a cold start, and crashes from overload. It
//! opens no sockets.

use crate::clock::{Clock, Micros, SECOND};
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::time::{Duration, Instant};
use tokio::sync::Semaphore;
use tokio::time::sleep;

/// Longest step of work, in microseconds, so that a change of speed takes effect soon.
const MAX_STEP_US: f64 = 5_000.0;
/// Length of the alternating periods with and without CPU steal.
const STEAL_PERIOD: Micros = SECOND;

/// Performance parameters of a host.
#[derive(Debug, Clone)]
pub struct HostSpec {
    /// Number of cores.
    pub cores: u16,
    /// Speed of each core relative to a standard core.
    pub speed: f64,
    /// Share of the capacity that is available right after a start.
    pub cold_capacity: f64,
    /// Time after a start until the full capacity is available.
    pub warm_up: Micros,
    /// Requests until the full capacity is available; replaces `warm_up` unless 0.
    pub warm_requests: u32,
    /// A cold process crashes when it is sent more than this multiple of its capacity.
    pub overload_multiple: f64,
    /// Window over which the work sent is summed up.
    pub overload_window: Micros,
}

impl HostSpec {
    /// Available share of the capacity at an age, after `completed` requests.
    pub fn warmth(&self, age: Micros, completed: u32) -> f64 {
        let progress = match self.warm_requests {
            0 => age as f64 / self.warm_up.max(1) as f64,
            n => f64::from(completed) / f64::from(n),
        };
        self.cold_capacity + (1.0 - self.cold_capacity) * progress.min(1.0)
    }

    /// Full capacity, in standard cores.
    pub fn capacity(&self) -> f64 {
        f64::from(self.cores) * self.speed
    }
}

/// Work sent to one process within the overload window. Emulators use it to crash, the checker to
/// detect overload in the event log.
#[derive(Debug, Default)]
pub struct OfferedLoad {
    recent: VecDeque<(Micros, u64)>,
    sum: u64,
}

impl OfferedLoad {
    /// Records work, and returns the work in the window that ends at `at` as a multiple of the
    /// available capacity.
    pub fn record(&mut self, spec: &HostSpec, at: Micros, work: u64, warmth: f64) -> f64 {
        self.recent.push_back((at, work));
        self.sum += work;
        while let Some((_, work)) = self
            .recent
            .front()
            .copied()
            .filter(|(t, _)| *t + spec.overload_window <= at)
        {
            self.recent.pop_front();
            self.sum -= work;
        }
        self.sum as f64 / (spec.capacity() * warmth * spec.overload_window as f64).max(1.0)
    }
}

/// A host with its current faults.
pub struct Host {
    /// Performance parameters.
    pub spec: HostSpec,
    clock: Clock,
    cores: Semaphore,
    /// Start time of the current process.
    pub started: Cell<Micros>,
    /// Whether the process is warm since before the run.
    pub warm: Cell<bool>,
    completed: Cell<u32>,
    offered_load: RefCell<OfferedLoad>,
    /// Factor by which it is slowed down.
    pub slowdown: Cell<f64>,
    /// Share of CPU time stolen by other programs in every other period.
    pub stolen_share: Cell<f64>,
}

impl Host {
    /// Creates a host with a warm process.
    pub fn new(spec: HostSpec, clock: Clock) -> Self {
        let cores = Semaphore::new(usize::from(spec.cores));
        let (started, warm, completed) = (Cell::new(0), Cell::new(true), Cell::new(0));
        let (slowdown, stolen_share) = (Cell::new(1.0), Cell::new(0.0));
        Host {
            spec,
            clock,
            cores,
            started,
            warm,
            completed,
            offered_load: RefCell::default(),
            slowdown,
            stolen_share,
        }
    }

    /// Starts a new, cold process.
    pub fn restart(&self) {
        self.started.set(self.clock.now());
        self.warm.set(false);
        self.completed.set(0);
        self.offered_load.take();
    }

    /// Available share of the capacity, regardless of slowdown and CPU steal.
    pub fn warmth(&self) -> f64 {
        if self.warm.get() {
            return 1.0;
        }
        self.spec.warmth(
            self.clock.now().saturating_sub(self.started.get()),
            self.completed.get(),
        )
    }

    /// Records work sent to it, and returns whether the process crashes from overload.
    pub fn check_overload(&self, work: u64) -> bool {
        let (now, warmth) = (self.clock.now(), self.warmth());
        let multiple = self
            .offered_load
            .borrow_mut()
            .record(&self.spec, now, work, warmth);
        warmth < 1.0 && multiple > self.spec.overload_multiple
    }

    fn speed(&self) -> f64 {
        let is_stealing = (self.clock.now() / STEAL_PERIOD).is_multiple_of(2);
        let available = if is_stealing {
            1.0 - self.stolen_share.get()
        } else {
            1.0
        };
        (self.spec.speed * self.warmth() * available / self.slowdown.get()).max(1e-3)
    }

    /// Runs work, in microseconds of a standard core, once a core is free. Each step counts with its
    /// elapsed time, so that late timers cost no capacity.
    pub async fn work(&self, mut work: f64) {
        // The semaphore is never closed.
        let _core = self.cores.acquire().await;
        while work > 0.0 {
            let speed = self.speed();
            let started_at = Instant::now();
            sleep(Duration::from_micros(
                (work / speed).clamp(100.0, MAX_STEP_US) as u64,
            ))
            .await;
            work -= started_at.elapsed().as_micros() as f64 * speed;
        }
        self.completed.set(self.completed.get().saturating_add(1));
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn spec() -> HostSpec {
        HostSpec {
            cores: 2,
            speed: 0.5,
            cold_capacity: 0.25,
            warm_up: 10 * SECOND,
            warm_requests: 0,
            overload_multiple: 3.0,
            overload_window: 2 * SECOND,
        }
    }

    #[test]
    fn capacity_grows_with_time_or_with_requests() {
        let by_time = spec();
        assert_eq!(
            [0, 5, 10, 20].map(|s| by_time.warmth(s * SECOND, 0)),
            [0.25, 0.625, 1.0, 1.0]
        );
        let by_requests = HostSpec {
            warm_requests: 10,
            ..spec()
        };
        assert_eq!(
            [0, 5, 10, 20].map(|n| by_requests.warmth(0, n)),
            [0.25, 0.625, 1.0, 1.0]
        );
    }

    /// At 0.2 of one standard core, 0.4 s of work fit into the window; three times that is allowed.
    #[test]
    fn offered_load_is_work_in_the_window_over_capacity() {
        let (spec, mut load) = (spec(), OfferedLoad::default());
        let record = |load: &mut OfferedLoad, at| load.record(&spec, at, SECOND / 10, 0.2);
        let multiples: Vec<f64> = (0..13).map(|i| record(&mut load, i * 1000)).collect();
        assert!(multiples[11] <= 3.0 && multiples[12] > 3.0, "{multiples:?}");
        assert!(
            record(&mut load, 4 * SECOND) < 0.3,
            "work before the window does not count"
        );
    }

    #[tokio::test]
    async fn work_waits_for_a_core_and_slowdown_delays_it() {
        let host = Host::new(
            HostSpec {
                speed: 1.0,
                ..spec()
            },
            Clock::starting_in(Duration::ZERO),
        );
        let started_at = Instant::now();
        let three = async { tokio::join!(host.work(2e4), host.work(2e4), host.work(2e4)) };
        three.await;
        let elapsed = started_at.elapsed();
        assert!(
            elapsed >= Duration::from_millis(40),
            "three tasks on two cores: {elapsed:?}"
        );
        host.slowdown.set(4.0);
        let started_at = Instant::now();
        host.work(2e4).await;
        assert!(started_at.elapsed() >= Duration::from_millis(80));
    }
}
