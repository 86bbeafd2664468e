//! Tests of claims: members that received the same claims agree, whatever the order.

use heathroad_membership::claim::{Claim, MemberState, Precedence, Revision};
use heathroad_membership::member_table::MemberTable;
use proptest::prelude::*;
use stateright::{Checker, Model, Property};

fn any_state() -> impl Strategy<Value = MemberState> {
    prop::sample::select(vec![
        MemberState::Alive,
        MemberState::Suspect,
        MemberState::Left,
        MemberState::Dead,
    ])
}

fn any_claims() -> impl Strategy<Value = Vec<Claim>> {
    let claim = (any_state(), 1..4_u64, 0..4_u16, 0..5_u16).prop_map(
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

/// Merges the claims into an empty table, and returns the precedence of the resulting claim.
fn merged_precedence(claims: &[Claim]) -> Precedence {
    let mut table = MemberTable::new(1);
    for claim in claims {
        table.merge(0, *claim);
    }
    table.claim(0).expect("a claim was merged").precedence()
}

proptest! {
    #[test]
    fn order_and_duplicates_of_claims_do_not_matter(claims in any_claims(), seed in any::<u64>()) {
        let mut shuffled: Vec<Claim> = claims.iter().chain(&claims).copied().collect();
        fastrand::Rng::with_seed(seed).shuffle(&mut shuffled);
        prop_assert_eq!(merged_precedence(&claims), merged_precedence(&shuffled));
        prop_assert_eq!(merged_precedence(&claims), claims.iter().map(Claim::precedence).max().expect("there is a claim"));
    }
}

/// A late claim from before the end of an incarnation does not revive it.
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
    for final_state in [MemberState::Left, MemberState::Dead] {
        let claims = [claim(final_state, 1, 0), claim(MemberState::Alive, 1, 9)];
        assert_eq!(
            merged_precedence(&claims),
            claim(final_state, 1, 0).precedence()
        );
        let returned = claim(MemberState::Alive, 2, 0);
        assert_eq!(
            merged_precedence(&[claims[0], returned]),
            returned.precedence()
        );
    }
}

/// A model of one member with several incarnations, an accuser, and two observers that receive any
/// subset of the claims in any order.
struct ClaimModel;

/// The claims so far, the member's own revision, and the indices of the claims that each observer
/// has received.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct History {
    revision: Revision,
    has_ended: bool,
    claims: Vec<Claim>,
    received: [Vec<usize>; 2],
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Action {
    Suspect,
    Refute,
    DeclareDead,
    Return,
    Receive(usize, usize),
}

impl ClaimModel {
    /// Returns the precedence of the claim that an observer holds.
    fn observed_precedence(state: &History, observer: usize) -> Option<Precedence> {
        let received: Vec<Claim> = state.received[observer]
            .iter()
            .map(|index| state.claims[*index])
            .collect();
        (!received.is_empty()).then(|| merged_precedence(&received))
    }
}

const MAX_CLAIMS: usize = 5;

impl Model for ClaimModel {
    type State = History;
    type Action = Action;

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

    fn actions(&self, state: &History, actions: &mut Vec<Action>) {
        if state.claims.len() < MAX_CLAIMS {
            let last = state
                .claims
                .last()
                .expect("the history starts with a claim")
                .state;
            match last {
                MemberState::Alive => actions.push(Action::Suspect),
                MemberState::Suspect => actions.extend([Action::Refute, Action::DeclareDead]),
                _ => {}
            }
            if state.has_ended {
                actions.push(Action::Return);
            }
        }
        for observer in 0..2 {
            let not_received =
                (0..state.claims.len()).filter(|index| !state.received[observer].contains(index));
            actions.extend(not_received.map(|index| Action::Receive(observer, index)));
        }
    }

    fn next_state(&self, last: &History, action: Action) -> Option<History> {
        let mut state = last.clone();
        let mut add_claim = |member_state, revision| {
            state.claims.push(Claim {
                member: 0,
                state: member_state,
                revision,
                source: 1,
            });
        };
        match action {
            Action::Suspect => add_claim(MemberState::Suspect, last.revision),
            Action::DeclareDead => {
                add_claim(MemberState::Dead, last.revision);
                state.has_ended = true;
            }
            Action::Refute => {
                let revision = Revision {
                    refutations: last.revision.refutations + 1,
                    ..last.revision
                };
                add_claim(MemberState::Alive, revision);
                state.revision = revision;
            }
            Action::Return => {
                let revision = Revision {
                    incarnation: last.revision.incarnation + 1,
                    refutations: 0,
                };
                add_claim(MemberState::Alive, revision);
                (state.revision, state.has_ended) = (revision, false);
            }
            Action::Receive(observer, index) => state.received[observer].push(index),
        }
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(
                "observers that received the same claims agree",
                |_, history: &History| {
                    let received = |observer: usize| {
                        let mut received = history.received[observer].clone();
                        received.sort_unstable();
                        received
                    };
                    received(0) != received(1)
                        || ClaimModel::observed_precedence(history, 0)
                            == ClaimModel::observed_precedence(history, 1)
                },
            ),
            Property::always(
                "no observer holds a claim that was not made",
                |_, history: &History| {
                    let highest = history.claims.iter().map(Claim::precedence).max();
                    (0..2).all(|observer| {
                        ClaimModel::observed_precedence(history, observer) <= highest
                    })
                },
            ),
            Property::always(
                "an observer that received all claims holds the last one",
                |_, history: &History| {
                    let last = history.claims.last().map(Claim::precedence);
                    (0..2).all(|observer| {
                        history.received[observer].len() < history.claims.len()
                            || ClaimModel::observed_precedence(history, observer) == last
                    })
                },
            ),
            Property::sometimes(
                "an observer knows the member in a second incarnation",
                |_, history: &History| {
                    ClaimModel::observed_precedence(history, 0).is_some_and(|precedence| {
                        precedence.incarnation == 2 && precedence.final_state == 0
                    })
                },
            ),
        ]
    }
}

#[test]
fn all_orders_of_a_short_history_lead_to_agreement() {
    let checker = ClaimModel.checker().threads(2).spawn_bfs().join();
    println!("{} states", checker.unique_state_count());
    checker.assert_properties();
}
