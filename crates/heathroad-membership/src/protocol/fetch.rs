//! Whole texts, on request: a record, or a generation's routes, in parts of a datagram each. Who
//! asks keeps the pace, asks again for what did not come, and gives up where nothing comes; who is
//! asked keeps a few texts as they were when first asked for.

use super::Membership;
use crate::version::Digest;
use crate::wire::{Item, Kind, Resource};
use crate::{MemberId, Millis};
use std::sync::Arc;

/// Bytes of a text in one datagram.
pub const PART: usize = 160;
/// Longest text.
pub const MAX_TEXT: usize = 512 * 1024;
/// Most texts that are fetched at a time.
pub const FETCHES: usize = 8;
/// Parts of one that are out at a time.
const OUT: usize = 8;
/// A text that nothing has come of for so long is given up.
const PATIENCE: Millis = 3000;
/// Most texts that are kept for those who ask.
const SERVED: usize = 16;
/// Texts of up to so many parts are taken for what a first answer says; no buffer is made for more
/// before that.
const PARTS: usize = MAX_TEXT.div_ceil(PART);

/// Why a text was not fetched.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Unfetched {
    /// The one that was asked does not have it.
    NotThere,
    /// Nothing came for too long.
    Silence,
    /// It is not what its digest says, or longer than may be.
    Spoilt,
}

/// A text that came whole, or why it did not.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fetched {
    /// The number that it was begun under.
    pub id: u32,
    /// The text.
    pub text: Result<Vec<u8>, Unfetched>,
    /// Its first part came so long after it was asked for: it was as it is at some time between.
    pub within: Millis,
}

/// A question for a text, to be answered by [`Membership::serve`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Asked {
    /// Who asks.
    pub from: MemberId,
    /// The asker's number for it.
    pub id: u32,
    /// For what.
    pub topic: Resource,
    /// Which of them, where there are several.
    pub key: Digest,
}

#[derive(Debug, Clone)]
pub(super) struct Served {
    to: MemberId,
    id: u32,
    text: Arc<[u8]>,
}

#[derive(Debug, Clone)]
pub(super) struct Fetch {
    id: u32,
    to: MemberId,
    topic: Resource,
    key: Digest,
    /// Known from the first part on.
    parts: Vec<Option<Vec<u8>>>,
    length: Option<usize>,
    /// Parts that are asked for, and since when.
    out: Vec<(usize, Millis)>,
    next: usize,
    begun: Millis,
    /// When its first part came.
    first: Option<Millis>,
    heard: Millis,
}

impl Fetch {
    fn whole(&self) -> bool {
        self.length.is_some() && self.parts.iter().all(Option::is_some)
    }
}

impl Membership {
    /// Fetches a text from a member: its number, by which [`Membership::fetched`] tells it; none if too
    /// many are under way.
    pub fn fetch(
        &mut self,
        now: Millis,
        to: MemberId,
        topic: Resource,
        key: Digest,
    ) -> Option<u32> {
        if self.fetches.len() >= FETCHES || to == self.own || to >= self.table.places() {
            return None;
        }
        let id = self.rng.u32(..);
        let (parts, length, out) = (Vec::new(), None, Vec::new());
        self.fetches.push(Fetch {
            id,
            to,
            topic,
            key,
            parts,
            length,
            out,
            next: 0,
            begun: now,
            first: None,
            heard: now,
        });
        self.fetches_go_on(now);
        Some(id)
    }

    /// Texts that came whole, or why they did not.
    pub fn fetched(&mut self) -> std::vec::Drain<'_, Fetched> {
        self.fetched.drain(..)
    }

    /// What was asked for since the last look.
    pub fn asked(&mut self) -> std::vec::Drain<'_, Asked> {
        self.asked.drain(..)
    }

    /// Answers a question with a text, or that it is not there.
    pub fn serve(&mut self, now: Millis, asked: Asked, text: Option<Vec<u8>>) {
        let text: Option<Arc<[u8]>> = text.filter(|t| t.len() <= MAX_TEXT).map(Arc::from);
        let Some(text) = text else {
            let absent = Kind::Part {
                id: asked.id,
                length: u32::MAX,
                at: 0,
            };
            return self.put_text(now, asked.from, absent, &[]);
        };
        if self.served.len() >= SERVED {
            self.served.pop_front();
        }
        self.served.push_back(Served {
            to: asked.from,
            id: asked.id,
            text,
        });
        self.part(now, asked.from, asked.id, 0);
    }

    fn put_text(&mut self, now: Millis, to: MemberId, kind: Kind, items: &[Item]) {
        if !self.texts.take(now) {
            self.traffic.held_back += 1;
            return;
        }
        let life = self.table.get(to).map_or(0, |m| m.incarnation.life);
        self.write(to, life, kind, items);
    }

    /// One part of a text that is kept for somebody; whether it is.
    fn part(&mut self, now: Millis, to: MemberId, id: u32, at: u32) -> bool {
        let Some(served) = self.served.iter().find(|s| s.to == to && s.id == id) else {
            return false;
        };
        let text = served.text.clone();
        let from = (at as usize).saturating_mul(PART).min(text.len());
        let bytes = text[from..(from + PART).min(text.len())].to_vec();
        let kind = Kind::Part {
            id,
            length: text.len() as u32,
            at,
        };
        self.put_text(now, to, kind, &[Item::Bytes(bytes)]);
        true
    }

    pub(super) fn asked_for(
        &mut self,
        now: Millis,
        from: MemberId,
        id: u32,
        topic: Resource,
        key: Digest,
        at: u32,
    ) {
        if self.part(now, from, id, at) {
            return;
        }
        let asked = Asked {
            from,
            id,
            topic,
            key,
        };
        if at > 0 {
            // It was kept, and is no longer.
            return self.serve(now, asked, None);
        }
        if self.asked.len() < SERVED && !self.asked.contains(&asked) {
            self.asked.push(asked);
        }
    }

    pub(super) fn part_came(&mut self, now: Millis, from: MemberId, kind: Kind, items: Vec<Item>) {
        let Kind::Part { id, length, at } = kind else {
            return;
        };
        let Some(n) = self.fetches.iter().position(|f| f.id == id && f.to == from) else {
            return;
        };
        let fetch = &mut self.fetches[n];
        let (length, at) = (length as usize, at as usize);
        if length == u32::MAX as usize {
            return self.fetch_ends(n, Err(Unfetched::NotThere));
        }
        let count = length.div_ceil(PART).max(1);
        if length > MAX_TEXT
            || at >= count
            || count > PARTS.max(1)
            || fetch.length.is_some_and(|l| l != length)
        {
            return self.fetch_ends(n, Err(Unfetched::Spoilt));
        }
        if fetch.length.is_none() {
            (fetch.length, fetch.parts) = (Some(length), vec![None; count]);
        }
        fetch.first.get_or_insert(now);
        fetch.out.retain(|(part, _)| *part != at);
        let size = if at + 1 == count {
            length - at * PART
        } else {
            PART
        };
        if let Some(Item::Bytes(bytes)) = items.into_iter().next()
            && bytes.len() == size
            && fetch.parts[at].is_none()
        {
            (fetch.parts[at], fetch.heard) = (Some(bytes), now);
        }
        if fetch.whole() {
            let text: Vec<u8> = fetch.parts.iter().flatten().flatten().copied().collect();
            let sound = fetch.topic != Resource::Routes || Digest::of(&text) == fetch.key;
            return self.fetch_ends(
                n,
                if sound {
                    Ok(text)
                } else {
                    Err(Unfetched::Spoilt)
                },
            );
        }
        self.fetches_go_on(now);
    }

    fn fetch_ends(&mut self, n: usize, with: Result<Vec<u8>, Unfetched>) {
        let Fetch {
            id,
            begun,
            first,
            heard,
            ..
        } = self.fetches.swap_remove(n);
        let within = first.unwrap_or(heard).saturating_sub(begun);
        self.fetched.push(Fetched {
            id,
            text: with,
            within,
        });
    }

    /// When a part is asked for again, or a text is given up.
    pub(super) fn fetches_due(&self) -> Option<Millis> {
        let again = self.terms.answer;
        self.fetches
            .iter()
            .flat_map(|f| {
                f.out
                    .iter()
                    .map(|(_, at)| at + again)
                    .chain([f.heard + PATIENCE])
            })
            .min()
    }

    pub(super) fn fetches_go_on(&mut self, now: Millis) {
        while let Some(n) = self.fetches.iter().position(|f| now >= f.heard + PATIENCE) {
            self.fetch_ends(n, Err(Unfetched::Silence));
        }
        let again = self.terms.answer;
        let mut wanted = Vec::new();
        for f in &mut self.fetches {
            for (part, at) in f.out.iter_mut().filter(|(_, at)| now >= *at + again) {
                *at = now;
                wanted.push((f.to, f.id, f.topic, f.key, *part));
            }
            let count = if f.length.is_some() { f.parts.len() } else { 1 };
            while f.out.len() < OUT && f.next < count {
                f.out.push((f.next, now));
                wanted.push((f.to, f.id, f.topic, f.key, f.next));
                f.next += 1;
            }
        }
        for (to, id, topic, key, part) in wanted {
            self.put_text(
                now,
                to,
                Kind::Fetch {
                    id,
                    topic,
                    key,
                    at: part as u32,
                },
                &[],
            );
        }
    }
}
