//! Golden test of a simulated fleet: for fixed seeds, all datagrams, events and reports are
//! unchanged.

mod common;

use common::{CLOCK_START, authenticator, version};
use heathroad_membership::protocol::{Config, Membership, Settings};
use heathroad_membership::version::Digest;
use heathroad_membership::wire::Resource;
use heathroad_membership::{MemberId, Millis};
use std::fmt::Write;

const MEMBERS: u16 = 7;
/// The interval at which the trace writes a digest of all output.
const DIGEST_INTERVAL: Millis = 5_000;

struct Trace {
    now: Millis,
    members: Vec<Option<Membership>>,
    /// The end of the latest stall of each member.
    stalled_until: Vec<Millis>,
    /// No datagrams pass between the members below this id and the others.
    partition_boundary: u16,
    queue: Vec<(Millis, MemberId, Vec<u8>)>,
    rng: fastrand::Rng,
    /// All datagrams, events, fetches and messages since the last digest.
    output: String,
    datagrams: usize,
    text: String,
}

impl Trace {
    fn new(seed: u64) -> Trace {
        let mut trace = Trace {
            now: 0,
            members: vec![None; usize::from(MEMBERS)],
            stalled_until: vec![0; usize::from(MEMBERS)],
            partition_boundary: 0,
            queue: Vec::new(),
            rng: fastrand::Rng::with_seed(seed),
            output: String::new(),
            datagrams: 0,
            text: format!("seed {seed}\n"),
        };
        (0..MEMBERS).for_each(|id| trace.start(id, CLOCK_START + u64::from(id)));
        trace
    }

    fn start(&mut self, id: MemberId, incarnation: u64) {
        let seed = self.rng.u64(..);
        let mut membership = Membership::new(
            self.now,
            Settings {
                authenticator: authenticator(),
                id,
                fleet_size: MEMBERS,
                incarnation,
                seed,
                config: Config::default(),
            },
        );
        membership.set_active_version(version(1));
        self.members[usize::from(id)] = Some(membership);
    }

    fn member(&mut self, id: MemberId) -> &mut Membership {
        self.members[usize::from(id)]
            .as_mut()
            .expect("the member is running")
    }

    /// Records the output of a member, and puts its datagrams on the network.
    fn collect_output(&mut self, id: MemberId) {
        let (now, partition_boundary) = (self.now, self.partition_boundary);
        let Some(membership) = self.members[usize::from(id)].as_mut() else {
            return;
        };
        let requests: Vec<_> = membership.resource_requests().collect();
        for request in requests {
            let exists = request.key != Digest::of(b"absent");
            let bytes = vec![id as u8; 1000 + usize::from(id)];
            membership.serve(now, request, exists.then_some(bytes));
        }
        for event in membership.events() {
            let _ = writeln!(
                self.output,
                "{now} {id} {}",
                serde_json::to_string(&event).expect("the event is serializable")
            );
        }
        for fetched in membership.completed_fetches() {
            let digest = fetched.result.map(|bytes| Digest::of(&bytes));
            let outcome =
                digest.map_or_else(|_| "not fetched".to_string(), |digest| digest.to_string());
            let _ = writeln!(
                self.output,
                "{now} {id} {} {} {outcome}",
                fetched.id, fetched.first_part_after
            );
        }
        for message in membership.messages() {
            let _ = writeln!(
                self.output,
                "{now} {id} {} {:?}",
                message.from, message.bytes
            );
        }
        let transmits: Vec<_> = membership.transmits().collect();
        for transmit in transmits {
            self.datagrams += 1;
            let _ = writeln!(
                self.output,
                "{now} {id} {} {}",
                transmit.to,
                Digest::of(&transmit.bytes)
            );
            let is_blocked = (id < partition_boundary) != (transmit.to < partition_boundary);
            let copies = match self.rng.u32(0..100) {
                0..10 => 0,
                10..15 => 2,
                _ => 1,
            };
            for _ in 0..if is_blocked { 0 } else { copies } {
                let at = now + 1 + self.rng.u64(0..30);
                self.queue.push((at, transmit.to, transmit.bytes.clone()));
            }
        }
    }

    fn step(&mut self) {
        self.now += 1;
        let now = self.now;
        let due: Vec<_> = self.queue.extract_if(.., |(at, ..)| *at <= now).collect();
        for (_, to, bytes) in due {
            if self.stalled_until[usize::from(to)] > now {
                self.queue
                    .push((self.stalled_until[usize::from(to)], to, bytes));
            } else if let Some(membership) = self.members[usize::from(to)].as_mut() {
                membership.receive(now, &bytes);
                self.collect_output(to);
            }
        }
        for id in 0..MEMBERS {
            let index = usize::from(id);
            if self.stalled_until[index] > now {
                continue;
            }
            if let Some(membership) = self.members[index]
                .as_mut()
                .filter(|membership| membership.due() <= now)
            {
                membership.tick(now);
            }
            self.collect_output(id);
        }
        if now.is_multiple_of(DIGEST_INTERVAL) {
            let digest = Digest::of(std::mem::take(&mut self.output).as_bytes());
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

    /// Writes the reports of all members, the first one in full and the others as digests.
    fn write_reports(&mut self) {
        for id in 0..MEMBERS {
            let now = self.now;
            let Some(membership) = self.members[usize::from(id)].as_ref() else {
                continue;
            };
            let report = serde_json::json!({
                "members": membership.member_views(now), "traffic": membership.traffic(), "doubt": membership.health_multiplier(),
                "cut_off": membership.is_isolated(), "silent_ms": membership.silent_for(now), "confirmed": membership.last_confirmed(),
                "majority": membership.sees_majority(), "incarnation": membership.revision(),
                "wanted": membership.desired(), "required": membership.required(),
                "highest": membership.highest_generation(),
            });
            let text = report.to_string();
            let digest = Digest::of(text.as_bytes());
            let text = if id == 0 { text } else { digest.to_string() };
            let _ = writeln!(self.text, "member {id}: {text}");
        }
    }
}

/// Runs a fleet through version changes, fetches, a stall, a partition, a crash with a clock set
/// back, and a shutdown.
fn trace(seed: u64) -> String {
    let mut trace = Trace::new(seed);
    trace.run_to(10_000);
    let now = trace.now;
    for id in 0..MEMBERS {
        trace
            .member(id)
            .set_active_version(version(2 + u64::from(id % 2)));
    }
    trace
        .member(0)
        .propose_version(now, 4, Digest::of(b"four"), Some(30_000));
    trace
        .member(1)
        .fetch(now, 2, Resource::ActivityRecord, Digest::default())
        .expect("fewer fetches than the limit");
    trace
        .member(1)
        .fetch(now, 3, Resource::ActivityRecord, Digest::of(b"absent"))
        .expect("fewer fetches than the limit");
    trace
        .member(2)
        .fetch(now, 4, Resource::Routes, Digest::of(b"other"))
        .expect("fewer fetches than the limit");
    trace.run_to(20_000);
    let routes = version(2).routes;
    let source = trace.member(5).choose_routes_source(routes);
    let _ = writeln!(trace.text, "source {source:?}");
    let now = trace.now;
    for id in 1..MEMBERS {
        trace.member(0).send_message(now, id, vec![id as u8; 20]);
        trace.member(id).request_confirmation(now);
    }
    trace.stalled_until[3] = now + 7_000;
    trace.run_to(40_000);
    // Both sides of a partition commit the same generation.
    trace.partition_boundary = 3;
    trace.run_to(50_000);
    let now = trace.now;
    trace
        .member(0)
        .propose_version(now, 5, Digest::of(b"five"), None);
    trace
        .member(6)
        .propose_version(now, 5, Digest::of(b"fifth"), None);
    trace.run_to(80_000);
    trace.write_reports();
    trace.partition_boundary = 0;
    trace.run_to(110_000);
    // One member crashes and restarts with its clock set back, another one leaves.
    trace.members[4] = None;
    trace.run_to(130_000);
    trace.start(4, CLOCK_START - 1_000);
    let now = trace.now;
    trace.member(6).leave(now);
    trace.collect_output(6);
    trace
        .member(0)
        .propose_version(now, 6, Digest::of(b"six"), Some(5_000));
    trace.run_to(160_000);
    trace.write_reports();
    trace.text
}

#[test]
fn the_same_seeds_give_the_same_datagrams() {
    let text: String = [11, 12, 13].into_iter().map(trace).collect();
    common::assert_golden("trace.txt", &text);
}
