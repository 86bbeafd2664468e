//! What operators ask of duties: how they stand now by the voters' words, and who held what.

use super::{Duties, Kind, Own, unix_at};
use crate::membership::audit::{self, ClockOffset};
use crate::runtime_accounting::{sleep, spawn_in};
use heathroad_lease::DutyId;
use heathroad_lease::history::End;
use heathroad_lease::message::{What, Why};
use heathroad_lease::token::Token;
use heathroad_membership::MemberId;
use heathroad_membership::wire::Resource;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::JoinSet;

/// Voters that have not answered by then are not reached.
const ANSWERS: Duration = Duration::from_secs(1);
/// Pause between two looks.
const LOOK: Duration = Duration::from_millis(20);

/// What a voter granted: by its clock, Unix time in milliseconds.
#[derive(Debug, Clone, Serialize, Deserialize)]
struct Granted {
    token: Token,
    from: u64,
    /// Until when at the latest it may have been held.
    until: u64,
    end: End,
}

/// What a proxy tells of one duty.
#[derive(Debug, Clone, Serialize, Deserialize)]
struct Part {
    name: String,
    own: Vec<OwnTold>,
    granted: Vec<Granted>,
}

#[derive(Debug, Clone, Serialize, Deserialize)]
struct OwnTold {
    token: Token,
    from: u64,
    to: Option<u64>,
    why: Option<String>,
}

/// What a proxy tells of all.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(super) struct Told {
    at: u64,
    duties: Vec<Part>,
}

impl Duties {
    /// What this proxy knows of who held what.
    pub(super) fn told(&self) -> Told {
        let core = self.core.borrow();
        let part = |(id, one): (&DutyId, &super::One)| {
            let own = one.own.borrow();
            let own = own.iter().map(
                |Own {
                     token,
                     from,
                     to,
                     why,
                 }| OwnTold {
                    token: *token,
                    from: *from,
                    to: *to,
                    why: why
                        .and_then(|w| Some(serde_json::to_value(w).ok()?.as_str()?.to_string())),
                },
            );
            let spells = core
                .voter()
                .and_then(|v| v.history().get(id))
                .into_iter()
                .flatten();
            let granted = spells.map(|s| Granted {
                token: s.token,
                from: unix_at(&self.peers, s.from),
                until: unix_at(&self.peers, s.until),
                end: s.end,
            });
            Part {
                name: one.name.clone(),
                own: own.collect(),
                granted: granted.collect(),
            }
        };
        Told {
            at: self.peers.activity_log().now(),
            duties: self.all.iter().map(part).collect(),
        }
    }

    /// How all duties stand now.
    pub async fn list(&self) -> Value {
        self.stands.borrow_mut().clear();
        for duty in self.all.keys() {
            self.core.borrow_mut().look(*duty);
        }
        self.stirred.notify_one();
        let voters = self.core.borrow().electorate().all().count();
        let heard = || {
            let stands = self.stands.borrow();
            self.all
                .keys()
                .all(|d| stands.get(d).is_some_and(|s| s.len() >= voters))
        };
        let end = tokio::time::Instant::now() + ANSWERS;
        while !heard() && tokio::time::Instant::now() < end {
            sleep(LOOK).await;
        }
        let duties: Vec<Value> = self
            .all
            .iter()
            .map(|(id, one)| self.one(*id, one))
            .collect();
        let core = self.core.borrow();
        let electorate = core.electorate();
        let silent = core
            .voter()
            .map(|v| v.silent_until().saturating_sub(self.peers.now()));
        json!({"asked": self.peers.member_id(), "at": self.peers.activity_log().now(), "generation": electorate.generation(),
            "voters": electorate.all().collect::<Vec<_>>(), "votes": core.voter().is_some(),
            "silent_ms": silent, "lease_ms": self.lease.as_millis() as u64, "duties": duties})
    }

    fn one(&self, id: DutyId, one: &super::One) -> Value {
        let (stands, core) = (self.stands.borrow(), self.core.borrow());
        let of = stands.get(&id).map(Vec::as_slice).unwrap_or_default();
        let held = |what: &What| match what {
            What::Stands {
                highest,
                left,
                why: Some(Why::Held),
                ..
            } => Some((*highest, *left)),
            _ => None,
        };
        // Whom a quorum grants it to holds it, or may.
        let mut by: BTreeMap<Token, Vec<(MemberId, u32)>> = BTreeMap::new();
        for s in of {
            if let Some((token, left)) = held(&s.what) {
                by.entry(token).or_default().push((s.voter, left));
            }
        }
        let quorum = |voters: &[(MemberId, u32)]| {
            core.electorate()
                .quorum(|p| voters.iter().any(|(v, _)| *v == p))
        };
        let holder = by
            .iter()
            .find(|(_, voters)| quorum(voters))
            .map(|(token, _)| *token);
        let reached = core
            .electorate()
            .quorum(|p| of.iter().any(|s| s.voter == p));
        let here = core.seat(id).and_then(|s| s.holds(self.peers.now()));
        let voters: Vec<Value> = of
            .iter()
            .map(|s| match &s.what {
                What::Stands { highest, left, why, died, .. } => {
                    json!({"voter": s.voter, "highest": highest, "left_ms": left, "why": why, "died": died})
                }
                _ => Value::Null,
            })
            .collect();
        let work = match &one.kind {
            Kind::Call(to) => format!("call {}{}", to.address, to.path),
            Kind::Collect { .. } => "collect".into(),
        };
        json!({"name": one.name, "work": work, "holder": holder.map(Token::place), "token": holder,
            "majority_reached": reached, "voters": voters,
            "held_here": here.map(|(token, until)|
                json!({"token": token, "left_ms": until.saturating_sub(self.peers.now())})),
            "refused": core.seat(id).and_then(|s| s.refused()), "unfit": *one.unfit.borrow()})
    }

    /// Who held what, from all who are there and know anything of it. Times are by this proxy's
    /// clock.
    pub async fn history(self: &Rc<Self>) -> Value {
        let mut asking = JoinSet::new();
        for place in self.peers.present_members(false) {
            let peers = self.peers.clone();
            spawn_in(&mut asking, async move {
                (
                    place,
                    audit::fetch_snapshot::<Told>(&peers, place, Resource::LeaseHistory, |t| t.at)
                        .await,
                )
            });
        }
        let mut all = vec![(self.peers.member_id(), self.told(), ClockOffset::default())];
        let mut unreached = Vec::new();
        while let Some(one) = asking.join_next().await {
            match one {
                Ok((place, Ok((told, off)))) => all.push((place, told, off)),
                Ok((place, Err(_))) => unreached.push(place),
                Err(_) => {}
            }
        }
        unreached.sort_unstable();
        let duties: Vec<Value> = self
            .all
            .values()
            .map(|one| spells(&one.name, &all))
            .collect();
        json!({"asked": self.peers.member_id(), "at": self.peers.activity_log().now(), "unreached": unreached,
            "duties": duties})
    }
}

/// One hold: what its holder knows of it, and what voters bound it by.
#[derive(Default)]
struct Spell {
    from: Option<u64>,
    to: Option<u64>,
    why: Option<String>,
    holds: bool,
    granted: Option<u64>,
    bound: Option<u64>,
    resigned: bool,
    told_by: Vec<MemberId>,
    error: u64,
}

fn spells(name: &str, all: &[(MemberId, Told, ClockOffset)]) -> Value {
    let mut by: BTreeMap<Token, Spell> = BTreeMap::new();
    for (place, told, off) in all {
        for part in told.duties.iter().filter(|p| p.name == name) {
            for own in &part.own {
                let s = by.entry(own.token).or_default();
                (s.from, s.to) = (
                    Some(off.to_local(own.from)),
                    own.to.map(|t| off.to_local(t)),
                );
                (s.why, s.holds) = (own.why.clone(), own.to.is_none());
                s.error = s.error.max(off.error_ms);
                s.told_by.push(*place);
            }
            for g in &part.granted {
                let s = by.entry(g.token).or_default();
                let (from, until) = (off.to_local(g.from), off.to_local(g.until));
                s.granted = Some(s.granted.map_or(from, |t| t.min(from)));
                s.bound = Some(s.bound.map_or(until, |t| t.max(until)));
                s.resigned |= g.end == End::Resigned;
                s.error = s.error.max(off.error_ms);
                if !s.told_by.contains(place) {
                    s.told_by.push(*place);
                }
            }
        }
    }
    let spell = |(token, s): (Token, Spell)| {
        // Who was granted it by some, and did not say that it held, may never have had a quorum.
        json!({"token": token, "place": token.place(), "from": s.from.or(s.granted), "to": s.to, "why": s.why,
            "known": s.from.is_some(), "holds": s.holds, "at_the_latest": s.to.or(s.bound), "resigned": s.resigned,
            "told_by": s.told_by, "clock_error_ms": s.error})
    };
    json!({"name": name, "spells": by.into_iter().map(spell).collect::<Vec<_>>()})
}

#[cfg(test)]
#[path = "../../tests/unit/duty_told.rs"]
mod tests;
