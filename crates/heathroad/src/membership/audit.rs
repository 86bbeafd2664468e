//! The audit: who acted on which version, and when. What a member's own record says is told as
//! that; of whoever is not reached, what was last heard is told, and that nothing is known beyond
//! it.

use super::{FetchedResource, MembershipService};
use crate::lease::Duties;
use crate::lease::audit_collector::Kept;
use heathroad_membership::MemberId;
use heathroad_membership::activity_record::{Kept as Interval, RecordSnapshot, Spell};
use heathroad_membership::protocol::fetch::Unfetched;
use heathroad_membership::table::Standing;
use heathroad_membership::version::Digest;
use heathroad_membership::wire::Resource;
use serde_json::{Value, json};
use std::rc::Rc;
use std::time::Duration;
use tokio::task::JoinSet;

/// A record that has not come by then is told as not reached.
const PATIENCE: Duration = Duration::from_secs(6);

/// What is asked. Times are Unix time in milliseconds by the clock of the proxy that is asked.
#[derive(Default, Clone, Copy)]
pub struct AuditQuery {
    /// Nothing that ended before.
    pub since: Option<u64>,
    /// Of this generation of routes alone.
    pub version: Option<u64>,
    /// What was in force at this time.
    pub at: Option<u64>,
}

impl AuditQuery {
    /// From a request's query, such as `since=1790000000000&version=7`.
    pub fn parse(query: &str) -> Result<AuditQuery, String> {
        let mut ask = AuditQuery::default();
        for pair in query.split('&').filter(|p| !p.is_empty()) {
            let (name, value) = pair.split_once('=').unwrap_or((pair, ""));
            let number = value
                .parse()
                .map_err(|_| format!("{name}: {value:?}: expected a whole number"))?;
            match name {
                "since" => ask.since = Some(number),
                "version" => ask.version = Some(number),
                "at" => ask.at = Some(number),
                _ => return Err(format!("{name}: expected since, version or at")),
            }
        }
        Ok(ask)
    }

    /// Whether a page is asked for; times of the page are moved by `off` to the asker's clock.
    fn wants(&self, kept: &Interval, at: u64, off: i64) -> bool {
        let here = |t: u64| t.saturating_add_signed(off);
        let end = kept
            .to
            .map_or(here(at), here)
            .max(kept.last.map_or(0, here));
        self.since.is_none_or(|since| end >= since)
            && self.version.is_none_or(|v| kept.version.generation == v)
            && self.at.is_none_or(|at| here(kept.from) <= at && end >= at)
    }
}

/// How another's clock lies to this proxy's: `off` is to be added to its times, give or take
/// `error`, in milliseconds.
#[derive(Debug, Clone, Copy, Default)]
pub struct ClockOffset {
    /// To be added.
    pub offset_ms: i64,
    /// Give or take so much.
    pub error_ms: u64,
}

impl ClockOffset {
    /// Another's time by this proxy's clock.
    pub fn to_local(self, time: u64) -> u64 {
        time.saturating_add_signed(self.offset_ms)
    }
}

/// A record, and how its clock lies.
pub struct RemoteRecord {
    /// The record.
    pub snapshot: RecordSnapshot,
    /// How its clock lies to this proxy's.
    pub clock_offset: ClockOffset,
}

/// What a member tells as JSON that says when it was written down.
pub async fn fetch_snapshot<T: serde::de::DeserializeOwned>(
    peers: &MembershipService,
    of: MemberId,
    topic: Resource,
    at: impl Fn(&T) -> u64,
) -> Result<(T, ClockOffset), Unfetched> {
    let FetchedResource { bytes: text, span } =
        peers.fetch(of, topic, Digest::default(), PATIENCE).await?;
    let told: T = serde_json::from_slice(&text).map_err(|_| Unfetched::Spoilt)?;
    // It was written down somewhere in that span.
    let middle = span.begun.saturating_add(span.within / 2);
    let off = i64::try_from(i128::from(middle) - i128::from(at(&told))).unwrap_or(i64::MAX);
    Ok((
        told,
        ClockOffset {
            offset_ms: off,
            error_ms: span.within.div_ceil(2),
        },
    ))
}

/// A member's record.
pub async fn fetch_record(
    peers: &MembershipService,
    of: MemberId,
) -> Result<RemoteRecord, Unfetched> {
    let (snapshot, clock_offset) =
        fetch_snapshot::<RecordSnapshot>(peers, of, Resource::ActivityRecord, |t| t.at).await?;
    Ok(RemoteRecord {
        snapshot,
        clock_offset,
    })
}

fn pages(ask: &AuditQuery, told: &RecordSnapshot, off: i64) -> Vec<Value> {
    let wanted = told.intervals.iter().filter(|p| ask.wants(p, told.at, off));
    let page = |kept: &Interval| {
        let mut page = serde_json::to_value(kept).unwrap_or_default();
        for time in ["from", "to", "first", "last"] {
            if let Some(t) = page[time].as_u64() {
                page[time] = t.saturating_add_signed(off).into();
            }
        }
        page
    };
    wanted.map(page).collect()
}

fn spells(told: &RecordSnapshot, off: i64) -> Vec<Value> {
    let here = |t: u64| t.saturating_add_signed(off);
    let spell =
        |s: &Spell| json!({"trouble": s.trouble, "from": here(s.from), "to": s.to.map(here)});
    told.spells.iter().map(spell).collect()
}

fn member(ask: &AuditQuery, told: &RecordSnapshot, off: i64, error: u64) -> Value {
    let here = |t: u64| t.saturating_add_signed(off);
    json!({
        "reached": true, "clock_off_ms": -off, "clock_error_ms": error, "since": here(told.since), "at": here(told.at),
        "pages": pages(ask, told, off), "lost": told.discarded, "spells": spells(told, off),
        "turned_down": told.turned_down,
    })
}

/// What the collector kept of a member: by the collector's clock, and of nothing after it was
/// collected.
fn collected(ask: &AuditQuery, kept: &Kept) -> Value {
    let mut told = member(ask, &kept.told, kept.off, kept.error);
    told["reached"] = false.into();
    (told["by"], told["collected_at"]) = (kept.by.into(), kept.at.into());
    told
}

/// Asks every member for its record. Of whom it does not reach, what the fleet's collector kept is
/// told, where there is one.
pub async fn audit(
    peers: Rc<MembershipService>,
    duties: Option<Rc<Duties>>,
    ask: AuditQuery,
) -> Value {
    let acts = &peers.acts;
    let views = peers.members();
    let mut asking = JoinSet::new();
    let (own, standings): (MemberId, Vec<(MemberId, Standing)>) = {
        let fleet = peers.fleet.borrow();
        (
            fleet.own(),
            fleet
                .table()
                .all()
                .map(|(place, m)| (place, m.standing))
                .collect(),
        )
    };
    for (place, standing) in standings {
        // Whoever is gone is not waited for: a half of the fleet would take minutes.
        if place != own && matches!(standing, Standing::Alive | Standing::Suspect) {
            let peers = peers.clone();
            crate::runtime_accounting::spawn_in(&mut asking, async move {
                (place, fetch_record(&peers, place).await)
            });
        }
    }
    let mut heard = std::collections::BTreeMap::new();
    while let Some(one) = asking.join_next().await {
        if let Ok((place, record)) = one {
            heard.insert(place, record);
        }
    }
    let apart = heard.values().filter(|h| h.is_err()).count()
        + views["members"].as_array().map_or(0, Vec::len);
    let kept = match &duties {
        // Nobody is left to be told of but this proxy itself and those who were reached.
        Some(duties) if apart > heard.len() + 1 => duties.collected().await,
        _ => None,
    };
    let mut members = Vec::new();
    for view in views["members"].as_array().into_iter().flatten() {
        let place = view["place"]
            .as_u64()
            .and_then(|p| MemberId::try_from(p).ok())
            .unwrap_or(MemberId::MAX);
        let mut member = match heard.remove(&place) {
            _ if place == own => member(&ask, &acts.snapshot(), 0, 0),
            Some(Ok(h)) => {
                let off = h.clock_offset;
                member(&ask, &h.snapshot, off.offset_ms, off.error_ms)
            }
            other => {
                let why = match other {
                    Some(Err(Unfetched::NotThere)) => "it keeps no record",
                    Some(Err(Unfetched::Spoilt)) => "its record came spoilt",
                    Some(_) => "it did not answer",
                    None if view["standing"] == "unknown" => "it was never heard",
                    None => "it is not there, as far as is known here",
                };
                // What it did since it was last heard, on which version and until when, nobody here
                // can know.
                let kept = kept
                    .as_ref()
                    .and_then(|k| k.get(place))
                    .map(|k| collected(&ask, k));
                json!({"reached": false, "why": why, "last_heard_ms": view["heard_ms"], "last_acts": view["acts"],
                    "last_version": view["version"], "unknown_until": Value::Null, "collected": kept})
            }
        };
        for known in ["place", "address", "standing", "incarnation", "me"] {
            member[known] = view[known].clone();
        }
        members.push(member);
    }
    json!({"fleet": views["fleet"], "asked": own, "at": acts.now(), "cut_off": views["cut_off"],
        "wanted": views["wanted"], "required": views["required"], "members": members})
}
