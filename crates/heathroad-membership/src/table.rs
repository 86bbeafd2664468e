//! What is known of every member. Any two words on a member can be compared, and the higher one
//! stands: whoever has heard the same words holds the same, in whatever order they came.

use crate::desired_version::{Desired, Required, Requirements};
use crate::seal::Window;
use crate::version::{Digest, Version};
use crate::{MemberId, Millis};
use serde::Serialize;
use std::collections::BTreeMap;

/// How a member stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize)]
#[serde(rename_all = "lowercase")]
#[repr(u8)]
pub enum Standing {
    /// Nothing was ever heard of it.
    Unknown = 0,
    /// It is there.
    Alive = 1,
    /// It did not answer somebody; it may still say that it is there.
    Suspect = 2,
    /// It said that it stops.
    Left = 3,
    /// It was suspected and said nothing in time.
    Gone = 4,
}

impl Standing {
    pub(crate) fn read(byte: u8) -> Option<Standing> {
        [
            Standing::Alive,
            Standing::Suspect,
            Standing::Left,
            Standing::Gone,
        ]
        .into_iter()
        .find(|s| *s as u8 == byte)
    }

    /// Whether nothing is expected of it in this life any more.
    pub fn over(self) -> bool {
        matches!(self, Standing::Left | Standing::Gone)
    }
}

/// Which of a member's lives, and its how-manieth word in it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize)]
pub struct Incarnation {
    /// Unix time in milliseconds at the process's start, or more where an earlier life is known to
    /// have had as much.
    pub life: u64,
    /// Grows as the member refutes suspicions.
    pub turn: u16,
}

/// Somebody's word on a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Claim {
    /// The member.
    pub member: MemberId,
    /// How it stands.
    pub standing: Standing,
    /// In which incarnation.
    pub incarnation: Incarnation,
    /// Whose word it is; who accuses, of a suspicion.
    pub by: MemberId,
}

impl Claim {
    /// What decides between two: the later life; in one life its end before all else, since nobody
    /// comes back in it; then the later turn; then the worse standing.
    pub fn weight(&self) -> (u64, u8, u16, u8) {
        let Incarnation { life, turn } = self.incarnation;
        if self.standing.over() {
            (life, self.standing as u8, 0, 0)
        } else {
            (life, 0, turn, self.standing as u8)
        }
    }
}

/// A suspicion that runs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Suspicion {
    /// Since when.
    pub since: Millis,
    /// From when on the member counts as gone.
    pub until: Millis,
    /// Who accuses, each once.
    pub accusers: Vec<MemberId>,
}

/// What a member acts on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Acts {
    /// In which of its lives.
    pub life: u64,
    /// Its how-manieth version in that life.
    pub change: u32,
    /// The version's digest.
    pub digest: Digest,
}

/// What is known of a member.
#[derive(Debug, Clone)]
pub struct Member {
    /// How it stands.
    pub standing: Standing,
    /// In which incarnation.
    pub incarnation: Incarnation,
    /// Whose word that is.
    pub by: MemberId,
    /// Since when, by this proxy's clock.
    pub since: Millis,
    /// When something of its own was last heard.
    pub heard: Option<Millis>,
    /// The suspicion, while it stands suspected.
    pub suspicion: Option<Suspicion>,
    /// What it acts on, as it told last.
    pub acts: Option<Acts>,
    /// Protocols that it speaks.
    pub spoken: [u8; 2],
    /// Its datagrams that were seen.
    pub window: Window,
    /// When it was last greeted by this proxy, which had heard of its life from itself alone.
    pub(crate) greeted: Option<Millis>,
}

/// Most whole versions that are kept; each is some 200 bytes.
pub const MAX_VERSIONS: usize = 512;

/// What is known of all members.
#[derive(Debug, Clone)]
pub struct Table {
    members: Vec<Member>,
    versions: BTreeMap<Digest, Version>,
    wanted: Desired,
    required: Requirements,
}

/// What became of a word.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Merged {
    /// It was known, or is out of date.
    Old,
    /// It is one more accusation of a suspicion that stands.
    Seconded,
    /// It stands from now on.
    New {
        /// How the member stood before.
        before: Standing,
        /// In which life.
        life: u64,
    },
}

impl Table {
    /// Of a fleet of so many, none of which was heard.
    pub fn new(members: u16) -> Table {
        let unheard = Member {
            standing: Standing::Unknown,
            incarnation: Incarnation::default(),
            by: 0,
            since: 0,
            heard: None,
            suspicion: None,
            acts: None,
            // Until it has told, the oldest is spoken to it.
            spoken: [crate::wire::SPOKEN[0]; 2],
            window: Window::default(),
            greeted: None,
        };
        Table {
            members: vec![unheard; usize::from(members)],
            versions: BTreeMap::new(),
            wanted: Desired::Unset,
            required: Requirements::default(),
        }
    }

    /// How many places the fleet has.
    pub fn places(&self) -> u16 {
        self.members.len() as u16
    }

    /// A member; none past the fleet's places.
    pub fn get(&self, place: MemberId) -> Option<&Member> {
        self.members.get(usize::from(place))
    }

    pub(crate) fn get_mut(&mut self, place: MemberId) -> Option<&mut Member> {
        self.members.get_mut(usize::from(place))
    }

    /// All members with their places.
    pub fn all(&self) -> impl Iterator<Item = (MemberId, &Member)> {
        self.members
            .iter()
            .enumerate()
            .map(|(place, m)| (place as MemberId, m))
    }

    pub(crate) fn all_mut(&mut self) -> impl Iterator<Item = &mut Member> {
        self.members.iter_mut()
    }

    /// How many members are there, suspected or not.
    pub fn present(&self) -> usize {
        self.there().count()
    }

    /// Those who are there, suspected or not.
    pub fn there(&self) -> impl Iterator<Item = MemberId> {
        let there = |m: &Member| matches!(m.standing, Standing::Alive | Standing::Suspect);
        self.all()
            .filter(move |(_, m)| there(m))
            .map(|(place, _)| place)
    }

    /// What stands of a member, as a word that can be passed on.
    pub fn claim(&self, place: MemberId) -> Option<Claim> {
        let m = self
            .get(place)
            .filter(|m| m.standing != Standing::Unknown)?;
        Some(Claim {
            member: place,
            standing: m.standing,
            incarnation: m.incarnation,
            by: m.by,
        })
    }

    /// Takes a word on a member.
    pub fn merge(&mut self, now: Millis, claim: Claim) -> Merged {
        let stands = self.claim(claim.member);
        let Some(m) = self.get_mut(claim.member) else {
            return Merged::Old;
        };
        match stands.map(|s| s.weight().cmp(&claim.weight())) {
            Some(std::cmp::Ordering::Greater) => Merged::Old,
            Some(std::cmp::Ordering::Equal) => match &mut m.suspicion {
                Some(s) if !s.accusers.contains(&claim.by) => {
                    s.accusers.push(claim.by);
                    m.by = claim.by;
                    Merged::Seconded
                }
                _ => Merged::Old,
            },
            _ => {
                let (before, life) = (m.standing, m.incarnation.life);
                if before != claim.standing || life != claim.incarnation.life {
                    m.since = now;
                }
                (m.standing, m.incarnation, m.by) = (claim.standing, claim.incarnation, claim.by);
                let suspected = claim.standing == Standing::Suspect;
                m.suspicion = suspected.then(|| Suspicion {
                    since: now,
                    until: Millis::MAX,
                    accusers: vec![claim.by],
                });
                Merged::New { before, life }
            }
        }
    }

    /// Takes what a member is told to act on; whether that is news.
    pub fn acts(&mut self, place: MemberId, acts: Acts) -> bool {
        let Some(m) = self.get_mut(place) else {
            return false;
        };
        let news = m
            .acts
            .is_none_or(|a| (a.life, a.change) < (acts.life, acts.change));
        if news {
            m.acts = Some(acts);
        }
        news
    }

    /// What all are to act on.
    pub fn wanted(&self) -> Desired {
        self.wanted
    }

    /// Takes a word on what is wanted; whether it is news.
    pub fn want(&mut self, other: Desired) -> bool {
        self.wanted.merge(other)
    }

    /// What is required.
    pub fn required(&self) -> &Requirements {
        &self.required
    }

    /// Takes a word on what is required; whether it is news.
    pub fn require(&mut self, word: Required) -> bool {
        self.required.merge(word)
    }

    /// The highest number of a generation that anybody is known to have committed or to act on.
    pub fn highest_generation(&self) -> u64 {
        self.versions
            .values()
            .map(|v| v.generation)
            .max()
            .unwrap_or(0)
            .max(self.wanted.number())
    }

    /// Members that are there and act on routes with a digest.
    pub fn acting_on(&self, routes: Digest) -> impl Iterator<Item = MemberId> {
        let acts = move |m: &Member| {
            m.acts
                .and_then(|a| self.versions.get(&a.digest))
                .is_some_and(|v| v.routes == routes)
        };
        self.all()
            .filter(move |(_, m)| m.standing == Standing::Alive && acts(m))
            .map(|(place, _)| place)
    }

    /// The whole version that a digest stands for, where it was told.
    pub fn version(&self, digest: Digest) -> Option<&Version> {
        self.versions.get(&digest)
    }

    /// Keeps a whole version. Where there is no room, those go that no member is told to act on.
    pub fn keep(&mut self, version: Version) -> bool {
        if self.versions.len() >= MAX_VERSIONS {
            let acted: Vec<Digest> = self
                .members
                .iter()
                .filter_map(|m| m.acts.map(|a| a.digest))
                .collect();
            self.versions.retain(|digest, _| acted.contains(digest));
        }
        let room = self.versions.len() < MAX_VERSIONS;
        if room {
            self.versions.insert(version.digest(), version);
        }
        room
    }
}
