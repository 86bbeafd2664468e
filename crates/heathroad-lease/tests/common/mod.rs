//! A fleet with duties on a network of the test's own, in time of the test's own; and a judge of
//! what its holders did.
#![allow(dead_code, reason = "each test file uses its part of it")]

use fastrand::Rng;
use heathroad_lease::duties::{Duties, Output, Settings};
use heathroad_lease::electorate::Electorate;
use heathroad_lease::fence::Fences;
use heathroad_lease::message::{Message, What};
use heathroad_lease::seat::Event;
use heathroad_lease::token::Token;
use heathroad_lease::voter::{Mark, Memory};
use heathroad_lease::{DutyId, Terms};
use heathroad_membership::{MemberId, Millis};
use std::cmp::Reverse;
use std::collections::BinaryHeap;

pub const LEASE: Millis = 1000;
pub const UNIX: u64 = 1_790_000_000_000;

pub fn duty() -> DutyId {
    DutyId::of("conductor")
}

/// What may go wrong with a message.
#[derive(Debug, Clone, Default)]
pub struct Faults {
    pub loss: f64,
    pub twice: f64,
    /// Longest way, in milliseconds.
    pub delay: Millis,
    /// Ways on which nothing comes through.
    pub cut: Vec<(MemberId, MemberId)>,
}

/// Of a proxy's own.
pub struct Proxy {
    pub duties: Option<Duties>,
    /// What it has on disk; nothing is kept where there is no disk.
    pub disk: Memory,
    pub has_disk: bool,
    pub life: u64,
    pub stalled: Millis,
    /// Its clock is ahead by so much, and runs faster by so many thousandths.
    pub ahead: Millis,
    pub fast: i64,
    /// Its wall clock is off by so many seconds.
    pub unix_off: i64,
    pub electorate: Electorate,
    waiting: Vec<(MemberId, u64, u64, Message)>,
}

/// What was acted on: when, by whom, by which token; whether it was taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Done {
    pub at: Millis,
    pub by: MemberId,
    pub token: Token,
    pub taken: bool,
}

/// An act that is under way: its holder has looked, and not yet written.
struct UnderWay {
    at: Millis,
    by: MemberId,
    life: u64,
    token: Token,
}

/// When a message comes, its number, to whom in which life, from whom in which life, and what it
/// is.
type Due = (Millis, u64, MemberId, u64, MemberId, u64, Message);

pub struct World {
    pub now: Millis,
    pub proxies: Vec<Proxy>,
    pub faults: Faults,
    pub rng: Rng,
    /// What happened, by whom.
    pub events: Vec<(Millis, MemberId, Event)>,
    /// What is acted on, and whether it looks at tokens.
    pub fences: Fences,
    pub checks: bool,
    pub acts: Vec<Done>,
    pub sent: u64,
    /// Questions by who asked.
    pub asked: Vec<u64>,
    pub kept: u64,
    pub longest: usize,
    /// A holder acts so often.
    pub acting: Option<Millis>,
    /// A share of acts is long on its way.
    pub late: f64,
    next_act: Vec<Millis>,
    under_way: Vec<UnderWay>,
    queue: BinaryHeap<Reverse<Due>>,
    count: u64,
    terms: Terms,
}

pub fn electorate(voters: u16, members: u16) -> Electorate {
    Electorate::new(0, (0..voters).collect(), Vec::new(), members).expect("good voters")
}

impl World {
    pub fn new(members: u16, voters: u16, seed: u64) -> World {
        World::with_lease(members, voters, seed, LEASE)
    }

    pub fn with_lease(members: u16, voters: u16, seed: u64, lease: Millis) -> World {
        let electorate = electorate(voters, members);
        let proxy = |_| Proxy {
            duties: None,
            disk: Memory::default(),
            has_disk: true,
            life: 0,
            stalled: 0,
            ahead: 0,
            fast: 0,
            unix_off: 0,
            electorate: electorate.clone(),
            waiting: Vec::new(),
        };
        let mut world = World {
            now: 0,
            proxies: (0..members).map(proxy).collect(),
            faults: Faults {
                delay: 12,
                ..Faults::default()
            },
            rng: Rng::with_seed(seed),
            events: Vec::new(),
            fences: Fences::default(),
            checks: true,
            acts: Vec::new(),
            sent: 0,
            asked: vec![0; usize::from(members)],
            kept: 0,
            longest: 0,
            acting: None,
            late: 0.0,
            next_act: vec![0; usize::from(members)],
            under_way: Vec::new(),
            queue: BinaryHeap::new(),
            count: 0,
            terms: Terms { lease },
        };
        (0..members).for_each(|p| world.start(p));
        world
    }

    fn clock(&self, place: MemberId) -> Millis {
        let p = &self.proxies[usize::from(place)];
        let ran = self.now as i64 + self.now as i64 * p.fast / 1000;
        p.ahead + ran as Millis
    }

    pub fn start(&mut self, place: MemberId) {
        let at = usize::from(place);
        let (now, seed) = (self.clock(place), self.rng.u64(..));
        let unix = (UNIX + self.now).saturating_add_signed(1000 * self.proxies[at].unix_off);
        let p = &mut self.proxies[at];
        p.life += 1;
        p.waiting.clear();
        let settings = Settings {
            own: place,
            electorate: p.electorate.clone(),
            terms: self.terms,
            duties: vec![duty()],
            seed,
        };
        let memory = if p.has_disk {
            p.disk.clone()
        } else {
            Memory::default()
        };
        p.duties = Some(Duties::new(now, unix, settings, memory));
        self.see();
    }

    pub fn kill(&mut self, place: MemberId) {
        self.proxies[usize::from(place)].duties = None;
        self.see();
    }

    pub fn stall(&mut self, place: MemberId, time: Millis) {
        self.proxies[usize::from(place)].stalled = self.now + time;
    }

    /// All know who runs; membership is another package's.
    fn see(&mut self) {
        let there: Vec<MemberId> = self.running();
        for p in &mut self.proxies {
            if let Some(d) = &mut p.duties {
                d.present(there.clone());
            }
        }
    }

    pub fn running(&self) -> Vec<MemberId> {
        (0..self.proxies.len() as MemberId)
            .filter(|p| self.proxies[usize::from(*p)].duties.is_some())
            .collect()
    }

    /// Nothing goes from the one side to the other, nor back.
    pub fn cut(&mut self, one: &[MemberId], other: &[MemberId]) {
        for a in one {
            for b in other {
                self.faults.cut.extend([(*a, *b), (*b, *a)]);
            }
        }
    }

    pub fn duties(&self, place: MemberId) -> &Duties {
        self.proxies[usize::from(place)]
            .duties
            .as_ref()
            .expect("it runs")
    }

    /// Does something with one, and what follows from that.
    pub fn with(&mut self, place: MemberId, act: impl FnOnce(&mut Duties, Millis)) {
        let now = self.clock(place);
        if let Some(d) = &mut self.proxies[usize::from(place)].duties {
            act(d, now);
        }
        self.collect(place);
    }

    /// Whoever believes to hold it now, and by which token. Stalled ones believe nothing: they look
    /// when they wake.
    pub fn holders(&self) -> Vec<(MemberId, Token)> {
        let holds = |p: MemberId| {
            let proxy = &self.proxies[usize::from(p)];
            let duties = proxy
                .duties
                .as_ref()
                .filter(|_| proxy.stalled <= self.now)?;
            duties.holds(self.clock(p), duty()).map(|t| (p, t))
        };
        (0..self.proxies.len() as MemberId)
            .filter_map(holds)
            .collect()
    }

    pub fn holder(&self) -> Option<MemberId> {
        self.holders().first().map(|(p, _)| *p)
    }

    fn collect(&mut self, place: MemberId) {
        let at = usize::from(place);
        loop {
            let Some(d) = &mut self.proxies[at].duties else {
                return;
            };
            let outputs: Vec<Output> = d.outputs().collect();
            if outputs.is_empty() {
                return;
            }
            let life = self.proxies[at].life;
            for output in outputs {
                match output {
                    Output::Keep(memory) => {
                        self.kept += 1;
                        self.proxies[at].disk = memory;
                    }
                    Output::Event(_, event) => self.events.push((self.now, place, event)),
                    Output::Stands(..) => {}
                    Output::Send(send) if send.to == place => {
                        let now = self.clock(place);
                        if let Some(d) = &mut self.proxies[at].duties {
                            d.hear(now, place, life, send.message);
                        }
                    }
                    Output::Send(send) => {
                        self.sent += 1;
                        self.asked[at] += u64::from(matches!(
                            send.message.what,
                            What::Ask { .. } | What::Look { .. }
                        ));
                        self.longest = self.longest.max(send.message.write().len());
                        let copies = 1 + u64::from(self.rng.f64() < self.faults.twice);
                        for _ in 0..copies {
                            let lost = self.rng.f64() < self.faults.loss
                                || self.faults.cut.contains(&(place, send.to));
                            if lost {
                                continue;
                            }
                            // A copy may come very late.
                            let late = if copies > 1 {
                                self.rng.u64(0..3 * LEASE)
                            } else {
                                0
                            };
                            let due =
                                self.now + 1 + self.rng.u64(0..self.faults.delay.max(1)) + late;
                            self.count += 1;
                            let theirs = self.proxies[usize::from(send.to)].life;
                            let one = (
                                due,
                                self.count,
                                send.to,
                                theirs,
                                place,
                                life,
                                send.message.clone(),
                            );
                            self.queue.push(Reverse(one));
                        }
                    }
                }
            }
        }
    }

    fn bring(&mut self, to: MemberId, theirs: u64, from: MemberId, life: u64, message: Message) {
        let now = self.clock(to);
        let proxy = &mut self.proxies[usize::from(to)];
        // The fleet's datagrams name the receiver's life, and those of a sender's ended life are
        // turned away.
        if proxy.life == theirs && proxy.life > 0 {
            if let Some(d) = &mut proxy.duties {
                let bytes = message.write();
                d.receive(now, from, life, &bytes);
            }
            self.collect(to);
        }
    }

    /// A holder looks, and writes some time after that: in between anything may happen.
    fn act(&mut self, place: MemberId) {
        let Some(every) = self.acting else { return };
        let at = usize::from(place);
        if self.now < self.next_act[at] {
            return;
        }
        let now = self.clock(place);
        let Some(token) = self.proxies[at]
            .duties
            .as_ref()
            .and_then(|d| d.holds(now, duty()))
        else {
            return;
        };
        self.next_act[at] = self.now + every;
        let most = if self.rng.f64() < self.late {
            2 * LEASE
        } else {
            20
        };
        let way = 1 + self.rng.u64(0..most);
        let life = self.proxies[at].life;
        self.under_way.push(UnderWay {
            at: self.now + way,
            by: place,
            life,
            token,
        });
    }

    fn acts_come(&mut self) {
        let now = self.now;
        let stalled: Vec<Millis> = self.proxies.iter().map(|p| p.stalled).collect();
        let lives: Vec<u64> = self
            .proxies
            .iter()
            .map(|p| if p.duties.is_some() { p.life } else { 0 })
            .collect();
        // What a stalled holder had looked for is written when it wakes; what a dead one had,
        // never.
        self.under_way
            .retain(|u| lives[usize::from(u.by)] == u.life);
        for u in self
            .under_way
            .extract_if(.., |u| now >= u.at.max(stalled[usize::from(u.by)]))
        {
            let taken = self.fences.admit(duty(), u.token) || !self.checks;
            self.acts.push(Done {
                at: now,
                by: u.by,
                token: u.token,
                taken,
            });
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
            if holds(self) {
                return Some(self.now);
            }
            self.now += 1;
            self.acts_come();
            while self
                .queue
                .peek()
                .is_some_and(|Reverse((at, ..))| *at <= self.now)
            {
                let Some(Reverse((_, _, to, theirs, from, life, message))) = self.queue.pop()
                else {
                    break;
                };
                if self.proxies[usize::from(to)].stalled > self.now {
                    self.proxies[usize::from(to)]
                        .waiting
                        .push((from, theirs, life, message));
                } else {
                    self.bring(to, theirs, from, life, message);
                }
            }
            for place in 0..self.proxies.len() as MemberId {
                let at = usize::from(place);
                if self.proxies[at].stalled > self.now || self.proxies[at].duties.is_none() {
                    continue;
                }
                for (from, theirs, life, message) in std::mem::take(&mut self.proxies[at].waiting) {
                    self.bring(place, theirs, from, life, message);
                }
                let now = self.clock(place);
                if self.duties(place).due() <= now {
                    self.with(place, Duties::tick);
                }
                self.act(place);
            }
        }
        holds(self).then_some(self.now)
    }

    /// Tokens in the order in which they began, each by one holder.
    pub fn begun(&self) -> Vec<(Millis, MemberId, Token, Option<Mark>)> {
        let begin = |(at, by, event): &(Millis, MemberId, Event)| match event {
            Event::Begin { token, mark } => Some((*at, *by, *token, mark.clone())),
            _ => None,
        };
        self.events.iter().filter_map(begin).collect()
    }

    /// What the rules say of all that was done: acts that were taken are in the order of their
    /// tokens, and each token is one holder's.
    pub fn judge(&self) -> Result<(), String> {
        let mut last = Token::default();
        for done in self.acts.iter().filter(|d| d.taken) {
            if done.token < last {
                return Err(format!("{done:?} after {last}"));
            }
            if done.token.place() != done.by {
                return Err(format!("{done:?} by another's token"));
            }
            last = done.token;
        }
        let mut highest = Token::default();
        for (at, by, token, _) in self.begun() {
            if token <= highest {
                return Err(format!("{by} began at {at} by {token}, after {highest}"));
            }
            highest = token;
        }
        Ok(())
    }
}
