//! Every decision of a balancer copy: one learned concurrency limit, split into slices by worth,
//! over a load-sized subset of the tier. The interface (settings, events, actions) is in `api.rs`.

use crate::api::*;
use crate::state::{Attempt, Backend, Latency, Limiter, Line, Request, Slice};
use rustc_hash::FxHashMap;
use std::collections::BTreeMap;

const HOUSEKEEPING: u64 = 0; // timer tokens
const ASK: u64 = 1;
const HOUSE_TICKS: f64 = 10.0; // ticks between housekeepings: often enough for holds, rare enough to be cheap
const AIM_SHARE: f64 = 0.4; // mean latency over the aim at which the limit is full: half may be slower
const TOLERANCE: f64 = 1.3; // but under this multiple of its class's baseline chance alone would cut
const DEPTH: f64 = 100.0; // samples that a mean latency covers
const CLIP: f64 = 6.0; // one answer weighs at most so many means: heavy tails are the work's, not the queue's
const DROP_SHARE: f64 = 0.05; // share of drops that calls for a smaller limit: fewer are single bad picks
const WINDOW: f64 = 10.0; // answers that a window of the limiter needs at the least
const STEP: [f64; 2] = [0.7, 1.5]; // the limit moves by no more in a window, which may be chance
const HOLD: [f64; 2] = [0.125, 0.5]; // share of the aim that a request is held: first tier, behind it
const MIN_SUBSET: f64 = 5.0; // room for two picks when a member or two are out
const OVERLAP: f64 = 2.0; // copies that share a backend at the least, so that none depends on a single one
const START: f64 = 4.0; // calls per member that the limit begins at: growing from too few takes seconds
const CALLS_PER_MEMBER: f64 = 1.0; // own calls that a member carries before the subset widens
const NARROW_PER_S: f64 = 0.03; // connections cost, so the subset does not follow every lull
const HANG_MISSED: f64 = 8.0; // answers missed, by Little's law, before silence is a hang and not a pause
const PIN: f64 = 4.0; // means that a call may pin a slot: even of an exponential tail 2 in 100 take longer
const ERROR_STEP: f64 = 0.125; // weight of one outcome in an error rate
const ERROR_EJECT: f64 = 0.35; // error rate at which a backend is left ...
const ERROR_BESIDE: f64 = 3.0; // ... if it is so many times the others', else the trouble is shared
const ERROR_COST: f64 = 8.0; // a failed call costs more than a slow one
const SLOW_EJECT: f64 = 2.5; // mean latency, over all backends', at which one is left to recover
const EJECT_MS: f64 = 2000.0; // first time out of service; doubles up to 8 times with each failed trial
const CROSS_CHEAP: f64 = 0.01; // a price of crossing up to which pooling all zones is worth more
const CROSS_PRICE: f64 = 0.25; // aims that a mean may grow to save a crossing: the slowest grow by far more
const SPILL: [f64; 2] = [1.0, 0.4]; // proportional; integral a second: behind a queue, haste makes it swing
const SPILL_FADE: f64 = 8000.0; // a zone that was left altogether gives no answers and is tried again
const MAX_EJECTED: f64 = 0.5; // share of the list out of service beyond which the illness is nobody's own
const COLD_MARGIN: f64 = 0.5; // part of the cold budget used: backends are unlike, handshakes count
const RETRY_SHARE: f64 = 0.1; // repeats of what may have run, as a share of requests: no storm
const RETRY_DEPTH: f64 = 10.0;
const LOW_WORTH: f64 = 0.5; // of its class's: what those before this copy hold for less goes with the low
const DOOMED: f64 = 0.5; // of the baseline: one with less time left than that gets no answer

impl Backend {
    fn ejected(&self) -> bool {
        self.ejected_until > 0.0
    }
    /// Capacity that it surely has by now, as a share of its full one.
    fn warmth(&self, rules: &Rules, now: f64) -> f64 {
        let start = self.entry.started_at;
        let grown = if start > 0.0 {
            ((now - start) / rules.cold.max(1.0)).clamp(0.0, 1.0)
        } else {
            1.0
        };
        rules.cold_from.min(1.0) * (1.0 - grown) + grown
    }
}

impl Latency {
    /// The mean latency at which the limit is full.
    fn target(&self) -> f64 {
        (AIM_SHARE * self.aim).max(TOLERANCE * self.base).max(1.0)
    }
    fn sample(&mut self, wait: f64) {
        self.samples = (self.samples + 1.0).min(DEPTH);
        self.mean +=
            (wait.min(CLIP * self.mean.max(wait / self.samples)) - self.mean) / self.samples;
        if self.mean < self.base || self.samples < WINDOW {
            self.base = self.mean;
        }
    }
}

impl Limiter {
    fn update(&mut self, passed: f64) {
        self.elapsed += passed;
        self.area += passed
            * self
                .classes
                .iter()
                .map(|c| c.busy / c.target())
                .sum::<f64>();
        if self.answers + self.drops + self.timeouts < WINDOW || self.elapsed < self.mean {
            return;
        }
        let n = self.answers.max(1.0);
        let (load, seen) = (self.area / n, self.ratios / n);
        self.rate = self.answers / self.elapsed;
        let busy: f64 = self.classes.iter().map(|c| c.busy).sum();
        // Time-outs are drops only while answers are slow too: lost ones alone would cut it to
        // nothing.
        let drops = self.drops
            + if seen > 1.0 || self.answers == 0.0 {
                self.timeouts
            } else {
                0.0
            };
        let dropped = drops / (n + drops) * (1.0 - 1.0 / drops.max(1.0).sqrt());
        let mut cut: f64 = if dropped > DROP_SHARE {
            1.0 - dropped / 2.0
        } else {
            1.0
        };
        // A cut needs both views: silent backends swell the calls in flight but slow no answer, a
        // queue does both. Growth needs both as well: the first answers are the quick ones. Few
        // answers move little.
        let sure = load.min(seen) * (1.0 - 1.0 / n.sqrt());
        cut = cut.min(1.0 / sure.max(1.0).sqrt());
        if cut < 1.0 {
            self.total = (self.total * cut.max(STEP[0])).max(1.0);
        } else if self.used && load.max(seen) < 1.0 {
            self.total *= (1.0 / load.max(seen).max(0.01).sqrt()).min(STEP[1]);
        }
        // The baseline creeps up to what is seen: fast while there is slack, slowly under load.
        let creep = if busy < 0.5 * self.total { 0.1 } else { 0.01 };
        self.classes
            .iter_mut()
            .for_each(|c| c.base += (c.mean - c.base) * creep);
        (self.elapsed, self.area, self.answers, self.ratios) = (0.0, 0.0, 0.0, 0.0);
        (self.drops, self.timeouts, self.used) = (0.0, 0.0, false);
    }
}

/// A slice's own limit, by the design's formula.
fn own_limit(total: f64, share: f64) -> f64 {
    (total * share).ceil().max(1.0)
}

/// One balancer copy. See the crate's documentation for how a proxy drives it.
#[derive(Default)]
pub struct Balancer {
    s: Settings,
    rng: fastrand::Rng,
    started: bool,
    backends: BTreeMap<BackendId, Backend>,
    ring: Vec<BackendId>,
    subset: Vec<BackendId>,
    near: usize,      // so many of the subset's first are in this copy's zone
    spill: f64,       // share of calls that are to leave the zone ...
    drift: f64,       // ... and its slow part
    excess: [f64; 2], // latency over the baseline, in aims: in the zone, beyond it
    width: f64,
    weight: f64,
    requests: FxHashMap<RequestId, Request>, // looked up, never iterated: its order decides nothing
    lines: BTreeMap<u64, Line>,
    limiter: Limiter,
    slices: Vec<Slice>, // most worth first
    slice_of: Vec<[usize; 2]>,
    buckets: Vec<(f64, f64)>,
    inflight: f64,
    peak: f64,
    error: f64,
    heard: f64,
    retry_tokens: f64,
    house: f64,
    ask_backoff: f64,
    asking: bool,
    hold: f64,
    sharers: f64,
}

impl Balancer {
    /// Starts a copy that knows nothing yet; `seed` feeds its only random numbers.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        crate::check(&settings)?;
        let mean =
            settings.classes.iter().map(|c| c.points).sum::<f64>() / settings.classes.len() as f64;
        let (even, over) = (settings.goal.worst_class, settings.over_share_worth);
        // The goal's weight on the worst-served class is worth that every class has alike.
        let worth = |c: &Class| (1.0 - even) * c.points / mean.max(1e-9) + even;
        let worths: Vec<[f64; 2]> = settings
            .classes
            .iter()
            .map(|c| [worth(c), worth(c) * over])
            .collect();
        let demoted = usize::from(
            settings.tier == 0 && !settings.tenants.is_empty() || settings.worth_carried,
        );
        let mut levels: Vec<f64> = worths.iter().flat_map(|w| w[..=demoted].to_vec()).collect();
        levels.sort_by(|a, b| b.total_cmp(a));
        levels.dedup_by(|a, b| (*a - *b).abs() < 1e-9);
        // Work beyond its tenant's share has no claim but what is left over and the floor of one
        // slot.
        let claim = |l: &f64| {
            if worths.iter().any(|w| (w[0] - l).abs() < 1e-9) {
                *l
            } else {
                0.0
            }
        };
        let sum = levels.iter().map(claim).sum::<f64>().max(1e-9);
        let place = |w: f64| {
            levels
                .iter()
                .position(|l| (l - w).abs() < 1e-9)
                .unwrap_or(0)
        };
        let classes = settings
            .classes
            .iter()
            .map(|c| Latency {
                aim: c.aim,
                ..Latency::default()
            })
            .collect();
        Ok(Balancer {
            rng: fastrand::Rng::with_seed(seed),
            slice_of: worths.iter().map(|w| w.map(place)).collect(),
            slices: levels
                .iter()
                .map(|l| Slice {
                    share: claim(l) / sum,
                    ..Slice::default()
                })
                .collect(),
            limiter: Limiter {
                classes,
                ..Limiter::default()
            },
            buckets: vec![(f64::MAX, 0.0); settings.tenants.len()],
            retry_tokens: RETRY_DEPTH,
            ask_backoff: 1.0,
            sharers: 1.0,
            // One for all classes: in a full queue the longer hold would take every slot of its
            // slice.
            hold: HOLD[settings.tier.min(1) as usize]
                * settings
                    .classes
                    .iter()
                    .map(|c| c.aim)
                    .fold(f64::MAX, f64::min),
            s: settings,
            ..Balancer::default()
        })
    }

    /// Takes one event at clock time `now` and appends what is to be done about it.
    pub fn handle(&mut self, now: f64, event: Event, out: &mut Vec<Action>) {
        if !self.started {
            (self.started, self.house, self.heard) = (true, now, now);
            out.push(Action::WakeMe {
                delay: self.period(),
                token: HOUSEKEEPING,
            });
            if self.s.must_ask {
                // Copies start together: the first call is spread so that discovery is not run
                // over.
                let share = 0.4 * self.rng.f64();
                self.ask_later(share, out);
            }
        }
        match event {
            Event::List { kind, entries } => self.on_list(now, kind, entries, out),
            Event::Request(arrival) => self.on_request(now, &arrival, out),
            Event::Resolved(resolved) => self.on_resolved(now, &resolved, out),
            Event::Late(resolved) => self.on_late(now, &resolved, out),
            Event::Hangup { request } => {
                // A client that leaves with time to spare asks again: its tenant, charged twice for
                // what it wants once, would lose its own share to impatience. Not so for what was
                // refused or out of time: who asks over and over with short limits would never be
                // past its share.
                if let Some(tenant) = self.requests.get_mut(&request).and_then(|r| r.paid.take()) {
                    self.buckets[tenant].0 += 1.0;
                }
                self.end(now, request, out);
            }
            Event::Wake {
                token: HOUSEKEEPING,
            } => self.housekeep(now, out),
            Event::Wake { token: ASK } => {
                self.asking = false;
                out.push(Action::Watch { on: true });
            }
            Event::Wake { .. } => {}
        }
        self.free_held(now, false, out);
    }

    /// What the limit stands at, for those who watch.
    pub fn load(&self) -> Load {
        let limit = self.limiter.total;
        let own = |s: &Slice| own_limit(limit.floor(), s.share);
        let slice = |s: &Slice| SliceLoad {
            limit: own(s),
            busy: s.busy,
            held: s.held.len(),
        };
        Load {
            limit,
            in_flight: self.inflight,
            slices: self.slices.iter().map(slice).collect(),
        }
    }

    /// What a request is worth, as a share of its class's: for those that it is sent on to.
    pub fn worth(&self, request: RequestId) -> f64 {
        let r = self.requests.get(&request);
        let low = r.is_some_and(|r| r.slice != self.slice_of[r.class][0]);
        if low { self.s.over_share_worth } else { 1.0 }
    }

    /// So many balancers of one proxy send to some backend of this one's: each keeps to its part of
    /// the cold budget.
    pub fn share_cold(&mut self, sharers: usize) {
        self.sharers = sharers.max(1) as f64;
    }

    /// The limit begins at so much at the least: what is known from before of the backends to come.
    pub fn begin_at(&mut self, limit: f64) {
        self.limiter.total = self.limiter.total.max(limit);
    }

    fn period(&self) -> f64 {
        (self.s.tick * HOUSE_TICKS).max(1.0)
    }

    /// Asks for the list after a share of the time in which asking is due.
    fn ask_later(&mut self, share: f64, out: &mut Vec<Action>) {
        if !std::mem::replace(&mut self.asking, true) {
            out.push(Action::WakeMe {
                delay: share * self.s.rules.ask_within,
                token: ASK,
            });
        }
    }

    fn on_list(&mut self, now: f64, kind: ListKind, entries: Vec<Entry>, out: &mut Vec<Action>) {
        if kind == ListKind::Failed {
            // Jittered and doubling, so that copies that failed together do not call together
            // again.
            let share = 0.1 * self.ask_backoff * (0.5 + self.rng.f64());
            self.ask_backoff = (self.ask_backoff * 2.0).min(8.0);
            return self.ask_later(share, out);
        }
        self.ask_backoff = 1.0;
        let before = self.ring.len() as f64;
        if kind != ListKind::Delta {
            self.backends
                .values_mut()
                .for_each(|b| b.entry.phase = Phase::Gone);
        }
        for e in entries {
            let known = self.backends.contains_key(&e.backend);
            let b = self.backends.entry(e.backend).or_default();
            if !known || b.entry.started_at != e.started_at {
                // A new process: nothing known of the old one holds. Copies that hear of it
                // together begin its cold budget at different phases, so that their first sends do
                // not meet.
                let phase =
                    (f64::from(self.s.copy) + f64::from(e.backend % 8191)) * 0.618_033_988_75;
                let (calls, late) = (std::mem::take(&mut b.calls), std::mem::take(&mut b.late));
                let cold_tokens = phase.fract();
                *b = Backend {
                    calls,
                    late,
                    slow: 1.0,
                    heard: now,
                    cold_tokens,
                    ..Backend::default()
                };
            }
            let id = e.backend;
            b.entry = e;
            self.release(id, out);
        }
        self.backends
            .retain(|_, b| !b.calls.is_empty() || b.entry.phase != Phase::Gone);
        let ready = self
            .backends
            .iter()
            .filter(|(_, b)| b.entry.phase == Phase::Ready);
        self.ring = ready.map(|(&id, _)| id).collect();
        let after = self.ring.len() as f64;
        self.weight = self
            .ring
            .iter()
            .map(|i| self.backends[i].entry.weight)
            .sum::<f64>()
            / after.max(1.0);
        // Both ways: where backends leave and return all day, one way alone would wear the limit
        // down.
        if before > 0.0 && after > 0.0 {
            self.limiter.total = (self.limiter.total * after / before).max(1.0);
        }
        self.resize(0.0);
        if before == 0.0 {
            self.limiter.total = self.limiter.total.max(START * self.width);
        }
    }

    /// Closes what is idle to a draining backend: at the notice, and once more after each outcome
    /// there.
    fn release(&self, id: BackendId, out: &mut Vec<Action>) {
        let draining = self
            .backends
            .get(&id)
            .is_some_and(|b| b.entry.phase != Phase::Ready);
        if draining && self.s.rules.release_within > 0.0 {
            out.push(Action::Close { backend: id });
        }
    }

    /// The subset: from this copy's place on the ring of backends onwards until enough healthy ones
    /// are in.
    fn resize(&mut self, passed: f64) {
        let n = self.ring.len();
        let (size, copies) = (n as f64, f64::from(self.s.copies));
        let want = (self.peak / CALLS_PER_MEMBER)
            .max(OVERLAP * size / copies)
            .max(MIN_SUBSET);
        self.width = want
            .max(self.width * (1.0 - NARROW_PER_S * passed / 1000.0))
            .min(size);
        self.subset.clear();
        // Zones: where crossing has a price, only the share that `housekeep` spills leaves the
        // zone.
        let apart = self.s.goal.cross_zone > CROSS_CHEAP;
        let far = |id: &&BackendId| apart && self.backends[id].entry.zone != self.s.zone;
        let (beyond, within): (Vec<_>, Vec<_>) = self.ring.iter().partition(far);
        let one = within.is_empty() || beyond.is_empty();
        let spill = if one {
            f64::from(u8::from(within.is_empty()))
        } else {
            self.spill
        };
        for (part, share) in [(within, 1.0 - spill), (beyond, spill)] {
            self.near = self.subset.len();
            let offset = f64::from(self.s.copy) * part.len() as f64 / copies;
            let mut missing = (self.width * share).ceil().max(MIN_SUBSET);
            let mut members = part.iter().cycle().skip(offset as usize).take(part.len());
            while let Some(&&id) = members.next().filter(|_| missing > 0.0) {
                self.subset.push(id);
                missing -= f64::from(u8::from(!self.backends[&id].ejected()));
            }
        }
    }

    fn on_request(&mut self, now: f64, arrival: &Arrival, out: &mut Vec<Action>) {
        let (id, class) = (arrival.request, usize::from(arrival.class));
        let Some(&Class { aim, in_order, .. }) = self.s.classes.get(class) else {
            return out.push(Action::Fail { request: id });
        };
        let budget = self.retry_tokens + RETRY_SHARE;
        self.retry_tokens = budget.min(RETRY_DEPTH.max(self.limiter.total * RETRY_SHARE));
        let tenant = usize::from(arrival.tenant);
        let over = self.s.tier == 0 && self.over_quota(now, tenant);
        let paid = (self.s.tier == 0 && !over && tenant < self.buckets.len()).then_some(tenant);
        let low = over || self.s.worth_carried && arrival.worth < LOW_WORTH;
        let slice = self.slice_of[class][usize::from(low)];
        let last = arrival.deadline - 2.0 * self.period();
        // Order: behind another request of its key it waits in that key's line and holds no slot.
        let key = if in_order { arrival.key } else { 0 };
        let behind = key != 0 && self.lines.contains_key(&key);
        if key != 0 {
            let line = self.lines.entry(key).or_default();
            line.ids.push_back(id);
            line.turn |= !behind;
        }
        let free = !behind && self.slices[slice].held.is_empty() && self.admits(slice);
        // With room but no backend or no turn, held while an answer can still be in time.
        let hold = if free || behind {
            aim - self.limiter.mean
        } else {
            self.hold
        };
        let hold_until = (now + hold).min(last);
        let (deadline, spare, attempts) = (arrival.deadline, arrival.spare, Vec::new());
        let r = Request {
            key,
            class,
            slice,
            paid,
            deadline,
            hold_until,
            ended: false,
            spare,
            attempts,
        };
        self.requests.insert(id, r);
        // Less time than even an empty backend takes: its work would be for nobody.
        let c = &self.limiter.classes[class];
        if spare.is_some() && c.samples >= WINDOW && deadline - now < DOOMED * c.base {
            return self.finish(now, id, out);
        }
        if free && self.send(now, id, out) {
            return;
        }
        self.limiter.used |= !free && !behind;
        // A client's last try may have less time left than housekeeping takes to come round: never
        // held.
        let held: usize = self.slices.iter().map(|s| s.held.len()).sum();
        if !behind && held as f64 >= self.limiter.total || last <= now {
            return self.finish(now, id, out);
        }
        if !behind {
            self.slices[slice].held.push_back(id);
        }
    }

    /// Lets the first in a key's line go ahead, like any other request, once the key has rested.
    fn pass_turn(&mut self, now: f64, key: u64) {
        let Some(line) = self
            .lines
            .get_mut(&key)
            .filter(|l| !l.turn && now > l.rest_until)
        else {
            return;
        };
        match line
            .ids
            .front()
            .and_then(|id| self.requests.get(id).map(|r| (*id, r.slice)))
        {
            Some((id, slice)) => {
                line.turn = true;
                self.slices[slice].held.push_back(id);
            }
            None => drop(self.lines.remove(&key)),
        }
    }

    /// Whether the tenant's local quota is used up. Demotes only; refuses nothing by itself.
    fn over_quota(&mut self, now: f64, tenant: usize) -> bool {
        let Some(t) = self.s.tenants.get(tenant) else {
            return false;
        };
        let rate = t.quota_per_s / f64::from(self.s.copies);
        let (tokens, last) = self.buckets[tenant];
        let tokens = (tokens + rate * (now - last) / 1000.0).min(rate.max(2.0));
        self.buckets[tenant] = (tokens - f64::from(u8::from(tokens >= 1.0)), now);
        tokens < 1.0
    }

    /// The design's rule: refused unsent only past both the total and the slice's own limit.
    fn admits(&self, slice: usize) -> bool {
        let (s, total) = (&self.slices[slice], self.limiter.total.floor());
        self.inflight < total || s.busy < own_limit(total, s.share)
    }

    /// Frees held requests, most worth first; on a full round also refuses those held too long.
    fn free_held(&mut self, now: f64, full: bool, out: &mut Vec<Action>) {
        for slice in 0..self.slices.len() {
            for _ in 0..self.slices[slice].held.len() {
                let admitted = self.admits(slice);
                let Some(&id) = self.slices[slice].held.front().filter(|_| full || admitted) else {
                    break;
                };
                let until = self.requests.get(&id).map(|r| r.hold_until);
                let late = full && until.is_some_and(|t| now >= t);
                if late {
                    self.finish(now, id, out);
                }
                if late || until.is_none() || admitted && self.send(now, id, out) {
                    self.slices[slice].held.pop_front();
                } else if full {
                    self.slices[slice].held.rotate_left(1);
                } else {
                    break;
                }
            }
        }
    }

    /// Counts a call of a class and slice in (1) or out (-1).
    fn count(&mut self, class: usize, slice: usize, by: f64) {
        self.inflight += by;
        self.slices[slice].busy += by;
        self.limiter.classes[class].busy += by;
    }

    /// Sends the next attempt if a backend can take it.
    fn send(&mut self, now: f64, id: RequestId, out: &mut Vec<Action>) -> bool {
        let spent = |r: &Request| r.spare == Some(0) && !r.attempts.is_empty();
        if self.requests.get(&id).is_none_or(spent) {
            return false;
        }
        let Some(to) = self.pick(now, id) else {
            return false;
        };
        let Some(r) = self.requests.get_mut(&id) else {
            return false;
        };
        let Some(b) = self.backends.get_mut(&to) else {
            return false;
        };
        if let Some(spare) = r.spare.as_mut().filter(|_| !r.attempts.is_empty()) {
            *spare = spare.saturating_sub(1);
        }
        b.cold_tokens -= 1.0; // means nothing once it is warm
        if b.calls.is_empty() {
            b.heard = now;
        }
        b.calls.push_back((id, now));
        let (place, counted) = ((b.entry.zone, b.entry.cell), !b.ejected());
        let (backend, sent) = (to, now);
        r.attempts.push(Attempt {
            backend,
            place,
            sent,
            out: true,
            late: false,
            never_ran: false,
            counted,
        });
        out.push(Action::Send {
            request: id,
            backend: to,
            not_past: r.deadline,
        });
        let (class, slice) = (r.class, r.slice);
        if counted {
            self.count(class, slice, 1.0);
            self.peak = self.peak.max(self.inflight);
            self.limiter.used |= self.inflight >= 0.8 * self.limiter.total;
        }
        true
    }

    /// Ends a request: refused where a further try is harmless, failed otherwise.
    fn finish(&mut self, now: f64, id: RequestId, out: &mut Vec<Action>) {
        let Some(r) = self.requests.get(&id) else {
            return;
        };
        let Class { effect, aim, .. } = self.s.classes[r.class];
        let all = matches!(
            effect,
            Effect::Retryable
                | Effect::Dedup {
                    group: Group::All,
                    ..
                }
        );
        if all || r.attempts.iter().all(|a| a.never_ran) {
            let wait = (aim * HOLD[0] * (1.0 + self.rng.f64())).min(self.s.caps.max_retry_after);
            let retry_after = if self.s.caps.retry_after { wait } else { 0.0 };
            out.push(Action::Refuse {
                request: id,
                retry_after,
            });
        } else {
            out.push(Action::Fail { request: id });
        }
        self.end(now, id, out);
    }

    /// Nothing more is owed or sent; what is still out is withdrawn where that is allowed.
    fn end(&mut self, now: f64, id: RequestId, out: &mut Vec<Action>) {
        let Some(r) = self.requests.get_mut(&id) else {
            return;
        };
        let first = !std::mem::replace(&mut r.ended, true);
        let still: Vec<usize> = (0..r.attempts.len())
            .filter(|&i| r.attempts[i].out)
            .collect();
        if still.is_empty() {
            let key = r.key;
            if !r.attempts.iter().any(|a| a.late) {
                self.requests.remove(&id);
            }
            // Only the first in line can have been sent: its place is kept until all its outcomes
            // are in.
            if let Some(line) = self.lines.get_mut(&key) {
                line.turn &= line.ids.front() != Some(&id);
                line.ids.retain(|&i| i != id);
                self.pass_turn(now, key);
            }
        } else if first && self.s.caps.cancelling {
            out.extend(still.iter().map(|&i| Action::Cancel {
                request: id,
                attempt: i as AttemptNo,
            }));
        }
    }

    fn on_resolved(&mut self, now: f64, e: &Resolved, out: &mut Vec<Action>) {
        let id = e.request;
        let Some(r) = self.requests.get_mut(&id) else {
            return;
        };
        let Some(a) = r.attempts.get_mut(usize::from(e.attempt)).filter(|a| a.out) else {
            return;
        };
        (a.out, a.never_ran) = (false, e.outcome.never_ran());
        // After these it may still be running: the next of its key waits until the doubt has
        // settled.
        if matches!(
            e.outcome,
            Outcome::Timeout | Outcome::Reset | Outcome::Cancelled
        ) && let Some(line) = self.lines.get_mut(&r.key)
        {
            line.rest_until = now + self.s.rules.settle_after_doubt;
        }
        // A time-out or a withdrawal ends the wait and not the work. Where its end is seen, the
        // call is load until then: were its slot free at once, callers with little patience, who
        // leave or set short limits and ask again, would fill it anew each time, and the backends
        // jam with what is in nobody's count. The same holds where proxies before this one restart
        // or lose their connections. It can hurt where backends stop what is withdrawn and don't
        // say so, or fall silent: `unpin` bounds that.
        a.late =
            self.s.caps.late_ends && matches!(e.outcome, Outcome::Timeout | Outcome::Cancelled);
        let (sent, late, counted, class, slice) =
            (a.sent, a.late, a.counted && !a.late, r.class, r.slice);
        let over = e.closed || r.ended;
        let (hold_until, free_move) = (r.hold_until, r.attempts.iter().all(|a| a.never_ran));
        let still_out = r.attempts.iter().any(|a| a.out);
        r.spare = e.spare.or(r.spare);
        let spare = r.attempts.len() < self.s.caps.try_limit as usize && r.spare != Some(0);
        if counted {
            self.count(class, slice, -1.0);
        }
        if late && let Some(b) = self.backends.get_mut(&e.backend) {
            b.calls.retain(|&call| call != (id, sent));
            b.late.push_back((id, sent));
        } else {
            self.judge(now, e, class, sent);
        }
        self.release(e.backend, out);
        if over {
            return self.end(now, id, out);
        }
        if still_out || self.resend(now, id, free_move, out) {
            return;
        }
        // Held only with an attempt to spare: those past the limit come back unsent, for ever.
        if free_move && now < hold_until && spare {
            return self.slices[slice].held.push_back(id);
        }
        self.finish(now, id, out);
    }

    /// The work of a call that was given up has ended: it is judged by that.
    fn on_late(&mut self, now: f64, e: &Resolved, out: &mut Vec<Action>) {
        let Some(r) = self.requests.get_mut(&e.request) else {
            return;
        };
        let Some(a) = r
            .attempts
            .get_mut(usize::from(e.attempt))
            .filter(|a| a.late)
        else {
            return;
        };
        let (counted, sent, class, slice, ended) = (a.counted, a.sent, r.class, r.slice, r.ended);
        (a.late, a.counted) = (false, false);
        if counted {
            self.count(class, slice, -1.0);
        }
        self.judge(now, e, class, sent);
        if ended {
            self.end(now, e.request, out);
        }
    }

    /// Another attempt, within the class's effect, the deadline and, for what may have run, the
    /// retry budget.
    fn resend(&mut self, now: f64, id: RequestId, free_move: bool, out: &mut Vec<Action>) -> bool {
        let r = &self.requests[&id];
        let allowed = match (
            r.attempts.iter().find(|a| !a.never_ran),
            self.s.classes[r.class].effect,
        ) {
            (None, _) | (_, Effect::Retryable) => true,
            (Some(first), Effect::Dedup { window, .. }) => now < first.sent + window - self.s.tick,
            (Some(_), Effect::Fragile) => false,
        };
        let left =
            r.attempts.len() < self.s.caps.try_limit as usize && now + self.s.tick < r.deadline;
        // One that carries a budget was granted its attempts where it entered, for the whole chain.
        let free_move = free_move || r.spare.is_some();
        let sent =
            left && allowed && (free_move || self.retry_tokens >= 1.0) && self.send(now, id, out);
        if sent && !free_move {
            self.retry_tokens -= 1.0;
        }
        sent
    }

    fn fits(&self, now: f64, r: &Request, id: BackendId, trusting: bool) -> bool {
        let Some(b) = self
            .backends
            .get(&id)
            .filter(|b| b.entry.phase == Phase::Ready)
        else {
            return false;
        };
        let effect = self.s.classes[r.class].effect;
        // A backend out of service gets a trial, one repeatable request, once its time is up.
        let trial = effect != Effect::Fragile && now >= b.ejected_until && b.calls.is_empty();
        let cold = b.warmth(&self.s.rules, now) < 1.0 && b.cold_tokens < 1.0;
        if cold
            || b.ejected() && !trusting && !trial
            || r.attempts.last().is_some_and(|a| a.backend == id)
        {
            return false;
        }
        match (r.attempts.iter().find(|a| !a.never_ran), effect) {
            (
                Some(ran),
                Effect::Dedup {
                    group: Group::Zone, ..
                },
            ) => b.entry.zone == ran.place.0,
            (
                Some(ran),
                Effect::Dedup {
                    group: Group::Cell, ..
                },
            ) => b.entry.cell == ran.place.1,
            _ => true,
        }
    }

    /// Expected wait at a backend, beside its fellows': own calls, learned speed, errors, warmth.
    fn cost(&self, now: f64, id: BackendId) -> f64 {
        let b = &self.backends[&id];
        let slow = b.slow * (1.0 + ERROR_COST * b.error) / b.warmth(&self.s.rules, now);
        let crossing = if b.entry.zone != self.s.zone && self.s.goal.cross_zone > 0.0 {
            0.5
        } else {
            0.0
        };
        let calls = (b.calls.len() + b.late.len()) as f64;
        (calls * self.weight / b.entry.weight.max(0.01) + 1.0 + crossing) * slow
    }

    /// Two random members of the subset that fit; the cheaper one. Past the subset only if none
    /// fits, and to backends out of service only if nothing else is left.
    fn pick(&mut self, now: f64, id: RequestId) -> Option<BackendId> {
        let (r, mut rng, mut found) = (self.requests.get(&id)?, self.rng.clone(), None);
        let (near, far) = self.subset.split_at(self.near);
        let first = if near.is_empty() || rng.f64() < self.spill && !far.is_empty() {
            far
        } else {
            near
        };
        for (from, trusting) in [
            (first, false),
            (&self.subset, false),
            (&self.ring, false),
            (&self.subset, true),
        ] {
            let mut draws = (0..12 * from.len().min(1)).map(|_| from[rng.usize(..from.len())]);
            let first = draws.find(|&c| self.fits(now, r, c, trusting));
            let other = draws.find(|&c| Some(c) != first && self.fits(now, r, c, trusting));
            let cheaper = |a, b| {
                if self.cost(now, b) < self.cost(now, a) {
                    b
                } else {
                    a
                }
            };
            found = first.map(|a| other.map_or(a, |b| cheaper(a, b)));
            if found.is_some() {
                break;
            }
        }
        self.rng = rng;
        found
    }

    /// What an outcome says of its backend and of the limit.
    fn judge(&mut self, now: f64, e: &Resolved, class: usize, sent: f64) {
        let Some(b) = self.backends.get_mut(&e.backend) else {
            return;
        };
        if let Some(i) = b.calls.iter().position(|&call| call == (e.request, sent)) {
            b.calls.remove(i);
        }
        b.late.retain(|&call| call != (e.request, sent));
        let l = &mut self.limiter;
        if matches!(e.outcome, Outcome::Ok | Outcome::Error | Outcome::Full) {
            (b.heard, self.heard) = (now, now);
            l.answers += f64::from(u8::from(e.outcome != Outcome::Full));
        }
        let unreachable = f64::from(u8::from(e.outcome == Outcome::ConnectFailed));
        let ok = e.outcome == Outcome::Ok;
        match e.outcome {
            // A call that its client gave up took longer still. It speaks of its backend and zone,
            // not of the limit, which silent backends would cut.
            Outcome::Ok | Outcome::Cancelled if ok || e.wait > l.classes[class].mean => {
                let c = &mut l.classes[class];
                if ok {
                    c.sample(e.wait);
                    l.ratios += (e.wait / c.target()).min(CLIP);
                }
                let over = &mut self.excess[usize::from(b.entry.zone != self.s.zone)];
                *over += ((e.wait - c.base) / c.aim - *over) * 0.1;
                l.mean += (e.wait - l.mean) * if l.mean == 0.0 { 1.0 } else { 0.02 };
                b.seen = (b.seen + 1.0).min(16.0);
                let ratio = (e.wait / c.mean.max(0.001)).min(CLIP);
                b.slow += (ratio - b.slow) / (b.seen + 4.0);
                if ok {
                    self.error -= self.error * 0.02;
                    b.error -= b.error * if b.ejected() { 0.5 } else { ERROR_STEP };
                }
                if ok && b.ejected() && b.error < 0.15 && ratio < SLOW_EJECT / 2.0 {
                    (b.ejected_until, b.ejections, b.slow, b.seen) = (0.0, 0, ratio, 0.0);
                } else if now >= b.ejected_until && b.slow > SLOW_EJECT && b.seen > 8.0 {
                    self.eject(now, e.backend); // one that is overdriven recovers only when left alone
                }
            }
            Outcome::Error | Outcome::Reset | Outcome::ConnectFailed => {
                // A backend that is down says nothing of the load: only one that is else well does.
                l.drops += if b.error < ERROR_STEP {
                    unreachable
                } else {
                    0.0
                };
                b.error += (1.0 - b.error) * ERROR_STEP * (1.0 + 2.0 * unreachable);
                self.error += (1.0 - self.error) * 0.02;
                let beside = (ERROR_BESIDE * self.error).min((1.0 + self.error) / 2.0);
                if b.ejected() || b.error > beside.max(ERROR_EJECT) {
                    self.eject(now, e.backend);
                }
            }
            Outcome::Full => l.drops += 1.0,
            Outcome::Timeout => l.timeouts += f64::from(u8::from(!b.ejected())),
            _ => {}
        }
    }

    /// Takes a backend out of service, unless so many are out that the illness must be shared.
    fn eject(&mut self, now: f64, id: BackendId) {
        let out = self
            .ring
            .iter()
            .filter(|i| self.backends[i].ejected())
            .count() as f64;
        let Some(b) = self.backends.get_mut(&id) else {
            return;
        };
        if !b.ejected() && out + 1.0 > (self.ring.len() as f64 * MAX_EJECTED).max(1.0) {
            return;
        }
        b.ejected_until = now + EJECT_MS * f64::from(1 << b.ejections.min(3));
        b.ejections += 1;
        self.unpin(now, id, 0.0); // a backend out of service pins no slots
    }

    /// Calls that have been out for so many means of their class count against the limit no longer.
    fn unpin(&mut self, now: f64, id: BackendId, means: f64) {
        let b = &self.backends[&id];
        for (request, sent) in b.calls.iter().chain(&b.late).copied().collect::<Vec<_>>() {
            let Some(r) = self.requests.get_mut(&request) else {
                continue;
            };
            let (class, slice, l) = (r.class, r.slice, &self.limiter.classes[r.class]);
            let long = now - sent >= means * if l.samples < WINDOW { l.aim } else { l.mean };
            let call = r
                .attempts
                .iter_mut()
                .find(|a| a.backend == id && a.sent == sent && (a.out || a.late) && long);
            let counted = call.is_some_and(|a| std::mem::take(&mut a.counted));
            self.count(class, slice, -f64::from(u8::from(counted)));
        }
    }

    fn housekeep(&mut self, now: f64, out: &mut Vec<Action>) {
        out.push(Action::WakeMe {
            delay: self.period(),
            token: HOUSEKEEPING,
        });
        let passed = (now - self.house).max(0.0);
        self.house = now;
        self.limiter.update(passed);
        self.excess
            .iter_mut()
            .for_each(|e| *e -= *e * passed / SPILL_FADE);
        let gain = self.excess[0] - self.excess[1] - self.s.goal.cross_zone * CROSS_PRICE;
        self.drift = (self.drift + SPILL[1] * gain * passed / 1000.0).clamp(0.0, 1.0);
        self.spill = (self.drift + SPILL[0] * gain).clamp(0.0, 1.0);
        self.resize(passed);
        self.peak = self.inflight.max(self.peak * (1.0 - passed / 5000.0));
        // Those who have waited too long for their key's turn; keys that have rested.
        let stale = |id: &RequestId| self.requests.get(id).is_some_and(|r| now >= r.hold_until);
        let lines = self
            .lines
            .values()
            .flat_map(|l| l.ids.iter().skip(usize::from(l.turn)));
        for id in lines.copied().filter(stale).collect::<Vec<_>>() {
            self.finish(now, id, out);
        }
        self.lines
            .keys()
            .copied()
            .collect::<Vec<_>>()
            .into_iter()
            .for_each(|key| self.pass_turn(now, key));
        let busy = self
            .backends
            .iter()
            .filter(|(_, b)| !b.calls.is_empty() || !b.late.is_empty())
            .map(|(&id, _)| id);
        busy.collect::<Vec<_>>()
            .into_iter()
            .for_each(|id| self.unpin(now, id, PIN));
        self.free_held(now, true, out);
        // Cold budgets grow with what this copy's backends prove to bear, at the warmth surely
        // reached.
        let warm: f64 = self
            .subset
            .iter()
            .map(|i| self.backends[i].warmth(&self.s.rules, now))
            .sum();
        let margin = COLD_MARGIN * self.s.rules.fall_multiple.min(1.0) / self.sharers;
        let each = self.limiter.rate / warm.max(1.0) * margin * passed;
        let mut hung = Vec::new();
        for id in &self.subset {
            let Some(b) = self.backends.get_mut(id) else {
                continue;
            };
            b.cold_tokens = (b.cold_tokens + each * b.warmth(&self.s.rules, now)).min(1.0);
            // Silent while others answer, for longer than so many answers would take by Little's
            // law.
            let silence = now - b.heard.max(b.calls.front().map_or(now, |call| call.1));
            let missed = b.calls.len() as f64 * silence / (self.limiter.mean * b.slow).max(1.0);
            let others = now - self.heard < silence * 0.25;
            if missed > HANG_MISSED
                && silence > 2.0 * self.limiter.mean
                && others
                && now >= b.ejected_until
            {
                hung.push(*id);
            }
        }
        hung.into_iter().for_each(|id| self.eject(now, id));
    }
}
