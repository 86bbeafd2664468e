//! A backend's machine: cores that work through time, a cold start, and falling over. No sockets
//! here.

use crate::clock::{Clock, Micros, SECOND};
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::time::{Duration, Instant};
use tokio::sync::Semaphore;
use tokio::time::sleep;

/// Work goes on in pieces no longer than this, so that a change of speed is felt soon.
const PIECE: f64 = 5_000.0;
/// What a program on the same machine takes it takes on and off, so long each.
const NEIGHBOUR: Micros = SECOND;

/// What a machine is made of.
#[derive(Debug, Clone)]
pub struct HostSpec {
    /// Cores.
    pub cores: u16,
    /// Speed of each; 1 is standard.
    pub speed: f64,
    /// Share of its capacity at which it starts.
    pub cold_capacity: f64,
    /// Time after which it is warm.
    pub warm_up: Micros,
    /// Requests after which it is warm, in place of time, if not 0.
    pub warm_requests: u32,
    /// It falls over when sent this multiple of what it can do ...
    pub overload_multiple: f64,
    /// ... for so long.
    pub overload_window: Micros,
}

impl HostSpec {
    /// Share of its capacity so long after its start, having run so many requests.
    pub fn warmth(&self, age: Micros, ran: u32) -> f64 {
        let grown = match self.warm_requests {
            0 => age as f64 / self.warm_up.max(1) as f64,
            n => f64::from(ran) / f64::from(n),
        };
        self.cold_capacity + (1.0 - self.cold_capacity) * grown.min(1.0)
    }

    /// Work a second that it can do when warm, as a share of a standard core's.
    pub fn capacity(&self) -> f64 {
        f64::from(self.cores) * self.speed
    }
}

/// The work sent to one process within the span that the fourth rule looks at. Stand-ins use it to
/// fall over, the judge to say so from the ledgers.
#[derive(Debug, Default)]
pub struct OfferedLoad {
    recent: VecDeque<(Micros, u64)>,
    sum: u64,
}

impl OfferedLoad {
    /// Takes note of work that came, and tells the multiple of what the machine can do at that
    /// moment, over the span that ends there.
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

/// A machine with what is wrong with it at the moment.
pub struct Host {
    /// What it is made of.
    pub spec: HostSpec,
    clock: Clock,
    cores: Semaphore,
    /// When its process started.
    pub started: Cell<Micros>,
    /// It ran before the rehearsal.
    pub warm: Cell<bool>,
    ran: Cell<u32>,
    pressure: RefCell<OfferedLoad>,
    /// So many times slower.
    pub slowdown: Cell<f64>,
    /// Share that a neighbour takes, when it does.
    pub stolen_share: Cell<f64>,
}

impl Host {
    /// A machine that has long been warm.
    pub fn new(spec: HostSpec, clock: Clock) -> Self {
        let cores = Semaphore::new(usize::from(spec.cores));
        let (started, warm, ran) = (Cell::new(0), Cell::new(true), Cell::new(0));
        let (crawl, neighbour) = (Cell::new(1.0), Cell::new(0.0));
        Host {
            spec,
            clock,
            cores,
            started,
            warm,
            ran,
            pressure: RefCell::default(),
            slowdown: crawl,
            stolen_share: neighbour,
        }
    }

    /// A new process starts on it, cold.
    pub fn restart(&self) {
        self.started.set(self.clock.now());
        self.warm.set(false);
        self.ran.set(0);
        self.pressure.take();
    }

    /// Its present share of its capacity, but for what strikes it from outside.
    pub fn warmth(&self) -> f64 {
        if self.warm.get() {
            return 1.0;
        }
        self.spec.warmth(
            self.clock.now().saturating_sub(self.started.get()),
            self.ran.get(),
        )
    }

    /// Takes note of work sent to it; whether it falls over by that.
    pub fn falls(&self, work: u64) -> bool {
        let (now, warmth) = (self.clock.now(), self.warmth());
        let pressure = self
            .pressure
            .borrow_mut()
            .record(&self.spec, now, work, warmth);
        warmth < 1.0 && pressure > self.spec.overload_multiple
    }

    fn speed(&self) -> f64 {
        let on = (self.clock.now() / NEIGHBOUR).is_multiple_of(2);
        let left = if on {
            1.0 - self.stolen_share.get()
        } else {
            1.0
        };
        (self.spec.speed * self.warmth() * left / self.slowdown.get()).max(1e-3)
    }

    /// Does work, in microseconds of a standard core, once a core is free. The time that a piece
    /// really took counts, so that late timers cost no capacity.
    pub async fn work(&self, mut work: f64) {
        // It is never closed.
        let _core = self.cores.acquire().await;
        while work > 0.0 {
            let speed = self.speed();
            let begun = Instant::now();
            sleep(Duration::from_micros(
                (work / speed).clamp(100.0, PIECE) as u64
            ))
            .await;
            work -= begun.elapsed().as_micros() as f64 * speed;
        }
        self.ran.set(self.ran.get().saturating_add(1));
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
    fn it_warms_by_time_or_by_requests() {
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

    /// A tenth of a second's work at a time: 3 x 0.2 x 2 s of one standard core in all are borne.
    #[test]
    fn pressure_is_the_work_of_the_last_span_over_what_could_be_done() {
        let (spec, mut pressure) = (spec(), OfferedLoad::default());
        let sent = |p: &mut OfferedLoad, at| p.record(&spec, at, SECOND / 10, 0.2);
        let multiples: Vec<f64> = (0..13).map(|i| sent(&mut pressure, i * 1000)).collect();
        assert!(multiples[11] <= 3.0 && multiples[12] > 3.0, "{multiples:?}");
        assert!(
            sent(&mut pressure, 4 * SECOND) < 0.3,
            "what is older counts no longer"
        );
    }

    #[tokio::test]
    async fn cores_are_shared_and_a_crawl_slows_them() {
        let host = Host::new(
            HostSpec {
                speed: 1.0,
                ..spec()
            },
            Clock::starting_in(Duration::ZERO),
        );
        let begun = Instant::now();
        let three = async { tokio::join!(host.work(2e4), host.work(2e4), host.work(2e4)) };
        three.await;
        let calm = begun.elapsed();
        assert!(
            calm >= Duration::from_millis(40),
            "three calls on two cores: {calm:?}"
        );
        host.slowdown.set(4.0);
        let begun = Instant::now();
        host.work(2e4).await;
        assert!(begun.elapsed() >= Duration::from_millis(80));
    }
}
