//! Model checking of the protocol: explores all message orders of three voters, two candidates that
//! campaign for the same lease, and one restart of a voter that loses its state.
//!
//! Requests are delivered in any order. Answers are delivered immediately, except for a bounded
//! number of delayed ones, which are delivered at any later time or never. Time advances whenever
//! at most that number of messages is in flight.

use fastrand::Rng;
use heathroad_lease::candidate::{Candidate, Context, LeaseEvent};
use heathroad_lease::message::{Body, Message, OutgoingMessage};
use heathroad_lease::token::Token;
use heathroad_lease::voter::Voter;
use heathroad_lease::voter_set::VoterSet;
use heathroad_lease::voter_state::VoterState;
use heathroad_lease::{LeaseId, LeaseTiming, MemberId, Millis};
use stateright::{Checker, Model, Property};
use std::collections::BTreeSet;

const TIMING: LeaseTiming = LeaseTiming { lease_duration: 8 };
const VOTER_COUNT: MemberId = 3;
/// The candidates, which are not voters.
const CANDIDATES: [MemberId; 2] = [3, 4];
/// The step in which time advances.
const TIME_STEP: Millis = 2;

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct InFlight {
    from: MemberId,
    to: MemberId,
    /// The receiver's incarnation, if it is a voter.
    incarnation: u64,
    message: Message,
}

impl InFlight {
    fn is_request(&self) -> bool {
        self.to < VOTER_COUNT
    }
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct State {
    now: Millis,
    voters: Vec<(u64, Voter)>,
    candidates: Vec<Candidate>,
    in_flight: BTreeSet<InFlight>,
    acquired: Vec<Token>,
    restarts: u8,
}

#[derive(Debug, Clone, PartialEq, Eq)]
enum Step {
    /// Delivers a request to a voter, and its answer to the candidate.
    DeliverAndReply(InFlight),
    /// Delivers a request to a voter and delays the answer, or delivers a delayed answer.
    Deliver(InFlight),
    AdvanceTime,
    /// Restarts a voter without its state.
    Restart(MemberId),
}

struct LeaseModel {
    end: Millis,
    max_delayed: usize,
    max_restarts: u8,
}

fn voter_set() -> VoterSet {
    VoterSet::new(0, (0..VOTER_COUNT).collect(), Vec::new(), 5).expect("valid voters")
}

type Operation = Box<dyn FnOnce(&mut Candidate, Millis, &mut Context<'_>)>;

impl State {
    fn with_candidate(&mut self, index: usize, operation: Operation) {
        let now = self.now;
        let member_id = CANDIDATES[index];
        let mut outgoing = Vec::new();
        let mut context = Context {
            timing: TIMING,
            voters: &voter_set(),
            member_id,
            min_token_count: 100,
            rank: index as u16,
            rng: &mut Rng::with_seed(index as u64),
            outgoing: &mut outgoing,
        };
        let candidate = &mut self.candidates[index];
        operation(candidate, now, &mut context);
        let tokens = candidate.take_events().filter_map(|event| match event {
            LeaseEvent::Acquired { token, .. } => Some(token),
            _ => None,
        });
        self.acquired.extend(tokens);
        for OutgoingMessage { to, message } in outgoing {
            self.send(index, to, message);
        }
    }

    fn send(&mut self, index: usize, to: MemberId, message: Message) {
        let now = self.now;
        let from = CANDIDATES[index];
        let (incarnation, voter) = &mut self.voters[usize::from(to)];
        if let Body::StatusRequest { .. } = message.body {
            // Status answers carry no promise, so they are not modelled as delayed.
            let Message { lease, body } = message;
            if let Some(answer) = voter.handle_message(now, from, 1, lease, body).body {
                let operation: Operation = Box::new(move |candidate, now, context| {
                    candidate.handle_message(now, to, answer, context);
                });
                self.with_candidate(index, operation);
            }
            return;
        }
        self.in_flight.insert(InFlight {
            from,
            to,
            incarnation: *incarnation,
            message,
        });
    }

    /// Delivers a request to a voter and returns its answer.
    fn deliver_to_voter(&mut self, request: InFlight) -> Option<InFlight> {
        let Message { lease, body } = request.message;
        let (incarnation, voter) = &mut self.voters[usize::from(request.to)];
        if *incarnation != request.incarnation {
            return None;
        }
        let reply = voter.handle_message(self.now, request.from, 1, lease, body);
        reply.body.map(|body| InFlight {
            from: request.to,
            to: request.from,
            incarnation: 1,
            message: Message { lease, body },
        })
    }

    /// Delivers an answer to a candidate.
    fn deliver_to_candidate(&mut self, answer: InFlight) {
        let index = usize::from(answer.to - CANDIDATES[0]);
        let operation: Operation = Box::new(move |candidate, now, context| {
            candidate.handle_message(now, answer.from, answer.message.body, context);
        });
        self.with_candidate(index, operation);
    }

    fn tick_candidates(&mut self) {
        for index in 0..CANDIDATES.len() {
            self.with_candidate(index, Box::new(Candidate::tick));
        }
    }
}

impl Model for LeaseModel {
    type State = State;
    type Action = Step;

    fn init_states(&self) -> Vec<State> {
        let lease = LeaseId::from_name("conductor");
        // The startup period of the voters is over.
        let now = TIMING.grant_duration_at_voter(TIMING.lease_duration);
        let voter = (1, Voter::new(0, 0, TIMING, 0, VoterState::default()));
        let mut state = State {
            now,
            voters: vec![voter; usize::from(VOTER_COUNT)],
            candidates: vec![Candidate::new(now, lease); CANDIDATES.len()],
            in_flight: BTreeSet::new(),
            acquired: Vec::new(),
            restarts: 0,
        };
        state.tick_candidates();
        vec![state]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Step>) {
        let delayed = state
            .in_flight
            .iter()
            .filter(|message| !message.is_request())
            .count();
        for message in &state.in_flight {
            if message.is_request() {
                actions.push(Step::DeliverAndReply(message.clone()));
            }
            if !message.is_request() || delayed < self.max_delayed {
                actions.push(Step::Deliver(message.clone()));
            }
        }
        // Messages in flight are lost, or delivered after this step.
        if state.now < self.end && state.in_flight.len() <= self.max_delayed {
            actions.push(Step::AdvanceTime);
        }
        if state.restarts < self.max_restarts {
            actions.extend((0..VOTER_COUNT).map(Step::Restart));
        }
    }

    fn next_state(&self, last: &State, step: Step) -> Option<State> {
        let mut state = last.clone();
        match step {
            Step::AdvanceTime => {
                state.now += TIME_STEP;
                state.tick_candidates();
            }
            Step::Restart(member) => {
                let (incarnation, voter) = &mut state.voters[usize::from(member)];
                *incarnation += 1;
                *voter = Voter::new(state.now, 0, TIMING, 0, VoterState::default());
                state.restarts += 1;
            }
            Step::DeliverAndReply(request) => {
                state.in_flight.remove(&request);
                if let Some(answer) = state.deliver_to_voter(request) {
                    state.deliver_to_candidate(answer);
                }
            }
            Step::Deliver(message) => {
                state.in_flight.remove(&message);
                if message.is_request() {
                    let answer = state.deliver_to_voter(message);
                    state.in_flight.extend(answer);
                } else {
                    state.deliver_to_candidate(message);
                }
            }
        }
        (state != *last).then_some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        let has_one_holder = |_: &LeaseModel, state: &State| {
            let is_holder = |candidate: &&Candidate| candidate.hold(state.now).is_some();
            state.candidates.iter().filter(is_holder).count() < 2
        };
        let is_in_order = |_: &LeaseModel, state: &State| {
            state
                .acquired
                .windows(2)
                .all(|tokens| tokens[0] < tokens[1])
        };
        vec![
            Property::always("one holder", has_one_holder),
            Property::always("tokens in order", is_in_order),
            Property::sometimes("acquired", |_, state: &State| !state.acquired.is_empty()),
            Property::sometimes("succeeded", |_, state: &State| state.acquired.len() > 1),
        ]
    }
}

/// Checks all message orders of the model. Returns whether the lease was acquired in any of them,
/// and whether it was acquired twice in a row in any of them.
fn check(duration: Millis, max_delayed: usize, max_restarts: u8) -> [bool; 2] {
    let start = TIMING.grant_duration_at_voter(TIMING.lease_duration);
    let model = LeaseModel {
        end: start + duration,
        max_delayed,
        max_restarts,
    };
    let checker = model.checker().threads(2).spawn_bfs().join();
    println!(
        "{duration} ms, {max_delayed} delayed messages, {max_restarts} restarts: {} states",
        checker.unique_state_count()
    );
    for name in ["one holder", "tokens in order"] {
        checker.assert_no_discovery(name);
    }
    ["acquired", "succeeded"].map(|name| checker.discovery(name).is_some())
}

/// The environment variables `DUTY_ORDERS` and `DUTY_LATE` set the simulated duration in
/// milliseconds and the number of delayed or lost messages per time step.
#[test]
fn one_candidate_holds_the_lease_in_all_message_orders() {
    let number = |name: &str| std::env::var(name).ok().and_then(|v| v.parse::<u8>().ok());
    if let (Some(duration), Some(max_delayed)) = (number("DUTY_ORDERS"), number("DUTY_LATE")) {
        check(duration.into(), max_delayed.into(), 1);
        return;
    }
    assert_eq!(check(8, 0, 1), [true, true]);
    assert!(check(0, 1, 0)[0]);
}
