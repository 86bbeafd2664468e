//! Each fault, on its own, seen on the sockets: what a stand-in does to whoever calls it, with no
//! daemon between.

mod common;

use heathroad_harness::client::{Client, ClientRequest};
use heathroad_harness::clock::Clock;
use heathroad_harness::daemon::get;
use heathroad_harness::emulator::backend::{Backend, Mode, RunContext, allocate_addresses};
use heathroad_harness::emulator::host::{Host, HostSpec};
use heathroad_harness::emulator::registry::Registry;
use heathroad_harness::event_log::{AttemptEnd, Disposition, Health, ResponseKind};
use serde_json::Value;
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::LocalSet;
use tokio::time::{sleep, timeout};

const LONG: Duration = Duration::from_secs(20);

/// A backend alone on a stage.
struct Scene {
    context: Rc<RunContext>,
    backend: Rc<Backend>,
    addr: SocketAddr,
    client: Rc<Client>,
    next: Cell<u64>,
}

impl Scene {
    async fn new() -> Scene {
        let clock = Clock::starting_in(Duration::ZERO);
        let context = RunContext::new(clock, Arc::new(common::schedule(common::SMALL, 1)));
        let spec = HostSpec {
            cores: 1,
            speed: 1.0,
            cold_capacity: 0.2,
            warm_up: 30_000_000,
            warm_requests: 0,
            overload_multiple: 3.0,
            overload_window: 2_000_000,
        };
        let doors =
            allocate_addresses("127.0.0.1".parse().expect("an address"), &[0]).expect("a port");
        let host = Host::new(spec, clock);
        let backend = Backend::new(&context, (0, "a".into(), 0, 0), host, Rc::default(), doors);
        backend.start(true).await.expect("its port is free");
        let addr = backend.address_for(0).expect("its one door");
        Scene {
            context,
            backend,
            addr,
            client: Rc::default(),
            next: Cell::new(1),
        }
    }

    /// Calls a class by its place; the backends answer as they do to proxies.
    async fn call(&self, class: usize, key: Option<u64>, patience_ms: u64) -> AttemptEnd {
        self.next.set(self.next.get() + 1);
        let ask = ClientRequest {
            id: self.next.get(),
            path: format!("/{}", self.context.schedule.scenario.class[class].name),
            tenant: None,
            key,
            safe: class == 0,
            time_limit: patience_ms * 1000,
            retry: false,
            cancel_after: None,
            read_delay: 0,
            budget_headers: [None, None],
        };
        timeout(LONG, self.client.call(self.context.clock, self.addr, &ask))
            .await
            .expect("it ends")
            .end
    }

    async fn read(&self) -> AttemptEnd {
        self.call(0, None, 10_000).await
    }

    fn last(&self) -> (Disposition, ResponseKind) {
        let event_log = self.context.event_log.borrow();
        let last = event_log.arrivals.last().expect("something came");
        (last.disposition, last.response)
    }
}

async fn with_scene(play: impl AsyncFnOnce(Scene)) {
    LocalSet::new()
        .run_until(async { play(Scene::new().await).await })
        .await;
}

async fn connects(addr: SocketAddr) -> Result<TcpStream, Option<std::io::ErrorKind>> {
    match timeout(Duration::from_millis(300), TcpStream::connect(addr)).await {
        Ok(connected) => connected.map_err(|e| Some(e.kind())),
        Err(_) => Err(None),
    }
}

#[tokio::test]
async fn a_sound_backend_serves_what_it_made_and_writes_it_down() {
    with_scene(async |s| {
        let AttemptEnd::Served(mark) = s.read().await else {
            panic!("served")
        };
        let event_log = s.context.event_log.borrow();
        let [a] = &event_log.arrivals[..] else {
            panic!("one arrival")
        };
        assert_eq!(
            (a.id, a.marker, a.disposition, a.response),
            (2, mark, Disposition::Executed, ResponseKind::Served)
        );
        assert!(a.responded_at.is_some() && a.work > 0 && a.first_byte_at <= a.received_at);
    })
    .await;
}

#[tokio::test]
async fn probes_are_answered_and_no_id_is_not() {
    with_scene(async |s| {
        assert_eq!(get(s.addr, "/health/live").await.expect("an answer").0, 200);
        let (status, load) = get(s.addr, "/stats").await.expect("an answer");
        assert_eq!(
            (status, String::from_utf8_lossy(&load).as_ref()),
            (200, "TEXT inflight=0, queue=0")
        );
        assert_eq!(
            get(s.addr, "/claim-status").await.expect("an answer").0,
            404
        );
    })
    .await;
}

#[tokio::test]
async fn a_silent_machine_says_nothing_on_old_connections_and_takes_no_new_ones() {
    with_scene(async |s| {
        assert!(matches!(s.read().await, AttemptEnd::Served(_)));
        let mut old = TcpStream::connect(s.addr).await.expect("it listens");
        s.backend.set_mode(Mode::Silent).await;
        old.write_all(b"GET /health/live HTTP/1.1\r\n\r\n")
            .await
            .expect("its connection stays open");
        let answer = timeout(Duration::from_millis(300), old.read(&mut [0; 9])).await;
        assert!(
            answer.is_err(),
            "nothing comes, neither an answer nor a reset"
        );
        assert_eq!(
            s.call(0, None, 100).await,
            AttemptEnd::NoResponse,
            "nor on a kept connection"
        );
        let new = [connects(s.addr).await, connects(s.addr).await];
        assert!(
            new.iter().any(|c| matches!(c, Err(None))),
            "new ones hang: {new:?}"
        );
        assert_eq!(
            s.context.event_log.borrow().arrivals.len(),
            1,
            "what lay unread never came"
        );
        // It comes back as another process: the old connection is reset.
        s.backend.kill();
        s.backend.start(false).await.expect("its port is free");
        assert!(
            timeout(LONG, old.read(&mut [0; 9]))
                .await
                .expect("it ends")
                .is_err()
        );
        assert!(matches!(s.read().await, AttemptEnd::Served(_)));
    })
    .await;
}

#[tokio::test]
async fn one_that_hangs_takes_requests_and_answers_none() {
    with_scene(async |s| {
        s.backend.set_mode(Mode::Hang).await;
        assert_eq!(s.call(0, None, 100).await, AttemptEnd::NoResponse);
        assert!(connects(s.addr).await.is_ok());
        assert_eq!(
            s.last(),
            (Disposition::Executed, ResponseKind::None),
            "it may have run"
        );
    })
    .await;
}

#[tokio::test]
async fn one_that_crawls_or_shares_its_processor_is_slower() {
    with_scene(async |s| {
        let time = async || {
            let begun = Instant::now();
            for _ in 0..3 {
                assert!(matches!(s.read().await, AttemptEnd::Served(_)));
            }
            begun.elapsed()
        };
        let well = time().await;
        s.backend.host.slowdown.set(8.0);
        let crawling = time().await;
        assert!(crawling > 2 * well, "{well:?}, then {crawling:?}");
        s.backend.host.slowdown.set(1.0);
        s.backend.host.stolen_share.set(0.95);
        // The neighbour is there in every other second.
        let slowest = [time().await, {
            sleep(Duration::from_secs(1)).await;
            time().await
        }];
        assert!(
            slowest.iter().any(|t| *t > 2 * well),
            "{well:?}, then {slowest:?}"
        );
    })
    .await;
}

#[tokio::test]
async fn one_that_restarts_resets_refuses_and_comes_back_cold() {
    with_scene(async |s| {
        let held = connects(s.addr).await.expect("it listens");
        // Its connection is accepted before it dies.
        assert!(matches!(s.read().await, AttemptEnd::Served(_)));
        s.backend.kill();
        let mut held = held;
        assert!(
            timeout(LONG, held.read(&mut [0; 1]))
                .await
                .expect("it ends")
                .is_err(),
            "reset"
        );
        assert_eq!(
            connects(s.addr).await.expect_err("refused"),
            Some(std::io::ErrorKind::ConnectionRefused)
        );
        s.backend.start(false).await.expect("its port is free");
        assert!(s.backend.host.warmth() < 0.25);
        assert!(matches!(s.read().await, AttemptEnd::Served(_)));
        let event_log = s.context.event_log.borrow();
        let lives: Vec<_> = event_log
            .incarnations
            .iter()
            .map(|l| (l.number, l.warm))
            .collect();
        assert_eq!(lives, [(0, true), (1, false)]);
    })
    .await;
}

#[tokio::test]
async fn a_cold_one_that_is_sent_too_much_falls_over_and_stays_down() {
    with_scene(async |s| {
        s.backend.kill();
        s.backend.start(false).await.expect("its port is free");
        let calls = (0..150).map(|_| {
            let (client, clock, addr) = (s.client.clone(), s.context.clock, s.addr);
            s.next.set(s.next.get() + 1);
            let ask = ClientRequest {
                id: s.next.get(),
                path: "/claim-status".into(),
                tenant: None,
                key: None,
                safe: true,
                time_limit: 3_000_000,
                retry: false,
                cancel_after: None,
                read_delay: 0,
                budget_headers: [None, None],
            };
            tokio::task::spawn_local(async move { client.call(clock, addr, &ask).await.end })
        });
        let calls: Vec<_> = calls.collect();
        for call in calls {
            let _ = timeout(LONG, call)
                .await
                .expect("it ends")
                .expect("no panic");
        }
        assert_eq!(s.backend.mode(), Mode::Down);
        assert!(
            s.context.event_log.borrow().incarnations[1]
                .overloaded_at
                .is_some()
        );
        assert_eq!(
            connects(s.addr).await.expect_err("refused"),
            Some(std::io::ErrorKind::ConnectionRefused)
        );
    })
    .await;
}

#[tokio::test]
async fn one_that_drains_or_declines_says_so_and_runs_nothing() {
    with_scene(async |s| {
        s.backend.draining.set(true);
        assert_eq!(s.read().await, AttemptEnd::Refused { after: None });
        assert_eq!(s.last(), (Disposition::Declined, ResponseKind::Declined));
        s.backend.draining.set(false);
        s.backend.fault_probabilities.set([0.0, 0.0, 1.0]);
        assert_eq!(s.read().await, AttemptEnd::Refused { after: None });
        let mut stream = connects(s.addr).await.expect("it listens");
        stream
            .write_all(b"GET /claim-status HTTP/1.1\r\nReq-Id: ff\r\n\r\n")
            .await
            .expect("open");
        let mut bytes = vec![0; 512];
        let n = timeout(LONG, stream.read(&mut bytes))
            .await
            .expect("it comes")
            .expect("open");
        assert!(String::from_utf8_lossy(&bytes[..n]).contains("Srv-Declined: 1"));
    })
    .await;
}

#[tokio::test]
async fn answers_break_off_or_are_noise() {
    with_scene(async |s| {
        s.backend.fault_probabilities.set([1.0, 0.0, 0.0]);
        assert_eq!(s.read().await, AttemptEnd::Truncated(true));
        assert_eq!(s.last(), (Disposition::Executed, ResponseKind::Truncated));
        s.backend.fault_probabilities.set([0.0, 1.0, 0.0]);
        assert_eq!(s.read().await, AttemptEnd::Malformed);
        assert_eq!(s.last(), (Disposition::Executed, ResponseKind::Malformed));
    })
    .await;
}

#[tokio::test]
async fn repeats_of_a_key_are_dropped_and_answered() {
    with_scene(async |s| {
        assert!(matches!(
            s.call(2, Some(5), 10_000).await,
            AttemptEnd::Served(_)
        ));
        assert_eq!(s.last().0, Disposition::Executed);
        assert!(matches!(
            s.call(2, Some(5), 10_000).await,
            AttemptEnd::Served(_)
        ));
        assert_eq!(s.last().0, Disposition::Duplicate);
        assert!(matches!(
            s.call(2, Some(6), 10_000).await,
            AttemptEnd::Served(_)
        ));
        assert_eq!(s.last().0, Disposition::Executed, "another key");
    })
    .await;
}

/// Asks a registry, and gives its version and its hosts' healths.
async fn list(addr: SocketAddr, query: &str) -> Option<(u64, Vec<String>)> {
    let (status, body) = timeout(LONG, get(addr, &format!("/registry/instances{query}")))
        .await
        .ok()?
        .ok()?;
    let page: Value = serde_json::from_slice(&body)
        .ok()
        .filter(|_| status == 200)?;
    let healths = page["hosts"]
        .as_array()?
        .iter()
        .map(|h| h["health"].as_str().unwrap_or("?").to_string());
    Some((page["seq"].as_u64()?, healths.collect()))
}

#[tokio::test]
async fn the_registry_is_late_down_out_of_order_and_off_the_time() {
    with_scene(async |s| {
        let registry = Registry::new(&s.context, 1);
        registry.add_backend(&s.backend);
        let ip = "127.0.0.1".parse().expect("an address");
        let (listener, addr) = Registry::bind(ip).await.expect("a port");
        let _serving = registry.serve(0, 0, listener);
        let words = |words: &[&str]| words.iter().map(|w| (*w).to_string()).collect::<Vec<_>>();
        registry.publish(&s.backend, Health::Serving);
        assert_eq!(list(addr, "").await, Some((1, words(&["SERVING"]))));
        // Late: a change is told once its time has come.
        registry.delay.set(300_000);
        registry.publish(&s.backend, Health::Draining);
        assert_eq!(list(addr, "?after=1&wait_ms=50").await, Some((1, vec![])));
        assert_eq!(
            list(addr, "?after=1&wait_ms=900").await,
            Some((2, words(&["DRAINING"])))
        );
        registry.delay.set(0);
        // Out of order: the old state again, under its old version, and the ledger says which it
        // was.
        registry.out_of_order.set(true);
        assert_eq!(
            list(addr, "?after=2&wait_ms=900").await,
            Some((1, words(&["SERVING"])))
        );
        registry.out_of_order.set(false);
        let told: Vec<_> = s
            .context
            .event_log
            .borrow()
            .registry_updates
            .iter()
            .map(|t| (t.version, t.health))
            .collect();
        assert_eq!(
            told,
            [
                (1, Health::Serving),
                (2, Health::Draining),
                (1, Health::Serving)
            ]
        );
        // Down: calls fail.
        registry.set_down(true);
        assert_eq!(list(addr, "").await, None);
        registry.set_down(false);
        // Off the time: a cold start is told an hour ahead.
        s.backend.kill();
        s.backend.start(false).await.expect("its port is free");
        registry.clock_offset_ms.set(3.6e6);
        registry.publish(&s.backend, Health::Serving);
        let (_, body) = get(addr, "/registry/instances").await.expect("an answer");
        let page: Value = serde_json::from_slice(&body).expect("JSON");
        let unix = std::time::SystemTime::UNIX_EPOCH
            .elapsed()
            .expect("after 1970")
            .as_secs_f64()
            * 1000.0;
        assert!(page["hosts"][0]["born_ms"].as_f64().expect("a number") > unix + 3.5e6);
    })
    .await;
}
