//! What is heard.

use super::probe::{HELPING, Helping};
use super::{Event, Membership};
use crate::desired_version::{Conflict, Desired, DesiredVersion, Required};
use crate::gossip::Topic;
use crate::table::{Acts, Claim, Incarnation, Standing};
use crate::wire::{self, Head, Item, Kind, MAX_DATAGRAM};
use crate::{MemberId, Millis};

impl Membership {
    /// A datagram has come, of whatever kind and from whomever.
    pub fn receive(&mut self, now: Millis, bytes: &[u8]) {
        if self.stopped {
            return;
        }
        self.look_at_clock(now);
        self.take(now, bytes);
        self.planned = self.due().max(now);
    }

    fn take(&mut self, now: Millis, bytes: &[u8]) {
        let Some((head, mut rest)) = self.seal.open(bytes, &mut self.traffic.dropped) else {
            return;
        };
        let known = self.table.get(head.from).map(|m| m.incarnation.life);
        let Some(known) = known.filter(|_| head.to == self.own && head.from != self.own) else {
            self.traffic.dropped.astray += 1;
            return;
        };
        let Ok((kind, items)) = wire::read(&mut rest) else {
            self.traffic.dropped.torn += 1;
            return;
        };
        if head.to_life > self.me.life {
            // The clock has gone back since an earlier life of this proxy, which others remember.
            self.traffic.dropped.stale += 1;
            return self.reborn(now, head.to_life);
        }
        if head.to_life < self.me.life || head.from_life < known {
            return self.stranger(now, &head, known, kind);
        }
        let Some(member) = self.table.get_mut(head.from) else {
            return;
        };
        if !member.window.take(head.from_life, head.number) {
            self.traffic.dropped.replayed += 1;
            return;
        }
        (member.heard, member.spoken) = (Some(now), head.spoken);
        self.traffic.heard += 1;
        self.heard = now;
        if std::mem::take(&mut self.cut_off) {
            self.tell(Event::Heard);
        }
        if head.from_life > known {
            let incarnation = Incarnation {
                life: head.from_life,
                turn: 0,
            };
            let (member, by) = (head.from, head.from);
            self.hear(
                now,
                Claim {
                    member,
                    standing: Standing::Alive,
                    incarnation,
                    by,
                },
            );
        }
        match kind {
            Kind::Part { .. } => return self.part_came(now, head.from, kind, items),
            Kind::Carry => return self.carry_came(&head, items),
            _ => {}
        }
        items.into_iter().for_each(|item| self.item(now, item));
        self.answer(now, head.from, kind);
    }

    /// Who does not know this proxy's life, or is of an ended life itself, is answered, so that it
    /// learns; nothing that it says is used, since it may be a recording.
    fn stranger(&mut self, now: Millis, head: &Head, known: u64, kind: Kind) {
        if head.to_life != 0 {
            self.traffic.dropped.stale += 1;
        }
        if let Kind::Ping { nonce } = kind {
            self.put(
                now,
                head.from,
                known.max(head.from_life),
                Kind::Ack { nonce },
                &[],
            );
        }
        let period = self.terms.period;
        let greet = |m: &mut crate::table::Member| {
            let due = m.greeted.is_none_or(|at| now.saturating_sub(at) >= period);
            if due {
                m.greeted = Some(now);
            }
            due
        };
        if head.from_life > known && self.table.get_mut(head.from).is_some_and(greet) {
            let nonce = self.rng.u32(..);
            self.put(now, head.from, head.from_life, Kind::Ping { nonce }, &[]);
        }
    }

    fn item(&mut self, now: Millis, item: Item) {
        match item {
            Item::Claim(claim) if claim.member == self.own => self.hear_of_me(now, claim),
            Item::Claim(claim) => self.hear(now, claim),
            Item::Acts {
                member,
                life,
                change,
                digest,
            } => {
                if member != self.own
                    && self.table.acts(
                        member,
                        Acts {
                            life,
                            change,
                            digest,
                        },
                    )
                {
                    self.gossip.news(Topic::Acts(member));
                    self.tell(Event::Acts { member, digest });
                }
            }
            Item::Whole(version) => {
                let acted = |d| {
                    self.table
                        .all()
                        .any(|(_, m)| m.acts.is_some_and(|a| a.digest == d))
                };
                if acted(version.digest()) {
                    self.table.keep(version);
                }
            }
            Item::Want { number, digest, by } => self.wanted(Desired::Version(DesiredVersion {
                generation: number,
                digest,
                by,
            })),
            Item::Required {
                number,
                digest,
                left,
            } => {
                self.required(Required {
                    number,
                    digest,
                    at: now + u64::from(left),
                });
            }
            Item::Conflict { number, digests } => {
                if digests[0] != digests[1] {
                    self.wanted(Desired::Conflict(Conflict { number, digests }));
                }
            }
            // Only a text's part holds any, and is read elsewhere.
            Item::Bytes(_) => {}
        }
    }

    /// A word on this proxy: what is not true is contradicted.
    fn hear_of_me(&mut self, now: Millis, claim: Claim) {
        let Incarnation { life, turn } = claim.incarnation;
        if life > self.me.life || life == self.me.life && claim.standing.over() {
            self.reborn(now, life);
        } else if life == self.me.life
            && claim.standing == Standing::Suspect
            && turn >= self.me.turn
        {
            if turn == u16::MAX {
                return self.reborn(now, life);
            }
            self.me.turn = turn + 1;
            self.health.worse(1);
            self.say_alive(now);
        }
    }

    fn answer(&mut self, now: Millis, from: MemberId, kind: Kind) {
        match kind {
            Kind::Ping { nonce } => self.send(now, from, Kind::Ack { nonce }),
            Kind::Ack { nonce } => {
                if let Some(at) = self.asking.iter().position(|(asked, _)| *asked == nonce) {
                    self.confirmed = self
                        .confirmed
                        .max(self.asking.remove(at).map(|(_, begun)| begun));
                }
                if let Some(p) = self.probe.as_mut().filter(|p| p.nonce == nonce) {
                    p.answered = true;
                    self.confirmed = self.confirmed.max(Some(p.begun));
                }
                let ours = self
                    .helping
                    .iter()
                    .position(|h| h.ours == nonce && h.after == from);
                if let Some(h) = ours.map(|at| self.helping.swap_remove(at)) {
                    self.send(now, h.whom, Kind::Ack { nonce: h.theirs });
                }
            }
            Kind::Nack { nonce } => {
                if let Some(p) = self.probe.as_mut().filter(|p| p.nonce == nonce) {
                    p.nacks = p.nacks.saturating_add(1).min(p.helpers);
                }
            }
            Kind::Help { nonce, after } => {
                if after == self.own
                    || after >= self.table.places()
                    || self.helping.len() >= HELPING
                {
                    return;
                }
                let (ours, nack_at) = (self.rng.u32(..), now + self.terms.answer);
                self.helping.push(Helping {
                    whom: from,
                    theirs: nonce,
                    after,
                    ours,
                    nack_at,
                });
                self.send(now, after, Kind::Ping { nonce: ours });
            }
            Kind::Ask { member, digest } => {
                if member == self.own
                    && let Some(version) = self.table.version(digest).cloned()
                {
                    let life = self.table.get(from).map_or(0, |m| m.incarnation.life);
                    self.put(now, from, life, Kind::Tell, &[Item::Whole(version)]);
                }
            }
            Kind::Fetch { id, topic, key, at } => self.asked_for(now, from, id, topic, key, at),
            Kind::Gossip | Kind::Tell | Kind::Carry | Kind::Part { .. } => {}
        }
        debug_assert!(self.out.iter().all(|s| s.bytes.len() <= MAX_DATAGRAM));
    }
}
