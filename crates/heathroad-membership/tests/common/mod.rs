//! A fleet of members on a simulated network, in simulated time.
#![allow(dead_code, reason = "each test file uses only some of the helpers")]

use heathroad_membership::authentication::Authenticator;
use heathroad_membership::claim::MemberState;
use heathroad_membership::protocol::{Config, Event, Membership, Settings};
use heathroad_membership::version::{Digest, Version};
use heathroad_membership::{MemberId, Millis};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashSet};

pub const KEY: &[u8] = b"a key of the test's own, long enough";
/// The Unix time in milliseconds at the start of a simulation.
pub const CLOCK_START: u64 = 1_790_000_000_000;

pub fn authenticator() -> Authenticator {
    Authenticator::new("kano", KEY).expect("the name and the key are valid")
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

/// Faults of the simulated network.
#[derive(Debug, Clone, Default)]
pub struct Faults {
    /// The probability that a datagram is lost.
    pub loss: f64,
    /// The probability that a datagram is duplicated.
    pub duplication: f64,
    /// The maximum delay. Each datagram has a random delay, so datagrams are reordered.
    pub delay: Millis,
    /// Blocked links, as pairs of sender and recipient.
    pub blocked: HashSet<(MemberId, MemberId)>,
}

/// The maximum number of datagrams that are buffered for a stalled member.
const MAX_BUFFERED_DATAGRAMS: usize = 200;

/// A datagram in flight: its arrival time, a unique number, its recipient, and its bytes.
type Delivery = (Millis, u64, MemberId, Vec<u8>);

pub struct SimulatedFleet {
    pub now: Millis,
    /// The running members; `None` for those that are not running.
    pub processes: Vec<Option<Membership>>,
    /// The end of the latest stall of each member, which buffers its datagrams.
    pub stalled_until: Vec<Millis>,
    pub faults: Faults,
    pub events: Vec<(Millis, MemberId, Event)>,
    pub datagrams_sent: Vec<u64>,
    pub bytes_sent: u64,
    pub longest_datagram: usize,
    rng: fastrand::Rng,
    queue: BinaryHeap<Reverse<Delivery>>,
    /// The datagrams that arrived for each member during a stall.
    receive_buffers: Vec<Vec<Vec<u8>>>,
    deliveries: u64,
    starts: u64,
    config: Config,
    size: u16,
    /// When each member has to be ticked next.
    due_times: Vec<Millis>,
}

impl SimulatedFleet {
    pub fn new(size: u16, seed: u64) -> SimulatedFleet {
        eprintln!("seed {seed}");
        let count = usize::from(size);
        let mut fleet = SimulatedFleet {
            now: 0,
            processes: vec![None; count],
            stalled_until: vec![0; count],
            faults: Faults {
                delay: 12,
                ..Faults::default()
            },
            events: Vec::new(),
            datagrams_sent: vec![0; count],
            bytes_sent: 0,
            longest_datagram: 0,
            rng: fastrand::Rng::with_seed(seed),
            queue: BinaryHeap::new(),
            receive_buffers: vec![Vec::new(); count],
            deliveries: 0,
            starts: 0,
            config: Config::default(),
            size,
            due_times: vec![0; count],
        };
        (0..size).for_each(|id| fleet.start(id));
        fleet
    }

    pub fn start(&mut self, id: MemberId) {
        self.starts += 1;
        self.start_with_incarnation(id, CLOCK_START + self.now + self.starts);
    }

    pub fn start_with_incarnation(&mut self, id: MemberId, incarnation: u64) {
        let seed = self.rng.u64(..);
        let mut membership = Membership::new(
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
        membership.set_active_version(version(1));
        self.receive_buffers[usize::from(id)].clear();
        self.processes[usize::from(id)] = Some(membership);
        self.due_times[usize::from(id)] = 0;
    }

    pub fn kill(&mut self, id: MemberId) {
        self.processes[usize::from(id)] = None;
    }

    pub fn stall(&mut self, id: MemberId, duration: Millis) {
        self.stalled_until[usize::from(id)] = self.now + duration;
    }

    /// Blocks all links between two groups of members, in both directions.
    pub fn partition(&mut self, one_side: &[MemberId], other_side: &[MemberId]) {
        for a in one_side {
            for b in other_side {
                self.faults.blocked.extend([(*a, *b), (*b, *a)]);
            }
        }
    }

    pub fn member(&self, id: MemberId) -> &Membership {
        self.processes[usize::from(id)]
            .as_ref()
            .expect("the member is running")
    }

    pub fn member_mut(&mut self, id: MemberId) -> &mut Membership {
        // The caller may change when the member is due.
        self.due_times[usize::from(id)] = 0;
        self.processes[usize::from(id)]
            .as_mut()
            .expect("the member is running")
    }

    /// Returns the state of `member` in the member table of `observer`.
    pub fn state_of(&self, member: MemberId, observer: MemberId) -> MemberState {
        let table = self.member(observer).members();
        table.get(member).expect("the id is in range").state
    }

    pub fn running(&self) -> Vec<MemberId> {
        (0..self.size)
            .filter(|id| self.processes[usize::from(*id)].is_some())
            .collect()
    }

    /// Delivers a datagram immediately.
    pub fn deliver(&mut self, to: MemberId, bytes: &[u8]) {
        let now = self.now;
        if let Some(membership) = &mut self.processes[usize::from(to)] {
            membership.receive(now, bytes);
        }
        self.collect_output(to);
    }

    /// Records the events of a member, and puts its datagrams on the network.
    fn collect_output(&mut self, id: MemberId) {
        let Some(membership) = &mut self.processes[usize::from(id)] else {
            return;
        };
        self.due_times[usize::from(id)] = membership.due();
        let (now, transmits): (_, Vec<_>) = (self.now, membership.transmits().collect());
        self.events
            .extend(membership.events().map(|event| (now, id, event)));
        for transmit in transmits {
            self.datagrams_sent[usize::from(id)] += 1;
            self.bytes_sent += transmit.bytes.len() as u64;
            self.longest_datagram = self.longest_datagram.max(transmit.bytes.len());
            let copies = 1 + u64::from(self.rng.f64() < self.faults.duplication);
            for _ in 0..copies {
                let is_lost = self.rng.f64() < self.faults.loss
                    || self.faults.blocked.contains(&(id, transmit.to));
                if !is_lost {
                    let delay = 1 + self.rng.u64(0..self.faults.delay.max(1));
                    self.deliveries += 1;
                    self.queue.push(Reverse((
                        now + delay,
                        self.deliveries,
                        transmit.to,
                        transmit.bytes.clone(),
                    )));
                }
            }
        }
    }

    /// Runs the simulation for this duration.
    pub fn run(&mut self, duration: Millis) {
        let end = self.now + duration;
        self.run_until(end, |_| false);
    }

    /// Runs the simulation until a condition holds, and returns the time; `None` if it does not
    /// hold by `end`.
    pub fn run_until(
        &mut self,
        end: Millis,
        condition: impl Fn(&SimulatedFleet) -> bool,
    ) -> Option<Millis> {
        while self.now < end {
            if self.now.is_multiple_of(20) && condition(self) {
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
                if self.stalled_until[usize::from(to)] > self.now {
                    let buffer = &mut self.receive_buffers[usize::from(to)];
                    if buffer.len() < MAX_BUFFERED_DATAGRAMS {
                        buffer.push(bytes);
                    }
                } else {
                    self.deliver(to, &bytes);
                }
            }
            for id in 0..self.size {
                let index = usize::from(id);
                if self.stalled_until[index] > self.now || self.processes[index].is_none() {
                    continue;
                }
                for bytes in std::mem::take(&mut self.receive_buffers[index]) {
                    self.deliver(id, &bytes);
                }
                let now = self.now;
                let membership = self.processes[index]
                    .as_mut()
                    .expect("the member is running");
                if self.due_times[index] <= now {
                    membership.tick(now);
                    self.collect_output(id);
                }
            }
        }
        condition(self).then_some(self.now)
    }

    /// Whether every running member knows exactly the running ones as alive, with their current
    /// incarnations and versions.
    pub fn has_converged(&self) -> bool {
        let running = self.running();
        running.iter().all(|observer| {
            (0..self.size).all(|id| {
                let table = self.member(*observer).members();
                let known = table.get(id).expect("the id is in range");
                match &self.processes[usize::from(id)] {
                    Some(other) => {
                        let active_version = other
                            .members()
                            .get(id)
                            .and_then(|member| member.active_version);
                        known.state == MemberState::Alive
                            && known.revision.incarnation == other.revision().incarnation
                            && known.active_version == active_version
                    }
                    None => known.state.is_final() || known.state == MemberState::Unknown,
                }
            })
        })
    }

    /// Returns the number of times that a member declared another one dead.
    pub fn death_count(&self) -> usize {
        self.events
            .iter()
            .filter(|(_, _, event)| matches!(event, Event::MemberDead { .. }))
            .count()
    }
}

/// Returns the path of a golden file.
pub fn golden(name: &str) -> std::path::PathBuf {
    std::path::Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/golden")
        .join(name)
}

/// Compares text with a golden file. On a difference, the panic message contains the actual text.
pub fn assert_golden(name: &str, actual: &str) {
    let expected = std::fs::read_to_string(golden(name)).unwrap_or_default();
    assert!(
        actual == expected,
        "{name} differs; actual text:\n{actual}<<<"
    );
}
