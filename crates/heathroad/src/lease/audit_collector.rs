//! The fleet's one collector: it fetches every member's record by turns and keeps it, so that the
//! audit can answer for members that are gone for good. What it keeps is bounded, lasts where there
//! is a state folder, and is mirrored by the voters; the duty's mark is its digest, so that the
//! next collector begins with it, whichever of them it has it from.

use super::worker::Hold;
use super::{Duties, Store};
use crate::membership::MembershipService;
use crate::membership::audit;
use crate::runtime_accounting::sleep;
use heathroad_lease::DutyId;
use heathroad_membership::MemberId;
use heathroad_membership::activity_record::RecordSnapshot;
use heathroad_membership::version::Digest;
use heathroad_membership::wire::Resource;
use serde::{Deserialize, Serialize};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::{Rc, Weak};
use std::time::Duration;
use tokio::task::spawn_blocking;

/// Most of one member's record that is kept, in bytes of JSON; its oldest pages go first.
const MAX_RECORD: usize = 32 * 1024;
/// Most of all, in bytes of JSON; pages of the longest record go first.
const MAX_ALL: usize = 384 * 1024;
/// Shortest pause between two members.
const LEAST: Duration = Duration::from_millis(50);
/// A text has so long to come.
const PATIENCE: Duration = Duration::from_secs(10);
/// So many rounds that reach none of the others are a sign that they can't be reached from here.
const ALONE: u32 = 3;

/// A member's record, as the collector has it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Kept {
    /// Who collected it.
    pub by: MemberId,
    /// When, Unix time in milliseconds by that one's clock.
    pub at: u64,
    /// To be added to the record's times for that clock, give or take `error`.
    pub off: i64,
    /// Milliseconds.
    pub error: u64,
    /// The record.
    pub told: RecordSnapshot,
}

/// All records.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Collected(BTreeMap<MemberId, Kept>);

fn length(of: &impl Serialize) -> usize {
    serde_json::to_vec(of).map_or(0, |b| b.len())
}

impl Collected {
    /// That of a member.
    pub fn get(&self, place: MemberId) -> Option<&Kept> {
        self.0.get(&place)
    }

    /// Takes a record, unless a later one of that member is kept.
    fn take(&mut self, place: MemberId, mut kept: Kept) {
        // Of two collectors' clocks nothing is known; a member's own record says when it was
        // written down, and only grows.
        if self.0.get(&place).is_some_and(|k| k.told.at > kept.told.at) {
            return;
        }
        while length(&kept.told) > MAX_RECORD && kept.told.discard_oldest() {}
        self.0.insert(place, kept);
    }

    fn merge(&mut self, other: Collected) {
        other
            .0
            .into_iter()
            .for_each(|(place, kept)| self.take(place, kept));
    }

    /// As bytes, within the bound.
    fn bytes(&mut self) -> Vec<u8> {
        loop {
            let bytes = serde_json::to_vec(self).unwrap_or_default();
            if bytes.len() <= MAX_ALL {
                return bytes;
            }
            let Some(longest) = self.0.values_mut().max_by_key(|k| k.told.intervals.len()) else {
                return bytes;
            };
            // A quarter of it at once: one page at a time would write all of it hundreds of times.
            for _ in 0..longest.told.intervals.len().div_ceil(4) {
                longest.told.discard_oldest();
            }
            if longest.told.intervals.len() <= 1 {
                // Records of a page each are still too much: those that were collected longest ago
                // go.
                let oldest = self
                    .0
                    .iter()
                    .min_by_key(|(_, k)| k.at)
                    .map(|(place, _)| *place);
                oldest.and_then(|place| self.0.remove(&place));
            }
        }
    }
}

/// What this proxy has of it: as collector, or as a mirror.
pub struct Collection(RefCell<(Collected, Digest, Rc<[u8]>)>);

impl Collection {
    /// With what was kept on disk; what can't be read is none.
    pub fn new(bytes: Option<&[u8]>) -> Rc<Collection> {
        let collected = bytes
            .and_then(|b| serde_json::from_slice(b).ok())
            .unwrap_or_default();
        let collection = Collection(RefCell::new((collected, Digest::default(), Rc::from([]))));
        collection.seal();
        Rc::new(collection)
    }

    /// All of it.
    pub fn all(&self) -> Collected {
        self.0.borrow().0.clone()
    }

    /// Its text, if that has this digest; whatever it is, where none is given.
    pub fn text(&self, key: Digest) -> Option<Vec<u8>> {
        let kept = self.0.borrow();
        let wanted = key == Digest::default() || key == kept.1;
        (wanted && !kept.0.0.is_empty()).then(|| kept.2.to_vec())
    }

    /// The digest of its text as it was sealed last.
    pub fn digest(&self) -> Digest {
        self.0.borrow().1
    }

    /// Its text and digest are made anew.
    fn seal(&self) -> Digest {
        let mut kept = self.0.borrow_mut();
        let bytes = kept.0.bytes();
        kept.1 = Digest::of(&bytes);
        kept.2 = Rc::from(bytes);
        kept.1
    }

    fn take(&self, place: MemberId, kept: Kept) {
        self.0.borrow_mut().0.take(place, kept);
    }

    fn merge(&self, text: &[u8]) -> bool {
        let Ok(other) = serde_json::from_slice(text) else {
            return false;
        };
        self.0.borrow_mut().0.merge(other);
        true
    }

    async fn keep(&self, store: Option<Store>) {
        let Some(store) = store else { return };
        let bytes = self.0.borrow().2.clone().to_vec();
        let kept = spawn_blocking(move || store.collect(&bytes)).await;
        if let Err(e) = kept.unwrap_or_else(|e| Err(e.to_string())) {
            tracing::warn!("collector: {e}");
        }
    }
}

/// What a mark says: the digest of all that is kept.
fn marked(state: &[u8]) -> Option<Digest> {
    state.try_into().ok().map(Digest)
}

/// Collects for as long as the duty is held; why it can't.
pub async fn collect(
    hold: Hold,
    peers: Rc<MembershipService>,
    duties: Weak<Duties>,
    every: Duration,
) -> String {
    let Some((collection, store)) = duties
        .upgrade()
        .map(|d| (d.collection.clone(), d.store.clone()))
    else {
        return "this proxy stops".into();
    };
    if let Some((key, last)) = hold
        .mark()
        .and_then(|m| Some((marked(&m.state)?, m.token.place())))
        && key != collection.digest()
    {
        let voters = duties.upgrade().map(|d| d.voters()).unwrap_or_default();
        let have = std::iter::once(last)
            .chain(voters)
            .filter(|p| *p != peers.member_id());
        for from in have {
            let came = peers
                .fetch(from, Resource::CollectedRecords, key, PATIENCE)
                .await;
            if came.is_ok_and(|fetched| collection.merge(&fetched.bytes)) {
                break;
            }
        }
    }
    let mut alone = 0;
    loop {
        let there = peers.present_members(true);
        let pause = (every / u32::try_from(there.len().max(1)).unwrap_or(u32::MAX)).max(LEAST);
        let mut reached = 0;
        for place in &there {
            if !hold.may() {
                return "it is no longer held".into();
            }
            let own = *place == peers.member_id();
            let kept = |told, off, error| Kept {
                by: peers.member_id(),
                at: peers.activity_log().now(),
                off,
                error,
                told,
            };
            if own {
                collection.take(*place, kept(peers.activity_log().snapshot(), 0, 0));
            } else if let Ok(heard) = audit::fetch_record(&peers, *place).await {
                reached += 1;
                collection.take(
                    *place,
                    kept(
                        heard.snapshot,
                        heard.clock_offset.offset_ms,
                        heard.clock_offset.error_ms,
                    ),
                );
            }
            sleep(pause).await;
        }
        let key = collection.seal();
        collection.keep(store.clone()).await;
        // Not kept in time: it is marked again after the next round.
        let _ = hold.keep(key.0.to_vec()).await;
        alone = if reached == 0 && there.len() > 1 {
            alone + 1
        } else {
            0
        };
        if alone >= ALONE {
            return format!("{ALONE} rounds reached nobody");
        }
    }
}

/// A voter keeps a copy of what the collector marked.
pub async fn mirror(duties: Rc<Duties>) {
    let found = duties.all.iter().find_map(|(id, one)| match one.kind {
        super::Kind::Collect { every } => Some((*id, every)),
        super::Kind::Call(_) => None,
    });
    let Some((duty, every)) = found else { return };
    loop {
        sleep(every).await;
        let Some((key, from)) = duties.to_mirror(duty) else {
            continue;
        };
        let came = duties
            .peers
            .fetch(from, Resource::CollectedRecords, key, PATIENCE)
            .await;
        if came.is_ok_and(|fetched| duties.collection.merge(&fetched.bytes)) {
            duties.collection.seal();
            duties.collection.keep(duties.store.clone()).await;
        }
    }
}

impl Duties {
    /// What a voter has been told to keep of the collector, and from whom it is to be had; none
    /// where it has that, or is the collector.
    fn to_mirror(&self, duty: DutyId) -> Option<(Digest, MemberId)> {
        let core = self.core.borrow();
        let mark = core.voter()?.memory().duties.get(&duty).map(|h| &h.mark)?;
        let (key, from) = (marked(&mark.state)?, mark.token.place());
        (key != self.collection.digest() && from != self.peers.member_id()).then_some((key, from))
    }

    /// What the collector kept: here, or at somebody who votes.
    pub async fn collected(&self) -> Option<Collected> {
        let collects = |one: &super::One| matches!(one.kind, super::Kind::Collect { .. });
        let (duty, _) = self.all.iter().find(|(_, one)| collects(one))?;
        let holds = self.holds(*duty).is_some();
        let voters = self.voters();
        if holds || voters.contains(&self.peers.member_id()) {
            return Some(self.collection.all());
        }
        let there = self.peers.present_members(false);
        for from in voters.into_iter().filter(|v| there.contains(v)) {
            let came = self
                .peers
                .fetch(
                    from,
                    Resource::CollectedRecords,
                    Digest::default(),
                    PATIENCE,
                )
                .await;
            if let Some(collected) = came
                .ok()
                .and_then(|fetched| serde_json::from_slice(&fetched.bytes).ok())
            {
                return Some(collected);
            }
        }
        None
    }

    fn voters(&self) -> Vec<MemberId> {
        self.core.borrow().electorate().all().collect()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use heathroad_membership::activity_record::ActivityRecord;
    use heathroad_membership::version::Version;

    fn told(at: u64, pages: u64) -> RecordSnapshot {
        let mut record = ActivityRecord::new(1, 0, None);
        for n in 0..pages {
            record.begin_interval(
                n,
                Version {
                    generation: n,
                    ..Version::default()
                },
            );
        }
        record.snapshot(at)
    }

    fn kept(at: u64, pages: u64) -> Kept {
        Kept {
            by: 0,
            at,
            off: 0,
            error: 0,
            told: told(at, pages),
        }
    }

    #[test]
    fn the_later_record_stands_and_all_is_bounded() {
        let mut all = Collected::default();
        all.take(3, kept(20, 2));
        all.take(3, kept(10, 5));
        assert_eq!(all.get(3).map(|k| k.told.intervals.len()), Some(2));
        all.take(4, kept(10, 250));
        let long = &all.get(4).expect("kept").told;
        assert!(
            length(long) <= MAX_RECORD && long.discarded.count > 0 && long.intervals.len() > 20
        );
        (0..400).for_each(|p| all.take(p, kept(30 + u64::from(p), 40)));
        assert!(all.bytes().len() <= MAX_ALL);
        assert!(all.get(399).is_some(), "what was collected last is kept");
        let last = all
            .get(399)
            .map(|k| k.told.intervals.last().map(|p| p.version.generation));
        assert_eq!(last, Some(Some(39)));
    }

    #[test]
    fn texts_are_by_their_digest() {
        let one = Collection::new(None);
        assert_eq!(one.text(Digest::default()), None);
        one.take(1, kept(5, 1));
        let key = one.seal();
        let text = one.text(key).expect("it is");
        assert_eq!(
            (one.text(Digest::of(b"other")), Digest::of(&text)),
            (None, key)
        );
        let other = Collection::new(Some(&text));
        assert_eq!(other.digest(), key);
    }
}
