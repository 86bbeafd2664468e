//! Words on a member, in any order: who has heard the same holds the same.

use heathroad_membership::claim::{Claim, MemberState, Precedence, Revision};
use heathroad_membership::member_table::MemberTable;
use proptest::prelude::*;
use stateright::{Checker, Model, Property};

fn standing() -> impl Strategy<Value = MemberState> {
    prop::sample::select(vec![
        MemberState::Alive,
        MemberState::Suspect,
        MemberState::Left,
        MemberState::Dead,
    ])
}

fn claims() -> impl Strategy<Value = Vec<Claim>> {
    let claim = (standing(), 1..4_u64, 0..4_u16, 0..5_u16).prop_map(
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

/// What stands after some words; an end stands in whichever turn it was told.
fn after(claims: &[Claim]) -> Precedence {
    let mut table = MemberTable::new(1);
    for claim in claims {
        table.merge(0, *claim);
    }
    table.claim(0).expect("something was said").precedence()
}

proptest! {
    #[test]
    fn order_and_repeats_do_not_matter(claims in claims(), seed in any::<u64>()) {
        let mut other: Vec<Claim> = claims.iter().chain(&claims).copied().collect();
        fastrand::Rng::with_seed(seed).shuffle(&mut other);
        prop_assert_eq!(after(&claims), after(&other));
        prop_assert_eq!(after(&claims), claims.iter().map(Claim::precedence).max().expect("some"));
    }
}

/// Whatever a member said before its end, and however late that comes: nobody is back in the same
/// life.
#[test]
fn an_end_holds_in_its_life() {
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
        let words = [claim(end, 1, 0), claim(MemberState::Alive, 1, 9)];
        assert_eq!(after(&words), claim(end, 1, 0).precedence());
        let back = claim(MemberState::Alive, 2, 0);
        assert_eq!(after(&[words[0], back]), back.precedence());
    }
}

/// A member in three lives, its accuser and its judge, and a listener who hears their words in any
/// order, some twice and some never.
struct Words;

/// What was said so far, the member's own incarnation, what each of two listeners has heard.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Said {
    me: Revision,
    over: bool,
    said: Vec<Claim>,
    heard: [Vec<usize>; 2],
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Step {
    Accuse,
    Refute,
    Bury,
    Return,
    Hear(usize, usize),
}

impl Words {
    fn stands(state: &Said, who: usize) -> Option<Precedence> {
        let heard: Vec<Claim> = state.heard[who].iter().map(|at| state.said[*at]).collect();
        (!heard.is_empty()).then(|| after(&heard))
    }
}

const MOST_WORDS: usize = 5;

impl Model for Words {
    type State = Said;
    type Action = Step;

    fn init_states(&self) -> Vec<Said> {
        let me = Revision {
            incarnation: 1,
            refutations: 0,
        };
        let alive = Claim {
            member: 0,
            state: MemberState::Alive,
            revision: me,
            source: 0,
        };
        vec![Said {
            me,
            over: false,
            said: vec![alive],
            heard: [Vec::new(), Vec::new()],
        }]
    }

    fn actions(&self, state: &Said, steps: &mut Vec<Step>) {
        if state.said.len() < MOST_WORDS {
            let last = state.said.last().expect("it began with one").state;
            match last {
                MemberState::Alive => steps.push(Step::Accuse),
                MemberState::Suspect => steps.extend([Step::Refute, Step::Bury]),
                _ => {}
            }
            if state.over {
                steps.push(Step::Return);
            }
        }
        for who in 0..2 {
            let unheard = (0..state.said.len()).filter(|at| !state.heard[who].contains(at));
            steps.extend(unheard.map(|at| Step::Hear(who, at)));
        }
    }

    fn next_state(&self, last: &Said, step: Step) -> Option<Said> {
        let mut state = last.clone();
        let mut say = |state_now, revision| {
            state.said.push(Claim {
                member: 0,
                state: state_now,
                revision,
                source: 1,
            });
        };
        match step {
            Step::Accuse => say(MemberState::Suspect, last.me),
            Step::Bury => {
                say(MemberState::Dead, last.me);
                state.over = true;
            }
            Step::Refute => {
                let me = Revision {
                    refutations: last.me.refutations + 1,
                    ..last.me
                };
                say(MemberState::Alive, me);
                state.me = me;
            }
            Step::Return => {
                let me = Revision {
                    incarnation: last.me.incarnation + 1,
                    refutations: 0,
                };
                say(MemberState::Alive, me);
                (state.me, state.over) = (me, false);
            }
            Step::Hear(who, at) => state.heard[who].push(at),
        }
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("who has heard the same holds the same", |_, s: &Said| {
                let set = |who: usize| {
                    let mut heard = s.heard[who].clone();
                    heard.sort_unstable();
                    heard
                };
                set(0) != set(1) || Words::stands(s, 0) == Words::stands(s, 1)
            }),
            Property::always("nobody holds more than was said", |_, s: &Said| {
                let most = s.said.iter().map(Claim::precedence).max();
                (0..2).all(|who| Words::stands(s, who) <= most)
            }),
            Property::always("who has heard all holds the last word", |_, s: &Said| {
                let last = s.said.last().map(Claim::precedence);
                (0..2).all(|who| s.heard[who].len() < s.said.len() || Words::stands(s, who) == last)
            }),
            Property::sometimes(
                "a member is back in a second life, and known",
                |_, s: &Said| {
                    Words::stands(s, 0)
                        .is_some_and(|held| held.incarnation == 2 && held.final_state == 0)
                },
            ),
        ]
    }
}

#[test]
fn all_orders_of_a_small_history() {
    let checker = Words.checker().threads(2).spawn_bfs().join();
    println!("{} states", checker.unique_state_count());
    checker.assert_properties();
}
