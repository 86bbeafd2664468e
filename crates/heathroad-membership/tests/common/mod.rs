//! A fleet on a network of the test's own, in time of the test's own.
#![allow(dead_code, reason = "each test file uses its part of it")]

use heathroad_membership::authentication::Authenticator;
use heathroad_membership::claim::MemberState;
use heathroad_membership::protocol::{Config, Event, Membership, Settings};
use heathroad_membership::version::{Digest, Version};
use heathroad_membership::{MemberId, Millis};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashSet};

pub const KEY: &[u8] = b"a key of the test's own, long enough";
/// Unix time at which the test's clocks start.
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

/// What may go wrong with a datagram.
#[derive(Debug, Clone, Default)]
pub struct Faults {
    /// Share lost.
    pub loss: f64,
    /// Share that comes twice.
    pub twice: f64,
    /// Longest way, in milliseconds; each takes some time of its own, so that they overtake each other.
    pub delay: Millis,
    /// Ways on which nothing comes through.
    pub cut: HashSet<(MemberId, MemberId)>,
}

/// When a datagram comes, its number, to whom, and what it is.
type Due = (Millis, u64, MemberId, Vec<u8>);

pub struct World {
    pub now: Millis,
    pub fleets: Vec<Option<Membership>>,
    /// Stalled until then: their datagrams wait.
    pub stalled: Vec<Millis>,
    pub faults: Faults,
    pub news: Vec<(Millis, MemberId, Event)>,
    pub sent: Vec<u64>,
    pub bytes: u64,
    pub longest: usize,
    rng: fastrand::Rng,
    queue: BinaryHeap<Reverse<Due>>,
    waiting: Vec<Vec<Vec<u8>>>,
    count: u64,
    lives: u64,
    config: Config,
    members: u16,
    /// When each is to be told of the time, as it said last.
    dues: Vec<Millis>,
}

impl World {
    pub fn new(members: u16, seed: u64) -> World {
        eprintln!("seed {seed}");
        let n = usize::from(members);
        let mut world = World {
            now: 0,
            fleets: vec![None; n],
            stalled: vec![0; n],
            faults: Faults {
                delay: 12,
                ..Faults::default()
            },
            news: Vec::new(),
            sent: vec![0; n],
            bytes: 0,
            longest: 0,
            rng: fastrand::Rng::with_seed(seed),
            queue: BinaryHeap::new(),
            waiting: vec![Vec::new(); n],
            count: 0,
            lives: 0,
            config: Config::default(),
            members,
            dues: vec![0; n],
        };
        (0..members).for_each(|place| world.start(place));
        world
    }

    pub fn start(&mut self, place: MemberId) {
        self.lives += 1;
        self.start_in(place, EPOCH + self.now + self.lives);
    }

    pub fn start_in(&mut self, place: MemberId, life: u64) {
        let seed = self.rng.u64(..);
        let mut fleet = Membership::new(
            self.now,
            Settings {
                authenticator: authenticator(),
                id: place,
                fleet_size: self.members,
                incarnation: life,
                seed,
                config: self.config.clone(),
            },
        );
        fleet.set_active_version(version(1));
        self.waiting[usize::from(place)].clear();
        self.fleets[usize::from(place)] = Some(fleet);
        self.dues[usize::from(place)] = 0;
    }

    pub fn kill(&mut self, place: MemberId) {
        self.fleets[usize::from(place)] = None;
    }

    pub fn stall(&mut self, place: MemberId, time: Millis) {
        self.stalled[usize::from(place)] = self.now + time;
    }

    /// Nothing goes from the one side to the other, nor back.
    pub fn cut(&mut self, one: &[MemberId], other: &[MemberId]) {
        for a in one {
            for b in other {
                self.faults.cut.extend([(*a, *b), (*b, *a)]);
            }
        }
    }

    pub fn fleet(&self, place: MemberId) -> &Membership {
        self.fleets[usize::from(place)].as_ref().expect("it runs")
    }

    pub fn fleet_mut(&mut self, place: MemberId) -> &mut Membership {
        // It may be told something of which it wants to do more soon.
        self.dues[usize::from(place)] = 0;
        self.fleets[usize::from(place)].as_mut().expect("it runs")
    }

    pub fn standing(&self, of: MemberId, at: MemberId) -> MemberState {
        self.fleet(at).members().get(of).expect("a member").state
    }

    pub fn running(&self) -> Vec<MemberId> {
        (0..self.members)
            .filter(|p| self.fleets[usize::from(*p)].is_some())
            .collect()
    }

    /// Brings a datagram to somebody now.
    pub fn bring(&mut self, to: MemberId, bytes: &[u8]) {
        let now = self.now;
        if let Some(fleet) = &mut self.fleets[usize::from(to)] {
            fleet.receive(now, bytes);
        }
        self.collect(to);
    }

    fn collect(&mut self, place: MemberId) {
        let Some(fleet) = &mut self.fleets[usize::from(place)] else {
            return;
        };
        self.dues[usize::from(place)] = fleet.due();
        let (now, sends): (_, Vec<_>) = (self.now, fleet.transmits().collect());
        self.news
            .extend(fleet.events().map(|news| (now, place, news)));
        for send in sends {
            self.sent[usize::from(place)] += 1;
            self.bytes += send.bytes.len() as u64;
            self.longest = self.longest.max(send.bytes.len());
            let copies = 1 + u64::from(self.rng.f64() < self.faults.twice);
            for _ in 0..copies {
                let lost = self.rng.f64() < self.faults.loss
                    || self.faults.cut.contains(&(place, send.to));
                if !lost {
                    let way = 1 + self.rng.u64(0..self.faults.delay.max(1));
                    self.count += 1;
                    self.queue.push(Reverse((
                        now + way,
                        self.count,
                        send.to,
                        send.bytes.clone(),
                    )));
                }
            }
        }
    }

    /// Runs for so long.
    pub fn run(&mut self, time: Millis) {
        let end = self.now + time;
        self.run_until(end, |_| false);
    }

    /// Runs until something holds, or the time is over: when it held.
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
                    // The system keeps some for it.
                    let waiting = &mut self.waiting[usize::from(to)];
                    if waiting.len() < 200 {
                        waiting.push(bytes);
                    }
                } else {
                    self.bring(to, &bytes);
                }
            }
            for place in 0..self.members {
                let at = usize::from(place);
                if self.stalled[at] > self.now || self.fleets[at].is_none() {
                    continue;
                }
                for bytes in std::mem::take(&mut self.waiting[at]) {
                    self.bring(place, &bytes);
                }
                let now = self.now;
                let fleet = self.fleets[at].as_mut().expect("it runs");
                if self.dues[at] <= now {
                    fleet.tick(now);
                    self.collect(place);
                }
            }
        }
        holds(self).then_some(self.now)
    }

    /// Everybody who runs takes exactly those who run for there, with the version that each acts on.
    pub fn agree(&self) -> bool {
        let running = self.running();
        running.iter().all(|at| {
            (0..self.members).all(|of| {
                let known = self.fleet(*at).members().get(of).expect("a member");
                match &self.fleets[usize::from(of)] {
                    Some(other) => {
                        let acts =
                            |f: &Membership| f.members().get(of).and_then(|m| m.active_version);
                        known.state == MemberState::Alive
                            && known.revision.incarnation == other.revision().incarnation
                            && acts(self.fleet(*at)) == acts(other)
                    }
                    None => known.state.is_final() || known.state == MemberState::Unknown,
                }
            })
        })
    }

    /// Members that were taken for gone while they ran.
    pub fn false_deaths(&self) -> usize {
        self.news
            .iter()
            .filter(|(_, _, n)| matches!(n, Event::MemberDead { .. }))
            .count()
    }
}

/// A golden file: what an earlier program wrote.
pub fn golden(name: &str) -> std::path::PathBuf {
    std::path::Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/golden")
        .join(name)
}

/// Holds what is written now against a golden file; a difference prints what is written now.
pub fn assert_golden(name: &str, actual: &str) {
    let expected = std::fs::read_to_string(golden(name)).unwrap_or_default();
    assert!(
        actual == expected,
        "{name} differs; it is now:\n{actual}<<<"
    );
}
