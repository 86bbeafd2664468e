//! A proxy's own part of the protocol. It is told what happens at which time, and says what is to
//! be sent.
//!
//! Each period one member is asked whether it is there, by turns; if it does not answer in time,
//! some others are asked to ask it. Who answers nobody is suspected, and can say that it is there;
//! who says nothing is gone. A proxy that has just woken, or hears nobody, accuses nobody: the
//! fault may be its own.

pub mod carry;
pub mod fetch;
mod probe;
mod receive;

use crate::desired_version::{Desired, DesiredVersion, Required};
use crate::gossip::{Gossip, Topic};
use crate::health::Health;
use crate::pace::Pace;
use crate::seal::{Dropped, Seal};
use crate::table::{Acts, Claim, Incarnation, Member, Merged, Standing, Table};
use crate::version::{Digest, Version};
use crate::wire::{self, Head, Kind, MAX_DATAGRAM, SEAL, SPOKEN, Writer};
use crate::{MemberId, Millis};
use carry::Carried;
use fetch::{Asked, Fetch, Fetched, Served};
use probe::{Helping, Probe};
use serde::Serialize;
use std::collections::VecDeque;

/// Times and bounds of the protocol.
#[derive(Debug, Clone)]
pub struct Config {
    /// One member is asked in each period.
    pub period: Millis,
    /// An answer that is later than this is asked for through others.
    pub answer: Millis,
    /// So many others.
    pub helpers: usize,
    /// While there is news, it is told so often,
    pub gossip: Millis,
    /// to so many members.
    pub gossip_to: usize,
    /// A suspicion runs for so many periods, times the logarithm to base ten of the members that
    /// are there (but at least one), once enough accuse;
    pub suspicion: u64,
    /// and so many times as long while only one does.
    pub doubt: u64,
    /// Enough accusers.
    pub accusers: usize,
    /// Most datagrams a second, those of texts and of others' messages not counted.
    pub most: u32,
    /// Most datagrams of texts a second.
    pub texts: u32,
    /// Most datagrams with messages of others a second.
    pub carries: u32,
}

impl Config {
    /// The usual ones, with all times in proportion to a period.
    pub fn with_period(period: Millis) -> Config {
        let usual = Config::default();
        let scaled = |time: Millis| (time * period / usual.period).max(1);
        Config {
            period,
            answer: scaled(usual.answer),
            gossip: scaled(usual.gossip),
            ..usual
        }
    }
}

impl Default for Config {
    fn default() -> Self {
        Config {
            period: 1000,
            answer: 250,
            helpers: 3,
            gossip: 200,
            gossip_to: 3,
            suspicion: 2,
            doubt: 4,
            accusers: 3,
            most: 40,
            texts: 200,
            carries: 200,
        }
    }
}

/// A datagram to be sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Send {
    /// To whom.
    pub to: MemberId,
    /// At most [`MAX_DATAGRAM`] bytes.
    pub bytes: Vec<u8>,
}

/// What is worth a line in a log.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase", tag = "what")]
pub enum Event {
    /// A member is there; `life` tells which of its lives.
    Up {
        /// The member.
        member: MemberId,
        /// Its life.
        life: u64,
    },
    /// A member is suspected.
    Suspected {
        /// The member.
        member: MemberId,
        /// Who accuses.
        by: MemberId,
    },
    /// A member that was suspected is there.
    Refuted {
        /// The member.
        member: MemberId,
    },
    /// A member is gone.
    Gone {
        /// The member.
        member: MemberId,
    },
    /// A member said that it stops.
    Left {
        /// The member.
        member: MemberId,
    },
    /// A member acts on another version.
    Acts {
        /// The member.
        member: MemberId,
        /// The version's digest.
        digest: Digest,
    },
    /// This proxy was taken for gone, or for an older life of itself, and goes on in a new one.
    Reborn {
        /// Its life now.
        life: u64,
    },
    /// This proxy did nothing for so long, by no will of its own.
    Woke {
        /// Milliseconds.
        after: Millis,
    },
    /// All are to act on another generation of routes.
    Wanted {
        /// Its number.
        number: u64,
        /// The digest of its text.
        digest: Digest,
    },
    /// From some time on nobody is to act on a lower generation.
    Required {
        /// The generation's number.
        number: u64,
    },
    /// Two texts were committed under one number.
    Conflict {
        /// The number.
        number: u64,
        /// Their digests.
        digests: [Digest; 2],
    },
    /// This proxy hears nobody.
    CutOff,
    /// It hears somebody again.
    Heard,
}

/// What was sent and heard, and what of that came to nothing.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct Traffic {
    /// Datagrams sent.
    pub sent: u64,
    /// Their bytes.
    pub sent_bytes: u64,
    /// Datagrams that were used.
    pub heard: u64,
    /// Not sent, since as many had gone as may in a second.
    pub held_back: u64,
    /// Not used.
    pub dropped: Dropped,
}

/// What is told of a member.
#[derive(Debug, Clone, Serialize)]
pub struct View {
    /// Its place.
    pub place: MemberId,
    /// How it stands.
    pub standing: Standing,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// For so many milliseconds.
    pub for_ms: Millis,
    /// So many milliseconds ago something of its own was heard; never, if none. Not told of this
    /// proxy itself.
    pub heard_ms: Option<Millis>,
    /// Who accuses it.
    pub accusers: Vec<MemberId>,
    /// Protocols that it speaks.
    pub protocols: [u8; 2],
    /// The digest of what it acts on, and its how-manieth in its life.
    pub acts: Option<(Digest, u32)>,
    /// What that stands for, where it was told.
    pub version: Option<Version>,
}

/// Most news that waits to be taken.
const NEWS: usize = 256;
/// A proxy that has heard nobody for so many periods is cut off. (Its doubt of itself does not
/// count: that grows as it hears nobody, and it would accuse others for as long.)
const SILENCE: u64 = 4;
/// Most questions that are out to confirm that it is heard.
const ASKING: usize = 8;
/// Most digests asked after at a time.
const QUESTIONS: usize = 2;

/// A proxy's view of its fleet, and its part in it.
#[derive(Clone)]
pub struct Membership {
    terms: Config,
    seal: Seal,
    own: MemberId,
    me: Incarnation,
    number: u32,
    table: Table,
    gossip: Gossip,
    health: Health,
    rng: fastrand::Rng,
    /// Members in the order in which they are asked, and whose turn is next.
    order: Vec<MemberId>,
    turn: usize,
    probe: Option<Probe>,
    helping: Vec<Helping>,
    next_period: Millis,
    next_gossip: Millis,
    pace: Pace,
    texts: Pace,
    carries: Pace,
    carried: Vec<Carried>,
    fetches: Vec<Fetch>,
    fetched: Vec<Fetched>,
    asked: Vec<Asked>,
    served: VecDeque<Served>,
    /// When somebody was last heard, by this proxy's clock.
    heard: Millis,
    confirmed: Option<Millis>,
    /// Questions that are out to confirm that it is heard, and since when.
    asking: VecDeque<(u32, Millis)>,
    /// When it was to be told of the time next, as things stood when it was told last.
    planned: Millis,
    cut_off: bool,
    stopped: bool,
    traffic: Traffic,
    news: Vec<Event>,
    out: Vec<Send>,
}

impl Membership {
    /// One of a fleet of `members`, at its place among them, in a life of its own: Unix time in
    /// milliseconds.
    pub fn new(
        now: Millis,
        seal: Seal,
        own: MemberId,
        members: u16,
        life: u64,
        seed: u64,
        terms: Config,
    ) -> Membership {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut order: Vec<MemberId> = (0..members).filter(|m| *m != own).collect();
        rng.shuffle(&mut order);
        // Those that start together do not ask together.
        let first = now + rng.u64(0..terms.gossip.max(1));
        let me = Incarnation { life, turn: 0 };
        let mut fleet = Membership {
            pace: Pace::new(now, terms.most),
            texts: Pace::new(now, terms.texts),
            carries: Pace::new(now, terms.carries),
            carried: Vec::new(),
            fetches: Vec::new(),
            fetched: Vec::new(),
            asked: Vec::new(),
            served: VecDeque::new(),
            terms,
            seal,
            own,
            me,
            number: 0,
            table: Table::new(members),
            gossip: Gossip::default(),
            health: Health::default(),
            rng,
            order,
            turn: 0,
            probe: None,
            helping: Vec::new(),
            next_period: first,
            next_gossip: first,
            heard: now,
            confirmed: None,
            asking: VecDeque::new(),
            planned: first,
            cut_off: false,
            stopped: false,
            traffic: Traffic::default(),
            news: Vec::new(),
            out: Vec::new(),
        };
        fleet.say_alive(now);
        fleet
    }

    /// When [`Membership::tick`] is to be called at the latest.
    pub fn due(&self) -> Millis {
        let suspicions = self
            .table
            .all()
            .filter_map(|(_, m)| m.suspicion.as_ref().map(|s| s.until));
        let helping = self.helping.iter().map(|h| h.nack_at);
        let probe = self.probe.iter().flat_map(Probe::times);
        let gossip = if self.gossip.any() {
            self.next_gossip
        } else {
            Millis::MAX
        };
        let fetches = self.fetches_due();
        suspicions
            .chain(helping)
            .chain(probe)
            .chain(fetches)
            .chain([self.next_period, gossip])
            .min()
            .unwrap_or(Millis::MAX)
    }

    /// Time passes: what is due is done.
    pub fn tick(&mut self, now: Millis) {
        if self.stopped {
            return;
        }
        self.look_at_clock(now);
        self.expire(now);
        self.help_ends(now);
        self.probe_goes_on(now);
        self.fetches_go_on(now);
        if now >= self.next_period {
            self.next_period = now + self.terms.period * self.health.factor();
            self.begin_probe(now);
            self.ask(now);
        }
        if now >= self.next_gossip && self.gossip.any() {
            self.next_gossip = now + self.terms.gossip;
            self.spread(now);
        }
        self.planned = self.due().max(now);
    }

    /// What is to be sent since the last look.
    pub fn sends(&mut self) -> std::vec::Drain<'_, Send> {
        self.out.drain(..)
    }

    /// What has happened since the last look, as far as there was room.
    pub fn news(&mut self) -> std::vec::Drain<'_, Event> {
        self.news.drain(..)
    }

    /// What this proxy acts on from now on.
    pub fn act_on(&mut self, version: Version) {
        let (version, change) = (version.bounded(), self.acts().map_or(1, |a| a.change + 1));
        let digest = version.digest();
        if self.acts().is_some_and(|a| a.digest == digest) {
            return;
        }
        self.table.acts(
            self.own,
            Acts {
                life: self.me.life,
                change,
                digest,
            },
        );
        self.table.keep(version);
        self.gossip.news(Topic::Acts(self.own));
    }

    fn acts(&self) -> Option<Acts> {
        self.table.get(self.own).and_then(|m| m.acts)
    }

    /// Tells some others that this proxy stops, and does nothing from then on.
    pub fn leave(&mut self, now: Millis) {
        let claim = Claim {
            member: self.own,
            standing: Standing::Left,
            incarnation: self.me,
            by: self.own,
        };
        self.table.merge(now, claim);
        self.gossip.news(Topic::Standing(self.own));
        self.spread(now);
        self.spread(now);
        self.stopped = true;
    }

    /// This proxy's place.
    pub fn own(&self) -> MemberId {
        self.own
    }

    /// A generation was committed here, and is required of all within a time, if that is said.
    pub fn want(&mut self, now: Millis, number: u64, digest: Digest, within: Option<Millis>) {
        self.wanted(Desired::Version(DesiredVersion {
            generation: number,
            digest,
            by: self.own,
        }));
        if let Some(within) = within {
            self.required(Required {
                number,
                digest,
                at: now.saturating_add(within),
            });
        }
    }

    fn required(&mut self, word: Required) {
        if self.table.require(word) {
            self.gossip.news(Topic::Wanted);
            self.tell(Event::Required {
                number: word.number,
            });
        }
    }

    fn wanted(&mut self, other: Desired) {
        if self.table.want(other) {
            self.gossip.news(Topic::Wanted);
            match self.table.wanted() {
                Desired::Version(w) => self.tell(Event::Wanted {
                    number: w.generation,
                    digest: w.digest,
                }),
                Desired::Conflict(c) => self.tell(Event::Conflict {
                    number: c.number,
                    digests: c.digests,
                }),
                Desired::Unset => {}
            }
        }
    }

    /// A member that is there and acts on routes with a digest, by chance: where their text can be
    /// fetched.
    pub fn source_of(&mut self, routes: Digest) -> Option<MemberId> {
        let all: Vec<MemberId> = self
            .table
            .acting_on(routes)
            .filter(|p| *p != self.own)
            .collect();
        (!all.is_empty()).then(|| all[self.rng.usize(0..all.len())])
    }

    /// When a question was begun that was answered since: all that the answerer knew then is known
    /// here.
    pub fn confirmed(&self) -> Option<Millis> {
        self.confirmed
    }

    /// Asks somebody who is there, by chance, beside the periods' questions: for
    /// [`Membership::confirmed`].
    pub fn confirm(&mut self, now: Millis) {
        let lately = |(_, begun): &(u32, Millis)| now.saturating_sub(*begun) < self.terms.answer;
        if self.asking.back().is_some_and(lately) {
            return;
        }
        let Some(to) = self.some(1, None).pop() else {
            return;
        };
        let nonce = self.rng.u32(..);
        if self.asking.len() >= ASKING {
            self.asking.pop_front();
        }
        self.asking.push_back((nonce, now));
        self.send(now, to, Kind::Ping { nonce });
    }

    /// Whether more than half of the fleet's places are there, as far as is known.
    pub fn majority(&self) -> bool {
        2 * self.table.present() > usize::from(self.table.places())
    }

    /// This proxy's present incarnation.
    pub fn incarnation(&self) -> Incarnation {
        self.me
    }

    /// Whether it hears nobody.
    pub fn cut_off(&self) -> bool {
        self.cut_off
    }

    /// How long it has heard nobody.
    pub fn silent_for(&self, now: Millis) -> Millis {
        now.saturating_sub(self.heard)
    }

    /// By how much it doubts itself: 1 is not at all.
    pub fn doubt(&self) -> u64 {
        self.health.factor()
    }

    /// What was sent and heard.
    pub fn traffic(&self) -> Traffic {
        self.traffic
    }

    /// All that is known of members.
    pub fn table(&self) -> &Table {
        &self.table
    }

    /// All members, for people.
    pub fn members(&self, now: Millis) -> Vec<View> {
        let view = |(place, m): (MemberId, &Member)| View {
            place,
            standing: m.standing,
            incarnation: m.incarnation,
            for_ms: now.saturating_sub(m.since),
            heard_ms: m.heard.map(|h| now.saturating_sub(h)),
            accusers: m
                .suspicion
                .as_ref()
                .map(|s| s.accusers.clone())
                .unwrap_or_default(),
            protocols: m.spoken,
            acts: m.acts.map(|a| (a.digest, a.change)),
            version: m.acts.and_then(|a| self.table.version(a.digest).cloned()),
        };
        self.table.all().map(view).collect()
    }

    fn tell(&mut self, news: Event) {
        if self.news.len() < NEWS {
            self.news.push(news);
        }
    }

    /// This proxy's own word that it is there.
    fn say_alive(&mut self, now: Millis) {
        let claim = Claim {
            member: self.own,
            standing: Standing::Alive,
            incarnation: self.me,
            by: self.own,
        };
        self.table.merge(now, claim);
        self.gossip.news(Topic::Standing(self.own));
    }

    /// Goes on in a life later than one that others know of.
    fn reborn(&mut self, now: Millis, after: u64) {
        self.me = Incarnation {
            life: after.max(self.me.life) + 1,
            turn: 0,
        };
        self.say_alive(now);
        if let Some(acts) = self.acts() {
            self.table.acts(
                self.own,
                Acts {
                    life: self.me.life,
                    change: 1,
                    digest: acts.digest,
                },
            );
            self.gossip.news(Topic::Acts(self.own));
        }
        self.tell(Event::Reborn { life: self.me.life });
    }

    /// A proxy that was stopped, or got no time, finds all its waits over at once. Nothing follows
    /// from that: what others said meanwhile is not read yet.
    fn look_at_clock(&mut self, now: Millis) {
        let late = now.saturating_sub(self.planned);
        if late >= self.terms.period {
            self.probe = None;
            self.helping.clear();
            self.next_period = now + self.terms.answer;
            self.heard += late.min(now.saturating_sub(self.heard));
            for m in self.table.all_mut() {
                if let Some(s) = &mut m.suspicion {
                    s.until = s.until.saturating_add(late);
                }
            }
            self.health.worse(1);
            self.tell(Event::Woke { after: late });
        }
        let silence = SILENCE * self.terms.period;
        if !self.cut_off && self.silent_for(now) > silence && self.table.present() > 1 {
            self.cut_off = true;
            self.tell(Event::CutOff);
        }
    }

    /// Suspected members that said nothing in time are gone, unless it is this proxy that hears
    /// nothing.
    fn expire(&mut self, now: Millis) {
        if self.cut_off {
            return;
        }
        let over = |m: &Member| m.suspicion.as_ref().is_some_and(|s| s.until <= now);
        let gone: Vec<MemberId> = self
            .table
            .all()
            .filter(|(_, m)| over(m))
            .map(|(place, _)| place)
            .collect();
        for member in gone {
            if let Some(claim) = self.table.claim(member) {
                self.hear(
                    now,
                    Claim {
                        standing: Standing::Gone,
                        by: self.own,
                        ..claim
                    },
                );
            }
        }
    }

    /// Takes a word on another member, and passes it on if it is news.
    fn hear(&mut self, now: Millis, claim: Claim) {
        let member = claim.member;
        match self.table.merge(now, claim) {
            Merged::Old => return,
            Merged::Seconded => {}
            Merged::New { before, life } => match claim.standing {
                Standing::Suspect => self.tell(Event::Suspected {
                    member,
                    by: claim.by,
                }),
                Standing::Gone => self.tell(Event::Gone { member }),
                Standing::Left => self.tell(Event::Left { member }),
                _ if before == Standing::Alive && life == claim.incarnation.life => {}
                _ if before == Standing::Suspect && life == claim.incarnation.life => {
                    self.tell(Event::Refuted { member })
                }
                _ => self.tell(Event::Up {
                    member,
                    life: claim.incarnation.life,
                }),
            },
        }
        self.gossip.news(Topic::Standing(member));
        let (least, most) = self.suspicion();
        // No more can accuse than are there beside the two.
        let enough = self
            .terms
            .accusers
            .min(self.table.present().saturating_sub(2));
        if let Some(s) = self
            .table
            .get_mut(member)
            .and_then(|m| m.suspicion.as_mut())
        {
            // Lifeguard: each further accuser, up to enough, shortens the wait.
            let further = s.accusers.len().saturating_sub(1).min(enough) as f64;
            let share = if enough == 0 {
                1.0
            } else {
                (further + 1.0).ln() / (enough as f64 + 1.0).ln()
            };
            s.until = s.since + (most as f64 - (most - least) as f64 * share) as u64;
        }
    }

    /// The shortest and the longest time that a suspicion runs.
    fn suspicion(&self) -> (Millis, Millis) {
        let scale = (self.table.present().max(1) as f64).log10().max(1.0);
        let least = (self.terms.suspicion * self.terms.period) as f64 * scale;
        (least as u64, least as u64 * self.terms.doubt)
    }

    /// Tells news to some members, by chance, and asks after versions that are known by their
    /// digests alone.
    fn spread(&mut self, now: Millis) {
        let to = self.some(self.terms.gossip_to, None);
        if to.is_empty() {
            // Nobody was heard yet, or all are gone: somebody is asked, by chance.
            if !self.order.is_empty() {
                let (to, nonce) = (
                    self.order[self.rng.usize(0..self.order.len())],
                    self.rng.u32(..),
                );
                self.send(now, to, Kind::Ping { nonce });
            }
            return;
        }
        to.into_iter()
            .for_each(|to| self.send(now, to, Kind::Gossip));
        self.ask(now);
    }

    /// Asks after versions that are known by their digests alone; in quiet times too, since an
    /// answer may have been lost.
    fn ask(&mut self, now: Millis) {
        let mut wanted: Vec<(Digest, MemberId)> = Vec::new();
        for (place, m) in self
            .table
            .all()
            .filter(|(p, m)| *p != self.own && m.standing == Standing::Alive)
        {
            if let Some(acts) = m.acts.filter(|a| self.table.version(a.digest).is_none()) {
                wanted.push((acts.digest, place));
            }
        }
        // Who acts on it has it; of several one by chance, so that not all ask the same.
        self.rng.shuffle(&mut wanted);
        wanted.sort_by_key(|(digest, _)| *digest);
        wanted.dedup_by_key(|(digest, _)| *digest);
        self.rng.shuffle(&mut wanted);
        for (digest, to) in wanted.into_iter().take(QUESTIONS) {
            self.send(now, to, Kind::Ask { member: to, digest });
        }
    }

    /// Some members that are there, by chance, but one.
    fn some(&mut self, count: usize, but: Option<MemberId>) -> Vec<MemberId> {
        let there = |m: &Member| matches!(m.standing, Standing::Alive | Standing::Suspect);
        let all = self
            .table
            .all()
            .filter(|(p, m)| *p != self.own && Some(*p) != but && there(m));
        let mut all: Vec<MemberId> = all.map(|(p, _)| p).collect();
        let count = count.min(all.len());
        for at in 0..count {
            let other = self.rng.usize(at..all.len());
            all.swap(at, other);
        }
        all.truncate(count);
        all
    }

    /// Sends a datagram with what news there is room for.
    fn send(&mut self, now: Millis, to: MemberId, kind: Kind) {
        let items = self.gossip.items(&self.table, to, now);
        let plain: Vec<wire::Item> = items.iter().map(|(_, item)| item.clone()).collect();
        let life = self.table.get(to).map_or(0, |m| m.incarnation.life);
        if let Some(written) = self.put(now, to, life, kind, &plain) {
            self.gossip.told(&items, written, self.table.places());
        }
    }

    /// Sends a datagram with these items as far as there is room, unless too many have gone; how
    /// many were written.
    fn put(
        &mut self,
        now: Millis,
        to: MemberId,
        life: u64,
        kind: Kind,
        items: &[wire::Item],
    ) -> Option<usize> {
        if !self.pace.take(now) {
            self.traffic.held_back += 1;
            return None;
        }
        Some(self.write(to, life, kind, items))
    }

    fn write(&mut self, to: MemberId, life: u64, kind: Kind, items: &[wire::Item]) -> usize {
        self.number = self.number.wrapping_add(1);
        let head = Head {
            protocol: self
                .table
                .get(to)
                .and_then(|m| wire::common(SPOKEN, m.spoken))
                .unwrap_or(SPOKEN[0]),
            spoken: SPOKEN,
            fleet: self.seal.name().to_vec(),
            from: self.own,
            from_life: self.me.life,
            to,
            to_life: life,
            number: self.number,
        };
        let mut datagram = Writer::default();
        head.write(&mut datagram);
        let room = MAX_DATAGRAM - SEAL - head.length();
        let written = wire::write(kind, items, room, &mut datagram);
        let bytes = self.seal.close(datagram);
        self.traffic.sent += 1;
        self.traffic.sent_bytes += bytes.len() as u64;
        self.out.push(Send { to, bytes });
        written
    }
}
