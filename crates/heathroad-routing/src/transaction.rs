//! Changing the configuration: staged, applied at one instant, watched, then committed or undone. A
//! state machine without clock or I/O: it is told what happens, and answers with steps to be
//! carried out in order.
//!
//! One change at a time. Undoing is a change of its own, with a number of its own; what drained,
//! went or was revoked meanwhile belongs to the nodes and not to generations, and no undoing brings
//! it back.

use crate::condition::Match;
use crate::file::Route;
use crate::generation::Generation;
use crate::harm::{Sample, Watch};
use crate::journal::Record;
use crate::split::Share;
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::rc::{Rc, Weak};

/// Milliseconds of a clock that only goes forward.
pub type Millis = u64;

/// Bounds of a change.
#[derive(Debug, Clone)]
pub struct Terms {
    /// New pools must have nodes and warm connections within this.
    pub stage: Millis,
    /// A change is watched for so long before it is committed.
    pub probation: Millis,
    /// Most generations that requests may still be bound to, beside the one in force; a change past
    /// that waits.
    pub most_alive: usize,
    /// A change is judged before it is applied: [`Step::Judge`] asks, [`Event::Judged`] answers.
    pub judged: bool,
}

impl Default for Terms {
    fn default() -> Self {
        Terms {
            stage: 30_000,
            probation: 30_000,
            most_alive: 4,
            judged: false,
        }
    }
}

/// What happens.
#[derive(Debug)]
pub enum Event {
    /// A checked text is proposed. Its number is this machine's to give, unless it bears one that
    /// is higher than any that was given here: one that other machines know it by.
    Propose(Rc<Generation>),
    /// A pool that a generation stages has nodes and warm connections.
    Ready {
        /// The generation: an earlier one may have staged a pool of this name that is worded
        /// otherwise.
        number: u64,
        /// The pool.
        pool: String,
    },
    /// What was said of a change that was to be judged.
    Judged {
        /// The change.
        number: u64,
        /// Why it must not be applied; none if it may.
        why: Option<String>,
    },
    /// What a pool did since the last time.
    Saw(String, Sample),
    /// Somebody wants the change on probation undone, or the last committed one.
    Undo(String),
    /// Nothing new is begun: the daemon stops.
    Stop,
    /// Time passes.
    Tick,
}

/// What is to be done about it, in this order. A step that fails is told by [`Changer::failed`].
#[derive(Debug)]
pub enum Step {
    /// Write down, for good, before what follows.
    Write(Record),
    /// Make these pools of a generation ready: nodes heard, connections warm.
    Stage(Rc<Generation>, Vec<String>),
    /// All else is ready: say by [`Event::Judged`] whether this generation may be applied as things
    /// stand.
    Judge(Rc<Generation>),
    /// From this instant on new requests bind to this generation.
    Apply(Rc<Generation>),
    /// No generation to come names these pools: let them finish what they have, and go.
    Retire(Vec<String>),
    /// Tell whoever asked, and the log.
    Say(Said),
}

/// What is told of a change.
#[derive(Debug, Clone, PartialEq)]
pub enum Said {
    /// It is the same text as the one in force: nothing happens.
    Same(u64),
    /// Another change is under way; this one is turned down.
    Busy(u64),
    /// Requests are still bound to too many generations.
    Crowded(usize),
    /// The daemon stops.
    Stopping,
    /// It was taken, and is staged.
    Staging(u64),
    /// It is in force, on probation.
    Applied(u64),
    /// It stands.
    Committed(u64),
    /// It was given up before it was applied.
    GivenUp(u64, String),
    /// The change was undone by another, and why.
    Undone {
        /// The change.
        number: u64,
        /// The number of the one that undid it.
        by: u64,
        /// Why.
        why: String,
    },
    /// There is nothing to be undone.
    NothingToUndo,
}

/// Whether a change was judged.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Gate {
    /// It is to be, once all else is ready.
    Closed,
    /// It is asked for.
    Asked,
    /// It may be applied.
    Open,
}

#[derive(Debug)]
enum Phase {
    Steady,
    Staging {
        next: Rc<Generation>,
        missing: BTreeSet<String>,
        until: Millis,
        gate: Gate,
    },
    Probation {
        before: Rc<Generation>,
        watch: Watch,
        until: Millis,
    },
}

/// Changes the configuration, one change at a time.
#[derive(Debug)]
pub struct Changer {
    terms: Terms,
    current: Rc<Generation>,
    /// The one before the last committed change, to be undone on demand.
    previous: Option<Rc<Generation>>,
    /// What a start would begin with, and what it would have before the last record of that.
    stands: Rc<Generation>,
    stood: Option<Rc<Generation>>,
    phase: Phase,
    highest: u64,
    stopping: bool,
    /// What pools did lately, to hold a change against.
    recent: BTreeMap<String, Sample>,
    /// Generations that were in force, as long as requests are bound to them.
    alive: Vec<Weak<Generation>>,
}

/// A part of what pools did is forgotten with each look, so that the time before a change is the
/// time just before.
const FADE: f64 = 0.95;

impl Changer {
    /// Begins with a committed generation; `highest` is the highest number ever given.
    pub fn new(terms: Terms, current: Rc<Generation>, highest: u64) -> Self {
        let highest = highest.max(current.number);
        Changer {
            terms,
            stands: current.clone(),
            current,
            previous: None,
            stood: None,
            phase: Phase::Steady,
            highest,
            stopping: false,
            recent: BTreeMap::new(),
            alive: Vec::new(),
        }
    }

    /// What new requests bind to.
    pub fn current(&self) -> &Rc<Generation> {
        &self.current
    }

    /// So high a number was given elsewhere: the next one that is given here is higher.
    pub fn given(&mut self, number: u64) {
        self.highest = self.highest.max(number);
    }

    /// The change under way: its number, and whether it is in force already.
    pub fn open(&self) -> Option<(u64, bool)> {
        match &self.phase {
            Phase::Steady => None,
            Phase::Staging { next, .. } => Some((next.number, false)),
            Phase::Probation { .. } => Some((self.current.number, true)),
        }
    }

    /// How many generations that are no longer in force requests are still bound to. (What this
    /// machine itself keeps, to undo, is not counted.)
    pub fn alive(&mut self) -> usize {
        self.alive.retain(|g| g.strong_count() > 0);
        let before = match &self.phase {
            Phase::Probation { before, .. } => Some(before),
            _ => None,
        };
        let own = [
            before,
            self.previous.as_ref(),
            self.stood.as_ref(),
            Some(&self.stands),
        ];
        let kept = |g: &Weak<Generation>| {
            own.iter()
                .flatten()
                .filter(|o| std::ptr::eq(Rc::as_ptr(o), g.as_ptr()))
                .count()
        };
        self.alive
            .iter()
            .filter(|g| g.strong_count() > kept(g))
            .count()
    }

    /// Takes an event at a time, and appends what is to be done.
    pub fn handle(&mut self, now: Millis, event: Event, out: &mut Vec<Step>) {
        match event {
            Event::Propose(next) => self.propose(now, next, out),
            Event::Ready { number, pool } => {
                if let Phase::Staging { missing, next, .. } = &mut self.phase
                    && next.number == number
                {
                    missing.remove(&pool);
                }
                self.staged(now, out);
            }
            Event::Judged { number, why } => self.judged(now, number, why, out),
            Event::Saw(pool, sample) => self.saw(&pool, &sample, out),
            Event::Undo(why) => self.undo(now, why, out),
            Event::Stop => self.stop(out),
            Event::Tick => self.tick(now, out),
        }
    }

    fn propose(&mut self, now: Millis, next: Rc<Generation>, out: &mut Vec<Step>) {
        let alive = self.alive();
        let said = match self.open() {
            _ if self.stopping => Some(Said::Stopping),
            Some((number, _)) => Some(Said::Busy(number)),
            None if next.digest == self.current.digest => Some(Said::Same(self.current.number)),
            None if alive >= self.terms.most_alive => Some(Said::Crowded(alive)),
            None => None,
        };
        match said {
            Some(said) => out.push(Step::Say(said)),
            None => {
                let gate = if self.terms.judged {
                    Gate::Closed
                } else {
                    Gate::Open
                };
                self.stage(now, &next, gate, out);
            }
        }
    }

    fn stage(&mut self, now: Millis, next: &Generation, gate: Gate, out: &mut Vec<Step>) {
        self.highest = next.number.max(self.highest + 1);
        // It was checked when it was read, and reads the same under its number.
        let Ok(next) = Generation::read(self.highest, "", &next.text) else {
            return;
        };
        let missing: BTreeSet<String> = next
            .pools_unlike(&self.current)
            .map(str::to_string)
            .collect();
        out.push(Step::Write(Record::Opened {
            number: next.number,
            text: next.text.clone(),
        }));
        out.push(Step::Say(Said::Staging(next.number)));
        let pools = missing.iter().cloned().collect();
        out.push(Step::Stage(next.clone(), pools));
        self.phase = Phase::Staging {
            next,
            missing,
            until: now + self.terms.stage,
            gate,
        };
        self.staged(now, out);
    }

    /// Applies the change once nothing is missing and it was judged: last, since nodes may have
    /// drained meanwhile.
    fn staged(&mut self, now: Millis, out: &mut Vec<Step>) {
        let (next, gate) = match &mut self.phase {
            Phase::Staging {
                next,
                missing,
                gate,
                ..
            } if missing.is_empty() => (next.clone(), gate),
            _ => return,
        };
        match gate {
            Gate::Closed => {
                *gate = Gate::Asked;
                return out.push(Step::Judge(next));
            }
            Gate::Asked => return,
            Gate::Open => {}
        }
        let watch = self.watch(&next);
        out.push(Step::Write(Record::Applied {
            number: next.number,
        }));
        out.push(Step::Apply(next.clone()));
        out.push(Step::Say(Said::Applied(next.number)));
        let before = self.replace(next);
        self.phase = Phase::Probation {
            before,
            watch,
            until: now + self.terms.probation,
        };
    }

    fn judged(&mut self, now: Millis, number: u64, why: Option<String>, out: &mut Vec<Step>) {
        let gate = match &mut self.phase {
            Phase::Staging { next, gate, .. } if next.number == number && *gate == Gate::Asked => {
                gate
            }
            // The change was given up meanwhile.
            _ => return,
        };
        match why {
            Some(why) => self.give_up(why, out),
            None => {
                *gate = Gate::Open;
                self.staged(now, out);
            }
        }
    }

    fn replace(&mut self, next: Rc<Generation>) -> Rc<Generation> {
        let before = std::mem::replace(&mut self.current, next);
        self.alive.push(Rc::downgrade(&before));
        before
    }

    /// The pools whose definition or share of the requests changes, and whose requests the new ones
    /// take over.
    fn watch(&self, next: &Generation) -> Watch {
        let mut touched: BTreeSet<String> = next
            .pools_unlike(&self.current)
            .map(str::to_string)
            .collect();
        let mut heirs: BTreeMap<String, Vec<String>> = BTreeMap::new();
        let named = |g: &Generation, to: &[Share]| -> Vec<String> {
            to.iter()
                .filter(|s| s.weight > 0.0)
                .map(|s| g.config.pools[s.pool].name.clone())
                .collect()
        };
        let old: HashMap<&Match, &Route> = self
            .current
            .config
            .routes
            .iter()
            .map(|r| (&r.when, r))
            .collect();
        let mut seen = 0;
        for route in &next.config.routes {
            let now = named(next, &route.to);
            match old.get(&route.when) {
                Some(was) => {
                    seen += 1;
                    let before = named(&self.current, &was.to);
                    let weights = |r: &Route| r.to.iter().map(|s| s.weight).collect::<Vec<_>>();
                    if before != now || weights(was) != weights(route) {
                        touched.extend(before.iter().chain(&now).cloned());
                        now.iter().for_each(|p| {
                            heirs.entry(p.clone()).or_default().extend(before.clone());
                        });
                    }
                }
                // A new route takes its requests from some less specific one: from any pool.
                None => touched.extend(now),
            }
        }
        if seen < self.current.config.routes.len() {
            // What a removed route sent falls to others, which may be any that remain.
            let still: HashSet<&Match> = next.config.routes.iter().map(|r| &r.when).collect();
            for gone in self
                .current
                .config
                .routes
                .iter()
                .filter(|r| !still.contains(&r.when))
            {
                touched.extend(named(&self.current, &gone.to));
            }
        }
        Watch::new(self.recent.clone(), touched.into_iter().collect(), heirs)
    }

    fn saw(&mut self, pool: &str, sample: &Sample, out: &mut Vec<Step>) {
        match &mut self.phase {
            Phase::Probation { watch, .. } => {
                watch.saw(pool, sample);
                if let Some(harm) = watch.harm() {
                    self.undo_probation(&harm.words(), out);
                }
            }
            _ => {
                let recent = self.recent.entry(pool.to_string()).or_default();
                let Sample {
                    requests,
                    failed,
                    refused,
                    late,
                    cold,
                } = *recent;
                *recent = Sample {
                    requests: requests * FADE + sample.requests,
                    failed: failed * FADE + sample.failed,
                    refused: refused * FADE + sample.refused,
                    late: late * FADE + sample.late,
                    cold: cold.max(sample.cold) * FADE,
                };
            }
        }
    }

    fn undo(&mut self, now: Millis, why: String, out: &mut Vec<Step>) {
        match &self.phase {
            Phase::Staging { .. } => self.give_up(why, out),
            Phase::Probation { .. } => self.undo_probation(&why, out),
            Phase::Steady if self.stopping => out.push(Step::Say(Said::Stopping)),
            // A committed one is undone like any change: staged, for its pools may have gone, and
            // watched.
            Phase::Steady => match self.previous.clone() {
                // Not judged: nothing that is expected may stand in the way back.
                Some(previous) => self.stage(now, &previous, Gate::Open, out),
                None => out.push(Step::Say(Said::NothingToUndo)),
            },
        }
    }

    /// Back to the generation before, at one instant: its pools were kept.
    fn undo_probation(&mut self, why: &str, out: &mut Vec<Step>) {
        let Phase::Probation { before, .. } = std::mem::replace(&mut self.phase, Phase::Steady)
        else {
            return;
        };
        let undone = self.current.clone();
        self.highest += 1;
        let Ok(back) = Generation::read(self.highest, "", &before.text) else {
            return;
        };
        out.push(Step::Write(Record::Committed {
            number: back.number,
            text: back.text.clone(),
        }));
        out.push(Step::Apply(back.clone()));
        let (number, by, why) = (undone.number, back.number, why.to_string());
        out.push(Step::Say(Said::Undone { number, by, why }));
        self.replace(back);
        self.stands();
        self.retire(&undone, out);
    }

    /// What is in force is what a start would begin with.
    fn stands(&mut self) {
        self.stood = Some(std::mem::replace(&mut self.stands, self.current.clone()));
    }

    /// Lets the pools of a generation go that the present one does not name.
    fn retire(&self, of: &Generation, out: &mut Vec<Step>) {
        let gone: Vec<String> = of
            .config
            .pools
            .iter()
            .filter(|p| self.current.pool(&p.name).is_none())
            .map(|p| p.name.clone())
            .collect();
        if !gone.is_empty() {
            out.push(Step::Retire(gone));
        }
    }

    fn give_up(&mut self, why: String, out: &mut Vec<Step>) {
        let Phase::Staging { next, .. } = std::mem::replace(&mut self.phase, Phase::Steady) else {
            return;
        };
        out.push(Step::Write(Record::Closed {
            number: next.number,
            why: why.clone(),
        }));
        out.push(Step::Say(Said::GivenUp(next.number, why)));
        self.retire(&next, out);
    }

    /// A change that is not committed when the daemon stops is not started again; what is in force
    /// stays so to the end.
    fn stop(&mut self, out: &mut Vec<Step>) {
        self.stopping = true;
        if matches!(self.phase, Phase::Staging { .. }) {
            self.give_up("the daemon stops".into(), out);
        }
    }

    fn tick(&mut self, now: Millis, out: &mut Vec<Step>) {
        match &self.phase {
            Phase::Staging { missing, until, .. } if now >= *until => {
                let missing: Vec<&str> = missing.iter().map(String::as_str).collect();
                let why = match missing.as_slice() {
                    [] => "not judged in time".to_string(),
                    missing => format!("not ready in time: {}", missing.join(", ")),
                };
                self.give_up(why, out);
            }
            Phase::Probation { until, .. } if now >= *until && !self.stopping => {
                let Phase::Probation { before, watch, .. } =
                    std::mem::replace(&mut self.phase, Phase::Steady)
                else {
                    return;
                };
                let (number, text) = (self.current.number, self.current.text.clone());
                out.push(Step::Write(Record::Committed { number, text }));
                out.push(Step::Say(Said::Committed(number)));
                self.stands();
                self.retire(&before, out);
                self.previous = Some(before);
                // What was seen on probation is the time before the next change.
                self.recent = watch.into_seen();
            }
            _ => {}
        }
    }

    /// A step could not be carried out. What was not written down is not done: a change that can't
    /// be opened or applied is given up, one that can't be committed is undone.
    pub fn failed(&mut self, record: &Record, why: &str, out: &mut Vec<Step>) {
        match record {
            Record::Opened { .. } | Record::Applied { .. } => match &self.phase {
                Phase::Staging { .. } => self.give_up(why.to_string(), out),
                Phase::Probation { .. } => self.undo_probation(why, out),
                Phase::Steady => {}
            },
            // In force, but not for good: a start would begin with the one that was committed
            // before, and so this life goes back to it. (An undoing that can't be written down is
            // there already.)
            Record::Committed { number, .. } if *number == self.current.number => {
                let Some(stands) = self.stood.take() else {
                    return;
                };
                self.stands = stands.clone();
                if stands.text == self.current.text {
                    return;
                }
                self.highest += 1;
                let Ok(back) = Generation::read(self.highest, "", &stands.text) else {
                    return;
                };
                let undone = self.current.clone();
                out.push(Step::Apply(back.clone()));
                let (number, by, why) = (*number, back.number, why.to_string());
                out.push(Step::Say(Said::Undone { number, by, why }));
                self.replace(back);
                self.retire(&undone, out);
                self.previous = None;
            }
            _ => {}
        }
    }
}
