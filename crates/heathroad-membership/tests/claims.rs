//! Claims on a member, in any order: whoever has received the same claims knows the same.

use heathroad_membership::claim::{Claim, MemberState, Precedence, Revision};
use heathroad_membership::member_table::MemberTable;
use proptest::prelude::*;
use stateright::{Checker, Model, Property};

fn state() -> impl Strategy<Value = MemberState> {
    prop::sample::select(vec![
        MemberState::Alive,
        MemberState::Suspect,
        MemberState::Left,
        MemberState::Dead,
    ])
}

fn claims() -> impl Strategy<Value = Vec<Claim>> {
    let claim = (state(), 1..4_u64, 0..4_u16, 0..5_u16).prop_map(
        |(state, incarnation, refutations, source)| Claim {
            member: 0,
            state,
            revision: Revision {
                incarnation,
                refutations,
            },
            source,
        },
    );
    prop::collection::vec(claim, 1..12)
}

/// Returns the precedence of the claim that holds after these.
fn after(claims: &[Claim]) -> Precedence {
    let mut table = MemberTable::new(1);
    for claim in claims {
        table.merge(0, *claim);
    }
    table.claim(0).expect("some claim was merged").precedence()
}

proptest! {
    #[test]
    fn order_and_duplicates_of_claims_do_not_matter(claims in claims(), seed in any::<u64>()) {
        let mut other: Vec<Claim> = claims.iter().chain(&claims).copied().collect();
        fastrand::Rng::with_seed(seed).shuffle(&mut other);
        prop_assert_eq!(after(&claims), after(&other));
        prop_assert_eq!(after(&claims), claims.iter().map(Claim::precedence).max().expect("some"));
    }
}

/// Whatever a member claimed before its end, and however late that arrives: no incarnation comes
/// back from its end.
#[test]
fn a_final_state_holds_within_its_incarnation() {
    let claim = |state, incarnation, refutations| Claim {
        member: 0,
        state,
        revision: Revision {
            incarnation,
            refutations,
        },
        source: 1,
    };
    for end in [MemberState::Left, MemberState::Dead] {
        let claims = [claim(end, 1, 0), claim(MemberState::Alive, 1, 9)];
        assert_eq!(after(&claims), claim(end, 1, 0).precedence());
        let back = claim(MemberState::Alive, 2, 0);
        assert_eq!(after(&[claims[0], back]), back.precedence());
    }
}

/// A member in several incarnations, its accuser, and two listeners who receive their claims in any
/// order, and some of them never.
struct Claims;

/// The claims so far, the member's own revision, and what each listener has received.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct History {
    revision: Revision,
    has_ended: bool,
    claims: Vec<Claim>,
    received: [Vec<usize>; 2],
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Step {
    Suspect,
    Refute,
    DeclareDead,
    Return,
    Receive(usize, usize),
}

impl Claims {
    fn holds(state: &History, listener: usize) -> Option<Precedence> {
        let received: Vec<Claim> = state.received[listener]
            .iter()
            .map(|at| state.claims[*at])
            .collect();
        (!received.is_empty()).then(|| after(&received))
    }
}

const MAX_CLAIMS: usize = 5;

impl Model for Claims {
    type State = History;
    type Action = Step;

    fn init_states(&self) -> Vec<History> {
        let revision = Revision {
            incarnation: 1,
            refutations: 0,
        };
        let alive = Claim {
            member: 0,
            state: MemberState::Alive,
            revision,
            source: 0,
        };
        vec![History {
            revision,
            has_ended: false,
            claims: vec![alive],
            received: [Vec::new(), Vec::new()],
        }]
    }

    fn actions(&self, state: &History, steps: &mut Vec<Step>) {
        if state.claims.len() < MAX_CLAIMS {
            let last = state.claims.last().expect("it began with one").state;
            match last {
                MemberState::Alive => steps.push(Step::Suspect),
                MemberState::Suspect => steps.extend([Step::Refute, Step::DeclareDead]),
                _ => {}
            }
            if state.has_ended {
                steps.push(Step::Return);
            }
        }
        for listener in 0..2 {
            let unheard =
                (0..state.claims.len()).filter(|at| !state.received[listener].contains(at));
            steps.extend(unheard.map(|at| Step::Receive(listener, at)));
        }
    }

    fn next_state(&self, last: &History, step: Step) -> Option<History> {
        let mut state = last.clone();
        let mut say = |state_now, revision| {
            state.claims.push(Claim {
                member: 0,
                state: state_now,
                revision,
                source: 1,
            });
        };
        match step {
            Step::Suspect => say(MemberState::Suspect, last.revision),
            Step::DeclareDead => {
                say(MemberState::Dead, last.revision);
                state.has_ended = true;
            }
            Step::Refute => {
                let revision = Revision {
                    refutations: last.revision.refutations + 1,
                    ..last.revision
                };
                say(MemberState::Alive, revision);
                state.revision = revision;
            }
            Step::Return => {
                let revision = Revision {
                    incarnation: last.revision.incarnation + 1,
                    refutations: 0,
                };
                say(MemberState::Alive, revision);
                (state.revision, state.has_ended) = (revision, false);
            }
            Step::Receive(listener, at) => state.received[listener].push(at),
        }
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(
                "whoever has received the same claims knows the same",
                |_, s: &History| {
                    let set = |listener: usize| {
                        let mut received = s.received[listener].clone();
                        received.sort_unstable();
                        received
                    };
                    set(0) != set(1) || Claims::holds(s, 0) == Claims::holds(s, 1)
                },
            ),
            Property::always("nobody knows more than was claimed", |_, s: &History| {
                let most = s.claims.iter().map(Claim::precedence).max();
                (0..2).all(|listener| Claims::holds(s, listener) <= most)
            }),
            Property::always(
                "whoever has received all claims knows the last one",
                |_, s: &History| {
                    let last = s.claims.last().map(Claim::precedence);
                    (0..2).all(|listener| {
                        s.received[listener].len() < s.claims.len()
                            || Claims::holds(s, listener) == last
                    })
                },
            ),
            Property::sometimes(
                "a member comes back in a second incarnation, and is known",
                |_, s: &History| {
                    Claims::holds(s, 0)
                        .is_some_and(|held| held.incarnation == 2 && held.final_state == 0)
                },
            ),
        ]
    }
}

#[test]
fn all_orders_of_a_small_history() {
    let checker = Claims.checker().threads(2).spawn_bfs().join();
    println!("{} states", checker.unique_state_count());
    checker.assert_properties();
}
