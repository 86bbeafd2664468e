//! The state machine of a member, which connects the components of the protocol.

use super::config::Config;
use super::dissemination::{Dissemination, LocalView, SelectedUpdate, Subject};
use super::event::{Event, EventQueue};
use super::failure_detector::FailureDetector;
use super::fetch::Fetches;
use super::piggyback::PiggybackChannel;
use super::report::{MemberView, TrafficCounters};
use super::resource_server::ResourceServer;
use super::transport::{Channel, Endpoint, Transmit, Transport};
use super::version_agreement::VersionAgreement;
use crate::authentication::Authenticator;
use crate::claim::{Claim, MemberState, Revision};
use crate::member_table::{Member, MemberTable};
use crate::wire::{Message, SUPPORTED_PROTOCOLS, Update};
use crate::{Incarnation, MemberId, Millis};

/// The parameters of a member.
#[derive(Clone)]
pub struct Settings {
    /// Holds the name and the key of the fleet.
    pub authenticator: Authenticator,
    /// The id of this member.
    pub id: MemberId,
    /// The number of members of the fleet.
    pub fleet_size: u16,
    /// The incarnation of this member.
    pub incarnation: Incarnation,
    /// The seed of the random number generator.
    pub seed: u64,
    /// Intervals, timeouts and limits of the protocol.
    pub config: Config,
}

/// The protocol state machine of one member.
#[derive(Clone)]
pub struct Membership {
    pub(super) config: Config,
    pub(super) id: MemberId,
    pub(super) revision: Revision,
    pub(super) rng: fastrand::Rng,
    pub(super) members: MemberTable,
    pub(super) detector: FailureDetector,
    pub(super) dissemination: Dissemination,
    pub(super) agreement: VersionAgreement,
    pub(super) fetches: Fetches,
    pub(super) resources: ResourceServer,
    pub(super) piggyback: PiggybackChannel,
    pub(super) transport: Transport,
    pub(super) events: EventQueue,
    /// The due time of [`Membership::tick`] as of the last call. A much later call reveals a stall.
    expected_tick: Millis,
    has_left: bool,
}

impl Membership {
    /// Creates a member, which starts to probe others with the first [`Membership::tick`].
    pub fn new(now: Millis, settings: Settings) -> Membership {
        let Settings {
            authenticator,
            id,
            fleet_size,
            incarnation,
            seed,
            config,
        } = settings;
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut rotation: Vec<MemberId> = (0..fleet_size).filter(|other| *other != id).collect();
        rng.shuffle(&mut rotation);
        // A random delay keeps members that start together from probing in lockstep.
        let first_period = now + rng.u64(0..config.gossip_interval.max(1));
        let mut membership = Membership {
            id,
            revision: Revision {
                incarnation,
                refutations: 0,
            },
            rng,
            members: MemberTable::new(fleet_size),
            detector: FailureDetector::new(now, rotation, first_period),
            dissemination: Dissemination::new(first_period),
            agreement: VersionAgreement::default(),
            fetches: Fetches::default(),
            resources: ResourceServer::default(),
            piggyback: PiggybackChannel::default(),
            transport: Transport::new(now, authenticator, &config),
            events: EventQueue::default(),
            expected_tick: first_period,
            has_left: false,
            config,
        };
        membership.announce_alive(now);
        membership
    }

    /// Returns the time by which [`Membership::tick`] has to be called.
    pub fn due(&self) -> Millis {
        let optional = [
            self.members.next_suspicion_deadline(),
            self.fetches.due(self.config.ack_timeout),
            self.dissemination.due(),
        ];
        optional
            .into_iter()
            .flatten()
            .fold(self.detector.due(), Millis::min)
    }

    /// Performs all actions that are due.
    pub fn tick(&mut self, now: Millis) {
        if self.has_left {
            return;
        }
        self.detect_local_faults(now);
        self.declare_expired_suspects_dead(now);
        self.send_due_nacks(now);
        self.advance_probe(now);
        self.advance_fetches(now);
        if self.detector.begin_period(now, self.config.probe_period) {
            self.begin_probe(now);
            self.request_unknown_versions(now);
        }
        if self.dissemination.due().is_some_and(|due| now >= due) {
            let next_round = now + self.config.gossip_interval;
            self.dissemination.schedule_round(next_round);
            self.send_gossip(now);
        }
        self.expect_next_tick(now);
    }

    /// Handles an incoming datagram, which may be invalid or hostile.
    pub fn receive(&mut self, now: Millis, datagram: &[u8]) {
        if self.has_left {
            return;
        }
        self.detect_local_faults(now);
        self.receive_datagram(now, datagram);
        self.expect_next_tick(now);
    }

    fn expect_next_tick(&mut self, now: Millis) {
        self.expected_tick = self.due().max(now);
    }

    /// Returns the datagrams to send that were queued since the last call.
    pub fn transmits(&mut self) -> std::vec::Drain<'_, Transmit> {
        self.transport.drain()
    }

    /// Returns the events since the last call. Events beyond the limit of the queue are lost.
    pub fn events(&mut self) -> std::vec::Drain<'_, Event> {
        self.events.drain()
    }

    /// Announces the shutdown of this member to random others, and stops the state machine.
    pub fn leave(&mut self, now: Millis) {
        let claim = self.own_claim(MemberState::Left);
        self.members.merge(now, claim);
        self.dissemination.spread(Subject::State(self.id));
        self.send_gossip(now);
        self.send_gossip(now);
        self.has_left = true;
    }

    pub(super) fn own_claim(&self, state: MemberState) -> Claim {
        Claim {
            member: self.id,
            state,
            revision: self.revision,
            source: self.id,
        }
    }

    /// Whether more than half of the fleet is present according to the member table.
    pub fn sees_majority(&self) -> bool {
        2 * self.members.present_count() > usize::from(self.members.size())
    }

    /// Returns the id of this member.
    pub fn id(&self) -> MemberId {
        self.id
    }

    /// Returns the current revision of this member.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Whether this member is isolated: it receives nothing from the others.
    pub fn is_isolated(&self) -> bool {
        self.detector.is_isolated()
    }

    /// Returns the time since a datagram was last accepted from any member.
    pub fn silent_for(&self, now: Millis) -> Millis {
        self.detector.silent_for(now)
    }

    /// Returns the local health multiplier, which is 1 for a healthy member.
    pub fn health_multiplier(&self) -> u64 {
        self.detector.health().multiplier()
    }

    /// Returns the traffic counters.
    pub fn traffic(&self) -> TrafficCounters {
        self.transport.traffic()
    }

    /// Returns the member table.
    pub fn members(&self) -> &MemberTable {
        &self.members
    }

    /// Returns a report on each member for operators.
    pub fn member_views(&self, now: Millis) -> Vec<MemberView> {
        let view = |(id, member): (MemberId, &Member)| {
            let active = member.active_version;
            let suspicion = member.suspicion.as_ref();
            MemberView {
                id,
                state: member.state,
                revision: member.revision,
                state_age_ms: now.saturating_sub(member.state_since),
                last_heard_ago_ms: member.last_heard.map(|at| now.saturating_sub(at)),
                accusers: suspicion.map_or_else(Vec::new, |suspicion| suspicion.accusers.clone()),
                protocols: member.supported_protocols,
                active_version: active.map(|active| (active.digest, active.sequence)),
                version: active.and_then(|active| self.known_version(active.digest).cloned()),
            }
        };
        self.members.iter().map(view).collect()
    }

    /// Sends a message with as many selected updates as fit.
    pub(super) fn send(&mut self, now: Millis, to: MemberId, message: Message) {
        let local = LocalView {
            members: &self.members,
            agreement: &self.agreement,
        };
        let selected = self.dissemination.select(local, to, now);
        let updates = selected
            .iter()
            .map(|selected: &SelectedUpdate| selected.update.clone());
        let updates: Vec<Update> = updates.collect();
        let recipient = self.endpoint(to);
        let sent = self.send_updates(now, Channel::Membership, recipient, message, &updates);
        if let Some(sent) = sent {
            let members = self.members.size();
            self.dissemination.record_sent(&selected, sent, members);
        }
    }

    pub(super) fn send_updates(
        &mut self,
        now: Millis,
        channel: Channel,
        recipient: Endpoint,
        message: Message,
        updates: &[Update],
    ) -> Option<usize> {
        let sender = Endpoint {
            id: self.id,
            incarnation: self.revision.incarnation,
            supported_protocols: SUPPORTED_PROTOCOLS,
        };
        self.transport
            .send(now, channel, [sender, recipient], message, updates)
    }

    /// Returns the addressing information of a member as a recipient.
    pub(super) fn endpoint(&self, id: MemberId) -> Endpoint {
        let lowest = [SUPPORTED_PROTOCOLS[0]; 2];
        let member = self.members.get(id);
        Endpoint {
            id,
            incarnation: self.members.incarnation(id),
            supported_protocols: member.map_or(lowest, |member| member.supported_protocols),
        }
    }

    /// Detects a stall or an isolation of this member. After a stall, expired timeouts say nothing
    /// about other members, since their datagrams may be waiting in the socket's buffer.
    fn detect_local_faults(&mut self, now: Millis) {
        let late = now.saturating_sub(self.expected_tick);
        if late >= self.config.probe_period {
            self.detector
                .resume_after_stall(now, late, self.config.ack_timeout);
            self.members.postpone_suspicions(late);
            self.events.push(Event::Stalled { duration: late });
        }
        let (period, present) = (self.config.probe_period, self.members.present_count());
        if self.detector.detect_isolation(now, period, present) {
            self.events.push(Event::Isolated);
        }
    }
}
