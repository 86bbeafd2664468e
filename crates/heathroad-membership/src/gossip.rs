//! What is passed on next. News goes a bounded number of times from each who hears it, the least
//! told first; what room is left in a datagram goes to old news by turns, so that whoever missed
//! something hears it again.

use crate::desired_version::{Conflict, Desired, DesiredVersion, Required};
use crate::table::Table;
use crate::wire::Item;
use crate::{MemberId, Millis};
use std::collections::BTreeMap;

/// A piece of news is told so many times the logarithm to base two of the fleet's size by each who
/// has it. Fewer (four times the logarithm to base ten) left the last of 300 without it for 19 s,
/// and took ten times as long at 30% loss.
const TIMES: f64 = 3.0;
/// Most items that are looked up for a datagram; it holds fewer.
const MOST: usize = 16;

/// What a piece of news is of.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Topic {
    /// How a member stands.
    Standing(MemberId),
    /// What it acts on.
    Acts(MemberId),
    /// What all are to act on.
    Wanted,
}

impl Topic {
    /// What is known of it now: what is passed on is never older than that.
    fn item(self, table: &Table) -> Option<Item> {
        match self {
            Topic::Standing(place) => table.claim(place).map(Item::Claim),
            Topic::Acts(member) => table.get(member)?.acts.map(|a| Item::Acts {
                member,
                life: a.life,
                change: a.change,
                digest: a.digest,
            }),
            Topic::Wanted => match table.wanted() {
                Desired::Unset => None,
                Desired::Version(DesiredVersion {
                    generation: number,
                    digest,
                    by,
                }) => Some(Item::Want { number, digest, by }),
                Desired::Conflict(Conflict { number, digests }) => {
                    Some(Item::Conflict { number, digests })
                }
            },
        }
    }
}

/// News under way, at most two of each member.
#[derive(Debug, Clone, Default)]
pub struct Gossip {
    hot: BTreeMap<Topic, u32>,
    /// Whose old news is told next.
    turn: MemberId,
}

impl Gossip {
    /// There is news of this.
    pub fn news(&mut self, topic: Topic) {
        self.hot.insert(topic, 0);
    }

    /// Whether there is any.
    pub fn any(&self) -> bool {
        !self.hot.is_empty()
    }

    /// What a datagram to somebody should tell, the first the most: what it must know of itself,
    /// news, old news.
    pub fn items(
        &mut self,
        table: &Table,
        to: MemberId,
        now: Millis,
    ) -> Vec<(Option<Topic>, Item)> {
        let own = table
            .get(to)
            .filter(|m| m.standing != crate::table::Standing::Alive);
        let own = own
            .and_then(|_| Topic::Standing(to).item(table))
            .map(|item| (None, item));
        let mut hot: Vec<(u32, Topic)> = self
            .hot
            .iter()
            .map(|(topic, told)| (*told, *topic))
            .collect();
        hot.sort_unstable();
        let known = hot
            .into_iter()
            .map(|(_, topic)| topic)
            .filter(|t| *t != Topic::Wanted);
        let known: Vec<Topic> = known.take(MOST).collect();
        let mut items: Vec<(Option<Topic>, Item)> = own.into_iter().collect();
        // Whoever is answered knows what is wanted from then on: there is always room for that.
        items.extend(
            Topic::Wanted
                .item(table)
                .map(|item| (Some(Topic::Wanted), item)),
        );
        let left = |at: Millis| u32::try_from(at.saturating_sub(now)).unwrap_or(u32::MAX);
        let required = table.required().all().iter();
        items.extend(required.map(|r| {
            let Required { number, digest, at } = *r;
            (
                None,
                Item::Required {
                    number,
                    digest,
                    left: left(at),
                },
            )
        }));
        items.extend(
            known
                .iter()
                .filter_map(|t| Some((Some(*t), t.item(table)?))),
        );
        for _ in 0..table.places() {
            if items.len() >= MOST {
                break;
            }
            self.turn = (self.turn + 1) % table.places().max(1);
            let topics = [Topic::Standing(self.turn), Topic::Acts(self.turn)];
            let old = topics.iter().filter(|t| !known.contains(t));
            items.extend(old.filter_map(|t| Some((None, t.item(table)?))));
        }
        items
    }

    /// These were told once more; what was told often enough is news no longer. Old news that found
    /// no room is told first next time.
    pub fn told(&mut self, items: &[(Option<Topic>, Item)], written: usize, places: u16) {
        let most = (TIMES * f64::from(places.max(2)).log2()).ceil() as u32;
        for topic in items[..written].iter().filter_map(|(topic, _)| *topic) {
            if let Some(told) = self.hot.get_mut(&topic) {
                *told += 1;
                if *told >= most {
                    self.hot.remove(&topic);
                }
            }
        }
        let unheard = items[written..]
            .iter()
            .find_map(|(topic, item)| match (topic, item) {
                (None, Item::Claim(c)) => Some(c.member),
                (None, Item::Acts { member, .. }) => Some(*member),
                _ => None,
            });
        if let Some(member) = unheard {
            self.turn = (member + places.max(1) - 1) % places.max(1);
        }
    }
}
