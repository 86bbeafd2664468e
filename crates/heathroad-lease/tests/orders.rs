//! All orders of a small history by a model checker: three voters, two candidates who want the same
//! duty at the same time, a voter that starts anew once with nothing. Questions come in any order;
//! answers come at once, but for some that are late: they come at any later time, also after
//! several others, or never. Time goes on whenever no more than that are under way.

use fastrand::Rng;
use heathroad_lease::electorate::Electorate;
use heathroad_lease::message::{Message, Send, What};
use heathroad_lease::seat::{Event, Seat, With};
use heathroad_lease::token::Token;
use heathroad_lease::voter::{Memory, Voter};
use heathroad_lease::{DutyId, Terms};
use heathroad_membership::{MemberId, Millis};
use stateright::{Checker, Model, Property};
use std::collections::BTreeSet;

const TERMS: Terms = Terms { lease: 8 };
/// Candidates are no voters here: 3 and 4.
const CANDIDATES: [MemberId; 2] = [3, 4];

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct Under {
    from: MemberId,
    to: MemberId,
    /// Of the receiver, where it is a voter.
    life: u64,
    message: Message,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct State {
    now: Millis,
    voters: Vec<(u64, Voter)>,
    seats: Vec<Seat>,
    way: BTreeSet<Under>,
    begun: Vec<Token>,
    restarted: u8,
}

#[derive(Debug, Clone, PartialEq, Eq)]
enum Step {
    /// To a voter, whose answer comes at once.
    Asked(Under),
    /// To a voter, whose answer is late; or to a candidate, late.
    Comes(Under),
    Time,
    Restart(MemberId),
}

struct Small {
    until: Millis,
    late: usize,
    restarts: u8,
}

fn electorate() -> Electorate {
    Electorate::new(0, vec![0, 1, 2], Vec::new(), 5).expect("good voters")
}

type Act = Box<dyn FnOnce(&mut Seat, Millis, &mut With<'_>)>;

impl State {
    fn seat(&mut self, n: usize, act: Act) {
        let (mut rng, mut out, electorate, now) =
            (Rng::with_seed(n as u64), Vec::new(), electorate(), self.now);
        let own = CANDIDATES[n];
        let (rng, sends) = (&mut rng, &mut out);
        let mut with = With {
            terms: TERMS,
            electorate: &electorate,
            own,
            clock: 100,
            rank: n as u16,
            rng,
            out: sends,
        };
        act(&mut self.seats[n], now, &mut with);
        let events: Vec<Event> = self.seats[n].events().collect();
        for event in events {
            if let Event::Begin { token, .. } = event {
                self.begun.push(token);
            }
        }
        for Send { to, message } in out {
            let (life, voter) = &mut self.voters[usize::from(to)];
            if let What::Look { .. } = message.what {
                // Nothing rests on what is answered to a look: it is answered at once.
                let Message { duty, what } = message;
                if let Some(answer) = voter.hear(now, own, 1, duty, what).0 {
                    let hear: Act =
                        Box::new(move |seat, now, with| seat.hear(now, to, answer, with));
                    self.seat(n, hear);
                }
                continue;
            }
            let life = *life;
            self.way.insert(Under {
                from: own,
                to,
                life,
                message,
            });
        }
    }
}

impl State {
    /// A voter hears a question: its answer.
    fn ask(&mut self, one: Under) -> Option<Under> {
        let Under {
            from,
            to,
            life,
            message: Message { duty, what },
        } = one;
        let (own, voter) = &mut self.voters[usize::from(to)];
        let answer = if *own == life {
            voter.hear(self.now, from, 1, duty, what).0
        } else {
            None
        };
        answer.map(|what| Under {
            from: to,
            to: from,
            life: 1,
            message: Message { duty, what },
        })
    }

    /// A candidate hears an answer.
    fn answer(&mut self, one: Under) {
        let n = usize::from(one.to - CANDIDATES[0]);
        self.seat(
            n,
            Box::new(move |seat, now, with| seat.hear(now, one.from, one.message.what, with)),
        );
    }
}

impl Model for Small {
    type State = State;
    type Action = Step;

    fn init_states(&self) -> Vec<State> {
        let duty = DutyId::of("conductor");
        // They started long before, so that their silence is over.
        let voter = || (1, Voter::new(0, 0, TERMS, 0, Memory::default()));
        let now = TERMS.kept(TERMS.lease);
        let seats = CANDIDATES.map(|_| Seat::new(now, duty)).to_vec();
        let voters = vec![voter(), voter(), voter()];
        let (way, begun) = (BTreeSet::new(), Vec::new());
        let mut state = State {
            now,
            voters,
            seats,
            way,
            begun,
            restarted: 0,
        };
        for n in 0..CANDIDATES.len() {
            state.seat(n, Box::new(Seat::tick));
        }
        vec![state]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Step>) {
        let late = state.way.iter().filter(|u| u.from < 3).count();
        for one in &state.way {
            if one.to < 3 {
                actions.push(Step::Asked(one.clone()));
            }
            if one.from < 3 || late < self.late {
                actions.push(Step::Comes(one.clone()));
            }
        }
        // Questions that are lost, or come later than this.
        if state.now < self.until && state.way.len() <= self.late {
            actions.push(Step::Time);
        }
        if state.restarted < self.restarts {
            actions.extend((0..3).map(Step::Restart));
        }
    }

    fn next_state(&self, last: &State, step: Step) -> Option<State> {
        let mut state = last.clone();
        match step {
            Step::Time => {
                state.now += 2;
                for n in 0..CANDIDATES.len() {
                    state.seat(n, Box::new(Seat::tick));
                }
            }
            Step::Restart(place) => {
                let (life, voter) = &mut state.voters[usize::from(place)];
                *life += 1;
                *voter = Voter::new(state.now, 0, TERMS, 0, Memory::default());
                state.restarted += 1;
            }
            Step::Asked(one) => {
                state.way.remove(&one);
                if let Some(answer) = state.ask(one) {
                    state.answer(answer);
                }
            }
            Step::Comes(one) => {
                state.way.remove(&one);
                if one.from < 3 {
                    state.answer(one);
                } else {
                    let answer = state.ask(one);
                    state.way.extend(answer);
                }
            }
        }
        (state != *last).then_some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        let one = |_: &Small, s: &State| {
            s.seats
                .iter()
                .filter(|seat| seat.holds(s.now).is_some())
                .count()
                < 2
        };
        let order = |_: &Small, s: &State| s.begun.windows(2).all(|w| w[0] < w[1]);
        vec![
            Property::always("one holds", one),
            Property::always("tokens begin in order", order),
            Property::sometimes("it is held", |_, s: &State| !s.begun.is_empty()),
            Property::sometimes("it goes on", |_, s: &State| s.begun.len() > 1),
        ]
    }
}

/// Whether it was held at all, and by one after another.
fn check(until: Millis, late: usize, restarts: u8) -> [bool; 2] {
    let start = TERMS.kept(TERMS.lease);
    let model = Small {
        until: start + until,
        late,
        restarts,
    };
    let checker = model.checker().threads(2).spawn_bfs().join();
    println!(
        "{until} ms, {late} late, {restarts} restarts: {} states",
        checker.unique_state_count()
    );
    for name in ["one holds", "tokens begin in order"] {
        checker.assert_no_discovery(name);
    }
    ["it is held", "it goes on"].map(|name| checker.discovery(name).is_some())
}

/// `DUTY_ORDERS` and `DUTY_LATE` ask for a longer history, and for more that is late or lost in
/// each of its steps of 2 ms.
#[test]
fn all_orders_of_a_small_history() {
    let number = |name: &str| std::env::var(name).ok().and_then(|v| v.parse::<u8>().ok());
    if let (Some(until), Some(late)) = (number("DUTY_ORDERS"), number("DUTY_LATE")) {
        check(until.into(), late.into(), 1);
        return;
    }
    assert_eq!(check(8, 0, 1), [true, true]);
    assert!(check(0, 1, 0)[0]);
}
