//! With the same seeds, the same datagrams go at the same times, and the same is told, as before.

mod common;

use common::{EPOCH, authenticator, version};
use heathroad_membership::protocol::{Config, Membership, Settings};
use heathroad_membership::version::Digest;
use heathroad_membership::wire::Resource;
use heathroad_membership::{MemberId, Millis};
use std::fmt::Write;

const MEMBERS: u16 = 7;
/// How often the trace says where it stands.
const STEP: Millis = 5_000;

struct Trace {
    now: Millis,
    fleets: Vec<Option<Membership>>,
    /// Stalled until then.
    stalled: Vec<Millis>,
    /// Nothing passes between the first so many and the others.
    cut: u16,
    queue: Vec<(Millis, MemberId, Vec<u8>)>,
    rng: fastrand::Rng,
    /// Everything that went and was told since the last step.
    seen: String,
    datagrams: usize,
    text: String,
}

impl Trace {
    fn new(seed: u64) -> Trace {
        let mut trace = Trace {
            now: 0,
            fleets: vec![None; usize::from(MEMBERS)],
            stalled: vec![0; usize::from(MEMBERS)],
            cut: 0,
            queue: Vec::new(),
            rng: fastrand::Rng::with_seed(seed),
            seen: String::new(),
            datagrams: 0,
            text: format!("seed {seed}\n"),
        };
        (0..MEMBERS).for_each(|place| trace.start(place, EPOCH + u64::from(place)));
        trace
    }

    fn start(&mut self, place: MemberId, life: u64) {
        let seed = self.rng.u64(..);
        let mut fleet = Membership::new(
            self.now,
            Settings {
                authenticator: authenticator(),
                id: place,
                fleet_size: MEMBERS,
                incarnation: life,
                seed,
                config: Config::default(),
            },
        );
        fleet.set_active_version(version(1));
        self.fleets[usize::from(place)] = Some(fleet);
    }

    fn fleet(&mut self, place: MemberId) -> &mut Membership {
        self.fleets[usize::from(place)].as_mut().expect("it runs")
    }

    /// Takes what one member sends and tells.
    fn collect(&mut self, place: MemberId) {
        let (now, cut) = (self.now, self.cut);
        let Some(fleet) = self.fleets[usize::from(place)].as_mut() else {
            return;
        };
        let asked: Vec<_> = fleet.resource_requests().collect();
        for question in asked {
            let there = question.key != Digest::of(b"absent");
            let text = vec![place as u8; 1000 + usize::from(place)];
            fleet.serve(now, question, there.then_some(text));
        }
        for news in fleet.events() {
            let _ = writeln!(
                self.seen,
                "{now} {place} {}",
                serde_json::to_string(&news).expect("plain")
            );
        }
        for fetched in fleet.completed_fetches() {
            let text = fetched.result.map(|text| Digest::of(&text));
            let outcome =
                text.map_or_else(|_| "not fetched".to_string(), |digest| digest.to_string());
            let _ = writeln!(
                self.seen,
                "{now} {place} {} {} {outcome}",
                fetched.id, fetched.first_part_after
            );
        }
        for message in fleet.messages() {
            let _ = writeln!(
                self.seen,
                "{now} {place} {} {:?}",
                message.from, message.bytes
            );
        }
        let sends: Vec<_> = fleet.transmits().collect();
        for send in sends {
            self.datagrams += 1;
            let _ = writeln!(
                self.seen,
                "{now} {place} {} {}",
                send.to,
                Digest::of(&send.bytes)
            );
            let apart = (place < cut) != (send.to < cut);
            let copies = match self.rng.u32(0..100) {
                0..10 => 0,
                10..15 => 2,
                _ => 1,
            };
            for _ in 0..if apart { 0 } else { copies } {
                let at = now + 1 + self.rng.u64(0..30);
                self.queue.push((at, send.to, send.bytes.clone()));
            }
        }
    }

    fn step(&mut self) {
        self.now += 1;
        let now = self.now;
        let due: Vec<_> = self.queue.extract_if(.., |(at, ..)| *at <= now).collect();
        for (_, to, bytes) in due {
            if self.stalled[usize::from(to)] > now {
                self.queue.push((self.stalled[usize::from(to)], to, bytes));
            } else if let Some(fleet) = self.fleets[usize::from(to)].as_mut() {
                fleet.receive(now, &bytes);
                self.collect(to);
            }
        }
        for place in 0..MEMBERS {
            let at = usize::from(place);
            if self.stalled[at] > now {
                continue;
            }
            if let Some(fleet) = self.fleets[at].as_mut().filter(|fleet| fleet.due() <= now) {
                fleet.tick(now);
            }
            self.collect(place);
        }
        if now.is_multiple_of(STEP) {
            let digest = Digest::of(std::mem::take(&mut self.seen).as_bytes());
            let _ = writeln!(
                self.text,
                "{now} ms: {} datagrams, {digest}",
                self.datagrams
            );
        }
    }

    fn run_to(&mut self, end: Millis) {
        while self.now < end {
            self.step();
        }
    }

    fn describe(&mut self) {
        for place in 0..MEMBERS {
            let now = self.now;
            let Some(fleet) = self.fleets[usize::from(place)].as_ref() else {
                continue;
            };
            let facts = serde_json::json!({
                "members": fleet.member_views(now), "traffic": fleet.traffic(), "doubt": fleet.health_multiplier(),
                "cut_off": fleet.is_isolated(), "silent_ms": fleet.silent_for(now), "confirmed": fleet.confirmed(),
                "majority": fleet.sees_majority(), "incarnation": fleet.revision(),
                "wanted": fleet.desired(), "required": fleet.required(),
                "highest": fleet.highest_generation(),
            });
            // One in full, for whoever looks for a difference; of the others a digest.
            let text = facts.to_string();
            let digest = Digest::of(text.as_bytes());
            let text = if place == 0 { text } else { digest.to_string() };
            let _ = writeln!(self.text, "member {place}: {text}");
        }
    }
}

/// Everything that members go through, one thing after the other.
fn trace(seed: u64) -> String {
    let mut t = Trace::new(seed);
    t.run_to(10_000);
    let now = t.now;
    for place in 0..MEMBERS {
        t.fleet(place)
            .set_active_version(version(2 + u64::from(place % 2)));
    }
    t.fleet(0)
        .propose_version(now, 4, Digest::of(b"four"), Some(30_000));
    t.fleet(1)
        .fetch(now, 2, Resource::ActivityRecord, Digest::default())
        .expect("room");
    t.fleet(1)
        .fetch(now, 3, Resource::ActivityRecord, Digest::of(b"absent"))
        .expect("room");
    t.fleet(2)
        .fetch(now, 4, Resource::Routes, Digest::of(b"other"))
        .expect("room");
    t.run_to(20_000);
    let routes = version(2).routes;
    let source = t.fleet(5).choose_routes_source(routes);
    let _ = writeln!(t.text, "source {source:?}");
    let now = t.now;
    for place in 1..MEMBERS {
        t.fleet(0).send_message(now, place, vec![place as u8; 20]);
        t.fleet(place).request_confirmation(now);
    }
    t.stalled[3] = now + 7_000;
    t.run_to(40_000);
    // Cut, with another text under one number on either side.
    t.cut = 3;
    t.run_to(50_000);
    let now = t.now;
    t.fleet(0)
        .propose_version(now, 5, Digest::of(b"five"), None);
    t.fleet(6)
        .propose_version(now, 5, Digest::of(b"fifth"), None);
    t.run_to(80_000);
    t.describe();
    t.cut = 0;
    t.run_to(110_000);
    // One is killed and comes back with a clock that was set back, one leaves.
    t.fleets[4] = None;
    t.run_to(130_000);
    t.start(4, EPOCH - 1_000);
    let now = t.now;
    t.fleet(6).leave(now);
    t.collect(6);
    t.fleet(0)
        .propose_version(now, 6, Digest::of(b"six"), Some(5_000));
    t.run_to(160_000);
    t.describe();
    t.text
}

#[test]
fn the_same_seeds_give_the_same_datagrams() {
    let text: String = [11, 12, 13].into_iter().map(trace).collect();
    common::assert_golden("trace.txt", &text);
}
