//! A simulated fleet: members on a simulated network, in simulated time.
#![allow(dead_code, reason = "each test file uses its part of it")]

use heathroad_membership::authentication::Authenticator;
use heathroad_membership::claim::MemberState;
use heathroad_membership::protocol::{Config, Event, Membership, Settings};
use heathroad_membership::version::{Digest, Version};
use heathroad_membership::{MemberId, Millis};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashSet};

pub const KEY: &[u8] = b"a key of the test's own, long enough";
/// Unix time in milliseconds at which the simulated clocks start.
pub const EPOCH: u64 = 1_790_000_000_000;

pub fn authenticator() -> Authenticator {
    Authenticator::new("kano", KEY).expect("a good name and key")
}

pub fn version(generation: u64) -> Version {
    let (build, routes) = ("0.2.0".to_string(), Digest::of(&generation.to_be_bytes()));
    Version {
        build,
        protocols: [1, 1],
        generation,
        routes,
        ..Version::default()
    }
}

/// The faults of the network.
#[derive(Debug, Clone, Default)]
pub struct Faults {
    /// The share of datagrams that are lost.
    pub loss: f64,
    /// The share of datagrams that arrive twice.
    pub duplication: f64,
    /// The longest delay in milliseconds. Each datagram has a random delay, so that they arrive out
    /// of order.
    pub delay: Millis,
    /// Links on which nothing arrives, from the first member to the second.
    pub blocked: HashSet<(MemberId, MemberId)>,
}

/// When a datagram arrives, its number, its recipient, and its bytes.
type Delivery = (Millis, u64, MemberId, Vec<u8>);

pub struct World {
    pub now: Millis,
    pub processes: Vec<Option<Membership>>,
    /// Until when each member is stalled; its datagrams wait.
    pub stalled: Vec<Millis>,
    pub faults: Faults,
    pub events: Vec<(Millis, MemberId, Event)>,
    pub sent: Vec<u64>,
    pub bytes: u64,
    pub longest: usize,
    rng: fastrand::Rng,
    queue: BinaryHeap<Reverse<Delivery>>,
    waiting: Vec<Vec<Vec<u8>>>,
    count: u64,
    starts: u64,
    config: Config,
    size: u16,
    /// When each member is due.
    due_times: Vec<Millis>,
}

impl World {
    pub fn new(size: u16, seed: u64) -> World {
        eprintln!("seed {seed}");
        let n = usize::from(size);
        let mut world = World {
            now: 0,
            processes: vec![None; n],
            stalled: vec![0; n],
            faults: Faults {
                delay: 12,
                ..Faults::default()
            },
            events: Vec::new(),
            sent: vec![0; n],
            bytes: 0,
            longest: 0,
            rng: fastrand::Rng::with_seed(seed),
            queue: BinaryHeap::new(),
            waiting: vec![Vec::new(); n],
            count: 0,
            starts: 0,
            config: Config::default(),
            size,
            due_times: vec![0; n],
        };
        (0..size).for_each(|id| world.start(id));
        world
    }

    pub fn start(&mut self, id: MemberId) {
        self.starts += 1;
        self.start_in(id, EPOCH + self.now + self.starts);
    }

    pub fn start_in(&mut self, id: MemberId, incarnation: u64) {
        let seed = self.rng.u64(..);
        let mut fleet = Membership::new(
            self.now,
            Settings {
                authenticator: authenticator(),
                id,
                fleet_size: self.size,
                incarnation,
                seed,
                config: self.config.clone(),
            },
        );
        fleet.set_active_version(version(1));
        self.waiting[usize::from(id)].clear();
        self.processes[usize::from(id)] = Some(fleet);
        self.due_times[usize::from(id)] = 0;
    }

    pub fn kill(&mut self, id: MemberId) {
        self.processes[usize::from(id)] = None;
    }

    pub fn stall(&mut self, id: MemberId, time: Millis) {
        self.stalled[usize::from(id)] = self.now + time;
    }

    /// Blocks all links between two sides, in both directions.
    pub fn partition(&mut self, one: &[MemberId], other: &[MemberId]) {
        for a in one {
            for b in other {
                self.faults.blocked.extend([(*a, *b), (*b, *a)]);
            }
        }
    }

    pub fn member(&self, id: MemberId) -> &Membership {
        self.processes[usize::from(id)].as_ref().expect("it runs")
    }

    pub fn member_mut(&mut self, id: MemberId) -> &mut Membership {
        // What it is told may make it due earlier.
        self.due_times[usize::from(id)] = 0;
        self.processes[usize::from(id)].as_mut().expect("it runs")
    }

    pub fn state_of(&self, of: MemberId, at: MemberId) -> MemberState {
        self.member(at).members().get(of).expect("a member").state
    }

    pub fn running(&self) -> Vec<MemberId> {
        (0..self.size)
            .filter(|p| self.processes[usize::from(*p)].is_some())
            .collect()
    }

    /// Delivers a datagram now.
    pub fn deliver(&mut self, to: MemberId, bytes: &[u8]) {
        let now = self.now;
        if let Some(fleet) = &mut self.processes[usize::from(to)] {
            fleet.receive(now, bytes);
        }
        self.collect(to);
    }

    fn collect(&mut self, id: MemberId) {
        let Some(fleet) = &mut self.processes[usize::from(id)] else {
            return;
        };
        self.due_times[usize::from(id)] = fleet.due();
        let (now, transmits): (_, Vec<_>) = (self.now, fleet.transmits().collect());
        self.events
            .extend(fleet.events().map(|event| (now, id, event)));
        for transmit in transmits {
            self.sent[usize::from(id)] += 1;
            self.bytes += transmit.bytes.len() as u64;
            self.longest = self.longest.max(transmit.bytes.len());
            let copies = 1 + u64::from(self.rng.f64() < self.faults.duplication);
            for _ in 0..copies {
                let lost = self.rng.f64() < self.faults.loss
                    || self.faults.blocked.contains(&(id, transmit.to));
                if !lost {
                    let delay = 1 + self.rng.u64(0..self.faults.delay.max(1));
                    self.count += 1;
                    self.queue.push(Reverse((
                        now + delay,
                        self.count,
                        transmit.to,
                        transmit.bytes.clone(),
                    )));
                }
            }
        }
    }

    /// Runs for this time.
    pub fn run(&mut self, time: Millis) {
        let end = self.now + time;
        self.run_until(end, |_| false);
    }

    /// Runs until a condition holds, and returns when it did; none if the end comes first.
    pub fn run_until(&mut self, end: Millis, holds: impl Fn(&World) -> bool) -> Option<Millis> {
        while self.now < end {
            if self.now.is_multiple_of(20) && holds(self) {
                return Some(self.now);
            }
            self.now += 1;
            while self
                .queue
                .peek()
                .is_some_and(|Reverse((at, ..))| *at <= self.now)
            {
                let Some(Reverse((_, _, to, bytes))) = self.queue.pop() else {
                    break;
                };
                if self.stalled[usize::from(to)] > self.now {
                    // The socket's buffer holds some of them.
                    let waiting = &mut self.waiting[usize::from(to)];
                    if waiting.len() < 200 {
                        waiting.push(bytes);
                    }
                } else {
                    self.deliver(to, &bytes);
                }
            }
            for id in 0..self.size {
                let at = usize::from(id);
                if self.stalled[at] > self.now || self.processes[at].is_none() {
                    continue;
                }
                for bytes in std::mem::take(&mut self.waiting[at]) {
                    self.deliver(id, &bytes);
                }
                let now = self.now;
                let fleet = self.processes[at].as_mut().expect("it runs");
                if self.due_times[at] <= now {
                    fleet.tick(now);
                    self.collect(id);
                }
            }
        }
        holds(self).then_some(self.now)
    }

    /// Whether every running member knows that exactly the running ones are alive, in their present
    /// incarnations, and which version each runs.
    pub fn agrees(&self) -> bool {
        let running = self.running();
        running.iter().all(|at| {
            (0..self.size).all(|of| {
                let known = self.member(*at).members().get(of).expect("a member");
                match &self.processes[usize::from(of)] {
                    Some(other) => {
                        let acts =
                            |f: &Membership| f.members().get(of).and_then(|m| m.active_version);
                        known.state == MemberState::Alive
                            && known.revision.incarnation == other.revision().incarnation
                            && acts(self.member(*at)) == acts(other)
                    }
                    None => known.state.is_final() || known.state == MemberState::Unknown,
                }
            })
        })
    }

    /// Returns how often a member was declared dead.
    pub fn false_deaths(&self) -> usize {
        self.events
            .iter()
            .filter(|(_, _, n)| matches!(n, Event::MemberDead { .. }))
            .count()
    }
}

/// Returns the path of a golden file.
pub fn golden(name: &str) -> std::path::PathBuf {
    std::path::Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/golden")
        .join(name)
}

/// Compares with a golden file; on a difference the actual text is printed in full.
pub fn assert_golden(name: &str, actual: &str) {
    let expected = std::fs::read_to_string(golden(name)).unwrap_or_default();
    assert!(
        actual == expected,
        "{name} differs; it is now:\n{actual}<<<"
    );
}
