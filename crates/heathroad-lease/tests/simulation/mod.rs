//! A simulated cluster of lease managers with simulated time and network, and a fenced server that
//! records the writes of lease holders.
#![allow(dead_code, reason = "each test file uses a part of the module")]

mod invariants;
mod network;
mod node;
pub mod succession;
mod writes;

pub use network::Faults;
pub use node::Node;
pub use writes::Write;

use fastrand::Rng;
use heathroad_lease::candidate::LeaseEvent;
use heathroad_lease::fencing::FencingGuard;
use heathroad_lease::lease_manager::{LeaseManager, Output, Settings};
use heathroad_lease::message::Body;
use heathroad_lease::token::Token;
use heathroad_lease::voter_set::VoterSet;
use heathroad_lease::voter_state::VoterState;
use heathroad_lease::{LeaseId, LeaseTiming, MemberId, Millis};
use network::{Delivery, Network};
use writes::PendingWrite;

/// The default lease duration.
pub const LEASE_DURATION: Millis = 1000;
/// The Unix time at the start of a simulation, in milliseconds.
pub const UNIX_START_MS: u64 = 1_790_000_000_000;

/// The lease that the members campaign for.
pub fn lease() -> LeaseId {
    LeaseId::from_name("conductor")
}

/// A simulated cluster.
pub struct Simulation {
    pub now: Millis,
    pub nodes: Vec<Node>,
    pub faults: Faults,
    pub rng: Rng,
    /// The lease events of all members, with their time.
    pub events: Vec<(Millis, MemberId, LeaseEvent)>,
    /// The token check of the fenced server.
    pub guard: FencingGuard,
    /// Whether the fenced server rejects writes with outdated tokens.
    pub checks_tokens: bool,
    pub writes: Vec<Write>,
    pub messages_sent: u64,
    /// Number of grant and status requests that each member has sent.
    pub requests_sent: Vec<u64>,
    /// How many times voters have persisted their state.
    pub states_persisted: u64,
    /// Size of the longest encoded message, in bytes.
    pub longest_message: usize,
    /// Interval of a holder's writes; `None` disables writes.
    pub write_interval: Option<Millis>,
    /// Probability that a write is delayed by up to two lease durations.
    pub late_write_share: f64,
    next_write_at: Vec<Millis>,
    pending_writes: Vec<PendingWrite>,
    network: Network,
    timing: LeaseTiming,
}

/// Returns the voter set of generation 0, which consists of the first members.
pub fn initial_voter_set(voter_count: u16, member_count: u16) -> VoterSet {
    VoterSet::new(0, (0..voter_count).collect(), Vec::new(), member_count).expect("valid voters")
}

impl Simulation {
    pub fn new(member_count: u16, voter_count: u16, seed: u64) -> Simulation {
        Simulation::with_lease_duration(member_count, voter_count, seed, LEASE_DURATION)
    }

    pub fn with_lease_duration(
        member_count: u16,
        voter_count: u16,
        seed: u64,
        lease_duration: Millis,
    ) -> Simulation {
        let voter_set = initial_voter_set(voter_count, member_count);
        let mut simulation = Simulation {
            now: 0,
            nodes: (0..member_count)
                .map(|_| Node::new(voter_set.clone()))
                .collect(),
            faults: Faults {
                max_delay: 12,
                ..Faults::default()
            },
            rng: Rng::with_seed(seed),
            events: Vec::new(),
            guard: FencingGuard::default(),
            checks_tokens: true,
            writes: Vec::new(),
            messages_sent: 0,
            requests_sent: vec![0; usize::from(member_count)],
            states_persisted: 0,
            longest_message: 0,
            write_interval: None,
            late_write_share: 0.0,
            next_write_at: vec![0; usize::from(member_count)],
            pending_writes: Vec::new(),
            network: Network::default(),
            timing: LeaseTiming { lease_duration },
        };
        (0..member_count).for_each(|member| simulation.start(member));
        simulation
    }

    /// Returns the simulated member with this id.
    pub fn node(&mut self, member: MemberId) -> &mut Node {
        &mut self.nodes[usize::from(member)]
    }

    fn local_time(&self, member: MemberId) -> Millis {
        self.nodes[usize::from(member)].local_time(self.now)
    }

    fn members(&self) -> std::ops::Range<MemberId> {
        0..self.nodes.len() as MemberId
    }

    /// Starts the process of a member with its state on disk.
    pub fn start(&mut self, member: MemberId) {
        let now = self.local_time(member);
        let seed = self.rng.u64(..);
        let simulated_unix = UNIX_START_MS + self.now;
        let timing = self.timing;
        let node = self.node(member);
        let unix_ms = simulated_unix.saturating_add_signed(1000 * node.unix_offset_s);
        node.incarnation += 1;
        node.queued.clear();
        let settings = Settings {
            member_id: member,
            voters: node.voter_set.clone(),
            timing,
            leases: vec![lease()],
            seed,
        };
        let state = if node.has_disk {
            node.disk.clone()
        } else {
            VoterState::default()
        };
        node.manager = Some(LeaseManager::new(now, unix_ms, settings, state));
        self.update_present_members();
    }

    /// Kills the process of a member.
    pub fn kill(&mut self, member: MemberId) {
        self.node(member).manager = None;
        self.update_present_members();
    }

    /// Stalls the process of a member for a duration.
    pub fn stall(&mut self, member: MemberId, time: Millis) {
        self.node(member).stalled_until = self.now + time;
    }

    /// Updates the present members at all members. The membership protocol is not simulated.
    fn update_present_members(&mut self) {
        let present = self.running();
        for manager in self
            .nodes
            .iter_mut()
            .filter_map(|node| node.manager.as_mut())
        {
            manager.set_present_members(present.clone());
        }
    }

    /// Returns the members whose process is running.
    pub fn running(&self) -> Vec<MemberId> {
        let is_running = |member: &MemberId| self.nodes[usize::from(*member)].manager.is_some();
        self.members().filter(is_running).collect()
    }

    /// Blocks all links between two groups of members, in both directions.
    pub fn partition(&mut self, one: &[MemberId], other: &[MemberId]) {
        for a in one {
            for b in other {
                self.faults.blocked_links.extend([(*a, *b), (*b, *a)]);
            }
        }
    }

    /// Returns the lease manager of a running member.
    pub fn manager(&self, member: MemberId) -> &LeaseManager {
        let node = &self.nodes[usize::from(member)];
        node.manager.as_ref().expect("the process is not running")
    }

    /// Calls `operation` with the lease manager of a member and processes the resulting outputs.
    pub fn with_manager(
        &mut self,
        member: MemberId,
        operation: impl FnOnce(&mut LeaseManager, Millis),
    ) {
        let now = self.local_time(member);
        if let Some(manager) = &mut self.node(member).manager {
            operation(manager, now);
        }
        self.process_outputs(member);
    }

    /// Returns the members that consider themselves holders, with their tokens. Stalled members are
    /// left out, because they check their lease before they act again.
    pub fn holders(&self) -> Vec<(MemberId, Token)> {
        let held_by = |member: MemberId| {
            let node = &self.nodes[usize::from(member)];
            let manager = node
                .manager
                .as_ref()
                .filter(|_| !node.is_stalled(self.now))?;
            let token = manager.held_token(self.local_time(member), lease())?;
            Some((member, token))
        };
        self.members().filter_map(held_by).collect()
    }

    /// Returns the holder, if there is one.
    pub fn holder(&self) -> Option<MemberId> {
        self.holders().first().map(|(member, _)| *member)
    }

    fn process_outputs(&mut self, member: MemberId) {
        loop {
            let Some(manager) = &mut self.node(member).manager else {
                return;
            };
            let outputs: Vec<Output> = manager.take_outputs().collect();
            if outputs.is_empty() {
                return;
            }
            for output in outputs {
                self.process_output(member, output);
            }
        }
    }

    fn process_output(&mut self, member: MemberId, output: Output) {
        match output {
            Output::PersistState(state) => {
                self.states_persisted += 1;
                self.node(member).disk = state;
            }
            Output::Event(_, event) => self.events.push((self.now, member, event)),
            Output::Status(_) => {}
            Output::Send(outgoing) if outgoing.to == member => {
                let now = self.local_time(member);
                let node = self.node(member);
                let incarnation = node.incarnation;
                if let Some(manager) = &mut node.manager {
                    manager.handle_message(now, member, incarnation, outgoing.message);
                }
            }
            Output::Send(outgoing) => {
                self.messages_sent += 1;
                let is_request = matches!(
                    outgoing.message.body,
                    Body::GrantRequest(_) | Body::StatusRequest { .. }
                );
                self.requests_sent[usize::from(member)] += u64::from(is_request);
                let length = outgoing.message.encode().len();
                self.longest_message = self.longest_message.max(length);
                let delivery = Delivery {
                    from: member,
                    from_incarnation: self.nodes[usize::from(member)].incarnation,
                    to: outgoing.to,
                    to_incarnation: self.nodes[usize::from(outgoing.to)].incarnation,
                    message: outgoing.message,
                };
                self.network
                    .send(self.now, delivery, &self.faults, &mut self.rng);
            }
        }
    }

    /// Delivers a message, unless the receiver has restarted since it was sent. The membership
    /// protocol drops such messages.
    fn deliver(&mut self, delivery: Delivery) {
        let to = delivery.to;
        let now = self.local_time(to);
        let node = self.node(to);
        if node.incarnation != delivery.to_incarnation || node.incarnation == 0 {
            return;
        }
        if let Some(manager) = &mut node.manager {
            let bytes = delivery.message.encode();
            manager.handle_datagram(now, delivery.from, delivery.from_incarnation, &bytes);
        }
        self.process_outputs(to);
    }

    /// Runs for a duration.
    pub fn run(&mut self, time: Millis) {
        let end = self.now + time;
        self.run_until(end, |_| false);
    }

    /// Runs until a condition holds or `end` is reached, and returns when the condition held.
    pub fn run_until(
        &mut self,
        end: Millis,
        condition: impl Fn(&Simulation) -> bool,
    ) -> Option<Millis> {
        while self.now < end {
            if condition(self) {
                return Some(self.now);
            }
            self.step();
        }
        condition(self).then_some(self.now)
    }

    /// Advances the simulation by one millisecond.
    fn step(&mut self) {
        self.now += 1;
        self.deliver_writes();
        while let Some(delivery) = self.network.next_arrival(self.now) {
            let now = self.now;
            let receiver = self.node(delivery.to);
            if receiver.is_stalled(now) {
                receiver.queued.push(delivery);
            } else {
                self.deliver(delivery);
            }
        }
        for member in self.members() {
            let node = &mut self.nodes[usize::from(member)];
            if node.is_stalled(self.now) || node.manager.is_none() {
                continue;
            }
            for delivery in std::mem::take(&mut node.queued) {
                self.deliver(delivery);
            }
            if self.manager(member).next_due() <= self.local_time(member) {
                self.with_manager(member, LeaseManager::tick);
            }
            self.start_write(member);
        }
    }
}
