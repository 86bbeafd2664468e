//! The record of a proxy's acts: under which version, from when to when, the first and the last,
//! how many of which kind.
//!
//! A page is one interval in which one version was in force. What is done for a request is written
//! on the page that was open when the request was bound, also when it is done long after; so a
//! page's acts go on after its interval. The record is bounded: past [`MAX_PAGES`], neighbours that
//! differ in their lists of backends alone become one page, which says of how many; where there are
//! none, the oldest page is given up, and what it held is told as lost.

use crate::version::{Digest, Version};
use serde::{Deserialize, Serialize};
use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;

/// Most pages.
pub const MAX_PAGES: usize = 256;

/// What a proxy does, as far as a version decides it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Activity {
    /// A request was bound.
    RequestBound,
    /// An attempt was sent to a backend.
    AttemptSent,
    /// A request was answered with what a backend made for it.
    RequestServed,
    /// A request was refused.
    RequestRejected,
    /// A request failed, or its time was over, or its caller left.
    RequestFailed,
    /// A request was refused unbound, since this proxy fenced itself.
    RequestFenced,
    /// A change came into force.
    ChangeApplied,
    /// A change was undone.
    ChangeRolledBack,
}

/// How many of each kind.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Acts {
    /// [`Activity::RequestBound`].
    pub bound: u64,
    /// [`Activity::AttemptSent`].
    pub sent: u64,
    /// [`Activity::RequestServed`].
    pub served: u64,
    /// [`Activity::RequestRejected`].
    pub refused: u64,
    /// [`Activity::RequestFailed`].
    pub failed: u64,
    /// [`Activity::RequestFenced`].
    pub fenced: u64,
    /// [`Activity::ChangeApplied`].
    pub applied: u64,
    /// [`Activity::ChangeRolledBack`].
    pub undone: u64,
}

impl Acts {
    fn add(&mut self, act: Activity) {
        let count = match act {
            Activity::RequestBound => &mut self.bound,
            Activity::AttemptSent => &mut self.sent,
            Activity::RequestServed => &mut self.served,
            Activity::RequestRejected => &mut self.refused,
            Activity::RequestFailed => &mut self.failed,
            Activity::RequestFenced => &mut self.fenced,
            Activity::ChangeApplied => &mut self.applied,
            Activity::ChangeRolledBack => &mut self.undone,
        };
        *count += 1;
    }

    fn plus(self, other: Acts) -> Acts {
        Acts {
            bound: self.bound + other.bound,
            sent: self.sent + other.sent,
            served: self.served + other.served,
            refused: self.refused + other.refused,
            failed: self.failed + other.failed,
            fenced: self.fenced + other.fenced,
            applied: self.applied + other.applied,
            undone: self.undone + other.undone,
        }
    }

    /// All of them.
    pub fn sum(&self) -> u64 {
        let Acts {
            bound,
            sent,
            served,
            refused,
            failed,
            fenced,
            applied,
            undone,
        } = *self;
        bound + sent + served + refused + failed + fenced + applied + undone
    }
}

/// Unix time in milliseconds, by the proxy's own clock.
pub type Unix = u64;

/// An interval, as it is kept and told.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Kept {
    /// In which of the proxy's lives.
    pub life: u64,
    /// What was in force; of a page made of several, the last.
    pub version: Version,
    /// Its digest.
    pub digest: Digest,
    /// How many versions the page is of; more than one only where they differ in lists of backends
    /// alone.
    pub versions: u64,
    /// From when on.
    pub from: Unix,
    /// Until when; none while it is in force.
    pub to: Option<Unix>,
    /// The process ended without closing the page: what it did after `to` is not on record.
    #[serde(default)]
    pub torn: bool,
    /// The first act.
    pub first: Option<Unix>,
    /// The last one, which may lie behind `to`.
    pub last: Option<Unix>,
    /// How many of which kind.
    pub acts: Acts,
}

/// What kept a proxy from its fellows.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Trouble {
    /// It heard nobody.
    CutOff,
    /// It did nothing, by no will of its own.
    Stalled,
    /// It had fenced itself: no request was bound, no attempt sent.
    Fenced,
}

/// A generation that this proxy did not take, though all were to act on it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TurnedDown {
    /// When.
    pub at: Unix,
    /// Its number.
    pub generation: u64,
    /// The digest of its text.
    pub routes: Digest,
    /// Why, in at most [`MAX_WHY`] bytes.
    pub why: String,
}

/// Longest reason, in bytes; a longer one is cut.
pub const MAX_WHY: usize = 300;
/// Most generations turned down; the oldest go first.
pub const MAX_TURNED_DOWN: usize = 32;

/// A time of trouble.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Spell {
    /// Of which kind.
    pub trouble: Trouble,
    /// From when on.
    pub from: Unix,
    /// Until when; none while it lasts.
    pub to: Option<Unix>,
}

/// Most spells; the oldest go first.
pub const MAX_SPELLS: usize = 128;

/// What was given up of a record.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lost {
    /// Pages.
    #[serde(rename = "pages")]
    pub count: u64,
    /// Their acts.
    pub acts: Acts,
    /// The end of the last of them.
    pub until: Option<Unix>,
}

/// A record, as it is kept and told.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordSnapshot {
    /// When it was written down, by the proxy's clock.
    pub at: Unix,
    /// Since when it is kept; nothing is known of before.
    pub since: Unix,
    /// Its pages, the oldest first.
    #[serde(rename = "pages")]
    pub intervals: Vec<Kept>,
    /// What was given up for want of room.
    #[serde(rename = "lost")]
    pub discarded: Lost,
    /// When it was kept from its fellows, the oldest first.
    #[serde(default)]
    pub spells: Vec<Spell>,
    /// What it did not take, the oldest first.
    #[serde(default)]
    pub turned_down: Vec<TurnedDown>,
}

impl RecordSnapshot {
    /// Gives the oldest page up, but not the last one that is left; whether there was one.
    pub fn discard_oldest(&mut self) -> bool {
        if self.intervals.len() < 2 {
            return false;
        }
        let page = self.intervals.remove(0);
        self.discarded.count += 1;
        self.discarded.acts = self.discarded.acts.plus(page.acts);
        self.discarded.until = page.to;
        true
    }
}

/// A page that acts are written on. Who holds it may write on it for as long as it likes.
#[derive(Debug)]
pub struct Page {
    kept: RefCell<Kept>,
    /// The page that this one has become part of.
    into: RefCell<Option<Rc<Page>>>,
}

impl Page {
    fn new(kept: Kept) -> Rc<Page> {
        Rc::new(Page {
            kept: RefCell::new(kept),
            into: RefCell::default(),
        })
    }

    /// Writes an act down.
    pub fn act(self: &Rc<Self>, act: Activity, now: Unix) {
        let mut page = self.clone();
        while let Some(next) = { page.into.borrow().clone() } {
            page = next;
        }
        let kept = &mut *page.kept.borrow_mut();
        kept.acts.add(act);
        kept.first = Some(kept.first.map_or(now, |first| first.min(now)));
        kept.last = Some(kept.last.map_or(now, |last| last.max(now)));
    }

    /// The digest of its version.
    pub fn digest(&self) -> Digest {
        self.kept.borrow().digest
    }

    /// The number of its version's routes.
    pub fn generation(&self) -> u64 {
        self.kept.borrow().version.generation
    }

    /// The digest of its version's routes.
    pub fn routes(&self) -> Digest {
        self.kept.borrow().version.routes
    }
}

/// A proxy's record.
#[derive(Debug)]
pub struct ActivityRecord {
    life: u64,
    since: Unix,
    pages: VecDeque<Rc<Page>>,
    /// Where the acts of requests go whose page was given up.
    lost: Rc<Page>,
    lost_pages: u64,
    lost_until: Option<Unix>,
    spells: VecDeque<Spell>,
    turned_down: VecDeque<TurnedDown>,
}

impl ActivityRecord {
    /// Begins with what was kept from before; without it, nothing is known of before `now`.
    pub fn new(now: Unix, life: u64, before: Option<RecordSnapshot>) -> ActivityRecord {
        let since = before.as_ref().map_or(now, |told| told.since);
        let lost = before
            .as_ref()
            .map_or_else(Lost::default, |told| told.discarded);
        let mut record = ActivityRecord {
            life,
            since,
            pages: VecDeque::new(),
            lost: Page::new(blank(lost.acts)),
            lost_pages: lost.count,
            lost_until: lost.until,
            spells: VecDeque::new(),
            turned_down: VecDeque::new(),
        };
        if let Some(told) = before {
            record.turned_down = told.turned_down.into();
            let ended = |s: Spell| Spell {
                to: s.to.or(Some(told.at)),
                ..s
            };
            record.spells = told.spells.into_iter().map(ended).collect();
            for mut kept in told.intervals {
                if kept.to.is_none() {
                    (kept.to, kept.torn) = (Some(told.at), true);
                }
                record.pages.push_back(Page::new(kept));
            }
            record.bound();
        }
        record
    }

    /// From now on this version is in force.
    pub fn begin_interval(&mut self, now: Unix, version: Version) -> Rc<Page> {
        let (digest, life) = (version.digest(), self.life);
        if let Some(page) = self.pages.back() {
            let kept = page.kept.borrow();
            if kept.digest == digest && kept.life == life && kept.to.is_none() {
                return page.clone();
            }
        }
        self.close(now);
        let page = Page::new(Kept {
            life,
            version,
            digest,
            versions: 1,
            from: now,
            ..blank(Acts::default())
        });
        self.pages.push_back(page.clone());
        self.bound();
        page
    }

    /// The page in force.
    pub fn open(&self) -> Option<&Rc<Page>> {
        self.pages.back()
    }

    /// Nothing is in force any more: the proxy stops.
    pub fn close(&mut self, now: Unix) {
        if let Some(page) = self.pages.back() {
            let mut kept = page.kept.borrow_mut();
            kept.to.get_or_insert(now);
        }
    }

    /// A generation was not taken, for a reason.
    pub fn turn_down(&mut self, mut one: TurnedDown) {
        while one.why.len() > MAX_WHY {
            one.why.pop();
        }
        if self.turned_down.len() >= MAX_TURNED_DOWN {
            self.turned_down.pop_front();
        }
        self.turned_down.push_back(one);
    }

    /// Why a text was turned down, if it was.
    pub fn turned_down(&self, routes: Digest) -> Option<&TurnedDown> {
        self.turned_down.iter().rev().find(|t| t.routes == routes)
    }

    /// A spell of trouble begins, or is told when it is over.
    pub fn spell(&mut self, spell: Spell) {
        if self.spells.len() >= MAX_SPELLS {
            self.spells.pop_front();
        }
        self.spells.push_back(spell);
    }

    /// The spell of a kind that lasts is over.
    pub fn spell_over(&mut self, trouble: Trouble, now: Unix) {
        let lasting = self
            .spells
            .iter_mut()
            .rev()
            .find(|s| s.trouble == trouble && s.to.is_none());
        if let Some(spell) = lasting {
            spell.to = Some(now);
        }
    }

    fn bound(&mut self) {
        while self.pages.len() > MAX_PAGES {
            let alike = |at: &usize| {
                let (one, next) = (
                    self.pages[*at].kept.borrow(),
                    self.pages[*at + 1].kept.borrow(),
                );
                let (a, b) = (&one.version, &next.version);
                one.life == next.life
                    && one.torn == next.torn
                    && (&a.build, a.settings, a.generation, a.routes)
                        == (&b.build, b.settings, b.generation, b.routes)
            };
            // The page in force stays as it is.
            match (0..self.pages.len() - 2).find(alike) {
                Some(at) => self.join(at),
                None => {
                    let Some(page) = self.pages.pop_front() else {
                        return;
                    };
                    let lost = self.lost.kept.borrow().acts.plus(page.kept.borrow().acts);
                    self.lost.kept.borrow_mut().acts = lost;
                    self.lost_until = page.kept.borrow().to;
                    self.lost_pages += 1;
                    page.into.replace(Some(self.lost.clone()));
                }
            }
        }
    }

    /// A page takes the one before it in.
    fn join(&mut self, at: usize) {
        let Some(before) = self.pages.remove(at) else {
            return;
        };
        let page = &self.pages[at];
        {
            let (mut kept, old) = (page.kept.borrow_mut(), before.kept.borrow());
            kept.versions += old.versions;
            kept.from = old.from;
            kept.acts = kept.acts.plus(old.acts);
            kept.first = [old.first, kept.first].into_iter().flatten().min();
            kept.last = [old.last, kept.last].into_iter().flatten().max();
        }
        before.into.replace(Some(page.clone()));
    }

    /// As it stands.
    pub fn snapshot(&self, now: Unix) -> RecordSnapshot {
        let acts = self.lost.kept.borrow().acts;
        RecordSnapshot {
            at: now,
            since: self.since,
            intervals: self.pages.iter().map(|p| p.kept.borrow().clone()).collect(),
            discarded: Lost {
                count: self.lost_pages,
                acts,
                until: self.lost_until,
            },
            spells: self.spells.iter().copied().collect(),
            turned_down: self.turned_down.iter().cloned().collect(),
        }
    }
}

fn blank(acts: Acts) -> Kept {
    let version = Version::default();
    let digest = Digest::default();
    Kept {
        life: 0,
        version,
        digest,
        versions: 0,
        from: 0,
        to: None,
        torn: false,
        first: None,
        last: None,
        acts,
    }
}
